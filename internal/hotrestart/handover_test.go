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

// node is a Node that records what it receives.
type node struct {
	name      string
	listeners map[string]net.Listener

	mu         sync.Mutex // guards the fields below
	calls      []MaintenanceCall
	processes  Processes
	requestIDs *requestid.Registry
}

// open opens a request ID in this process, and reports whether it was free.
func (n *node) open(id string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.requestIDs.Open(id)
}

func (n *node) end(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.requestIDs.Close(id)
}

func (n *node) RequestIDs(to requestid.Neighbor, all bool) map[string]requestid.Update {
	n.mu.Lock()
	defer n.mu.Unlock()
	next := n.requestIDs.Changes
	if all {
		next = n.requestIDs.Complete
	}
	if update := next(to); !update.Empty() {
		return map[string]requestid.Update{"": update}
	}
	return nil
}

func (n *node) ApplyPeerRequestIDs(from requestid.Neighbor, updates map[string]requestid.Update) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.requestIDs.ApplyPeer(from, updates[""])
}

func (n *node) ForgetPeerRequestIDs(side requestid.Neighbor) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.requestIDs.ForgetPeer(side)
}

func (n *node) Listeners() map[string]net.Listener { return n.listeners }

func (n *node) Snapshots() map[string]core.Snapshot {
	return map[string]core.Snapshot{"": {
		Endpoints:   []core.Endpoint{{Name: n.name, Addr: "127.0.0.1:1", State: decide.Ready}},
		Maintenance: maintenance.Snapshot{Excluded: map[string]time.Duration{"s-1": time.Second}},
	}}
}

func (n *node) ApplyMaintenance(c MaintenanceCall) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.calls = append(n.calls, c)
}

func (n *node) SetProcesses(processes Processes) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.processes = processes
}

// awaitProcesses waits until SetProcesses has been called with these processes.
func (n *node) awaitProcesses(t *testing.T, want Processes) {
	t.Helper()
	check.Eventually(t, fmt.Sprintf("%s process has processes %+v", n.name, want), func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.processes == want
	})
}

// awaitCalls waits until ApplyMaintenance has been called with these calls.
func (n *node) awaitCalls(t *testing.T, want ...MaintenanceCall) {
	t.Helper()
	check.Eventually(t, fmt.Sprintf("%s process receives %v", n.name, want), func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return fmt.Sprint(n.calls) == fmt.Sprint(want)
	})
}

// start starts a process of a node.
func start(t *testing.T, directory, name string) (*Handover, *node, map[string]core.Snapshot) {
	t.Helper()
	h, inherited := Connect(directory, slog.New(slog.DiscardHandler))
	n := &node{name: name, processes: h.Processes(), requestIDs: requestid.New(), listeners: inherited.Listeners}
	if err := h.Listen(n); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		h.Close()
		for _, ln := range n.listeners {
			ln.Close()
		}
	})
	return h, n, inherited.Pools
}

// TestHandoverToSuccessor runs a complete hot restart. A second process starts and receives the
// snapshot of the first. Maintenance calls at either process must reach the other. The first
// process drains and exits, and the second has the machine to itself. A third process must then
// connect to the second.
func TestHandoverToSuccessor(t *testing.T) {
	dir := t.TempDir()
	firstHandover, first, inherited := start(t, dir, "first")
	if len(inherited) != 0 || firstHandover.Processes() != (Processes{Count: 1}) {
		t.Errorf("a process without a predecessor inherited %v and has processes %+v, want no state and a count of 1", inherited, firstHandover.Processes())
	}
	secondHandover, second, inherited := start(t, dir, "second")
	if m := inherited[""]; len(m.Endpoints) != 1 || m.Endpoints[0].Name != "first" || m.Maintenance.Excluded["s-1"] != time.Second {
		t.Errorf("the second process inherited %+v, want the first one's endpoint and maintenance", inherited)
	}
	if got := secondHandover.Processes(); got != (Processes{Count: 2, AwaitDrain: true}) {
		t.Errorf("the second process starts with processes %+v, want a count of 2 and AwaitDrain", got)
	}
	first.awaitProcesses(t, Processes{Count: 2})
	firstHandover.Broadcast(MaintenanceCall{Server: "s-2", Out: true})
	second.awaitCalls(t, MaintenanceCall{Server: "s-2", Out: true})
	secondHandover.Broadcast(MaintenanceCall{Server: "s-2"})
	first.awaitCalls(t, MaintenanceCall{Server: "s-2"})
	firstHandover.AnnounceDrain(Drain{Held: limit.ConnectionCounts{Clients: 70, Servers: 9}})
	second.awaitProcesses(t, Processes{Count: 2, PredecessorDraining: true, PredecessorHeld: limit.ConnectionCounts{Clients: 70, Servers: 9}})
	firstHandover.AnnounceDrain(Drain{Held: limit.ConnectionCounts{Clients: 3}})
	second.awaitProcesses(t, Processes{Count: 2, PredecessorDraining: true, PredecessorHeld: limit.ConnectionCounts{Clients: 3}})
	firstHandover.Close()
	second.awaitProcesses(t, Processes{Count: 1})
	if thirdHandover, _, inherited := start(t, dir, "third"); inherited[""].Endpoints[0].Name != "second" || !secondHandover.HasSuccessor() {
		t.Errorf("the third process inherited %+v and has processes %+v, want the state of the second, its predecessor", inherited, thirdHandover.Processes())
	}
}

