package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"jasperpin/internal/emulator"
)

const (
	dialTimeout = time.Second
	// answerTimeout after a request's deadline a client stops waiting.
	answerTimeout = 4 * time.Second
	// stallTimeout is within what a client that stops inside a request gets an error or a close.
	stallTimeout = 3 * time.Second
	// floodRequests are pipelined by one client, which disconnects after floodDuration.
	floodRequests = 40
	floodDuration = 60 * time.Millisecond
	// disconnectShare of the clients leave early while ClientsDisconnect lasts.
	disconnectShare = 0.33
	// idleConnections are opened to each node while ClientsIdle lasts: more than its descriptors.
	idleConnections = descriptorLimit + 64
	idleDialTimeout = 50 * time.Millisecond
	// idleAftermath is how long after ClientsIdle a node may still close new connections unread.
	idleAftermath = time.Second
)

// clients are all clients of a run.
type clients struct {
	record    *Record
	endpoints []*endpoint
	running   sync.WaitGroup // a goroutine for each request; Run waits for them

	mu            sync.Mutex
	random        *rand.Rand
	disconnecting bool // some clients leave before their answer
	lastID        int
}

// randomNumbers draws n numbers below one.
func (c *clients) randomNumbers(n int) []float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]float64, n)
	for i := range all {
		all[i] = c.random.Float64()
	}
	return all
}

// setDisconnecting begins or ends a time in which some clients leave before their answer.
func (c *clients) setDisconnecting(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disconnecting = on
}

// run sends requests at the plan's rate until stop is closed.
func (c *clients) run(stop <-chan struct{}) {
	for {
		gap := time.Duration(c.randomNumbers(1)[0] * 2 * float64(time.Second) / c.record.Plan.Rate)
		select {
		case <-stop:
			return
		case <-time.After(gap):
		}
		c.running.Go(c.sendAndRecord)
	}
}

// pick returns one of the nodes that can be sent to, or nil.
func (c *clients) pick(random float64) *endpoint {
	var usable []*endpoint
	for _, e := range c.endpoints {
		if e.usable() {
			usable = append(usable, e)
		}
	}
	if len(usable) == 0 {
		return nil
	}
	return usable[int(random*float64(len(usable)))]
}

func (c *clients) nextID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	return "r" + strconv.Itoa(c.lastID)
}

// newRequest makes a request of one of the plan's classes.
func (c *clients) newRequest(random float64) Request {
	q := Request{ID: c.nextID(), Class: int(random * float64(len(c.record.Plan.Classes)))}
	class := c.record.Plan.Classes[q.Class]
	q.Deadline = class.Deadline
	if class.Idempotency == IdempotentWithKey {
		q.Key = "k-" + q.ID
	}
	return q
}

// encode is a request in HTTP/1.1.
func (c *clients) encode(q *Request) string {
	class := c.record.Plan.Classes[q.Class]
	method, body := "POST", "x"
	if class.Idempotency == Idempotent {
		method, body = "GET", ""
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s /%s/k%d HTTP/1.1\r\nHost: h\r\n", method, class.Name, len(q.ID)%7)
	fmt.Fprintf(&b, "Req-Id: %s\r\nReq-Deadline-Ms: %d\r\n", q.ID, q.Deadline.Milliseconds())
	if q.Key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", q.Key)
	}
	if body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	return b.String()
}

// leaving says whether and when a client leaves before its answer: numbers below one.
type leaving struct{ chance, after float64 }

// sendAndRecord sends one request and records how it ended. A node may close a connection between two
// requests, so a request that was lost on a reused connection is sent again on a new one.
func (c *clients) sendAndRecord() {
	random := c.randomNumbers(5)
	q := c.newRequest(random[1])
	leave := leaving{chance: random[2], after: random[3]}
	if !c.send(c.pick(random[0]), &q, leave, false) {
		return
	}
	if q.End == ConnectionLost && q.Reused {
		q.Resent, q.FirstNode, q.FirstIncarnation = true, q.Node, q.Incarnation
		if !c.send(c.pick(random[4]), &q, leave, true) {
			return // no node accepts connections
		}
	}
	c.record.addRequest(q)
}

