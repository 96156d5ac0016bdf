package clients

import (
	"fmt"
	"sync"
	"time"
)

// OutputMemory limits the size of the answers that are queued for the clients of a listener.
//
// Each connection may hold an equal quota. Where all together exceed the limit, a connection that holds more than its
// quota pays: the one whose first answer has waited the longest to be read, and not the one that gets the next answer,
// whose client may read everything at once.
type OutputMemory struct {
	limit int // bytes
	quota int // bytes that a connection may hold whatever others do

	mu      sync.Mutex // guards the fields below and those of all connOutputs
	used    int        // bytes
	holding map[*connOutput]struct{}
	evicted int // number of connections closed
}

// connOutput is the part of an OutputMemory that one connection uses.
type connOutput struct {
	memory     *OutputMemory
	disconnect func()    // closes the connection; it must not wait
	bytes      int       // size of the queued answers
	firstAt    time.Time // when the first of them was queued
	isEvicted  bool      // the connection is closed, and its answers don't count any more
}

// NewOutputMemory returns memory of limit bytes for the answers to at most maxConnections clients.
func NewOutputMemory(limit int64, maxConnections int) *OutputMemory {
	return &OutputMemory{limit: int(limit), quota: int(limit) / max(maxConnections, 1), holding: map[*connOutput]struct{}{}}
}

// String returns the counters for operators.
func (m *OutputMemory) String() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return fmt.Sprintf("quota=%d used=%d limit=%d closed=%d", m.quota, m.used, m.limit, m.evicted)
}

func (m *OutputMemory) forConn(disconnect func()) *connOutput {
	return &connOutput{memory: m, disconnect: disconnect}
}

// add counts an answer that is queued at the given time, and closes connections while the limit is exceeded. It reports
// whether the connection itself is open.
func (o *connOutput) add(bytes int, queuedAt time.Time) bool {
	m := o.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if o.isEvicted {
		return false
	}
	if o.bytes == 0 {
		o.firstAt = queuedAt
		m.holding[o] = struct{}{}
	}
	o.bytes += bytes
	m.used += bytes
	for m.used > m.limit {
		victim := m.chooseVictim()
		if victim == nil {
			break
		}
		m.evict(victim)
	}
	return !o.isEvicted
}

// chooseVictim returns the connection above its quota whose first answer has waited the longest. The caller holds m.mu.
func (m *OutputMemory) chooseVictim() (victim *connOutput) {
	for o := range m.holding {
		if o.bytes > m.quota && (victim == nil || o.firstAt.Before(victim.firstAt)) {
			victim = o
		}
	}
	return victim
}

// evict closes a connection. The caller holds m.mu.
func (m *OutputMemory) evict(victim *connOutput) {
	m.used -= victim.bytes
	victim.bytes, victim.isEvicted = 0, true
	delete(m.holding, victim)
	m.evicted++
	victim.disconnect()
}

// begin records that the answer that was queued at the given time is now the first.
func (o *connOutput) begin(queuedAt time.Time) {
	o.memory.mu.Lock()
	defer o.memory.mu.Unlock()
	o.firstAt = queuedAt
}

// remove records that an answer has been written or dropped.
func (o *connOutput) remove(bytes int) {
	o.memory.mu.Lock()
	defer o.memory.mu.Unlock()
	if o.isEvicted {
		return
	}
	o.bytes -= bytes
	o.memory.used -= bytes
	if o.bytes == 0 {
		delete(o.memory.holding, o)
	}
}
