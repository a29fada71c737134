package node

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/check"
)

// heldRequest is a credit that waits at the server that it has reached first.
type heldRequest struct {
	id      string
	answer  <-chan string
	reached chan struct{} // closed once the request waits at a server
	release chan bool     // receives whether the server answers the request; otherwise it declines the request
	process *testNode     // the process that accepted the request
}

// mayHaveEnded reports whether the request's process may have answered the request itself, as its drain ends.
func (r *heldRequest) mayHaveEnded(drainBegan time.Time, newest *testNode) bool {
	return r.process != newest && time.Since(drainBegan) > maxDrainDeadline/2
}

// randomRun is a node under random reloads, upgrades and operators' calls, with requests that wait at servers.
type randomRun struct {
	t          *testing.T
	random     *rand.Rand
	nodeText   string // the node's own tables of its file
	reloads    int
	processes  []*testNode // oldest first; all but the last are draining
	drainBegan time.Time   // of the process before the last
	servers    []*emulator.ScriptedServer
	requests   int
	open       []*heldRequest

	mu       sync.Mutex // guards the following fields
	held     map[string]*heldRequest
	excluded map[string]bool // by the server's address
	wrong    []string        // requests that reached an excluded server
}

func newRandomRun(t *testing.T, seed uint64) *randomRun {
	t.Helper()
	run := &randomRun{t: t, random: rand.New(rand.NewPCG(seed, 0)), nodeText: privateNodeText(t), held: make(map[string]*heldRequest), excluded: make(map[string]bool)}
	for i := range 4 {
		run.servers = append(run.servers, check.ScriptedServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
			return run.respond(run.servers[i], c, r, body)
		}))
	}
	run.startProcess()
	return run
}

// respond is the responder of a server. A held request waits at its first server; all others are answered.
func (run *randomRun) respond(server *emulator.ScriptedServer, conn net.Conn, r *http.Request, body []byte) bool {
	id := r.Header.Get("Req-Id")
	run.mu.Lock()
	if run.excluded[server.Addr] {
		run.wrong = append(run.wrong, id)
	}
	request := run.held[id]
	delete(run.held, id)
	run.mu.Unlock()
	if request == nil {
		return emulator.Echo(conn, r, body)
	}
	close(request.reached)
	if <-request.release {
		return emulator.Echo(conn, r, body)
	}
	return emulator.Respond("HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")(conn, r, body)
}

// file returns a file that differs from the one before, so that a reload replaces the pool.
func (run *randomRun) file() string {
	var addrs []string
	for _, s := range run.servers {
		addrs = append(addrs, s.Addr)
	}
	run.reloads++
	return run.nodeText + ordersFile(fmt.Sprintf("attempts = %d", 2+run.reloads%2), addrs...)
}

func (run *randomRun) newest() *testNode { return run.processes[len(run.processes)-1] }

// startProcess starts a process, to which the newest one hands its clients over.
func (run *randomRun) startProcess() {
	next := newFileNode(run.t, run.file())
	next.startAndAwait(File{Path: next.file, Control: "127.0.0.1:0"})
	if len(run.processes) > 0 {
		old := run.newest()
		run.drainBegan = time.Now()
		old.term()
		check.Eventually(run.t, "the old process drains", func() bool { return strings.HasPrefix(old.call("readyz"), "error") })
		check.Eventually(run.t, "the new process accepts clients", func() bool {
			next.statusOfCredit(run.nextID())
			return next.metric("fulfilled.credit") != "0"
		})
	}
	run.processes = append(run.processes, next)
}

func (run *randomRun) nextID() string {
	run.requests++
	return fmt.Sprint("r", run.requests)
}

// openRequest sends a credit that waits at its server.
func (run *randomRun) openRequest() {
	request := &heldRequest{id: run.nextID(), reached: make(chan struct{}), release: make(chan bool, 1), process: run.newest()}
	run.mu.Lock()
	run.held[request.id] = request
	run.mu.Unlock()
	request.answer = run.newest().exchangeAsync(forHost("orders", postRequest("credit", request.id, "", "x")))
	select {
	case <-request.reached:
	case got := <-request.answer:
		run.t.Fatalf("request %s was answered %q before it reached a server", request.id, got)
	}
	run.open = append(run.open, request)
}

