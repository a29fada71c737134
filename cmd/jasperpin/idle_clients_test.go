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

// limitedProcess is a process with a limit on open descriptors, and idle clients that use all its connections.
type limitedProcess struct {
	t                     *testing.T
	process               *testbed.Process
	descriptors           int
	clientAddr, adminAddr string // addresses for clients and for operators
	maxDescriptors        atomic.Int64
	lastID                atomic.Int64
	closedConns           atomic.Int64 // client connections that the process closed
}

// startLimited starts a node with the configuration that write returns for the addresses for clients and
// operators. rewrite calls write again and replaces the file.
func startLimited(t *testing.T, descriptors int, platform bool, write func(listen, control string) []byte) (limited *limitedProcess, rewrite func()) {
	t.Helper()
	limited = &limitedProcess{t: t, descriptors: descriptors, clientAddr: check.UnusedAddr(t), adminAddr: check.UnusedAddr(t)}
	dir := t.TempDir()
	file := filepath.Join(dir, "file")
	rewrite = func() {
		if err := os.WriteFile(file, write(limited.clientAddr, limited.adminAddr), 0o600); err != nil {
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
	limited.process = check.Must[*testbed.Process](t)(program.Start(dir, "limited", args...))
	t.Cleanup(limited.process.Kill)
	awaitUp(t, limited.clientAddr)
	return limited, rewrite
}

// platformText returns the platform's configuration of a node with one class and additional settings.
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

// sampleDescriptors counts the open descriptors of the process and updates maxDescriptors.
func (c *limitedProcess) sampleDescriptors() int {
	fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", c.process.Pid()))
	if err != nil {
		return 0 // the process has ended
	}
	n := int64(len(fds))
	for was := c.maxDescriptors.Load(); n > was && !c.maxDescriptors.CompareAndSwap(was, n); was = c.maxDescriptors.Load() {
	}
	return len(fds)
}

// startIdleClients runs idle clients until the test ends, three times as many as the process has descriptors.
// The clients send nothing, send part of a head, or are idle after an answer, and connect again after the process
// closes their connection.
func (c *limitedProcess) startIdleClients(host string) {
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
				c.sampleDescriptors()
			}
		}
	})
}

// awaitAtCapacity waits until the clients use all connections, so that the process closes some connections to admit others.
func (c *limitedProcess) awaitAtCapacity() {
	c.t.Helper()
	check.Eventually(c.t, "all client connections are in use", func() bool { return c.closedConns.Load() > int64(c.descriptors) })
}

// runIdleClient runs one idle client until its connection is closed.
func (c *limitedProcess) runIdleClient(i int, host string, stop <-chan struct{}) {
	conn, err := net.DialTimeout("tcp", c.clientAddr, time.Second)
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
		_, _ = io.WriteString(conn, text)
		_, _ = io.Copy(io.Discard, conn)
	}()
	select {
	case <-closed:
		c.closedConns.Add(1)
	case <-stop:
	}
	conn.Close()
	<-closed
}

func (c *limitedProcess) requestText(host, owner string) string {
	return fmt.Sprintf("GET /look/k HTTP/1.1\r\nHost: %s\r\nReq-Id: r%d\r\nReq-Owner: %s\r\nReq-Deadline-Ms: 20000\r\n\r\n", host, c.lastID.Add(1), owner)
}

// exchange sends a request on a new connection and returns the status and body of the response. It returns ""
// if the connection is closed before a response: the process at capacity may close it without reading.
func (c *limitedProcess) exchange(text string) string {
	conn, err := net.DialTimeout("tcp", c.clientAddr, check.Timeout)
	if err != nil {
		return ""
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(check.Timeout))
	_, _ = io.WriteString(conn, text)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return fmt.Sprint(resp.StatusCode, " ", string(body))
}

// awaitServed waits until a host's requests go to a server that is new in the host's endpoint list, then makes
// an operator's call, which must succeed.
func (c *limitedProcess) awaitServed(what, host string, server *emulator.ScriptedServer) {
	c.t.Helper()
	began, before := time.Now(), server.Received.Load()
	check.Eventually(c.t, what, func() bool {
		c.exchange(c.requestText(host, ""))
		return server.Received.Load() > before
	})
	if _, err := admin.Call(c.t.Context(), c.adminAddr, "readyz"); err != nil {
		c.t.Errorf("%s: operator's call failed: %v", what, err)
	}
	c.t.Logf("%s: after %v", what, time.Since(began).Round(time.Millisecond))
}

