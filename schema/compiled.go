package schema

import (
	"bytes"
	"fmt"
	"strings"
	"sync"

	"github.com/go-faster/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
)

const baseURL = "https://basilrudder.invalid/schema/"

var compiled sync.Map // schema reference -> *jsonschema.Schema

// lookup returns the compiled schema of a reference such as
// "inventory.json#/$defs/Rules". The schemas are part of the program, so that a
// reference that does not compile is a fault of the program.
func lookup(ref string) *jsonschema.Schema {
	if found, ok := compiled.Load(ref); ok {
		return found.(*jsonschema.Schema)
	}
	made, err := compile(ref)
	if err != nil {
		panic(fmt.Sprintf("schema %s: %v", ref, err))
	}
	found, _ := compiled.LoadOrStore(ref, made)
	return found.(*jsonschema.Schema)
}

func compile(ref string) (*jsonschema.Schema, error) {
	name, _, _ := strings.Cut(ref, "#")
	raw, err := Files.ReadFile(name)
	if err != nil {
		return nil, errors.Wrap(err, "read")
	}
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
	if err != nil {
		return nil, errors.Wrap(err, "parse")
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource(baseURL+name, doc); err != nil {
		return nil, errors.Wrap(err, "add")
	}
	return c.Compile(baseURL + ref)
}

// target follows references to the schema that holds the keywords.
func target(s *jsonschema.Schema) *jsonschema.Schema {
	for s != nil && s.Ref != nil {
		s = s.Ref
	}
	return s
}

// property returns the schema of a property, or nil when it is unknown.
func property(s *jsonschema.Schema, name string) *jsonschema.Schema {
	s = target(s)
	if s == nil {
		return nil
	}
	return s.Properties[name]
}

// items returns the schema of the items of an array, or nil.
func items(s *jsonschema.Schema) *jsonschema.Schema {
	s = target(s)
	if s == nil {
		return nil
	}
	return s.Items2020
}
