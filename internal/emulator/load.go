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

// RequestKind describes one kind of request that a Load sends.
type RequestKind struct {
	Class            string // class under which the requests are counted
	Path             string // path prefix; a key is appended to it
	Method           string
	Weight           float64       // relative frequency among the kinds of the load
	Work             time.Duration // mean execution time at a server; execution times are exponentially distributed
	LatencyObjective time.Duration // a later answer counts as Late
	Deadline         time.Duration // the client cancels the request after this time
	Keyed            bool          // each request carries an Idempotency-Key
	BodyBytes        int           // size of the request body, in bytes
}

// Load is an open-loop load: each request is sent at its arrival time, whether or not earlier requests have ended.
// Arrival times, kinds, work and keys depend on the seed only.
type Load struct {
	Addr     string  // address of the node
	Host     string  // Host header; "" for Addr
	Rate     float64 // requests a second, over all kinds
	Duration time.Duration
	Seed     uint64
	Kinds    []RequestKind
	Keys     int // number of distinct keys; 0 for defaultKeys
	Retries  int // maximum number of client retries of a request whose result and kind permit one
	// AttemptTimeoutShare is the timeout of one attempt as a share of the remaining time; 0 for all of the
	// remaining time.
	AttemptTimeoutShare float64
	Tenants             map[string]int // weight of each tenant by its name, which is sent as Req-Owner
	IDPrefix            string         // prefix of request ids; each attempt has a new id
}

const (
	defaultKeys         = 1000
	loadDialTimeout     = 5 * time.Second
	loadIdleConnTimeout = time.Second
	loadIdleConns       = 64
)

// LoadRun is a load that is being sent. One goroutine sends the load, and one more runs for each request. All of
// them end before Wait returns.
type LoadRun struct {
	Sent, Ended atomic.Int64 // number of requests

	load      *Load
	transport *http.Transport
	stopOnce  sync.Once
	stopped   chan struct{} // closed by Stop
	done      chan struct{} // closed once all requests have ended

	mu      sync.Mutex
	tallies map[string]*Tally // tallies by class; the map itself does not change
}

