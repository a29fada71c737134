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
	Servers   []core.Endpoint // where they are listed
	Discovery string          // its address otherwise
	Known     List            // what is known before the first call
	Zones     Zones
	Ask       bool
	Log       *slog.Logger
}

// Tell takes news of the servers.
type Tell func(decide.UpdateKind, []core.Endpoint)

// Feed brings pools their servers: those of a list, or those that discovery tells of.
// Mostly one pool has it; while one takes another's place both do.
type Feed struct {
	opt     FeedOptions
	watcher *Watcher // nil for a list
	stop    context.CancelFunc
	watched sync.WaitGroup

	mu    sync.Mutex // held while anything is told
	heard map[int]Tell
	last  int
}

// NewFeed makes a feed that has told nothing yet.
func NewFeed(opt FeedOptions) *Feed {
	f := &Feed{opt: opt, stop: func() {}, heard: make(map[int]Tell)}
	if opt.Discovery != "" {
		f.watcher = NewWatcher(opt.Discovery, opt.Known.Seq, opt.Ask, opt.Zones, opt.Log)
	}
	return f
}

// Order has discovery watched, where that waits for an order.
func (f *Feed) Order() {
	if f.watcher != nil {
		f.watcher.Order()
	}
}

// Start tells of the servers that are known, and of all news until Leave, for which it
// gives a number.
func (f *Feed) Start(tell Tell) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.join(tell)
	if f.watcher == nil {
		tell(decide.UpdateCached, f.opt.Servers)
		return n
	}
	tell(decide.UpdateCached, f.opt.Known.Endpoints)
	var ctx context.Context
	ctx, f.stop = context.WithCancel(context.Background())
	f.watched.Go(func() { f.watcher.Run(ctx, f.tell) })
	return n
}

// Join lets another pool hear. Nothing is told while begin makes it and shows it what is
// known so far.
func (f *Feed) Join(begin func() Tell) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.join(begin())
}

func (f *Feed) join(tell Tell) int {
	f.last++
	f.heard[f.last] = tell
	return f.last
}

func (f *Feed) tell(kind decide.UpdateKind, hosts []core.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, tell := range f.heard { // in any order: pools do not see each other
		tell(kind, hosts)
	}
}

// Serves says whether a pool that wants other options can have this feed: all that
// differs is a list, or the address of its discovery.
func (f *Feed) Serves(o FeedOptions) bool {
	return (o.Discovery == "") == (f.watcher == nil) && o.Ask == f.opt.Ask && maps.Equal(o.Zones, f.opt.Zones)
}

// Move takes another list, or another address of discovery. A list stays a list.
func (f *Feed) Move(servers []core.Endpoint, discovery string) {
	switch {
	case f.watcher != nil && discovery != f.opt.Discovery:
		f.watcher.Move(discovery)
	case f.watcher == nil && !reflect.DeepEqual(servers, f.opt.Servers):
		f.tell(decide.UpdateFull, servers)
	}
	f.opt.Servers, f.opt.Discovery = servers, discovery
}

// Leave ends what Start or Join began. Nothing is told to that pool once it has
// returned; with the last one the watch ends.
func (f *Feed) Leave(n int) {
	f.mu.Lock()
	delete(f.heard, n)
	left := len(f.heard)
	f.mu.Unlock()
	if left == 0 {
		f.stop()
		f.watched.Wait()
	}
}
