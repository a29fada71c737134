package node

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/check"
)

// maxBeginDelay is how long after its client has disconnected an attempt may still begin.
const maxBeginDelay = 100 * time.Millisecond

// waitingRequest is an open request that waits for a connection, a slot or the end of an attempt.
type waitingRequest struct {
	n       *testNode
	client  net.Conn
	unblock func() // ends the wait
	servers []*emulator.ScriptedServer
}

// attemptsBegun counts the attempts that have begun at the servers.
func (w *waitingRequest) attemptsBegun() (sum int64) {
	for _, s := range w.servers {
		sum += s.Begun.Load()
	}
	return sum
}

// declineAfter declines requests whose IDs begin with a prefix, once release is closed, and echoes
// the others.
func declineAfter(release <-chan struct{}, prefix string) emulator.Responder {
	return func(c net.Conn, r *http.Request, body []byte) bool {
		if !strings.HasPrefix(r.Header.Get("Req-Id"), prefix) {
			return emulator.Echo(c, r, body)
		}
		<-release
		return emulator.Respond("HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")(c, r, body)
	}
}

// waitingInFlight returns a request with an attempt in flight at one of two servers, which ends once
// the request is unblocked.
func waitingInFlight(t *testing.T, text string, reply func(release <-chan struct{}, prefix string) emulator.Responder, start func(servers ...string) *testNode) waitingRequest {
	release := make(chan struct{})
	server, other := check.ScriptedServer(t, reply(release, "gone")), check.ScriptedServer(t, reply(release, "gone"))
	n := start(server.Addr, other.Addr)
	c := n.dial()
	writeString(t, c, text)
	check.Eventually(t, "the request reached a server", func() bool { return server.Received.Load()+other.Received.Load() == 1 })
	return waitingRequest{n, c, func() { close(release) }, []*emulator.ScriptedServer{server, other}}
}

// waitingInQueue returns a request that waits behind another for a slot.
func waitingInQueue(t *testing.T, service, inPool string) waitingRequest {
	release := make(chan struct{})
	s := check.ScriptedServer(t, holdUntil(release, ""))
	n := startServices(t, serviceText("orders", service)+poolText("orders", inPool, s.Addr))
	first := n.exchangeAsync(forHost("orders", lookRequest("first")))
	check.Eventually(t, "the first request reached the server", func() bool { return s.Received.Load() == 1 })
	c := n.dial()
	writeString(t, c, forHost("orders", lookRequest("gone")))
	n.awaitOpenRequests(2)
	return waitingRequest{n, c, func() {
		close(release)
		if got := <-first; got != "200 first " {
			t.Errorf("the first request was answered %q, want 200 first", got)
		}
	}, []*emulator.ScriptedServer{s}}
}

// waitingToConnect returns a request that waits for a connection to a server that accepts late.
func waitingToConnect(t *testing.T, text string) waitingRequest {
	s := startLateServer(t)
	n := startNode(t, combine(withLongDialTimeout, withoutCancellation), s.Addr)
	c := n.dial()
	writeString(t, c, text)
	n.awaitOpenRequests(1)
	return waitingRequest{n, c, func() {
		if err := s.Open(); err != nil {
			t.Error(err)
		}
	}, []*emulator.ScriptedServer{s.ScriptedServer}}
}

// keyedFileText returns the file of a pool whose class must never run twice and has keys that the node
// stores.
func keyedFileText(servers ...string) string {
	return withKeyRule(serviceText("orders", "tenant_header = \"Req-Owner\"")+poolText("orders", "", servers...), "")
}

// repeatedFileText returns the file of keyedFileText, with keys for the class that may be retried instead.
func repeatedFileText(servers ...string) string {
	return strings.Replace(serviceText("orders", "tenant_header = \"Req-Owner\"")+poolText("orders", "", servers...), "[[pool.class]]\nname = \"credit\"", "[pool.class.keys]\n[[pool.class]]\nname = \"credit\"", 1)
}

const oneSlotAndQueue = "concurrent = 1\nqueue = 10\nqueue_wait = \"20s\""

