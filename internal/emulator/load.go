package emulator

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// RequestKind is a kind of requests that clients send.
type RequestKind struct {
	Class            string // for the tally
	Path             string // a key is appended to it
	Method           string
	Weight           float64       // weight among the load's kinds
	Work             time.Duration // mean; a request's own is exponentially distributed
	LatencyObjective time.Duration // an answer after it is late
	Deadline         time.Duration // after which the client gives up
	Keyed            bool          // carries an Idempotency-Key
	BodyBytes        int           // bytes
}

// Load is an open-loop load: requests are sent at their times, whatever has become of earlier ones.
// Arrivals, kinds, work and keys are drawn from the seed alone.
type Load struct {
	Addr     string  // the node's
	Host     string  // header; "" for Addr
	Rate     float64 // requests a second, of all kinds
	Duration time.Duration
	Seed     uint64
	Kinds    []RequestKind
	Keys     int // how many distinct ones; 0 stands for defaultKeys
	Retries  int // of a rejected or failed attempt, where the kind allows them
	// Patience is the share of the time until the deadline that a client gives one attempt; 0 stands for
	// all of it.
	Patience float64
	Tenants  map[string]int // weights by name; sent as Req-Owner
	IDPrefix string         // of request ids, which are new with every attempt
}

const (
	defaultKeys         = 1000
	loadDialTimeout     = 5 * time.Second
	loadIdleConnTimeout = time.Second
	loadIdleConns       = 64
)

// Running is a load that is being sent. It has a goroutine for the load and one for each request, all of
// which end before Wait returns.
type Running struct {
	Sent, Ended atomic.Int64 // requests

	load      *Load
	transport *http.Transport
	stopOnce  sync.Once
	stopped   chan struct{} // closed by Stop
	done      chan struct{} // closed once all requests have ended

	mu      sync.Mutex
	tallies map[string]*Tally // by class; the map itself does not change
}

// Start begins to send the load. It ends with its last answer, or when ctx does.
func (l *Load) Start(ctx context.Context) *Running {
	r := &Running{
		load: l, tallies: make(map[string]*Tally), stopped: make(chan struct{}), done: make(chan struct{}),
		transport: &http.Transport{
			DialContext:        (&net.Dialer{Timeout: loadDialTimeout, KeepAlive: -1}).DialContext,
			DisableCompression: true, MaxIdleConnsPerHost: loadIdleConns, IdleConnTimeout: loadIdleConnTimeout,
		},
	}
	for _, k := range l.Kinds {
		r.tallies[k.Class] = &Tally{}
	}
	go r.run(ctx)
	return r
}

// Stop sends no further requests. Those that were sent end as they would have.
func (r *Running) Stop() { r.stopOnce.Do(func() { close(r.stopped) }) }

// Wait waits for the end and returns the tallies by class.
func (r *Running) Wait() map[string]*Tally {
	<-r.done
	return r.tallies
}

// drawnRequest is a request as it is drawn from the seed.
type drawnRequest struct {
	number int
	kind   *RequestKind
	at     time.Duration // since the start of the load
	work   time.Duration
	key    string
	tenant string
}

// draw draws the requests in order of their arrival, until the end of the load or until each returns false.
// The order of the draws decides which load a seed stands for.
func (l *Load) draw(each func(drawnRequest) bool) {
	random := rand.New(rand.NewPCG(l.Seed, 1))
	tenants := l.weightedTenants()
	keys := max(l.Keys, 1)
	if l.Keys == 0 {
		keys = defaultKeys
	}
	var shares float64
	for i := range l.Kinds {
		shares += l.Kinds[i].Weight
	}
	for q := (drawnRequest{}); ; q.number++ {
		q.at += time.Duration(random.ExpFloat64() / l.Rate * float64(time.Second))
		if q.at >= l.Duration {
			return
		}
		q.kind = l.kindAt(random.Float64() * shares)
		q.work = time.Duration(random.ExpFloat64() * float64(q.kind.Work))
		q.key = strconv.Itoa(random.IntN(keys))
		if len(tenants) > 0 {
			q.tenant = tenants[random.IntN(len(tenants))]
		}
		if !each(q) {
			return
		}
	}
}

// weightedTenants lists each tenant as often as its weight says.
func (l *Load) weightedTenants() []string {
	var tenants []string
	for name, weight := range l.Tenants {
		for range weight {
			tenants = append(tenants, name)
		}
	}
	slices.Sort(tenants)
	return tenants
}

