package configsync

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"jasperpin/internal/configlog"
	"jasperpin/internal/lengthprefix"
)

const (
	// A copy is a snapshot, and the changes behind it, each appended before it is in force.
	snapshotFile = "configuration.snapshot"
	changesFile  = "configuration.changes"
	damagedFile  = "configuration.damaged"
	lockFile     = "configuration.lock"
	// copyHead is the snapshot's first line.
	copyHead = "jasperpin configuration 1\n"
	// compactAfter is how many bytes of changes there are before a new snapshot takes their place.
	compactAfter = 4 << 20
	// keepAgain is how long a folder that failed is left before it is tried again.
	keepAgain = time.Minute
)

var (
	errCopy = errors.New("the copy is damaged") // or cut
	// errHeld is so while a new version of the program runs beside the one before.
	errHeld = errors.New("another process keeps it")
)

// folder keeps a copy on the disk. One goroutine uses it.
type folder struct {
	dir     string
	log     *slog.Logger
	lock    *os.File // held by the one process that writes; nil while another does
	changes *os.File // nil where the folder failed
	size    int64    // of the changes
	failed  error    // why the copy is not kept
	tried   time.Time
}

// openFolder gives the state that a folder's copy holds, or one without records. What is cut or damaged
// is told in the log, and is not in the state. A folder that cannot be written is told, and tried again.
func openFolder(dir string, log *slog.Logger) (*folder, *configlog.State) {
	f := &folder{dir: dir, log: log}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		f.fail(err)
		return f, configlog.New()
	}
	if err := f.hold(); err != nil {
		f.fail(err)
	}
	if f.failed == nil {
		left, _ := filepath.Glob(filepath.Join(dir, snapshotFile+".*")) // by one that died while it wrote
		for _, path := range left {
			_ = os.Remove(path)
		}
	}
	s, err := readSnapshot(filepath.Join(dir, snapshotFile))
	if errors.Is(err, os.ErrNotExist) {
		s, err = configlog.New(), nil
	}
	if err != nil {
		log.Error("the copy of the configuration cannot be used", "folder", dir, "err", err)
		s = configlog.New()
		f.spoilt(err, func() error {
			// Put aside, so that changes from the first on can be kept, and somebody may look at it.
			return os.Rename(filepath.Join(dir, snapshotFile), filepath.Join(dir, damagedFile))
		})
		if unread(err) {
			return f, s // nor is anything known of what stands behind it
		}
	}
	good, err := readChanges(filepath.Join(dir, changesFile), s)
	if err != nil {
		log.Error("changes behind the copy of the configuration cannot be used", "folder", dir, "whole_to_version", s.Version(), "err", err)
		f.spoilt(err, func() error { return nil }) // what is not good is cut
	}
	if f.failed == nil {
		if err := f.open(good); err != nil {
			f.fail(err)
		}
	}
	return f, s
}

// spoilt does what is to be done with a file that is damaged. One that the disk did not give for a
// moment stays as it is, and the copy is not kept until it is tried again.
func (f *folder) spoilt(err error, mend func() error) {
	switch {
	case f.failed != nil:
	case unread(err):
		f.fail(err)
	default:
		if err := mend(); err != nil {
			f.fail(err)
		}
	}
}

// unread says whether an error speaks against the disk, and not against what is on it.
func unread(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno)
}

// hold takes the folder for this process, until it ends or closes it.
func (f *folder) hold() error {
	if f.lock != nil {
		return nil
	}
	file, err := os.OpenFile(filepath.Join(f.dir, lockFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		file.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return errHeld
		}
		return err
	}
	f.lock = file
	return nil
}

// openRead opens a file to be read. Tests have it fail.
var openRead = func(path string) (io.ReadCloser, error) { return os.Open(path) }

