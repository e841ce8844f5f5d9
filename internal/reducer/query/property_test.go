package query

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// history drives a coordinator at random and checks every answer against what
// its upstreams really did.
type history struct {
	*bench
	t *rapid.T
	// maps holds the partition map of each service at each version.
	maps map[model.ServiceName]map[model.Version][]model.Shard
	// open holds the dispatches without a result and done those with one.
	open []effect.SendPeer
	done []givenResult
	// taken is the number of messages of the bench that were looked at.
	taken int
	// ran counts the runs of each body; searched tells which rows are true.
	ran      map[string]int
	searched map[string]bool
	// asked holds the calls that await a reply.
	asked    map[model.CallID]bool
	orders   map[string]bool
	answered int
	nextCall model.CallID
	firsts   map[model.ServiceName]float64
	hedges   map[model.ServiceName]float64
	retries  map[model.ServiceName]float64
	seen     map[string]bool
	// notOwned counts the dispatches that no dispatcher took, by their work: they
	// cost no upstream anything.
	notOwned map[string]int
}

// givenResult is a result that a dispatcher sent.
type givenResult struct {
	from   model.HostID
	result message.DispatchResult
}

// drawMap draws a partition map of up to four shards, whose names may stand for
// other ranges in other versions.
func drawMap(t *rapid.T) []model.Shard {
	cuts := rapid.SliceOfNDistinct(rapid.Uint32Range(1, model.KeySpace-1), 0, 3, rapid.ID[uint32]).Draw(t, "cuts")
	slices.Sort(cuts)
	var shards []model.Shard
	low := uint32(0)
	for i, high := range append(cuts, model.KeySpace) {
		shards = append(shards, model.Shard{ID: model.ShardID(fmt.Sprintf("s%d", i)), Low: low, High: high})
		low = high
	}
	return shards
}

func newHistory(t *rapid.T) *history {
	config := &model.Config{Revision: 1}
	h := &history{
		t:        t,
		maps:     make(map[model.ServiceName]map[model.Version][]model.Shard),
		ran:      make(map[string]int),
		searched: make(map[string]bool),
		asked:    make(map[model.CallID]bool),
		orders:   make(map[string]bool),
		firsts:   make(map[model.ServiceName]float64),
		hedges:   make(map[model.ServiceName]float64),
		retries:  make(map[model.ServiceName]float64),
		seen:     make(map[string]bool),
		notOwned: make(map[string]int),
	}
	for i := range rapid.IntRange(1, 3).Draw(t, "services") {
		service := model.Service{Name: model.ServiceName(fmt.Sprintf("v%d", i)), Policy: drawPolicy(t)}
		h.maps[service.Name] = make(map[model.Version][]model.Shard)
		for version := range model.Version(3) {
			h.maps[service.Name][version+1] = drawMap(t)
		}
		for j := range rapid.IntRange(1, 4).Draw(t, "upstreams") {
			id := model.UpstreamID(fmt.Sprintf("%s/u%d", service.Name, j))
			service.Upstreams = append(service.Upstreams, model.Upstream{ID: id, Slots: 2})
		}
		config.Services = append(config.Services, service)
	}
	h.bench = newBench(config)
	return h
}

func drawPolicy(t *rapid.T) model.Policy {
	policy := model.DefaultPolicy()
	policy.Repeatable = rapid.Bool().Draw(t, "repeatable")
	policy.Deadline = time.Duration(rapid.IntRange(20, 200).Draw(t, "deadline")) * time.Millisecond
	policy.AnswerBy = time.Duration(rapid.IntRange(0, 100).Draw(t, "answer_by")) * time.Millisecond
	policy.MinCoverage = model.Percent(rapid.SampledFrom([]int{0, 50, 100}).Draw(t, "coverage"))
	return policy
}

// reportOne lets an upstream state what it holds.
func (h *history) reportOne(t *rapid.T) {
	service := rapid.SampledFrom(h.config.Services).Draw(t, "service")
	upstream := rapid.SampledFrom(service.Upstreams).Draw(t, "upstream")
	report := model.IndexReport{
		Upstream:  upstream.ID,
		Reachable: rapid.IntRange(0, 9).Draw(t, "reachable") > 0,
		Draining:  rapid.IntRange(0, 9).Draw(t, "draining") == 0,
		FreeSlots: rapid.IntRange(0, 2).Draw(t, "free"),
		Limit:     2,
	}
	for version, shards := range sortedMaps(h.maps[service.Name]) {
		if rapid.IntRange(0, 3).Draw(t, "held") == 0 {
			continue
		}
		if rapid.IntRange(0, 9).Draw(t, "strange") == 0 {
			shards = drawMap(t)
		}
		var holds []model.ShardID
		for _, shard := range shards {
			if rapid.IntRange(0, 3).Draw(t, "holds") > 0 {
				holds = append(holds, shard.ID)
			}
		}
		report.Holdings = append(report.Holdings, model.Holding{Version: version, Shards: shards, HeldShards: holds})
	}
	h.report(report)
}