// TestRequestIDsInUseAcrossProcesses opens request IDs in either of two processes. They must be in
// use in the other as well, until the request ends or its process exits.
func TestRequestIDsInUseAcrossProcesses(t *testing.T) {
	dir := t.TempDir()
	a, first, _ := start(t, dir, "first")
	first.open("long")
	first.open("short")
	_, second, _ := start(t, dir, "second")
	if second.open("long") || second.open("short") {
		t.Error("IDs open in the first process are free in the second at its start")
	}
	first.end("short")
	check.Eventually(t, "a closed ID is free in the second process", func() bool { return second.open("short") })
	check.Eventually(t, "the first process receives the reopened ID", func() bool { return !first.open("short") })
	second.open("new")
	check.Eventually(t, "the first process receives a new ID", func() bool {
		defer first.end("new")
		return !first.open("new")
	})
	a.Close()
	check.Eventually(t, "the IDs of the first process are free after it has exited", func() bool { return second.open("long") })
}

// TestRequestIDsInUseTwoProcessesAway guards against a second run of a request that is open in the
// process two before: its ID must be in use in the third process, and an ID of the third in the first,
// until the request ends.
func TestRequestIDsInUseTwoProcessesAway(t *testing.T) {
	dir := t.TempDir()
	_, first, _ := start(t, dir, "first")
	first.open("long")
	_, second, _ := start(t, dir, "second")
	_, third, _ := start(t, dir, "third")
	if third.open("long") {
		t.Error("an ID that is open in the first process is free in the third at its start")
	}
	first.open("later")
	check.Eventually(t, "the third process receives a new ID of the first", func() bool {
		defer third.end("later")
		return !third.open("later")
	})
	third.open("new")
	check.Eventually(t, "the first process receives a new ID of the third", func() bool {
		defer first.end("new")
		return !first.open("new")
	})
	first.end("long")
	check.Eventually(t, "a closed ID is free in the third process", func() bool { return third.open("long") })
	check.Eventually(t, "the second process receives the reopened ID", func() bool {
		defer second.end("long")
		return !second.open("long")
	})
}

// TestListenersPassToSuccessors passes the listener of the first process to a second process and
// then to a third. A client that connects while no process accepts must wait in the queue until the
// successor accepts it.
func TestListenersPassToSuccessors(t *testing.T) {
	dir := t.TempDir()
	ln := check.Must[net.Listener](t)(net.Listen("tcp", "127.0.0.1:0"))
	addr := ln.Addr().String()
	previous, first, _ := start(t, dir, "first")
	first.listeners = map[string]net.Listener{"clients": ln, "without descriptor": struct{ net.Listener }{ln}}
	for _, name := range []string{"second", "third"} {
		h, next, _ := start(t, dir, name)
		got := next.listeners["clients"]
		if got == nil || len(next.listeners) != 1 {
			t.Fatalf("the %s process received listeners %v, want only the one with a descriptor", name, next.listeners)
		}
		c := check.Must[net.Conn](t)(net.Dial("tcp", addr)) // the connection waits in the accept queue
		ln.Close()
		previous.Close()
		accepted := check.Must[net.Conn](t)(got.Accept())
		if accepted.RemoteAddr().String() != c.LocalAddr().String() {
			t.Errorf("the %s process accepted a connection from %s, want the queued one", name, accepted.RemoteAddr())
		}
		accepted.Close()
		c.Close()
		previous, ln = h, got
	}
}

