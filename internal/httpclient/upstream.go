// Package httpclient carries attempts to servers by HTTP/1.1, in the form of the
// platform's protocol or of HTTP at large, on connections that it keeps.
package httpclient

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
	"jasperpin/internal/core"
)

const (
	// maxHead bounds the head of an answer, in bytes.
	maxHead = 32 << 10
	// maxShort bounds all that a server may send of an answer that is read whole, 1xx
	// answers and the framing of chunks among it: a short body and as much again.
	maxShort = 2*core.ShortAnswer + maxHead
	// framed is how many times its length a longer one may take: chunks of a few bytes are
	// mostly framing.
	framed = 8
	// earlyBy is how much later than an answer's head the writer of its request may come
	// to say that it is done: on a busy node the answer can overtake it.
	earlyBy = 50 * time.Millisecond
	// answerStall is how long a server may pause within an answer that passes through.
	answerStall = 10 * time.Second
	// piece is how much of one is read at a time at first.
	piece = 16 << 10
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

// Send sends one attempt and tells how it ended.
//
// The exchange is the node's own and not http.Transport's, which gives a
// connection to the next request before it has looked at what else came on it:
// a surplus answer would be taken for that request's. Here one goroutine owns a
// connection from its first byte to the verdict on it, and knows of every byte.
func (s *server) Send(ctx context.Context, addr string, m *core.Message, on core.AttemptGate) (decide.Result, *core.Answer) {
	c, err := s.get(ctx, s, addr)
	switch {
	case err == nil:
	case ctx.Err() == nil && (errors.Is(err, errNoSocket) || errors.Is(err, errScarce)):
		return decide.Abandoned, nil // no server is to be blamed for it
	default:
		return core.Outcome(ctx, true), nil
	}
	start, ok := on.Begin()
	if !ok {
		s.put(c) // nothing has been written to it
		if ctx.Err() == nil {
			return decide.Abandoned, nil
		}
		return core.Outcome(ctx, true), nil
	}
	// What is not written whole by then has not run. The connection's next attempt has its own time.
	_ = c.SetWriteDeadline(start.WriteBy)
	// Giving the attempt up ends whatever read or write is going on.
	stop := context.AfterFunc(ctx, c.expire)
	var req *http.Request
	var resp *http.Response
	if m.Rest == nil {
		var sent int
		var told time.Duration
		if req, told, sent, err = c.send(m, addr, start, on); err != nil {
			return c.unsent(ctx, err, sent, stop)
		}
		on.Wrote(told)
		resp, err = c.head(req)
		if err != nil {
			c.Close()
			return core.Outcome(ctx, false), nil
		}
	} else {
		var sent bool
		told := start.Remaining()
		req = request(m, addr, told)
		if resp, sent, err = c.pass(req, m, on, told); err != nil {
			c.Close()
			return core.Outcome(ctx, !sent), nil
		}
	}
	result, known := s.verdict(resp)
	stopDrain := func() bool { return true }
	if known { // what follows is read for the connection's sake alone
		stopDrain = time.AfterFunc(drainFor, c.expire).Stop
	}
	body, more, err := c.body(resp, s.MaxBody)
	switch {
	case err == nil && more && !known:
		if !stop() { // given up at the last moment
			c.Close()
			return core.Outcome(ctx, false), nil
		}
		_ = c.SetDeadline(time.Time{})
		return decide.OK, &core.Answer{
			Code: resp.StatusCode, Header: core.EndToEnd(resp.Header), Body: body, Length: resp.ContentLength,
			Rest: &rest{c: c, resp: resp, left: s.MaxBody - int64(len(body))},
		}
	case stopDrain() && err == nil && !more && stop() && !resp.Close: // nothing may expire it at rest
		s.put(c)
	default:
		c.Close()
	}
	switch {
	case known:
		return result, nil
	case err != nil:
		return core.Outcome(ctx, false), nil
	}
	return decide.OK, &core.Answer{Code: resp.StatusCode, Header: core.EndToEnd(resp.Header), Body: body, Length: int64(len(body))}
}

// pass sends a request whose body is still coming, and reads the answer's head beside
// it: a server may turn the request away at any moment. It says whether the last byte
// was written; an answer of success ahead of that is none to this request.
func (c *upConn) pass(req *http.Request, m *core.Message, on core.AttemptGate, told time.Duration) (resp *http.Response, whole bool, err error) {
	sent := make(chan error, 1)
	go func() {
		err := req.Write(guardedWriter{c, on})
		if err == nil {
			on.Wrote(told)
		} else {
			c.expire() // nothing is to be answered any more
		}
		sent <- err
	}()
	resp, err = c.head(req)
	grace := time.NewTimer(earlyBy)
	defer grace.Stop()
	if err != nil {
		grace.Reset(0)
	}
	select {
	case werr := <-sent:
		return resp, werr == nil, err
	case <-grace.C: // it answers early, or has gone
	}
	c.expire()
	m.Rest.Close()
	if whole = <-sent == nil; err == nil {
		_ = c.SetDeadline(time.Now().Add(drainFor))
		resp.Close = true
	}
	if err == nil && !whole && resp.StatusCode < http.StatusInternalServerError {
		err = fmt.Errorf("%w: ahead of its request's last byte", errSpoilt)
	}
	return resp, whole, err
}

// rest is what comes of an answer that passes through. Its owner closes it, once.
type rest struct {
	c    *upConn
	resp *http.Response
	left int64 // bytes that it may still bring
	done bool  // it has come whole
}

func (r *rest) Read(p []byte) (int, error) {
	if r.left <= 0 {
		p = p[:min(1, len(p))] // the end may still be due
	} else if int64(len(p)) > r.left {
		p = p[:r.left]
	}
	_ = r.c.SetReadDeadline(time.Now().Add(answerStall))
	n, err := r.resp.Body.Read(p)
	if r.left -= int64(n); r.left < 0 {
		return 0, errEndless
	}
	r.done = errors.Is(err, io.EOF)
	return n, err
}

// Close lays the connection to rest where the answer has come whole.
func (r *rest) Close() error {
	if !r.done || r.resp.Close {
		return r.c.Close()
	}
	_ = r.c.SetDeadline(time.Time{})
	r.c.srv.put(r.c)
	return nil
}

// expire ends whatever read or write is going on.
func (c *upConn) expire() { _ = c.SetDeadline(time.Unix(1, 0)) }

// verdict is the outcome where the head alone shows it.
func (p *Upstream) verdict(resp *http.Response) (result decide.Result, known bool) {
	switch code := resp.StatusCode; {
	case code == http.StatusOK, p.Plain && code < http.StatusInternalServerError:
		return decide.OK, false
	case (code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout) && resp.Header.Get("Srv-Declined") == "1":
		return decide.Overloaded, true
	}
	return decide.Failed, true
}

// request builds the attempt's request: path, query and body byte for byte.
func request(m *core.Message, addr string, wait time.Duration) *http.Request {
	h := http.Header(m.Header).Clone()
	h.Set("Req-Deadline-Ms", strconv.FormatInt(max(1, wait.Milliseconds()), 10))
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil // or net/http would put its own
	}
	req := &http.Request{
		Method: m.Method, URL: &url.URL{Scheme: "http", Host: addr, Opaque: m.Target}, Host: m.Host,
		Header: h, Body: http.NoBody, ContentLength: int64(len(m.Body)),
	}
	switch {
	case m.Rest != nil:
		req.Body, req.ContentLength = io.NopCloser(io.MultiReader(bytes.NewReader(m.Body), m.Rest)), m.Length
	case len(m.Body) > 0:
		req.Body = io.NopCloser(bytes.NewReader(m.Body))
	}
	return req
}

