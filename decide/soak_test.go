package decide

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// heapInUse returns the bytes in use on the heap after a garbage collection.
func heapInUse() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// Within 45 minutes 10,000 servers are replaced, keys keep changing and connections fail. At the end the
// memory in use must not exceed that after the first tenth.
func TestReplacedServersAreFreed(t *testing.T) {
	const rounds = soakReplaced / soakBatchSize
	node := newSoak()
	step := 45 * time.Minute / rounds
	var bytesBefore int64
	var sizesBefore string
	for round := range rounds {
		node.replaceServers(round)
		for i := range 12 {
			node.b.now += step / 12
			node.serveRequest(i%6 == 0)
		}
		node.forgetEffects()
		if len(node.b.keyCounts) > 2*keyCountWindow {
			t.Fatalf("%d keys are counted, want at most %d", len(node.b.keyCounts), 2*keyCountWindow)
		}
		if round == rounds/10 {
			bytesBefore, sizesBefore = heapInUse(), node.sizes()
		}
	}
	bytes := heapInUse()
	t.Logf("%d bytes in use after a tenth, %d at the end; servers, ready servers, requests, ejected servers: %s, %s", bytesBefore, bytes, sizesBefore, node.sizes())
	b := node.b
	if len(b.serversByID) != soakServers || len(b.ready) != soakServers || len(b.requests) != 0 || ejectedServers(b) > soakServers/2 || len(node.effects.sends) > 3 {
		t.Errorf("numbers of servers, ready servers, requests and ejected servers at the end are %s, want all servers ready, no request and at most half of the servers ejected", node.sizes())
	}
	// The counts of the last thousand requests' keys vary by about 40 KB.
	if bytes-bytesBefore > 100<<10 {
		t.Errorf("%d more bytes are in use at the end than after the first tenth, want at most 100 KiB", bytes-bytesBefore)
	}
}

const (
	soakServers   = 60
	soakReplaced  = 10_000 // servers replaced over the test
	soakBatchSize = 5      // servers replaced at once
)

// soak is a node whose servers are replaced repeatedly.
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

// replaceServers replaces the next soakBatchSize servers.
func (p *soak) replaceServers(round int) {
	var update []Server
	for i := range soakBatchSize {
		s := &p.list[(round*soakBatchSize+i)%soakServers]
		s.State = Gone
		update = append(update, *s)
		*s = p.newServer(p.b.now)
		update = append(update, *s)
	}
	p.b.UpdateEndpoints(p.b.now, UpdateDelta, update)
}

// serveRequest simulates a tick, an outlier sweep and a request with a new key. Its first attempt may
// fail to connect.
func (p *soak) serveRequest(connectFails bool) {
	b := p.b
	b.TimerFired(b.now, timerTick)
	b.TimerFired(b.now, timerOutlierSweep)
	p.lastRequest++
	id := p.lastRequest
	p.effects.sends = p.effects.sends[:0]
	b.Arrive(b.now, Request{ID: id, Key: uint64(id) * 0x9e3779b97f4a7c15, WorkHint: second / 10, Deadline: b.now + second})
	for n := 0; n < len(p.effects.sends); n++ { // the list of sends grows as attempts fail
		result := OK
		if n == 0 && connectFails {
			result = ConnectFailed
		}
		b.AttemptFinished(b.now, Outcome{ID: id, Attempt: n, Result: result, Final: result == OK})
	}
}

// forgetEffects drops the recorded effects, except for the attempts of the last request.
func (p *soak) forgetEffects() {
	e := p.effects
	e.cancels, e.timers, e.logs, e.retryAfters = nil, nil, nil, nil
	clear(e.rejected)
	clear(e.failed)
}

func (p *soak) sizes() string {
	return fmt.Sprint(len(p.b.serversByID), len(p.b.ready), len(p.b.requests), ejectedServers(p.b))
}