// TestFailedSuccessor ends a successor before its predecessor drains. The first process must
// continue alone, and a third process must be able to connect to it.
func TestFailedSuccessor(t *testing.T) {
	dir := t.TempDir()
	a, first, _ := start(t, dir, "first")
	b, _, _ := start(t, dir, "second")
	first.awaitProcesses(t, Processes{Count: 2})
	b.Close()
	first.awaitProcesses(t, Processes{Count: 1})
	if a.HasSuccessor() {
		t.Error("HasSuccessor is true after the successor has failed")
	}
	if _, _, inherited := start(t, dir, "third"); len(inherited[""].Endpoints) != 1 {
		t.Errorf("the third process inherited %+v, want one endpoint", inherited)
	}
}

// TestThreeProcesses starts three processes. Each must have the right process count, and
// maintenance calls must reach all of them. When the middle process exits, the outer two are no
// longer connected.
func TestThreeProcesses(t *testing.T) {
	dir := t.TempDir()
	_, first, _ := start(t, dir, "first")
	b, second, _ := start(t, dir, "second")
	first.awaitProcesses(t, Processes{Count: 2})
	c, third, _ := start(t, dir, "third")
	first.awaitProcesses(t, Processes{Count: 3})
	second.awaitProcesses(t, Processes{Count: 3, AwaitDrain: true})
	if got := c.Processes(); got != (Processes{Count: 3, AwaitDrain: true}) {
		t.Errorf("the third process starts with processes %+v, want a count of 3 and AwaitDrain", got)
	}
	c.Broadcast(MaintenanceCall{Pool: "p", Server: "s", Out: true})
	first.awaitCalls(t, MaintenanceCall{Pool: "p", Server: "s", Out: true})
	b.Close() // the outer two have no connection to each other
	first.awaitProcesses(t, Processes{Count: 1})
	third.awaitProcesses(t, Processes{Count: 1})
}

// TestNewestProcessKeepsSocket guards against a successor that finds the wrong predecessor: the middle one
// of three processes exits first. The next process must connect to the third and not to the first.
func TestNewestProcessKeepsSocket(t *testing.T) {
	dir := t.TempDir()
	_, first, _ := start(t, dir, "first")
	b, _, _ := start(t, dir, "second")
	_, third, _ := start(t, dir, "third")
	third.awaitProcesses(t, Processes{Count: 3, AwaitDrain: true})
	b.Close()
	first.awaitProcesses(t, Processes{Count: 1})
	third.awaitProcesses(t, Processes{Count: 1})
	if _, _, inherited := start(t, dir, "fourth"); len(inherited[""].Endpoints) != 1 || inherited[""].Endpoints[0].Name != "third" {
		t.Errorf("the fourth process inherited %+v, want the state of the third", inherited)
	}
}

// TestSocketOfFailedSuccessorIsTakenBack guards against a process that no successor can connect to: its successor's
// connection ends while the successor's socket still answers, as when a killed process is being ended. The
// process must listen again once that socket is closed. The same holds if the third of three processes ends
// after the second.
func TestSocketOfFailedSuccessorIsTakenBack(t *testing.T) {
	for name, processes := range map[string]int{"second": 2, "second, then third": 3} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			oldest, first, _ := start(t, dir, "first")
			var later []*Handover
			for i := range processes - 1 {
				h, _, _ := start(t, dir, fmt.Sprint("later", i))
				later = append(later, h)
			}
			first.awaitProcesses(t, Processes{Count: processes})
			later[0].predecessor.conn.Close()
			first.awaitProcesses(t, Processes{Count: 1})
			for _, h := range later {
				h.Close()
			}
			check.Eventually(t, "the first process listens on the path", func() bool {
				oldest.mu.Lock()
				defer oldest.mu.Unlock()
				info, err := os.Stat(oldest.socketPath)
				return err == nil && os.SameFile(info, oldest.socket)
			})
			if _, _, inherited := start(t, dir, "next"); len(inherited[""].Endpoints) != 1 || inherited[""].Endpoints[0].Name != "first" {
				t.Errorf("the next process inherited %+v, want the state of the first", inherited)
			}
		})
	}
}