// checkDescriptors checks that the process never exceeded its limit of descriptors.
func (c *limitedProcess) checkDescriptors() {
	c.t.Helper()
	c.t.Logf("at most %d of %d descriptors were open", c.maxDescriptors.Load(), c.descriptors)
	if most := int(c.maxDescriptors.Load()); most > c.descriptors {
		c.t.Errorf("%d descriptors were open, want at most %d", most, c.descriptors)
	}
	if log := c.process.Logged(); strings.Contains(log, syscall.EMFILE.Error()) {
		c.t.Errorf("the process ran out of descriptors:\n%.2000s", log)
	}
}

// remoteDiscovery is a discovery server behind a proxy that can partition it.
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

// disconnect makes discovery unreachable: open connections end, and new ones fail.
func (d remoteDiscovery) disconnect() {
	d.Set(emulator.Fault{BlackHole: true})
	d.ResetConnections()
}

func (d remoteDiscovery) reconnect() {
	d.Set(emulator.Fault{})
	d.ResetConnections() // connections opened during the partition have lost bytes
}

// TestIdleClientsWhileDiscoveryIsDown lets idle clients use all connections while discovery is down. Discovery
// recovers with a list of only a new server, and a reload changes to another discovery with a third server.
// Each time the process must connect its watch and connect to a server without a connection. Requests that
// are in flight the whole time are answered, and so are operators.
func TestIdleClientsWhileDiscoveryIsDown(t *testing.T) {
	const descriptors = 128
	for name, test := range map[string]struct {
		mode  string
		limit int
	}{
		"ask":  {"ask", descriptors},
		"push": {"push", descriptors},
		"the system limit is below the configured one": {"push", 4 * descriptors},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			first := check.ScriptedServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
				if r.Header.Get("Req-Owner") == "held" {
					<-release
				}
				return emulator.Echo(c, r, body)
			})
			second, third := check.ScriptedServer(t, emulator.Echo), check.ScriptedServer(t, emulator.Echo)
			discovery, nextDiscovery := startDiscovery(t, first.Addr), startDiscovery(t, third.Addr)
			addr := discovery.Proxy.Addr
			limited, rewrite := startLimited(t, descriptors, true, func(listen, control string) []byte {
				return platformText(t, listen, control, addr, 64, test.limit, map[string]any{
					"discovery": test.mode, "ceilings": map[string]any{"maxAttempts": 2, "keepaliveMs": 250}, "rules": map[string]any{"askWithinMs": 1000},
				})
			})
			limited.awaitServed("the first list", "h", first)
			const held = 20
			answers := make(chan string, held)
			before := first.Received.Load()
			for range held {
				go func() { answers <- limited.exchange(limited.requestText("h", "held")) }()
			}
			check.Eventually(t, "the held requests are in flight", func() bool { return first.Received.Load() == before+held })
			discovery.disconnect()
			limited.startIdleClients("h")
			limited.awaitAtCapacity()
			discovery.SetList(emulator.InServiceEntries(second.Addr)...)
			discovery.reconnect()
			limited.awaitServed("discovery has recovered", "h", second)
			addr = nextDiscovery.Proxy.Addr
			rewrite()
			if err := limited.process.Reload(); err != nil {
				t.Fatal(err)
			}
			limited.awaitServed("discovery has changed", "h", third)
			close(release)
			for range held {
				if got := <-answers; !strings.HasPrefix(got, "200 ") {
					t.Errorf("request in flight: got %q, want status 200", got)
				}
			}
			limited.checkDescriptors()
		})
	}
}

