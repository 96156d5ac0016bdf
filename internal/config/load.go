package config

import (
	"errors"
	"fmt"
	"io/fs"
	"os"

	"aniseloft/decide"
	"aniseloft/internal/fleetconf"
	"aniseloft/internal/wire"
)

// ErrNoConfig is returned if the environment names no configuration.
var ErrNoConfig = errors.New("LB_CONFIG is not set: it must name the configuration file; see aniseloft --help")

// LoadCoordinator reads the file that LB_CONFIG names; the name and addresses in the environment replace
// those of the file. The error is ErrNoConfig, an error of reading the file, or the first FindingError.
func LoadCoordinator() (*Coordinator, []wire.Finding, error) {
	configPath := os.Getenv("LB_CONFIG")
	if configPath == "" {
		return nil, nil, ErrNoConfig
	}
	raw, err := os.ReadFile(configPath)
	if err != nil {
		return nil, nil, fmt.Errorf("configuration: %w", err)
	}
	override := Override{Name: os.Getenv("LB_NAME"), Listen: os.Getenv("LB_LISTEN"), Admin: os.Getenv("LB_ADMIN")}
	coordinator, findings := ParseCoordinator(raw, override)
	if err := FirstFatal(findings); err != nil {
		return nil, findings, fmt.Errorf("configuration: %w (aniseloftctl check config %s lists all findings)", err, configPath)
	}
	return coordinator, findings, nil
}

// LoadLog reads the log settings. Without the file the level is info, at which only what on-call staff need is logged.
func LoadLog() (Log, error) {
	raw, exists, err := readOptional(LogFile)
	if !exists || err != nil {
		return Log{}, err
	}
	return ParseLog(raw)
}

// LoadREST reads the settings of the paged REST protocol and checks them against those of the
// coordinator. Without the file the protocol is off.
func LoadREST(settings decide.Settings) (REST, error) {
	raw, exists, err := readOptional(RESTFile)
	if !exists || err != nil {
		return REST{}, err
	}
	classes := make([]string, len(settings.Classes))
	for i, class := range settings.Classes {
		classes[i] = class.Name
	}
	return ParseREST(raw, settings.KindNames, classes)
}

// readOptional reads a file below the working directory that need not exist.
func readOptional(path string) (raw []byte, exists bool, err error) {
	raw, err = os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, false, nil
	}
	if err != nil {
		return nil, false, fmt.Errorf("%s: %w", path, err)
	}
	return raw, true, nil
}

// LoadFleet reads the settings of the coordination with other coordinators, which is off without the file.
func LoadFleet() (fleetconf.Config, error) {
	raw, exists, err := readOptional(fleetconf.File)
	if !exists || err != nil {
		return fleetconf.Config{}, err
	}
	return fleetconf.Parse(raw)
}
