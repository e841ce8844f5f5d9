package main

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"
)

// record is the list of what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	out     io.Writer
	started time.Time
}

// newRecord returns a record that is written to out.
func newRecord(out io.Writer) *record { return &record{out: out, started: time.Now()} }

// add adds a line with fields, which alternate between names and values.
func (r *record) add(what string, fields ...any) {
	var line strings.Builder
	for i := 0; i+1 < len(fields); i += 2 {
		fmt.Fprintf(&line, " %v=%q", fields[i], fmt.Sprint(fields[i+1]))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f %s%s\n", time.Since(r.started).Seconds(), what, line.String())
}
