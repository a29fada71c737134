package node

import (
	"bytes"
	"crypto/tls"
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/check"
	"jasperpin/internal/mtls"
	"jasperpin/internal/planner"
	"jasperpin/internal/plannerrpc"
)

// tier is a tier's authority and the pools that its ends share.
type tier struct {
	t     *testing.T
	auth  *emulator.Authority
	pools string
}

func newTier(t *testing.T, pools string) *tier {
	t.Helper()
	return &tier{t, check.Must[*emulator.Authority](t)(emulator.NewAuthority(t.TempDir())), pools}
}

// files are the lines of [planning] that name the files of an end.
func (x *tier) files(name string) string {
	x.t.Helper()
	cert, key, err := x.auth.Issue(name)
	if err != nil {
		x.t.Fatal(err)
	}
	return fmt.Sprintf("certificate = %q\nkey = %q\nauthorities = %q\n", cert, key, x.auth.File)
}

// tls is what an end uses that believes the tier, with a certificate of some authority.
func (x *tier) tls(name string, by *emulator.Authority) *tls.Config {
	x.t.Helper()
	cert, key, err := by.Issue(name)
	if err != nil {
		x.t.Fatal(err)
	}
	return check.Must[*tls.Config](x.t)(mtls.Files{Certificate: cert, Key: key, Authorities: x.auth.File}.Load(plannerrpc.PlannerName))
}

// planner starts a planner at an address, or at any with port 0.
func (x *tier) planner(addr string) *testNode {
	x.t.Helper()
	n := byFile(x.t, "[node]\nrole = \"planner\"\n[planning]\nlisten = [\""+addr+"\"]\n"+x.files(plannerrpc.PlannerName)+x.pools)
	n.begin(File{Path: n.file})
	return n
}

// forwarderText is the file of a forwarder, whose limits have room for all that comes in a pause of the
// machine of seconds.
func (x *tier) forwarderText(name, files, rest string, planners ...string) string {
	return "[node]\nname = \"" + name + "\"\nrole = \"forwarder\"\nlisten = [\"127.0.0.1:0\"]\n[limits]\nmemory = \"256MB\"\ndescriptors = 2048\n" +
		"[planning]\nplanners = [\"" + strings.Join(planners, "\", \"") + "\"]\n" + files + rest + x.pools
}

func (x *tier) forwarder(name string, planners ...string) *testNode {
	x.t.Helper()
	n := byFile(x.t, x.forwarderText(name, x.files(name), svc("orders", ""), planners...))
	n.begin(File{Path: n.file})
	return n
}

// planned waits until plans are carried out, one request after another.
func (n *testNode) planned(prefix string) {
	n.t.Helper()
	was, id := n.node.plannerClients.counts().Planned, 0
	check.Eventually(n.t, "requests go by plans", func() bool {
		id++
		if status, _, _ := n.once(at("orders", look(fmt.Sprint(prefix, id)))); status != 200 {
			n.t.Fatalf("request %d: %d", id, status)
		}
		return n.node.plannerClients.counts().Planned > was+5
	})
}

// connected waits until a planner has so many forwarders.
func connected(p *testNode, forwarders int) {
	p.t.Helper()
	check.Eventually(p.t, "the forwarders are connected", func() bool { return p.ordersPool().Forwarders() == forwarders })
}

// ordersPool is a planner's pool of orders, or nil.
func (n *testNode) ordersPool() *plannerrpc.PoolServer {
	p := n.node.planner
	p.mu.Lock()
	defer p.mu.Unlock()
	if pool := p.pools["orders"]; pool != nil {
		return pool.PoolServer
	}
	return nil
}

// withPlanner is a tier of some servers, one planner, and a forwarder that goes by it.
func withPlanner(t *testing.T, servers int) (x *tier, planner, forwarder *testNode) {
	t.Helper()
	_, pools := boxes(t, servers)
	x = newTier(t, pools)
	planner = x.planner("127.0.0.1:0")
	forwarder = x.forwarder("a", planner.addr)
	forwarder.planned("a")
	return x, planner, forwarder
}

