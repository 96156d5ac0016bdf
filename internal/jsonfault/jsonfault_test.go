package jsonfault_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"aniseloft/internal/jsonfault"
)

type file struct {
	Name   string `json:"name"`
	Limits struct {
		Cores   float64 `json:"cores"`
		Sockets int     `json:"sockets"`
	} `json:"limits"`
	Peers []string       `json:"peers"`
	On    bool           `json:"on"`
	Extra map[string]int `json:"extra"`
}

// Operators must be told the field, the expected kind of value and the position, without the program's types.
func TestFaultsNameFieldKindAndPosition(t *testing.T) {
	for text, want := range map[string]jsonfault.Fault{
		`{"name":5}`:                        {Field: "name", Found: "number", Problem: "a string is expected", Position: "line 1, column 9"},
		"{\n \"limits\":{\"cores\":\"x\"}}": {Field: "limits.cores", Found: "a string", Problem: "a number is expected", Position: "line 2, column 22"},
		`{"limits":{"sockets":1.5}}`:        {Field: "limits.sockets", Found: "number 1.5", Problem: "a whole number is expected", Position: "line 1, column 24"},
		`{"limits":[]}`:                     {Field: "limits", Found: "an array", Problem: "an object is expected", Position: "line 1, column 11"},
		`{"peers":"a"}`:                     {Field: "peers", Found: "a string", Problem: "an array is expected", Position: "line 1, column 12"},
		`{"on":"yes"}`:                      {Field: "on", Found: "a string", Problem: "a boolean is expected", Position: "line 1, column 11"},
		`{"extra":true}`:                    {Field: "extra", Found: "a boolean", Problem: "an object is expected", Position: "line 1, column 13"},
		`{"name":"n0",`:                     {Problem: "invalid JSON: unexpected end of JSON input", Position: "line 1, column 13"},
		"{\"name\":\n x}":                   {Problem: "invalid JSON: invalid character 'x' looking for beginning of value", Position: "line 2, column 2"},
		``:                                  {Problem: "invalid JSON: unexpected end of JSON input", Position: "line 1, column 1"},
	} {
		got, found := jsonfault.Find([]byte(text), new(file))
		require.True(t, found, text)
		require.Equal(t, want, got, text)
	}
	_, found := jsonfault.Find([]byte(`{"name":"n0"}`), new(file))
	require.False(t, found)
}
