package schema

import (
	"encoding/json"
	"fmt"
	"sort"
	"unicode/utf8"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
)

// Decode reads one TOML file into out, a pointer to the type generated from the
// schema. Defaults are filled in first. It returns every problem of the file at
// once and leaves out alone when there is one. schemaRef is a file of this
// package with an optional fragment, such as "inventory.json#/$defs/Rules".
func Decode(schemaRef, file string, data []byte, out any) Problems {
	root := lookup(schemaRef)
	doc, problem := parse(file, data)
	if problem != nil {
		return Problems{*problem}
	}
	fillDefaults(root, doc)
	if problems := validate(root, file, doc); len(problems) > 0 {
		return problems
	}
	return convert(file, doc, out)
}

func parse(file string, data []byte) (map[string]any, *Problem) {
	if !utf8.Valid(data) {
		return nil, &Problem{File: file, Expected: "text in UTF-8"}
	}
	doc := make(map[string]any)
	if err := toml.Unmarshal(data, &doc); err != nil {
		return nil, syntaxProblem(file, err)
	}
	return doc, nil
}

func syntaxProblem(file string, err error) *Problem {
	var decodeErr *toml.DecodeError
	if !errors.As(err, &decodeErr) {
		return &Problem{File: file, Expected: "valid TOML: " + err.Error()}
	}
	line, column := decodeErr.Position()
	return &Problem{
		File:     file,
		Key:      fmt.Sprintf("line %d, column %d", line, column),
		Expected: "valid TOML: " + decodeErr.Error(),
	}
}

func validate(root *jsonschema.Schema, file string, doc any) Problems {
	err := root.Validate(doc)
	if err == nil {
		return nil
	}
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return Problems{{File: file, Expected: err.Error()}}
	}
	c := collector{file: file, root: root, doc: doc}
	c.collect(invalid)
	c.problems.Sort()
	return c.problems
}

type collector struct {
	file     string
	root     *jsonschema.Schema
	doc      any
	problems Problems
}

// collect reports the leaves of the validator's tree of errors.
func (c *collector) collect(e *jsonschema.ValidationError) {
	if len(e.Causes) > 0 {
		for _, cause := range e.Causes {
			c.collect(cause)
		}
		return
	}
	at := locate(c.root, c.doc, e.InstanceLocation)
	switch k := e.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		sort.Strings(k.Properties)
		for _, name := range k.Properties {
			c.addUnknown(at, name)
		}
	case *kind.Required:
		for _, name := range k.Missing {
			missing := at.child(name, nil)
			c.add(missing.key, MissingValue, describe(missing.schema))
		}
	default:
		c.add(at.key, at.shown(), describe(at.schema))
	}
}

func (c *collector) addUnknown(at place, name string) {
	table, _ := at.value.(map[string]any)
	unknown := at.child(name, table[name])
	// A misspelt key may hold a secret beside the known ones.
	unknown.hidden = unknown.hidden || holdsSecret(at.schema)
	c.add(unknown.key, unknown.shown(), describeKeys(at.schema))
}

func (c *collector) add(key, value, expected string) {
	c.problems = append(c.problems, Problem{File: c.file, Key: key, Value: value, Expected: expected})
}

// convert writes a checked document into the generated type, whose field names
// stand in its JSON tags.
func convert(file string, doc, out any) Problems {
	raw, err := json.Marshal(doc)
	if err == nil {
		err = json.Unmarshal(raw, out)
	}
	if err == nil {
		return nil
	}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return Problems{{
			File:     file,
			Key:      wrongType.Field,
			Value:    wrongType.Value,
			Expected: "a value that fits " + wrongType.Type.String(),
		}}
	}
	return Problems{{File: file, Expected: err.Error()}}
}
