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

// dials is an upstream whose n-th attempt waits for its connection for so long, and then ends as told;
// without waits all are served at once.
type dials struct {
	waits []time.Duration
	ends  func(ctx context.Context, n int) decide.Result

	mu    sync.Mutex
	tries int
	begun []time.Time
}

func (d *dials) AddServer() Server { return d }
func (d *dials) Close()            {}
func (d *dials) Invalidate()       {}

func (d *dials) Send(ctx context.Context, _ string, _ *Message, on AttemptGate) (decide.Result, *Answer) {
	d.mu.Lock()
	n, waits := d.tries, d.waits
	d.tries++
	d.mu.Unlock()
	if waits == nil {
		on.Begin()
		return decide.OK, &Answer{Code: 200}
	}
	select {
	case <-time.After(waits[n]):
	case <-ctx.Done():
		return Outcome(ctx, true), nil
	}
	start, ok := on.Begin()
	if !ok {
		return decide.Abandoned, nil
	}
	d.mu.Lock()
	d.begun = append(d.begun, time.Now())
	d.mu.Unlock()
	if left := time.Until(start.WriteBy); left <= 0 || left > time.Second {
		return decide.OK, &Answer{Code: 599} // the test looks at it
	}
	return d.ends(ctx, n), nil
}

// TestRepeatsBeginInTheWindow has a repeat of a guarded request wait for its connection: while servers
// drop repeats for a second, none begins later, and the last byte of each may go out only until then.
func TestRepeatsBeginInTheWindow(t *testing.T) {
	const ms = time.Millisecond
	reset := func(context.Context, int) decide.Result { return decide.ConnectionReset }
	silent := func(ctx context.Context, _ int) decide.Result {
		<-ctx.Done()
		return Outcome(ctx, false)
	}
	full := func(context.Context, int) decide.Result { return decide.Overloaded }
	for name, c := range map[string]struct {
		waits []time.Duration
		ends  func(ctx context.Context, n int) decide.Result
		begun int
	}{
		"a retry within":              {[]time.Duration{0, 800 * ms, 5000 * ms}, reset, 2},
		"a retry behind":              {[]time.Duration{0, 1100 * ms, 5000 * ms}, reset, 1},
		"a copy within":               {[]time.Duration{0, 20 * ms, 5000 * ms}, silent, 2},
		"a copy behind":               {[]time.Duration{0, 200 * ms, 5000 * ms}, silent, 1},
		"the first begins late":       {[]time.Duration{30 * ms, 60 * ms, 5000 * ms}, silent, 2},
		"the first begins last":       {[]time.Duration{1000 * ms, 0, 5000 * ms}, silent, 2},
		"turned away, and late again": {[]time.Duration{0, 1150 * ms, 5000 * ms}, full, 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := &dials{ends: c.ends}
				p := NewPool(Settings{
					Balancer: decide.Settings{
						NodeCount: 1, MaxAttempts: 3, Hedging: true, CancelAttempts: true,
						Classes: []decide.Class{{Idempotency: decide.IdempotentWithKey, DedupWindow: time.Second, LatencyObjective: 1290 * ms, Deadline: 3 * time.Second, PriorityWeight: 1}},
					},
					Seed: 1, Upstream: d, Log: slog.New(slog.DiscardHandler),
				})
				defer p.Close()
				p.UpdateEndpoints(decide.UpdateFull, []Endpoint{
					{Name: "a", Addr: "a:1", State: decide.Ready, Capacity: 1},
					{Name: "b", Addr: "b:1", State: decide.Ready, Capacity: 1},
					{Name: "c", Addr: "c:1", State: decide.Ready, Capacity: 1},
				})
				for range 40 { // so that it knows how quick answers are
					x, err := p.Arrive(&Request{ID: "quick", ReceivedAt: time.Now(), Timeout: 2 * time.Second})
					if err != nil {
						t.Fatal(err)
					}
					<-x.Final()
					synctest.Wait()
				}
				d.waits, d.tries = c.waits, 0
				x, err := p.Arrive(&Request{ID: "r", ReceivedAt: time.Now(), Timeout: 2 * time.Second})
				if err != nil {
					t.Fatal(err)
				}
				if fin := only(t, x); fin.Answer != nil {
					t.Error("an attempt was given a time beyond the window")
				}
				d.mu.Lock()
				defer d.mu.Unlock()
				if len(d.begun) != c.begun {
					t.Errorf("%d attempts began, want %d: %v", len(d.begun), c.begun, d.begun)
				}
			})
		})
	}
}

// starts is an upstream that keeps what each attempt is held to.
type starts struct{ got chan AttemptDeadlines }

func (s *starts) AddServer() Server { return s }
func (s *starts) Close()            {}
func (s *starts) Invalidate()       {}

func (s *starts) Send(_ context.Context, _ string, _ *Message, on AttemptGate) (decide.Result, *Answer) {
	start, _ := on.Begin()
	s.got <- start
	return decide.OK, &Answer{Code: 200}
}

// TestDeadlineOfAStream has a request go out whose body still comes: its server is told no more
// than its client has from the last byte on.
func TestDeadlineOfAStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		up := &starts{got: make(chan AttemptDeadlines, 1)}
		p := NewPool(Settings{Upstream: up, Balancer: decide.Settings{NodeCount: 1, MaxAttempts: 1, Classes: []decide.Class{{PriorityWeight: 1}}}})
		defer p.Close()
		p.UpdateEndpoints(decide.UpdateFull, []Endpoint{{Name: "s", Addr: "a:1", State: decide.Ready, Capacity: 1}})
		q := &Request{ID: "1", ReceivedAt: time.Now(), Timeout: time.Second}
		q.Rest = io.NopCloser(strings.NewReader(""))
		if _, err := p.Arrive(q); err != nil {
			t.Fatal(err)
		}
		if left := (<-up.got).Remaining(); left > time.Second {
			t.Errorf("it is told %v", left)
		}
	})
}

// TestUnseenClientIsRefused has a request's client be hidden behind what it has sent as an attempt is to
// begin: none does, and the request is refused, which is true.
func TestUnseenClientIsRefused(t *testing.T) {
	up := &starts{got: make(chan AttemptDeadlines, 1)}
	p := NewPool(Settings{Upstream: up, Balancer: decide.Settings{NodeCount: 1, MaxAttempts: 3, Classes: []decide.Class{{Idempotency: decide.NotIdempotent, LatencyObjective: time.Minute, Deadline: time.Minute, PriorityWeight: 1}}}})
	defer p.Close()
	p.UpdateEndpoints(decide.UpdateFull, []Endpoint{{Name: "s", Addr: "a:1", State: decide.Ready, Capacity: 1}, {Name: "t", Addr: "a:2", State: decide.Ready, Capacity: 1}})
	x, err := p.Arrive(&Request{ID: "1", ReceivedAt: time.Now(), Timeout: time.Minute, Presence: func() ClientPresence { return ClientUnknown }})
	if err != nil {
		t.Fatal(err)
	}
	if fin := <-x.Final(); fin.Status != Rejected {
		t.Errorf("it ended with %v", fin.Status)
	}
	if start := <-up.got; !start.WriteBy.IsZero() {
		t.Errorf("an attempt began: %+v", start)
	}
	select {
	case start := <-up.got:
		t.Errorf("another attempt began: %+v", start)
	default:
	}
}
