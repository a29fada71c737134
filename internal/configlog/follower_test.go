package configlog

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fleetShape returns 15 relays in 9 zones of 4 regions.
func fleetShape() (relays []Peer, zones []Peer) {
	for i := range 9 {
		zones = append(zones, Peer{Zone: fmt.Sprint("zone-", i), Region: fmt.Sprint("region-", i%4)})
	}
	for i := range 15 {
		relays = append(relays, Peer{Name: fmt.Sprint("relay-", i), Zone: zones[i%9].Zone, Region: zones[i%9].Region})
	}
	return relays, zones
}

// followerHarness drives one follower with relays that answer immediately or never.
type followerHarness struct {
	follower  *Follower
	now       time.Duration
	down      map[string]bool // the relay accepts no connection and sends nothing
	silent    map[string]bool // the relay accepts connections and sends nothing
	streams   map[uint64]string
	dials     map[string]int
	heartbeat func(peer string) Heartbeat
}

func newHarness(o Options, s *State) *followerHarness {
	h := &followerHarness{follower: NewFollower(o, s, 0), down: map[string]bool{}, silent: map[string]bool{}, streams: map[uint64]string{}, dials: map[string]int{}}
	h.heartbeat = func(string) Heartbeat {
		return Heartbeat{Version: h.follower.State().Version(), Digest: h.follower.State().Digest()}
	}
	return h
}

// step advances the time and executes the follower's actions. Each relay that is neither down nor silent sends a
// heartbeat on its stream.
func (h *followerHarness) step(d time.Duration) {
	h.now += d
	h.follower.Tick(h.now)
	for actions, first := h.follower.Ready(), true; first || len(actions) > 0; actions, first = h.follower.Ready(), false {
		for _, a := range actions {
			switch a := a.(type) {
			case Dial:
				h.dials[a.Peer]++
				if !h.down[a.Peer] {
					h.streams[a.Stream] = a.Peer
					h.follower.HandleConnected(a.Stream, h.now)
				}
			case CloseStream:
				delete(h.streams, a.Stream)
			}
		}
		for stream, peer := range h.streams {
			if !h.silent[peer] && !h.down[peer] {
				h.follower.HandleHeartbeat(stream, h.heartbeat(peer), h.now)
			}
		}
	}
}

// TestFollowersSpreadOverRelays lets 2,600 followers in 9 zones select among 15 relays. Each must prefer a relay of its
// zone, and the relays of a zone must have equal shares of its followers. When one relay fails, its followers must find
// another relay within a second, and their failovers must be spread over FailoverJitter.
func TestFollowersSpreadOverRelays(t *testing.T) {
	relays, zones := fleetShape()
	const nodes = 2600
	harnesses := make([]*followerHarness, nodes)
	followersByRelay := make(map[string]int)
	empty := New()
	for i := range harnesses {
		z := zones[i%9]
		harnesses[i] = newHarness(Options{Name: fmt.Sprint("node-", i), Zone: z.Zone, Region: z.Region, Peers: relays, Seed: uint64(i)}, empty)
		for range 5 {
			harnesses[i].step(DialStagger)
		}
		peer, inSync := harnesses[i].follower.Following(harnesses[i].now)
		if !inSync {
			t.Fatalf("node %d follows no relay in sync", i)
		}
		followersByRelay[peer]++
	}
	t.Logf("followers by relay: %v", followersByRelay)
	for peer, n := range followersByRelay {
		if n > nodes/9+1 { // a zone has one or two relays
			t.Errorf("%s has %d followers, want at most those of one zone", peer, n)
		}
	}
	failoverTimes, newRelays := make(map[int]int), make(map[string]int)
	for _, harness := range harnesses {
		if peer, _ := harness.follower.Following(harness.now); peer != "relay-0" {
			continue
		}
		harness.down["relay-0"] = true
		failedAt := harness.now
		for stream, peer := range harness.streams {
			if delete(harness.streams, stream); peer == "relay-0" {
				harness.follower.HandleLost(stream, harness.now)
			}
		}
		for inSync := false; !inSync; _, inSync = harness.follower.Following(harness.now) {
			if harness.step(10 * time.Millisecond); harness.now-failedAt > time.Second {
				t.Fatal("a follower found no other relay within a second")
			}
		}
		peer, _ := harness.follower.Following(harness.now)
		failoverTimes[int((harness.now-failedAt)/(50*time.Millisecond))]++
		newRelays[peer]++
	}
	t.Logf("followers of the failed relay by 50 ms intervals: %v, by new relay: %v", failoverTimes, newRelays)
	for _, n := range failoverTimes {
		if n > followersByRelay["relay-0"]/2 {
			t.Errorf("%d of %d followers failed over within the same 50 ms, want at most half", n, followersByRelay["relay-0"])
		}
	}
}

