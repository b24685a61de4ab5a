package schema

import "github.com/santhosh-tekuri/jsonschema/v6"

// fillDefaults writes the default of every absent property into value, also
// inside array items and referenced schemas. Values of a wrong type are left
// for the validation to report.
func fillDefaults(s *jsonschema.Schema, value any) {
	switch v := value.(type) {
	case map[string]any:
		fillObject(s, v)
	case []any:
		item := items(s)
		if item == nil {
			return
		}
		for _, element := range v {
			fillDefaults(item, element)
		}
	}
}

func fillObject(s *jsonschema.Schema, object map[string]any) {
	s = target(s)
	if s == nil {
		return
	}
	for name, prop := range s.Properties {
		current, present := object[name]
		if !present {
			current, present = defaultOf(prop)
			if !present {
				continue
			}
			object[name] = current
		}
		fillDefaults(prop, current)
	}
}

// defaultOf returns a copy of the default of a property; one beside a reference
// goes before the one it refers to.
func defaultOf(s *jsonschema.Schema) (any, bool) {
	for s != nil {
		if s.Default != nil {
			return copyJSON(*s.Default), true
		}
		s = s.Ref
	}
	return nil, false
}

// copyJSON copies maps and arrays, so that filling one default does not change
// the schema's own.
func copyJSON(value any) any {
	switch v := value.(type) {
	case map[string]any:
		out := make(map[string]any, len(v))
		for key, element := range v {
			out[key] = copyJSON(element)
		}
		return out
	case []any:
		out := make([]any, len(v))
		for i, element := range v {
			out[i] = copyJSON(element)
		}
		return out
	default:
		return v
	}
}
