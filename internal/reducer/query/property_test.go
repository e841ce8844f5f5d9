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

// randomRun drives a coordinator with random events and checks every answer against
// the results that the simulated upstreams returned.
type randomRun struct {
	*fixture
	t *rapid.T
	// maps holds the partition map of each service at each version.
	maps map[model.ServiceName]map[model.Version][]model.Shard
	// openDispatches holds the dispatches without a result, and sentResults the results
	// sent so far.
	openDispatches []effect.SendPeer
	sentResults    []sentResult
	// checkedMessages and checkedReplies count the fixture's messages and replies that
	// were checked already.
	checkedMessages int
	// runs counts the possible runs of each body. validRows holds the encoded rows of
	// correct replies.
	runs      map[string]int
	validRows map[string]bool
	// awaitingReply holds the calls without a reply whose callers are connected.
	awaitingReply  map[model.CallID]bool
	orders         map[string]bool
	checkedReplies int
	nextCall       model.CallID
	firstAttempts  map[model.ServiceName]float64
	hedges         map[model.ServiceName]float64
	retries        map[model.ServiceName]float64
	seenWork       map[string]bool
	// notOwned counts by work key the dispatches returned by a dispatcher that does not
	// own the upstream. The next dispatch of that work does not count as a retry, since
	// no upstream received the first one.
	notOwned map[string]int
}

// sentResult is a result that a dispatcher sent.
type sentResult struct {
	from   model.HostID
	result message.DispatchResult
}

// drawMap draws a partition map of up to four shards. The same shard name may denote
// different key ranges in different versions.
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

func newRandomRun(t *rapid.T) *randomRun {
	config := &model.Config{Revision: 1}
	r := &randomRun{
		t:             t,
		maps:          make(map[model.ServiceName]map[model.Version][]model.Shard),
		runs:          make(map[string]int),
		validRows:     make(map[string]bool),
		awaitingReply: make(map[model.CallID]bool),
		orders:        make(map[string]bool),
		firstAttempts: make(map[model.ServiceName]float64),
		hedges:        make(map[model.ServiceName]float64),
		retries:       make(map[model.ServiceName]float64),
		seenWork:      make(map[string]bool),
		notOwned:      make(map[string]int),
	}
	for i := range rapid.IntRange(1, 3).Draw(t, "services") {
		service := model.Service{Name: model.ServiceName(fmt.Sprintf("v%d", i)), Policy: drawPolicy(t)}
		r.maps[service.Name] = make(map[model.Version][]model.Shard)
		for version := range model.Version(3) {
			r.maps[service.Name][version+1] = drawMap(t)
		}
		for j := range rapid.IntRange(1, 4).Draw(t, "upstreams") {
			id := model.UpstreamID(fmt.Sprintf("%s/u%d", service.Name, j))
			service.Upstreams = append(service.Upstreams, model.Upstream{ID: id, Slots: 2})
		}
		config.Services = append(config.Services, service)
	}
	r.fixture = newFixture(config)
	return r
}

func drawPolicy(t *rapid.T) model.Policy {
	policy := model.DefaultPolicy()
	policy.Repeatable = rapid.Bool().Draw(t, "repeatable")
	policy.Deadline = time.Duration(rapid.IntRange(20, 200).Draw(t, "deadline")) * time.Millisecond
	policy.AnswerBy = time.Duration(rapid.IntRange(0, 100).Draw(t, "answer_by")) * time.Millisecond
	policy.MinCoverage = model.Percent(rapid.SampledFrom([]int{0, 50, 100}).Draw(t, "coverage"))
	return policy
}

// reportHoldings sends an index report of a random upstream.
func (r *randomRun) reportHoldings(t *rapid.T) {
	service := rapid.SampledFrom(r.config.Services).Draw(t, "service")
	upstream := rapid.SampledFrom(service.Upstreams).Draw(t, "upstream")
	report := model.IndexReport{
		Upstream:  upstream.ID,
		Reachable: rapid.IntRange(0, 9).Draw(t, "reachable") > 0,
		Draining:  rapid.IntRange(0, 9).Draw(t, "draining") == 0,
		FreeSlots: rapid.IntRange(0, 2).Draw(t, "free"),
		Limit:     2,
	}
	for version, shards := range sortedMaps(r.maps[service.Name]) {
		if rapid.IntRange(0, 3).Draw(t, "held") == 0 {
			continue
		}
		if rapid.IntRange(0, 9).Draw(t, "strange") == 0 {
			shards = drawMap(t)
		}
		var heldShards []model.ShardID
		for _, shard := range shards {
			if rapid.IntRange(0, 3).Draw(t, "holds") > 0 {
				heldShards = append(heldShards, shard.ID)
			}
		}
		report.Holdings = append(report.Holdings, model.Holding{Version: version, Shards: shards, HeldShards: heldShards})
	}
	r.report(report)
}

// sortedMaps iterates over partition maps in the order of their versions.
func sortedMaps(maps map[model.Version][]model.Shard) func(func(model.Version, []model.Shard) bool) {
	return func(yield func(model.Version, []model.Shard) bool) {
		for version := model.Version(1); int(version) <= len(maps); version++ {
			if !yield(version, maps[version]) {
				return
			}
		}
	}
}

