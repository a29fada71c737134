package node

import (
	"errors"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"mallowfield/decide"
)

const (
	// headWait is how long a request's head may take: clients take 2 s.
	headWait = 5 * time.Second
	// bodyWait and bodyPace bound how long a body may take: clients write at
	// 64 kB a second.
	bodyWait = 10 * time.Second
	bodyPace = 32 << 10 // bytes a second
	// idleWait closes a connection that no request has come on for long.
	idleWait = 5 * time.Minute
	// streamPiece is the buffer of a long answer.
	streamPiece = 32 << 10
	// streamStall is how long a server may pause within a long answer.
	streamStall = 10 * time.Second
)

// front takes clients' requests and gives their answers.
type front struct {
	loop     *loop
	bodies   budget
	draining atomic.Bool
}

// complaint is a request's fault.
type complaint struct {
	status int
	text   string
}

// complain turns bad input away and closes the connection. Whoever sends one
// thing that cannot be used is not to be believed about where the next request
// begins: the rest of a body would be read as requests of its own. It does harm
// where a good client errs once: its next request needs a new connection.
func complain(w http.ResponseWriter, c *complaint) {
	w.Header().Set("Connection", "close")
	http.Error(w, c.text, c.status)
}

func (f *front) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	cc := connOf(hr.Context())
	if f.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if hr.URL.Path == "/up" && (hr.Method == http.MethodGet || hr.Method == http.MethodHead) {
		if f.draining.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	q, wait, fault := f.parse(hr)
	if fault == nil && hr.ContentLength > maxBody {
		fault = &complaint{http.StatusRequestEntityTooLarge, "body too long"}
	}
	if fault != nil {
		complain(w, fault)
		return
	}
	rc := http.NewResponseController(w)
	began, got := time.Now(), int64(0)
	b, err := readBody(readerFunc(func(p []byte) (int, error) {
		// A body may take as long as its length needs at a slow client's pace.
		_ = rc.SetReadDeadline(began.Add(bodyWait + time.Duration(got)*time.Second/bodyPace))
		n, err := hr.Body.Read(p)
		got += int64(n)
		return n, err
	}), hr.ContentLength, &f.bodies)
	_ = rc.SetReadDeadline(time.Time{})
	switch {
	case errors.Is(err, errTooLong):
		complain(w, &complaint{http.StatusRequestEntityTooLarge, "body too long"})
		return
	case errors.Is(err, errNoRoom):
		w.WriteHeader(http.StatusServiceUnavailable) // nothing was sent on: trying again is harmless
		return
	case err != nil:
		complain(w, &complaint{http.StatusBadRequest, "body cut short or malformed"})
		return
	}
	came := cc.came()
	if !cc.take() {
		b.free()
		panic(http.ErrAbortHandler)
	}
	defer cc.free()
	defer cc.served()
	r := &request{method: hr.Method, target: target(hr), host: hr.Host, header: endToEnd(hr.Header), body: b}
	f.loop.arrive(r, q, wait, came)
	select {
	case fin := <-r.final:
		f.answer(w, r, fin)
	case <-hr.Context().Done():
		f.loop.clientGone(r)
		select {
		case fin := <-r.final:
			// It was answered at that very moment: what is left must be ended.
			f.answer(w, r, fin)
		default:
		}
		panic(http.ErrAbortHandler)
	}
}

