package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"jasperpin/internal/admin"
	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/check"
	"jasperpin/internal/emulator/testbed"
)

// crowdedProcess is a process that the system allows so many descriptors, and clients that take its
// every place.
type crowdedProcess struct {
	t           *testing.T
	p           *testbed.Process
	descriptors int
	listen, at  string // where clients and operators call
	most        atomic.Int64
	ids         atomic.Int64
	closed      atomic.Int64 // connections of the clients, by the process
}

// startCrowded starts the program by what write returns for its addresses for clients and
// operators. Rewrite writes the file anew.
func startCrowded(t *testing.T, descriptors int, platform bool, write func(listen, control string) []byte) (c *crowdedProcess, rewrite func()) {
	t.Helper()
	c = &crowdedProcess{t: t, descriptors: descriptors, listen: check.UnusedAddr(t), at: check.UnusedAddr(t)}
	dir := t.TempDir()
	file := filepath.Join(dir, "file")
	rewrite = func() {
		if err := os.WriteFile(file, write(c.listen, c.at), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	rewrite()
	program := testbed.Program{Path: "/bin/sh", Env: []string{"JASPERPIN_TEST_MAIN=1", "TMPDIR=" + dir}}
	args := []string{"-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, descriptors), os.Args[0], "serve"}
	if platform {
		program.Env = append(program.Env, "GW_CONFIG="+file)
	} else {
		args = append(args, "-c", file)
	}
	c.p = check.Must[*testbed.Process](t)(program.Start(dir, "crowded", args...))
	t.Cleanup(c.p.Kill)
	awaitUp(t, c.listen)
	return c, rewrite
}

// platformText is the platform's configuration of a node with one class, and some settings more.
func platformText(t *testing.T, listen, control, discovery string, memoryMB, sockets int, settings map[string]any) []byte {
	t.Helper()
	settings["classes"] = []any{map[string]any{"name": "look", "effect": "free", "objectiveMs": 19000, "deadlineMs": 20000}}
	text, err := json.Marshal(map[string]any{
		"name": "n0", "listen": listen, "control": control, "discovery": discovery, "seed": "1",
		"limits":   map[string]any{"cores": 1, "memory_mb": memoryMB, "sockets": sockets},
		"settings": settings,
	})
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// descriptorsOpen returns how many descriptors the process has open.
func (c *crowdedProcess) descriptorsOpen() int {
	fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", c.p.Pid()))
	if err != nil {
		return 0 // it ends
	}
	n := int64(len(fds))
	for was := c.most.Load(); n > was && !c.most.CompareAndSwap(was, n); was = c.most.Load() {
	}
	return len(fds)
}

// fill has clients connect until the test ends, three times as many as the process has descriptors:
// they send nothing, stop within a head, or are idle after an answer, and connect again when they
// are closed.
func (c *crowdedProcess) fill(host string) {
	stop := make(chan struct{})
	var all sync.WaitGroup
	c.t.Cleanup(func() { close(stop); all.Wait() })
	for i := range 3 * c.descriptors {
		all.Go(func() {
			for {
				c.runIdleClient(i, host, stop)
				select {
				case <-stop:
					return
				case <-time.After(time.Second / 2):
				}
			}
		})
	}
	all.Go(func() {
		for tick := time.NewTicker(5 * time.Millisecond); ; {
			select {
			case <-stop:
				tick.Stop()
				return
			case <-tick.C:
				c.descriptorsOpen()
			}
		}
	})
}

// awaitFull waits until the clients have every place: some of them make room for others.
func (c *crowdedProcess) awaitFull() {
	c.t.Helper()
	check.Eventually(c.t, "every place for clients is taken", func() bool { return c.closed.Load() > int64(c.descriptors) })
}

// runIdleClient is one of the clients, until its connection is closed.
func (c *crowdedProcess) runIdleClient(i int, host string, stop <-chan struct{}) {
	nc, err := net.DialTimeout("tcp", c.listen, time.Second)
	if err != nil {
		return
	}
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		text := c.requestText(host, "")
		switch i % 3 {
		case 1:
			text = text[:20]
		case 2:
			text = ""
		}
		_, _ = io.WriteString(nc, text)
		_, _ = io.Copy(io.Discard, nc)
	}()
	select {
	case <-closed:
		c.closed.Add(1)
	case <-stop:
	}
	nc.Close()
	<-closed
}

func (c *crowdedProcess) requestText(host, owner string) string {
	return fmt.Sprintf("GET /look/k HTTP/1.1\r\nHost: %s\r\nReq-Id: r%d\r\nReq-Owner: %s\r\nReq-Deadline-Ms: 20000\r\n\r\n", host, c.ids.Add(1), owner)
}

// exchange sends a request on a new connection. One that is closed before any byte of an answer may
// have been closed unread, as is allowed beside so many clients: the answer is "" then.
func (c *crowdedProcess) exchange(text string) string {
	nc, err := net.DialTimeout("tcp", c.listen, check.Soon)
	if err != nil {
		return ""
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(check.Soon))
	_, _ = io.WriteString(nc, text)
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return fmt.Sprint(resp.StatusCode, " ", string(body))
}

// awaitServed waits until a host's requests go to a server that no list had for it before, and
// makes an operator's call meanwhile.
func (c *crowdedProcess) awaitServed(what, host string, by *emulator.ScriptedServer) {
	c.t.Helper()
	began, was := time.Now(), by.Received.Load()
	check.Eventually(c.t, what, func() bool {
		c.exchange(c.requestText(host, ""))
		return by.Received.Load() > was
	})
	if _, err := admin.Call(c.t.Context(), c.at, "readyz"); err != nil {
		c.t.Errorf("%s: an operator's call: %v", what, err)
	}
	c.t.Logf("%s: after %v", what, time.Since(began).Round(time.Millisecond))
}

// checkDescriptors checks that the process stayed within its descriptors.
func (c *crowdedProcess) checkDescriptors() {
	c.t.Helper()
	c.t.Logf("at the most %d of %d descriptors", c.most.Load(), c.descriptors)
	if most := int(c.most.Load()); most > c.descriptors {
		c.t.Errorf("%d descriptors, %d are allowed", most, c.descriptors)
	}
	if log := c.p.Logged(); strings.Contains(log, syscall.EMFILE.Error()) {
		c.t.Errorf("it ran out of descriptors:\n%.2000s", log)
	}
}

// remoteDiscovery is a discovery behind a network that can be cut.
type remoteDiscovery struct {
	*emulator.Discovery
	*emulator.Proxy
}

func startDiscovery(t *testing.T, servers ...string) remoteDiscovery {
	t.Helper()
	d := check.StartForTest(t, func() (*emulator.Discovery, error) {
		return emulator.NewDiscovery(emulator.InServiceEntries(servers...)...)
	})
	return remoteDiscovery{d, check.StartForTest(t, func() (*emulator.Proxy, error) { return emulator.NewProxy(d.Addr) })}
}

// disconnect cuts the discovery off: what was open ends, and new connections fail.
func (d remoteDiscovery) disconnect() {
	d.Set(emulator.Fault{BlackHole: true})
	d.Cut()
}

func (d remoteDiscovery) reconnect() {
	d.Set(emulator.Fault{})
	d.Cut() // bytes are missing on what opened meanwhile
}

// TestIdleClientsWhileDiscoveryIsDown has idle clients take every place while discovery is down. It
// comes back with a list of a new server alone, and SIGHUP moves it to a list of another: each time
// the watch connects, and so does a connection to a server that had none. Requests that were in
// flight all the while are answered, and so are operators.
func TestIdleClientsWhileDiscoveryIsDown(t *testing.T) {
	const descriptors = 128
	for name, x := range map[string]struct {
		mode  string
		limit int
	}{
		"ask":  {"ask", descriptors},
		"push": {"push", descriptors},
		"the system allows fewer than the limits say": {"push", 4 * descriptors},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			a := check.ScriptedServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
				if r.Header.Get("Req-Owner") == "held" {
					<-release
				}
				return emulator.Echo(c, r, body)
			})
			b, moved := check.ScriptedServer(t, emulator.Echo), check.ScriptedServer(t, emulator.Echo)
			d, next := startDiscovery(t, a.Addr), startDiscovery(t, moved.Addr)
			addr := d.Proxy.Addr
			c, rewrite := startCrowded(t, descriptors, true, func(listen, control string) []byte {
				return platformText(t, listen, control, addr, 64, x.limit, map[string]any{
					"discovery": x.mode, "ceilings": map[string]any{"maxAttempts": 2, "keepaliveMs": 250}, "rules": map[string]any{"askWithinMs": 1000},
				})
			})
			c.awaitServed("the first list", "h", a)
			const held = 20
			answers := make(chan string, held)
			was := a.Received.Load()
			for range held {
				go func() { answers <- c.exchange(c.requestText("h", "held")) }()
			}
			check.Eventually(t, "they are out", func() bool { return a.Received.Load() == was+held })
			d.disconnect()
			c.fill("h")
			c.awaitFull()
			d.SetList(emulator.InServiceEntries(b.Addr)...)
			d.reconnect()
			c.awaitServed("discovery is back", "h", b)
			addr = next.Proxy.Addr
			rewrite()
			if err := c.p.Reload(); err != nil {
				t.Fatal(err)
			}
			c.awaitServed("discovery has moved", "h", moved)
			close(release)
			for range held {
				if got := <-answers; !strings.HasPrefix(got, "200 ") {
					t.Errorf("one that was out got %q", got)
				}
			}
			c.checkDescriptors()
		})
	}
}

