package soak

import (
	"bufio"
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
)

const (
	// silentAfter its time is up a client stops waiting altogether.
	silentAfter = 4 * time.Second
	// stallEnds is by when a client that stops in the middle of a request has its error, or close.
	stallEnds = 3 * time.Second
	// floodOf is how many requests a client of a flood sends at once.
	floodOf = 40
	// floodStays is how long it stays.
	floodStays = 60 * time.Millisecond
	// crowdDial is how long one of a crowd waits for its connection, and crowdLeaves how long after a
	// crowd new connections may still be shut.
	crowdDial   = 50 * time.Millisecond
	crowdLeaves = time.Second
)

// frontDoor is a node as clients see it.
type frontDoor struct {
	node int
	addr string

	mu     sync.Mutex
	life   int
	open   bool // the clients' front sends to it
	drains bool // its process was told to end: clients use the connections that they have, and open none
	idle   []*conn
	stalls []string // of clients that were not told in time
}

// conn is a client's connection.
type conn struct {
	net.Conn
	br   *bufio.Reader
	life int
}

// clients are all clients of a run.
type clients struct {
	record *Record
	doors  []*frontDoor
	all    sync.WaitGroup

	mu      sync.Mutex
	random  *rand.Rand
	leaving bool
	last    int
}

// roll draws numbers below one.
func (c *clients) roll(n int) []float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]float64, n)
	for i := range all {
		all[i] = c.random.Float64()
	}
	return all
}

// setLeaving has a third of the clients leave early, from now on or no more.
func (c *clients) setLeaving(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = on
}

// run sends requests at the plan's rate until stop.
func (c *clients) run(stop <-chan struct{}) {
	for {
		gap := time.Duration(c.roll(1)[0] * 2 * float64(time.Second) / c.record.Plan.Rate)
		select {
		case <-stop:
			return
		case <-time.After(gap):
		}
		c.all.Go(c.one)
	}
}

// choose gives a door that is open, or nil.
func (c *clients) choose(x float64) *frontDoor {
	var open []*frontDoor
	for _, d := range c.doors {
		d.mu.Lock()
		if d.open || d.drains && len(d.idle) > 0 {
			open = append(open, d)
		}
		d.mu.Unlock()
	}
	if len(open) == 0 {
		return nil
	}
	return open[int(x*float64(len(open)))]
}

// name gives a new request its id.
func (c *clients) name() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last++
	return "r" + strconv.Itoa(c.last)
}

// text is a request as it is written.
func (c *clients) text(q *Request) string {
	class := c.record.Plan.Classes[q.Class]
	var b strings.Builder
	method, body := "POST", "x"
	if class.Effect == Free {
		method, body = "GET", ""
	}
	fmt.Fprintf(&b, "%s /%s/k%d HTTP/1.1\r\nHost: h\r\nReq-Id: %s\r\nReq-Deadline-Ms: %d\r\n", method, class.Name, len(q.ID)%7, q.ID, q.Deadline.Milliseconds())
	if q.Key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", q.Key)
	}
	if body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	return b.String()
}

// draw makes a request.
func (c *clients) draw(x float64) Request {
	q := Request{ID: c.name(), Class: int(x * float64(len(c.record.Plan.Classes)))}
	class := c.record.Plan.Classes[q.Class]
	q.Deadline = class.Deadline
	if class.Effect == Keyed {
		q.Key = "k-" + q.ID
	}
	return q
}

// one sends one request and writes down how it ended. A node may close a connection between requests:
// one whose connection was used before, and ended with no answer, is sent once more on a new one.
func (c *clients) one() {
	x := c.roll(5)
	q := c.draw(x[1])
	if !c.send(c.choose(x[0]), &q, x[2:], false) {
		return
	}
	if q.End == Cut && q.Reused {
		q.Again, q.FirstNode, q.FirstLife = true, q.Node, q.Life
		if !c.send(c.choose(x[4]), &q, x[2:], true) {
			return // no node takes connections just now
		}
	}
	c.record.request(q)
}

// send sends a request through a door, and waits for its end. It says false of one that nobody has taken.
func (c *clients) send(d *frontDoor, q *Request, x []float64, anew bool) bool {
	if d == nil {
		return false
	}
	nc, reused, err := d.take(anew)
	if err != nil {
		return false
	}
	q.Node, q.Reused, q.Life = d.node, reused, nc.life
	q.Began = time.Now()
	if _, err := io.WriteString(nc, c.text(q)); err != nil {
		nc.Close()
		q.End = Cut
		return reused // one that ended between requests: nothing was taken
	}
	q.Sent = time.Now()
	c.mu.Lock()
	leaves := c.leaving && x[0] < 0.33
	c.mu.Unlock()
	if leaves {
		defer time.AfterFunc(time.Duration(x[1]*float64(q.Deadline)), func() { _ = nc.SetReadDeadline(time.Unix(1, 0)) }).Stop()
	} else {
		_ = nc.SetReadDeadline(q.Sent.Add(q.Deadline + silentAfter))
	}
	c.wait(d, nc, q, leaves)
	return true
}

