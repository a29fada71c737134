package capacity

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"jasperpin/decide"
)

const (
	// maxPlayed bounds the virtual time for which a server's failures are simulated.
	maxPlayed = 48 * time.Hour
	// failingServer is the id of the server that fails all its requests.
	failingServer = 1
	// moduleTick and moduleSweep are how often a pool's timers fire.
	moduleTick  = 100 * time.Millisecond
	moduleSweep = 2 * time.Second
	// attemptTime is the duration of each attempt.
	attemptTime = 5 * time.Millisecond
)

// ejection simulates one node's balancer in virtual time, until the balancer ejects the one server that fails all its
// requests. It implements the balancer's decide.Effects.
type ejection struct {
	balancer  *decide.Balancer
	now       time.Duration
	lastSweep time.Duration
	sent      []decide.ServerID // servers of the attempts of the current request
	ejected   bool
	failed    int // requests that the failing server received
}

func (e *ejection) Send(_ decide.RequestID, to decide.ServerID, _ time.Duration) {
	e.sent = append(e.sent, to)
}
func (*ejection) Cancel(decide.RequestID, int)           {}
func (*ejection) Reject(decide.RequestID, time.Duration) {}
func (*ejection) Fail(decide.RequestID)                  {}
func (*ejection) SetTimer(uint64, time.Duration)         {}
func (*ejection) WatchEndpoints(bool)                    {}

// Log detects the ejection: the balancer's log line is the only sign of it outside of the balancer.
func (e *ejection) Log(text string) {
	var id int
	if _, err := fmt.Sscanf(text, "eject server %d", &id); err == nil && id == failingServer {
		e.ejected = true
	}
}

// advance advances the time and fires the balancer's timers. The ticks of an idle pool have no effect, because
// its state decays with the elapsed time: only the last minute before each event is simulated tick by tick.
func (e *ejection) advance(to time.Duration) {
	for e.now+moduleSweep < to && to-e.now > time.Minute {
		e.now += moduleSweep
		e.balancer.TimerFired(e.now, sweepToken)
		e.balancer.TimerFired(e.now, tickToken)
	}
	for e.now+moduleTick < to {
		e.now += moduleTick
		e.balancer.TimerFired(e.now, tickToken)
		if e.now-e.lastSweep >= moduleSweep {
			e.lastSweep = e.now
			e.balancer.TimerFired(e.now, sweepToken)
		}
	}
	e.now = to
}

// request simulates one request with all its attempts.
func (e *ejection) request(id decide.RequestID) {
	e.sent = e.sent[:0]
	e.balancer.Arrive(e.now, decide.Request{ID: id, Deadline: e.now + 5*time.Second})
	for attempt := 0; attempt < len(e.sent); attempt++ { // a failed attempt adds another one
		result := decide.OK
		if e.sent[attempt] == failingServer {
			result = decide.Failed
			e.failed++
		}
		e.now += attemptTime
		e.balancer.AttemptFinished(e.now, decide.Outcome{ID: id, Attempt: attempt, Result: result, Final: result == decide.OK})
	}
}

// playEjection simulates requests at a rate until the failing server is ejected. It returns how long that took
// and how many requests failed at that server.
func playEjection(servers int, rate float64, seed uint64) (time.Duration, int) {
	const start, nodes = time.Hour, 2600
	e := &ejection{now: start}
	random := rand.New(rand.NewPCG(seed, 11))
	e.balancer = decide.New(moduleSettings(nodes), seed, start, e)
	e.balancer.UpdateEndpoints(start, decide.UpdateCached, moduleList(servers))
	for id := decide.RequestID(1); !e.ejected && e.now-start < maxPlayed; id++ {
		e.advance(e.now + time.Duration(random.ExpFloat64()/rate*float64(time.Second)))
		e.request(id)
	}
	return e.now - start, e.failed
}

// countsTrial measures how long one node alone takes to detect a server that fails all its requests, by how
// often the node sends to it.
func countsTrial(ctx context.Context, o Options) (found Findings, err error) {
	servers := int(math.Round(o.serversPerPool()))
	poolRate := o.RequestRate / float64(o.Nodes) / float64(o.Services) // request rate of one pool at one node
	interval := share(o.Servers, 1) * float64(o.Nodes) / o.RequestRate // time between requests of one node to one server
	slope := Slope{
		Role: "node: outliers told by its own counts", Name: "calls that a server fails before one node has it out", Unit: "calls",
		SizeUnit: fmt.Sprintf("seconds between a node's requests for each of %d servers", servers), Stated: interval, Runs: 5,
	}
	seeds, sizes := 5, []float64{1, 4, 16, 65, 260}
	if o.Small {
		seeds, sizes = 1, []float64{2, 4, 8, 16}
	}
	for _, seconds := range sizes {
		var took, failed, percent []float64 // percent is relative to an even share of the requests
		for seed := range seeds {
			if err := ctx.Err(); err != nil {
				return found, err
			}
			t, n := playEjection(servers, float64(servers)/seconds, uint64(seed)+1)
			took, failed = append(took, t.Seconds()), append(failed, float64(n))
			percent = append(percent, 100*float64(n)*seconds/t.Seconds())
		}
		found.notef("one request to each server each %s s: ejected after %s s and %s failed requests, %s%% of an even share (medians of %d seeds)",
			digits(seconds), digits(median(took)), digits(median(failed)), digits(median(percent)), seeds)
		slope.Samples = append(slope.Samples, Sample{seconds, median(failed)})
	}
	found.Slopes = append(found.Slopes, slope)
	found.notef("at the stated size a node sends a pool %.3f requests a second, and each server one request every %s s", poolRate, digits(interval))
	found.notef("gRFC A50's defaults need 100 requests to a server in 10 s: %s arrive. This program's request volumes are 8 and 4, with windows of 2 s carried over at half weight: %.3f are counted",
		digits(10/interval), 2*2/interval)
	return found, nil
}
