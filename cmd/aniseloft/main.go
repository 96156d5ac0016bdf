// Command aniseloft runs a coordinator. The environment variable LB_CONFIG names its configuration file.
package main

import (
	"os"

	"aniseloft/internal/program"
)

func main() { os.Exit(program.Main(os.Args[1:], os.Stdout, os.Stderr)) }
