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

// A server serves, rejects all work while it drains, never answers, answers
// 500, resets connections once it has the request, or sends a malformed answer.
const (
	Serving Mode = iota
	Draining
	Silent
	Erring
	Resetting
	Spoiling
)

// BoxSettings say what a server can do.
type BoxSettings struct {
	Name     string
	At       string  // where it listens; "" for any port
	Speed    float64 // of a core, against the yardstick's; 0 stands for 1
	Cores    int     // 0 stands for 1
	Queue    int     // requests that may wait for a core; requests beyond them are rejected
	ColdFrom float64 // share of its speed that it starts with; 0 for all
	Warm     time.Duration
	Up       time.Duration // how long it has been up, as it reports
	// Rule is the load it bears in slow start; arrivals are counted against it.
	Rule slowstart.Rule
	// Stops says that work under way ends when its attempt is cancelled.
	Stops bool
	// Work is what a request without Req-Cost takes on the yardstick.
	Work time.Duration
	// Window is how long repeats of an Idempotency-Key are dropped; 0 for never.
	Window time.Duration
	// Memory holds the keys. Servers that share one drop each other's repeats; nil
	// stands for one of its own.
	Memory *Memory
}

// Memory is what a group of servers remembers of keys.
type Memory struct {
	mu    sync.Mutex
	until map[string]time.Time
}

// NewMemory makes an empty memory.
func NewMemory() *Memory { return &Memory{until: make(map[string]time.Time)} }

// repeat says whether a key is remembered; otherwise it is from now on.
func (m *Memory) repeat(key string, now time.Time, window time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Before(m.until[key]) {
		return true
	}
	m.until[key] = now.Add(window)
	return false
}

// Box is a server of stated speed, cores and queue. It takes its time asleep, so
// that many fit one machine, and counts what has run.
type Box struct {
	BoxSettings
	Addr string

	cores chan struct{}

	mu            sync.Mutex
	srv           *http.Server
	closed        bool
	mode          Mode
	startedAt     time.Time
	announced     bool // discovery has announced its start
	currentStart  slowstart.Watch
	earlierStarts slowstart.Sum // those before
	waiting       int
	modeChanged   chan struct{}  // closed at the next change of mode
	effects       map[string]int // by key, where there is one, or else by id
	counts        Counts
}

// Counts are what a server has seen.
type Counts struct {
	Asked    int            // requests that came whole
	Class    map[string]int // of these, by the path's first part
	Ran      int            // work begun
	Waiting  int            // now, for a core
	Declined int
	Dropped  int // repeats of a key
}

// NewBox starts a server.
func NewBox(set BoxSettings) (*Box, error) {
	ln, err := listen(set.At)
	if err != nil {
		return nil, err
	}
	if set.Speed <= 0 {
		set.Speed = 1
	}
	set.Cores = max(set.Cores, 1)
	if set.Memory == nil {
		set.Memory = NewMemory()
	}
	b := &Box{
		BoxSettings: set, Addr: ln.Addr().String(), cores: make(chan struct{}, set.Cores), startedAt: time.Now().Add(-set.Up),
		modeChanged: make(chan struct{}), effects: make(map[string]int),
		counts: Counts{Class: make(map[string]int)}, currentStart: slowstart.Watch{Rule: set.Rule},
	}
	b.serve(ln)
	return b, nil
}

// Close kills the server: its connections break and new ones are refused.
func (b *Box) Close() error {
	b.mu.Lock()
	srv := b.srv
	b.closed = true
	b.mu.Unlock()
	return srv.Close()
}

// Turn changes how the server behaves. A request that waits in mode Silent is aborted.
func (b *Box) Turn(m Mode) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.mode = m
	close(b.modeChanged)
	b.modeChanged = make(chan struct{})
}

// Restart starts the server anew, in slow start. Where it was closed it listens at its address again.
// What it held runs on: it is cancelled by whoever waits for it.
func (b *Box) Restart() error {
	b.mu.Lock()
	b.earlierStarts.Add(&b.currentStart)
	b.startedAt, b.announced, b.currentStart = time.Now(), false, slowstart.Watch{Rule: b.Rule}
	closed := b.closed
	b.mu.Unlock()
	b.Turn(Serving)
	if !closed {
		return nil
	}
	ln, err := ListenAgain(b.Addr)
	if err != nil {
		return fmt.Errorf("a stand-in's port, again: %w", err)
	}
	b.serve(ln)
	return nil
}

