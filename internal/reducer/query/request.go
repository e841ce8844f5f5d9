package query

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/outcome"
	"github.com/hawthorntack/hawthorntack/internal/reducer/snapshot"
)

// request is an open search or order.
type request struct {
	number    uint64
	kind      message.Kind
	call      model.CallID
	requestID model.RequestID
	order     Order
	body      []byte
	// priority is random and the same at all dispatchers of the request.
	priority uint32
	services []serviceRef

	startedAt model.Instant
	// answerBy is when a search is answered with the replies received so far if they
	// reach minCoverage; zero means at the deadline.
	answerBy    model.Instant
	deadline    model.Instant
	minCoverage model.Percent

	pin   *snapshot.Pin
	merge *snapshot.Merge
	// orderReply is the reply to an order.
	orderReply model.Row

	tasks []task
	// unsettled counts the tasks that are neither answered nor failed.
	unsettled int
	attempts  []attempt
	// planned counts the first attempts. extra counts the hedges, the retries and, after
	// a restart, all attempts.
	planned int
	extra   int
	// wakeAt is when the pending timer fires; zero means none.
	wakeAt model.Instant

	// suspect is true for a request whose content is suspected of crashing upstreams:
	// it runs on one canary, the task at index canary, before the rest is scattered.
	suspect bool
	canary  int
	// inCanaryPhase is true while a search whose content is not known to be safe runs
	// on a few canaries only, before the rest is scattered.
	inCanaryPhase bool
	// nextCanaryAt is when another canary is sent if none has replied; zero means
	// never.
	nextCanaryAt model.Instant
	// crashes counts the upstreams that crashed while running this request.
	crashes int
	// restarted is true once the search was started again on another version.
	restarted bool
	// versionGone is true after a task failed because its upstream no longer held the
	// pinned version, until the search is restarted or continues without the task.
	versionGone bool
	// ledger records whether an upstream may have run the work.
	ledger outcome.Ledger
	// failureCode is the code of the latest failure. retryAfter is the longest retry
	// delay of all failures.
	failureCode model.Code
	retryAfter  time.Duration
	// withdrawn is true once the search was abandoned because its minimum coverage
	// cannot be reached.
	withdrawn bool
	closed    bool
}

// serviceRef is one service of a request with the node's state of that service.
type serviceRef struct {
	config      *model.Service
	stats       *serviceStats
	fingerprint model.Fingerprint
	// suspect is true while the content is suspected of crashing upstreams.
	suspect bool
}

// taskState is the progress of a task.
type taskState uint8

const (
	taskWaiting taskState = iota
	taskRunning
	taskAnswered
	taskFailed
)

// task is one shard of a search, or an order.
type task struct {
	state taskState
	// service is an index into request.services.
	service int
	shard   model.ShardID
	// replicas are the candidates to run the task.
	replicas []*snapshot.Replica
	// openAttempts counts the attempts that are not settled. sentAttempts counts all
	// attempts so far.
	openAttempts int
	sentAttempts int
	hedged       bool
	// hedgeAt is when a hedge is due; zero means never.
	hedgeAt model.Instant
	// retryAt is when a retry after a backoff is sent; zero means that none is
	// pending.
	retryAt model.Instant
	// hedgeDelay is the time from an attempt to its hedge; zero means no hedge.
	hedgeDelay time.Duration
}

// attemptKind distinguishes first attempts from hedges and retries.
type attemptKind uint8

const (
	firstAttempt attemptKind = iota
	hedgeAttempt
	retryAttempt
)

// attempt is one sub-request sent to a dispatcher.
type attempt struct {
	number     uint64
	task       int
	kind       attemptKind
	replica    *snapshot.Replica
	dispatcher model.HostID
	sentAt     model.Instant
	settled    bool
	// reroutes counts the dispatchers that returned the attempt because they do not
	// own the upstream.
	reroutes int
}

func (r *request) isOrder() bool { return r.kind == message.KindOrder }

// serviceOf returns the service of a task.
func (r *request) serviceOf(t *task) *serviceRef { return &r.services[t.service] }

// timeLeft returns the time to the deadline.
func (r *request) timeLeft(now model.Instant) time.Duration { return r.deadline.Sub(now) }

// triedUpstreams returns the upstreams that a task has been sent to.
func (r *request) triedUpstreams(task int) []model.UpstreamID {
	var ids []model.UpstreamID
	for i := range r.attempts {
		if r.attempts[i].task == task {
			ids = append(ids, r.attempts[i].replica.ID)
		}
	}
	return ids
}

// settle ends a task as answered or failed; it has no effect on a task that has
// ended already.
func (r *request) settle(t *task, state taskState) {
	if t.state == taskAnswered || t.state == taskFailed {
		return
	}
	t.state = state
	t.hedgeAt = 0
	t.retryAt = 0
	r.unsettled--
}

// serviceConfigs returns the request's services as they were when it was
// admitted.
func (r *request) serviceConfigs() []*model.Service {
	configs := make([]*model.Service, len(r.services))
	for i := range r.services {
		configs[i] = r.services[i].config
	}
	return configs
}
