package history

import (
	"flag"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/anishathalye/porcupine"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

var (
	histories = flag.Int("histories", 60, "number of seeded histories to check")
	firstSeed = flag.Uint64("first-seed", 1, "seed of the first history")
)

// outcomeCounts counts calls by outcome, and runs, over all histories.
type outcomeCounts struct {
	calls, runs, answered, notRun, unknown, lost atomic.Int64
}

// add adds the calls and runs of one history.
func (c *outcomeCounts) add(h *History) {
	c.runs.Add(int64(len(h.Runs)))
	for _, call := range h.Calls {
		c.calls.Add(1)
		switch {
		case call.Returned == 0:
			c.lost.Add(1)
		case call.Outcome == model.Answered:
			c.answered.Add(1)
		case call.Outcome == model.NotRun:
			c.notRun.Add(1)
		default:
			c.unknown.Add(1)
		}
	}
}

// String formats the counts for the test log.
func (c *outcomeCounts) String() string {
	return fmt.Sprintf("%d calls, %d runs; %d answered, %d not run, %d unknown, %d without a reply",
		c.calls.Load(), c.runs.Load(), c.answered.Load(), c.notRun.Load(), c.unknown.Load(), c.lost.Load())
}

// TestSeededHistories checks that the histories of many seeds, under faults, conform
// to the model, and that together they contain all three outcomes. A longer run:
//
//	go test ./internal/history -run TestSeededHistories -v -timeout 30m -args -histories 10000
func TestSeededHistories(t *testing.T) {
	seeds := make(chan uint64)
	var counts outcomeCounts
	var workers sync.WaitGroup
	for range min(4, runtime.GOMAXPROCS(0)) {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for seed := range seeds {
				checkSeed(t, seed, &counts)
			}
		}()
	}
	for n := range *histories {
		seeds <- *firstSeed + uint64(n)
	}
	close(seeds)
	workers.Wait()
	t.Logf("%d histories: %s", *histories, &counts)
	if counts.answered.Load() == 0 || counts.unknown.Load() == 0 || counts.notRun.Load() == 0 {
		t.Error("the histories do not contain all three outcomes")
	}
}

// checkSeed generates and checks the history of one seed.
func checkSeed(t *testing.T, seed uint64, counts *outcomeCounts) {
	scenario, history, err := Run(seed)
	if err != nil {
		t.Error(err)
		return
	}
	counts.add(history)
	if result := history.Check(); result != porcupine.Ok {
		t.Errorf("seed %d: %s; faults %v\n%s", seed, result, scenario.Faults, explain(history))
	}
}

// explain lists the operations of the orders that violate the model.
func explain(h *History) string {
	text := ""
	for _, part := range partition(h.operations()) {
		if porcupine.CheckOperations(Model(), part) {
			continue
		}
		for _, op := range part {
			text += fmt.Sprintf("  [%d, %d] client %d %s\n", op.Call, op.Return, op.ClientId, describe(op.Input.(operation)))
		}
	}
	return text
}

// TestScenarioIsDeterministic checks that two runs of a seed give equal histories, so
// that a failing seed can be reproduced.
func TestScenarioIsDeterministic(t *testing.T) {
	_, first, err := Run(7)
	if err != nil {
		t.Fatal(err)
	}
	_, second, err := Run(7)
	if err != nil {
		t.Fatal(err)
	}
	if fmt.Sprint(*first) != fmt.Sprint(*second) {
		t.Fatal("two runs of the same seed gave different histories")
	}
}

// answeredCallIndex returns the index of the first answered call of a history.
func answeredCallIndex(t *testing.T, h *History) int {
	t.Helper()
	for i, call := range h.Calls {
		if call.Returned != 0 && call.Outcome == model.Answered {
			return i
		}
	}
	t.Fatal("the history has no answered call")
	return 0
}

// TestInjectedFaultsAreDetected guards against a checker that accepts everything: it
// plants one violation in histories that conform to the model and expects Check to
// report it.
func TestInjectedFaultsAreDetected(t *testing.T) {
	plants := []struct {
		name  string
		plant func(h *History, answered int)
	}{
		{"double run", func(h *History, answered int) {
			call := h.Calls[answered]
			h.Runs = append(h.Runs, Execution{ID: call.ID, Body: call.Body, At: call.Returned + 1, Number: 1 << 40})
		}},
		{"false refusal", func(h *History, answered int) {
			h.Calls[answered].Outcome = model.NotRun
			h.Calls[answered].Code = model.CodeOverloaded
		}},
		{"run after a refusal", func(h *History, answered int) {
			call := h.Calls[answered]
			call.Outcome = model.NotRun
			call.ID.Sequence = 1 << 40
			h.Calls = append(h.Calls, call)
			h.Runs = append(h.Runs, Execution{ID: call.ID, Body: call.Body, At: call.Returned + 1, Number: 1 << 40})
		}},
		{"another's answer", func(h *History, answered int) { h.Calls[answered].Execution += 1 << 40 }},
		{"another's content", func(h *History, answered int) { h.Calls[answered].Body = `"stolen"` }},
		{"answer without a run", func(h *History, answered int) {
			number := h.Calls[answered].Execution
			h.Runs = slices.DeleteFunc(h.Runs, func(e Execution) bool { return e.Number == number })
		}},
	}
	for _, p := range plants {
		t.Run(p.name, func(t *testing.T) {
			for seed := uint64(1); seed <= 5; seed++ {
				_, history, err := Run(seed)
				if err != nil {
					t.Fatal(err)
				}
				p.plant(history, answeredCallIndex(t, history))
				if got := history.Check(); got != porcupine.Illegal {
					t.Errorf("seed %d: Check = %s, want illegal", seed, got)
				}
			}
		})
	}
}