// TestIdleClientsBesideManyWatches does the same with more pools, each with a watch, than the
// descriptors that stay free for other things. All discoveries are down, come back, and move at
// once.
func TestIdleClientsBesideManyWatches(t *testing.T) {
	t.Parallel()
	const descriptors, pools = 192, 60
	servers := make([]*emulator.ScriptedServer, 2*pools)
	for i := range servers {
		servers[i] = check.ScriptedServer(t, emulator.Echo)
	}
	var found []remoteDiscovery
	for i := range pools {
		found = append(found, startDiscovery(t, servers[i].Addr))
	}
	moved := 0 // by how many places each pool's discovery is another's
	c, rewrite := startCrowded(t, descriptors, false, func(listen, control string) []byte {
		text := fmt.Sprintf("[node]\nlisten = [%q]\ncontrol = %q\n[limits]\nmemory = \"64MB\"\ndescriptors = %d\n", listen, control, descriptors)
		for i := range found {
			d := found[(i+moved)%pools]
			text += fmt.Sprintf("[[service]]\nname = \"s%d\"\n[[service.route]]\nhosts = [\"h%d\"]\npool = \"s%d\"\n", i, i, i)
			text += fmt.Sprintf("[[pool]]\nname = \"s%d\"\nprotocol = \"platform\"\ndiscovery = %q\n[[pool.class]]\nname = \"look\"\nrepeat = \"safe\"\naim = \"19s\"\ndeadline = \"20s\"\n", i, d.Proxy.Addr)
		}
		return []byte(text)
	})
	c.awaitServed("the first list of one", "h0", servers[0])
	for _, d := range found {
		d.disconnect()
	}
	c.fill("h0")
	c.awaitFull()
	for i, d := range found {
		d.SetList(emulator.InServiceEntries(servers[pools+i].Addr)...)
		d.reconnect()
	}
	for i := range found {
		c.awaitServed(fmt.Sprint("discovery ", i, " is back"), fmt.Sprint("h", i), servers[pools+i])
	}
	moved = 1
	rewrite()
	if err := c.p.Reload(); err != nil {
		t.Fatal(err)
	}
	for i := range found {
		c.awaitServed(fmt.Sprint("discovery ", i, " has moved"), fmt.Sprint("h", i), servers[pools+(i+1)%pools])
	}
	c.checkDescriptors()
}

