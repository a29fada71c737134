package hotrestart

import (
	"bytes"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/core"
	"jasperpin/internal/emulator/check"
	"jasperpin/internal/limit"
	"jasperpin/internal/maintenance"
	"jasperpin/internal/requestid"
)

// node is a process's own side, which notes what it hears.
type node struct {
	name string

	listeners map[string]net.Listener

	mu    sync.Mutex
	calls []MaintenanceCall
	share Processes
	names *requestid.Registry // made with begin
}

// open opens a name here, and says whether it was free.
func (n *node) open(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.names.Open(name)
}

func (n *node) end(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.names.End(name)
}

func (n *node) RequestIDs(whole bool) map[string]requestid.Update {
	n.mu.Lock()
	defer n.mu.Unlock()
	news := n.names.All()
	if !whole {
		news = n.names.Changes()
	}
	if news.Empty() {
		return nil
	}
	return map[string]requestid.Update{"": news}
}

func (n *node) StopTrackingRequestIDs() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.names.StopTracking()
}

func (n *node) ApplyPeerRequestIDs(from requestid.Side, news map[string]requestid.Update) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.names.ApplyPeer(from, news[""])
}

func (n *node) ForgetPeerRequestIDs(side requestid.Side) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.names.ForgetPeer(side)
}

func (n *node) Listeners() map[string]net.Listener { return n.listeners }

func (n *node) Snapshots() map[string]core.Snapshot {
	return map[string]core.Snapshot{"": {
		Endpoints:   []core.Endpoint{{Name: n.name, Addr: "127.0.0.1:1", State: decide.Ready}},
		Maintenance: maintenance.Snapshot{Out: map[string]time.Duration{"s-1": time.Second}},
	}}
}

func (n *node) Apply(c MaintenanceCall) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.calls = append(n.calls, c)
}

func (n *node) SetProcesses(s Processes) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.share = s
}

func (n *node) sees(t *testing.T, want Processes) {
	t.Helper()
	check.Eventually(t, fmt.Sprintf("%s has its machine as in %+v", n.name, want), func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.share == want
	})
}

func (n *node) heard(t *testing.T, want ...MaintenanceCall) {
	t.Helper()
	check.Eventually(t, fmt.Sprintf("%s hears %v", n.name, want), func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return fmt.Sprint(n.calls) == fmt.Sprint(want)
	})
}

// begin starts a process of a node.
func begin(t *testing.T, folder, name string) (*Handover, *node, map[string]core.Snapshot) {
	t.Helper()
	l, known := Meet(folder, slog.New(slog.DiscardHandler))
	n := &node{name: name, share: l.Processes(), names: requestid.New(), listeners: known.Listeners}
	if err := l.Listen(n); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		l.Close()
		for _, ln := range n.listeners {
			ln.Close()
		}
	})
	return l, n, known.Pools
}

// TestSuccession has a second process learn what the first knows, both hear of each
// other's calls, and the second have all once the first has drained and gone.
func TestSuccession(t *testing.T) {
	dir := t.TempDir()
	a, first, known := begin(t, dir, "first")
	if len(known) != 0 || a.Processes() != (Processes{Of: 1}) {
		t.Errorf("with nobody before: %v, %+v", known, a.Processes())
	}
	b, second, known := begin(t, dir, "second")
	if m := known[""]; len(m.Endpoints) != 1 || m.Endpoints[0].Name != "first" || m.Maintenance.Out["s-1"] != time.Second {
		t.Errorf("the second knows %+v", known)
	}
	if got := b.Processes(); got != (Processes{Of: 2, Waits: true}) {
		t.Errorf("the second begins with %+v", got)
	}
	first.sees(t, Processes{Of: 2})
	a.Broadcast(MaintenanceCall{Server: "s-2", Out: true})
	second.heard(t, MaintenanceCall{Server: "s-2", Out: true})
	b.Broadcast(MaintenanceCall{Server: "s-2"})
	first.heard(t, MaintenanceCall{Server: "s-2"})
	a.AnnounceDrain(Drain{Held: limit.Held{Clients: 70, Servers: 9}})
	second.sees(t, Processes{Of: 2, Draining: true, Held: limit.Held{Clients: 70, Servers: 9}})
	a.AnnounceDrain(Drain{Held: limit.Held{Clients: 3}})
	second.sees(t, Processes{Of: 2, Draining: true, Held: limit.Held{Clients: 3}})
	a.Close()
	second.sees(t, Processes{Of: 1})
	if c, _, known := begin(t, dir, "third"); known[""].Endpoints[0].Name != "second" || !b.HasSuccessor() {
		t.Errorf("the third knows %+v, of %+v", known, c.Processes())
	}
}

