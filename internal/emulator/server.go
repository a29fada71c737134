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

// Mode is how a server behaves.
type Mode uint8

// The modes.
const (
	Serving    Mode = iota
	Draining        // all requests are rejected
	Silent          // requests are received and never answered
	Failing         // requests are executed and answered with 500
	Resetting       // the connection is reset once a request has been received
	Corrupting      // requests are executed and get a malformed answer
)

// ServerSettings say what a server can do. The zero value is a server of one core that listens at any port.
type ServerSettings struct {
	Name            string        // as discovery lists it; "" for one made of its address
	Listen          string        // address to listen at; "" for any port
	Speed           float64       // of a core, relative to a usual server's; 0 stands for 1
	Cores           int           // 0 stands for 1
	Queue           int           // requests that may wait for a core; further ones are rejected
	SlowStartShare  float64       // share of its speed that it starts with; 0 for no slow start
	SlowStartWindow time.Duration // until it has all its speed, growing linearly; 0 for no slow start
	Uptime          time.Duration // for how long it has been up already
	// Rule is the load that a server in slow start bears; arrivals are counted against it.
	Rule slowstart.Rule
	// StopsOnCancel says that execution ends when the attempt is cancelled; otherwise it runs to its end.
	StopsOnCancel bool
	// Work is how long a usual server executes a request without Req-Cost.
	Work time.Duration
	// DedupWindow is for how long duplicates of an Idempotency-Key are not executed; 0 for never.
	DedupWindow time.Duration
	// Dedup holds the keys. Servers that share one detect each other's duplicates; nil stands for one of
	// its own.
	Dedup *DedupMemory
}

// DedupMemory is the idempotency keys that servers of one dedup scope remember.
type DedupMemory struct {
	mu        sync.Mutex
	expiresAt map[string]time.Time // by key
}

// NewDedupMemory returns an empty memory.
func NewDedupMemory() *DedupMemory { return &DedupMemory{expiresAt: make(map[string]time.Time)} }

// IsDuplicate reports whether a key is remembered. If not, it is from now on, for a window.
func (m *DedupMemory) IsDuplicate(key string, now time.Time, window time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Before(m.expiresAt[key]) {
		return true
	}
	m.expiresAt[key] = now.Add(window)
	return false
}

// Server is a server of stated speed, cores and queue. It sleeps instead of computing, so that many fit on one
// machine, and counts what it has executed.
type Server struct {
	ServerSettings
	Addr string

	cores chan struct{}

	mu            sync.Mutex
	httpServer    *http.Server
	closed        bool
	mode          Mode
	startedAt     time.Time
	announced     bool // discovery has announced its start
	currentStart  slowstart.Monitor
	earlierStarts slowstart.Totals
	waiting       int            // requests that wait for a core
	modeChanged   chan struct{}  // closed at the next change of mode
	effects       map[string]int // executions, by key or, without one, by request id
	counts        Counts
}

// Counts are what a server has seen so far.
type Counts struct {
	Received     int            // requests received completely
	ByClass      map[string]int // of these, by the first element of the path
	Executed     int            // executions begun
	Waiting      int            // requests that wait for a core now
	Rejected     int            // requests rejected
	Deduplicated int            // duplicates of a key
}

// maxClasses bounds the classes that are counted apart.
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
	b := &Server{
		ServerSettings: set, Addr: ln.Addr().String(), cores: make(chan struct{}, set.Cores), startedAt: time.Now().Add(-set.Uptime),
		modeChanged: make(chan struct{}), effects: make(map[string]int),
		counts: Counts{ByClass: make(map[string]int)}, currentStart: slowstart.Monitor{Rule: set.Rule},
	}
	b.serve(ln)
	return b, nil
}

// Close closes the listener and all connections, as the end of the process would.
func (b *Server) Close() error {
	b.mu.Lock()
	srv := b.httpServer
	b.closed = true
	b.mu.Unlock()
	return srv.Close()
}

// SetMode changes how the server behaves. Requests that got no answer in mode Silent are aborted.
func (b *Server) SetMode(m Mode) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.mode = m
	close(b.modeChanged)
	b.modeChanged = make(chan struct{})
}

// Restart begins another slow start, as another process would, and listens again at the same address if
// the server was closed. Requests in execution go on until their clients cancel them.
func (b *Server) Restart() error {
	b.mu.Lock()
	b.earlierStarts.Add(&b.currentStart)
	b.startedAt, b.announced, b.currentStart = time.Now(), false, slowstart.Monitor{Rule: b.Rule}
	closed := b.closed
	b.mu.Unlock()
	b.SetMode(Serving)
	if !closed {
		return nil
	}
	ln, err := Relisten(b.Addr)
	if err != nil {
		return fmt.Errorf("listening again for an emulated server: %w", err)
	}
	b.serve(ln)
	return nil
}

