// Command aniseloft is one coordinator; LB_CONFIG names its configuration.
package main

import (
	"os"

	"aniseloft/internal/program"
)

func main() { os.Exit(program.Main(os.Args[1:], os.Stdout, os.Stderr)) }
