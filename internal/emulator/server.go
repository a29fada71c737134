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

// Mode is how a box behaves.
type Mode uint8

// A box serves, turns all work away while it drains, says nothing at all, answers
// 500, resets connections once it has the request, or answers with noise.
const (
	Serving Mode = iota
	Draining
	Silent
	Erring
	Resetting
	Spoiling
)

// BoxSettings say what a box can do.
type BoxSettings struct {
	Name     string
	At       string  // where it listens; "" for any port
	Speed    float64 // of a core, against the yardstick's; 0 stands for 1
	Cores    int     // 0 stands for 1
	Queue    int     // requests that may wait for a core; beyond them work is declined
	ColdFrom float64 // part of its speed that it starts with; 0 for all
	Warm     time.Duration
	Up       time.Duration // for how long it has been up, as it tells
	// Rule is what it bears while it is cold: what comes is counted against it.
	Rule slowstart.Rule
	// Stops says that work under way ends when its attempt is called off.
	Stops bool
	// Work is what a request without Req-Cost takes on the yardstick.
	Work time.Duration
	// Window is how long repeats of an Idempotency-Key are dropped; 0 for never.
	Window time.Duration
	// Memory holds the keys. Boxes that share one drop each other's repeats; nil
	// stands for one of its own.
	Memory *Memory
}

// Memory is what a group of boxes remembers of keys.
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

	mu      sync.Mutex
	srv     *http.Server
	closed  bool
	mode    Mode
	born    time.Time
	told    bool // discovery has told of its start
	start   slowstart.Watch
	starts  slowstart.Sum // those before
	waiting int
	turned  chan struct{}  // closed at the next change of mode
	effects map[string]int // by key, where there is one, or else by id
	counts  Counts
}

// Counts are what a box has seen.
type Counts struct {
	Asked    int            // requests that came whole
	Class    map[string]int // of these, by the path's first part
	Ran      int            // work begun
	Waiting  int            // now, for a core
	Declined int
	Dropped  int // repeats of a key
}

// NewBox starts a box.
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
		BoxSettings: set, Addr: ln.Addr().String(), cores: make(chan struct{}, set.Cores), born: time.Now().Add(-set.Up),
		turned: make(chan struct{}), effects: make(map[string]int),
		counts: Counts{Class: make(map[string]int)}, start: slowstart.Watch{Rule: set.Rule},
	}
	b.serve(ln)
	return b, nil
}

// Close kills the box: its connections break and new ones are refused.
func (b *Box) Close() error {
	b.mu.Lock()
	srv := b.srv
	b.closed = true
	b.mu.Unlock()
	return srv.Close()
}

// Turn changes how the box behaves. What waits in silence goes on.
func (b *Box) Turn(m Mode) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.mode = m
	close(b.turned)
	b.turned = make(chan struct{})
}

// Restart has it begin anew, cold, and serve. Where it was closed it listens at its address again.
// What it held runs on: it is called off by whoever waits for it.
func (b *Box) Restart() error {
	b.mu.Lock()
	b.starts.Add(&b.start)
	b.born, b.told, b.start = time.Now(), false, slowstart.Watch{Rule: b.Rule}
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

// Told says that discovery has told all nodes of its start.
func (b *Box) Told() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.told = true
}

// Starts tells how its starts were held to their budgets.
func (b *Box) Starts() slowstart.Sum {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := b.starts
	all.Add(&b.start)
	return all
}

// arrived counts a request while the box is cold, against what it can do. The caller has its lock.
func (b *Box) arrived(now time.Time) {
	if warmth := b.warmth(now); b.Rule.Window > 0 && warmth < 1 && b.mode != Silent {
		rate := b.Speed * warmth * float64(b.Cores) / b.Work.Seconds()
		b.start.Arrive(now.Sub(b.born), rate, 1, b.told)
	}
}

// Counts tells what the box has seen so far.
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

// Entry is the box as discovery lists it.
func (b *Box) Entry() Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := Hosts(b.Addr)[0]
	if b.Name != "" {
		e.Host = b.Name
	}
	if b.Warm > 0 {
		e.BornMS = float64(b.born.UnixMilli())
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
	b.arrived(time.Now())
	class, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if len(b.counts.Class) < 100 || b.counts.Class[class] > 0 {
		b.counts.Class[class]++
	}
	mode, turned := b.mode, b.turned
	b.mu.Unlock()
	switch mode {
	case Silent:
		select {
		case <-turned:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	case Draining:
		b.decline(w)
		return
	case Resetting:
		hangUp(w, "")
		return
	}
	if !b.begin(r) {
		b.decline(w)
		return
	}
	defer func() { <-b.cores }()
	if !b.run(r) {
		return // called off while it waited
	}
	switch mode {
	case Erring:
		w.WriteHeader(http.StatusInternalServerError)
	case Spoiling:
		hangUp(w, "HTTP/1.1 2x0 what\r\nContent-Length: -1\r\n\r\n")
	default:
		text := r.Header.Get("Req-Id") + " " + string(body)
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(w, text)
	}
}

// begin takes a core, or says that there is no room to wait for one.
func (b *Box) begin(r *http.Request) bool {
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
	speed := b.Speed * b.warmth(now)
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

// warmth is the part of its speed that the box has by now. The caller has its lock.
func (b *Box) warmth(now time.Time) float64 {
	if b.ColdFrom <= 0 || b.Warm <= 0 {
		return 1
	}
	return min(1, b.ColdFrom+(1-b.ColdFrom)*float64(now.Sub(b.born))/float64(b.Warm))
}

func (b *Box) decline(w http.ResponseWriter) {
	b.mu.Lock()
	b.counts.Declined++
	b.mu.Unlock()
	w.Header().Set("Srv-Declined", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// hangUp writes some bytes in place of an answer and breaks the connection, or
// leaves it open for good where there were any.
func hangUp(w http.ResponseWriter, text string) {
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
