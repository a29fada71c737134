package decide

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// heap returns the bytes in use on the heap.
func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// In 45 minutes 10,000 servers are replaced, new keys come all the time and connections fail. At the end no
// more memory is in use than after the first tenth.
func TestReplacedServersLeaveNothing(t *testing.T) {
	const servers, replaced, atOnce = 60, 10_000, 5
	settings := testSettings()
	settings.PollDiscovery, settings.KeyAffinity, settings.IdleTimeout, settings.ZoneCount, settings.NodeCount = true, true, 4*second, 2, 300
	effects := newEffectLog()
	b := New(settings, 7, 100*second, effects)
	next, id := ServerID(0), RequestID(0)
	var list []Server
	for range servers {
		next++
		list = append(list, Server{ID: next, Zone: int(next % 2), State: Ready, Capacity: 1})
	}
	b.UpdateEndpoints(b.now, UpdateFull, list)
	step := 45 * time.Minute / (replaced / atOnce)
	sizes := func() string {
		return fmt.Sprint(len(b.serversByID), len(b.ready), len(b.requests), ejectedServers(b))
	}
	var after int64
	var state string
	for round := range replaced / atOnce {
		var update []Server
		for i := range atOnce {
			at := (round*atOnce + i) % servers
			list[at].State = Gone
			update = append(update, list[at])
			next++
			list[at] = Server{ID: next, Zone: int(next % 2), State: Ready, Capacity: 1, StartedAt: b.now}
			update = append(update, list[at])
		}
		b.UpdateEndpoints(b.now, UpdateDelta, update)
		for i := range 12 {
			b.now += step / 12
			b.TimerFired(b.now, timerTick)
			b.TimerFired(b.now, timerOutlierSweep)
			id++
			effects.sends = effects.sends[:0]
			b.Arrive(b.now, Request{ID: id, Key: uint64(id) * 0x9e3779b97f4a7c15, WorkHint: second / 10, Deadline: b.now + second})
			for n := 0; n < len(effects.sends); n++ { // grows as attempts fail
				result := OK
				if n == 0 && i%6 == 0 {
					result = ConnectFailed
				}
				b.AttemptFinished(b.now, Outcome{ID: id, Attempt: n, Result: result, Final: result == OK})
			}
		}
		effects.cancels, effects.timers, effects.logs, effects.retryAfters = nil, nil, nil, nil
		clear(effects.rejected)
		clear(effects.failed)
		if len(b.keyCounts) > 2*keyCountWindow {
			t.Fatalf("%d keys counted", len(b.keyCounts))
		}
		if round == replaced/atOnce/10 {
			after, state = heap(), sizes()
		}
	}
	end := heap()
	t.Logf("%d bytes after a tenth, %d at the end; servers, ready ones, requests, ejected: %s, %s", after, end, state, sizes())
	if len(b.serversByID) != servers || len(b.ready) != servers || len(b.requests) != 0 || ejectedServers(b) > servers/2 || len(effects.sends) > 3 {
		t.Errorf("at the end: %s", sizes())
	}
	// The keys of the last thousand requests come and go: some 40 KB.
	if end-after > 100<<10 {
		t.Errorf("%d bytes more than after a tenth", end-after)
	}
}
