// Package knownred has no code: its tests hold .ci/known-red, by which CI passes over the tests that KNOWN-RED.txt names.
package knownred

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// ci runs the script in a module of one folder, with two tests that pass and two that fail, and the given list.
func ci(t *testing.T, list string) (out string, err error) {
	dir := t.TempDir()
	write := func(name, text string) {
		require.NoError(t, os.MkdirAll(filepath.Dir(filepath.Join(dir, name)), 0o700))
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	write("go.mod", "module example\n\ngo 1.24\n")
	write("one/one_test.go", `package one

import "testing"

func TestGood(t *testing.T)  {}
func TestRed(t *testing.T)   { t.Fatal("red as known") }
func TestOther(t *testing.T) { t.Fatal("red and new") }
`)
	write("two/two_test.go", "package two\n\nimport \"testing\"\n\nfunc TestGood(t *testing.T) {}\nfunc TestAlone(t *testing.T) {}\n")
	if list != "" {
		write("KNOWN-RED.txt", list)
	}
	script, err := filepath.Abs("../../.ci/known-red")
	require.NoError(t, err)
	c := exec.Command(script, "go", "test", "-count=1", "./...")
	c.Dir = dir
	c.Env = append(os.Environ(), "GOFLAGS=-mod=mod", "GOWORK=off")
	b, err := c.CombinedOutput()
	return string(b), err
}

const (
	red   = "one TestRed | a true fault | 30\n"
	other = "one TestOther | another | 30\n"
)

func TestTheListIsPassedOverAndNothingElse(t *testing.T) {
	out, err := ci(t, "")
	require.Error(t, err, "no list: all must pass")
	require.Contains(t, out, "red as known")
	out, err = ci(t, red)
	require.Error(t, err, "what it does not name must pass")
	require.Contains(t, out, "red and new")
	out, err = ci(t, "# why\n\n"+red+other)
	require.NoError(t, err, out)
	for _, line := range []string{"known red: one TestRed | a true fault | 30", "red as known", "known red: TestRed fails", "red and new"} {
		require.Contains(t, out, line, "each is run apart and printed")
	}
	require.Equal(t, 1, strings.Count(out, "red as known"))
	out, err = ci(t, red+other+"two TestAlone | gone | 30\n")
	require.NoError(t, err, out)
	require.Contains(t, out, "TestAlone passes now")
}

func TestAListThatBreaksItsRulesFails(t *testing.T) {
	four := red + other + "two TestAlone | a | 1\none TestGood | a | 1\n"
	for list, says := range map[string]string{
		four:                                   "4 lines; 3 at most",
		"one TestRed\n" + other:                "not 'FOLDER TEST | cause | issue'",
		"one TestRed | a fault\n" + other:      "not 'FOLDER TEST | cause | issue'",
		"one TestRed | a fault |\n" + other:    "not 'FOLDER TEST | cause | issue'",
		"one TestRed | | 30\n" + other:         "not 'FOLDER TEST | cause | issue'",
		"| a fault | 30\n" + other:             "not 'FOLDER TEST | cause | issue'",
		"one .* | all of them | 30\n":          "not 'FOLDER TEST | cause | issue'",
		"two TestRed | wrong folder | 3\n":     "TestRed is to stand in two alone",
		"one TestGone | there is none | 3\n":   "stands in: nothing",
		"one TestGood | stands twice | 3\n":    "TestGood is to stand in one alone",
		red + other + "one TestNone | x | 3\n": "stands in: nothing",
	} {
		out, err := ci(t, list)
		require.Error(t, err, list)
		require.Contains(t, out, says)
	}
}
