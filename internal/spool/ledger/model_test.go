package ledger

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Uses the same seed in each run, so that the outcome in CI is reproducible; -rapid.seed sets another one.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// model is a simple reference implementation of the ledger's accounting.
type model struct {
	ledger  *Ledger
	results map[string]*modelResult
	now     float64 // ms
	begun   int     // results begun so far; numbers their names
}

type modelResult struct {
	owner, class             string
	reservedBytes, usedBytes int64
	sealedAt, lastReadAt     float64 // ms
	isOpen, readToEnd        bool
	readerCount              int
}

func (r *modelResult) isRetained(now float64) bool {
	return now < min(r.lastReadAt+testLimits.RetentionMS, r.sealedAt+testLimits.MaxRetentionMS)
}

// draw returns one of the results, or skips the step if there is none.
func (m *model) draw(t *rapid.T) (string, *modelResult) {
	if len(m.results) == 0 {
		t.Skip("no results")
	}
	var names []string
	for name := range m.results {
		names = append(names, name)
	}
	slices.Sort(names)
	name := rapid.SampledFrom(names).Draw(t, "id")
	return name, m.results[name]
}

// evict drops the results that a decision names, and fails if one of them is open, being read, or still retained for
// its client.
func (m *model) evict(t *rapid.T, d Decision) {
	for _, name := range d.Evict {
		r := m.results[name]
		if r.isOpen || r.readerCount > 0 || r.isRetained(m.now) && !r.readToEnd {
			t.Fatalf("%s must not be evicted: %+v at %v", name, r, m.now)
		}
		m.ledger.Drop(name)
		delete(m.results, name)
	}
}

func (m *model) begin(t *rapid.T) {
	m.begun++
	name := fmt.Sprint("r", m.begun)
	r := &modelResult{
		owner: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "owner"), class: rapid.SampledFrom([]string{"report", "trip"}).Draw(t, "class"),
		reservedBytes: rapid.Int64Range(0, 70).Draw(t, "bytes"), isOpen: true,
	}
	d, err := m.ledger.Begin(m.now, name, r.owner, r.class, r.reservedBytes)
	if err != nil {
		t.Fatal(err)
	}
	m.evict(t, d)
	switch d.Verdict {
	case Reserved:
		m.results[name] = r
	case MustEvict:
		if d, _ = m.ledger.Begin(m.now, name, r.owner, r.class, r.reservedBytes); d.Verdict != Reserved {
			t.Fatalf("not reserved after the evictions: %+v", d)
		}
		m.results[name] = r
	}
}

func (m *model) grow(t *rapid.T) {
	name, r := m.draw(t)
	bytes := rapid.Int64Range(0, 30).Draw(t, "bytes")
	d, err := m.ledger.Grow(m.now, name, bytes)
	if (err == nil) != r.isOpen {
		t.Fatal(err)
	}
	if err == nil && d.Verdict == Reserved {
		r.usedBytes += bytes
	}
	m.evict(t, d)
}

func (m *model) seal(t *rapid.T) {
	name, r := m.draw(t)
	err := m.ledger.Seal(m.now, name)
	if (err == nil) != r.isOpen {
		t.Fatal(err)
	}
	if err == nil {
		r.isOpen, r.reservedBytes, r.sealedAt, r.lastReadAt = false, 0, m.now, m.now
	}
}

func (m *model) beginRead(t *rapid.T) {
	name, r := m.draw(t)
	want := r.isOpen || r.isRetained(m.now)
	if m.ledger.BeginRead(m.now, name) != want {
		t.Fatalf("%s: BeginRead is not %t", name, want)
	}
	if want {
		r.readerCount++
	}
}

func (m *model) endRead(t *rapid.T) {
	name, r := m.draw(t)
	last := rapid.Bool().Draw(t, "last")
	m.ledger.EndRead(m.now, name, last)
	if r.readerCount > 0 {
		r.readerCount--
		r.lastReadAt = max(r.lastReadAt, m.now)
		r.readToEnd = r.readToEnd || last && !r.isOpen
	}
}

func (m *model) drop(t *rapid.T) {
	name, _ := m.draw(t)
	m.ledger.Drop(name)
	delete(m.results, name)
}

func (m *model) advance(t *rapid.T) { m.now += rapid.Float64Range(0, 12).Draw(t, "ms") }

// check compares the ledger's sums with the model's, and the model's with the quotas.
func (m *model) check(t *rapid.T) {
	var sum int64
	owners, classes := map[string]int64{}, map[string]int64{}
	for _, r := range m.results {
		bytes := max(r.reservedBytes, r.usedBytes)
		sum += bytes
		owners[r.owner] += bytes
		classes[r.class] += bytes
	}
	exact := sum == m.ledger.ReservedBytes() && len(m.results) == m.ledger.Len()
	if !exact || sum > 100 || owners["x"] > 60 || owners["y"] > 60 || classes["report"] > 80 {
		t.Fatalf("the ledger holds %d bytes, the model %d: owners %v, classes %v", m.ledger.ReservedBytes(), sum, owners, classes)
	}
}

// After random operations the ledger's sums equal the model's, no quota is exceeded, and no result was evicted that
// is still retained for its client.
func TestLedgerAgreesWithModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, err := New(testLimits)
		if err != nil {
			t.Fatal(err)
		}
		m := &model{ledger: l, results: map[string]*modelResult{}}
		t.Repeat(map[string]func(*rapid.T){
			"begin": m.begin, "grow": m.grow, "seal": m.seal, "read": m.beginRead, "done": m.endRead, "drop": m.drop, "time": m.advance,
			"": m.check,
		})
	})
}
