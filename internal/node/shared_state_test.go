package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/check"
)

// ordersFile returns a file with the service and the pool orders, and more lines for the pool.
func ordersFile(lines string, servers ...string) string {
	return serviceText("orders", "") + poolText("orders", lines, servers...)
}

// privateNodeText returns the node's own tables of a file, with a directory for hot restarts.
func privateNodeText(t *testing.T) string {
	t.Helper()
	text := strings.Replace(nodeText, "127.0.0.1:0", check.UnusedAddr(t), 1)
	return strings.Replace(text, "[limits]", "private = \""+t.TempDir()+"\"\n[limits]", 1)
}

// openCredit sends a credit that its server holds, with this id, and waits until it has reached the server. The channel
// receives the answer.
func (n *testNode) openCredit(server *emulator.ScriptedServer, id string) <-chan string {
	n.t.Helper()
	before := server.Received.Load()
	answer := n.exchangeAsync(forHost("orders", postRequest("credit", id, "Req-Owner: slow\r\n", "x")))
	check.Eventually(n.t, "the request reached the server", func() bool { return server.Received.Load() == before+1 })
	return answer
}

// statusOfCredit sends a credit with this id and returns the status of the answer.
func (n *testNode) statusOfCredit(id string) int {
	n.t.Helper()
	status, _, _ := n.roundTripOnce(forHost("orders", postRequest("credit", id, "", "x")))
	return status
}

// TestOpenRequestIDIsInUseAfterReloads guards against a second run of an open request: another client sends its id
// after a reload, a second reload, or the removal and return of its pool. It gets 409 until the request has ended.
func TestOpenRequestIDIsInUseAfterReloads(t *testing.T) {
	for name, reloads := range map[string]func(server string) []string{
		"changed pool": func(server string) []string { return []string{ordersFile("attempts = 2", server)} },
		"changed twice": func(server string) []string {
			return []string{ordersFile("attempts = 2", server), ordersFile("", server)}
		},
		"removed pool": func(server string) []string {
			return []string{serviceText("stock", "") + poolText("stock", "", server), ordersFile("", server)}
		},
		"changed discovery": func(server string) []string {
			return []string{ordersFile(`discovery = "127.0.0.1:1"`), ordersFile("", server)}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			server := check.ScriptedServer(t, holdUntil(release, "slow"))
			n := startServices(t, ordersFile("", server.Addr))
			open := n.openCredit(server, "dup")
			for _, text := range reloads(server.Addr) {
				n.reloadServices(text)
			}
			if status := n.statusOfCredit("dup"); status != 409 {
				t.Errorf("a request with the id of an open one was answered %d, want 409", status)
			}
			if status := n.statusOfCredit("other"); status != 200 {
				t.Errorf("a request with another id was answered %d, want 200", status)
			}
			close(release)
			if got := <-open; !strings.HasPrefix(got, "200") {
				t.Errorf("the open request was answered %q, want 200", got)
			}
			if status := n.statusOfCredit("dup"); status != 200 {
				t.Errorf("a request with the id was answered %d after the first one had ended, want 200", status)
			}
		})
	}
}

// TestRequestIDsOfDrainingPoolReachSuccessor guards against a second run of an open request in a new process: a reload
// has replaced its pool before the upgrade, and the successor reloads too. The id is in use until the request has ended.
func TestRequestIDsOfDrainingPoolReachSuccessor(t *testing.T) {
	release := make(chan struct{})
	server := check.ScriptedServer(t, holdUntil(release, "slow"))
	node := privateNodeText(t)
	first := newFileNode(t, node+ordersFile("", server.Addr))
	first.startAndAwait(File{Path: first.file, Control: "127.0.0.1:0"})
	open := first.openCredit(server, "dup")
	first.reloadFile(node + ordersFile("attempts = 2", server.Addr))

	second := newFileNode(t, "")
	second.file = first.file
	second.startAndAwait(File{Path: first.file, Control: "127.0.0.1:0"})
	second.reloadFile(node + ordersFile("", server.Addr))
	first.term()
	check.Eventually(t, "the first process drains", func() bool { return strings.HasPrefix(first.call("readyz"), "error") })
	check.Eventually(t, "the second process serves requests", func() bool {
		second.statusOfCredit("other")
		return second.metric("fulfilled.credit") != "0"
	})
	if status := second.statusOfCredit("dup"); status != 409 {
		t.Errorf("a request with an id that is open in the first process was answered %d, want 409", status)
	}
	close(release)
	if got := <-open; !strings.HasPrefix(got, "200") {
		t.Errorf("the open request was answered %q, want 200", got)
	}
	check.Eventually(t, "the id is free", func() bool { return second.statusOfCredit("dup") == 200 })
}

