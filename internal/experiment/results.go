package experiment

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"

	"aniseloft/internal/emulator/observer"
	"aniseloft/internal/emulator/policy"
)

// Result is the report of one day, with the cell of the plan that it belongs to.
type Result struct {
	Cell
	ScenarioHash string           `json:"day"` // hash of the scenario with the variant's changes; a result of another hash is not reused
	Report       *observer.Report `json:"report"`
}

// resultsFile is the name of the file of results, which holds one Result in each line.
const resultsFile = "results.jsonl"

// LineError reports a line of a results file that is not a result.
type LineError struct {
	File string
	Line int // line number, from 1
}

// Error names the file and the line, and the remedy.
func (e LineError) Error() string {
	return fmt.Sprintf("%s: line %d: not a result; remove that line, and run the plan again", e.File, e.Line)
}

// Load reads the results in a directory, sorted by cell. It ignores a last line without a line feed, which an interrupted run
// leaves behind. Any other invalid line causes a LineError. Without a results file, the error wraps fs.ErrNotExist.
func Load(directory string) ([]Result, error) {
	path := filepath.Join(directory, resultsFile)
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("results: %w", err)
	}
	defer func() { _ = file.Close() }()
	var results []Result
	reader := bufio.NewReaderSize(file, 1<<16)
	for number := 1; ; number++ {
		line, err := reader.ReadBytes('\n')
		if err != nil { // no complete line is left
			slices.SortStableFunc(results, compareCells)
			return results, nil
		}
		var result Result
		if err := json.Unmarshal(line, &result); err != nil || result.Report == nil {
			return nil, LineError{path, number}
		}
		results = append(results, result)
	}
}

// compareCells orders results by scenario, variant, policy (as policy.Names lists them) and seed.
func compareCells(a, b Result) int {
	names := policy.Names()
	return cmp.Or(
		cmp.Compare(a.Scenario, b.Scenario),
		cmp.Compare(a.Variant, b.Variant),
		cmp.Compare(slices.Index(names, a.Policy), slices.Index(names, b.Policy)),
		cmp.Compare(a.Seed, b.Seed))
}

// Policies lists the policies of the results, sorted by name.
func Policies(results []Result) []string {
	var names []string
	for _, r := range results {
		if !slices.Contains(names, r.Policy) {
			names = append(names, r.Policy)
		}
	}
	slices.Sort(names)
	return names
}

// openForAppend opens a results file for appending, and removes a last line without a line feed.
func openForAppend(path string) (*os.File, error) {
	content, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("results: %w", err)
	}
	completeLength := len(content) // length of the complete lines
	for completeLength > 0 && content[completeLength-1] != '\n' {
		completeLength--
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("results: %w", err)
	}
	if err = file.Truncate(int64(completeLength)); err == nil {
		_, err = file.Seek(int64(completeLength), io.SeekStart)
	}
	if err != nil {
		_ = file.Close()
		return nil, fmt.Errorf("results: %w", err)
	}
	return file, nil
}
