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

// useSmallBounds reduces the bounds of the log and of chunks, so that small states exceed them.
func useSmallBounds(t *testing.T) {
	logLimit, chunkLimit := maxLog, chunkBytes
	maxLog, chunkBytes = 4, 100
	t.Cleanup(func() { maxLog, chunkBytes = logLimit, chunkLimit })
}

// modelStream is one stream of the model. As over TCP, messages arrive in order, late, or not at all. After a partition
// the stream may stay dead without either end noticing.
type modelStream struct {
	id        uint64
	follower  *modelNode
	relay     *modelNode
	progress  *Progress
	connected bool // the dial has succeeded
	dead      bool
	oldChunk  SnapshotChunk // the last chunk of the old snapshot, for a relay with the fault sendOldSnapshot
	inFlight  []Message     // messages in flight to the follower
	resumes   []Resume      // Resume messages in flight to the relay
}

// modelNode is a voter, relay or node of the model.
type modelNode struct {
	name      string
	voter     bool // a voter serves the committed state
	faulty    bool // a relay with the model's fault
	zone      string
	peers     []Peer
	follower  *Follower // the node's follower; nil for a voter, and for a node that is down
	down      bool
	paused    bool
	startedAt time.Duration // the origin of the node's own clock
	tracker   *ProgressTracker
	// The content of the node's disk, and whether it was damaged.
	diskSnapshot, diskJournal []byte
	diskDamaged               bool
	// The current configuration, its version, and the number of starts.
	version uint64
	applied map[Key]string
	starts  uint64
}

// fault is the fault of a faulty relay.
type fault int

const (
	corruptMessages fault = iota // the relay modifies some messages
	announceOnly                 // the relay announces versions that it never sends
	sendOldSnapshot              // the relay sends an old snapshot in place of changes
)

// model simulates voters that commit changes, and relays and nodes that follow them, with a network and disks that
// fail.
type model struct {
	t               *rapid.T // draws the random values; nil in tests that draw none
	tb              rapid.TB
	now             time.Duration
	voters          *State
	history         []map[Key]string // the records of each version
	digests         []Digest         // the digest of each version
	nodes           []*modelNode
	streams         []*modelStream
	partitioned     map[[2]string]bool // whether messages from one node to another are lost
	unordered       bool               // messages within a stream are lost, duplicated and reordered
	allowMismatch   bool               // streams of relays without a fault may be closed for a digest mismatch
	fault           fault              // the fault of the faulty relay
	oldSnapshot     *Snapshot          // the snapshot that the fault sendOldSnapshot sends
	changesReceived int
	chunksReceived  int
	mismatches      int // the number of streams that were closed for a digest mismatch
}

func newModel(tb rapid.TB, relays, nodes, faultyRelays int) *model {
	t, _ := tb.(*rapid.T)
	model := &model{t: t, tb: tb, voters: New(), history: []map[Key]string{{}}, partitioned: make(map[[2]string]bool)}
	model.digests = []Digest{model.voters.Digest()}
	zones := []string{"a", "b"}
	var voters, relayPeers []Peer
	for i := range 2 {
		p := Peer{Name: fmt.Sprint("v", i), Zone: zones[i%2], Region: zones[i%2]}
		voters = append(voters, p)
		model.nodes = append(model.nodes, &modelNode{name: p.Name, voter: true, zone: p.Zone, tracker: new(ProgressTracker)})
	}
	for i := range relays + faultyRelays {
		p := Peer{Name: fmt.Sprint("r", i), Zone: zones[i%2], Region: zones[i%2]}
		relayPeers = append(relayPeers, p)
		model.nodes = append(model.nodes, &modelNode{name: p.Name, zone: p.Zone, tracker: new(ProgressTracker), faulty: i >= relays})
	}
	for i := range nodes {
		model.nodes = append(model.nodes, &modelNode{name: fmt.Sprint("n", i), zone: zones[i%2], peers: relayPeers})
	}
	for _, node := range model.nodes {
		if strings.HasPrefix(node.name, "r") && !node.faulty {
			for _, relay := range relayPeers {
				if relay.Rank = 1; relay.Name != node.name {
					node.peers = append(node.peers, relay)
				}
			}
			node.peers = append(node.peers, voters...)
		}
		model.start(node)
	}
	return model
}

// follows reports whether a node follows relays or voters.
func (p *modelNode) follows() bool { return len(p.peers) > 0 }

