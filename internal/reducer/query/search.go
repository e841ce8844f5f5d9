package query

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/outcome"
	"github.com/hawthorntack/hawthorntack/internal/reducer/quarantine"
	"github.com/hawthorntack/hawthorntack/internal/reducer/snapshot"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// defaultRetryAfter is the retry delay reported to callers when no better estimate
// is known.
const defaultRetryAfter = 1 * time.Second

// maxShards is the maximum number of shards of one search.
const maxShards = 4096

// refusal states why a request is not run.
type refusal struct {
	failure    *model.Failure
	retryAfter time.Duration
	coverage   *model.Coverage
}

// prepareSearch checks a search and pins its snapshot. On success the request
// is admitted.
func (s *State) prepareSearch(ctx *step.Context, e event.Search) (*request, *refusal) {
	selected, failure := s.deps.Catalog.Resolve(ctx, e.Services)
	if failure != nil {
		return nil, &refusal{failure: failure}
	}
	r := &request{
		kind:      message.KindSearch,
		call:      e.Call,
		requestID: e.RequestID,
		body:      e.Query,
		startedAt: ctx.Now,
	}
	r.applyPolicies(selected, e.Timeout)
	if refused := s.attachServices(ctx, r, selected); refused != nil {
		return nil, refused
	}
	if refused := s.pinSnapshot(ctx, r, selected); refused != nil {
		return nil, refused
	}
	if refused := s.admit(ctx, selected); refused != nil {
		return nil, refused
	}
	return r, nil
}

// applyPolicies sets the deadline, the answer-by time and the minimum coverage.
// With several services the strictest policy applies: the earliest deadline and
// answer-by time, and the highest minimum coverage.
func (r *request) applyPolicies(selected []*model.Service, timeout time.Duration) {
	deadline := timeout
	answerBy := time.Duration(0)
	for _, service := range selected {
		policy := &service.Policy
		deadline = minNonZero(deadline, policy.Deadline)
		answerBy = minNonZero(answerBy, policy.AnswerBy)
		r.minCoverage = max(r.minCoverage, policy.MinCoverage)
	}
	if deadline == 0 {
		deadline = model.DefaultDeadline
	}
	r.deadline = r.startedAt.Add(deadline)
	if answerBy > 0 && answerBy < deadline {
		r.answerBy = r.startedAt.Add(answerBy)
	}
}

// minNonZero returns the shorter of two durations, where zero means no limit.
func minNonZero(a, b time.Duration) time.Duration {
	if a == 0 || (b > 0 && b < a) {
		return b
	}
	return a
}

// attachServices adds the services' state to a request and refuses blocked content.
func (s *State) attachServices(ctx *step.Context, r *request, selected []*model.Service) *refusal {
	r.services = make([]serviceRef, len(selected))
	for i, service := range selected {
		fingerprint := quarantine.Fingerprint(service.Name, r.body)
		status := s.deps.Quarantine.Check(ctx, service.Name, fingerprint)
		if status == quarantine.Blocked {
			return &refusal{failure: model.Failf(model.CodeQuarantined, "this content crashes upstreams of %s", service.Name)}
		}
		suspect := status == quarantine.Suspect
		r.services[i] = serviceRef{config: service, stats: s.statsOf(service.Name), fingerprint: fingerprint, suspect: suspect}
		r.suspect = r.suspect || suspect
	}
	return nil
}

// pinSnapshot pins the version at which the most keys can be searched; the configured
// preference decides among several. A search that could not reach its minimum
// coverage is refused.
func (s *State) pinSnapshot(ctx *step.Context, r *request, selected []*model.Service) *refusal {
	pin := s.deps.Catalog.Pin(ctx, selected, s.settings.Preference)
	if pin.Len() > maxShards {
		return &refusal{failure: model.Failf(model.CodeBadRequest, "%d shards exceed the limit of %d", pin.Len(), maxShards)}
	}
	r.usePin(pin)
	reachable := model.Coverage{Searched: pin.SearchableShards(), Total: pin.Len()}
	if reachable.Searched > 0 && reachable.Percent() >= r.minCoverage {
		return nil
	}
	coverage := r.merge.Coverage()
	failure := model.Failf(model.CodeUnavailable, "%d of %d shards can be searched", reachable.Searched, reachable.Total)
	return &refusal{failure: failure, retryAfter: defaultRetryAfter, coverage: &coverage}
}

// usePin resets the search's tasks to the shards of a pin.
func (r *request) usePin(pin *snapshot.Pin) {
	r.pin = pin
	r.merge = snapshot.NewMerge(pin)
	r.tasks = make([]task, pin.Len())
	r.attempts = make([]attempt, 0, pin.Len()+pin.Len()/8+1)
	r.unsettled = pin.Len()
	for i := range r.tasks {
		target := pin.Target(i)
		r.tasks[i] = task{service: target.Service, shard: target.Shard, replicas: target.Holders}
	}
}

// admit admits a request for all of its services, or refuses it.
func (s *State) admit(ctx *step.Context, selected []*model.Service) *refusal {
	if len(s.requests) >= maxOpenRequests {
		failure := model.Failf(model.CodeOverloaded, "the node has %d open requests", len(s.requests))
		return &refusal{failure: failure, retryAfter: defaultRetryAfter}
	}
	if refused := s.deps.Admission.AdmitAll(ctx, selected); refused != nil {
		return &refusal{failure: refused.Failure, retryAfter: refused.RetryAfter}
	}
	return nil
}

// refuseSearch replies to the caller of a search that was not started.
func (s *State) refuseSearch(ctx *step.Context, e event.Search, refused *refusal) {
	ctx.Count(metricRefused, string(refused.failure.Code))
	answer := refused.answer(e.RequestID)
	if answer.Coverage == nil {
		answer.Coverage = &model.Coverage{Missing: []string{}}
	}
	service := model.ServiceName("")
	if len(e.Services) > 0 {
		service = model.ServiceName(e.Services[0])
	}
	ctx.Emit(effect.ReplyCaller{Call: e.Call, Answer: answer, Service: service})
}

// answer returns the caller's answer to a refused request.
func (f *refusal) answer(id model.RequestID) model.Answer {
	var fresh outcome.Ledger
	answer := fresh.End(outcome.Reason{ID: id, Failure: f.failure, RetryAfter: f.retryAfter})
	answer.Coverage = f.coverage
	return answer
}