// serve serves at a listener from now on.
func (b *Box) serve(ln net.Listener) {
	srv := &http.Server{Handler: b}
	b.mu.Lock()
	b.srv, b.closed = srv, false
	b.mu.Unlock()
	go func() { _ = srv.Serve(ln) }()
}

// Told says that discovery has announced its start to all nodes.
func (b *Box) Told() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.announced = true
}

// Starts tells how much of its slow-start budgets was used.
func (b *Box) Starts() slowstart.Sum {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := b.earlierStarts
	all.Add(&b.currentStart)
	return all
}

// countArrival counts a request in slow start, against the capacity it has then. The caller holds mu.
func (b *Box) countArrival(now time.Time) {
	if warmth := b.slowStartShare(now); b.Rule.Window > 0 && warmth < 1 && b.mode != Silent {
		rate := b.Speed * warmth * float64(b.Cores) / b.Work.Seconds()
		b.currentStart.Arrive(now.Sub(b.startedAt), rate, 1, b.announced)
	}
}

// Counts tells what the server has seen so far.
func (b *Box) Counts() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts
	c.Waiting = b.waiting
	c.Class = maps.Clone(c.Class)
	return c
}

// Effects adds to sum how often each unsafe or keyed request has taken effect: by
// its key, or its id where it has none.
func (b *Box) Effects(sum map[string]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, n := range b.effects {
		sum[id] += n
	}
}

// Entry is the server as discovery lists it.
func (b *Box) Entry() Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := Hosts(b.Addr)[0]
	if b.Name != "" {
		e.Host = b.Name
	}
	if b.Warm > 0 {
		e.BornMS = float64(b.startedAt.UnixMilli())
	}
	return e
}

func (b *Box) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	b.mu.Lock()
	b.counts.Asked++
	b.countArrival(time.Now())
	class, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if len(b.counts.Class) < 100 || b.counts.Class[class] > 0 {
		b.counts.Class[class]++
	}
	mode, turned := b.mode, b.modeChanged
	b.mu.Unlock()
	switch mode {
	case Silent:
		select {
		case <-turned:
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
	if !b.run(r) {
		return // cancelled while it waited
	}
	switch mode {
	case Erring:
		w.WriteHeader(http.StatusInternalServerError)
	case Spoiling:
		breakConnection(w, "HTTP/1.1 2x0 what\r\nContent-Length: -1\r\n\r\n")
	default:
		text := r.Header.Get("Req-Id") + " " + string(body)
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(w, text)
	}
}

// acquireCore takes a core, or says that there is the queue for one is full.
func (b *Box) acquireCore(r *http.Request) bool {
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

// run does the work. It says false where nobody waits for it any more and
// nothing has been done.
func (b *Box) run(r *http.Request) bool {
	if r.Context().Err() != nil {
		return false
	}
	now := time.Now()
	key := r.Header.Get("Idempotency-Key")
	b.mu.Lock()
	b.counts.Ran++
	if id := r.Header.Get("Req-Id"); r.Method != http.MethodGet {
		switch {
		case key == "":
			b.effects[id]++
		case b.Memory.repeat(key, now, b.Window):
			b.counts.Dropped++
		default:
			b.effects[key]++
		}
	}
	speed := b.Speed * b.slowStartShare(now)
	b.mu.Unlock()
	work := b.Work
	if us, err := strconv.ParseFloat(r.Header.Get("Req-Cost"), 64); err == nil && us > 0 {
		work = time.Duration(us * float64(time.Microsecond))
	}
	ctx := context.Background()
	if b.Stops {
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

// slowStartShare is the share of its speed that the server has by now. The caller holds mu.
func (b *Box) slowStartShare(now time.Time) float64 {
	if b.ColdFrom <= 0 || b.Warm <= 0 {
		return 1
	}
	return min(1, b.ColdFrom+(1-b.ColdFrom)*float64(now.Sub(b.startedAt))/float64(b.Warm))
}

func (b *Box) reject(w http.ResponseWriter) {
	b.mu.Lock()
	b.counts.Declined++
	b.mu.Unlock()
	w.Header().Set("Srv-Declined", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// breakConnection writes some bytes in place of an answer and breaks the connection, or
// leaves it open for good where there were any.
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
