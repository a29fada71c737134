package node

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/check"
)

// withAdmin adds an admin address to the settings.
func withAdmin(raw map[string]any) { raw["control"] = "127.0.0.1:0" }

// call makes an operator's call and returns the answer.
func (n *testNode) call(line string) string {
	n.t.Helper()
	c, err := net.Dial("tcp", n.node.admin.Addr())
	if err != nil {
		n.t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(check.Timeout))
	_, _ = io.WriteString(c, line+"\n")
	b, err := io.ReadAll(c)
	if err != nil {
		n.t.Fatalf("%s: the call failed with error %v after %q", line, err, b)
	}
	return string(b)
}

// metric returns the value of a metric, or "none".
func (n *testNode) metric(name string) string {
	n.t.Helper()
	for line := range strings.Lines(n.call("telemetry")) {
		if v, ok := strings.CutPrefix(strings.TrimSpace(line), "svc."+name+"="); ok {
			return v
		}
	}
	return "none"
}

// TestExcludedServerGetsNoRequests takes a server out of rotation: it gets no requests, whatever
// discovery lists, until it is included again. Excluding an unlisted ID is an error.
func TestExcludedServerGetsNoRequests(t *testing.T) {
	server, other := check.ScriptedServer(t, emulator.Echo), check.ScriptedServer(t, emulator.Echo)
	n := startNode(t, withAdmin, server.Addr, other.Addr)
	ask := func(prefix string, times int) {
		t.Helper()
		for i := range times {
			if status, body, _ := n.roundTripOnce(lookRequest(fmt.Sprint(prefix, i))); status != 200 || body != fmt.Sprint(prefix, i, " ") {
				t.Fatalf("request %s%d: the answer is %d %q, want 200 and the request's ID", prefix, i, status, body)
			}
		}
	}
	if got := n.call("exclude s-nobody"); !strings.HasPrefix(got, "error") {
		t.Errorf("excluding an unknown server was answered %q, want an error", got)
	}
	for range 2 {
		if got := n.call("exclude s-" + server.Addr); got != "done\n" {
			t.Fatalf("exclude was answered %q, want done", got)
		}
	}
	before := server.Received.Load()
	ask("x", 20)
	if got := n.metric("out_of_rotation"); got != "1" {
		t.Errorf("%s servers are out of rotation, want 1", got)
	}
	// Discovery lists the excluded server as in service, with a new start time and another address.
	d := startDiscovery(t, server.Addr, other.Addr)
	calls := d.Calls.Load()
	n.raw["discovery"] = d.Addr
	n.writeSettings()
	n.reload()
	check.Eventually(t, "the list was polled again", func() bool { return d.Calls.Load() >= calls+2 })
	ask("y", 20)
	if got := server.Received.Load(); got != before {
		t.Errorf("%d requests went to an excluded server, want none", got-before)
	}
	if got := n.call("include s-" + server.Addr); got != "done\n" {
		t.Fatalf("include was answered %q, want done", got)
	}
	// With the other server excluded, this server gets all requests.
	if got := n.call("exclude s-" + other.Addr); got != "done\n" {
		t.Fatalf("exclude of the other server was answered %q, want done", got)
	}
	ask("z", 5)
	if got := server.Received.Load(); got != before+5 {
		t.Errorf("once included, the server got %d of 5 requests, want all", got-before)
	}
	n.call("include s-" + other.Addr)
	if got := n.metric("out_of_rotation"); got != "0" {
		t.Errorf("at the end %s servers are out of rotation, want 0", got)
	}
}

// TestAllServersExcluded takes every server out of rotation: requests are rejected at once.
func TestAllServersExcluded(t *testing.T) {
	a := check.ScriptedServer(t, emulator.Echo)
	n := startNode(t, withAdmin, a.Addr)
	n.call("exclude s-" + a.Addr)
	if status, _, _ := n.roundTripOnce(lookRequest("r1")); status != 503 {
		t.Errorf("with no server the answer is %d, want 503", status)
	}
	if got := n.metric("throttled.look"); got != "1" {
		t.Errorf("metric throttled.look is %s, want 1", got)
	}
}

