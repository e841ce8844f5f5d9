package runtime

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// inboxEvents is the room for events that wait for the reducer.
const inboxEvents = 16384

// Machine is the reducer as the loop sees it.
type Machine interface {
	Reduce(envelope event.Envelope) []effect.Effect
	NextWake() (model.Instant, bool)
}

// Executor carries effects out. It must not block.
type Executor interface {
	Execute(e effect.Effect)
}

// Observer is told of each step, for metrics and recordings.
type Observer interface {
	Observe(envelope event.Envelope, effects []effect.Effect, elapsed time.Duration)
}

// Loop feeds one reducer from one goroutine.
type Loop struct {
	machine  Machine
	executor Executor
	observer Observer
	inbox    chan event.Event
	done     chan struct{}
	random   *rand.Rand
	started  time.Time
}

// NewLoop returns a loop. The seed makes the random bits that events carry.
func NewLoop(machine Machine, executor Executor, observer Observer, seed uint64) *Loop {
	return &Loop{
		machine:  machine,
		executor: executor,
		observer: observer,
		inbox:    make(chan event.Event, inboxEvents),
		done:     make(chan struct{}),
		random:   rand.New(rand.NewPCG(seed, seed)),
		started:  time.Now(),
	}
}

// Submit queues an event. It blocks while the inbox is full, which slows the
// sockets down, and drops the event once the loop has ended.
func (l *Loop) Submit(e event.Event) {
	select {
	case l.inbox <- e:
	case <-l.done:
	}
}

// Done is closed when the loop has ended.
func (l *Loop) Done() <-chan struct{} { return l.done }

// Run feeds the reducer until the context ends.
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

// step runs the reducer once and carries its effects out.
func (l *Loop) step(e event.Event) {
	envelope := event.Envelope{Now: l.now(), Random: l.random.Uint64(), Event: e}
	effects := l.machine.Reduce(envelope)
	l.observer.Observe(envelope, effects, l.now().Sub(envelope.Now))
	l.execute(effects)
}

// execute carries effects out in order.
func (l *Loop) execute(effects []effect.Effect) {
	for _, e := range effects {
		l.executor.Execute(e)
	}
}

// now returns the wall time at the start plus the monotonic time since then.
func (l *Loop) now() model.Instant {
	return model.Instant(l.started.UnixNano()).Add(time.Since(l.started))
}

// maxSleep is the longest wait between two looks at the timers.
const maxSleep = time.Second

// untilWake returns the time until the reducer's earliest timer.
func (l *Loop) untilWake() time.Duration {
	at, ok := l.machine.NextWake()
	if !ok {
		return maxSleep
	}
	return min(maxSleep, max(0, at.Sub(l.now())))
}
