// Package discovery keeps the list of servers that the platform's discovery, or
// one in its form, tells of.
package discovery

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"sync"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/core"
)

const (
	// watchWait is how long a watch asks discovery to hold its answer. It bounds
	// how long a watch fallen silent goes unnoticed: a release runs its course in
	// some seconds, and a node that misses it sends to servers that have gone. It
	// could do harm where discovery counts a call that goes on with a watch as work.
	watchWait = 3 * time.Second
	// watchMargin is how much later an answer may come before the watch counts
	// as silent: what it hid counts as told 2 s after the wait.
	watchMargin = time.Second
	// bodyStall is how long an answer that has begun may pause, and bodyMost how long it may
	// take in all: half of the 6 s after which what a silent watch hid counts as told.
	bodyStall = time.Second
	bodyMost  = 3 * time.Second
	// longestApart is the longest from one call's beginning to the next one's, whatever ended it and
	// however long the module waits after a failure: a change counts as told 6 s after discovery had
	// it and could be reached. What is left is for the next call's connection and its answer.
	longestApart = 5 * time.Second
	// dialMost is how long a connection may take to come up.
	dialMost = time.Second
	// watchPace keeps a discovery that answers at once with nothing new from
	// being flooded; it must stay under 200 ms for the watch to go on.
	watchPace = 100 * time.Millisecond
	// agentRetry is the pause after a failed call to the agent of a push
	// deployment: the call costs it nothing, and no module orders the next one.
	agentRetry = 200 * time.Millisecond
	// maxList bounds an answer: a whole list takes some 150 bytes a server.
	maxList = 16 << 20
	// yieldEvery is after how many servers the decoder gives the thread up.
	yieldEvery = 32
	// maxHead bounds the head of an answer, in bytes.
	maxHead = 32 << 10
)

// entry is one server as discovery tells of it. The names are tagged, also where case alone differs:
// decoding by the exact name costs a fifth less.
type entry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS float64 `json:"born_ms"`
}

// List is an answer of discovery, or one that was kept.
type List struct {
	Seq       uint64
	Endpoints []core.Endpoint
	whole     bool
}

// Zones numbers zones by their names.
type Zones map[string]int

// number gives a zone's position, or one past all for a zone never heard of: its
// servers are served like any in another zone.
func (z Zones) number(name string) int {
	if i, ok := z[name]; ok {
		return i
	}
	return math.MaxUint8 + 1
}

// Parse reads a list that was kept.
func Parse(text []byte, zones Zones) (List, error) {
	return decodeList(bytes.NewReader(text), zones, nil)
}

func (e *entry) check() error {
	if e.Host == "" {
		return errors.New("an entry without a host")
	}
	if e.condition() != decide.Gone {
		if _, err := netip.ParseAddrPort(e.Dial); err != nil {
			return fmt.Errorf("host %q: dial %q is not an address and port", e.Host, e.Dial)
		}
	}
	if e.BornMS < 0 || e.BornMS > 1e15 {
		return fmt.Errorf("host %q: born_ms %v is not a usable time", e.Host, e.BornMS)
	}
	return nil
}

// host is the entry as the core has it.
func (e *entry) host(zones Zones) core.Endpoint {
	return core.Endpoint{
		Name: e.Host, Addr: e.Dial, Zone: zones.number(e.Site), Cell: e.Block,
		State: e.condition(), Capacity: e.Share, StartedAtMS: e.BornMS,
	}
}

// condition reads the health. A word not known is taken for a drain: nothing new
// goes there, and it may finish what it has.
func (e *entry) condition() decide.ServerState {
	switch e.Health {
	case "in_service":
		return decide.Ready
	case "terminated":
		return decide.Gone
	}
	return decide.Draining
}