// kindAt is the kind at a point of the line on which each kind takes its share.
func (l *Load) kindAt(point float64) *RequestKind {
	var kind *RequestKind
	for i := range l.Kinds {
		kind = &l.Kinds[i]
		if point -= kind.Weight; point < 0 {
			break
		}
	}
	return kind
}

// run sends all requests at their times, and waits for them.
func (r *Running) run(ctx context.Context) {
	defer close(r.done)
	defer r.transport.CloseIdleConnections()
	var all sync.WaitGroup
	began := time.Now()
	r.load.draw(func(q drawnRequest) bool {
		select {
		case <-time.After(time.Until(began.Add(q.at))):
		case <-r.stopped:
			return false
		case <-ctx.Done():
			return false
		}
		r.Sent.Add(1)
		all.Go(func() {
			r.sendWithRetries(ctx, q)
			r.Ended.Add(1)
		})
		return true
	})
	all.Wait()
	for _, t := range r.tallies {
		slices.Sort(t.Latency)
	}
}

// sendWithRetries sends a request, as often as its client retries, and counts how it ended.
func (r *Running) sendWithRetries(ctx context.Context, q drawnRequest) {
	began := time.Now()
	ctx, cancel := context.WithDeadline(ctx, began.Add(q.kind.Deadline))
	defer cancel()
	var result Result
	attempts := 0
	for retry := true; retry; {
		attempts++
		var retryAfter time.Duration
		result, retryAfter = r.attempt(ctx, q, attempts, began)
		retry = q.kind.mayRetry(result) && attempts <= r.load.Retries && Sleep(ctx, retryAfter)
	}
	latency := time.Since(began)
	if result == InTime && latency > q.kind.LatencyObjective {
		result = Late
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tallies[q.kind.Class].count(result, attempts, latency)
}

// mayRetry reports whether a client may retry after a result.
func (k *RequestKind) mayRetry(result Result) bool {
	idempotent := k.Keyed || k.Method == http.MethodGet
	return result == Rejected || (result == Failed || result == Lost) && idempotent
}

// attempt sends a request once and judges its answer. It also returns the answer's Retry-After, or 0.
func (r *Running) attempt(ctx context.Context, q drawnRequest, number int, began time.Time) (Result, time.Duration) {
	left := time.Until(began.Add(q.kind.Deadline))
	if r.load.Patience > 0 {
		left = time.Duration(r.load.Patience * float64(left))
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, left)
		defer cancel()
	}
	id := fmt.Sprintf("%s%x-%d-%d", r.load.IDPrefix, r.load.Seed, q.number, number)
	body := strings.Repeat("x", q.kind.BodyBytes)
	req, err := r.newRequest(ctx, q, id, body)
	if err != nil {
		return Lost, 0
	}
	req.Header.Set("Req-Deadline-Ms", strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	if number > 1 {
		req.Header.Set("Req-Retry", "1")
	}
	resp, err := r.transport.RoundTrip(req)
	if err != nil {
		return withoutAnswer(ctx), 0
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return withoutAnswer(ctx), 0
	}
	switch {
	case resp.StatusCode == http.StatusTooManyRequests, resp.StatusCode == http.StatusServiceUnavailable:
		seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		return Rejected, time.Duration(seconds * float64(time.Second))
	case resp.StatusCode != http.StatusOK:
		return Failed, 0
	case string(answer) != id+" "+body:
		return Wrong, 0
	}
	return InTime, 0
}

// withoutAnswer is the result of an attempt that got no complete answer.
func withoutAnswer(ctx context.Context) Result {
	if ctx.Err() != nil {
		return Failed // its time is over
	}
	return Lost
}

// newRequest makes the HTTP request of an attempt.
func (r *Running) newRequest(ctx context.Context, q drawnRequest, id, body string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, q.kind.Method, "http://"+r.load.Addr+q.kind.Path+q.key, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // or the transport would resend it on another connection, unseen
	if r.load.Host != "" {
		req.Host = r.load.Host
	}
	req.Header.Set("Req-Id", id)
	req.Header.Set("Req-Owner", q.tenant)
	req.Header.Set("Req-Cost", strconv.FormatInt(q.work.Microseconds(), 10))
	if q.kind.Keyed {
		req.Header.Set("Idempotency-Key", fmt.Sprintf("%s%x-k%d", r.load.IDPrefix, r.load.Seed, q.number))
	}
	return req, nil
}
