package configlog

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// useSmallBounds shrinks the log and the chunks, so that the model's small states exceed them.
func useSmallBounds(t *testing.T) {
	log, piece := maxLog, chunkBytes
	maxLog, chunkBytes = 4, 100
	t.Cleanup(func() { maxLog, chunkBytes = log, piece })
}

// modelStream is one stream of the model, as TCP has it: what was sent arrives in order, late, or not at all. After
// a partition it may stay dead, and neither end notices.
type modelStream struct {
	id        uint64
	follower  *modelNode
	relay     *modelNode
	progress  *Progress
	connected bool // the dial has succeeded
	dead      bool
	oldChunk  SnapshotChunk // the last one of an old snapshot, from a relay with that fault
	inFlight  []Message     // to the follower
	resumes   []Resume      // in flight to the relay
}

// modelNode is a voter, relay or node of the model.
type modelNode struct {
	name      string
	voter     bool // it has what the voters committed
	faulty    bool // a relay that sends what it likes
	zone      string
	peers     []Peer
	follower  *Follower // nil of a voter, or of one that is down
	down      bool
	paused    bool
	startedAt time.Duration // the origin of its own clock
	tracker   *ProgressTracker
	// What is on its disk, and whether that was damaged.
	diskSnapshot, diskJournal []byte
	diskDamaged               bool
	// What is in force, and its version.
	version uint64
	inForce map[Key]string
	starts  uint64
}

// fault is what a faulty relay does.
type fault int

const (
	corruptMessages fault = iota // it changes some of the messages
	announceOnly                 // it announces versions that it never sends
	sendOldSnapshot              // it sends an old snapshot in place of changes
)

// model is one order of changes, voters that have it, and relays and nodes that follow, over a network and on
// disks that fail.
type model struct {
	t               *rapid.T // nil where nothing is drawn
	tb              rapid.TB
	now             time.Duration
	voters          *State
	history         []map[Key]string // the records by version
	digests         []Digest         // by version
	nodes           []*modelNode
	streams         []*modelStream
	partitioned     map[[2]string]bool // from one node to another
	unordered       bool               // messages within a stream are lost, duplicated and reordered
	allowMismatch   bool               // so that relays without a fault may seem to send false digests
	fault           fault              // of the faulty relay
	oldSnapshot     *Snapshot          // that it sends
	changesReceived int
	chunksReceived  int
	mismatches      int // streams that were closed for a digest that does not match
}

func newModel(tb rapid.TB, relays, nodes, liars int) *model {
	t, _ := tb.(*rapid.T)
	m := &model{t: t, tb: tb, voters: New(), history: []map[Key]string{{}}, partitioned: make(map[[2]string]bool)}
	m.digests = []Digest{m.voters.Digest()}
	zones := []string{"a", "b"}
	var voters, serve []Peer
	for i := range 2 {
		p := Peer{Name: fmt.Sprint("v", i), Zone: zones[i%2], Region: zones[i%2]}
		voters = append(voters, p)
		m.nodes = append(m.nodes, &modelNode{name: p.Name, voter: true, zone: p.Zone, tracker: new(ProgressTracker)})
	}
	for i := range relays + liars {
		p := Peer{Name: fmt.Sprint("r", i), Zone: zones[i%2], Region: zones[i%2]}
		serve = append(serve, p)
		m.nodes = append(m.nodes, &modelNode{name: p.Name, zone: p.Zone, tracker: new(ProgressTracker), faulty: i >= relays})
	}
	for i := range nodes {
		m.nodes = append(m.nodes, &modelNode{name: fmt.Sprint("n", i), zone: zones[i%2], peers: serve})
	}
	for _, p := range m.nodes {
		if strings.HasPrefix(p.name, "r") && !p.faulty {
			for _, o := range serve {
				if o.Rank = 1; o.Name != p.name {
					p.peers = append(p.peers, o)
				}
			}
			p.peers = append(p.peers, voters...)
		}
		m.start(p)
	}
	return m
}

// follows reports whether a node follows others.
func (p *modelNode) follows() bool { return len(p.peers) > 0 }

// state is what a node that serves has.
func (m *model) state(p *modelNode) *State {
	if p.follower != nil {
		return p.follower.State()
	}
	return m.voters
}

