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

// fakeLimiter counts nothing.
type fakeLimiter struct{}

func (fakeLimiter) Configure(int, map[string]int) error { return nil }
func (fakeLimiter) SetFaulty(string, bool)              {}

// twoPools is a configuration of two services, a and b, each with a pool of its name; a is guaranteed a
// quarter of everything, b half.
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

// askFor is what a request needs whose client waits for a minute.
func askFor(bytes int) AdmissionRequest {
	return AdmissionRequest{BodyBytes: bytes, Deadline: time.Now().Add(time.Minute)}
}

// fill enters requests until one is rejected, which must come with a Retry-After.
func fill(t testing.TB, s *Set, target Target, bytes int) (passes []*Admission) {
	t.Helper()
	for {
		p, err := s.Admit(t.Context(), target, askFor(bytes))
		if r := (*Rejection)(nil); errors.As(err, &r) {
			if r.TenantLimited || r.RetryAfter != time.Second {
				t.Errorf("rejected with %+v", r)
			}
			return passes
		} else if err != nil {
			t.Fatal(err)
		}
		passes = append(passes, p)
	}
}

func leave(passes []*Admission, end Outcome) {
	for _, p := range passes {
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

// TestBodyBytesAreDividedAmongPools: two pools hold as many bytes of bodies as there are. Each gets its
// guaranteed part and no more than the other's leaves, and all are given back.
func TestBodyBytesAreDividedAmongPools(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSet(t, twoPools())
		defer s.Close()
		all := limit.Machine{Memory: 64 << 20}.BodyBytes()
		a, b := find(t, s, "a.org"), find(t, s, "b.org")
		most := all / (2 * core.MaxBufferedAnswer)
		inA := fill(t, s, a, core.MaxBufferedAnswer)
		if n := len(inA); n < most*45/100 || n > most/2 {
			t.Errorf("a has %d of %d requests, half of which are guaranteed to b", n, most)
		}
		inB := fill(t, s, b, core.MaxBufferedAnswer)
		if n := len(inB); n < most*45/100 {
			t.Errorf("b has %d of its half of %d requests", n, most)
		}
		leave(append(inA, inB...), OutcomeServed)
		if free := s.budgets.byResource[resourceBodyBytes].Free(); free != all {
			t.Errorf("%d of %d bytes are free in the end", free, all)
		}
	})
}

// TestFaultyPoolBorrowsNothing: a pool's requests fail. It keeps its guaranteed part, and gets no more
// until it serves again.
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
			passes := fill(t, s, a, 0)
			leave(passes, OutcomeNeutral)
			return len(passes)
		}
		healthy := count()
		for range 20 {
			one(OutcomeNeutral) // a client at fault says nothing of the pool
		}
		if same := count(); same != healthy {
			t.Errorf("after clients' faults it admits %d, before %d", same, healthy)
		}
		for range 20 {
			one(OutcomeFailed)
		}
		if faulty := count(); faulty == 0 || faulty >= healthy {
			t.Errorf("while faulty it admits %d, otherwise %d", faulty, healthy)
		}
		for range 100 {
			one(OutcomeServed)
		}
		if recovered := count(); recovered != healthy {
			t.Errorf("after its fault it admits %d, otherwise %d", recovered, healthy)
		}
	})
}

// TestAdmissionQueue: requests wait for a place of their service or of their pool. One is admitted when a
// place is free, one is rejected after the longest wait, one ends with its client.
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
		s := newSet(t, cfg)
		defer s.Close()
		a := find(t, s, "a.org")
		l := at(a)
		first, err := s.Admit(t.Context(), a, askFor(0))
		if err != nil {
			t.Fatal(err)
		}
		type end struct {
			p   *Admission
			err error
		}
		ends := make([]chan end, 3)
		left, leave := context.WithCancelCause(t.Context())
		for i, ctx := range []context.Context{t.Context(), t.Context(), left} {
			ends[i] = make(chan end, 1)
			go func() {
				p, err := s.Admit(ctx, a, askFor(0))
				ends[i] <- end{p, err}
			}()
			synctest.Wait()
		}
		if _, err := s.Admit(t.Context(), a, askFor(0)); err == nil {
			t.Error("a fourth request is admitted to a queue of three")
		}
		gone := errors.New("gone")
		leave(gone)
		if e := <-ends[2]; !errors.Is(e.err, gone) {
			t.Errorf("the request whose client left: %v", e.err)
		}
		first.Release(OutcomeServed)
		e := <-ends[0]
		if e.err != nil {
			t.Fatalf("the first in the queue: %v", e.err)
		}
		began := time.Now()
		if e := <-ends[1]; e.err == nil || time.Since(began) != time.Second {
			t.Errorf("the request for which no place was free: %v after %v", e.err, time.Since(began))
		}
		e.p.Release(OutcomeServed)
		if l.gate.InFlight() != 0 || l.gate.QueueLength() != 0 || len(l.waiting) != 0 {
			t.Errorf("%d in flight, %d queued, %d to be woken", l.gate.InFlight(), l.gate.QueueLength(), len(l.waiting))
		}
	})
}

