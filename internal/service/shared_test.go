package service

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/config"
	"jasperpin/internal/core"
	"jasperpin/internal/discovery"
	"jasperpin/internal/metrics"
	"jasperpin/internal/requestid"
)

// replacedPools returns two configurations of the same pools, between which each pool must be replaced.
func replacedPools() [2]*config.Config {
	configs := [2]*config.Config{twoPools(), twoPools()}
	for i := range configs[1].Pools {
		configs[1].Pools[i].PlainHTTP = true
	}
	return configs
}

// checkOutOfRotation checks how many servers of the current pool of a name are out of rotation.
func checkOutOfRotation(t *testing.T, set *Set, pool string, want int) {
	t.Helper()
	if _, out := set.Pool(pool).CountServers(); out != want {
		t.Errorf("%d servers of pool %s are out of rotation, want %d", out, pool, want)
	}
}

// TestExclusionDuringReloads guards against an accepted call that is lost: servers are excluded and included while
// reloads replace their pool. After each call, the pool that is current then has applied it.
func TestExclusionDuringReloads(t *testing.T) {
	const calls = 300
	configs := replacedPools()
	set := newSet(t, configs[0])
	defer set.Close()
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for i := 1; ; i++ {
			select {
			case <-stop:
				return
			default:
			}
			if err := set.Apply(configs[i%len(configs)]); err != nil {
				t.Error(err)
			}
		}
	}()
	for range calls {
		if err := set.Exclude("a", "s"); err != nil {
			t.Errorf("excluding a server: got error %v, want none", err)
		}
		checkOutOfRotation(t, set, "a", 1)
		if err := set.Include("a", "s"); err != nil {
			t.Errorf("including a server: got error %v, want none", err)
		}
		checkOutOfRotation(t, set, "a", 0)
	}
	close(stop)
	<-stopped
}

// TestExclusionOfUnlistedServer guards against requests to a server that an operator has excluded at another process
// of the node: this process lists the server, or configures its pool, only after the call.
func TestExclusionOfUnlistedServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := twoPools()
		one := twoPools()
		one.Services, one.Pools = one.Services[:1], one.Pools[:1]
		set := newSet(t, one)
		defer set.Close()
		for _, call := range [][2]string{{"a", "later"}, {"b", "s"}} {
			if err := set.ExcludeUnlisted(call[0], call[1]); err != nil {
				t.Errorf("excluding server %s of pool %s: got error %v, want none", call[1], call[0], err)
			}
		}
		if err := set.Exclude("a", "unknown"); !errors.Is(err, core.ErrUnknownServer) {
			t.Errorf("excluding an unlisted server: got error %v, want ErrUnknownServer", err)
		}
		if err := set.Exclude("c", "s"); !errors.Is(err, ErrUnknownPool) {
			t.Errorf("excluding a server of an unknown pool: got error %v, want ErrUnknownPool", err)
		}
		all.Pools[0].Servers = append(all.Pools[0].Servers, core.Endpoint{Name: "later", Addr: "127.0.0.1:2", State: decide.Ready, Capacity: 1})
		if err := set.Apply(all); err != nil {
			t.Fatal(err)
		}
		checkOutOfRotation(t, set, "a", 1)
		checkOutOfRotation(t, set, "b", 1)
		synctest.Wait()
	})
}

// TestUnusedStatesAreRemoved: pools are removed, with nothing left, with a server excluded, and with an id that another
// process has in use and does not end. Only what a later pool of the name needs is kept, until it is not needed any more:
// the id for as long as a client may wait, as its request may have run.
func TestUnusedStatesAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		none := twoPools()
		none.Services, none.Pools = nil, nil
		set := newSet(t, twoPools())
		defer set.Close()
		id := requestid.Hash("x")
		if err := set.ApplyPeerRequestIDs("c", requestid.Predecessor, requestid.Update{Opened: id[:]}); err != nil {
			t.Fatal(err)
		}
		if err := set.Exclude("b", "s"); err != nil {
			t.Fatal(err)
		}
		if err := set.Apply(none); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		if a, b, c := set.shared.byName["a"], set.shared.byName["b"], set.shared.byName["c"]; a != nil || b == nil || c == nil {
			t.Errorf("states are %v, %v, %v, want only those with an exclusion and with an id", a, b, c)
		}
		if set.ForgetPeerRequestIDs(requestid.Predecessor); len(set.shared.byName) != 2 {
			t.Errorf("%d states, want those with an exclusion and with an id that its process has not ended", len(set.shared.byName))
		}
		time.Sleep(core.MaxClientTimeout + time.Second)
		if set.ForgetPeerRequestIDs(requestid.Predecessor); len(set.shared.byName) != 1 {
			t.Errorf("%d states, want only the one with an exclusion", len(set.shared.byName))
		}
	})
}

// failingUpstream answers each attempt after answerTime. While held, attempts wait until release is closed and then
// fail.
type failingUpstream struct {
	fakeUpstream
	held    atomic.Bool
	release chan struct{}
	cold    atomic.Int64 // attempts at the server with the address coldAddr
}

const (
	coldAddr   = "127.0.0.9:1"
	answerTime = 10 * time.Millisecond
)

func (u *failingUpstream) AddServer() core.Server { return u }

func (u *failingUpstream) Send(ctx context.Context, addr string, _ *core.Message, gate core.AttemptGate) (decide.Result, *core.Answer) {
	if _, ok := gate.Begin(); !ok {
		return core.ResultWithoutAnswer(ctx, true), nil
	}
	if addr == coldAddr {
		u.cold.Add(1)
	}
	if u.held.Load() {
		<-u.release
		return decide.Failed, nil
	}
	time.Sleep(answerTime)
	return decide.OK, &core.Answer{StatusCode: 200}
}

