package emulator

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"jasperpin/internal/slowstart"
)

// Mode is how a server answers requests.
type Mode uint8

// The modes.
const (
	Serving    Mode = iota
	Draining        // all requests are rejected
	Silent          // requests are received and never answered
	Failing         // requests are executed and answered with 500
	Resetting       // the connection is reset once a request has been received
	Corrupting      // requests are executed and get a malformed response
)

// ServerSettings configures a Server. The zero value is a server with one core that listens at any free port.
type ServerSettings struct {
	Name            string        // name in the endpoint list; "" for a name derived from its address
	Listen          string        // address to listen at; "" for any free port
	Speed           float64       // speed of a core, relative to a standard server; 0 for 1
	Cores           int           // number of cores; 0 for 1
	Queue           int           // requests that may wait for a core; further requests are rejected
	SlowStartShare  float64       // share of the full speed that the server has at its start; 0 for no slow start
	SlowStartWindow time.Duration // time from the start to full speed; the speed grows linearly; 0 for no slow start
	Uptime          time.Duration // time since its start, at the call of NewServer
	// Rule is the load that a server in slow start can serve. Arrivals are counted against it.
	Rule slowstart.Rule
	// StopsOnCancel ends the execution of a request when its attempt is cancelled. Otherwise the execution
	// completes.
	StopsOnCancel bool
	// Work is the execution time of a request without Req-Cost on a standard server.
	Work time.Duration
	// DedupWindow is how long after a request duplicates of its Idempotency-Key have no effect; 0 for no
	// deduplication.
	DedupWindow time.Duration
	// Dedup stores the idempotency keys. Servers that share a DedupMemory detect each other's duplicates; nil for
	// a memory that is not shared.
	Dedup *DedupMemory
}

// DedupMemory stores the idempotency keys that the servers of one dedup scope have received. It is safe for
// concurrent use.
type DedupMemory struct {
	mu        sync.Mutex
	expiresAt map[string]time.Time // expiry times by key
}

// NewDedupMemory returns an empty memory.
func NewDedupMemory() *DedupMemory { return &DedupMemory{expiresAt: make(map[string]time.Time)} }

// IsDuplicate reports whether a key is stored. If it is not, IsDuplicate stores it for the window.
func (m *DedupMemory) IsDuplicate(key string, now time.Time, window time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Before(m.expiresAt[key]) {
		return true
	}
	m.expiresAt[key] = now.Add(window)
	return false
}

// Server is a server of configured speed, cores and queue. It sleeps instead of computing, so that one machine can
// run many of them, and counts its executions.
type Server struct {
	ServerSettings
	Addr string

	cores chan struct{}

	mu            sync.Mutex
	httpServer    *http.Server
	closed        bool
	mode          Mode
	startedAt     time.Time
	announced     bool // discovery has announced the server's latest start
	currentStart  slowstart.Monitor
	earlierStarts slowstart.Totals
	waiting       int            // requests that wait for a core
	modeChanged   chan struct{}  // closed at the next change of mode
	effects       map[string]int // executions with an effect, by key or, without one, by request id
	counts        Counts
}

// Counts are the counters of a server.
type Counts struct {
	Received     int            // requests received completely
	ByClass      map[string]int // the requests of Received, by the first element of their path
	Executed     int            // executions begun, including those of duplicates
	Waiting      int            // requests that wait for a core now
	Rejected     int            // requests rejected
	Deduplicated int            // duplicates of an idempotency key, which are executed without effect
}

// maxClasses bounds the number of classes in Counts.ByClass.
const maxClasses = 100

// NewServer starts a server.
func NewServer(set ServerSettings) (*Server, error) {
	ln, err := listen(set.Listen)
	if err != nil {
		return nil, err
	}
	if set.Speed <= 0 {
		set.Speed = 1
	}
	set.Cores = max(set.Cores, 1)
	if set.Dedup == nil {
		set.Dedup = NewDedupMemory()
	}
	s := &Server{
		ServerSettings: set, Addr: ln.Addr().String(), cores: make(chan struct{}, set.Cores), startedAt: time.Now().Add(-set.Uptime),
		modeChanged: make(chan struct{}), effects: make(map[string]int),
		counts: Counts{ByClass: make(map[string]int)}, currentStart: slowstart.Monitor{Rule: set.Rule},
	}
	s.serve(ln)
	return s, nil
}

// Close closes the listener and all connections, as the end of the process would.
func (s *Server) Close() error {
	s.mu.Lock()
	srv := s.httpServer
	s.closed = true
	s.mu.Unlock()
	return srv.Close()
}

// SetMode sets the mode. Requests that were not answered because of mode Silent are aborted.
func (s *Server) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
	close(s.modeChanged)
	s.modeChanged = make(chan struct{})
}

// Restart begins a new slow start, as a new process of the server would, and listens again at the same address if
// the server was closed. Requests in execution continue until their clients cancel them.
func (s *Server) Restart() error {
	s.mu.Lock()
	s.earlierStarts.Add(&s.currentStart)
	s.startedAt, s.announced, s.currentStart = time.Now(), false, slowstart.Monitor{Rule: s.Rule}
	closed := s.closed
	s.mu.Unlock()
	s.SetMode(Serving)
	if !closed {
		return nil
	}
	ln, err := Relisten(s.Addr)
	if err != nil {
		return fmt.Errorf("listening again for an emulated server: %w", err)
	}
	s.serve(ln)
	return nil
}

