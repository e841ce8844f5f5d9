package experiment

import "testing"

// TestQuarantineMeetsItsTargets checks M6's targets on one seed, with crashing
// requests and random losses together.
func TestQuarantineMeetsItsTargets(t *testing.T) {
	run, err := runM6(5, m6Situation{crashing: true, losses: true})
	if err != nil {
		t.Fatal(err)
	}
	if all, most := run.crashCounts(); all == 0 || most > m6Target {
		t.Errorf("%d crashes, at most %d by one fingerprint", all, most)
	}
	if run.mostBySend > m6Target {
		t.Errorf("one send took %d upstreams down", run.mostBySend)
	}
	if run.convicted > 0 {
		t.Errorf("%d innocent requests were refused as convicted", run.convicted)
	}
}
