package soak

import (
	"sync"
	"time"
)

// End is how a request ended for its client.
type End uint8

// The ends of a request.
const (
	Answered       End = iota // a complete answer came
	ConnectionLost            // the connection ended without one
	ClientLeft                // the client closed the connection before one came
	TimedOut                  // nothing came for answerTimeout after the deadline
)

// Request is what a client saw of one request.
type Request struct {
	ID          string
	Key         string // empty without an idempotency key
	Class       int    // index into Plan.Classes
	Node        int    // which node it was sent to
	Incarnation int    // which of that node's processes: 0 for the first one
	Reused      bool   // its connection had carried requests before
	Resent      bool   // its first connection was lost, and it was sent again on a new one;
	// FirstNode and FirstLife say where it was sent first.
	FirstNode, FirstIncarnation int
	Began                       time.Time // before its first byte was written
	Sent                        time.Time // after its last byte was written
	Deadline                    time.Duration
	End                         End
	Ended                       time.Time // at the answer's last byte, the end of the connection, or when the client left
	Status                      int
	WrongBody                   bool // status 200 with a body that no server made for this request
}

// Attempt is what a server saw of one attempt.
type Attempt struct {
	ID           string
	Key          string
	Server       int
	ReceivedAt   time.Time     // when its last byte had come
	DeadlineLeft time.Duration // as the request said
	Executed     bool          // it was executed, not dropped as a duplicate
	Rejected     bool          // always false: servers of the soak reject nothing
}

// Interval is a time during which some condition held.
type Interval struct{ From, To time.Time }

// overlaps reports whether two intervals overlap.
func (s Interval) overlaps(from, to time.Time) bool { return s.From.Before(to) && from.Before(s.To) }

// Process is one process of a node.
type Process struct {
	Node, Incarnation int
	Lifetime          Interval
	StartupTime       time.Duration // until it accepted requests
	TerminatedAt      time.Time
	Killed            time.Time
	Failure           string   // how it ended without being asked to, or did not end when asked
	Descriptors       int      // the most that were open
	Violations        []string // the invariants that it counted as violated
	Paused            []Interval
	Starved           []Interval
}

// Record is all that was seen in a run. Its fields may be read freely once Run has returned.
type Record struct {
	Plan  Plan
	Began time.Time

	mu              sync.Mutex
	Requests        []Request
	Attempts        []Attempt
	Processes       []*Process
	Drains          map[int][]Interval // by server: from when discovery listed it as draining until it restarted
	IdleFloods      []Interval         // idle connections used up the descriptors
	SlowLinks       []Interval         // links delayed what they carry
	DiscoveryFaults []Interval         // discovery failed or was slow, and for some time after
	Stalls          []string           // clients that stopped within a request and got neither error nor close in time
	Log             []string           // faults in order, with times
}

// update changes the record, which clients, servers and faults write to at once.
func (r *Record) update(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

func (r *Record) addRequest(q Request) {
	r.update(func() { r.Requests = append(r.Requests, q) })
}

func (r *Record) addAttempt(a Attempt) {
	r.update(func() { r.Attempts = append(r.Attempts, a) })
}
