package decide

import (
	"cmp"
	"time"
)

const (
	// offeredWorkDecay averages the observed mix of traffic over some hundreds of requests.
	offeredWorkDecay = 1.0 / 512
	// A node whose last two ticks were both at least starvedTickDelay late is starved of CPU time. It rejects
	// requests whose remaining time is less than starvedTimeFactor times that delay, because it could not
	// answer them before their deadlines.
	starvedTickDelay  = 100 * time.Millisecond
	starvedTimeFactor = 2
)

// shedRank is the order in which requests are shed under overload, the lowest first.
type shedRank int

const (
	rankClientRetry shedRank = iota // a client's own retry
	rankLowValue                    // a request of a class with less value per unit of work than the average of the traffic
	rankHighValue                   // a request of any other class
)

// clientRetrySlot is the index of client retries of all classes in admission.offeredWork.
const clientRetrySlot = 0

// classSlot returns the index of a class's other requests in admission.offeredWork.
func classSlot(class int) int { return class + 1 }

// admission decides which requests are rejected on arrival.
type admission struct {
	offeredWork []float64  // exponentially decaying sum of the work that clients sent, by slot
	shedRanks   []shedRank // ranks by slot

	nextTickAt    time.Duration // when the next tick is due; 0 before the first
	lastTickDelay time.Duration // how late the last tick was
	// sustainedTickDelay is the smaller of the last two delays. It is 0 after a single pause.
	sustainedTickDelay time.Duration
}

func newAdmission(classes int) admission {
	slots := classSlot(classes)
	return admission{offeredWork: make([]float64, slots), shedRanks: make([]shedRank, slots)}
}

// rejectOnArrival reports whether a request is rejected before any attempt, either as overload or because
// the node could not answer it before its deadline. A request with a planned server is never shed, since
// the planner knows the load of the whole fleet, but its work counts.
func (b *Balancer) rejectOnArrival(r *request) bool {
	// recordAndDecideShed must run for planned requests, too: it records the request's work and key.
	shed := b.now < r.objectiveAt && b.recordAndDecideShed(r) && r.PlannedServer == 0
	return shed || b.cannotAnswerInTime(r.Deadline-b.now)
}

// recordAndDecideShed records a request's work and key and reports whether the request is shed as overload. The
// share of the offered work that must be shed comes from the lowest ranks first. In the highest rank
// affected, requests are shed at random.
//
// Requests of the highest rank are shed by the smoothed share, so that a short random peak does not
// reject them. Nothing is shed without a concurrency limit. The work of a request is its hint, or the
// mean latency of its class if it has none, in ns.
func (b *Balancer) recordAndDecideShed(r *request) bool {
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

// fadeOfferedWork decays the offered work by one request and returns three sums of it: over all ranks,
// over the ranks below rank, and of rank itself.
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

// rankClasses ranks classes by their value per unit of work. Classes below the mean of the traffic are
// shed before the others.
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

// valueOfWork returns the value of an answer of a class per unit of its work.
func (b *Balancer) valueOfWork(class int) float64 {
	if b.settings.WeightByWork {
		return b.settings.Classes[class].PriorityWeight
	}
	return b.settings.Classes[class].PriorityWeight / max(b.classes[class].meanLatency, 1)
}

// recordTick records how late a tick is. After a single pause one tick is late and the node is healthy;
// two late ticks in a row mean that the node is starved of CPU time.
func (a *admission) recordTick(now time.Duration) {
	delay := time.Duration(0)
	if a.nextTickAt > 0 {
		delay = max(0, now-a.nextTickAt)
	}
	a.sustainedTickDelay = min(delay, a.lastTickDelay)
	a.lastTickDelay = delay
	a.nextTickAt = now + tickInterval
}

// cannotAnswerInTime reports whether a node that is starved of CPU time would answer a request after its
// deadline, given the request's remaining time.
func (a *admission) cannotAnswerInTime(remaining time.Duration) bool {
	return a.sustainedTickDelay >= starvedTickDelay && remaining < starvedTimeFactor*a.sustainedTickDelay
}
