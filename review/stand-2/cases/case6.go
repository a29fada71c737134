package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["6"] = case6 }

// case6 fills the descriptors of a node with idle clients, each of which has sent one request and got its answer.
// The first 20 of 360 have asked with OPTIONS *. Then good clients come. Each of their requests has to be answered, or its connection to be closed unread.
func case6(e *env) int {
	var mu sync.Mutex
	served := 0
	s := newServer(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		mu.Lock()
		served++
		mu.Unlock()
		fmt.Fprint(w, "stock")
	})
	listen := freePort()
	const sockets, idle, special, deadline = 512, 360, 20, 2500 * time.Millisecond
	e.startPlatform("n0", listen, sockets, s)
	e.awaitUp(listen)
	good := func(id string) bool {
		sent := time.Now()
		a := ask(listen, "GET", "/stock-lookup/7f3a9c21e0b4d655", "", map[string]string{
			"Req-Id": id, "Req-Owner": "derwent-stays", "Req-Deadline-Ms": fmt.Sprint(deadline.Milliseconds()),
		}, deadline+800*time.Millisecond)
		e.note("good client: request %s ended after %.2f s: %v", id, time.Since(sent).Seconds(), a)
		timeout, isNet := a.err.(net.Error)
		return !(isNet && timeout.Timeout()) // a connection that is closed unread is allowed
	}
	lost := 0
	for i := range 3 {
		if !good(fmt.Sprintf("9b1f03aa5c7e2d%02x", i)) {
			fail("a request before the crowd got no answer")
		}
	}
	answered := make(map[string]int)
	for i := range idle {
		line := "GET /up HTTP/1.1"
		if e.trouble && i < special {
			line = "OPTIONS * HTTP/1.1"
		}
		conn, err := net.DialTimeout("tcp", listen, 2*time.Second)
		if err != nil {
			continue
		}
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(100 * time.Millisecond))
		fmt.Fprintf(conn, "%s\r\nHost: service.internal\r\n\r\n", line)
		if n, _ := conn.Read(make([]byte, 4096)); n > 0 {
			answered[line]++
		}
	}
	e.note("%d idle clients rest; got an answer to their first request: %v", idle, answered)
	time.Sleep(1500 * time.Millisecond)
	const requests = 20
	var all sync.WaitGroup
	for i := range requests {
		all.Go(func() {
			if !good(fmt.Sprintf("5c0f6e1a2b3d4c%02x", i)) {
				mu.Lock()
				lost++
				mu.Unlock()
			}
		})
		time.Sleep(200 * time.Millisecond)
	}
	all.Wait()
	e.note("%d of %d requests of good clients were neither answered nor closed %.1f s after they were sent", lost, requests, (deadline + 800*time.Millisecond).Seconds())
	e.note("%d requests reached the server", served)
	if lost > 0 {
		return exitBroken
	}
	return exitHeld
}
