package experiment

import (
	"strconv"
	"testing"
)

// TestPlannedStopsCutNothing checks M8's targets on one seed.
func TestPlannedStopsCutNothing(t *testing.T) {
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
		if milliseconds, err := strconv.Atoi(row[newWork]); err != nil || milliseconds > int(m8Target.Milliseconds()) {
			t.Errorf("%s: new work until %s ms", row[situation], row[newWork])
		}
	}
}
