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

// testTier has the certificate authority of a tier, and the pools that its nodes share.
type testTier struct {
	t     *testing.T
	auth  *emulator.Authority
	pools string
}

func newTier(t *testing.T, pools string) *testTier {
	t.Helper()
	return &testTier{t, check.Must[*emulator.Authority](t)(emulator.NewAuthority(t.TempDir())), pools}
}

// files returns the settings for a new certificate of the tier's authority.
func (tier *testTier) files(name string) string {
	tier.t.Helper()
	cert, key, err := tier.auth.Issue(name)
	if err != nil {
		tier.t.Fatal(err)
	}
	return fmt.Sprintf("certificate = %q\nkey = %q\nauthorities = %q\n", cert, key, tier.auth.File)
}

// tls returns the TLS settings of a node that trusts the tier's authority, with a
// certificate issued by any authority.
func (tier *testTier) tls(name string, by *emulator.Authority) *tls.Config {
	tier.t.Helper()
	cert, key, err := by.Issue(name)
	if err != nil {
		tier.t.Fatal(err)
	}
	return check.Must[*tls.Config](tier.t)(mtls.Files{Certificate: cert, Key: key, Authorities: tier.auth.File}.Load(plannerrpc.PlannerDNSName))
}

// planner starts a planner at an address; port 0 selects any port.
func (tier *testTier) planner(addr string) *testNode {
	tier.t.Helper()
	n := newFileNode(tier.t, "[node]\nrole = \"planner\"\n[planning]\nlisten = [\""+addr+"\"]\n"+tier.files(plannerrpc.PlannerDNSName)+tier.pools)
	n.startAndAwait(File{Path: n.file})
	return n
}

// forwarderText returns the file of a forwarder. Its limits have room for all requests that accumulate
// while the machine pauses for seconds.
func (tier *testTier) forwarderText(name, files, rest string, planners ...string) string {
	return "[node]\nname = \"" + name + "\"\nrole = \"forwarder\"\nlisten = [\"127.0.0.1:0\"]\n[limits]\nmemory = \"256MB\"\ndescriptors = 2048\n" +
		"[planning]\nplanners = [\"" + strings.Join(planners, "\", \"") + "\"]\n" + files + rest + tier.pools
}

func (tier *testTier) forwarder(name string, planners ...string) *testNode {
	tier.t.Helper()
	n := newFileNode(tier.t, tier.forwarderText(name, tier.files(name), serviceText("orders", ""), planners...))
	n.startAndAwait(File{Path: n.file})
	return n
}

// placementCounts sums a forwarder's requests by how the server of their first attempt was chosen.
func (n *testNode) placementCounts() (sum planner.Counts) {
	c := n.node.plannerClients
	c.mu.Lock()
	defer c.mu.Unlock()
	for client := range c.clients {
		counts := client.Counts()
		sum.Planned += counts.Planned
		sum.Unplanned += counts.Unplanned
	}
	return sum
}

// awaitPlans sends one request after another until plans are followed.
func (n *testNode) awaitPlans(prefix string) {
	n.t.Helper()
	before, id := n.placementCounts().Planned, 0
	check.Eventually(n.t, "requests follow plans", func() bool {
		id++
		if status, _, _ := n.roundTripOnce(forHost("orders", lookRequest(fmt.Sprint(prefix, id)))); status != 200 {
			n.t.Fatalf("request %d was answered %d, want 200", id, status)
		}
		return n.placementCounts().Planned > before+5
	})
}

// awaitForwarders waits until a planner has this number of forwarders.
func awaitForwarders(p *testNode, forwarders int) {
	p.t.Helper()
	check.Eventually(p.t, "the forwarders are connected", func() bool { return p.ordersPool().Forwarders() == forwarders })
}

// ordersPool returns a planner's pool "orders", or nil.
func (n *testNode) ordersPool() *plannerrpc.PoolServer {
	p := n.node.planner
	p.mu.Lock()
	defer p.mu.Unlock()
	if pool := p.pools["orders"]; pool != nil {
		return pool.PoolServer
	}
	return nil
}