// endRequest lets a server answer or decline a request, which is then answered by another server or rejected.
func (run *randomRun) endRequest(answered bool) {
	i := run.random.IntN(len(run.open))
	request := run.open[i]
	run.open = slices.Delete(run.open, i, i+1)
	request.release <- answered
	got := <-request.answer
	if request.mayHaveEnded(run.drainBegan, run.newest()) {
		return
	}
	if served := strings.HasPrefix(got, "200"); !served && (answered || !strings.HasPrefix(got, "503")) {
		run.t.Errorf("request %s was answered %q, want 200, or 503 if its server declined it (answered: %t)", request.id, got, answered)
	}
}

// sendOpenID sends the id of an open request as another client.
func (run *randomRun) sendOpenID() {
	request := run.open[run.random.IntN(len(run.open))]
	if status := run.newest().statusOfCredit(request.id); status != 409 && !request.mayHaveEnded(run.drainBegan, run.newest()) {
		run.t.Errorf("a request with the open id %s was answered %d, want 409", request.id, status)
	}
}

// exclude takes a server out of rotation, or puts it back, by a call to any process, and waits until all have applied it.
func (run *randomRun) exclude(server *emulator.ScriptedServer, out bool) {
	run.t.Helper()
	call := "exclude"
	if !out {
		call = "include"
		run.mu.Lock()
		run.excluded[server.Addr] = false // requests may reach it from the call on
		run.mu.Unlock()
	}
	live := run.liveProcesses()
	caller := live[run.random.IntN(len(live))]
	const applied = "another process's maintenance call applied"
	before := make(map[*testNode]int)
	for _, p := range live {
		before[p] = strings.Count(p.logged.String(), applied)
	}
	if got := caller.call(call + " orders/" + server.Addr); got != "done\n" {
		run.t.Fatalf("%s was answered %q, want done", call, got)
	}
	for _, p := range live {
		if p != caller {
			check.Eventually(run.t, "each process has applied the call", func() bool {
				return strings.Count(p.logged.String(), applied) > before[p]
			})
		}
	}
	run.mu.Lock()
	defer run.mu.Unlock()
	run.excluded[server.Addr] = out
}

// liveProcesses returns the newest process, and the old ones that cannot have ended, as they have open requests.
func (run *randomRun) liveProcesses() (live []*testNode) {
	for _, p := range run.processes {
		hasOpen := slices.ContainsFunc(run.open, func(r *heldRequest) bool {
			return r.process == p && !r.mayHaveEnded(run.drainBegan, run.newest())
		})
		if p == run.newest() || hasOpen {
			live = append(live, p)
		}
	}
	return live
}

// endDraining ends all open requests and waits until the old processes have ended.
func (run *randomRun) endDraining() {
	for len(run.open) > 0 {
		run.endRequest(run.random.IntN(2) == 0)
	}
	for _, p := range run.processes[:len(run.processes)-1] {
		p.awaitEnd()
	}
	run.processes = run.processes[len(run.processes)-1:]
}

// step does one random thing.
func (run *randomRun) step() {
	switch event := run.random.IntN(10); {
	case event < 3 && len(run.open) < 4:
		run.openRequest()
	case event < 5 && len(run.open) > 0:
		run.sendOpenID()
	case event < 6 && len(run.open) > 0:
		run.endRequest(run.random.IntN(2) == 0)
	case event < 8:
		run.newest().reloadFile(run.file())
	default: // at least two servers stay in rotation
		server := run.servers[run.random.IntN(2)]
		run.exclude(server, run.random.IntN(3) > 0 || !run.excluded[server.Addr])
	}
}

// TestPromisesHoldUnderRandomChanges guards against state that a reload, a second one or an upgrade drops: a node gets
// requests that wait at their servers, reloads, operators' calls and upgrades, at random. The id of an open request is
// never served to another client, and no request reaches a server once an exclusion is applied.
func TestPromisesHoldUnderRandomChanges(t *testing.T) {
	const upgrades, steps = 2, 12 // steps between two upgrades: the open requests end before a drain does
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			run := newRandomRun(t, seed)
			for range upgrades {
				for range steps {
					run.step()
				}
				run.startProcess()
				for range steps / 2 {
					run.step()
				}
				run.endDraining()
			}
			run.mu.Lock()
			defer run.mu.Unlock()
			if len(run.wrong) > 0 {
				t.Errorf("requests %v reached an excluded server, want none", run.wrong)
			}
		})
	}
}
