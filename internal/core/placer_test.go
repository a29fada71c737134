package core

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"jasperpin/decide"
)

// fakePlacer is a Placer that answers after a delay, or never, and records its calls.
type fakePlacer struct {
	answer func(decide.RequestID, decide.ServerID)
	wait   bool
	after  time.Duration // delay of the answer; 0 for no answer
	server func() decide.ServerID
	calls  []string // guarded by Pool.mu
}

func (g *fakePlacer) Start(answer func(decide.RequestID, decide.ServerID)) { g.answer = answer }

func (g *fakePlacer) Place(q decide.Request, _ time.Duration) bool {
	g.calls = append(g.calls, "place")
	if g.wait && g.after > 0 {
		time.AfterFunc(g.after, func() {
			g.answer(q.ID, g.server())
			g.answer(q.ID, g.server()) // a second answer has no effect
		})
	}
	return g.wait
}

func (g *fakePlacer) AttemptSent(_ decide.RequestID, n int, _ decide.ServerID) {
	g.calls = append(g.calls, fmt.Sprint("sent ", n))
}

func (g *fakePlacer) AttemptEnded(_ decide.RequestID, n int, r decide.Result) {
	g.calls = append(g.calls, fmt.Sprint("ended ", n, " ", r))
}
func (g *fakePlacer) RequestClosed(decide.RequestID) { g.calls = append(g.calls, "closed") }
func (g *fakePlacer) Close()                         { g.calls = append(g.calls, "close") }

// poolWithPlacer returns a pool with a Placer.
func poolWithPlacer(s *scriptedUpstream, g *fakePlacer) *Pool {
	p := scriptedPool(s)
	p.settings.Placer = g
	g.Start(p.handlePlacement)
	g.server = func() decide.ServerID { return p.servers["b"].id }
	return p
}

// TestPlacerChoosesFirstServer: a Placer chooses the second server for every request. First attempts are sent
// there, and the Placer is notified of each attempt, of its end and of the request's end.
func TestPlacerChoosesFirstServer(t *testing.T) {
	overloaded := func(_ context.Context, _ int, addr string) (decide.Result, *Answer) { return decide.Overloaded, nil }
	for name, testCase := range map[string]struct {
		wait  bool
		after time.Duration
		do    func(context.Context, int, string) (decide.Result, *Answer)
		want  Status
		calls []string
	}{
		"placed":          {true, 5 * time.Millisecond, served, Served, []string{"place", "sent 0", "ended 0 ok", "closed", "close"}},
		"no placement":    {false, 0, served, Served, []string{"place", "sent 0", "ended 0 ok", "closed", "close"}},
		"all overloaded":  {true, 5 * time.Millisecond, overloaded, Rejected, []string{"place", "sent 0", "ended 0 full", "sent 1", "ended 1 full", "closed", "close"}},
		"placed too late": {true, 3 * time.Second, served, Rejected, []string{"place", "closed", "close"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				addrs := make(chan string, 10)
				s := &scriptedUpstream{do: func(ctx context.Context, n int, addr string) (decide.Result, *Answer) {
					addrs <- addr
					return testCase.do(ctx, n, addr)
				}}
				placer := &fakePlacer{wait: testCase.wait, after: testCase.after}
				pool := poolWithPlacer(s, placer)
				for i := range 10 {
					placer.calls = nil
					x, err := submit(pool, fmt.Sprint(i), notIdempotent)
					if err != nil {
						t.Fatal(err)
					}
					if fin := onlyAnswer(t, x); fin.Status != testCase.want {
						t.Fatalf("request %d ended with status %v, want %v", i, fin.Status, testCase.want)
					}
					if testCase.wait && testCase.want == Served {
						if addr := <-addrs; addr != "b:1" {
							t.Errorf("first attempt was sent to %s, want b:1, which the Placer chose", addr)
						}
					}
					for len(addrs) > 0 {
						<-addrs
					}
				}
				pool.Close()
				synctest.Wait()
				if !slices.Equal(placer.calls, testCase.calls) {
					t.Errorf("calls of the Placer: %q, want %q", placer.calls, testCase.calls)
				}
			})
		})
	}
}

func served(context.Context, int, string) (decide.Result, *Answer) {
	return decide.OK, &Answer{StatusCode: 200}
}

// TestClientDisconnectsBeforePlacement: the client disconnects before the Placer has answered. The Placer's answer
// must not start an attempt.
func TestClientDisconnectsBeforePlacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedUpstream{do: served}
		placer := &fakePlacer{wait: true, after: 10 * time.Millisecond}
		p := poolWithPlacer(s, placer)
		x, err := submit(p, "one", notIdempotent)
		if err != nil {
			t.Fatal(err)
		}
		p.ClientDisconnected(x)
		p.Retire()
		<-p.Drained()
		time.Sleep(time.Second)
		synctest.Wait()
		if sends, _ := s.count(); sends != 0 {
			t.Errorf("%d attempts were sent after the client disconnected, want 0", sends)
		}
		p.Close()
		synctest.Wait()
		if want := []string{"place", "closed", "close"}; !slices.Equal(placer.calls, want) {
			t.Errorf("calls of the Placer: %q, want %q", placer.calls, want)
		}
	})
}