// startTier starts servers, one planner, and a forwarder that follows its plans.
func startTier(t *testing.T, servers int) (tier *testTier, planner, forwarder *testNode) {
	t.Helper()
	_, pools := startServers(t, servers)
	tier = newTier(t, pools)
	planner = tier.planner("127.0.0.1:0")
	forwarder = tier.forwarder("a", planner.addr)
	forwarder.awaitPlans("a")
	return tier, planner, forwarder
}

// startServers starts n servers, and returns them with the text of their pool. They have capacity for
// all requests of the tests, even at once after a pause of the machine: only the node rejects any.
func startServers(t *testing.T, n int) ([]*emulator.Server, string) {
	var all []*emulator.Server
	var addrs []string
	for range n {
		b := startServer(t, emulator.ServerSettings{Cores: 8, Queue: 1 << 12, Work: 2 * time.Millisecond})
		all, addrs = append(all, b), append(addrs, b.Addr)
	}
	return all, poolText("orders", "", addrs...)
}

// mixedLoad returns a load of idempotent and non-idempotent requests to a forwarder's service.
func mixedLoad(n *testNode, seed uint64, span time.Duration) *emulator.Load {
	return &emulator.Load{
		Addr: n.addr, Host: "orders.example.org", Rate: 150, Duration: span, Seed: seed, IDPrefix: fmt.Sprint("l", seed, "-"),
		Kinds: []emulator.RequestKind{
			{Class: "credit", Path: "/credit/", Method: "POST", Weight: 1, Work: 2 * time.Millisecond, LatencyObjective: 10 * time.Second, Deadline: 20 * time.Second},
			{Class: "look", Path: "/look/", Method: "GET", Weight: 1, Work: 2 * time.Millisecond, LatencyObjective: 10 * time.Second, Deadline: 20 * time.Second},
		},
	}
}

// checkServed checks that all requests of a load were served in time, and that none ran twice.
func checkServed(t *testing.T, tallies map[string]*emulator.Tally, servers []*emulator.Server) {
	t.Helper()
	for class, tally := range tallies {
		if tally.Requests == 0 || tally.Results[emulator.InTime] != tally.Requests {
			t.Errorf("%s: %d requests have the results %v, want all in time", class, tally.Requests, tally.Results)
		}
	}
	ran := make(map[string]int)
	for _, b := range servers {
		b.AddExecutions(ran)
	}
	for id, n := range ran {
		if n > 1 {
			t.Errorf("request %s ran %d times, want at most once", id, n)
		}
	}
}

// TestForwardersFollowPlans makes two forwarders use one planner, which counts all attempts that both
// have in flight, until all have ended.
func TestForwardersFollowPlans(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	server := check.ScriptedServer(t, holdUntil(release, "slow"))
	tier := newTier(t, poolText("orders", "", server.Addr))
	plannerNode := tier.planner("127.0.0.1:0")
	a, b := tier.forwarder("a", plannerNode.addr), tier.forwarder("b", plannerNode.addr)
	awaitForwarders(plannerNode, 2)
	a.awaitPlans("a")
	b.awaitPlans("b")
	const held = 5
	done := make(chan int, 2*held)
	for _, f := range []*testNode{a, b} {
		for i := range held {
			go func() {
				status := 0
				defer func() { done <- status }()
				status, _, _ = f.roundTripOnce(forHost("orders", strings.Replace(postRequest("credit", fmt.Sprint("h", i), "", "x"), "Req-Id", "Req-Owner: slow\r\nReq-Id", 1)))
			}()
		}
	}
	check.Eventually(t, "the planner counts the attempts of both", func() bool { return plannerNode.ordersPool().AttemptsInFlight() == 2*held })
	close(release)
	for range 2 * held {
		if status := <-done; status != 200 {
			t.Errorf("the answer is %d, want 200", status)
		}
	}
	check.Eventually(t, "the planner counts no attempts in flight", func() bool { return plannerNode.ordersPool().AttemptsInFlight() == 0 })
}

