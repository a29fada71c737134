package service

import (
	"context"
	"hash/fnv"
	"reflect"
	"sync"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/config"
	"jasperpin/internal/core"
	"jasperpin/internal/discovery"
	"jasperpin/internal/limit"
)

// owned is what belongs to a pool beside its core: the configuration it was made
// of and the watch on its discovery.
type owned struct {
	name     string
	retry    time.Duration // the longest wait told to refused clients
	attempts int           // of a request, at the most
	cfg      *config.Pool  // guarded by the Set's lock
	pool     *core.Pool
	watcher  *discovery.Watcher // nil where the servers are listed
	health   health

	once    sync.Once
	stop    context.CancelFunc
	watched sync.WaitGroup
}

// begin makes a pool and starts what belongs to it.
func (s *Set) begin(c *config.Pool, seed uint64) *Pool {
	log := s.log
	if s.budgets != nil {
		log = log.With("pool", c.Name)
	}
	o := &owned{name: c.Name, retry: c.Settings.RetryAfterMost, attempts: c.Settings.MaxAttempts, cfg: c}
	set := core.Settings{Decide: c.Settings, Seed: seed ^ nameSeed(c.Name), Upstream: s.make(c), Log: log}
	if c.Discovery != "" {
		o.watcher = discovery.NewWatcher(c.Discovery, c.Known.Seq, c.Settings.Ask, c.Zones, log)
		set.Watch = o.watcher.Order
	}
	o.pool = core.NewPool(set)
	hosts := c.Servers
	if c.Discovery != "" {
		hosts = c.Known.Hosts
	}
	o.pool.Listed(decide.ListCached, hosts)
	ctx, stop := context.WithCancel(context.Background())
	o.stop = stop
	if o.watcher != nil {
		o.watched.Go(func() { o.watcher.Run(ctx, o.pool.Listed) })
	}
	return &Pool{Pool: o.pool, Name: c.Name, Plain: c.Plain, classes: c.Classes, own: o}
}

// nameSeed keeps the pools of one node from drawing the same numbers. The one
// pool of a node without budgets has no name and keeps the node's seed.
func nameSeed(name string) uint64 {
	if name == "" {
		return 0
	}
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// update takes what may change in a pool that goes on: its guaranteed part, its
// line, its servers and the address of its discovery. It says false where more has changed.
func (o *owned) update(c *config.Pool) bool {
	was, is := *o.cfg, *c
	was.Share, is.Share = 0, 0
	was.Gate, is.Gate = limit.GateSettings{}, limit.GateSettings{}
	was.Known, is.Known = discovery.List{}, discovery.List{}
	same := was.Discovery == is.Discovery && reflect.DeepEqual(was.Servers, is.Servers)
	if (was.Discovery == "") != (is.Discovery == "") {
		return false
	}
	was.Discovery, is.Discovery, was.Servers, is.Servers = "", "", nil, nil
	if !reflect.DeepEqual(was, is) {
		return false
	}
	o.cfg = c
	switch {
	case same:
	case o.watcher != nil:
		o.watcher.Move(c.Discovery)
	default:
		o.pool.Listed(decide.ListFull, c.Servers)
	}
	return true
}

// end ends a pool: the watch first, so that nothing is told to what is closed.
func (o *owned) end() {
	o.once.Do(func() {
		o.stop()
		o.watched.Wait()
		o.pool.Close()
	})
}