// TestNamesInUse has a name that is open in one process be taken in the other, both ways,
// until it ends or its process does.
func TestNamesInUse(t *testing.T) {
	dir := t.TempDir()
	a, first, _ := begin(t, dir, "first")
	first.open("long")
	first.open("short")
	_, second, _ := begin(t, dir, "second")
	if second.open("long") || second.open("short") {
		t.Error("names open in the first are free in the second at its start")
	}
	first.end("short")
	check.Eventually(t, "a name that has ended is free", func() bool { return second.open("short") })
	check.Eventually(t, "the first hears of it", func() bool { return !first.open("short") })
	second.open("new")
	check.Eventually(t, "the first hears of a new one", func() bool {
		defer first.end("new")
		return !first.open("new")
	})
	a.Close()
	check.Eventually(t, "the first has ended, and its names with it", func() bool { return second.open("long") })
}

// TestListenersGoAlong has the second process go on with the first one's listener, and a
// third with that: whoever connects meanwhile is taken by one that accepts.
func TestListenersGoAlong(t *testing.T) {
	dir := t.TempDir()
	ln := check.Must[net.Listener](t)(net.Listen("tcp", "127.0.0.1:0"))
	addr := ln.Addr().String()
	a, first, _ := begin(t, dir, "first")
	first.listeners = map[string]net.Listener{"clients": ln, "no socket": struct{ net.Listener }{ln}}
	for _, name := range []string{"second", "third"} {
		l, next, _ := begin(t, dir, name)
		got := next.listeners["clients"]
		if got == nil || len(next.listeners) != 1 {
			t.Fatalf("the %s got %v", name, next.listeners)
		}
		c := check.Must[net.Conn](t)(net.Dial("tcp", addr)) // waits in the queue
		ln.Close()
		a.Close()
		accepted := check.Must[net.Conn](t)(got.Accept())
		if accepted.RemoteAddr().String() != c.LocalAddr().String() {
			t.Errorf("%s took %s", name, accepted.RemoteAddr())
		}
		accepted.Close()
		c.Close()
		a, ln = l, got
	}
}

// TestFailedSuccessor has the first process go on alone, and be found by the next one.
func TestFailedSuccessor(t *testing.T) {
	dir := t.TempDir()
	a, first, _ := begin(t, dir, "first")
	b, _, _ := begin(t, dir, "second")
	first.sees(t, Processes{Of: 2})
	b.Close()
	first.sees(t, Processes{Of: 1})
	if a.HasSuccessor() {
		t.Error("it counts a successor that has failed")
	}
	if _, _, known := begin(t, dir, "third"); len(known[""].Endpoints) != 1 {
		t.Errorf("the next one knows %+v", known)
	}
}

// TestThree has three processes at a time: each knows how many there are.
func TestThree(t *testing.T) {
	dir := t.TempDir()
	_, first, _ := begin(t, dir, "first")
	b, second, _ := begin(t, dir, "second")
	first.sees(t, Processes{Of: 2})
	c, third, _ := begin(t, dir, "third")
	first.sees(t, Processes{Of: 3})
	second.sees(t, Processes{Of: 3, Waits: true})
	if got := c.Processes(); got != (Processes{Of: 3, Waits: true}) {
		t.Errorf("the third begins with %+v", got)
	}
	c.Broadcast(MaintenanceCall{Pool: "p", Server: "s", Out: true})
	first.heard(t, MaintenanceCall{Pool: "p", Server: "s", Out: true})
	b.Close() // what lies beyond it is out of reach
	first.sees(t, Processes{Of: 1})
	third.sees(t, Processes{Of: 1})
}

