package node

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"jasperpin/decide"
)

const (
	// maxHead bounds the head of a client's request.
	maxHead = 32 << 10
	// maxAnswer bounds all that a server may send for one attempt, 1xx answers and
	// the framing of chunks among it: a body of maxBody and as much again.
	maxAnswer = 2*maxBody + maxHead
	// drainFor bounds what the rest of an answer that is not passed on may take
	// until its connection is given up.
	drainFor = 250 * time.Millisecond
)

// What makes an answer unfit to be passed on.
var (
	errSpoilt   = errors.New("spoilt answer")
	errEndless  = fmt.Errorf("%w: longer than an answer may be", errSpoilt)
	errUnframed = fmt.Errorf("%w: it tells no length", errSpoilt)
)

// answer is a server's 200, whole.
type answer struct {
	header http.Header
	body   []byte
}

// server is one upstream under the address that discovery gave last.
type server struct {
	id    decide.ServerID
	addr  string    // guarded by the loop's lock
	born  float64   // likewise
	idle  []*upConn // guarded by the pool's lock, newest last
	epoch int       // likewise: of the process behind the address
}

// attempt sends one attempt and tells how it ended.
//
// The exchange is the node's own and not http.Transport's, which gives a
// connection to the next request before it has looked at what else came on it:
// a surplus answer would be taken for that request's. Here one goroutine owns a
// connection from its first byte to the verdict on it, and knows of every byte.
func (l *loop) attempt(a *attempt) {
	l.mu.Lock()
	addr := a.srv.addr
	l.mu.Unlock()
	c, err := l.pool.get(a.ctx, a.srv, addr)
	if err != nil {
		l.end(a, a.result(true), nil)
		return
	}
	// Giving the attempt up ends whatever read or write is going on.
	stop := context.AfterFunc(a.ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	if sent, err := c.send(a.request(addr)); err != nil {
		c.Close()
		l.end(a, a.result(!sent), nil)
		return
	}
	resp, err := c.head()
	if err != nil {
		c.Close()
		l.end(a, a.result(false), nil)
		return
	}
	result, known := verdict(resp)
	if known { // what follows is read for the connection's sake alone
		t := time.AfterFunc(drainFor, func() { a.giveUp(errStalled) })
		defer t.Stop()
	}
	body, err := c.body(resp)
	if err == nil && stop() && !resp.Close {
		l.pool.put(c)
	} else {
		c.Close()
	}
	switch {
	case known:
		l.end(a, result, nil)
	case err != nil:
		l.end(a, a.result(false), nil)
	default:
		l.end(a, decide.OK, &answer{header: endToEnd(resp.Header), body: body})
	}
}

// verdict is the outcome where the head alone shows it.
func verdict(resp *http.Response) (result decide.Result, known bool) {
	switch code := resp.StatusCode; {
	case code == http.StatusOK:
		return decide.OK, false
	case (code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout) && resp.Header.Get("Srv-Declined") == "1":
		return decide.Full, true
	}
	return decide.Failed, true
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
func (a *attempt) request(addr string) *http.Request {
	r := a.req
	h := r.header.Clone()
	h.Set("Req-Deadline-Ms", strconv.FormatInt(max(1, a.wait.Milliseconds()), 10))
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil // or net/http would put its own
	}
	req := &http.Request{
		Method: r.method, URL: &url.URL{Scheme: "http", Host: addr, Opaque: r.target}, Host: r.host,
		Header: h, Body: http.NoBody, ContentLength: int64(len(r.body)),
	}
	if len(r.body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(r.body))
	}
	return req
}

// send writes a request. It says whether the last byte was written: only a
// request of which less went out is known not to have run.
func (c *upConn) send(req *http.Request) (whole bool, err error) {
	var text bytes.Buffer
	if err := req.Write(&text); err != nil {
		return false, fmt.Errorf("writing a request: %w", err)
	}
	n, err := c.Conn.Write(text.Bytes())
	if err != nil {
		err = fmt.Errorf("sending a request: %w", err)
	}
	return n == text.Len(), err
}

// head reads an answer's head and passes over the 1xx ahead of it.
func (c *upConn) head() (*http.Response, error) {
	c.allowed = maxAnswer
	for {
		resp, err := http.ReadResponse(c.br, nil)
		switch {
		case err != nil:
			return nil, fmt.Errorf("reading an answer's head: %w", err)
		case resp.StatusCode >= 200:
			return resp, nil
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, fmt.Errorf("%w: status %d", errSpoilt, resp.StatusCode)
		}
	}
}

// body reads an answer's body to its end. One that only the connection's end
// would delimit is refused: cut short, or with its length lost on the way, it
// would pass for whole. It does harm to servers that close instead of counting.
func (c *upConn) body(resp *http.Response) ([]byte, error) {
	defer resp.Body.Close()
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return nil, errUnframed
	}
	if resp.ContentLength > maxBody {
		return nil, errEndless
	}
	var b bytes.Buffer
	if resp.ContentLength > 0 { // and room for the read that finds the end
		b.Grow(int(resp.ContentLength) + bytes.MinRead)
	}
	switch _, err := b.ReadFrom(io.LimitReader(resp.Body, maxBody+1)); {
	case err != nil:
		return nil, fmt.Errorf("reading an answer's body: %w", err)
	case b.Len() > maxBody:
		return nil, errEndless
	}
	return b.Bytes(), nil
}

// Read keeps an answer within what one may take, so that a head without end or
// an answer that keeps coming costs a bounded number of bytes.
func (c *upConn) Read(p []byte) (int, error) {
	if c.allowed <= 0 {
		return 0, errEndless
	}
	n, err := c.Conn.Read(p)
	c.allowed -= n
	return n, err
}

// hop are the headers that speak of one connection only.
var hop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length"}

// kept are the headers that a Connection header cannot name: without them a
// server could not tell what it is asked.
var kept = map[string]bool{"Req-Id": true, "Idempotency-Key": true, "Req-Deadline-Ms": true}

// endToEnd takes out the headers that do not go on.
func endToEnd(h http.Header) http.Header {
	named := h["Connection"]
	for _, name := range hop {
		delete(h, name)
	}
	for _, line := range named {
		for name := range strings.SplitSeq(line, ",") {
			if name = http.CanonicalHeaderKey(strings.TrimSpace(name)); !kept[name] {
				delete(h, name)
			}
		}
	}
	return h
}
