package schema

import (
	"strconv"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
)

// place is one point of a decoded file with the schema that rules it.
type place struct {
	key    string
	value  any
	schema *jsonschema.Schema
	hidden bool
}

// locate walks from the root of a file along an instance location as the
// validator reports it.
func locate(root *jsonschema.Schema, doc any, location []string) place {
	at := place{value: doc, schema: root}
	for _, token := range location {
		switch parent := at.value.(type) {
		case map[string]any:
			at = at.child(token, parent[token])
		case []any:
			at = at.item(token, parent)
		default:
			return at
		}
	}
	return at
}

func (p place) child(name string, value any) place {
	key := name
	if p.key != "" {
		key = p.key + "." + name
	}
	s := property(p.schema, name)
	return place{key: key, value: value, schema: s, hidden: p.hidden || secret(s)}
}

func (p place) item(index string, values []any) place {
	out := place{key: p.key + "[" + index + "]", schema: items(p.schema), hidden: p.hidden}
	i, err := strconv.Atoi(index)
	if err != nil || i < 0 || i >= len(values) {
		return out
	}
	out.value = values[i]
	out.hidden = out.hidden || secret(out.schema)
	if name := nameOf(out.value); name != "" {
		out.key = p.key + "[" + index + ":" + name + "]"
	}
	return out
}

// secret reports whether a value must not show in messages, which end in logs.
func secret(s *jsonschema.Schema) bool {
	return s != nil && (s.WriteOnly || target(s).WriteOnly)
}

// shown returns the value as a problem may show it.
func (p place) shown() string {
	if p.hidden || holdsSecret(p.schema) {
		return HiddenValue
	}
	return render(p.value)
}

// holdsSecret reports whether a table or an array has a secret inside.
func holdsSecret(s *jsonschema.Schema) bool {
	s = target(s)
	if s == nil {
		return false
	}
	for _, prop := range s.Properties {
		if secret(prop) {
			return true
		}
	}
	item := items(s)
	return item != nil && (secret(item) || holdsSecret(item))
}

// nameOf returns what an array item is called, or "".
func nameOf(value any) string {
	table, ok := value.(map[string]any)
	if !ok {
		return ""
	}
	for _, key := range []string{"name", "id"} {
		if name, ok := table[key].(string); ok && name != "" {
			return shorten(name)
		}
	}
	return ""
}

const maxNameLength = 63

func shorten(name string) string {
	if len(name) > maxNameLength {
		name = strings.ToValidUTF8(name[:maxNameLength], "") + "..."
	}
	return name
}
