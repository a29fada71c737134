package discovery

import (
	"context"
	"log/slog"
	"maps"
	"reflect"
	"sync"

	"jasperpin/decide"
	"jasperpin/internal/core"
)

// FeedOptions are the options of a Feed.
type FeedOptions struct {
	Servers   []core.Endpoint // the server list, if the configuration contains one
	Discovery string          // address of the discovery service; "" if the configuration contains the list
	Cached    List            // the cached list, applied before the first call
	Zones     Zones
	Poll      bool // discovery is polled; if false an agent pushes the lists
	Log       *slog.Logger
}

// ApplyUpdate applies an update of the endpoint list to a pool.
type ApplyUpdate func(decide.UpdateKind, []core.Endpoint)

// Feed distributes the updates of an endpoint list to pools, either from a list in the configuration or from
// discovery. Usually one pool subscribes; while a pool replaces another, both subscribe. Its methods must be called by
// one goroutine at a time, except for StartWatch, which may be called from any goroutine.
type Feed struct {
	options  FeedOptions
	watcher  *Watcher // nil if the configuration contains the list
	stop     context.CancelFunc
	watching sync.WaitGroup // the watcher's goroutine, for which the last Unsubscribe waits

	// mu serializes updates and subscriptions. It is held while an update is applied, so that a pool gets no update
	// after Unsubscribe has returned.
	mu               sync.Mutex
	subscribers      map[int]ApplyUpdate
	lastSubscription int
}

// NewFeed returns a feed without subscribers. Start starts it.
func NewFeed(options FeedOptions) *Feed {
	f := &Feed{options: options, stop: func() {}, subscribers: make(map[int]ApplyUpdate)}
	if options.Discovery != "" {
		f.watcher = NewWatcher(options.Discovery, options.Cached.Version, options.Poll, options.Zones, options.Log)
	}
	return f
}

// StartWatch requests a watch, for a polled discovery service. It does not block.
func (f *Feed) StartWatch() {
	if f.watcher != nil {
		f.watcher.StartWatch()
	}
}

// Start subscribes the first pool: it applies the servers that are known, and all updates until Unsubscribe is
// called with the returned subscription. It starts the watcher's goroutine.
func (f *Feed) Start(apply ApplyUpdate) (subscription int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	subscription = f.subscribe(apply)
	if f.watcher == nil {
		apply(decide.UpdateCached, f.options.Servers)
		return subscription
	}
	apply(decide.UpdateCached, f.options.Cached.Endpoints)
	var ctx context.Context
	ctx, f.stop = context.WithCancel(context.Background())
	f.watching.Go(func() { f.watcher.Run(ctx, f.apply) })
	return subscription
}

// Subscribe subscribes another pool, with the function that begin returns. No update is applied while begin runs, so it
// can create the pool and apply the servers known so far.
func (f *Feed) Subscribe(begin func() ApplyUpdate) (subscription int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.subscribe(begin())
}

// Follow subscribes a pool whose own feed this one replaces: it applies the list of the configuration, if there is one, and
// all updates until Unsubscribe.
func (f *Feed) Follow(apply ApplyUpdate) (subscription int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.watcher == nil {
		apply(decide.UpdateFull, f.options.Servers)
	}
	return f.subscribe(apply)
}

// subscribe adds a subscriber. The caller holds mu.
func (f *Feed) subscribe(apply ApplyUpdate) (subscription int) {
	f.lastSubscription++
	f.subscribers[f.lastSubscription] = apply
	return f.lastSubscription
}

// apply applies an update to all subscribers.
func (f *Feed) apply(kind decide.UpdateKind, endpoints []core.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, apply := range f.subscribers { // in any order: pools are independent of each other
		apply(kind, endpoints)
	}
}

// CanReconfigure reports whether Reconfigure can change this feed to other options: only the list, or the address of
// discovery, may differ.
func (f *Feed) CanReconfigure(other FeedOptions) bool {
	return (other.Discovery == "") == (f.watcher == nil) && other.Poll == f.options.Poll && maps.Equal(other.Zones, f.options.Zones)
}

// Reconfigure applies another list, or changes the address of discovery. A feed of a list cannot be changed to
// discovery, nor the reverse.
func (f *Feed) Reconfigure(servers []core.Endpoint, discovery string) {
	switch {
	case f.watcher != nil && discovery != f.options.Discovery:
		f.watcher.SetAddress(discovery)
	case f.watcher == nil && !reflect.DeepEqual(servers, f.options.Servers):
		f.apply(decide.UpdateFull, servers)
	}
	f.options.Servers, f.options.Discovery = servers, discovery
}

// Unsubscribe ends a subscription. No update is applied to its pool after Unsubscribe has returned. The last
// Unsubscribe ends the watch and waits for its goroutine.
func (f *Feed) Unsubscribe(subscription int) {
	f.mu.Lock()
	delete(f.subscribers, subscription)
	remaining := len(f.subscribers)
	f.mu.Unlock()
	if remaining == 0 {
		f.stop()
		f.watching.Wait()
	}
}
