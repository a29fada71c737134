package decide

import (
	"fmt"
	"time"
)

const second = time.Second

// effectLog is an Effects that records the calls of its methods.
type effectLog struct {
	sends       []sendCall
	cancels     []string // cancelled attempts, each as "request attempt"
	rejected    map[RequestID]int
	failed      map[RequestID]int
	retryAfters []time.Duration // Retry-After times of the rejections
	timers      []timer
	watches     int
	logs        []string
}

// sendCall is one call of Send.
type sendCall struct {
	id      RequestID
	server  ServerID
	timeout time.Duration
}

// timer is one call of SetTimer.
type timer struct {
	at    time.Duration
	token uint64
}

func newEffectLog() *effectLog {
	return &effectLog{rejected: map[RequestID]int{}, failed: map[RequestID]int{}}
}

func (l *effectLog) Send(id RequestID, server ServerID, timeout time.Duration) {
	l.sends = append(l.sends, sendCall{id, server, timeout})
}

func (l *effectLog) Cancel(id RequestID, attempt int) {
	l.cancels = append(l.cancels, fmt.Sprint(id, attempt))
}

func (l *effectLog) Reject(id RequestID, retryAfter time.Duration) {
	l.rejected[id]++
	l.retryAfters = append(l.retryAfters, retryAfter)
}

func (l *effectLog) Fail(id RequestID) { l.failed[id]++ }

func (l *effectLog) SetTimer(token uint64, at time.Duration) {
	l.timers = append(l.timers, timer{at, token})
}

func (l *effectLog) WatchEndpoints(bool) { l.watches++ }

func (l *effectLog) Log(text string) { l.logs = append(l.logs, text) }

// fireTimer fires one recorded timer that is due. It returns false if there is none.
func fireTimer(b *Balancer, effects *effectLog) bool {
	for i, timer := range effects.timers {
		if timer.at <= b.now {
			effects.timers = append(effects.timers[:i], effects.timers[i+1:]...)
			b.TimerFired(b.now, timer.token)
			return true
		}
	}
	return false
}

// ejectedServers counts the ejected servers.
func ejectedServers(b *Balancer) int { return b.countReady(func(s *server) bool { return s.ejected }) }

// testSettings returns settings with one class per idempotency: 0 Idempotent, 1 IdempotentWithKey, 2 NotIdempotent.
func testSettings() Settings {
	return Settings{
		MaxAttempts: 3, Hedging: false, CancelAttempts: true, WeightByWork: true,
		Classes: []Class{
			{Idempotency: Idempotent, LatencyObjective: 500 * time.Millisecond, PriorityWeight: 1},
			{Idempotency: IdempotentWithKey, DedupScope: DedupCell, DedupWindow: 2 * second, LatencyObjective: 500 * time.Millisecond, PriorityWeight: 5},
			{Idempotency: NotIdempotent, LatencyObjective: 500 * time.Millisecond, PriorityWeight: 3},
		},
		OverloadMultiple: 3, SlowStartShare: 0.2, SlowStartWindow: 10 * second, PollPeriod: 10 * second,
	}
}

// servers returns a list of n servers, alternating over two zones and four cells.
func servers(n int) (list []Server) {
	for i := range n {
		list = append(list, Server{ID: ServerID(i + 1), Zone: i % 2, Cell: i % 4, State: Ready, Capacity: 1})
	}
	return list
}

// start returns a new Balancer with a cached list of n servers.
func start(settings Settings, n int) (*Balancer, *effectLog) {
	effects := newEffectLog()
	b := New(settings, 7, 100*second, effects)
	b.UpdateEndpoints(100*second, UpdateCached, servers(n))
	return b, effects
}
