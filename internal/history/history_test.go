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

// tally counts what the histories held.
type tally struct {
	calls, runs, answered, notRun, unknown, lost atomic.Int64
}

// add counts one history.
func (c *tally) add(h *History) {
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

// String prints the counts.
func (c *tally) String() string {
	return fmt.Sprintf("%d calls, %d runs; %d answered, %d not run, %d unknown, %d without a reply",
		c.calls.Load(), c.runs.Load(), c.answered.Load(), c.notRun.Load(), c.unknown.Load(), c.lost.Load())
}

// TestSeededHistories checks seeded histories under faults. A longer run:
//
//	go test ./internal/history -run TestSeededHistories -v -timeout 30m -args -histories 10000
func TestSeededHistories(t *testing.T) {
	seeds := make(chan uint64)
	var counts tally
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
		t.Error("the histories must reach all three outcomes")
	}
}

// checkSeed plays and checks one history.
func checkSeed(t *testing.T, seed uint64, counts *tally) {
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

// explain prints the operations of the orders that disagree with the model.
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

// TestScenarioRepeats checks that a seed determines its history.
func TestScenarioRepeats(t *testing.T) {
	_, first, err := Run(7)
	if err != nil {
		t.Fatal(err)
	}
	_, second, err := Run(7)
	if err != nil {
		t.Fatal(err)
	}
	if fmt.Sprint(*first) != fmt.Sprint(*second) {
		t.Fatal("the same seed gave another history")
	}
}

// answeredCall returns the place of a call of a history that was answered.
func answeredCall(t *testing.T, h *History) int {
	t.Helper()
	for i, call := range h.Calls {
		if call.Returned != 0 && call.Outcome == model.Answered {
			return i
		}
	}
	t.Fatal("the history holds no answer")
	return 0
}

// TestPlantedFaultsAreFound checks that the checker fails on histories that agree
// with the model but for one planted fault.
func TestPlantedFaultsAreFound(t *testing.T) {
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
				p.plant(history, answeredCall(t, history))
				if got := history.Check(); got != porcupine.Illegal {
					t.Errorf("seed %d: got %s", seed, got)
				}
			}
		})
	}
}
