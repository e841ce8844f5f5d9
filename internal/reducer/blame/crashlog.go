package blame

import (
	"slices"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

const (
	// mergeTime is the time in which reports on one upstream are about the same crash.
	mergeTime = 2 * time.Second
	// logDuration is how long crashes are remembered, and maxEvents bounds their number.
	logDuration = 10 * time.Second
	maxEvents   = 512
	// maxContents bounds the contents that are remembered of one crash.
	maxContents = 64
)

// crashEvent is the crash of one upstream, with the contents that ran on it as far as all nodes
// have reported.
type crashEvent struct {
	upstream model.UpstreamID
	at       model.Instant
	contents []Content
	// inTrial means that the upstream ran a trial of one of them.
	inTrial bool
}

// crashLog holds the latest crashes of upstreams, oldest first.
type crashLog struct {
	events []crashEvent
}

// add records a crash, or adds contents to a crash that is known already.
func (l *crashLog) add(now model.Instant, upstream model.UpstreamID, contents ...Content) {
	e := l.find(now, upstream)
	if e == nil {
		l.events = slices.DeleteFunc(l.events, func(e crashEvent) bool { return now.Sub(e.at) > logDuration })
		if len(l.events) == maxEvents {
			l.events = l.events[1:]
		}
		l.events = append(l.events, crashEvent{upstream: upstream, at: now})
		e = &l.events[len(l.events)-1]
	}
	for _, c := range contents {
		if len(e.contents) < maxContents && !slices.Contains(e.contents, c) {
			e.contents = append(e.contents, c)
		}
	}
}

// markTrial records that an upstream crashed in a trial of content.
func (l *crashLog) markTrial(now model.Instant, upstream model.UpstreamID) {
	if e := l.find(now, upstream); e != nil {
		e.inTrial = true
	}
}

// find returns the crash of an upstream at a time, or nil.
func (l *crashLog) find(at model.Instant, upstream model.UpstreamID) *crashEvent {
	for i := range slices.Backward(l.events) {
		if e := &l.events[i]; e.upstream == upstream && isWithin(at, e.at, mergeTime) {
			return e
		}
	}
	return nil
}

// contents returns the contents that ran on an upstream when it crashed.
func (l *crashLog) contents(at model.Instant, upstream model.UpstreamID) []Content {
	if e := l.find(at, upstream); e != nil {
		return e.contents
	}
	return nil
}

// hasCrash reports whether an upstream of a service crashed a moment ago.
func (l *crashLog) hasCrash(now model.Instant, service model.ServiceName) bool {
	return slices.ContainsFunc(l.events, func(e crashEvent) bool {
		return e.upstream.Service() == service && isWithin(now, e.at, coincidence)
	})
}

// isWithin reports whether two times are at most d apart.
func isWithin(a, b model.Instant, d time.Duration) bool { return max(a.Sub(b), b.Sub(a)) <= d }
