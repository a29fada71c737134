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

// followerHarness drives one follower against relays that answer at once or never.
type followerHarness struct {
	follower  *Follower
	now       time.Duration
	down      map[string]bool // it never answers
	mute      map[string]bool // it accepts connections and sends nothing
	streams   map[uint64]string
	dials     map[string]int
	heartbeat func(peer string) Heartbeat
}

func newHarness(o Options, s *State) *followerHarness {
	l := &followerHarness{follower: NewFollower(o, s, 0), down: map[string]bool{}, mute: map[string]bool{}, streams: map[uint64]string{}, dials: map[string]int{}}
	l.heartbeat = func(string) Heartbeat {
		return Heartbeat{Version: l.follower.State().Version(), Digest: l.follower.State().Digest()}
	}
	return l
}

// step lets time pass. Each stream has a heartbeat in each step.
func (l *followerHarness) step(d time.Duration) {
	l.now += d
	l.follower.Tick(l.now)
	for actions, first := l.follower.Ready(), true; first || len(actions) > 0; actions, first = l.follower.Ready(), false {
		for _, a := range actions {
			switch a := a.(type) {
			case Dial:
				l.dials[a.Peer]++
				if !l.down[a.Peer] {
					l.streams[a.Stream] = a.Peer
					l.follower.HandleConnected(a.Stream, l.now)
				}
			case CloseStream:
				delete(l.streams, a.Stream)
			}
		}
		for stream, peer := range l.streams {
			if !l.mute[peer] && !l.down[peer] {
				l.follower.HandleHeartbeat(stream, l.heartbeat(peer), l.now)
			}
		}
	}
}

// TestFollowersSpreadOverRelays has 2,600 followers in 9 zones select among 15 relays: each prefers its zone, and
// the relays of a zone share its followers evenly. As one relay fails its followers find another within a
// second, spread over FailoverJitter.
func TestFollowersSpreadOverRelays(t *testing.T) {
	relays, zones := fleetShape()
	const nodes = 2600
	labs := make([]*followerHarness, nodes)
	at := make(map[string]int)
	empty := New()
	for i := range labs {
		z := zones[i%9]
		labs[i] = newHarness(Options{Name: fmt.Sprint("node-", i), Zone: z.Zone, Region: z.Region, Peers: relays, Seed: uint64(i)}, empty)
		for range 5 {
			labs[i].step(DialStagger)
		}
		peer, level := labs[i].follower.Following(labs[i].now)
		if !level {
			t.Fatalf("node %d follows no relay", i)
		}
		at[peer]++
	}
	t.Logf("followers by relay: %v", at)
	for peer, n := range at {
		if n > nodes/9+1 { // a zone has one relay or two
			t.Errorf("%s has %d followers", peer, n)
		}
	}
	when, to := make(map[int]int), make(map[string]int)
	for _, l := range labs {
		if peer, _ := l.follower.Following(l.now); peer != "relay-0" {
			continue
		}
		l.down["relay-0"] = true
		died := l.now
		for stream, peer := range l.streams {
			if delete(l.streams, stream); peer == "relay-0" {
				l.follower.HandleLost(stream, l.now)
			}
		}
		for is := false; !is; _, is = l.follower.Following(l.now) {
			if l.step(10 * time.Millisecond); l.now-died > time.Second {
				t.Fatal("no other relay was found within a second")
			}
		}
		peer, _ := l.follower.Following(l.now)
		when[int((l.now-died)/(50*time.Millisecond))]++
		to[peer]++
	}
	t.Logf("the failed relay's followers: by 50 ms %v, by relay %v", when, to)
	for _, n := range when {
		if n > at["relay-0"]/2 {
			t.Errorf("%d of %d followers failed over within the same 50 ms", n, at["relay-0"])
		}
	}
}

// TestDialRateWhileAllRelaysAreDown takes all relays down for ten minutes: a follower dials each of them at the rate
// that RedialInterval allows, neither more nor much less.
func TestDialRateWhileAllRelaysAreDown(t *testing.T) {
	relays, zones := fleetShape()
	l := newHarness(Options{Name: "node", Zone: zones[0].Zone, Region: zones[0].Region, Peers: relays}, New())
	for _, r := range relays {
		l.down[r.Name] = true
	}
	const minutes = 10
	for range minutes * 600 {
		l.step(DialStagger)
	}
	for _, r := range relays {
		if most, least := minutes*60*1000/1125, minutes*60/2; l.dials[r.Name] > most+1 || l.dials[r.Name] < least {
			t.Errorf("%s was dialled %d times in %d minutes, want %d to %d", r.Name, l.dials[r.Name], minutes, least, most)
		}
	}
}