// TestMetrics counts requests of each kind by their result, and the files that are read at SIGHUP.
func TestMetrics(t *testing.T) {
	release := make(chan struct{})
	a := check.ScriptedServer(t, holdUntil(release, "slow"))
	n := startNode(t, withAdmin, a.Addr)
	done := make(chan struct{})
	const each = 30
	for i := range each {
		go func() {
			defer func() { done <- struct{}{} }()
			n.roundTripOnce(lookRequest(fmt.Sprint("a", i)))
			n.roundTripOnce(postRequest("order", fmt.Sprint("b", i), "Idempotency-Key: k"+fmt.Sprint(i)+"\r\n", "x"))
			n.roundTripOnce(postRequest("credit", fmt.Sprint("c", i), "", "x"))
			if i == 0 {
				n.roundTripOnce(postRequest("credit", "late", "Req-Owner: slow\r\n", "x"))
			}
		}()
	}
	for range each - 1 {
		<-done
	}
	check.Eventually(t, "one request is open", func() bool { return n.metric("open_requests") == "1" })
	close(release)
	<-done
	want := map[string]string{
		"fulfilled.look": "30", "fulfilled.order": "30", "fulfilled.credit": "31", "relayed.credit": "31",
		"throttled.look": "0", "faulted.credit": "0", "registry_entries": "1", "out_of_rotation": "0", "cfg_accepted": "0", "cfg_invalid": "0",
	}
	check.Eventually(t, "all requests are counted", func() bool { return n.metric("open_requests") == "0" })
	for name, v := range want {
		if got := n.metric(name); got != v {
			t.Errorf("%s is %s, want %s", name, got, v)
		}
	}
	n.writeText("{")
	n.reload()
	check.Eventually(t, "the invalid file is counted", func() bool { return n.metric("cfg_invalid") == "1" })
	n.writeSettings()
	n.reload()
	check.Eventually(t, "the valid file is counted", func() bool { return n.metric("cfg_accepted") == "1" })
	if got := n.call("telemetry"); !strings.HasPrefix(got, "done\n") || !strings.HasSuffix(got, "\nend\n") {
		t.Errorf("telemetry was answered %q, want done, the metrics and end", got)
	}
}

// TestHotRestartByFile makes a second process of a node with an operator's file take over. It continues
// with the first one's listener, has the same server out of rotation, and rejects the ID of a request
// that is open in the first. Together both count the results that clients see.
func TestHotRestartByFile(t *testing.T) {
	release := make(chan struct{})
	slow, excluded := check.ScriptedServer(t, holdUntil(release, "slow")), check.ScriptedServer(t, emulator.Echo)
	first := newFileNode(t, privateNodeText(t)+serviceText("orders", "")+poolText("orders", "", slow.Addr, excluded.Addr))
	first.startAndAwait(File{Path: first.file, Control: "127.0.0.1:0"})
	if got := first.call("exclude orders/" + excluded.Addr); got != "done\n" {
		t.Fatalf("exclude was answered %q, want done", got)
	}
	owner := first.dial()
	if _, err := io.WriteString(owner, forHost("orders", postRequest("credit", "dup", "Req-Owner: slow\r\n", "x"))); err != nil {
		t.Fatal(err)
	}
	check.Eventually(t, "the request reached the server", func() bool { return slow.Received.Load() == 1 })
	running := (&emulator.Load{
		Addr: first.addr, Host: "orders.example.org", Rate: 300, Duration: time.Minute, Seed: 7, IDPrefix: "load-",
		Kinds: []emulator.RequestKind{{Class: "look", Path: "/look/", Method: "GET", Weight: 1, LatencyObjective: time.Second, Deadline: 10 * time.Second}},
	}).Start(t.Context())
	check.Eventually(t, "the load runs", func() bool { return running.Ended.Load() > 100 })

	second := newFileNode(t, "")
	second.file = first.file
	second.startAndAwait(File{Path: first.file, Control: "127.0.0.1:0"})
	if got := second.metric("out_of_rotation"); got != "1" {
		t.Errorf("the second process has %s servers out of rotation, want 1", got)
	}
	first.term()
	check.Eventually(t, "the first process drains", func() bool { return strings.HasPrefix(first.call("readyz"), "error") })
	// From now on only the second process accepts connections.
	check.Eventually(t, "the second process serves requests", func() bool { return second.metric("fulfilled.look") != "0" })
	if status, _, _ := second.roundTripOnce(forHost("orders", postRequest("credit", "dup", "", "x"))); status != 409 {
		t.Errorf("a request with an ID that is open in the first process was answered %d, want 409", status)
	}
	close(release)
	resp, err := http.ReadResponse(bufio.NewReader(owner), nil)
	if err != nil || resp.StatusCode != 200 {
		t.Errorf("the first process's request got response %v and error %v, want 200", resp, err)
	}
	first.awaitEnd()
	check.Eventually(t, "the ID is free", func() bool {
		status, _, _ := second.roundTripOnce(forHost("orders", postRequest("credit", "dup", "", "x")))
		return status == 200
	})
	running.Stop()
	tally := running.Wait()["look"]
	check.Eventually(t, "all requests have ended", func() bool { return second.metric("open_requests") == "0" })
	served, counted := tally.Results[emulator.InTime]+tally.Results[emulator.Late], uint64(0)
	for _, n := range []*testNode{first, second} {
		counted += n.node.metrics.Class("look").Served.Load()
	}
	if served != tally.Requests || math.Abs(float64(served)-float64(counted)) > max(3, 0.01*float64(served)) {
		t.Errorf("%d requests with results %v; the two processes count %d served, want the same number", tally.Requests, tally.Results, counted)
	}
	if got := excluded.Received.Load(); got != 0 {
		t.Errorf("%d requests went to an excluded server, want none", got)
	}
}

// metricValue returns the value of a metric.
func (n *testNode) metricValue(name string) int {
	n.t.Helper()
	v, err := strconv.Atoi(n.metric(name))
	if err != nil {
		n.t.Fatal(err)
	}
	return v
}

