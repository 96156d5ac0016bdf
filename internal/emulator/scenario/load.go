package scenario

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"aniseloft/schema"
)

// ValidationError is one problem of a file.
type ValidationError struct {
	File    string `json:"file"`
	Pointer string `json:"pointer"` // JSON pointer (RFC 6901) to the invalid field
	Problem string `json:"problem"`
	Remedy  string `json:"mend"`
}

// Error returns the file, the field, the problem and the remedy.
func (f ValidationError) Error() string {
	return fmt.Sprintf("%s: %s: %s; %s", f.File, f.Pointer, f.Problem, f.Remedy)
}

// ValidationErrors lists all problems of a file.
type ValidationErrors []ValidationError

// Error returns one line for each problem.
func (f ValidationErrors) Error() string {
	lines := make([]string, len(f))
	for i, problem := range f {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// Schema compiles a JSON schema.
func Schema(name string, text []byte) (*jsonschema.Schema, error) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return nil, fmt.Errorf("schema %s: %w", name, err)
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource(name, doc); err != nil {
		return nil, fmt.Errorf("schema %s: %w", name, err)
	}
	s, err := c.Compile(name)
	if err != nil {
		return nil, fmt.Errorf("schema %s: %w", name, err)
	}
	return s, nil
}

// Validate checks a document against a schema. If the document is invalid, the error is a
// ValidationErrors with all problems.
func Validate(file string, raw, schemaText []byte) error {
	var doc any
	if err := json.Unmarshal(raw, &doc); err != nil {
		return ValidationErrors{{file, "/", "not JSON: " + err.Error(), syntaxErrorPosition(raw, err)}}
	}
	s, err := Schema("schema.json", schemaText)
	if err != nil {
		return err
	}
	var invalid *jsonschema.ValidationError
	if err := s.Validate(doc); errors.As(err, &invalid) {
		return schemaErrors(file, invalid)
	} else if err != nil {
		return err
	}
	return nil
}

// syntaxErrorPosition returns a remedy that names the line and column of a syntax error.
func syntaxErrorPosition(raw []byte, err error) string {
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return "write one JSON object"
	}
	before := raw[:min(int(syntax.Offset), len(raw))]
	line := bytes.Count(before, []byte("\n")) + 1
	return fmt.Sprintf("correct line %d, column %d", line, len(before)-bytes.LastIndexByte(before, '\n')-1)
}

// schemaErrors converts a tree of schema errors. It returns one ValidationError for each leaf of the tree.
func schemaErrors(file string, e *jsonschema.ValidationError) ValidationErrors {
	if len(e.Causes) == 0 {
		problem := e.ErrorKind.LocalizedString(message.NewPrinter(language.English))
		remedy := "see the schema for the allowed values"
		if strings.Contains(problem, "additional properties") {
			remedy = "remove it or correct its spelling"
		} else if strings.Contains(problem, "missing") {
			remedy = "add it"
		}
		return ValidationErrors{{file, pointer(e.InstanceLocation...), problem, remedy}}
	}
	var all ValidationErrors
	for _, c := range e.Causes {
		all = append(all, schemaErrors(file, c)...)
	}
	slices.SortStableFunc(all, func(a, b ValidationError) int { return strings.Compare(a.Pointer, b.Pointer) })
	return all
}

// pointer returns the JSON pointer with the given path segments.
func pointer(parts ...string) string {
	var b strings.Builder
	for _, p := range parts {
		b.WriteString("/" + strings.NewReplacer("~", "~0", "/", "~1").Replace(p))
	}
	return max(b.String(), "/")
}

// Parse parses and validates a scenario file. If the file is invalid, the error is a ValidationErrors.
func Parse(file string, raw []byte) (*Scenario, error) {
	if err := Validate(file, raw, schema.Scenario); err != nil {
		return nil, err
	}
	s := Default()
	if err := json.Unmarshal(raw, s); err != nil {
		return nil, ValidationErrors{{file, "/", err.Error(), "see the schema for the allowed values"}}
	}
	s.fillLists()
	c := checker{file: file}
	c.check(s)
	if len(c.errors) > 0 {
		return nil, c.errors
	}
	return s, nil
}
