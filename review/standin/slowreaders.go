package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	slowConnections   = 80
	startSpread       = 3 * time.Second
	batchSize         = 20 // reports that a planner has open at a time
	batchInterval     = 17 * time.Second
	slowBytes         = 4 << 10               // a slow planner reads this much
	slowInterval      = 50 * time.Millisecond // each time this has passed: 80 KB in a second, a batch within its time
	slowSegment       = 536                   // TCP segment on a poor connection
	slowReceiveBuffer = 8 << 10

	riderCount       = 4
	riderTime        = 50 * time.Second
	riderPause       = 100 * time.Millisecond
	riderRequests    = 16 // sent together by a rider's client, which reads at once
	minRiderAnswered = 200
	riderDuration    = 100 * time.Millisecond
	lookupRows       = 800 // of 26 bytes each
	largeDuration    = 20 * time.Millisecond
	crossingWindow   = 50 * time.Millisecond // a request that crosses a close within this time is sent again
)

// slowReaders has planners with large reports who read slowly, and beside them a client of riders that reads at once. None of the
// riders' requests may be lost.
func slowReaders(e *environment, trouble bool) (broken int, err error) {
	rows := largeRows()
	_, c, err := e.startSmallFleet(halfLimits, "", func(_ *engine, call, statement string) (time.Duration, string) {
		if strings.Contains(statement, "riders") {
			return largeDuration, rows
		}
		return riderDuration, strings.Repeat(fmt.Sprintf("call %s\tb\tc\n", call), lookupRows)
	})
	if err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	var planners sync.WaitGroup
	for i := range slowConnections {
		planners.Add(1)
		go func() {
			defer planners.Done()
			e.plan(c, fmt.Sprintf("planner %d", i), trouble, stop)
		}()
	}
	lost, answered := e.rideTogether(c)
	close(stop)
	planners.Wait()
	if answered < minRiderAnswered {
		return lost, errNotRun
	}
	return lost, nil
}

// rideTogether plays all riders for riderTime and returns how many of their requests were lost and how many were answered.
func (e *environment) rideTogether(c *coordinator) (lost, answered int) {
	var mu sync.Mutex
	var riders sync.WaitGroup
	endsAt := time.Now().Add(riderTime)
	for i := range riderCount {
		riders.Add(1)
		go func() {
			defer riders.Done()
			for round := 0; time.Now().Before(endsAt); round++ {
				roundLost, roundAnswered := e.ride(c, fmt.Sprintf("rider %d", i), round)
				mu.Lock()
				lost, answered = lost+roundLost, answered+roundAnswered
				mu.Unlock()
				time.Sleep(riderPause)
			}
		}()
	}
	riders.Wait()
	return lost, answered
}

// largeRows returns a result of just under 48,000 bytes.
func largeRows() string {
	var rows strings.Builder
	for i := 0; rows.Len()+300 < 47500; i++ {
		_, _ = fmt.Fprintf(&rows, "row %d\t%s\tend\n", i, strings.Repeat("x", 280))
	}
	return rows.String()
}

// ride sends look-ups together on a new connection and returns how many were lost and how many were answered.
func (e *environment) ride(c *coordinator, name string, round int) (lost, answered int) {
	conn, err := dialClient(c.address)
	if err != nil {
		e.say(name, "round %d: no connection: %v", round, err)
		return 0, 0
	}
	defer func() { _ = conn.conn.Close() }()
	var queries []*query
	for i := range riderRequests {
		queries = append(queries, &query{call: newCall(), class: "trip-lookup", statement: fmt.Sprintf("select * from trips_%d.stops", i%7),
			ttl: 2500 * time.Millisecond, workMS: 100})
	}
	if err := conn.send(queries...); err != nil {
		e.say(name, "round %d: not sent: %v", round, err)
		return 0, 0
	}
	kinds := map[string]int{}
	for _, q := range queries {
		a := conn.await(q, time.Second)
		switch {
		case a != nil:
			answered++
			kinds[a.kind()]++
		case conn.endedWithin(q, crossingWindow):
			kinds["crossed a close"]++
		default:
			lost++
			kinds["LOST"]++
			e.say(name, "call %s: BROKEN, no answer %.0f ms after it was sent; its connection: %s", q.call, float64(time.Since(q.sentAt).Milliseconds()), conn.state())
		}
	}
	e.say(name, "round %d: %v", round, kinds)
	return lost, answered
}

// endedWithin reports whether the connection ended within a time after a query was sent.
func (c *client) endedWithin(q *query, window time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endErr != nil && c.endedAt.Sub(q.sentAt) <= window
}

func (c *client) state() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.endErr == nil {
		return "open"
	}
	return "ended by the coordinator: " + c.endErr.Error()
}

// plan asks for reports, batchSize at a time, and reads the answers, slowly if trouble is set. A batch begins batchInterval after
// the one before; after a lost connection, sooner.
func (e *environment) plan(c *coordinator, name string, trouble bool, stop chan struct{}) {
	pause(stop, rand.N(startSpread))
	for {
		began := time.Now()
		err := readBatch(c, trouble, stop)
		select {
		case <-stop:
			return
		default:
		}
		if err != nil {
			e.say(name, "connection lost: %v", err)
			pause(stop, time.Second+rand.N(2*time.Second))
		} else {
			e.say(name, "read %d reports in %d ms", batchSize, time.Since(began).Milliseconds())
			pause(stop, time.Until(began.Add(batchInterval)))
		}
	}
}

// pause waits for the given time or until stop is closed.
func pause(stop chan struct{}, d time.Duration) {
	select {
	case <-stop:
	case <-time.After(d):
	}
}

// readBatch asks for batchSize reports on one connection and reads their answers.
func readBatch(c *coordinator, trouble bool, stop chan struct{}) error {
	conn, err := dialPoor(c.address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	for i := range batchSize {
		q := &query{id: i + 1, call: newCall(), class: "ridership-report", statement: fmt.Sprintf("select * from trips_%d.riders", i%7),
			ttl: 20 * time.Second, workMS: 20}
		if _, err := conn.Write(encodeQuery(q)); err != nil {
			return err
		}
	}
	buffer, interval := make([]byte, slowBytes), slowInterval
	if !trouble {
		buffer, interval = make([]byte, 64<<10), 0
	}
	for answers := 0; answers < batchSize; {
		n, err := conn.Read(buffer)
		if err != nil {
			return err
		}
		answers += bytes.Count(buffer[:n], []byte("\n"))
		select {
		case <-stop:
			return nil
		case <-time.After(interval):
		}
	}
	return nil
}

// dialPoor opens a connection with the small segments and buffer of a poor one.
func dialPoor(address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		if controlErr := raw.Control(func(fd uintptr) {
			if err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, slowSegment); err == nil {
				err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, slowReceiveBuffer)
			}
		}); controlErr != nil {
			return controlErr
		}
		return err
	}}
	return dialer.Dial("tcp4", address)
}