// start starts a node from what is on its disk.
func (m *model) start(p *modelNode) {
	p.down, p.paused = false, false
	if p.tracker != nil {
		p.tracker = new(ProgressTracker)
	}
	if !p.follows() {
		return
	}
	s := New()
	if len(p.diskSnapshot) > 0 {
		back, err := Restore(p.diskSnapshot)
		if err == nil {
			s = back
		} else if !p.diskDamaged {
			m.tb.Fatalf("%s cannot read its copy: %v", p.name, err)
		}
	}
	good, _ := Replay(s, p.diskJournal) // a crash may have truncated the end
	p.diskJournal = p.diskJournal[:good]
	if s.Version() < p.version && !p.diskDamaged {
		m.tb.Fatalf("%s had version %d in force and comes back with %d", p.name, p.version, s.Version())
	}
	if p.diskDamaged {
		p.diskSnapshot, p.diskJournal = s.Snapshot().Encode(), nil
	}
	p.diskDamaged = false
	p.version, p.inForce = s.Version(), recordsOf(s)
	p.starts++
	p.startedAt = m.now
	p.follower = NewFollower(Options{Name: p.name, Zone: p.zone, Region: p.zone, Peers: p.peers, Relay: p.tracker != nil, Seed: p.starts}, s, 0)
	m.check(p)
}

// crash ends a node and its streams.
func (m *model) crash(p *modelNode) {
	p.down, p.follower = true, nil
	for _, st := range slices.Clone(m.streams) {
		if st.follower == p || st.relay == p {
			m.closeStream(st, st.follower != p)
		}
	}
}

// closeStream ends a stream, and reports that to its follower with notify.
func (m *model) closeStream(st *modelStream, notify bool) {
	m.streams = slices.DeleteFunc(m.streams, func(o *modelStream) bool { return o == st })
	if st.progress != nil {
		st.progress.Close()
	}
	if notify && st.follower.follower != nil {
		st.follower.follower.HandleLost(st.id, m.now-st.follower.startedAt)
	}
}

// check fails where what a node has in force is not the records of its version, as the voters committed it.
func (m *model) check(p *modelNode) {
	if p.version > m.voters.Version() || !maps.Equal(p.inForce, m.history[p.version]) {
		m.tb.Fatalf("%s has version %d in force as %v, which is %v", p.name, p.version, p.inForce, m.history[min(p.version, m.voters.Version())])
	}
}

// runActions executes the actions of a node's follower. With crashes the node may crash between any two steps.
func (m *model) runActions(p *modelNode, crashes bool) {
	if p.follower == nil {
		return
	}
	crashesNow := func(label string) bool {
		if crashes && rapid.IntRange(0, 19).Draw(m.t, label) == 0 {
			m.crash(p)
			return true
		}
		return false
	}
	for _, a := range p.follower.Ready() {
		switch a := a.(type) {
		case Dial:
			m.streams = append(m.streams, &modelStream{id: a.Stream, follower: p, relay: m.node(a.Peer)})
		case Resume:
			if st := m.stream(p, a.Stream); st != nil {
				st.resumes = append(st.resumes, a)
			}
		case CloseStream:
			m.closeByFollower(p, a)
		case ApplyChanges:
			m.changesReceived += len(a.Changes)
			for _, c := range a.Changes {
				if !m.applyChange(p, c, crashesNow) {
					return
				}
			}
		case InstallSnapshot:
			if !m.install(p, a.Snapshot, crashesNow) {
				return
			}
		}
	}
}

// closeByFollower closes a stream, and fails where the follower takes a relay without a fault for a faulty one.
func (m *model) closeByFollower(p *modelNode, a CloseStream) {
	if a.Reason == ReasonDigestMismatch {
		m.mismatches++
		if !m.node(a.Peer).faulty && !m.allowMismatch {
			m.tb.Fatalf("%s finds a false digest at %s, which has no fault", p.name, a.Peer)
		}
	}
	if st := m.stream(p, a.Stream); st != nil {
		m.closeStream(st, false)
	}
}

