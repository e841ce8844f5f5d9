package lab

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Phase is a part of a load with a constant mean rate.
type Phase struct {
	// Rate is the mean number of searches per second.
	Rate     float64
	Duration time.Duration
}

// Sample records one search and its outcome.
type Sample struct {
	// At is the time of sending, relative to the start of the load.
	At      time.Duration
	Latency time.Duration
	// Outcome is empty if no answer came.
	Outcome  model.Outcome
	Complete bool
	// Query is the body of the search. It is unique within a load and identifies
	// the search in the runs of the upstreams.
	Query string
	Host  model.HostID
}

// Useful reports whether the search got a complete answer.
func (s Sample) Useful() bool { return s.Outcome == model.Answered && s.Complete }

// Drive sends searches in an open loop through the phases and returns them in
// the order of sending. The draw function returns the search with the given number,
// counted from zero; Drive sets its query. If admit returns false, the search is not
// sent but recorded as not run; a nil admit function admits every search.
func (c *Cluster) Drive(seed uint64, phases []Phase, draw func(r *rand.Rand, number int) event.Search, admit func(event.Search) bool) []Sample {
	random := rand.New(rand.NewPCG(seed, 0xd21e))
	d := &driver{cluster: c, random: random, draw: draw, admit: admit, begin: c.Now()}
	at := d.begin
	for _, phase := range phases {
		end := at.Add(phase.Duration)
		d.schedule(at, end, phase.Rate)
		at = end
	}
	c.RunFor(at.Sub(d.begin) + drainTime)
	samples := make([]Sample, len(d.samples))
	for i, s := range d.samples {
		samples[i] = *s
	}
	return samples
}

// Query returns the query of the search with the given number, counted from zero, in
// a load of Drive.
func Query(number int) string { return fmt.Sprintf(`"query %d"`, number) }

// driver is the state of a running load.
type driver struct {
	cluster *Cluster
	random  *rand.Rand
	draw    func(r *rand.Rand, number int) event.Search
	admit   func(event.Search) bool
	begin   model.Instant
	samples []*Sample
}

// schedule schedules the first search after at; each search schedules the next,
// until end.
func (d *driver) schedule(at, end model.Instant, rate float64) {
	gap := time.Duration(d.random.ExpFloat64() / rate * float64(time.Second))
	at = at.Add(gap)
	if !at.Before(end) {
		return
	}
	d.cluster.At(at, func() {
		d.send()
		d.schedule(at, end, rate)
	})
}

// send sends a search to a random serving node, because entry replies contain no
// other nodes.
func (d *driver) send() {
	c := d.cluster
	hosts := slices.DeleteFunc(c.Hosts(), func(host model.HostID) bool {
		return !c.Alive(host) || c.State(host).MemberState() != model.Serving
	})
	host := hosts[d.random.IntN(len(hosts))]
	sample := &Sample{At: c.Now().Sub(d.begin), Query: Query(len(d.samples)), Host: host}
	search := d.draw(d.random, len(d.samples))
	search.Query = []byte(sample.Query)
	d.samples = append(d.samples, sample)
	if d.admit != nil && !d.admit(search) {
		sample.Outcome = model.NotRun
		return
	}
	sent := c.Now()
	c.Search(host, search, func(answer model.Answer) {
		sample.Latency = c.Now().Sub(sent)
		sample.Outcome = answer.Outcome
		sample.Complete = answer.Coverage != nil && answer.Coverage.Complete()
	})
}

// RefusedThatRan returns the number of searches that were answered as not run
// although an upstream ran a part of them.
func (c *Cluster) RefusedThatRan(samples []Sample) int {
	ran := make(map[string]bool)
	for _, u := range c.Upstreams() {
		for _, run := range u.Runs {
			ran[string(run.Body)] = true
		}
	}
	count := 0
	for _, s := range samples {
		if s.Outcome == model.NotRun && ran[s.Query] {
			count++
		}
	}
	return count
}

// Between returns the samples sent from one time up to, but not including, another.
func Between(samples []Sample, from, to time.Duration) []Sample {
	var out []Sample
	for _, s := range samples {
		if s.At >= from && s.At < to {
			out = append(out, s)
		}
	}
	return out
}

// CountUseful returns the number of samples with a complete answer.
func CountUseful(samples []Sample) int {
	count := 0
	for _, s := range samples {
		if s.Useful() {
			count++
		}
	}
	return count
}

// CountOutcome returns the number of samples with an outcome.
func CountOutcome(samples []Sample, outcome model.Outcome) int {
	count := 0
	for _, s := range samples {
		if s.Outcome == outcome {
			count++
		}
	}
	return count
}

// LatencyQuantile returns the latency of the useful samples at a percentile, or
// zero if there are none.
func LatencyQuantile(samples []Sample, percent float64) time.Duration {
	var latencies []time.Duration
	for _, s := range samples {
		if s.Useful() {
			latencies = append(latencies, s.Latency)
		}
	}
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	at := int(percent / 100 * float64(len(latencies)))
	return latencies[min(at, len(latencies)-1)]
}

const (
	// recoveryWindow is the length of the windows in which recovery is assessed.
	recoveryWindow = 250 * time.Millisecond
	// recoveryMinUseful is the minimum share of complete answers in a window that
	// counts as normal.
	recoveryMinUseful = 0.99
	// recoveryMaxP99Ratio is the maximum p99 of a window that counts as normal,
	// relative to the p99 before the event.
	recoveryMaxP99Ratio = 2
)

// RecoveryTime returns the time from an event to the end of the last window that is
// not normal, that is, a window with too few complete answers or with a p99 of more
// than recoveryMaxP99Ratio times p99Before. It is zero if all windows are normal.
func RecoveryTime(samples []Sample, event, end, p99Before time.Duration) time.Duration {
	var recovery time.Duration
	for from := event; from+recoveryWindow <= end; from += recoveryWindow {
		span := Between(samples, from, from+recoveryWindow)
		useful := float64(CountUseful(span)) >= recoveryMinUseful*float64(len(span))
		if !useful || LatencyQuantile(span, 99) > recoveryMaxP99Ratio*p99Before {
			recovery = from + recoveryWindow - event
		}
	}
	return recovery
}
