package fsm

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jasperpin/internal/configlog"
	_ "jasperpin/internal/seeded"
)

// encodedProposal returns the change of one pool, encoded as in Command.Change.
func encodedProposal(base uint64, pool, value string) []byte {
	return configlog.AppendChange(nil, configlog.Change{BaseVersion: base, Records: []configlog.Record{{Key: configlog.PoolKey(pool), Value: []byte(value)}}})
}

// drawCommand draws a command from few names, holders and revisions, so that commands often conflict. The
// fencing token is one of tokens, those granted so far.
func drawCommand(r *rapid.T, tokens []uint64) Command {
	c := Command{
		Elapsed:    time.Duration(rapid.IntRange(0, 3).Draw(r, "elapsed")) * time.Second,
		Op:         rapid.SampledFrom([]Op{Tick, Acquire, Acquire, Renew, Release, Put, Put, Delete, ProposeConfig, "other"}).Draw(r, "op"),
		Name:       rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "name"),
		Holder:     rapid.SampledFrom([]string{"x", "y", "z"}).Draw(r, "holder"),
		TTL:        time.Duration(rapid.IntRange(1, 5).Draw(r, "ttl")) * time.Second,
		IfRevision: uint64(rapid.IntRange(0, 12).Draw(r, "if")),
		Value:      []byte{byte(rapid.IntRange(0, 255).Draw(r, "value"))},
	}
	if c.Op == ProposeConfig {
		c.Change = encodedProposal(uint64(rapid.IntRange(0, 6).Draw(r, "base")), c.Name, fmt.Sprintf("{\"v\":%d}", c.Value[0]))
	}
	if len(tokens) > 0 {
		c.FencingToken = rapid.SampledFrom(tokens).Draw(r, "fence")
	}
	return c
}

// TestStateInvariants applies random commands and checks the invariants of the package comment after each:
// fencing tokens only grow, no lease has a second holder before its deadline, an entry changes only if it is at
// the revision in the command, and a command that is applied again returns the same result and changes nothing.
func TestStateInvariants(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m := &invariants{r: r, state: New(), grants: make(map[string]grant), revisions: make(map[string]uint64), poolVersions: make(map[string]uint64)}
		for n := range rapid.IntRange(1, 60).Draw(r, "commands") {
			c := drawCommand(r, m.tokens)
			c.Session, c.Number = "s", uint64(n+1)
			before := m.state.Revision()
			got := m.state.Apply(c)
			m.checkRetry(c, got)
			if got.Revision < before {
				r.Fatalf("a command returned revision %d after revision %d, want no decrease", got.Revision, before)
			}
			if got.Err() == nil {
				m.checkEffect(c, got)
			}
		}
	})
}

// grant is a granted lease.
type grant struct {
	holder string
	until  time.Duration
}

// invariants checks a state against the results of the commands applied so far.
type invariants struct {
	r            *rapid.T
	state        *State
	grants       map[string]grant
	revisions    map[string]uint64 // the revisions of the entries
	poolVersions map[string]uint64
	tokens       []uint64
	lastToken    uint64
}

// checkRetry applies a command again, as a client that lost the result would.
func (m *invariants) checkRetry(command Command, got Result) {
	once, err := m.state.Snapshot()
	if err != nil {
		m.r.Fatal(err)
	}
	command.Elapsed = 0
	if again := m.state.Apply(command); again != got {
		m.r.Fatalf("retrying %+v: got result %+v, want the first result %+v", command, again, got)
	}
	if twice, _ := m.state.Snapshot(); !bytes.Equal(once, twice) {
		m.r.Fatalf("retrying %+v changed the state from\n%s to\n%s", command, once, twice)
	}
}

// checkEffect checks a command that succeeded against all earlier ones.
func (m *invariants) checkEffect(command Command, got Result) {
	switch command.Op {
	case Acquire, Renew:
		m.checkGrant(command, got)
	case Release:
		delete(m.grants, command.Name)
	case Put:
		if m.revisions[command.Name] != command.IfRevision {
			m.r.Fatalf("Put of %s at revision %d succeeded; the entry was at %d", command.Name, command.IfRevision, m.revisions[command.Name])
		}
		e, found := m.state.Entry(command.Name)
		if !found || !bytes.Equal(e.Value, command.Value) {
			m.r.Fatalf("entry %s is %v after a Put of %v", command.Name, e, command.Value)
		}
		m.revisions[command.Name] = e.Revision
	case Delete:
		if m.revisions[command.Name] != command.IfRevision || command.IfRevision == 0 {
			m.r.Fatalf("Delete of %s succeeded; the entry was at %d, the command at %d", command.Name, m.revisions[command.Name], command.IfRevision)
		}
		delete(m.revisions, command.Name)
	case ProposeConfig:
		m.checkProposal(command, got)
	}
}

