package routing

import (
	"fmt"
	"strings"
	"sync/atomic"

	"aniseloft/decide"
)

// Counters counts requests and attempts by class, and other operations of the dispatcher. Operators
// and package fleetlog rely on the names that String prints.
type Counters struct {
	classes        []classCounters
	cancellations  atomic.Int64 // attempts cancelled by order of the balancer
	probes         atomic.Int64 // load reports requested from endpoints
	panics         atomic.Int64 // panics of the decision module
	followers      atomic.Int64 // requests that waited for a leader with the same key
	answeredAtExit atomic.Int64 // requests answered by AnswerAllOpen
}

const (
	answerKindCount = int(Failed) + 1
	outcomeCount    = int(decide.OutcomeAnswerLost) + 1
)

type classCounters struct {
	name            string
	submitted       atomic.Int64
	withdrawn       atomic.Int64 // requests whose client left before the answer
	attemptsStarted atomic.Int64
	answers         [answerKindCount]atomic.Int64
	attemptsEnded   [outcomeCount]atomic.Int64
}

// outcomeNames are the names of the outcomes in counters and logs, indexed by decide.Outcome.
var outcomeNames = [outcomeCount]string{"served", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "not_sent", "lost"}

func newCounters(settings decide.Settings) *Counters {
	c := &Counters{classes: make([]classCounters, len(settings.Classes))}
	for i := range c.classes {
		c.classes[i].name = settings.Classes[i].Name
	}
	return c
}

func (c *Counters) countSubmitted(class int)                 { c.classes[class].submitted.Add(1) }
func (c *Counters) countWithdrawn(class int)                 { c.classes[class].withdrawn.Add(1) }
func (c *Counters) countAnswered(class int, kind AnswerKind) { c.classes[class].answers[kind].Add(1) }
func (c *Counters) countAttemptStarted(class int)            { c.classes[class].attemptsStarted.Add(1) }
func (c *Counters) countAttemptEnded(class int, outcome decide.Outcome) {
	c.classes[class].attemptsEnded[outcome].Add(1)
}

// String returns one line for each class and one with the counters that are not kept by class.
func (c *Counters) String() string {
	var b strings.Builder
	for i := range c.classes {
		c.classes[i].print(&b)
	}
	fmt.Fprintf(&b, "counters cancels=%d probes=%d panics=%d handed_back=%d joined=%d\n",
		c.cancellations.Load(), c.probes.Load(), c.panics.Load(), c.answeredAtExit.Load(), c.followers.Load())
	return b.String()
}

func (c *classCounters) print(b *strings.Builder) {
	fmt.Fprintf(b, "counters class=%s taken=%d sent=%d gone=%d", c.name, c.submitted.Load(), c.attemptsStarted.Load(), c.withdrawn.Load())
	for kind := Succeeded; kind <= Failed; kind++ {
		fmt.Fprintf(b, " answered_%s=%d", kind, c.answers[kind].Load())
	}
	for outcome, name := range outcomeNames {
		fmt.Fprintf(b, " attempt_%s=%d", name, c.attemptsEnded[outcome].Load())
	}
	b.WriteByte('\n')
}
