package emulator_test

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/check"
	"jasperpin/internal/slowstart"
)

// startServer starts a server that is closed at the end of the test.
func startServer(t *testing.T, set emulator.ServerSettings) *emulator.Server {
	t.Helper()
	return check.StartForTest(t, func() (*emulator.Server, error) { return emulator.NewServer(set) })
}

// send sends one request and returns its status and header, or 0 and the error.
func send(addr, method, id, key string, cost time.Duration) (int, http.Header, error) {
	req, err := http.NewRequest(method, "http://"+addr+"/work/1", nil)
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Req-Id", id)
	req.Header.Set("Req-Cost", fmt.Sprint(cost.Microseconds()))
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	tr := &http.Transport{DisableKeepAlives: true}
	resp, err := tr.RoundTrip(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, err
}

// TestServerModes checks the response of a server in each mode.
func TestServerModes(t *testing.T) {
	server := startServer(t, emulator.ServerSettings{Cores: 1})
	if status, _, err := send(server.Addr, "POST", "a", "", 0); status != 200 || err != nil {
		t.Errorf("serving server: got status %d, error %v, want 200", status, err)
	}
	server.SetMode(emulator.Draining)
	if status, h, err := send(server.Addr, "POST", "b", "", 0); status != 503 || h.Get("Srv-Declined") != "1" || err != nil {
		t.Errorf("draining server: got status %d, error %v, want 503 marked as declined", status, err)
	}
	server.SetMode(emulator.Failing)
	if status, _, err := send(server.Addr, "POST", "c", "", 0); status != 500 || err != nil {
		t.Errorf("failing server: got status %d, error %v, want 500", status, err)
	}
	for _, m := range []emulator.Mode{emulator.Resetting, emulator.Corrupting} {
		server.SetMode(m)
		if status, _, err := send(server.Addr, "POST", fmt.Sprint("d", m), "", 0); err == nil {
			t.Errorf("mode %d: got status %d, want an error of the connection", m, status)
		}
	}
	server.SetMode(emulator.Silent)
	silent := make(chan error, 1)
	go func() {
		_, _, err := send(server.Addr, "POST", "e", "", 0)
		silent <- err
	}()
	check.Eventually(t, "the request was received", func() bool { return server.Counts().Received == 6 })
	server.SetMode(emulator.Serving)
	if err := <-silent; err == nil {
		t.Error("a request received in mode Silent was answered")
	}
	effects := make(map[string]int)
	server.AddExecutions(effects)
	if effects["a"] != 1 || effects["c"] != 1 || effects["b"]+effects["e"] != 0 {
		t.Errorf("executions: got %v, want one each of requests a and c, none of b and e", effects)
	}
	if c := server.Counts(); c.Rejected != 1 || c.ByClass["work"] != 6 {
		t.Errorf("counters of the server: got %+v, want 1 request rejected and 6 of class work", c)
	}
}

// TestServerQueue fills a server: one request is executed, one waits, the third is rejected.
func TestServerQueue(t *testing.T) {
	server := startServer(t, emulator.ServerSettings{Cores: 1, Queue: 1})
	var wg sync.WaitGroup
	statuses := make(chan int, 3)
	sendAsync := func(id string) {
		wg.Go(func() {
			status, _, err := send(server.Addr, "POST", id, "", time.Second)
			if err != nil {
				t.Error(err)
			}
			statuses <- status
		})
	}
	sendAsync("1")
	check.Eventually(t, "the first request is executed", func() bool { return server.Counts().Executed == 1 })
	sendAsync("2")
	check.Eventually(t, "the second request waits for a core", func() bool { return server.Counts().Waiting == 1 })
	status, _, err := send(server.Addr, "GET", "3", "", 0)
	if c := server.Counts(); err != nil || status != 503 && c.Executed < 2 {
		t.Errorf("third request: got status %d, error %v, counts %+v; want 503 unless a second request is executed already", status, err, c)
	}
	wg.Wait()
	if first, second := <-statuses, <-statuses; first != 200 || second != 200 {
		t.Errorf("the first two requests were answered with %d and %d, want 200", first, second)
	}
}

// TestServerDropsDuplicates: a duplicate of a key is answered and has no second effect.
func TestServerDropsDuplicates(t *testing.T) {
	server := startServer(t, emulator.ServerSettings{DedupWindow: time.Hour})
	for i := range 3 {
		if status, _, err := send(server.Addr, "POST", fmt.Sprint(i), "key", 0); status != 200 || err != nil {
			t.Fatalf("request with the shared key: got status %d, error %v, want 200", status, err)
		}
	}
	effects := make(map[string]int)
	server.AddExecutions(effects)
	if effects["key"] != 1 || server.Counts().Deduplicated != 2 {
		t.Errorf("got effects %v and %d duplicates dropped, want one effect of the key and 2 duplicates", effects, server.Counts().Deduplicated)
	}
}

// TestServerSlowStart: a server in slow start takes longer for the same work.
func TestServerSlowStart(t *testing.T) {
	cold := startServer(t, emulator.ServerSettings{SlowStartShare: 0.1, SlowStartWindow: time.Hour})
	began := time.Now()
	if status, _, err := send(cold.Addr, "GET", "1", "", 20*time.Millisecond); status != 200 || err != nil {
		t.Fatalf("request to the cold server: got status %d, error %v, want 200", status, err)
	}
	if took := time.Since(began); took < 150*time.Millisecond {
		t.Errorf("the request took %v, want 200ms at a tenth of the speed", took)
	}
	if cold.Entry().BornMS == 0 {
		t.Error("the entry of the server in slow start has no start time")
	}
}

// TestDiscovery: calls get the complete list, an empty delta or the next version, and 503 while discovery is down.
func TestDiscovery(t *testing.T) {
	discovery := check.StartForTest(t, func() (*emulator.Discovery, error) {
		return emulator.NewDiscovery(emulator.InServiceEntries("127.0.0.1:1")...)
	})
	call := func(query string) (seq int, hosts int, status int) {
		resp, err := http.Get("http://" + discovery.Addr + "/discovery/hosts" + query)
		if err != nil {
			t.Error(err)
			return 0, 0, 0
		}
		defer resp.Body.Close()
		var reply struct {
			Seq   int
			Hosts []emulator.Entry
		}
		_ = json.NewDecoder(resp.Body).Decode(&reply)
		return reply.Seq, len(reply.Hosts), resp.StatusCode
	}
	if seq, hosts, _ := call(""); seq != 5 || hosts != 1 {
		t.Errorf("first call: got version %d with %d hosts, want version 5 with 1", seq, hosts)
	}
	if seq, hosts, _ := call("?after=5&wait_ms=1"); seq != 5 || hosts != 0 {
		t.Errorf("call with the current version: got version %d with %d hosts, want version 5 with none", seq, hosts)
	}
	watched := make(chan int, 1)
	go func() {
		_, hosts, _ := call("?after=5&wait_ms=60000")
		watched <- hosts
	}()
	check.Eventually(t, "the watch has begun", func() bool { return discovery.Calls.Load() == 3 })
	discovery.SetList(emulator.InServiceEntries("127.0.0.1:1", "127.0.0.1:2")...)
	if hosts := <-watched; hosts != 2 {
		t.Errorf("the watch got %d hosts, want 2", hosts)
	}
	discovery.SetDown(true)
	if _, _, status := call(""); status != 503 {
		t.Errorf("call while discovery is down: got status %d, want 503", status)
	}
}

// startEcho starts a TCP server that echoes all bytes, and returns its address.
func startEcho(t *testing.T) string {
	t.Helper()
	ln := check.Must[net.Listener](t)(net.Listen("tcp", "127.0.0.1:0"))
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	return ln.Addr().String()
}

// TestProxy checks that a proxy forwards, delays, throttles and drops bytes, and resets connections.
func TestProxy(t *testing.T) {
	proxy := check.StartForTest(t, func() (*emulator.Proxy, error) { return emulator.NewProxy(startEcho(t)) })
	c := check.Must[net.Conn](t)(net.Dial("tcp", proxy.Addr))
	defer c.Close()
	br := bufio.NewReader(c)
	echo := func(text string, within time.Duration) error {
		if _, err := io.WriteString(c, text+"\n"); err != nil {
			return err
		}
		_ = c.SetReadDeadline(time.Now().Add(within))
		line, err := br.ReadString('\n')
		if err == nil && strings.TrimSpace(line) != text {
			return fmt.Errorf("sent %q, received %q, want the same text", text, line)
		}
		return err
	}
	if err := echo("one", check.Timeout); err != nil {
		t.Fatal(err)
	}
	proxy.Set(emulator.Fault{Delay: 50 * time.Millisecond})
	began := time.Now()
	if err := echo("two", check.Timeout); err != nil || time.Since(began) < 100*time.Millisecond {
		t.Errorf("echo delayed in both directions: got error %v after %v, want none and at least 100ms", err, time.Since(began))
	}
	proxy.Set(emulator.Fault{Throttle: 100})
	began = time.Now()
	if err := echo("ten bytes", check.Timeout); err != nil || time.Since(began) < 150*time.Millisecond {
		t.Errorf("throttled echo: got error %v after %v, want none and at least 150ms", err, time.Since(began))
	}
	for name, f := range map[string]emulator.Fault{"black hole": {BlackHole: true}, "half open": {HalfOpen: true}} {
		proxy.Set(f)
		if err := echo("lost", 100*time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s: got error %v, want a timeout", name, err)
		}
	}
	proxy.Set(emulator.Fault{})
	proxy.ResetConnections()
	if err := echo("cut", check.Timeout); err == nil {
		t.Error("a connection still works after ResetConnections")
	}
}

// TestLoadIsDrawnFromSeed checks that equal seeds draw equal requests, and that each result is counted.
func TestLoadIsDrawnFromSeed(t *testing.T) {
	got := make([]map[string]bool, 2)
	for i := range got {
		s := check.ScriptedServer(t, emulator.Echo)
		l := emulator.Load{Addr: s.Addr, Rate: 300, Duration: 200 * time.Millisecond, Seed: 4, Kinds: []emulator.RequestKind{
			{Class: "a", Path: "/a/", Method: "GET", Weight: 1, LatencyObjective: check.Timeout, Deadline: check.Timeout},
			{Class: "b", Path: "/b/", Method: "POST", Weight: 1, LatencyObjective: check.Timeout, Deadline: check.Timeout, Keyed: true, BodyBytes: 5},
		}}
		tallies := l.Start(t.Context()).Wait()
		total := tallies["a"].Requests + tallies["b"].Requests
		if total == 0 || tallies["a"].Results[emulator.InTime]+tallies["b"].Results[emulator.InTime] != total || len(s.Requests) != total {
			t.Fatalf("load of %d requests: got results %v and %v, and %d requests received; want all in time and received", total, tallies["a"].Results, tallies["b"].Results, len(s.Requests))
		}
		got[i] = make(map[string]bool)
		for range total {
			r := <-s.Requests
			got[i][r.Method+r.URL.Path+r.Header.Get("Req-Id")] = true
		}
	}
	if fmt.Sprint(got[0]) != fmt.Sprint(got[1]) {
		t.Error("two loads with equal seeds have different requests")
	}
}

// TestLoadResults: rejected, failed, lost and wrong answers are counted separately, and a request is retried only
// after a result that permits it.
func TestLoadResults(t *testing.T) {
	for want, answer := range map[emulator.Result]emulator.Responder{
		emulator.Rejected: emulator.Respond("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"),
		emulator.Failed:   emulator.Respond("HTTP/1.1 502 No\r\nContent-Length: 0\r\n\r\n"),
		emulator.Wrong:    emulator.Respond("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"),
		emulator.Lost:     func(net.Conn, *http.Request, []byte) bool { return false },
	} {
		s := check.ScriptedServer(t, answer)
		l := emulator.Load{Addr: s.Addr, Rate: 100, Duration: 50 * time.Millisecond, Seed: 1, Retries: 2, Kinds: []emulator.RequestKind{
			{Class: "a", Path: "/a/", Method: "POST", Weight: 1, LatencyObjective: check.Timeout, Deadline: check.Timeout},
		}}
		tally := l.Start(t.Context()).Wait()["a"]
		if tally.Requests == 0 || tally.Results[want] != tally.Requests {
			t.Errorf("want only the result %v: got %d requests with results %v", want, tally.Requests, tally.Results)
		}
		if attempts := tally.Attempts / tally.Requests; attempts != 1 && want != emulator.Rejected || want == emulator.Rejected && attempts != 3 {
			t.Errorf("result %v: got %d attempts per request, want 3 if rejected and 1 otherwise", want, attempts)
		}
	}
}

// TestServerCountsStarts: a server in slow start counts arrivals against its budget, separately for each start,
// also if it was closed between two starts.
func TestServerCountsStarts(t *testing.T) {
	at := check.UnusedAddr(t)
	server := startServer(t, emulator.ServerSettings{
		Listen: at, Work: time.Second, SlowStartShare: 0.5, SlowStartWindow: 1e6 * time.Hour,
		Rule: slowstart.Rule{Multiple: 8.0 / 3600, Window: time.Hour}, // a budget of 4 at its start; 10 requests are within the allowance for chance
	})
	sendRequests := func(n int) {
		t.Helper()
		for range n {
			if status, _, err := send(at, "GET", "a", "", time.Microsecond); status != 200 {
				t.Fatalf("request to the server in slow start: got status %d, error %v, want 200", status, err)
			}
		}
	}
	sendRequests(10)
	if got := server.Starts(); got.Starts != 1 || got.Overloaded != 0 || got.WorstRatio < 2.49 || got.WorstRatio > 2.51 {
		t.Errorf("counts after ten requests: got %+v, want one start, no overload and a worst ratio of 2.5", got)
	}
	sendRequests(1)
	if err := errors.Join(server.Close(), server.Restart()); err != nil {
		t.Fatal(err)
	}
	server.MarkAnnounced()
	sendRequests(11)
	if err := server.Restart(); err != nil {
		t.Fatal(err)
	}
	sendRequests(10)
	if got := server.Starts(); got.Starts != 3 || got.Overloaded != 2 || got.OverloadedByInformedNodes != 1 {
		t.Errorf("counts after three starts: got %+v, want two starts overloaded, one of these after its announcement", got)
	}
}
