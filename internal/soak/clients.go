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
	// answerTimeout is how long after the deadline of a request its client waits for the answer.
	answerTimeout = 4 * time.Second
	// stallTimeout is the time within which a node must close a connection whose client stops within a request.
	stallTimeout = 3 * time.Second
	// floodRequests is the number of requests that one client pipelines. It disconnects floodDuration after it has
	// sent them.
	floodRequests = 40
	floodDuration = 60 * time.Millisecond
	// disconnectShare is the share of clients that disconnect early during ClientsDisconnect.
	disconnectShare = 0.33
	// surplusIdleConnections is by how much the connections that are opened to each node during ClientsIdle exceed its
	// descriptors.
	surplusIdleConnections = 64
	idleDialTimeout        = 50 * time.Millisecond
	// idleRecovery is how long after ClientsIdle a node may still close new connections unread.
	idleRecovery = time.Second
)

// clients are all clients of a run.
type clients struct {
	record    *Record
	endpoints []*endpoint
	running   sync.WaitGroup // a goroutine for each request; Run waits for them

	mu            sync.Mutex
	random        *rand.Rand
	disconnecting bool // some clients disconnect before they receive the answer
	lastID        int
}

// randomNumbers draws n random numbers in [0, 1).
func (c *clients) randomNumbers(n int) []float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]float64, n)
	for i := range all {
		all[i] = c.random.Float64()
	}
	return all
}

// setDisconnecting starts or stops the early disconnects of some clients.
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

// pick returns one of the usable nodes, or nil if there is none.
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

// newRequest creates a request of one of the plan's classes.
func (c *clients) newRequest(random float64) Request {
	request := Request{ID: c.nextID(), Class: int(random * float64(len(c.record.Plan.Classes)))}
	class := c.record.Plan.Classes[request.Class]
	request.Deadline = class.Deadline
	if class.Idempotency == IdempotentWithKey {
		request.Key = "k-" + request.ID
	}
	return request
}

// encode returns the HTTP/1.1 encoding of a request.
func (c *clients) encode(request *Request) string {
	class := c.record.Plan.Classes[request.Class]
	method, body := "POST", "x"
	if class.Idempotency == Idempotent {
		method, body = "GET", ""
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s /%s/k%d HTTP/1.1\r\nHost: h\r\n", method, class.Name, len(request.ID)%7)
	fmt.Fprintf(&b, "Req-Id: %s\r\nReq-Deadline-Ms: %d\r\n", request.ID, request.Deadline.Milliseconds())
	if request.Key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", request.Key)
	}
	if body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	return b.String()
}

// disconnection decides whether and when a client disconnects before it receives the answer. Both numbers are in
// [0, 1): chance is compared with disconnectShare, and after is a share of the deadline.
type disconnection struct{ chance, after float64 }

// sendAndRecord sends one request and records how it ended. A node may close a connection between two
// requests, so a request that was lost on a reused connection is sent again on a new one.
func (c *clients) sendAndRecord() {
	random := c.randomNumbers(5)
	request := c.newRequest(random[1])
	disconnect := disconnection{chance: random[2], after: random[3]}
	if !c.send(c.pick(random[0]), &request, disconnect, false) {
		return
	}
	if request.End == ConnectionLost && request.Reused {
		request.Resent, request.FirstNode, request.FirstIncarnation = true, request.Node, request.Incarnation
		if !c.send(c.pick(random[4]), &request, disconnect, true) {
			return // no node accepts connections
		}
	}
	c.record.addRequest(request)
}

// send sends a request to a node and waits for its end. It returns false if the request cannot have been
// accepted.
func (c *clients) send(target *endpoint, request *Request, disconnect disconnection, forceNew bool) bool {
	if target == nil {
		return false
	}
	conn, reused, err := target.connect(forceNew)
	if err != nil {
		return false
	}
	request.Node, request.Reused, request.Incarnation = target.node, reused, conn.incarnation
	request.Began = time.Now()
	if _, err := io.WriteString(conn, c.encode(request)); err != nil {
		conn.Close()
		request.End = ConnectionLost
		return reused // the node closed the connection between two requests: this one is sent again
	}
	request.Sent = time.Now()
	c.mu.Lock()
	disconnects := c.disconnecting && disconnect.chance < disconnectShare
	c.mu.Unlock()
	if disconnects {
		interrupt := func() { _ = conn.SetReadDeadline(time.Unix(1, 0)) }
		defer time.AfterFunc(time.Duration(disconnect.after*float64(request.Deadline)), interrupt).Stop()
	} else {
		_ = conn.SetReadDeadline(request.Sent.Add(request.Deadline + answerTimeout))
	}
	c.awaitAnswer(target, conn, request, disconnects)
	return true
}