// applyChange writes a change to a node's disk and puts it in force. It returns false where the node crashes.
func (m *model) applyChange(p *modelNode, c Change, crashesNow func(label string) bool) bool {
	entry := AppendEntry(nil, c)
	if crashesNow("while it is written") {
		p.diskJournal = append(p.diskJournal, entry[:rapid.IntRange(0, len(entry)).Draw(m.t, "written")]...)
		return false
	}
	p.diskJournal = append(p.diskJournal, entry...)
	if crashesNow("before it is in force") {
		return false
	}
	if c.Version != p.version+1 {
		m.tb.Fatalf("%s goes from version %d to %d", p.name, p.version, c.Version)
	}
	p.version, p.inForce = c.Version, maps.Clone(p.inForce)
	for _, r := range c.Records {
		if delete(p.inForce, r.Key); r.Value != nil {
			p.inForce[r.Key] = string(r.Value)
		}
	}
	m.check(p)
	return true
}

// install writes a snapshot to a node's disk and puts it in force. It returns false where the node crashes.
func (m *model) install(p *modelNode, s Snapshot, crashesNow func(label string) bool) bool {
	if s.Version() <= p.version {
		m.tb.Fatalf("%s goes from version %d to %d", p.name, p.version, s.Version())
	}
	p.diskSnapshot = s.Encode() // atomically, by a rename
	if crashesNow("before the journal is truncated") {
		return false
	}
	p.diskJournal = nil
	p.version, p.inForce = s.Version(), make(map[Key]string)
	for r := range s.WithPrefix("") {
		p.inForce[r.Key] = string(r.Value)
	}
	m.check(p)
	return true
}

func (m *model) node(name string) *modelNode {
	return m.nodes[slices.IndexFunc(m.nodes, func(p *modelNode) bool { return p.name == name })]
}

func (m *model) stream(p *modelNode, id uint64) *modelStream {
	for _, st := range m.streams {
		if st.follower == p && st.id == id {
			return st
		}
	}
	return nil
}

// canReach reports whether messages arrive from one node at another.
func (m *model) canReach(a, b *modelNode) bool {
	return !m.partitioned[[2]string{a.name, b.name}] && !a.down && !b.down && !a.paused && !b.paused
}

// tick lets time pass and delivers messages.
func (m *model) tick(d time.Duration, crashes bool) {
	m.now += d
	for _, p := range m.nodes {
		if p.follower != nil && !p.paused {
			p.follower.Tick(m.now - p.startedAt)
			m.runActions(p, crashes)
		}
	}
	for _, st := range slices.Clone(m.streams) {
		m.deliver(st, crashes)
	}
}

// deliver moves the messages of a stream in both directions.
func (m *model) deliver(st *modelStream, crashes bool) {
	if !slices.Contains(m.streams, st) || st.follower.follower == nil || st.dead {
		return
	}
	there, back := m.canReach(st.follower, st.relay), m.canReach(st.relay, st.follower)
	if !st.connected {
		m.connect(st, there && back, crashes)
		return
	}
	if there {
		for _, r := range st.resumes {
			st.progress.Resume(r.Version, r.WithLog)
		}
		st.resumes = nil
	}
	m.send(st)
	if m.unordered && len(st.inFlight) > 1 {
		m.disorder(st)
	}
	if back {
		m.receive(st, crashes)
	}
}

// connect completes a dial, or has it rejected by a relay that is down.
func (m *model) connect(st *modelStream, reachable, crashes bool) {
	partitioned := m.partitioned[[2]string{st.follower.name, st.relay.name}] || m.partitioned[[2]string{st.relay.name, st.follower.name}]
	switch {
	case st.relay.down && !st.relay.paused && !partitioned:
		m.closeStream(st, true)
	case reachable:
		st.connected, st.progress = true, st.relay.tracker.Open()
		st.follower.follower.HandleConnected(st.id, m.now-st.follower.startedAt)
		m.runActions(st.follower, crashes)
	}
}

// send puts the relay's next messages in flight.
func (m *model) send(st *modelStream) {
	for !st.relay.down && !st.relay.paused && len(st.inFlight) < 4 {
		age := time.Duration(0)
		if st.relay.follower != nil {
			age = st.relay.follower.Age(m.now - st.relay.startedAt)
		}
		message := st.progress.NextMessage(m.state(st.relay), age, m.now)
		if message == nil {
			break
		}
		if st.relay.faulty {
			if message = m.corrupt(st, message); message == nil {
				continue
			}
		}
		sent, err := DecodeMessage(AppendMessage(nil, message))
		if err != nil {
			m.tb.Fatal(err)
		}
		st.inFlight = append(st.inFlight, sent)
	}
}