// decodeList reads an answer entry by entry and calls each for every one as soon
// as it has come: what came whole before a break is true. It gives the thread up now and then.
func decodeList(r io.Reader, zones Zones, each func(core.Endpoint)) (List, error) {
	var l List
	dec := json.NewDecoder(r)
	if err := expect(dec, '{'); err != nil {
		return l, err
	}
	seen := 0
	for dec.More() {
		key, err := dec.Token()
		if err != nil {
			return l, fmt.Errorf("list: %w", err)
		}
		switch key {
		case "seq":
			err = dec.Decode(&l.Seq)
			seen |= 1
		case "whole":
			err = dec.Decode(&l.whole)
			seen |= 2
		case "hosts":
			err = l.decodeHosts(dec, zones, each)
			seen |= 4
		default:
			err = dec.Decode(new(json.RawMessage))
		}
		if err != nil {
			return l, fmt.Errorf("list: field %v: %w", key, err)
		}
	}
	if seen != 7 {
		return l, errors.New("list: wants seq, whole and hosts")
	}
	return l, expect(dec, '}')
}

func (l *List) decodeHosts(dec *json.Decoder, zones Zones, each func(core.Endpoint)) error {
	if err := expect(dec, '['); err != nil {
		return err
	}
	for dec.More() {
		var e entry
		if err := dec.Decode(&e); err != nil {
			return err
		}
		if err := e.check(); err != nil {
			return err
		}
		h := e.host(zones)
		l.Endpoints = append(l.Endpoints, h)
		if each != nil {
			each(h)
		}
		if len(l.Endpoints)%yieldEvery == 0 {
			runtime.Gosched() // a long list must not keep the thread from requests
		}
	}
	return expect(dec, ']')
}

func expect(dec *json.Decoder, want json.Delim) error {
	tok, err := dec.Token()
	if err != nil {
		return fmt.Errorf("list: %w", err)
	}
	if tok != want {
		return fmt.Errorf("list: %v where %v should stand", tok, want)
	}
	return nil
}

// Why a call was ended.
var (
	errMoved   = errors.New("discovery has moved")
	errStalled = errors.New("no progress")
)

// Watcher keeps the watch on one discovery.
type Watcher struct {
	ask    bool
	zones  Zones
	client *http.Transport
	tell   func(kind decide.UpdateKind, hosts []core.Endpoint)
	start  chan struct{} // orders to watch
	log    *slog.Logger

	mu    sync.Mutex
	addr  string
	seq   uint64
	leave context.CancelCauseFunc // ends the call that is out
}

// NewWatcher makes a watcher of the discovery at an address, from a version on.
// Where discovery is asked, the first watch waits for an order (Order) and a failure
// ends it; otherwise an agent pushes the lists and the watch begins by itself.
func NewWatcher(addr string, seq uint64, ask bool, zones Zones, log *slog.Logger) *Watcher {
	return &Watcher{
		addr: addr, seq: seq, ask: ask, zones: zones, start: make(chan struct{}, 1), log: log,
		client: &http.Transport{
			DialContext:     (&net.Dialer{Timeout: dialMost, KeepAlive: -1}).DialContext,
			MaxConnsPerHost: 2, DisableCompression: true, MaxResponseHeaderBytes: maxHead, IdleConnTimeout: watchWait,
		},
	}
}

// Order has a watch begun.
func (w *Watcher) Order() {
	select {
	case w.start <- struct{}{}:
	default: // an order already waits
	}
}

// Move goes over to another discovery. The one left may fall silent at any
// moment, so that its call is not waited for and the new one is called at once,
// order or not. Versions are each discovery's own: the first call asks for all.
func (w *Watcher) Move(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if addr == w.addr {
		return
	}
	w.addr, w.seq = addr, 0
	if w.leave != nil {
		w.leave(errMoved)
	}
	w.Order()
}

// dial notes which discovery a call goes to, and the version it asks from.
func (w *Watcher) dial(leave context.CancelCauseFunc) (addr string, seq uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leave = leave
	select {
	case <-w.start: // this call carries it out
	default:
	}
	return w.addr, w.seq
}