// serve serves until Close. The goroutine ends with the listener.
func (b *Server) serve(ln net.Listener) {
	srv := &http.Server{Handler: b}
	b.mu.Lock()
	b.httpServer, b.closed = srv, false
	b.mu.Unlock()
	go func() { _ = srv.Serve(ln) }()
}

// MarkAnnounced notes that discovery has announced the present start to all nodes.
func (b *Server) MarkAnnounced() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.announced = true
}

// Starts returns how much of its slow start budgets was used, over all starts.
func (b *Server) Starts() slowstart.Totals {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := b.earlierStarts
	all.Add(&b.currentStart)
	return all
}

// countArrival counts a request in slow start, against the capacity it has then. The caller holds mu.
func (b *Server) countArrival(now time.Time) {
	if share := b.slowStartShare(now); b.Rule.Window > 0 && share < 1 && b.mode != Silent {
		rate := b.Speed * share * float64(b.Cores) / b.Work.Seconds()
		b.currentStart.Arrive(now.Sub(b.startedAt), rate, 1, b.announced)
	}
}

// Counts returns what the server has seen so far.
func (b *Server) Counts() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts
	c.Waiting = b.waiting
	c.ByClass = maps.Clone(c.ByClass)
	return c
}

// AddExecutions adds to sum how often each request that changes something was executed, by its key or, without
// one, its id.
func (b *Server) AddExecutions(sum map[string]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, n := range b.effects {
		sum[id] += n
	}
}

// Entry is the server as discovery is to list it.
func (b *Server) Entry() Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := InServiceEntries(b.Addr)[0]
	if b.Name != "" {
		e.Host = b.Name
	}
	if b.SlowStartWindow > 0 {
		e.BornMS = float64(b.startedAt.UnixMilli())
	}
	return e
}

// ServeHTTP executes and answers a request as the mode says.
func (b *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	mode, modeChanged := b.receive(r)
	switch mode {
	case Silent:
		select {
		case <-modeChanged:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	case Draining:
		b.reject(w)
		return
	case Resetting:
		breakConnection(w, "")
		return
	}
	if !b.acquireCore(r) {
		b.reject(w)
		return
	}
	defer func() { <-b.cores }()
	if !b.execute(r) {
		return // cancelled while it waited for a core
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

// receive counts a request, and returns the mode in which it is answered.
func (b *Server) receive(r *http.Request) (mode Mode, modeChanged <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts.Received++
	b.countArrival(time.Now())
	class, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if len(b.counts.ByClass) < maxClasses || b.counts.ByClass[class] > 0 {
		b.counts.ByClass[class]++
	}
	return b.mode, b.modeChanged
}

// acquireCore takes a core. It returns false if the queue is full or the request was cancelled.
func (b *Server) acquireCore(r *http.Request) bool {
	select {
	case b.cores <- struct{}{}:
		return true
	default:
	}
	b.mu.Lock()
	if b.waiting >= b.Queue {
		b.mu.Unlock()
		return false
	}
	b.waiting++
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		b.waiting--
		b.mu.Unlock()
	}()
	select {
	case b.cores <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

// execute executes a request. It returns false if it was cancelled before, and did nothing then.
func (b *Server) execute(r *http.Request) bool {
	if r.Context().Err() != nil {
		return false
	}
	speed := b.beginExecution(r)
	work := b.Work
	if us, err := strconv.ParseFloat(r.Header.Get("Req-Cost"), 64); err == nil && us > 0 {
		work = time.Duration(us * float64(time.Microsecond))
	}
	ctx := context.Background()
	if b.StopsOnCancel {
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

// beginExecution notes an execution, unless the request is a duplicate, and returns the present speed.
func (b *Server) beginExecution(r *http.Request) float64 {
	now := time.Now()
	key := r.Header.Get("Idempotency-Key")
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts.Executed++
	if id := r.Header.Get("Req-Id"); r.Method != http.MethodGet {
		switch {
		case key == "":
			b.effects[id]++
		case b.Dedup.IsDuplicate(key, now, b.DedupWindow):
			b.counts.Deduplicated++
		default:
			b.effects[key]++
		}
	}
	return b.Speed * b.slowStartShare(now)
}

// slowStartShare is the share of its speed that the server has now. The caller holds mu.
func (b *Server) slowStartShare(now time.Time) float64 {
	if b.SlowStartShare <= 0 || b.SlowStartWindow <= 0 {
		return 1
	}
	return min(1, b.SlowStartShare+(1-b.SlowStartShare)*float64(now.Sub(b.startedAt))/float64(b.SlowStartWindow))
}

// reject tells the node that the request was not executed.
func (b *Server) reject(w http.ResponseWriter) {
	b.mu.Lock()
	b.counts.Rejected++
	b.mu.Unlock()
	w.Header().Set("Srv-Declined", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// breakConnection writes a text in place of an answer and leaves the connection open, or resets the
// connection if the text is empty.
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
