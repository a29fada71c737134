package node

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/check"
)

// ordersFile returns a file with the service and the pool orders, and more lines for the pool.
func ordersFile(lines string, servers ...string) string {
	return serviceText("orders", "") + poolText("orders", lines, servers...)
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
	node := strings.Replace(nodeText, "127.0.0.1:0", check.UnusedAddr(t), 1)
	node = strings.Replace(node, "[limits]", "private = \""+t.TempDir()+"\"\n[limits]", 1)
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

// TestRequestIDInUseWhileAnswerIsPassedOn guards against a second run of a request whose long answer a slow client is
// still reading: another client that sends the id gets 409, also after a reload, until the answer has been passed on.
func TestRequestIDInUseWhileAnswerIsPassedOn(t *testing.T) {
	const length = 8 << 20 // bytes, more than the sockets between the server and the client buffer
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
