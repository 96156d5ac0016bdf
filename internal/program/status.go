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
	counters := p.dispatcher.Counters.String() + p.pool.String() + p.clientListener.String() + p.describeMemory() + p.describeOverrides() +
		fmt.Sprintf("counters journal calls=%d\n", p.discovery.Calls.Load())
	if p.gossipTransport != nil {
		counters += p.gossipTransport.String()
	}
	if p.restListener != nil {
		counters += p.restListener.String()
	}
	if p.fleet != nil {
		counters += p.fleet.String()
	}
	_, _ = io.WriteString(p.errOut, counters)
}

// describeMemory returns the lines of the memory for statements and clients' messages.
func (p *Program) describeMemory() string {
	text := fmt.Sprintf("counters statement_memory %s\n", p.dispatcher.StatementMemory())
	text += fmt.Sprintf("counters input_memory front=jsonrpc %s\n", p.jsonRPCServer.Input)
	text += fmt.Sprintf("counters output_memory front=jsonrpc %s\n", p.jsonRPCServer.Output)
	if p.restServer != nil {
		text += fmt.Sprintf("counters input_memory front=rest %s\n", p.restServer.Input)
	}
	return text
}

// describeOverrides returns a line that says whether an operator has paused this coordinator, and lists the suspended
// endpoints, each with its number of SUSPEND calls.
func (p *Program) describeOverrides() string {
	var suspendedEndpoints []string
	p.dispatcher.UpdateOverrides(func(set *overrides.Set) bool {
		for _, suspension := range set.Suspensions() {
			suspendedEndpoints = append(suspendedEndpoints, fmt.Sprintf("%s:%d", suspension.EndpointName, suspension.Calls))
		}
		return false
	})
	return fmt.Sprintf("by_hand paused=%t out=%s\n", p.drain.paused(), strings.Join(suspendedEndpoints, ","))
}