// wait waits for a request's end.
func (c *clients) wait(d *frontDoor, nc *conn, q *Request, leaves bool) {
	resp, err := http.ReadResponse(nc.br, nil)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(resp.Body)
	}
	q.Ended = time.Now()
	var late net.Error
	switch {
	case err == nil:
		q.End, q.Status = Answered, resp.StatusCode
		q.Wrong = resp.StatusCode == http.StatusOK && !strings.HasPrefix(string(body), q.ID+" by ")
		if resp.Close {
			nc.Close()
			return
		}
		_ = nc.SetReadDeadline(time.Time{})
		d.put(nc)
		return
	case errors.As(err, &late) && late.Timeout() && leaves:
		q.End = LeftByClient
	case errors.As(err, &late) && late.Timeout():
		q.End = Silent
	default:
		q.End = Cut
	}
	nc.Close()
	q.Ended = time.Now()
}

// take gives a connection to the door: one at rest, or a new one.
func (d *frontDoor) take(anew bool) (nc *conn, reused bool, err error) {
	d.mu.Lock()
	life, drains := d.life, d.drains
	for n := len(d.idle); n > 0 && nc == nil && !anew; n = len(d.idle) {
		nc, d.idle = d.idle[n-1], d.idle[:n-1]
		if nc.life != life {
			nc.Close()
			nc = nil
		}
	}
	d.mu.Unlock()
	if nc != nil {
		return nc, true, nil
	}
	if drains {
		return nil, false, errDrains
	}
	c, err := net.DialTimeout("tcp", d.addr, time.Second)
	if err != nil {
		return nil, false, fmt.Errorf("connecting to a node: %w", err)
	}
	return &conn{Conn: c, br: bufio.NewReader(c), life: life}, false, nil
}

func (d *frontDoor) put(nc *conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.idle = append(d.idle, nc)
}

// stall begins a request and stays: it is owed an error, or a close.
func (c *clients) stall(x []float64) {
	d := c.choose(x[0])
	if d == nil {
		return
	}
	nc, err := net.DialTimeout("tcp", d.addr, time.Second)
	if err != nil {
		return
	}
	defer nc.Close()
	q := c.draw(0.99)
	text := c.text(&q)
	if _, err := io.WriteString(nc, text[:1+int(x[1]*float64(len(text)-1))]); err != nil {
		return
	}
	began := time.Now()
	_ = nc.SetReadDeadline(began.Add(2 * stallEnds))
	_, _ = io.Copy(io.Discard, nc)
	if took := time.Since(began); took > stallEnds+2*harness {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.stalls = append(d.stalls, fmt.Sprintf("a client that stopped after %d of %d bytes at %v had neither error nor close for %v", int(x[1]*float64(len(text))), len(text), began.Sub(c.record.Began).Round(time.Millisecond), took.Round(time.Millisecond)))
	}
}

// flood sends many requests at once on one connection, and leaves.
func (c *clients) flood(x []float64) {
	d := c.choose(x[0])
	if d == nil {
		return
	}
	nc, _, err := d.take(false)
	if err != nil {
		return
	}
	var all []Request
	var text strings.Builder
	for i := range floodOf {
		q := c.draw(float64(i%len(c.record.Plan.Classes)) / float64(len(c.record.Plan.Classes)))
		q.Node, q.Life = d.node, nc.life
		text.WriteString(c.text(&q))
		all = append(all, q)
	}
	_, err = io.WriteString(nc, text.String())
	sent := time.Now()
	time.Sleep(floodStays)
	nc.Close()
	for _, q := range all {
		if q.Sent, q.End, q.Ended = sent, LeftByClient, time.Now(); err == nil {
			c.record.request(q)
		}
	}
}

// set says which process is behind the door, and whether clients are sent to it.
func (d *frontDoor) set(life int, open bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if life >= d.life {
		d.life, d.open, d.drains = life, open, false
	}
}

// drain says that the process behind the door was told to end and the clients' front has noticed: what is
// open is used until the process closes it, or is killed.
func (d *frontDoor) drain(life int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if life == d.life && d.open {
		d.open, d.drains = false, true
	}
}

// errDrains says that no connection is opened to a node that ends.
var errDrains = errors.New("the node ends")

// crowdOf is how many connections a crowd opens at each node: more than it may have descriptors.
const crowdOf = descriptors + 64

// crowd fills the descriptors of all nodes with connections that say nothing, and stays for a time.
func (c *clients) crowd(ctx context.Context, span time.Duration) {
	from := time.Now()
	c.record.mu.Lock()
	c.record.Crowds = append(c.record.Crowds, Span{from, from.Add(span + crowdLeaves)})
	c.record.mu.Unlock()
	var open []net.Conn
	for range crowdOf {
		for _, d := range c.doors {
			nc, err := net.DialTimeout("tcp", d.addr, crowdDial)
			if err == nil {
				open = append(open, nc)
			}
		}
		if ctx.Err() != nil || time.Since(from) > span {
			break
		}
	}
	wait(ctx, span-time.Since(from))
	for _, nc := range open {
		nc.Close()
	}
}
