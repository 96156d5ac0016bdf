package scenario

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// ParseWith parses a file after changes of the form /load/per_s=300: a JSON pointer and a JSON value, or a bare word. Fields
// that the file leaves out may be set too.
func ParseWith(file string, raw []byte, changes []string) (*Scenario, error) {
	if len(changes) == 0 {
		return Parse(file, raw)
	}
	var doc any
	if err := json.Unmarshal(raw, &doc); err != nil {
		return Parse(file, raw) // the error of Parse gives the position of the syntax error
	}
	for _, c := range changes {
		pointer, text, ok := strings.Cut(c, "=")
		if !ok || !strings.HasPrefix(pointer, "/") {
			return nil, ValidationErrors{{file, c, "not a change of the form POINTER=VALUE", "write it like /load/per_s=300"}}
		}
		var v any
		if json.Unmarshal([]byte(text), &v) != nil {
			v = text
		}
		if err := setValue(&doc, strings.Split(pointer[1:], "/"), v); err != nil {
			return nil, ValidationErrors{{file, pointer, err.Error(), "use the JSON pointer of an existing field or list entry"}}
		}
	}
	b, err := json.Marshal(doc)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return Parse(file, b)
}

// setValue sets the value at a path. It creates missing objects, but no list entries.
func setValue(doc *any, path []string, v any) error {
	if len(path) == 0 {
		*doc = v
		return nil
	}
	key := strings.NewReplacer("~1", "/", "~0", "~").Replace(path[0])
	switch node := (*doc).(type) {
	case map[string]any:
		child, ok := node[key]
		if !ok && len(path) > 1 {
			child = map[string]any{}
		}
		if err := setValue(&child, path[1:], v); err != nil {
			return err
		}
		node[key] = child
		return nil
	case []any:
		i, err := strconv.Atoi(key)
		if err != nil || i < 0 || i >= len(node) {
			return fmt.Errorf("the list has no entry %s", key)
		}
		return setValue(&node[i], path[1:], v)
	}
	return fmt.Errorf("%s is inside a value that is neither an object nor a list", key)
}
