package decide

import (
	"math/rand/v2"
	"sort"
)

const (
	gossipBudget      = 0.008 // ratio of the total result that messages may cost; too small to be visible
	maxMessageBytes   = 256
	messageOverhead   = 16  // bytes added to the size of each message in its cost
	maxReportLines    = 16  // endpoints in one message of load reports
	gossipMaxAge      = 2.0 // age limit of a peer's message, in multiples of the shortest latency objective
	minGossipInterval = 4.0 // least time between two messages, in housekeeping periods
)

// gossip exchanges load with the other balancers, as often as the cost of messages allows. A balancer sends
// its load in flight to all others. If the cost allows that too seldom to be useful, it sends the load
// reports of endpoints that it knows to one randomly chosen balancer, and the reports spread from one to the
// next.
type gossip struct {
	clock        *clock
	settings     *Settings
	rng          *rand.Rand
	outbox       *outbox
	endpoints    *endpointSet
	peerMessages map[int]peerMessage // the last message of in-flight load, by balancer
	sentAt       Millis              // time of the last message sent, or of the cached endpoint list if later
}

// peerMessage is a message of in-flight load from another balancer.
type peerMessage struct {
	receivedAt Millis
	lines      []gossipLine
}

// hasPeers reports whether a recent message of in-flight load from any other balancer is known.
func (g *gossip) hasPeers() bool { return len(g.peerMessages) > 0 }

// send sends a message if one is due. requestsPerSecond is the rate of arrivals, which sets the budget.
func (g *gossip) send(requestsPerSecond float64) {
	if !g.settings.GossipEnabled || g.settings.Balancers < 2 ||
		g.clock.now-g.sentAt < g.clock.ticks(minGossipInterval*housekeepingTicks) {
		return
	}
	others := g.settings.Balancers - 1
	bytesPerMillisecond := max(g.affordableBytes(requestsPerSecond), 1e-9)
	receiver, data := AllPeers, encodeGossip(gossipInFlight, g.inFlightLines(), maxMessageBytes)
	sendInterval := float64((messageOverhead+len(data))*others) / bytesPerMillisecond
	if sendInterval > g.clock.objectives(gossipMaxAge) {
		receiver = (g.settings.BalancerIndex + 1 + g.rng.IntN(others)) % g.settings.Balancers
		data = encodeGossip(gossipReports, g.reportLines(), maxMessageBytes)
		sendInterval = float64(messageOverhead+len(data)) / bytesPerMillisecond
	}
	nothingToReport := receiver != AllPeers && len(data) < 2
	if g.clock.now-g.sentAt < sendInterval || nothingToReport {
		return
	}
	g.sentAt = g.clock.now
	g.outbox.add(SendGossip{receiver, data})
}

// affordableBytes is the budget for messages, in bytes per ms.
func (g *gossip) affordableBytes(requestsPerSecond float64) float64 {
	cost := max(g.settings.GossipCost, gossipBudget/maxMessageBytes)
	return maxMessageBytes * gossipBudget / cost * requestsPerSecond / 1000
}

// inFlightLines are this balancer's threads of long classes and memory in flight, by endpoint.
func (g *gossip) inFlightLines() []gossipLine {
	var lines []gossipLine
	for _, e := range g.endpoints.sorted {
		threads := e.inFlight.threads[longClass]
		if threads > 0 || e.inFlight.memoryMB > 0 {
			lines = append(lines, gossipLine{gossipTag(e.ID), []float64{threads, e.inFlight.memoryMB}})
		}
	}
	return lines
}

// reportLines are the failed connections seen here and the fresh load reports known here. The endpoints with
// most requests in flight come first, up to half of a message, because idle endpoints answer all balancers
// often and overloaded ones seldom. The newest of the other reports follow.
func (g *gossip) reportLines() []gossipLine {
	var withReport []*endpoint
	var lines []gossipLine
	period := g.clock.ticks(housekeepingTicks)
	for _, e := range g.endpoints.sorted {
		failureAge := g.clock.now - e.health.localConnectFailureAt
		failing := e.health.localConnectFailureAt > e.health.lastActivityAt &&
			failureAge < g.clock.objectives(reportMaxAge)
		if failing && len(lines) < maxReportLines/2 {
			lines = append(lines, gossipLine{gossipTag(e.ID), []float64{failureAge / period, 0, 0}})
		} else if e.reportIsFresh(g.clock) {
			age := g.clock.now - e.report.receivedAt
			e.score = e.report.InFlight / e.cores * (1 - age/g.clock.objectives(reportMaxAge))
			withReport = append(withReport, e)
		}
	}
	sort.SliceStable(withReport, func(i, j int) bool { return withReport[i].score > withReport[j].score })
	otherReports := withReport[min(len(withReport), maxReportLines/2):]
	newestFirst := func(i, j int) bool {
		return otherReports[i].report.receivedAt > otherReports[j].report.receivedAt
	}
	sort.SliceStable(otherReports, newestFirst)
	for _, e := range withReport[:min(len(withReport), maxReportLines-len(lines))] {
		age := (g.clock.now - e.report.receivedAt) / period
		memory := 1 + 100*max(e.report.Memory, -0.01)
		lines = append(lines, gossipLine{gossipTag(e.ID), []float64{age, 1 + e.report.InFlight, memory}})
	}
	return lines
}

// receive handles a message. It returns the lines of a message of load reports and drops malformed messages
// as a whole.
func (g *gossip) receive(ev GossipReceived) (reports []gossipLine) {
	form, lines, ok := decodeGossip(ev.Data)
	if !ok || ev.From < 0 || ev.From >= g.settings.Balancers || ev.From == g.settings.BalancerIndex {
		return nil
	}
	if form == gossipInFlight {
		g.peerMessages[ev.From] = peerMessage{g.clock.now, lines}
		g.sumPeers()
		return nil
	}
	return lines
}

// sumPeers sums the load in recent messages, by endpoint. An endpoint missing from a message adds nothing.
func (g *gossip) sumPeers() {
	for _, e := range g.endpoints.sorted {
		e.peerLoad = peerLoad{}
	}
	// Values are whole numbers, so the sums don't depend on map order.
	for from, message := range g.peerMessages {
		if g.clock.now-message.receivedAt > g.clock.objectives(gossipMaxAge) {
			delete(g.peerMessages, from)
			continue
		}
		for _, line := range message.lines {
			if e := g.endpoints.byTag[line.tag]; e != nil {
				e.peerLoad.threads += line.values[0]
				e.peerLoad.memoryMB += line.values[1]
			}
		}
	}
}
