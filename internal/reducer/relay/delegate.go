package relay

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/rendezvous"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// Delegation answers the pattern "many shards have no replica in the node's own failure
// domain": their parts go to one node of another domain as a subquery, and come back
// merged, so that one message crosses between the domains in place of a request and a
// reply a shard. The helper offers each part to one upstream; hedges and retries stay
// with the node that coordinates the request, which keeps one count of a part's runs.

const (
	metricDelegations     effect.Metric = "relay_delegations_total"
	metricLateDelegations effect.Metric = "relay_late_delegations_total"
)

const (
	// leastDelegated is the number of parts below which their own requests cost about as
	// many bytes as a message with its stream's framing.
	leastDelegated = 4
	// delegationMargin is what the ways between domains and the turns of two event loops
	// take, measured as 4.7 ms at 1.4 ms a way. The first report is sent as much before the
	// delay of a hedge, and hedges wait as much longer.
	delegationMargin = 5 * time.Millisecond
	// marginShare is the largest part of a route's target latency that the margin may be.
	// Quick routes ask each shard themselves.
	marginShare = 0.05
	// calmShare of the target latency is the longest delay of a hedge with which parts are
	// delegated. Where replies take longer, upstreams fail or are slow, and the answers on
	// time need each millisecond.
	calmShare = 0.35
	// helperRest is how long a helper is left alone that had not reported when hedges
	// were due: it is gone, cut off or frozen, of which the members' list tells late.
	helperRest = 2 * time.Second
)

// delegation is one open subquery at another node.
type delegation struct {
	number  uint64
	request *request
	helper  model.HostID
	address string
	domain  model.FailureDomain
	// parts are the places of the subquery's services among the request's.
	parts []int
	// open counts the parts that are not reported.
	open int
	// heard is true once a report has come.
	heard bool
}

// helpersPerDomain bounds the streams that a node keeps to other domains, and spreads its
// subqueries over several helpers, one of which may rest.
const helpersPerDomain = 3

// setHelpers chooses the node's helpers among those that serve. A new one is greeted by a
// subquery without shards, so that the streams both ways are open when they are needed.
func (s *State) setHelpers(ctx *step.Context, members []model.Member) {
	hosts := make(map[model.FailureDomain][]model.HostID)
	known := make(map[model.HostID]model.Member)
	for _, member := range members {
		if member.FailureDomain != ctx.Self.FailureDomain && member.PeerAddress != "" {
			hosts[member.FailureDomain] = append(hosts[member.FailureDomain], member.Host)
			known[member.Host] = member
		}
	}
	before := s.helpers
	s.helpers = make(map[model.FailureDomain][]model.Member)
	for _, domain := range slices.Sorted(maps.Keys(hosts)) {
		for _, host := range rendezvous.Top(hosts[domain], helpersPerDomain, "helper of "+string(ctx.Self.Host)) {
			helper := known[host]
			s.helpers[domain] = append(s.helpers[domain], helper)
			if !slices.Contains(before[domain], helper) {
				ctx.Emit(effect.SendPeer{To: host, Address: helper.PeerAddress, Message: message.Subquery{Address: ctx.Self.PeerAddress}})
			}
		}
	}
	for host, until := range s.helperRests {
		if ctx.Now >= until {
			delete(s.helperRests, host)
		}
	}
}

// delegate sends the parts that would go to other failure domains to a helper in the
// domain that can run most of them, if it is worth a message.
func (s *State) delegate(ctx *step.Context, r *request, chosen []*lane) {
	if ctx.Self.PeerAddress == "" || !s.isDelegable(r) {
		return
	}
	runnable := make(map[model.FailureDomain][]int)
	for i, l := range chosen {
		if l == nil || l.replica.Domain == ctx.Self.FailureDomain {
			continue
		}
		for _, domain := range s.freeDomains(ctx, &r.parts[i]) {
			runnable[domain] = append(runnable[domain], i)
		}
	}
	helper := s.helperFor(ctx, runnable)
	if helper.Host == "" {
		return
	}
	s.sendSubquery(ctx, r, helper, runnable[helper.FailureDomain])
}

// isDelegable reports whether a request has the time for the way over a helper.
func (s *State) isDelegable(r *request) bool {
	if r.origin != nil || !r.isGathered() {
		return false
	}
	target := float64(r.config.TargetLatency)
	return float64(delegationMargin) <= marginShare*target && float64(s.hedgeDelay(r)) <= calmShare*target
}

// freeDomains returns the other failure domains in which an upstream of a part has a free
// slot.
func (s *State) freeDomains(ctx *step.Context, p *part) []model.FailureDomain {
	var domains []model.FailureDomain
	for _, l := range p.service.lanes {
		domain := l.replica.Domain
		if domain != ctx.Self.FailureDomain && l.usable() && l.free(ctx.Now) > 0 && !slices.Contains(domains, domain) {
			domains = append(domains, domain)
		}
	}
	return domains
}

// helperFor draws a helper among those whose domains can run the most parts.
func (s *State) helperFor(ctx *step.Context, runnable map[model.FailureDomain][]int) model.Member {
	most := leastDelegated
	var candidates []model.Member
	for domain, parts := range runnable {
		if len(parts) < most {
			continue
		}
		for _, helper := range s.helpers[domain] {
			if ctx.Now < s.helperRests[helper.Host] {
				continue
			}
			if len(parts) > most {
				most, candidates = len(parts), candidates[:0]
			}
			candidates = append(candidates, helper)
		}
	}
	if len(candidates) == 0 {
		return model.Member{}
	}
	slices.SortFunc(candidates, func(a, b model.Member) int { return cmp.Compare(a.Host, b.Host) })
	return candidates[ctx.Random.IntN(len(candidates))]
}