// TestRecoveredRelayIsFoundWithinTwoSeconds plays random failures of 15 relays, and then leaves one of them reachable
// while dials of all others hang. Whatever came before, the follower follows it in under 2 s.
func TestRecoveredRelayIsFoundWithinTwoSeconds(t *testing.T) {
	relays, zones := fleetShape()
	var longest time.Duration
	rapid.Check(t, func(t *rapid.T) {
		z := zones[rapid.IntRange(0, 8).Draw(t, "zone")]
		l := newHarness(Options{Name: "node", Zone: z.Zone, Region: z.Region, Peers: relays, Seed: rapid.Uint64().Draw(t, "seed")}, New())
		for range rapid.IntRange(0, 4).Draw(t, "pasts") {
			for _, r := range relays {
				l.down[r.Name], l.mute[r.Name] = rapid.Bool().Draw(t, "dead"), rapid.Bool().Draw(t, "mute")
			}
			for range rapid.IntRange(0, 200).Draw(t, "steps") {
				l.step(DialStagger)
			}
		}
		for _, r := range relays {
			l.down[r.Name], l.mute[r.Name] = true, false
		}
		for range rapid.IntRange(30, 120).Draw(t, "steps of the outage") { // HeartbeatTimeout ends open streams
			l.step(DialStagger)
		}
		l.down[relays[rapid.IntRange(0, 14).Draw(t, "back")].Name] = false
		back := l.now
		for is := false; !is; _, is = l.follower.Following(l.now) {
			if l.step(20 * time.Millisecond); l.now-back > 2*time.Second {
				t.Fatalf("not found in %v", l.now-back)
			}
		}
		longest = max(longest, l.now-back)
	})
	t.Logf("found within %v", longest)
}

// TestStaleRelayIsKeptWhileOthersAreProbed has all relays stale, as while the voters have no majority. The follower
// keeps its relay and probes another about each RedialInterval. Once those of other regions are in sync one of
// them is found, since peers that share no locality with the stale ones are probed first.
func TestStaleRelayIsKeptWhileOthersAreProbed(t *testing.T) {
	relays, zones := fleetShape()
	l := newHarness(Options{Name: "node", Zone: zones[0].Zone, Region: zones[0].Region, Peers: relays}, New())
	stale := make(map[string]bool)
	for _, r := range relays {
		stale[r.Name] = true
	}
	l.heartbeat = func(peer string) Heartbeat {
		o := Heartbeat{Digest: l.follower.State().Digest()}
		if stale[peer] {
			o.Age = time.Minute + l.now
		}
		return o
	}
	for range 600 {
		l.step(DialStagger)
		if peer, _ := l.follower.Following(l.now); peer == "" && l.now > time.Second {
			t.Fatal("it follows no relay")
		}
	}
	dials := 0
	for _, n := range l.dials {
		dials += n
	}
	if dials < 30 || dials > 56 {
		t.Errorf("%d dials in a minute", dials)
	}
	clear(stale)
	for _, r := range relays {
		stale[r.Name] = r.Region == zones[0].Region // partitioned from the others in one direction
	}
	for _, p := range l.follower.peers {
		p.backoffUntil, p.lastDialed = 0, -AgeUnknown // long ago
	}
	from := l.now
	for is := false; !is; _, is = l.follower.Following(l.now) {
		if l.step(DialStagger); l.now-from > 2*RedialInterval {
			t.Fatal("no relay in sync was found")
		}
	}
	if age := l.follower.Age(l.now); age > DialStagger {
		t.Errorf("the age is %v", age)
	}
}

// TestPreferredRelayGetsItsFollowersBack takes the preferred relay of 60 followers down and up again: all return to it
// within PreferredRetryInterval, and not in the same minute.
func TestPreferredRelayGetsItsFollowersBack(t *testing.T) {
	relays, zones := fleetShape()
	back := make(map[time.Duration]int) // by minute
	for i := range 60 {
		l := newHarness(Options{Name: fmt.Sprint("node-", i), Zone: zones[1].Zone, Region: zones[1].Region, Peers: relays, Seed: uint64(i)}, New())
		home := l.follower.peers[0].Name
		l.down[home] = true
		l.step(FailoverJitter)
		l.step(FailoverJitter)
		l.step(2 * time.Second)
		if peer, level := l.follower.Following(l.now); peer == home || !level {
			t.Fatalf("follows %q", peer)
		}
		l.down[home] = false
		for peer := ""; peer != home; peer, _ = l.follower.Following(l.now) {
			if l.step(time.Second); l.now > PreferredRetryInterval+time.Minute {
				t.Fatal("it does not return to its preferred relay")
			}
		}
		back[l.now/time.Minute]++
	}
	if len(back) < 2 {
		t.Errorf("all returned in the same minute: %v", back)
	}
}

// divergedStates returns a state that the voters never made, and theirs.
func divergedStates(t testing.TB) (own, theirs *State) {
	own, theirs = New(), New()
	propose(t, own, 0, put(PoolKey("p"), `{"false":1}`))
	propose(t, theirs, 0, put(PoolKey("p"), `{}`))
	propose(t, theirs, 1, put(PoolKey("p"), `{"n":2}`))
	return own, theirs
}

