package consensus

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"jasperpin/internal/configlog"
	"jasperpin/internal/consensus/fsm"
	"jasperpin/internal/emulator/check"
	"jasperpin/internal/golden"
)

// TestCallForms holds what goes between instances, into the log and into a voter's folder to the forms
// that an earlier version wrote.
func TestCallForms(t *testing.T) {
	t.Parallel()
	golden.JSON[entry](t, "log-entry")
	golden.JSON[identity](t, "identity")
	golden.JSON[proposal](t, "proposal")
	golden.JSON[askNews](t, "ask-news")
	golden.JSON[news](t, "news")
	golden.JSON[Ask](t, "ask")
	golden.JSON[View](t, "view")
	golden.JSON[Status](t, "status")
	golden.JSON[Change](t, "change")
	golden.JSON[Backup](t, "backup")
	golden.JSON[Presence](t, "presence")
	golden.JSON[Member](t, "member")
	golden.Bytes(t, "backup.sealed", Backup{State: []byte(`{"Format":1}`)}.Seal())
	if b, err := Unseal(golden.Read(t, "backup.sealed")); err != nil || string(b.State) != `{"Format":1}` {
		t.Errorf("a back-up of an earlier version: %+v, %v", b, err)
	}
}

// TestVoterFolderForm reads the folder of a voter that an earlier version wrote: who it is, and all entries
// of its log, which make the state that they made then.
func TestVoterFolderForm(t *testing.T) {
	if golden.Updating() {
		writeVoterFolder(t)
	}
	dir := filepath.Join(t.TempDir(), "voter")
	golden.Copy(t, "voter", dir)
	who, err := readIdentity(dir)
	if err != nil || who.ID != "v1" || !who.Begun || len(who.Voters) != 1 {
		t.Errorf("identity %+v, %v", who, err)
	}
	store, err := openLog(filepath.Join(dir, "log.db"))
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	first, err1 := store.FirstIndex()
	last, err2 := store.LastIndex()
	if err1 != nil || err2 != nil || first == 0 || last <= first {
		t.Fatalf("the log has entries %d to %d, %v, %v", first, last, err1, err2)
	}
	m := newMachine()
	for i := first; i <= last; i++ {
		var l raft.Log
		if err := store.GetLog(i, &l); err != nil {
			t.Fatal(err)
		}
		if l.Type == raft.LogCommand {
			m.Apply(&l)
		}
	}
	state, err := m.state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	golden.Bytes(t, "voter-state.json", state)
	if m.state.Rev() == 0 || m.state.Conf().Version() != 1 {
		t.Errorf("the log makes a state at revision %d, configuration %d", m.state.Rev(), m.state.Conf().Version())
	}
}

// writeVoterFolder runs a voter for a few commands and keeps its folder.
func writeVoterFolder(t *testing.T) {
	t.Helper()
	g := newGroup(t, "v1")
	g.leader()
	c := g.client()
	ctx := within(t, 30*time.Second)
	for _, cmd := range []fsm.Command{
		{Op: fsm.Acquire, Name: "lease-1", Holder: "holder-1", TTL: time.Hour},
		{Op: fsm.Put, Name: "key-1", Value: []byte("value-1")},
	} {
		check.Must[fsm.Result](t)(c.Do(ctx, cmd))
	}
	check.Must[uint64](t)(c.Propose(ctx, configlog.Change{Author: "author", Note: "note", At: 1764720000000, Records: []configlog.Record{
		{Key: configlog.PoolKey("pool-1"), Value: []byte(`{"discovery":"127.0.0.1:1"}`)},
	}}))
	g.end("v1")
	golden.Save(t, "voter", g.folder("v1"))
	m := newMachine()
	store := check.Must[interface {
		FirstIndex() (uint64, error)
		LastIndex() (uint64, error)
		GetLog(uint64, *raft.Log) error
		Close() error
	}](t)(openLog(filepath.Join(g.folder("v1"), "log.db")))
	defer store.Close()
	last := check.Must[uint64](t)(store.LastIndex())
	for i := check.Must[uint64](t)(store.FirstIndex()); i <= last; i++ {
		var l raft.Log
		if err := store.GetLog(i, &l); err != nil {
			t.Fatal(err)
		}
		if l.Type == raft.LogCommand {
			m.Apply(&l)
		}
	}
	golden.Bytes(t, "voter-state.json", check.Must[[]byte](t)(m.state.Snapshot()))
}

// TestIdentityForm writes a voter's identity as an earlier version did.
func TestIdentityForm(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	who := identity{ID: "v1", Voters: map[string]string{"v1": "127.0.0.1:1"}, Begun: true}
	if err := who.write(dir); err != nil {
		t.Fatal(err)
	}
	text := check.Must[[]byte](t)(os.ReadFile(filepath.Join(dir, identityFile)))
	golden.Bytes(t, "identity.stored.json", text)
	var back identity
	if err := json.Unmarshal(bytes.TrimSpace(golden.Read(t, "identity.stored.json")), &back); err != nil || back.ID != who.ID {
		t.Errorf("read back %+v, %v", back, err)
	}
}
