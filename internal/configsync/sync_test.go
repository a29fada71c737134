package configsync

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"jasperpin/internal/configlog"
	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/check"
	"jasperpin/internal/lengthprefix"
)

// TestChangesReachAllNodes proposes changes at three voters. They reach twenty nodes through three relays, which know
// that from the nodes' reports. Then a relay fails: the others take its nodes and the next change reaches all.
func TestChangesReachAllNodes(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	v := env.cluster()
	var relays []*Relay
	var addrs []RelayAddress
	for range 3 {
		r, a := env.relay(v.Client)
		relays, addrs = append(relays, r), append(addrs, a)
	}
	var nodes []*testNode
	for i := range 20 {
		nodes = append(nodes, env.node(fmt.Sprintf("node%02d", i), addrs))
	}
	for i := range 3 {
		v.propose(t, "one", fmt.Sprintf(`{"at":%d}`, i))
	}
	awaitInSync(t, "all have three changes", v, nodes...)
	served := func(of []*Relay) (all int) {
		version, digest := v.position()
		for _, r := range of {
			s := r.Status()
			if s.Version != version || s.Digest != digest || s.Reason != "" {
				return -1
			}
			for _, n := range s.Nodes {
				if n.SentVersion == version && n.Report.Version == version {
					all++
				}
			}
		}
		return all
	}
	check.Eventually(t, "the relays know that all nodes have it", func() bool { return served(relays) == len(nodes) })
	for _, r := range relays {
		if n := len(r.Status().Nodes); n == 0 || n > 15 {
			t.Errorf("one of three relays serves %d of %d nodes", n, len(nodes))
		}
	}

	relays[0].Close()
	v.propose(t, "two", `{"at":4}`)
	awaitInSync(t, "all have a change after a relay has failed", v, nodes...)
	check.Eventually(t, "the others serve all nodes", func() bool { return served(relays[1:]) == len(nodes) })
	for _, n := range nodes {
		check.Eventually(t, "the node is in sync", func() bool {
			s := n.Status()
			return s.InSync && s.Version == 4 && s.Age >= 0 && s.Age < configlog.StaleAfter && s.Reason == ""
		})
		if installs, changes := n.counts(); installs != 1 || changes != 4 {
			t.Errorf("a node installed %d states and applied %d changes, want the empty one and 4", installs, changes)
		}
	}
}

