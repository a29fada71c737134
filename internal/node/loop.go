package node

import (
	"context"
	"errors"
	"hash/fnv"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"jasperpin/decide"
)

// Why an attempt was given up.
var (
	errTimedOut  = errors.New("the attempt's time is over")
	errCancelled = errors.New("called off")
	errStalled   = errors.New("no progress")
)

// longestWait bounds the deadlines taken where the class tells none, and so how
// long a timer may be kept.
const longestWait = time.Minute

// final is the answer to a client: a server's, or the node's own status.
type final struct {
	status     int
	retryAfter time.Duration // told with a refusal, if above 0
	answer     *answer
}

// request is a client's request from its last byte to its end.
type request struct {
	id       decide.RequestID
	method   string
	target   string // path and query as they came
	host     string
	header   http.Header
	reqID    string // the client's name for it
	body     []byte
	due      time.Duration
	attempts []*attempt
	out      int        // attempts without an outcome
	settled  bool       // answered, or its client is gone: nothing more is owed
	final    chan final // holds one
}

// attempt is one send of a request to a server.
type attempt struct {
	n      int
	req    *request
	srv    *server
	wait   time.Duration
	ctx    context.Context
	giveUp context.CancelCauseFunc
	timer  *time.Timer
	ended  bool // its outcome has been told
}

// loop owns the Balancer. Every event enters through do, under one lock, and the
// module's effects are carried out once the lock is free again. It alone sees to
// it that a request gets one final answer and an attempt one outcome.
type loop struct {
	cfg   *Config
	log   *slog.Logger
	start time.Time
	pool  *pool
	watch chan struct{} // the module's orders to watch discovery

	mu      sync.Mutex
	b       *decide.Balancer
	todo    []func()
	reqs    map[decide.RequestID]*request
	open    map[string]bool // the clients' names of reqs
	last    decide.RequestID
	servers map[string]*server
	byID    map[decide.ServerID]*server
	endBy   time.Duration // no deadline lies later, where a drain has begun
}

func newLoop(cfg *Config, log *slog.Logger) *loop {
	l := &loop{
		cfg: cfg, log: log, start: time.Now(), pool: newPool(cfg), watch: make(chan struct{}, 1),
		reqs: make(map[decide.RequestID]*request), open: make(map[string]bool), servers: make(map[string]*server), byID: make(map[decide.ServerID]*server),
	}
	l.do(func(now time.Duration) { l.b = decide.New(cfg.Settings, cfg.Seed, now, l) })
	l.listed(decide.ListCached, cfg.Known.hosts)
	return l
}

// since puts a moment on the module's clock: Unix time, so that born_ms needs no
// conversion, but monotonic, so that a step of the wall clock moves no deadline.
func (l *loop) since(t time.Time) time.Duration {
	return time.Duration(l.start.UnixNano()) + t.Sub(l.start)
}

// do feeds the Balancer one event and carries out what it decided.
func (l *loop) do(event func(now time.Duration)) {
	l.mu.Lock()
	event(l.since(time.Now()))
	todo := l.todo
	l.todo = nil
	l.mu.Unlock()
	for _, f := range todo {
		f()
	}
}

func (l *loop) later(f func()) { l.todo = append(l.todo, f) }

// arrive hands a whole request to the module. Its answer comes on r.final. It
// says false where a request under the same name is open: names are new with
// every request, servers and clients tell answers apart by them, and one that is
// used twice is somebody else's.
func (l *loop) arrive(r *request, q decide.Request, wait time.Duration, at time.Time) bool {
	taken := false
	r.final = make(chan final, 1)
	l.do(func(time.Duration) {
		if l.open[r.reqID] {
			return
		}
		taken = true
		l.open[r.reqID] = true
		for l.last++; l.reqs[l.last] != nil; l.last++ {
		}
		r.id, r.due = l.last, l.since(at)+wait
		if l.endBy > 0 {
			r.due = min(r.due, l.endBy)
		}
		l.reqs[r.id] = r
		q.ID, q.Due = r.id, r.due
		// The module's clock never runs back, and a request that waited to be read
		// has its true deadline all the same.
		l.b.Arrive(l.since(time.Now()), q)
	})
	return taken
}

// clientGone ends a request that nobody waits for any more.
func (l *loop) clientGone(r *request) {
	l.do(func(now time.Duration) {
		r.settled = true
		l.b.ClientGone(now, r.id)
		l.release(r)
	})
}

// end tells the module an attempt's outcome. The first that is served settles
// its request and goes to the client.
func (l *loop) end(a *attempt, result decide.Result, ans *answer) {
	l.do(func(now time.Duration) {
		r := a.req
		if a.ended {
			return
		}
		a.ended = true
		r.out--
		if result == decide.OK && !r.settled {
			r.settled = true
			r.final <- final{status: http.StatusOK, answer: ans}
		}
		l.b.Finished(now, decide.Outcome{ID: r.id, Attempt: a.n, Result: result, Settled: r.settled})
		l.release(r)
	})
	a.giveUp(nil)
	a.timer.Stop()
}

