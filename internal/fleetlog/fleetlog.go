// Package fleetlog sums up the debug logs of many coordinators. A rate that is harmless at one coordinator, such as one probe
// per second, may be harmful when it is summed over a fleet; the report shows the sums by second and by endpoint. The package
// reads log lines from an io.Reader and opens no files.
package fleetlog

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"time"
)

// Events whose rates are reported. The values are part of the JSON report.
const (
	EventAnswers  = "answers"
	EventAttempts = "sends"
	EventDials    = "dials"
	EventProbes   = "probes"
)

// States of an endpoint in an update, as logged.
const (
	StateRemoved  = "0"
	StateReady    = "1"
	StateDraining = "2"
)

// Summary accumulates the events of the logs. It is not safe for concurrent use.
type Summary struct {
	warmUpMS      float64         // time after an endpoint's start in which it counts as warming up
	coordinators  map[string]bool // names of the coordinators whose logs were read
	lines         int
	skippedLines  int
	perSecond     map[string]map[int64]int // events by kind and Unix second
	endpoints     map[string]*Endpoint
	attemptsEnded map[string]int // by outcome
	answers       map[string]int // by kind and reason
	answeredBy    map[string]int // by coordinator
	updates       map[updateKey]*updateReceipts
	attempts      []attempt
}

// updateKey identifies an update of the endpoint list across all coordinators.
type updateKey struct{ endpoint, state string }

// updateReceipts holds the time at which each coordinator first received an update. Repetitions, as in a complete list, are
// ignored.
type updateReceipts struct {
	firstAt, lastAt time.Time            // earliest and latest receipt
	receivedAt      map[string]time.Time // first receipt, by coordinator
}

// attempt is one attempt that a coordinator started.
type attempt struct {
	startedAt   time.Time
	coordinator string
	endpoint    string
}

// New returns an empty summary. An endpoint counts as warming up for the duration warmUp after its start.
func New(warmUp time.Duration) *Summary {
	return &Summary{
		warmUpMS:      float64(warmUp.Milliseconds()),
		coordinators:  map[string]bool{},
		perSecond:     map[string]map[int64]int{},
		endpoints:     map[string]*Endpoint{},
		attemptsEnded: map[string]int{},
		answers:       map[string]int{},
		answeredBy:    map[string]int{},
		updates:       map[updateKey]*updateReceipts{},
	}
}

// maxLineBytes is the maximum length of a line; Read fails on a longer one.
const maxLineBytes = 1 << 20

// Read adds the log of one coordinator. Lines that are not log lines, such as counters, are skipped and counted. The error
// names the coordinator and the last line read; it wraps bufio.ErrTooLong or the reader's error.
func (s *Summary) Read(coordinator string, r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		s.lines++
		parsed, ok := parseLine(scanner.Text())
		if !ok {
			s.skippedLines++
			continue
		}
		s.add(coordinator, parsed)
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("log of %s: after line %d: %w", coordinator, s.lines, err)
	}
	s.coordinators[coordinator] = true
	return nil
}

// add counts the event of one log line. Other messages are ignored.
func (s *Summary) add(coordinator string, l logLine) {
	switch l.message() {
	case messageProbed:
		s.countEvent(EventProbes, l.time)
		s.endpoint(l.endpoint()).Probes++
	case messageDialled:
		s.addDial(l)
	case messageAttemptStarted:
		s.countEvent(EventAttempts, l.time)
		s.endpoint(l.endpoint()).Attempts++
		s.attempts = append(s.attempts, attempt{l.time, coordinator, l.endpoint()})
	case messageAttemptEnded:
		outcome := l.fields["outcome"]
		s.attemptsEnded[outcome]++
		s.endpoint(l.endpoint()).AttemptsEnded[outcome]++
	case messageRequestAnswered:
		s.countEvent(EventAnswers, l.time)
		s.answers[strings.TrimSpace(l.fields["kind"]+" "+l.fields["reason"])]++
		s.answeredBy[coordinator]++
	case messageListed:
		s.addUpdate(coordinator, l)
	}
}

func (s *Summary) addDial(l logLine) {
	s.countEvent(EventDials, l.time)
	e := s.endpoint(l.endpoint())
	e.Dials++
	if l.fields["err"] != "<nil>" && l.fields["err"] != "" {
		e.DialsFailed++
	}
}

func (s *Summary) addUpdate(coordinator string, l logLine) {
	if startedMS, ok := l.number("started_ms"); ok {
		e := s.endpoint(l.endpoint())
		e.StartedMS = max(e.StartedMS, startedMS)
	}
	key := updateKey{l.endpoint(), l.fields["state"]}
	receipts := s.updates[key]
	if receipts == nil {
		receipts = &updateReceipts{firstAt: l.time, receivedAt: map[string]time.Time{}}
		s.updates[key] = receipts
	}
	if _, repeated := receipts.receivedAt[coordinator]; repeated {
		return
	}
	receipts.receivedAt[coordinator] = l.time
	if l.time.Before(receipts.firstAt) {
		receipts.firstAt = l.time
	}
	if l.time.After(receipts.lastAt) {
		receipts.lastAt = l.time
	}
}

func (s *Summary) countEvent(event string, at time.Time) {
	if s.perSecond[event] == nil {
		s.perSecond[event] = map[int64]int{}
	}
	s.perSecond[event][at.Unix()]++
}

func (s *Summary) endpoint(name string) *Endpoint {
	e := s.endpoints[name]
	if e == nil {
		e = &Endpoint{Name: name, AttemptsEnded: map[string]int{}}
		s.endpoints[name] = e
	}
	return e
}
