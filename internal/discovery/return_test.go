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

// appliedBy is when a change has to be applied, from when discovery had it and could be reached: the protocol
// counts it as known after 6 s.
const appliedBy = 6*time.Second - 500*time.Millisecond

// behaviour is how a discovery treats calls for a while. Connections that were open stay as they are: one that
// fell silent stays so, also once discovery is back.
type behaviour int

const (
	serves   behaviour = iota
	refuses            // connections; watches end
	busy               // 503 at once
	queues             // 503 after two seconds in its queue
	resets             // the connection, without an answer
	ends               // a watch, cleanly, instead of answering
	vanished           // connections never come up, and open ones are silent for good
	mute               // a call is taken and never answered
	half               // of the head is the answer
	stops              // in the middle of the answer
	endless            // the answer never ends, and never pauses for long
	garbled            // the answer is no list
	behaviours
)

func (b behaviour) String() string {
	return []string{"serves", "refuses", "busy", "queues", "resets", "ends", "vanished", "mute", "half", "stops", "endless", "garbled"}[b]
}

// phase is a behaviour from some time on.
type phase struct {
	from      time.Duration
	behaviour behaviour
}

// phasedDiscovery is a discovery that goes through phases, in virtual time.
type phasedDiscovery struct {
	began  time.Time
	phases []phase
	change time.Duration // when its list changes
	late   time.Duration // what its answers take
	stop   chan struct{} // ends all calls
	served sync.WaitGroup
	mu     sync.Mutex
	calls  []time.Duration
}

func (d *phasedDiscovery) now() time.Duration { return time.Since(d.began) }

// at is the phase of a moment, and when it ends, if ever.
func (d *phasedDiscovery) at(t time.Duration) (p phase, end time.Duration) {
	end = time.Hour
	for _, next := range d.phases {
		if next.from > t {
			return p, next.from
		}
		p = next
	}
	return p, end
}

// dial connects as a net.Dialer would.
func (d *phasedDiscovery) dial(ctx context.Context) (net.Conn, error) {
	switch p, _ := d.at(d.now()); p.behaviour {
	case refuses:
		return nil, errors.New("connection refused")
	case vanished:
		select {
		case <-time.After(maxDialTime): // a connection that was tried before the return is tried again too late
		case <-ctx.Done():
		}
		return nil, errors.New("connection timed out")
	}
	near, far := net.Pipe()
	d.served.Go(func() { d.serve(far) })
	return near, nil
}

// wait waits, and returns false where the connection or the test ends first.
func (d *phasedDiscovery) wait(gone <-chan struct{}, t time.Duration) bool {
	select {
	case <-time.After(t):
		return true
	case <-gone:
	case <-d.stop:
	}
	return false
}

