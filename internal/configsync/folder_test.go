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

// proposal is one pool's.
func proposal(s *configlog.State, pool, value string) configlog.Change {
	return configlog.Change{Base: s.Version(), Author: "test", Records: []configlog.Record{{Key: configlog.PoolKey(pool), Value: []byte(value)}}}
}

// made has so many changes agreed on, and gives them.
func made(t *testing.T, s *configlog.State, n int) (all []configlog.Change) {
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

func logged(t *testing.T) (*check.Log, *slog.Logger) {
	t.Helper()
	l := &check.Log{}
	return l, slog.New(slog.NewTextHandler(l, nil))
}

// kept opens a folder's copy, and says what was told of it.
func kept(t *testing.T, dir string) (*configlog.State, string) {
	t.Helper()
	text, log := logged(t)
	f, s := openFolder(dir, log)
	f.close()
	return s, text.String()
}

// fill makes a copy of a snapshot and changes behind it, and gives the digest of each version.
func fill(t *testing.T, dir string) (*configlog.State, map[uint64]configlog.Digest) {
	t.Helper()
	_, log := logged(t)
	f, _ := openFolder(dir, log)
	s := configlog.New()
	digests := map[uint64]configlog.Digest{0: s.Digest()}
	note := func() { digests[s.Version()] = s.Digest() }
	for i := range 12 {
		for _, c := range made(t, s, 1) {
			f.add(c, true, func() configlog.Snapshot { return s.Snapshot().WithoutLog() })
			note()
		}
		if i == 6 {
			f.install(s.Snapshot().WithoutLog())
		}
	}
	f.close()
	return s, digests
}

// TestCopy has a copy give back the state, and one that is cut at any byte or has any byte changed
// give a state that once was, never another, and say what is wrong.
func TestCopy(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	s, digests := fill(t, dir)
	if got, said := kept(t, dir); got.Digest() != s.Digest() || said != "" {
		t.Fatalf("version %d of %d: %s", got.Version(), s.Version(), said)
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
			got, said := kept(t, dir)
			if was, ok := digests[got.Version()]; !ok || was != got.Digest() {
				t.Fatalf("%s: a state that never was, at version %d", what, got.Version())
			}
			if got.Version() == s.Version() && !quiet {
				t.Fatalf("%s is taken for whole", what)
			}
			if !quiet && !strings.Contains(said, "cannot be used") {
				t.Fatalf("%s is not told: %q", what, said)
			}
			if again, said := kept(t, dir); again.Digest() != got.Digest() || strings.Contains(said, "level=ERROR") {
				t.Fatalf("%s: opened again it is at version %d, after %d: %s", what, again.Version(), got.Version(), said)
			}
		}
		for at := range text {
			if at%61 == 0 || at < 16 {
				bad := slices.Clone(text)
				bad[at] ^= 0x5a
				try(fmt.Sprintf("%s with byte %d changed", name, at), bad, false)
			}
			if at%83 == 0 {
				// A file of changes that ends between two is whole: the process ended there.
				whole := name == changesFile && between(text, at)
				try(fmt.Sprintf("%s cut at %d", name, at), text[:at], whole)
			}
		}
	}
}

// between says whether a place is at the end of a change.
func between(text []byte, at int) bool {
	n := 0
	for n < at {
		size, head := binary.Uvarint(text[n:])
		n += head + int(size)
	}
	return n == at
}

// TestCopyCompacts has many changes make one snapshot, so that the copy does not grow with time.
func TestCopyCompacts(t *testing.T) {
	dir := t.TempDir()
	_, log := logged(t)
	f, s := openFolder(dir, log)
	large := strings.Repeat("x", configlog.MaxValue-100)
	for i := range 2 * compactAfter / configlog.MaxValue {
		c, err := s.Propose(proposal(s, "one", fmt.Sprintf(`{"n":%d,"x":"%s"}`, i, large)))
		if err != nil {
			t.Fatal(err)
		}
		f.add(c, false, func() configlog.Snapshot { return s.Snapshot().WithoutLog() })
	}
	f.close()
	size := int64(0)
	for _, e := range check.Must[[]os.DirEntry](t)(os.ReadDir(dir)) {
		size += check.Must[os.FileInfo](t)(e.Info()).Size()
	}
	if size > compactAfter+3*configlog.MaxValue {
		t.Errorf("the copy of one record takes %d bytes", size)
	}
	if got, said := kept(t, dir); got.Digest() != s.Digest() || said != "" {
		t.Errorf("version %d of %d: %s", got.Version(), s.Version(), said)
	}
}

// TestCopyNotWritable has a folder that takes nothing told once, and nothing else.
func TestCopyNotWritable(t *testing.T) {
	dir := t.TempDir()
	if err := os.Mkdir(filepath.Join(dir, changesFile), 0o700); err != nil { // also root cannot write it
		t.Fatal(err)
	}
	text, log := logged(t)
	f, s := openFolder(dir, log)
	for _, c := range made(t, s, 3) {
		f.add(c, true, func() configlog.Snapshot { return s.Snapshot().WithoutLog() })
	}
	if f.failed == nil || strings.Count(text.String(), "is not kept on the disk") != 1 {
		t.Errorf("%v: %s", f.failed, text.String())
	}
}

// TestFolderOfTwo has two processes of a node open one folder, as in an upgrade: the later one has what is
// kept there, and leaves it alone until the other has gone.
func TestFolderOfTwo(t *testing.T) {
	dir := t.TempDir()
	_, log := logged(t)
	was, _ := openFolder(dir, log)
	s := configlog.New()
	bare := func() configlog.Snapshot { return s.Snapshot().WithoutLog() }
	for _, c := range made(t, s, 3) {
		was.add(c, true, bare)
	}
	text, log := logged(t)
	next, held := openFolder(dir, log)
	defer next.close()
	if held.Digest() != s.Digest() || !strings.Contains(text.String(), errHeld.Error()) {
		t.Fatalf("the later one has version %d of %d, and says %q", held.Version(), s.Version(), text)
	}
	next.install(bare()) // which takes all changes away
	for _, c := range made(t, s, 2) {
		was.add(c, true, bare)
	}
	was.close()
	if got, told := kept(t, dir); got.Digest() != s.Digest() || told != "" {
		t.Errorf("kept at version %d of %d: %q", got.Version(), s.Version(), told)
	}
	if next.install(bare()); next.failed != nil {
		t.Errorf("once the other has gone: %v", next.failed)
	}
}
