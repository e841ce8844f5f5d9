package experiment

import "testing"

// TestQuarantineMeetsItsTargets checks the targets of M6 on one seed, with crashing
// requests and random losses of upstreams: at most m6MaxCrashes crashes by a fingerprint
// and by a single send, and no innocent request blocked.
func TestQuarantineMeetsItsTargets(t *testing.T) {
	run, err := runM6(5, m6Scenario{crashing: true, losses: true})
	if err != nil {
		t.Fatal(err)
	}
	if total, maxPerFingerprint := run.countCrashes(); total == 0 || maxPerFingerprint > m6MaxCrashes {
		t.Errorf("%d crashes, %d of them by one fingerprint, want at least one and at most m6MaxCrashes by one fingerprint", total, maxPerFingerprint)
	}
	if run.maxPerSend > m6MaxCrashes {
		t.Errorf("one send crashed %d upstreams, want at most m6MaxCrashes", run.maxPerSend)
	}
	if run.blocked > 0 {
		t.Errorf("%d innocent requests were refused as blocked", run.blocked)
	}
}