// state returns the state that a relay or voter serves.
func (m *model) state(node *modelNode) *State {
	if node.follower != nil {
		return node.follower.State()
	}
	return m.voters
}

// start starts a node from the content of its disk.
func (m *model) start(node *modelNode) {
	node.down, node.paused = false, false
	if node.tracker != nil {
		node.tracker = new(ProgressTracker)
	}
	if !node.follows() {
		return
	}
	state := New()
	if len(node.diskSnapshot) > 0 {
		restored, err := Restore(node.diskSnapshot)
		if err == nil {
			state = restored
		} else if !node.diskDamaged {
			m.tb.Fatalf("node %s cannot read its undamaged copy: %v", node.name, err)
		}
	}
	good, _ := Replay(state, node.diskJournal) // a crash may have truncated the end
	node.diskJournal = node.diskJournal[:good]
	if state.Version() < node.version && !node.diskDamaged {
		m.tb.Fatalf("node %s had version %d and restarted with version %d", node.name, node.version, state.Version())
	}
	if node.diskDamaged {
		node.diskSnapshot, node.diskJournal = state.Snapshot().Encode(), nil
	}
	node.diskDamaged = false
	node.version, node.applied = state.Version(), recordsOf(state)
	node.starts++
	node.startedAt = m.now
	node.follower = NewFollower(Options{Name: node.name, Zone: node.zone, Region: node.zone, Peers: node.peers, Relay: node.tracker != nil, Seed: node.starts}, state, 0)
	m.check(node)
}

// crash stops a node and closes its streams.
func (m *model) crash(node *modelNode) {
	node.down, node.follower = true, nil
	for _, st := range slices.Clone(m.streams) {
		if st.follower == node || st.relay == node {
			m.closeStream(st, st.follower != node)
		}
	}
}

// closeStream closes a stream. If notify is set, it reports that to the follower.
func (m *model) closeStream(st *modelStream, notify bool) {
	m.streams = slices.DeleteFunc(m.streams, func(o *modelStream) bool { return o == st })
	if st.progress != nil {
		st.progress.Close()
	}
	if notify && st.follower.follower != nil {
		st.follower.follower.HandleLost(st.id, m.now-st.follower.startedAt)
	}
}

// check fails the test if a node's configuration differs from the records that the voters committed at its version.
func (m *model) check(node *modelNode) {
	if node.version > m.voters.Version() || !maps.Equal(node.applied, m.history[node.version]) {
		m.tb.Fatalf("node %s at version %d has records %v, want %v", node.name, node.version, node.applied, m.history[min(node.version, m.voters.Version())])
	}
}

// runActions executes the actions of a node's follower. If crashes is set, the node may crash between any two steps.
func (m *model) runActions(node *modelNode, crashes bool) {
	if node.follower == nil {
		return
	}
	crashesNow := func(label string) bool {
		if crashes && rapid.IntRange(0, 19).Draw(m.t, label) == 0 {
			m.crash(node)
			return true
		}
		return false
	}
	for _, action := range node.follower.Ready() {
		switch action := action.(type) {
		case Dial:
			m.streams = append(m.streams, &modelStream{id: action.Stream, follower: node, relay: m.node(action.Peer)})
		case Resume:
			if st := m.stream(node, action.Stream); st != nil {
				st.resumes = append(st.resumes, action)
			}
		case CloseStream:
			m.closeByFollower(node, action)
		case ApplyChanges:
			m.changesReceived += len(action.Changes)
			for _, c := range action.Changes {
				if !m.applyChange(node, c, crashesNow) {
					return
				}
			}
		case InstallSnapshot:
			if !m.install(node, action.Snapshot, crashesNow) {
				return
			}
		}
	}
}

// closeByFollower closes a stream at the follower's request. It fails the test if the follower reports a digest mismatch
// of a relay without a fault.
func (m *model) closeByFollower(node *modelNode, action CloseStream) {
	if action.Reason == ReasonDigestMismatch {
		m.mismatches++
		if !m.node(action.Peer).faulty && !m.allowMismatch {
			m.tb.Fatalf("node %s reports a digest mismatch of %s, which has no fault", node.name, action.Peer)
		}
	}
	if st := m.stream(node, action.Stream); st != nil {
		m.closeStream(st, false)
	}
}

