package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// sleepUntil waits until a time after start.
func sleepUntil(start time.Time, after time.Duration) { time.Sleep(time.Until(start.Add(after))) }

// loadTwice: a load with a key runs at an engine, and its answers are lost in a cut of 6 s. Its client is told that trying
// again is harmless, and comes back 14 s after its first try, at the other coordinator with the same record.
func loadTwice(r *run) bool {
	const (
		cutLength = 6 * time.Second
		returnsAt = 14 * time.Second
		statement = "insert into results_17.entries select 1 -- work 2000 rows 3"
	)
	engines := newFleet(r, 12*time.Second)
	var links []*link
	var addrs []string
	for i := range 3 {
		l, addr := r.newLink(r.serve(&engine{fmt.Sprintf("engine-%d", i+1), engines}))
		links, addrs = append(links, l), append(addrs, addr)
	}
	a, b := r.startTwo(wien, listEntry("big-12", addrs...), "[]")
	start := time.Now()
	if r.trouble {
		time.AfterFunc(time.Second, func() {
			r.note("the network between coordinators and engines is cut for %v", cutLength)
			for _, l := range links {
				l.cut()
			}
		})
		time.AfterFunc(time.Second+cutLength, func() {
			r.note("the cut ends")
			for _, l := range links {
				l.mend()
			}
		})
	}
	end, _ := r.follow("client", r.post("client", a.rest, "result-load", "load-1", "5000", statement))
	if r.trouble && !end.rejected() {
		r.note("the client was not told that trying again is harmless")
	}
	sleepUntil(start, returnsAt)
	if end.rejected() {
		r.follow("client", r.post("client", b.rest, "result-load", "load-1", "", statement))
	}
	return engines.timesApplied(statement) > 1
}

// startTwo starts two coordinators with one record and REST clients' addresses. kinds are the engine_kinds of rest.json.
func (r *run) startTwo(settings, entry, kinds string) (a, b *coordinator) {
	journalAddr := r.serve(journal{entry})
	rest := fmt.Sprintf(`{"listen":%%q,"store":%q,"keep_seconds":3600,"engine_kinds":%s}`, filepath.Join(r.dir, "record.db"), kinds)
	a = r.startCoordinator(coordinatorSpec{name: "n0", label: "n0", index: 0, journal: journalAddr, servers: entry, settings: settings, rest: rest})
	b = r.startCoordinator(coordinatorSpec{name: "n1", label: "n1", index: 1, journal: journalAddr, servers: entry, settings: settings, rest: rest})
	return a, b
}

// startOne starts one coordinator with REST clients; restMembers are further members of rest.json.
func (r *run) startOne(settings, entry, restMembers string) *coordinator {
	rest := fmt.Sprintf(`{"listen":%%q,"store":%q,%s}`, filepath.Join(r.dir, "record.db"), restMembers)
	settings = strings.Replace(settings, `"balancers":2`, `"balancers":1`, 1)
	return r.startCoordinator(coordinatorSpec{name: "n0", label: "n0", journal: r.serve(journal{entry}), servers: entry, settings: settings, rest: rest})
}

// threeEngines starts engines of the platform's protocol and returns them with their list.
func (r *run) threeEngines(kind string) (*fleet, string) {
	engines := newFleet(r, 12*time.Second)
	var addrs []string
	for i := range 3 {
		addrs = append(addrs, r.serve(&engine{fmt.Sprintf("engine-%d", i+1), engines}))
	}
	return engines, listEntry(kind, addrs...)
}

// resendElsewhere: a client resends its running load, and the front gives it to the other coordinator with the same record.
func resendElsewhere(r *run) bool {
	const statement = "insert into results_17.entries select 1 -- work 8000 rows 3"
	engines, entry := r.threeEngines("big-12")
	a, b := r.startTwo(wien, entry, "[]")
	first := r.post("client", a.rest, "result-load", "load-1", "", statement)
	var resent answer
	if r.trouble {
		time.Sleep(time.Second)
		resent = r.post("client, resending", b.rest, "result-load", "load-1", "", statement)
		resent, _ = r.follow("client, resending", resent)
	}
	end, rows := r.follow("client", first)
	r.note("first connection: error %q, %d rows; resend: error %q; the load was applied %d times", end.errorName(), rows, resent.errorName(), engines.timesApplied(statement))
	return end.Error == nil && rows == 3 && resent.errorName() != "" && !resent.rejected()
}