// head reads an answer's head and passes over the 1xx ahead of it.
func (c *upConn) head(req *http.Request) (*http.Response, error) {
	c.allowed = maxShort
	for {
		resp, err := http.ReadResponse(c.br, req)
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

// body reads an answer's body to its end or, of one that is not short, what comes first
// and says that there is more. One that only the connection's end would delimit is
// refused unless the server says that it closes: cut short, or with its length lost on
// the way, it would pass for whole. Most is the longest that it may be.
func (c *upConn) body(resp *http.Response, most int64) (body []byte, more bool, err error) {
	if resp.Request.Method == http.MethodHead {
		return nil, false, nil
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !closes(resp) {
		return nil, false, errUnframed
	}
	if resp.ContentLength > most {
		return nil, false, errEndless
	}
	if resp.ContentLength > core.ShortAnswer {
		c.allowed = framed * most
		first := make([]byte, piece)
		n, err := resp.Body.Read(first)
		if err != nil {
			return nil, false, fmt.Errorf("reading an answer's body: %w", err)
		}
		return first[:n], true, nil
	}
	var b bytes.Buffer
	if resp.ContentLength > 0 { // and room for the read that finds the end
		b.Grow(int(resp.ContentLength) + bytes.MinRead)
	}
	if _, err := b.ReadFrom(io.LimitReader(resp.Body, core.ShortAnswer+1)); err != nil {
		return nil, false, fmt.Errorf("reading an answer's body: %w", err)
	}
	if more = b.Len() > core.ShortAnswer; more {
		c.allowed = framed * most
	}
	return b.Bytes(), more, nil
}

// closes says whether a server has said that the connection's end is the answer's.
func closes(resp *http.Response) bool {
	return resp.ProtoMajor == 1 && resp.ProtoMinor == 0 || strings.EqualFold(resp.Header.Get("Connection"), "close")
}

// Read keeps an answer within what one may take, so that a head without end or
// an answer that keeps coming costs a bounded number of bytes.
func (c *upConn) Read(p []byte) (int, error) {
	if c.allowed <= 0 {
		return 0, errEndless
	}
	n, err := c.Conn.Read(p)
	c.allowed -= int64(n)
	return n, err
}
