package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"jasperpin/internal/core"
	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/check"
	"jasperpin/internal/limit"
)

const testClasses = `
[[pool.class]]
name = "look"
repeat = "safe"
aim = "10s"
deadline = "20s"
[[pool.class]]
name = "order"
repeat = "keyed"
remember = "60s"
aim = "10s"
deadline = "20s"
[[pool.class]]
name = "credit"
repeat = "never"
aim = "10s"
deadline = "20s"
`

// poolText returns a pool as the file has it.
func poolText(name, lines string, servers ...string) string {
	text := "[[pool]]\nname = \"" + name + "\"\nprotocol = \"platform\"\n" + lines + "\n"
	if len(servers) > 0 {
		text += "servers = [\"" + strings.Join(servers, "\", \"") + "\"]\n"
	}
	return text + testClasses
}

// serviceText returns a service as the file has it, with the host NAME.example.org and the pool of
// its name.
func serviceText(name, lines string) string {
	return fmt.Sprintf("[[service]]\nname = %q\n%s\n[[service.route]]\nhosts = [\"%s.example.org\"]\npool = %q\n", name, lines, name, name)
}

const nodeText = "[node]\nlisten = [\"127.0.0.1:0\"]\n[limits]\nmemory = \"64MB\"\ndescriptors = 512\n"

// startServices runs a node by an operator's file.
func startServices(t *testing.T, text string) *testNode {
	t.Helper()
	return startServicesWithin(t, 512, text)
}

// startServicesWithin runs one with a number of descriptors.
func startServicesWithin(t *testing.T, descriptors int, text string) *testNode {
	t.Helper()
	n := newFileNode(t, strings.Replace(nodeText, "512", fmt.Sprint(descriptors), 1)+text)
	n.startAndAwait(File{Path: n.file})
	return n
}

// reloadServices replaces the file but for the node's own tables, reloads and waits until it is in
// force.
func (n *testNode) reloadServices(text string) {
	n.t.Helper()
	n.reloadFile(nodeText + text)
}

// reloadFile replaces the file, reloads and waits until it is in force.
func (n *testNode) reloadFile(text string) {
	n.t.Helper()
	was := strings.Count(n.logged.String(), "msg=reloaded")
	n.writeText(text)
	n.reload()
	check.Eventually(n.t, "the file is in force", func() bool { return strings.Count(n.logged.String(), "msg=reloaded") > was })
}

// forHost addresses a request to a service's host.
func forHost(service, text string) string {
	return strings.Replace(text, "Host: h\r", "Host: "+service+".example.org\r", 1)
}

func startServer(t *testing.T, set emulator.ServerSettings) *emulator.Server {
	t.Helper()
	return check.StartForTest(t, func() (*emulator.Server, error) { return emulator.NewServer(set) })
}

// probe sends a service one request after another until stop, and returns how many were answered,
// and the slowest time.
func (n *testNode) probe(service string, stop <-chan struct{}) (asked int, worst time.Duration) {
	c := n.dial()
	br := bufio.NewReader(c)
	for {
		select {
		case <-stop:
			return asked, worst
		default:
		}
		asked++
		began := time.Now()
		if status, body, _ := n.roundTrip(c, br, forHost(service, lookRequest(fmt.Sprint("calm", asked)))); status != 200 {
			n.t.Errorf("calm request %d: %d %q", asked, status, body)
			return asked, worst
		}
		worst = max(worst, time.Since(began))
	}
}

