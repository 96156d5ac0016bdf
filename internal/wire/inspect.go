package wire

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"aniseloft/decide"
	"aniseloft/internal/jsonfault"
)

// Finding describes one field of the settings that is invalid, unknown or can't take effect as given.
type Finding struct {
	Field       string `json:"field"`
	Value       string `json:"value"`
	Message     string `json:"says"` // description of the problem
	Consequence string `json:"then"` // what the program does about it
	Fatal       bool   `json:"fatal"`
}

// String returns the finding as one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s = %s: %s; %s", f.Field, f.Value, f.Message, f.Consequence)
}

// FatalFinding returns a finding about a field that prevents the start of the program.
func FatalFinding(field, value, message string) Finding {
	return Finding{field, value, message, "the program does not start", true}
}

// DecodingFinding returns the fatal finding for a text that can't be decoded into a value of target's type. It names
// the field, or the document if the text is not JSON, with the expected type and the position. The decoder's own error
// names types of the program, so it is used only if the standard decoder finds no fault.
func DecodingFinding(document string, raw []byte, target any, decodingError error) Finding {
	fault, hasFault := jsonfault.Find(raw, target)
	switch {
	case !hasFault:
		return FatalFinding(document, "unreadable", decodingError.Error())
	case fault.Field == "":
		return FatalFinding(document, "unreadable", fault.Message())
	}
	return FatalFinding(fault.Field, fault.Found, fault.Message())
}

// undecodedSettings returns the fatal finding for settings that are JSON but can't be decoded: a value of the wrong
// type or, if the standard decoder finds none, the decoder's own error.
func undecodedSettings(raw []byte, decodingError error) Finding {
	if fault, hasFault := jsonfault.Find(raw, new(params)); hasFault {
		return FatalFinding("settings."+fault.Field, fault.Found, fault.Message()+" of the settings")
	}
	return FatalFinding("settings", "as given", decodingError.Error())
}

const maxValueBytes = 60 // longest part of a value that a finding shows, in bytes

// Inspect reads settings and returns all findings, the fatal ones first. With a fatal finding the settings can't be
// used. docs/settings.md describes the effect of each other field and of its absence.
func Inspect(raw []byte) (decide.Settings, []Finding) {
	var tree map[string]any
	if err := json.Unmarshal(raw, &tree); err != nil {
		return decide.Settings{}, []Finding{FatalFinding("settings", truncate(string(raw)), err.Error())}
	}
	var findings []Finding
	s, err := Settings(raw)
	if err != nil {
		findings = append(findings, undecodedSettings(raw, err))
	} else {
		for _, p := range decide.ValidateSettings(&s) {
			settingPath := pathOfSetting(p.Field)
			if p.Fatal {
				findings = append(findings, FatalFinding(settingPath, describeValueAt(tree, settingPath), p.Message))
			} else {
				findings = append(findings, Finding{settingPath, describeValueAt(tree, settingPath), p.Message, p.Consequence, false})
			}
		}
	}
	knownPaths := map[string]bool{}
	for _, f := range SettingsFields {
		knownPaths[f.Path] = true
		for i := range f.Path { // the objects that contain it are known too
			if f.Path[i] == '.' {
				knownPaths[f.Path[:i]] = true
			}
		}
		knownPaths[strings.TrimSuffix(f.Path, "[]")] = true
	}
	findUnknownFields(tree, "", knownPaths, &findings)
	slices.SortStableFunc(findings, func(a, b Finding) int {
		switch {
		case a.Fatal == b.Fatal:
			return 0
		case a.Fatal:
			return -1
		}
		return 1
	})
	return s, findings
}

// findUnknownFields appends a finding for each field that is not in SettingsFields, in the order of their names.
func findUnknownFields(v any, parent string, knownPaths map[string]bool, findings *[]Finding) {
	switch v := v.(type) {
	case map[string]any:
		names := make([]string, 0, len(v))
		for name := range v {
			names = append(names, name)
		}
		slices.Sort(names)
		for _, name := range names {
			path := strings.TrimPrefix(parent+"."+name, ".")
			generalPath := generalizePath(path)
			if !knownPaths[generalPath] && !knownPaths[generalPath+"[]"] {
				text, _ := json.Marshal(v[name])
				*findings = append(*findings, Finding{path, truncate(string(text)), "unknown field", "it is ignored", false})
				continue
			}
			findUnknownFields(v[name], path, knownPaths, findings)
		}
	case []any:
		for i, element := range v {
			findUnknownFields(element, fmt.Sprintf("%s[%d]", parent, i), knownPaths, findings)
		}
	}
}

// generalizePath replaces each [N] in a path by [].
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

// pathOfSetting returns the JSON path of a field of decide's types, such as Classes[2].LatencyObjective.
func pathOfSetting(field string) string {
	owner, name, hasOwner := strings.Cut(field, ".")
	base, index, _ := strings.Cut(strings.TrimSuffix(owner, "]"), "[")
	setting := "Settings." + field
	if hasOwner {
		setting = map[string]string{"Classes": "Class", "Kinds": "EndpointKind", "Tenants": "Tenant", "Rules": "Rules"}[base] + "." + name
	}
	if base == "Classes" && !hasOwner {
		return "lanes"
	}
	if base == "Kinds" && !hasOwner {
		return "domain.sizeCores"
	}
	for _, f := range SettingsFields {
		if f.Target == setting {
			return strings.TrimSuffix(strings.Replace(f.Path, "[]", "["+index+"]", 1), "[]")
		}
	}
	return field
}

// describeValueAt returns the value at a path as JSON, shortened, or "absent".
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

// truncate shortens a text to maxValueBytes.
func truncate(s string) string {
	if len(s) > maxValueBytes {
		return s[:maxValueBytes] + "..."
	}
	return s
}
