package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// peakMB returns the most memory that the coordinator has had resident.
func (c *coordinator) peakMB() int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.command.Process.Pid))
	must(err)
	for _, line := range strings.Split(string(b), "\n") {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")))
			must(err)
			return kb >> 10
		}
	}
	panic("the peak of the memory is not known")
}

// overMemory: in a jump of the traffic, reports come for engines of the paged REST protocol.
func overMemory(r *run) bool {
	const (
		limitMB    = 192
		length     = 2500 * time.Millisecond // the shortest jump of the page
		usual      = 78                      // reports in that time: 15% of 210 queries a second
		jump       = 179                     // 2.3 times the usual
		rowsInPage = 16000                   // a page of 1 MB
	)
	readers := usual
	if r.trouble {
		readers = jump
	}
	httpClient = &http.Client{Timeout: 30 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 2 * readers}}
	engines := newFleet(r, 12*time.Second)
	engines.rowsPerPage = rowsInPage
	var addrs []string
	for i := range 8 {
		addrs = append(addrs, r.serve(&restEngine{fmt.Sprintf("engine-%d", i+1), engines}))
	}
	settings := strings.Replace(wien, `"progressMs":1000`, `"progressMs":0`, 1) // engines of this protocol give no notes
	c := r.startOne(settings, listEntry("rest-12", addrs...), fmt.Sprintf(`"keep_seconds":3600,"engine_kinds":["rest-12"],"spool":{"directory":%q,"total_mb":4096}`, filepath.Join(r.dir, "spool")))
	r.note("memory at the start: %d MB", c.peakMB())
	var all sync.WaitGroup
	for i := range readers {
		time.Sleep(length / time.Duration(readers))
		all.Go(func() {
			who := fmt.Sprintf("reader %d", i)
			a := r.post(who, c.rest, "season-report", "", "", fmt.Sprintf("select * from results_%d.entries -- work 1500 rows %d", i, 2*rowsInPage))
			r.follow(who, a)
		})
	}
	all.Wait()
	r.note("%d reports; peak of the memory: %d MB; limit: %d MB", readers, c.peakMB(), limitMB)
	return c.peakMB() > limitMB
}
