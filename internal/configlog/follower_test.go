package configlog

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// site is a fleet's shape: 15 relays in 9 zones of 4 regions.
func site() (relays []Peer, zones []Peer) {
	for i := range 9 {
		zones = append(zones, Peer{Zone: fmt.Sprint("zone-", i), Region: fmt.Sprint("region-", i%4)})
	}
	for i := range 15 {
		relays = append(relays, Peer{Name: fmt.Sprint("relay-", i), Zone: zones[i%9].Zone, Region: zones[i%9].Region})
	}
	return relays, zones
}

// lab drives one follower against relays that answer at once, or never.
type lab struct {
	f     *Follower
	now   time.Duration
	dead  map[string]bool // never answers
	mute  map[string]bool // answers, and says nothing
	open  map[uint64]string
	dials map[string]int
	offer func(peer string) Offer
}

func newLab(o Options, s *State) *lab {
	l := &lab{f: NewFollower(o, s, 0), dead: map[string]bool{}, mute: map[string]bool{}, open: map[uint64]string{}, dials: map[string]int{}}
	l.offer = func(string) Offer { return Offer{Version: l.f.State().Version(), Digest: l.f.State().Digest()} }
	return l
}

// step lets time pass; heartbeats come with every step.
func (l *lab) step(d time.Duration) {
	l.now += d
	l.f.Tick(l.now)
	for actions, first := l.f.Take(), true; first || len(actions) > 0; actions, first = l.f.Take(), false {
		for _, a := range actions {
			switch a := a.(type) {
			case Dial:
				l.dials[a.Peer]++
				if !l.dead[a.Peer] {
					l.open[a.Stream] = a.Peer
					l.f.Connected(a.Stream, l.now)
				}
			case Leave:
				delete(l.open, a.Stream)
			}
		}
		for stream, peer := range l.open {
			if !l.mute[peer] && !l.dead[peer] {
				l.f.Offer(stream, l.offer(peer), l.now)
			}
		}
	}
}

