package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/core"
)

// appliedBy is the maximum time until a change is applied, counted from when discovery had it and was reachable:
// the protocol counts a change as known after 6 s.
const appliedBy = 6*time.Second - 500*time.Millisecond

// behaviour is how a discovery service handles calls for a while. Open connections are not affected by a change of
// behaviour: a silent connection stays silent after discovery has recovered.
type behaviour int

const (
	serves        behaviour = iota
	refuses                 // refuses connections and ends watches
	rejects                 // answers 503 at once
	rejectsLate             // answers 503 after two seconds in a queue
	resets                  // closes the connection without an answer
	closesWatch             // closes the connection when the phase ends, without an answer
	timesOut                // new connections time out, and open ones become silent forever
	neverAnswers            // accepts calls and never answers
	sendsHalfHead           // sends half of a head, then nothing
	stopsMidway             // stops in the middle of the answer
	neverEnds               // sends an answer that never ends and has no long pause
	sendsNoList             // sends an answer that is not a list
	behaviourCount
)

func (b behaviour) String() string {
	return []string{"serves", "refuses", "rejects", "rejectsLate", "resets", "closesWatch", "timesOut", "neverAnswers", "sendsHalfHead", "stopsMidway", "neverEnds", "sendsNoList"}[b]
}

// phase is the behaviour of a discovery service from a time on.
type phase struct {
	from      time.Duration
	behaviour behaviour
}

// phasedDiscovery is a discovery service that goes through phases, in virtual time.
type phasedDiscovery struct {
	began       time.Time
	phases      []phase
	change      time.Duration // time at which the service's list changes
	answerDelay time.Duration // delay of the service's answers
	stop        chan struct{} // ends all calls
	serving     sync.WaitGroup
	mu          sync.Mutex
	calls       []time.Duration
}

func (d *phasedDiscovery) now() time.Duration { return time.Since(d.began) }

// phaseAt returns the phase at time t, and when it ends (an hour if it does not end).
func (d *phasedDiscovery) phaseAt(t time.Duration) (p phase, end time.Duration) {
	end = time.Hour
	for _, next := range d.phases {
		if next.from > t {
			return p, next.from
		}
		p = next
	}
	return p, end
}

// dial connects like a net.Dialer.
func (d *phasedDiscovery) dial(ctx context.Context) (net.Conn, error) {
	switch p, _ := d.phaseAt(d.now()); p.behaviour {
	case refuses:
		return nil, errors.New("connection refused")
	case timesOut:
		select {
		case <-time.After(maxDialTime): // the dialer detects the recovery only after its timeout
		case <-ctx.Done():
		}
		return nil, errors.New("connection timed out")
	}
	near, far := net.Pipe()
	d.serving.Go(func() { d.serve(far) })
	return near, nil
}

// wait waits for t. It returns false if the connection or the test ends first.
func (d *phasedDiscovery) wait(ended <-chan struct{}, t time.Duration) bool {
	select {
	case <-time.After(t):
		return true
	case <-ended:
	case <-d.stop:
	}
	return false
}

// serve handles the calls of one connection.
func (d *phasedDiscovery) serve(conn net.Conn) {
	defer conn.Close()
	calls, ended := make(chan *http.Request), make(chan struct{})
	d.serving.Go(func() {
		defer close(ended)
		for r := bufio.NewReader(conn); ; {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			select {
			case calls <- req:
			case <-d.stop:
				return
			}
		}
	})
	for {
		select {
		case req := <-calls:
			d.mu.Lock()
			d.calls = append(d.calls, d.now())
			d.mu.Unlock()
			if !d.answer(conn, req, ended) {
				conn.Close()
				<-ended
				return
			}
		case <-ended:
			return
		case <-d.stop:
			conn.Close()
			<-ended
			return
		}
	}
}

// headOK is the first line of an answer's head.
const headOK = "HTTP/1.1 200 OK\r\n"

// writeText writes text, and returns false if the connection has ended.
func writeText(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}

// list returns the version of the list at a time, and the body of the answer to a call with the version after.
func (d *phasedDiscovery) list(now time.Duration, after uint64) (version uint64, body string) {
	version, name := uint64(1), "before"
	if now >= d.change {
		version, name = 2, "after"
	}
	if after == version {
		return version, fmt.Sprintf(`{"seq":%d,"whole":false,"hosts":[]}`, version)
	}
	return version, fmt.Sprintf(`{"seq":%d,"whole":true,"hosts":[{"host":%q,"dial":"127.0.0.1:1","site":"a","health":"in_service","share":1,"born_ms":0}]}`, version, name)
}

