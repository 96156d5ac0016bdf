package config

import (
	"fmt"

	jsoniter "github.com/json-iterator/go"

	"aniseloft/internal/jsonfault"
)

// strictCodec rejects unknown fields, as a misspelt field would silently have no effect.
var strictCodec = jsoniter.Config{CaseSensitive: true, DisallowUnknownFields: true}.Froze()

// FieldError reports a field of an operators' file that can't be used.
type FieldError struct {
	File    string `json:"file"`
	Pointer string `json:"pointer"` // JSON pointer to the field
	Problem string `json:"problem"`
	Remedy  string `json:"mend"`
}

// Error returns the file, the field, the problem and the remedy.
func (e FieldError) Error() string {
	return fmt.Sprintf("%s: %s: %s; %s", e.File, e.Pointer, e.Problem, e.Remedy)
}

// decodingProblem describes what is wrong with a text that could not be decoded into a value of target's type. The decoder's
// own error, which names types of the program, is used only where the standard decoder finds nothing wrong, as for an
// unknown field.
func decodingProblem(raw []byte, target any, decodingError error) string {
	fault, hasFault := jsonfault.Find(raw, target)
	switch {
	case !hasFault:
		return decodingError.Error()
	case fault.Field == "":
		return fault.Message()
	}
	return fmt.Sprintf("%s: %s, found %s, at %s", fault.Field, fault.Problem, fault.Found, fault.Position)
}
