package core

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"jasperpin/decide"
)

// script is an upstream whose servers do as they are told.
type script struct {
	mu    sync.Mutex
	sends int
	left  int
	do    func(ctx context.Context, n int, addr string) (decide.Result, *Answer)
}

func (s *script) AddServer() Server { return s }
func (s *script) Close()            {}

func (s *script) Invalidate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.left++
}

func (s *script) Send(ctx context.Context, addr string, _ *Message, on AttemptGate) (decide.Result, *Answer) {
	if _, ok := on.Begin(); !ok {
		return Outcome(ctx, true), nil
	}
	s.mu.Lock()
	s.sends++
	n := s.sends
	s.mu.Unlock()
	return s.do(ctx, n, addr)
}

func (s *script) count() (sends, left int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sends, s.left
}

const (
	free = iota
	unsafe
)

// scripted makes a pool with two servers of a script.
func scripted(s *script) *Pool {
	p := NewPool(Settings{
		Balancer: decide.Settings{
			NodeCount: 1, MaxAttempts: 3, Hedging: true, CancelAttempts: true, MaxRetryAfter: time.Second,
			Classes: []decide.Class{
				free:   {Idempotency: decide.Idempotent, LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1},
				unsafe: {Idempotency: decide.NotIdempotent, LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1},
			},
		},
		Seed: 1, Upstream: s, Log: slog.New(slog.DiscardHandler),
	})
	p.UpdateEndpoints(decide.UpdateFull, []Endpoint{{Name: "a", Addr: "a:1", State: decide.Ready, Capacity: 1}, {Name: "b", Addr: "b:1", State: decide.Ready, Capacity: 1}})
	return p
}

func ask(p *Pool, name string, class int) (*Exchange, error) {
	return p.Arrive(&Request{ID: name, Class: class, ReceivedAt: time.Now(), Timeout: 2 * time.Second})
}

// only takes the final answer and sees that no second one follows.
func only(t *testing.T, x *Exchange) Final {
	t.Helper()
	fin := <-x.Final()
	time.Sleep(10 * time.Second) // of virtual time: all attempts have ended
	synctest.Wait()
	select {
	case again := <-x.Final():
		t.Errorf("a second answer: %+v after %+v", again, fin)
	default:
	}
	return fin
}

// TestOneFinal walks through the ends of attempts.
func TestOneFinal(t *testing.T) {
	answer := func(context.Context, int, string) (decide.Result, *Answer) { return decide.OK, &Answer{Code: 200} }
	silent := func(ctx context.Context, _ int, _ string) (decide.Result, *Answer) {
		<-ctx.Done()
		return Outcome(ctx, false), nil
	}
	for name, c := range map[string]struct {
		do     func(ctx context.Context, n int, addr string) (decide.Result, *Answer)
		class  int
		status Status
		sends  int // at the most
	}{
		"served":               {answer, unsafe, Served, 1},
		"silent, unsafe":       {silent, unsafe, Failed, 1},
		"silent, free":         {silent, free, Rejected, 3},
		"error, unsafe":        {func(context.Context, int, string) (decide.Result, *Answer) { return decide.Failed, nil }, unsafe, Failed, 1},
		"never ran, unsafe":    {func(context.Context, int, string) (decide.Result, *Answer) { return decide.ConnectFailed, nil }, unsafe, Rejected, 3},
		"first fails, free":    {first(decide.Failed), free, Served, 3},
		"first is full":        {first(decide.Overloaded), unsafe, Served, 3},
		"late beside a copy":   {lateFirst, free, Served, 3},
		"served though silent": {first(decide.TimedOut), free, Served, 3},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &script{do: c.do}
				p := scripted(s)
				defer p.Close()
				x, err := ask(p, "r", c.class)
				if err != nil {
					t.Fatal(err)
				}
				began := time.Now()
				fin := only(t, x)
				if fin.Status != c.status {
					t.Errorf("ended %v, want %v", fin.Status, c.status)
				}
				if sends, _ := s.count(); sends > c.sends || sends == 0 {
					t.Errorf("sent %d times, want 1 to %d", sends, c.sends)
				}
				if took := time.Since(began) - 10*time.Second; took > 2*time.Second {
					t.Errorf("answered after %v, the client waits 2s", took)
				}
				if x, err = ask(p, "r", c.class); err != nil {
					t.Fatalf("the name is still in use: %v", err)
				}
				only(t, x)
			})
		})
	}
}

// first has the first attempt end in a result and serves the rest.
func first(r decide.Result) func(context.Context, int, string) (decide.Result, *Answer) {
	return func(_ context.Context, n int, _ string) (decide.Result, *Answer) {
		if n == 1 {
			return r, nil
		}
		return decide.OK, &Answer{Code: 200}
	}
}

// lateFirst answers the first attempt although it was called off, as a server may
// whose answer crosses the cancel.
func lateFirst(ctx context.Context, n int, _ string) (decide.Result, *Answer) {
	if n == 1 {
		<-ctx.Done()
	}
	return decide.OK, &Answer{Code: 200}
}

