package emulator

import (
	"fmt"
	"slices"
	"time"
)

// Result is how a request ended for its client.
type Result uint8

// The results.
const (
	InTime   Result = iota // answered with 200 within its latency objective
	Late                   // answered with 200 after its latency objective
	Rejected               // answered with 503 or 429
	Failed                 // answered with any other status, or not answered before its deadline
	Lost                   // its connection ended without a complete answer
	Wrong                  // answered with 200 and a body that is not this request's
	numResults
)

var resultNames = [...]string{"in time", "late", "refused", "failed", "lost", "wrong"}

func (r Result) String() string { return resultNames[r] }

// Tally counts the requests of one class of a load by their results.
type Tally struct {
	Requests int
	Results  [numResults]int // number of requests by result
	Attempts int
	Latency  []time.Duration // latencies of answers with 200; sorted once the load has ended
	Failures []Failure       // of the requests with other results than an answer 200 or a rejection
}

// Failure is how a request ended that was neither served nor rejected.
type Failure struct {
	Result Result
	Status int // of the answer; 0 if there was none before the deadline or the end of the connection
	Began  time.Time
	Took   time.Duration
}

func (f Failure) String() string {
	return fmt.Sprintf("%v with status %d at %v after %v", f.Result, f.Status, f.Began.Format(time.RFC3339Nano), f.Took.Round(time.Millisecond))
}

// count counts a request.
func (t *Tally) count(result Result, attempts int, latency time.Duration) {
	t.Requests++
	t.Attempts += attempts
	t.Results[result]++
	if result == InTime || result == Late {
		t.Latency = append(t.Latency, latency)
	}
}

// Missed returns the share of requests that were not answered within their latency objective.
func (t *Tally) Missed() float64 {
	if t.Requests == 0 {
		return 0
	}
	return 1 - float64(t.Results[InTime])/float64(t.Requests)
}

// Quantile returns the q-quantile of the latencies, which must be sorted, or 0 if there are none.
func (t *Tally) Quantile(q float64) time.Duration {
	if len(t.Latency) == 0 {
		return 0
	}
	return t.Latency[min(int(q*float64(len(t.Latency))), len(t.Latency)-1)]
}

// Add adds the counts and latencies of another tally.
func (t *Tally) Add(o *Tally) {
	t.Requests += o.Requests
	t.Attempts += o.Attempts
	for i := range o.Results {
		t.Results[i] += o.Results[i]
	}
	t.Failures = append(t.Failures, o.Failures...)
	t.Latency = append(t.Latency, o.Latency...)
	slices.Sort(t.Latency)
}
