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

// waiting is a request that waits for something.
type waiting struct {
	n       *testNode
	client  net.Conn
	comes   func() // what it waits for
	servers []*emulator.Raw
}

// begun counts the requests that have begun at the servers.
func (w *waiting) begun() (sum int64) {
	for _, s := range w.servers {
		sum += s.Begun.Load()
	}
	return sum
}

// declines turns away, once release is closed, requests whose names begin so.
func declines(release <-chan struct{}, prefix string) emulator.Reply {
	return func(c net.Conn, r *http.Request, body []byte) bool {
		if !strings.HasPrefix(r.Header.Get("Req-Id"), prefix) {
			return emulator.Echo(c, r, body)
		}
		<-release
		return emulator.Respond("HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")(c, r, body)
	}
}

// out is a request that has begun at one of two servers, and waits for how it ends there.
func out(t *testing.T, text string, reply func(release <-chan struct{}, prefix string) emulator.Reply, start func(servers ...string) *testNode) waiting {
	release := make(chan struct{})
	x, y := check.Raw(t, reply(release, "gone")), check.Raw(t, reply(release, "gone"))
	n := start(x.Addr, y.Addr)
	c := n.dial()
	add(t, c, text)
	check.Eventually(t, "the request is out", func() bool { return x.Got.Load()+y.Got.Load() == 1 })
	return waiting{n, c, func() { close(release) }, []*emulator.Raw{x, y}}
}

// inLine waits behind another request for a place.
func inLine(t *testing.T, service, inPool string) waiting {
	release := make(chan struct{})
	s := check.Raw(t, held(release, ""))
	n := startServices(t, svc("orders", service)+pool("orders", inPool, s.Addr))
	first := n.asked(at("orders", look("first")))
	check.Eventually(t, "the first is out", func() bool { return s.Got.Load() == 1 })
	c := n.dial()
	add(t, c, at("orders", look("gone")))
	n.holds(2)
	return waiting{n, c, func() {
		close(release)
		if got := <-first; got != "200 first " {
			t.Errorf("the first got %q", got)
		}
	}, []*emulator.Raw{s}}
}

// connecting waits for a connection that comes up late.
func connecting(t *testing.T, text string) waiting {
	s := unready(t)
	n := startNode(t, both(patient, uncalled), s.Addr)
	c := n.dial()
	add(t, c, text)
	n.holds(1)
	return waiting{n, c, func() {
		if err := s.Open(); err != nil {
			t.Error(err)
		}
	}, []*emulator.Raw{s.Raw}}
}

// keyedFile is a file of a pool whose class must never run twice and has keys of the node's.
func keyedFile(servers ...string) string {
	return withKeys(svc("orders", "tenant_header = \"Req-Owner\"")+pool("orders", "", servers...), "")
}

// repeatedFile is the same with keys for the class that is sent again.
func repeatedFile(servers ...string) string {
	return strings.Replace(svc("orders", "tenant_header = \"Req-Owner\"")+pool("orders", "", servers...), "[[pool.class]]\nname = \"credit\"", "[pool.class.keys]\n[[pool.class]]\nname = \"credit\"", 1)
}

const lines = "concurrent = 1\nqueue = 10\nqueue_wait = \"20s\""

// TestNoAttemptAfterClientLeft has a client close while its request waits. What the request waits
// for comes while an attempt could still begin, whether the node has noticed the close or not: none
// begins. client_leaves_test.go covers clients that leave in other ways, and requests that wait for a
// connection or in the accept queue.
func TestNoAttemptAfterClientLeft(t *testing.T) {
	plain := func(t *testing.T) func(...string) *testNode {
		return func(s ...string) *testNode { return startNode(t, uncalled, s...) }
	}
	byFile := func(t *testing.T, file func(...string) string) func(...string) *testNode {
		return func(s ...string) *testNode { return startServices(t, file(s...)) }
	}
	order := strings.Replace(keyed("gone", "k", "x"), "/credit/", "/order/", 1)
	for what, begin := range map[string]func(t *testing.T) waiting{
		"a late connection":                 func(t *testing.T) waiting { return connecting(t, look("gone")) },
		"a late connection, its body begun": func(t *testing.T) waiting { return connecting(t, post("credit", "gone", "", long(3<<20))[:40<<10]) },
		"a late connection, much unread behind it": func(t *testing.T) waiting {
			return connecting(t, look("gone")+strings.Repeat(look("behind"), (400<<10)/len(look("behind"))))
		},
		"its service's line":       func(t *testing.T) waiting { return inLine(t, lines, "") },
		"its pool's line":          func(t *testing.T) waiting { return inLine(t, "", lines) },
		"an attempt that is reset": func(t *testing.T) waiting { return out(t, look("gone"), resets, plain(t)) },
		"one that is turned away":  func(t *testing.T) waiting { return out(t, look("gone"), declines, plain(t)) },
		"one under a key, turned away": func(t *testing.T) waiting {
			return out(t, at("orders", keyed("gone", "k", "x")), declines, byFile(t, keyedFile))
		},
		"one under a key, reset": func(t *testing.T) waiting { return out(t, at("orders", order), resets, byFile(t, repeatedFile)) },
	} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			w := begin(t)
			was := w.begun()
			w.client.Close()
			<-time.After(lateBegin)
			w.comes()
			w.n.holds(0)
			check.Eventually(t, "nothing is out", func() bool { return w.n.node.connections.All() <= len(w.servers) })
			if got := w.begun(); got != was {
				t.Errorf("%d attempts began after the client had gone", got-was)
			}
		})
	}
}

// TestRepeatContinuesRunOfClientThatLeft has the client of a keyed request leave, and then its
// attempt fail in a way that allows a retry. Where a repeat waits, the retry is made for it. Where
// a repeat comes later it runs itself, or its answer says what may have run.
func TestRepeatContinuesRunOfClientThatLeft(t *testing.T) {
	order := func(id string) string { return strings.Replace(keyed(id, "k", "x"), "/credit/", "/order/", 1) }
	credit := func(id string) string { return keyed(id, "k", "x") }
	for name, x := range map[string]struct {
		file  func(...string) string
		ask   func(id string) string
		fails func(<-chan struct{}, string) emulator.Reply
		early bool // the repeat waits
		want  string
		begun int64
	}{
		"it waits, turned away":    {keyedFile, credit, declines, true, "200 gone x", 2},
		"it waits, reset":          {repeatedFile, order, resets, true, "200 gone x", 2},
		"it comes later, declined": {keyedFile, credit, declines, false, "200 repeat x", 2},
		"it comes later, reset":    {repeatedFile, order, resets, false, "502 ", 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			once := func(release <-chan struct{}, prefix string) emulator.Reply {
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
			w := out(t, at("orders", x.ask("gone")), once, func(s ...string) *testNode { return startServices(t, x.file(s...)) })
			var repeat <-chan string
			if x.early {
				repeat = w.n.asked(at("orders", x.ask("repeat")))
				w.n.holds(2)
			}
			w.client.Close()
			<-time.After(lateBegin)
			w.comes()
			if !x.early {
				w.n.holds(0)
				repeat = w.n.asked(at("orders", x.ask("repeat")))
			}
			if got := <-repeat; got != x.want {
				t.Errorf("the repeat got %q, want %q", got, x.want)
			}
			if got := w.begun(); got != x.begun {
				t.Errorf("%d attempts, want %d", got, x.begun)
			}
		})
	}
}
