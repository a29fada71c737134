package discovery

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/core"
)

// Why a call was ended.
var (
	errMoved   = errors.New("discovery has moved")
	errStalled = errors.New("no progress")
)

const (
	// maxConnections is how many connections to one discovery there may be: the call in progress, and one
	// that is being closed.
	maxConnections = 2
	// maxHeadBytes bounds the head of an answer.
	maxHeadBytes = 32 << 10
)

// Watcher keeps the watch on one discovery. Run has one goroutine; the other methods may be called by any.
type Watcher struct {
	poll          bool // calls cost discovery something: the first one waits for a request
	zones         Zones
	client        *http.Transport
	apply         func(kind decide.UpdateKind, endpoints []core.Endpoint) // set by Run
	watchRequests chan struct{}                                           // requests to watch; holds one
	log           *slog.Logger

	mu      sync.Mutex // guards what follows
	addr    string
	version uint64                  // the version that the next call asks from; 0 for all
	endCall context.CancelCauseFunc // of the last call; nil before it
}

// NewWatcher makes a watcher of the discovery at an address, from a version on. Where discovery is polled
// (poll), the first call waits for a request and a failure ends the watch; otherwise an agent pushes the lists
// and the watch begins by itself.
func NewWatcher(addr string, version uint64, poll bool, zones Zones, log *slog.Logger) *Watcher {
	return &Watcher{
		addr: addr, version: version, poll: poll, zones: zones, watchRequests: make(chan struct{}, 1), log: log,
		client: &http.Transport{
			DialContext:            (&net.Dialer{Timeout: maxDialTime, KeepAlive: -1}).DialContext,
			MaxConnsPerHost:        maxConnections,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeadBytes,
			IdleConnTimeout:        watchWait,
		},
	}
}

// StartWatch has a watch begun. It does not block.
func (w *Watcher) StartWatch() {
	select {
	case w.watchRequests <- struct{}{}:
	default: // a request waits already
	}
}

// SetAddress goes over to another discovery. The one left may fall silent at any moment, so that its call is not
// waited for and the new one is called at once, requested or not. Versions are each discovery's own: the first
// call asks for all.
func (w *Watcher) SetAddress(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if addr == w.addr {
		return
	}
	w.addr, w.version = addr, 0
	if w.endCall != nil {
		w.endCall(errMoved)
	}
	w.StartWatch()
}

// beginCall notes the call that SetAddress is to end, and says which discovery it goes to and the version that it
// asks from.
func (w *Watcher) beginCall(end context.CancelCauseFunc) (addr string, version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endCall = end
	select {
	case <-w.watchRequests: // this call carries it out
	default:
	}
	return w.addr, w.version
}

// noteVersion notes the version that a discovery has served, if it still is the node's.
func (w *Watcher) noteVersion(addr string, version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if addr == w.addr {
		w.version = version
	}
}

// Run watches until ctx ends, and applies the updates that come. After a failure awaitRetry says when the
// next call is made.
func (w *Watcher) Run(ctx context.Context, apply func(kind decide.UpdateKind, endpoints []core.Endpoint)) {
	w.apply = apply
	defer w.client.CloseIdleConnections()
	if w.poll && !w.awaitRequest(ctx, nil) {
		return
	}
	stalls := 0 // in a row
	for {
		began := time.Now()
		err := w.call(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			stalls = 0
			if !sleep(ctx, minCallInterval-time.Since(began)) {
				return
			}
			continue
		case errors.Is(err, errMoved):
			w.client.CloseIdleConnections()
			continue
		case errors.Is(err, errStalled):
			w.client.CloseIdleConnections() // they may be as silent as this one
			stalls++
		default:
			stalls = 0
		}
		w.log.Warn("discovery call failed", "err", err)
		if !w.awaitRetry(ctx, began, stalls) {
			return
		}
	}
}