// sortedMaps iterates in the order of the versions.
func sortedMaps(maps map[model.Version][]model.Shard) func(func(model.Version, []model.Shard) bool) {
	return func(yield func(model.Version, []model.Shard) bool) {
		for version := model.Version(1); int(version) <= len(maps); version++ {
			if !yield(version, maps[version]) {
				return
			}
		}
	}
}

func (h *history) startSearch(t *rapid.T) {
	h.nextCall++
	h.asked[h.nextCall] = true
	pattern := rapid.SampledFrom([]string{"v*", "v0", "v?"}).Draw(t, "pattern")
	h.search(h.nextCall, pattern)
}

func (h *history) startOrder(t *rapid.T) {
	h.nextCall++
	body := fmt.Sprintf("order %d", h.nextCall)
	service := rapid.SampledFrom(h.config.Services).Draw(t, "service")
	h.orders[body] = service.Policy.Repeatable
	h.step(func(ctx *step.Context) { h.state.RunOrder(ctx, Order{Service: service.Name, Body: []byte(body)}) })
}

// endOne gives a result to an open dispatch, a true or a false one.
func (h *history) endOne(t *rapid.T) {
	if len(h.open) == 0 {
		return
	}
	i := rapid.IntRange(0, len(h.open)-1).Draw(t, "open")
	send := h.open[i]
	h.open = slices.Delete(h.open, i, i+1)
	given := givenResult{from: send.To, result: h.drawResult(t, send.Message.(message.Dispatch))}
	h.done = append(h.done, given)
	h.result(given.from, given.result)
}

// repeatOne repeats a result that was given before.
func (h *history) repeatOne(t *rapid.T) {
	if len(h.done) > 0 {
		given := rapid.SampledFrom(h.done).Draw(t, "done")
		h.result(given.from, given.result)
	}
}

// drawResult draws what became of a dispatch.
func (h *history) drawResult(t *rapid.T, d message.Dispatch) message.DispatchResult {
	status := rapid.SampledFrom([]message.DispatchStatus{
		message.StatusAnswered, message.StatusAnswered, message.StatusAnswered, message.StatusAnswered,
		message.StatusRefused, message.StatusVersionGone, message.StatusFailed, message.StatusLost,
		message.StatusCancelled, message.StatusNotOwner,
	}).Draw(t, "status")
	m := ended(d, status)
	m.Reason = rapid.SampledFrom([]model.Code{model.CodeOverloaded, model.CodeUnavailable}).Draw(t, "reason")
	if !status.NotRun() {
		h.ran[string(d.Body)]++
	} else if d.Hedge {
		h.hedges[d.Upstream.Service()]--
	} else if status == message.StatusNotOwner {
		h.notOwned[workOf(d)]++
	}
	if status == message.StatusAnswered {
		m = h.distort(t, d)
	}
	m.Crash = status == message.StatusLost && rapid.Bool().Draw(t, "crash")
	return m
}

// distort returns the upstream's reply, now and then one that is not what was
// asked for.
func (h *history) distort(t *rapid.T, d message.Dispatch) message.DispatchResult {
	m := answered(d)
	if d.Kind != message.KindSearch {
		return m
	}
	switch rapid.IntRange(0, 9).Draw(t, "distortion") {
	case 0:
		m.Version++
	case 1:
		m.RowShards = []model.ShardID{"other"}
	case 2:
		m.Rows = append(m.Rows, m.Rows[0])
	case 3:
		m.Upstream = "v9/u9"
	default:
		for _, row := range m.Rows {
			h.searched[string(row)] = true
		}
	}
	return m
}

func (h *history) loseDispatcher(t *rapid.T) {
	host := rapid.SampledFrom([]model.HostID{peerHost, "c"}).Draw(t, "host")
	for i := 0; i < len(h.open); {
		if h.open[i].To != host {
			i++
			continue
		}
		h.ran[string(h.open[i].Message.(message.Dispatch).Body)]++
		h.open = slices.Delete(h.open, i, i+1)
	}
	h.step(func(ctx *step.Context) { h.state.HandlePeerLost(ctx, host) })
}

func (h *history) leaveOne(t *rapid.T) {
	if h.nextCall == 0 {
		return
	}
	call := model.CallID(rapid.Uint64Range(1, uint64(h.nextCall)).Draw(t, "call"))
	h.step(func(ctx *step.Context) { h.state.HandleCallerGone(ctx, call) })
	delete(h.asked, call)
}

// check looks at everything that the last action emitted.
func (h *history) check(t *rapid.T) {
	for _, send := range h.sent[h.taken:] {
		d, ok := send.Message.(message.Dispatch)
		if !ok {
			continue
		}
		h.open = append(h.open, send)
		h.countExtra(d)
		if repeatable, isOrder := h.orders[string(d.Body)]; isOrder && !repeatable && h.ran[string(d.Body)] > 0 {
			t.Fatalf("order %q is sent again after it may have run", d.Body)
		}
	}
	h.taken = len(h.sent)
	for _, reply := range h.replies[h.answered:] {
		h.checkReply(t, reply)
	}
	h.answered = len(h.replies)
	h.checkBudgets(t)
}

