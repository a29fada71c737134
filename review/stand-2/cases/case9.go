package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["9"] = case9 }

const (
	nodes9   = 4
	servers9 = 3
	slots9   = 2 // of the service
	piece9   = 32 << 10
	pieces9  = 64 // of a long answer: 2 MiB
	key9     = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
)

// server9 gives long answers and short ones. It writes a long one in small pieces, 128 KiB a second.
func server9(e *env) *server {
	return newServer(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		e.note("server: %s arrived", r.URL.Path)
		if !strings.Contains(r.URL.Path, "/long") {
			fmt.Fprint(w, "short")
			return
		}
		w.Header().Set("Content-Length", fmt.Sprint(piece9*pieces9))
		for range pieces9 {
			if _, err := w.Write(make([]byte, piece9)); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
			time.Sleep(250 * time.Millisecond)
		}
	})
}

// long asks for a long answer and reads it.
func long(e *env, listen, request string) {
	conn, err := net.Dial("tcp", listen)
	if err != nil {
		e.note("client: %q: %v", request, err)
		return
	}
	defer conn.Close()
	fmt.Fprintf(conn, "%s HTTP/1.1\r\nHost: app.example.org\r\nIdempotency-Key: %s\r\nContent-Length: 0\r\n\r\n", request, key9)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		e.note("client: %q got no answer: %v", request, err)
		return
	}
	n, err := io.Copy(io.Discard, resp.Body)
	e.note("client: %q got status %d and %d bytes, error %v", request, resp.StatusCode, n, err)
}

// case9 ends one of four nodes by SIGTERM while long answers are on their way to two clients,
// and three further requests wait in the queue of the service. Each of these has been taken, so that each is owed
// an answer.
func case9(e *env) int {
	var addresses []string
	for range servers9 {
		addresses = append(addresses, strconv.Quote(server9(e).addr))
	}
	servers := strings.Join(addresses, ", ")
	var listen string // of the first node
	var node *process
	for i := nodes9; i > 0; i-- {
		listen = freePort()
		file := e.file(fmt.Sprintf("edge-%d.toml", i), fmt.Sprintf(`
[node]
name = "edge-%d"
listen = [%q]
[limits]
cores = 1.0
memory = "256MB"
descriptors = 512
[[service]]
name = "manifests"
concurrent = %d
queue = 20
queue_wait = "8s"
  [[service.route]]
  hosts = ["app.example.org"]
  path = "/manifest/"
  as = "manifest"
  pool = "manifests"
[[service]]
name = "credits"
  [[service.route]]
  hosts = ["app.example.org"]
  path = "/credit/"
  as = "credit"
  pool = "credits"
[[pool]]
name = "credits"
servers = [%s]
  [[pool.class]]
  name = "credit"
  repeat = "never"
  aim = "2.5s"
  deadline = "6s"
    [pool.class.keys]
    keep = "24h"
[[pool]]
name = "manifests"
servers = [%s]
  [[pool.class]]
  name = "manifest"
  repeat = "safe"
  aim = "5s"
  deadline = "20s"
`, i, listen, slots9, servers, servers))
		node = e.start(fmt.Sprintf("edge-%d.log", i), "serve -c "+file)
		e.awaitUp(listen)
	}
	for i := range slots9 {
		go long(e, listen, fmt.Sprintf("GET /manifest/long%d", i))
	}
	go long(e, listen, "POST /credit/long")
	time.Sleep(700 * time.Millisecond)
	requests := []string{"GET /manifest/short0", "GET /manifest/short1", "GET /manifest/short2", "POST /credit/long"}
	answers := make([]answer, len(requests))
	var all sync.WaitGroup
	for i, request := range requests {
		all.Go(func() {
			sent := time.Now()
			method, path, _ := strings.Cut(request, " ")
			answers[i] = ask(listen, method, path, "", map[string]string{"Host": "app.example.org", "Idempotency-Key": key9}, 25*time.Second)
			answers[i].body = ""
			e.note("client: waiting %q ended %.2f s after it was sent: %v", request, time.Since(sent).Seconds(), answers[i])
		})
	}
	time.Sleep(300 * time.Millisecond)
	if e.trouble {
		e.note("SIGTERM to edge-1")
		node.signal(syscall.SIGTERM)
	}
	all.Wait()
	lost := 0
	for i, a := range answers {
		if a.err != nil {
			lost++
			e.note("%q was taken and got no answer", requests[i])
		}
	}
	if e.trouble {
		e.note("the node has ended: %v", node.ended(5*time.Second))
	}
	for line := range strings.Lines(e.log("edge-1.log")) {
		if strings.Contains(line, "drain") {
			e.note("node: %s", strings.TrimSpace(line))
		}
	}
	if lost > 0 {
		return exitBroken
	}
	return exitHeld
}
