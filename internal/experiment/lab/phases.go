package lab

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Phase is a part of a load with one rate.
type Phase struct {
	// Rate is the mean number of searches a second.
	Rate     float64
	Duration time.Duration
}

// Sample is one search and what became of it.
type Sample struct {
	// At is when it was sent, since the load began.
	At      time.Duration
	Latency time.Duration
	// Outcome is empty if no answer came.
	Outcome  model.Outcome
	Complete bool
	// Query names the search on the upstreams.
	Query string
	Host  model.HostID
}

// Useful reports whether the search got a complete answer.
func (s Sample) Useful() bool { return s.Outcome == model.Answered && s.Complete }

// Drive sends searches in an open loop through the phases and returns them in
// the order of sending. The draw function builds the number-th search; its query
// is set by Drive. A nil admit function sends every search; one that returns
// false refuses it as not run without sending it.
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

// Query returns the query of the number-th search that Drive sends.
func Query(number int) string { return fmt.Sprintf(`"query %d"`, number) }

// driver is a load under way.
type driver struct {
	cluster *Cluster
	random  *rand.Rand
	draw    func(r *rand.Rand, number int) event.Search
	admit   func(event.Search) bool
	begin   model.Instant
	samples []*Sample
}

// schedule sends searches from one time to another.
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

// send sends one search to a random node that serves: entry answers name no
// other.
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

// RefusedThatRan counts the searches that were answered as not run although an
// upstream ran a part of them.
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

// Between returns the samples sent in a span of time.
func Between(samples []Sample, from, to time.Duration) []Sample {
	var out []Sample
	for _, s := range samples {
		if s.At >= from && s.At < to {
			out = append(out, s)
		}
	}
	return out
}

// CountUseful returns how many of the samples got a complete answer.
func CountUseful(samples []Sample) int {
	count := 0
	for _, s := range samples {
		if s.Useful() {
			count++
		}
	}
	return count
}

// CountOutcome returns how many of the samples had an outcome.
func CountOutcome(samples []Sample, outcome model.Outcome) int {
	count := 0
	for _, s := range samples {
		if s.Outcome == outcome {
			count++
		}
	}
	return count
}

// LatencyQuantile returns a quantile of the useful samples' latencies, in
// percent; zero if there are none.
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
	// normalBucket is the span of time that is judged as a whole.
	normalBucket = 250 * time.Millisecond
	// normalUseful is the share of searches that a normal span answers in full.
	normalUseful = 0.99
	// normalLatency is the p99 of a normal span relative to the p99 before.
	normalLatency = 2
)

// NormalAfter returns how long after a time the last span ended that was not
// normal: too few complete answers, or a p99 over twice the one before.
func NormalAfter(samples []Sample, event, end, p99Before time.Duration) time.Duration {
	var after time.Duration
	for from := event; from+normalBucket <= end; from += normalBucket {
		span := Between(samples, from, from+normalBucket)
		useful := float64(CountUseful(span)) >= normalUseful*float64(len(span))
		if !useful || LatencyQuantile(span, 99) > normalLatency*p99Before {
			after = from + normalBucket - event
		}
	}
	return after
}
