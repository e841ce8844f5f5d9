package dispatch

import (
	"time"

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
	pauseTimer
	collapseTimer
	takeoverTimer
	retireTimer
	timerKinds
)

const (
	// overdueGrace is how long a sent job may outlive its deadline before its
	// connection is closed, so that its slot does not stay taken for good.
	overdueGrace = 1 * time.Second
	// orderGrace is the same for work that must run at most once: its late reply
	// still settles what became of it.
	orderGrace = 30 * time.Second
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

// setPauseTimer sets a timer for the end of the limit's pause.
func (s *State) setPauseTimer(ctx *step.Context, l *lane) {
	if pause := l.limit.PausedUntil().Sub(ctx.Now); pause > 0 {
		l.setTimer(ctx, pause, pauseTimer)
	}
}

// setQueueTimer sets a timer for the first job whose time to start ends.
func (s *State) setQueueTimer(ctx *step.Context, l *lane) {
	if l.queue.Len() == 0 {
		return
	}
	first := min(l.queue.FirstExpiry().Expiry, s.latestStart(ctx, l, l.queue.First().Value))
	first = max(first, ctx.Now)
	if l.queueTimer > ctx.Now && l.queueTimer <= first {
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
	case queueTimer, pauseTimer:
		s.pump(ctx, l)
	case collapseTimer:
		s.judgeCollapse(ctx, l)
		s.proceed(ctx, l)
	case retireTimer:
		if !l.serves(ctx.Now) {
			s.disown(ctx, l)
		}
	case takeoverTimer:
		s.handleTakeoverTimer(ctx, l)
	}
}

// handlePeriod reads the status, ends what hangs and refreshes the report.
func (s *State) handlePeriod(ctx *step.Context, l *lane) {
	s.setPeriodTimer(ctx, l)
	l.status.due = true
	s.closeHanging(ctx, l)
	s.endOverdue(ctx, l)
	s.proceed(ctx, l)
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

// endOverdue cancels sent jobs that have outlived their deadlines, and in the end
// closes their connections.
func (s *State) endOverdue(ctx *step.Context, l *lane) {
	for _, j := range l.inFlight {
		overdue := ctx.Now.Sub(j.deadline)
		if overdue <= 0 || j.connection.state == ending {
			continue
		}
		if j.request.Repeatable && !j.cancelled {
			j.cancelled = true
			l.cancels = append(l.cancels, j)
		}
		if overdue >= graceOf(j) {
			s.close(ctx, j.connection)
		}
	}
}

// graceOf returns how long a sent job may outlive its deadline.
func graceOf(j *job) time.Duration {
	if j.request.Repeatable {
		return overdueGrace
	}
	return orderGrace
}
