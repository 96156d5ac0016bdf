// Package program starts the coordinator, carries it through its phases and ends it.
package program

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strconv"

	jsoniter "github.com/json-iterator/go"

	"aniseloft/decide"
	"aniseloft/internal/logconf"
	"aniseloft/internal/protocol/journal"
	"aniseloft/internal/wire"
)

var configJSON = jsoniter.Config{CaseSensitive: true}.Froze()

// config is the file that LB_CONFIG names.
type config struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	Admin  string `json:"admin"` // the operators' second address; empty: none
	Seed   string `json:"seed"`
	Limits struct {
		Cores    float64 `json:"cores"`
		MemoryMB int64   `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	// Where datagrams of other coordinators come, the address of each by its number, and
	// one that reaches all. Empty: there is no such way.
	PeerListen string              `json:"peer_listen"`
	Peers      []string            `json:"peers"`
	PeersAll   string              `json:"peers_all"`
	Journal    string              `json:"journal"`
	Known      journal.Batch       `json:"known"`
	Raw        jsoniter.RawMessage `json:"settings"`

	settings decide.Settings
	seed     uint64
}

// load reads the configuration; the environment's name and address win.
func load() (*config, error) {
	path := os.Getenv("LB_CONFIG")
	if path == "" {
		return nil, errors.New("LB_CONFIG is not set")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	var c config
	if err := configJSON.Unmarshal(raw, &c); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if v := os.Getenv("LB_LISTEN"); v != "" {
		c.Listen = v
	}
	if v := os.Getenv("LB_ADMIN"); v != "" {
		c.Admin = v
	}
	if v := os.Getenv("LB_NAME"); v != "" {
		c.Name = v
	}
	switch {
	case c.Listen == "":
		return nil, errors.New("configuration: listen is missing")
	case c.Journal == "":
		return nil, errors.New("configuration: journal is missing")
	case c.Limits.MemoryMB < 32:
		return nil, errors.New("configuration: limits.memory_mb: at least 32 is needed")
	case c.Limits.Sockets < 64:
		return nil, errors.New("configuration: limits.sockets: at least 64 is needed")
	case len(c.Raw) == 0:
		return nil, errors.New("configuration: settings are missing")
	}
	if c.seed, err = strconv.ParseUint(c.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("configuration: seed: %w", err)
	}
	if c.settings, err = wire.Settings(c.Raw); err != nil {
		return nil, fmt.Errorf("configuration: settings: %w", err)
	}
	return &c, nil
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
