package node

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mallowfield/decide"
)

const (
	// restMost is the part of the settings' idle time after which the node closes
	// a resting connection itself: servers close them at that time, and one that
	// crosses a request ends it as a reset.
	restMost = 0.8
	// maxHead bounds the head of a message: long headers occur.
	maxHead = 128 << 10
	// drainFor bounds what the rest of an answer that is not passed on may take
	// until its connection is given up.
	drainFor = 250 * time.Millisecond
)

// answer is a server's 200: whole, or its first part with the rest to come.
type answer struct {
	header http.Header
	first  []byte
	rest   io.ReadCloser // nil where first is all
	length int64         // -1 where the server told none
	from   *attempt
}

// server is one upstream under the address that discovery gave last.
type server struct {
	id        decide.ServerID
	name      string
	addr      string  // guarded by the loop's lock
	born      float64 // likewise
	transport *http.Transport
}

func newServer(e *entry, id decide.ServerID, l *loop) *server {
	dialer := &net.Dialer{Timeout: l.cfg.DialTimeout, KeepAlive: -1}
	return &server{
		id: id, name: e.Host, addr: e.Dial, born: e.BornMS,
		transport: &http.Transport{
			DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
				return l.pool.dial(ctx, dialer, network, addr)
			},
			DisableCompression: true, MaxIdleConnsPerHost: l.cfg.Conns(), MaxResponseHeaderBytes: maxHead,
			IdleConnTimeout: time.Duration(restMost * float64(l.cfg.Settings.KeepAlive)),
		},
	}
}

// sockets bounds the connections to servers.
type sockets struct {
	room  chan struct{}
	evict func() // closes idle ones
}

func newSockets(n int) *sockets { return &sockets{room: make(chan struct{}, n)} }

func (p *sockets) dial(ctx context.Context, d *net.Dialer, network, addr string) (net.Conn, error) {
	select {
	case p.room <- struct{}{}:
	default:
		p.evict()
		t := time.NewTimer(d.Timeout)
		defer t.Stop()
		select {
		case p.room <- struct{}{}:
		case <-t.C:
			return nil, errors.New("no socket left")
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
	c, err := d.DialContext(ctx, network, addr)
	if err != nil {
		<-p.room
		return nil, err
	}
	return &upConn{Conn: c, pool: p}, nil
}

// upConn is a connection to a server that remembers what was written to it.
type upConn struct {
	net.Conn
	pool   *sockets
	once   sync.Once
	wrote  atomic.Int64
	failed atomic.Bool
}

func (c *upConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.wrote.Add(int64(n))
	if err != nil {
		c.failed.Store(true)
	}
	return n, err
}

func (c *upConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { <-c.pool.room })
	return err
}

// once is the body of one attempt. It is there for requests without a body, too,
// and its request has no GetBody: either would let the transport send a GET, or
// anything with an Idempotency-Key, once more by itself when a connection that
// it used before breaks. Only the module orders another attempt.
type once struct{ io.Reader }

func (once) Close() error { return nil }

// attempt sends one attempt and tells how it ended.
func (l *loop) attempt(a *attempt) {
	var conn atomic.Pointer[upConn]
	var before atomic.Int64
	ctx := httptrace.WithClientTrace(a.ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if c, ok := i.Conn.(*upConn); ok {
			before.Store(c.wrote.Load())
			conn.Store(c)
		}
	}})
	resp, err := a.srv.transport.RoundTrip(a.request(ctx, l))
	if err != nil {
		c := conn.Load()
		// Proof that it never ran: no connection, nothing written, or a write that
		// failed before the last byte. The transport returns only after its
		// writer has ended. All else may have run.
		never := c == nil || c.failed.Load() || c.wrote.Load() == before.Load()
		l.end(a, a.result(never), nil)
		return
	}
	switch {
	case resp.StatusCode == http.StatusOK:
		l.served(a, resp)
		return
	case (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get("Srv-Declined") == "1":
		l.endAfter(a, decide.Full, resp)
	default:
		l.endAfter(a, decide.Failed, resp)
	}
}

// endAfter tells an outcome that the head alone shows, once the answer's end has
// been read for the connection's sake, or could not be read in a short time.
func (l *loop) endAfter(a *attempt, result decide.Result, resp *http.Response) {
	t := time.AfterFunc(drainFor, func() { a.giveUp(errStalled) })
	defer t.Stop()
	_, _ = io.CopyN(io.Discard, resp.Body, shortBody)
	_ = resp.Body.Close()
	l.end(a, result, nil)
}

// result is the outcome of an attempt that brought no whole answer.
func (a *attempt) result(never bool) decide.Result {
	switch cause := context.Cause(a.ctx); {
	case errors.Is(cause, errCancelled):
		return decide.Cancelled
	case never:
		return decide.NoConnection
	case errors.Is(cause, errTimedOut):
		return decide.TimedOut
	}
	return decide.Reset
}

// request builds the attempt's request: path, query and body byte for byte.
func (a *attempt) request(ctx context.Context, l *loop) *http.Request {
	l.mu.Lock()
	addr := a.srv.addr
	l.mu.Unlock()
	r := a.req
	h := r.header.Clone()
	h.Set("Req-Deadline-Ms", strconv.FormatInt(max(1, a.wait.Milliseconds()), 10))
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil // or the transport would put its own
	}
	req := &http.Request{
		Method: r.method, URL: &url.URL{Scheme: "http", Host: addr, Opaque: r.target}, Host: r.host,
		Header: h, Body: once{r.body.reader()}, ContentLength: r.body.size,
	}
	return req.WithContext(ctx)
}

// served reads a 200. Up to shortBody it is read whole before the client sees a
// byte, so that a broken one is still the module's to retry.
func (l *loop) served(a *attempt, resp *http.Response) {
	ans := &answer{header: endToEnd(resp.Header), length: resp.ContentLength, from: a}
	size := int64(4 << 10)
	if ans.length >= 0 {
		size = min(ans.length, shortBody)
	}
	buf := make([]byte, 0, size+1) // one more, to see the end without growing
	var err error
	for err == nil && len(buf) <= shortBody && !(ans.length > shortBody && len(buf) > 0) {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		var n int
		n, err = resp.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
	}
	ans.first = buf
	switch {
	case errors.Is(err, io.EOF):
		_ = resp.Body.Close()
		ans.length = int64(len(buf))
		l.end(a, decide.OK, ans)
	case err != nil:
		_ = resp.Body.Close()
		l.end(a, a.result(false), nil)
	default:
		ans.rest = resp.Body
		if !l.begin(a, ans) {
			a.giveUp(errTimedOut)
			_ = resp.Body.Close()
			l.end(a, a.result(false), nil)
		}
	}
}

// hop are the headers that speak of one connection only.
var hop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length"}

// endToEnd copies the headers that go on.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hop {
		out.Del(name)
	}
	return out
}