// resetLeaving resets the connections of requests of the owner "leaves", once release is closed, and
// echoes the others.
func resetLeaving(release <-chan struct{}) emulator.Responder {
	return func(c net.Conn, r *http.Request, body []byte) bool {
		if r.Header.Get("Req-Owner") != "leaves" {
			return emulator.Echo(c, r, body)
		}
		<-release
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	}
}

// keepBusy sends requests as fast as the process answers them, until stop is called.
func (c *crowdedProcess) keepBusy() (stop func()) {
	const senders = 4
	var sending sync.WaitGroup
	stopped := make(chan struct{})
	for range senders {
		sending.Go(func() {
			for {
				select {
				case <-stopped:
					return
				default:
					isUp(c.listen)
				}
			}
		})
	}
	return func() {
		close(stopped)
		sending.Wait()
	}
}

// TestManyClientsLeaveBusyNode has a thousand clients leave at once a node on one core that others
// keep busy. Their attempts are in flight and fail 0.1 s later: none is retried.
func TestManyClientsLeaveBusyNode(t *testing.T) {
	t.Parallel()
	const clients = 1000
	release := make(chan struct{})
	x, y := check.ScriptedServer(t, resetLeaving(release)), check.ScriptedServer(t, resetLeaving(release))
	begun := func() int64 { return x.Begun.Load() + y.Begun.Load() }
	d := startDiscovery(t, x.Addr, y.Addr)
	c, _ := startCrowded(t, 8*clients, true, func(listen, control string) []byte {
		return platformText(t, listen, control, d.Proxy.Addr, 512, 8*clients, map[string]any{
			"discovery": "push", "ceilings": map[string]any{"maxAttempts": 3, "cancel": false, "dialTimeoutMs": 5000},
		})
	})
	check.Eventually(t, "the list has come", func() bool { return strings.HasPrefix(c.exchange(c.requestText("h", "")), "200 ") })
	was := begun()
	var all []net.Conn
	for range clients {
		nc := check.Must[net.Conn](t)(net.Dial("tcp", c.listen))
		defer nc.Close()
		if _, err := io.WriteString(nc, c.requestText("h", "leaves")); err != nil {
			t.Fatal(err)
		}
		all = append(all, nc)
	}
	check.Eventually(t, "all are out", func() bool { return x.Received.Load()+y.Received.Load() == was+clients })
	stop := c.keepBusy()
	for _, nc := range all {
		nc.Close()
	}
	<-time.After(100 * time.Millisecond) // which is how late an attempt may still begin
	close(release)
	check.Eventually(t, "all have ended", func() bool {
		lines, err := admin.Call(t.Context(), c.at, "telemetry")
		return err == nil && slices.Contains(lines, "svc.open_requests=0")
	})
	stop()
	if got := begun() - was - clients; got != 0 {
		t.Errorf("%d attempts began after their clients had gone", got)
	}
}