// TestFaultyRelaysAreLeft has a node prefer a relay that sends a changed record, a false digest, a lower version,
// nothing more, malformed frames, a rejection or a stale state. It closes the stream for the right reason and
// follows the other relay, and what it has in force is what the voters committed.
func TestFaultyRelaysAreLeft(t *testing.T) {
	v := newFakeVoters()
	first := v.propose(t, "one", "{}")
	version, digest := v.position()
	heartbeat := configlog.Heartbeat{Version: version, Digest: digest}
	for _, c := range []struct {
		name   string
		why    configlog.CloseReason
		script func(c net.Conn, resumed <-chan configlog.Resume) error
	}{
		{"changed record", configlog.ReasonDigestMismatch, func(c net.Conn, resumed <-chan configlog.Resume) error {
			changed := first
			changed.Records = []configlog.Record{{Key: configlog.PoolKey("one"), Value: []byte(`{"evil":1}`)}}
			if err := sendMessages(c, heartbeat); err != nil {
				return err
			}
			<-resumed
			return sendMessages(c, configlog.Changes{changed})
		}},
		{"false digest", configlog.ReasonDigestMismatch, func(c net.Conn, resumed <-chan configlog.Resume) error {
			if err := sendMessages(c, heartbeat); err != nil {
				return err
			}
			<-resumed
			return sendMessages(c, configlog.Changes{first}, configlog.Heartbeat{Version: version, Digest: configlog.Digest{1}})
		}},
		{"lower version", configlog.ReasonVersionRegressed, func(c net.Conn, resumed <-chan configlog.Resume) error {
			if err := sendMessages(c, heartbeat); err != nil {
				return err
			}
			<-resumed
			return sendMessages(c, configlog.Changes{first}, configlog.Heartbeat{Version: 0, Digest: configlog.New().Digest()})
		}},
		{"silence", configlog.ReasonSilent, func(c net.Conn, resumed <-chan configlog.Resume) error {
			if err := sendMessages(c, heartbeat); err != nil {
				return err
			}
			<-resumed
			return sendMessages(c, configlog.Changes{first})
		}},
		{"malformed frame", configlog.ReasonLost, func(c net.Conn, resumed <-chan configlog.Resume) error {
			return writeFrames(c, lengthprefix.Finish(append(lengthprefix.Begin(nil), "nonsense"...)))
		}},
		{"frame too long", configlog.ReasonLost, func(c net.Conn, resumed <-chan configlog.Resume) error {
			return writeFrames(c, []byte{0xff, 0xff, 0xff, 0xff, 1})
		}},
		{"rejection", configlog.ReasonLost, func(c net.Conn, resumed <-chan configlog.Resume) error {
			return writeFrames(c, lengthprefix.Finish(append(lengthprefix.Begin(nil), "xno"...)))
		}},
		{"stale state", configlog.ReasonLagging, func(c net.Conn, resumed <-chan configlog.Resume) error {
			return sendMessages(c, configlog.Heartbeat{Version: 0, Digest: configlog.New().Digest(), Age: time.Hour})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			faulty := env.scriptedRelay(c.script)
			_, good := env.relay(v)
			faulty.Rank, good.Rank = 0, 1 // the faulty one is preferred
			n := env.node("node", []RelayAddress{faulty, good})
			check.Eventually(t, "the faulty relay is left", func() bool {
				s := n.Status()
				return s.CloseCounts[c.why] > 0 && s.Relay == good.Name && s.InSync
			})
			awaitInSync(t, "the node is in sync with the other relay", v, n)
			if !strings.Contains(env.text.String(), "is left") {
				t.Error("it is not logged")
			}
		})
	}
}

// TestSlowNodesDoNotDelayOthers opens more streams that need a snapshot and take nothing than may be sent one at a
// time. Other nodes get changes and snapshots all the same, and the slow streams are closed.
func TestSlowNodesDoNotDelayOthers(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	v := newFakeVoters()
	large := strings.Repeat("x", configlog.MaxValue-100)
	for i := range 160 { // 10 MB, beyond what sockets hold and the log keeps
		v.propose(t, fmt.Sprint("pool", i), fmt.Sprintf(`{"n":%d,"x":"%s"}`, i, large))
	}
	r, a := env.relay(v)
	n := env.node("quick", []RelayAddress{a})
	awaitInSync(t, "the fast node is in sync", v, n)
	if installs, changes := n.counts(); installs != 2 || changes != 0 {
		t.Errorf("beyond the log it installed %d states and applied %d changes, want the empty one and a snapshot", installs, changes)
	}
	var slow []net.Conn
	for range configlog.MaxSnapshotStreams + 1 {
		c := env.dial(a.Addr)
		hi, err := encodeNodeFrame(kindHello, hello{protocolVersion, "slow", ""})
		if err != nil {
			t.Fatal(err)
		}
		if err := writeFrames(c, append(hi, lengthprefix.Finish(configlog.AppendResume(lengthprefix.Begin(nil), configlog.Resume{}))...)); err != nil {
			t.Fatal(err)
		}
		slow = append(slow, c)
	}
	check.Eventually(t, "all are served", func() bool { return len(r.Status().Nodes) == len(slow)+1 })
	for i := range 5 {
		v.propose(t, "one", fmt.Sprintf(`{"at":%d}`, i))
		awaitInSync(t, "the fast node has each change", v, n)
	}
	late := env.node("late", []RelayAddress{a})
	awaitInSync(t, "a late node gets a snapshot despite the slow ones", v, late)
	check.Eventually(t, "the slow streams are closed", func() bool { return len(r.Status().Nodes) == 2 })
	v.propose(t, "one", "{}")
	awaitInSync(t, "the others are in sync", v, n, late)
}

