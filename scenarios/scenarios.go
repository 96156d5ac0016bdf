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
	l, err := files.ReadDir(".")
	if err != nil {
		panic(err) // cannot happen: the files are embedded
	}
	var names []string
	for _, f := range l {
		names = append(names, strings.TrimSuffix(f.Name(), ".json"))
	}
	return names
}

// Raw returns the text and the file name of a scenario, which is given by the name of an embedded scenario or as a file.
func Raw(nameOrFile string) (file string, raw []byte, err error) {
	if raw, err = files.ReadFile(nameOrFile + ".json"); err == nil {
		return nameOrFile + ".json", raw, nil
	}
	if raw, err = os.ReadFile(nameOrFile); err != nil {
		return "", nil, fmt.Errorf("%s is neither an embedded scenario nor a file that can be read (see emulate list): %w", nameOrFile, err)
	}
	return nameOrFile, raw, nil
}

// Load reads and validates a scenario, which is given by the name of an embedded scenario or as a file.
func Load(nameOrFile string) (*scenario.Scenario, error) {
	file, raw, err := Raw(nameOrFile)
	if err != nil {
		return nil, err
	}
	return scenario.Parse(file, raw)
}
