// Package schema holds the published JSON Schemas of the files that operators write.
package schema

import _ "embed"

// Each variable is the schema of one kind of file: Scenario of a simulated day, Plan of an experiment, Rest of the paged REST
// front and its spool (deploy/rest.json), Log of the coordinator's log settings (deploy/log.json), Drill of a fault injection
// into many coordinators, Fleet of the consensus group and its jobs (deploy/fleet.json).
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