// TestFaultStaysInItsPool has one service overloaded, or before servers that fall silent: another
// service answers every request.
func TestFaultStaysInItsPool(t *testing.T) {
	for name, mode := range map[string]emulator.Mode{"overloaded": emulator.Serving, "silent": emulator.Silent} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			slow := startServer(t, emulator.ServerSettings{Cores: 1, Queue: 4, Work: 20 * time.Millisecond})
			slow.SetMode(mode)
			quick := check.ScriptedServer(t, emulator.Echo)
			n := startServices(t, serviceText("orders", "")+serviceText("stock", "")+poolText("orders", "", slow.Addr)+poolText("stock", "", quick.Addr))
			l := &emulator.Load{
				Addr: n.addr, Host: "orders.example.org", Rate: 400, Duration: 2 * time.Second, Seed: 5,
				Kinds: []emulator.RequestKind{{Class: "credit", Path: "/credit/", Method: "POST", Weight: 1, Work: 20 * time.Millisecond, LatencyObjective: 500 * time.Millisecond, Deadline: time.Second}},
			}
			running := l.Start(t.Context())
			stop := make(chan struct{})
			tallies := make(chan map[string]*emulator.Tally, 1)
			go func() {
				tallies <- running.Wait()
				close(stop)
			}()
			asked, worst := n.probe("stock", stop)
			if worst > 5*time.Second {
				t.Errorf("the slowest of %d calm requests took %v", asked, worst)
			}
			got := (<-tallies)["credit"]
			if got.Results[emulator.Lost]+got.Results[emulator.Wrong] > 0 || got.Requests == 0 {
				t.Errorf("orders: %+v", got.Results)
			}
			if mode == emulator.Serving && got.Results[emulator.Rejected] == 0 {
				t.Errorf("nothing was rejected at many times the capacity: %+v", got.Results)
			}
			sum := make(map[string]int)
			slow.AddExecutions(sum)
			for id, ran := range sum {
				if ran > 1 {
					t.Errorf("%s ran %d times", id, ran)
				}
			}
		})
	}
}

// TestSlowReadersOfOneService has many clients ask one service for long answers and read none of
// them: another service answers on. The clients have nearly all connections and ask for more than
// the buffers on the way hold, so that each request would be stuck for as long as a client may take
// nothing, were it admitted.
func TestSlowReadersOfOneService(t *testing.T) {
	answer := "HTTP/1.1 200 OK\r\nContent-Length: 65536\r\n\r\n" + strings.Repeat("z", 65536)
	var long []string
	var got []*emulator.ScriptedServer
	for range 4 { // quick enough for the crowd, or overload would hold it back
		s := check.ScriptedServer(t, emulator.Respond(answer))
		long, got = append(long, s.Addr), append(got, s)
	}
	quick := check.ScriptedServer(t, emulator.Echo)
	// 128 descriptors are 46 connections of clients.
	n := startServicesWithin(t, 128, serviceText("orders", "")+serviceText("stock", "")+poolText("orders", "share = 0.2", long...)+poolText("stock", "share = 0.5", quick.Addr))
	const each = 200 // 13 MB
	for i := range 45 {
		c := n.dial()
		if err := c.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
			t.Fatal(err)
		}
		var all strings.Builder
		for j := range each {
			all.WriteString(forHost("orders", lookRequest(fmt.Sprintf("s%d-%d", i, j))))
		}
		go func() { _, _ = io.WriteString(c, all.String()) }()
	}
	served := func() (sum int64) {
		for _, s := range got {
			sum += s.Received.Load()
		}
		return sum
	}
	last, since := int64(0), time.Now()
	check.Eventually(t, "the crowd is stuck", func() bool {
		if now := served(); now != last {
			last, since = now, time.Now()
		}
		return last > 0 && time.Since(since) > 500*time.Millisecond
	})
	t.Logf("the crowd of 31 asked for %d answers and had %d", 31*each, last)
	var calm sync.WaitGroup
	for i := range 8 {
		calm.Go(func() {
			began := time.Now()
			status, _, _ := n.roundTripOnce(forHost("stock", lookRequest(fmt.Sprint("q", i))))
			if took := time.Since(began); status != 200 || took > 5*time.Second {
				t.Errorf("beside the crowd: %d after %v", status, took)
			}
		})
	}
	calm.Wait()
}

// TestQueueOfPool puts two services before one pool with one place and a queue of one: the second
// request waits for the first, whichever service it came by, and a third is rejected at once.
func TestQueueOfPool(t *testing.T) {
	release := make(chan struct{})
	s := check.ScriptedServer(t, holdUntil(release, ""))
	other := "[[service]]\nname = \"other\"\n[[service.route]]\nhosts = [\"other.example.org\"]\npool = \"orders\"\n"
	n := startServices(t, serviceText("orders", "")+other+poolText("orders", "concurrent = 1\nqueue = 1\nqueue_wait = \"30s\"", s.Addr))
	ends := make(chan int, 3)
	ask := func(service, id string) {
		status := 0
		defer func() { ends <- status }() // of one that is never answered, too
		var h http.Header
		if status, _, h = n.roundTripOnce(forHost(service, postRequest("credit", id, "", "x"))); status == 503 && h.Get("Retry-After") == "" {
			t.Errorf("%s has no Retry-After", id)
		}
	}
	go ask("orders", "first")
	check.Eventually(t, "the first is out", func() bool { return s.Received.Load() == 1 })
	go ask("other", "second")
	go ask("orders", "third")
	if status := <-ends; status != 503 {
		t.Errorf("with the line full: %d", status)
	}
	if s.Received.Load() != 1 {
		t.Errorf("%d requests at the server, there is one place", s.Received.Load())
	}
	close(release)
	for range 2 {
		if status := <-ends; status != 200 {
			t.Errorf("in its turn: %d", status)
		}
	}
}