func (r *randomRun) startSearch(t *rapid.T) {
	r.nextCall++
	r.awaitingReply[r.nextCall] = true
	pattern := rapid.SampledFrom([]string{"v*", "v0", "v?"}).Draw(t, "pattern")
	r.search(r.nextCall, pattern)
}

func (r *randomRun) startOrder(t *rapid.T) {
	r.nextCall++
	body := fmt.Sprintf("order %d", r.nextCall)
	service := rapid.SampledFrom(r.config.Services).Draw(t, "service")
	r.orders[body] = service.Policy.Repeatable
	r.step(func(ctx *step.Context) { r.state.RunOrder(ctx, Order{Service: service.Name, Body: []byte(body)}) })
}

// sendResult sends a random result, correct or not, for an open dispatch.
func (r *randomRun) sendResult(t *rapid.T) {
	if len(r.openDispatches) == 0 {
		return
	}
	i := rapid.IntRange(0, len(r.openDispatches)-1).Draw(t, "open")
	send := r.openDispatches[i]
	r.openDispatches = slices.Delete(r.openDispatches, i, i+1)
	sent := sentResult{from: send.To, result: r.drawResult(t, send.Message.(message.Dispatch))}
	r.sentResults = append(r.sentResults, sent)
	r.result(sent.from, sent.result)
}

// repeatResult sends a duplicate of an earlier result.
func (r *randomRun) repeatResult(t *rapid.T) {
	if len(r.sentResults) > 0 {
		sent := rapid.SampledFrom(r.sentResults).Draw(t, "done")
		r.result(sent.from, sent.result)
	}
}

// drawResult draws the result of a dispatch and updates the expected counts.
func (r *randomRun) drawResult(t *rapid.T, d message.Dispatch) message.DispatchResult {
	status := rapid.SampledFrom([]message.DispatchStatus{
		message.StatusAnswered, message.StatusAnswered, message.StatusAnswered, message.StatusAnswered,
		message.StatusRefused, message.StatusVersionGone, message.StatusFailed, message.StatusLost,
		message.StatusCancelled, message.StatusNotOwner,
	}).Draw(t, "status")
	m := resultWithStatus(d, status)
	m.Reason = rapid.SampledFrom([]model.Code{model.CodeOverloaded, model.CodeUnavailable}).Draw(t, "reason")
	if !status.NotRun() {
		r.runs[string(d.Body)]++
	} else if d.Hedge {
		r.hedges[d.Upstream.Service()]--
	} else if status == message.StatusNotOwner {
		r.notOwned[workKey(d)]++
	}
	if status == message.StatusAnswered {
		m = r.drawReply(t, d)
	}
	m.Crash = status == message.StatusLost && rapid.Bool().Draw(t, "crash")
	return m
}

// drawReply returns an upstream's reply, which in some cases does not match the
// request.
func (r *randomRun) drawReply(t *rapid.T, d message.Dispatch) message.DispatchResult {
	m := answeredResult(d)
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
			r.validRows[string(row)] = true
		}
	}
	return m
}

func (r *randomRun) loseDispatcher(t *rapid.T) {
	host := rapid.SampledFrom([]model.HostID{peerHost, "c"}).Draw(t, "host")
	for i := 0; i < len(r.openDispatches); {
		if r.openDispatches[i].To != host {
			i++
			continue
		}
		r.runs[string(r.openDispatches[i].Message.(message.Dispatch).Body)]++
		r.openDispatches = slices.Delete(r.openDispatches, i, i+1)
	}
	r.step(func(ctx *step.Context) { r.state.HandlePeerLost(ctx, host) })
}

func (r *randomRun) disconnectCaller(t *rapid.T) {
	if r.nextCall == 0 {
		return
	}
	call := model.CallID(rapid.Uint64Range(1, uint64(r.nextCall)).Draw(t, "call"))
	r.step(func(ctx *step.Context) { r.state.HandleCallerGone(ctx, call) })
	delete(r.awaitingReply, call)
}

// check verifies the messages and replies that the last action emitted.
func (r *randomRun) check(t *rapid.T) {
	for _, send := range r.sent[r.checkedMessages:] {
		d, ok := send.Message.(message.Dispatch)
		if !ok {
			continue
		}
		r.openDispatches = append(r.openDispatches, send)
		r.countExtra(d)
		if repeatable, isOrder := r.orders[string(d.Body)]; isOrder && !repeatable && r.runs[string(d.Body)] > 0 {
			t.Fatalf("order %q is sent again after it may have run", d.Body)
		}
	}
	r.checkedMessages = len(r.sent)
	for _, reply := range r.replies[r.checkedReplies:] {
		r.checkReply(t, reply)
	}
	r.checkedReplies = len(r.replies)
	r.checkBudgets(t)
}

// workKey identifies the work of a dispatch; it is the same for all attempts.
func workKey(d message.Dispatch) string {
	return fmt.Sprintf("%s %s %v %d", d.Body, d.Upstream.Service(), d.Shards, d.Version)
}

