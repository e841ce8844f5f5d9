package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Range and precision of the latency histogram, in microseconds.
const (
	lowestLatency  = 1
	highestLatency = int64(10 * time.Minute / time.Microsecond)
	latencyDigits  = 3
)

// Report is the result of a run. Latencies are in milliseconds.
type Report struct {
	Service  string  `json:"service"`
	Kind     Kind    `json:"kind"`
	Rate     float64 `json:"rate_per_second"`
	Duration float64 `json:"duration_seconds"`
	Seed     uint64  `json:"seed"`

	Requests int `json:"requests"`
	Answered int `json:"answered"`
	NotRun   int `json:"not_run"`
	Unknown  int `json:"unknown"`
	// Failed counts requests without an answer of the API.
	Failed  int         `json:"failed"`
	Codes   []CodeCount `json:"codes"`
	Partial int         `json:"partial"`

	// Latencies of all requests, from when they were due.
	P50  float64 `json:"p50_ms"`
	P95  float64 `json:"p95_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p99_9_ms"`
	Max  float64 `json:"max_ms"`

	// Coverage is the mean share of the shards that answered searches cover.
	Coverage float64 `json:"coverage"`
	// ExtraWork is the share of upstream work beyond one attempt a shard.
	ExtraWork float64 `json:"extra_work"`
	// Foreign and Mixed count broken promises: answers that belong to another
	// request, and answers of several snapshots.
	Foreign int `json:"foreign"`
	Mixed   int `json:"mixed"`
}

// CodeCount is how often a failure code was seen.
type CodeCount struct {
	Code  model.Code `json:"code"`
	Count int        `json:"count"`
}

// recorder gathers results.
type recorder struct {
	mu       sync.Mutex
	latency  *hdrhistogram.Histogram
	figures  Report
	searched int
	total    int
	attempts int
	planned  int
	// executions maps the executions of orders to request identifiers.
	executions map[string]string
}

func newRecorder() *recorder {
	return &recorder{
		latency:    hdrhistogram.New(lowestLatency, highestLatency, latencyDigits),
		executions: make(map[string]string),
	}
}

// add records one result.
func (r *recorder) add(each result, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A latency over the range is recorded as the highest.
	_ = r.latency.RecordValue(min(max(latency.Microseconds(), lowestLatency), highestLatency))
	r.figures.Requests++
	r.countOutcome(each)
	r.countPromises(each)
	r.attempts += each.attempts
	r.planned += each.planned
	if each.outcome == model.Answered {
		r.searched += each.searched
		r.total += each.total
	}
}

// countOutcome counts how a request ended.
func (r *recorder) countOutcome(each result) {
	switch each.outcome {
	case model.Answered:
		r.figures.Answered++
	case model.NotRun:
		r.figures.NotRun++
	case model.Unknown:
		r.figures.Unknown++
	default:
		r.figures.Failed++
	}
	if each.partial {
		r.figures.Partial++
	}
	if each.code == "" {
		return
	}
	for i := range r.figures.Codes {
		if r.figures.Codes[i].Code == each.code {
			r.figures.Codes[i].Count++
			return
		}
	}
	r.figures.Codes = append(r.figures.Codes, CodeCount{Code: each.code, Count: 1})
}

// countPromises counts broken promises.
func (r *recorder) countPromises(each result) {
	if each.foreign || r.isShared(each) {
		r.figures.Foreign++
	}
	if each.mixed {
		r.figures.Mixed++
	}
}

// isShared reports whether an execution was already given to another order.
func (r *recorder) isShared(each result) bool {
	if each.execution == "" {
		return false
	}
	id, seen := r.executions[each.execution]
	r.executions[each.execution] = each.id
	return seen && id != each.id
}

// report returns the figures of the run.
func (r *recorder) report(options Options) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.figures
	out.Service = options.Service
	out.Kind = options.Kind
	out.Rate = options.Rate
	out.Duration = options.Duration.Seconds()
	out.Seed = options.Seed
	out.P50 = r.quantile(50)
	out.P95 = r.quantile(95)
	out.P99 = r.quantile(99)
	out.P999 = r.quantile(99.9)
	out.Max = float64(r.latency.Max()) / 1000
	if r.total > 0 {
		out.Coverage = float64(r.searched) / float64(r.total)
	}
	if r.planned > 0 {
		out.ExtraWork = float64(r.attempts)/float64(r.planned) - 1
	}
	return out
}

// quantile returns a latency in milliseconds.
func (r *recorder) quantile(percent float64) float64 {
	return float64(r.latency.ValueAtQuantile(percent)) / 1000
}
