package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that says what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	startAt time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, startAt: time.Now()}, nil
}

// say writes a line with the time since the start in ms and the name of the party that it is about.
func (r *record) say(party, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ms := float64(time.Since(r.startAt).Microseconds()) / 1000
	_, _ = fmt.Fprintf(r.file, "%10.1f %-12s %s\n", ms, party, fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.file.Close()
}

// shorten returns the beginning of a text.
func shorten(text string) string {
	const maxLength = 160
	if len(text) > maxLength {
		return text[:maxLength] + "..."
	}
	return text
}
