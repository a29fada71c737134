package capacity

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"jasperpin/decide"
)

// longest is how long a server's failures may go untold in a play.
const longest = 48 * time.Hour

// play is one node's module in virtual time before servers of which one fails all it gets.
type play struct {
	b      *decide.Balancer
	now    time.Duration
	swept  time.Duration // when it swept last
	sent   [][2]uint32   // request and server of the last decision
	told   bool          // the failing server is out
	failed int           // calls that it got
}

func (p *play) Send(id decide.RequestID, to decide.ServerID, _ time.Duration) {
	p.sent = append(p.sent, [2]uint32{uint32(id), uint32(to)})
}
func (*play) Cancel(decide.RequestID, int)           {}
func (*play) Reject(decide.RequestID, time.Duration) {}
func (*play) Fail(decide.RequestID)                  {}
func (*play) SetTimer(uint64, time.Duration)         {}
func (*play) WatchEndpoints(bool)                    {}
func (p *play) Log(text string) {
	var id int
	if _, err := fmt.Sscanf(text, "eject server %d", &id); err == nil && id == 1 {
		p.told = true
	}
}

// until lets time pass, with the module's timers.
func (p *play) until(at time.Duration) {
	const tick, sweep = 100 * time.Millisecond, 2 * time.Second
	// A pool that rests ticks to no effect, as what fades does so by the time that has passed: only
	// the last minute before each event is played tick by tick.
	for p.now+sweep < at && at-p.now > time.Minute {
		p.now += sweep
		p.b.TimerFired(p.now, sweepToken)
		p.b.TimerFired(p.now, tickToken)
	}
	for p.now+tick < at {
		p.now += tick
		p.b.TimerFired(p.now, tickToken)
		if p.now-p.swept >= sweep {
			p.swept = p.now
			p.b.TimerFired(p.now, sweepToken)
		}
	}
	p.now = at
}

// untold plays requests at a rate until the failing server is out, or for the longest time. It gives
// how long that took and how many calls failed there.
func untold(servers int, rate float64, seed uint64) (time.Duration, int) {
	p := &play{}
	rng := rand.New(rand.NewPCG(seed, 11))
	begins := time.Hour
	p.now = begins
	p.b = decide.New(moduleSettings(2600), seed, begins, p)
	p.b.UpdateEndpoints(begins, decide.UpdateCached, moduleList(servers))
	for id := decide.RequestID(1); !p.told && p.now-begins < longest; id++ {
		p.until(p.now + time.Duration(rng.ExpFloat64()/rate*float64(time.Second)))
		p.sent = p.sent[:0]
		p.b.Arrive(p.now, decide.Request{ID: id, Deadline: p.now + 5*time.Second})
		for attempt := 0; attempt < len(p.sent); attempt++ {
			result := decide.OK
			if p.sent[attempt][1] == 1 {
				result = decide.Failed
				p.failed++
			}
			p.now += 5 * time.Millisecond
			p.b.AttemptFinished(p.now, decide.Outcome{ID: id, Attempt: attempt, Result: result, Final: result == decide.OK})
		}
	}
	return p.now - begins, p.failed
}

// counts measures after how long one node's own counts tell of a server that fails all it gets, by how
// often the node asks the pool.
func counts(ctx context.Context, o Options) (found Found, err error) {
	servers := int(math.Round(per(o.Servers, o.Services)))
	rate := o.Requests / float64(o.Nodes) / float64(o.Services) // of one pool at one node
	between := per(o.Servers, 1) * float64(o.Nodes) / o.Requests
	s := Slope{
		Role: "node: outliers told by its own counts", Name: "calls that a server fails before one node has it out", Unit: "calls",
		By: fmt.Sprintf("seconds between a node's requests for each of %d servers", servers), Stated: between, Runs: 5,
	}
	seeds := uint64(5)
	sizes := []float64{1, 4, 16, 65, 260}
	if o.Small {
		sizes, seeds = []float64{2, 4, 8, 16}, 1
	}
	for _, each := range sizes {
		var took, failed, even []float64
		for seed := range seeds {
			if err := ctx.Err(); err != nil {
				return found, err
			}
			t, n := untold(servers, float64(servers)/each, seed+1)
			took, failed = append(took, t.Seconds()), append(failed, float64(n))
			even = append(even, 100*float64(n)*each/t.Seconds())
		}
		found.note("a request for each server each %s s: out after %s s, which were %s failed calls, %s%% of an even share (medians of %d seeds)", digits(each), digits(median(took)), digits(median(failed)), digits(median(even)), seeds)
		s.Samples = append(s.Samples, Sample{each, median(failed)})
	}
	found.Slopes = append(found.Slopes, s)
	found.note("at the stated size a node asks a pool %.3f times a second, and each server each %s s", rate, digits(between))
	found.note("gRFC A50's own defaults want 100 requests for a server in 10 s: %s of them come. This program's volumes are 8 and 4, with windows of 2 s carried over at half weight: %.3f are held", digits(10/between), 2*2/between)
	return found, nil
}
