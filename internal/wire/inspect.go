package wire

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"aniseloft/decide"
	"aniseloft/internal/jsonfault"
)

// Finding is one thing that settings say and the program can't, or won't, follow.
type Finding struct {
	Field       string `json:"field"`
	Value       string `json:"value"`
	Message     string `json:"says"` // what is wrong with it
	Consequence string `json:"then"` // what is done about it
	Fatal       bool   `json:"fatal"`
}

// String is the one line of it.
func (f Finding) String() string {
	return fmt.Sprintf("%s = %s: %s; %s", f.Field, f.Value, f.Message, f.Consequence)
}

// FatalFinding is a finding that ends the start.
func FatalFinding(field, value, says string) Finding {
	return Finding{field, value, says, "the program does not start", true}
}

// DecodingFinding is the fatal finding for a text that could not be decoded into a value of target's type: the field, or
// where the text is no JSON the whole, what is needed there and where that is. The decoder's own error names types of the
// program; it stands only where the standard decoder finds nothing wrong.
func DecodingFinding(whole string, raw []byte, target any, decodingError error) Finding {
	fault, found := jsonfault.Find(raw, target)
	switch {
	case !found:
		return FatalFinding(whole, "unreadable", decodingError.Error())
	case fault.Field == "":
		return FatalFinding(whole, "unreadable", fault.Message())
	}
	return FatalFinding(fault.Field, fault.Found, fault.Message())
}

// undecodedSettings is the fatal finding for settings that are JSON and can't be used: a value of the wrong kind, or else what
// the decoder says of it.
func undecodedSettings(raw []byte, decodingError error) Finding {
	if fault, found := jsonfault.Find(raw, new(params)); found {
		return FatalFinding("settings."+fault.Field, fault.Found, fault.Message()+" of the settings")
	}
	return FatalFinding("settings", "as given", decodingError.Error())
}

const maxValueBytes = 60 // bytes of a value that a line shows

// Inspect reads settings and tells all that is wrong with them, the fatal things first: with one of
// those they can't be used. What it leaves out is read as docs/settings.md says.
func Inspect(raw []byte) (decide.Settings, []Finding) {
	var tree map[string]any
	if err := json.Unmarshal(raw, &tree); err != nil {
		return decide.Settings{}, []Finding{FatalFinding("settings", truncate(string(raw)), err.Error())}
	}
	var found []Finding
	s, err := Settings(raw)
	if err != nil {
		found = append(found, undecodedSettings(raw, err))
	} else {
		for _, p := range decide.ValidateSettings(&s) {
			path := pathOfSetting(p.Field)
			if p.Fatal {
				found = append(found, FatalFinding(path, describeValueAt(tree, path), p.Message))
			} else {
				found = append(found, Finding{path, describeValueAt(tree, path), p.Message, p.Consequence, false})
			}
		}
	}
	known := map[string]bool{}
	for _, f := range SettingsFields {
		known[f.Path] = true
		for i := range f.Path { // what holds it is known too
			if f.Path[i] == '.' {
				known[f.Path[:i]] = true
			}
		}
		known[strings.TrimSuffix(f.Path, "[]")] = true
	}
	findUnknownFields(tree, "", known, &found)
	slices.SortStableFunc(found, func(a, b Finding) int {
		switch {
		case a.Fatal == b.Fatal:
			return 0
		case a.Fatal:
			return -1
		}
		return 1
	})
	return s, found
}

// findUnknownFields finds the fields that Fields lacks, in the order of their names.
func findUnknownFields(v any, at string, known map[string]bool, found *[]Finding) {
	switch v := v.(type) {
	case map[string]any:
		names := make([]string, 0, len(v))
		for name := range v {
			names = append(names, name)
		}
		slices.Sort(names)
		for _, name := range names {
			path := strings.TrimPrefix(at+"."+name, ".")
			general := generalizePath(path)
			if !known[general] && !known[general+"[]"] {
				text, _ := json.Marshal(v[name])
				*found = append(*found, Finding{path, truncate(string(text)), "this program does not know the field", "it is passed over", false})
				continue
			}
			findUnknownFields(v[name], path, known, found)
		}
	case []any:
		for i, one := range v {
			findUnknownFields(one, fmt.Sprintf("%s[%d]", at, i), known, found)
		}
	}
}

// generalizePath writes [] for each [N].
func generalizePath(path string) string {
	var b strings.Builder
	for {
		i := strings.IndexByte(path, '[')
		if i < 0 {
			return b.String() + path
		}
		b.WriteString(path[:i] + "[]")
		_, path, _ = strings.Cut(path[i:], "]")
	}
}

// pathOfSetting is where a field of decide's types, such as Classes[2].Aim, is written.
func pathOfSetting(field string) string {
	owner, name, within := strings.Cut(field, ".")
	base, index, _ := strings.Cut(strings.TrimSuffix(owner, "]"), "[")
	into := "Settings." + field
	if within {
		into = map[string]string{"Classes": "Class", "Kinds": "EndpointKind", "Tenants": "Tenant", "Rules": "Rules"}[base] + "." + name
	}
	if base == "Classes" && !within {
		return "lanes"
	}
	if base == "Kinds" && !within {
		return "domain.sizeCores"
	}
	for _, f := range SettingsFields {
		if f.Target == into {
			return strings.TrimSuffix(strings.Replace(f.Path, "[]", "["+index+"]", 1), "[]")
		}
	}
	return field
}

// describeValueAt is what stands at a path, in short.
func describeValueAt(tree any, path string) string {
	for _, part := range strings.FieldsFunc(path, func(r rune) bool { return r == '.' || r == '[' || r == ']' }) {
		switch v := tree.(type) {
		case map[string]any:
			tree = v[part]
		case []any:
			var i int
			if _, err := fmt.Sscan(part, &i); err != nil || i < 0 || i >= len(v) {
				return "absent"
			}
			tree = v[i]
		default:
			return "absent"
		}
	}
	if tree == nil {
		return "absent"
	}
	text, _ := json.Marshal(tree)
	return truncate(string(text))
}

func truncate(s string) string {
	if len(s) > maxValueBytes {
		return s[:maxValueBytes] + "..."
	}
	return s
}