// parse reads what the module is told of a request.
func (f *front) parse(hr *http.Request) (decide.Request, time.Duration, *complaint) {
	var q decide.Request
	path := strings.TrimPrefix(hr.URL.EscapedPath(), "/")
	name, rest, _ := strings.Cut(path, "/")
	class, ok := f.loop.cfg.classes[name]
	if !ok {
		return q, 0, &complaint{http.StatusNotFound, "unknown class"}
	}
	q.Class = class
	if i := strings.LastIndexByte(rest, '/'); i >= 0 {
		rest = rest[i+1:]
	}
	q.Key = keyOf(rest)
	_, keyed := hr.Header["Idempotency-Key"]
	method, wantKey := http.MethodPost, false
	switch f.loop.cfg.Settings.Classes[class].Effect {
	case decide.Free:
		method, keyed = http.MethodGet, false
	case decide.Guarded:
		wantKey = true
	}
	switch ms, err := strconv.ParseInt(hr.Header.Get("Req-Deadline-Ms"), 10, 64); {
	case len(hr.TransferEncoding) > 0:
		// net/http takes a request with both framings for a chunked one and hides
		// the length, so that what another reader would see as a second request
		// passes as a body. Bodies are short and their senders know their length:
		// none comes in chunks. It does harm to a client that streams its body.
		return q, 0, &complaint{http.StatusLengthRequired, "a body wants a Content-Length and no other framing"}
	case hr.Method != method:
		return q, 0, &complaint{http.StatusMethodNotAllowed, "the class takes " + method}
	case keyed != wantKey:
		return q, 0, &complaint{http.StatusBadRequest, "Idempotency-Key contradicts the class"}
	case hr.Header.Get("Req-Id") == "":
		return q, 0, &complaint{http.StatusBadRequest, "no Req-Id"}
	case err != nil || ms <= 0:
		return q, 0, &complaint{http.StatusBadRequest, "Req-Deadline-Ms is not a number above 0"}
	default:
		q.Repeat = hr.Header.Get("Req-Retry") == "1"
		if us, err := strconv.ParseFloat(hr.Header.Get("Req-Cost"), 64); err == nil && us > 0 && us < 1e9 {
			q.Hint = time.Duration(us * float64(time.Microsecond))
		}
		return q, min(time.Duration(min(ms, longestWait.Milliseconds()))*time.Millisecond, longestWait), nil
	}
}

// keyOf gives a key its number, the same at every node; 0 is for none.
func keyOf(text string) uint64 {
	if text == "" {
		return 0
	}
	h := fnv.New64a()
	_, _ = io.WriteString(h, text)
	return max(h.Sum64(), 1)
}

// target is path and query as the client wrote them, without the scheme and
// host of the absolute form.
func target(hr *http.Request) string {
	uri := hr.RequestURI
	if _, rest, ok := strings.Cut(uri, "://"); ok && !strings.HasPrefix(uri, "/") {
		return rest[max(strings.IndexByte(rest, '/'), 0):]
	}
	return uri
}

// answer gives the client its final answer.
func (f *front) answer(w http.ResponseWriter, r *request, fin final) {
	h := w.Header()
	if f.draining.Load() {
		h.Set("Connection", "close")
	}
	ans := fin.answer
	if ans == nil {
		h.Set("Content-Length", "0")
		w.WriteHeader(fin.status)
		return
	}
	for k, v := range ans.header {
		h[k] = v
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // the server gave none, and none is guessed
	}
	if ans.length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(ans.length, 10))
	}
	w.WriteHeader(fin.status)
	_, err := w.Write(ans.first)
	if ans.rest == nil {
		return
	}
	f.stream(w, r, ans, err)
}

// stream passes on the rest of a long answer. Where its server breaks off, the
// client's connection is aborted, so that the client sees that it is not whole.
func (f *front) stream(w http.ResponseWriter, r *request, ans *answer, werr error) {
	a := ans.from
	rc := http.NewResponseController(w)
	stall := time.AfterFunc(streamStall, func() { a.giveUp(errStalled) })
	defer stall.Stop()
	buf := make([]byte, streamPiece)
	var rerr error
	for werr == nil && rerr == nil {
		if werr = rc.Flush(); werr != nil {
			break
		}
		stall.Reset(streamStall)
		var n int
		n, rerr = ans.rest.Read(buf)
		stall.Stop()
		if n > 0 {
			_, werr = w.Write(buf[:n])
		}
	}
	_ = ans.rest.Close()
	switch {
	case werr == nil && errors.Is(rerr, io.EOF):
		f.loop.end(a, decide.OK, nil)
		return
	case werr != nil:
		a.giveUp(errCancelled)
		f.loop.clientGone(r)
	}
	f.loop.end(a, a.result(false), nil)
	panic(http.ErrAbortHandler)
}