// countExtra counts a dispatch as a first attempt, a hedge or a retry.
func (r *randomRun) countExtra(d message.Dispatch) {
	service := d.Upstream.Service()
	key := workKey(d)
	switch {
	case d.Hedge:
		r.hedges[service]++
	case r.notOwned[key] > 0:
		r.notOwned[key]--
	case r.seenWork[key]:
		r.retries[service]++
	default:
		r.firstAttempts[service]++
	}
	r.seenWork[key] = true
}

func (r *randomRun) checkBudgets(t *rapid.T) {
	for _, service := range r.config.Services {
		firsts := r.firstAttempts[service.Name]
		if most := service.Policy.HedgeBudget.Of(firsts); r.hedges[service.Name] > most+1e-9 {
			t.Fatalf("%s: %g hedges for %g first attempts", service.Name, r.hedges[service.Name], firsts)
		}
		if most := service.Policy.RetryBudget.Of(firsts) + initialRetries; r.retries[service.Name] > most+1e-9 {
			t.Fatalf("%s: %g retries for %g first attempts", service.Name, r.retries[service.Name], firsts)
		}
	}
}

func (r *randomRun) checkReply(t *rapid.T, reply effect.ReplyCaller) {
	if !r.awaitingReply[reply.Call] {
		t.Fatalf("call %d is answered twice, or after its caller disconnected", reply.Call)
	}
	delete(r.awaitingReply, reply.Call)
	body := fmt.Sprintf(`"q%d"`, reply.Call)
	answer := reply.Answer
	if answer.Outcome == model.NotRun {
		if r.runs[body] > 0 || r.isOpen(body) {
			t.Fatalf("call %d is answered as not run, but it may have run: %+v", reply.Call, answer)
		}
		return
	}
	if answer.Outcome == model.Answered {
		r.checkAnswer(t, body, answer)
	}
}

// isOpen reports whether a dispatch of a body has no result and so may still run. A
// cancelled dispatch stays open until its result is sent.
func (r *randomRun) isOpen(body string) bool {
	return slices.ContainsFunc(r.openDispatches, func(send effect.SendPeer) bool {
		return string(send.Message.(message.Dispatch).Body) == body
	})
}

func (r *randomRun) checkAnswer(t *rapid.T, body string, answer model.Answer) {
	names := make(map[string]bool)
	for _, encoded := range answer.Results {
		var got row
		if err := json.Unmarshal(encoded, &got); err != nil {
			t.Fatal(err)
		}
		if got.Version != answer.Snapshot || string(got.Query) != body || names[got.Shard] || !r.validRows[string(encoded)] {
			t.Fatalf("answer of version %d to %s contains the invalid row %s", answer.Snapshot, body, encoded)
		}
		names[got.Shard] = true
	}
	coverage := answer.Coverage
	if coverage.Searched != len(names) || coverage.Total != len(names)+len(coverage.Missing) {
		t.Fatalf("coverage %+v for %d rows", coverage, len(names))
	}
	for _, missing := range coverage.Missing {
		if names[missing] {
			t.Fatalf("%s is reported both as missing and as searched", missing)
		}
	}
}

// TestAnswersMatchUpstreamReplies checks that every request is answered once, and that
// every answer is of one version, states its coverage correctly and contains only
// rows that upstreams returned for the caller's own query.
func TestAnswersMatchUpstreamReplies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRandomRun(t)
		for range 8 {
			r.reportHoldings(t)
		}
		t.Repeat(map[string]func(*rapid.T){
			"report":  r.reportHoldings,
			"search":  r.startSearch,
			"order":   r.startOrder,
			"end":     r.sendResult,
			"end2":    r.sendResult,
			"end3":    r.sendResult,
			"repeat":  r.repeatResult,
			"lose":    r.loseDispatcher,
			"leave":   r.disconnectCaller,
			"advance": func(t *rapid.T) { r.advance(time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * time.Millisecond) },
			"":        r.check,
		})
		r.advance(time.Minute)
		r.check(t)
		if len(r.awaitingReply) > 0 || len(r.sink.answers) != len(r.orders) || r.state.InFlight() != 0 || len(r.state.attempts) != 0 {
			t.Fatalf("left behind: %d calls, %d of %d orders answered, %d requests, %d attempts",
				len(r.awaitingReply), len(r.sink.answers), len(r.orders), r.state.InFlight(), len(r.state.attempts))
		}
	})
}

// TestDisconnectedCallerGetsNoReply checks that a disconnected caller gets no reply and
// that its attempt is cancelled.
func TestDisconnectedCallerGetsNoReply(t *testing.T) {
	f := newServiceFixture(t, searchPolicy(), "v0")
	f.search(1, "v0")
	f.step(func(ctx *step.Context) { f.state.HandleCallerGone(ctx, event.CallerGone{Call: 1}.Call) })
	f.advance(time.Second)
	if len(f.replies) != 0 || len(f.cancels()) != 1 || f.state.InFlight() != 0 {
		t.Fatalf("%d replies, %d cancels", len(f.replies), len(f.cancels()))
	}
}
