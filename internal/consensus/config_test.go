package consensus

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
	"time"

	"jasperpin/internal/configlog"
	"jasperpin/internal/consensus/fsm"
	"jasperpin/internal/emulator/check"
)

func poolChange(base uint64, name, value string) configlog.Change {
	return configlog.Change{BaseVersion: base, Author: "test", Records: []configlog.Record{{Key: configlog.PoolKey(name), Value: []byte(value)}}}
}

// TestConfigurationReachesReadersThroughFailover proposes changes while first the leader fails and then the
// majority. A reader that waits must receive each change, a proposal based on a stale version must be rejected,
// and the response of a single voter must not be marked as confirmed.
func TestConfigurationReachesReadersThroughFailover(t *testing.T) {
	t.Parallel()
	cluster := newCluster(t, "a", "b", "c")
	client := cluster.client()
	if n := confirmedConfig(t, client, 0); n.Version != 0 || n.Compacted || len(n.Changes) != 0 {
		t.Errorf("the configuration before the first change is %+v, want version 0 without changes", n)
	}
	received := make(chan ConfigUpdate, 1)
	go func() {
		n, err := client.Config(t.Context(), 0, 20*time.Second)
		if err != nil {
			t.Error(err)
		}
		received <- n
	}()
	if v := proposePool(t, client, poolChange(0, "a", `{"at":1}`)); v != 1 {
		t.Fatalf("the first change has version %d, want 1", v)
	}
	n := <-received
	replica := configlog.New()
	if len(n.Changes) != 1 || !n.Confirmed || replica.Apply(n.Changes[0]) != nil || replica.Digest() != n.Digest {
		t.Fatalf("the waiting reader received %+v, want the first change, confirmed", n)
	}
	if _, err := client.Propose(within(t, check.Timeout), poolChange(0, "a", `{"at":2}`)); !errors.Is(err, configlog.ErrConflict) {
		t.Errorf("proposal based on a stale version: got error %v, want ErrConflict", err)
	}

	cluster.end(cluster.leader())
	leader := cluster.leader()
	proposePool(t, client, poolChange(1, "b", "{}"))
	n = confirmedConfig(t, client, 1)
	if len(n.Changes) != 1 || replica.Apply(n.Changes[0]) != nil || replica.Digest() != n.Digest {
		t.Fatalf("the update after version 1 is %+v, want one change with the digest of the replica", n)
	}
	s, err := client.ConfigSnapshot(within(t, check.Timeout), 1)
	if err != nil || s.Digest() != replica.Digest() {
		t.Errorf("requesting a snapshot beyond version 1: got error %v, want the digest of the replica", err)
	}
	if _, err := client.ConfigSnapshot(within(t, check.Timeout), 2); !errors.Is(err, ErrSnapshot) {
		t.Errorf("requesting a snapshot beyond the newest version: got error %v, want ErrSnapshot", err)
	}

	for name := range cluster.addrs {
		if name != leader {
			cluster.end(name)
		}
	}
	check.Eventually(t, "a single voter returns what it has applied", func() bool {
		n, err := client.Config(within(t, check.Timeout), 1, 0)
		return err == nil && !n.Confirmed && n.Version == 2 && len(n.Changes) == 1
	})
	for name := range cluster.addrs {
		if name != leader {
			cluster.start(name)
		}
	}
	if n := confirmedConfig(t, client, 0); n.Version != 2 || n.Digest != replica.Digest() || len(n.Changes) != 2 {
		t.Errorf("the configuration after a restart of the majority is %+v, want version 2 with both changes", n)
	}
}

// proposePool proposes a change and returns its version.
func proposePool(t *testing.T, client *Client, change configlog.Change) uint64 {
	t.Helper()
	version, err := client.Propose(within(t, check.Timeout), change)
	if err != nil {
		t.Fatal(err)
	}
	return version
}

// confirmedConfig returns the configuration after a version once a majority confirms it.
func confirmedConfig(t *testing.T, client *Client, since uint64) (n ConfigUpdate) {
	t.Helper()
	check.Eventually(t, "a majority confirms the configuration", func() bool {
		var err error
		n, err = client.Config(within(t, check.Timeout), since, 0)
		return err == nil && n.Confirmed
	})
	return n
}

// TestRestoredConfigurationIsNewer restores backups with and without a configuration. A reader that follows the
// configuration must need a snapshot, whose version must be greater than all earlier versions.
func TestRestoredConfigurationIsNewer(t *testing.T) {
	t.Parallel()
	cluster := newCluster(t, "a")
	client := cluster.client()
	backup := func() Backup {
		t.Helper()
		b, err := client.Backup(within(t, check.Timeout))
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	without := backup()
	if bytes.Contains(without.State, []byte("Conf")) {
		t.Errorf("a backup without a configuration has the field Conf, want none: %s", without.State)
	}
	var last uint64
	for i := range 3 {
		var err error
		if last, err = client.Propose(within(t, check.Timeout), poolChange(last, fmt.Sprint("p", i), "{}")); err != nil {
			t.Fatal(err)
		}
	}
	with := backup()
	if _, err := client.Propose(within(t, check.Timeout), poolChange(last, "later", "{}")); err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		name  string
		b     Backup
		pools int
	}{{"without", without, 4}, {"with", with, 3}} {
		b, err := DecodeBackup(tc.b.Encode())
		if err != nil {
			t.Fatal(err)
		}
		if err := client.RestoreBackup(within(t, check.Timeout), b); err != nil {
			t.Fatal(err)
		}
		n, err := client.Config(within(t, check.Timeout), last, 0)
		if err != nil || !n.Compacted || n.Version <= last {
			t.Fatalf("after restoring a backup %s a configuration: got update %+v, error %v; want a compacted one above version %d", tc.name, n, err, last)
		}
		s, err := client.ConfigSnapshot(within(t, check.Timeout), last)
		if err != nil || s.Len() != tc.pools || s.Digest() != n.Digest {
			t.Fatalf("snapshot after restoring a backup %s a configuration: got error %v, want the pools of the backup and the digest of the update", tc.name, err)
		}
	}
	if _, err := client.Propose(within(t, check.Timeout), configlog.Change{}); !errors.Is(err, fsm.ErrMalformed) {
		t.Errorf("empty proposal: got error %v, want ErrMalformed", err)
	}
}