// TestUnusablePredecessor starts a process whose socket belongs to no process of its node: a dead
// process, or one that sends nothing, invalid data or half a snapshot. The new process must start
// without a predecessor, and the next process must be able to connect to it.
func TestUnusablePredecessor(t *testing.T) {
	for name, data := range map[string]string{
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
					_, _ = c.Write([]byte(data))
				}()
			}
			h, _, inherited := start(t, dir, "first")
			if len(inherited) != 0 || h.Processes() != (Processes{Count: 1}) {
				t.Errorf("the first process inherited %v and has processes %+v, want no state and a count of 1", inherited, h.Processes())
			}
			if _, _, inherited := start(t, dir, "second"); len(inherited) != 1 {
				t.Errorf("the second process inherited %v, want the state of one pool", inherited)
			}
		})
	}
	if h, inherited := Connect("", slog.New(slog.DiscardHandler)); h != nil || inherited.Pools != nil || h.HasSuccessor() || h.Processes().Count != 1 {
		t.Error("Connect without a directory returned a Handover or state")
	}
	h, _ := Connect(filepath.Join(t.TempDir(), "none"), slog.New(slog.DiscardHandler))
	if err := h.Listen(&node{requestIDs: requestid.New()}); err == nil {
		t.Error("Listen succeeded in a directory that does not exist")
	}
	h.Close()
}

// TestDecodeLaterVersion decodes a message of a later version as far as its fields are the same.
func TestDecodeLaterVersion(t *testing.T) {
	m, err := decode([]byte(`{"Version":9,"Of":1,"Pools":{"":{"Hosts":[{"Name":"s","Mood":"new"}],"Plans":[1]}}}`))
	if err != nil || len(m.Snapshots[""].Endpoints) != 1 {
		t.Errorf("decoding a message of a later version returned %+v and error %v, want one endpoint and no error", m, err)
	}
}

// FuzzDecode decodes arbitrary lines, and restores the decoded state in the maintenance and the
// balancer of a pool. Neither may panic.
func FuzzDecode(f *testing.F) {
	for _, m := range []message{
		{Hello: true}, {ProcessCount: 2}, {Drain: &Drain{limit.ConnectionCounts{Clients: 3}}}, {Call: &MaintenanceCall{"p", "s", true}},
		{ProcessCount: 1, Snapshots: (&node{name: "a"}).Snapshots()},
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
		for _, p := range m.Snapshots {
			b := decide.New(decide.Settings{Classes: make([]decide.Class, 1), NodeCount: 1}, 1, time.Hour, effects{})
			b.UpdateEndpoints(time.Hour, decide.UpdateCached, []decide.Server{{ID: 1, State: decide.Ready}})
			b.Restore(time.Hour, p.Balancer)
			r := maintenance.New()
			r.Restore(time.Hour, p.Maintenance)
			if len(r.List()) > maintenance.MaxExcluded {
				t.Error("more servers are out of rotation than MaxExcluded")
			}
			b.Arrive(time.Hour, decide.Request{ID: 1, Deadline: time.Hour + time.Second})
		}
	})
}

// effects is a decide.Effects that does nothing.
type effects struct{}

func (effects) Send(decide.RequestID, decide.ServerID, time.Duration) {}
func (effects) Cancel(decide.RequestID, int)                          {}
func (effects) Reject(decide.RequestID, time.Duration)                {}
func (effects) Fail(decide.RequestID)                                 {}
func (effects) SetTimer(uint64, time.Duration)                        {}
func (effects) WatchEndpoints(bool)                                   {}
func (effects) Log(string)                                            {}

// TestSocketIsPrivate checks that only the owner can connect to the socket.
func TestSocketIsPrivate(t *testing.T) {
	dir := t.TempDir()
	start(t, dir, "first")
	info, err := os.Stat(filepath.Join(dir, SocketName))
	if err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("the socket has info %v, error %v; want mode 0600", info, err)
	}
}

// TestSuccessorConnectsAfterAcceptErrors makes accept(2) fail with each temporary error. The
// process must still answer a successor.
func TestSuccessorConnectsAfterAcceptErrors(t *testing.T) {
	h, n, _ := start(t, t.TempDir(), "first")
	ln := check.Must[net.Listener](t)(net.Listen("unix", filepath.Join(t.TempDir(), "next.sock")))
	h.goroutines.Go(func() { h.accept(check.NewFailingListener(ln, check.AcceptErrors...)) })
	t.Cleanup(func() { ln.Close() })
	conn := check.Must[net.Conn](t)(net.Dial("unix", ln.Addr().String()))
	defer conn.Close()
	peer := newPeerConn(conn, nil)
	peer.write(message{Hello: true})
	_ = conn.SetReadDeadline(time.Now().Add(check.Timeout))
	if m, err := peer.read(); err != nil || m.Snapshots == nil {
		t.Errorf("the successor received %+v and error %v, want a snapshot and no error", m, err)
	}
	n.awaitProcesses(t, Processes{Count: 2})
}