func endpoint(name, addr string) core.Endpoint {
	return core.Endpoint{Name: name, Addr: addr, State: decide.Ready, Capacity: 1}
}

// newFailingSet returns a set whose pools have one failingUpstream.
func newFailingSet(t *testing.T, cfg *config.Config) (*Set, *failingUpstream) {
	t.Helper()
	upstream := &failingUpstream{release: make(chan struct{})}
	set, err := New(cfg, fakeLimiter{}, func(*config.Pool) core.Upstream { return upstream }, nil, nil, metrics.New(), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return set, upstream
}

// submitToA submits a request to the current pool a.
func submitToA(t *testing.T, set *Set, id string) *core.OpenRequest {
	t.Helper()
	open, err := set.Pool("a").Submit(&core.Request{ID: id, ReceivedAt: time.Now(), Timeout: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	return open
}

// TestReplacedPoolLeavesServersInSlowStart guards against an overloaded cold server: a reload replaces a pool, or another
// process takes over, and continues with the pool's slow-start tokens. The requests that are open in the old pool fail,
// and none of them is retried at a server in slow start: these tokens would be spent twice. A new position in the fleet
// changes nothing.
func TestReplacedPoolLeavesServersInSlowStart(t *testing.T) {
	configs := replacedPools()
	for _, c := range configs {
		pool := &c.Pools[0]
		pool.Settings.MaxAttempts, pool.Settings.OverloadMultiple = 3, 3
		pool.Settings.SlowStartShare, pool.Settings.SlowStartWindow = 0.2, time.Hour
		pool.Settings.Classes[0].PriorityWeight = 1
		pool.Servers = []core.Endpoint{endpoint("cold", coldAddr), endpoint("s0", "127.0.0.1:1"), endpoint("s1", "127.0.0.1:2")}
	}
	for name, takeOver := range map[string]func(set *Set) error{
		"reload":      func(set *Set) error { return set.Apply(configs[1]) },
		"new process": func(set *Set) error { set.ReleaseQuota(); return nil },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				for _, c := range configs {
					c.Pools[0].Servers[0].StartedAtMS = float64(time.Now().UnixMilli())
				}
				set, upstream := newFailingSet(t, configs[0])
				defer set.Close()
				for i := range 1000 {
					<-submitToA(t, set, fmt.Sprint("warm", i)).Final()
					time.Sleep(answerTime)
				}
				if upstream.cold.Load() == 0 {
					t.Fatal("no request went to the cold server before, want some")
				}
				time.Sleep(time.Second) // in which tokens accrue
				upstream.held.Store(true)
				var open []*core.OpenRequest
				for i := range 8 {
					open = append(open, submitToA(t, set, fmt.Sprint("open", i)))
				}
				synctest.Wait()
				if err := takeOver(set); err != nil {
					t.Fatal(err)
				}
				set.SetFleetPosition(core.FleetPosition{Count: 1})
				before := upstream.cold.Load()
				upstream.held.Store(false)
				close(upstream.release)
				for _, r := range open {
					<-r.Final()
				}
				if got := upstream.cold.Load() - before; got > 0 {
					t.Errorf("%d retries of the old pool went to the cold server, want none", got)
				}
				time.Sleep(time.Minute) // lets the old pool's feed and timers end
			})
		})
	}
}

// TestDrainingPoolHearsOfEndingServers guards against a request to a server that is not listed any more: a reload replaces a
// pool with an open request, and the new list lacks a server, which the old pool does not use either. The new pool has the
// feed of the old one or, if the zones have changed, a feed of its own; a second reload has another one.
func TestDrainingPoolHearsOfEndingServers(t *testing.T) {
	for name, zones := range map[string][]discovery.Zones{
		"same feed":       {nil},
		"other feed":      {{"x": 0}},
		"third feed":      {{"x": 0}, {"y": 0}},
		"feed, then list": {{"x": 0}, {"x": 0}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				first := replacedPools()[0]
				first.Pools[0].Settings.MaxAttempts = 3
				first.Pools[0].Servers = []core.Endpoint{endpoint("s", "127.0.0.1:1"), endpoint("ending", coldAddr)}
				set, upstream := newFailingSet(t, first)
				defer set.Close()
				upstream.held.Store(true)
				var open []*core.OpenRequest
				for i := range 8 {
					open = append(open, submitToA(t, set, fmt.Sprint("open", i)))
				}
				synctest.Wait()
				for i, z := range zones {
					next := replacedPools()[(i+1)%2]
					next.Pools[0].Settings.MaxAttempts, next.Pools[0].Zones = 3, z
					next.Pools[0].Servers = first.Pools[0].Servers
					if i == len(zones)-1 {
						next.Pools[0].Servers = next.Pools[0].Servers[:1]
					}
					if err := set.Apply(next); err != nil {
						t.Fatal(err)
					}
				}
				before := upstream.cold.Load()
				upstream.held.Store(false)
				close(upstream.release)
				for _, r := range open {
					<-r.Final()
				}
				if got := upstream.cold.Load() - before; got > 0 || before == 0 {
					t.Errorf("%d retries went to a server that is not listed any more, want none; %d attempts before, want some", got, before)
				}
				time.Sleep(time.Minute) // lets the old pools' timers end
			})
		})
	}
}
