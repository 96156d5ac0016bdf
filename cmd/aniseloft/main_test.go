package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// maxWait bounds each wait for an expected event. It is generous, as these tests do not check how soon the event comes.
const maxWait = 20 * time.Second

// binary is the path of the program under test, which TestMain builds.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "aniseloft")
	if err == nil {
		binary = filepath.Join(dir, "aniseloft")
		var out []byte
		if out, err = exec.Command("go", append(append([]string{"build"}, buildFlags...), "-o", binary, ".")...).CombinedOutput(); err != nil {
			err = fmt.Errorf("%w: %s", err, out)
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}