// disorder loses, duplicates or reorders messages in flight.
func (m *model) disorder(st *modelStream) {
	switch rapid.IntRange(0, 9).Draw(m.t, "disorder") {
	case 0:
		st.inFlight = st.inFlight[1:]
	case 1:
		st.inFlight = append(st.inFlight, st.inFlight[0])
	case 2:
		slices.Reverse(st.inFlight)
	}
}

// receive passes the messages in flight to the follower, as long as it runs and keeps the stream.
func (m *model) receive(st *modelStream, crashes bool) {
	f := st.follower.follower
	for len(st.inFlight) > 0 && slices.Contains(m.streams, st) && st.follower.follower == f {
		message := st.inFlight[0]
		st.inFlight = st.inFlight[1:]
		now := m.now - st.follower.startedAt
		switch message := message.(type) {
		case Heartbeat:
			f.HandleHeartbeat(st.id, message, now)
		case Changes:
			f.HandleChanges(st.id, message, now)
		case SnapshotChunk:
			m.chunksReceived++
			f.HandleChunk(st.id, message, now)
		}
		m.runActions(st.follower, crashes)
	}
}

// corrupt returns what a faulty relay sends in place of a message; nil for nothing.
func (m *model) corrupt(st *modelStream, sent Message) Message {
	heartbeat, isHeartbeat := sent.(Heartbeat)
	switch {
	case m.fault == announceOnly && isHeartbeat:
		heartbeat.Version += 1000
		return heartbeat
	case m.fault == announceOnly:
		return nil
	case m.fault == sendOldSnapshot && isHeartbeat && m.oldSnapshot == nil && rapid.Bool().Draw(m.t, "old"):
		s := m.voters.Snapshot()
		m.oldSnapshot = &s
	case m.fault == sendOldSnapshot && !isHeartbeat && m.oldSnapshot != nil:
		if st.oldChunk.Last {
			return nil
		}
		st.oldChunk = m.oldSnapshot.Chunk(st.oldChunk)
		return st.oldChunk
	}
	if m.fault != corruptMessages {
		return sent
	}
	kind := rapid.IntRange(0, 5).Draw(m.t, "corruption")
	switch sent := sent.(type) {
	case Heartbeat:
		return m.corruptHeartbeat(sent, kind)
	case Changes:
		return corruptChanges(sent, kind)
	case SnapshotChunk:
		return corruptChunk(sent, kind)
	}
	return sent
}

// corruptHeartbeat changes a heartbeat by a kind from 0 to 5; some kinds change nothing.
func (m *model) corruptHeartbeat(h Heartbeat, kind int) Heartbeat {
	switch kind {
	case 0:
		h.Version += rapid.Uint64Range(1, 9).Draw(m.t, "ahead")
	case 1:
		h.Version -= min(h.Version, 2)
	case 2:
		h.Digest[0]++
	}
	return h
}

// corruptChanges changes the first of some changes by a kind from 0 to 5; 5 changes nothing.
func corruptChanges(changes Changes, kind int) Changes {
	changes = slices.Clone(changes)
	c := &changes[0]
	c.Records = slices.Clone(c.Records)
	switch kind {
	case 0:
		c.Records[0].Value = []byte(`{"false":1}`)
	case 1:
		c.Records = append(c.Records, put(PoolKey("false"), `{}`))
	case 2:
		c.Digest[3]++
	case 3:
		c.Author = "nobody"
	case 4:
		return changes[1:]
	}
	return changes
}

// corruptChunk changes a chunk by a kind from 0 to 5.
func corruptChunk(c SnapshotChunk, kind int) SnapshotChunk {
	switch kind {
	case 0:
		c.Records = append(slices.Clone(c.Records), VersionedRecord{put(PoolKey("zz"), `{}`), 1})
	case 1:
		c.Last = !c.Last
	case 2:
		c.Version++
	case 3:
		c.Records = c.Records[:len(c.Records)/2]
	case 4:
		c.Digest[1]++
	case 5:
		if len(c.Changes) > 0 {
			c.Changes = slices.Clone(c.Changes)
			c.Changes[0].Author = "nobody"
		}
	}
	return c
}