// awaitAnswer reads the answer to a request, and records how the request ended.
func (c *clients) awaitAnswer(target *endpoint, conn *clientConn, request *Request, disconnects bool) {
	var body []byte
	var resp *http.Response
	_, err := conn.reader.Peek(1)
	if err == nil {
		request.FirstByte = emulator.LastReceived(conn.Conn)
		resp, err = http.ReadResponse(conn.reader, nil)
	}
	if err == nil {
		request.Status = resp.StatusCode
		if !disconnects {
			_ = conn.SetReadDeadline(request.FirstByte.Add(request.Deadline + answerTimeout))
		}
		body, err = io.ReadAll(resp.Body)
	}
	request.Ended = emulator.LastReceived(conn.Conn)
	if err != nil {
		request.End = failureEnd(err, disconnects)
		if request.End == ConnectionLost && request.Status == http.StatusOK {
			request.End = CutOff
		}
		conn.Close()
		request.Ended = time.Now()
		return
	}
	request.End, request.Status = Answered, resp.StatusCode
	form := c.record.Plan.formOf(request.ID)
	request.WrongBody = resp.StatusCode == http.StatusOK && !isAnswer(string(body), request.ID, form, c.record.Plan.Servers)
	if resp.Close {
		conn.Close()
		return
	}
	_ = conn.SetReadDeadline(time.Time{})
	target.release(conn)
}

// failureEnd returns how a request ended whose answer could not be read.
func failureEnd(err error, disconnects bool) End {
	var netErr net.Error
	switch timeout := errors.As(err, &netErr) && netErr.Timeout(); {
	case timeout && disconnects:
		return ClientDisconnected
	case timeout:
		return TimedOut
	default:
		return ConnectionLost
	}
}

// stall sends a part of a request and leaves the connection open. The node has to close it, with or without an
// error response.
func (c *clients) stall(random []float64) {
	target := c.pick(random[0])
	if target == nil {
		return
	}
	conn, err := net.DialTimeout("tcp", target.addr, dialTimeout)
	if err != nil {
		return
	}
	defer conn.Close()
	request := c.newRequest(0.99) // the last class
	text := c.encode(&request)
	if _, err := io.WriteString(conn, text[:1+int(random[1]*float64(len(text)-1))]); err != nil {
		return
	}
	began := time.Now()
	_ = conn.SetReadDeadline(began.Add(2 * stallTimeout))
	_, _ = io.Copy(io.Discard, conn)
	took := time.Since(began)
	if took <= stallTimeout+2*harnessSlack {
		return
	}
	stalled := fmt.Sprintf("the connection of a client that stopped after %d of %d bytes at %v stayed open for %v",
		int(random[1]*float64(len(text))), len(text), began.Sub(c.record.Began).Round(time.Millisecond), took.Round(time.Millisecond))
	c.record.update(func() { c.record.Stalls = append(c.record.Stalls, stalled) })
}

// flood pipelines many requests on one connection, and disconnects without reading an answer.
func (c *clients) flood(random []float64) {
	target := c.pick(random[0])
	if target == nil {
		return
	}
	conn, _, err := target.connect(false)
	if err != nil {
		return
	}
	var all []Request
	var text strings.Builder
	for i := range floodRequests {
		request := c.newRequest(float64(i%len(c.record.Plan.Classes)) / float64(len(c.record.Plan.Classes)))
		request.Node, request.Incarnation = target.node, conn.incarnation
		text.WriteString(c.encode(&request))
		all = append(all, request)
	}
	_, err = io.WriteString(conn, text.String())
	sent := time.Now()
	time.Sleep(floodDuration)
	conn.Close()
	if err != nil {
		return // it is unknown which of the pipelined requests were received
	}
	for _, request := range all {
		request.Sent, request.End, request.Ended = sent, ClientDisconnected, time.Now()
		c.record.addRequest(request)
	}
}

// openIdleConnections opens more connections to each node than it may have descriptors, sends nothing on them, and
// closes them after duration.
func (c *clients) openIdleConnections(ctx context.Context, duration time.Duration) {
	from := time.Now()
	c.record.update(func() {
		c.record.IdleFloods = append(c.record.IdleFloods, Interval{from, from.Add(duration + idleRecovery)})
	})
	var open []net.Conn
	for range c.record.Plan.Descriptors + surplusIdleConnections {
		for _, e := range c.endpoints {
			if conn, err := net.DialTimeout("tcp", e.addr, idleDialTimeout); err == nil {
				open = append(open, conn)
			}
		}
		if ctx.Err() != nil || time.Since(from) > duration {
			break
		}
	}
	emulator.Sleep(ctx, duration-time.Since(from))
	for _, conn := range open {
		conn.Close()
	}
}
