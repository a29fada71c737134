package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/check"
	"jasperpin/internal/platform"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestReloadChangesDiscovery changes the address of discovery and sends SIGHUP: the node polls the new
// address for the complete list, and sends requests to the servers on it.
func TestReloadChangesDiscovery(t *testing.T) {
	a, b := check.ScriptedServer(t, emulator.Echo), check.ScriptedServer(t, emulator.Echo)
	n := startNode(t, nil, a.Addr)
	if status, body, _ := n.roundTripOnce(lookRequest("r1")); status != 200 || body != "r1 " {
		t.Fatalf("before the reload the answer is %d %q, want 200 r1", status, body)
	}
	d := startDiscovery(t, b.Addr)
	n.raw["discovery"] = d.Addr
	n.writeSettings()
	n.reload()
	id := 0
	check.Eventually(t, "the new server gets requests", func() bool {
		id++
		if status, _, _ := n.roundTripOnce(lookRequest(fmt.Sprint("m", id))); status != 200 {
			t.Fatalf("during the reload the answer is %d, want 200", status)
		}
		return b.Received.Load() > 0
	})
	if d.Calls.Load() == 0 {
		t.Error("the new discovery was never called")
	}
}

// TestReloadOfInvalidFile sends SIGHUP with files that cannot be parsed, many times: the node continues
// to serve and logs the error.
func TestReloadOfInvalidFile(t *testing.T) {
	a := check.ScriptedServer(t, emulator.Echo)
	n := startNode(t, nil, a.Addr)
	n.writeSettings()
	good := fmt.Sprintf("%q", n.raw["name"])
	for i, text := range []string{"", "{", `{"name":` + good, "null", "[]", `{"name":"n0","listen":"x"}`, "\x00\xff"} {
		n.writeText(text)
		n.reload()
		check.Eventually(t, "the error is logged", func() bool {
			return strings.Count(n.logged.String(), "reload failed") == i+1
		})
		if status, body, _ := n.roundTripOnce(lookRequest(fmt.Sprint("b", i))); status != 200 {
			t.Fatalf("after a reload of %q the answer is %d %q, want 200", text, status, body)
		}
	}
	n.writeSettings()
	for range 50 {
		n.reload()
	}
	check.Eventually(t, "a valid file is applied again", func() bool { return strings.Contains(n.logged.String(), "msg=reloaded") })
	if status, _, _ := n.roundTripOnce(lookRequest("last")); status != 200 {
		t.Fatalf("after many reloads the answer is %d, want 200", status)
	}
}

// TestConfigWithTrailingText rejects a shorter file written over a longer one whose end remains.
func TestConfigWithTrailingText(t *testing.T) {
	n := &testNode{t: t, file: filepath.Join(t.TempDir(), "config.json"), raw: testConfig("127.0.0.1:1", "127.0.0.1:2")}
	n.writeSettings()
	if _, err := platform.Load(n.env); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(n.file)
	if err != nil {
		t.Fatal(err)
	}
	n.writeText(string(text) + string(text[len(text)-10:]))
	if _, err := platform.Load(n.env); !errors.Is(err, platform.ErrConfig) {
		t.Errorf("loading a file with text after the object returned error %v, want ErrConfig", err)
	}
}

// settings returns a node's settings, and classes returns their classes, to be changed.
func (n *testNode) settings() map[string]any { return n.raw["settings"].(map[string]any) }

func (n *testNode) classes() []map[string]any {
	return n.settings()["classes"].([]map[string]any)
}

// reloadSettings writes and reloads the settings, and waits until they are applied.
func (n *testNode) reloadSettings() {
	n.t.Helper()
	before := n.metric("cfg_accepted")
	n.writeSettings()
	n.reload()
	check.Eventually(n.t, "the file is applied", func() bool { return n.metric("cfg_accepted") != before })
}

