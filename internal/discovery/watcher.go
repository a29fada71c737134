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

// Reasons for which a call was ended.
var (
	errAddressChanged = errors.New("discovery address changed")
	errStalled        = errors.New("discovery call stalled")
)

const (
	// maxConnections is the maximum number of connections to one discovery service: the call in progress, and a
	// connection that is being closed.
	maxConnections = 2
	// maxHeadBytes limits the head of an answer.
	maxHeadBytes = 32 << 10
)

// Watcher watches one discovery service. Run must be called by one goroutine; the other methods may be called from
// any goroutine.
type Watcher struct {
	poll          bool // calls cost the discovery service, so the first call waits for a request
	zones         Zones
	client        *http.Transport
	apply         func(kind decide.UpdateKind, endpoints []core.Endpoint) // set by Run
	watchRequests chan struct{}                                           // requests to start a watch; capacity 1
	log           *slog.Logger

	mu         sync.Mutex // guards the fields below
	addr       string
	version    uint64                  // last known version, sent with the next call; 0 requests a complete list
	cancelCall context.CancelCauseFunc // cancels the latest call; nil before the first call
}

// NewWatcher returns a watcher of the discovery service at an address, which starts from a known version. If poll
// is set, the service is polled: the first call waits for a request, and a failure ends the watch. Otherwise an
// agent pushes the lists, and the watch begins without a request.
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

// StartWatch requests a watch. It does not block.
func (w *Watcher) StartWatch() {
	select {
	case w.watchRequests <- struct{}{}:
	default: // a request is already pending
	}
}

// SetAddress switches to another discovery service. It cancels the call to the previous one, which may become
// silent at any time, and calls the new one at once, with or without a request. Versions are specific to each
// service, so the first call requests a complete list.
func (w *Watcher) SetAddress(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if addr == w.addr {
		return
	}
	w.addr, w.version = addr, 0
	if w.cancelCall != nil {
		w.cancelCall(errAddressChanged)
	}
	w.StartWatch()
}

// beginCall records the function with which SetAddress cancels the call, and returns the address and the version
// for the call.
func (w *Watcher) beginCall(cancel context.CancelCauseFunc) (addr string, version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancelCall = cancel
	select {
	case <-w.watchRequests: // this call fulfils the request
	default:
	}
	return w.addr, w.version
}

// recordVersion records the version that a discovery service has sent, if its address is still the current one.
func (w *Watcher) recordVersion(addr string, version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if addr == w.addr {
		w.version = version
	}
}

// Run watches until ctx is done, and applies each update. awaitRetry determines when the next call after a failure
// is made.
func (w *Watcher) Run(ctx context.Context, apply func(kind decide.UpdateKind, endpoints []core.Endpoint)) {
	w.apply = apply
	defer w.client.CloseIdleConnections()
	if w.poll && !w.awaitRequest(ctx, nil) {
		return
	}
	stalls := 0 // number of consecutive stalled calls
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
		case errors.Is(err, errAddressChanged):
			w.client.CloseIdleConnections()
			continue
		case errors.Is(err, errStalled):
			w.client.CloseIdleConnections() // other connections may be silent as well
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
