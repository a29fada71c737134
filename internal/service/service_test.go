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

// idle is an upstream that nothing is sent by.
type idle struct{}

func (idle) AddServer() core.Server { return idle{} }
func (idle) Close()                 {}
func (idle) Invalidate()            {}
func (idle) Send(context.Context, string, *core.Message, core.AttemptGate) (decide.Result, *core.Answer) {
	return decide.Failed, nil
}

// room counts nothing.
type room struct{}

func (room) Configure(int, map[string]int) error { return nil }
func (room) Trouble(string, bool)                {}

func two() *config.Config {
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
		Budgets: true, Limits: limit.Machine{Cores: 1, Memory: 64 << 20, Descriptors: 1024},
		Services: []config.Service{svc("a"), svc("b")}, Pools: []config.Pool{pool("a", 0.25), pool("b", 0.5)},
	}
}

// ask is a request whose client waits for long.
func ask(bytes int) Ask { return Ask{Bytes: bytes, Due: time.Now().Add(time.Minute)} }

// fill lets requests in until one is refused, with when to come back.
func fill(t *testing.T, s *Set, target Target, bytes int) (passes []*Pass) {
	t.Helper()
	for {
		p, err := s.Enter(t.Context(), target, ask(bytes))
		if r := (*Refusal)(nil); errors.As(err, &r) {
			if r.Tenant || r.RetryAfter != time.Second {
				t.Errorf("refused with %+v", r)
			}
			return passes
		} else if err != nil {
			t.Fatal(err)
		}
		passes = append(passes, p)
	}
}

func leave(passes []*Pass, end End) {
	for _, p := range passes {
		p.Leave(end)
	}
}

func newSet(t *testing.T, cfg *config.Config) *Set {
	t.Helper()
	s, err := New(cfg, room{}, func(*config.Pool) core.Upstream { return idle{} }, nil, nil, metrics.New(), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

var someLook = route.Query{Path: "/look/1", Method: "GET"}

func find(t *testing.T, s *Set, host string) Target {
	t.Helper()
	target, err := s.Find(host, someLook)
	if err != nil {
		t.Fatal(err)
	}
	return target
}

// TestBytesAtTheirCap holds as many bytes as there are: one pool is refused more,
// the other has its part, and all comes back.
func TestBytesAtTheirCap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSet(t, two())
		defer s.Close()
		all := limit.Machine{Memory: 64 << 20}.Held()
		a, b := find(t, s, "a.org"), find(t, s, "b.org")
		most := all / (2 * core.ShortAnswer)
		inA := fill(t, s, a, core.ShortAnswer)
		if n := len(inA); n < most*45/100 || n > most/2 {
			t.Errorf("a holds %d of %d, half of which are b's", n, most)
		}
		inB := fill(t, s, b, core.ShortAnswer)
		if n := len(inB); n < most*45/100 {
			t.Errorf("b holds %d of its half of %d", n, most)
		}
		leave(append(inA, inB...), Served)
		if free := s.budgets.of[held].Free(); free != all {
			t.Errorf("%d of %d bytes are free in the end", free, all)
		}
	})
}

// TestTroubleBorrowsNothing has a pool's requests fail: it keeps its part and has
// no more until it serves again.
func TestTroubleBorrowsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSet(t, two())
		defer s.Close()
		a := find(t, s, "a.org")
		one := func(end End) {
			p, err := s.Enter(t.Context(), a, ask(0))
			if err != nil {
				t.Fatal(err)
			}
			p.Leave(end)
		}
		count := func() int {
			passes := fill(t, s, a, 0)
			leave(passes, Void)
			return len(passes)
		}
		well := count()
		for range 20 {
			one(Void) // clients at fault say nothing of the pool
		}
		if same := count(); same != well {
			t.Errorf("after clients' faults it holds %d, before %d", same, well)
		}
		for range 20 {
			one(Unserved)
		}
		if ill := count(); ill == 0 || ill >= well {
			t.Errorf("in trouble it holds %d, otherwise %d", ill, well)
		}
		for range 100 {
			one(Served)
		}
		if again := count(); again != well {
			t.Errorf("after its trouble it holds %d, otherwise %d", again, well)
		}
	})
}

