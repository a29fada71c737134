package service

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/config"
	"jasperpin/internal/core"
	"jasperpin/internal/limit"
	"jasperpin/internal/metrics"
	"jasperpin/internal/route"
)

// fakeUpstream is an upstream that sends nothing.
type fakeUpstream struct{}

func (fakeUpstream) AddServer() core.Server { return fakeUpstream{} }
func (fakeUpstream) Close()                 {}
func (fakeUpstream) Invalidate()            {}
func (fakeUpstream) Send(context.Context, string, *core.Message, core.AttemptGate) (decide.Result, *core.Answer) {
	return decide.Failed, nil
}

// fakeLimiter is a ConnectionLimiter that limits nothing.
type fakeLimiter struct{}

func (fakeLimiter) Configure(int, map[string]int) error { return nil }
func (fakeLimiter) SetFaulty(string, bool)              {}

// twoPools returns a configuration of two services, a and b, each with a pool of the same name. Pool a is
// guaranteed a quarter of each resource, b half.
func twoPools() *config.Config {
	pool := func(name string, share float64) config.Pool {
		return config.Pool{
			Name: name, Share: share, Classes: map[string]int{"look": 0},
			Settings: decide.Settings{NodeCount: 1, MaxAttempts: 1, MaxRetryAfter: time.Second, Classes: []decide.Class{{LatencyObjective: time.Second, Deadline: time.Second}}},
			Servers:  []core.Endpoint{{Name: "s", Addr: "127.0.0.1:1", State: decide.Ready, Capacity: 1}},
		}
	}
	svc := func(name string) config.Service {
		return config.Service{Name: name, Routes: []route.Rule{{Service: name, Host: name + ".org", Targets: []route.Target{{Pool: name, Weight: 1}}}}}
	}
	return &config.Config{
		PoolsShareLimits: true, Limits: limit.Machine{Cores: 1, Memory: 64 << 20, Descriptors: 1024},
		Services: []config.Service{svc("a"), svc("b")}, Pools: []config.Pool{pool("a", 0.25), pool("b", 0.5)},
	}
}

// askFor returns an admission request with a number of body bytes and a deadline in a minute.
func askFor(bytes int) AdmissionRequest {
	return AdmissionRequest{BodyBytes: bytes, Deadline: time.Now().Add(time.Minute)}
}

// fill admits requests until one is rejected, and returns the admissions. The rejection must have a Retry-After.
func fill(t testing.TB, s *Set, target Target, bytes int) (admissions []*Admission) {
	t.Helper()
	for {
		p, err := s.Admit(t.Context(), target, askFor(bytes))
		if r := (*Rejection)(nil); errors.As(err, &r) {
			if r.TenantLimited || r.RetryAfter != time.Second {
				t.Errorf("request was rejected with %+v, want no tenant limit and a RetryAfter of 1s", r)
			}
			return admissions
		} else if err != nil {
			t.Fatal(err)
		}
		admissions = append(admissions, p)
	}
}

func releaseAll(admissions []*Admission, end Outcome) {
	for _, p := range admissions {
		p.Release(end)
	}
}

func newSet(t *testing.T, cfg *config.Config) *Set {
	t.Helper()
	s, err := New(cfg, fakeLimiter{}, func(*config.Pool) core.Upstream { return fakeUpstream{} }, nil, nil, metrics.New(), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

var someLook = route.Query{Path: "/look/1", Method: "GET"}

func find(t testing.TB, s *Set, host string) Target {
	t.Helper()
	target, err := s.Find(host, someLook)
	if err != nil {
		t.Fatal(err)
	}
	return target
}

// TestBodyBytesAreDividedAmongPools: two pools reserve as many bytes of bodies as they can. Each gets its guaranteed
// part and at most what the other's guarantee leaves, and all bytes are released.
func TestBodyBytesAreDividedAmongPools(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSet(t, twoPools())
		defer s.Close()
		all := limit.Machine{Memory: 64 << 20}.BodyBytes()
		a, b := find(t, s, "a.org"), find(t, s, "b.org")
		most := all / (2 * core.MaxBufferedAnswer)
		inA := fill(t, s, a, core.MaxBufferedAnswer)
		if n := len(inA); n < most*45/100 || n > most/2 {
			t.Errorf("a has %d requests, want 45%% to 50%% of %d, as half is guaranteed to b", n, most)
		}
		inB := fill(t, s, b, core.MaxBufferedAnswer)
		if n := len(inB); n < most*45/100 {
			t.Errorf("b has %d requests, want at least 45%% of %d, as half is guaranteed to it", n, most)
		}
		releaseAll(append(inA, inB...), OutcomeServed)
		if free := s.budgets.byResource[resourceBodyBytes].Free(); free != all {
			t.Errorf("%d of %d bytes are free at the end, want all", free, all)
		}
	})
}

