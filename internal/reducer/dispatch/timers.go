package dispatch

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/dispatch/queue"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
	"github.com/hawthorntack/hawthorntack/internal/reducer/timer"
)

// timerKind is what a lane's timer is for.
type timerKind uint64

// The kinds of timers. A timer's identifier is the lane's number times
// timerKinds plus the kind.
const (
	periodTimer timerKind = iota
	connectTimer
	queueTimer
	timerKinds
)

// setTimer sets one of a lane's timers.
func (l *lane) setTimer(ctx *step.Context, d time.Duration, kind timerKind) {
	ctx.After(d, timer.Dispatch, l.number*uint64(timerKinds)+uint64(kind))
}

// setPeriodTimer sets the timer of the status reads. Jitter keeps the lanes from
// reading all at once.
func (s *State) setPeriodTimer(ctx *step.Context, l *lane) {
	jitter := time.Duration(ctx.Random.Int64N(int64(statusInterval / 4)))
	l.setTimer(ctx, statusInterval-jitter, periodTimer)
}

// setConnectTimer sets the timer of the next attempt to connect.
func (s *State) setConnectTimer(ctx *step.Context, l *lane, d time.Duration) {
	l.setTimer(ctx, d, connectTimer)
}

// setQueueTimer sets a timer for the first job whose time to start ends.
func (s *State) setQueueTimer(ctx *step.Context, l *lane) {
	var first model.Instant
	l.queue.Each(func(e *queue.Entry[*job]) {
		if at := e.Value.latestStart(l); first == 0 || at < first {
			first = at
		}
	})
	if first == 0 || l.queueTimer > ctx.Now && l.queueTimer <= first {
		return
	}
	l.queueTimer = first
	l.setTimer(ctx, first.Sub(ctx.Now), queueTimer)
}

// HandleTimer handles deadlines of queued work, status polls and reconnects.
func (s *State) HandleTimer(ctx *step.Context, id uint64) {
	l := s.byNumber[id/uint64(timerKinds)]
	if l == nil {
		return
	}
	switch timerKind(id % uint64(timerKinds)) {
	case periodTimer:
		s.handlePeriod(ctx, l)
	case connectTimer:
		s.connect(ctx, l)
	case queueTimer:
		s.pump(ctx, l)
	}
}

// handlePeriod reads the status, ends what hangs and refreshes the report.
func (s *State) handlePeriod(ctx *step.Context, l *lane) {
	s.setPeriodTimer(ctx, l)
	l.status.due = true
	s.closeHanging(ctx, l)
	s.connect(ctx, l)
	s.pump(ctx, l)
	s.reportIfChanged(ctx, l)
	s.refreshReport(ctx, l)
}

// closeHanging closes connections whose status read or cancellation gets no
// reply.
func (s *State) closeHanging(ctx *step.Context, l *lane) {
	for _, c := range l.connections {
		if c.state == controlling && ctx.Now.Sub(c.since) >= statusTimeout {
			s.close(ctx, c)
		}
	}
}
