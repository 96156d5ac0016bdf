// Package schema holds the published JSON Schemas of the files that operators write.
package schema

import _ "embed"

// Scenario describes a day to rehearse; Plan an experiment; Rest the paged REST front
// and its spool, deploy/rest.json; Log what the coordinator logs, deploy/log.json; Drill what
// goes wrong among many coordinators; Fleet what coordinators do together, deploy/fleet.json.
var (
	//go:embed scenario.schema.json
	Scenario []byte
	//go:embed plan.schema.json
	Plan []byte
	//go:embed rest.schema.json
	Rest []byte
	//go:embed log.schema.json
	Log []byte
	//go:embed drill.schema.json
	Drill []byte
	//go:embed fleet.schema.json
	Fleet []byte
)
