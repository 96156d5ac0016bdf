package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// cancelledForNobody: in bursts of reports, clients use a new connection for every request. Each client follows its query
// to the end, and none cancels it or closes a connection before its answer.
func cancelledForNobody(r *run) bool {
	const (
		rounds = 6
		burst  = 60
		spread = 100 * time.Millisecond // within which the clients of a burst come
	)
	if !r.trouble { // connections are kept, one for each client
		httpClient.Transport = &http.Transport{MaxIdleConnsPerHost: 2 * burst}
	}
	_, entry := r.threeEngines("std-16")
	c := r.startOne(dar, entry, `"keep_seconds":3600,"engine_kinds":[]`)
	var mu sync.Mutex
	ends := map[string]int{}
	for round := range rounds {
		var all sync.WaitGroup
		for i := range burst {
			time.Sleep(spread / burst)
			all.Go(func() {
				who := fmt.Sprintf("client %d.%d", round, i)
				// The report takes so long that its first answer is an address to poll.
				a := r.post(who, c.rest, "ridership-report", "", "", fmt.Sprintf("select * from trips_%d.entries -- work 2500 rows 20", i))
				end, rows := r.follow(who, a)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case end.err != nil:
					ends["no answer"]++
				case end.Error != nil:
					ends[end.errorName()]++
				default:
					ends[fmt.Sprintf("%d rows", rows)]++
				}
			})
		}
		all.Wait()
	}
	r.note("ends of the %d queries: %v", rounds*burst, ends)
	return ends["USER_CANCELED"] > 0
}