// TestFaultyPoolBorrowsNothing: a pool's requests fail. It keeps its guaranteed part, and borrows nothing until its
// requests are served again.
func TestFaultyPoolBorrowsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSet(t, twoPools())
		defer s.Close()
		a := find(t, s, "a.org")
		one := func(end Outcome) {
			p, err := s.Admit(t.Context(), a, askFor(0))
			if err != nil {
				t.Fatal(err)
			}
			p.Release(end)
		}
		count := func() int {
			admissions := fill(t, s, a, 0)
			releaseAll(admissions, OutcomeNeutral)
			return len(admissions)
		}
		healthy := count()
		for range 20 {
			one(OutcomeNeutral) // a client's fault is no evidence about the pool
		}
		if same := count(); same != healthy {
			t.Errorf("the pool admits %d requests after neutral outcomes, want %d", same, healthy)
		}
		for range 20 {
			one(OutcomeFailed)
		}
		if faulty := count(); faulty == 0 || faulty >= healthy {
			t.Errorf("the faulty pool admits %d requests, want more than 0 and fewer than the %d of a healthy one", faulty, healthy)
		}
		for range 100 {
			one(OutcomeServed)
		}
		if recovered := count(); recovered != healthy {
			t.Errorf("the recovered pool admits %d requests, want %d", recovered, healthy)
		}
	})
}

// TestAdmissionQueue: three requests wait for a slot of their service or of their pool. One is admitted when a slot
// is free, one is rejected after the longest wait, and one ends when its client disconnects.
func TestAdmissionQueue(t *testing.T) {
	gate := limit.GateSettings{Concurrent: 1, Queue: 3, QueueWait: time.Second}
	t.Run("service", func(t *testing.T) {
		testQueue(t, func(c *config.Config) { c.Services[0].Gate = gate }, func(a Target) *admissionQueue { return a.Service.queue })
	})
	t.Run("pool", func(t *testing.T) {
		testQueue(t, func(c *config.Config) { c.Pools[0].Gate = gate }, func(a Target) *admissionQueue { return a.Pool.queue })
	})
}

func testQueue(t *testing.T, limits func(*config.Config), at func(Target) *admissionQueue) {
	synctest.Test(t, func(t *testing.T) {
		cfg := twoPools()
		limits(cfg)
		set := newSet(t, cfg)
		defer set.Close()
		target := find(t, set, "a.org")
		queue := at(target)
		first, err := set.Admit(t.Context(), target, askFor(0))
		if err != nil {
			t.Fatal(err)
		}
		type end struct {
			p   *Admission
			err error
		}
		ends := make([]chan end, 3)
		clientCtx, disconnect := context.WithCancelCause(t.Context())
		for i, ctx := range []context.Context{t.Context(), t.Context(), clientCtx} {
			ends[i] = make(chan end, 1)
			go func() {
				p, err := set.Admit(ctx, target, askFor(0))
				ends[i] <- end{p, err}
			}()
			synctest.Wait()
		}
		if _, err := set.Admit(t.Context(), target, askFor(0)); err == nil {
			t.Error("a fourth request is admitted to a queue for three, want it rejected")
		}
		disconnected := errors.New("disconnected")
		disconnect(disconnected)
		if e := <-ends[2]; !errors.Is(e.err, disconnected) {
			t.Errorf("request of a client that disconnected: got error %v, want %v", e.err, disconnected)
		}
		first.Release(OutcomeServed)
		e := <-ends[0]
		if e.err != nil {
			t.Fatalf("first queued request is not admitted: error is %v, want none", e.err)
		}
		began := time.Now()
		if e := <-ends[1]; e.err == nil || time.Since(began) != time.Second {
			t.Errorf("queued request without a free slot: got error %v after %v, want a rejection after 1s", e.err, time.Since(began))
		}
		e.p.Release(OutcomeServed)
		if queue.gate.InFlight() != 0 || queue.gate.QueueLength() != 0 || len(queue.waiting) != 0 {
			t.Errorf("queue has %d requests in flight, %d queued and %d waiting at the end; want none", queue.gate.InFlight(), queue.gate.QueueLength(), len(queue.waiting))
		}
	})
}

