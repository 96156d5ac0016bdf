package program

import (
	"fmt"
	"io"
	"strings"

	"aniseloft/internal/overrides"
)

// printStatus prints the state of the endpoints in the balancer, and the counters.
func (p *Program) printStatus() {
	_, _ = io.WriteString(p.errOut, p.dispatcher.DescribeEndpoints())
	p.printCounters()
}

// printCounters prints the counters of all components.
func (p *Program) printCounters() {
	text := p.dispatcher.Counters.String() + p.pool.String() + p.clients.String() + p.describeOverrides() +
		fmt.Sprintf("counters journal calls=%d\n", p.discovery.Calls.Load())
	if p.peers != nil {
		text += p.peers.String()
	}
	if p.restClients != nil {
		text += p.restClients.String()
	}
	if p.fleet != nil {
		text += p.fleet.String()
	}
	_, _ = io.WriteString(p.errOut, text)
}

// describeOverrides returns a line that says whether an operator has paused this coordinator, and lists the suspended
// endpoints, each with its number of SUSPEND calls.
func (p *Program) describeOverrides() string {
	var suspended []string
	p.dispatcher.UpdateOverrides(func(set *overrides.Set) bool {
		for _, s := range set.Suspensions() {
			suspended = append(suspended, fmt.Sprintf("%s:%d", s.EndpointName, s.Calls))
		}
		return false
	})
	return fmt.Sprintf("by_hand paused=%t out=%s\n", p.drain.paused(), strings.Join(suspended, ","))
}
