package soak

import (
	"sync"
	"time"
)

// End is how a request ended for its client.
type End uint8

// The ends of a request.
const (
	Answered           End = iota // the client received a complete answer
	ConnectionLost                // the connection ended without a complete answer
	ClientDisconnected            // the client disconnected before it received the answer
	TimedOut                      // no complete answer within answerTimeout after the deadline
	CutOff                        // the client received the beginning of an answer 200 and could tell that it was not whole
)

// Request is a client's record of one request.
type Request struct {
	ID          string
	Key         string // empty without an idempotency key
	Class       int    // index into Plan.Classes
	Node        int    // index of the node that the request was sent to
	Incarnation int    // number of the node's process; 0 for the first process
	Reused      bool   // the request was sent on a reused connection
	Resent      bool   // the first connection of the request was lost, and the request was sent again on a new one
	// FirstNode and FirstIncarnation are the node and the process that the request was sent to first, if Resent is set.
	FirstNode, FirstIncarnation int
	Began                       time.Time // time before the first byte of the request was written
	Sent                        time.Time // time after the last byte of the request was written
	Deadline                    time.Duration
	End                         End
	FirstByte                   time.Time // time of the first byte of the answer; zero without an answer
	Ended                       time.Time // time of the answer's last byte, the end of the connection, or the client's disconnect
	Status                      int
	WrongBody                   bool // status 200 with a body that no server sent for this request
}

// Attempt is a server's record of one attempt.
type Attempt struct {
	ID         string
	Key        string
	Server     int
	ReceivedAt time.Time     // when the last byte of the attempt arrived at the link to the server
	Remaining  time.Duration // remaining time, as stated in the attempt's Req-Deadline-Ms
	Executed   bool          // the attempt was executed, not dropped as a duplicate
	HeadAt     time.Time     // when the server began to write the head of its answer 200; zero if it did not
	Rejected   bool          // always false: the servers of a soak reject nothing
}

// Interval is a time interval from From until To.
type Interval struct{ From, To time.Time }

// overlaps reports whether the interval overlaps the interval between two times.
func (i Interval) overlaps(from, to time.Time) bool { return i.From.Before(to) && from.Before(i.To) }

// Process is the record of one process of a node.
type Process struct {
	Node, Incarnation int
	Lifetime          Interval
	StartupTime       time.Duration // time until the process accepted requests
	TerminatedAt      time.Time
	Killed            time.Time
	Failure           string   // unexpected exit, or failure to exit after SIGTERM; empty for none
	Descriptors       int      // maximum number of open descriptors
	PeakMemory        int      // peak resident size in bytes, as the system counts it; 0 if it is not counted
	Violations        []string // the invariants that the process counted as violated
	Paused            []Interval
	OutOfDescriptors  []Interval
}

// Record contains all observations of a run. Its fields may be read without the lock once Run has returned.
type Record struct {
	Plan  Plan
	Began time.Time

	mu              sync.Mutex
	Requests        []Request
	Attempts        []Attempt
	Processes       []*Process
	Drains          map[int][]Interval // intervals by server, from its listing as draining until its restart
	Crowds          []Interval         // intervals with a crowd
	ServerFaults    []Interval         // intervals in which a server, or the link to it, may end connections or not answer
	IdleFloods      []Interval         // intervals in which idle connections used up the descriptors
	DiscoveryFaults []Interval         // intervals in which discovery failed or was slow, each extended by maxUpdateDelay
	Stalls          []string           // clients that stopped within a request, and whose connections were not closed in time
	Log             []string           // faults in order, with times
}

// update calls change under the record's lock. Clients, servers and faults change the record concurrently.
func (r *Record) update(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

func (r *Record) addRequest(request Request) {
	r.update(func() { r.Requests = append(r.Requests, request) })
}

// headWritten records that a server begins to write the answer 200 of an attempt.
func (r *Record) headWritten(attempt Attempt, at time.Time) {
	r.update(func() {
		for i := len(r.Attempts) - 1; i >= 0; i-- {
			if a := &r.Attempts[i]; a.ID == attempt.ID && a.Server == attempt.Server && a.ReceivedAt.Equal(attempt.ReceivedAt) {
				a.HeadAt = at
				return
			}
		}
	})
}

func (r *Record) addAttempt(a Attempt) {
	r.update(func() { r.Attempts = append(r.Attempts, a) })
}