// TestApplyKeepsUnchangedPools: a configuration is applied that differs in one setting. A pool is replaced only if
// the setting cannot change in a running pool.
func TestApplyKeepsUnchangedPools(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for name, testCase := range map[string]struct {
			change func(*config.Config)
			keep   bool
		}{
			"nothing":   {func(*config.Config) {}, true},
			"share":     {func(c *config.Config) { c.Pools[0].Share = 0.3 }, true},
			"slots":     {func(c *config.Config) { c.Pools[0].Gate.Concurrent = 5 }, true},
			"servers":   {func(c *config.Config) { c.Pools[0].Servers = nil }, true},
			"limits":    {func(c *config.Config) { c.Limits.Descriptors = 512 }, true},
			"objective": {func(c *config.Config) { c.Pools[0].Settings.Classes[0].LatencyObjective = time.Minute }, false},
			"plain":     {func(c *config.Config) { c.Pools[0].PlainHTTP = true }, false},
			"watched":   {func(c *config.Config) { c.Pools[0].Discovery = "127.0.0.1:1"; c.Pools[0].Servers = nil }, false},
		} {
			s := newSet(t, twoPools())
			was := find(t, s, "a.org").Pool
			next := twoPools()
			testCase.change(next)
			if err := s.Apply(next); err != nil {
				t.Fatal(err)
			}
			if kept := find(t, s, "a.org").Pool == was; kept != testCase.keep {
				t.Errorf("%s: the pool stays the same: %v, want %v", name, kept, testCase.keep)
			}
			synctest.Wait()
			s.Close()
			synctest.Wait()
		}
	})
}

// TestApplyOfInvalidTableChangesNothing: two services have rules for the same host. The configuration is not
// applied, and the current one stays unchanged.
func TestApplyOfInvalidTableChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSet(t, twoPools())
		defer s.Close()
		was := s.current.Load()
		next := twoPools()
		next.Services[1].Routes[0].Host = "a.org"
		if err := s.Apply(next); err == nil || s.current.Load() != was {
			t.Errorf("invalid configuration: got error %v, want an error and an unchanged configuration", err)
		}
	})
}

// TestGoroutinesAreDividedAmongPools: the attempts of one pool's requests use all goroutines that the pool may have.
// The other pool still gets its guaranteed part, and all goroutines are released.
func TestGoroutinesAreDividedAmongPools(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := twoPools()
		cfg.Limits.Memory = cfg.Limits.MinMemory()
		cfg.Pools[0].Settings.MaxAttempts = 9
		s := newSet(t, cfg)
		defer s.Close()
		all := cfg.Limits.Goroutines()
		inA := fill(t, s, find(t, s, "a.org"), 0)
		if n := len(inA); n != all/2/10 {
			t.Errorf("a has %d requests of 10 goroutines each, want half of the %d goroutines, as half is guaranteed to b", n, all)
		}
		inB := fill(t, s, find(t, s, "b.org"), 0)
		if n := len(inB); n < all/4 {
			t.Errorf("b has %d requests of 2 goroutines each, want at least half of the %d goroutines", n, all)
		}
		releaseAll(append(inA, inB...), OutcomeNeutral)
		if free := s.budgets.byResource[resourceGoroutines].Free(); free != all {
			t.Errorf("%d of %d goroutines are free at the end, want all", free, all)
		}
	})
}

// TestQueueWaitEndsAtHalfOfRemainingTime: a client's deadline is earlier than the longest wait of the queue. Its
// request is rejected when half of its remaining time has passed.
func TestQueueWaitEndsAtHalfOfRemainingTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := twoPools()
		cfg.Pools[0].Gate = limit.GateSettings{Concurrent: 1, Queue: 3, QueueWait: time.Minute}
		s := newSet(t, cfg)
		defer s.Close()
		a := find(t, s, "a.org")
		first, err := s.Admit(t.Context(), a, askFor(0))
		if err != nil {
			t.Fatal(err)
		}
		defer first.Release(OutcomeServed)
		began := time.Now()
		_, err = s.Admit(t.Context(), a, AdmissionRequest{Deadline: began.Add(400 * time.Millisecond)})
		if r := (*Rejection)(nil); !errors.As(err, &r) || time.Since(began) != 200*time.Millisecond {
			t.Errorf("queued request: got error %v after %v, want a rejection after 200ms", err, time.Since(began))
		}
		if used := s.budgets.byResource[resourceRequests].UsedBy("a"); used != 1 {
			t.Errorf("%d requests are counted, want 1", used)
		}
	})
}

