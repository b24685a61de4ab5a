package schema

import (
	"encoding/json"
	"fmt"
	"math/big"
	"sort"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/santhosh-tekuri/jsonschema/v6"
)

const maxValueLength = 80

// describe says in words what a schema accepts.
func describe(s *jsonschema.Schema) string {
	s = target(s)
	if s == nil {
		return "nothing"
	}
	if s.Enum != nil {
		return "one of " + joinValues(s.Enum.Values)
	}
	what := typeName(s)
	if bounds := describeBounds(s); bounds != "" {
		what += " " + bounds
	}
	if s.Pattern != nil {
		what += " matching " + s.Pattern.String()
	}
	if s.MinLength != nil {
		what += fmt.Sprintf(" of at least %d characters", *s.MinLength)
	}
	if s.MinItems != nil {
		what += fmt.Sprintf(" of at least %d item(s)", *s.MinItems)
	}
	return what
}

func typeName(s *jsonschema.Schema) string {
	if s.Types == nil {
		return "a value"
	}
	names := s.Types.ToStrings()
	for i, name := range names {
		names[i] = typeWords[name]
	}
	return strings.Join(names, " or ")
}

var typeWords = map[string]string{
	"null":    "null",
	"boolean": "true or false",
	"number":  "a number",
	"integer": "an integer",
	"string":  "text",
	"array":   "an array",
	"object":  "a table",
}

func describeBounds(s *jsonschema.Schema) string {
	switch {
	case s.Minimum != nil && s.Maximum != nil:
		return "from " + number(s.Minimum) + " to " + number(s.Maximum)
	case s.ExclusiveMinimum != nil && s.Maximum != nil:
		return "above " + number(s.ExclusiveMinimum) + " and at most " + number(s.Maximum)
	case s.Minimum != nil:
		return "of at least " + number(s.Minimum)
	case s.ExclusiveMinimum != nil:
		return "above " + number(s.ExclusiveMinimum)
	case s.Maximum != nil:
		return "of at most " + number(s.Maximum)
	default:
		return ""
	}
}

func number(r *big.Rat) string {
	if r.IsInt() {
		return r.Num().String()
	}
	f, _ := r.Float64()
	return strconv.FormatFloat(f, 'g', -1, 64)
}

func joinValues(values []any) string {
	words := make([]string, len(values))
	for i, value := range values {
		words[i] = render(value)
	}
	return strings.Join(words, ", ")
}

// describeKeys lists the keys a table may have.
func describeKeys(s *jsonschema.Schema) string {
	s = target(s)
	names := make([]string, 0, len(s.Properties))
	for name := range s.Properties {
		names = append(names, name)
	}
	sort.Strings(names)
	return "one of the keys " + strings.Join(names, ", ")
}

// render shows a value of a file, shortened.
func render(value any) string {
	raw, err := json.Marshal(value)
	text := string(raw)
	if err != nil {
		text = fmt.Sprint(value)
	}
	if len(text) <= maxValueLength {
		return text
	}
	cut := maxValueLength
	for cut > 0 && !utf8.RuneStart(text[cut]) {
		cut--
	}
	return text[:cut] + "..."
}
