package runtime

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// inboxCapacity is the maximum number of events that wait for the reducer.
const inboxCapacity = 16384

// Reducer is the state machine that the loop drives.
type Reducer interface {
	// Reduce handles one event and returns the effects to execute, in order.
	Reduce(envelope event.Envelope) []effect.Effect
	// NextWake returns the time of the earliest timer, and false if there is none.
	NextWake() (model.Instant, bool)
}

// Executor executes effects. It must not block.
type Executor interface {
	Execute(e effect.Effect)
}

// Observer is notified of each step, for metrics and recordings.
type Observer interface {
	Observe(envelope event.Envelope, effects []effect.Effect, elapsed time.Duration)
}

// Loop runs one reducer in a single goroutine.
type Loop struct {
	reducer  Reducer
	executor Executor
	observer Observer
	inbox    chan event.Event
	done     chan struct{}
	random   *rand.Rand
	started  time.Time
}

// NewLoop returns a loop. The seed initializes the generator of the random values in
// event envelopes.
func NewLoop(reducer Reducer, executor Executor, observer Observer, seed uint64) *Loop {
	return &Loop{
		reducer:  reducer,
		executor: executor,
		observer: observer,
		inbox:    make(chan event.Event, inboxCapacity),
		done:     make(chan struct{}),
		random:   rand.New(rand.NewPCG(seed, seed)),
		started:  time.Now(),
	}
}

// Submit queues an event. It blocks while the inbox is full, which applies backpressure
// to the sockets, and drops the event once the loop has ended.
func (l *Loop) Submit(e event.Event) {
	select {
	case l.inbox <- e:
	case <-l.done:
	}
}

// Done returns a channel that is closed when the loop has ended.
func (l *Loop) Done() <-chan struct{} { return l.done }

// Run submits the start event, then passes queued events and timer wake-ups to the
// reducer until the context ends.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	l.step(event.Start{})
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(l.untilWake())
		select {
		case <-ctx.Done():
			return
		case e := <-l.inbox:
			l.step(e)
		case <-timer.C:
			l.step(event.Wake{})
		}
	}
}

// step passes one event to the reducer and executes the resulting effects.
func (l *Loop) step(e event.Event) {
	envelope := event.Envelope{Now: l.now(), Random: l.random.Uint64(), Event: e}
	effects := l.reducer.Reduce(envelope)
	l.observer.Observe(envelope, effects, l.now().Sub(envelope.Now))
	l.execute(effects)
}

// execute executes effects in order.
func (l *Loop) execute(effects []effect.Effect) {
	for _, e := range effects {
		l.executor.Execute(e)
	}
}

// now returns the wall-clock time at which the loop was created plus the monotonic time
// since then.
func (l *Loop) now() model.Instant {
	return model.Instant(l.started.UnixNano()).Add(time.Since(l.started))
}

// maxTimerWait is the maximum time between two checks of the reducer's timers.
const maxTimerWait = time.Second

// untilWake returns the time until the reducer's earliest timer, at most maxTimerWait.
func (l *Loop) untilWake() time.Duration {
	at, ok := l.reducer.NextWake()
	if !ok {
		return maxTimerWait
	}
	return min(maxTimerWait, max(0, at.Sub(l.now())))
}