// sendSubquery delegates parts to a helper.
func (s *State) sendSubquery(ctx *step.Context, r *request, helper model.Member, parts []int) {
	s.nextDelegation++
	d := &delegation{
		number: s.nextDelegation, request: r, helper: helper.Host, address: helper.PeerAddress, domain: helper.FailureDomain,
		parts: parts, open: len(parts),
	}
	s.delegations[d.number] = d
	r.delegations = append(r.delegations, d)
	services := make([]model.ServiceName, len(parts))
	for i, index := range parts {
		p := &r.parts[index]
		services[i] = p.service.name
		p.delegation = d
		p.open++
		p.ran++
		p.hedgeAt = ctx.Now.Add(s.hedgeDelay(r) + delegationMargin)
		r.ledger.RecordAttempt()
	}
	r.offered = true
	ctx.Count(metricDelegations, "")
	ctx.Emit(effect.SendPeer{To: d.helper, Address: d.address, Message: message.Subquery{
		Number:            d.number,
		Address:           ctx.Self.PeerAddress,
		Route:             r.config.Name,
		Services:          services,
		TopRecords:        r.config.TopRecords,
		RequestID:         r.asked.ID,
		Method:            r.asked.Method,
		Authority:         r.asked.Authority,
		URI:               r.asked.URI,
		Header:            r.asked.Header,
		Body:              r.asked.Body,
		Timeout:           int64(r.deadline.Sub(ctx.Now)),
		TimeToFirstReport: int64(max(s.hedgeDelay(r)/2, s.hedgeDelay(r)-delegationMargin)),
		TimeToAnswer:      int64(r.answerBy.Sub(ctx.Now)),
	}})
}

// HandleSubqueryReport takes in what a helper tells of delegated parts.
func (s *State) HandleSubqueryReport(ctx *step.Context, from model.HostID, m message.SubqueryReport) {
	d := s.delegations[m.Number]
	if d == nil || d.helper != from || d.request.asked.ID != m.RequestID || !d.covers(m) {
		return
	}
	r := d.request
	d.heard = true
	for _, answered := range m.Answered {
		s.takePart(ctx, r, d.parts[answered.Index], answered.Signature)
	}
	if len(m.Answered) > 0 {
		r.merged = append(r.merged, m.Records)
	}
	for _, failure := range m.Failed {
		s.failPart(ctx, r, d.parts[failure.Index], failure.Status)
	}
	d.open -= len(m.Answered) + len(m.Failed)
	if d.open <= 0 {
		delete(s.delegations, d.number)
	}
	s.progress(ctx, r)
}

// covers reports whether a report tells of open parts of the delegation only, and of each
// once: the records of a report count as a whole.
func (d *delegation) covers(m message.SubqueryReport) bool {
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

// takePart settles a part by a helper's answer. It replaces an answer that a hedge has
// brought, because the helper's merged records hold the part already.
func (s *State) takePart(ctx *step.Context, r *request, index int, signature string) {
	p := &r.parts[index]
	p.delegation = nil
	p.open--
	r.ledger.RecordResult(message.StatusAnswered)
	p.reply = &model.ForwardedReply{Signature: signature}
	if p.state == partFailed {
		p.state = partAnswered
		r.answered++
	}
	r.settle(p, partAnswered)
	s.giveUpPart(ctx, p)
}

// failPart takes in that a helper has no answer to a part, and offers it to an upstream.
func (s *State) failPart(ctx *step.Context, r *request, index int, status message.DispatchStatus) {
	p := &r.parts[index]
	p.delegation = nil
	p.open--
	r.ledger.RecordResult(status)
	if status.NotRun() {
		p.ran--
	}
	if p.state == partOpen && p.open == 0 && !s.retry(ctx, r, index, status) {
		r.reason = model.CodeUnavailable
		r.settle(p, partFailed)
	}
}

// noteLateHelper leaves a helper alone that has not reported when a hedge of one of its
// parts is due.
func (s *State) noteLateHelper(ctx *step.Context, d *delegation) {
	if d == nil || d.heard || ctx.Now < s.helperRests[d.helper] {
		return
	}
	ctx.Count(metricLateDelegations, "")
	ctx.Log(effect.Warning, component, "helper is late",
		effect.Field{Name: "host", Value: string(d.helper)}, effect.Field{Name: "request", Value: d.request.asked.ID})
	s.helperRests[d.helper] = ctx.Now.Add(helperRest)
}

// HandlePeerLost takes in that a stream to or from another node ended: what was delegated
// to it is offered to upstreams at once.
func (s *State) HandlePeerLost(ctx *step.Context, host model.HostID) {
	var lost []*delegation
	for _, d := range s.delegations {
		if d.helper == host {
			lost = append(lost, d)
		}
	}
	if len(lost) == 0 {
		return
	}
	s.helperRests[host] = ctx.Now.Add(helperRest)
	slices.SortFunc(lost, func(a, b *delegation) int { return cmp.Compare(a.number, b.number) })
	for _, d := range lost {
		delete(s.delegations, d.number)
		for _, index := range d.parts {
			if d.request.parts[index].delegation == d {
				s.failPart(ctx, d.request, index, message.StatusLost)
			}
		}
		s.progress(ctx, d.request)
	}
}

// cancelDelegations gives the open subqueries of a request up.
func (s *State) cancelDelegations(ctx *step.Context, r *request) {
	for _, d := range r.delegations {
		if s.delegations[d.number] == nil {
			continue
		}
		delete(s.delegations, d.number)
		for range d.open {
			r.ledger.MarkLost()
		}
		ctx.Emit(effect.SendPeer{To: d.helper, Address: d.address, Message: message.SubqueryCancel{Number: d.number, RequestID: r.asked.ID}})
	}
	r.delegations = nil
}