// TestReloadOfSettings adds a class, removes one and changes the effect of another while a request is
// open. That request ends under the settings that it began with, and the list of servers is not polled
// again.
func TestReloadOfSettings(t *testing.T) {
	release := make(chan struct{})
	server := check.ScriptedServer(t, holdUntil(release, "slow"))
	n := startNode(t, withAdmin, server.Addr)
	open := make(chan int, 1)
	go func() {
		status, _, _ := n.roundTripOnce(postRequest("credit", "old", "Req-Owner: slow\r\n", "x"))
		open <- status
	}()
	check.Eventually(t, "a request is open", func() bool { return server.Received.Load() == 1 })
	classes := n.classes()
	classes[1]["effect"] = "single_shot"
	n.settings()["classes"] = append(classes[:2:2], map[string]any{"name": "note", "effect": "guarded", "windowMs": 1000, "objectiveMs": 900, "deadlineMs": 1000})
	n.settings()["ceilings"].(map[string]any)["maxAttempts"] = 1
	n.reloadSettings()
	for _, c := range []struct {
		text string
		want int
	}{
		{lookRequest("r1"), 200},
		{postRequest("order", "r2", "", "x"), 200},
		{postRequest("order", "r3", "Idempotency-Key: k\r\n", "x"), 400},
		{postRequest("note", "r4", "Idempotency-Key: k\r\n", "x"), 200},
		{postRequest("credit", "r5", "", "x"), 404},
	} {
		if status, body, _ := n.roundTripOnce(c.text); status != c.want {
			t.Errorf("%q: %d %q, want %d", c.text, status, body, c.want)
		}
	}
	close(release)
	if status := <-open; status != 200 {
		t.Errorf("the request that was open during the reload was answered %d, want 200", status)
	}
	for name, want := range map[string]string{"fulfilled.credit": "1", "fulfilled.note": "1", "registry_entries": "1"} {
		if got := n.metric(name); got != want {
			t.Errorf("%s is %s, want %s", name, got, want)
		}
	}
}

// TestReloadKeepsMaintenance reloads with a server out of rotation: it stays out.
func TestReloadKeepsMaintenance(t *testing.T) {
	a, b := check.ScriptedServer(t, emulator.Echo), check.ScriptedServer(t, emulator.Echo)
	n := startNode(t, withAdmin, a.Addr, b.Addr)
	n.call("exclude s-" + a.Addr)
	n.settings()["ceilings"].(map[string]any)["maxAttempts"] = 2
	n.reloadSettings()
	for i := range 10 {
		n.roundTripOnce(lookRequest(fmt.Sprint("r", i)))
	}
	if got := a.Received.Load(); got != 0 {
		t.Errorf("%d requests went to an excluded server, want none", got)
	}
	if got := n.metric("out_of_rotation"); got != "1" {
		t.Errorf("%s servers are out of rotation, want 1", got)
	}
}

// TestReloadOfIncompleteSettings reloads files that lack a current setting, or have no positive number
// where one is required: nothing changes.
func TestReloadOfIncompleteSettings(t *testing.T) {
	server := check.ScriptedServer(t, emulator.Echo)
	n := startNode(t, withAdmin, server.Addr)
	good, err := json.Marshal(n.raw)
	if err != nil {
		t.Fatal(err)
	}
	rejected := 0
	for name, change := range map[string]func(){
		"no settings":             func() { delete(n.raw, "settings") },
		"no seed":                 func() { delete(n.raw, "seed") },
		"no ceilings":             func() { delete(n.settings(), "ceilings") },
		"no attempts":             func() { delete(n.settings()["ceilings"].(map[string]any), "maxAttempts") },
		"null for attempts":       func() { n.settings()["ceilings"].(map[string]any)["maxAttempts"] = nil },
		"attempts of 0":           func() { n.settings()["ceilings"].(map[string]any)["maxAttempts"] = 0 },
		"attempts as a word":      func() { n.settings()["ceilings"].(map[string]any)["maxAttempts"] = "two" },
		"attempts as a string":    func() { n.settings()["ceilings"].(map[string]any)["maxAttempts"] = "2" },
		"no zones":                func() { delete(n.settings(), "zones") },
		"no classes":              func() { n.settings()["classes"] = []any{} },
		"no deadline":             func() { delete(n.classes()[0], "deadlineMs") },
		"a deadline of 0":         func() { n.classes()[1]["deadlineMs"] = 0 },
		"a negative deadline":     func() { n.classes()[1]["deadlineMs"] = -5 },
		"a deadline as a word":    func() { n.classes()[2]["deadlineMs"] = "soon" },
		"a deadline as a string":  func() { n.classes()[2]["deadlineMs"] = "2000" },
		"a deadline that is null": func() { n.classes()[2]["deadlineMs"] = nil },
	} {
		n.raw = testConfig(n.addr, n.raw["discovery"].(string), server.Addr)
		n.raw["control"] = "127.0.0.1:0"
		change()
		n.writeSettings()
		n.reload()
		rejected++
		check.Eventually(t, name+" is rejected", func() bool { return n.metric("cfg_invalid") == fmt.Sprint(rejected) })
	}
	if got := n.metric("cfg_accepted"); got != "0" {
		t.Errorf("%s files were applied, want 0", got)
	}
	n.writeText(string(good))
	n.reload()
	check.Eventually(t, "the valid file is applied", func() bool { return n.metric("cfg_accepted") == "1" })
}