// serve answers the calls of one connection.
func (d *phasedDiscovery) serve(c net.Conn) {
	defer c.Close()
	calls, gone := make(chan *http.Request), make(chan struct{})
	d.served.Go(func() {
		defer close(gone)
		for r := bufio.NewReader(c); ; {
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
			if !d.answer(c, req, gone) {
				c.Close()
				<-gone
				return
			}
		case <-gone:
			return
		case <-d.stop:
			c.Close()
			<-gone
			return
		}
	}
}

// headOK is the beginning of an answer.
const headOK = "HTTP/1.1 200 OK\r\n"

// say writes text, and returns false where the connection has ended.
func say(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// list is the version of the list at a moment, and the body of the answer to a call that asks from a version.
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

// answer treats one call. It returns false where the connection ends.
func (d *phasedDiscovery) answer(c net.Conn, r *http.Request, gone <-chan struct{}) bool {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	waited := d.now() + time.Duration(ms)*time.Millisecond
	for {
		now := d.now()
		p, end := d.at(now)
		version, body := d.list(now, after)
		whole := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", headOK, len(body), body)
		switch {
		case p.behaviour != serves:
			return d.fail(c, gone, p.behaviour, end-now, whole[:len(whole)-len(body)/2])
		case after != version || now >= waited:
			return d.wait(gone, d.late) && say(c, whole)
		}
		next := min(waited, end)
		if d.change > now {
			next = min(next, d.change)
		}
		if !d.wait(gone, next-now) {
			return false
		}
	}
}

// fail treats one call of a phase that lasts for left; part is a part of a whole answer. It returns false where
// the connection ends.
func (d *phasedDiscovery) fail(c net.Conn, gone <-chan struct{}, b behaviour, left time.Duration, part string) bool {
	switch b {
	case queues:
		if !d.wait(gone, 2*time.Second) {
			return false
		}
		fallthrough
	case busy:
		return say(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	case ends:
		d.wait(gone, left)
		return false
	case garbled:
		return say(c, headOK+"Content-Length: 4\r\n\r\nnone")
	case half:
		say(c, headOK)
	case stops:
		say(c, part)
	case endless:
		for text := headOK + "Content-Length: 99999\r\n\r\n"; say(c, text) && d.wait(gone, 50*time.Millisecond); {
			text = " "
		}
		return false
	case mute, vanished:
	default:
		return false
	}
	d.wait(gone, time.Hour)
	return false
}

// plan is one deployment's two discoveries and their phases.
type plan struct {
	poll   bool          // discovery is polled; otherwise an agent pushes
	period time.Duration // within which the nodes poll
	nodes  int
	seed   uint64
	late   time.Duration
	phases [2][]phase      // of two discoveries; both serve from back on
	moves  []time.Duration // when SIGHUP goes over to the other one
	change time.Duration
}

// back is from when on new calls are served by the node's discovery.
func (p *plan) back() (at time.Duration) {
	for _, phases := range p.phases {
		at = max(at, phases[len(phases)-1].from)
	}
	return at
}

// play runs a pool with its feed through a plan, in virtual time. It returns when the change was applied, -1
// for never, and when calls were made.
func (p *plan) play(t *testing.T) (appliedAt time.Duration, calls []time.Duration) {
	synctest.Test(t, func(*testing.T) {
		began, stop := time.Now(), make(chan struct{})
		var sites [2]*phasedDiscovery
		for i := range sites {
			sites[i] = &phasedDiscovery{began: began, phases: p.phases[i], change: p.change, late: p.late, stop: stop}
		}
		log := slog.New(slog.DiscardHandler)
		addrs := []string{"127.0.0.1:1", "127.0.0.1:2"}
		f := NewFeed(FeedOptions{Discovery: addrs[0], Cached: List{Version: 1, Endpoints: []core.Endpoint{{Name: "before", Addr: "127.0.0.1:1", State: decide.Ready, Capacity: 1}}}, Poll: p.poll, Log: log})
		f.watcher.client.DialContext = func(ctx context.Context, _, addr string) (net.Conn, error) {
			return sites[slices.Index(addrs, addr)].dial(ctx)
		}
		pool := core.NewPool(core.Settings{
			Balancer: decide.Settings{PollDiscovery: p.poll, PollPeriod: p.period, NodeIndex: p.nodes - 1, NodeCount: p.nodes, ZoneCount: 1, Classes: []decide.Class{{Deadline: time.Second, LatencyObjective: time.Second}}},
			Seed:     p.seed,
			Upstream: fakeUpstream{}, WatchEndpoints: f.StartWatch, Log: log,
		})
		appliedAt = -1
		n := f.Start(func(kind decide.UpdateKind, hosts []core.Endpoint) {
			pool.UpdateEndpoints(kind, hosts)
			if appliedAt < 0 && slices.ContainsFunc(hosts, func(h core.Endpoint) bool { return h.Name == "after" }) {
				appliedAt = time.Since(began)
			}
		})
		for i, at := range p.moves {
			time.Sleep(at - time.Since(began))
			f.Reconfigure(nil, addrs[(i+1)%2])
		}
		time.Sleep(max(p.back(), p.change) + 30*time.Second - time.Since(began))
		f.Unsubscribe(n)
		pool.Close()
		close(stop)
		for _, d := range sites {
			d.served.Wait()
			calls = append(calls, d.calls...)
		}
	})
	return appliedAt, calls
}

// fakeUpstream is an upstream to which nothing is sent.
type fakeUpstream struct{}

func (fakeUpstream) AddServer() core.Server { return fakeUpstream{} }
func (fakeUpstream) Close()                 {}
func (fakeUpstream) Invalidate()            {}
func (fakeUpstream) Send(context.Context, string, *core.Message, core.AttemptGate) (decide.Result, *core.Answer) {
	return decide.TimedOut, nil
}

// lateness is how long after the change could be had it was applied.
func (p *plan) lateness(appliedAt time.Duration) time.Duration {
	if appliedAt < 0 {
		return time.Hour
	}
	return appliedAt - max(p.back(), p.change)
}

// TestChangeIsAppliedAfterDiscoveryReturns: discovery fails in one way for a while, or in two in turn, and
// returns with a change, at many moments of a node's rhythm of calls. However its calls failed before, the
// node applies the change soon after; and a discovery that is away is not flooded with calls.
func TestChangeIsAppliedAfterDiscoveryReturns(t *testing.T) {
	t.Parallel()
	const down, steps = 4 * time.Second, 8
	for _, poll := range []bool{false, true} {
		for first := refuses; first < behaviours; first++ {
			worst := time.Duration(0)
			for _, second := range []behaviour{first, vanished, mute} {
				for step := range steps {
					back := 12*time.Second + time.Duration(step)*1850*time.Millisecond
					p := &plan{poll: poll, period: 30 * time.Second, nodes: 300, seed: uint64(step), late: 300 * time.Millisecond, change: back}
					for i := range p.phases {
						p.phases[i] = []phase{{0, serves}, {down, first}, {back - 1500*time.Millisecond, second}, {back, serves}}
					}
					appliedAt, calls := p.play(t)
					worst = max(worst, p.lateness(appliedAt))
					calls = slices.DeleteFunc(calls, func(at time.Duration) bool { return at < down || at >= back })
					if most := 3 + int((back-down)/(2*time.Second)); poll && len(calls) > most {
						t.Errorf("%v and then %v: %d calls in %v, want at most %d", first, second, len(calls), back-down, most)
					}
				}
			}
			if worst > appliedBy {
				t.Errorf("polled %v, %v: applied %v after the return, want at most %v", poll, first, worst, appliedBy)
			}
		}
	}
}

// TestChangeIsAppliedAfterAnyFailures: two discoveries fail at random, and SIGHUP goes over from one to the
// other at random, until both serve. The change is applied soon after.
func TestChangeIsAppliedAfterAnyFailures(t *testing.T) {
	t.Parallel()
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 0))
		span := func(least, most time.Duration) time.Duration {
			return least + time.Duration(rng.Int64N(int64(most-least)))
		}
		p := &plan{poll: rng.IntN(3) > 0, period: span(time.Second, time.Minute), nodes: 1 + rng.IntN(600), seed: seed, late: span(0, 400*time.Millisecond)}
		for i := range p.phases {
			at := time.Duration(0)
			for range rng.IntN(5) {
				p.phases[i] = append(p.phases[i], phase{at, behaviour(rng.IntN(int(behaviours)))})
				at += span(10*time.Millisecond, 12*time.Second)
			}
			p.phases[i] = append(p.phases[i], phase{at, serves})
		}
		for at := span(0, 20*time.Second); at < p.back() && rng.IntN(2) > 0; at += span(10*time.Millisecond, 9*time.Second) {
			p.moves = append(p.moves, at)
		}
		p.change = p.back()
		if rng.IntN(2) > 0 { // it has been back for a while, or is not yet
			p.change = max(0, p.back()+span(-5*time.Second, 5*time.Second))
		}
		if appliedAt, calls := p.play(t); p.lateness(appliedAt) > appliedBy {
			t.Errorf("applied %v after it could be; plan %+v, calls at %v", p.lateness(appliedAt), p, calls)
		}
	}
}
