package lab

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Load is an open loop of searches: they come at random times at a mean rate,
// whether or not earlier ones are answered.
type Load struct {
	// Rate is the mean number of searches a second.
	Rate float64
	// Warmup is not measured, Duration is.
	Warmup   time.Duration
	Duration time.Duration
	// Services are the names and patterns of each search.
	Services []string
	// Split sends one search for each entry of Services and joins their answers,
	// as a caller without a common snapshot would.
	Split bool
	// Seed draws the times and the nodes that the callers use.
	Seed uint64
}

// drainTime is how long after the load the last answers are awaited.
const drainTime = 3 * time.Second

// Result is what the callers saw and what the upstreams ran.
type Result struct {
	// Latency counts the answered searches, in microseconds.
	Latency  *hdrhistogram.Histogram
	Sent     int
	Answered int
	// Partial counts the answers that do not cover everything.
	Partial int
	NotRun  int
	Unknown int
	// Lost counts the searches whose node died before it replied.
	Lost int
	// Mixed counts the answers whose rows are of several versions, Foreign those
	// with a row of another query, and Untrue those whose coverage differs from
	// the rows.
	Mixed   int
	Foreign int
	Untrue  int
	// Searched and Total sum the coverage of the answered searches.
	Searched int
	Total    int
	// Planned and Attempts sum what the answers state.
	Planned  int
	Attempts int
	// Runs counts the attempts that ran on upstreams.
	Runs int
}

// newResult returns an empty result.
func newResult() *Result {
	const highest = int64(time.Minute / time.Microsecond)
	return &Result{Latency: hdrhistogram.New(1, highest, 3)}
}

// Quantile returns a quantile of the answered searches' latencies, in percent.
func (r *Result) Quantile(percent float64) time.Duration {
	return time.Duration(r.Latency.ValueAtQuantile(percent)) * time.Microsecond
}

// ExtraLoad returns the attempts beyond the planned ones as a share of those, in
// percent.
func (r *Result) ExtraLoad() float64 {
	if r.Planned == 0 {
		return 0
	}
	return 100 * float64(r.Attempts-r.Planned) / float64(r.Planned)
}

// Coverage returns the mean coverage of the answered searches, in percent.
func (r *Result) Coverage() float64 {
	if r.Total == 0 {
		return 0
	}
	return 100 * float64(r.Searched) / float64(r.Total)
}

// Run drives a load at the cluster and returns what became of it.
func (c *Cluster) Run(load Load) *Result {
	random := rand.New(rand.NewPCG(load.Seed, 0x10ad))
	result := newResult()
	begin := c.Now().Add(load.Warmup)
	end := begin.Add(load.Duration)
	number := 0
	var next func()
	next = func() {
		if !c.Now().Before(end) {
			return
		}
		number++
		c.search(load, number, random, result, !c.Now().Before(begin))
		gap := time.Duration(random.ExpFloat64() / load.Rate * float64(time.Second))
		c.After(gap, next)
	}
	c.After(0, next)
	c.RunFor(load.Warmup)
	runs := c.Runs()
	c.RunFor(load.Duration + drainTime)
	result.Runs = c.Runs() - runs
	result.Lost = result.Sent - result.Answered - result.NotRun - result.Unknown
	return result
}

// search sends one search to a random node that is alive.
func (c *Cluster) search(load Load, number int, random *rand.Rand, result *Result, measured bool) {
	hosts := c.Hosts()
	host := hosts[random.IntN(len(hosts))]
	for !c.Alive(host) {
		host = hosts[random.IntN(len(hosts))]
	}
	start := c.Now()
	query := fmt.Appendf(nil, `"query %d"`, number)
	if measured {
		result.Sent++
	}
	done := func(answer model.Answer) {
		if measured {
			result.add(answer, query, c.Now().Sub(start))
		}
	}
	if !load.Split {
		c.Search(host, event.Search{Services: load.Services, Query: query}, done)
		return
	}
	join := joined{left: len(load.Services), done: done}
	for _, service := range load.Services {
		c.Search(host, event.Search{Services: []string{service}, Query: query}, join.add)
	}
}

// joined puts the answers of several searches together.
type joined struct {
	left   int
	answer model.Answer
	done   func(model.Answer)
}

// add takes in one answer. The whole is answered only if all parts are.
func (j *joined) add(part model.Answer) {
	whole := &j.answer
	if whole.Coverage == nil {
		*whole = part
		whole.Coverage = &model.Coverage{}
		whole.Results = nil
		whole.Planned, whole.Attempts = 0, 0
	}
	if part.Outcome != model.Answered {
		whole.Outcome = part.Outcome
	}
	whole.Coverage.Searched += part.Coverage.Searched
	whole.Coverage.Total += part.Coverage.Total
	whole.Results = append(whole.Results, part.Results...)
	whole.Planned += part.Planned
	whole.Attempts += part.Attempts
	j.left--
	if j.left == 0 {
		j.done(*whole)
	}
}

// add takes in one answer.
func (r *Result) add(answer model.Answer, query []byte, latency time.Duration) {
	r.Planned += answer.Planned
	r.Attempts += answer.Attempts
	switch answer.Outcome {
	case model.NotRun:
		r.NotRun++
		return
	case model.Unknown:
		r.Unknown++
		return
	}
	r.Answered++
	if err := r.Latency.RecordValue(max(1, latency.Microseconds())); err != nil {
		r.Untrue++
	}
	r.Searched += answer.Coverage.Searched
	r.Total += answer.Coverage.Total
	if !answer.Coverage.Complete() {
		r.Partial++
	}
	if len(answer.Results) != answer.Coverage.Searched {
		r.Untrue++
	}
	r.checkRows(answer, query)
}

// row is a row of the fake upstreams.
type row struct {
	Query   json.RawMessage `json:"query"`
	Version model.Version   `json:"version"`
}

// checkRows compares the rows with the query and the stated version.
func (r *Result) checkRows(answer model.Answer, query []byte) {
	mixed, foreign := false, false
	for _, encoded := range answer.Results {
		var got row
		if err := json.Unmarshal(encoded, &got); err != nil {
			foreign = true
			continue
		}
		mixed = mixed || got.Version != answer.Snapshot
		foreign = foreign || !bytes.Equal(got.Query, query)
	}
	if mixed {
		r.Mixed++
	}
	if foreign {
		r.Foreign++
	}
}