// decliningPair are two servers. The first request of a client "slow" waits at the server that it reaches, until release
// is closed, and is then declined; all other requests are answered.
type decliningPair struct {
	servers [2]*emulator.ScriptedServer
	release chan struct{}
	waiting atomic.Pointer[emulator.ScriptedServer] // the server at which the request waits
}

func newDecliningPair(t *testing.T) *decliningPair {
	t.Helper()
	pair := &decliningPair{release: make(chan struct{})}
	for i := range pair.servers {
		pair.servers[i] = check.ScriptedServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
			if r.Header.Get("Req-Owner") != "slow" || !pair.waiting.CompareAndSwap(nil, pair.servers[i]) {
				return emulator.Echo(c, r, body)
			}
			<-pair.release
			return emulator.Respond("HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")(c, r, body)
		})
	}
	return pair
}

// file returns a file with both servers, and more lines for the pool.
func (d *decliningPair) file(lines string) string {
	return ordersFile(lines, d.servers[0].Addr, d.servers[1].Addr)
}

// openCredit sends the credit that waits, and returns the answer and the server at which it does not wait.
func (d *decliningPair) openCredit(n *testNode) (answer <-chan string, other *emulator.ScriptedServer) {
	n.t.Helper()
	answer = n.exchangeAsync(forHost("orders", postRequest("credit", "open", "Req-Owner: slow\r\n", "x")))
	check.Eventually(n.t, "the request waits at a server", func() bool { return d.waiting.Load() != nil })
	if d.waiting.Load() == d.servers[0] {
		return answer, d.servers[1]
	}
	return answer, d.servers[0]
}

// checkDeclined lets the server decline the waiting request, and checks that the request is rejected and not sent to the
// excluded server.
func (d *decliningPair) checkDeclined(t *testing.T, answer <-chan string, excluded *emulator.ScriptedServer) {
	t.Helper()
	close(d.release)
	if got := <-answer; !strings.HasPrefix(got, "503") {
		t.Errorf("the open request was answered %q, want 503", got)
	}
	if got := excluded.Received.Load(); got != 0 {
		t.Errorf("%d requests went to the excluded server, want none", got)
	}
}

// TestExclusionReachesDrainingPools guards against a request to a server that an operator has excluded: a reload has
// replaced or removed a pool with an open request before the call, and the pool retries the request after it.
func TestExclusionReachesDrainingPools(t *testing.T) {
	for name, reloads := range map[string]func(pair *decliningPair) []string{
		"changed pool":  func(pair *decliningPair) []string { return []string{pair.file("attempts = 2")} },
		"changed twice": func(pair *decliningPair) []string { return []string{pair.file("attempts = 2"), pair.file("")} },
		"removed pool": func(pair *decliningPair) []string {
			return []string{serviceText("stock", "") + poolText("stock", "", pair.servers[0].Addr)}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			pair := newDecliningPair(t)
			n := newFileNode(t, nodeText+pair.file(""))
			n.startAndAwait(File{Path: n.file, Control: "127.0.0.1:0"})
			answer, other := pair.openCredit(n)
			for _, text := range reloads(pair) {
				n.reloadServices(text)
			}
			if got := n.call("exclude orders/" + other.Addr); got != "done\n" {
				t.Fatalf("exclude was answered %q, want done", got)
			}
			pair.checkDeclined(t, answer, other)
		})
	}
}

// TestExclusionReachesDrainingPoolsOfPredecessor guards against a request to a server that an operator has excluded at the
// new process: the old process has an open request in a pool that a reload has replaced, and retries it.
func TestExclusionReachesDrainingPoolsOfPredecessor(t *testing.T) {
	pair := newDecliningPair(t)
	node := privateNodeText(t)
	first := newFileNode(t, node+pair.file(""))
	first.startAndAwait(File{Path: first.file, Control: "127.0.0.1:0"})
	answer, other := pair.openCredit(first)
	first.reloadFile(node + pair.file("attempts = 2"))
	second := newFileNode(t, "")
	second.file = first.file
	second.startAndAwait(File{Path: first.file, Control: "127.0.0.1:0"})
	if got := second.call("exclude orders/" + other.Addr); got != "done\n" {
		t.Fatalf("exclude was answered %q, want done", got)
	}
	check.Eventually(t, "the call is applied in the first process", func() bool {
		return strings.Contains(first.logged.String(), "another process's maintenance call applied")
	})
	pair.checkDeclined(t, answer, other)
}

