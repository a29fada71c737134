// Package httpserver is the front for HTTP/1.1: it takes clients' requests within
// a cap on their connections and gives each its one answer. It turns away what
// cannot be used, and decides nothing else.
package httpserver

import (
	"cmp"
	"context"
	"errors"
	"hash/fnv"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/acceptor"
	"jasperpin/internal/core"
	"jasperpin/internal/limit"
	"jasperpin/internal/route"
	"jasperpin/internal/service"
)

const (
	// headWait is how long a request's head may take, from connecting on for the
	// first: clients take 2 s, and who sends none is owed a close after 3 s.
	headWait = 2500 * time.Millisecond
	// idleWait closes a connection that no request has come on for long.
	idleWait = time.Minute
	// muteEvery is how often a front that shuts down closes connections that say nothing.
	muteEvery = 20 * time.Millisecond
	// maxHead bounds the head of a request, in bytes.
	maxHead = 32 << 10
)

// Front takes clients' requests and gives their answers.
type Front struct {
	set      *service.Set
	srv      *http.Server
	conns    *conns
	names    atomic.Uint64 // of plain requests
	room     bodyRoom
	spare    func() bool // gives back a descriptor that is not a client's; nil for never
	draining atomic.Bool
	log      *slog.Logger
	mu       sync.Mutex
	lns      []*listener // those served
}

