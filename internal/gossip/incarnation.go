package gossip

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// incarnationPrefix is the prefix of the name of an incarnation's file.
const incarnationPrefix = "life-"

// Incarnations tracks the processes of one member on its machine, one of which is the current process. Each process has
// a file in the member's directory, which is locked while the process runs. The kernel releases the lock when the
// process ends for any reason, so a process that can lock another's file has proof that the other has ended. Incarnations
// is not safe for concurrent use.
type Incarnations struct {
	Current     uint64 // this process's incarnation, greater than all earlier ones
	DirectoryID uint64 // the number of the directory; see membership.Identity
	HasEarlier  bool   // whether the directory had the file of an earlier incarnation
	dir         string // the member's directory; "" for none, in which case other incarnations are unknown
	file        *os.File
	// predecessorsEnded is whether all earlier incarnations are known to have ended. It never becomes false again,
	// as no earlier incarnation can start.
	predecessorsEnded bool
}

// BeginIncarnation starts an incarnation. Its number is the wall clock's time in microseconds, or higher so that it is
// greater than the numbers of all files in the directory dir. BeginIncarnation creates the directory if it is missing.
// If dir is empty, only the wall clock determines the number.
func BeginIncarnation(dir string) (*Incarnations, error) {
	i := &Incarnations{Current: uint64(max(1, time.Now().UnixMicro())), DirectoryID: rand.Uint64(), dir: dir}
	if dir == "" {
		return i, nil
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("creating the directory of a member's incarnations: %w", err)
	}
	if err := i.loadDirectoryID(); err != nil {
		return nil, fmt.Errorf("reading the ID of a member's directory: %w", err)
	}
	for {
		created, err := i.createFile()
		if err != nil {
			return nil, err
		}
		if created {
			return i, nil
		}
	}
}

// createFile creates and locks the file of this process. It returns false if another process interfered; the caller
// must then call createFile again.
func (i *Incarnations) createFile() (created bool, err error) {
	others, err := i.others()
	if err != nil {
		return false, err
	}
	for _, incarnation := range others {
		i.Current, i.HasEarlier = max(i.Current, incarnation+1), true
	}
	i.file, err = os.OpenFile(i.path(i.Current), os.O_CREATE|os.O_EXCL|os.O_RDWR, 0o600)
	if errors.Is(err, os.ErrExist) {
		return false, nil // another process has just created a file with this number
	}
	if err != nil {
		return false, fmt.Errorf("creating the file of an incarnation: %w", err)
	}
	if err := syscall.Flock(int(i.file.Fd()), syscall.LOCK_EX); err != nil {
		i.Unlock()
		return false, fmt.Errorf("locking %s: %w", i.file.Name(), err)
	}
	if !i.fileInPlace() { // another process locked the file first, and removed it as that of an ended process
		i.Unlock()
		i.file = nil
		return false, nil
	}
	return true, nil
}

// fileInPlace reports whether the file of this process still exists under its name.
func (i *Incarnations) fileInPlace() bool {
	own, ownErr := i.file.Stat()
	named, namedErr := os.Stat(i.file.Name())
	return ownErr == nil && namedErr == nil && os.SameFile(own, named)
}

func (i *Incarnations) path(incarnation uint64) string {
	return filepath.Join(i.dir, incarnationPrefix+strconv.FormatUint(incarnation, 10))
}

// others returns the incarnations that have a file, except the current one.
func (i *Incarnations) others() (incarnations []uint64, err error) {
	entries, err := os.ReadDir(i.dir)
	if err != nil {
		return nil, fmt.Errorf("reading the directory of a member's incarnations: %w", err)
	}
	for _, entry := range entries {
		number, found := strings.CutPrefix(entry.Name(), incarnationPrefix)
		if !found {
			continue
		}
		incarnation, err := strconv.ParseUint(number, 10, 64)
		if err != nil || i.file != nil && incarnation == i.Current {
			continue // not the name of an incarnation's file, or the current incarnation
		}
		incarnations = append(incarnations, incarnation)
	}
	return incarnations, nil
}

// EndedUpTo returns the greatest incarnation up to which all are known to have ended; 0 for none. It removes the files
// of ended incarnations.
func (i *Incarnations) EndedUpTo() uint64 {
	if i.dir == "" {
		return 0
	}
	if i.predecessorsEnded {
		return i.Current - 1
	}
	others, err := i.others()
	if err != nil {
		return 0 // no proof; the next call reads the directory again
	}
	endedUpTo := i.Current - 1
	for _, incarnation := range others {
		if incarnation < i.Current && !i.hasEnded(incarnation) {
			endedUpTo = min(endedUpTo, incarnation-1)
		}
	}
	i.predecessorsEnded = endedUpTo == i.Current-1
	return endedUpTo
}

// EarlierRuns reports whether an earlier incarnation of this member may still be running.
func (i *Incarnations) EarlierRuns() bool { return i.HasEarlier && i.EndedUpTo() < i.Current-1 }

// hasEnded reports whether an incarnation is known to have ended, and removes its file.
func (i *Incarnations) hasEnded(incarnation uint64) bool {
	f, err := os.Open(i.path(incarnation))
	if err != nil {
		return errors.Is(err, os.ErrNotExist) // removed by another process that had proof of the end
	}
	defer f.Close()
	if syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) != nil {
		return false
	}
	return os.Remove(f.Name()) == nil
}

// Unlock releases the lock on the file of this process. The file stays, so that the next incarnation detects that
// there was an earlier one.
func (i *Incarnations) Unlock() {
	if i.file != nil {
		i.file.Close()
	}
}
