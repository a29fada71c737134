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

// incarnationPrefix starts the name of an incarnation's file.
const incarnationPrefix = "life-"

// Incarnations are the processes of one member on its machine. Each has a file in the member's directory, which
// it keeps locked while it runs. The kernel drops the lock however the process ends, so that a process
// that can lock another's file knows that the other has ended. It is not safe for concurrent use.
type Incarnations struct {
	Current     uint64 // greater than all before
	DirectoryID uint64 // the number of the directory; see membership.Identity
	HasEarlier  bool   // the directory knew an earlier incarnation
	dir         string // "" for none: nothing is known of others
	file        *os.File
	// predecessorsEnded says that all earlier incarnations have ended. No earlier one can start.
	predecessorsEnded bool
}

// BeginIncarnation starts an incarnation whose number is greater than that of all files in a directory. The
// directory is made where it is missing. Without one ("") the number is the wall clock's in microseconds.
func BeginIncarnation(dir string) (*Incarnations, error) {
	i := &Incarnations{Current: uint64(max(1, time.Now().UnixMicro())), DirectoryID: rand.Uint64(), dir: dir}
	if dir == "" {
		return i, nil
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("making the directory of a member's incarnations: %w", err)
	}
	if err := i.loadDirectoryID(); err != nil {
		return nil, fmt.Errorf("reading the place in a member's directory: %w", err)
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

// createFile creates and locks the own file. It returns false where another process interfered, and the
// caller is to try again.
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
		return false, nil // another process took the number at this moment
	}
	if err != nil {
		return false, fmt.Errorf("creating the file of an incarnation: %w", err)
	}
	if err := syscall.Flock(int(i.file.Fd()), syscall.LOCK_EX); err != nil {
		i.Unlock()
		return false, fmt.Errorf("locking %s: %w", i.file.Name(), err)
	}
	if !i.fileInPlace() { // another process locked it first, and removed it as that of an ended one
		i.Unlock()
		i.file = nil
		return false, nil
	}
	return true, nil
}

// fileInPlace reports whether the own file still has its name.
func (i *Incarnations) fileInPlace() bool {
	own, ownErr := i.file.Stat()
	named, namedErr := os.Stat(i.file.Name())
	return ownErr == nil && namedErr == nil && os.SameFile(own, named)
}

func (i *Incarnations) path(incarnation uint64) string {
	return filepath.Join(i.dir, incarnationPrefix+strconv.FormatUint(incarnation, 10))
}

// others returns the incarnations that have a file, without the own one.
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
			continue // a name that no incarnation has, or the own one
		}
		incarnations = append(incarnations, incarnation)
	}
	return incarnations, nil
}

// EndedUpTo returns the greatest incarnation up to which all are known to have ended; 0 for none. It removes the
// files of those that have.
func (i *Incarnations) EndedUpTo() uint64 {
	if i.dir == "" {
		return 0
	}
	if i.predecessorsEnded {
		return i.Current - 1
	}
	others, err := i.others()
	if err != nil {
		return 0 // no proof; the next call reads again
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

// EarlierRuns reports whether an earlier incarnation of this member still runs.
func (i *Incarnations) EarlierRuns() bool { return i.HasEarlier && i.EndedUpTo() < i.Current-1 }

// hasEnded reports whether an incarnation is known to have ended, and removes its file.
func (i *Incarnations) hasEnded(incarnation uint64) bool {
	f, err := os.Open(i.path(incarnation))
	if err != nil {
		return errors.Is(err, os.ErrNotExist) // removed by a process that knew
	}
	defer f.Close()
	if syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) != nil {
		return false
	}
	return os.Remove(f.Name()) == nil
}

// Unlock drops the lock on the own file. The file stays, by which the next incarnation knows that there was one.
func (i *Incarnations) Unlock() {
	if i.file != nil {
		i.file.Close()
	}
}
