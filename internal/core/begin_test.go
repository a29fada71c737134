package core

import (
	"context"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"jasperpin/decide"
)

// delayedUpstream is an upstream whose n-th attempt waits for its connection for waits[n], and then ends with
// the result of ends. If waits is nil, all attempts are answered immediately.
type delayedUpstream struct {
	waits []time.Duration
	ends  func(ctx context.Context, n int) decide.Result

	mu       sync.Mutex
	attempts int
	begun    []time.Time
}

func (d *delayedUpstream) AddServer() Server { return d }
func (d *delayedUpstream) Close()            {}
func (d *delayedUpstream) Invalidate()       {}

func (d *delayedUpstream) Send(ctx context.Context, _ string, _ *Message, gate AttemptGate) (decide.Result, *Answer) {
	d.mu.Lock()
	n, waits := d.attempts, d.waits
	d.attempts++
	d.mu.Unlock()
	if waits == nil {
		gate.Begin()
		return decide.OK, &Answer{StatusCode: 200}
	}
	select {
	case <-time.After(waits[n]):
	case <-ctx.Done():
		return ResultWithoutAnswer(ctx, true), nil
	}
	start, ok := gate.Begin()
	if !ok {
		return decide.Abandoned, nil
	}
	d.mu.Lock()
	d.begun = append(d.begun, time.Now())
	d.mu.Unlock()
	if left := time.Until(start.WriteBy); left <= 0 || left > time.Second {
		return decide.OK, &Answer{StatusCode: 599} // the test reports it as an error
	}
	return d.ends(ctx, n), nil
}

// TestRepeatBeginsOnlyWithinDedupWindow: a retry or hedged request with an idempotency key waits for its
// connection. Servers remember keys for a second. No repeat may begin after that second, and the last byte of each
// repeat must be written within that second: the server would run a later repeat a second time.
func TestRepeatBeginsOnlyWithinDedupWindow(t *testing.T) {
	const millisecond = time.Millisecond
	reset := func(context.Context, int) decide.Result { return decide.ConnectionReset }
	silent := func(ctx context.Context, _ int) decide.Result {
		<-ctx.Done()
		return ResultWithoutAnswer(ctx, false)
	}
	decline := func(context.Context, int) decide.Result { return decide.Overloaded }
	for name, testCase := range map[string]struct {
		waits []time.Duration
		ends  func(ctx context.Context, n int) decide.Result
		begun int
	}{
		"retry within the window":       {[]time.Duration{0, 800 * millisecond, 5000 * millisecond}, reset, 2},
		"retry after the window":        {[]time.Duration{0, 1100 * millisecond, 5000 * millisecond}, reset, 1},
		"hedge within the window":       {[]time.Duration{0, 20 * millisecond, 5000 * millisecond}, silent, 2},
		"hedge after the window":        {[]time.Duration{0, 200 * millisecond, 5000 * millisecond}, silent, 1},
		"first attempt begins late":     {[]time.Duration{30 * millisecond, 60 * millisecond, 5000 * millisecond}, silent, 2},
		"first attempt begins last":     {[]time.Duration{1000 * millisecond, 0, 5000 * millisecond}, silent, 2},
		"declined, then late once more": {[]time.Duration{0, 1150 * millisecond, 5000 * millisecond}, decline, 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := &delayedUpstream{ends: testCase.ends}
				p := newKeyedPool(d)
				defer p.Close()
				recordLatency(t, p, 0)
				d.waits, d.attempts = testCase.waits, 0
				x, err := p.Submit(&Request{ID: "r", ReceivedAt: time.Now(), Timeout: 2 * time.Second})
				if err != nil {
					t.Fatal(err)
				}
				if fin := onlyAnswer(t, x); fin.Answer != nil {
					t.Error("an attempt's WriteBy is unset or after the end of the dedup window, want a time within the window")
				}
				d.mu.Lock()
				defer d.mu.Unlock()
				if len(d.begun) != testCase.begun {
					t.Errorf("%d attempts began, want %d; attempts that began: %v", len(d.begun), testCase.begun, d.begun)
				}
			})
		})
	}
}

