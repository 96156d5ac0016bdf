package simulation

import (
	"aniseloft/decide"
)

// pool returns the coordinator's connections to an engine.
func (c *coordinator) pool(proc *engineProcess) *connectionPool {
	p := c.pools[proc]
	if p == nil {
		p = &connectionPool{}
		if c.pools != nil {
			c.pools[proc] = p
		}
	}
	return p
}

// sendGossip delivers a datagram to one coordinator or to all others. Each copy may be lost; the bytes of
// those that arrive count towards Totals.GossipBytes.
func (sim *Simulation) sendGossip(from *coordinator, action decide.SendGossip) {
	network := sim.scenario.Coordinators
	for _, to := range sim.coordinators {
		if to == from || action.To != decide.AllPeers && action.To != to.index {
			continue
		}
		delay := network.GossipDelayMS.Draw(sim.gossipRand)
		if sim.gossipRand.Float64() < network.GossipLossRatio {
			continue
		}
		sim.loop.After(delay, func() {
			if to.running {
				sim.observer.Totals().GossipBytes += len(action.Data)
				to.deliver(sim, gossipInput{decide.GossipReceived{From: from.index, Data: action.Data}})
			}
		})
	}
}

// releaseConnection ends an attempt's use of its connection, once. A reusable connection becomes idle, any other is
// closed.
func (proc *engineProcess) releaseConnection(a *attempt, reusable bool) {
	if a.connectionReleased || proc.incarnation != a.engineIncarnation || !proc.running {
		return
	}
	a.connectionReleased = true
	if reusable {
		a.coordinator.pool(proc).put(proc.sim.loop.Now())
	} else {
		proc.connections--
	}
}

// connectionPool holds the idle connections of one coordinator to one engine. A connection carries one query at a time.
type connectionPool struct {
	idle []float64 // times at which the connections became idle, the oldest first
}

// put adds a connection that becomes idle now.
func (p *connectionPool) put(now float64) { p.idle = append(p.idle, now) }

// take takes the most recently used connection and reports whether there was one. It closes the
// connections that have been idle for idleMS.
func (p *connectionPool) take(proc *engineProcess, now, idleMS float64) bool {
	for len(p.idle) > 0 && p.idle[0]+idleMS <= now {
		p.idle = p.idle[1:]
		proc.connections--
	}
	if len(p.idle) == 0 {
		return false
	}
	p.idle = p.idle[:len(p.idle)-1]
	return true
}

// connect sends a message to the engine over an idle or a new connection. Deliver is called at the engine, with the
// incarnation that the connection leads to; refused is called at the coordinator if no connection is established.
func (proc *engineProcess) connect(c *coordinator, deliver func(incarnation int), refused func()) {
	sim, engines := proc.sim, proc.sim.scenario.Engines
	now, delay := sim.loop.Now(), sim.networkDelay(c.zone, proc.zone)
	incarnation := proc.incarnation
	if c.pool(proc).take(proc, now, engines.IdleTimeoutMS) {
		sim.loop.After(delay, func() { deliver(incarnation) })
		return
	}
	switch {
	case proc.unresponsive:
		sim.loop.After(engines.ConnectTimeoutMS, refused)
		return
	case !proc.running || proc.connections >= engines.Connections:
		sim.loop.After(2*delay, refused)
		return
	}
	proc.connections++
	sim.observer.Totals().Handshakes++
	sim.loop.After(delay*(1+2*engines.HandshakeRTTs), func() { deliver(incarnation) })
}

// networkDelay draws the time that a message takes between two zones, in ms.
func (sim *Simulation) networkDelay(a, b int) float64 {
	delay := sim.scenario.Network.SameZoneMS
	if a != b {
		delay = sim.scenario.Network.CrossZoneMS
	}
	return sim.jitter((delay.Min + delay.Max) / 2)
}

// clientDelay draws the time that a message takes between a client and a coordinator, in ms.
func (sim *Simulation) clientDelay() float64 {
	return sim.jitter((sim.scenario.Network.ClientMS.Min + sim.scenario.Network.ClientMS.Max) / 2)
}

// jitter draws a delay, in ms, around the given mean.
func (sim *Simulation) jitter(ms float64) float64 {
	return ms * (1 + sim.scenario.Network.Jitter*(2*sim.networkRand.Float64()-1))
}