// release forgets a request that owes nothing and waits for nothing.
func (l *loop) release(r *request) {
	if r.settled && r.out == 0 && l.reqs[r.id] == r {
		delete(l.reqs, r.id)
		delete(l.open, r.reqID)
	}
}

// drainBy moves all later deadlines forward: the process ends by then.
func (l *loop) drainBy(t time.Time) {
	l.do(func(time.Duration) { l.endBy = l.since(t) })
}

// listed takes news of the servers.
func (l *loop) listed(kind decide.ListKind, hosts []entry) {
	l.do(func(now time.Duration) {
		news := make([]decide.Server, 0, len(hosts))
		named := make(map[string]bool, len(hosts))
		for i := range hosts {
			e := &hosts[i]
			named[e.Host] = true
			s := l.servers[e.Host]
			if e.condition() == decide.Gone && s == nil {
				continue
			}
			if s == nil {
				s = &server{id: l.newID(e.Host), addr: e.Dial, born: e.BornMS}
				l.servers[e.Host], l.byID[s.id] = s, s
			}
			if e.condition() != decide.Ready || e.BornMS != s.born || e.Dial != s.addr {
				// Idle connections to a process that is gone, leaving or elsewhere
				// would only end the next attempt in a reset.
				l.later(func() { l.pool.leave(s) })
			}
			s.born = e.BornMS
			if e.Dial != "" {
				s.addr = e.Dial
			}
			news = append(news, decide.Server{
				ID: s.id, Zone: l.cfg.zone(e.Site), Cell: e.Block, Condition: e.condition(), Scale: e.Share,
				Since: time.Duration(e.BornMS * float64(time.Millisecond)),
			})
		}
		l.b.Listed(now, kind, news)
		for name, s := range l.servers {
			whole := kind == decide.ListFull || kind == decide.ListCached
			if whole && !named[name] {
				l.drop(name, s)
			}
		}
		for i := range hosts {
			if s := l.servers[hosts[i].Host]; s != nil && hosts[i].condition() == decide.Gone {
				l.drop(hosts[i].Host, s)
			}
		}
	})
}

func (l *loop) drop(name string, s *server) {
	delete(l.servers, name)
	delete(l.byID, s.id)
	l.later(func() { l.pool.leave(s) })
}

// newID names a server to the module: a hash, so that all nodes keep a key on
// the same servers, and the next free number where two names meet.
func (l *loop) newID(host string) decide.ServerID {
	h := fnv.New32a()
	h.Write([]byte(host))
	id := decide.ServerID(h.Sum32())
	for l.byID[id] != nil {
		id++
	}
	return id
}

// Send, with the methods that follow, is decide.Effects; each is called under
// the lock.
func (l *loop) Send(id decide.RequestID, to decide.ServerID, timeout time.Duration) {
	r := l.reqs[id]
	if r == nil {
		return
	}
	wait := r.due - l.since(time.Now())
	if timeout != 0 {
		wait = min(wait, timeout)
	}
	a := &attempt{n: len(r.attempts), req: r, srv: l.byID[to], wait: wait}
	a.ctx, a.giveUp = context.WithCancelCause(context.Background())
	a.timer = time.AfterFunc(max(wait, 0), func() { a.giveUp(errTimedOut) })
	r.attempts = append(r.attempts, a)
	r.out++
	l.later(func() {
		if a.srv == nil || wait <= 0 || r.settled {
			l.end(a, decide.Moot, nil)
			return
		}
		go l.attempt(a)
	})
}

func (l *loop) Cancel(id decide.RequestID, n int) {
	if r := l.reqs[id]; r != nil && n >= 0 && n < len(r.attempts) {
		l.later(func() { r.attempts[n].giveUp(errCancelled) })
	}
}

func (l *loop) Refuse(id decide.RequestID, retryAfter time.Duration) {
	l.settle(id, final{status: http.StatusServiceUnavailable, retryAfter: retryAfter})
}

func (l *loop) Fail(id decide.RequestID) { l.settle(id, final{status: http.StatusBadGateway}) }

func (l *loop) settle(id decide.RequestID, fin final) {
	if r := l.reqs[id]; r != nil && !r.settled {
		r.settled = true
		r.final <- fin
		l.release(r)
	}
}

func (l *loop) Wake(token uint64, at time.Duration) {
	time.AfterFunc(at-l.since(time.Now()), func() {
		l.do(func(now time.Duration) { l.b.Timer(now, token) })
	})
}

func (l *loop) Watch(on bool) {
	if on {
		select {
		case l.watch <- struct{}{}:
		default: // an order already waits
		}
	}
}

func (l *loop) Log(text string) { l.later(func() { l.log.Info(text) }) }
