package node

import (
	"cmp"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"jasperpin/decide"
)

const (
	// headWait is how long a request's head may take, from connecting on for the
	// first: clients take 2 s, and who sends none is owed a close after 3 s.
	headWait = 2500 * time.Millisecond
	// wholeWait is how long a request may take from its first byte to its last:
	// clients write at 64 kB a second, and 3 s are the most that is owed.
	wholeWait = 2800 * time.Millisecond
	// idleWait closes a connection that no request has come on for long.
	idleWait = time.Minute
)

// front takes clients' requests and gives their answers.
type front struct {
	loop     *loop
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
	// net/http would wait for the rest of the body, which may never come.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now())
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
	if fault != nil {
		complain(w, fault)
		return
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(cc.firstByte().Add(wholeWait))
	body, err := readBody(hr.Body, hr.ContentLength)
	if err != nil {
		complain(w, &complaint{http.StatusBadRequest, "body cut short or malformed"})
		return
	}
	_ = rc.SetReadDeadline(time.Time{})
	came := cc.came()
	if !cc.take() {
		panic(http.ErrAbortHandler)
	}
	defer cc.free()
	defer cc.served()
	r := &request{
		method: hr.Method, target: target(hr), host: hr.Host, header: endToEnd(hr.Header),
		reqID: hr.Header.Get("Req-Id"), body: body,
	}
	if !f.loop.arrive(r, q, wait, came) {
		complain(w, &complaint{http.StatusConflict, "Req-Id is in use"})
		return
	}
	select {
	case fin := <-r.final:
		f.answer(w, fin)
	case <-hr.Context().Done():
		f.loop.clientGone(r)
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
	keys, wantKeys := len(hr.Header["Idempotency-Key"]), 0
	method := http.MethodPost
	switch f.loop.cfg.Settings.Classes[class].Effect {
	case decide.Free:
		method, keys = http.MethodGet, 0 // a key changes nothing
	case decide.Guarded:
		wantKeys = 1
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
	case keys != wantKeys:
		return q, 0, &complaint{http.StatusBadRequest, "Idempotency-Key contradicts the class"}
	case hr.ContentLength > maxBody:
		return q, 0, &complaint{http.StatusRequestEntityTooLarge, "body too long"}
	case method == http.MethodGet && hr.ContentLength > 0:
		return q, 0, &complaint{http.StatusBadRequest, "the class takes no body"}
	case len(hr.Header["Req-Id"]) != 1 || hr.Header.Get("Req-Id") == "":
		return q, 0, &complaint{http.StatusBadRequest, "not one Req-Id"}
	case err != nil || ms <= 0:
		return q, 0, &complaint{http.StatusBadRequest, "Req-Deadline-Ms is not a number above 0"}
	default:
		q.Repeat = hr.Header.Get("Req-Retry") == "1"
		if us, err := strconv.ParseFloat(hr.Header.Get("Req-Cost"), 64); err == nil && us > 0 && us < 1e9 {
			q.Hint = time.Duration(us * float64(time.Microsecond))
		}
		// No client waits longer than its class does over all its tries.
		most := cmp.Or(f.loop.cfg.Settings.Classes[class].Deadline, longestWait)
		return q, min(time.Duration(min(ms, most.Milliseconds()+1))*time.Millisecond, most), nil
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
func (f *front) answer(w http.ResponseWriter, fin final) {
	h := w.Header()
	if f.draining.Load() {
		h.Set("Connection", "close")
	}
	if fin.answer == nil {
		if fin.retryAfter > 0 {
			// The protocol takes decimals: whole seconds are longer than most aims.
			h.Set("Retry-After", strconv.FormatFloat(fin.retryAfter.Seconds(), 'f', 3, 64))
		}
		h.Set("Content-Length", "0")
		w.WriteHeader(fin.status)
		return
	}
	for k, v := range fin.answer.header {
		h[k] = v
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // the server gave none, and none is guessed
	}
	h.Set("Content-Length", strconv.Itoa(len(fin.answer.body)))
	w.WriteHeader(fin.status)
	_, _ = w.Write(fin.answer.body)
}
