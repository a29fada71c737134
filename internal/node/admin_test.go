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
	_ = c.SetDeadline(time.Now().Add(check.Soon))
	_, _ = io.WriteString(c, line+"\n")
	b, err := io.ReadAll(c)
	if err != nil {
		n.t.Fatalf("%s: %v after %q", line, err, b)
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

// TestExcludedServerGetsNothing takes a server out of rotation: nothing goes to it, whatever
// discovery lists, until it is put back. An ID that is not listed is an error.
func TestExcludedServerGetsNothing(t *testing.T) {
	a, b := check.ScriptedServer(t, emulator.Echo), check.ScriptedServer(t, emulator.Echo)
	n := startNode(t, withAdmin, a.Addr, b.Addr)
	ask := func(prefix string, times int) {
		t.Helper()
		for i := range times {
			if status, body, _ := n.roundTripOnce(lookRequest(fmt.Sprint(prefix, i))); status != 200 || body != fmt.Sprint(prefix, i, " ") {
				t.Fatalf("%s%d: %d %q", prefix, i, status, body)
			}
		}
	}
	if got := n.call("exclude s-nobody"); !strings.HasPrefix(got, "error") {
		t.Errorf("an unknown server: %q", got)
	}
	for range 2 {
		if got := n.call("exclude s-" + a.Addr); got != "done\n" {
			t.Fatalf("exclude: %q", got)
		}
	}
	before := a.Received.Load()
	ask("x", 20)
	if got := n.metric("out_of_rotation"); got != "1" {
		t.Errorf("out of rotation: %s", got)
	}
	// Discovery lists it as in service, with a new start, from another address.
	d := startDiscovery(t, a.Addr, b.Addr)
	calls := d.Calls.Load()
	n.raw["discovery"] = d.Addr
	n.writeSettings()
	n.reload()
	check.Eventually(t, "the list has come anew", func() bool { return d.Calls.Load() >= calls+2 })
	ask("y", 20)
	if got := a.Received.Load(); got != before {
		t.Errorf("%d requests went to an excluded server", got-before)
	}
	if got := n.call("include s-" + a.Addr); got != "done\n" {
		t.Fatalf("include: %q", got)
	}
	// With the other one out it takes all.
	if got := n.call("exclude s-" + b.Addr); got != "done\n" {
		t.Fatalf("exclude the other: %q", got)
	}
	ask("z", 5)
	if got := a.Received.Load(); got != before+5 {
		t.Errorf("put back, the server got %d requests of 5", got-before)
	}
	n.call("include s-" + b.Addr)
	if got := n.metric("out_of_rotation"); got != "0" {
		t.Errorf("out of rotation at the end: %s", got)
	}
}

// TestAllServersExcluded takes every server out of rotation: requests are rejected at once.
func TestAllServersExcluded(t *testing.T) {
	a := check.ScriptedServer(t, emulator.Echo)
	n := startNode(t, withAdmin, a.Addr)
	n.call("exclude s-" + a.Addr)
	if status, _, _ := n.roundTripOnce(lookRequest("r1")); status != 503 {
		t.Errorf("with nothing to send to: %d", status)
	}
	if got := n.metric("throttled.look"); got != "1" {
		t.Errorf("throttled: %s", got)
	}
}

// TestMetrics counts what became of requests of each kind, and the files read at SIGHUP.
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
	check.Eventually(t, "all is counted", func() bool { return n.metric("open_requests") == "0" })
	for name, v := range want {
		if got := n.metric(name); got != v {
			t.Errorf("%s is %s, want %s", name, got, v)
		}
	}
	n.writeText("{")
	n.reload()
	check.Eventually(t, "a bad file is counted", func() bool { return n.metric("cfg_invalid") == "1" })
	n.writeSettings()
	n.reload()
	check.Eventually(t, "a good file is counted", func() bool { return n.metric("cfg_accepted") == "1" })
	if got := n.call("telemetry"); !strings.HasPrefix(got, "done\n") || !strings.HasSuffix(got, "\nend\n") {
		t.Errorf("telemetry: %q", got)
	}
}