// serve serves connections until Close. Its goroutine ends when the listener is closed.
func (s *Server) serve(ln net.Listener) {
	srv := &http.Server{Handler: s}
	s.mu.Lock()
	s.httpServer, s.closed = srv, false
	s.mu.Unlock()
	go func() { _ = srv.Serve(ln) }()
}

// MarkAnnounced records that discovery has announced the server's latest start to all nodes.
func (s *Server) MarkAnnounced() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.announced = true
}

// Starts returns how much of the slow-start budgets was used, over all starts of the server.
func (s *Server) Starts() slowstart.Totals {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.earlierStarts
	all.Add(&s.currentStart)
	return all
}

// countArrival counts a request that arrives during slow start against the server's capacity at that time. The
// caller holds mu.
func (s *Server) countArrival(now time.Time) {
	if share := s.slowStartShare(now); s.Rule.Window > 0 && share < 1 && s.mode != Silent {
		rate := s.Speed * share * float64(s.Cores) / s.Work.Seconds()
		s.currentStart.Arrive(now.Sub(s.startedAt), rate, 1, s.announced)
	}
}

// Counts returns a copy of the counters.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	c.Waiting = s.waiting
	c.ByClass = maps.Clone(c.ByClass)
	return c
}

// AddExecutions adds the number of executions with an effect of each request to sum, by the idempotency key or,
// without one, by the request id. GET requests are not counted.
func (s *Server) AddExecutions(sum map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, n := range s.effects {
		sum[id] += n
	}
}

// Entry returns the server's entry in the endpoint list.
func (s *Server) Entry() Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := InServiceEntries(s.Addr)[0]
	if s.Name != "" {
		e.Host = s.Name
	}
	if s.SlowStartWindow > 0 {
		e.BornMS = float64(s.startedAt.UnixMilli())
	}
	return e
}

// ServeHTTP executes and answers a request according to the mode.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	mode, modeChanged := s.receive(r)
	switch mode {
	case Silent:
		select {
		case <-modeChanged:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	case Draining:
		s.reject(w)
		return
	case Resetting:
		breakConnection(w, "")
		return
	}
	if !s.acquireCore(r) {
		s.reject(w)
		return
	}
	defer func() { <-s.cores }()
	if !s.execute(r) {
		return // the request was cancelled while it waited for a core
	}
	switch mode {
	case Failing:
		w.WriteHeader(http.StatusInternalServerError)
	case Corrupting:
		breakConnection(w, "HTTP/1.1 2x0 what\r\nContent-Length: -1\r\n\r\n")
	default:
		text := r.Header.Get("Req-Id") + " " + string(body)
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(w, text)
	}
}

// receive counts a request. It returns the mode in which the request is answered, and a channel that is closed when
// the mode changes.
func (s *Server) receive(r *http.Request) (mode Mode, modeChanged <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Received++
	s.countArrival(time.Now())
	class, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if len(s.counts.ByClass) < maxClasses || s.counts.ByClass[class] > 0 {
		s.counts.ByClass[class]++
	}
	return s.mode, s.modeChanged
}

// acquireCore waits for a free core and occupies it. It returns false if the queue is full or the request was
// cancelled.
func (s *Server) acquireCore(r *http.Request) bool {
	select {
	case s.cores <- struct{}{}:
		return true
	default:
	}
	s.mu.Lock()
	if s.waiting >= s.Queue {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
	}()
	select {
	case s.cores <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

// execute executes a request. It returns false, and does nothing, if the request was cancelled before its execution.
func (s *Server) execute(r *http.Request) bool {
	if r.Context().Err() != nil {
		return false
	}
	speed := s.beginExecution(r)
	work := s.Work
	if us, err := strconv.ParseFloat(r.Header.Get("Req-Cost"), 64); err == nil && us > 0 {
		work = time.Duration(us * float64(time.Microsecond))
	}
	ctx := context.Background()
	if s.StopsOnCancel {
		ctx = r.Context()
	}
	t := time.NewTimer(time.Duration(float64(work) / speed))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
	return true
}

// beginExecution counts an execution and, unless the request is a duplicate, its effect. It returns the current
// speed of a core.
func (s *Server) beginExecution(r *http.Request) float64 {
	now := time.Now()
	key := r.Header.Get("Idempotency-Key")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Executed++
	if id := r.Header.Get("Req-Id"); r.Method != http.MethodGet {
		switch {
		case key == "":
			s.effects[id]++
		case s.Dedup.IsDuplicate(key, now, s.DedupWindow):
			s.counts.Deduplicated++
		default:
			s.effects[key]++
		}
	}
	return s.Speed * s.slowStartShare(now)
}

// slowStartShare returns the share of its full speed that the server has at a time. The caller holds mu.
func (s *Server) slowStartShare(now time.Time) float64 {
	if s.SlowStartShare <= 0 || s.SlowStartWindow <= 0 {
		return 1
	}
	return min(1, s.SlowStartShare+(1-s.SlowStartShare)*float64(now.Sub(s.startedAt))/float64(s.SlowStartWindow))
}

// reject answers that the request was not executed.
func (s *Server) reject(w http.ResponseWriter) {
	s.mu.Lock()
	s.counts.Rejected++
	s.mu.Unlock()
	w.Header().Set("Srv-Declined", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// breakConnection writes text instead of a response and leaves the connection open, or resets the connection if
// text is empty.
func breakConnection(w http.ResponseWriter, text string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if text != "" {
		_, _ = io.WriteString(c, text)
		return
	}
	if tc, ok := c.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	c.Close()
}
