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
)

// server9 answers with long manifests and short ones. It writes a long one in small pieces, 128 KiB a second.
func server9(e *env, ran *sync.Map) *server {
	return newServer(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		ran.Store(r.URL.Path, true)
		e.note("server: %s arrived", r.URL.Path)
		if !strings.HasPrefix(r.URL.Path, "/manifest/long") {
			fmt.Fprint(w, "manifest")
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
func long(e *env, listen string, i int) {
	conn, err := net.Dial("tcp", listen)
	if err != nil {
		e.note("client: long%d: %v", i, err)
		return
	}
	defer conn.Close()
	fmt.Fprintf(conn, "GET /manifest/long%d HTTP/1.1\r\nHost: manifests.example.org\r\n\r\n", i)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		e.note("client: long%d got no answer: %v", i, err)
		return
	}
	n, err := io.Copy(io.Discard, resp.Body)
	e.note("client: long%d got status %d and %d bytes, error %v", i, resp.StatusCode, n, err)
}

// case9 ends one of four nodes by SIGTERM while long answers are on their way to two clients,
// and three further requests wait in the queue of the service. Each of these has been taken, so that each is owed
// an answer.
func case9(e *env) int {
	var ran sync.Map
	var addresses []string
	for range servers9 {
		addresses = append(addresses, strconv.Quote(server9(e, &ran).addr))
	}
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
  hosts = ["manifests.example.org"]
  as = "manifest"
  pool = "manifests"
[[pool]]
name = "manifests"
servers = [%s]
  [[pool.class]]
  name = "manifest"
  repeat = "safe"
  aim = "5s"
  deadline = "20s"
`, i, listen, slots9, strings.Join(addresses, ", ")))
		node = e.start(fmt.Sprintf("edge-%d.log", i), "serve -c "+file)
		e.awaitUp(listen)
	}
	for i := range slots9 {
		go long(e, listen, i)
	}
	time.Sleep(700 * time.Millisecond)
	const waiting = 3
	header := map[string]string{"Host": "manifests.example.org"}
	answers := make([]answer, waiting)
	var all sync.WaitGroup
	for i := range waiting {
		all.Go(func() {
			sent := time.Now()
			answers[i] = ask(listen, "GET", fmt.Sprintf("/manifest/short%d", i), "", header, 25*time.Second)
			e.note("client: request short%d ended %.2f s after it was sent: %v", i, time.Since(sent).Seconds(), answers[i])
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
			_, reached := ran.Load(fmt.Sprintf("/manifest/short%d", i))
			e.note("short%d was taken and got no answer; it reached a server: %v", i, reached)
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
