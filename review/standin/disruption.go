package main

import (
	"fmt"
	"sync"
	"time"
)

// Times of the disruptions and of the traffic beside them.
const (
	copyDelay        = 5 * time.Millisecond   // a second answer comes this much later
	stillTime        = 250 * time.Millisecond // an engine stands still for this long
	secondQueryDelay = 90 * time.Millisecond  // from the end of the first queries of a round to the next queries
	lookupDuration   = 30 * time.Millisecond
	reportDuration   = 2500 * time.Millisecond
	reportClients    = 6 // that have a report open all the time, as in any deployment of this size
)

// keepReportsOpen has reportClients clients ask for one report after the other until the returned function is called.
func (e *environment) keepReportsOpen(c *coordinator) (end func()) {
	var clients sync.WaitGroup
	ended := make(chan struct{})
	for i := range reportClients {
		clients.Go(func() {
			conn, err := dialClient(c.address)
			if err != nil {
				return
			}
			defer func() { _ = conn.conn.Close() }()
			for {
				q := &query{call: newCall(), class: "ridership-report", statement: fmt.Sprintf("select * from trips_%d.riders", 30+i),
					ttl: 20 * time.Second, workMS: 2500}
				if conn.send(q) != nil {
					return
				}
				conn.await(q, 0)
				select {
				case <-ended:
					return
				default:
				}
			}
		})
	}
	time.Sleep(reportDuration / 5)
	return func() { close(ended); clients.Wait() }
}

func clientName(i int) string { return fmt.Sprintf("client %d", i) }