// TestDialRateWhileAllRelaysAreDown stops all relays for ten minutes. The follower must dial each of them at the rate
// that RedialInterval allows, and not much less often.
func TestDialRateWhileAllRelaysAreDown(t *testing.T) {
	relays, zones := fleetShape()
	harness := newHarness(Options{Name: "node", Zone: zones[0].Zone, Region: zones[0].Region, Peers: relays}, New())
	for _, r := range relays {
		harness.down[r.Name] = true
	}
	const minutes = 10
	for range minutes * 600 {
		harness.step(DialStagger)
	}
	for _, r := range relays {
		if most, least := minutes*60*1000/1125, minutes*60/2; harness.dials[r.Name] > most+1 || harness.dials[r.Name] < least {
			t.Errorf("dialled %s %d times in %d minutes, want %d to %d", r.Name, harness.dials[r.Name], minutes, least, most)
		}
	}
}

// TestRecoveredRelayIsFoundWithinTwoSeconds simulates random failures of 15 relays and an outage of all of them, in
// which dials hang. Then one relay recovers. The follower must follow it within 2 s after any sequence of failures.
func TestRecoveredRelayIsFoundWithinTwoSeconds(t *testing.T) {
	relays, zones := fleetShape()
	var longest time.Duration
	rapid.Check(t, func(t *rapid.T) {
		z := zones[rapid.IntRange(0, 8).Draw(t, "zone")]
		harness := newHarness(Options{Name: "node", Zone: z.Zone, Region: z.Region, Peers: relays, Seed: rapid.Uint64().Draw(t, "seed")}, New())
		for range rapid.IntRange(0, 4).Draw(t, "earlier failures") {
			for _, r := range relays {
				harness.down[r.Name], harness.silent[r.Name] = rapid.Bool().Draw(t, "down"), rapid.Bool().Draw(t, "silent")
			}
			for range rapid.IntRange(0, 200).Draw(t, "steps") {
				harness.step(DialStagger)
			}
		}
		for _, r := range relays {
			harness.down[r.Name], harness.silent[r.Name] = true, false
		}
		for range rapid.IntRange(30, 120).Draw(t, "steps of the outage") { // longer than HeartbeatTimeout, so that open streams close
			harness.step(DialStagger)
		}
		harness.down[relays[rapid.IntRange(0, 14).Draw(t, "recovered")].Name] = false
		recoveredAt := harness.now
		for inSync := false; !inSync; _, inSync = harness.follower.Following(harness.now) {
			if harness.step(20 * time.Millisecond); harness.now-recoveredAt > 2*time.Second {
				t.Fatalf("the follower did not find the recovered relay within %v", harness.now-recoveredAt)
			}
		}
		longest = max(longest, harness.now-recoveredAt)
	})
	t.Logf("the recovered relay was found within %v", longest)
}

// TestStaleRelayIsKeptWhileOthersAreProbed makes all relays stale, as while the voters have no majority. The follower
// must keep its relay and probe another one about every RedialInterval. When the relays of other regions are in sync,
// it must find one of them, because it first probes peers that share no locality with the stale ones.
func TestStaleRelayIsKeptWhileOthersAreProbed(t *testing.T) {
	relays, zones := fleetShape()
	harness := newHarness(Options{Name: "node", Zone: zones[0].Zone, Region: zones[0].Region, Peers: relays}, New())
	stale := make(map[string]bool)
	for _, r := range relays {
		stale[r.Name] = true
	}
	harness.heartbeat = func(peer string) Heartbeat {
		heartbeat := Heartbeat{Digest: harness.follower.State().Digest()}
		if stale[peer] {
			heartbeat.Age = time.Minute + harness.now
		}
		return heartbeat
	}
	for range 600 {
		harness.step(DialStagger)
		if peer, _ := harness.follower.Following(harness.now); peer == "" && harness.now > time.Second {
			t.Fatal("the follower follows no relay, want one")
		}
	}
	dials := 0
	for _, n := range harness.dials {
		dials += n
	}
	if dials < 30 || dials > 56 {
		t.Errorf("%d dials in a minute, want 30 to 56", dials)
	}
	clear(stale)
	for _, r := range relays {
		stale[r.Name] = r.Region == zones[0].Region // the region is partitioned from the others in one direction
	}
	for _, p := range harness.follower.peers {
		p.backoffUntil, p.lastDialed = 0, -AgeUnknown // long ago
	}
	start := harness.now
	for inSync := false; !inSync; _, inSync = harness.follower.Following(harness.now) {
		if harness.step(DialStagger); harness.now-start > 2*RedialInterval {
			t.Fatal("the follower found no relay in sync, want one")
		}
	}
	if age := harness.follower.Age(harness.now); age > DialStagger {
		t.Errorf("the age after a failover is %v, want at most DialStagger", age)
	}
}