// TestNodeResumesAfterPartition closes a node's stream while changes are made. It resumes from its version, by changes
// alone. After a partition that exceeds the log it installs a snapshot.
func TestNodeResumesAfterPartition(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	v := newFakeVoters()
	v.propose(t, "one", "{}")
	r, a := env.relay(v)
	p := newPartitionProxy(t, a.Addr)
	n := env.node("node", []RelayAddress{at(p.ln.Addr().String())})
	awaitInSync(t, "the node is in sync", v, n)
	for i := range 3 {
		p.setPartitioned(true)
		check.Eventually(t, "the relay has no stream", func() bool { return len(r.Status().Nodes) == 0 })
		v.propose(t, "one", fmt.Sprintf(`{"at":%d}`, i))
		p.setPartitioned(false)
		awaitInSync(t, "the node is in sync after the partition", v, n)
	}
	if installs, changes := n.counts(); installs != 1 || changes != 4 {
		t.Errorf("it installed %d states and applied %d changes, want the empty one and 4", installs, changes)
	}
	p.setPartitioned(true)
	for i := range 2 * configlog.MaxLogBytes / configlog.MaxValue {
		v.propose(t, "one", fmt.Sprintf(`{"at":%d,"x":"%s"}`, i, strings.Repeat("x", configlog.MaxValue-100)))
	}
	check.Eventually(t, "the relay is in sync", func() bool { at, _ := v.position(); return r.Status().Version == at })
	p.setPartitioned(false)
	awaitInSync(t, "the node is in sync after a long partition", v, n)
	if installs, _ := n.counts(); installs != 2 {
		t.Errorf("beyond the log it installed %d states", installs)
	}
}

// TestRelayWithoutVotersReportsItsAge takes the voters away from a relay, and then their majority. The relay and its
// node keep what they have and report that they are not in sync, and are soon in sync again after that.
func TestRelayWithoutVotersReportsItsAge(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	v := newFakeVoters()
	v.propose(t, "one", "{}")
	r, a := env.relay(v)
	n := env.node("node", []RelayAddress{a})
	awaitInSync(t, "the node is in sync", v, n)
	check.Eventually(t, "the node reports that it is in sync", func() bool { return n.Status().InSync })
	version, digest := v.position()
	for _, noMajority := range []bool{false, true} {
		v.set(!noMajority, noMajority)
		check.Eventually(t, "the relay reports that it is not in sync", func() bool {
			s := r.Status()
			return s.Reason != "" && s.Age > 0
		})
		check.Eventually(t, "the node reports that it is not in sync", func() bool {
			s := n.Status()
			return !s.InSync && s.Reason != "" && s.Age >= configlog.StaleAfter && s.Version == version
		})
		if !n.has(version, digest) {
			t.Error("the node does not keep what it has")
		}
	}
	v.propose(t, "one", `{"at":2}`)
	v.set(false, false)
	awaitInSync(t, "the node is in sync after the partition", v, n)
	check.Eventually(t, "both report that they are in sync again", func() bool { return n.Status().InSync && r.Status().Reason == "" })
}