// send sends a request to a node and waits for its end. It returns false if the request cannot have been
// accepted.
func (c *clients) send(e *endpoint, q *Request, leave leaving, forceNew bool) bool {
	if e == nil {
		return false
	}
	nc, reused, err := e.connect(forceNew)
	if err != nil {
		return false
	}
	q.Node, q.Reused, q.Incarnation = e.node, reused, nc.incarnation
	q.Began = time.Now()
	if _, err := io.WriteString(nc, c.encode(q)); err != nil {
		nc.Close()
		q.End = ConnectionLost
		return reused // closed between two requests: it is sent again
	}
	q.Sent = time.Now()
	c.mu.Lock()
	leaves := c.disconnecting && leave.chance < disconnectShare
	c.mu.Unlock()
	if leaves {
		interrupt := func() { _ = nc.SetReadDeadline(time.Unix(1, 0)) }
		defer time.AfterFunc(time.Duration(leave.after*float64(q.Deadline)), interrupt).Stop()
	} else {
		_ = nc.SetReadDeadline(q.Sent.Add(q.Deadline + answerTimeout))
	}
	c.awaitAnswer(e, nc, q, leaves)
	return true
}

// awaitAnswer reads a request's answer, and notes how the request ended.
func (c *clients) awaitAnswer(e *endpoint, nc *conn, q *Request, leaves bool) {
	resp, err := http.ReadResponse(nc.reader, nil)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(resp.Body)
	}
	q.Ended = time.Now()
	if err != nil {
		q.End = endAfter(err, leaves)
		nc.Close()
		q.Ended = time.Now()
		return
	}
	q.End, q.Status = Answered, resp.StatusCode
	q.WrongBody = resp.StatusCode == http.StatusOK && !strings.HasPrefix(string(body), q.ID+" by ")
	if resp.Close {
		nc.Close()
		return
	}
	_ = nc.SetReadDeadline(time.Time{})
	e.release(nc)
}

// endAfter is how a request ended whose answer could not be read.
func endAfter(err error, leaves bool) End {
	var netErr net.Error
	switch timeout := errors.As(err, &netErr) && netErr.Timeout(); {
	case timeout && leaves:
		return ClientLeft
	case timeout:
		return TimedOut
	default:
		return ConnectionLost
	}
}

// stall sends a part of a request and keeps the connection. The node has to end it, with an error or not.
func (c *clients) stall(random []float64) {
	e := c.pick(random[0])
	if e == nil {
		return
	}
	nc, err := net.DialTimeout("tcp", e.addr, dialTimeout)
	if err != nil {
		return
	}
	defer nc.Close()
	q := c.newRequest(0.99) // the last class
	text := c.encode(&q)
	if _, err := io.WriteString(nc, text[:1+int(random[1]*float64(len(text)-1))]); err != nil {
		return
	}
	began := time.Now()
	_ = nc.SetReadDeadline(began.Add(2 * stallTimeout))
	_, _ = io.Copy(io.Discard, nc)
	took := time.Since(began)
	if took <= stallTimeout+2*harnessSlack {
		return
	}
	stalled := fmt.Sprintf("a client that stopped after %d of %d bytes at %v got neither error nor close for %v",
		int(random[1]*float64(len(text))), len(text), began.Sub(c.record.Began).Round(time.Millisecond), took.Round(time.Millisecond))
	c.record.update(func() { c.record.Stalls = append(c.record.Stalls, stalled) })
}

// flood pipelines many requests on one connection, and disconnects without reading an answer.
func (c *clients) flood(random []float64) {
	e := c.pick(random[0])
	if e == nil {
		return
	}
	nc, _, err := e.connect(false)
	if err != nil {
		return
	}
	var all []Request
	var text strings.Builder
	for i := range floodRequests {
		q := c.newRequest(float64(i%len(c.record.Plan.Classes)) / float64(len(c.record.Plan.Classes)))
		q.Node, q.Incarnation = e.node, nc.incarnation
		text.WriteString(c.encode(&q))
		all = append(all, q)
	}
	_, err = io.WriteString(nc, text.String())
	sent := time.Now()
	time.Sleep(floodDuration)
	nc.Close()
	if err != nil {
		return // nobody knows which of them were received
	}
	for _, q := range all {
		q.Sent, q.End, q.Ended = sent, ClientLeft, time.Now()
		c.record.addRequest(q)
	}
}

// occupyDescriptors opens more connections to all nodes than they may have descriptors, sends nothing on
// them, and closes them at the end of the span.
func (c *clients) occupyDescriptors(ctx context.Context, span time.Duration) {
	from := time.Now()
	c.record.update(func() {
		c.record.IdleFloods = append(c.record.IdleFloods, Interval{from, from.Add(span + idleAftermath)})
	})
	var open []net.Conn
	for range idleConnections {
		for _, e := range c.endpoints {
			if nc, err := net.DialTimeout("tcp", e.addr, idleDialTimeout); err == nil {
				open = append(open, nc)
			}
		}
		if ctx.Err() != nil || time.Since(from) > span {
			break
		}
	}
	emulator.Sleep(ctx, span-time.Since(from))
	for _, nc := range open {
		nc.Close()
	}
}