// TestFloodingTenant has one tenant hold all it can: it gets 429 or 503 with a Retry-After, and
// another tenant is served.
func TestFloodingTenant(t *testing.T) {
	release := make(chan struct{})
	s := check.ScriptedServer(t, holdUntil(release, "flood"))
	const limits = "tenant_header = \"Req-Owner\"\nconcurrent = 20\nqueue = 5\nqueue_wait = \"50ms\"\n" +
		"[[service.tenant]]\nname = \"flood\"\n[[service.tenant]]\nname = \"quiet\"\n[[service.tenant]]\nname = \"metered\"\nrate = 0.5\n"
	n := startServices(t, serviceText("orders", limits)+poolText("orders", "", s.Addr))
	of := func(tenant, id string) string {
		return forHost("orders", strings.Replace(lookRequest(id), "Req-Id", "Req-Owner: "+tenant+"\r\nReq-Id", 1))
	}
	var flood sync.WaitGroup
	var rejected atomic.Int64
	for i := range 60 {
		flood.Go(func() {
			switch status, _, h := n.roundTripOnce(of("flood", fmt.Sprint("f", i))); {
			case status == 503 && h.Get("Retry-After") != "":
				rejected.Add(1)
			case status != 200:
				t.Errorf("the flood is answered %d, Retry-After %q", status, h.Get("Retry-After"))
			}
		})
	}
	check.Eventually(t, "the flood is rejected", func() bool { return rejected.Load() >= 40 })
	if got := s.Received.Load(); got > 16 {
		t.Errorf("%d of the flood's requests went on, 16 of the 20 places are its", got)
	}
	for i := range 10 {
		if status, _, _ := n.roundTripOnce(of("quiet", fmt.Sprint("q", i))); status != 200 {
			t.Errorf("beside the flood: %d", status)
		}
	}
	if status, _, _ := n.roundTripOnce(of("metered", "m1")); status != 200 {
		t.Errorf("the first within its rate: %d", status)
	}
	if status, _, h := n.roundTripOnce(of("metered", "m2")); status != 429 || h.Get("Retry-After") == "" {
		t.Errorf("over its rate: %d, Retry-After %q", status, h.Get("Retry-After"))
	}
	close(release)
	flood.Wait()
}