// boxes are some servers, and the pool before them. They have room for all that the tests send, also
// at once after a pause of the machine: what is refused is refused by the node.
func boxes(t *testing.T, n int) ([]*emulator.Box, string) {
	var all []*emulator.Box
	var addrs []string
	for range n {
		b := box(t, emulator.BoxSettings{Cores: 8, Queue: 1 << 12, Work: 2 * time.Millisecond})
		all, addrs = append(all, b), append(addrs, b.Addr)
	}
	return all, pool("orders", "", addrs...)
}

// steady is a load of all effects on a forwarder's service.
func steady(n *testNode, seed uint64, span time.Duration) *emulator.Load {
	return &emulator.Load{
		Addr: n.addr, Host: "orders.example.org", Rate: 150, For: span, Seed: seed, Prefix: fmt.Sprint("l", seed, "-"),
		Kinds: []emulator.Kind{
			{Class: "credit", Path: "/credit/", Method: "POST", Share: 1, Work: 2 * time.Millisecond, Aim: 10 * time.Second, Deadline: 20 * time.Second},
			{Class: "look", Path: "/look/", Method: "GET", Share: 1, Work: 2 * time.Millisecond, Aim: 10 * time.Second, Deadline: 20 * time.Second},
		},
	}
}

// served checks that a load has all been answered, and that nothing ran twice.
func served(t *testing.T, tallies map[string]*emulator.Tally, servers []*emulator.Box) {
	t.Helper()
	for class, tally := range tallies {
		if tally.Asked == 0 || tally.Ends[emulator.InTime] != tally.Asked {
			t.Errorf("%s: of %d: %v", class, tally.Asked, tally.Ends)
		}
	}
	ran := make(map[string]int)
	for _, b := range servers {
		b.Effects(ran)
	}
	for id, n := range ran {
		if n > 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}
}

// TestForwardersFollowPlans has two forwarders ask one planner, which knows of all attempts that
// both have in flight, until all have ended.
func TestForwardersFollowPlans(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	s := check.Raw(t, held(release, "slow"))
	x := newTier(t, pool("orders", "", s.Addr))
	p := x.planner("127.0.0.1:0")
	a, b := x.forwarder("a", p.addr), x.forwarder("b", p.addr)
	connected(p, 2)
	a.planned("a")
	b.planned("b")
	const held = 5
	done := make(chan int, 2*held)
	for _, f := range []*testNode{a, b} {
		for i := range held {
			go func() {
				status := 0
				defer func() { done <- status }()
				status, _, _ = f.once(at("orders", strings.Replace(post("credit", fmt.Sprint("h", i), "", "x"), "Req-Id", "Req-Owner: slow\r\nReq-Id", 1)))
			}()
		}
	}
	check.Eventually(t, "the planner knows what both have out", func() bool { return p.ordersPool().AttemptsInFlight() == 2*held })
	close(release)
	for range 2 * held {
		if status := <-done; status != 200 {
			t.Errorf("answered %d", status)
		}
	}
	check.Eventually(t, "the planner knows that nothing is out", func() bool { return p.ordersPool().AttemptsInFlight() == 0 })
}

