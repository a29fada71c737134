package decide

import (
	"fmt"
	"time"
)

// tickDue fires one due timer of the tape, if any.
func (b *Balancer) tickDue(t *effectLog) bool {
	for i, w := range t.timers {
		if w.at <= b.now {
			t.timers = append(t.timers[:i], t.timers[i+1:]...)
			b.TimerFired(b.now, w.token)
			return true
		}
	}
	return false
}

const second = time.Second

// effectLog records effects.
type effectLog struct {
	sends       []sendCall
	cancels     []string
	rejected    map[RequestID]int
	failed      map[RequestID]int
	retryAfters []time.Duration
	timers      []timer
	watches     int
	logs        []string
}

type sendCall struct {
	id      RequestID
	server  ServerID
	timeout time.Duration
}

type timer struct {
	at    time.Duration
	token uint64
}

func newEffectLog() *effectLog {
	return &effectLog{rejected: map[RequestID]int{}, failed: map[RequestID]int{}}
}

func (t *effectLog) Send(id RequestID, s ServerID, d time.Duration) {
	t.sends = append(t.sends, sendCall{id, s, d})
}

func (t *effectLog) Cancel(id RequestID, n int) { t.cancels = append(t.cancels, fmt.Sprint(id, n)) }

func (t *effectLog) Reject(id RequestID, after time.Duration) {
	t.rejected[id]++
	t.retryAfters = append(t.retryAfters, after)
}

func (t *effectLog) Fail(id RequestID) { t.failed[id]++ }

func (t *effectLog) SetTimer(token uint64, at time.Duration) {
	t.timers = append(t.timers, timer{at, token})
}

func (t *effectLog) WatchEndpoints(bool) { t.watches++ }

func (t *effectLog) Log(s string) { t.logs = append(t.logs, s) }

// ejectedServers counts the servers that are ejected.
func ejectedServers(b *Balancer) int { return b.countReady(func(s *server) bool { return s.ejected }) }

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

func servers(n int) (list []Server) {
	for i := range n {
		list = append(list, Server{ID: ServerID(i + 1), Zone: i % 2, Cell: i % 4, State: Ready, Capacity: 1})
	}
	return list
}

func start(set Settings, n int) (*Balancer, *effectLog) {
	t := newEffectLog()
	b := New(set, 7, 100*second, t)
	b.UpdateEndpoints(100*second, UpdateCached, servers(n))
	return b, t
}
