// Package endpoints runs one real node with endpoint lists of any length, whose entries share a few emulated
// servers. It measures the cost of the number of listed servers for the node and its clients.
package endpoints

import "time"

// UpdateMode is how discovery updates the endpoint list during a trial.
type UpdateMode string

// The update modes. Each second, except with NoUpdates, one server in replacedDivisor starts to drain, the servers
// that were draining are removed, and as many new servers are added.
const (
	NoUpdates     UpdateMode = "calm"
	Changes       UpdateMode = "changes"     // discovery sends the changed entries
	CompleteLists UpdateMode = "whole lists" // discovery sends the complete list
	Alternating   UpdateMode = "both"        // both modes, alternating
)

// Trial describes a run.
type Trial struct {
	Servers  int // number of listed servers
	Updates  UpdateMode
	Duration time.Duration
	Rate     int           // requests a second
	Deadline time.Duration // deadline of each request
	// CoreShare is the share of a core that the node gets. Below 1 the process is stopped for the rest of
	// each throttlePeriod.
	CoreShare float64
	// Restarts is the number of restarts of the node, evenly spread over the trial. Requests that a process accepted
	// before SIGTERM count like all others.
	Restarts int
}

// Result is the result of a trial: the clients' answers, and the resources that the node used.
type Result struct {
	Requests, InTime, Late, Rejected, Failed int
	Unanswered                               int           // requests (part of Requests) without an answer within answerSlack after the deadline
	P99                                      time.Duration // 99th percentile of the latency of answers with 200
	CPU                                      time.Duration // processor time of all processes of the node
	PeakMemory                               int           // resident memory of the largest process, in bytes
	Descriptors                              int           // largest number of descriptors open at a time
	Connections                              int64         // connections that servers accepted
	ListBytes                                int64         // bytes of lists that discovery wrote
}

// Served returns the share of requests that were answered in time.
func (r *Result) Served() float64 { return float64(r.InTime) / float64(max(1, r.Requests)) }