// checkGrant checks that a new holder has a greater token, and that the lease of the previous holder had ended.
func (m *invariants) checkGrant(command Command, got Result) {
	held := m.grants[command.Name]
	if held.holder != command.Holder {
		if held.until > m.state.now {
			m.r.Fatalf("%s holds lease %s until %v, but it was granted to %s at %v", held.holder, command.Name, held.until, command.Holder, m.state.now)
		}
		if got.FencingToken <= m.lastToken {
			m.r.Fatalf("granted fencing token %d after %d, want a greater token", got.FencingToken, m.lastToken)
		}
	}
	m.lastToken = max(m.lastToken, got.FencingToken)
	m.tokens = append(m.tokens, got.FencingToken)
	m.grants[command.Name] = grant{command.Holder, max(held.until, m.state.now+command.TTL)}
}

// checkProposal checks that the pool had not changed since the base version of the proposal.
func (m *invariants) checkProposal(command Command, got Result) {
	p, err := configlog.DecodeChange(command.Change)
	if err != nil {
		m.r.Fatal(err)
	}
	if m.poolVersions[command.Name] > p.BaseVersion {
		m.r.Fatalf("change of %s based on version %d succeeded; the pool was at %d", command.Name, p.BaseVersion, m.poolVersions[command.Name])
	}
	m.poolVersions[command.Name] = got.Version
	if got.Version != m.state.Config().Version() {
		m.r.Fatalf("the result has version %d, but the configuration has version %d", got.Version, m.state.Config().Version())
	}
}

// TestReplicasAgree applies the same random commands to two replicas, one of which is sometimes restored from
// a snapshot of the other. Both must return the same results and end in the same state, and the events must
// show which leases and entries exist.
func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		one := New()
		two := New()
		leases, entries := make(map[string]bool), make(map[string]bool)
		seen := uint64(0)
		var tokens []uint64
		for range rapid.IntRange(1, 60).Draw(r, "commands") {
			c := drawCommand(r, tokens)
			a, b := one.Apply(c), two.Apply(c)
			if a != b {
				r.Fatalf("applying %+v: the results of two replicas differ: %+v and %+v", c, a, b)
			}
			if a.FencingToken > 0 {
				tokens = append(tokens, a.FencingToken)
			}
			if rapid.IntRange(0, 9).Draw(r, "restores a snapshot") == 0 {
				text, err := one.Snapshot()
				if err != nil {
					r.Fatal(err)
				}
				if two, err = Restore(text); err != nil {
					r.Fatal(err)
				}
			}
			events, ok := two.EventsSince(seen)
			if !ok {
				r.Fatalf("events since revision %d are not retained at revision %d", seen, two.Revision())
			}
			for _, e := range events {
				exists := entries
				if e.Lease {
					exists = leases
				}
				exists[e.Name] = !e.Deleted
				seen = e.Revision
			}
		}
		for _, name := range []string{"a", "b", "c"} {
			_, held := two.Lease(name)
			_, exists := two.Entry(name)
			if held != leases[name] || exists != entries[name] {
				r.Fatalf("%s: lease exists: %v, entry exists: %v; according to the events: %v, %v", name, held, exists, leases[name], entries[name])
			}
		}
		x, _ := one.Snapshot()
		y, _ := two.Snapshot()
		if !bytes.Equal(x, y) {
			r.Fatalf("the snapshots of two replicas differ:\n%s\nand\n%s", x, y)
		}
	})
}

// TestCommandsBeyondBoundsAreRejected fills a state with leases, sessions and entries up to each bound. The next
// one must be rejected with ErrFull. In the end all leases and sessions must expire.
func TestCommandsBeyondBoundsAreRejected(t *testing.T) {
	state := New()
	for i := range MaxLeases + 1 {
		err := state.Apply(Command{Op: Acquire, Name: fmt.Sprint("l", i), Holder: "h", TTL: time.Second}).Err()
		if full := i == MaxLeases; errors.Is(err, ErrFull) != full {
			t.Fatalf("granting lease %d: got error %v, want ErrFull only beyond MaxLeases", i, err)
		}
	}
	for i := range MaxSessions + 1 {
		err := state.Apply(Command{Op: Tick, Session: fmt.Sprint("s", i), Number: 1}).Err()
		if full := i == MaxSessions; errors.Is(err, ErrFull) != full {
			t.Fatalf("opening session %d: got error %v, want ErrFull only beyond MaxSessions", i, err)
		}
	}
	for i := range MaxBytes/MaxValue + 1 {
		err := state.Apply(Command{Op: Put, Name: fmt.Sprintf("%05d", i), Value: make([]byte, MaxValue-5)}).Err()
		if full := i == MaxBytes/MaxValue; errors.Is(err, ErrFull) != full {
			t.Fatalf("putting entry %d: got error %v, want ErrFull only beyond MaxBytes", i, err)
		}
	}
	if _, ok := state.EventsSince(0); ok {
		t.Error("all events are retained beyond maxEvents")
	}
	for range 10 { // each advances the clock by maxElapsed, one minute
		state.Apply(Command{Op: Tick, Elapsed: time.Hour})
	}
	if len(state.Leases("")) != 0 || len(state.sessions) != 0 {
		t.Errorf("%d leases and %d sessions have not expired, want none", len(state.Leases("")), len(state.sessions))
	}
}

