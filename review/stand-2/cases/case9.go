package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

func init() { cases["9"] = case9 }

const remember9 = 12 * time.Second

// effects9 are the effects of one sound server of a keyed class: it drops a repeat of a key for as long as the
// file says (remember), also over a restart, and runs it afterwards as a new request.
type effects9 struct {
	mu   sync.Mutex
	last map[string]time.Time // when the key last ran
	runs map[string]int
}

// run runs a request unless it is a repeat, and reports whether it ran.
func (f *effects9) run(key string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at, known := f.last[key]; known && time.Since(at) < remember9 {
		return false
	}
	f.last[key] = time.Now()
	f.runs[key]++
	return true
}

func (f *effects9) count(key string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[key]
}

// case9 lets a server crash once under a keyed request that it has run. The client repeats the request later
// than the servers remember it, and within the time for which the node keeps the key.
func case9(e *env) int {
	effects := &effects9{last: make(map[string]time.Time), runs: make(map[string]int)}
	var mu sync.Mutex
	crashFor := ""
	var s *server
	s = newServer(func(w http.ResponseWriter, r *http.Request) {
		text, _ := io.ReadAll(r.Body)
		key := r.Header.Get("Idempotency-Key")
		e.note("server: key %s arrived, run: %v", key, effects.run(key))
		mu.Lock()
		crash := crashFor == key
		if crash {
			crashFor = ""
		}
		mu.Unlock()
		if crash {
			s.crash()
			e.note("server: crashed after the run, before the answer")
			time.AfterFunc(2*time.Second, func() {
				s.up()
				e.note("server: up again")
			})
			return
		}
		fmt.Fprintf(w, "order %s", text)
	})
	listen := freePort()
	file := e.file("node.toml", fmt.Sprintf(`
[node]
name = "edge-1"
listen = [%q]
[limits]
cores = 1.0
memory = "256MB"
descriptors = 512
[keys]
durable = "keys.db"
[[service]]
name = "orders"
tenant_header = "Req-Owner"
  [[service.route]]
  hosts = ["orders.example.org"]
  pool = "orders"
[[pool]]
name = "orders"
servers = [%q]
attempts = 3
  [[pool.class]]
  name = "order"
  repeat = "keyed"
  remember = "12s"
  group = "all"
  aim = "2s"
  deadline = "6s"
    [pool.class.keys]
    keep = "24h"
`, listen, s.addr))
	e.start("node.log", "serve -c "+file)
	e.awaitUp(listen)
	send := func(key string) answer {
		a := ask(listen, "POST", "/order/7f3a", "two towels "+key, map[string]string{
			"Host": "orders.example.org", "Req-Owner": "acme", "Idempotency-Key": key,
		}, 10*time.Second)
		e.note("client: key %s got %v", key, a)
		return a
	}
	for i := range 3 {
		send(fmt.Sprintf("calm-%d-5c0f6e1a2b3d4c59", i))
	}
	const key = "k-9b1f03aa5c7e2d41a8b7c6d5e4f30211"
	if e.trouble {
		mu.Lock()
		crashFor = key
		mu.Unlock()
	}
	first := send(key)
	if effects.count(key) != 1 {
		fail("the first request ran %d times", effects.count(key))
	}
	e.note("client: waits for longer than the servers remember (%v)", remember9)
	time.Sleep(remember9 + 2*time.Second)
	repeat := send(key)
	runs := effects.count(key)
	e.note("first answer %d, repeat's answer %d, effects of the key: %d", first.status, repeat.status, runs)
	if runs > 1 {
		return exitBroken
	}
	return exitHeld
}
