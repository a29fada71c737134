package service

import (
	"hash/fnv"
	"sync"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/config"
	"jasperpin/internal/core"
	"jasperpin/internal/discovery"
	"jasperpin/internal/metrics"
)

// owned is what belongs to a pool beside its core: the configuration it was made
// of and the feed of its servers.
type owned struct {
	name     string
	retry    time.Duration // the longest wait told to refused clients
	attempts int           // of a request, at the most
	cfg      *config.Pool  // guarded by the Set's lock
	pool     *core.Pool
	feed     *discovery.Feed
	heard    int // the pool's number at its feed
	health   health
	once     sync.Once
}

// begin makes a pool and starts what belongs to it. Where another is in its place, or was
// in another process, it goes on with what that one knew.
func (s *Set) begin(c *config.Pool, seed uint64, old *Pool, known *core.Snapshot) *Pool {
	log := s.log
	if s.budgets != nil {
		log = log.With("pool", c.Name)
	}
	from := c.Feed(log)
	if known != nil && c.Discovery != "" { // newer than what the configuration knows
		from.Known = discovery.List{Endpoints: known.Endpoints}
	}
	o := &owned{name: c.Name, retry: c.Settings.MaxRetryAfter, attempts: c.Settings.MaxAttempts, cfg: c}
	joins := old != nil && old.own.feed.Serves(from)
	if joins {
		o.feed = old.own.feed
	} else {
		o.feed = discovery.NewFeed(from)
	}
	counts := make([]*metrics.Class, len(c.Settings.Classes))
	for name, i := range c.Classes {
		counts[i] = s.Figures.Class(name)
	}
	set := core.Settings{
		Balancer: c.Settings, Seed: seed ^ nameSeed(c.Name), Upstream: s.make(c), Watch: o.feed.Order, Log: log,
		Wrote: func(class int) { counts[class].Relayed.Add(1) },
		Start: s.start, Classes: c.ClassNames(), Snapshot: known, Violations: s.Figures.Broken,
	}
	if s.guide != nil {
		set.Placer = s.guide(c)
	}
	if joins {
		o.heard = o.feed.Join(func() discovery.Tell {
			m := old.Snapshot() // of this moment: no news comes meanwhile
			set.Snapshot = &m
			o.pool = core.NewPool(set)
			o.pool.UpdateEndpoints(decide.UpdateCached, m.Endpoints)
			return o.pool.UpdateEndpoints
		})
		o.feed.Move(c.Servers, c.Discovery)
	} else {
		o.pool = core.NewPool(set)
		o.heard = o.feed.Start(o.pool.UpdateEndpoints)
	}
	if s.stand != nil {
		o.pool.SetFleetPosition(*s.stand)
	}
	return &Pool{Pool: o.pool, Name: c.Name, Plain: c.Plain, Body: c.Body, classes: c.Classes, counts: counts, own: o}
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

// update takes what may change in a pool that goes on. It says false where more
// has changed.
func (o *owned) update(c *config.Pool) bool {
	if !c.Continues(o.cfg) {
		return false
	}
	o.cfg = c
	o.feed.Move(c.Servers, c.Discovery)
	return true
}

// end ends a pool: the feed first, so that nothing is told to what is closed.
func (o *owned) end() {
	o.once.Do(func() {
		o.feed.Leave(o.heard)
		o.pool.Close()
	})
}