// TestExclusionOutlivesItsPool guards against requests to an excluded server of a pool that a file does not contain for a
// while: the server is still excluded once the pool is back, after a reload and in a new process.
func TestExclusionOutlivesItsPool(t *testing.T) {
	kept, excluded := check.ScriptedServer(t, emulator.Echo), check.ScriptedServer(t, emulator.Echo)
	node := privateNodeText(t)
	with := node + ordersFile("", kept.Addr, excluded.Addr)
	without := node + serviceText("stock", "") + poolText("stock", "", kept.Addr)
	first := newFileNode(t, with)
	first.startAndAwait(File{Path: first.file, Control: "127.0.0.1:0"})
	if got := first.call("exclude orders/" + excluded.Addr); got != "done\n" {
		t.Fatalf("exclude was answered %q, want done", got)
	}
	first.reloadFile(without)
	first.reloadFile(with)
	if got := first.metric("out_of_rotation"); got != "1" {
		t.Errorf("%s servers are out of rotation after the pool is back, want 1", got)
	}
	first.reloadFile(without)
	second := newFileNode(t, with)
	second.startAndAwait(File{Path: second.file, Control: "127.0.0.1:0"})
	if got := second.metric("out_of_rotation"); got != "1" {
		t.Errorf("%s servers are out of rotation in the new process, want 1", got)
	}
	if got := second.call("include orders/" + excluded.Addr); got != "done\n" || second.metric("out_of_rotation") != "0" {
		t.Errorf("include was answered %q, and %s servers are out of rotation, want done and 0", got, second.metric("out_of_rotation"))
	}
}

// TestRequestIDInUseWhileAnswerIsPassedOn guards against a second run of a request whose long answer a slow client is
// still reading: another client that sends the id gets 409, also after a reload, until the answer has been passed on.
func TestRequestIDInUseWhileAnswerIsPassedOn(t *testing.T) {
	const length = 24 << 20 // bytes, more than the sockets between the server and the client buffer
	server := check.ScriptedServer(t, emulator.Respond(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", length, patternText(length))))
	n := startServices(t, ordersFile("", server.Addr))
	c := n.dial()
	writeString(t, c, forHost("orders", postRequest("credit", "dup", "", "x")))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if status := n.statusOfCredit("dup"); status != 409 {
		t.Errorf("a request with the id of a streaming answer was answered %d, want 409", status)
	}
	n.reloadServices(ordersFile("attempts = 2", server.Addr))
	if status := n.statusOfCredit("dup"); status != 409 {
		t.Errorf("a request with the id of a streaming answer was answered %d after a reload, want 409", status)
	}
	if got, err := io.Copy(io.Discard, resp.Body); err != nil || got != length {
		t.Errorf("read %d bytes of the answer and error %v, want %d bytes", got, err, length)
	}
	if status := n.statusOfCredit("dup"); status != 200 {
		t.Errorf("a request with the id was answered %d after the answer had been passed on, want 200", status)
	}
}

// TestMiddleProcessOutlivesItsPredecessor guards against calls and ids that no longer reach the oldest of three processes:
// the middle one drains without clients while the oldest still runs. It ends only after the oldest has ended.
func TestMiddleProcessOutlivesItsPredecessor(t *testing.T) {
	text := privateNodeText(t) + ordersFile("", check.ScriptedServer(t, emulator.Echo).Addr)
	var processes [3]*testNode
	for i := range processes {
		processes[i] = newFileNode(t, text)
		processes[i].startAndAwait(File{Path: processes[i].file, Control: "127.0.0.1:0"})
	}
	oldest, middle := processes[0], processes[1]
	middle.term()
	check.Eventually(t, "the middle process has no more clients", func() bool { return strings.Contains(middle.logged.String(), "draining") })
	oldest.term()
	middle.awaitEnd()
	if !strings.Contains(middle.logged.String(), "peer=predecessor") {
		t.Error("the middle process ended before the oldest one, want it to wait")
	}
}

// TestKeysOutliveTheirPool guards against a second run of an order under its key: its pool is removed from the file and
// returns, and the repeat gets the answer of the first request.
func TestKeysOutliveTheirPool(t *testing.T) {
	server := check.ScriptedServer(t, mirror)
	with := withKeyRule(ordersFile("", server.Addr), "")
	n := startServices(t, with)
	n.roundTripOnce(forHost("orders", keyedRequest("first", "k", "x")))
	n.reloadServices(serviceText("stock", "") + poolText("stock", "", server.Addr))
	n.reloadServices(with)
	status, body, header := n.roundTripOnce(forHost("orders", keyedRequest("repeat", "k", "x")))
	if got := server.Received.Load(); status != 200 || body != "x" || header.Get("Idempotent-Replayed") == "" || got != 1 {
		t.Errorf("the repeat was answered %d %q with header %v, and the server got %d requests; want a replayed 200 with x, and 1", status, body, header, got)
	}
}
