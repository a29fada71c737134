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

// lateBegin is how long after its client's close an attempt may still begin.
const lateBegin = 100 * time.Millisecond

// waitingRequest is a request that waits for something.
type waitingRequest struct {
	n       *testNode
	client  net.Conn
	comes   func() // what it waits for
	servers []*emulator.ScriptedServer
}

// attemptsBegun counts the requests that have begun at the servers.
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

// waitingInFlight returns a request that has begun at one of two servers and waits for its end
// there.
func waitingInFlight(t *testing.T, text string, reply func(release <-chan struct{}, prefix string) emulator.Responder, start func(servers ...string) *testNode) waitingRequest {
	release := make(chan struct{})
	x, y := check.ScriptedServer(t, reply(release, "gone")), check.ScriptedServer(t, reply(release, "gone"))
	n := start(x.Addr, y.Addr)
	c := n.dial()
	writeMore(t, c, text)
	check.Eventually(t, "the request is out", func() bool { return x.Received.Load()+y.Received.Load() == 1 })
	return waitingRequest{n, c, func() { close(release) }, []*emulator.ScriptedServer{x, y}}
}

// waitingInQueue returns a request that waits behind another for a place.
func waitingInQueue(t *testing.T, service, inPool string) waitingRequest {
	release := make(chan struct{})
	s := check.ScriptedServer(t, holdUntil(release, ""))
	n := startServices(t, serviceText("orders", service)+poolText("orders", inPool, s.Addr))
	first := n.exchangeAsync(forHost("orders", lookRequest("first")))
	check.Eventually(t, "the first is out", func() bool { return s.Received.Load() == 1 })
	c := n.dial()
	writeMore(t, c, forHost("orders", lookRequest("gone")))
	n.awaitOpenRequests(2)
	return waitingRequest{n, c, func() {
		close(release)
		if got := <-first; got != "200 first " {
			t.Errorf("the first got %q", got)
		}
	}, []*emulator.ScriptedServer{s}}
}

// waitingToConnect returns a request that waits for a connection that comes up late.
func waitingToConnect(t *testing.T, text string) waitingRequest {
	s := startUnready(t)
	n := startNode(t, combine(withLongDialTimeout, withoutCancellation), s.Addr)
	c := n.dial()
	writeMore(t, c, text)
	n.awaitOpenRequests(1)
	return waitingRequest{n, c, func() {
		if err := s.Open(); err != nil {
			t.Error(err)
		}
	}, []*emulator.ScriptedServer{s.ScriptedServer}}
}

// keyedFileText returns the file of a pool whose class must never run twice and has keys of the
// node's.
func keyedFileText(servers ...string) string {
	return withKeyRule(serviceText("orders", "tenant_header = \"Req-Owner\"")+poolText("orders", "", servers...), "")
}

// repeatedFileText returns the same with keys for the class that may be retried.
func repeatedFileText(servers ...string) string {
	return strings.Replace(serviceText("orders", "tenant_header = \"Req-Owner\"")+poolText("orders", "", servers...), "[[pool.class]]\nname = \"credit\"", "[pool.class.keys]\n[[pool.class]]\nname = \"credit\"", 1)
}

const lines = "concurrent = 1\nqueue = 10\nqueue_wait = \"20s\""

