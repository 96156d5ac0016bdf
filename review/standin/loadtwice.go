package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	loadRounds        = 24
	loadClients       = 9
	loadRoundInterval = 3500 * time.Millisecond
	restLoadDuration  = 1500 * time.Millisecond
)

// loadTwice sends, in each round, a look-up of each client and, shortly after their answers, a load of each, to engines that
// speak the paged REST protocol. One of the three engines turns the look-ups away from its full queue, sends an answer of each
// a second time, and then stands still for a moment. No load may run twice.
func loadTwice(e *environment, trouble bool) (broken int, err error) {
	restFile := `{"listen":"","store":"","keep_seconds":3600,"engine_kinds":["std-16"],"spool":{"directory":"","total_mb":0,"owner_mb":0}}`
	engines, c, err := e.startSmallFleet(fullLimits, restFile, func(_ *engine, call, statement string) (time.Duration, string) {
		rows := fmt.Sprintf("call %s\t%s\tend\n", call, statement)
		switch {
		case strings.HasPrefix(statement, "insert"):
			return restLoadDuration, rows
		case strings.Contains(statement, "riders"):
			return reportDuration, rows
		}
		return lookupDuration, rows
	})
	if err != nil {
		return 0, err
	}
	spoiler := &queueSpoiler{trouble: trouble}
	for _, g := range engines {
		g.afterAnswer, g.rejects = spoiler.afterAnswer, func(call, statement string) bool { return spoiler.rejects(g, call, statement) }
	}
	endReports := e.keepReportsOpen(c)
	defer endReports()
	loads, served := []*query{}, 0
	for round := range loadRounds {
		began := time.Now()
		spoiler.choose(engines[round%len(engines)])
		if err := e.sendAll(c, round, "first", nil); err != nil {
			return 0, err
		}
		time.Sleep(queueTime + secondQueryDelay)
		var sent []*query
		if err := e.sendAll(c, round, "load", func(q *query, a *answer) {
			sent = append(sent, q)
			if a != nil && a.Result != nil {
				served++
			}
		}); err != nil {
			return 0, err
		}
		loads = append(loads, sent...)
		time.Sleep(time.Until(began.Add(loadRoundInterval)))
	}
	for _, q := range loads {
		runs := 0
		for _, g := range engines {
			runs += g.runsOf(q.call)
		}
		if runs > 1 {
			broken++
			e.say("case", "BROKEN, call %s ran %d times: %s", q.call, runs, q.statement)
		}
	}
	if served < len(loads)/4 {
		return broken, errNotRun
	}
	return broken, nil
}

// sendAll sends a request of each client at the same time. With a function it waits for the answers and passes them to it.
func (e *environment) sendAll(c *coordinator, round int, half string, answered func(*query, *answer)) error {
	var clients []*client
	var queries []*query
	for i := range loadClients {
		conn, err := dialClient(c.address)
		if err != nil {
			return err
		}
		clients = append(clients, conn)
		q := &query{call: newCall(), class: "trip-lookup", ttl: 2500 * time.Millisecond, workMS: 100,
			statement: fmt.Sprintf("select * from trips_%d.stops -- first of round %d, client %d", 17+i, round, i)}
		if half == "load" {
			q = &query{call: newCall(), class: "timetable-load", ttl: 25 * time.Second, workMS: 2800,
				statement: fmt.Sprintf("insert into trips_%d.stops select * from staging.s -- round %d, client %d", 17+i, round, i)}
		}
		queries = append(queries, q)
	}
	for i, q := range queries {
		e.say(clientName(i), "sends call %s, class %s: %s", q.call, q.class, q.statement)
		if err := clients[i].send(q); err != nil {
			return err
		}
	}
	finish := func() {
		for i, q := range queries {
			a := clients[i].await(q, time.Second)
			kind := "no answer"
			if a != nil {
				kind = a.kind()
			}
			e.say(clientName(i), "call %s: %s", q.call, kind)
			if answered != nil {
				answered(q, a)
			}
			_ = clients[i].conn.Close()
		}
	}
	if answered == nil {
		go finish()
	} else {
		finish()
	}
	return nil
}

// queueSpoiler makes the engines' queues full for look-ups: each is turned away where it comes first. At one engine it sends the
// first answer to each a second time, and lets the engine stand still once all of them were turned away.
type queueSpoiler struct {
	trouble bool
	mu      sync.Mutex
	victim  *engine
	seen    map[string]bool // look-ups that an engine has turned away, by call
	queued  map[string]bool // those at the victim that are still queued
	copied  map[string]bool
}

// choose chooses the engine of a round.
func (s *queueSpoiler) choose(g *engine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.victim, s.seen, s.queued, s.copied = g, map[string]bool{}, map[string]bool{}, map[string]bool{}
}

func (s *queueSpoiler) rejects(g *engine, call, statement string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.seen[call] || !strings.Contains(statement, "first") {
		return false
	}
	s.seen[call] = true
	if g == s.victim {
		s.queued[call] = true
	}
	return true
}

func (s *queueSpoiler) afterAnswer(g *engine, c net.Conn, run *engineRun, _ int, answer []byte) {
	if run == nil || !run.rejected || !s.trouble {
		return
	}
	mustCopy, mustStandStill := s.next(g, run.call, strings.Contains(string(answer), "QUERY_QUEUE_FULL"))
	if mustCopy {
		time.Sleep(copyDelay)
		g.say(g.name, "answers a second time on connection %s, call %s", port(c), run.call)
		_, _ = c.Write(answer)
	}
	if mustStandStill {
		g.standStill(stillTime)
	}
}

// next says what happens after an answer to a look-up that is turned away.
func (s *queueSpoiler) next(g *engine, call string, turnedAway bool) (mustCopy, mustStandStill bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case g != s.victim:
	case !s.copied[call]:
		s.copied[call] = true
		return true, false
	case turnedAway && s.queued[call]:
		delete(s.queued, call)
		return false, len(s.queued) == 0
	}
	return false, false
}
