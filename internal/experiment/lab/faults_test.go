package lab

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/virtual"
)

// TestAnswersAreConsistentUnderFaults runs clusters with delayed, duplicated and lost
// messages, mismatched replies, crashing upstreams, rolling versions and a killed
// node. It checks that every answer is of one version, belongs to the caller's own
// query and has the coverage it states, and, if no node is killed, that every search
// gets an answer.
func TestAnswersAreConsistentUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64Range(1, 1000).Draw(t, "seed")
		faults := rand.New(rand.NewPCG(seed, 0xfa17))
		s := smallSpec(seed)
		s.Policy = "deadline 300ms coverage at least 0% repeat yes"
		s.Deliver = func(_, _ model.HostID, _ message.Message) virtual.Delivery {
			switch faults.IntN(400) {
			case 0:
				return virtual.Delivery{BreakStream: true}
			case 1:
				return virtual.Delivery{Copies: 1}
			case 2:
				return virtual.Delivery{Delay: 50 * time.Millisecond}
			default:
				return virtual.Delivery{}
			}
		}
		cluster, err := Start(s)
		if err != nil {
			t.Fatal(err)
		}
		for i, u := range cluster.Upstreams() {
			at := time.Duration(200+faults.IntN(1200)) * time.Millisecond
			switch faults.IntN(4) {
			case 0:
				cluster.After(at, func() { u.MismatchedReplies = 3 })
			case 1:
				cluster.After(at, func() { u.Crash(300 * time.Millisecond) })
			}
			cluster.After(at, func() { u.Holdings = []model.Holding{FullHolding(model.Version(2 + i%2))} })
		}
		kill := rapid.Bool().Draw(t, "kill")
		if kill {
			cluster.After(time.Second, func() { cluster.Kill(cluster.Hosts()[0]) })
		}
		result := cluster.Run(Load{Rate: 150, Duration: 2 * time.Second, Services: []string{"counter-*"}, Seed: seed})
		if result.Mixed+result.Foreign+result.WrongCoverage > 0 || result.Answered == 0 {
			t.Fatalf("got %+v", result)
		}
		if !kill && result.Lost != 0 {
			t.Fatalf("%d searches got no answer", result.Lost)
		}
	})
}