// TestStrangers has a process begin beside what is no process of its node: nobody, the
// socket of one that is dead, one that says nothing, one that talks nonsense.
func TestStrangers(t *testing.T) {
	for name, say := range map[string]string{
		"dead": "", "nonsense": "hello\n", "no version": "{}\n", "another type": `{"Version":1,"Pools":7}` + "\n",
		"cut short": `{"Version":1,"Pools":{"":{`,
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: filepath.Join(dir, SocketName), Net: "unix"})
			if err != nil {
				t.Fatal(err)
			}
			ln.SetUnlinkOnClose(false)
			if name == "dead" {
				ln.Close()
			} else {
				defer ln.Close()
				go func() {
					c, err := ln.Accept()
					if err != nil {
						return
					}
					defer c.Close()
					_, _ = c.Write([]byte(say))
				}()
			}
			l, _, known := begin(t, dir, "first")
			if len(known) != 0 || l.Processes() != (Processes{Of: 1}) {
				t.Errorf("it took over %v as %+v", known, l.Processes())
			}
			if _, _, known := begin(t, dir, "second"); len(known) != 1 {
				t.Errorf("the next one knows %v", known)
			}
		})
	}
	if l, known := Meet("", slog.New(slog.DiscardHandler)); l != nil || known.Pools != nil || l.HasSuccessor() || l.Processes().Of != 1 {
		t.Error("no folder made a line")
	}
	l, _ := Meet(filepath.Join(t.TempDir(), "none"), slog.New(slog.DiscardHandler))
	if err := l.Listen(&node{names: requestid.New()}); err == nil {
		t.Error("a folder that is not there was listened in")
	}
	l.Close()
}

// TestLaterVersion reads what a later version says, as far as it is the same.
func TestLaterVersion(t *testing.T) {
	m, err := decode([]byte(`{"Version":9,"Of":1,"Pools":{"":{"Hosts":[{"Name":"s","Mood":"new"}],"Plans":[1]}}}`))
	if err != nil || len(m.Pools[""].Endpoints) != 1 {
		t.Errorf("%+v, %v", m, err)
	}
}

// FuzzDecode has no line break the reader, and what it gives be taken over by a pool's
// rota and module without harm.
func FuzzDecode(f *testing.F) {
	for _, m := range []message{
		{Hello: true}, {Of: 2}, {Drain: &Drain{limit.Held{Clients: 3}}}, {Call: &MaintenanceCall{"p", "s", true}},
		{Of: 1, Pools: (&node{name: "a"}).Snapshots()},
	} {
		b, err := encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(bytes.TrimSpace(b))
	}
	f.Add([]byte(`{"Version":1,"Pools":{"":{"Rota":{"Back":{"s":[-1,5]}},"Decide":{"Servers":[{"ID":1,"Name":"s","Tokens":-1e300,"Seen":-9}],"Classes":[{"Latency":1e308}]}}}}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		m, err := decode(line)
		if err != nil {
			return
		}
		for _, p := range m.Pools {
			b := decide.New(decide.Settings{Classes: make([]decide.Class, 1), NodeCount: 1}, 1, time.Hour, effects{})
			b.UpdateEndpoints(time.Hour, decide.UpdateCached, []decide.Server{{ID: 1, State: decide.Ready}})
			b.Restore(time.Hour, p.Balancer)
			r := maintenance.New()
			r.Restore(time.Hour, p.Maintenance)
			if len(r.List()) > maintenance.MaxOut {
				t.Error("more are out than can be")
			}
			b.Arrive(time.Hour, decide.Request{ID: 1, Deadline: time.Hour + time.Second})
		}
	})
}

// effects carries nothing out.
type effects struct{}

func (effects) Send(decide.RequestID, decide.ServerID, time.Duration) {}
func (effects) Cancel(decide.RequestID, int)                          {}
func (effects) Reject(decide.RequestID, time.Duration)                {}
func (effects) Fail(decide.RequestID)                                 {}
func (effects) SetTimer(uint64, time.Duration)                        {}
func (effects) WatchEndpoints(bool)                                   {}
func (effects) Log(string)                                            {}

// TestSocketIsPrivate keeps other users out.
func TestSocketIsPrivate(t *testing.T) {
	dir := t.TempDir()
	begin(t, dir, "first")
	info, err := os.Stat(filepath.Join(dir, SocketName))
	if err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("%v, %v", info, err)
	}
}

// TestLineAcceptsOnAfterAcceptFails has accept(2) fail in each way that passes: the process still
// answers a successor.
func TestLineAcceptsOnAfterAcceptFails(t *testing.T) {
	l, n, _ := begin(t, t.TempDir(), "first")
	ln := check.Must[net.Listener](t)(net.Listen("unix", filepath.Join(t.TempDir(), "line.sock")))
	l.running.Go(func() { l.accept(check.NewFailing(ln, check.AcceptErrors...)) })
	t.Cleanup(func() { ln.Close() })
	conn := check.Must[net.Conn](t)(net.Dial("unix", ln.Addr().String()))
	defer conn.Close()
	k := newLink(conn, nil)
	k.write(message{Hello: true})
	_ = conn.SetReadDeadline(time.Now().Add(check.Soon))
	if m, err := k.read(); err != nil || m.Pools == nil {
		t.Errorf("a successor hears %+v, %v", m, err)
	}
	n.sees(t, Processes{Of: 2})
}
