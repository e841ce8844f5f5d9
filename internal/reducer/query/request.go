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
	// priority is the same at all dispatchers.
	priority uint32
	services []serviceRef

	started model.Instant
	// answerBy is when a search answers with what it has; zero means at the
	// deadline.
	answerBy      model.Instant
	deadline      model.Instant
	leastCoverage model.Percent

	pin   *snapshot.Pin
	merge *snapshot.Merge
	// orderReply is the reply to an order.
	orderReply model.Row

	tasks []task
	// unsettled counts the tasks that are open.
	unsettled int
	attempts  []attempt
	// planned counts the first attempts, and extra all others.
	planned int
	extra   int
	// wakeAt is when the pending timer fires; zero means none.
	wakeAt model.Instant

	// suspect requests run on one canary alone before the rest is scattered.
	suspect bool
	canary  int
	// probing searches run on few canaries before the rest is scattered, because
	// their content is not known to be harmless.
	probing bool
	// probeAt is when another canary is due while none has replied; zero means
	// never.
	probeAt model.Instant
	// crashes counts the upstreams that crashed under this request.
	crashes int
	// restarted is true once the request was started again on another version.
	restarted bool
	// versionGone is true when a task failed for want of the pinned version.
	versionGone bool
	// ledger tells whether the work may have reached an upstream.
	ledger outcome.Ledger
	// reason and retryAfter are those of the last refusal.
	reason     model.Code
	retryAfter time.Duration
	// withdrawn is true once the search was given up for want of coverage.
	withdrawn bool
	closed    bool
}

// serviceRef is one service of a request with what the node knows of it.
type serviceRef struct {
	config *model.Service
	stats  *serviceStats
	print  model.Fingerprint
	// suspect is true while the content is suspected of crashing upstreams.
	suspect bool
}

// taskState tells whether a shard or order still needs work.
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
	// service indexes the request's services.
	service int
	shard   model.ShardID
	// replicas could run the task.
	replicas []*snapshot.Replica
	// running counts the open attempts and sent all attempts.
	running int
	sent    int
	hedged  bool
	// hedgeAt is when a hedge is due; zero means never.
	hedgeAt model.Instant
	// retryAt is when a task that was put off is sent again; zero means that it
	// was not put off.
	retryAt model.Instant
	// hedgeDelay is the time from an attempt to its hedge.
	hedgeDelay time.Duration
}

// attemptKind tells first attempts from repeats.
type attemptKind uint8

const (
	firstAttempt attemptKind = iota
	hedgeAttempt
	retryAttempt
)

// attempt is one sub-request.
type attempt struct {
	number     uint64
	task       int
	kind       attemptKind
	replica    *snapshot.Replica
	dispatcher model.HostID
	sent       model.Instant
	settled    bool
	// reroutes counts the dispatchers that turned out not to own the upstream.
	reroutes int
}

func (r *request) isOrder() bool { return r.kind == message.KindOrder }

// serviceOf returns the service of a task.
func (r *request) serviceOf(t *task) *serviceRef { return &r.services[t.service] }

// timeLeft returns the time to the deadline.
func (r *request) timeLeft(now model.Instant) time.Duration { return r.deadline.Sub(now) }

// tried returns the upstreams that a task was sent to.
func (r *request) tried(task int) []model.UpstreamID {
	var ids []model.UpstreamID
	for i := range r.attempts {
		if r.attempts[i].task == task {
			ids = append(ids, r.attempts[i].replica.ID)
		}
	}
	return ids
}

// settle ends a task.
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
