package experiment

import (
	"strconv"
	"testing"
)

// TestGracefulShutdownsInterruptNoRequest checks the targets of M8 on one seed: with
// graceful shutdowns and leaving upstreams, no request has an unknown outcome, gets no reply
// or runs twice, and a leaving upstream gets no new work after m8MaxNewWorkTime. The
// first row, of killed nodes, is exempt.
func TestGracefulShutdownsInterruptNoRequest(t *testing.T) {
	report, err := runStops(2)
	if err != nil {
		t.Fatal(err)
	}
	// The indexes of the report's columns.
	const (
		situation, unknown, withoutReply, runTwice, newWork = 0, 4, 5, 7, 9
	)
	for _, row := range report.Rows[1:] {
		if row[unknown] != "0" || row[withoutReply] != "0" || row[runTwice] != "0" {
			t.Errorf("%s: got row %v, want no request unknown, without reply or run twice", row[situation], row)
		}
		if milliseconds, err := strconv.Atoi(row[newWork]); err != nil || milliseconds > int(m8MaxNewWorkTime.Milliseconds()) {
			t.Errorf("%s: new work until %s ms", row[situation], row[newWork])
		}
	}
}