// propose makes the voters commit a change, or reject it.
func (m *model) propose() {
	c := Change{BaseVersion: m.voters.Version(), Records: rapid.SliceOfN(rapid.Custom(drawRecord), 1, 3).Draw(m.t, "records")}
	if m.voters.Version() > 0 && rapid.IntRange(0, 9).Draw(m.t, "rollback") == 0 {
		r, err := m.voters.Revert(rapid.Uint64Range(m.voters.CompactedVersion(), m.voters.Version()).Draw(m.t, "to"))
		if err != nil {
			return
		}
		c = r
	}
	if c, err := m.voters.Propose(c); err == nil {
		m.digests = append(m.digests, c.Digest)
		m.history = append(m.history, recordsOf(m.voters))
	}
}

// runFaults proposes changes while connections are partitioned, nodes crash and pause, and their disks are damaged.
func (m *model) runFaults(steps int) {
	t := m.t
	drawNode := func(label string) *modelNode { return m.nodes[rapid.IntRange(0, len(m.nodes)-1).Draw(t, label)] }
	for range rapid.IntRange(1, steps).Draw(t, "steps") {
		switch rapid.IntRange(0, 11).Draw(t, "op") {
		case 0, 1:
			m.propose()
		case 2: // in one direction, or both
			a, b, is, dead := drawNode("from"), drawNode("to"), rapid.Bool().Draw(t, "cut"), rapid.Bool().Draw(t, "dead")
			m.setPartition(a, b, is, dead)
			if rapid.Bool().Draw(t, "both ways") {
				m.setPartition(b, a, is, dead)
			}
		case 3: // all of a region
			m.partitionRegions(rapid.Bool().Draw(t, "regions cut"), rapid.Bool().Draw(t, "dead"))
		case 4:
			m.crash(drawNode("crash"))
		case 5, 6:
			if p := drawNode("start"); p.down {
				m.start(p)
			}
		case 7:
			p := drawNode("pause")
			p.paused = !p.paused && !p.down
		case 8: // the disk of a node that is down
			p := drawNode("disk")
			if n := len(p.diskSnapshot) + len(p.diskJournal); p.down && n > 0 {
				p.diskDamaged = true
				at := rapid.IntRange(0, n-1).Draw(t, "at")
				of := &p.diskSnapshot
				if at >= len(p.diskSnapshot) {
					of, at = &p.diskJournal, at-len(p.diskSnapshot)
				}
				if *of = bytes.Clone(*of); rapid.Bool().Draw(t, "truncated") {
					*of = (*of)[:at]
				} else {
					(*of)[at] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
				}
			}
		case 9: // long enough for any timeout to pass
			for range 40 {
				m.tick(DialStagger, false)
			}
		default:
			m.tick(time.Duration(rapid.IntRange(10, 150).Draw(t, "ms"))*time.Millisecond, true)
		}
	}
}

// setPartition partitions one node from another in one direction, or ends that. Streams between them may stay dead.
func (m *model) setPartition(a, b *modelNode, is, dead bool) {
	m.partitioned[[2]string{a.name, b.name}] = is
	for _, st := range m.streams {
		if is && (st.follower == a && st.relay == b || st.follower == b && st.relay == a) {
			st.dead = st.dead || dead
		}
	}
}

// partitionRegions partitions the regions from each other, or ends that.
func (m *model) partitionRegions(is, dead bool) {
	for _, a := range m.nodes {
		for _, b := range m.nodes {
			if a.zone != b.zone {
				m.setPartition(a, b, is, dead)
			}
		}
	}
}

// heal ends all faults but those of the faulty relay.
func (m *model) heal() {
	m.partitioned, m.unordered = make(map[[2]string]bool), false
	for _, p := range m.nodes {
		if p.paused = false; p.down {
			m.start(p)
		}
	}
}

