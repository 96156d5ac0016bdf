package program

import (
	"reflect"

	"aniseloft/internal/config"
)

// reload reads the configuration again and connects to the journal service that it names. An invalid
// file is logged and otherwise ignored, as it must not end a process that serves.
func (p *Program) reload() {
	newConfig, _, err := config.LoadCoordinator()
	if err != nil {
		p.log.Error("configuration not reloaded; the previous one stays in effect", "err", err)
		return
	}
	oldConfig := p.config
	if !reflect.DeepEqual(newConfig.Settings, oldConfig.Settings) || newConfig.Limits != oldConfig.Limits || newConfig.Listen != oldConfig.Listen {
		p.log.Warn("only the address of the journal service is reloaded; other changes need a restart")
	}
	p.reloadFleet()
	p.config.Journal = newConfig.Journal
	p.discovery.Redirect(newConfig.Journal)
	p.log.Info("configuration reloaded", "journal", newConfig.Journal)
}

// reloadFleet reads the fleet file again and applies it as far as this is possible at run time.
func (p *Program) reloadFleet() {
	fleetConfig, err := config.LoadFleet()
	if err == nil && p.fleet != nil {
		err = p.fleet.Reload(fleetConfig)
	}
	if err != nil {
		p.log.Error("fleet file not reloaded; the previous one stays in effect", "err", err)
	}
}
