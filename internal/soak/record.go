package soak

import (
	"sync"
	"time"
)

// End is how a request ended at its client.
type End uint8

// A request is answered whole, its connection ended without an answer, its client left, or nothing
// came for as long as the client would ever wait.
const (
	Answered End = iota
	Cut
	LeftByClient
	Silent
)

// Request is what a client saw of one request.
type Request struct {
	ID     string
	Key    string
	Class  int
	Node   int // to which it went, and
	Life   int // which of its processes
	Reused bool
	Again  bool // it was sent once more, on a new connection, and FirstNode and
	// FirstLife are where it went before.
	FirstNode, FirstLife int
	Began                time.Time // its first byte was about to be written
	Sent                 time.Time // its last byte was written, and the client has noticed
	Deadline             time.Duration
	End                  End
	Ended                time.Time // of the answer's last byte, the connection's end, or the client's leaving
	Status               int
	Wrong                bool // an answer of 200 with what no server made for it
}

// Attempt is what a server saw of one attempt.
type Attempt struct {
	ID     string
	Key    string
	Server int
	Came   time.Time // its last byte
	Told   time.Duration
	Ran    bool // it has begun the work
	Safe   bool // it was turned away with a promise that it did not run
}

// Span is a time in which something was so.
type Span struct{ From, To time.Time }

// meets says whether a span meets another.
func (s Span) meets(from, to time.Time) bool { return s.From.Before(to) && from.Before(s.To) }

// Process is one process of a node.
type Process struct {
	Node, Life  int
	Span        Span
	Ready       time.Duration // until it served
	ToldToEnd   time.Time
	Killed      time.Time
	Failure     string   // an end that nobody asked for
	Descriptors int      // the most that were seen
	Broken      []string // the rules that it says it has broken
	Paused      []Span
	Starved     []Span
}

// Record is all that was seen in a run.
type Record struct {
	Plan  Plan
	Began time.Time

	mu        sync.Mutex
	Requests  []Request
	Attempts  []Attempt
	Processes []*Process
	Drains    map[int][]Span // by server: from when discovery listed it, until it began anew
	Crowds    []Span         // in which idle connections fill the descriptors
	Slow      []Span         // in which links delay
	Lists     []Span         // in which discovery was not well
	Stalls    []string       // clients that stopped in a request and were not told so in time
	Log       []string       // what was done, with times
}

func (r *Record) request(q Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Requests = append(r.Requests, q)
}

func (r *Record) attempt(a Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Attempts = append(r.Attempts, a)
}
