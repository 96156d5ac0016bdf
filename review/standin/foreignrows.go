package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	foreignRounds  = 18
	foreignClients = 6
	roundInterval  = 5 * time.Second
	firstDuration  = 400 * time.Millisecond // run time of the first queries of a round: one 202, then the end
	loadDuration   = 2600 * time.Millisecond
)

// foreignRows sends, in each round, a look-up of each client and, shortly after their answers, a further request of each: a
// look-up or a load. One of the three engines answers 202 twice, and stands still for a moment after the first look-up there
// has ended. Each client must get the rows that an engine made for its own request.
func foreignRows(e *environment, trouble bool) (broken int, err error) {
	engines, coordinator, err := e.startSmallFleet(fullLimits, "", func(_ *engine, call, statement string) (time.Duration, string) {
		rows := fmt.Sprintf("call %s\t%s\tend\n", call, statement)
		switch {
		case strings.Contains(statement, "first"):
			return firstDuration, rows
		case strings.HasPrefix(statement, "insert"):
			return loadDuration, rows
		case strings.Contains(statement, "riders"):
			return reportDuration, rows
		}
		return lookupDuration, rows
	})
	if err != nil {
		return 0, err
	}
	spoiler := &answerSpoiler{}
	for _, g := range engines {
		g.afterAnswer = spoiler.afterAnswer
	}
	endReports := e.keepReportsOpen(coordinator)
	defer endReports()
	fullRounds := 0
	for round := range foreignRounds {
		began := time.Now()
		if trouble {
			spoiler.choose(engines[round%len(engines)])
		}
		served := 0
		for _, half := range []string{"first", "second"} {
			halfBroken, halfServed, err := e.askTogether(engines, coordinator, round, half)
			if err != nil {
				return broken, err
			}
			broken, served = broken+halfBroken, served+halfServed
			time.Sleep(secondQueryDelay)
		}
		if served > foreignClients {
			fullRounds++
		}
		time.Sleep(time.Until(began.Add(roundInterval)))
	}
	if fullRounds < foreignRounds/2 {
		return broken, errNotRun
	}
	return broken, nil
}

// askTogether sends one request of each client at the same time, and checks the answers.
func (e *environment) askTogether(engines []*engine, c *coordinator, round int, half string) (broken, served int, err error) {
	var clients []*client
	var queries []*query
	for i := range foreignClients {
		conn, err := dialClient(c.address)
		if err != nil {
			return 0, 0, err
		}
		defer func() { _ = conn.conn.Close() }()
		clients = append(clients, conn)
		queries = append(queries, clientQuery(round, half, i))
	}
	for i, q := range queries {
		e.say(clientName(i), "sends call %s, class %s: %s", q.call, q.class, q.statement)
		if err := clients[i].send(q); err != nil {
			return 0, 0, err
		}
	}
	for i, q := range queries {
		a := clients[i].await(q, time.Second)
		if !e.rowsAreOwn(engines, clientName(i), q, a) {
			broken++
		}
		if a != nil && a.Result != nil {
			served++
		}
	}
	return broken, served, nil
}

// clientQuery returns a client's request. Each client has a group of tables of its own.
func clientQuery(round int, half string, client int) *query {
	if half == "second" && client%2 == 1 {
		return &query{call: newCall(), class: "timetable-load", ttl: 25 * time.Second, workMS: 2800,
			statement: fmt.Sprintf("insert into trips_%d.stops select * from staging.s -- second of round %d, client %d", 17+client, round, client)}
	}
	return &query{call: newCall(), class: "trip-lookup", ttl: 2500 * time.Millisecond, workMS: 100,
		statement: fmt.Sprintf("select * from trips_%d.stops -- %s of round %d, client %d", 17+client, half, round, client)}
}

// answerSpoiler sends, at one engine, the first 202 of each first query twice, and lets that engine stand still once all these
// queries have ended.
type answerSpoiler struct {
	mu      sync.Mutex
	victim  *engine
	running map[string]bool // first queries at the victim whose 202 was sent twice, by call
	ended   map[string]bool
}

// choose chooses the engine of a round.
func (s *answerSpoiler) choose(g *engine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.victim, s.running, s.ended = g, map[string]bool{}, map[string]bool{}
}

func (s *answerSpoiler) afterAnswer(g *engine, c net.Conn, run *engineRun, status int, answer []byte) {
	if run == nil {
		return
	}
	g.say(g.name, "answered on connection %s, call %s: %d", port(c), run.call, status)
	if !strings.Contains(run.statement, "first") {
		return
	}
	mustCopy, mustStandStill := s.next(g, run.call, status)
	if mustCopy {
		time.Sleep(copyDelay)
		g.say(g.name, "answers a second time on connection %s, call %s: %d", port(c), run.call, status)
		_, _ = c.Write(answer)
	}
	if mustStandStill {
		g.standStill(stillTime)
	}
}

// next says what happens after an answer to a first query.
func (s *answerSpoiler) next(g *engine, call string, status int) (mustCopy, mustStandStill bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case g != s.victim || s.ended[call]:
	case status == 202 && !s.running[call]:
		s.running[call] = true
		return true, false
	case status == 200 && s.running[call]:
		delete(s.running, call)
		s.ended[call] = true
		return false, len(s.running) == 0
	}
	return false, false
}

// rowsAreOwn reports whether an answer 'served' has the rows that an engine made for its request, all and in order.
func (e *environment) rowsAreOwn(engines []*engine, party string, q *query, a *answer) bool {
	if a == nil {
		e.say(party, "call %s: no answer", q.call)
		return true // not what this case checks
	}
	got, served := a.rows()
	if !served {
		e.say(party, "call %s: %s", q.call, a.kind())
		return true
	}
	for _, g := range engines {
		if made, ran := g.rowsOf(q.call); ran && made == got {
			e.say(party, "call %s: served with the rows made for it (%d bytes)", q.call, len(got))
			return true
		}
	}
	e.say(party, "call %s: BROKEN, served with rows that no engine made for it, %d bytes: %q", q.call, len(got), shorten(got))
	return false
}
