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

// TestWireFormsAreUnchanged compares the JSON of calls, log entries and a voter's identity, and the format of
// backup files, with golden files from an earlier version.
func TestWireFormsAreUnchanged(t *testing.T) {
	t.Parallel()
	golden.JSON[logEntry](t, "log-entry")
	golden.JSON[identity](t, "identity")
	golden.JSON[proposal](t, "proposal")
	golden.JSON[configRequest](t, "ask-news")
	golden.JSON[configReply](t, "news")
	golden.JSON[ReadRequest](t, "ask")
	golden.JSON[ReadResponse](t, "view")
	golden.JSON[Status](t, "status")
	golden.JSON[VoterChange](t, "change")
	golden.JSON[Backup](t, "backup")
	golden.JSON[RegisteredInstance](t, "presence")
	golden.JSON[Member](t, "member")
	golden.Bytes(t, "backup.sealed", Backup{State: []byte(`{"Format":1}`)}.Encode())
	if b, err := DecodeBackup(golden.Read(t, "backup.sealed")); err != nil || string(b.State) != `{"Format":1}` {
		t.Errorf("a backup of an earlier version is decoded as %+v, error %v; want its state unchanged", b, err)
	}
}

// TestVoterDirectoryOfEarlierVersion opens a voter's directory that an earlier version wrote. The identity must be
// readable, and the log entries must give the same state as with that version.
func TestVoterDirectoryOfEarlierVersion(t *testing.T) {
	if golden.Updating() {
		writeVoterDir(t)
	}
	dir := filepath.Join(t.TempDir(), "voter")
	golden.Copy(t, "voter", dir)
	id, err := readIdentity(dir)
	if err != nil || id.ID != "v1" || !id.Started || len(id.Voters) != 1 {
		t.Errorf("the stored identity is read as %+v, error %v; want v1, started, with one voter", id, err)
	}
	store, err := openLog(filepath.Join(dir, "log.db"))
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	first, err1 := store.FirstIndex()
	last, err2 := store.LastIndex()
	if err1 != nil || err2 != nil || first == 0 || last <= first {
		t.Fatalf("the log has entries %d to %d, errors %v and %v; want several entries", first, last, err1, err2)
	}
	r := applyLog(t, store, first, last)
	golden.Bytes(t, "voter-state.json", check.Must[[]byte](t)(r.encode()))
	if r.state.Revision() == 0 || r.state.Config().Version() != 1 {
		t.Errorf("the log gives a state at revision %d with configuration version %d, want a revision above 0 and version 1", r.state.Revision(), r.state.Config().Version())
	}
}

// applyLog applies the commands of a log to a new replica.
func applyLog(t *testing.T, store raft.LogStore, first, last uint64) *replica {
	t.Helper()
	r := newReplica()
	for i := first; i <= last; i++ {
		var l raft.Log
		if err := store.GetLog(i, &l); err != nil {
			t.Fatal(err)
		}
		if l.Type == raft.LogCommand {
			r.Apply(&l)
		}
	}
	return r
}

// writeVoterDir runs a voter for a few commands and saves its directory as the golden directory.
func writeVoterDir(t *testing.T) {
	t.Helper()
	cluster := newCluster(t, "v1")
	cluster.leader()
	client := cluster.client()
	ctx := within(t, 30*time.Second)
	for _, cmd := range []fsm.Command{
		{Op: fsm.Acquire, Name: "lease-1", Holder: "holder-1", TTL: time.Hour},
		{Op: fsm.Put, Name: "key-1", Value: []byte("value-1")},
	} {
		check.Must[fsm.Result](t)(client.Do(ctx, cmd))
	}
	check.Must[uint64](t)(client.Propose(ctx, configlog.Change{Author: "author", Note: "note", UnixMillis: 1764720000000, Records: []configlog.Record{
		{Key: configlog.PoolKey("pool-1"), Value: []byte(`{"discovery":"127.0.0.1:1"}`)},
	}}))
	cluster.end("v1")
	golden.Save(t, "voter", cluster.voterDir("v1"))
	store, err := openLog(filepath.Join(cluster.voterDir("v1"), "log.db"))
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	first, last := check.Must[uint64](t)(store.FirstIndex()), check.Must[uint64](t)(store.LastIndex())
	golden.Bytes(t, "voter-state.json", check.Must[[]byte](t)(applyLog(t, store, first, last).encode()))
}

// TestIdentityFileIsUnchanged writes a voter's identity file, compares it with the golden file from an earlier version,
// and decodes the golden file.
func TestIdentityFileIsUnchanged(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	id := identity{ID: "v1", Voters: map[string]string{"v1": "127.0.0.1:1"}, Started: true}
	if err := id.write(dir); err != nil {
		t.Fatal(err)
	}
	text := check.Must[[]byte](t)(os.ReadFile(filepath.Join(dir, identityFile)))
	golden.Bytes(t, "identity.stored.json", text)
	var back identity
	if err := json.Unmarshal(bytes.TrimSpace(golden.Read(t, "identity.stored.json")), &back); err != nil || back.ID != id.ID {
		t.Errorf("the golden identity is decoded as %+v, error %v; want the id that was written", back, err)
	}
}
