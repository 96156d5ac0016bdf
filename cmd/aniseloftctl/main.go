// Command aniseloftctl is the operators' command-line tool.
package main

import (
	"os"

	"aniseloft/internal/ctl"
)

func main() { os.Exit(ctl.Run(os.Args[1:], os.Stdout, os.Stderr)) }
