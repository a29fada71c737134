package decide

import (
	"fmt"
	"time"
)

const second = time.Second

// effectLog is an Effects that records what it is asked to do.
type effectLog struct {
	sends       []sendCall
	cancels     []string // "request attempt"
	rejected    map[RequestID]int
	failed      map[RequestID]int
	retryAfters []time.Duration // of the rejections
	timers      []timer
	watches     int
	logs        []string
}

// sendCall is a call of Send.
type sendCall struct {
	id      RequestID
	server  ServerID
	timeout time.Duration
}

// timer is a call of SetTimer.
type timer struct {
	at    time.Duration
	token uint64
}

func newEffectLog() *effectLog {
	return &effectLog{rejected: map[RequestID]int{}, failed: map[RequestID]int{}}
}

func (l *effectLog) Send(id RequestID, s ServerID, d time.Duration) {
	l.sends = append(l.sends, sendCall{id, s, d})
}

func (l *effectLog) Cancel(id RequestID, n int) { l.cancels = append(l.cancels, fmt.Sprint(id, n)) }

func (l *effectLog) Reject(id RequestID, after time.Duration) {
	l.rejected[id]++
	l.retryAfters = append(l.retryAfters, after)
}

func (l *effectLog) Fail(id RequestID) { l.failed[id]++ }

func (l *effectLog) SetTimer(token uint64, at time.Duration) {
	l.timers = append(l.timers, timer{at, token})
}

func (l *effectLog) WatchEndpoints(bool) { l.watches++ }

func (l *effectLog) Log(s string) { l.logs = append(l.logs, s) }

// fireTimer fires one of the recorded timers that are due. It returns false where none is.
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

// ejectedServers counts the servers that are ejected.
func ejectedServers(b *Balancer) int { return b.countReady(func(s *server) bool { return s.ejected }) }

// testSettings has a class of each idempotency: 0 Idempotent, 1 IdempotentWithKey, 2 NotIdempotent.
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

// servers lists n servers, in turn in two zones and four cells.
func servers(n int) (list []Server) {
	for i := range n {
		list = append(list, Server{ID: ServerID(i + 1), Zone: i % 2, Cell: i % 4, State: Ready, Capacity: 1})
	}
	return list
}

// start returns a Balancer that has just started with a cached list of n servers.
func start(settings Settings, n int) (*Balancer, *effectLog) {
	effects := newEffectLog()
	b := New(settings, 7, 100*second, effects)
	b.UpdateEndpoints(100*second, UpdateCached, servers(n))
	return b, effects
}