// TestFollowersReturnToPreferredRelay stops and restarts the preferred relay of 60 followers. All must return to it
// within PreferredRetryInterval, and not all in the same minute.
func TestFollowersReturnToPreferredRelay(t *testing.T) {
	relays, zones := fleetShape()
	returned := make(map[time.Duration]int) // by minute
	for i := range 60 {
		harness := newHarness(Options{Name: fmt.Sprint("node-", i), Zone: zones[1].Zone, Region: zones[1].Region, Peers: relays, Seed: uint64(i)}, New())
		preferred := harness.follower.peers[0].Name
		harness.down[preferred] = true
		harness.step(FailoverJitter)
		harness.step(FailoverJitter)
		harness.step(2 * time.Second)
		if peer, inSync := harness.follower.Following(harness.now); peer == preferred || !inSync {
			t.Fatalf("the follower of a failed relay follows %q", peer)
		}
		harness.down[preferred] = false
		for peer := ""; peer != preferred; peer, _ = harness.follower.Following(harness.now) {
			if harness.step(time.Second); harness.now > PreferredRetryInterval+time.Minute {
				t.Fatal("a follower did not return to its preferred relay")
			}
		}
		returned[harness.now/time.Minute]++
	}
	if len(returned) < 2 {
		t.Errorf("all followers returned in the same minute, want several minutes: %v", returned)
	}
}

// divergedStates returns a state that the voters never committed, and the voters' state.
func divergedStates(t testing.TB) (own, theirs *State) {
	own, theirs = New(), New()
	propose(t, own, 0, put(PoolKey("p"), `{"false":1}`))
	propose(t, theirs, 0, put(PoolKey("p"), `{}`))
	propose(t, theirs, 1, put(PoolKey("p"), `{"n":2}`))
	return own, theirs
}

// TestDivergedFollowerInstallsSnapshot starts a follower whose history differs from that of one, two or three of its
// three relays. If it differs from most of them, the follower must consider its own state diverged and install their
// snapshot. If it differs from only one, the follower must consider that relay faulty.
func TestDivergedFollowerInstallsSnapshot(t *testing.T) {
	for _, disagreeing := range []int{1, 2, 3} {
		own, theirs := divergedStates(t)
		peers := []Peer{{Name: "a"}, {Name: "b"}, {Name: "c"}}
		harness := newHarness(Options{Name: "node", Peers: peers}, own)
		disagrees := make(map[string]bool)
		for _, p := range harness.follower.peers[:disagreeing] {
			disagrees[p.Name] = true
		}
		harness.heartbeat = func(peer string) Heartbeat {
			if disagrees[peer] {
				return Heartbeat{Version: 2, Digest: theirs.Digest()}
			}
			return Heartbeat{Version: own.Version(), Digest: own.Digest()}
		}
		changes, _ := theirs.ChangesSince(1)
		for range 200 {
			harness.step(DialStagger)
			for stream, peer := range harness.streams {
				if disagrees[peer] && harness.follower.Diverged() {
					for _, chunk := range chunksOf(theirs.Snapshot()) {
						harness.follower.HandleChunk(stream, chunk, harness.now)
					}
				} else if disagrees[peer] {
					harness.follower.HandleChanges(stream, changes, harness.now)
				}
			}
		}
		if installed := harness.follower.State().Digest() == theirs.Digest(); installed != (disagreeing >= 2) || harness.follower.Diverged() {
			t.Errorf("with %d of 3 relays that disagree: snapshot installed is %v, diverged is %v", disagreeing, installed, harness.follower.Diverged())
		}
	}
}

