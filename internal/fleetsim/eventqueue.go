package fleetsim

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"jasperpin/decide"
)

// event is something that happens at a time; events of one time happen in the
// order in which they were set.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e *events) Push(x any) { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

type sim struct {
	set       Settings
	sites     int
	rng       *rand.Rand
	now       time.Duration
	seq       int
	queue     events
	servers   []*server
	balancers []*balancerNode // who decides: nodes, or planners

	forward  []*forwarder
	planners []*placementNode // of forwarders
	conns    int              // between these so far
	lives    int              // nodes that began anew

	res  Result
	open int
	last bool // no more arrivals

	coldTime  float64 // core seconds in which servers were cold
	told      []decide.Server
	discovery time.Duration // until when it has work
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now + d, s.seq, do})
}

// oneWay is the time between two sites.
func oneWay(a, b int) time.Duration {
	if a == b {
		return sameZoneDelay
	}
	return otherZoneDelay
}
