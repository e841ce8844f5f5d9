package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// If many shards have no replica in the node's own failure domain, delegation sends their
// parts to one node of another domain as a subquery and receives the replies merged, so
// that one message crosses between the domains in place of a request and a reply for each
// shard. The helper offers each part to one upstream. Only the node that coordinates the
// request sends hedges and retries, because only this node counts the runs of a part.

const (
	metricDelegations     effect.Metric = "relay_delegations_total"
	metricLateDelegations effect.Metric = "relay_late_delegations_total"
)

const (
	// minDelegatedParts is the smallest number of parts that is delegated. For fewer
	// parts, direct requests cost about as many bytes as a message with its stream
	// framing.
	minDelegatedParts = 4
	// delegationMargin covers the network delay between domains and the turns of two
	// event loops, about 4.7 ms at a one-way delay of 1.4 ms. The first report is sent
	// this much before the hedge delay has passed, and the hedges of delegated parts are
	// sent this much later than other hedges.
	delegationMargin = 5 * time.Millisecond
	// maxMarginShare is the largest share of a route's target latency that
	// delegationMargin may take. On routes with a lower target latency the node queries
	// each shard itself.
	maxMarginShare = 0.07
	// maxHedgeDelayShare is the largest hedge delay, as a share of the target latency,
	// with which parts are delegated. A longer delay means that upstreams fail or are
	// slow, and then no time is left for the margin.
	maxHedgeDelayShare = 0.35
	// maxDelegatedBytes is the largest size of a request that is delegated. Larger ones would
	// queue up for a node that is slow, and hold up or break the stream that all requests share.
	maxDelegatedBytes = 16 << 10
)

// delegation is one open subquery at another node.
type delegation struct {
	number  uint64
	request *request
	helper  model.HostID
	address string
	domain  model.FailureDomain
	// parts are the indexes, in the request's parts, of the services of the subquery.
	parts []int
	// unreported counts the parts that no report has settled.
	unreported int
	// responded is true once a report has arrived.
	responded bool
}

// delegate sends the parts that would go to other failure domains to a helper in the
// domain that can run most of them, if there are at least minDelegatedParts of them.
func (s *State) delegate(ctx *step.Context, r *request, chosen []*upstreamPool) {
	if ctx.Self.PeerAddress == "" || !s.isDelegable(r) {
		return
	}
	runnable := make(map[model.FailureDomain][]int)
	for i, pool := range chosen {
		if pool == nil || pool.replica.Domain == ctx.Self.FailureDomain {
			continue
		}
		for _, domain := range s.freeDomains(ctx, &r.parts[i]) {
			runnable[domain] = append(runnable[domain], i)
		}
	}
	helper := s.selectHelper(ctx, runnable)
	if helper == nil {
		return
	}
	s.sendSubquery(ctx, r, helper.member, runnable[helper.member.FailureDomain])
}

// isDelegable reports whether a request is small enough for delegation and leaves enough time for it.
func (s *State) isDelegable(r *request) bool {
	if r.origin != nil || !r.isGathered() || r.incoming.Size() > maxDelegatedBytes {
		return false
	}
	target := float64(r.config.TargetLatency)
	return float64(delegationMargin) <= maxMarginShare*target && float64(s.hedgeDelay(r)) <= maxHedgeDelayShare*target
}

// freeDomains returns the other failure domains in which an upstream of a part has a free
// slot.
func (s *State) freeDomains(ctx *step.Context, p *part) []model.FailureDomain {
	var domains []model.FailureDomain
	for _, pool := range p.service.pools {
		domain := pool.replica.Domain
		if domain != ctx.Self.FailureDomain && pool.usable() && pool.freeSlots(ctx.Now) > 0 && !slices.Contains(domains, domain) {
			domains = append(domains, domain)
		}
	}
	return domains
}

// sendSubquery sends parts of a request to a helper.
func (s *State) sendSubquery(ctx *step.Context, r *request, helper model.Member, parts []int) {
	s.nextDelegation++
	d := &delegation{
		number: s.nextDelegation, request: r, helper: helper.Host, address: helper.PeerAddress, domain: helper.FailureDomain,
		parts: parts, unreported: len(parts),
	}
	s.delegations[d.number] = d
	r.delegations = append(r.delegations, d)
	services := make([]model.ServiceName, len(parts))
	for i, index := range parts {
		p := &r.parts[index]
		services[i] = p.service.name
		p.delegation = d
		p.openAttempts++
		p.possibleRuns++
		p.hedgeAt = ctx.Now.Add(s.hedgeDelay(r) + delegationMargin)
		r.ledger.RecordAttempt()
	}
	r.anySent = true
	ctx.Count(metricDelegations, "")
	ctx.Emit(effect.SendPeer{To: d.helper, Address: d.address, Message: message.Subquery{
		Number:            d.number,
		Address:           ctx.Self.PeerAddress,
		Route:             r.config.Name,
		Services:          services,
		TopRecords:        r.config.TopRecords,
		RequestID:         r.incoming.ID,
		Method:            r.incoming.Method,
		Authority:         r.incoming.Authority,
		URI:               r.incoming.URI,
		Header:            r.incoming.Header,
		Body:              r.incoming.Body,
		Timeout:           int64(r.deadline.Sub(ctx.Now)),
		TimeToFirstReport: int64(max(s.hedgeDelay(r)/2, s.hedgeDelay(r)-delegationMargin)),
		TimeToAnswer:      int64(r.answerBy.Sub(ctx.Now)),
	}})
}