// joinedEmpty: a load with a key runs for a client of paged REST, and a client of JSON-RPC resends it under its key.
func joinedEmpty(r *run) bool {
	const statement = "insert into results_17.entries select 1 -- work 4000 rows 20"
	engines := newFleet(r, 12*time.Second)
	var addrs []string
	for i := range 3 {
		addrs = append(addrs, r.serve(&restEngine{fmt.Sprintf("engine-%d", i+1), engines}))
	}
	settings := strings.Replace(wien, `"progressMs":1000`, `"progressMs":0`, 1) // engines of this protocol give no notes
	c := r.startOne(settings, listEntry("rest-12", addrs...), `"keep_seconds":3600,"engine_kinds":["rest-12"],"spool":{"total_mb":16}`)
	firstEnded := make(chan int, 1)
	go func() {
		_, rows := r.follow("REST client", r.post("REST client", c.rest, "result-load", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211", "", statement))
		firstEnded <- rows
	}()
	time.Sleep(1500 * time.Millisecond)
	key, mark := "5c0f6e1a2b3d4c59a8b7c6d5e4f30211", `"rep":"1",`
	if !r.trouble { // a load of its own instead of a resend
		key, mark = "00000000000000000000000000000001", ""
	}
	j := r.dialJSON("JSON-RPC client", c.client)
	j.send(fmt.Sprintf(`{"jsonrpc":"2.0","id":1,"method":"result-load","params":{"call":"9b1f03aa5c7e2d41","ttl":15000,"work":3000,"ram":64,"dedupe":%q,%s"doc":%q}}`,
		key, mark, base64.StdEncoding.EncodeToString([]byte(statement))))
	var message struct {
		Result *struct{ Doc string }
	}
	must(json.Unmarshal([]byte(j.read(20*time.Second)), &message))
	restRows := <-firstEnded
	if message.Result == nil {
		r.note("the JSON-RPC client was not served")
		return false
	}
	doc, err := base64.StdEncoding.DecodeString(message.Result.Doc)
	must(err)
	rows := strings.Count(string(doc), "\n")
	r.note("the engine's result has 20 rows; REST client: %d rows; JSON-RPC client: served with %d rows", restRows, rows)
	return rows != 20
}

// lastPageLost: the connection is reset while the answer with a load's result is on its way. Others use the spool, and the
// client resends its load.
func lastPageLost(r *run) bool {
	const statement = "insert into trips_17.entries select 1 -- work 300 rows 20"
	_, entry := r.threeEngines("std-16")
	c := r.startOne(dar, entry, fmt.Sprintf(`"keep_seconds":3600,"engine_kinds":[],"spool":{"directory":%q,"total_mb":1}`, filepath.Join(r.dir, "spool")))
	addr := c.rest
	if r.trouble {
		addr = r.losesAnswers(c.rest)
	}
	end, rows := r.follow("client", r.post("client", addr, "timetable-load", "load-1", "", statement))
	for i := range 30 {
		who := fmt.Sprintf("reader %d", i)
		_, read := r.follow(who, r.post(who, c.rest, "ridership-report", "", "", fmt.Sprintf("select * from trips_%d.entries -- work 50 rows 900", i)))
		if read != 900 {
			panic(who + " did not get its result")
		}
	}
	if end.err != nil {
		end, rows = r.follow("client", r.post("client", c.rest, "timetable-load", "load-1", "", statement))
	}
	r.note("the load's result has 20 rows; its client got %d rows, error %q", rows, end.errorName())
	return rows != 20 && end.errorName() == "ABANDONED_QUERY"
}

// losesAnswers returns the address of a proxy that resets a connection once an answer comes on it.
func (r *run) losesAnswers(target string) string {
	l := r.listen()
	go func() {
		for {
			client, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = client.Close() }()
				server, err := net.Dial("tcp4", target)
				if err != nil {
					return
				}
				defer func() { _ = server.Close() }()
				go func() { _, _ = io.Copy(server, client) }()
				n, _ := server.Read(make([]byte, 1<<20))
				r.note("proxy: an answer of %d bytes is lost, the connection is reset", n)
				_ = client.(*net.TCPConn).SetLinger(0)
			}()
		}
	}()
	return l.Addr().String()
}

// upgradeFails: a coordinator is upgraded in place while a report runs.
func upgradeFails(r *run) bool {
	const statement = "select * from trips_17.entries -- work 4000 rows 20"
	_, entry := r.threeEngines("std-16")
	old := r.startOne(dar, entry, `"keep_seconds":3600,"engine_kinds":[]`)
	first := r.post("client", old.rest, "ridership-report", "", "", statement)
	upgraded := make(chan error, 1)
	if r.trouble {
		go func() {
			defer func() {
				if p := recover(); p != nil {
					upgraded <- fmt.Errorf("upgrade: %v", p)
				}
			}()
			rest := fmt.Sprintf(`{"listen":%%q,"store":%q,"keep_seconds":3600,"engine_kinds":[]}`, filepath.Join(r.dir, "record.db"))
			r.startCoordinator(coordinatorSpec{name: "n0", label: "n0-new", journal: r.serve(journal{entry}), servers: entry,
				settings: strings.Replace(dar, `"balancers":2`, `"balancers":1`, 1), rest: rest, client: old.client, restAddr: old.rest, tmp: old.tmp})
			old.signal(syscall.SIGTERM)
			upgraded <- nil
		}()
	} else {
		upgraded <- nil
	}
	end, rows := r.follow("client", first)
	must(<-upgraded)
	r.note("the report's result has 20 rows; its client got %d rows, error %q", rows, end.errorName())
	return end.err == nil && end.Error != nil && !end.rejected()
}

// slowReader: a client reads one page of a result every 4 s, with a retention of 20 s after the last read.
func slowReader(r *run) bool {
	const (
		pause     = 4 * time.Second
		statement = "select * from trips_17.entries -- work 300 rows 900"
	)
	_, entry := r.threeEngines("std-16")
	c := r.startOne(dar, entry, fmt.Sprintf(`"keep_seconds":20,"purge_every_ms":1000,"engine_kinds":[],"spool":{"directory":%q,"total_mb":64}`, filepath.Join(r.dir, "spool")))
	a := r.post("planner", c.rest, "ridership-report", "", "", statement)
	rows := len(a.Data)
	for a.NextURI != "" && a.err == nil && a.Error == nil {
		if r.trouble {
			time.Sleep(pause)
		}
		a = r.get("planner", a.NextURI)
		rows += len(a.Data)
	}
	r.note("the result has 900 rows; its client got %d rows; last answer: %v", rows, a)
	return rows != 900
}
