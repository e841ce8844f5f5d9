package experiment

import (
	"strconv"
	"testing"
)

// TestPlannedStopsInterruptNoRequest checks the targets of M8 on one seed: planned
// stops and leaving upstreams leave no request unknown or without reply and run none
// twice, and a leaving upstream soon gets no new work. The first row, of killed nodes,
// is exempt.
func TestPlannedStopsInterruptNoRequest(t *testing.T) {
	report, err := runStops(2)
	if err != nil {
		t.Fatal(err)
	}
	const (
		situation, unknown, withoutReply, runTwice, newWork = 0, 4, 5, 7, 9
	)
	for _, row := range report.Rows[1:] {
		if row[unknown] != "0" || row[withoutReply] != "0" || row[runTwice] != "0" {
			t.Errorf("%s: %v", row[situation], row)
		}
		if milliseconds, err := strconv.Atoi(row[newWork]); err != nil || milliseconds > int(m8MaxNewWorkTime.Milliseconds()) {
			t.Errorf("%s: new work until %s ms", row[situation], row[newWork])
		}
	}
}
