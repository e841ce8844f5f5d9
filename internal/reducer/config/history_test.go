package config

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

func TestTextHashIgnoresUntilClause(t *testing.T) {
	text := "convict counter-1 fingerprint 00ff until "
	if hashText(text+"2026-01-31T18:00:00Z") != hashText(text+"2026-01-31T18:00:05Z") {
		t.Error("texts that differ only in the resolved until time have different hashes")
	}
	if hashText("create user u1") == hashText("create user u2") {
		t.Error("two different texts have the same hash")
	}
}

// The entries of one log arrive in any order, some more than once, mixed with
// snapshots. The history must never go back and must end in the same state.
func TestHistoryIsIndependentOfArrivalOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const length = 40
		var entries []model.LogEntry
		reference := newHistory()
		var snapshots []snapshot
		for i := range length {
			entry := model.LogEntry{Revision: model.Revision(i + 1), Change: model.ChangeID(fmt.Sprint(i % 30))}
			if rapid.IntRange(0, 4).Draw(t, "fence") > 0 {
				entry.Text = fmt.Sprintf("create user u%d", i)
			}
			entries = append(entries, entry)
			reference.add(entry)
			if i%8 == 0 {
				snapshots = append(snapshots, roundTrip(t, reference))
			}
		}
		h := newHistory()
		for _, i := range rapid.SliceOfN(rapid.IntRange(0, length-1), 0, 60).Draw(t, "order") {
			before := h.applied()
			if rapid.IntRange(0, 9).Draw(t, "snapshot") == 0 {
				h.installSnapshot(snapshots[i%len(snapshots)], 0)
			} else {
				h.add(entries[i])
			}
			if h.applied() < before {
				t.Fatalf("reverted from revision %d to %d", before, h.applied())
			}
		}
		for _, entry := range entries {
			h.add(entry)
		}
		if got, want := fmt.Sprint(*h.config, h.changes), fmt.Sprint(*reference.config, reference.changes); got != want {
			t.Fatalf("final state\n%s, want\n%s", got, want)
		}
	})
}

// roundTrip encodes and decodes a snapshot.
func roundTrip(t *rapid.T, h *history) snapshot {
	encoded, err := h.encodeSnapshot(h.config)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := decodeSnapshot(encoded)
	if err != nil {
		t.Fatal(err)
	}
	return decoded
}
