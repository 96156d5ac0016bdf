// Package program starts the coordinator, carries it through its phases and ends it.
package program

import (
	"errors"
	"fmt"
	"io/fs"
	"os"

	"aniseloft/internal/logconf"
	"aniseloft/internal/nodeconf"
	"aniseloft/internal/wire"
)

// load reads the file that LB_CONFIG names; the environment's name and addresses win.
func load() (*nodeconf.Config, []wire.Finding, error) {
	path := os.Getenv("LB_CONFIG")
	if path == "" {
		return nil, nil, errors.New("LB_CONFIG is not set: it names the configuration; aniseloft --help tells more")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, fmt.Errorf("configuration: %w", err)
	}
	c, found := nodeconf.Parse(raw, nodeconf.Override{Name: os.Getenv("LB_NAME"), Listen: os.Getenv("LB_LISTEN"), Admin: os.Getenv("LB_ADMIN")})
	if err := nodeconf.Err(found); err != nil {
		return nil, found, fmt.Errorf("configuration: %w (aniseloftctl check config %s tells all at once)", err, path)
	}
	return c, found, nil
}

// loadLog reads what is to be logged; where there is no file, only what on-call staff need.
func loadLog() (logconf.Config, error) {
	raw, err := os.ReadFile(logconf.File)
	if errors.Is(err, fs.ErrNotExist) {
		return logconf.Config{}, nil
	}
	if err != nil {
		return logconf.Config{}, fmt.Errorf("%s: %w", logconf.File, err)
	}
	return logconf.Parse(raw)
}