// checkMetric checks that a metric differs from want by at most a share of it, or 3, plus some slack.
func (n *testNode) checkMetric(name string, want, share float64, slack int) {
	n.t.Helper()
	got := float64(n.metricValue(name))
	if math.Abs(got-want) > max(3, share*want)+float64(slack) {
		n.t.Errorf("%s is %v, clients and servers count %v", name, got, want)
	}
}

// injectFaults makes servers under load fail in one way after another, and serve in between.
func injectFaults(t *testing.T, running *emulator.LoadRun, servers []*emulator.Server) {
	t.Helper()
	for i, fault := range []struct {
		mode    emulator.Mode
		servers []*emulator.Server
	}{{emulator.Failing, servers[:1]}, {emulator.Silent, servers[1:2]}, {emulator.Draining, servers}, {emulator.Resetting, servers}} {
		want := int64(500 * (i + 1))
		check.Eventually(t, "the load continues", func() bool { return running.Sent.Load() > want })
		for _, b := range fault.servers {
			b.SetMode(fault.mode)
		}
		check.Eventually(t, "the load continues", func() bool { return running.Sent.Load() > want+200 })
		for _, b := range fault.servers {
			b.SetMode(emulator.Serving)
		}
	}
}

// TestMetricsMatchClients sends thousands of requests while servers fail, fall silent, decline and
// reset connections, and clients disconnect. It compares each metric with the counts of clients and
// servers, within the operators' bounds.
func TestMetricsMatchClients(t *testing.T) {
	var servers []*emulator.Server
	var addrs []string
	for range 4 {
		b := startServer(t, emulator.ServerSettings{Cores: 8, Queue: 8, Work: 5 * time.Millisecond})
		servers, addrs = append(servers, b), append(addrs, b.Addr)
	}
	n := startNode(t, func(raw map[string]any) {
		withAdmin(raw)
		for _, c := range raw["settings"].(map[string]any)["classes"].([]map[string]any) {
			c["objectiveMs"], c["deadlineMs"] = 300, 1000
		}
	}, addrs...)
	kind := func(class, method string, keyed bool) emulator.RequestKind {
		return emulator.RequestKind{Class: class, Path: "/" + class + "/", Method: method, Keyed: keyed, Weight: 1, Work: 5 * time.Millisecond, LatencyObjective: 300 * time.Millisecond, Deadline: 5 * time.Second}
	}
	load := &emulator.Load{
		Addr: n.addr, Rate: 600, Duration: 5 * time.Second, Seed: 11, Tenants: map[string]int{"a": 1},
		Kinds: []emulator.RequestKind{kind("look", "GET", false), kind("order", "POST", true), kind("credit", "POST", false)},
	}
	running := load.Start(t.Context())
	injectFaults(t, running, servers)
	// A class is added under load: the existing ones are still counted.
	settings := n.raw["settings"].(map[string]any)
	settings["classes"] = append(settings["classes"].([]map[string]any), map[string]any{"name": "count", "effect": "free", "objectiveMs": 300, "deadlineMs": 1000, "gain": 1})
	n.writeSettings()
	n.reload()
	const disconnecting = 20 // clients that disconnect before their answer: any result may be counted
	for i := range disconnecting {
		c := n.dial()
		if _, err := io.WriteString(c, postRequest("credit", fmt.Sprint("gone", i), "Req-Cost: 200000\r\n", "x")); err != nil {
			t.Fatal(err)
		}
		c.Close()
	}
	tallies := running.Wait()
	check.Eventually(t, "all requests have ended", func() bool { return n.metric("open_requests") == "0" })
	var totals [5]int
	for class, tally := range tallies {
		slack := 0
		if class == "credit" {
			slack = disconnecting
		}
		served, rejected, failed := tally.Results[emulator.InTime]+tally.Results[emulator.Late], tally.Results[emulator.Rejected], tally.Results[emulator.Failed]
		n.checkMetric("fulfilled."+class, float64(served), 0.01, slack)
		n.checkMetric("throttled."+class, float64(rejected), 0.01, slack)
		n.checkMetric("faulted."+class, float64(failed), 0.01, slack)
		attempts := 0
		for _, b := range servers {
			attempts += b.Counts().ByClass[class]
		}
		n.checkMetric("relayed."+class, float64(attempts), 0.02, slack)
		if n := tally.Results[emulator.Lost] + tally.Results[emulator.Wrong]; n > 0 {
			t.Errorf("%s: %d answers are lost or wrong, want none", class, n)
		}
		for i, n := range []int{served, rejected, failed, attempts, tally.Requests} {
			totals[i] += n
		}
	}
	t.Logf("served %d, rejected %d, failed %d; %d attempts for %d requests", totals[0], totals[1], totals[2], totals[3], totals[4])
	if totals[0] < 1000 || totals[1] < 50 || totals[2] < 20 || totals[3] <= totals[0] {
		t.Error("the load has too few results of some kind")
	}
	if n.metricValue("fulfilled.count") != 0 || n.metricValue("cfg_accepted") != 1 || n.metricValue("registry_entries") != 4 {
		t.Error("the added class, the reload or the servers are not counted")
	}
}
