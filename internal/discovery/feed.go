package discovery

import (
	"context"
	"log/slog"
	"reflect"
	"sync"

	"jasperpin/decide"
	"jasperpin/internal/core"
)

// FeedOptions say where a pool's servers come from.
type FeedOptions struct {
	Servers   []core.Host // where they are listed
	Discovery string      // its address otherwise
	Known     List        // what is known before the first call
	Zones     Zones
	Ask       bool
	Log       *slog.Logger
}

// Feed brings a pool its servers: those of a list, or those that discovery tells of.
type Feed struct {
	opt     FeedOptions
	watcher *Watcher // nil for a list
	tell    func(decide.ListKind, []core.Host)
	stop    context.CancelFunc
	once    sync.Once
	watched sync.WaitGroup
}

// NewFeed makes a feed that has told nothing yet.
func NewFeed(opt FeedOptions) *Feed {
	f := &Feed{opt: opt, stop: func() {}}
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

// Start tells of the servers that are known, and of all news until Close.
func (f *Feed) Start(tell func(decide.ListKind, []core.Host)) {
	f.tell = tell
	if f.watcher == nil {
		tell(decide.ListCached, f.opt.Servers)
		return
	}
	tell(decide.ListCached, f.opt.Known.Hosts)
	var ctx context.Context
	ctx, f.stop = context.WithCancel(context.Background())
	f.watched.Go(func() { f.watcher.Run(ctx, tell) })
}

// Move takes another list, or another address of discovery. A list stays a list.
func (f *Feed) Move(servers []core.Host, discovery string) {
	switch {
	case f.watcher != nil && discovery != f.opt.Discovery:
		f.watcher.Move(discovery)
	case f.watcher == nil && !reflect.DeepEqual(servers, f.opt.Servers):
		f.tell(decide.ListFull, servers)
	}
	f.opt.Servers, f.opt.Discovery = servers, discovery
}

// Close ends the watch. Nothing is told once it has returned.
func (f *Feed) Close() {
	f.once.Do(func() {
		f.stop()
		f.watched.Wait()
	})
}