// TestPlannerFaults makes connections to planners fail, fall silent, become half-open and slow down under
// load: each request gets one answer, none runs twice, and plans are followed again.
func TestPlannerFaults(t *testing.T) {
	t.Parallel()
	servers, pools := startServers(t, 3)
	tier := newTier(t, pools)
	plannerNode := tier.planner("127.0.0.1:0")
	for name, fail := range map[string]func(*emulator.Proxy) (end func()){
		"disconnected": func(px *emulator.Proxy) func() {
			px.ResetConnections()
			return func() {}
		},
		"silent": func(px *emulator.Proxy) func() {
			px.Set(emulator.Fault{BlackHole: true})
			return func() {
				px.Set(emulator.Fault{}) // bytes are missing: the open streams are broken
				px.ResetConnections()
			}
		},
		"half-open": func(px *emulator.Proxy) func() {
			px.Set(emulator.Fault{HalfOpen: true})
			return func() {
				px.Set(emulator.Fault{})
				px.ResetConnections()
			}
		},
		"slow": func(px *emulator.Proxy) func() {
			px.Set(emulator.Fault{Delay: 60 * time.Millisecond})
			return func() { px.Set(emulator.Fault{}) }
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			proxy := check.StartForTest(t, func() (*emulator.Proxy, error) { return emulator.NewProxy(plannerNode.addr) })
			tier := &testTier{t, tier.auth, tier.pools}
			f := tier.forwarder(name, proxy.Addr)
			f.awaitPlans("before")
			load := mixedLoad(f, 3, 1500*time.Millisecond)
			load.IDPrefix = name + "-"
			running := load.Start(t.Context())
			check.Eventually(t, "the load runs", func() bool { return running.Ended.Load() > 50 })
			end := fail(proxy)
			at := running.Ended.Load()
			check.Eventually(t, "the load continues", func() bool { return running.Ended.Load() > at+50 })
			end()
			checkServed(t, running.Wait(), servers)
			f.awaitPlans("after")
		})
	}
}

// TestPlannersStopInTurn stops the first of two planners under load, starts it again and stops both: the
// second takes over, and finally the forwarders decide alone.
func TestPlannersStopInTurn(t *testing.T) {
	t.Parallel()
	servers, pools := startServers(t, 3)
	tier := newTier(t, pools)
	first, second := tier.planner("127.0.0.1:0"), tier.planner("127.0.0.1:0")
	a, b := tier.forwarder("a", first.addr, second.addr), tier.forwarder("b", first.addr, second.addr)
	a.awaitPlans("a")
	b.awaitPlans("b")
	load := []*emulator.LoadRun{mixedLoad(a, 1, time.Minute).Start(t.Context()), mixedLoad(b, 2, time.Minute).Start(t.Context())}
	check.Eventually(t, "the load runs", func() bool { return load[0].Ended.Load() > 50 })
	first.stop()
	before := a.placementCounts().Planned
	check.Eventually(t, "the second planner's plans are followed", func() bool { return a.placementCounts().Planned > before+50 })
	again := tier.planner(first.addr)
	awaitForwarders(again, 2)
	again.stop()
	second.stop()
	aloneBefore := a.placementCounts().Unplanned
	check.Eventually(t, "the forwarder decides alone", func() bool { return a.placementCounts().Unplanned > aloneBefore+20 })
	for _, l := range load {
		l.Stop()
		checkServed(t, l.Wait(), servers)
	}
}

