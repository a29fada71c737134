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

// proposal returns a proposal that sets the value of one pool.
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

// newTestLog returns a logger and the log that it writes to.
func newTestLog(t *testing.T) (*check.Log, *slog.Logger) {
	t.Helper()
	l := &check.Log{}
	return l, slog.New(slog.NewTextHandler(l, nil))
}

// reopen opens and closes the copy in a directory, and returns its state and the logged text.
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
	recordDigest := func() { digests[s.Version()] = s.Digest() }
	for i := range 12 {
		for _, c := range proposeChanges(t, s, 1) {
			d.append(c, true, func() configlog.Snapshot { return s.Snapshot().WithoutLog() })
			recordDigest()
		}
		if i == 6 {
			d.install(s.Snapshot().WithoutLog())
		}
	}
	d.close()
	return s, digests
}

// TestDamagedCopyRestoresAnEarlierState reopens an undamaged copy, which must have the stored state. It then truncates
// both files at many bytes and modifies many bytes. Each time the copy must have an earlier state of the configuration,
// and the damage must be logged only on the first start.
func TestDamagedCopyRestoresAnEarlierState(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	state, digests := fillCopy(t, dir)
	if got, logged := reopen(t, dir); got.Digest() != state.Digest() || logged != "" {
		t.Fatalf("the copy has version %d, want %d and nothing logged: %s", got.Version(), state.Version(), logged)
	}
	for _, name := range []string{snapshotFile, changesFile} {
		text := check.Must[[]byte](t)(os.ReadFile(filepath.Join(dir, name)))
		other := check.Must[[]byte](t)(os.ReadFile(filepath.Join(dir, map[string]string{snapshotFile: changesFile, changesFile: snapshotFile}[name])))
		checkDamage := func(what string, bad []byte, quiet bool) {
			t.Helper()
			dir := t.TempDir()
			if err := os.WriteFile(filepath.Join(dir, name), bad, 0o600); err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(filepath.Join(dir, map[string]string{snapshotFile: changesFile, changesFile: snapshotFile}[name]), other, 0o600); err != nil {
				t.Fatal(err)
			}
			got, logged := reopen(t, dir)
			if want, ok := digests[got.Version()]; !ok || want != got.Digest() {
				t.Fatalf("file %s: the copy has a state of version %d that was never stored", what, got.Version())
			}
			if got.Version() == state.Version() && !quiet {
				t.Fatalf("a copy with the file %s was opened without detecting the damage", what)
			}
			if !quiet && !strings.Contains(logged, "cannot be used") {
				t.Fatalf("the damage of a copy with the file %s was not logged: %q", what, logged)
			}
			if again, logged := reopen(t, dir); again.Digest() != got.Digest() || strings.Contains(logged, "level=ERROR") {
				t.Fatalf("file %s: the second start has version %d, want version %d of the first and no logged error: %s", what, again.Version(), got.Version(), logged)
			}
		}
		for at := range text {
			if at%61 == 0 || at < 16 {
				bad := slices.Clone(text)
				bad[at] ^= 0x5a
				checkDamage(fmt.Sprintf("%s with byte %d changed", name, at), bad, false)
			}
			if at%83 == 0 {
				// A file of changes that ends after a whole change is valid: the process ended after writing it.
				valid := name == changesFile && isBoundary(text, at)
				checkDamage(fmt.Sprintf("%s truncated at %d", name, at), text[:at], valid)
			}
		}
	}
}

// isBoundary reports whether a position in a file of changes is at the end of a change.
func isBoundary(text []byte, at int) bool {
	n := 0
	for n < at {
		size, head := binary.Uvarint(text[n:])
		n += head + int(size)
	}
	return n == at
}

// TestCopyIsCompacted stores many large changes of one record. The size of the copy must stay within its bound.
func TestCopyIsCompacted(t *testing.T) {
	dir := t.TempDir()
	_, log := newTestLog(t)
	d, state := openCopy(dir, log)
	large := strings.Repeat("x", configlog.MaxValue-100)
	for i := range 2 * compactBytes / configlog.MaxValue {
		c, err := state.Propose(proposal(state, "one", fmt.Sprintf(`{"n":%d,"x":"%s"}`, i, large)))
		if err != nil {
			t.Fatal(err)
		}
		d.append(c, false, func() configlog.Snapshot { return state.Snapshot().WithoutLog() })
	}
	d.close()
	size := int64(0)
	for _, e := range check.Must[[]os.DirEntry](t)(os.ReadDir(dir)) {
		size += check.Must[os.FileInfo](t)(e.Info()).Size()
	}
	if size > compactBytes+3*configlog.MaxValue {
		t.Errorf("the copy of one record uses %d bytes, want at most compactBytes and three values", size)
	}
	if got, logged := reopen(t, dir); got.Digest() != state.Digest() || logged != "" {
		t.Errorf("the copy has version %d, want %d and nothing logged: %s", got.Version(), state.Version(), logged)
	}
}

// TestUnwritableCopyIsLoggedOnce stores changes in a directory that cannot be written. The error must be logged once.
func TestUnwritableCopyIsLoggedOnce(t *testing.T) {
	dir := t.TempDir()
	if err := os.Mkdir(filepath.Join(dir, changesFile), 0o700); err != nil { // not writable even for root
		t.Fatal(err)
	}
	text, log := newTestLog(t)
	d, s := openCopy(dir, log)
	for _, c := range proposeChanges(t, s, 3) {
		d.append(c, true, func() configlog.Snapshot { return s.Snapshot().WithoutLog() })
	}
	if d.err == nil || strings.Count(text.String(), "not stored on disk") != 1 {
		t.Errorf("the copy has error %v, want an error that is logged once: %s", d.err, text.String())
	}
}

// TestSecondProcessWaitsForCopy opens one directory twice, as two processes of a node do in an upgrade. The later
// process must read the copy, and must not write until the earlier process has closed it.
func TestSecondProcessWaitsForCopy(t *testing.T) {
	dir := t.TempDir()
	_, log := newTestLog(t)
	earlier, _ := openCopy(dir, log)
	state := configlog.New()
	withoutLog := func() configlog.Snapshot { return state.Snapshot().WithoutLog() }
	for _, c := range proposeChanges(t, state, 3) {
		earlier.append(c, true, withoutLog)
	}
	text, log := newTestLog(t)
	later, loaded := openCopy(dir, log)
	defer later.close()
	if loaded.Digest() != state.Digest() || !strings.Contains(text.String(), errLocked.Error()) {
		t.Fatalf("the later process has version %d, want %d; it logged %q, want errLocked", loaded.Version(), state.Version(), text)
	}
	later.install(withoutLog()) // would remove all changes if it did not fail
	for _, c := range proposeChanges(t, state, 2) {
		earlier.append(c, true, withoutLog)
	}
	earlier.close()
	if got, logged := reopen(t, dir); got.Digest() != state.Digest() || logged != "" {
		t.Errorf("the copy has version %d, want %d and nothing logged: %q", got.Version(), state.Version(), logged)
	}
	if later.install(withoutLog()); later.err != nil {
		t.Errorf("storing the copy after the earlier process has closed it: got error %v, want none", later.err)
	}
}