// TestReloadsUnderLoad removes, adds back and changes a pool 50 times while requests are in flight:
// none is lost, none runs twice, and the pool that did not change keeps its connections.
func TestReloadsUnderLoad(t *testing.T) {
	a, b := startServer(t, emulator.ServerSettings{Cores: 64, Work: 3 * time.Millisecond}), startServer(t, emulator.ServerSettings{Cores: 64, Work: 3 * time.Millisecond})
	stock := check.ScriptedServer(t, emulator.Echo)
	rest := serviceText("stock", "") + poolText("stock", "", stock.Addr)
	files := []string{
		rest + serviceText("orders", "") + poolText("orders", "", a.Addr),
		rest,
		rest + serviceText("orders", "") + poolText("orders", "attempts = 2", a.Addr, b.Addr),
		rest + serviceText("orders", "concurrent = 500") + poolText("orders", "attempts = 2", b.Addr),
	}
	n := startServices(t, files[0])
	if status, _, _ := n.roundTripOnce(forHost("stock", lookRequest("first"))); status != 200 {
		t.Fatal(status)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	// A request that finds no service is answered 404, which the tally takes for failed.
	l := &emulator.Load{
		Addr: n.addr, Host: "orders.example.org", Rate: 300, Duration: time.Minute, Seed: 9,
		Kinds: []emulator.RequestKind{
			{Class: "credit", Path: "/credit/", Method: "POST", Weight: 1, Work: 3 * time.Millisecond, LatencyObjective: 10 * time.Second, Deadline: 20 * time.Second},
			{Class: "look", Path: "/look/", Method: "GET", Weight: 1, Work: 3 * time.Millisecond, LatencyObjective: 10 * time.Second, Deadline: 20 * time.Second},
		},
	}
	running := l.Start(ctx)
	for i := range 50 {
		n.reloadServices(files[(i+1)%len(files)])
		sent := running.Sent.Load()
		check.Eventually(t, "requests meet the new file", func() bool { return running.Sent.Load() > sent+2 })
		if status, _, _ := n.roundTripOnce(forHost("stock", lookRequest(fmt.Sprint("s", i)))); status != 200 {
			t.Fatalf("the other service after reload %d: %d", i, status)
		}
	}
	check.Eventually(t, "what was sent has ended", func() bool { return running.Ended.Load() >= running.Sent.Load()-2 })
	sent := running.Sent.Load()
	cancel()
	tallies := running.Wait()
	all := emulator.Tally{}
	for _, tally := range tallies {
		all.Add(tally)
	}
	// The last few are cut off by the end of the load itself.
	if lost := all.Results[emulator.Lost] + all.Results[emulator.Wrong]; lost > 0 || all.Results[emulator.InTime] == 0 {
		t.Errorf("of %d: %v", sent, all.Results)
	}
	sum := make(map[string]int)
	a.AddExecutions(sum)
	b.AddExecutions(sum)
	for id, ran := range sum {
		if ran > 1 {
			t.Errorf("%s ran %d times", id, ran)
		}
	}
	if got := stock.Conns.Load(); got != 1 {
		t.Errorf("the pool that did not change connected %d times", got)
	}
	check.Eventually(t, "all that was removed has drained", func() bool {
		return strings.Count(n.logged.String(), "msg=\"pool drains\"") == strings.Count(n.logged.String(), "msg=\"pool drained\"")
	})
}

// TestReloadRemovesPoolOfOpenRequest removes a pool while a request is in flight: the request ends
// there.
func TestReloadRemovesPoolOfOpenRequest(t *testing.T) {
	release := make(chan struct{})
	old := check.ScriptedServer(t, holdUntil(release, ""))
	fresh := check.ScriptedServer(t, emulator.Echo)
	n := startServices(t, serviceText("orders", "")+poolText("orders", "", old.Addr))
	got := make(chan string, 1)
	go func() {
		status, body, _ := n.roundTripOnce(forHost("orders", postRequest("credit", "c1", "", "x")))
		got <- fmt.Sprint(status, " ", body)
	}()
	check.Eventually(t, "the request is out", func() bool { return old.Received.Load() == 1 })
	n.reloadServices(serviceText("orders", "") + poolText("orders", "attempts = 1", fresh.Addr))
	if status, _, _ := n.roundTripOnce(forHost("orders", lookRequest("c2"))); status != 200 || fresh.Received.Load() != 1 {
		t.Errorf("after the reload: %d, %d at the new server", status, fresh.Received.Load())
	}
	close(release)
	if got := <-got; got != "200 c1 x" {
		t.Errorf("the request in flight: %s", got)
	}
	if old.Received.Load() != 1 {
		t.Errorf("the old server got %d", old.Received.Load())
	}
}

// TestReloadOfFileWithMistakes reloads files with mistakes: nothing changes.
func TestReloadOfFileWithMistakes(t *testing.T) {
	s := check.ScriptedServer(t, emulator.Echo)
	good := serviceText("orders", "") + poolText("orders", "", s.Addr)
	n := startServices(t, good)
	for i, bad := range []string{"", good + "[[pool]]\nname = \"x\"\n", strings.Replace(good, `pool = "orders"`, `pool = "none"`, 1), "=", good + serviceText("orders", "")} {
		n.writeText(nodeText + bad)
		n.reload()
		check.Eventually(t, "the log says why", func() bool { return strings.Count(n.logged.String(), "reload failed") == i+1 })
		if status, _, _ := n.roundTripOnce(forHost("orders", lookRequest(fmt.Sprint("b", i)))); status != 200 {
			t.Errorf("after bad file %d: %d", i, status)
		}
	}
	if got := s.Conns.Load(); got != 1 {
		t.Errorf("%d connections to the server, want the one it began with", got)
	}
}

// TestHostForms sends hosts in every form: each finds its service or gets the right error.
func TestHostForms(t *testing.T) {
	orders, stock := check.ScriptedServer(t, emulator.Respond("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\norders")), check.ScriptedServer(t, emulator.Respond("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstock"))
	n := startServices(t, serviceText("orders", "")+serviceText("stock", "")+poolText("orders", "", orders.Addr)+poolText("stock", "", stock.Addr))
	request := func(target, headers string) string {
		return "GET " + target + " HTTP/1.1\r\n" + headers + "Req-Id: h\r\nReq-Deadline-Ms: 5000\r\nConnection: close\r\n\r\n"
	}
	for name, c := range map[string]struct{ text, want string }{
		"plain":             {request("/look/1", "Host: orders.example.org\r\n"), "200 orders"},
		"with port":         {request("/look/1", "Host: stock.example.org:8080\r\n"), "200 stock"},
		"upper case":        {request("/look/1", "Host: STOCK.Example.Org\r\n"), "200 stock"},
		"with the root":     {request("/look/1", "Host: stock.example.org.\r\n"), "200 stock"},
		"missing":           {request("/look/1", ""), "400"},
		"empty":             {request("/look/1", "Host:\r\n"), "404"},
		"doubled":           {request("/look/1", "Host: orders.example.org\r\nHost: stock.example.org\r\n"), "400"},
		"doubled alike":     {request("/look/1", "Host: orders.example.org\r\nHost: orders.example.org\r\n"), "400"},
		"unknown":           {request("/look/1", "Host: other.example.org\r\n"), "404"},
		"not a host":        {request("/look/1", "Host: orders.example.org/x\r\n"), "400"},
		"bad port":          {request("/look/1", "Host: orders.example.org:x\r\n"), "400"},
		"absolute form":     {request("http://stock.example.org/look/1", "Host: stock.example.org\r\n"), "200 stock"},
		"absolute, another": {request("http://stock.example.org/look/1", "Host: orders.example.org\r\n"), "200 stock"}, // RFC 9112, 3.2.2
		"dots":              {request("/look/../order/1", "Host: orders.example.org\r\n"), "400"},
		"escaped dots":      {request("/look/%2e%2E/order/1", "Host: orders.example.org\r\n"), "400"},
		"no class":          {request("/nothing/1", "Host: orders.example.org\r\n"), "404"},
	} {
		got := n.exchange(c.text)
		status, want, _ := strings.Cut(c.want, " ")
		if !strings.HasPrefix(got, "HTTP/1.1 "+status) || !strings.HasSuffix(got, want) {
			t.Errorf("%s: %q, want %s", name, got, c.want)
		}
	}
	for head := range received(stock.Requests) {
		if strings.HasPrefix(head.RequestURI, "http") || head.Host == "orders.example.org" {
			t.Errorf("stock got %q for host %q", head.RequestURI, head.Host)
		}
	}
}

// received yields what a channel holds by now.
func received[T any](c <-chan T) func(yield func(T) bool) {
	return func(yield func(T) bool) {
		for len(c) > 0 {
			if !yield(<-c) {
				return
			}
		}
	}
}

// TestOneRequestIDInTwoServices has one Req-Id open in two services: each is its own.
func TestOneRequestIDInTwoServices(t *testing.T) {
	release := make(chan struct{})
	hold := holdUntil(release, "")
	a, b := check.ScriptedServer(t, hold), check.ScriptedServer(t, hold)
	n := startServices(t, serviceText("orders", "")+serviceText("stock", "")+poolText("orders", "", a.Addr)+poolText("stock", "", b.Addr))
	got := make(chan int, 2)
	for _, service := range []string{"orders", "stock"} {
		go func() {
			status, _, _ := n.roundTripOnce(forHost(service, lookRequest("same")))
			got <- status
		}()
	}
	check.Eventually(t, "both are out", func() bool { return a.Received.Load() == 1 && b.Received.Load() == 1 })
	if status, _, _ := n.roundTripOnce(forHost("stock", lookRequest("same"))); status != http.StatusConflict {
		t.Errorf("a third, in use in its own service: %d", status)
	}
	close(release)
	for range 2 {
		if status := <-got; status != 200 {
			t.Errorf("answered %d", status)
		}
	}
}

// TestDeadDiscoveryOfOnePool leaves one pool without any list of servers: its requests are rejected
// at once, and the other pool follows its own discovery.
func TestDeadDiscoveryOfOnePool(t *testing.T) {
	s := check.ScriptedServer(t, emulator.Echo)
	d := startDiscovery(t, s.Addr)
	n := startServices(t, serviceText("orders", "")+serviceText("stock", "")+
		poolText("orders", fmt.Sprintf("discovery = %q", check.UnusedAddr(t)))+poolText("stock", fmt.Sprintf("discovery = %q", d.Addr)))
	id := 0
	check.Eventually(t, "the pool with a discovery serves", func() bool {
		id++
		status, _, _ := n.roundTripOnce(forHost("stock", lookRequest(fmt.Sprint("d", id))))
		return status == 200
	})
	status, _, h := n.roundTripOnce(forHost("orders", postRequest("credit", "o1", "", "x")))
	if status != http.StatusServiceUnavailable || h.Get("Retry-After") == "" {
		t.Errorf("without servers: %d, Retry-After %q", status, h.Get("Retry-After"))
	}
	// Its discovery comes up elsewhere: the same pool follows it.
	d2 := startDiscovery(t, s.Addr)
	n.reloadServices(serviceText("orders", "") + serviceText("stock", "") + poolText("orders", fmt.Sprintf("discovery = %q", d2.Addr)) + poolText("stock", fmt.Sprintf("discovery = %q", d.Addr)))
	check.Eventually(t, "the pool is served by its new discovery", func() bool {
		id++
		status, _, _ := n.roundTripOnce(forHost("orders", lookRequest(fmt.Sprint("d", id))))
		return status == 200
	})
}

// TestPlainHTTP serves HTTP without the platform's headers: any status under 500 is passed on,
// requests need no ID, and methods are classed by what repeating them does.
func TestPlainHTTP(t *testing.T) {
	s := check.StartForTest(t, func() (*emulator.ScriptedServer, error) {
		return emulator.NewScriptedServer(func(c net.Conn, r *http.Request, body []byte) bool {
			status := strings.TrimPrefix(r.URL.Path, "/")
			text := "body of " + status
			if status == "204" || status == "304" {
				_, err := fmt.Fprintf(c, "HTTP/1.1 %s X\r\n\r\n", status)
				return err == nil
			}
			head := fmt.Sprintf("HTTP/1.1 %s X\r\nContent-Length: %d\r\nX-Seen-For: %s\r\n\r\n", status, len(text), r.Header.Get("X-Forwarded-For"))
			if r.Method == http.MethodHead {
				text = ""
			}
			_, err := io.WriteString(c, head+text)
			return err == nil
		})
	})
	text := "[[service]]\nname = \"web\"\n[[service.route]]\nmethod = \"POST\"\nas = \"act\"\npool = \"web\"\n[[service.route]]\nas = \"page\"\npool = \"web\"\n" +
		"[[pool]]\nname = \"web\"\nservers = [\"" + s.Addr + "\"]\n[[pool.class]]\nname = \"page\"\nrepeat = \"safe\"\naim = \"5s\"\n[[pool.class]]\nname = \"act\"\nrepeat = \"never\"\naim = \"5s\"\n"
	n := startServices(t, text)
	client := &http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	for _, c := range []struct {
		method, path string
		status       int
		body         string
	}{
		{"GET", "/200", 200, "body of 200"}, {"GET", "/404", 404, "body of 404"}, {"GET", "/302", 302, "body of 302"},
		{"POST", "/201", 201, "body of 201"}, {"GET", "/204", 204, ""}, {"GET", "/304", 304, ""}, {"HEAD", "/200", 200, ""},
		{"GET", "/500", 503, ""}, {"POST", "/503", 502, ""}, {"PUT", "/200", 405, "the class takes GET, HEAD and OPTIONS\n"},
	} {
		req, err := http.NewRequest(c.method, "http://"+n.addr+c.path, nil)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := client.Do(req)
		if err != nil {
			t.Fatalf("%s %s: %v", c.method, c.path, err)
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil || resp.StatusCode != c.status || string(body) != c.body {
			t.Errorf("%s %s: %d %q, %v", c.method, c.path, resp.StatusCode, body, err)
		}
		if c.path == "/200" && c.method == "GET" && resp.Header.Get("X-Seen-For") != "127.0.0.1" {
			t.Errorf("the server saw X-Forwarded-For %q", resp.Header.Get("X-Seen-For"))
		}
	}
}

// TestRequestBudgetsAtTheirLimit holds as many requests as the limits allow: the pool that borrowed
// gets no more, and the other has its guaranteed quota.
func TestRequestBudgetsAtTheirLimit(t *testing.T) {
	release := make(chan struct{})
	slow := check.ScriptedServer(t, holdUntil(release, ""))
	quick := check.ScriptedServer(t, emulator.Echo)
	// 128 descriptors are 42 connections to servers, half of which are guaranteed to stock.
	text := serviceText("orders", "") + serviceText("stock", "") + poolText("orders", "share = 0.1", slow.Addr) + poolText("stock", "share = 0.5", quick.Addr)
	n := startServicesWithin(t, 128, text)
	var crowd sync.WaitGroup
	var rejected, served atomic.Int64
	for i := range 36 {
		crowd.Go(func() {
			status, _, _ := n.roundTripOnce(forHost("orders", lookRequest(fmt.Sprint("o", i))))
			switch status {
			case 200:
				served.Add(1)
			case 503:
				rejected.Add(1)
			default:
				t.Errorf("answered %d", status)
			}
		})
	}
	check.Eventually(t, "the pool is at its limit", func() bool { return rejected.Load() == 15 })
	if got := n.node.connections.PoolConnections("orders"); got > 21 {
		t.Errorf("%d connections to servers, 21 are not another's", got)
	}
	for i := range 50 {
		if status, _, _ := n.roundTripOnce(forHost("stock", lookRequest(fmt.Sprint("s", i)))); status != 200 {
			t.Errorf("within its guarantee: %d", status)
		}
	}
	close(release)
	crowd.Wait()
	if served.Load() != 21 {
		t.Errorf("%d served", served.Load())
	}
	check.Eventually(t, "nothing is held", func() bool {
		status, _, _ := n.roundTripOnce(forHost("orders", lookRequest("after")))
		return status == 200
	})
}

// TestByteBudgetsAtTheirLimit holds as many bodies as the limits allow: the pool that borrowed gets
// no more, and the other has its guaranteed quota.
func TestByteBudgetsAtTheirLimit(t *testing.T) {
	release := make(chan struct{})
	slow, quick := check.ScriptedServer(t, holdUntil(release, "")), check.ScriptedServer(t, emulator.Echo)
	text := serviceText("orders", "") + serviceText("stock", "") + poolText("orders", "share = 0.1", slow.Addr) + poolText("stock", "share = 0.5", quick.Addr)
	n := newFileNode(t, strings.Replace(nodeText, "64MB", "32MB", 1)+text)
	n.startAndAwait(File{Path: n.file})
	body := strings.Repeat("b", core.MaxBufferedAnswer-64) // the echo has the name before it
	all := limit.Machine{Memory: 32 << 20}.BodyBytes()
	room := int64((all - all/2) / (len(body) + core.MaxBufferedAnswer)) // half is stock's; an answer counts, too
	const asked = 100
	var crowd sync.WaitGroup
	var rejected, served atomic.Int64
	for i := range asked {
		crowd.Go(func() {
			switch status, _, _ := n.roundTripOnce(forHost("orders", postRequest("credit", fmt.Sprint("o", i), "", body))); status {
			case 200:
				served.Add(1)
			case 503:
				rejected.Add(1)
			default:
				t.Errorf("answered %d", status)
			}
		})
	}
	check.Eventually(t, "the pool is at its limit", func() bool { return rejected.Load() == asked-room })
	for i := range 20 {
		if status, _, _ := n.roundTripOnce(forHost("stock", postRequest("credit", fmt.Sprint("s", i), "", body))); status != 200 {
			t.Errorf("within its guarantee: %d", status)
		}
	}
	close(release)
	crowd.Wait()
	if served.Load() != room {
		t.Errorf("%d served, there was room for %d", served.Load(), room)
	}
}
