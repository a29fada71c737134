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

// FeedOptions say where a pool's servers come from.
type FeedOptions struct {
	Servers   []core.Endpoint // the list, where the configuration holds it
	Discovery string          // discovery's address otherwise; empty for a list
	Cached    List            // the cached list, in force before the first call
	Zones     Zones
	Poll      bool // discovery is polled; otherwise an agent pushes the lists
	Log       *slog.Logger
}

// ApplyUpdate applies an update of the servers.
type ApplyUpdate func(decide.UpdateKind, []core.Endpoint)

// Feed brings pools their servers: those of a list, or those that discovery serves. Mostly one pool has it;
// while one replaces another both do. Its methods are called by one goroutine at a time, but for StartWatch.
type Feed struct {
	options  FeedOptions
	watcher  *Watcher // nil for a list
	stop     context.CancelFunc
	watching sync.WaitGroup // the watcher's goroutine; the last Unsubscribe waits for it

	// mu orders updates and subscriptions. It is held while an update is applied, so that no pool is sent
	// anything once Unsubscribe has returned.
	mu               sync.Mutex
	subscribers      map[int]ApplyUpdate
	lastSubscription int
}

// NewFeed makes a feed that has brought nothing yet.
func NewFeed(options FeedOptions) *Feed {
	f := &Feed{options: options, stop: func() {}, subscribers: make(map[int]ApplyUpdate)}
	if options.Discovery != "" {
		f.watcher = NewWatcher(options.Discovery, options.Cached.Version, options.Poll, options.Zones, options.Log)
	}
	return f
}

// StartWatch has discovery watched, where that waits for a request. It does not block.
func (f *Feed) StartWatch() {
	if f.watcher != nil {
		f.watcher.StartWatch()
	}
}

// Start brings the first pool the servers that are known, and all updates until Unsubscribe, which takes the
// subscription that it returns. It starts the watcher's goroutine.
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

// Join subscribes another pool. No update is applied while begin makes it and shows it what is known so far.
func (f *Feed) Join(begin func() ApplyUpdate) (subscription int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.subscribe(begin())
}

// subscribe is called under the lock.
func (f *Feed) subscribe(apply ApplyUpdate) (subscription int) {
	f.lastSubscription++
	f.subscribers[f.lastSubscription] = apply
	return f.lastSubscription
}

// apply brings an update to all subscribers.
func (f *Feed) apply(kind decide.UpdateKind, endpoints []core.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, apply := range f.subscribers { // in any order: pools do not see each other
		apply(kind, endpoints)
	}
}

// Fits reports whether a pool that wants other options can have this feed: all that differs is a list, or the
// address of its discovery.
func (f *Feed) Fits(other FeedOptions) bool {
	return (other.Discovery == "") == (f.watcher == nil) && other.Poll == f.options.Poll && maps.Equal(other.Zones, f.options.Zones)
}

// Reconfigure takes another list, or another address of discovery. A list stays a list.
func (f *Feed) Reconfigure(servers []core.Endpoint, discovery string) {
	switch {
	case f.watcher != nil && discovery != f.options.Discovery:
		f.watcher.SetAddress(discovery)
	case f.watcher == nil && !reflect.DeepEqual(servers, f.options.Servers):
		f.apply(decide.UpdateFull, servers)
	}
	f.options.Servers, f.options.Discovery = servers, discovery
}

// Unsubscribe ends a subscription. Nothing is brought to its pool once it has returned. With the last one the watch
// ends, and Unsubscribe waits for its goroutine.
func (f *Feed) Unsubscribe(subscription int) {
	f.mu.Lock()
	delete(f.subscribers, subscription)
	left := len(f.subscribers)
	f.mu.Unlock()
	if left == 0 {
		f.stop()
		f.watching.Wait()
	}
}
