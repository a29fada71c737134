package decide

import (
	"cmp"
	"maps"
	"math"
	"time"
)

const (
	// fillAim is how much of the room between the latency of an unloaded fleet
	// and the aim answers may use up on average, squared. From fillMost on what
	// is out is itself too much, and the window may go below it, by fillOver.
	fillAim  = 0.13
	fillMost = 0.4
	fillOver = 4
	lateWork = 2 // what a time-out counts where worth goes by work: the large ones miss their aims
	// wholeWait is the part of the aim that an attempt must have had for its
	// time-out to count: shedding fed without end on late tries cut short.
	wholeWait = 0.75
	// crowdFull: where answers use up this much of the room, time-outs are load in
	// full; where they come quicker, less: those are lost answers or silent servers.
	crowdFull  = 0.15
	crowdQuick = crowdFull / 2 // below, answers come quickly: what does not come is lost, and not late
	// windowGain is how fast the window of own calls follows the signal, per tick; closeMost bounds
	// the signal: it closes by a fifth at most.
	windowGain = 0.5
	closeMost  = 3 * fillAim
	shedSpan   = 0.4 // by how much of itself the window may be exceeded until all is refused
	// levelGain smooths the count of own calls, per tick: longer where they are few, by
	// levelFew for each, as two calls more are chance there and no overload.
	levelGain  = 0.3
	levelFew   = 0.08
	steadyGain = 0.1 // smooths the pressure that the worthiest rank feels, per tick: not by chance
	shedMost   = 0.95
	// behindBy is from which lateness of its ticks on a node is behind, and behindRoom how many times
	// that a request must have left to be taken then.
	behindBy   = 100 * time.Millisecond
	behindRoom = 2
	feelGain   = 1.0 / 16  // smooths the latency signal over some tens of answers
	mixFade    = 1.0 / 512 // how fast the observed mix of traffic is renewed
)

// Ranks of requests, the first to be shed first.
const (
	rankRepeat = iota // a client's further try
	rankLow           // of the classes worth less for their work than the whole
	rankRest
)

// admission decides what is refused on arrival under overload.
type admission struct {
	fill   float64        // room used between unloaded latencies and aims, smoothed
	crowd  float64        // the same of answers alone, not squared
	window float64        // own calls outstanding that the node allows itself, 0 for no limit
	level  float64        // own calls outstanding, smoothed
	steady float64        // pressure, smoothed
	mix    []float64      // offered work: client's further tries, then by class
	rank   []int          // of each of the mix
	keys   map[uint64]int // fading counts of keys seen
	keySum int

	tickDue          time.Duration // when the next tick should come
	lateTick, behind time.Duration // by how much the last was late, and the lesser of the last two
}

// shed says whether a request is refused on arrival. The share to refuse is
// taken from the lowest rank up, by chance within the rank it ends in.
func (b *Balancer) shed(r *request) bool {
	b.countKey(r.Key)
	slot, w := r.Class+1, cmp.Or(float64(max(r.WorkHint, 0)), b.classes[r.Class].latency)
	if r.ClientRetry {
		slot = 0
	}
	rank, total, below, same := b.rank[slot], 0.0, 0.0, 0.0
	b.mix[slot] += w
	for i := range b.mix {
		b.mix[i] *= 1 - mixFade
		total += b.mix[i]
		if k := b.rank[i]; k < rank {
			below += b.mix[i]
		} else if k == rank {
			same += b.mix[i]
		}
	}
	share := b.pressure()
	if rank == rankRest {
		share = b.steady
	}
	p := (share*total - below) / same
	return b.window > 0 && p > 0 && b.rng.Float64() < p
}

// ticked takes note of how late a tick has come. A node that is held up once has one late tick behind
// it and is well; one whose ticks are late in a row does not get to run as it should.
func (a *admission) ticked(now time.Duration) {
	late := time.Duration(0)
	if a.tickDue > 0 {
		late = max(0, now-a.tickDue)
	}
	a.behind = min(late, a.lateTick)
	a.lateTick = late
	a.tickDue = now + tickEvery
}

// hopeless says whether a node that is behind would answer a request too late.
func (a *admission) hopeless(left time.Duration) bool {
	return a.behind >= behindBy && left < behindRoom*a.behind
}

// pressure is the share of offered work to refuse for the calls now out.
func (b *Balancer) pressure() float64 {
	if b.window <= 0 {
		return 0
	}
	return min(max((b.level-b.window)/(shedSpan*b.window), 0), shedMost)
}

// feel takes an outcome's latency into the overload signal. Servers that do
// not answer at all say nothing about load.
func (b *Balancer) feel(r *request, res Result, took time.Duration, counts bool) {
	aim, base := float64(b.set.Classes[r.Class].LatencyObjective), b.classes[r.Class].base
	x := 1.0
	if res == OK && aim > base {
		x = min(max((float64(took)-base)/(aim-base), -1), 1)
		b.crowd += (max(x, 0) - b.crowd) * feelGain
		x *= math.Abs(x) // a wait well within the aim costs nothing
	} else if res != Overloaded && (res != TimedOut || !counts || float64(took) <= wholeWait*aim) {
		return
	} else if b.set.WeightByWork {
		x = lateWork
	}
	if res == TimedOut {
		x *= min(1, b.crowd/crowdFull)
	}
	b.fill += (x - b.fill) * feelGain
}

// adjust moves the window of own calls. These rise as soon as servers slow
// down, so it sheds in time; late answers only say how wide it may be.
func (b *Balancer) adjust() {
	// The classes to shed first are worth less for their work than the traffic as a whole.
	worth := func(i int) float64 {
		if b.set.WeightByWork {
			return b.set.Classes[i].PriorityWeight
		}
		return b.set.Classes[i].PriorityWeight / max(b.classes[i].latency, 1)
	}
	var all, work float64
	for i, w := range b.mix[1:] {
		all, work = all+worth(i)*w, work+w
	}
	for i := range b.set.Classes {
		b.rank[i+1] = rankRest
		if worth(i)*work < all {
			b.rank[i+1] = rankLow
		}
	}
	b.level += (float64(b.local.out+b.remote.out) - b.level) * min(levelGain, levelFew*max(b.level, 1))
	b.steady += (b.pressure() - b.steady) * steadyGain
	e := fillAim - b.fill
	switch {
	case b.window > 0:
		// Late answers tell of sends long past: the window goes by them slowly and
		// not below what is out, or nearly all is refused with the servers empty;
		// but further where most are late, or a fleet at half speed stays late.
		floor := b.level / (1 + shedSpan + fillOver*max(0, b.fill-fillMost))
		b.window = max(1, floor, b.window*(1+windowGain*max(e, -closeMost)))
		if e > 0 && b.window > 2*b.level {
			b.window = 0
			b.out.Log("load shedding ends")
		}
	case e < 0:
		b.window = 1.2 * max(1, b.level)
		b.out.Log("load shedding begins")
	}
}

// countKey keeps a fading count of the keys seen.
func (b *Balancer) countKey(key uint64) {
	if key == 0 || !b.set.KeyAffinity {
		return
	}
	b.keys[key]++
	if b.keySum++; b.keySum <= keyWindow {
		return
	}
	b.keySum = 0
	for k := range b.keys {
		b.keys[k] /= 2
		b.keySum += b.keys[k]
	}
	maps.DeleteFunc(b.keys, func(_ uint64, n int) bool { return n == 0 })
}
