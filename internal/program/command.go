package program

import (
	"fmt"
	"io"
	"runtime/debug"
)

const helpText = `aniseloft runs one coordinator between clients and query engines. It takes no arguments to serve.

Usage:
  LB_CONFIG=config.json aniseloft

Environment:
  LB_CONFIG   path of the configuration file, JSON (docs/settings.md); required
  LB_NAME     name of the coordinator; overrides "name" in the file
  LB_LISTEN   address for clients; overrides "listen" in the file
  LB_ADMIN    address for operators' commands; overrides "admin" in the file
  TMPDIR      directory of the state and lock files shared with the next process at an upgrade

Optional files, relative to the working directory:
  deploy/rest.json   paged REST protocol, its record (SQL store of queries) and its spool (results on disk)
  deploy/log.json    log settings

Signals:
  SIGTERM, SIGINT   drain: admit requests for a short time, answer all open ones, then exit with 0
  SIGHUP            reload the configuration and connect to the journal service that it names
  SIGUSR1           print the counters and the state of each engine

Examples:
  LB_CONFIG=example/config.json aniseloft
  aniseloftctl check config example/config.json

Exit codes: 0 regular exit, 1 startup failed, 2 invalid command line.
`

// Main runs the aniseloft command and returns its exit code. Without arguments it serves.
func Main(args []string, out, errOut io.Writer) int {
	if len(args) == 0 {
		return Run(errOut)
	}
	switch args[0] {
	case "-h", "--help", "help":
		_, _ = io.WriteString(out, helpText)
	case "--version", "version":
		_, _ = fmt.Fprintln(out, "aniseloft", version())
	default:
		_, _ = fmt.Fprintf(errOut, "aniseloft: %q is not understood; run aniseloft without arguments to serve, or see aniseloft --help\n", args[0])
		return 2
	}
	return 0
}

// version returns the module version, VCS revision and Go version from the build information.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	versionText := info.Main.Version
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			versionText += " " + setting.Value
		}
	}
	return versionText + " " + info.GoVersion
}