// TestNodeRestartsFromCopy restarts a node while no relay is up: it has the version of its copy in force. With the last
// change damaged it has the version before, and the copy is repaired once a relay is up.
func TestNodeRestartsFromCopy(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	v := newFakeVoters()
	dir := t.TempDir()
	folder := func(o *SourceOptions) { o.Dir = dir }
	r, a := env.relay(v)
	n := env.node("node", []RelayAddress{a}, folder)
	for i := range 5 {
		v.propose(t, "one", fmt.Sprintf(`{"at":%d}`, i))
		awaitInSync(t, "the node is in sync", v, n)
	}
	version, digest := v.position()
	n.Close()
	r.Close()
	again := env.node("node", []RelayAddress{a}, folder)
	if !again.has(version, digest) {
		t.Fatalf("the restarted node has version %d of %d", again.Status().Version, version)
	}
	check.Eventually(t, "it reports that no relay is reached", func() bool {
		s := again.Status()
		return s.Relay == "" && s.Reason != "" && s.Age < 0 && s.Version == version && s.Digest == digest
	})
	again.Close()

	path := filepath.Join(dir, changesFile)
	text := check.Must[[]byte](t)(os.ReadFile(path))
	text[len(text)-3] ^= 1 // in the last change
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	damaged := env.node("node", []RelayAddress{a}, folder)
	if s := damaged.Status(); s.Version != version-1 {
		t.Errorf("with its last change damaged the copy has version %d, want %d", s.Version, version-1)
	}
	if !strings.Contains(env.text.String(), "cannot be used") {
		t.Error("the damage is not logged")
	}
	damaged.Close()
	_, b := env.relay(v)
	healed := env.node("node", []RelayAddress{b}, folder)
	awaitInSync(t, "the node is in sync again", v, healed)
	healed.Close()
	if repaired := env.node("node", nil, folder); !repaired.has(version, digest) {
		t.Errorf("the copy was not repaired: version %d", repaired.Status().Version)
	}
}

// TestNodeWithAnotherHistoryInstallsTheRelays starts a node from the copy of a lost cluster. Both relays of the new
// cluster have another history, and the node installs theirs as a whole.
func TestNodeWithAnotherHistoryInstallsTheRelays(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	dir := t.TempDir()
	folder := func(o *SourceOptions) { o.Dir = dir }
	before, after := newFakeVoters(), newFakeVoters()
	for i := range 5 {
		if i < 3 {
			before.propose(t, "old", fmt.Sprintf(`{"at":%d}`, i))
		}
		after.propose(t, "new", fmt.Sprintf(`{"at":%d}`, i))
	}
	_, old := env.relay(before)
	n := env.node("node", []RelayAddress{old}, folder)
	awaitInSync(t, "the node has the old configuration", before, n)
	n.Close()
	_, a := env.relay(after)
	_, b := env.relay(after)
	n = env.node("node", []RelayAddress{a, b}, folder)
	awaitInSync(t, "the node has the new configuration", after, n)
	if installs, changes := n.counts(); installs != 2 || changes != 0 {
		t.Errorf("it installed %d states and applied %d changes, want its copy and the new configuration", installs, changes)
	}
}

// TestNodeServesWithoutWritableCopy gives a node a directory that it cannot write: it follows the configuration all the
// same, and reports that no copy is stored.
func TestNodeServesWithoutWritableCopy(t *testing.T) {
	env := newTestEnv(t)
	v := newFakeVoters()
	dir := t.TempDir()
	if err := os.Mkdir(filepath.Join(dir, changesFile), 0o700); err != nil { // also root cannot write it
		t.Fatal(err)
	}
	_, a := env.relay(v)
	n := env.node("node", []RelayAddress{a}, func(o *SourceOptions) { o.Dir = dir })
	v.propose(t, "one", "{}")
	awaitInSync(t, "the node is in sync", v, n)
	if s := n.Status(); s.CopyError == "" {
		t.Errorf("%+v", s)
	}
}

// TestFailedChangeIsReported has a node fail to put a change in force: it is counted and reported to the relay, and the
// next change is put in force.
func TestFailedChangeIsReported(t *testing.T) {
	env := newTestEnv(t)
	v := newFakeVoters()
	r, a := env.relay(v)
	n := env.node("node", []RelayAddress{a})
	refuse := func(err error) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.refuse = err
	}
	refuse(errors.New("pool/one: no such field"))
	v.propose(t, "one", "{}")
	awaitInSync(t, "the first is tried", v, n)
	refuse(nil)
	v.propose(t, "two", "{}")
	awaitInSync(t, "the second is in force", v, n)
	check.Eventually(t, "the relay has the report", func() bool {
		s := r.Status()
		return len(s.Nodes) == 1 && s.Nodes[0].Report == NodeReport{Version: 2, RejectedChanges: 1, LastRejection: "pool/one: no such field"}
	})
	if s := n.Status(); s.RejectedChanges != 1 || s.LastRejection != "pool/one: no such field" || s.Version != 2 {
		t.Errorf("%+v", s)
	}
}