// TestPlannerRejectsOtherClients connects to a planner with clients that are not forwarders of this
// tier or of this release: the planner rejects each and serves its own forwarders.
func TestPlannerRejectsOtherClients(t *testing.T) {
	t.Parallel()
	tier, plannerNode, forwarder := startTier(t, 1)
	mine := func(name string) *tls.Config { return tier.tls(name, tier.auth) }
	foreign := tier.tls("stranger", newTier(t, tier.pools).auth)
	nameless := mine("nobody")
	nameless.Certificates = nil
	hello := func(change func(*planner.Hello)) []byte {
		h := planner.Hello{Version: planner.Version, Name: "x", Pool: "orders", Classes: []string{"look", "order", "credit"}}
		change(&h)
		return frame(h.Append(nil))
	}
	good := func(*planner.Hello) {}
	sent := planner.Message{Kind: planner.KindAttemptSent, ID: 1, Server: 1, RequestInfo: planner.RequestInfo{Class: 200, Remaining: time.Minute}}
	for name, test := range map[string]struct {
		tls   *tls.Config
		input []byte
		want  string // a part of the planner's answer; "" if it closes without one
	}{
		"another authority":   {foreign, hello(good), ""},
		"no certificate":      {nameless, hello(good), ""},
		"noise":               {mine("x"), bytes.Repeat([]byte{0xff}, 100), "frame too long: 4294967295 bytes"},
		"a truncated hello":   {mine("x"), frame([]byte{1, 200}), "greeting"},
		"a later version":     {mine("x"), hello(func(h *planner.Hello) { h.Version = 9 }), "version 9"},
		"another pool":        {mine("x"), hello(func(h *planner.Hello) { h.Pool = "stock" }), `no pool \"stock\"`},
		"other classes":       {mine("x"), hello(func(h *planner.Hello) { h.Classes = []string{"look"} }), "classes"},
		"an endless frame":    {mine("x"), append(hello(good), 0x7f, 0xff, 0xff, 0xff, 1), ""},
		"a bad message":       {mine("x"), append(hello(good), frame([]byte{99})...), ""},
		"a planner's message": {mine("x"), append(hello(good), frame((&planner.Message{Kind: planner.KindPlacement, ID: 1, Server: 1}).Append(nil))...), ""},
	} {
		conn, err := net.Dial("tcp", plannerNode.addr)
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(check.Timeout))
		tc := tls.Client(conn, test.tls)
		_, _ = tc.Write(test.input)
		got, _ := io.ReadAll(tc) // until the planner closes
		conn.Close()
		if text := fmt.Sprintf("%q", got); !strings.Contains(text, test.want) || test.want == "" && len(got) > 4 {
			t.Errorf("%s: the planner answered %s", name, text)
		}
	}
	// An attempt of an unknown class is ignored, and the connection stays open.
	conn := check.Must[net.Conn](t)(net.Dial("tcp", plannerNode.addr))
	defer conn.Close()
	tc := tls.Client(conn, mine("x"))
	if _, err := tc.Write(append(hello(good), frame(sent.Append(nil))...)); err != nil {
		t.Fatal(err)
	}
	awaitForwarders(plannerNode, 2)
	if out := plannerNode.ordersPool().AttemptsInFlight(); out != 0 {
		t.Errorf("%d attempts count as in flight because of another client's messages, want none", out)
	}
	forwarder.awaitPlans("after")
}

func frame(payload []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(payload))), payload...)
}

