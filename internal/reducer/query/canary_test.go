package query

import (
	"fmt"
	"testing"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/quarantine"
)

// markSafe records that the content of a call's search is safe.
func (f *fixture) markSafe(call model.CallID) {
	f.state.deps.Quarantine.RecordSafe(quarantine.Fingerprint("", fmt.Appendf(nil, `"q%d"`, call)))
}

func TestUnknownContentRunsOnACanaryFirst(t *testing.T) {
	f := newServiceFixture(t, searchPolicy(), "v0", "v1", "v2", "v3")
	f.search(1, "v*")
	sent := f.dispatches()
	if len(sent) != 1 {
		t.Fatalf("%d attempts were sent before the canary replied", len(sent))
	}
	f.result(peerHost, answeredResult(sent[0]))
	if sent = f.dispatches(); len(sent) != 4 {
		t.Fatalf("%d attempts were sent after the canary replied", len(sent))
	}
	for _, d := range sent[1:] {
		f.result(peerHost, answeredResult(d))
	}
	if len(f.replies) != 1 || !f.replies[0].Answer.Coverage.Complete() {
		t.Fatalf("got %+v", f.replies)
	}
	f.sent = nil
	f.search(1, "v*")
	if sent = f.dispatches(); len(sent) != 4 {
		t.Fatalf("%d attempts of content that is known to be safe were sent", len(sent))
	}
}

// TestServicesWithoutCanary checks that a search scatters at once when none of its
// services asks for a canary, and waits for the canary when one does.
func TestServicesWithoutCanary(t *testing.T) {
	policy := searchPolicy()
	policy.NoCanary = true
	f := newServiceFixture(t, policy, "v0", "v1", "v2", "v3")
	f.search(1, "v*")
	if sent := f.dispatches(); len(sent) != 4 {
		t.Fatalf("%d attempts were sent at once", len(sent))
	}
	f = newServiceFixture(t, policy, "v0", "v1", "v2", "v3")
	f.config.Service("v2").Policy.NoCanary = false
	f.search(1, "v*")
	if sent := f.dispatches(); len(sent) != 1 {
		t.Fatalf("%d attempts were sent before the canary replied", len(sent))
	}
}

func TestSecondCanaryAfterSilence(t *testing.T) {
	f := newServiceFixture(t, searchPolicy(), "v0", "v1", "v2", "v3")
	f.search(1, "v*")
	f.advance(searchPolicy().Deadline / 4)
	sent := f.dispatches()
	if len(sent) != maxExposedUpstreams {
		t.Fatalf("%d attempts were sent before any canary replied", len(sent))
	}
	f.result(peerHost, answeredResult(sent[1]))
	if sent = f.dispatches(); len(sent) < 4 {
		t.Fatalf("%d attempts were sent after the second canary replied", len(sent))
	}
}

// TestUnknownContentCrashesTwoUpstreamsAtMost checks that content that crashes every
// upstream reaches maxExposedUpstreams only, whether the first crash occurs before or
// after the second canary was sent.
func TestUnknownContentCrashesTwoUpstreamsAtMost(t *testing.T) {
	for _, early := range []bool{true, false} {
		f := newServiceFixture(t, searchPolicy(), "v0", "v1", "v2", "v3")
		f.search(1, "v*")
		if !early {
			f.advance(searchPolicy().Deadline / 4)
		}
		for next := 0; next < len(f.dispatches()); next++ {
			m := resultWithStatus(f.dispatches()[next], message.StatusLost)
			m.Crash = true
			f.result(peerHost, m)
		}
		if n := len(f.dispatches()); n != maxExposedUpstreams {
			t.Errorf("early %v: %d upstreams were crashed", early, n)
		}
		if len(f.replies) != 1 || f.replies[0].Answer.Outcome != model.Unknown {
			t.Errorf("early %v: got %+v", early, f.replies)
		}
	}
}