// inSync reports whether all nodes have the newest version, and describes one that does not.
func (m *model) inSync() (bool, string) {
	for _, p := range m.nodes {
		if p.follower != nil && (p.version != m.voters.Version() || p.follower.State().Digest() != m.voters.Digest()) {
			at, level := p.follower.Following(m.now - p.startedAt)
			return false, fmt.Sprintf("%s is at %d of %d, after %q (%v)", p.name, p.version, m.voters.Version(), at, level)
		}
	}
	return true, ""
}

// awaitInSync lets time pass until all nodes are in sync, and returns how long that took.
func (m *model) awaitInSync(d time.Duration) time.Duration {
	for from := m.now; ; {
		inSync, lagging := m.inSync()
		switch {
		case inSync:
			return m.now - from
		case m.now-from > d:
			m.tb.Fatalf("%v after all faults ended, %s", m.now-from, lagging)
		}
		m.tick(DialStagger, false)
	}
}

// TestAllNodesConvergeAfterFaults plays random partitions, crashes, pauses and damaged disks, with and without a
// faulty relay. At every step each node has one committed version in force, whole, and none goes back but by a
// damaged disk; no relay without a fault is taken for one that sends false digests. All nodes are in sync
// within 7 s of the end of the faults.
func TestAllNodesConvergeAfterFaults(t *testing.T) {
	useSmallBounds(t)
	var longest time.Duration
	changes, chunks, mismatches := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, rapid.IntRange(2, 3).Draw(t, "relays"), 4, rapid.IntRange(0, 1).Draw(t, "liars"))
		m.fault = fault(rapid.IntRange(0, 2).Draw(t, "manner"))
		m.runFaults(80)
		m.heal()
		longest = max(longest, m.awaitInSync(7*time.Second))
		changes, chunks, mismatches = changes+m.changesReceived, chunks+m.chunksReceived, mismatches+m.mismatches
	})
	t.Logf("in sync after %v at most; %d changes, %d chunks, %d mismatches", longest, changes, chunks, mismatches)
}

// TestUnorderedStreamsCorruptNothing loses, duplicates and reorders messages within streams, as no TCP connection
// does. Each node still has one committed version in force. Relays without a fault may be excluded for a while,
// and all nodes are in sync once that is over.
func TestUnorderedStreamsCorruptNothing(t *testing.T) {
	useSmallBounds(t)
	var longest time.Duration
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, 2, 3, 1)
		m.unordered, m.allowMismatch = true, true
		m.runFaults(60)
		m.heal()
		longest = max(longest, m.awaitInSync(MismatchBackoff+7*time.Second))
	})
	t.Logf("in sync after %v at most", longest)
}

// TestRegionPartitionedForAnHour partitions a region from the others for an hour of changes. Its nodes keep what
// they have in force and know its age. They are in sync within 7 s of the partition's end, by changes and
// without a snapshot.
func TestRegionPartitionedForAnHour(t *testing.T) {
	m := newModel(t, 4, 8, 0)
	commit := func(n int) {
		c := propose(t, m.voters, m.voters.Version(), put(PoolKey(fmt.Sprint(n)), `{}`))
		m.history, m.digests = append(m.history, recordsOf(m.voters)), append(m.digests, c.Digest)
	}
	commit(0)
	m.awaitInSync(7 * time.Second)
	m.partitionRegions(true, false)
	m.crash(m.node("v1")) // the voter there has no majority, and answers no one
	hour := m.now + time.Hour
	for n := 1; m.now < hour; n++ {
		if n%350 == 0 { // a change every 35 s, as 2,500 a day are
			commit(n)
		}
		m.tick(DialStagger, false)
	}
	for _, p := range m.nodes {
		if p.follower == nil {
			continue
		}
		age := p.follower.Age(m.now - p.startedAt)
		if p.zone == "a" && (age > StaleAfter || p.version != m.voters.Version()) || p.zone == "b" && (age < time.Hour-time.Second || age > time.Hour+StaleAfter || p.version != 1) {
			t.Errorf("%s in region %s has version %d of %d, of age %v", p.name, p.zone, p.version, m.voters.Version(), age)
		}
	}
	before := m.chunksReceived
	m.heal()
	took := m.awaitInSync(7 * time.Second)
	t.Logf("in sync %v after the hour, %d versions later", took, m.voters.Version()-1)
	if m.chunksReceived != before {
		t.Errorf("%d chunks of snapshots were sent", m.chunksReceived-before)
	}
}