// TestForwarderDisconnectsWithAttemptsInFlight makes a forwarder report attempts and disconnect: they count as in
// flight until their requests' deadlines have passed, and no longer.
func TestForwarderDisconnectsWithAttemptsInFlight(t *testing.T) {
	t.Parallel()
	s := check.ScriptedServer(t, emulator.Echo)
	tier := newTier(t, poolText("orders", "", s.Addr))
	plannerNode := tier.planner("127.0.0.1:0")
	forwarder := tier.forwarder("a", plannerNode.addr)
	forwarder.awaitPlans("a") // the planner has placed requests, so it has the endpoint list
	var server decide.ServerID
	client := plannerrpc.NewClient(plannerrpc.ClientOptions{
		Name: "b", Pool: "orders", Classes: []string{"look", "order", "credit"}, Planners: []string{plannerNode.addr},
		TLS: tier.tls("b", tier.auth), Log: slog.New(slog.DiscardHandler),
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
	check.Eventually(t, "the planner counts the attempts", func() bool { return plannerNode.ordersPool().AttemptsInFlight() == 10 })
	client.Close()
	check.Eventually(t, "the attempts no longer count", func() bool { return plannerNode.ordersPool().AttemptsInFlight() == 0 })
	if took := time.Since(began); took < left-50*time.Millisecond {
		t.Errorf("the attempts counted for only %v, want until the client's deadline", took)
	}
}

// TestReloadOfForwarderAndPlanner changes a forwarder's planners, and a planner's pools.
func TestReloadOfForwarderAndPlanner(t *testing.T) {
	t.Parallel()
	_, pools := startServers(t, 2)
	tier := newTier(t, pools)
	first, second := tier.planner("127.0.0.1:0"), tier.planner("127.0.0.1:0")
	files := tier.files("a")
	forwarder := newFileNode(t, tier.forwarderText("a", files, serviceText("orders", ""), first.addr))
	forwarder.startAndAwait(File{Path: forwarder.file})
	forwarder.awaitPlans("first")
	forwarder.reloadFile(tier.forwarderText("a", files, serviceText("orders", ""), second.addr))
	awaitForwarders(second, 1)
	awaitForwarders(first, 0)
	forwarder.awaitPlans("second")
	// The planner's pool is removed, then added back: the forwarder serves and follows plans again.
	text := check.Must[[]byte](t)(os.ReadFile(second.file))
	second.reloadFile(strings.Replace(string(text), "name = \"orders\"", "name = \"other\"", 1))
	if second.ordersPool() != nil {
		t.Error("a removed pool still has a planner")
	}
	if status, _, _ := forwarder.roundTripOnce(forHost("orders", lookRequest("without"))); status != 200 {
		t.Errorf("without a planner of the pool the answer is %d, want 200", status)
	}
	check.Eventually(t, "the log reports why there is no plan", func() bool { return strings.Contains(forwarder.logged.String(), "no pool") })
	second.reloadFile(string(text))
	forwarder.awaitPlans("again")
	// Changing the role requires a restart.
	forwarder.writeText(nodeText + serviceText("orders", "") + pools)
	forwarder.reload()
	check.Eventually(t, "the log reports that the role was not changed", func() bool { return strings.Contains(forwarder.logged.String(), "node.role is node and was forwarder") })
	forwarder.awaitPlans("still")
}

// TestEndpointListsDiffer makes a planner list servers that its forwarder does not know, or knows to be
// draining: none of these gets a request, and all requests are served.
func TestEndpointListsDiffer(t *testing.T) {
	t.Parallel()
	shared, unknown, draining := check.ScriptedServer(t, emulator.Echo), check.ScriptedServer(t, emulator.Echo), check.ScriptedServer(t, emulator.Echo)
	tier := newTier(t, poolText("orders", "", shared.Addr, unknown.Addr, draining.Addr))
	plannerNode := tier.planner("127.0.0.1:0")
	tier.pools = "[[pool]]\nname = \"orders\"\nprotocol = \"platform\"\n" +
		"[[pool.server]]\naddress = \"" + shared.Addr + "\"\n" +
		"[[pool.server]]\naddress = \"" + draining.Addr + "\"\ndrain = true\n" + testClasses
	forwarder := tier.forwarder("a", plannerNode.addr)
	forwarder.awaitPlans("a") // some plans name the one server that both have
	if unknown.Received.Load() != 0 || draining.Received.Load() != 0 {
		t.Errorf("%d requests went to an unknown server and %d to a draining one, want none", unknown.Received.Load(), draining.Received.Load())
	}
	check.Eventually(t, "plans that are not followed no longer count", func() bool { return plannerNode.ordersPool().AttemptsInFlight() == 0 })
}

// TestForwardersWithSameName runs two forwarders with one name: the planner serves one at a time and logs
// why it disconnected the other. Requests are still answered.
func TestForwardersWithSameName(t *testing.T) {
	t.Parallel()
	tier, plannerNode, a := startTier(t, 1)
	b := tier.forwarder("a", plannerNode.addr)
	check.Eventually(t, "the log reports the conflict", func() bool {
		return strings.Contains(plannerNode.logged.String(), "another forwarder has connected under this name")
	})
	for i, f := range []*testNode{a, b} {
		if status, _, _ := f.roundTripOnce(forHost("orders", lookRequest(fmt.Sprint("t", i)))); status != 200 {
			t.Errorf("forwarder %d answered %d, want 200", i, status)
		}
	}
}

// TestOnlyPlannerStops stops the only planner: its forwarder notices at once and continues to serve.
func TestOnlyPlannerStops(t *testing.T) {
	t.Parallel()
	_, plannerNode, forwarder := startTier(t, 1)
	plannerNode.stop()
	check.Eventually(t, "the log reports that there is no planner", func() bool { return strings.Contains(forwarder.logged.String(), "no planner") })
	if status, _, _ := forwarder.roundTripOnce(forHost("orders", lookRequest("after"))); status != 200 {
		t.Errorf("without a planner the answer is %d, want 200", status)
	}
}