// TestReloadReordersClasses renames and reorders classes while requests are open: each ends under the
// settings that it began with, and the next under the new ones. Some names contain characters that a
// path escapes.
func TestReloadReordersClasses(t *testing.T) {
	release := make(chan struct{})
	reset := resetAfter(release, "held")
	a, b := check.ScriptedServer(t, reset), check.ScriptedServer(t, reset)
	n := startNode(t, withAdmin, a.Addr, b.Addr)
	got := func() int64 { return a.Received.Load() + b.Received.Load() }
	answers := make(map[string]<-chan string)
	for _, text := range []string{postRequest("credit", "held-credit", "", "x"), lookRequest("held-look")} {
		answers[text] = n.exchangeAsync(text)
	}
	check.Eventually(t, "both requests reached the servers", func() bool { return got() == 2 })
	look, credit := n.classes()[0], n.classes()[2]
	n.settings()["classes"] = []map[string]any{credit, n.classes()[1], look} // swapped
	credit["name"], look["name"] = "credit, large", "a/look"
	n.reloadSettings()
	close(release)
	for text, answer := range answers {
		want := "503 " // all its attempts were reset
		if strings.HasPrefix(text, "POST") {
			want = "502 " // its only attempt may have run
		}
		if got := <-answer; got != want {
			t.Errorf("%.20q was answered %q, want %q", text, got, want)
		}
	}
	if got := got(); got != 3 {
		t.Errorf("%d attempts, want one for the class that must not run twice and one at each server for the other", got)
	}
	for text, want := range map[string]int{
		strings.Replace(postRequest("credit", "n1", "", "x"), "/credit/", "/credit,%20large/", 1):                        200,
		strings.Replace(postRequest("credit", "n2", "", "x"), "/credit/", "/credit%2C%20large/", 1):                      200,
		"GET /a%2Flook/k HTTP/1.1\r\nHost: h\r\nReq-Id: n3\r\nReq-Deadline-Ms: 2000\r\n\r\n":                             200,
		"GET /look/k HTTP/1.1\r\nHost: h\r\nReq-Id: n4\r\nReq-Deadline-Ms: 2000\r\n\r\n":                                 404,
		"GET /credit,%20large/k HTTP/1.1\r\nHost: h\r\nReq-Id: n5\r\nReq-Deadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n": 405,
	} {
		if status, _, _ := n.roundTripOnce(text); status != want {
			t.Errorf("%.40q was answered %d, want %d", text, status, want)
		}
	}
}

// TestReloadWithTooFewDescriptors configures more pools that watch discovery than there are
// descriptors: a node does not start with such a file, and a reload keeps the current configuration.
func TestReloadWithTooFewDescriptors(t *testing.T) {
	n := startServicesWithin(t, 128, serviceText("orders", "")+poolText("orders", "discovery = \"127.0.0.1:1\""))
	many := strings.Replace(nodeText, "512", "128", 1) + serviceText("orders", "")
	for i := range 66 {
		many += poolText(fmt.Sprint("p", i), "discovery = \"127.0.0.1:1\"")
	}
	many = strings.Replace(many, "\"p0\"", "\"orders\"", 1)
	n.writeText(many)
	n.reload()
	const want = "128 descriptors are too few for 66 watches and connections to planners: want 129"
	check.Eventually(t, "the reload fails", func() bool { return strings.Contains(n.logged.String(), want) })
	if _, err := Start(File{Path: n.file}, slog.New(slog.DiscardHandler)); err == nil || !strings.Contains(err.Error(), want) {
		t.Errorf("started with %v", err)
	}
}
