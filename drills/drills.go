// Package drills embeds the drills that come with the program.
package drills

import (
	"embed"
	"fmt"
	"io/fs"
	"os"
	"slices"
	"strings"

	"aniseloft/internal/drill"
)

//go:embed *.json
var files embed.FS

// Names returns the names of the drills in alphabetical order.
func Names() (names []string) {
	matches, _ := fs.Glob(files, "*.json") // fails only for a malformed pattern
	for _, file := range matches {
		names = append(names, strings.TrimSuffix(file, ".json"))
	}
	slices.Sort(names)
	return names
}

// Load reads an embedded drill by its name, or a drill file by its path. The error of an invalid drill is a
// scenario.ValidationErrors.
func Load(name string) (*drill.Drill, error) {
	file := name + ".json"
	raw, err := files.ReadFile(file)
	if err != nil {
		file = name
		if raw, err = os.ReadFile(name); err != nil {
			return nil, fmt.Errorf("drill %s: no such drill or file; the drills are %s", name, strings.Join(Names(), ", "))
		}
	}
	return drill.Parse(file, raw)
}