// TestPlannerFaults has planners die, fall silent, slow down and be cut off under load: each
// request gets its one answer, nothing runs twice, and plans come back.
func TestPlannerFaults(t *testing.T) {
	t.Parallel()
	servers, pools := boxes(t, 3)
	x := newTier(t, pools)
	p := x.planner("127.0.0.1:0")
	for name, fail := range map[string]func(*emulator.Proxy) (end func()){
		"cut": func(px *emulator.Proxy) func() {
			px.Cut()
			return func() {}
		},
		"silent": func(px *emulator.Proxy) func() {
			px.Set(emulator.Fault{BlackHole: true})
			return func() {
				px.Set(emulator.Fault{}) // bytes are missing: what stands is no stream any more
				px.Cut()
			}
		},
		"deaf": func(px *emulator.Proxy) func() {
			px.Set(emulator.Fault{HalfOpen: true})
			return func() {
				px.Set(emulator.Fault{})
				px.Cut()
			}
		},
		"slow": func(px *emulator.Proxy) func() {
			px.Set(emulator.Fault{Delay: 60 * time.Millisecond})
			return func() { px.Set(emulator.Fault{}) }
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			px := check.Owned(t, func() (*emulator.Proxy, error) { return emulator.NewProxy(p.addr) })
			x := &tier{t, x.auth, x.pools}
			f := x.forwarder(name, px.Addr)
			f.planned("before")
			load := steady(f, 3, 1500*time.Millisecond)
			load.Prefix = name + "-"
			running := load.Start(t.Context())
			check.Eventually(t, "the load runs", func() bool { return running.Ended.Load() > 50 })
			end := fail(px)
			at := running.Ended.Load()
			check.Eventually(t, "the load runs on", func() bool { return running.Ended.Load() > at+50 })
			end()
			served(t, running.Wait(), servers)
			f.planned("after")
		})
	}
}

// TestPlannersDieInTurn ends the first of two planners under load, starts it again and ends both:
// the second takes over, and at last the forwarders decide alone.
func TestPlannersDieInTurn(t *testing.T) {
	t.Parallel()
	servers, pools := boxes(t, 3)
	x := newTier(t, pools)
	first, second := x.planner("127.0.0.1:0"), x.planner("127.0.0.1:0")
	a, b := x.forwarder("a", first.addr, second.addr), x.forwarder("b", first.addr, second.addr)
	a.planned("a")
	b.planned("b")
	load := []*emulator.Running{steady(a, 1, time.Minute).Start(t.Context()), steady(b, 2, time.Minute).Start(t.Context())}
	check.Eventually(t, "the load runs", func() bool { return load[0].Ended.Load() > 50 })
	first.stop()
	was := a.node.plannerClients.counts().Planned
	check.Eventually(t, "the second plans", func() bool { return a.node.plannerClients.counts().Planned > was+50 })
	again := x.planner(first.addr)
	connected(again, 2)
	again.stop()
	second.stop()
	wasAlone := a.node.plannerClients.counts().Alone
	check.Eventually(t, "the forwarder goes on alone", func() bool { return a.node.plannerClients.counts().Alone > wasAlone+20 })
	for _, l := range load {
		l.Stop()
		served(t, l.Wait(), servers)
	}
}