// newKeyedPool returns a pool of three servers, which remember idempotency keys for a second.
func newKeyedPool(up Upstream) *Pool {
	p := NewPool(Settings{
		Balancer: decide.Settings{
			NodeCount: 1, MaxAttempts: 3, Hedging: true, CancelAttempts: true,
			Classes: []decide.Class{{Idempotency: decide.IdempotentWithKey, DedupWindow: time.Second, LatencyObjective: 1290 * time.Millisecond, Deadline: 3 * time.Second, PriorityWeight: 1}},
		},
		Seed: 1, Upstream: up, Log: slog.New(slog.DiscardHandler),
	})
	p.UpdateEndpoints(decide.UpdateFull, []Endpoint{
		{Name: "a", Addr: "a:1", State: decide.Ready, Capacity: 1},
		{Name: "b", Addr: "b:1", State: decide.Ready, Capacity: 1},
		{Name: "c", Addr: "c:1", State: decide.Ready, Capacity: 1},
	})
	return p
}

// latencySamples is the number of answers after which the Balancer knows the usual latency.
const latencySamples = 40

// recordLatency sends requests of a class until the Balancer knows the usual latency.
func recordLatency(t *testing.T, p *Pool, class int) {
	t.Helper()
	for range latencySamples {
		x, err := submit(p, "quick", class)
		if err != nil {
			t.Fatal(err)
		}
		<-x.Final()
		synctest.Wait()
	}
}

// recordingUpstream is an upstream that records the deadlines of each attempt.
type recordingUpstream struct{ got chan AttemptDeadlines }

func (s *recordingUpstream) AddServer() Server { return s }
func (s *recordingUpstream) Close()            {}
func (s *recordingUpstream) Invalidate()       {}

func (s *recordingUpstream) Send(_ context.Context, _ string, _ *Message, gate AttemptGate) (decide.Result, *Answer) {
	start, _ := gate.Begin()
	s.got <- start
	return decide.OK, &Answer{StatusCode: 200}
}

// TestServerTimeoutOfStreamedRequestIsBounded: a request is written while its body is still being received. Its
// client's timeout starts with the last byte, so that the server may be given at most the whole timeout.
func TestServerTimeoutOfStreamedRequestIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		up := &recordingUpstream{got: make(chan AttemptDeadlines, 1)}
		p := NewPool(Settings{Upstream: up, Balancer: decide.Settings{NodeCount: 1, MaxAttempts: 1, Classes: []decide.Class{{PriorityWeight: 1}}}})
		defer p.Close()
		p.UpdateEndpoints(decide.UpdateFull, []Endpoint{{Name: "s", Addr: "a:1", State: decide.Ready, Capacity: 1}})
		q := &Request{ID: "1", ReceivedAt: time.Now(), Timeout: time.Second}
		q.StreamedBody = io.NopCloser(strings.NewReader(""))
		if _, err := p.Submit(q); err != nil {
			t.Fatal(err)
		}
		if left := (<-up.got).Remaining(); left > time.Second {
			t.Errorf("the server's timeout is %v, want at most 1s", left)
		}
	})
}

// TestRequestWithUnknownPresenceIsRejected: when an attempt is about to begin, the node cannot determine whether
// the client still waits. No attempt begins, and the request is rejected and not failed, as it never ran.
func TestRequestWithUnknownPresenceIsRejected(t *testing.T) {
	up := &recordingUpstream{got: make(chan AttemptDeadlines, 1)}
	p := NewPool(Settings{Upstream: up, Balancer: decide.Settings{NodeCount: 1, MaxAttempts: 3, Classes: []decide.Class{{Idempotency: decide.NotIdempotent, LatencyObjective: time.Minute, Deadline: time.Minute, PriorityWeight: 1}}}})
	defer p.Close()
	p.UpdateEndpoints(decide.UpdateFull, []Endpoint{{Name: "s", Addr: "a:1", State: decide.Ready, Capacity: 1}, {Name: "t", Addr: "a:2", State: decide.Ready, Capacity: 1}})
	x, err := p.Submit(&Request{ID: "1", ReceivedAt: time.Now(), Timeout: time.Minute, Presence: func() ClientPresence { return ClientPresenceUnknown }})
	if err != nil {
		t.Fatal(err)
	}
	if fin := <-x.Final(); fin.Status != Rejected {
		t.Errorf("request ended with status %v, want %v", fin.Status, Rejected)
	}
	if start := <-up.got; !start.WriteBy.IsZero() {
		t.Errorf("an attempt began with %+v, want none to begin", start)
	}
	select {
	case start := <-up.got:
		t.Errorf("another attempt began with %+v, want none to begin", start)
	default:
	}
}