// TestFollowersSpread: relays share followers about evenly within a zone's reach, and the followers of one that
// dies spread over all that are as near, over Spread.
func TestFollowersSpread(t *testing.T) {
	relays, zones := site()
	const nodes = 2600
	labs := make([]*lab, nodes)
	at := make(map[string]int)
	empty := New()
	for i := range labs {
		z := zones[i%9]
		labs[i] = newLab(Options{Name: fmt.Sprint("node-", i), Zone: z.Zone, Region: z.Region, Peers: relays, Seed: uint64(i)}, empty)
		for range 5 {
			labs[i].step(Stagger)
		}
		peer, level := labs[i].f.Following(labs[i].now)
		if !level {
			t.Fatalf("node %d follows nobody", i)
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
		if peer, _ := l.f.Following(l.now); peer != "relay-0" {
			continue
		}
		l.dead["relay-0"] = true
		died := l.now
		for stream, peer := range l.open {
			if delete(l.open, stream); peer == "relay-0" {
				l.f.Lost(stream, l.now)
			}
		}
		for is := false; !is; _, is = l.f.Following(l.now) {
			if l.step(10 * time.Millisecond); l.now-died > time.Second {
				t.Fatal("it found no other relay for a second")
			}
		}
		peer, _ := l.f.Following(l.now)
		when[int((l.now-died)/(50*time.Millisecond))]++
		to[peer]++
	}
	t.Logf("the followers of the one that died: by 50 ms %v, by relay %v", when, to)
	for _, n := range when {
		if n > at["relay-0"]/2 {
			t.Errorf("%d of %d came within 50 ms", n, at["relay-0"])
		}
	}
}

// TestDialsWhileAllIsDown: the fleet's dials stay within what the design note adds up, however long nobody answers.
func TestDialsWhileAllIsDown(t *testing.T) {
	relays, zones := site()
	l := newLab(Options{Name: "node", Zone: zones[0].Zone, Region: zones[0].Region, Peers: relays}, New())
	for _, r := range relays {
		l.dead[r.Name] = true
	}
	const minutes = 10
	for range minutes * 600 {
		l.step(Stagger)
	}
	for _, r := range relays {
		if most, least := minutes*60*1000/1125, minutes*60/2; l.dials[r.Name] > most+1 || l.dials[r.Name] < least {
			t.Errorf("%s was dialled %d times in %d minutes; %d to %d are the bounds", r.Name, l.dials[r.Name], minutes, least, most)
		}
	}
}

// TestNewsIsHeardWithinTwoSeconds: whatever came before, one relay of 15 that can be reached again, while dials at all
// others hang, is heard in under 2 s.
func TestNewsIsHeardWithinTwoSeconds(t *testing.T) {
	relays, zones := site()
	var most time.Duration
	rapid.Check(t, func(t *rapid.T) {
		z := zones[rapid.IntRange(0, 8).Draw(t, "zone")]
		l := newLab(Options{Name: "node", Zone: z.Zone, Region: z.Region, Peers: relays, Seed: rapid.Uint64().Draw(t, "seed")}, New())
		for range rapid.IntRange(0, 4).Draw(t, "pasts") {
			for _, r := range relays {
				l.dead[r.Name], l.mute[r.Name] = rapid.Bool().Draw(t, "dead"), rapid.Bool().Draw(t, "mute")
			}
			for range rapid.IntRange(0, 200).Draw(t, "steps") {
				l.step(Stagger)
			}
		}
		for _, r := range relays {
			l.dead[r.Name], l.mute[r.Name] = true, false
		}
		for range rapid.IntRange(30, 120).Draw(t, "steps of the outage") { // Silence ends what was open
			l.step(Stagger)
		}
		l.dead[relays[rapid.IntRange(0, 14).Draw(t, "back")].Name] = false
		back := l.now
		for is := false; !is; _, is = l.f.Following(l.now) {
			if l.step(20 * time.Millisecond); l.now-back > 2*time.Second {
				t.Fatalf("not heard in %v", l.now-back)
			}
		}
		most = max(most, l.now-back)
	})
	t.Logf("heard within %v", most)
}

// TestStaleRelaysAreKeptAndOthersLookedAt: with all relays behind, as while the voters agree on nothing, followers stay and look
// at one other relay every Retry or so; one that is level is found, and those far from what is wanting go first.
func TestStaleRelaysAreKeptAndOthersLookedAt(t *testing.T) {
	relays, zones := site()
	l := newLab(Options{Name: "node", Zone: zones[0].Zone, Region: zones[0].Region, Peers: relays}, New())
	stale := make(map[string]bool)
	for _, r := range relays {
		stale[r.Name] = true
	}
	l.offer = func(peer string) Offer {
		o := Offer{Digest: l.f.State().Digest()}
		if stale[peer] {
			o.Age = time.Minute + l.now
		}
		return o
	}
	for range 600 {
		l.step(Stagger)
		if peer, _ := l.f.Following(l.now); peer == "" && l.now > time.Second {
			t.Fatal("it follows nobody")
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
		stale[r.Name] = r.Region == zones[0].Region // cut off from the others, one way
	}
	for _, p := range l.f.peers {
		p.shunned, p.tried = 0, -Never // long ago
	}
	from := l.now
	for is := false; !is; _, is = l.f.Following(l.now) {
		if l.step(Stagger); l.now-from > 2*Retry {
			t.Fatal("no level relay was found")
		}
	}
	if age := l.f.Age(l.now); age > Stagger {
		t.Errorf("the age is %v", age)
	}
}

// TestNearerRelaysGetTheirFollowersBack: a relay that was away is looked for again, and not by all at once.
func TestNearerRelaysGetTheirFollowersBack(t *testing.T) {
	relays, zones := site()
	back := make(map[time.Duration]int) // by minute
	for i := range 60 {
		l := newLab(Options{Name: fmt.Sprint("node-", i), Zone: zones[1].Zone, Region: zones[1].Region, Peers: relays, Seed: uint64(i)}, New())
		home := l.f.peers[0].Name
		l.dead[home] = true
		l.step(Spread)
		l.step(Spread)
		l.step(2 * time.Second)
		if peer, level := l.f.Following(l.now); peer == home || !level {
			t.Fatalf("follows %q", peer)
		}
		l.dead[home] = false
		for peer := ""; peer != home; peer, _ = l.f.Following(l.now) {
			if l.step(time.Second); l.now > Home+time.Minute {
				t.Fatal("its relay has no follower")
			}
		}
		back[l.now/time.Minute]++
	}
	if len(back) < 2 {
		t.Errorf("all came back in the same minute: %v", back)
	}
}

// forked is a state that some voters never made, and theirs.
func forked(t testing.TB) (own, theirs *State) {
	own, theirs = New(), New()
	propose(t, own, 0, put(PoolKey("p"), `{"false":1}`))
	propose(t, theirs, 0, put(PoolKey("p"), `{}`))
	propose(t, theirs, 1, put(PoolKey("p"), `{"n":2}`))
	return own, theirs
}

// TestDoubt: who has another history than most of its relays takes theirs whole; one alone is left instead.
func TestDoubt(t *testing.T) {
	for _, deny := range []int{1, 2, 3} {
		own, theirs := forked(t)
		peers := []Peer{{Name: "a"}, {Name: "b"}, {Name: "c"}}
		l := newLab(Options{Name: "node", Peers: peers}, own)
		denies := make(map[string]bool)
		for _, p := range l.f.peers[:deny] {
			denies[p.Name] = true
		}
		l.offer = func(peer string) Offer {
			if denies[peer] {
				return Offer{Version: 2, Digest: theirs.Digest()}
			}
			return Offer{Version: own.Version(), Digest: own.Digest()}
		}
		changes, _ := theirs.Since(1)
		for range 200 {
			l.step(Stagger)
			for stream, peer := range l.open {
				if denies[peer] && l.f.Doubts() {
					for _, p := range pieces(theirs.Snapshot()) {
						l.f.Piece(stream, p, l.now)
					}
				} else if denies[peer] {
					l.f.Changes(stream, changes, l.now)
				}
			}
		}
		if is := l.f.State().Digest() == theirs.Digest(); is != (deny >= 2) || l.f.Doubts() {
			t.Errorf("%d of 3 deny what it has: it took theirs: %v, in doubt: %v", deny, is, l.f.Doubts())
		}
	}
}

// TestRelaysGiveSnapshotsInTurn: as many streams as are allowed are sent one snapshot that they share; those that take
// nothing lose their place to who waits, and who is a little behind waits for nobody.
func TestRelaysGiveSnapshotsInTurn(t *testing.T) {
	smaller(t)
	s := New()
	for range 10 {
		propose(t, s, s.Version(), put(PoolKey("a"), `{}`), put(PoolKey("b"), `{}`), put(PoolKey(fmt.Sprint("c", s.Version())), `{}`))
	}
	var all Streams
	next := func(c *Cursor, now time.Duration) Word {
		w := c.Next(s, 0, now)
		if _, ok := w.(Offer); ok {
			w = c.Next(s, 0, now)
		}
		return w
	}
	cursors := make([]*Cursor, 2*MaxSnapshots)
	for i := range cursors {
		if cursors[i] = all.Open(); next(cursors[i], 0) != nil {
			t.Fatal("a word for who asked nothing")
		}
		cursors[i].Resume(0, false)
		if got := next(cursors[i], 0); (got != nil) != (i < MaxSnapshots) {
			t.Fatalf("stream %d gets %T", i, got)
		}
	}
	for _, c := range cursors[:MaxSnapshots] {
		if c.from != all.shared {
			t.Fatal("a snapshot is not shared")
		}
	}
	near := all.Open()
	near.Resume(s.Version()-1, false)
	if got, ok := next(near, 0).(Changes); !ok || len(got) != 1 {
		t.Fatalf("who is a little behind gets %v", got)
	}
	waits := cursors[MaxSnapshots]
	if o, ok := waits.Next(s, 0, Heartbeat).(Offer); !ok || !o.Busy {
		t.Fatalf("who waits is told %+v", o)
	}
	cursors[0].Close()
	if next(cursors[MaxSnapshots+1], Heartbeat) != nil || next(waits, Heartbeat) == nil {
		t.Fatal("the place went to who came later")
	}
	late := SnapshotIdle + Heartbeat // the others have taken nothing since 0
	if next(cursors[MaxSnapshots+1], late) == nil {
		t.Fatal("who takes nothing keeps its place")
	}
	// The one that lost its place begins anew in the end, and all that go on have the whole.
	now := late
	for _, c := range cursors[1:] {
		build := NewBuilder()
		for ; c.Sent() != s.Version(); now += time.Second {
			if now > late+time.Hour {
				t.Fatal("a stream waits for ever")
			}
			p, ok := next(c, now).(Piece)
			if !ok {
				continue
			}
			if p.After == "" && p.Log == 0 {
				build = NewBuilder()
			}
			if _, err := build.Add(p); err != nil && c == cursors[len(cursors)-1] { // it was sent none before
				t.Fatal(err)
			}
		}
	}
	if len(all.giving)+len(all.line) > 0 || all.shared != nil {
		t.Fatalf("%d streams are sent something, %d wait", len(all.giving), len(all.line))
	}
}
