package ctl

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"aniseloft/internal/config"
	"aniseloft/internal/emulator/scenario"
	"aniseloft/internal/fleetconf"
	"aniseloft/internal/wire"
	"aniseloft/schema"
)

// validateSchema lists the violations of a JSON schema.
func validateSchema(file string, raw, schemaText []byte) (scenario.ValidationErrors, error) {
	var problems scenario.ValidationErrors
	if err := scenario.Validate(file, raw, schemaText); err != nil && !errors.As(err, &problems) {
		return nil, err
	}
	return problems, nil
}

// validateCoordinator lists the problems that a coordinator reports about its configuration.
func validateCoordinator(file string, raw []byte) (scenario.ValidationErrors, error) {
	var problems scenario.ValidationErrors
	_, findings := config.ParseCoordinator(raw, config.Override{})
	for _, f := range findings {
		problems = append(problems, scenario.ValidationError{File: file, Pointer: f.Field, Problem: f.Value + ": " + f.Message, Remedy: f.Consequence})
	}
	return problems, nil
}

// validateFleet lists the violations of the schema or, if there are none, those of the coordinator's rules.
func validateFleet(file string, raw []byte) (scenario.ValidationErrors, error) {
	problems, err := validateSchema(file, raw, schema.Fleet)
	if err != nil || len(problems) > 0 {
		return problems, err
	}
	conf, err := fleetconf.Parse(raw)
	if err != nil && !errors.As(err, &fleetconf.FieldError{}) {
		return nil, err
	}
	for _, f := range conf.Validate() {
		problems = append(problems, scenario.ValidationError{File: file, Pointer: f.Pointer, Problem: f.Problem, Remedy: f.Remedy})
	}
	return problems, nil
}

// validateREST lists the violations of the schema or, if there are none, the first violation of the coordinator's rules.
// Without a configuration file any engine kind and any class is valid.
func validateREST(file string, raw []byte, configFile string) (scenario.ValidationErrors, error) {
	problems, err := validateSchema(file, raw, schema.Rest)
	if err != nil || len(problems) > 0 {
		return problems, err
	}
	var kinds, classes []string
	if configFile != "" {
		if kinds, classes, err = configuredNames(configFile); err != nil {
			return nil, usageError(err)
		}
	}
	if _, err := config.ParseREST(raw, kinds, classes); err != nil {
		var f config.FieldError
		if !errors.As(err, &f) {
			return nil, err
		}
		problems = append(problems, scenario.ValidationError{File: file, Pointer: f.Pointer, Problem: f.Problem, Remedy: f.Remedy})
	}
	return problems, nil
}

// configuredNames reads the names of the engine kinds and the classes from a coordinator's configuration.
func configuredNames(path string) (kinds, classes []string, err error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, fmt.Errorf("check: %w", err)
	}
	var conf struct {
		Settings json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(raw, &conf); err != nil {
		return nil, nil, fmt.Errorf("check: %s: %w", path, err)
	}
	settings, err := wire.Settings(conf.Settings)
	if err != nil {
		return nil, nil, fmt.Errorf("check: %s: settings: %w", path, err)
	}
	for _, class := range settings.Classes {
		classes = append(classes, class.Name)
	}
	return settings.KindNames, classes, nil
}