// TestDivergedFollowerInstallsSnapshot gives a follower another history than one, two or three of its three relays.
// Against most of them it takes its own for wrong and installs theirs as a whole; a single relay is taken for
// wrong instead.
func TestDivergedFollowerInstallsSnapshot(t *testing.T) {
	for _, disagreeing := range []int{1, 2, 3} {
		own, theirs := divergedStates(t)
		peers := []Peer{{Name: "a"}, {Name: "b"}, {Name: "c"}}
		l := newHarness(Options{Name: "node", Peers: peers}, own)
		disagrees := make(map[string]bool)
		for _, p := range l.follower.peers[:disagreeing] {
			disagrees[p.Name] = true
		}
		l.heartbeat = func(peer string) Heartbeat {
			if disagrees[peer] {
				return Heartbeat{Version: 2, Digest: theirs.Digest()}
			}
			return Heartbeat{Version: own.Version(), Digest: own.Digest()}
		}
		changes, _ := theirs.Since(1)
		for range 200 {
			l.step(DialStagger)
			for stream, peer := range l.streams {
				if disagrees[peer] && l.follower.Diverged() {
					for _, p := range chunksOf(theirs.Snapshot()) {
						l.follower.HandleChunk(stream, p, l.now)
					}
				} else if disagrees[peer] {
					l.follower.HandleChanges(stream, changes, l.now)
				}
			}
		}
		if is := l.follower.State().Digest() == theirs.Digest(); is != (disagreeing >= 2) || l.follower.Diverged() {
			t.Errorf("%d of 3 disagree: it installed theirs: %v, diverged: %v", disagreeing, is, l.follower.Diverged())
		}
	}
}

// TestSnapshotsAreSentInTurn opens twice as many streams that need a snapshot as may be sent one at a time. Those
// with a turn share one snapshot. A stream that closes or takes nothing gives its turn to the next in the queue,
// a stream that needs changes alone does not wait, and all get a whole snapshot in the end.
func TestSnapshotsAreSentInTurn(t *testing.T) {
	useSmallBounds(t)
	s := New()
	for range 10 {
		propose(t, s, s.Version(), put(PoolKey("a"), `{}`), put(PoolKey("b"), `{}`), put(PoolKey(fmt.Sprint("c", s.Version())), `{}`))
	}
	var tracker ProgressTracker
	next := func(p *Progress, now time.Duration) Message { return nextAfterHeartbeat(p, s, now) }
	streams := make([]*Progress, 2*MaxSnapshotStreams)
	for i := range streams {
		if streams[i] = tracker.Open(); next(streams[i], 0) != nil {
			t.Fatal("a message before Resume")
		}
		streams[i].Resume(0, false)
		if got := next(streams[i], 0); (got != nil) != (i < MaxSnapshotStreams) {
			t.Fatalf("stream %d gets %T", i, got)
		}
	}
	for _, p := range streams[:MaxSnapshotStreams] {
		if p.snapshot != tracker.snapshot {
			t.Fatal("a snapshot is not shared")
		}
	}
	near := tracker.Open()
	near.Resume(s.Version()-1, false)
	if got, ok := next(near, 0).(Changes); !ok || len(got) != 1 {
		t.Fatalf("a stream that lags by one change gets %v", got)
	}
	waits := streams[MaxSnapshotStreams]
	if h, ok := waits.NextMessage(s, 0, HeartbeatInterval).(Heartbeat); !ok || !h.SnapshotQueued {
		t.Fatalf("a stream that waits gets %+v", h)
	}
	streams[0].Close()
	if next(streams[MaxSnapshotStreams+1], HeartbeatInterval) != nil || next(waits, HeartbeatInterval) == nil {
		t.Fatal("the turn went to a later stream")
	}
	late := SnapshotIdleTimeout + HeartbeatInterval // the others have taken nothing since 0
	if next(streams[MaxSnapshotStreams+1], late) == nil {
		t.Fatal("a stream that takes nothing keeps its turn")
	}
	// The one that lost its turn starts again in the end, and all get the whole snapshot.
	now := late
	for _, p := range streams[1:] {
		hadNoTurn := p == streams[len(streams)-1]
		now = receiveSnapshot(t, p, s, now, late+time.Hour, hadNoTurn)
	}
	if len(tracker.sending)+len(tracker.queue) > 0 || tracker.snapshot != nil {
		t.Fatalf("%d streams have a turn, %d wait", len(tracker.sending), len(tracker.queue))
	}
}

// nextAfterHeartbeat returns a stream's next message that is not a heartbeat.
func nextAfterHeartbeat(p *Progress, s *State, now time.Duration) Message {
	m := p.NextMessage(s, 0, now)
	if _, ok := m.(Heartbeat); ok {
		m = p.NextMessage(s, 0, now)
	}
	return m
}

// receiveSnapshot takes a stream's messages, one a second, until all of the state is sent, and returns the time. Where
// the chunks are checked they have to build the state.
func receiveSnapshot(t *testing.T, p *Progress, s *State, now, deadline time.Duration, checkChunks bool) time.Duration {
	t.Helper()
	builder := NewSnapshotBuilder()
	for ; p.Sent() != s.Version(); now += time.Second {
		if now > deadline {
			t.Fatal("a stream never gets its turn")
		}
		chunk, ok := nextAfterHeartbeat(p, s, now).(SnapshotChunk)
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