// TestSnapshotsAreSentInTurn opens twice as many streams that need a snapshot as MaxSnapshotStreams. Streams with a slot
// must share one snapshot. When a stream closes or accepts no data, its slot must go to the next stream in the queue. A
// stream that needs only changes must not wait, and finally all streams must receive a whole snapshot.
func TestSnapshotsAreSentInTurn(t *testing.T) {
	useSmallBounds(t)
	state := New()
	for range 10 {
		propose(t, state, state.Version(), put(PoolKey("a"), `{}`), put(PoolKey("b"), `{}`), put(PoolKey(fmt.Sprint("c", state.Version())), `{}`))
	}
	var tracker ProgressTracker
	next := func(p *Progress, now time.Duration) Message { return nextAfterHeartbeat(p, state, now) }
	streams := make([]*Progress, 2*MaxSnapshotStreams)
	for i := range streams {
		if streams[i] = tracker.Open(); next(streams[i], 0) != nil {
			t.Fatal("the stream has a message before Resume, want none")
		}
		streams[i].Resume(0, false)
		if got := next(streams[i], 0); (got != nil) != (i < MaxSnapshotStreams) {
			t.Fatalf("the next message of stream %d is %T, want one only for the first MaxSnapshotStreams streams", i, got)
		}
	}
	for _, p := range streams[:MaxSnapshotStreams] {
		if p.snapshot != tracker.snapshot {
			t.Fatal("the streams do not share one snapshot")
		}
	}
	nearlyCurrent := tracker.Open()
	nearlyCurrent.Resume(state.Version()-1, false)
	if got, ok := next(nearlyCurrent, 0).(Changes); !ok || len(got) != 1 {
		t.Fatalf("the next message of a stream that lags by one change is %v, want that change", got)
	}
	waiting := streams[MaxSnapshotStreams]
	if h, ok := waiting.NextMessage(state, 0, HeartbeatInterval).(Heartbeat); !ok || !h.SnapshotQueued {
		t.Fatalf("the heartbeat of a queued stream is %+v, want SnapshotQueued", h)
	}
	streams[0].Close()
	if next(streams[MaxSnapshotStreams+1], HeartbeatInterval) != nil || next(waiting, HeartbeatInterval) == nil {
		t.Fatal("the slot of a closed stream did not go to the first stream in the queue")
	}
	late := SnapshotIdleTimeout + HeartbeatInterval // the others have accepted no data since time 0
	if next(streams[MaxSnapshotStreams+1], late) == nil {
		t.Fatal("a stream that accepts no data did not lose its slot")
	}
	// The stream that lost its slot starts again at the end of the queue, and all streams receive the whole snapshot.
	now := late
	for _, p := range streams[1:] {
		hadNoTurn := p == streams[len(streams)-1]
		now = receiveSnapshot(t, p, state, now, late+time.Hour, hadNoTurn)
	}
	if len(tracker.sending)+len(tracker.queue) > 0 || tracker.snapshot != nil {
		t.Fatalf("%d streams have a slot and %d are queued, want none", len(tracker.sending), len(tracker.queue))
	}
}

// nextAfterHeartbeat returns a stream's next message. It skips one heartbeat.
func nextAfterHeartbeat(p *Progress, state *State, now time.Duration) Message {
	m := p.NextMessage(state, 0, now)
	if _, ok := m.(Heartbeat); ok {
		m = p.NextMessage(state, 0, now)
	}
	return m
}

// receiveSnapshot receives a stream's messages, one per second, until the whole state is sent, and returns the time
// then. If checkChunks is set, the chunks must build the state.
func receiveSnapshot(t *testing.T, p *Progress, state *State, now, deadline time.Duration, checkChunks bool) time.Duration {
	t.Helper()
	builder := NewSnapshotBuilder()
	for ; p.SentVersion() != state.Version(); now += time.Second {
		if now > deadline {
			t.Fatal("a stream did not get a slot before the deadline")
		}
		chunk, ok := nextAfterHeartbeat(p, state, now).(SnapshotChunk)
		if !ok {
			continue
		}
		if chunk.After == "" && chunk.LogOffset == 0 {
			builder = NewSnapshotBuilder()
		}
		if _, err := builder.Add(chunk); err != nil && checkChunks {
			t.Fatal(err)
		}
	}
	return now
}
