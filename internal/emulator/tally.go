package emulator

import (
	"slices"
	"time"
)

// Result is how a request ended for its client.
type Result uint8

// The results.
const (
	InTime  Result = iota // answered with 200 within its latency objective
	Late                  // answered with 200 after it
	Refused               // rejected: 503 or 429
	Failed                // answered with any other status, or not within its deadline
	Lost                  // its connection ended without an answer
	Wrong                 // answered with 200 and a body that belongs to another request
	numResults
)

var resultNames = [...]string{"in time", "late", "refused", "failed", "lost", "wrong"}

func (r Result) String() string { return resultNames[r] }

// Tally counts what became of a load's requests of one class.
type Tally struct {
	Asked   int             // requests
	Ends    [numResults]int // by result
	Tries   int             // attempts
	Latency []time.Duration // of answers with 200; sorted once the load is over
}

// count counts a request.
func (t *Tally) count(result Result, attempts int, latency time.Duration) {
	t.Asked++
	t.Tries += attempts
	t.Ends[result]++
	if result == InTime || result == Late {
		t.Latency = append(t.Latency, latency)
	}
}

// Missed is the share of requests that got no answer within their latency objective.
func (t *Tally) Missed() float64 {
	if t.Asked == 0 {
		return 0
	}
	return 1 - float64(t.Ends[InTime])/float64(t.Asked)
}

// Quantile is a quantile of the latencies, or 0 if there are none.
func (t *Tally) Quantile(q float64) time.Duration {
	if len(t.Latency) == 0 {
		return 0
	}
	return t.Latency[min(int(q*float64(len(t.Latency))), len(t.Latency)-1)]
}

// Add adds another tally.
func (t *Tally) Add(o *Tally) {
	t.Asked += o.Asked
	t.Tries += o.Tries
	for i := range o.Ends {
		t.Ends[i] += o.Ends[i]
	}
	t.Latency = append(t.Latency, o.Latency...)
	slices.Sort(t.Latency)
}
