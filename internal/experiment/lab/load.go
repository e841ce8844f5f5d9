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

// Load is an open loop of searches: they arrive at random times at a mean rate,
// regardless of whether earlier ones have been answered.
type Load struct {
	// Rate is the mean number of searches per second.
	Rate float64
	// Searches sent during Warmup are not measured; those sent in the following
	// Duration are.
	Warmup   time.Duration
	Duration time.Duration
	// Services are the service names and patterns of each search.
	Services []string
	// SplitServices sends a separate search for each entry of Services and joins
	// the answers, as a caller without a common snapshot does.
	SplitServices bool
	// Seed determines the arrival times and the nodes that the callers use.
	Seed uint64
}

// drainTime is how long to wait for outstanding answers after the load ends.
const drainTime = 3 * time.Second

// Result holds what the callers observed and what the upstreams executed.
type Result struct {
	// Latency is the latency distribution of the answered searches, in
	// microseconds.
	Latency  *hdrhistogram.Histogram
	Sent     int
	Answered int
	// Partial counts the answers with incomplete coverage.
	Partial int
	NotRun  int
	Unknown int
	// Lost counts the searches that got no reply because their node terminated.
	Lost int
	// Mixed counts the answers with a row of another version than the stated one,
	// Foreign those with a row of another query, and WrongCoverage those whose
	// stated coverage differs from the number of rows. WrongCoverage also counts
	// latencies that exceed the histogram's range.
	Mixed         int
	Foreign       int
	WrongCoverage int
	// Searched and Total are the sums of the coverage of the answered searches.
	Searched int
	Total    int
	// Planned and Attempts are the sums of the attempts planned and made, as stated
	// in the answers.
	Planned  int
	Attempts int
	// Runs is the number of attempts that upstreams ran during the measured time
	// and while the load drained.
	Runs int
}

// newResult returns an empty result. Its histogram records latencies up to one
// minute.
func newResult() *Result {
	const highest = int64(time.Minute / time.Microsecond)
	return &Result{Latency: hdrhistogram.New(1, highest, 3)}
}

// Quantile returns the latency of the answered searches at a percentile.
func (r *Result) Quantile(percent float64) time.Duration {
	return time.Duration(r.Latency.ValueAtQuantile(percent)) * time.Microsecond
}

// ExtraLoad returns the number of attempts beyond the planned ones, in percent of
// the planned ones.
func (r *Result) ExtraLoad() float64 {
	if r.Planned == 0 {
		return 0
	}
	return 100 * float64(r.Attempts-r.Planned) / float64(r.Planned)
}

// Coverage returns the overall coverage of the answered searches, in percent.
func (r *Result) Coverage() float64 {
	if r.Total == 0 {
		return 0
	}
	return 100 * float64(r.Searched) / float64(r.Total)
}

// Run generates a load on the cluster and returns the result.
func (c *Cluster) Run(load Load) *Result {
	random := rand.New(rand.NewPCG(load.Seed, 0x10ad))
	result := newResult()
	begin := c.Now().Add(load.Warmup)
	end := begin.Add(load.Duration)
	number := 0
	var sendNext func()
	sendNext = func() {
		if !c.Now().Before(end) {
			return
		}
		number++
		c.search(load, number, random, result, !c.Now().Before(begin))
		gap := time.Duration(random.ExpFloat64() / load.Rate * float64(time.Second))
		c.After(gap, sendNext)
	}
	c.After(0, sendNext)
	c.RunFor(load.Warmup)
	runs := c.Runs()
	c.RunFor(load.Duration + drainTime)
	result.Runs = c.Runs() - runs
	result.Lost = result.Sent - result.Answered - result.NotRun - result.Unknown
	return result
}

// search sends a search to a random running node. Only measured searches are
// counted in the result.
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
	if !load.SplitServices {
		c.Search(host, event.Search{Services: load.Services, Query: query}, done)
		return
	}
	join := joinedAnswer{remaining: len(load.Services), done: done}
	for _, service := range load.Services {
		c.Search(host, event.Search{Services: []string{service}, Query: query}, join.add)
	}
}

// joinedAnswer joins the answers of several searches into one.
type joinedAnswer struct {
	remaining int
	answer    model.Answer
	done      func(model.Answer)
}

// add adds the answer of one search. The joined answer has the outcome Answered only
// if all parts have. After the last part it calls done.
func (j *joinedAnswer) add(part model.Answer) {
	joined := &j.answer
	if joined.Coverage == nil {
		*joined = part
		joined.Coverage = &model.Coverage{}
		joined.Results = nil
		joined.Planned, joined.Attempts = 0, 0
	}
	if part.Outcome != model.Answered {
		joined.Outcome = part.Outcome
	}
	joined.Coverage.Searched += part.Coverage.Searched
	joined.Coverage.Total += part.Coverage.Total
	joined.Results = append(joined.Results, part.Results...)
	joined.Planned += part.Planned
	joined.Attempts += part.Attempts
	j.remaining--
	if j.remaining == 0 {
		j.done(*joined)
	}
}

// add counts an answer and checks its coverage and rows.
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
		r.WrongCoverage++
	}
	r.Searched += answer.Coverage.Searched
	r.Total += answer.Coverage.Total
	if !answer.Coverage.Complete() {
		r.Partial++
	}
	if len(answer.Results) != answer.Coverage.Searched {
		r.WrongCoverage++
	}
	r.checkRows(answer, query)
}

// row is a row of a search reply of the fake upstreams.
type row struct {
	Query   json.RawMessage `json:"query"`
	Version model.Version   `json:"version"`
}

// checkRows compares the rows of an answer with the query and the stated version.
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
