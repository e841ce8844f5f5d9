// Package load is an open-loop load generator for the callers' API. Requests
// are due at times that do not depend on the answers, and a late request is
// counted from when it was due. Every answer is checked: it must belong to the
// caller's own request, come from one snapshot, and an order must have run once.
package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Kind is the kind of requests.
type Kind string

// The kinds of requests.
const (
	Search Kind = "search"
	Order  Kind = "order"
)

// Options describe a run.
type Options struct {
	// Entry holds the addresses that may be asked for entry guidance.
	Entry []string
	// Service is a service or a pattern.
	Service string
	Kind    Kind
	// Rate is the number of requests that are due in a second.
	Rate     float64
	Duration time.Duration
	// Timeout is what each request asks for; zero leaves it to the service.
	Timeout time.Duration
	// Resends is how often a request without a known outcome is sent again.
	Resends int
	// MaxOpen bounds the open requests; a request over it waits, and its wait
	// counts.
	MaxOpen int
	Seed    uint64
}

// DefaultMaxOpen bounds the open requests of a run.
const DefaultMaxOpen = 4096

// OptionError reports an option that cannot be used.
type OptionError struct {
	Option string
	Reason string
}

// Error implements error.
func (e *OptionError) Error() string { return e.Option + ": " + e.Reason }

// check returns *OptionError for options that cannot be used.
func (o Options) check() error {
	switch {
	case len(o.Entry) == 0:
		return &OptionError{Option: "entry", Reason: "no address"}
	case o.Service == "":
		return &OptionError{Option: "service", Reason: "no service"}
	case o.Rate <= 0:
		return &OptionError{Option: "rate", Reason: "must be over 0"}
	case o.Duration <= 0:
		return &OptionError{Option: "duration", Reason: "must be over 0"}
	case o.Kind != Search && o.Kind != Order:
		return &OptionError{Option: "kind", Reason: fmt.Sprintf("%q is neither search nor order", o.Kind)}
	default:
		return nil
	}
}

// Run sends the load and returns the report. It returns *OptionError, or the
// error of the first entry question.
func Run(ctx context.Context, options Options) (Report, error) {
	if err := options.check(); err != nil {
		return Report{}, err
	}
	if options.MaxOpen == 0 {
		options.MaxOpen = DefaultMaxOpen
	}
	guide := newGuide(options.Entry, options.Service)
	if _, err := guide.addresses(ctx); err != nil {
		return Report{}, err
	}
	r := &run{
		options:  options,
		guide:    guide,
		recorder: newRecorder(),
		open:     make(chan struct{}, options.MaxOpen),
	}
	r.send(ctx)
	r.requests.Wait()
	return r.recorder.report(options), nil
}

// run is one run under way.
type run struct {
	options  Options
	guide    *guide
	recorder *recorder
	open     chan struct{}
	requests sync.WaitGroup
}

// send starts each request when it is due.
func (r *run) send(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.options.Seed, 2))
	start := time.Now()
	due := start
	for number := uint64(1); ; number++ {
		due = due.Add(time.Duration(random.ExpFloat64() / r.options.Rate * float64(time.Second)))
		if due.Sub(start) > r.options.Duration {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(due)):
		}
		r.open <- struct{}{}
		dueAt := due
		r.requests.Go(func() {
			defer func() { <-r.open }()
			outcome := r.request(ctx, number)
			r.recorder.add(outcome, time.Since(dueAt))
		})
	}
}

// request sends one request, and again while its outcome is not known.
func (r *run) request(ctx context.Context, number uint64) result {
	request, err := r.guide.newRequest(ctx, r.options, number)
	if err != nil {
		return result{outcome: outcomeFailed}
	}
	var last result
	for try := range r.options.Resends + 1 {
		last = request.send(ctx, r.guide, try)
		if last.settled() {
			break
		}
	}
	return last
}