// TestRelayRejectsStrangersAndExcessNodes connects with another authority's certificate, another protocol, malformed
// frames, and more nodes than the relay may serve. Strangers are rejected, and the excess nodes follow another relay.
func TestRelayRejectsStrangersAndExcessNodes(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	v := newFakeVoters()
	v.propose(t, "one", "{}")
	small, a := env.relay(v, func(o *RelayOptions) { o.MaxStreams = 2 })
	other := check.Must[*emulator.Authority](t)(emulator.NewAuthority(t.TempDir()))
	stranger := &testEnv{t, other, env.log, env.text}
	theirs, err := stranger.files("node").Load(RelayName)
	if err != nil {
		t.Fatal(err)
	}
	theirs.InsecureSkipVerify = true
	if c, err := tls.Dial("tcp", a.Addr, theirs); err == nil { // the handshake ends before the server has checked the certificate
		_ = c.SetReadDeadline(time.Now().Add(check.Soon))
		if n, err := c.Read(make([]byte, 1)); err == nil {
			t.Errorf("a client of another authority is served: %d bytes", n)
		}
		c.Close()
	}
	old, err := encodeNodeFrame(kindHello, hello{protocolVersion + 1, "old", ""})
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string][]byte{
		"another protocol": old, "not a hello": lengthprefix.Finish(append(lengthprefix.Begin(nil), '?')), "frame too long": {0xff, 0xff, 0xff, 0xff, 'h'}, "empty frame": {0, 0, 0, 0},
	} {
		c := env.dial(a.Addr)
		if err := writeFrames(c, text); err != nil {
			t.Fatal(err)
		}
		_ = c.SetReadDeadline(time.Now().Add(check.Soon))
		if reply, err := readFrame(c, nil, maxNodeFrame); err != nil || reply[0] != kindRejection {
			t.Errorf("%s: %q %v", name, reply, err)
		}
	}
	_, b := env.relay(v)
	a.Rank, b.Rank = 0, 1
	var nodes []*testNode
	for i := range 5 {
		nodes = append(nodes, env.node(fmt.Sprint("node", i), []RelayAddress{a, b}))
	}
	awaitInSync(t, "all nodes are in sync", v, nodes...)
	check.Eventually(t, "all are served", func() bool {
		for _, n := range nodes {
			if !n.Status().InSync {
				return false
			}
		}
		return true
	})
	if n := len(small.Status().Nodes); n > 2 {
		t.Errorf("%d nodes are served, want at most 2", n)
	}
}

// TestRelaySurvivesAcceptErrors has accept(2) fail with each error that is temporary: the relay accepts the next
// connection.
func TestRelaySurvivesAcceptErrors(t *testing.T) {
	env := newTestEnv(t)
	r := check.Must[*Relay](t)(NewRelay(RelayOptions{Voters: newFakeVoters(), Files: env.files(RelayName), Log: env.log}))
	defer r.Close()
	ln := check.Must[net.Listener](t)(net.Listen("tcp", "127.0.0.1:0"))
	ended := make(chan error, 1)
	go func() { ended <- r.Serve(check.NewFailingListener(ln, check.AcceptErrors...)) }()
	conn := check.Must[net.Conn](t)(net.Dial("tcp", ln.Addr().String()))
	defer conn.Close()
	check.Eventually(t, "the connection is accepted", func() bool {
		select {
		case err := <-ended:
			t.Fatalf("Serve ended with %v", err)
		default:
		}
		return len(r.handshakeSlots) > 0
	})
}
