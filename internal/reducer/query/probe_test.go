package query

import (
	"fmt"
	"testing"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/quarantine"
)

// markProven makes the content of a call's search one that is known to have run.
func (b *bench) markProven(call model.CallID) {
	b.state.parts.Quarantine.RecordSafe(quarantine.Fingerprint("", fmt.Appendf(nil, `"q%d"`, call)))
}

func TestUnknownContentRunsOnACanaryFirst(t *testing.T) {
	b := benchWith(t, searchPolicy(), "v0", "v1", "v2", "v3")
	b.search(1, "v*")
	sent := b.dispatches()
	if len(sent) != 1 {
		t.Fatalf("%d attempts were sent before the canary replied", len(sent))
	}
	b.result(peerHost, answered(sent[0]))
	if sent = b.dispatches(); len(sent) != 4 {
		t.Fatalf("%d attempts were sent after the canary replied", len(sent))
	}
	for _, d := range sent[1:] {
		b.result(peerHost, answered(d))
	}
	if len(b.replies) != 1 || !b.replies[0].Answer.Coverage.Complete() {
		t.Fatalf("got %+v", b.replies)
	}
	b.sent = nil
	b.search(1, "v*")
	if sent = b.dispatches(); len(sent) != 4 {
		t.Fatalf("%d attempts of a proven content were sent", len(sent))
	}
}

// TestServicesWithoutCanary checks that a search scatters at once when no service
// of it asks for a canary, and waits when one does.
func TestServicesWithoutCanary(t *testing.T) {
	policy := searchPolicy()
	policy.NoCanary = true
	b := benchWith(t, policy, "v0", "v1", "v2", "v3")
	b.search(1, "v*")
	if sent := b.dispatches(); len(sent) != 4 {
		t.Fatalf("%d attempts were sent at once", len(sent))
	}
	b = benchWith(t, policy, "v0", "v1", "v2", "v3")
	b.config.Service("v2").Policy.NoCanary = false
	b.search(1, "v*")
	if sent := b.dispatches(); len(sent) != 1 {
		t.Fatalf("%d attempts were sent before the canary replied", len(sent))
	}
}

func TestSilentCanaryIsJoinedByOneMore(t *testing.T) {
	b := benchWith(t, searchPolicy(), "v0", "v1", "v2", "v3")
	b.search(1, "v*")
	b.advance(searchPolicy().Deadline / 4)
	sent := b.dispatches()
	if len(sent) != maxExposed {
		t.Fatalf("%d attempts were sent while no canary replied", len(sent))
	}
	b.result(peerHost, answered(sent[1]))
	if sent = b.dispatches(); len(sent) < 4 {
		t.Fatalf("%d attempts were sent after the second canary replied", len(sent))
	}
}

// TestUnknownContentCrashesTwoUpstreamsAtMost lets every attempt crash, before
// and after the second canary.
func TestUnknownContentCrashesTwoUpstreamsAtMost(t *testing.T) {
	for _, early := range []bool{true, false} {
		b := benchWith(t, searchPolicy(), "v0", "v1", "v2", "v3")
		b.search(1, "v*")
		if !early {
			b.advance(searchPolicy().Deadline / 4)
		}
		for next := 0; next < len(b.dispatches()); next++ {
			m := ended(b.dispatches()[next], message.StatusLost)
			m.Crash = true
			b.result(peerHost, m)
		}
		if n := len(b.dispatches()); n != maxExposed {
			t.Errorf("early %v: %d upstreams were crashed", early, n)
		}
		if len(b.replies) != 1 || b.replies[0].Answer.Outcome != model.Unknown {
			t.Errorf("early %v: got %+v", early, b.replies)
		}
	}
}