// told notes the version that discovery has told, if it still is the node's.
func (w *Watcher) told(addr string, seq uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if addr == w.addr {
		w.seq = seq
	}
}

// Run watches until the context ends, and tells what it hears. A failure ends the watch; the next one is
// the module's to order, no later than longestApart, or follows by itself where an agent pushes lists.
func (w *Watcher) Run(ctx context.Context, tell func(kind decide.UpdateKind, hosts []core.Endpoint)) {
	w.tell = tell
	defer w.client.CloseIdleConnections()
	if w.ask && !w.rest(ctx, nil) {
		return
	}
	for stalls := 0; ; { // in a row
		began := time.Now()
		err := w.call(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			stalls = 0
			if !pause(ctx, watchPace-time.Since(began)) {
				return
			}
			continue
		case errors.Is(err, errMoved):
			w.client.CloseIdleConnections()
			continue
		}
		w.log.Warn("discovery call failed", "err", err)
		if !errors.Is(err, errStalled) {
			stalls = 0
		} else {
			// What a silent watch hid counts as told soon: it is opened anew at once, and not
			// when the module has waited as after a failure. A second in a row is one.
			w.client.CloseIdleConnections()
			if stalls++; stalls == 1 {
				continue
			}
		}
		next := agentRetry
		if w.ask {
			w.tell(decide.UpdateFailed, nil)
			next = longestApart - time.Since(began)
		}
		if !w.rest(ctx, time.After(next)) {
			return
		}
	}
}

// rest waits for an order, or until a moment if that is sooner. It says false where the context ended
// first.
func (w *Watcher) rest(ctx context.Context, until <-chan time.Time) bool {
	select {
	case <-w.start:
	case <-until:
	case <-ctx.Done():
		return false
	}
	return true
}

// pause waits, and says false where the context ended first.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// call makes one call of the watch and passes on what it tells.
func (w *Watcher) call(ctx context.Context) (err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	addr, seq := w.dial(cancel)
	defer func() {
		if cause := context.Cause(ctx); err != nil && cause != nil {
			err = cause
		}
	}()
	// A watch that falls silent, before its answer or within it, stays open.
	stall := time.AfterFunc(watchWait+watchMargin, func() { cancel(errStalled) })
	defer stall.Stop()
	url := fmt.Sprintf("http://%s/discovery/hosts?after=%d&wait_ms=%d", addr, seq, watchWait.Milliseconds())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("watch: %w", err)
	}
	resp, err := w.client.RoundTrip(req)
	if err != nil {
		return fmt.Errorf("watch: %w", err)
	}
	defer resp.Body.Close()
	whole := time.AfterFunc(bodyMost, func() { cancel(errStalled) }) // it may trickle for ever
	defer whole.Stop()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("watch: status %d", resp.StatusCode)
	}
	// Until the end shows that the list is whole its entries are changes.
	began := time.Now()
	a := newAnswer(ctx, resp.Body, func() { stall.Reset(bodyStall) }, func(hosts []core.Endpoint) { w.tell(decide.UpdateDelta, hosts) })
	l, err := decodeList(a, w.zones, a.add)
	switch {
	case err != nil:
		a.flush()
		return err
	case l.whole:
		w.tell(decide.UpdateFull, l.Endpoints)
	default:
		w.tell(decide.UpdateDelta, a.fresh)
	}
	w.log.Log(ctx, levelOf(&l), "a list is in force", "version", l.Seq, "before", seq, "whole", l.whole, "named", len(l.Endpoints), "tells", a.tells+1, "took", time.Since(began))
	if l.Seq < seq && !l.whole {
		l.Seq = 0 // it began its count anew: what it knows is asked for as a whole
	}
	w.told(addr, l.Seq)
	return nil
}

// levelOf is the level at which a list is logged: whole ones are rare, and cost the most.
func levelOf(l *List) slog.Level {
	if l.whole {
		return slog.LevelInfo
	}
	return slog.LevelDebug
}
