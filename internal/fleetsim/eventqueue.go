package fleetsim

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"jasperpin/decide"
)

// event is a function that runs at a time; events of one time run in the order in which they were scheduled.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

// eventQueue is a heap of events; it implements heap.Interface.
type eventQueue []event

func (e eventQueue) Len() int      { return len(e) }
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e *eventQueue) Push(x any) { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// sim is the state of a run.
type sim struct {
	set       Settings
	zones     int
	rng       *rand.Rand
	now       time.Duration
	seq       int
	queue     eventQueue
	servers   []*server
	balancers []*balancerNode // one for each node or, with Planners or ZonePlanners, one for each planner

	forwarders   []*forwarder
	planners     []*plannerNode // the planners that forwarders connect to
	connCount    int            // connections opened between forwarders and planners so far
	nodeRestarts int            // number of node restarts so far

	res           Result
	openRequests  int
	arrivalsEnded bool // no more requests arrive

	coldCoreSeconds    float64         // time that servers were cold, in core seconds
	announced          []decide.Server // latest endpoint list
	discoveryBusyUntil time.Duration   // time at which discovery has answered all calls so far
}

// after schedules a call of do after a time.
func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now + d, s.seq, do})
}

// oneWay returns the network delay between two zones.
func oneWay(a, b int) time.Duration {
	if a == b {
		return sameZoneDelay
	}
	return otherZoneDelay
}
