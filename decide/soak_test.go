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
	const rounds = soakReplaced / soakAtOnce
	p := newSoak()
	step := 45 * time.Minute / rounds
	var bytesBefore int64
	var sizesBefore string
	for round := range rounds {
		p.replaceServers(round)
		for i := range 12 {
			p.b.now += step / 12
			p.serveRequest(i%6 == 0)
		}
		p.forgetEffects()
		if len(p.b.keyCounts) > 2*keyCountWindow {
			t.Fatalf("%d keys counted", len(p.b.keyCounts))
		}
		if round == rounds/10 {
			bytesBefore, sizesBefore = heap(), p.sizes()
		}
	}
	bytes := heap()
	t.Logf("%d bytes after a tenth, %d at the end; servers, ready ones, requests, ejected: %s, %s", bytesBefore, bytes, sizesBefore, p.sizes())
	b := p.b
	if len(b.serversByID) != soakServers || len(b.ready) != soakServers || len(b.requests) != 0 || ejectedServers(b) > soakServers/2 || len(p.effects.sends) > 3 {
		t.Errorf("at the end: %s", p.sizes())
	}
	// The keys of the last thousand requests come and go: some 40 KB.
	if bytes-bytesBefore > 100<<10 {
		t.Errorf("%d bytes more than after a tenth", bytes-bytesBefore)
	}
}

const (
	soakServers  = 60
	soakReplaced = 10_000 // servers, over the test
	soakAtOnce   = 5      // of them
)

// soak is a node whose servers are replaced again and again.
type soak struct {
	b           *Balancer
	effects     *effectLog
	list        []Server
	lastServer  ServerID
	lastRequest RequestID
}

func newSoak() *soak {
	settings := testSettings()
	settings.PollDiscovery, settings.KeyAffinity, settings.IdleTimeout = true, true, 4*second
	settings.ZoneCount, settings.NodeCount = 2, 300
	effects := newEffectLog()
	p := &soak{b: New(settings, 7, 100*second, effects), effects: effects}
	for range soakServers {
		p.list = append(p.list, p.newServer(0))
	}
	p.b.UpdateEndpoints(p.b.now, UpdateFull, p.list)
	return p
}

func (p *soak) newServer(startedAt time.Duration) Server {
	p.lastServer++
	return Server{ID: p.lastServer, Zone: int(p.lastServer % 2), State: Ready, Capacity: 1, StartedAt: startedAt}
}

// replaceServers replaces the next few servers.
func (p *soak) replaceServers(round int) {
	var update []Server
	for i := range soakAtOnce {
		s := &p.list[(round*soakAtOnce+i)%soakServers]
		s.State = Gone
		update = append(update, *s)
		*s = p.newServer(p.b.now)
		update = append(update, *s)
	}
	p.b.UpdateEndpoints(p.b.now, UpdateDelta, update)
}

// serveRequest plays a tick, a sweep and a request with a new key. Its first attempt may get no connection.
func (p *soak) serveRequest(connectFails bool) {
	b := p.b
	b.TimerFired(b.now, timerTick)
	b.TimerFired(b.now, timerOutlierSweep)
	p.lastRequest++
	id := p.lastRequest
	p.effects.sends = p.effects.sends[:0]
	b.Arrive(b.now, Request{ID: id, Key: uint64(id) * 0x9e3779b97f4a7c15, WorkHint: second / 10, Deadline: b.now + second})
	for n := 0; n < len(p.effects.sends); n++ { // grows as attempts fail
		result := OK
		if n == 0 && connectFails {
			result = ConnectFailed
		}
		b.AttemptFinished(b.now, Outcome{ID: id, Attempt: n, Result: result, Final: result == OK})
	}
}

// forgetEffects drops what the test itself records, but for the last request's attempts.
func (p *soak) forgetEffects() {
	e := p.effects
	e.cancels, e.timers, e.logs, e.retryAfters = nil, nil, nil, nil
	clear(e.rejected)
	clear(e.failed)
}

func (p *soak) sizes() string {
	return fmt.Sprint(len(p.b.serversByID), len(p.b.ready), len(p.b.requests), ejectedServers(p.b))
}
