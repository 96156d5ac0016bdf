//go:build race

package main

// buildFlags builds the program with the race detector where the tests are built with it.
var buildFlags = []string{"-race"}
