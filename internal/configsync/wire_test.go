package configsync

import (
	"encoding/hex"
	"os"
	"path/filepath"
	"testing"

	"jasperpin/internal/configlog"
	"jasperpin/internal/emulator/check"
	"jasperpin/internal/golden"
)

// TestWireFormatsAreUnchanged compares a node's frames and status with golden files that an earlier version wrote.
func TestWireFormatsAreUnchanged(t *testing.T) {
	t.Parallel()
	golden.JSON[hello](t, "hello")
	golden.JSON[NodeReport](t, "told")
	golden.JSON[Status](t, "status")
	golden.Bytes(t, "hello.frame", check.Must[[]byte](t)(encodeNodeFrame(kindHello, hello{Protocol: protocolVersion, Name: "node-1", Zone: "zone-1"})))
	golden.Bytes(t, "told.frame", check.Must[[]byte](t)(encodeNodeFrame(kindReport, NodeReport{Version: 7, FailedChanges: 2, LastFailure: "why"})))
}

// TestCopyOfEarlierVersion reads a copy that an earlier version stored: a snapshot and the changes after it. Storing the
// same changes again must write the same bytes.
func TestCopyOfEarlierVersion(t *testing.T) {
	t.Parallel()
	dir := filepath.Join(t.TempDir(), "copy")
	write := func(dir string) {
		_, log := newTestLog(t)
		d, _ := openCopy(dir, log)
		s := configlog.New()
		for i := range 4 {
			c := check.Must[configlog.Change](t)(s.Propose(configlog.Change{BaseVersion: s.Version(), Author: "author", Note: "note", UnixMillis: int64(1764720000000 + i), Records: []configlog.Record{
				{Key: configlog.PoolKey("pool-1"), Value: []byte{'{', '}', byte('0' + i)}},
				{Key: configlog.ServiceKey("service-" + string(rune('a'+i))), Value: []byte(`{}`)},
			}}))
			d.append(c, true, func() configlog.Snapshot { return s.Snapshot().WithoutLog() })
			if i == 1 {
				d.install(s.Snapshot().WithoutLog())
			}
		}
		d.close()
	}
	if golden.Updating() {
		write(dir)
		golden.Save(t, "copy", dir)
		golden.Bytes(t, "copy.digest", []byte(hex.EncodeToString(digestOf(t, dir))))
	} else {
		golden.Copy(t, "copy", dir)
	}
	golden.Bytes(t, "copy.digest", []byte(hex.EncodeToString(digestOf(t, dir))))
	fresh := filepath.Join(t.TempDir(), "fresh")
	write(fresh)
	for _, name := range []string{snapshotFile, changesFile} {
		golden.Bytes(t, filepath.Join("copy", name), check.Must[[]byte](t)(os.ReadFile(filepath.Join(fresh, name))))
	}
}

func digestOf(t *testing.T, dir string) []byte {
	t.Helper()
	s, logged := reopen(t, dir)
	if logged != "" || s.Version() != 4 {
		t.Errorf("the copy has version %d, want 4 without logged errors: %s", s.Version(), logged)
	}
	d := s.Digest()
	return d[:]
}
