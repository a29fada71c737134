package configsync

import (
	"encoding/binary"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"jasperpin/internal/configlog"
	"jasperpin/internal/emulator/check"
)

// proposal returns a change of one pool.
func proposal(s *configlog.State, pool, value string) configlog.Change {
	return configlog.Change{BaseVersion: s.Version(), Author: "test", Records: []configlog.Record{{Key: configlog.PoolKey(pool), Value: []byte(value)}}}
}

// proposeChanges commits n changes to a state, and returns them.
func proposeChanges(t *testing.T, s *configlog.State, n int) (all []configlog.Change) {
	t.Helper()
	for range n {
		v := s.Version()
		c, err := s.Propose(proposal(s, fmt.Sprint("pool", v%7), fmt.Sprintf(`{"at":%d}`, v)))
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, c)
	}
	return all
}

// newTestLog returns a log and what is written to it.
func newTestLog(t *testing.T) (*check.Log, *slog.Logger) {
	t.Helper()
	l := &check.Log{}
	return l, slog.New(slog.NewTextHandler(l, nil))
}

// reopen opens a directory's copy and closes it, and returns its state and what was logged.
func reopen(t *testing.T, dir string) (*configlog.State, string) {
	t.Helper()
	text, log := newTestLog(t)
	d, s := openCopy(dir, log)
	d.close()
	return s, text.String()
}

// fillCopy stores a snapshot and changes after it, and returns the state and the digest of each version.
func fillCopy(t *testing.T, dir string) (*configlog.State, map[uint64]configlog.Digest) {
	t.Helper()
	_, log := newTestLog(t)
	d, _ := openCopy(dir, log)
	s := configlog.New()
	digests := map[uint64]configlog.Digest{0: s.Digest()}
	note := func() { digests[s.Version()] = s.Digest() }
	for i := range 12 {
		for _, c := range proposeChanges(t, s, 1) {
			d.append(c, true, func() configlog.Snapshot { return s.Snapshot().WithoutLog() })
			note()
		}
		if i == 6 {
			d.install(s.Snapshot().WithoutLog())
		}
	}
	d.close()
	return s, digests
}

// TestDamagedCopyRestoresAnEarlierState reopens a copy, which has the state that was stored. Then it truncates both
// files at many bytes and changes many bytes: each time the copy has a state that was in force once, and the
// damage is logged once.
func TestDamagedCopyRestoresAnEarlierState(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	s, digests := fillCopy(t, dir)
	if got, logged := reopen(t, dir); got.Digest() != s.Digest() || logged != "" {
		t.Fatalf("version %d of %d: %s", got.Version(), s.Version(), logged)
	}
	for _, name := range []string{snapshotFile, changesFile} {
		text := check.Must[[]byte](t)(os.ReadFile(filepath.Join(dir, name)))
		other := check.Must[[]byte](t)(os.ReadFile(filepath.Join(dir, map[string]string{snapshotFile: changesFile, changesFile: snapshotFile}[name])))
		try := func(what string, bad []byte, quiet bool) {
			t.Helper()
			dir := t.TempDir()
			if err := os.WriteFile(filepath.Join(dir, name), bad, 0o600); err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(filepath.Join(dir, map[string]string{snapshotFile: changesFile, changesFile: snapshotFile}[name]), other, 0o600); err != nil {
				t.Fatal(err)
			}
			got, logged := reopen(t, dir)
			if was, ok := digests[got.Version()]; !ok || was != got.Digest() {
				t.Fatalf("%s: a state that never was in force, at version %d", what, got.Version())
			}
			if got.Version() == s.Version() && !quiet {
				t.Fatalf("%s is not noticed", what)
			}
			if !quiet && !strings.Contains(logged, "cannot be used") {
				t.Fatalf("%s is not logged: %q", what, logged)
			}
			if again, logged := reopen(t, dir); again.Digest() != got.Digest() || strings.Contains(logged, "level=ERROR") {
				t.Fatalf("%s: opened again it is at version %d, after %d: %s", what, again.Version(), got.Version(), logged)
			}
		}
		for at := range text {
			if at%61 == 0 || at < 16 {
				bad := slices.Clone(text)
				bad[at] ^= 0x5a
				try(fmt.Sprintf("%s with byte %d changed", name, at), bad, false)
			}
			if at%83 == 0 {
				// A file of changes that ends between two of them is valid: the process ended there.
				valid := name == changesFile && isBoundary(text, at)
				try(fmt.Sprintf("%s truncated at %d", name, at), text[:at], valid)
			}
		}
	}
}

