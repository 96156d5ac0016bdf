// Package jsonfault describes why JSON can't be decoded, in terms on which its author can act: the field, the type of
// value that is expected there, and the position.
package jsonfault

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
)

// Fault is the first error of a JSON text.
type Fault struct {
	Field    string // path of the field, by its names in the file; empty: the fault concerns the whole text
	Found    string // type of the value at the field; empty: no value was read
	Problem  string // what is wrong, such as "a number is expected"
	Position string // line and column, from 1
}

// Message returns the problem and its position.
func (f Fault) Message() string { return f.Problem + ", at " + f.Position }

// Find decodes a text into target with the standard decoder and returns the first fault; found is false if there is none.
// The content of target must not be used afterwards.
func Find(raw []byte, target any) (fault Fault, found bool) {
	err := json.Unmarshal(raw, target)
	var syntaxError *json.SyntaxError
	var typeError *json.UnmarshalTypeError
	switch {
	case err == nil:
		return Fault{}, false
	case errors.As(err, &syntaxError):
		return Fault{Problem: "invalid JSON: " + syntaxError.Error(), Position: position(raw, syntaxError.Offset)}, true
	case errors.As(err, &typeError):
		return Fault{Field: typeError.Field, Found: describeFound(typeError.Value), Problem: describeExpected(typeError.Type) + " is expected", Position: position(raw, typeError.Offset)}, true
	}
	return Fault{Problem: err.Error(), Position: position(raw, 0)}, true
}

// position returns the line and the column of the last byte that was read.
func position(raw []byte, offset int64) string {
	precedingBytes := raw[:min(max(offset-1, 0), int64(len(raw)))]
	line := 1 + bytes.Count(precedingBytes, []byte("\n"))
	column := len(precedingBytes) - bytes.LastIndexByte(precedingBytes, '\n')
	return fmt.Sprintf("line %d, column %d", line, column)
}

// describeFound translates the standard decoder's description of a value, such as "number 1.5" or "bool", into
// the terms of JSON.
func describeFound(value string) string {
	typeName, _, _ := strings.Cut(value, " ")
	switch typeName {
	case "string":
		return "a string"
	case "array":
		return "an array"
	case "object":
		return "an object"
	case "bool":
		return "a boolean"
	}
	return value
}

// describeExpected returns the JSON type that is decoded into a Go type.
func describeExpected(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "a boolean"
	case reflect.Slice, reflect.Array:
		return "an array"
	case reflect.Struct, reflect.Map:
		return "an object"
	case reflect.Float32, reflect.Float64:
		return "a number"
	}
	return "a whole number"
}
