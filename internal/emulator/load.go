package emulator

import (
	"bytes"
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

// Kind is one kind of request that clients send.
type Kind struct {
	Class    string // for the tally
	Path     string // to which a key is added
	Method   string
	Share    float64       // of the load
	Work     time.Duration // mean; each request's own is exponential about it
	Aim      time.Duration // after which an answer is late
	Deadline time.Duration // after which the client gives up
	Keyed    bool          // carries an Idempotency-Key
	Body     int           // bytes
}

// Load is an open-loop load: requests come when they come, whatever becomes of
// those before. Arrivals, kinds, work and keys are drawn from the seed alone.
type Load struct {
	Addr    string // the node's
	Host    string
	Rate    float64 // requests a second, in all
	For     time.Duration
	Seed    uint64
	Kinds   []Kind
	Keys    int // how many distinct ones; 0 stands for 1,000
	Retries int // of a refused or failed try, as the kind allows
	// Patience is the part of the time left that a client gives one try; 0 stands
	// for all of it.
	Patience float64
	Tenants  map[string]int // by weight; sent as Req-Owner
	Prefix   string         // of ids, which are new with every try
}

// Result is how one request ended for its client.
type Result uint8

// Late is an answer after the aim. Lost stands for no final answer at all, Wrong
// for the answer to something else.
const (
	InTime Result = iota
	Late
	Refused
	Failed
	Lost
	Wrong
	results
)

var resultNames = [...]string{"in time", "late", "refused", "failed", "lost", "wrong"}

func (r Result) String() string { return resultNames[r] }

// Tally is what became of a load's requests of one class.
type Tally struct {
	Asked   int
	Ends    [results]int
	Tries   int
	Latency []time.Duration // of whole answers, sorted once the load is over
}

// Missed is the share of requests without an answer within their aim.
func (t *Tally) Missed() float64 {
	if t.Asked == 0 {
		return 0
	}
	return 1 - float64(t.Ends[InTime])/float64(t.Asked)
}

// Quantile is a quantile of the latencies of answers, 0 where there were none.
func (t *Tally) Quantile(q float64) time.Duration {
	if len(t.Latency) == 0 {
		return 0
	}
	return t.Latency[min(int(q*float64(len(t.Latency))), len(t.Latency)-1)]
}

// Add adds another tally. The latencies must be sorted anew before quantiles.
func (t *Tally) Add(o *Tally) {
	t.Asked += o.Asked
	t.Tries += o.Tries
	for i := range o.Ends {
		t.Ends[i] += o.Ends[i]
	}
	t.Latency = append(t.Latency, o.Latency...)
	slices.Sort(t.Latency)
}

// Running is a load on its way.
type Running struct {
	Sent, Ended atomic.Int64

	l       *Load
	client  *http.Transport
	mu      sync.Mutex
	tallies map[string]*Tally
	enough  chan struct{}
	stop    sync.Once
	done    chan struct{}
}

// Stop sends nothing more. What has been sent ends as it would have.
func (r *Running) Stop() { r.stop.Do(func() { close(r.enough) }) }

// Start sends the load. It ends by itself, with its last answer, or when ctx does.
func (l *Load) Start(ctx context.Context) *Running {
	r := &Running{
		l: l, tallies: make(map[string]*Tally), enough: make(chan struct{}), done: make(chan struct{}),
		client: &http.Transport{
			DialContext:        (&net.Dialer{Timeout: 5 * time.Second, KeepAlive: -1}).DialContext,
			DisableCompression: true, MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Second,
		},
	}
	for _, k := range l.Kinds {
		r.tallies[k.Class] = &Tally{}
	}
	go r.run(ctx)
	return r
}

// Wait waits for the end and gives the tallies by class.
func (r *Running) Wait() map[string]*Tally {
	<-r.done
	return r.tallies
}

// order is one request as drawn.
type order struct {
	n      int
	kind   *Kind
	at     time.Duration
	work   time.Duration
	key    string
	tenant string
}

// draw draws the requests in the order of their arrival.
func (l *Load) draw(each func(order) bool) {
	rng := rand.New(rand.NewPCG(l.Seed, 1))
	var share float64
	for i := range l.Kinds {
		share += l.Kinds[i].Share
	}
	var tenants []string
	for name, weight := range l.Tenants {
		for range weight {
			tenants = append(tenants, name)
		}
	}
	slices.Sort(tenants)
	keys := max(l.Keys, 1)
	if l.Keys == 0 {
		keys = 1000
	}
	for o := (order{}); ; o.n++ {
		o.at += time.Duration(rng.ExpFloat64() / l.Rate * float64(time.Second))
		if o.at >= l.For {
			return
		}
		at := rng.Float64() * share
		for i := range l.Kinds {
			o.kind = &l.Kinds[i]
			if at -= o.kind.Share; at < 0 {
				break
			}
		}
		o.work = time.Duration(rng.ExpFloat64() * float64(o.kind.Work))
		o.key = strconv.Itoa(rng.IntN(keys))
		if len(tenants) > 0 {
			o.tenant = tenants[rng.IntN(len(tenants))]
		}
		if !each(o) {
			return
		}
	}
}

func (r *Running) run(ctx context.Context) {
	defer close(r.done)
	defer r.client.CloseIdleConnections()
	var all sync.WaitGroup
	began := time.Now()
	r.l.draw(func(o order) bool {
		select {
		case <-time.After(time.Until(began.Add(o.at))):
		case <-r.enough:
			return false
		case <-ctx.Done():
			return false
		}
		r.Sent.Add(1)
		all.Go(func() {
			r.request(ctx, o)
			r.Ended.Add(1)
		})
		return true
	})
	all.Wait()
	for _, t := range r.tallies {
		slices.Sort(t.Latency)
	}
}

// request is one client's request with its retries.
func (r *Running) request(ctx context.Context, o order) {
	began := time.Now()
	ctx, cancel := context.WithDeadline(ctx, began.Add(o.kind.Deadline))
	defer cancel()
	var end Result
	tries := 0
	for {
		tries++
		var after time.Duration
		end, after = r.try(ctx, o, tries, began)
		again := end == Refused || (end == Failed || end == Lost) && (o.kind.Keyed || o.kind.Method == http.MethodGet)
		if !again || tries > r.l.Retries {
			break
		}
		select {
		case <-time.After(after):
			continue
		case <-ctx.Done():
		}
		break
	}
	took := time.Since(began)
	if end == InTime && took > o.kind.Aim {
		end = Late
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tallies[o.kind.Class]
	t.Asked++
	t.Tries += tries
	t.Ends[end]++
	if end == InTime || end == Late {
		t.Latency = append(t.Latency, took)
	}
}

// try sends one try and judges its answer.
func (r *Running) try(ctx context.Context, o order, n int, began time.Time) (Result, time.Duration) {
	id := fmt.Sprintf("%s%x-%d-%d", r.l.Prefix, r.l.Seed, o.n, n)
	body := strings.Repeat("x", o.kind.Body)
	req, err := http.NewRequestWithContext(ctx, o.kind.Method, "http://"+r.l.Addr+o.kind.Path+o.key, bytes.NewReader([]byte(body)))
	if err != nil {
		return Lost, 0
	}
	if r.l.Host != "" {
		req.Host = r.l.Host
	}
	req.GetBody = nil // what has gone out is never sent again unseen
	left := time.Until(began.Add(o.kind.Deadline))
	if r.l.Patience > 0 {
		left = time.Duration(r.l.Patience * float64(left))
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, left)
		defer cancel()
		req = req.WithContext(ctx)
	}
	for k, v := range map[string]string{
		"Req-Id": id, "Req-Owner": o.tenant, "Req-Deadline-Ms": strconv.FormatInt(max(left.Milliseconds(), 1), 10),
		"Req-Cost": strconv.FormatInt(o.work.Microseconds(), 10),
	} {
		req.Header.Set(k, v)
	}
	if o.kind.Keyed {
		req.Header.Set("Idempotency-Key", fmt.Sprintf("%s%x-k%d", r.l.Prefix, r.l.Seed, o.n))
	}
	if n > 1 {
		req.Header.Set("Req-Retry", "1")
	}
	resp, err := r.client.RoundTrip(req)
	if err != nil {
		if ctx.Err() != nil {
			return Failed, 0 // its time is up
		}
		return Lost, 0
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	switch {
	case err != nil && ctx.Err() != nil:
		return Failed, 0
	case err != nil:
		return Lost, 0
	case resp.StatusCode == http.StatusTooManyRequests, resp.StatusCode == http.StatusServiceUnavailable:
		s, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		return Refused, time.Duration(s * float64(time.Second))
	case resp.StatusCode != http.StatusOK:
		return Failed, 0
	case string(got) != id+" "+body:
		return Wrong, 0
	}
	return InTime, 0
}
