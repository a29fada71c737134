package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["7"] = case7 }

// case7 kills one of three nodes that keep keys on the disk, and starts it again. Requests without a key, which are known
// by their contents (from = "fingerprint"), must still be known.
func case7(e *env) int {
	var mu sync.Mutex
	runs := make(map[string]int)
	s := newServer(func(w http.ResponseWriter, r *http.Request) {
		text, _ := io.ReadAll(r.Body)
		mu.Lock()
		runs[string(text)]++
		n := runs[string(text)]
		mu.Unlock()
		e.note("server: %q ran, run %d", text, n)
		if n == 1 && strings.HasPrefix(string(text), "slow") {
			time.Sleep(time.Second)
		}
		fmt.Fprintf(w, "done %d", n)
	})
	const nodes = 3
	var listen string // of the first node
	var file string
	var node *process
	for i := nodes; i > 0; i-- {
		listen = freePort()
		file = e.file(fmt.Sprintf("edge-%d.toml", i), fmt.Sprintf(`
[node]
name = "edge-%d"
listen = [%q]
[limits]
cores = 1.0
memory = "256MB"
descriptors = 512
[keys]
durable = "edge-%d.db"
[[service]]
name = "credits"
tenant_header = "Req-Owner"
  [[service.route]]
  hosts = ["credits.example.org"]
  as = "credit"
  pool = "credits"
[[pool]]
name = "credits"
servers = [%q]
  [[pool.class]]
  name = "credit"
  repeat = "never"
  aim = "2.5s"
  deadline = "6s"
    [pool.class.keys]
    from = "fingerprint"
    keep = "24h"
`, i, listen, i, s.addr))
		node = e.start(fmt.Sprintf("edge-%d.log", i), "serve -c "+file)
		e.awaitUp(listen)
	}
	send := func(text, key string) answer {
		header := map[string]string{"Host": "credits.example.org", "Req-Owner": "acme"}
		if key != "" {
			header["Idempotency-Key"] = key
		}
		// A refusal (503) says that the request has not run: the file of keys may still be locked for a moment.
		for end := time.Now().Add(5 * time.Second); ; time.Sleep(300 * time.Millisecond) {
			a := ask(listen, "POST", "/credit/7f3a", text, header, 10*time.Second)
			e.note("client: %q, key %q, got %v", text, key, a)
			if a.status != http.StatusServiceUnavailable || time.Now().After(end) {
				return a
			}
		}
	}
	all := func() {
		for i := range 3 {
			send(fmt.Sprintf("credit number %d, without a key", i), "")
		}
		send("credit with a key", "k1-5c0f6e1a2b3d4c59a8b7c6d5e4f30211")
	}
	all()
	all()
	// One more credit is at the server when the node is killed: what a node held is its client's to repeat.
	const slow = "slow credit, without a key"
	var open sync.WaitGroup
	open.Go(func() { send(slow, "") })
	time.Sleep(300 * time.Millisecond)
	if e.trouble {
		e.note("SIGKILL")
		node.signal(syscall.SIGKILL)
		if !node.ended(5 * time.Second) {
			fail("the node did not end")
		}
		time.Sleep(returnAfter)
		e.start("again.log", "serve -c "+file)
		e.awaitUp(listen)
	}
	open.Wait()
	all()
	send(slow, "")
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
		for line := range strings.Lines(e.log("again.log")) {
			e.note("node: %s", strings.TrimSpace(line))
		}
	}
	if twice > 0 {
		return exitBroken
	}
	return exitHeld
}