// applyChange writes a change to a node's disk and applies it. It returns false if the node crashes.
func (m *model) applyChange(node *modelNode, change Change, crashesNow func(label string) bool) bool {
	entry := AppendEntry(nil, change)
	if crashesNow("crash while the change is written") {
		node.diskJournal = append(node.diskJournal, entry[:rapid.IntRange(0, len(entry)).Draw(m.t, "written")]...)
		return false
	}
	node.diskJournal = append(node.diskJournal, entry...)
	if crashesNow("crash before the change is applied") {
		return false
	}
	if change.Version != node.version+1 {
		m.tb.Fatalf("node %s went from version %d to %d", node.name, node.version, change.Version)
	}
	node.version, node.applied = change.Version, maps.Clone(node.applied)
	for _, r := range change.Records {
		if delete(node.applied, r.Key); r.Value != nil {
			node.applied[r.Key] = string(r.Value)
		}
	}
	m.check(node)
	return true
}

// install writes a snapshot to a node's disk and applies it. It returns false if the node crashes.
func (m *model) install(node *modelNode, snapshot Snapshot, crashesNow func(label string) bool) bool {
	if snapshot.Version() <= node.version {
		m.tb.Fatalf("node %s went from version %d to %d", node.name, node.version, snapshot.Version())
	}
	node.diskSnapshot = snapshot.Encode() // replaced atomically, as by a rename
	if crashesNow("crash before the journal is truncated") {
		return false
	}
	node.diskJournal = nil
	node.version, node.applied = snapshot.Version(), make(map[Key]string)
	for r := range snapshot.WithPrefix("") {
		node.applied[r.Key] = string(r.Value)
	}
	m.check(node)
	return true
}

func (m *model) node(name string) *modelNode {
	return m.nodes[slices.IndexFunc(m.nodes, func(p *modelNode) bool { return p.name == name })]
}

func (m *model) stream(node *modelNode, id uint64) *modelStream {
	for _, st := range m.streams {
		if st.follower == node && st.id == id {
			return st
		}
	}
	return nil
}

// canReach reports whether messages from a arrive at b.
func (m *model) canReach(a, b *modelNode) bool {
	return !m.partitioned[[2]string{a.name, b.name}] && !a.down && !b.down && !a.paused && !b.paused
}

// tick advances the time and delivers messages.
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

// deliver delivers the messages of a stream in both directions.
func (m *model) deliver(stream *modelStream, crashes bool) {
	if !slices.Contains(m.streams, stream) || stream.follower.follower == nil || stream.dead {
		return
	}
	toRelay, toFollower := m.canReach(stream.follower, stream.relay), m.canReach(stream.relay, stream.follower)
	if !stream.connected {
		m.connect(stream, toRelay && toFollower, crashes)
		return
	}
	if toRelay {
		for _, r := range stream.resumes {
			stream.progress.Resume(r.Version, r.WithLog)
		}
		stream.resumes = nil
	}
	m.send(stream)
	if m.unordered && len(stream.inFlight) > 1 {
		m.disorder(stream)
	}
	if toFollower {
		m.receive(stream, crashes)
	}
}

// connect completes a dial, or closes the stream if the relay is down.
func (m *model) connect(stream *modelStream, reachable, crashes bool) {
	partitioned := m.partitioned[[2]string{stream.follower.name, stream.relay.name}] || m.partitioned[[2]string{stream.relay.name, stream.follower.name}]
	switch {
	case stream.relay.down && !stream.relay.paused && !partitioned:
		m.closeStream(stream, true)
	case reachable:
		stream.connected, stream.progress = true, stream.relay.tracker.Open()
		stream.follower.follower.HandleConnected(stream.id, m.now-stream.follower.startedAt)
		m.runActions(stream.follower, crashes)
	}
}