// isBoundary reports whether a position is at the end of a change.
func isBoundary(text []byte, at int) bool {
	n := 0
	for n < at {
		size, head := binary.Uvarint(text[n:])
		n += head + int(size)
	}
	return n == at
}

// TestCopyIsCompacted stores many large changes of one record: the copy does not grow beyond its bound.
func TestCopyIsCompacted(t *testing.T) {
	dir := t.TempDir()
	_, log := newTestLog(t)
	d, s := openCopy(dir, log)
	large := strings.Repeat("x", configlog.MaxValue-100)
	for i := range 2 * compactBytes / configlog.MaxValue {
		c, err := s.Propose(proposal(s, "one", fmt.Sprintf(`{"n":%d,"x":"%s"}`, i, large)))
		if err != nil {
			t.Fatal(err)
		}
		d.append(c, false, func() configlog.Snapshot { return s.Snapshot().WithoutLog() })
	}
	d.close()
	size := int64(0)
	for _, e := range check.Must[[]os.DirEntry](t)(os.ReadDir(dir)) {
		size += check.Must[os.FileInfo](t)(e.Info()).Size()
	}
	if size > compactBytes+3*configlog.MaxValue {
		t.Errorf("the copy of one record takes %d bytes", size)
	}
	if got, logged := reopen(t, dir); got.Digest() != s.Digest() || logged != "" {
		t.Errorf("version %d of %d: %s", got.Version(), s.Version(), logged)
	}
}

// TestUnwritableCopyIsLoggedOnce stores changes in a directory that cannot be written: that is logged once.
func TestUnwritableCopyIsLoggedOnce(t *testing.T) {
	dir := t.TempDir()
	if err := os.Mkdir(filepath.Join(dir, changesFile), 0o700); err != nil { // also root cannot write it
		t.Fatal(err)
	}
	text, log := newTestLog(t)
	d, s := openCopy(dir, log)
	for _, c := range proposeChanges(t, s, 3) {
		d.append(c, true, func() configlog.Snapshot { return s.Snapshot().WithoutLog() })
	}
	if d.err == nil || strings.Count(text.String(), "not stored on disk") != 1 {
		t.Errorf("%v: %s", d.err, text.String())
	}
}

// TestSecondProcessWaitsForCopy has two processes of a node open one directory, as in an upgrade. The later one reads
// the copy, and writes nothing until the earlier one has closed it.
func TestSecondProcessWaitsForCopy(t *testing.T) {
	dir := t.TempDir()
	_, log := newTestLog(t)
	earlier, _ := openCopy(dir, log)
	s := configlog.New()
	withoutLog := func() configlog.Snapshot { return s.Snapshot().WithoutLog() }
	for _, c := range proposeChanges(t, s, 3) {
		earlier.append(c, true, withoutLog)
	}
	text, log := newTestLog(t)
	later, loaded := openCopy(dir, log)
	defer later.close()
	if loaded.Digest() != s.Digest() || !strings.Contains(text.String(), errLocked.Error()) {
		t.Fatalf("the later one has version %d of %d, and logs %q", loaded.Version(), s.Version(), text)
	}
	later.install(withoutLog()) // which would remove all changes
	for _, c := range proposeChanges(t, s, 2) {
		earlier.append(c, true, withoutLog)
	}
	earlier.close()
	if got, logged := reopen(t, dir); got.Digest() != s.Digest() || logged != "" {
		t.Errorf("stored at version %d of %d: %q", got.Version(), s.Version(), logged)
	}
	if later.install(withoutLog()); later.err != nil {
		t.Errorf("after the earlier one has closed it: %v", later.err)
	}
}
