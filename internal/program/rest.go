package program

import (
	"context"
	"time"

	"aniseloft/internal/config"
	"aniseloft/internal/fleetconf"
	"aniseloft/internal/protocol/rest"
	"aniseloft/internal/store"
	"aniseloft/internal/transport/clients"
	"aniseloft/internal/transport/listener"
)

const storeOpenTimeout = 10 * time.Second

// openRest opens the record (the SQL store of queries), the spool (results on disk or in memory) and the
// listener of the paged REST protocol. Queries that an
// earlier process left unfinished are ended before the listener opens, so that no client can read them
// in that state.
func (p *Program) openRest(ctx context.Context, settings config.REST, maxConnections int, fleetConfig fleetconf.Config) error {
	openCtx, cancel := context.WithTimeout(ctx, storeOpenTimeout)
	defer cancel()
	var err error
	if p.store, err = store.Open(openCtx, settings.Store); err != nil {
		return err
	}
	if err = p.joinFleetByRecord(openCtx, fleetConfig); err != nil {
		return err
	}
	if p.spool, err = p.openSpool(settings); err != nil {
		return err
	}
	p.restServer = &clients.RESTServer{
		Dispatcher: p.dispatcher, Record: p.store, Spool: p.spool, Node: p.config.Name, Fleet: p.fleet, Log: p.log,
		Retention: time.Duration(settings.KeepSeconds) * time.Second, PurgeInterval: time.Duration(settings.PurgeMS) * time.Millisecond,
		CollectSpool: p.spoolCollector(settings), Drain: p.drainPolicy(),
		Input: clients.NewInputMemory(p.memoryFraction(inputMemoryFraction), maxConnections, rest.MaxRequestBytes),
	}
	if err := p.restServer.Start(ctx); err != nil {
		return err
	}
	p.restListener, err = listener.Listen(settings.Listen, maxConnections, p.log, p.restServer.Serve)
	return err
}

// restKinds returns the kinds of endpoints that speak the paged REST protocol.
func restKinds(settings config.REST) map[string]bool {
	kinds := map[string]bool{}
	for _, kind := range settings.EngineKinds {
		kinds[kind] = true
	}
	return kinds
}
