package decide

import (
	"fmt"
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

// TestReplacedServersLeaveNothing: In 45 minutes 10,000 servers are replaced, new keys come all the time and
// connections fail. At the end no more is held than after the first tenth.
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
