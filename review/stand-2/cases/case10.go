package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["10"] = case10 }

const (
	nodes10    = 4
	sockets10  = 256 // the descriptors of a node
	clients10  = 40  // good clients of a node, which keep their connections
	crowd10    = 4   // how many idle clients come to a node at a time
	length10   = 100 * time.Second
	evidence10 = 3 // lost requests after which the case ends
)

// run10 is one run of case 10.
type run10 struct {
	*env
	end  time.Time
	seen sync.Map // ids that have reached the servers

	came, answered, closed, lost atomic.Int64
}

// node10 is one of the nodes of case 10, with its clients.
type node10 struct {
	*run10
	listen string

	mu   sync.Mutex
	rest time.Duration // how long idle clients rested lately before the node closed their connection
}

// over reports whether the run ends.
func (r *run10) over() bool { return time.Now().After(r.end) || r.lost.Load() >= evidence10 }

func (r *run10) request() (id, text string) {
	id = fmt.Sprintf("%016x", rand.Uint64())
	return id, "GET /stock-lookup/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: service.internal\r\nReq-Id: " + id +
		"\r\nReq-Owner: derwent-stays\r\nReq-Deadline-Ms: 2500\r\n\r\n"
}

// exchange sends one request and reads its whole answer.
func exchange(c net.Conn, reader *bufio.Reader, text string) error {
	_ = c.SetDeadline(time.Now().Add(4 * time.Second))
	if _, err := io.WriteString(c, text); err != nil {
		return err
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// crowd opens connections; on each an idle client sends one request, gets its answer and rests until the node
// closes the connection.
func (r *node10) crowd() {
	for !r.over() {
		c, err := net.DialTimeout("tcp", r.listen, time.Second)
		if err != nil {
			continue
		}
		reader := bufio.NewReader(c)
		_, text := r.request()
		if exchange(c, reader, text) != nil {
			c.Close()
			continue
		}
		r.came.Add(1)
		at := time.Now()
		go func() {
			_ = c.SetDeadline(time.Now().Add(10 * time.Second))
			_, _ = reader.ReadByte()
			r.mu.Lock()
			r.rest += (time.Since(at) - r.rest) / 50
			r.mu.Unlock()
			c.Close()
		}()
	}
}

// pause returns how long a good client waits before its next request: about as long as a connection may rest.
func (r *node10) pause() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(float64(r.rest) * (0.7 + 0.6*rand.Float64()))
}

// client is a good client: it sends one request after the other, and opens a new connection when the node has
// closed its own.
func (r *node10) client() {
	for !r.over() {
		c, err := net.DialTimeout("tcp", r.listen, time.Second)
		if err != nil {
			continue
		}
		reader := bufio.NewReader(c)
		for n := 1; !r.over(); n++ {
			id, text := r.request()
			err := exchange(c, reader, text)
			if err != nil {
				r.closed.Add(1)
				r.judge(c, err, id, n)
				break
			}
			r.answered.Add(1)
			time.Sleep(r.pause())
		}
		c.Close()
	}
}

// judge decides about a request whose connection the node closed without an answer. If the node had not read the
// request, the client's connection is reset, and the client may send the request once more.
func (r *run10) judge(c net.Conn, err error, id string, n int) {
	if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		return
	}
	time.Sleep(50 * time.Millisecond) // a reset would have come by now
	if state := tcpState(c); state == tcpCloseWait {
		_, forwarded := r.seen.Load(id)
		r.lost.Add(1)
		r.note("request %s, number %d on its connection: read by the node, and its connection closed without an answer (%v, no reset); it reached the server: %v", id, n, err, forwarded)
	}
}

// case10 keeps nodes at their limit of connections: idle clients come all the time, each sends one request and
// rests. Good clients keep their connections, and send a request now and then. The nodes have nothing to do with
// each other; there are several because the fault is rare.
func case10(e *env) int {
	r := &run10{env: e}
	s := newServer(func(w http.ResponseWriter, q *http.Request) {
		r.seen.Store(q.Header.Get("Req-Id"), true)
		fmt.Fprint(w, "stock")
	})
	var nodes []*node10
	for i := range nodes10 {
		n := &node10{run10: r, listen: freePort(), rest: 30 * time.Millisecond}
		e.startPlatform(fmt.Sprintf("n%d", i), n.listen, sockets10, s)
		e.awaitUp(n.listen)
		nodes = append(nodes, n)
	}
	r.end = time.Now().Add(length10)
	var all sync.WaitGroup
	for _, n := range nodes {
		if e.trouble {
			for range crowd10 {
				all.Go(n.crowd)
			}
		}
		for range clients10 {
			all.Go(n.client)
		}
	}
	all.Wait()
	e.note("%d idle clients came; of the requests of good clients %d were answered, %d were met by a close, %d of these had been read",
		r.came.Load(), r.answered.Load(), r.closed.Load(), r.lost.Load())
	for _, n := range nodes {
		e.note("idle clients of the node at %s rested %v lately", n.listen, n.rest.Round(time.Millisecond))
	}
	if r.lost.Load() > 0 {
		return exitBroken
	}
	return exitHeld
}