// TestLines has requests wait for a place, of their service's or of their pool's:
// one is let in when a place is free, one gives up, one leaves with its client.
func TestLines(t *testing.T) {
	gate := limit.GateSettings{Concurrent: 1, Queue: 3, QueueWait: time.Second}
	t.Run("service", func(t *testing.T) {
		testLine(t, func(c *config.Config) { c.Services[0].Gate = gate }, func(a Target) *line { return a.Service.line })
	})
	t.Run("pool", func(t *testing.T) {
		testLine(t, func(c *config.Config) { c.Pools[0].Gate = gate }, func(a Target) *line { return a.Pool.line })
	})
}

func testLine(t *testing.T, limits func(*config.Config), at func(Target) *line) {
	synctest.Test(t, func(t *testing.T) {
		cfg := two()
		limits(cfg)
		s := newSet(t, cfg)
		defer s.Close()
		a := find(t, s, "a.org")
		l := at(a)
		first, err := s.Enter(t.Context(), a, ask(0))
		if err != nil {
			t.Fatal(err)
		}
		type end struct {
			p   *Pass
			err error
		}
		ends := make([]chan end, 3)
		left, leave := context.WithCancelCause(t.Context())
		for i, ctx := range []context.Context{t.Context(), t.Context(), left} {
			ends[i] = make(chan end, 1)
			go func() {
				p, err := s.Enter(ctx, a, ask(0))
				ends[i] <- end{p, err}
			}()
			synctest.Wait()
		}
		if _, err := s.Enter(t.Context(), a, ask(0)); err == nil {
			t.Error("a fourth is let into a line of three")
		}
		gone := errors.New("gone")
		leave(gone)
		if e := <-ends[2]; !errors.Is(e.err, gone) {
			t.Errorf("the one whose client left: %v", e.err)
		}
		first.Leave(Served)
		e := <-ends[0]
		if e.err != nil {
			t.Fatalf("the first in line: %v", e.err)
		}
		began := time.Now()
		if e := <-ends[1]; e.err == nil || time.Since(began) != time.Second {
			t.Errorf("the one that nobody made room for: %v after %v", e.err, time.Since(began))
		}
		e.p.Leave(Served)
		if l.gate.Held() != 0 || l.gate.Waiting() != 0 || len(l.waiting) != 0 {
			t.Errorf("%d held, %d wait, %d are to be woken", l.gate.Held(), l.gate.Waiting(), len(l.waiting))
		}
	})
}

// TestApplyKeepsWhatDidNotChange names what makes a new pool and what does not.
func TestApplyKeepsWhatDidNotChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for name, c := range map[string]struct {
			change func(*config.Config)
			keep   bool
		}{
			"nothing": {func(*config.Config) {}, true},
			"share":   {func(c *config.Config) { c.Pools[0].Share = 0.3 }, true},
			"places":  {func(c *config.Config) { c.Pools[0].Gate.Concurrent = 5 }, true},
			"servers": {func(c *config.Config) { c.Pools[0].Servers = nil }, true},
			"limits":  {func(c *config.Config) { c.Limits.Descriptors = 512 }, true},
			"aim":     {func(c *config.Config) { c.Pools[0].Settings.Classes[0].LatencyObjective = time.Minute }, false},
			"plain":   {func(c *config.Config) { c.Pools[0].Plain = true }, false},
			"watched": {func(c *config.Config) { c.Pools[0].Discovery = "127.0.0.1:1"; c.Pools[0].Servers = nil }, false},
		} {
			s := newSet(t, two())
			was := find(t, s, "a.org").Pool
			next := two()
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

// TestApplyRefuses leaves all as it was where a table cannot be built.
func TestApplyRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSet(t, two())
		defer s.Close()
		was := s.now.Load()
		next := two()
		next.Services[1].Routes[0].Host = "a.org"
		if err := s.Apply(next); err == nil || s.now.Load() != was {
			t.Errorf("got %v", err)
		}
	})
}