// TestConfigurationConflictsAndBackups lets two clients propose changes based on the same version. The second
// must be rejected with the record in conflict, and must get the same result when it retries. A backup must then
// restore the configuration at a version greater than any that a node may have.
func TestConfigurationConflictsAndBackups(t *testing.T) {
	state := New()
	before, err := state.Snapshot() // a snapshot in the format without a configuration
	if err != nil {
		t.Fatal(err)
	}
	if r := state.Apply(Command{Op: ProposeConfig, Session: "one", Number: 1, Change: encodedProposal(0, "a", "{}")}); r.Err() != nil || r.Version != 1 {
		t.Fatalf("first proposal: got result %+v, error %v; want version 1", r, r.Err())
	}
	conflicting := Command{Op: ProposeConfig, Session: "two", Number: 1, Change: encodedProposal(0, "a", `{"b":1}`)}
	r := state.Apply(conflicting)
	if err := r.Err(); !errors.Is(err, configlog.ErrConflict) || !strings.Contains(err.Error(), "pool/a changed at version 1") {
		t.Errorf("second proposal: got error %v, want ErrConflict that names the record and version 1", err)
	}
	if again := state.Apply(conflicting); again != r {
		t.Errorf("retry of the second proposal: got result %+v, want the first result %+v", again, r)
	}
	if again := state.Apply(Command{Op: ProposeConfig, Session: "one", Number: 1, Change: encodedProposal(0, "a", "{}")}); again.Version != 1 || state.Config().Version() != 1 {
		t.Errorf("retry of the first proposal: got result %+v and configuration version %d, want version 1 for both", again, state.Config().Version())
	}
	for _, bad := range [][]byte{nil, {1}, encodedProposal(9, "a", "{}")} {
		if err := state.Apply(Command{Op: ProposeConfig, Change: bad}).Err(); !errors.Is(err, ErrMalformed) {
			t.Errorf("invalid change %q: got error %v, want ErrMalformed", bad, err)
		}
	}
	checkBackups(t, state, before)
}

// checkBackups restores a snapshot of a state, and then backups with and without a configuration. Each restored
// configuration must be at a version greater than any that a node may have, and the current state must not change.
func checkBackups(t *testing.T, state *State, withoutConfig []byte) {
	t.Helper()
	after, err := state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	again, err := Restore(after)
	if err != nil || again.Config().Digest() != state.Config().Digest() {
		t.Fatalf("restoring a snapshot: got error %v, want the same configuration", err)
	}
	if changes, ok := again.Config().ChangesSince(0); !ok || len(changes) != 1 {
		t.Errorf("the restored snapshot retains %d changes, found %v; want 1 change", len(changes), ok)
	}
	laterChange := Command{Op: ProposeConfig, Change: encodedProposal(1, "b", "{}")}
	if r := state.Apply(laterChange); r.Err() != nil {
		t.Fatal(r.Err())
	}
	for _, c := range []struct {
		name   string
		backup []byte
		pools  int
		from   uint64
	}{{"with a configuration", after, 1, 1}, {"without a configuration", withoutConfig, 2, 2}} {
		before := state.Config().Version()
		restored, err := RestoreBackup(c.backup, state.Config())
		if err != nil {
			t.Fatal(err)
		}
		if v := restored.Config().Version(); restored.Config().Len() != c.pools || v <= before || v != c.from+1<<32 {
			t.Errorf("restoring the backup %s: got %d pools at version %d, want a version far above %d", c.name, restored.Config().Len(), v, before)
		}
		if state.Config().Version() != before {
			t.Errorf("restoring the backup %s changed the current configuration", c.name)
		}
	}
	if plain, err := RestoreBackup(withoutConfig, configlog.New()); err != nil || plain.Config().Version() != 0 {
		t.Errorf("without a configuration in the backup and the cluster: got version %d, error %v; want version 0", plain.Config().Version(), err)
	}
}

// FuzzRestore decodes damaged snapshots. Each must be rejected, or give a state that can be encoded again and
// applies commands.
func FuzzRestore(f *testing.F) {
	state := New()
	state.Apply(Command{Op: Acquire, Name: "a", Holder: "x", TTL: time.Second, Session: "s", Number: 1})
	state.Apply(Command{Op: Put, Name: "k", Value: []byte("v")})
	state.Apply(Command{Op: ProposeConfig, Change: encodedProposal(0, "a", "{}")})
	text, err := state.Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add([]byte(`{"Format":1,"Rev":3,"Events":[{"Rev":2}]}`))
	f.Add([]byte(`{"Format":2}`))
	f.Add([]byte(`{"Format":2,"Conf":"AAAA"}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		restored, err := Restore(text)
		if err != nil {
			return
		}
		again, err := restored.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Restore(again); err != nil {
			t.Errorf("restoring the encoded snapshot %s: %v", again, err)
		}
		restored.Apply(Command{Op: Acquire, Name: "a", Holder: "y", TTL: time.Second, Elapsed: time.Second})
	})
}