// answer handles one call. It returns false if the connection ends.
func (d *phasedDiscovery) answer(conn net.Conn, r *http.Request, ended <-chan struct{}) bool {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	waited := d.now() + time.Duration(ms)*time.Millisecond
	for {
		now := d.now()
		p, end := d.phaseAt(now)
		version, body := d.list(now, after)
		whole := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", headOK, len(body), body)
		switch {
		case p.behaviour != serves:
			return d.fail(conn, ended, p.behaviour, end-now, whole[:len(whole)-len(body)/2])
		case after != version || now >= waited:
			return d.wait(ended, d.answerDelay) && writeText(conn, whole)
		}
		next := min(waited, end)
		if d.change > now {
			next = min(next, d.change)
		}
		if !d.wait(ended, next-now) {
			return false
		}
	}
}

// fail handles one call of a failing phase that ends after left; part is the beginning of a complete answer. It
// returns false if the connection ends.
func (d *phasedDiscovery) fail(conn net.Conn, ended <-chan struct{}, b behaviour, left time.Duration, part string) bool {
	switch b {
	case rejectsLate:
		if !d.wait(ended, 2*time.Second) {
			return false
		}
		fallthrough
	case rejects:
		return writeText(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	case closesWatch:
		d.wait(ended, left)
		return false
	case sendsNoList:
		return writeText(conn, headOK+"Content-Length: 4\r\n\r\nnone")
	case sendsHalfHead:
		writeText(conn, headOK)
	case stopsMidway:
		writeText(conn, part)
	case neverEnds:
		for text := headOK + "Content-Length: 99999\r\n\r\n"; writeText(conn, text) && d.wait(ended, 50*time.Millisecond); {
			text = " "
		}
		return false
	case neverAnswers, timesOut:
	default:
		return false
	}
	d.wait(ended, time.Hour)
	return false
}

// scenario is a deployment with two discovery services, their phases, and the settings of the node.
type scenario struct {
	poll           bool          // discovery is polled; otherwise an agent pushes
	period         time.Duration // poll period of the nodes
	nodes          int
	seed           uint64
	answerDelay    time.Duration
	phases         [2][]phase      // of each discovery service; the last phase of both is serves
	addressChanges []time.Duration // times at which the address changes to the other service, as on SIGHUP
	change         time.Duration
}

// recovery returns the time from which on the node's discovery service answers new calls.
func (s *scenario) recovery() (at time.Duration) {
	for _, phases := range s.phases {
		at = max(at, phases[len(phases)-1].from)
	}
	return at
}

// run runs a pool with its feed through the scenario, in virtual time. It returns when the change was applied, -1
// for never, and the times of the calls.
func (s *scenario) run(t *testing.T) (appliedAt time.Duration, calls []time.Duration) {
	synctest.Test(t, func(*testing.T) {
		began, stop := time.Now(), make(chan struct{})
		var services [2]*phasedDiscovery
		for i := range services {
			services[i] = &phasedDiscovery{began: began, phases: s.phases[i], change: s.change, answerDelay: s.answerDelay, stop: stop}
		}
		log := slog.New(slog.DiscardHandler)
		addrs := []string{"127.0.0.1:1", "127.0.0.1:2"}
		feed := NewFeed(FeedOptions{Discovery: addrs[0], Cached: List{Version: 1, Endpoints: []core.Endpoint{{Name: "before", Addr: "127.0.0.1:1", State: decide.Ready, Capacity: 1}}}, Poll: s.poll, Log: log})
		feed.watcher.client.DialContext = func(ctx context.Context, _, addr string) (net.Conn, error) {
			return services[slices.Index(addrs, addr)].dial(ctx)
		}
		pool := core.NewPool(core.Settings{
			Balancer: decide.Settings{PollDiscovery: s.poll, PollPeriod: s.period, NodeIndex: s.nodes - 1, NodeCount: s.nodes, ZoneCount: 1, Classes: []decide.Class{{Deadline: time.Second, LatencyObjective: time.Second}}},
			Seed:     s.seed,
			Upstream: fakeUpstream{}, WatchEndpoints: feed.StartWatch, Log: log,
		})
		appliedAt = -1
		n := feed.Start(func(kind decide.UpdateKind, hosts []core.Endpoint) {
			pool.UpdateEndpoints(kind, hosts)
			if appliedAt < 0 && slices.ContainsFunc(hosts, func(h core.Endpoint) bool { return h.Name == "after" }) {
				appliedAt = time.Since(began)
			}
		})
		for i, at := range s.addressChanges {
			time.Sleep(at - time.Since(began))
			feed.Reconfigure(nil, addrs[(i+1)%2])
		}
		time.Sleep(max(s.recovery(), s.change) + 30*time.Second - time.Since(began))
		feed.Unsubscribe(n)
		pool.Close()
		close(stop)
		for _, d := range services {
			d.serving.Wait()
			calls = append(calls, d.calls...)
		}
	})
	return appliedAt, calls
}

// fakeUpstream is an upstream that never sends requests.
type fakeUpstream struct{}

func (fakeUpstream) AddServer() core.Server { return fakeUpstream{} }
func (fakeUpstream) Close()                 {}
func (fakeUpstream) Invalidate()            {}
func (fakeUpstream) Send(context.Context, string, *core.Message, core.AttemptGate) (decide.Result, *core.Answer) {
	return decide.TimedOut, nil
}

// delay returns the time between when the change was available and when it was applied.
func (s *scenario) delay(appliedAt time.Duration) time.Duration {
	if appliedAt < 0 {
		return time.Hour
	}
	return appliedAt - max(s.recovery(), s.change)
}

// TestChangeIsAppliedAfterDiscoveryRecovers: discovery fails in one way for a while, or in two ways in turn, and
// recovers with a change, at various times relative to the node's calls. However the calls failed before, the node
// applies the change soon after the recovery, and a failing discovery service does not get too many calls.
func TestChangeIsAppliedAfterDiscoveryRecovers(t *testing.T) {
	t.Parallel()
	const down, steps = 4 * time.Second, 8
	for _, poll := range []bool{false, true} {
		for first := refuses; first < behaviourCount; first++ {
			worst := time.Duration(0)
			for _, second := range []behaviour{first, timesOut, neverAnswers} {
				for step := range steps {
					recovery := 12*time.Second + time.Duration(step)*1850*time.Millisecond
					tc := &scenario{poll: poll, period: 30 * time.Second, nodes: 300, seed: uint64(step), answerDelay: 300 * time.Millisecond, change: recovery}
					for i := range tc.phases {
						tc.phases[i] = []phase{{0, serves}, {down, first}, {recovery - 1500*time.Millisecond, second}, {recovery, serves}}
					}
					appliedAt, calls := tc.run(t)
					worst = max(worst, tc.delay(appliedAt))
					calls = slices.DeleteFunc(calls, func(at time.Duration) bool { return at < down || at >= recovery })
					if most := 3 + int((recovery-down)/(2*time.Second)); poll && len(calls) > most {
						t.Errorf("%v and then %v: %d calls within %v, want at most %d", first, second, len(calls), recovery-down, most)
					}
				}
			}
			if worst > appliedBy {
				t.Errorf("poll %t, %v: change applied %v after the recovery, want at most %v", poll, first, worst, appliedBy)
			}
		}
	}
}

// TestChangeIsAppliedAfterAnyFailures: two discovery services fail at random, and SIGHUP changes the address
// between them at random, until both serve. The change is applied soon after that.
func TestChangeIsAppliedAfterAnyFailures(t *testing.T) {
	t.Parallel()
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 0))
		span := func(least, most time.Duration) time.Duration {
			return least + time.Duration(rng.Int64N(int64(most-least)))
		}
		tc := &scenario{poll: rng.IntN(3) > 0, period: span(time.Second, time.Minute), nodes: 1 + rng.IntN(600), seed: seed, answerDelay: span(0, 400*time.Millisecond)}
		for i := range tc.phases {
			at := time.Duration(0)
			for range rng.IntN(5) {
				tc.phases[i] = append(tc.phases[i], phase{at, behaviour(rng.IntN(int(behaviourCount)))})
				at += span(10*time.Millisecond, 12*time.Second)
			}
			tc.phases[i] = append(tc.phases[i], phase{at, serves})
		}
		for at := span(0, 20*time.Second); at < tc.recovery() && rng.IntN(2) > 0; at += span(10*time.Millisecond, 9*time.Second) {
			tc.addressChanges = append(tc.addressChanges, at)
		}
		tc.change = tc.recovery()
		if rng.IntN(2) > 0 { // the change is before or after the recovery
			tc.change = max(0, tc.recovery()+span(-5*time.Second, 5*time.Second))
		}
		if appliedAt, calls := tc.run(t); tc.delay(appliedAt) > appliedBy {
			t.Errorf("applied %v after the change was available; scenario %+v, calls at %v", tc.delay(appliedAt), tc, calls)
		}
	}
}
