// Package jsonfault says what is wrong with JSON that can't be decoded, in words that whoever wrote it can act on: the
// field, the kind of value that is expected there, and the position.
package jsonfault

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
)

// Fault is the first thing wrong with a text.
type Fault struct {
	Field    string // path of the field, by its names in the file; empty: the text is no JSON at all
	Found    string // what stands there; empty: Problem says it
	Problem  string
	Position string // line and column, from 1
}

// Message says what is wrong and where.
func (f Fault) Message() string { return f.Problem + ", at " + f.Position }

// Find decodes a text into target as the standard decoder does, and returns what is wrong with it; false: nothing is. The
// target's content is of no use after that.
func Find(raw []byte, target any) (fault Fault, found bool) {
	err := json.Unmarshal(raw, target)
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case err == nil:
		return Fault{}, false
	case errors.As(err, &syntax):
		return Fault{Problem: "no JSON: " + syntax.Error(), Position: position(raw, syntax.Offset)}, true
	case errors.As(err, &kind):
		return Fault{Field: kind.Field, Found: describeFound(kind.Value), Problem: describeExpected(kind.Type) + " is needed", Position: position(raw, kind.Offset)}, true
	}
	return Fault{Problem: err.Error(), Position: position(raw, 0)}, true
}

// position is the line and the column of the last byte that was read.
func position(raw []byte, offset int64) string {
	before := raw[:min(max(offset-1, 0), int64(len(raw)))]
	line := 1 + bytes.Count(before, []byte("\n"))
	column := len(before) - bytes.LastIndexByte(before, '\n')
	return fmt.Sprintf("line %d, column %d", line, column)
}

// describeFound puts the standard decoder's name of a value's kind, such as "number 1.5", in words.
func describeFound(value string) string {
	name, _, _ := strings.Cut(value, " ")
	switch name {
	case "string":
		return "a text"
	case "array":
		return "a list"
	case "object":
		return "an object"
	case "bool":
		return "true or false"
	}
	return value
}

func describeExpected(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a text"
	case reflect.Bool:
		return "true or false"
	case reflect.Slice, reflect.Array:
		return "a list"
	case reflect.Struct, reflect.Map:
		return "an object"
	case reflect.Float32, reflect.Float64:
		return "a number"
	}
	return "a whole number"
}
