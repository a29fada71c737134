package configsync

import (
	"errors"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"jasperpin/internal/configlog"
)

// Files of a copy.
const (
	snapshotFile = "configuration.snapshot" // a whole state
	changesFile  = "configuration.changes"  // the changes since, each appended before it is in force
	damagedFile  = "configuration.damaged"  // a snapshot that could not be read, for somebody to look at
	lockFile     = "configuration.lock"     // locked by the process that writes
)

const (
	// compactBytes is the size of the changes at which a new snapshot replaces them: it bounds the disk
	// that the copy takes, and what a start reads.
	compactBytes = 4 << 20
	// copyRetryInterval is how long a directory that failed is left alone before it is tried again.
	copyRetryInterval = time.Minute
)

// errLocked says that another process writes the copy, such as the one before in an upgrade.
var errLocked = errors.New("another process keeps it")

// diskCopy stores a configuration in a directory: a snapshot, and the changes since. It is not safe for
// concurrent use. Errors of the disk do not stop its owner: the copy is not stored then, which is logged
// once, and tried again from a new snapshot after copyRetryInterval.
type diskCopy struct {
	dir          string
	log          *slog.Logger
	lock         *os.File // nil while another process holds the lock
	changes      *os.File // nil while the copy is not stored
	changesBytes int64
	err          error // why the copy is not stored; nil where it is
	failedAt     time.Time
}

// openCopy returns a directory's copy, and the state that it holds: an empty one where there is none. What is
// truncated or damaged is logged, and is not part of the state.
func openCopy(dir string, log *slog.Logger) (*diskCopy, *configlog.State) {
	d := &diskCopy{dir: dir, log: log}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		d.fail(err)
		return d, configlog.New()
	}
	if err := d.acquireLock(); err != nil {
		d.fail(err)
	} else {
		d.removeTemporary()
	}
	s, err := d.loadSnapshot()
	if isDiskError(err) {
		return d, s // the changes cannot be checked without it
	}
	d.loadChanges(s)
	return d, s
}

// removeTemporary removes the snapshots that processes have left which died as they wrote them.
func (d *diskCopy) removeTemporary() {
	paths, _ := filepath.Glob(filepath.Join(d.dir, snapshotFile+".*")) // the pattern is valid
	for _, path := range paths {
		_ = os.Remove(path) // it costs space alone, and the next start tries again
	}
}

// loadSnapshot reads the snapshot. A damaged one is renamed, so that changes can be stored from version 1 on.
func (d *diskCopy) loadSnapshot() (*configlog.State, error) {
	path := filepath.Join(d.dir, snapshotFile)
	s, err := readSnapshot(path)
	switch {
	case errors.Is(err, os.ErrNotExist):
		return configlog.New(), nil
	case err != nil:
		d.log.Error("the copy of the configuration cannot be used", "dir", d.dir, "err", err)
		d.handleDamage(err, func() error { return os.Rename(path, filepath.Join(d.dir, damagedFile)) })
		return configlog.New(), err
	}
	return s, nil
}

// loadChanges applies the stored changes to the snapshot's state, and opens the file for more after those that
// are good.
func (d *diskCopy) loadChanges(s *configlog.State) {
	good, err := readChanges(filepath.Join(d.dir, changesFile), s)
	if err != nil {
		d.log.Error("changes after the copy of the configuration cannot be used", "dir", d.dir, "version", s.Version(), "err", err)
		d.handleDamage(err, func() error { return nil }) // openChanges truncates them
	}
	if d.err != nil {
		return
	}
	if err := d.openChanges(good); err != nil {
		d.fail(err)
	}
}

// handleDamage repairs a file that is damaged. One that the disk failed to read stays as it is, and the copy is
// not stored for now.
func (d *diskCopy) handleDamage(err error, repair func() error) {
	if d.err != nil {
		return // this process does not write
	}
	if !isDiskError(err) {
		err = repair()
	}
	if err != nil {
		d.fail(err)
	}
}

// isDiskError reports whether an error is of the disk, and says nothing about the file's content.
func isDiskError(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno)
}

// acquireLock locks the directory for this process, unless it has done so.
func (d *diskCopy) acquireLock() error {
	if d.lock != nil {
		return nil
	}
	file, err := os.OpenFile(filepath.Join(d.dir, lockFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		file.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return errLocked
		}
		return err
	}
	d.lock = file
	return nil
}

// openChanges opens the file of changes for more after its first bytes, and truncates it there.
func (d *diskCopy) openChanges(good int64) error {
	file, err := os.OpenFile(filepath.Join(d.dir, changesFile), os.O_CREATE|os.O_WRONLY, 0o600)
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
	d.changes, d.changesBytes = file, good
	return nil
}

// fail notes why the copy is not stored, and logs it once.
func (d *diskCopy) fail(err error) {
	if d.err == nil {
		d.log.Error("configuration not stored on disk", "dir", d.dir, "err", err)
	}
	d.err, d.failedAt = err, time.Now()
	d.closeChanges()
}

func (d *diskCopy) closeChanges() {
	if d.changes != nil {
		_ = d.changes.Close() // what had to be durable was synced
		d.changes = nil
	}
}

// close lets another process use the directory.
func (d *diskCopy) close() {
	d.closeChanges()
	if d.lock != nil {
		_ = d.lock.Close() // nothing was written to it
		d.lock = nil
	}
}

// append stores a change, durably where sync is set. It calls for a snapshot of the state after the change where
// it has to store that instead: when the changes have grown large, or to try again after a failure.
func (d *diskCopy) append(c configlog.Change, sync bool, snapshot func() configlog.Snapshot) {
	if d.changes == nil {
		if time.Since(d.failedAt) > copyRetryInterval {
			d.install(snapshot())
		}
		return
	}
	if d.changesBytes > compactBytes {
		d.install(snapshot())
		return
	}
	b := configlog.AppendEntry(nil, c)
	_, err := d.changes.Write(b)
	if err == nil && sync {
		err = d.changes.Sync()
	}
	if err != nil {
		d.fail(err)
		return
	}
	d.changesBytes += int64(len(b))
}

// install replaces all that is stored by a snapshot.
func (d *diskCopy) install(s configlog.Snapshot) {
	err := d.acquireLock()
	if err == nil {
		err = writeSnapshot(d.dir, s)
	}
	if err == nil {
		d.closeChanges()
		err = d.openChanges(0)
	}
	if err != nil {
		d.fail(err)
		return
	}
	if d.err != nil {
		d.log.Info("configuration stored on disk again", "dir", d.dir)
		d.err = nil
	}
}
