package decide

import (
	"bufio"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const (
	maxFileLines   = 300
	maxLineColumns = 110
)

// TestFileAndLineLength limits the length of each file of the decision module and of its lines.
func TestFileAndLineLength(t *testing.T) {
	files, err := filepath.Glob("*.go")
	if err != nil || len(files) < 10 {
		t.Fatalf("found only %d files: %v", len(files), err)
	}
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		f, err := os.Open(name)
		if err != nil {
			t.Fatal(err)
		}
		lines := 0
		for sc := bufio.NewScanner(f); sc.Scan(); lines++ {
			if columns := len(strings.ReplaceAll(sc.Text(), "\t", "    ")); columns > maxLineColumns {
				t.Errorf("%s:%d: line has %d columns, at most %d are allowed", name, lines+1, columns, maxLineColumns)
			}
		}
		if err := f.Close(); err != nil {
			t.Fatal(err)
		}
		if lines > maxFileLines {
			t.Errorf("%s: %d lines, at most %d are allowed", name, lines, maxFileLines)
		}
	}
}