// TestNoAttemptAfterClientLeft has a client close while its request waits. What the request waits
// for comes while an attempt could still begin, whether the node has noticed the close or not: none
// begins. client_leaves_test.go covers clients that leave in other ways, and requests that wait for a
// connection or in the accept queue.
func TestNoAttemptAfterClientLeft(t *testing.T) {
	plain := func(t *testing.T) func(...string) *testNode {
		return func(s ...string) *testNode { return startNode(t, withoutCancellation, s...) }
	}
	byFile := func(t *testing.T, file func(...string) string) func(...string) *testNode {
		return func(s ...string) *testNode { return startServices(t, file(s...)) }
	}
	order := strings.Replace(keyedRequest("gone", "k", "x"), "/credit/", "/order/", 1)
	for what, begin := range map[string]func(t *testing.T) waitingRequest{
		"a late connection": func(t *testing.T) waitingRequest { return waitingToConnect(t, lookRequest("gone")) },
		"a late connection, its body begun": func(t *testing.T) waitingRequest {
			return waitingToConnect(t, postRequest("credit", "gone", "", patternText(3<<20))[:40<<10])
		},
		"a late connection, much unread behind it": func(t *testing.T) waitingRequest {
			return waitingToConnect(t, lookRequest("gone")+strings.Repeat(lookRequest("behind"), (400<<10)/len(lookRequest("behind"))))
		},
		"its service's line": func(t *testing.T) waitingRequest { return waitingInQueue(t, lines, "") },
		"its pool's line":    func(t *testing.T) waitingRequest { return waitingInQueue(t, "", lines) },
		"an attempt that is reset": func(t *testing.T) waitingRequest {
			return waitingInFlight(t, lookRequest("gone"), resetAfter, plain(t))
		},
		"one that is declined": func(t *testing.T) waitingRequest {
			return waitingInFlight(t, lookRequest("gone"), declineAfter, plain(t))
		},
		"one under a key, declined": func(t *testing.T) waitingRequest {
			return waitingInFlight(t, forHost("orders", keyedRequest("gone", "k", "x")), declineAfter, byFile(t, keyedFileText))
		},
		"one under a key, reset": func(t *testing.T) waitingRequest {
			return waitingInFlight(t, forHost("orders", order), resetAfter, byFile(t, repeatedFileText))
		},
	} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			w := begin(t)
			was := w.attemptsBegun()
			w.client.Close()
			<-time.After(lateBegin)
			w.comes()
			w.n.awaitOpenRequests(0)
			check.Eventually(t, "nothing is out", func() bool { return w.n.node.connections.OpenConnections() <= len(w.servers) })
			if got := w.attemptsBegun(); got != was {
				t.Errorf("%d attempts began after the client had gone", got-was)
			}
		})
	}
}

// TestRepeatContinuesRunOfClientThatLeft has the client of a keyed request leave, and then its
// attempt fail in a way that allows a retry. Where a repeat waits, the retry is made for it. Where
// a repeat comes later it runs itself, or its answer says what may have run.
func TestRepeatContinuesRunOfClientThatLeft(t *testing.T) {
	order := func(id string) string { return strings.Replace(keyedRequest(id, "k", "x"), "/credit/", "/order/", 1) }
	credit := func(id string) string { return keyedRequest(id, "k", "x") }
	for name, x := range map[string]struct {
		file  func(...string) string
		ask   func(id string) string
		fails func(<-chan struct{}, string) emulator.Responder
		early bool // the repeat waits
		want  string
		begun int64
	}{
		"it waits, declined":       {keyedFileText, credit, declineAfter, true, "200 gone x", 2},
		"it waits, reset":          {repeatedFileText, order, resetAfter, true, "200 gone x", 2},
		"it comes later, declined": {keyedFileText, credit, declineAfter, false, "200 repeat x", 2},
		"it comes later, reset":    {repeatedFileText, order, resetAfter, false, "502 ", 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			once := func(release <-chan struct{}, prefix string) emulator.Responder {
				fails := x.fails(release, prefix)
				return func(c net.Conn, r *http.Request, body []byte) bool {
					select {
					case <-release: // the first attempt alone fails
						return emulator.Echo(c, r, body)
					default:
						return fails(c, r, body)
					}
				}
			}
			w := waitingInFlight(t, forHost("orders", x.ask("gone")), once, func(s ...string) *testNode { return startServices(t, x.file(s...)) })
			var repeat <-chan string
			if x.early {
				repeat = w.n.exchangeAsync(forHost("orders", x.ask("repeat")))
				w.n.awaitOpenRequests(2)
			}
			w.client.Close()
			<-time.After(lateBegin)
			w.comes()
			if !x.early {
				w.n.awaitOpenRequests(0)
				repeat = w.n.exchangeAsync(forHost("orders", x.ask("repeat")))
			}
			if got := <-repeat; got != x.want {
				t.Errorf("the repeat got %q, want %q", got, x.want)
			}
			if got := w.attemptsBegun(); got != x.begun {
				t.Errorf("%d attempts, want %d", got, x.begun)
			}
		})
	}
}
