package experiment

import "testing"

// TestQuarantineMeetsItsTargets checks the targets of M6 on one seed, with crashing
// requests and random losses of upstreams: few crashes by a fingerprint and by a
// single send, and no innocent request blocked.
func TestQuarantineMeetsItsTargets(t *testing.T) {
	run, err := runM6(5, m6Scenario{crashing: true, losses: true})
	if err != nil {
		t.Fatal(err)
	}
	if all, most := run.countCrashes(); all == 0 || most > m6MaxCrashes {
		t.Errorf("%d crashes, %d of them by one fingerprint", all, most)
	}
	if run.maxPerSend > m6MaxCrashes {
		t.Errorf("one send crashed %d upstreams", run.maxPerSend)
	}
	if run.blocked > 0 {
		t.Errorf("%d innocent requests were refused as blocked", run.blocked)
	}
}
