// Package load is an open-loop load generator for the callers' API. Requests
// arrive at times that do not depend on the responses, and latency is measured
// from when a request was due, even if it was sent late. Every answer is checked:
// it must belong to the caller's own request, a search must be answered from one
// snapshot, and two orders must not share an execution.
package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Kind is the kind of requests that a run sends.
type Kind string

// The kinds of requests.
const (
	Search Kind = "search"
	Order  Kind = "order"
)

// Options configure a run.
type Options struct {
	// EntryAddresses holds the caller addresses of the nodes that are asked for entry
	// guidance.
	EntryAddresses []string
	// Service is a service's name or, for searches, a pattern.
	Service string
	Kind    Kind
	// Rate is the mean number of requests per second.
	Rate     float64
	Duration time.Duration
	// Timeout is sent with each request; zero leaves the timeout to the service.
	Timeout time.Duration
	// Resends is the maximum number of times that a request is sent again while its
	// outcome is not known.
	Resends int
	// MaxInFlight bounds the requests in flight. A request over the limit waits, and the
	// wait counts as latency. Zero means DefaultMaxInFlight.
	MaxInFlight int
	// Seed determines when requests are due and is part of each query.
	Seed uint64
}

// DefaultMaxInFlight is the default limit of requests in flight.
const DefaultMaxInFlight = 4096

// OptionError reports an invalid option.
type OptionError struct {
	Option string
	Reason string
}

// Error implements error.
func (e *OptionError) Error() string { return e.Option + ": " + e.Reason }

// validate returns *OptionError for the first invalid option.
func (o Options) validate() error {
	switch {
	case len(o.EntryAddresses) == 0:
		return &OptionError{Option: "entry", Reason: "at least one address is required"}
	case o.Service == "":
		return &OptionError{Option: "service", Reason: "a service is required"}
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

// Run sends the load and returns the report. It returns *OptionError for invalid
// options and *EntryError if no node answers the first entry request.
func Run(ctx context.Context, options Options) (Report, error) {
	if err := options.validate(); err != nil {
		return Report{}, err
	}
	if options.MaxInFlight == 0 {
		options.MaxInFlight = DefaultMaxInFlight
	}
	entry := newEntryClient(options.EntryAddresses, options.Service)
	if _, err := entry.addresses(ctx); err != nil {
		return Report{}, err
	}
	r := &run{
		options:  options,
		entry:    entry,
		recorder: newRecorder(),
		inFlight: make(chan struct{}, options.MaxInFlight),
	}
	r.send(ctx)
	r.requests.Wait()
	return r.recorder.report(options), nil
}

// run is the state of a run in progress.
type run struct {
	options  Options
	entry    *entryClient
	recorder *recorder
	inFlight chan struct{}
	requests sync.WaitGroup
}

// send starts each request when it is due. The intervals are exponentially
// distributed. It returns after the run's duration or when the context ends.
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
		r.inFlight <- struct{}{}
		dueAt := due
		r.requests.Go(func() {
			defer func() { <-r.inFlight }()
			outcome := r.request(ctx, number)
			r.recorder.add(outcome, time.Since(dueAt))
		})
	}
}

// request sends one request and resends it until its outcome is final or the
// resends are used up.
func (r *run) request(ctx context.Context, number uint64) result {
	request, err := r.entry.newRequest(ctx, r.options, number)
	if err != nil {
		return result{outcome: outcomeFailed}
	}
	var last result
	for try := range r.options.Resends + 1 {
		last = request.send(ctx, r.entry, try)
		if last.isFinal() {
			break
		}
	}
	return last
}
