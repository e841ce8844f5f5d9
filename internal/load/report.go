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
	// Failed counts requests without a response of the API.
	Failed  int         `json:"failed"`
	Codes   []CodeCount `json:"codes"`
	Partial int         `json:"partial"`

	// Latencies of all requests, measured from when they were due.
	P50  float64 `json:"p50_ms"`
	P95  float64 `json:"p95_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p99_9_ms"`
	Max  float64 `json:"max_ms"`

	// Coverage is the fraction of shards that the answered searches covered.
	Coverage float64 `json:"coverage"`
	// ExtraWork is the number of upstream attempts beyond the planned one per shard, as
	// a fraction of the planned attempts.
	ExtraWork float64 `json:"extra_work"`
	// Foreign and Mixed count violations: Foreign the answers that belong to another
	// request, Mixed the answers with a row from another snapshot than the answer's.
	Foreign int `json:"foreign"`
	Mixed   int `json:"mixed"`
}

// CodeCount is the number of responses with a failure code.
type CodeCount struct {
	Code  model.Code `json:"code"`
	Count int        `json:"count"`
}

// recorder aggregates the results of a run. It is safe for concurrent use.
type recorder struct {
	mu             sync.Mutex
	latency        *hdrhistogram.Histogram
	counts         Report
	searchedShards int
	totalShards    int
	attempts       int
	planned        int
	// executions maps each execution of an order to the last request identifier that
	// was answered with it.
	executions map[string]string
}

func newRecorder() *recorder {
	return &recorder{
		latency:    hdrhistogram.New(lowestLatency, highestLatency, latencyDigits),
		executions: make(map[string]string),
	}
}

// add records a request's result and its latency.
func (r *recorder) add(res result, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// The latency is clamped to the histogram's range, so RecordValue cannot fail.
	_ = r.latency.RecordValue(min(max(latency.Microseconds(), lowestLatency), highestLatency))
	r.counts.Requests++
	r.countOutcome(res)
	r.countViolations(res)
	r.attempts += res.attempts
	r.planned += res.planned
	if res.outcome == model.Answered {
		r.searchedShards += res.searched
		r.totalShards += res.total
	}
}

// countOutcome counts a result's outcome and failure code.
func (r *recorder) countOutcome(res result) {
	switch res.outcome {
	case model.Answered:
		r.counts.Answered++
	case model.NotRun:
		r.counts.NotRun++
	case model.Unknown:
		r.counts.Unknown++
	default:
		r.counts.Failed++
	}
	if res.partial {
		r.counts.Partial++
	}
	if res.code == "" {
		return
	}
	for i := range r.counts.Codes {
		if r.counts.Codes[i].Code == res.code {
			r.counts.Codes[i].Count++
			return
		}
	}
	r.counts.Codes = append(r.counts.Codes, CodeCount{Code: res.code, Count: 1})
}

// countViolations counts answers that belong to another request or mix snapshots.
func (r *recorder) countViolations(res result) {
	if res.foreign || r.isReusedExecution(res) {
		r.counts.Foreign++
	}
	if res.mixed {
		r.counts.Mixed++
	}
}

// isReusedExecution reports whether another order was already answered with the same
// execution, and records it.
func (r *recorder) isReusedExecution(res result) bool {
	if res.execution == "" {
		return false
	}
	id, seen := r.executions[res.execution]
	r.executions[res.execution] = res.id
	return seen && id != res.id
}

// report returns the report of the run.
func (r *recorder) report(options Options) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.counts
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
	if r.totalShards > 0 {
		out.Coverage = float64(r.searchedShards) / float64(r.totalShards)
	}
	if r.planned > 0 {
		out.ExtraWork = float64(r.attempts)/float64(r.planned) - 1
	}
	return out
}

// quantile returns a latency percentile in milliseconds.
func (r *recorder) quantile(percent float64) float64 {
	return float64(r.latency.ValueAtQuantile(percent)) / 1000
}