// HandleSubqueryReport handles a helper's report on delegated parts, or its reply to a
// greeting.
func (s *State) HandleSubqueryReport(ctx *step.Context, from model.HostID, m message.SubqueryReport) {
	s.markResponsive(from)
	d := s.delegations[m.Number]
	if d == nil || d.helper != from || d.request.incoming.ID != m.RequestID || !d.accepts(m) {
		return
	}
	r := d.request
	d.responded = true
	for _, answered := range m.Answered {
		s.acceptDelegatedAnswer(ctx, r, d.parts[answered.Index], answered.Signature)
	}
	if len(m.Answered) > 0 {
		r.mergedRecords = append(r.mergedRecords, m.Records)
	}
	for _, failure := range m.Failed {
		s.failDelegatedPart(ctx, r, d.parts[failure.Index], failure.Status)
	}
	d.unreported -= len(m.Answered) + len(m.Failed)
	if d.unreported <= 0 {
		delete(s.delegations, d.number)
	}
	s.progress(ctx, r)
}

// accepts reports whether a report covers only open parts of the delegation, and each at
// most once. The merged records of a report cannot be separated by part, so the report is
// accepted or ignored as a whole.
func (d *delegation) accepts(m message.SubqueryReport) bool {
	seen := make(map[int]bool, len(m.Answered)+len(m.Failed))
	isOpen := func(index int) bool {
		if index < 0 || index >= len(d.parts) || seen[index] {
			return false
		}
		seen[index] = true
		return d.request.parts[d.parts[index]].delegation == d
	}
	for _, answered := range m.Answered {
		if !isOpen(answered.Index) || answered.Signature == "" {
			return false
		}
	}
	for _, failure := range m.Failed {
		if !isOpen(failure.Index) {
			return false
		}
	}
	return true
}

// acceptDelegatedAnswer settles a part with a helper's answer. It replaces the answer of
// a hedge, because the helper's merged records already contain the part.
func (s *State) acceptDelegatedAnswer(ctx *step.Context, r *request, index int, signature string) {
	p := &r.parts[index]
	p.delegation = nil
	p.openAttempts--
	r.ledger.RecordResult(message.StatusAnswered)
	p.reply = &model.ForwardedReply{Signature: signature}
	if p.state == partFailed {
		p.state = partAnswered
		r.answered++
	}
	r.settle(p, partAnswered)
	s.abandonPart(ctx, p)
}

// failDelegatedPart handles a part that a helper could not answer, and retries it at an
// upstream.
func (s *State) failDelegatedPart(ctx *step.Context, r *request, index int, status message.DispatchStatus) {
	p := &r.parts[index]
	p.delegation = nil
	p.openAttempts--
	r.ledger.RecordResult(status)
	if status.NotRun() {
		p.possibleRuns--
	}
	if p.state == partOpen && p.openAttempts == 0 && !s.retry(ctx, r, index, status) {
		r.failureCode = model.CodeUnavailable
		r.settle(p, partFailed)
		s.reopenPart(ctx, r)
	}
}

// HandlePeerLost handles the end of a stream to or from another node: the parts that were
// delegated to it are retried at upstreams immediately.
func (s *State) HandlePeerLost(ctx *step.Context, host model.HostID) {
	s.loseHelper(ctx, host)
	var lost []*delegation
	for _, d := range s.delegations {
		if d.helper == host {
			lost = append(lost, d)
		}
	}
	slices.SortFunc(lost, func(a, b *delegation) int { return cmp.Compare(a.number, b.number) })
	for _, d := range lost {
		delete(s.delegations, d.number)
		for _, index := range d.parts {
			if d.request.parts[index].delegation == d {
				s.failDelegatedPart(ctx, d.request, index, message.StatusLost)
			}
		}
		s.progress(ctx, d.request)
	}
}

// cancelDelegations cancels the open subqueries of a request.
func (s *State) cancelDelegations(ctx *step.Context, r *request) {
	for _, d := range r.delegations {
		if s.delegations[d.number] == nil {
			continue
		}
		delete(s.delegations, d.number)
		for range d.unreported {
			r.ledger.MarkLost()
		}
		ctx.Emit(effect.SendPeer{To: d.helper, Address: d.address, Message: message.SubqueryCancel{Number: d.number, RequestID: r.incoming.ID}})
	}
	r.delegations = nil
}