// workOf names the work of a dispatch, the same for all of its attempts.
func workOf(d message.Dispatch) string {
	return fmt.Sprintf("%s %s %v %d", d.Body, d.Upstream.Service(), d.Shards, d.Version)
}

// countExtra counts first attempts, hedges and retries as an upstream sees them.
func (h *history) countExtra(d message.Dispatch) {
	service := d.Upstream.Service()
	key := workOf(d)
	switch {
	case d.Hedge:
		h.hedges[service]++
	case h.notOwned[key] > 0:
		h.notOwned[key]--
	case h.seen[key]:
		h.retries[service]++
	default:
		h.firsts[service]++
	}
	h.seen[key] = true
}

func (h *history) checkBudgets(t *rapid.T) {
	for _, service := range h.config.Services {
		firsts := h.firsts[service.Name]
		if most := service.Policy.HedgeBudget.Of(firsts); h.hedges[service.Name] > most+1e-9 {
			t.Fatalf("%s: %g hedges for %g first attempts", service.Name, h.hedges[service.Name], firsts)
		}
		if most := service.Policy.RetryBudget.Of(firsts) + initialRetries; h.retries[service.Name] > most+1e-9 {
			t.Fatalf("%s: %g retries for %g first attempts", service.Name, h.retries[service.Name], firsts)
		}
	}
}

func (h *history) checkReply(t *rapid.T, reply effect.ReplyCaller) {
	if !h.asked[reply.Call] {
		t.Fatalf("call %d is answered twice, or after its caller left", reply.Call)
	}
	delete(h.asked, reply.Call)
	body := fmt.Sprintf(`"q%d"`, reply.Call)
	answer := reply.Answer
	if answer.Outcome == model.NotRun {
		if h.ran[body] > 0 || h.isOpen(body) {
			t.Fatalf("call %d is said not to have run: %+v", reply.Call, answer)
		}
		return
	}
	if answer.Outcome == model.Answered {
		h.checkAnswer(t, body, answer)
	}
}

// isOpen reports whether a dispatch of a body may still run: one that was
// cancelled only now has no result yet.
func (h *history) isOpen(body string) bool {
	return slices.ContainsFunc(h.open, func(send effect.SendPeer) bool {
		return string(send.Message.(message.Dispatch).Body) == body
	})
}

func (h *history) checkAnswer(t *rapid.T, body string, answer model.Answer) {
	names := make(map[string]bool)
	for _, encoded := range answer.Results {
		var got row
		if err := json.Unmarshal(encoded, &got); err != nil {
			t.Fatal(err)
		}
		if got.Version != answer.Snapshot || string(got.Query) != body || names[got.Shard] || !h.searched[string(encoded)] {
			t.Fatalf("answer of version %d to %s holds the row %s", answer.Snapshot, body, encoded)
		}
		names[got.Shard] = true
	}
	coverage := answer.Coverage
	if coverage.Searched != len(names) || coverage.Total != len(names)+len(coverage.Missing) {
		t.Fatalf("coverage %+v for %d rows", coverage, len(names))
	}
	for _, missing := range coverage.Missing {
		if names[missing] {
			t.Fatalf("%s is stated as missing and searched", missing)
		}
	}
}

// TestAnswersAreTrue checks that every answer is of one version, covers what it
// says, consists of true rows of the caller's own query, and comes once.
func TestAnswersAreTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(t)
		for range 8 {
			h.reportOne(t)
		}
		t.Repeat(map[string]func(*rapid.T){
			"report":  h.reportOne,
			"search":  h.startSearch,
			"order":   h.startOrder,
			"end":     h.endOne,
			"end2":    h.endOne,
			"end3":    h.endOne,
			"repeat":  h.repeatOne,
			"lose":    h.loseDispatcher,
			"leave":   h.leaveOne,
			"advance": func(t *rapid.T) { h.advance(time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * time.Millisecond) },
			"":        h.check,
		})
		h.advance(time.Minute)
		h.check(t)
		if len(h.asked) > 0 || len(h.sink.answers) != len(h.orders) || h.state.InFlight() != 0 || len(h.state.attempts) != 0 {
			t.Fatalf("left behind: %d calls, %d of %d orders answered, %d requests, %d attempts",
				len(h.asked), len(h.sink.answers), len(h.orders), h.state.InFlight(), len(h.state.attempts))
		}
	})
}

// TestSearchHandlesLateCaller checks that a caller that leaves gets no reply.
func TestSearchHandlesLateCaller(t *testing.T) {
	b := benchWith(t, searchPolicy(), "v0")
	b.search(1, "v0")
	b.step(func(ctx *step.Context) { b.state.HandleCallerGone(ctx, event.CallerGone{Call: 1}.Call) })
	b.advance(time.Second)
	if len(b.replies) != 0 || len(b.cancels()) != 1 || b.state.InFlight() != 0 {
		t.Fatalf("%d replies, %d cancels", len(b.replies), len(b.cancels()))
	}
}