// readSnapshot reads a snapshot whole: its digest comes out.
func readSnapshot(path string) (*configlog.State, error) {
	file, err := openRead(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	r := bufio.NewReaderSize(file, configlog.ChunkBytes)
	head := make([]byte, len(copyHead))
	if _, err := io.ReadFull(r, head); err != nil {
		return nil, fmt.Errorf("%w: %s: %w", errCopy, path, err)
	}
	if string(head) != copyHead {
		return nil, fmt.Errorf("%w: %s does not begin as one", errCopy, path)
	}
	build := configlog.NewSnapshotBuilder()
	var buf []byte
	for {
		if buf, err = read(r, buf, configlog.MaxBareChunk); err != nil {
			return nil, fmt.Errorf("%w: %s: %w", errCopy, path, err)
		}
		p, err := configlog.DecodeChunk(buf)
		if err != nil {
			return nil, fmt.Errorf("%w: %s: %w", errCopy, path, err)
		}
		s, err := build.Add(p)
		if err != nil {
			return nil, fmt.Errorf("%w: %s: %w", errCopy, path, err)
		}
		if s == nil {
			continue
		}
		if _, err := r.ReadByte(); err != io.EOF {
			return nil, fmt.Errorf("%w: %s goes on behind its end", errCopy, path)
		}
		return s, nil
	}
}

// readChanges brings a state on by what was kept behind it, and says how many bytes of that are good.
func readChanges(path string, s *configlog.State) (good int64, err error) {
	file, err := openRead(path)
	if errors.Is(err, os.ErrNotExist) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	defer file.Close()
	text, err := io.ReadAll(io.LimitReader(file, compactAfter+2*configlog.MaxEncoded))
	if err != nil {
		return 0, err
	}
	n, err := configlog.Replay(s, text)
	if err != nil {
		return int64(n), fmt.Errorf("%w: %s at byte %d: %w", errCopy, path, n, err)
	}
	return int64(n), nil
}

// open has the file of changes take more behind what is good of it.
func (f *folder) open(good int64) error {
	file, err := os.OpenFile(filepath.Join(f.dir, changesFile), os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	err = file.Truncate(good)
	if err == nil {
		_, err = file.Seek(good, io.SeekStart)
	}
	if err != nil {
		file.Close()
		return err
	}
	f.changes, f.size = file, good
	return nil
}

// fail notes that the copy is not kept, and tells it once.
func (f *folder) fail(err error) {
	if f.failed == nil {
		f.log.Error("the configuration is not kept on the disk", "folder", f.dir, "err", err)
	}
	f.failed, f.tried = err, time.Now()
	f.shut()
}

// shut takes no more changes.
func (f *folder) shut() {
	if f.changes != nil {
		_ = f.changes.Close()
		f.changes = nil
	}
}

// close leaves the folder to others.
func (f *folder) close() {
	f.shut()
	if f.lock != nil {
		_ = f.lock.Close()
		f.lock = nil
	}
}

// add keeps a change, durably where sync says so. The state that it made is at hand for where a
// snapshot is due.
func (f *folder) add(c configlog.Change, sync bool, state func() configlog.Snapshot) {
	if f.changes == nil || f.size > compactAfter {
		if f.changes != nil || time.Since(f.tried) > keepAgain {
			f.install(state())
		}
		return
	}
	b := configlog.AppendEntry(nil, c)
	_, err := f.changes.Write(b)
	if err == nil && sync {
		err = f.changes.Sync()
	}
	if err != nil {
		f.fail(err)
		return
	}
	f.size += int64(len(b))
}

// install puts a snapshot in the place of all that was kept.
func (f *folder) install(s configlog.Snapshot) {
	err := f.hold()
	if err == nil {
		err = f.write(s)
	}
	if err == nil {
		f.shut()
		err = f.open(0)
	}
	if err != nil {
		f.fail(err)
		return
	}
	if f.failed != nil {
		f.log.Info("the configuration is kept on the disk again", "folder", f.dir)
		f.failed = nil
	}
}

// write puts a snapshot in place whole, or leaves what was there.
func (f *folder) write(s configlog.Snapshot) error {
	file, err := os.CreateTemp(f.dir, snapshotFile+".*")
	if err != nil {
		return err
	}
	defer os.Remove(file.Name()) // gone already where it went well
	w := bufio.NewWriterSize(file, configlog.ChunkBytes)
	_, err = w.WriteString(copyHead)
	for p := (configlog.SnapshotChunk{}); !p.Last && err == nil; {
		p = s.Chunk(p)
		_, err = w.Write(lengthprefix.End(configlog.AppendChunk(lengthprefix.New(nil), p)))
	}
	if err == nil {
		err = w.Flush()
	}
	err = errors.Join(err, file.Sync(), file.Close())
	if err == nil {
		err = os.Rename(file.Name(), filepath.Join(f.dir, snapshotFile))
	}
	if err != nil {
		return err
	}
	d, err := os.Open(f.dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}