// TestHotRestartByFile has a second process of a node by the operator's file take over. It goes on
// with the first one's listener, knows which server is out of rotation, and rejects the ID of a
// request that the first still holds. Together both count what clients see.
func TestHotRestartByFile(t *testing.T) {
	release := make(chan struct{})
	slow, out := check.ScriptedServer(t, holdUntil(release, "slow")), check.ScriptedServer(t, emulator.Echo)
	text := strings.Replace(nodeText, "127.0.0.1:0", check.UnusedAddr(t), 1)
	text = strings.Replace(text, "[limits]", "private = \""+t.TempDir()+"\"\n[limits]", 1)
	first := newFileNode(t, text+serviceText("orders", "")+poolText("orders", "", slow.Addr, out.Addr))
	first.startAndAwait(File{Path: first.file, Control: "127.0.0.1:0"})
	if got := first.call("exclude orders/" + out.Addr); got != "done\n" {
		t.Fatalf("exclude: %q", got)
	}
	owner := first.dial()
	if _, err := io.WriteString(owner, forHost("orders", postRequest("credit", "dup", "Req-Owner: slow\r\n", "x"))); err != nil {
		t.Fatal(err)
	}
	check.Eventually(t, "the request is out", func() bool { return slow.Received.Load() == 1 })
	running := (&emulator.Load{
		Addr: first.addr, Host: "orders.example.org", Rate: 300, Duration: time.Minute, Seed: 7, IDPrefix: "load-",
		Kinds: []emulator.RequestKind{{Class: "look", Path: "/look/", Method: "GET", Weight: 1, LatencyObjective: time.Second, Deadline: 10 * time.Second}},
	}).Start(t.Context())
	check.Eventually(t, "requests go on", func() bool { return running.Ended.Load() > 100 })

	second := newFileNode(t, "")
	second.file = first.file
	second.startAndAwait(File{Path: first.file, Control: "127.0.0.1:0"})
	if got := second.metric("out_of_rotation"); got != "1" {
		t.Errorf("the second has %s servers out", got)
	}
	first.term()
	check.Eventually(t, "the first drains", func() bool { return strings.HasPrefix(first.call("readyz"), "error") })
	// From now on the second alone accepts.
	check.Eventually(t, "the second takes requests", func() bool { return second.metric("fulfilled.look") != "0" })
	if status, _, _ := second.roundTripOnce(forHost("orders", postRequest("credit", "dup", "", "x"))); status != 409 {
		t.Errorf("a name that the first holds: %d", status)
	}
	close(release)
	resp, err := http.ReadResponse(bufio.NewReader(owner), nil)
	if err != nil || resp.StatusCode != 200 {
		t.Errorf("the first's request: %v, %v", resp, err)
	}
	first.awaitEnd()
	check.Eventually(t, "the name is free", func() bool {
		status, _, _ := second.roundTripOnce(forHost("orders", postRequest("credit", "dup", "", "x")))
		return status == 200
	})
	running.Stop()
	tally := running.Wait()["look"]
	check.Eventually(t, "all has ended", func() bool { return second.metric("open_requests") == "0" })
	served, counted := tally.Results[emulator.InTime]+tally.Results[emulator.Late], uint64(0)
	for _, n := range []*testNode{first, second} {
		counted += n.node.metrics.Class("look").Served.Load()
	}
	if served != tally.Requests || math.Abs(float64(served)-float64(counted)) > max(3, 0.01*float64(served)) {
		t.Errorf("of %d requests %v; the two processes count %d", tally.Requests, tally.Results, counted)
	}
	if got := out.Received.Load(); got != 0 {
		t.Errorf("%d requests went to an excluded server", got)
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

// checkMetric checks that a metric is within a share of what is wanted, or 3, and some slack.
func (n *testNode) checkMetric(name string, want, share float64, slack int) {
	n.t.Helper()
	got := float64(n.metricValue(name))
	if math.Abs(got-want) > max(3, share*want)+float64(slack) {
		n.t.Errorf("%s is %v, clients and servers count %v", name, got, want)
	}
}

// failInTurn has servers under load fail in one way after another, and serve in between.
func failInTurn(t *testing.T, running *emulator.Running, boxes []*emulator.Server) {
	t.Helper()
	for i, fault := range []struct {
		mode  emulator.Mode
		boxes []*emulator.Server
	}{{emulator.Failing, boxes[:1]}, {emulator.Silent, boxes[1:2]}, {emulator.Draining, boxes}, {emulator.Resetting, boxes}} {
		want := int64(500 * (i + 1))
		check.Eventually(t, "requests go on", func() bool { return running.Sent.Load() > want })
		for _, b := range fault.boxes {
			b.SetMode(fault.mode)
		}
		check.Eventually(t, "requests go on", func() bool { return running.Sent.Load() > want+200 })
		for _, b := range fault.boxes {
			b.SetMode(emulator.Serving)
		}
	}
}

// TestMetricsMatchClients sends thousands of requests past servers that fail, fall silent, decline
// and break connections, with clients that leave, and compares each metric with what clients and
// servers have counted, within the operators' bounds.
func TestMetricsMatchClients(t *testing.T) {
	var boxes []*emulator.Server
	var addrs []string
	for range 4 {
		b := startServer(t, emulator.ServerSettings{Cores: 8, Queue: 8, Work: 5 * time.Millisecond})
		boxes, addrs = append(boxes, b), append(addrs, b.Addr)
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
	l := &emulator.Load{
		Addr: n.addr, Rate: 600, Duration: 5 * time.Second, Seed: 11, Tenants: map[string]int{"a": 1},
		Kinds: []emulator.RequestKind{kind("look", "GET", false), kind("order", "POST", true), kind("credit", "POST", false)},
	}
	running := l.Start(t.Context())
	failInTurn(t, running, boxes)
	// One class more, under load: those that there are go on being counted.
	settings := n.raw["settings"].(map[string]any)
	settings["classes"] = append(settings["classes"].([]map[string]any), map[string]any{"name": "count", "effect": "free", "objectiveMs": 300, "deadlineMs": 1000, "gain": 1})
	n.writeSettings()
	n.reload()
	const gone = 20 // clients that leave before their answer: any count will do
	for i := range gone {
		c := n.dial()
		if _, err := io.WriteString(c, postRequest("credit", fmt.Sprint("gone", i), "Req-Cost: 200000\r\n", "x")); err != nil {
			t.Fatal(err)
		}
		c.Close()
	}
	tallies := running.Wait()
	check.Eventually(t, "all has ended", func() bool { return n.metric("open_requests") == "0" })
	var ends [5]int
	for class, tally := range tallies {
		slack := 0
		if class == "credit" {
			slack = gone
		}
		served, refused, failed := tally.Results[emulator.InTime]+tally.Results[emulator.Late], tally.Results[emulator.Rejected], tally.Results[emulator.Failed]
		n.checkMetric("fulfilled."+class, float64(served), 0.01, slack)
		n.checkMetric("throttled."+class, float64(refused), 0.01, slack)
		n.checkMetric("faulted."+class, float64(failed), 0.01, slack)
		whole := 0
		for _, b := range boxes {
			whole += b.Counts().ByClass[class]
		}
		n.checkMetric("relayed."+class, float64(whole), 0.02, slack)
		if n := tally.Results[emulator.Lost] + tally.Results[emulator.Wrong]; n > 0 {
			t.Errorf("%s: %d lost or wrong", class, n)
		}
		for i, n := range []int{served, refused, failed, whole, tally.Requests} {
			ends[i] += n
		}
	}
	t.Logf("served %d, refused %d, failed %d; %d attempts for %d requests", ends[0], ends[1], ends[2], ends[3], ends[4])
	if ends[0] < 1000 || ends[1] < 50 || ends[2] < 20 || ends[3] <= ends[0] {
		t.Error("the load does not show what is to be counted")
	}
	if n.metricValue("fulfilled.count") != 0 || n.metricValue("cfg_accepted") != 1 || n.metricValue("registry_entries") != 4 {
		t.Error("the class that was added, the file or the servers are not counted")
	}
}
