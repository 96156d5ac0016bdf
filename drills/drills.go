// Package drills holds the drills that come with the program.
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

// Names are the drills, in order.
func Names() (l []string) {
	all, _ := fs.Glob(files, "*.json") // the pattern is right
	for _, f := range all {
		l = append(l, strings.TrimSuffix(f, ".json"))
	}
	slices.Sort(l)
	return l
}

// Load reads a drill by its name, or from a file.
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
