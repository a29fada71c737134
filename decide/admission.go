package decide

import (
	"cmp"
	"time"
)

const (
	// offeredWorkDecay renews the observed mix of traffic over some hundreds of requests.
	offeredWorkDecay = 1.0 / 512
	// A node whose ticks are starvedTickDelay late in a row does not get to run as it should, and rejects
	// requests that have less than starvedTimeFactor times that delay left: it could not answer them in
	// time.
	starvedTickDelay  = 100 * time.Millisecond
	starvedTimeFactor = 2
)

// shedRank orders requests under overload: the lowest is shed first.
type shedRank int

const (
	rankClientRetry shedRank = iota // its client sent it before
	rankLowValue                    // of a class with less value for its work than all traffic on average
	rankHighValue                   // of any other class
)

// clientRetrySlot is where clients' retries stand in admission.offeredWork, whatever their class.
const clientRetrySlot = 0

// classSlot is where the other requests of a class stand in admission.offeredWork.
func classSlot(class int) int { return class + 1 }

// admission decides which requests are rejected on arrival.
type admission struct {
	offeredWork []float64  // the fading sum of work that clients sent, by slot
	shedRanks   []shedRank // by slot

	nextTickAt    time.Duration // when the next tick is due; 0 before the first
	lastTickDelay time.Duration // by how much the last tick was late
	// sustainedTickDelay is the lesser of the last two delays: after a single pause it is 0.
	sustainedTickDelay time.Duration
}

func newAdmission(classes int) admission {
	slots := classSlot(classes)
	return admission{offeredWork: make([]float64, slots), shedRanks: make([]shedRank, slots)}
}

// rejectOnArrival reports whether a request is rejected before any attempt: as overload, or as it could
// not be answered in time. A request with a planned server is not shed, since its planner knows the
// load of the whole fleet, but its work counts.
func (b *Balancer) rejectOnArrival(r *request) bool {
	// recordAndShed comes before PlannedServer: it records the request's work and key.
	shed := b.now < r.objectiveAt && b.recordAndShed(r) && r.PlannedServer == 0
	return shed || b.cannotAnswerInTime(r.Deadline-b.now)
}

// recordAndShed records a request's work and key and reports whether it is shed as overload. The share of
// the offered work that has to go is taken from the lowest rank up, and by chance within the rank in which
// it ends.
//
// Highly ranked requests go by the smoothed share: a moment's peak by chance must not reject them. Nothing
// is shed without a concurrency limit. A request's work is its hint, or else the mean latency of its class,
// in ns.
func (b *Balancer) recordAndShed(r *request) bool {
	b.countKey(r.Key)
	slot := classSlot(r.Class)
	if r.ClientRetry {
		slot = clientRetrySlot
	}
	b.offeredWork[slot] += cmp.Or(float64(max(r.WorkHint, 0)), b.classes[r.Class].meanLatency)
	rank := b.shedRanks[slot]
	total, lower, same := b.fadeOfferedWork(rank)
	share := b.shedShare()
	if rank == rankHighValue {
		share = b.smoothedShedShare
	}
	probability := (share*total - lower) / same
	return b.concurrencyLimit > 0 && probability > 0 && b.rng.Float64() < probability
}

// fadeOfferedWork lets the offered work fade by one request, and returns its sum: in all, over the ranks
// below one, and of that rank.
func (b *Balancer) fadeOfferedWork(rank shedRank) (total, lower, same float64) {
	for slot := range b.offeredWork {
		b.offeredWork[slot] *= 1 - offeredWorkDecay
		total += b.offeredWork[slot]
		switch {
		case b.shedRanks[slot] < rank:
			lower += b.offeredWork[slot]
		case b.shedRanks[slot] == rank:
			same += b.offeredWork[slot]
		}
	}
	return total, lower, same
}

// rankClasses ranks classes by their value for their work: those below the mean of the traffic are shed
// before the others.
func (b *Balancer) rankClasses() {
	var value, work float64
	for class, offered := range b.offeredWork[classSlot(0):] {
		value += b.valueOfWork(class) * offered
		work += offered
	}
	for class := range b.settings.Classes {
		b.shedRanks[classSlot(class)] = rankHighValue
		if b.valueOfWork(class)*work < value {
			b.shedRanks[classSlot(class)] = rankLowValue
		}
	}
}

// valueOfWork is the value of an answer of a class for each unit of its work.
func (b *Balancer) valueOfWork(class int) float64 {
	if b.settings.WeightByWork {
		return b.settings.Classes[class].PriorityWeight
	}
	return b.settings.Classes[class].PriorityWeight / max(b.classes[class].meanLatency, 1)
}

// recordTick notes how late a tick came. A node that paused once has one late tick and is well; one whose
// ticks are late in a row is starved of processor time.
func (a *admission) recordTick(now time.Duration) {
	delay := time.Duration(0)
	if a.nextTickAt > 0 {
		delay = max(0, now-a.nextTickAt)
	}
	a.sustainedTickDelay = min(delay, a.lastTickDelay)
	a.lastTickDelay = delay
	a.nextTickAt = now + tickInterval
}

// cannotAnswerInTime reports whether a node that is starved of processor time would answer a request too
// late, given the time that its client still waits.
func (a *admission) cannotAnswerInTime(left time.Duration) bool {
	return a.sustainedTickDelay >= starvedTickDelay && left < starvedTimeFactor*a.sustainedTickDelay
}
