package main

import (
	"encoding/base64"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// sendMuchAndGo plays clients that send several valid requests with large statements at once, go and come back.
func (r *run) sendMuchAndGo(addr string, count int, length time.Duration) {
	const (
		requests  = 4
		statement = 175_000 // bytes; 234 KB in base64, below the 256 KB of a line
	)
	doc := base64.StdEncoding.EncodeToString([]byte("select a from trips_4.entries where a in ('" + strings.Repeat("x", statement) + "') -- work 50 rows 3"))
	end := time.Now().Add(length)
	var all sync.WaitGroup
	var visits atomic.Int64
	for range count {
		all.Go(func() {
			for time.Now().Before(end) {
				conn, err := net.Dial("tcp4", addr)
				if err != nil {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				visits.Add(1)
				go func() {
					for id := 1; id <= requests; id++ {
						line := fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":"trip-lookup","params":{"call":"%08x%08x","ttl":2500,"work":50,"ram":32,"doc":%q}}`+"\n",
							id, r.nextCall(), id, doc)
						if _, err := conn.Write([]byte(line)); err != nil {
							return
						}
					}
				}()
				time.Sleep(100 * time.Millisecond)
				_ = conn.Close()
				time.Sleep(500 * time.Millisecond)
			}
		})
	}
	all.Wait()
	r.note("%d visits of clients that send much at once and go", visits.Load())
}

// statementsOverMemory: clients send valid requests with large statements at once and go.
func statementsOverMemory(r *run) bool {
	const (
		limitMB = 192
		clients = 200
		length  = 20 * time.Second
	)
	_, entry := r.threeEngines("std-16")
	c := r.startCoordinator(coordinatorSpec{name: "n0", label: "n0", journal: r.serve(journal{entry}), servers: entry, settings: strings.Replace(dar, `"balancers":2`, `"balancers":1`, 1)})
	r.note("memory at the start: %d MB", c.peakMB())
	sound := r.newSoundClient("sound client", c.client)
	go func() {
		for range 100 {
			sound.send("trip-lookup", 2500*time.Millisecond, 50, "select * from trips_4.entries -- work 50 rows 3")
			time.Sleep(200 * time.Millisecond)
		}
	}()
	if r.trouble {
		r.sendMuchAndGo(c.client, clients, length)
	} else {
		time.Sleep(length)
	}
	time.Sleep(3 * time.Second)
	sound.unanswered()
	r.note("peak of the memory: %d MB; limit: %d MB", c.peakMB(), limitMB)
	return c.peakMB() > limitMB
}
