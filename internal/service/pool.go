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

// Pool is a pool under its name, as the configuration has it.
type Pool struct {
	*core.Pool
	Name    string
	Plain   bool  // its servers speak general HTTP, not the platform's protocol
	MaxBody int64 // the longest body, either way, in bytes
	classes map[string]int
	counts  []*metrics.Class // by class
	runtime *poolRuntime
	queue   *admissionQueue // kept by the pool's name, as its budgets are
}

// Class gives a class's position by its name, as it is or escaped as in a path.
func (p *Pool) Class(name string) (int, bool) {
	i, ok := p.classes[name]
	if !ok {
		if unescaped, err := url.PathUnescape(name); err == nil {
			i, ok = p.classes[unescaped]
		}
	}
	return i, ok
}

// ClassMetrics are the metrics of a class by its position.
func (p *Pool) ClassMetrics(class int) *metrics.Class { return p.counts[class] }

// poolRuntime is what belongs to one core pool: the configuration that it was made of, the feed of its
// servers, and how its requests end.
type poolRuntime struct {
	name          string
	maxRetryAfter time.Duration // the longest Retry-After sent to rejected clients
	maxAttempts   int           // of a request
	config        *config.Pool  // guarded by the Set's mu
	core          *core.Pool
	feed          *discovery.Feed
	subscription  int // the pool's number at its feed
	health        poolHealth
	closeOnce     sync.Once
}

// newPool makes a pool and starts what belongs to it. Where it replaces another, or one of a process
// before this one, it goes on with what that one knew; either may be nil.
func (s *Set) newPool(c *config.Pool, previous *Pool, known *core.Snapshot) *Pool {
	log := s.log
	if s.budgets != nil {
		log = log.With("pool", c.Name)
	}
	options := c.Feed(log)
	if known != nil && c.Discovery != "" { // newer than what the configuration knows
		options.Cached = discovery.List{Endpoints: known.Endpoints}
	}
	runtime := &poolRuntime{name: c.Name, maxRetryAfter: c.Settings.MaxRetryAfter, maxAttempts: c.Settings.MaxAttempts, config: c}
	sharesFeed := previous != nil && previous.runtime.feed.Fits(options)
	if sharesFeed {
		runtime.feed = previous.runtime.feed
	} else {
		runtime.feed = discovery.NewFeed(options)
	}
	counts := s.classMetrics(c)
	settings := s.coreSettings(c, runtime.feed, counts, known, log)
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
		Pool: runtime.core, Name: c.Name, Plain: c.PlainHTTP, MaxBody: c.MaxBodyBytes,
		classes: c.Classes, counts: counts, runtime: runtime,
	}
}

// classMetrics are the metrics of a pool's classes, by class.
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
		ClockStart:     s.start, ClassNames: c.ClassNames(), Snapshot: known, Violations: s.Metrics.Violations,
	}
	if s.newPlacer != nil {
		settings.Placer = s.newPlacer(c)
	}
	return settings
}

// joinFeed has the pool take over the feed of the one that it replaces, with what that one knows at this
// moment: no update comes meanwhile.
func (r *poolRuntime) joinFeed(settings core.Settings, previous *Pool) {
	r.subscription = r.feed.Join(func() discovery.ApplyUpdate {
		snapshot := previous.Snapshot()
		settings.Snapshot = &snapshot
		r.core = core.NewPool(settings)
		r.core.UpdateEndpoints(decide.UpdateCached, snapshot.Endpoints)
		return r.core.UpdateEndpoints
	})
	r.feed.Reconfigure(r.config.Servers, r.config.Discovery)
}

// seedOfName keeps the pools of one node from drawing the same random numbers. The one pool of a node
// without budgets has no name and keeps the node's seed.
func seedOfName(name string) uint64 {
	if name == "" {
		return 0
	}
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// update applies what may change in a pool that goes on. It returns false where more has changed, and
// the pool must be replaced.
func (r *poolRuntime) update(c *config.Pool) bool {
	if !c.CanContinue(r.config) {
		return false
	}
	r.config = c
	r.feed.Reconfigure(c.Servers, c.Discovery)
	return true
}

// close ends a pool: the feed first, so that nothing is sent to what is closed. It may be called twice.
func (r *poolRuntime) close() {
	r.closeOnce.Do(func() {
		r.feed.Unsubscribe(r.subscription)
		r.core.Close()
	})
}
