package replica

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/snapshot"
)

// now is the time of the choices in these tests.
const now = model.Instant(time.Hour)

// threeReplicas returns three equal replicas, each in its own failure domain.
func threeReplicas() []*snapshot.Replica {
	var replicas []*snapshot.Replica
	for _, id := range []model.UpstreamID{"s/a", "s/b", "s/c"} {
		replicas = append(replicas, &snapshot.Replica{
			ID: id, Domain: model.FailureDomain(id[2:]), Reachable: true, FreeSlots: 2, Limit: 2, UpdatedAt: now,
		})
	}
	return replicas
}

// choiceCounts returns how often each replica is chosen in 300 choices.
func choiceCounts(table *Table, replicas []*snapshot.Replica, criteria Criteria) map[model.UpstreamID]int {
	random := rand.New(rand.NewPCG(3, 4))
	counts := make(map[model.UpstreamID]int)
	for range 300 {
		if chosen := table.Choose(replicas, criteria, random); chosen != nil {
			counts[chosen.ID]++
		}
	}
	return counts
}

func TestChoice(t *testing.T) {
	tests := []struct {
		name   string
		change func(table *Table, replicas []*snapshot.Replica, criteria *Criteria)
		never  []model.UpstreamID
		always []model.UpstreamID
	}{
		{"equal replicas share the work", func(*Table, []*snapshot.Replica, *Criteria) {}, nil, []model.UpstreamID{"s/a", "s/b", "s/c"}},
		{"draining", func(_ *Table, r []*snapshot.Replica, _ *Criteria) { r[0].Draining = true }, []model.UpstreamID{"s/a"}, nil},
		{"unreachable", func(_ *Table, r []*snapshot.Replica, _ *Criteria) { r[1].Reachable = false }, []model.UpstreamID{"s/b"}, nil},
		{"tried", func(_ *Table, _ []*snapshot.Replica, c *Criteria) { c.Tried = []model.UpstreamID{"s/c"} }, []model.UpstreamID{"s/c"}, nil},
		{"slow by observed latency", func(table *Table, _ []*snapshot.Replica, _ *Criteria) {
			table.Observe("s/a", now, 100*time.Millisecond)
			table.Observe("s/b", now, 5*time.Millisecond)
		}, []model.UpstreamID{"s/a"}, []model.UpstreamID{"s/b", "s/c"}},
		{"no free slot for a hedge", func(_ *Table, r []*snapshot.Replica, c *Criteria) {
			c.RequireFreeSlot = true
			r[2].FreeSlots = 0
		}, []model.UpstreamID{"s/c"}, nil},
		{"own attempts use free slots", func(table *Table, r []*snapshot.Replica, c *Criteria) {
			c.RequireFreeSlot = true
			table.RecordSent(r[0])
			table.RecordSent(r[0])
		}, []model.UpstreamID{"s/a"}, nil},
		{"full queue", func(table *Table, r []*snapshot.Replica, _ *Criteria) {
			r[0].FreeSlots = 0
			r[0].Queued = 4
			table.Observe("s/a", now, time.Millisecond)
			table.Observe("s/b", now, time.Millisecond)
		}, []model.UpstreamID{"s/a"}, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table, replicas, criteria := NewTable(), threeReplicas(), Criteria{Now: now}
			test.change(table, replicas, &criteria)
			counts := choiceCounts(table, replicas, criteria)
			for _, id := range test.never {
				if counts[id] > 0 {
					t.Errorf("%s was chosen %d times", id, counts[id])
				}
			}
			for _, id := range test.always {
				if counts[id] == 0 {
					t.Errorf("%s was never chosen", id)
				}
			}
		})
	}
}

func TestSlowReplicaIsRetriedByOneAttempt(t *testing.T) {
	table, replicas := NewTable(), threeReplicas()
	table.Observe("s/a", now, 100*time.Millisecond)
	table.Observe("s/b", now, 5*time.Millisecond)
	later := now.Add(10 * recoveryTimeConstant)
	if choiceCounts(table, replicas, Criteria{Now: later})["s/a"] == 0 {
		t.Fatal("a replica that was slow long ago is never chosen")
	}
	table.RecordSent(replicas[0])
	if got := choiceCounts(table, replicas, Criteria{Now: later})["s/a"]; got > 0 {
		t.Fatalf("the slow replica was chosen %d times while an attempt was open", got)
	}
}

func TestStaleFreeSlotCountIsIgnored(t *testing.T) {
	replicas := threeReplicas()
	for _, r := range replicas {
		r.FreeSlots = 0
	}
	if got := choiceCounts(NewTable(), replicas, Criteria{Now: now, RequireFreeSlot: true}); len(got) > 0 {
		t.Fatalf("chose %v without a free slot", got)
	}
	if got := choiceCounts(NewTable(), replicas, Criteria{Now: now.Add(2 * maxCountAge), RequireFreeSlot: true}); len(got) != 3 {
		t.Fatalf("chose %v with an outdated count", got)
	}
}

func TestReportedLoadBreaksTiesOnly(t *testing.T) {
	replicas := threeReplicas()
	replicas[0].ReportedInFlight = 100
	for _, r := range replicas {
		r.ReportedAt = now
	}
	criteria := Criteria{Now: now}
	if got := weight(2, replicas[0], criteria); got >= weight(2, replicas[1], criteria) || got <= weight(1, replicas[1], criteria) {
		t.Errorf("weight %v of a replica that reports load", got)
	}
	criteria.Now = now.Add(maxReportAge)
	if weight(2, replicas[0], criteria) != weight(2, replicas[1], criteria) {
		t.Error("an outdated report changes the weight")
	}
}

func TestDomainPreference(t *testing.T) {
	counts := choiceCounts(NewTable(), threeReplicas(), Criteria{Now: now, Domain: "b", AvoidDomain: "a"})
	if counts["s/b"] <= counts["s/c"] || counts["s/a"] >= counts["s/c"] {
		t.Fatalf("got %v", counts)
	}
}
