// Package endpoints runs one real node before endpoint lists of any length, whose entries share a few
// emulated servers. It measures what the number of listed servers costs the node and its clients.
package endpoints

import "time"

// UpdateMode is how discovery updates the endpoint list during a trial.
type UpdateMode string

// The ways. Each second, and except with NoUpdates, one server in replacedDivisor drains, those that drained
// are removed, and as many are added.
const (
	NoUpdates     UpdateMode = "calm"
	Changes       UpdateMode = "changes"     // what has changed
	CompleteLists UpdateMode = "whole lists" // the complete list
	Alternating   UpdateMode = "both"        // both in turn
)

// Trial says what is run.
type Trial struct {
	Servers  int // listed
	Updates  UpdateMode
	Duration time.Duration
	Rate     int           // requests a second
	Deadline time.Duration // of each request
	// CoreShare is the share of a core that the node gets. Below 1 the process is stopped for the rest of
	// each throttlePeriod.
	CoreShare float64
	// Restarts is how often the node is restarted, evenly over the trial. Requests that a process accepted
	// before SIGTERM count as any other.
	Restarts int
}

// Result is what clients saw of a trial, and what the node used.
type Result struct {
	Requests, InTime, Late, Rejected, Failed int
	Unanswered                               int           // of these: no answer answerSlack after the deadline
	P99                                      time.Duration // latency of answers with 200
	CPU                                      time.Duration // over all processes
	PeakMemory                               int           // bytes resident, of the largest process
	Descriptors                              int           // most that were open at a time
	Connections                              int64         // that servers accepted
	ListBytes                                int64         // that discovery wrote
}

// Served is the share of requests that were answered in time.
func (r *Result) Served() float64 { return float64(r.InTime) / float64(max(1, r.Requests)) }