// TestNoAttemptAfterClientDisconnected makes a client disconnect while its request waits. The wait ends while an
// attempt could still begin, whether the node has noticed the disconnect or not: none begins.
// client_disconnects_test.go covers other ways to disconnect, and requests that wait for a connection or in
// the accept queue.
func TestNoAttemptAfterClientDisconnected(t *testing.T) {
	plain := func(t *testing.T) func(...string) *testNode {
		return func(s ...string) *testNode { return startNode(t, withoutCancellation, s...) }
	}
	byFile := func(t *testing.T, file func(...string) string) func(...string) *testNode {
		return func(s ...string) *testNode { return startServices(t, file(s...)) }
	}
	order := strings.Replace(keyedRequest("gone", "k", "x"), "/credit/", "/order/", 1)
	for what, begin := range map[string]func(t *testing.T) waitingRequest{
		"a late connection": func(t *testing.T) waitingRequest { return waitingToConnect(t, lookRequest("gone")) },
		"a late connection, a part of the body sent": func(t *testing.T) waitingRequest {
			return waitingToConnect(t, postRequest("credit", "gone", "", patternText(3<<20))[:40<<10])
		},
		"a late connection, a long body sent": func(t *testing.T) waitingRequest {
			return waitingToConnect(t, postRequest("credit", "gone", "", patternText(3<<19)))
		},
		"a late connection, many pipelined requests": func(t *testing.T) waitingRequest {
			return waitingToConnect(t, lookRequest("gone")+strings.Repeat(lookRequest("behind"), (400<<10)/len(lookRequest("behind"))))
		},
		"the service's queue": func(t *testing.T) waitingRequest { return waitingInQueue(t, oneSlotAndQueue, "") },
		"the pool's queue":    func(t *testing.T) waitingRequest { return waitingInQueue(t, "", oneSlotAndQueue) },
		"an attempt that is reset": func(t *testing.T) waitingRequest {
			return waitingInFlight(t, lookRequest("gone"), resetAfter, plain(t))
		},
		"an attempt that is declined": func(t *testing.T) waitingRequest {
			return waitingInFlight(t, lookRequest("gone"), declineAfter, plain(t))
		},
		"a keyed attempt that is declined": func(t *testing.T) waitingRequest {
			return waitingInFlight(t, forHost("orders", keyedRequest("gone", "k", "x")), declineAfter, byFile(t, keyedFileText))
		},
		"a keyed attempt that is reset": func(t *testing.T) waitingRequest {
			return waitingInFlight(t, forHost("orders", order), resetAfter, byFile(t, repeatedFileText))
		},
	} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			w := begin(t)
			before := w.attemptsBegun()
			w.client.Close()
			<-time.After(maxBeginDelay)
			w.unblock()
			w.n.awaitOpenRequests(0)
			check.Eventually(t, "no attempt is in flight", func() bool { return w.n.node.connections.OpenConnections() <= len(w.servers) })
			if got := w.attemptsBegun(); got != before {
				t.Errorf("%d attempts began after the client disconnected, want none", got-before)
			}
		})
	}
}

// TestRepeatContinuesRunOfDisconnectedClient makes the client of a keyed request disconnect, and then its
// attempt fail in a way that allows a retry. If a repeat waits, the retry is made for the repeat. A later
// repeat runs by itself, or is answered that the request may have run.
func TestRepeatContinuesRunOfDisconnectedClient(t *testing.T) {
	order := func(id string) string { return strings.Replace(keyedRequest(id, "k", "x"), "/credit/", "/order/", 1) }
	credit := func(id string) string { return keyedRequest(id, "k", "x") }
	for name, test := range map[string]struct {
		file        func(...string) string
		ask         func(id string) string
		fails       func(<-chan struct{}, string) emulator.Responder
		repeatWaits bool // the repeat waits before the attempt fails
		want        string
		begun       int64
	}{
		"waiting repeat, declined": {keyedFileText, credit, declineAfter, true, "200 gone x", 2},
		"waiting repeat, reset":    {repeatedFileText, order, resetAfter, true, "200 gone x", 2},
		"later repeat, declined":   {keyedFileText, credit, declineAfter, false, "200 repeat x", 2},
		"later repeat, reset":      {repeatedFileText, order, resetAfter, false, "502 ", 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			once := func(release <-chan struct{}, prefix string) emulator.Responder {
				fails := test.fails(release, prefix)
				return func(c net.Conn, r *http.Request, body []byte) bool {
					select {
					case <-release: // only the first attempt fails
						return emulator.Echo(c, r, body)
					default:
						return fails(c, r, body)
					}
				}
			}
			w := waitingInFlight(t, forHost("orders", test.ask("gone")), once, func(s ...string) *testNode { return startServices(t, test.file(s...)) })
			var repeat <-chan string
			if test.repeatWaits {
				repeat = w.n.exchangeAsync(forHost("orders", test.ask("repeat")))
				w.n.awaitOpenRequests(2)
			}
			w.client.Close()
			<-time.After(maxBeginDelay)
			w.unblock()
			if !test.repeatWaits {
				w.n.awaitOpenRequests(0)
				repeat = w.n.exchangeAsync(forHost("orders", test.ask("repeat")))
			}
			if got := <-repeat; got != test.want {
				t.Errorf("the repeat got %q, want %q", got, test.want)
			}
			if got := w.attemptsBegun(); got != test.begun {
				t.Errorf("%d attempts, want %d", got, test.begun)
			}
		})
	}
}