// checkOnlySlot checks that the only slot of a target is in use until the request that has it ends.
func checkOnlySlot(t *testing.T, set *Set, target Target, holder *Admission) {
	t.Helper()
	if _, err := set.Admit(t.Context(), target, askFor(0)); err == nil {
		t.Error("a request is admitted while the slot is in use, want it rejected")
	}
	holder.Release(OutcomeServed)
	next, err := set.Admit(t.Context(), target, askFor(0))
	if err != nil {
		t.Fatalf("request is rejected though the slot is free: error is %v, want none", err)
	}
	next.Release(OutcomeServed)
}

// TestSlotsSurvivePoolReplacement: a pool is replaced while its only slot is in use. The slot is in use in the new
// pool too, until its request ends.
func TestSlotsSurvivePoolReplacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := twoPools()
		cfg.Pools[0].Gate.Concurrent = 1
		set := newSet(t, cfg)
		defer set.Close()
		was := find(t, set, "a.org")
		first, err := set.Admit(t.Context(), was, askFor(0))
		if err != nil {
			t.Fatal(err)
		}
		next := twoPools()
		next.Pools[0].Gate.Concurrent = 1
		next.Pools[0].PlainHTTP = true
		if err := set.Apply(next); err != nil {
			t.Fatal(err)
		}
		is := find(t, set, "a.org")
		if is.Pool == was.Pool {
			t.Fatal("the pool was not replaced, want another pool")
		}
		checkOnlySlot(t, set, is, first)
		synctest.Wait()
	})
}

// TestSlotsSurviveRemoval guards against more requests than a limit allows: the only slot of a service or of its pool is in
// use while both are removed from the configuration and return, or while the service names another header for tenants.
// The slot stays in use until its request ends.
func TestSlotsSurviveRemoval(t *testing.T) {
	one := limit.GateSettings{Concurrent: 1}
	for name, testCase := range map[string]struct {
		limit   func(cfg *config.Config)
		between func(cfg *config.Config)
		after   func(cfg *config.Config)
	}{
		"pool":          {limit: func(cfg *config.Config) { cfg.Pools[0].Gate = one }, between: removeFirst},
		"service":       {limit: func(cfg *config.Config) { cfg.Services[0].Gate = one }, between: removeFirst},
		"other tenants": {limit: func(cfg *config.Config) { cfg.Services[0].Gate = one }, after: func(cfg *config.Config) { cfg.Services[0].TenantHeader = "Req-Owner" }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				limited := func(changes ...func(*config.Config)) *config.Config {
					cfg := twoPools()
					testCase.limit(cfg)
					for _, change := range changes {
						if change != nil {
							change(cfg)
						}
					}
					return cfg
				}
				set := newSet(t, limited())
				defer set.Close()
				first, err := set.Admit(t.Context(), find(t, set, "a.org"), askFor(0))
				if err != nil {
					t.Fatal(err)
				}
				for _, cfg := range []*config.Config{limited(testCase.between), limited(testCase.after)} {
					if err := set.Apply(cfg); err != nil {
						t.Fatal(err)
					}
					synctest.Wait()
				}
				checkOnlySlot(t, set, find(t, set, "a.org"), first)
			})
		})
	}
}

// removeFirst removes the first service and the first pool.
func removeFirst(cfg *config.Config) { cfg.Services, cfg.Pools = cfg.Services[1:], cfg.Pools[1:] }

// TestFaultyPoolWithoutGuaranteeRecovers: the requests of a pool without a guarantee fail, as before its first
// endpoint list. One request at a time is still admitted, and once such requests are served all are admitted:
// otherwise the pool could never show that it has recovered.
func TestFaultyPoolWithoutGuaranteeRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := twoPools()
		cfg.Pools[0].Share = 0
		s := newSet(t, cfg)
		defer s.Close()
		a := find(t, s, "a.org")
		healthy := fill(t, s, a, 0)
		releaseAll(healthy[20:], OutcomeNeutral)
		releaseAll(healthy[:20], OutcomeFailed)
		for range 100 {
			if faulty := fill(t, s, a, 0); len(faulty) != 1 {
				t.Fatalf("the faulty pool admits %d requests, want 1", len(faulty))
			} else if releaseAll(faulty, OutcomeServed); !a.runtime.health.faulty {
				break
			}
		}
		if recovered := fill(t, s, a, 0); len(recovered) != len(healthy) {
			t.Errorf("the recovered pool admits %d requests, want %d", len(recovered), len(healthy))
		} else {
			releaseAll(recovered, OutcomeNeutral)
		}
	})
}