// TestNames refuses a name that is open.
func TestNames(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := scripted(&script{do: func(ctx context.Context, _ int, _ string) (decide.Result, *Answer) {
			<-ctx.Done()
			return Outcome(ctx, false), nil
		}})
		defer p.Close()
		x, err := ask(p, "r", unsafe)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := ask(p, "r", unsafe); !errors.Is(err, ErrIDInUse) {
			t.Errorf("got %v", err)
		}
		p.Gone(x)
		synctest.Wait()
		if x, err = ask(p, "r", unsafe); err != nil {
			t.Fatalf("after its client left: %v", err)
		}
		only(t, x)
	})
}

// TestRetire lets a pool end what it holds, takes nothing more, and leaves no
// timer of the module behind: the bubble would not end.
func TestRetire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		s := &script{do: func(context.Context, int, string) (decide.Result, *Answer) {
			<-release
			return decide.OK, &Answer{Code: 200}
		}}
		p := scripted(s)
		x, err := ask(p, "r", unsafe)
		if err != nil {
			t.Fatal(err)
		}
		p.Retire()
		p.Retire()
		if _, err := ask(p, "q", unsafe); !errors.Is(err, ErrRetired) {
			t.Errorf("got %v", err)
		}
		select {
		case <-p.Empty():
			t.Error("empty with a request in flight")
		default:
		}
		close(release)
		if fin := <-x.Final(); fin.Status != Served {
			t.Errorf("ended %v", fin.Status)
		}
		<-p.Empty()
		p.Close()
		time.Sleep(time.Minute)
		synctest.Wait()
	})
}

// TestDrainBy has deadlines move forward with the end of the process.
func TestDrainBy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := scripted(&script{do: func(ctx context.Context, _ int, _ string) (decide.Result, *Answer) {
			<-ctx.Done()
			return Outcome(ctx, false), nil
		}})
		defer p.Close()
		p.DrainBy(time.Now().Add(500 * time.Millisecond))
		began := time.Now()
		x, err := ask(p, "r", unsafe)
		if err != nil {
			t.Fatal(err)
		}
		if <-x.Final(); time.Since(began) > 500*time.Millisecond {
			t.Errorf("answered after %v", time.Since(began))
		}
		time.Sleep(time.Second) // the attempt has ended
	})
}

// TestListed follows servers that leave, drain and come back: what connects to
// one that does not stay is left.
func TestListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		addrs := make(map[string]int)
		s := &script{do: func(_ context.Context, _ int, addr string) (decide.Result, *Answer) {
			mu.Lock()
			defer mu.Unlock()
			addrs[addr]++
			return decide.OK, &Answer{Code: 200}
		}}
		p := scripted(s)
		defer p.Close()
		p.UpdateEndpoints(decide.UpdateDelta, []Endpoint{{Name: "a", State: decide.Gone}, {Name: "never", State: decide.Gone}})
		p.UpdateEndpoints(decide.UpdateDelta, []Endpoint{{Name: "b", Addr: "b:2", State: decide.Ready, Capacity: 1}})
		for _, name := range []string{"r1", "r2", "r3"} {
			x, err := ask(p, name, unsafe)
			if err != nil {
				t.Fatal(err)
			}
			<-x.Final()
		}
		if _, left := s.count(); left != 2 { // a dropped and b moved
			t.Errorf("%d servers were left", left)
		}
		mu.Lock()
		defer mu.Unlock()
		if len(addrs) != 1 || addrs["b:2"] != 3 {
			t.Errorf("sent to %v", addrs)
		}
	})
}

// TestCopyForNobody has the client of a request leave that others may wait for, while its attempt
// is out and slow: that goes on, and a second copy is sent only for those that wait.
func TestCopyForNobody(t *testing.T) {
	for name, x := range map[string]struct {
		here, awaited bool
		sends         int
	}{
		"its client waits": {true, false, 2},
		"a repeat waits":   {false, true, 2},
		"nobody waits":     {false, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const quick = 40 // so that it knows how quick answers are
				s := &script{do: func(ctx context.Context, n int, _ string) (decide.Result, *Answer) {
					if n <= quick {
						return decide.OK, &Answer{Code: 200}
					}
					select {
					case <-time.After(900 * time.Millisecond):
						return decide.OK, &Answer{Code: 200}
					case <-ctx.Done():
						return Outcome(ctx, false), nil
					}
				}}
				p := scripted(s)
				defer p.Close()
				for i := range quick {
					first, err := ask(p, fmt.Sprint(i), free)
					if err != nil {
						t.Fatal(err)
					}
					<-first.Final()
				}
				var here atomic.Bool
				here.Store(true)
				q := &Request{ID: "r", Class: free, ReceivedAt: time.Now(), Timeout: 2 * time.Second}
				q.Awaited = func() bool { return x.awaited }
				q.Presence = func() ClientPresence {
					if here.Load() {
						return ClientWaiting
					}
					return ClientGone
				}
				r, err := p.Arrive(q)
				if err != nil {
					t.Fatal(err)
				}
				synctest.Wait()
				if here.Store(x.here); !x.here && p.Gone(r) {
					t.Error("it ended, with an attempt out")
				}
				if fin := only(t, r); fin.Status != Served {
					t.Errorf("ended %v", fin.Status)
				}
				if sends, _ := s.count(); sends-quick != x.sends {
					t.Errorf("sent %d times, want %d", sends-quick, x.sends)
				}
			})
		})
	}
}