// TestPlannerRejectsOtherClients connects to a planner as what is no forwarder of this tier or of
// this release: the planner rejects each and serves its own forwarders.
func TestPlannerRejectsOtherClients(t *testing.T) {
	t.Parallel()
	x, p, f := withPlanner(t, 1)
	mine := func(name string) *tls.Config { return x.tls(name, x.auth) }
	foreign := x.tls("stranger", newTier(t, x.pools).auth)
	nameless := mine("nobody")
	nameless.Certificates = nil
	hello := func(change func(*planner.Hello)) []byte {
		h := planner.Hello{Version: planner.Version, Name: "x", Pool: "orders", Classes: []string{"look", "order", "credit"}}
		change(&h)
		return framed(h.Append(nil))
	}
	good := func(*planner.Hello) {}
	sent := planner.Message{Kind: planner.Sent, ID: 1, Server: 1, Question: planner.Question{Class: 200, Left: time.Minute}}
	for name, c := range map[string]struct {
		tls  *tls.Config
		say  []byte
		want string // of what the planner answers; "" for an end without a word
	}{
		"another authority": {foreign, hello(good), ""},
		"no certificate":    {nameless, hello(good), ""},
		"noise":             {mine("x"), bytes.Repeat([]byte{0xff}, 100), "a frame of 4294967295 bytes"},
		"a greeting cut":    {mine("x"), framed([]byte{1, 200}), "greeting"},
		"a later version":   {mine("x"), hello(func(h *planner.Hello) { h.Version = 9 }), "version 9"},
		"another pool":      {mine("x"), hello(func(h *planner.Hello) { h.Pool = "stock" }), `no pool \"stock\"`},
		"other classes":     {mine("x"), hello(func(h *planner.Hello) { h.Classes = []string{"look"} }), "classes"},
		"an endless frame":  {mine("x"), append(hello(good), 0x7f, 0xff, 0xff, 0xff, 1), ""},
		"a bad message":     {mine("x"), append(hello(good), framed([]byte{99})...), ""},
		"a planner's word":  {mine("x"), append(hello(good), framed((&planner.Message{Kind: planner.Plan, ID: 1, Server: 1}).Append(nil))...), ""},
	} {
		conn, err := net.Dial("tcp", p.addr)
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(check.Soon))
		tc := tls.Client(conn, c.tls)
		_, _ = tc.Write(c.say)
		got, _ := io.ReadAll(tc) // to its end: the planner closes
		conn.Close()
		if text := fmt.Sprintf("%q", got); !strings.Contains(text, c.want) || c.want == "" && len(got) > 4 {
			t.Errorf("%s: the planner answered %s", name, text)
		}
	}
	// A class that the pool has not is passed over, and no reason to part.
	conn := check.Must[net.Conn](t)(net.Dial("tcp", p.addr))
	defer conn.Close()
	tc := tls.Client(conn, mine("x"))
	if _, err := tc.Write(append(hello(good), framed(sent.Append(nil))...)); err != nil {
		t.Fatal(err)
	}
	connected(p, 2)
	if out := p.ordersPool().AttemptsInFlight(); out != 0 {
		t.Errorf("%d attempts are believed to be out for a stranger's words", out)
	}
	f.planned("after")
}

func framed(payload []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(payload))), payload...)
}

// TestForwarderDiesWithAttemptsInFlight has a forwarder report attempts and vanish: they count
// until their clients have given up, and no longer.
func TestForwarderDiesWithAttemptsInFlight(t *testing.T) {
	t.Parallel()
	s := check.Raw(t, emulator.Echo)
	x := newTier(t, pool("orders", "", s.Addr))
	p := x.planner("127.0.0.1:0")
	f := x.forwarder("a", p.addr)
	f.planned("a") // so that the server's number is known to be right: it is planned
	var server decide.ServerID
	client := plannerrpc.NewClient(plannerrpc.ClientOptions{
		Name: "b", Pool: "orders", Classes: []string{"look", "order", "credit"}, Planners: []string{p.addr},
		TLS: x.tls("b", x.auth), Log: slog.New(slog.DiscardHandler),
	})
	answers := make(chan decide.ServerID, 1000)
	client.Start(func(_ decide.RequestID, s decide.ServerID) { answers <- s })
	id := decide.RequestID(0)
	check.Eventually(t, "a plan names the server", func() bool {
		id++
		if client.Place(decide.Request{ID: id}, time.Second) {
			server = <-answers
			client.RequestClosed(id)
		}
		return server != 0
	})
	const left = 300 * time.Millisecond
	for n := range 10 {
		id := decide.RequestID(5000 + n)
		if client.Place(decide.Request{ID: id}, left) {
			<-answers
		}
		client.AttemptSent(id, 0, server)
	}
	began := time.Now()
	check.Eventually(t, "the planner believes it", func() bool { return p.ordersPool().AttemptsInFlight() == 10 })
	client.Close()
	check.Eventually(t, "they count no more", func() bool { return p.ordersPool().AttemptsInFlight() == 0 })
	if took := time.Since(began); took < left-50*time.Millisecond {
		t.Errorf("they counted for %v only", took)
	}
}

