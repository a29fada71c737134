package decide

import (
	"fmt"
	"math"
	"runtime"
	"testing"
	"time"
)

// heap is what is held, in bytes.
func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestReplacedServersLeaveNothing plays 45 minutes in which 10,000 servers are replaced, ever new
// keys come and connections fail: what is held at the end is what was held after the first tenth.
func TestReplacedServersLeaveNothing(t *testing.T) {
	const servers, replaced, atOnce = 60, 10_000, 5
	set := testSettings()
	set.PollDiscovery, set.KeyAffinity, set.IdleTimeout, set.ZoneCount, set.NodeCount = true, true, 4*second, 2, 300
	tape := newEffectLog()
	b := New(set, 7, 100*second, tape)
	next, id := ServerID(0), RequestID(0)
	var list []Server
	for range servers {
		next++
		list = append(list, Server{ID: next, Zone: int(next % 2), State: Ready, Capacity: 1})
	}
	b.UpdateEndpoints(b.now, UpdateFull, list)
	step := 45 * time.Minute / (replaced / atOnce)
	held := func() string {
		return fmt.Sprint(len(b.serversByID), len(b.ready), len(b.requests), ejectedServers(b))
	}
	var after int64
	var state string
	for round := range replaced / atOnce {
		var news []Server
		for i := range atOnce {
			at := (round*atOnce + i) % servers
			list[at].State = Gone
			news = append(news, list[at])
			next++
			list[at] = Server{ID: next, Zone: int(next % 2), State: Ready, Capacity: 1, StartedAt: b.now}
			news = append(news, list[at])
		}
		b.UpdateEndpoints(b.now, UpdateDelta, news)
		for i := range 12 {
			b.now += step / 12
			b.TimerFired(b.now, timerTick)
			b.TimerFired(b.now, timerOutlierSweep)
			id++
			tape.sends = tape.sends[:0]
			b.Arrive(b.now, Request{ID: id, Key: uint64(id) * 0x9e3779b97f4a7c15, WorkHint: second / 10, Deadline: b.now + second})
			for n := 0; n < len(tape.sends); n++ { // grows as attempts fail
				result := OK
				if n == 0 && i%6 == 0 {
					result = ConnectFailed
				}
				b.AttemptFinished(b.now, Outcome{ID: id, Attempt: n, Result: result, Final: result == OK})
			}
		}
		tape.cancels, tape.timers, tape.logs, tape.retryAfters = nil, nil, nil, nil
		clear(tape.rejected)
		clear(tape.failed)
		if len(b.keyCounts) > 2*keyCountWindow {
			t.Fatalf("%d keys held", len(b.keyCounts))
		}
		if round == replaced/atOnce/10 {
			after, state = heap(), held()
		}
	}
	end := heap()
	t.Logf("%d bytes after a tenth, %d at the end; servers, ready ones, requests, ejected: %s, %s", after, end, state, held())
	if len(b.serversByID) != servers || len(b.ready) != servers || len(b.requests) != 0 || ejectedServers(b) > servers/2 || len(tape.sends) > 3 {
		t.Errorf("held at the end: %s", held())
	}
	// The keys of the last thousand requests come and go: some 40 KB.
	if end-after > 100<<10 {
		t.Errorf("%d bytes more than after a tenth", end-after)
	}
}

// TestHostileList gives a list of thousands of servers with absurd shares, zones and starts:
// every request is still answered, within a bounded time, and nothing is no number.
func TestHostileList(t *testing.T) {
	set := testSettings()
	set.CrossZoneCost, set.HandshakeCost, set.NodeCount, set.ZoneCount = 0.1, 0.01, 300, 3
	b, tape := start(set, 10)
	odd := []float64{0, -1, math.NaN(), math.Inf(1), math.Inf(-1), 1e300, 5e-324}
	since := []time.Duration{0, -1, math.MaxInt64, math.MinInt64, b.now + time.Hour, b.now}
	var list []Server
	for i := range 5000 {
		list = append(list, Server{
			ID: ServerID(i + 1), Zone: i * 7919 % 1000, Cell: -i, State: ServerState(i % 4),
			Capacity: odd[i%len(odd)], StartedAt: since[i%len(since)],
		})
	}
	began := time.Now()
	for _, kind := range []UpdateKind{UpdateFull, UpdateDelta, UpdateFull} {
		b.UpdateEndpoints(b.now, kind, list)
	}
	for id := range RequestID(200) {
		b.now += 5 * time.Millisecond
		b.TimerFired(b.now, timerTick)
		tape.sends = nil
		b.Arrive(b.now, Request{ID: id + 1, Key: uint64(id), WorkHint: second / 10, Deadline: b.now + second})
		for n := 0; n < len(tape.sends); n++ {
			b.AttemptFinished(b.now, Outcome{ID: id + 1, Attempt: n, Result: ConnectFailed})
		}
		if n := tape.rejected[id+1] + tape.failed[id+1]; n != 1 || b.requests[id+1] != nil {
			t.Fatalf("request %d has %d final answers", id+1, n)
		}
	}
	if took := time.Since(began); took > 20*time.Second {
		t.Errorf("200 requests and three lists of 5,000 servers took %v", took)
	}
	b.UpdateEndpoints(b.now, UpdateFull, servers(10))
	if len(b.serversByID) != 10 || math.IsNaN(b.totalCapacity+b.local.warmCapacity+b.newConnectionCost) {
		t.Errorf("after a sound list: %d servers, sizes %v and %v, link %v", len(b.serversByID), b.totalCapacity, b.local.warmCapacity, b.newConnectionCost)
	}
	tape.sends = nil
	b.Arrive(b.now, Request{ID: 1000, Deadline: b.now + second})
	if len(tape.sends) != 1 {
		t.Errorf("%d sends after a sound list", len(tape.sends))
	}
}