// TestGoroutinesAtTheirCap has the attempts of one pool's requests take all that
// the pool may have: the other pool has its part, and all comes back.
func TestGoroutinesAtTheirCap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := two()
		cfg.Limits.Memory = cfg.Limits.Wants()
		cfg.Pools[0].Settings.MaxAttempts = 9
		s := newSet(t, cfg)
		defer s.Close()
		all := cfg.Limits.Goroutines()
		inA := fill(t, s, find(t, s, "a.org"), 0)
		if n := len(inA); n != all/2/10 {
			t.Errorf("a holds %d requests of 10 goroutines each, all are %d and half of them b's", n, all)
		}
		inB := fill(t, s, find(t, s, "b.org"), 0)
		if n := len(inB); n < all/4 {
			t.Errorf("b holds %d requests of 2 goroutines each, half of %d are its", n, all)
		}
		leave(append(inA, inB...), Void)
		if free := s.budgets.of[goroutines].Free(); free != all {
			t.Errorf("%d of %d goroutines are free in the end", free, all)
		}
	})
}

// TestLineEndsBeforeItsClient has a request whose client waits less long than the
// line would let it: it is refused while half of its time is left.
func TestLineEndsBeforeItsClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := two()
		cfg.Pools[0].Gate = limit.GateSettings{Concurrent: 1, Queue: 3, QueueWait: time.Minute}
		s := newSet(t, cfg)
		defer s.Close()
		a := find(t, s, "a.org")
		first, err := s.Enter(t.Context(), a, ask(0))
		if err != nil {
			t.Fatal(err)
		}
		defer first.Leave(Served)
		began := time.Now()
		_, err = s.Enter(t.Context(), a, Ask{Due: began.Add(400 * time.Millisecond)})
		if r := (*Refusal)(nil); !errors.As(err, &r) || time.Since(began) != 200*time.Millisecond {
			t.Errorf("%v after %v", err, time.Since(began))
		}
		if used := s.budgets.of[requests].Used("a"); used != 1 {
			t.Errorf("%d requests are counted, one is in", used)
		}
	})
}

// TestPlacesOutliveTheirPool replaces a pool while its places are taken: they are
// taken in the new one too, until who holds them leaves.
func TestPlacesOutliveTheirPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := two()
		cfg.Pools[0].Gate.Concurrent = 1
		s := newSet(t, cfg)
		defer s.Close()
		was := find(t, s, "a.org")
		first, err := s.Enter(t.Context(), was, ask(0))
		if err != nil {
			t.Fatal(err)
		}
		next := two()
		next.Pools[0].Gate.Concurrent = 1
		next.Pools[0].Plain = true
		if err := s.Apply(next); err != nil {
			t.Fatal(err)
		}
		is := find(t, s, "a.org")
		if is.Pool == was.Pool {
			t.Fatal("the pool is the same")
		}
		if _, err := s.Enter(t.Context(), is, ask(0)); err == nil {
			t.Error("let into a place that is taken")
		}
		first.Leave(Served)
		p, err := s.Enter(t.Context(), is, ask(0))
		if err != nil {
			t.Fatalf("the place is free: %v", err)
		}
		p.Leave(Served)
		synctest.Wait()
	})
}

// TestTroubleEndsWithNoPartOfItsOwn has the requests of a pool fail that has no guaranteed part, as
// one has whose list has yet to come: one at a time is let in, and once these are served all are.
func TestTroubleEndsWithNoPartOfItsOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := two()
		cfg.Pools[0].Share = 0
		s := newSet(t, cfg)
		defer s.Close()
		a := find(t, s, "a.org")
		well := fill(t, s, a, 0)
		leave(well[20:], Void)
		leave(well[:20], Unserved)
		for range 100 {
			if ill := fill(t, s, a, 0); len(ill) != 1 {
				t.Fatalf("in trouble it holds %d, want 1", len(ill))
			} else if leave(ill, Served); !a.own.health.trouble {
				break
			}
		}
		if again := fill(t, s, a, 0); len(again) != len(well) {
			t.Errorf("after its trouble it holds %d, before %d", len(again), len(well))
		} else {
			leave(again, Void)
		}
	})
}