// TestReloadOfForwarderAndPlanner gives a forwarder other planners, and a planner other pools.
func TestReloadOfForwarderAndPlanner(t *testing.T) {
	t.Parallel()
	_, pools := boxes(t, 2)
	x := newTier(t, pools)
	first, second := x.planner("127.0.0.1:0"), x.planner("127.0.0.1:0")
	files := x.files("a")
	f := byFile(t, x.forwarderText("a", files, svc("orders", ""), first.addr))
	f.begin(File{Path: f.file})
	f.planned("first")
	f.reloadedWhole(x.forwarderText("a", files, svc("orders", ""), second.addr))
	connected(second, 1)
	connected(first, 0)
	f.planned("second")
	// The planner's pool is gone, then back: the forwarder serves on and is planned for.
	text := check.Must[[]byte](t)(os.ReadFile(second.file))
	second.reloadedWhole(strings.Replace(string(text), "name = \"orders\"", "name = \"other\"", 1))
	if second.ordersPool() != nil {
		t.Error("a pool that is gone has a desk")
	}
	if status, _, _ := f.once(at("orders", look("without"))); status != 200 {
		t.Errorf("without a desk: %d", status)
	}
	check.Eventually(t, "the log says why nobody plans", func() bool { return strings.Contains(f.logged.String(), "no pool") })
	second.reloadedWhole(string(text))
	f.planned("again")
	// A role is changed by a restart.
	f.writeText(nodeText + svc("orders", "") + pools)
	f.reload()
	check.Eventually(t, "the log says that it was not done", func() bool { return strings.Contains(f.logged.String(), "node.role is node and was forwarder") })
	f.planned("still")
}

// TestEndpointListsDiffer gives a planner servers that its forwarder does not know, or knows to be
// draining: none of these gets a request, and all requests are served.
func TestEndpointListsDiffer(t *testing.T) {
	t.Parallel()
	mine, unknown, draining := check.Raw(t, emulator.Echo), check.Raw(t, emulator.Echo), check.Raw(t, emulator.Echo)
	x := newTier(t, pool("orders", "", mine.Addr, unknown.Addr, draining.Addr))
	p := x.planner("127.0.0.1:0")
	x.pools = "[[pool]]\nname = \"orders\"\nprotocol = \"platform\"\n" +
		"[[pool.server]]\naddress = \"" + mine.Addr + "\"\n" +
		"[[pool.server]]\naddress = \"" + draining.Addr + "\"\ndrain = true\n" + testClasses
	f := x.forwarder("a", p.addr)
	f.planned("a") // some plans name the one server that both have
	if unknown.Got.Load() != 0 || draining.Got.Load() != 0 {
		t.Errorf("%d requests at a server that is not on the list, %d at one that drains", unknown.Got.Load(), draining.Got.Load())
	}
	check.Eventually(t, "plans that are not carried out count no more", func() bool { return p.ordersPool().AttemptsInFlight() == 0 })
}

// TestForwardersOfOneName has two forwarders of one name: the planner serves one at a time and its
// log says why the other had to go. Requests are answered all the same.
func TestForwardersOfOneName(t *testing.T) {
	t.Parallel()
	x, p, a := withPlanner(t, 1)
	b := x.forwarder("a", p.addr)
	check.Eventually(t, "the log tells of it", func() bool {
		return strings.Contains(p.logged.String(), "another forwarder has connected under this name")
	})
	for i, f := range []*testNode{a, b} {
		if status, _, _ := f.once(at("orders", look(fmt.Sprint("t", i)))); status != 200 {
			t.Errorf("forwarder %d answered %d", i, status)
		}
	}
}

// TestOnlyPlannerEnds ends the only planner: its forwarder notices at once and serves on.
func TestOnlyPlannerEnds(t *testing.T) {
	t.Parallel()
	_, p, f := withPlanner(t, 1)
	p.stop()
	check.Eventually(t, "the log says that there is no planner", func() bool { return strings.Contains(f.logged.String(), "no planner") })
	if status, _, _ := f.once(at("orders", look("after"))); status != 200 {
		t.Errorf("without a planner: %d", status)
	}
}
