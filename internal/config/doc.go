// Package config reads and checks the settings of a coordinator: the configuration that LB_CONFIG names
// (Coordinator), and the operators' files below the working directory, each of which may be absent (REST,
// Log). A field that can't be used is reported as a FieldError or a FindingError.
package config
