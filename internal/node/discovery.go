package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"jasperpin/decide"
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
	// bodyStall is how long an answer that has begun may pause.
	bodyStall = time.Second
	// watchPace keeps a discovery that answers at once with nothing new from
	// being flooded; it must stay under 200 ms for the watch to go on.
	watchPace = 100 * time.Millisecond
	// agentRetry is the pause after a failed call to the agent of a push
	// deployment: the call costs it nothing, and no module orders the next one.
	agentRetry = 200 * time.Millisecond
	// maxList bounds an answer: a whole list takes some 150 bytes a server.
	maxList = 16 << 20
)

// entry is one server as discovery tells of it.
type entry struct {
	Host, Dial, Site string
	Block            int
	Health           string
	Share            float64
	BornMS           float64 `json:"born_ms"`
}

// hostList is an answer of discovery.
type hostList struct {
	seq   uint64
	whole bool
	hosts []entry
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

// condition reads the health. A word not known is taken for a drain: nothing new
// goes there, and it may finish what it has.
func (e *entry) condition() decide.Condition {
	switch e.Health {
	case "in_service":
		return decide.Ready
	case "terminated":
		return decide.Gone
	}
	return decide.Draining
}

// decodeList reads an answer entry by entry and calls each for every one as soon
// as it has come: what came whole before a break is true.
func decodeList(r io.Reader, each func(entry)) (hostList, error) {
	var l hostList
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
			err = dec.Decode(&l.seq)
			seen |= 1
		case "whole":
			err = dec.Decode(&l.whole)
			seen |= 2
		case "hosts":
			err = l.decodeHosts(dec, each)
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

func (l *hostList) decodeHosts(dec *json.Decoder, each func(entry)) error {
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
		l.hosts = append(l.hosts, e)
		if each != nil {
			each(e)
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

// errMoved ends a call to a discovery that is no longer the node's.
var errMoved = errors.New("discovery has moved")

// watcher keeps the watch on discovery.
type watcher struct {
	ask    bool // discovery is asked: the module orders the calls after a failure
	client *http.Transport
	tell   func(kind decide.ListKind, hosts []entry)
	start  chan struct{} // the module's orders
	log    *slog.Logger

	mu    sync.Mutex
	addr  string
	seq   uint64
	leave context.CancelCauseFunc // ends the call that is out
}

func newWatcher(cfg *Config, l *loop, log *slog.Logger) *watcher {
	return &watcher{
		addr: cfg.Discovery, ask: cfg.Settings.Ask, seq: cfg.Known.seq, tell: l.listed, start: l.watch, log: log,
		client: &http.Transport{
			DialContext:     (&net.Dialer{Timeout: time.Second, KeepAlive: -1}).DialContext,
			MaxConnsPerHost: 2, DisableCompression: true, MaxResponseHeaderBytes: maxHead, IdleConnTimeout: watchWait,
		},
	}
}

// move goes over to another discovery. The one left may fall silent at any
// moment, so that its call is not waited for and the new one is called at once,
// order or not. Versions are each discovery's own: the first call asks for all.
func (w *watcher) move(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if addr == w.addr {
		return
	}
	w.addr, w.seq = addr, 0
	if w.leave != nil {
		w.leave(errMoved)
	}
	select {
	case w.start <- struct{}{}:
	default: // an order already waits
	}
}

// dial notes which discovery a call goes to, and the version it asks from.
func (w *watcher) dial(leave context.CancelCauseFunc) (addr string, seq uint64) {
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
func (w *watcher) told(addr string, seq uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if addr == w.addr {
		w.seq = seq
	}
}

// run watches until the context ends. A failure ends the watch; the next one is
// the module's to order, or follows by itself where an agent pushes lists.
func (w *watcher) run(ctx context.Context) {
	defer w.client.CloseIdleConnections()
	for {
		if w.ask {
			select {
			case <-w.start:
			case <-ctx.Done():
				return
			}
		}
		for {
			began := time.Now()
			err := w.call(ctx)
			if ctx.Err() != nil {
				return
			}
			if errors.Is(err, errMoved) {
				w.client.CloseIdleConnections()
				continue
			}
			if err != nil {
				w.log.Warn("discovery call failed", "err", err)
				break
			}
			if !pause(ctx, watchPace-time.Since(began)) {
				return
			}
		}
		if w.ask {
			w.tell(decide.ListFailed, nil)
		} else if !pause(ctx, agentRetry) {
			return
		}
	}
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
func (w *watcher) call(ctx context.Context) (err error) {
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
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("watch: status %d", resp.StatusCode)
	}
	// Entries are told before each wait for more, so that an answer that stops in
	// the middle has told all that came whole. They are changes until the end
	// shows that the list is whole.
	var fresh []entry
	r := readerFunc(func(p []byte) (int, error) {
		if len(fresh) > 0 {
			w.tell(decide.ListDelta, fresh)
			fresh = nil
		}
		stall.Reset(bodyStall)
		return resp.Body.Read(p)
	})
	l, err := decodeList(io.LimitReader(r, maxList), func(e entry) { fresh = append(fresh, e) })
	switch {
	case err != nil:
		if len(fresh) > 0 {
			w.tell(decide.ListDelta, fresh)
		}
		return err
	case l.whole:
		w.tell(decide.ListFull, l.hosts)
	default:
		w.tell(decide.ListDelta, fresh)
	}
	w.told(addr, l.seq)
	return nil
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
