// Package scenarios embeds the scenario files that come with the program.
package scenarios

import (
	"embed"
	"fmt"
	"os"
	"strings"

	"aniseloft/internal/emulator/scenario"
)

//go:embed *.json
var files embed.FS

// Names returns the names of the embedded scenarios, sorted.
func Names() []string {
	entries, err := files.ReadDir(".")
	if err != nil {
		panic(err) // cannot happen: the directory is embedded
	}
	var names []string
	for _, f := range entries {
		names = append(names, strings.TrimSuffix(f.Name(), ".json"))
	}
	return names
}

// Raw returns the file name and the JSON text of a scenario, given the name of an embedded scenario or the path of a
// file.
func Raw(nameOrFile string) (file string, raw []byte, err error) {
	if raw, err = files.ReadFile(nameOrFile + ".json"); err == nil {
		return nameOrFile + ".json", raw, nil
	}
	if raw, err = os.ReadFile(nameOrFile); err != nil {
		return "", nil, fmt.Errorf("%s is neither an embedded scenario nor a file that can be read (see emulate list): %w", nameOrFile, err)
	}
	return nameOrFile, raw, nil
}

// Load reads and validates a scenario, given the name of an embedded scenario or the path of a file.
func Load(nameOrFile string) (*scenario.Scenario, error) {
	file, raw, err := Raw(nameOrFile)
	if err != nil {
		return nil, err
	}
	return scenario.Parse(file, raw)
}
