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

// fakeGuide answers after a time, or not until it is told to.
type fakeGuide struct {
	answer func(decide.RequestID, decide.ServerID)
	wait   bool
	after  time.Duration // 0 for never
	server func() decide.ServerID
	said   []string // under the pool's lock
}

func (g *fakeGuide) Start(answer func(decide.RequestID, decide.ServerID)) { g.answer = answer }

func (g *fakeGuide) Place(q decide.Request, _ time.Duration) bool {
	g.said = append(g.said, "ask")
	if g.wait && g.after > 0 {
		time.AfterFunc(g.after, func() {
			g.answer(q.ID, g.server())
			g.answer(q.ID, g.server()) // once more, which changes nothing
		})
	}
	return g.wait
}

func (g *fakeGuide) AttemptSent(_ decide.RequestID, n int, _ decide.ServerID) {
	g.said = append(g.said, fmt.Sprint("sent ", n))
}

func (g *fakeGuide) AttemptEnded(_ decide.RequestID, n int, r decide.Result) {
	g.said = append(g.said, fmt.Sprint("ended ", n, " ", r))
}
func (g *fakeGuide) RequestClosed(decide.RequestID) { g.said = append(g.said, "closed") }
func (g *fakeGuide) Close()                         { g.said = append(g.said, "close") }

// guided makes a pool with a guide.
func guided(s *script, g *fakeGuide) *Pool {
	p := scripted(s)
	p.set.Placer = g
	g.Start(p.guided)
	g.server = func() decide.ServerID { return p.servers["b"].id }
	return p
}

// TestGuide has a guide name the second server for all requests, and says what the
// guide is told.
func TestGuide(t *testing.T) {
	full := func(_ context.Context, _ int, addr string) (decide.Result, *Answer) { return decide.Overloaded, nil }
	for name, c := range map[string]struct {
		wait  bool
		after time.Duration
		do    func(context.Context, int, string) (decide.Result, *Answer)
		want  Status
		said  []string
	}{
		"a plan":    {true, 5 * time.Millisecond, served, Served, []string{"ask", "sent 0", "ended 0 ok", "closed", "close"}},
		"alone":     {false, 0, served, Served, []string{"ask", "sent 0", "ended 0 ok", "closed", "close"}},
		"all full":  {true, 5 * time.Millisecond, full, Rejected, []string{"ask", "sent 0", "ended 0 full", "sent 1", "ended 1 full", "closed", "close"}},
		"very late": {true, 3 * time.Second, served, Rejected, []string{"ask", "closed", "close"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				addrs := make(chan string, 10)
				s := &script{do: func(ctx context.Context, n int, addr string) (decide.Result, *Answer) {
					addrs <- addr
					return c.do(ctx, n, addr)
				}}
				g := &fakeGuide{wait: c.wait, after: c.after}
				p := guided(s, g)
				for i := range 10 {
					g.said = nil
					x, err := ask(p, fmt.Sprint(i), unsafe)
					if err != nil {
						t.Fatal(err)
					}
					if fin := only(t, x); fin.Status != c.want {
						t.Fatalf("request %d ended %v", i, fin.Status)
					}
					if c.wait && c.want == Served {
						if addr := <-addrs; addr != "b:1" {
							t.Errorf("sent to %s, planned was b", addr)
						}
					}
					for len(addrs) > 0 {
						<-addrs
					}
				}
				p.Close()
				synctest.Wait()
				if !slices.Equal(g.said, c.said) {
					t.Errorf("the guide was told %q, want %q", g.said, c.said)
				}
			})
		})
	}
}

func served(context.Context, int, string) (decide.Result, *Answer) {
	return decide.OK, &Answer{Code: 200}
}

// TestGoneWhileAsking has the client leave before the guide has answered: the answer
// then sends nothing.
func TestGoneWhileAsking(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{do: served}
		g := &fakeGuide{wait: true, after: 10 * time.Millisecond}
		p := guided(s, g)
		x, err := ask(p, "one", unsafe)
		if err != nil {
			t.Fatal(err)
		}
		p.Gone(x)
		p.Retire()
		<-p.Empty()
		time.Sleep(time.Second)
		synctest.Wait()
		if sends, _ := s.count(); sends != 0 {
			t.Errorf("%d attempts for a client that had gone", sends)
		}
		p.Close()
		synctest.Wait()
		if want := []string{"ask", "closed", "close"}; !slices.Equal(g.said, want) {
			t.Errorf("the guide was told %q", g.said)
		}
	})
}
