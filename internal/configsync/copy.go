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
	changesFile  = "configuration.changes"  // the changes after the snapshot, each appended before it is applied
	damagedFile  = "configuration.damaged"  // a damaged snapshot, preserved for operators to inspect
	lockFile     = "configuration.lock"     // locked by the process that writes the copy
)

const (
	// compactBytes is the size of the changes, in bytes, at which a new snapshot replaces them. It limits the disk
	// space of the copy and the bytes that a start reads.
	compactBytes = 4 << 20
	// copyRetryInterval is the time after a failure until the directory is used again.
	copyRetryInterval = time.Minute
	// lockRetryInterval is that time if another process has locked the directory: the predecessor in an upgrade ends soon.
	lockRetryInterval = time.Second
)

// errLocked is returned if another process writes the copy, such as the predecessor in an upgrade.
var errLocked = errors.New("another process has locked the copy")

// diskCopy stores a configuration in a directory: a snapshot, and the changes after it. It is not safe for concurrent
// use. Its owner continues after errors of the disk: diskCopy logs the first error, stops storing the copy, and
// stores a new snapshot once retry, which the owner calls at intervals, succeeds.
type diskCopy struct {
	dir          string
	log          *slog.Logger
	lock         *os.File // the lock file; nil while another process holds the lock
	changes      *os.File // the file of changes; nil while the copy is not stored
	changesBytes int64
	err          error // why the copy is not stored; nil if it is stored
	failedAt     time.Time
}

// openCopy opens the copy in a directory and returns it with its state. The state is empty if there is no copy. Parts
// that are truncated or damaged are logged and are not part of the state.
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
		return d, s // the changes cannot be verified without the snapshot
	}
	d.loadChanges(s)
	return d, s
}

// removeTemporary removes temporary snapshot files of processes that ended while writing them.
func (d *diskCopy) removeTemporary() {
	paths, _ := filepath.Glob(filepath.Join(d.dir, snapshotFile+".*")) // the pattern is valid
	for _, path := range paths {
		_ = os.Remove(path) // a remaining file only uses disk space, and the next start retries
	}
}

// loadSnapshot reads the snapshot. It renames a damaged one, so that changes from version 1 on can be stored.
func (d *diskCopy) loadSnapshot() (*configlog.State, error) {
	path := filepath.Join(d.dir, snapshotFile)
	s, err := readSnapshot(path)
	switch {
	case errors.Is(err, os.ErrNotExist):
		return configlog.New(), nil
	case err != nil:
		d.log.Error("stored configuration snapshot cannot be used", "dir", d.dir, "err", err)
		d.handleDamage(err, func() error { return os.Rename(path, filepath.Join(d.dir, damagedFile)) })
		return configlog.New(), err
	}
	return s, nil
}

// loadChanges applies the stored changes to the snapshot's state, and opens the file to append after the valid ones.
func (d *diskCopy) loadChanges(s *configlog.State) {
	good, err := readChanges(filepath.Join(d.dir, changesFile), s)
	if err != nil {
		d.log.Error("stored configuration changes cannot be used", "dir", d.dir, "version", s.Version(), "err", err)
		d.handleDamage(err, func() error { return nil }) // openChanges truncates them
	}
	if d.err != nil {
		return
	}
	if err := d.openChanges(good); err != nil {
		d.fail(err)
	}
}

// handleDamage calls repair for a damaged file. If instead the disk failed to read the file, the file stays as it is,
// and the copy is not stored until a retry.
func (d *diskCopy) handleDamage(err error, repair func() error) {
	if d.err != nil {
		return // this process does not write the copy
	}
	if !isDiskError(err) {
		err = repair()
	}
	if err != nil {
		d.fail(err)
	}
}

// isDiskError reports whether an error is an error of the operating system, rather than of the file's content.
func isDiskError(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno)
}

// acquireLock locks the directory for this process, unless it is already locked by this process. It returns errLocked if
// another process holds the lock.
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

// openChanges truncates the file of changes after its first good bytes, and opens it to append there.
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

// fail records why the copy is not stored. It logs the first error.
func (d *diskCopy) fail(err error) {
	if d.err == nil {
		d.log.Error("configuration not stored on disk", "dir", d.dir, "err", err)
	}
	d.err, d.failedAt = err, time.Now()
	d.closeChanges()
}

func (d *diskCopy) closeChanges() {
	if d.changes != nil {
		_ = d.changes.Close() // all changes that must be durable are synced
		d.changes = nil
	}
}

// close closes the files and releases the lock, so that another process can write the copy.
func (d *diskCopy) close() {
	d.closeChanges()
	if d.lock != nil {
		_ = d.lock.Close() // nothing was written to the lock file
		d.lock = nil
	}
}

// retry stores a snapshot if the copy is not stored and the time since the last failure has passed. The snapshot must be
// of the owner's current state. A later version that another process has stored meanwhile stays, until the owner has that
// version too.
func (d *diskCopy) retry(snapshot func() configlog.Snapshot) {
	if d.err == nil || time.Since(d.failedAt) < d.retryInterval() {
		return
	}
	if err := d.acquireLock(); err != nil {
		d.fail(err)
		return
	}
	current := snapshot()
	if d.storedVersion() > current.Version() {
		d.failedAt = time.Now()
		return
	}
	d.install(current)
}

// retryInterval returns the time after the last failure until the directory is used again.
func (d *diskCopy) retryInterval() time.Duration {
	if errors.Is(d.err, errLocked) {
		return lockRetryInterval
	}
	return copyRetryInterval
}

// storedVersion returns the version of the files in the directory, as far as they can be read.
func (d *diskCopy) storedVersion() uint64 {
	s, err := readSnapshot(filepath.Join(d.dir, snapshotFile))
	if err != nil {
		s = configlog.New() // there is no snapshot, or it is damaged
	}
	_, _ = readChanges(filepath.Join(d.dir, changesFile), s) // it applies those that can be read
	return s.Version()
}

// append stores a change, unless the copy is not stored; see retry. If sync is set, the change is durable when append
// returns. If the changes exceed compactBytes, it calls snapshot and stores the returned snapshot instead. The snapshot
// must be of the state after the change.
func (d *diskCopy) append(c configlog.Change, sync bool, snapshot func() configlog.Snapshot) {
	if d.changes == nil {
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

// install replaces the stored snapshot and changes with a new snapshot.
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
