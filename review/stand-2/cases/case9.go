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

func init() { cases["9"] = case9 }

// case9 reloads a node, with a route that leads to another pool, while a request with a key waits in the queue of
// its service. The request runs in the new pool, and so must be known there when it is repeated.
func case9(e *env) int {
	var mu sync.Mutex
	runs := make(map[string]int)
	handler := func(name string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			text, _ := io.ReadAll(r.Body)
			mu.Lock()
			runs[string(text)]++
			n := runs[string(text)]
			mu.Unlock()
			e.note("server of %s: %q ran, run %d", name, text, n)
			if strings.HasPrefix(string(text), "slow") {
				time.Sleep(1500 * time.Millisecond)
			}
			fmt.Fprintf(w, "%s run %d", text, n)
		}
	}
	old, next := newServer(handler("credits")), newServer(handler("credits-2"))
	listen := freePort()
	file := func(pool string, s *server) string {
		return fmt.Sprintf(`
[node]
name = "edge-1"
listen = [%q]
[limits]
cores = 1.0
memory = "256MB"
descriptors = 512
[[service]]
name = "credits"
tenant_header = "Req-Owner"
concurrent = 1
queue = 20
queue_wait = "3s"
  [[service.route]]
  hosts = ["credits.example.org"]
  as = "credit"
  pool = %q
[[pool]]
name = %q
servers = [%q]
  [[pool.class]]
  name = "credit"
  repeat = "never"
  aim = "2.5s"
  deadline = "6s"
    [pool.class.keys]
    keep = "24h"
`, listen, pool, pool, s.addr)
	}
	path := e.file("node.toml", file("credits", old))
	node := e.start("node.log", "serve -c "+path)
	e.awaitUp(listen)
	send := func(text, key string) answer {
		a := ask(listen, "POST", "/credit/7f3a", text, map[string]string{
			"Host": "credits.example.org", "Req-Owner": "acme", "Idempotency-Key": key,
		}, 10*time.Second)
		e.note("client: %q with key %s got %v", text, key, a)
		return a
	}
	send("first credit", "k0-5c0f6e1a2b3d4c59a8b7c6d5e4f30211")
	var all sync.WaitGroup
	all.Go(func() { send("slow credit", "k1-5c0f6e1a2b3d4c59a8b7c6d5e4f30212") })
	time.Sleep(200 * time.Millisecond)
	const text, key = "credit of ten towels", "k2-9b1f03aa5c7e2d41a8b7c6d5e4f30213"
	var first answer
	all.Go(func() { first = send(text, key) })
	time.Sleep(300 * time.Millisecond)
	if e.trouble {
		e.file("node.toml", file("credits-2", next))
		e.note("SIGHUP: the route leads to pool credits-2, and pool credits is no longer configured")
		node.signal(syscall.SIGHUP)
	}
	all.Wait()
	if first.status != http.StatusOK {
		fail("the request in the queue got %v", first)
	}
	time.Sleep(500 * time.Millisecond)
	send(text, key)
	mu.Lock()
	defer mu.Unlock()
	for line := range strings.Lines(e.log("node.log")) {
		if strings.Contains(line, "reload") || strings.Contains(line, "pool") {
			e.note("node: %s", strings.TrimSpace(line))
		}
	}
	e.note("%q ran %d times", text, runs[text])
	if runs[text] > 1 {
		return exitBroken
	}
	return exitHeld
}
