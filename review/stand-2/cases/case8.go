package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["8"] = case8 }

// site8 is a small installation with one voter, which is also the relay.
type site8 struct {
	*env
	nodeFiles, listen []string // of each node
	opsFile           string
}

func newSite8(e *env, nodes int) *site8 {
	group, authorityOfNodes := e.newAuthority("group"), e.newAuthority("nodes")
	voter, relay, status := freePort(), freePort(), freePort()
	relayTable := func(withStatus bool) string {
		text := fmt.Sprintf("[[config.relay]]\nname = \"north-1\"\naddress = %q\n", relay)
		if withStatus {
			text += fmt.Sprintf("status = %q\n", status)
		}
		return text
	}
	north := e.file("north-1.toml", fmt.Sprintf("[node]\nname = \"north-1\"\n[cluster]\nvoters = [%q]\n%slisten = %q\nfolder = \"group\"\n[config]\n%slisten = %q\nstatus = %q\nfolder = \"copy\"\n",
		voter, group.lines("jasperpin-voter"), voter, authorityOfNodes.lines("jasperpin-relay"), relay, status))
	ops := e.file("ops.toml", fmt.Sprintf("[node]\nname = \"ops\"\n[cluster]\nvoters = [%q]\n%s[config]\n%s%s", voter, group.lines("operator"), authorityOfNodes.lines("operator"), relayTable(true)))
	site := &site8{env: e, opsFile: ops}
	for i := range nodes {
		name, listen := fmt.Sprintf("edge-%d", i+1), freePort()
		site.nodeFiles = append(site.nodeFiles, e.file(name+".toml", fmt.Sprintf("[node]\nname = %q\nlisten = [%q]\n[limits]\ncores = 1.0\nmemory = \"256MB\"\ndescriptors = 512\n[keys]\ndurable = \"%s.db\"\n[config]\n%s%s",
			name, listen, name, authorityOfNodes.lines(name), relayTable(false))))
		site.listen = append(site.listen, listen)
	}
	// `cluster begin` rejects a relay's file: it wants a node's, with a service and a pool.
	begin := e.file("begin.toml", fmt.Sprintf("[node]\nname = \"north-1\"\nlisten = [%q]\n[cluster]\nvoters = [%q]\n%slisten = %q\nfolder = \"group\"\n[[service]]\nname = \"s\"\n  [[service.route]]\n  pool = \"p\"\n[[pool]]\nname = \"p\"\nservers = [\"127.0.0.1:9\"]\n  [[pool.class]]\n  name = \"c\"\n  repeat = \"safe\"\n  aim = \"1s\"\n",
		freePort(), voter, group.lines("jasperpin-voter"), voter))
	if out, code := e.command(fmt.Sprintf("cluster begin -c %s --voter north-1=%s", begin, voter)); code != 0 {
		fail("cluster begin: %s", out)
	}
	e.start("north-1.log", "config relay -c "+north)
	return site
}

// propose commits a file as the configuration of all nodes.
func (s *site8) propose(text, note string) {
	path := s.file("services.toml", text)
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(200 * time.Millisecond) {
		out, code := s.command(fmt.Sprintf("config propose %s --note %q --author ann -c %s --wait 5s", path, note, s.opsFile))
		if code == 0 {
			s.note("operator: %s", strings.TrimSpace(out))
			return
		}
		if time.Now().After(end) {
			fail("config propose: %s", out)
		}
	}
}