// Start starts to send the load. The load ends when its last request has ended, or when ctx is done.
func (l *Load) Start(ctx context.Context) *LoadRun {
	r := &LoadRun{
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

// Stop stops sending requests. Requests in flight are not cancelled.
func (r *LoadRun) Stop() { r.stopOnce.Do(func() { close(r.stopped) }) }

// Wait waits until all requests have ended, and returns the tallies by class.
func (r *LoadRun) Wait() map[string]*Tally {
	<-r.done
	return r.tallies
}

// drawnRequest is a request that was drawn from the seed.
type drawnRequest struct {
	number int
	kind   *RequestKind
	at     time.Duration // arrival time, since the start of the load
	work   time.Duration
	key    string
	tenant string
}

// draw draws the requests in order of arrival and passes them to each, until the load's duration has passed or each
// returns false. A change to the order of the draws changes the load of every seed.
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
	for drawn := (drawnRequest{}); ; drawn.number++ {
		drawn.at += time.Duration(random.ExpFloat64() / l.Rate * float64(time.Second))
		if drawn.at >= l.Duration {
			return
		}
		drawn.kind = l.kindAt(random.Float64() * shares)
		drawn.work = time.Duration(random.ExpFloat64() * float64(drawn.kind.Work))
		drawn.key = strconv.Itoa(random.IntN(keys))
		if len(tenants) > 0 {
			drawn.tenant = tenants[random.IntN(len(tenants))]
		}
		if !each(drawn) {
			return
		}
	}
}

// weightedTenants lists each tenant as many times as its weight.
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

// kindAt returns the kind at a point of the interval from 0 to the sum of all weights, in which each kind occupies
// a part as long as its weight.
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

// run sends all requests at their arrival times, and waits until they have ended.
func (r *LoadRun) run(ctx context.Context) {
	defer close(r.done)
	defer r.transport.CloseIdleConnections()
	var all sync.WaitGroup
	began := time.Now()
	r.load.draw(func(drawn drawnRequest) bool {
		select {
		case <-time.After(time.Until(began.Add(drawn.at))):
		case <-r.stopped:
			return false
		case <-ctx.Done():
			return false
		}
		r.Sent.Add(1)
		all.Go(func() {
			r.sendWithRetries(ctx, drawn)
			r.Ended.Add(1)
		})
		return true
	})
	all.Wait()
	for _, t := range r.tallies {
		slices.Sort(t.Latency)
	}
}

// sendWithRetries sends a request, retries it as often as the load permits, and counts its result.
func (r *LoadRun) sendWithRetries(ctx context.Context, drawn drawnRequest) {
	began := time.Now()
	ctx, cancel := context.WithDeadline(ctx, began.Add(drawn.kind.Deadline))
	defer cancel()
	var last attemptResult
	attempts := 0
	for retry := true; retry; {
		attempts++
		last = r.attempt(ctx, drawn, attempts, began)
		retry = drawn.kind.mayRetry(last.result) && attempts <= r.load.Retries && Sleep(ctx, last.retryAfter)
	}
	latency := time.Since(began)
	if last.result == InTime && latency > drawn.kind.LatencyObjective {
		last.result = Late
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	tally := r.tallies[drawn.kind.Class]
	tally.count(last.result, attempts, latency)
	if last.result >= Failed {
		tally.Failures = append(tally.Failures, Failure{Result: last.result, Status: last.status, Began: began, Took: latency})
	}
}

// mayRetry reports whether a client may retry after a result.
func (k *RequestKind) mayRetry(result Result) bool {
	idempotent := k.Keyed || k.Method == http.MethodGet
	return result == Rejected || (result == Failed || result == Lost) && idempotent
}

// attemptResult is how an attempt ended.
type attemptResult struct {
	result     Result
	status     int           // of the answer; 0 without a complete one
	retryAfter time.Duration // Retry-After of a rejection; 0 without one
}

// attempt sends a request once.
func (r *LoadRun) attempt(ctx context.Context, drawn drawnRequest, number int, began time.Time) attemptResult {
	remaining := time.Until(began.Add(drawn.kind.Deadline))
	if r.load.AttemptTimeoutShare > 0 {
		remaining = time.Duration(r.load.AttemptTimeoutShare * float64(remaining))
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, remaining)
		defer cancel()
	}
	id := fmt.Sprintf("%s%x-%d-%d", r.load.IDPrefix, r.load.Seed, drawn.number, number)
	body := strings.Repeat("x", drawn.kind.BodyBytes)
	req, err := r.newRequest(ctx, drawn, id, body)
	if err != nil {
		return attemptResult{result: Lost}
	}
	req.Header.Set("Req-Deadline-Ms", strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	if number > 1 {
		req.Header.Set("Req-Retry", "1")
	}
	resp, err := r.transport.RoundTrip(req)
	if err != nil {
		return attemptResult{result: failureResult(ctx)}
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return attemptResult{result: failureResult(ctx)}
	}
	ended := attemptResult{result: InTime, status: resp.StatusCode}
	switch {
	case resp.StatusCode == http.StatusTooManyRequests, resp.StatusCode == http.StatusServiceUnavailable:
		seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		ended.result, ended.retryAfter = Rejected, time.Duration(seconds*float64(time.Second))
	case resp.StatusCode != http.StatusOK:
		ended.result = Failed
	case string(answer) != id+" "+body:
		ended.result = Wrong
	}
	return ended
}

// failureResult returns the result of an attempt without a complete response.
func failureResult(ctx context.Context) Result {
	if ctx.Err() != nil {
		return Failed // the request's deadline or timeout has passed
	}
	return Lost
}

// newRequest creates the HTTP request of an attempt.
func (r *LoadRun) newRequest(ctx context.Context, drawn drawnRequest, id, body string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, drawn.kind.Method, "http://"+r.load.Addr+drawn.kind.Path+drawn.key, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // otherwise the transport could resend the request on another connection without reporting it
	if r.load.Host != "" {
		req.Host = r.load.Host
	}
	req.Header.Set("Req-Id", id)
	req.Header.Set("Req-Owner", drawn.tenant)
	req.Header.Set("Req-Cost", strconv.FormatInt(drawn.work.Microseconds(), 10))
	if drawn.kind.Keyed {
		req.Header.Set("Idempotency-Key", fmt.Sprintf("%s%x-k%d", r.load.IDPrefix, r.load.Seed, drawn.number))
	}
	return req, nil
}