// New makes a front for a machine, or a part of one.
func New(set *service.Set, m limit.Machine, log *slog.Logger) *Front {
	f := &Front{set: set, log: log, conns: newConns(m.Clients()), room: bodyRoom{of: limit.NewBodies(m)}}
	f.names.Store(rand.Uint64()) // so that no two processes of a node give one name
	f.srv = &http.Server{
		Handler: f, ReadHeaderTimeout: headWait, IdleTimeout: idleWait, MaxHeaderBytes: maxHead,
		ConnContext: withConn, ConnState: rests, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	return f
}

// Serve takes connections from a listener until the front shuts down. Several
// listeners may be served side by side, under one cap.
func (f *Front) Serve(ln net.Listener) error {
	open := acceptor.New(ln, "clients", f.log)
	open.MakeRoom = f.makeRoom
	capped := &listener{open, f.conns}
	f.mu.Lock()
	f.lns = append(f.lns, capped)
	f.mu.Unlock()
	return f.srv.Serve(capped)
}

// Spare has the front ask for a descriptor elsewhere, before it closes a client's connection, where
// none is left for a newcomer. It is for before the first Serve.
func (f *Front) Spare(spare func() bool) { f.spare = spare }

// makeRoom gives back a descriptor: of a connection that rests, or says nothing.
func (f *Front) makeRoom() bool {
	return f.spare != nil && f.spare() || f.conns.makeRoom()
}

// Limit changes the machine that there is.
func (f *Front) Limit(m limit.Machine) {
	f.conns.limit(m.Clients())
	f.room.resize(m)
}

// Drain has /up answer 503 and connections close after their next answer.
func (f *Front) Drain() { f.draining.Store(true) }

// Accepted counts the connections taken so far.
func (f *Front) Accepted() int64 { return f.conns.accepted.Load() }

// Conns counts the connections that are open.
func (f *Front) Conns() int {
	f.conns.mu.Lock()
	defer f.conns.mu.Unlock()
	return f.conns.all
}

// Shutdown takes no connection any more and waits until those that are open have
// been answered and closed, no longer than ctx lasts. Requests may become whole until
// whole; one that is not by then is refused. Those that say nothing are not
// waited for: a crowd of them would keep the node's place empty for as long as a head
// may take.
func (f *Front) Shutdown(ctx context.Context, whole time.Time) error {
	for _, ln := range f.listeners() {
		ln.clear(whole)
		_ = ln.Close() // it may be closed already
	}
	// Not the server's own Shutdown: it drops each request whose head ends after it began. Nor
	// its SetKeepAlivesEnabled: that closes connections on which part of one has been read.
	f.conns.closeIdle()
	tick := time.NewTicker(muteEvery)
	defer tick.Stop()
	ends := time.NewTimer(time.Until(whole))
	defer ends.Stop()
	for {
		select {
		case <-ctx.Done():
			return f.close()
		case <-ends.C:
			f.conns.cutOff(true)
		case <-tick.C:
			f.conns.cutOff(false)
			f.conns.closeIdle()
			if f.Conns() == 0 {
				return f.close()
			}
		}
	}
}

func (f *Front) close() error {
	f.conns.end()
	if err := f.srv.Close(); !errors.Is(err, net.ErrClosed) { // as the listeners are
		return err
	}
	return nil
}

func (f *Front) listeners() []*listener {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lns
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

// find finds where a request goes.
func (f *Front) find(hr *http.Request) (service.Target, *complaint) {
	target, err := f.set.Find(hr.Host, route.Query{Path: hr.URL.EscapedPath(), Method: hr.Method})
	switch {
	case errors.Is(err, service.ErrNoRoute):
		return target, &complaint{http.StatusNotFound, "no service takes this host and path"}
	case err != nil:
		return target, &complaint{http.StatusBadRequest, err.Error()}
	}
	return target, nil
}

// reparse reads a request anew for another pool. Its body has been read.
func (f *Front) reparse(hr *http.Request, target service.Target, was *core.Request) (*core.Request, *complaint) {
	q, fault := f.parse(hr, target)
	if fault != nil {
		return nil, fault
	}
	q.Message, q.ReceivedAt, q.Presence, q.Awaited = was.Message, was.ReceivedAt, was.Presence, was.Awaited
	return q, nil
}

// tenant is whose request it is.
func tenant(hr *http.Request, t service.Target) string {
	if t.TenantHeader == "" {
		return ""
	}
	return hr.Header.Get(t.TenantHeader)
}

// forwarded adds the client's address to those that the request has come through.
func forwarded(h map[string][]string, remote string) {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return
	}
	const name = "X-Forwarded-For"
	h[name] = []string{strings.Join(append(h[name], host), ", ")}
}

// parse reads what the module is told of a request.
func (f *Front) parse(hr *http.Request, target service.Target) (*core.Request, *complaint) {
	number, ok := target.Pool.Class(target.Class)
	if !ok {
		return nil, &complaint{http.StatusNotFound, "unknown class"}
	}
	class := &target.Classes()[number]
	q := &core.Request{Class: number}
	if _, rest, _ := strings.Cut(strings.TrimPrefix(hr.URL.EscapedPath(), "/"), "/"); rest != "" {
		q.Key = keyOf(rest[strings.LastIndexByte(rest, '/')+1:])
	}
	if target.Plain {
		return f.plain(hr, target.Body, class, q)
	}
	keys, wantKeys := len(hr.Header["Idempotency-Key"]), 0
	method := http.MethodPost
	switch class.Idempotency {
	case decide.Idempotent:
		method, keys = http.MethodGet, 0 // a key changes nothing
	case decide.IdempotentWithKey:
		wantKeys = 1
	default:
		if target.Keyed != nil {
			keys = 0 // which this node keeps
		}
	}
	switch ms, err := strconv.ParseInt(hr.Header.Get("Req-Deadline-Ms"), 10, 64); {
	case hr.Method != method:
		return nil, &complaint{http.StatusMethodNotAllowed, "the class takes " + method}
	case keys != wantKeys:
		return nil, &complaint{http.StatusBadRequest, "Idempotency-Key contradicts the class"}
	case hr.ContentLength > target.Body:
		return nil, &complaint{http.StatusRequestEntityTooLarge, "body too long"}
	case method == http.MethodGet && hr.ContentLength > 0:
		return nil, &complaint{http.StatusBadRequest, "the class takes no body"}
	case len(hr.Header["Req-Id"]) != 1 || hr.Header.Get("Req-Id") == "":
		return nil, &complaint{http.StatusBadRequest, "not one Req-Id"}
	case err != nil || ms <= 0:
		return nil, &complaint{http.StatusBadRequest, "Req-Deadline-Ms is not a number above 0"}
	default:
		q.ClientRetry = hr.Header.Get("Req-Retry") == "1"
		if us, err := strconv.ParseFloat(hr.Header.Get("Req-Cost"), 64); err == nil && us > 0 && us < 1e9 {
			q.WorkHint = time.Duration(us * float64(time.Microsecond))
		}
		q.ID = hr.Header.Get("Req-Id")
		q.Timeout = patience(class, ms)
		return q, nil
	}
}

// patience is how long a client waits: no longer than its class does over all
// its tries.
func patience(class *decide.Class, ms int64) time.Duration {
	most := cmp.Or(class.Deadline, core.LongestWait)
	return min(time.Duration(min(ms, most.Milliseconds()+1))*time.Millisecond, most)
}

// plain reads a request of HTTP at large: its method says what it is, it needs no
// name, and its client waits as long as its class does unless it says otherwise.
func (f *Front) plain(hr *http.Request, most int64, class *decide.Class, q *core.Request) (*core.Request, *complaint) {
	reads := hr.Method == http.MethodGet || hr.Method == http.MethodHead || hr.Method == http.MethodOptions
	switch {
	case hr.ContentLength > most:
		return nil, &complaint{http.StatusRequestEntityTooLarge, "body too long"}
	case hr.Method == http.MethodConnect || hr.Method == http.MethodTrace || hr.Header.Get("Upgrade") != "":
		return nil, &complaint{http.StatusNotImplemented, "no tunnels and no upgrades"}
	case class.Idempotency == decide.Idempotent && !reads:
		return nil, &complaint{http.StatusMethodNotAllowed, "the class takes GET, HEAD and OPTIONS"}
	case class.Idempotency == decide.IdempotentWithKey && len(hr.Header["Idempotency-Key"]) != 1:
		return nil, &complaint{http.StatusBadRequest, "the class wants one Idempotency-Key"}
	}
	q.ID = strconv.FormatUint(f.names.Add(1), 36)
	q.Timeout = cmp.Or(class.Deadline, core.LongestWait)
	if text := hr.Header.Get("Req-Deadline-Ms"); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 {
			return nil, &complaint{http.StatusBadRequest, "Req-Deadline-Ms is not a number above 0"}
		}
		q.Timeout = patience(class, ms)
	}
	return q, nil
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

// targetOf is path and query as the client wrote them, without the scheme and
// host of the absolute form.
func targetOf(hr *http.Request) string {
	uri := hr.RequestURI
	if _, rest, ok := strings.Cut(uri, "://"); ok && !strings.HasPrefix(uri, "/") {
		return rest[max(strings.IndexByte(rest, '/'), 0):]
	}
	return uri
}

// statuses of answers that no server gave.
var statuses = map[core.Status]int{core.Rejected: http.StatusServiceUnavailable, core.Failed: http.StatusBadGateway}

// answer gives the client its final answer.
func (f *Front) answer(w http.ResponseWriter, fin core.Final, plain bool) {
	h := w.Header()
	if f.draining.Load() {
		h.Set("Connection", "close")
	}
	if fin.Answer == nil {
		own(w, statuses[fin.Status], fin.RetryAfter, plain)
		return
	}
	for k, v := range fin.Answer.Header {
		h[k] = v
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // the server gave none, and none is guessed
	}
	if fin.Answer.Length >= 0 && fin.Answer.Code != http.StatusNoContent && fin.Answer.Code != http.StatusNotModified {
		h.Set("Content-Length", strconv.FormatInt(fin.Answer.Length, 10))
	}
	w.WriteHeader(fin.Answer.Code)
	_, err := w.Write(fin.Answer.Body)
	if fin.Answer.Rest == nil {
		return
	}
	defer fin.Answer.Rest.Close()
	if err == nil {
		err = relay(w, fin.Answer.Rest)
	}
	if err != nil { // the client is to see that it is not whole
		panic(http.ErrAbortHandler)
	}
}

// refuse answers what was not let in. Nothing of it has run.
func (f *Front) refuse(w http.ResponseWriter, name string, err error, plain bool) {
	var r *service.Refusal
	if !errors.As(err, &r) {
		r = &service.Refusal{}
	}
	f.log.Debug("a request is refused ahead of its pool", "request", name, "reason", string(r.Reason), "err", err)
	status := http.StatusServiceUnavailable
	if r.Tenant {
		status = http.StatusTooManyRequests
	}
	own(w, status, r.RetryAfter, plain)
}

// retryAfter tells when to come back. The platform's protocol takes decimals, since whole
// seconds are longer than most aims; HTTP at large does not.
func retryAfter(w http.ResponseWriter, wait time.Duration, plain bool) {
	digits, seconds := 3, wait.Seconds()
	if plain {
		digits, seconds = 0, math.Ceil(seconds)
	}
	if seconds > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(seconds, 'f', digits, 64))
	}
}

// own gives an answer of the node's own, and when to come back, if above 0.
func own(w http.ResponseWriter, status int, wait time.Duration, plain bool) {
	retryAfter(w, wait, plain)
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}
