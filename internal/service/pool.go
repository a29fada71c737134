package service

import (
	"hash/fnv"
	"log/slog"
	"net/url"
	"sync"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/config"
	"jasperpin/internal/core"
	"jasperpin/internal/discovery"
	"jasperpin/internal/metrics"
)

// Pool is a configured pool.
type Pool struct {
	*core.Pool
	Name    string
	Plain   bool  // the servers of the pool use plain HTTP, not the platform's protocol
	MaxBody int64 // the longest request or response body, in bytes
	classes map[string]int
	counts  []*metrics.Class // counts by class
	runtime *poolRuntime
	queue   *admissionQueue // shared with the pool of the same name that this one replaces
}

// Class returns the index of the class with a name, which may be escaped as in a path.
func (p *Pool) Class(name string) (int, bool) {
	i, ok := p.classes[name]
	if !ok {
		if unescaped, err := url.PathUnescape(name); err == nil {
			i, ok = p.classes[unescaped]
		}
	}
	return i, ok
}

// ClassMetrics returns the metrics of the class with an index.
func (p *Pool) ClassMetrics(class int) *metrics.Class { return p.counts[class] }

// poolRuntime is a core pool with its configuration, the discovery feed of its servers, and its health.
type poolRuntime struct {
	name          string
	maxRetryAfter time.Duration // the longest Retry-After of a rejection
	maxAttempts   int           // maximum number of attempts of a request
	config        *config.Pool  // guarded by the Set's mu
	core          *core.Pool
	shared        *sharedStates // released by close
	health        poolHealth

	feedMu       sync.Mutex // guards the following fields; feed and subscription are written with the Set's mu held too
	feed         *discovery.Feed
	subscription int // the id of the pool's subscription to the feed
	closed       bool
}

// newPool returns a new pool and starts its feed. The pool takes over the learned state of the pool that it
// replaces: previous is that pool in this process, known is its snapshot, which may come from a predecessor
// process; either may be nil.
func (s *Set) newPool(configured *config.Pool, previous *Pool, known *core.Snapshot) *Pool {
	log := s.log
	if s.budgets != nil {
		log = log.With("pool", configured.Name)
	}
	options := configured.Feed(log)
	if known != nil && configured.Discovery != "" { // the known list is newer than the list in the configuration
		options.Cached = discovery.List{Endpoints: known.Endpoints}
	}
	runtime := &poolRuntime{name: configured.Name, maxRetryAfter: configured.Settings.MaxRetryAfter, maxAttempts: configured.Settings.MaxAttempts, config: configured, shared: s.shared}
	sharesFeed := previous != nil && previous.runtime.feed.CanReconfigure(options)
	if sharesFeed {
		runtime.feed = previous.runtime.feed
	} else {
		runtime.feed = discovery.NewFeed(options)
	}
	counts := s.classMetrics(configured)
	settings := s.coreSettings(configured, runtime.feed, counts, known, log)
	if sharesFeed {
		runtime.joinFeed(settings, previous)
	} else {
		runtime.core = core.NewPool(settings)
		runtime.subscription = runtime.feed.Start(runtime.core.UpdateEndpoints)
	}
	if s.fleetPosition != nil {
		runtime.core.SetFleetPosition(*s.fleetPosition)
	}
	return &Pool{
		Pool: runtime.core, Name: configured.Name, Plain: configured.PlainHTTP, MaxBody: configured.MaxBodyBytes,
		classes: configured.Classes, counts: counts, runtime: runtime,
	}
}

// classMetrics returns the metrics of a pool's classes, by class.
func (s *Set) classMetrics(c *config.Pool) []*metrics.Class {
	counts := make([]*metrics.Class, len(c.Settings.Classes))
	for name, i := range c.Classes {
		counts[i] = s.Metrics.Class(name)
	}
	return counts
}

func (s *Set) coreSettings(c *config.Pool, feed *discovery.Feed, counts []*metrics.Class, known *core.Snapshot, log *slog.Logger) core.Settings {
	settings := core.Settings{
		Balancer: c.Settings, Seed: s.seed ^ seedOfName(c.Name), Upstream: s.newUpstream(c), WatchEndpoints: feed.StartWatch, Log: log,
		RequestWritten: func(class int) { counts[class].Forwarded.Add(1) },
		Shared:         s.shared.acquire(c.Name), ClassNames: c.ClassNames(), Snapshot: known, Violations: s.Metrics.Violations,
	}
	if s.newPlacer != nil {
		settings.Placer = s.newPlacer(c)
	}
	return settings
}

// joinFeed creates the core pool and subscribes it to the feed of the pool that it replaces, with the state that
// the previous pool has at this moment: the feed applies no update in between.
func (r *poolRuntime) joinFeed(settings core.Settings, previous *Pool) {
	r.subscription = r.feed.Subscribe(func() discovery.ApplyUpdate {
		snapshot := previous.Snapshot()
		settings.Snapshot = &snapshot
		r.core = core.NewPool(settings)
		r.core.UpdateEndpoints(decide.UpdateCached, snapshot.Endpoints)
		return r.core.UpdateEndpoints
	})
	r.feed.Reconfigure(r.config.Servers, r.config.Discovery)
}

// seedOfName returns a number by which a pool's seed differs from the node's, so that the pools of a node draw
// different random numbers. The single pool of a node without budgets has no name and uses the node's seed.
func seedOfName(name string) uint64 {
	if name == "" {
		return 0
	}
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// update applies a configuration to the running pool. It returns false, and changes nothing, if the pool must be
// replaced.
func (r *poolRuntime) update(c *config.Pool) bool {
	if !c.CanContinue(r.config) {
		return false
	}
	r.config = c
	r.feed.Reconfigure(c.Servers, c.Discovery)
	return true
}

// follow makes a pool that drains use the feed of the current pool of its name, as it must not send to servers that end.
// It does nothing for a closed pool.
func (r *poolRuntime) follow(feed *discovery.Feed) {
	r.feedMu.Lock()
	defer r.feedMu.Unlock()
	if r.closed || r.feed == feed {
		return
	}
	replaced, subscription := r.feed, r.subscription
	r.feed, r.subscription = feed, feed.Follow(r.core.UpdateKnownEndpoints)
	replaced.Unsubscribe(subscription)
}

// close ends the subscription to the feed and then closes the pool, so that no update reaches a closed pool. It
// may be called twice.
func (r *poolRuntime) close() {
	r.feedMu.Lock()
	defer r.feedMu.Unlock()
	if r.closed {
		return
	}
	r.closed = true
	r.feed.Unsubscribe(r.subscription)
	r.core.Close()
	r.shared.release(r.name)
}
