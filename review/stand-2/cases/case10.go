package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
)

func init() { cases["10"] = case10 }

// case10 sends requests whose path begins with an empty segment, as a client does that joins a base address that
// ends with a slash and a path that begins with one. The path has to reach the server unchanged.
func case10(e *env) int {
	var mu sync.Mutex
	// The server keeps one account for each path. It says nothing of the host, as it serves one site.
	accounts := map[string]int{"/acme/7f3a": 10, "/7f3a": 10, "//acme/7f3a": 10}
	seen := make(map[string]int)
	s := newServer(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		mu.Lock()
		defer mu.Unlock()
		seen[r.URL.Path]++
		e.note("server: %s, target %q, path %q, host %q", r.Method, r.RequestURI, r.URL.Path, r.Host)
		if r.Method == http.MethodPost {
			accounts[r.URL.Path]++
		}
		fmt.Fprintf(w, "account %s has %d", r.URL.Path, accounts[r.URL.Path])
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
[[service]]
name = "accounts"
  [[service.route]]
  hosts = ["accounts.example.org"]
  as = "read"
  method = "GET"
  pool = "accounts"
  [[service.route]]
  hosts = ["accounts.example.org"]
  as = "credit"
  pool = "accounts"
[[pool]]
name = "accounts"
servers = [%q]
  [[pool.class]]
  name = "read"
  repeat = "safe"
  aim = "750ms"
  deadline = "2.5s"
  [[pool.class]]
  name = "credit"
  repeat = "never"
  aim = "2.5s"
  deadline = "6s"
`, listen, s.addr))
	e.start("node.log", "serve -c "+file)
	e.awaitUp(listen)
	path := "/acme/7f3a"
	if e.trouble {
		path = "//acme/7f3a"
	}
	for _, method := range []string{"POST", "GET"} {
		a := ask2(listen, method, path)
		e.note("client: %s %s got %v", method, path, a)
		if a.err != nil {
			fail("no answer: %v", a.err)
		}
		if a.status == http.StatusOK && !strings.HasPrefix(a.body, "account "+path+" has ") {
			e.note("the client got the answer for another path")
		}
	}
	mu.Lock()
	defer mu.Unlock()
	broken := 0
	for got, n := range seen {
		if got != path {
			broken += n
			e.note("%d requests for path %q reached the server, and nobody sent one; its account has %d now", n, got, accounts[got])
		}
	}
	if broken > 0 {
		return exitBroken
	}
	return exitHeld
}
