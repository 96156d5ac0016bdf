package program

import (
	"context"
	"fmt"
	"os"
	"time"

	"aniseloft/decide"
	"aniseloft/internal/config"
	"aniseloft/internal/fleetconf"
	"aniseloft/internal/lease"
	"aniseloft/internal/memory"
	"aniseloft/internal/millis"
	"aniseloft/internal/protocol/jsonrpc"
	"aniseloft/internal/routing"
	"aniseloft/internal/transport/clients"
	"aniseloft/internal/transport/discovery"
	"aniseloft/internal/transport/gossip"
	"aniseloft/internal/transport/listener"
	"aniseloft/internal/transport/upstream"
)

// start starts all components, each before those that depend on it. Nothing is closed on an error, as
// the process exits.
func (p *Program) start() error {
	if err := p.loadConfig(); err != nil {
		return err
	}
	p.applyRuntimeLimits()
	restSettings, err := config.LoadREST(p.config.Settings)
	if err != nil {
		return err
	}
	budget := divideSockets(p.config.Limits.Sockets, gossipEnabled(p.config), restSettings.Listen != "")
	if err := p.startDispatcher(budget, restSettings); err != nil {
		return err
	}
	fleetConfig, err := config.LoadFleet()
	if err != nil {
		return err
	}
	if err := p.joinFleet(fleetConfig); err != nil {
		return err
	}
	p.overrides = newOverrideStore(os.TempDir(), p.dispatcher.UpdateOverrides, p.log)
	p.overrides.load()
	p.startDiscovery()
	if err := p.listen(budget); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancelComponents = cancel
	if err := p.startRest(ctx, restSettings, budget.maxRESTClients, fleetConfig); err != nil {
		return err
	}
	// Another process of this coordinator that detects this one may close its listeners, so those of this process
	// must be open before.
	p.instance = lockInstance(os.TempDir())
	p.startGoroutines(ctx)
	return nil
}

// loadConfig reads the configuration and the log settings, and logs warnings about questionable settings.
func (p *Program) loadConfig() error {
	coordinatorConfig, findings, err := config.LoadCoordinator()
	if err != nil {
		return err
	}
	p.config = coordinatorConfig
	if p.logConfig, err = config.LoadLog(); err != nil {
		return err
	}
	p.logLevel.Set(p.logConfig.Level)
	for _, finding := range findings {
		p.log.Warn("settings", "field", finding.Field, "value", finding.Value, "says", finding.Message, "then", finding.Consequence)
	}
	return nil
}

// startDispatcher creates the dispatcher, the upstream pool and the gossip socket.
func (p *Program) startDispatcher(budget connectionBudget, restSettings config.REST) error {
	settings, err := p.startGossip()
	if err != nil {
		return err
	}
	connectTimeout, idleTimeout := upstreamTimeouts(settings)
	p.pool = upstream.NewPool(budget.maxUpstream, connectTimeout, idleTimeout, p.log)
	settings.MaxInFlight = p.maxInFlight(budget.maxUpstream)
	p.drain.setLongestDeadline(longestDeadline(settings.Classes))
	upstreams := upstream.Factory{Pool: p.pool, KindNames: settings.KindNames, RESTKinds: restKinds(restSettings), User: p.config.Name}
	statements := memory.NewBudget(p.memoryFraction(statementMemoryFraction), budget.maxClients+budget.maxRESTClients)
	p.dispatcher, err = routing.NewDispatcher(settings, p.config.SeedNumber, upstreams, p.log, statements)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	if p.gossipTransport != nil {
		p.dispatcher.PeerSender = p.gossipTransport
	}
	return nil
}

// longestDeadline returns the longest deadline of the classes.
func longestDeadline(classes []decide.Class) time.Duration {
	longest := decide.Millis(0)
	for _, class := range classes {
		longest = max(longest, class.Deadline)
	}
	return millis.Duration(longest)
}

// startGossip opens the gossip socket and returns the settings. If no socket is configured, gossip is disabled in them.
func (p *Program) startGossip() (decide.Settings, error) {
	settings := p.config.Settings
	if !gossipEnabled(p.config) {
		settings.GossipEnabled = false // the balancer would spend its budget on messages that no coordinator receives
		return settings, nil
	}
	var err error
	p.gossipTransport, err = gossip.Listen(p.config.PeerListen, p.config.Peers, p.config.PeersAll, settings.BalancerIndex, p.log)
	if err != nil {
		return settings, fmt.Errorf("configuration: %w", err)
	}
	return settings, nil
}

func (p *Program) startDiscovery() {
	p.discovery = discovery.NewWatcher(p.config.Journal, p.dispatcher, p.log)
	if p.fleet != nil && p.fleet.HasJob(lease.JobReadJournal) {
		p.discovery.Share(discovery.NewSharedList(p.fleet, p.config.Name, p.log))
	}
}

// listen opens the listeners for clients and, if configured, for operators' calls.
func (p *Program) listen(budget connectionBudget) error {
	p.jsonRPCServer = &clients.JSONRPCServer{
		Dispatcher: p.dispatcher, Log: p.log, Drain: p.drainPolicy(),
		Input:  clients.NewInputMemory(p.memoryFraction(inputMemoryFraction), budget.maxClients, jsonrpc.MaxLineBytes),
		Output: clients.NewOutputMemory(p.memoryFraction(answerMemoryFraction), budget.maxClients),
	}
	var err error
	if p.clientListener, err = listener.Listen(p.config.Listen, budget.maxClients, p.log, p.jsonRPCServer.Serve); err != nil {
		return err
	}
	if p.config.Admin == "" {
		return nil
	}
	adminServer := &clients.AdminServer{Execute: p.executeCommand, Log: p.log}
	if p.adminListener, err = listener.Listen(p.config.Admin, budget.maxAdmin, p.log, adminServer.Serve); err != nil {
		return fmt.Errorf("admin: %w", err)
	}
	return nil
}

// startRest starts the paged REST protocol if it is configured. It fails if the fleet file selects leases that the
// record (the SQL store of REST queries) grants but no record is configured.
func (p *Program) startRest(ctx context.Context, restSettings config.REST, maxConnections int, fleetConfig fleetconf.Config) error {
	if restSettings.Listen != "" {
		return p.openRest(ctx, restSettings, maxConnections, fleetConfig)
	}
	if fleetConfig.Backend == fleetconf.BackendRecord {
		return fleetconf.FieldError{Pointer: "/by", Problem: "no record is configured", Remedy: "configure one in " + config.RESTFile + ", or use a consensus group (\"by\": \"council\")"}
	}
	return nil
}

// startGoroutines starts the goroutines of the components. Those of the listeners end when the listener is closed, all
// others when ctx is cancelled.
func (p *Program) startGoroutines(ctx context.Context) {
	if p.fleet != nil {
		go p.fleet.Run(ctx)
	}
	go p.dispatcher.Run(ctx)
	if p.gossipTransport != nil {
		go p.gossipTransport.Run(ctx, p.dispatcher.ReceiveGossip)
	}
	p.discovery.LoadCached(p.config.Known)
	go p.discovery.Run(ctx)
	go p.clientListener.Run()
	go p.overrides.watch(ctx)
	if p.adminListener != nil {
		go p.adminListener.Run()
	}
	if p.restListener != nil {
		go p.restListener.Run()
	}
}