// TestApplyKeepsUnchangedPools: a configuration is applied that differs in one thing. Only what a pool was
// made of replaces it.
func TestApplyKeepsUnchangedPools(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for name, c := range map[string]struct {
			change func(*config.Config)
			keep   bool
		}{
			"nothing":   {func(*config.Config) {}, true},
			"share":     {func(c *config.Config) { c.Pools[0].Share = 0.3 }, true},
			"places":    {func(c *config.Config) { c.Pools[0].Gate.Concurrent = 5 }, true},
			"servers":   {func(c *config.Config) { c.Pools[0].Servers = nil }, true},
			"limits":    {func(c *config.Config) { c.Limits.Descriptors = 512 }, true},
			"objective": {func(c *config.Config) { c.Pools[0].Settings.Classes[0].LatencyObjective = time.Minute }, false},
			"plain":     {func(c *config.Config) { c.Pools[0].PlainHTTP = true }, false},
			"watched":   {func(c *config.Config) { c.Pools[0].Discovery = "127.0.0.1:1"; c.Pools[0].Servers = nil }, false},
		} {
			s := newSet(t, twoPools())
			was := find(t, s, "a.org").Pool
			next := twoPools()
			c.change(next)
			if err := s.Apply(next); err != nil {
				t.Fatal(err)
			}
			if kept := find(t, s, "a.org").Pool == was; kept != c.keep {
				t.Errorf("%s: kept %v", name, kept)
			}
			synctest.Wait()
			s.Close()
			synctest.Wait()
		}
	})
}

// TestApplyOfInvalidTableChangesNothing: two services claim one host. The configuration is not applied, and
// everything stays as it was.
func TestApplyOfInvalidTableChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSet(t, twoPools())
		defer s.Close()
		was := s.current.Load()
		next := twoPools()
		next.Services[1].Routes[0].Host = "a.org"
		if err := s.Apply(next); err == nil || s.current.Load() != was {
			t.Errorf("got %v", err)
		}
	})
}

// TestGoroutinesAreDividedAmongPools: the attempts of one pool's requests take all goroutines that the pool
// may have. The other pool still has its part, and all are given back.
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
			t.Errorf("a has %d requests of 10 goroutines each; there are %d goroutines, half of them guaranteed to b", n, all)
		}
		inB := fill(t, s, find(t, s, "b.org"), 0)
		if n := len(inB); n < all/4 {
			t.Errorf("b has %d requests of 2 goroutines each; half of %d are guaranteed to it", n, all)
		}
		leave(append(inA, inB...), OutcomeNeutral)
		if free := s.budgets.byResource[resourceGoroutines].Free(); free != all {
			t.Errorf("%d of %d goroutines are free in the end", free, all)
		}
	})
}

// TestQueueWaitEndsAtHalfOfClientTime: a client waits less long than the queue would let it. Its request is
// rejected while half of its time is left.
func TestQueueWaitEndsAtHalfOfClientTime(t *testing.T) {
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
			t.Errorf("%v after %v", err, time.Since(began))
		}
		if used := s.budgets.byResource[resourceRequests].UsedBy("a"); used != 1 {
			t.Errorf("%d requests are counted, one is in flight", used)
		}
	})
}

// TestPlacesSurvivePoolReplacement: a pool is replaced while its one place is taken. The place is taken in
// the new pool too, until the request that has it ends.
func TestPlacesSurvivePoolReplacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := twoPools()
		cfg.Pools[0].Gate.Concurrent = 1
		s := newSet(t, cfg)
		defer s.Close()
		was := find(t, s, "a.org")
		first, err := s.Admit(t.Context(), was, askFor(0))
		if err != nil {
			t.Fatal(err)
		}
		next := twoPools()
		next.Pools[0].Gate.Concurrent = 1
		next.Pools[0].PlainHTTP = true
		if err := s.Apply(next); err != nil {
			t.Fatal(err)
		}
		is := find(t, s, "a.org")
		if is.Pool == was.Pool {
			t.Fatal("the pool is the same")
		}
		if _, err := s.Admit(t.Context(), is, askFor(0)); err == nil {
			t.Error("admitted to a place that is taken")
		}
		first.Release(OutcomeServed)
		p, err := s.Admit(t.Context(), is, askFor(0))
		if err != nil {
			t.Fatalf("the place is free: %v", err)
		}
		p.Release(OutcomeServed)
		synctest.Wait()
	})
}

// TestFaultyPoolWithoutGuaranteeRecovers: the requests of a pool fail that is guaranteed nothing, as before
// its first endpoint list. One request at a time is admitted, and once these are served all are: without
// that the pool could never show that its fault is over.
func TestFaultyPoolWithoutGuaranteeRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := twoPools()
		cfg.Pools[0].Share = 0
		s := newSet(t, cfg)
		defer s.Close()
		a := find(t, s, "a.org")
		healthy := fill(t, s, a, 0)
		leave(healthy[20:], OutcomeNeutral)
		leave(healthy[:20], OutcomeFailed)
		for range 100 {
			if faulty := fill(t, s, a, 0); len(faulty) != 1 {
				t.Fatalf("while faulty it admits %d, want 1", len(faulty))
			} else if leave(faulty, OutcomeServed); !a.runtime.health.faulty {
				break
			}
		}
		if recovered := fill(t, s, a, 0); len(recovered) != len(healthy) {
			t.Errorf("after its fault it admits %d, before %d", len(recovered), len(healthy))
		} else {
			leave(recovered, OutcomeNeutral)
		}
	})
}