// TestIdleClientsBesideManyWatches does the same with more pools, each with a watch, than there are descriptors
// reserved for other purposes. All discovery servers fail together, recover together and change together.
func TestIdleClientsBesideManyWatches(t *testing.T) {
	t.Parallel()
	const descriptors, pools = 192, 60
	servers := make([]*emulator.ScriptedServer, 2*pools)
	for i := range servers {
		servers[i] = check.ScriptedServer(t, emulator.Echo)
	}
	var discoveries []remoteDiscovery
	for i := range pools {
		discoveries = append(discoveries, startDiscovery(t, servers[i].Addr))
	}
	offset := 0 // pool i has discovery server i+offset
	limited, rewrite := startLimited(t, descriptors, false, func(listen, control string) []byte {
		text := fmt.Sprintf("[node]\nlisten = [%q]\ncontrol = %q\n[limits]\nmemory = \"64MB\"\ndescriptors = %d\n", listen, control, descriptors)
		for i := range discoveries {
			d := discoveries[(i+offset)%pools]
			text += fmt.Sprintf("[[service]]\nname = \"s%d\"\n[[service.route]]\nhosts = [\"h%d\"]\npool = \"s%d\"\n", i, i, i)
			text += fmt.Sprintf("[[pool]]\nname = \"s%d\"\nprotocol = \"platform\"\ndiscovery = %q\n[[pool.class]]\nname = \"look\"\nrepeat = \"safe\"\naim = \"19s\"\ndeadline = \"20s\"\n", i, d.Proxy.Addr)
		}
		return []byte(text)
	})
	limited.awaitServed("the first list of one pool", "h0", servers[0])
	for _, d := range discoveries {
		d.disconnect()
	}
	limited.startIdleClients("h0")
	limited.awaitAtCapacity()
	for i, d := range discoveries {
		d.SetList(emulator.InServiceEntries(servers[pools+i].Addr)...)
		d.reconnect()
	}
	for i := range discoveries {
		limited.awaitServed(fmt.Sprint("discovery ", i, " has recovered"), fmt.Sprint("h", i), servers[pools+i])
	}
	offset = 1
	rewrite()
	if err := limited.process.Reload(); err != nil {
		t.Fatal(err)
	}
	for i := range discoveries {
		limited.awaitServed(fmt.Sprint("discovery ", i, " has changed"), fmt.Sprint("h", i), servers[pools+(i+1)%pools])
	}
	limited.checkDescriptors()
}

// resetDisconnected resets the connections of requests with the owner "leaves" once release is closed, and
// answers other requests with emulator.Echo.
func resetDisconnected(release <-chan struct{}) emulator.Responder {
	return func(c net.Conn, r *http.Request, body []byte) bool {
		if r.Header.Get("Req-Owner") != "leaves" {
			return emulator.Echo(c, r, body)
		}
		<-release
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	}
}

// startBusyClients runs clients that send requests as fast as the process answers them, until stop is called.
func (c *limitedProcess) startBusyClients() (stop func()) {
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
					isUp(c.clientAddr)
				}
			}
		})
	}
	return func() {
		close(stopped)
		sending.Wait()
	}
}

// TestManyClientsDisconnectFromBusyNode disconnects a thousand clients at once from a node on one core that other clients
// saturate. The attempts of the disconnected clients are in flight and fail 0.1 s later: none is retried.
func TestManyClientsDisconnectFromBusyNode(t *testing.T) {
	t.Parallel()
	const clients = 1000
	release := make(chan struct{})
	serverA, serverB := check.ScriptedServer(t, resetDisconnected(release)), check.ScriptedServer(t, resetDisconnected(release))
	begun := func() int64 { return serverA.Begun.Load() + serverB.Begun.Load() }
	d := startDiscovery(t, serverA.Addr, serverB.Addr)
	limited, _ := startLimited(t, 8*clients, true, func(listen, control string) []byte {
		return platformText(t, listen, control, d.Proxy.Addr, 512, 8*clients, map[string]any{
			"discovery": "push", "ceilings": map[string]any{"maxAttempts": 3, "cancel": false, "dialTimeoutMs": 5000},
		})
	})
	check.Eventually(t, "the endpoint list has arrived", func() bool { return strings.HasPrefix(limited.exchange(limited.requestText("h", "")), "200 ") })
	before := begun()
	var conns []net.Conn
	for range clients {
		conn := check.Must[net.Conn](t)(net.Dial("tcp", limited.clientAddr))
		defer conn.Close()
		if _, err := io.WriteString(conn, limited.requestText("h", "leaves")); err != nil {
			t.Fatal(err)
		}
		conns = append(conns, conn)
	}
	check.Eventually(t, "all requests are in flight", func() bool { return serverA.Received.Load()+serverB.Received.Load() == before+clients })
	stop := limited.startBusyClients()
	for _, conn := range conns {
		conn.Close()
	}
	<-time.After(100 * time.Millisecond) // an attempt may begin this long after its client disconnected
	close(release)
	check.Eventually(t, "all requests have ended", func() bool {
		lines, err := admin.Call(t.Context(), limited.adminAddr, "telemetry")
		return err == nil && slices.Contains(lines, "svc.open_requests=0")
	})
	stop()
	if got := begun() - before - clients; got != 0 {
		t.Errorf("%d attempts began after their clients had disconnected, want none", got)
	}
}