// case8 kills one of three nodes whose configuration comes from relays, and starts it again. The keys that its file has must
// still be known.
func case8(e *env) int {
	const slow = "k4-5c0f6e1a2b3d4c59a8b7c6d5e4f30214" // the key of a request that is at the server for a second
	var mu sync.Mutex
	runs := make(map[string]int)
	s := newServer(func(w http.ResponseWriter, r *http.Request) {
		text, _ := io.ReadAll(r.Body)
		mu.Lock()
		runs[string(text)]++
		n := runs[string(text)]
		mu.Unlock()
		e.note("server: %s %s %q ran, run %d", r.Method, r.URL.Path, text, n)
		if n == 1 && strings.HasSuffix(string(text), slow) {
			time.Sleep(time.Second)
		}
		fmt.Fprintf(w, "done %d", n)
	})
	const nodes = 3
	site := newSite8(e, nodes)
	pool := func(class string) string {
		return fmt.Sprintf("[[pool]]\nname = %q\nservers = [%q]\n  [[pool.class]]\n  name = %q\n  repeat = \"never\"\n  aim = \"2.5s\"\n  deadline = \"6s\"\n    [pool.class.keys]\n    keep = \"24h\"\n", class+"s", s.addr, class)
	}
	service := func(class string) string {
		return fmt.Sprintf("[[service]]\nname = %q\ntenant_header = \"Req-Owner\"\n  [[service.route]]\n  hosts = [%q]\n  pool = %q\n", class+"s", class+"s.example.org", class+"s")
	}
	site.propose(service("credit")+pool("credit"), "credits")
	site.propose(service("credit")+service("refund")+pool("credit")+pool("refund"), "refunds, too")

	var all []*process
	for i := range nodes {
		all = append(all, e.start(fmt.Sprintf("edge-%d.log", i+1), "serve -c "+site.nodeFiles[i]))
		e.awaitUp(site.listen[i])
	}
	node, listen := all[0], site.listen[0]
	send := func(class, key string) answer {
		var a answer
		// The node is ready with its first version. Until it has the newest, a refund has no route (404).
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			a = ask(listen, "POST", "/"+class+"/7f3a", class+" of "+key, map[string]string{
				"Host": class + "s.example.org", "Req-Owner": "acme", "Idempotency-Key": key,
			}, 8*time.Second)
			// A refusal (503) says that the request has not run: the file of keys may still be locked for a moment.
			if a.status != http.StatusNotFound && a.status != http.StatusServiceUnavailable {
				break
			}
		}
		e.note("client: %s with key %s got %v", class, key, a)
		return a
	}
	keys := []string{"k1-5c0f6e1a2b3d4c59a8b7c6d5e4f30211", "k2-5c0f6e1a2b3d4c59a8b7c6d5e4f30212", "k3-5c0f6e1a2b3d4c59a8b7c6d5e4f30213"}
	for _, class := range []string{"credit", "refund"} {
		for _, key := range keys {
			if a := send(class, key); a.status != http.StatusOK {
				fail("the first request got %v", a)
			}
		}
	}
	// One more refund is at the server when the node is killed: what a node held is its client's to repeat.
	var open sync.WaitGroup
	open.Go(func() { send("refund", slow) })
	time.Sleep(300 * time.Millisecond)
	if e.trouble {
		e.note("SIGKILL")
		node.signal(syscall.SIGKILL)
		if !node.ended(5 * time.Second) {
			fail("the node did not end")
		}
		time.Sleep(returnAfter)
		e.start("edge-1-again.log", "serve -c "+site.nodeFiles[0])
		e.awaitUp(listen)
	}
	open.Wait()
	time.Sleep(2 * time.Second) // the node has every version and has opened its file of keys
	for _, class := range []string{"credit", "refund"} {
		for _, key := range keys {
			send(class, key)
		}
	}
	send("refund", slow)
	twice := 0
	mu.Lock()
	defer mu.Unlock()
	for request, n := range runs {
		if n > 1 {
			twice++
			e.note("%q ran %d times", request, n)
		}
	}
	if e.trouble {
		for line := range strings.Lines(e.log("edge-1-again.log")) {
			e.note("node: %s", strings.TrimSpace(strings.ReplaceAll(line, e.temp+string(os.PathSeparator), "")))
		}
	}
	if twice > 0 {
		return exitBroken
	}
	return exitHeld
}