// send sends the relay's next messages.
func (m *model) send(stream *modelStream) {
	for !stream.relay.down && !stream.relay.paused && len(stream.inFlight) < 4 {
		age := time.Duration(0)
		if stream.relay.follower != nil {
			age = stream.relay.follower.Age(m.now - stream.relay.startedAt)
		}
		message := stream.progress.NextMessage(m.state(stream.relay), age, m.now)
		if message == nil {
			break
		}
		if stream.relay.faulty {
			if message = m.corrupt(stream, message); message == nil {
				continue
			}
		}
		sent, err := DecodeMessage(AppendMessage(nil, message))
		if err != nil {
			m.tb.Fatal(err)
		}
		stream.inFlight = append(stream.inFlight, sent)
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

// receive passes the messages in flight to the follower, until it crashes or closes the stream.
func (m *model) receive(stream *modelStream, crashes bool) {
	f := stream.follower.follower
	for len(stream.inFlight) > 0 && slices.Contains(m.streams, stream) && stream.follower.follower == f {
		message := stream.inFlight[0]
		stream.inFlight = stream.inFlight[1:]
		now := m.now - stream.follower.startedAt
		switch message := message.(type) {
		case Heartbeat:
			f.HandleHeartbeat(stream.id, message, now)
		case Changes:
			f.HandleChanges(stream.id, message, now)
		case SnapshotChunk:
			m.chunksReceived++
			f.HandleChunk(stream.id, message, now)
		}
		m.runActions(stream.follower, crashes)
	}
}

// corrupt returns the message that a faulty relay sends in place of another; nil for none.
func (m *model) corrupt(stream *modelStream, sent Message) Message {
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
		if stream.oldChunk.Last {
			return nil
		}
		stream.oldChunk = m.oldSnapshot.Chunk(stream.oldChunk)
		return stream.oldChunk
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

// corruptHeartbeat corrupts a heartbeat. The kind of corruption is 0 to 5; the kinds 3 to 5 change nothing.
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

// corruptChanges corrupts or drops the first of some changes. The kind of corruption is 0 to 5; kind 5 changes nothing.
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

// corruptChunk corrupts a chunk. The kind of corruption is 0 to 5.
func corruptChunk(chunk SnapshotChunk, kind int) SnapshotChunk {
	switch kind {
	case 0:
		chunk.Records = append(slices.Clone(chunk.Records), VersionedRecord{put(PoolKey("zz"), `{}`), 1})
	case 1:
		chunk.Last = !chunk.Last
	case 2:
		chunk.Version++
	case 3:
		chunk.Records = chunk.Records[:len(chunk.Records)/2]
	case 4:
		chunk.Digest[1]++
	case 5:
		if len(chunk.Changes) > 0 {
			chunk.Changes = slices.Clone(chunk.Changes)
			chunk.Changes[0].Author = "nobody"
		}
	}
	return chunk
}

// propose proposes a random change to the voters, which commit or reject it.
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

// runFaults proposes changes while nodes are partitioned, crash and pause, and their disks are damaged.
func (m *model) runFaults(steps int) {
	t := m.t
	drawNode := func(label string) *modelNode { return m.nodes[rapid.IntRange(0, len(m.nodes)-1).Draw(t, label)] }
	for range rapid.IntRange(1, steps).Draw(t, "steps") {
		switch rapid.IntRange(0, 11).Draw(t, "op") {
		case 0, 1:
			m.propose()
		case 2: // sets or heals a partition between two nodes, in one direction or both
			a, b, partitioned, dead := drawNode("from"), drawNode("to"), rapid.Bool().Draw(t, "partitioned"), rapid.Bool().Draw(t, "dead")
			m.setPartition(a, b, partitioned, dead)
			if rapid.Bool().Draw(t, "both ways") {
				m.setPartition(b, a, partitioned, dead)
			}
		case 3: // sets or heals a partition between all nodes of different regions
			m.partitionRegions(rapid.Bool().Draw(t, "regions partitioned"), rapid.Bool().Draw(t, "dead"))
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

// setPartition starts or ends a partition from a to b. If dead is set, the streams between them stay dead after the
// partition.
func (m *model) setPartition(a, b *modelNode, partitioned, dead bool) {
	m.partitioned[[2]string{a.name, b.name}] = partitioned
	for _, st := range m.streams {
		if partitioned && (st.follower == a && st.relay == b || st.follower == b && st.relay == a) {
			st.dead = st.dead || dead
		}
	}
}

// partitionRegions starts or ends a partition between the regions.
func (m *model) partitionRegions(partitioned, dead bool) {
	for _, a := range m.nodes {
		for _, b := range m.nodes {
			if a.zone != b.zone {
				m.setPartition(a, b, partitioned, dead)
			}
		}
	}
}

// heal ends all faults except those of the faulty relay.
func (m *model) heal() {
	m.partitioned, m.unordered = make(map[[2]string]bool), false
	for _, p := range m.nodes {
		if p.paused = false; p.down {
			m.start(p)
		}
	}
}

// inSync reports whether all nodes have the newest version, and describes a node that does not.
func (m *model) inSync() (bool, string) {
	for _, p := range m.nodes {
		if p.follower != nil && (p.version != m.voters.Version() || p.follower.State().Digest() != m.voters.Digest()) {
			relay, inSync := p.follower.Following(m.now - p.startedAt)
			return false, fmt.Sprintf("%s is at version %d of %d and follows %q (in sync: %v)", p.name, p.version, m.voters.Version(), relay, inSync)
		}
	}
	return true, ""
}

// awaitInSync advances the virtual time until all nodes are in sync, and returns how much time has passed. It fails the
// test if the nodes are not in sync after d.
func (m *model) awaitInSync(d time.Duration) time.Duration {
	for from := m.now; ; {
		inSync, lagging := m.inSync()
		switch {
		case inSync:
			return m.now - from
		case m.now-from > d:
			m.tb.Fatalf("a node still lags %v after all faults ended: %s", m.now-from, lagging)
		}
		m.tick(DialStagger, false)
	}
}

// TestAllNodesConvergeAfterFaults simulates random partitions, crashes, pauses and damaged disks, with and without a
// faulty relay. At each step the configuration of each node must be one complete committed version. No version may
// decrease, except after a damaged disk. No stream of a relay without a fault may be closed for a digest mismatch. All
// nodes must be in sync within 7 s after the faults have ended.
func TestAllNodesConvergeAfterFaults(t *testing.T) {
	useSmallBounds(t)
	var longest time.Duration
	changes, chunks, mismatches := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		model := newModel(t, rapid.IntRange(2, 3).Draw(t, "relays"), 4, rapid.IntRange(0, 1).Draw(t, "faulty relays"))
		model.fault = fault(rapid.IntRange(0, 2).Draw(t, "fault"))
		model.runFaults(80)
		model.heal()
		longest = max(longest, model.awaitInSync(7*time.Second))
		changes, chunks, mismatches = changes+model.changesReceived, chunks+model.chunksReceived, mismatches+model.mismatches
	})
	t.Logf("in sync after at most %v; received %d changes and %d chunks, %d digest mismatches", longest, changes, chunks, mismatches)
}

// TestUnorderedStreamsCorruptNothing loses, duplicates and reorders messages within streams, which TCP connections
// never do. The configuration of each node must still be one committed version. Relays without a fault may be excluded
// for MismatchBackoff. After that time all nodes must be in sync.
func TestUnorderedStreamsCorruptNothing(t *testing.T) {
	useSmallBounds(t)
	var longest time.Duration
	rapid.Check(t, func(t *rapid.T) {
		model := newModel(t, 2, 3, 1)
		model.unordered, model.allowMismatch = true, true
		model.runFaults(60)
		model.heal()
		longest = max(longest, model.awaitInSync(MismatchBackoff+7*time.Second))
	})
	t.Logf("in sync after at most %v", longest)
}

// TestRegionPartitionedForAnHour partitions a region from the other for an hour of changes. The region's nodes must keep
// their configuration and report its age. They must be in sync within 7 s after the partition ends, by changes and
// without a snapshot.
func TestRegionPartitionedForAnHour(t *testing.T) {
	model := newModel(t, 4, 8, 0)
	commit := func(n int) {
		c := propose(t, model.voters, model.voters.Version(), put(PoolKey(fmt.Sprint(n)), `{}`))
		model.history, model.digests = append(model.history, recordsOf(model.voters)), append(model.digests, c.Digest)
	}
	commit(0)
	model.awaitInSync(7 * time.Second)
	model.partitionRegions(true, false)
	model.crash(model.node("v1")) // the voter in the partitioned region has no majority and does not answer
	hour := model.now + time.Hour
	for n := 1; model.now < hour; n++ {
		if n%350 == 0 { // a change every 35 s, as 2,500 a day are
			commit(n)
		}
		model.tick(DialStagger, false)
	}
	for _, p := range model.nodes {
		if p.follower == nil {
			continue
		}
		age := p.follower.Age(model.now - p.startedAt)
		if p.zone == "a" && (age > StaleAfter || p.version != model.voters.Version()) || p.zone == "b" && (age < time.Hour-time.Second || age > time.Hour+StaleAfter || p.version != 1) {
			t.Errorf("node %s in region %s has version %d (latest %d), and its configuration has age %v", p.name, p.zone, p.version, model.voters.Version(), age)
		}
	}
	before := model.chunksReceived
	model.heal()
	took := model.awaitInSync(7 * time.Second)
	t.Logf("in sync %v after the partition, with %d newer versions", took, model.voters.Version()-1)
	if model.chunksReceived != before {
		t.Errorf("received %d chunks of snapshots after the partition, want none", model.chunksReceived-before)
	}
}
