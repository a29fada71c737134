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

// Files by which the processes of one member know of each other.
const (
	lifePrefix = "life-"
	placeName  = "place" // the number that tells this folder from others
)

// Incarnations are the lives of one member on its machine: a file each, locked for as long as its process
// runs. Whoever can lock another's knows that it has ended, however it ended.
type Incarnations struct {
	Own    uint64
	Place  uint64
	Again  bool // there was one before
	folder string
	file   *os.File
	last   bool // no earlier one runs, and none can begin
}

// BeginIncarnation begins a life, greater than all that have left a file in the folder. Without a folder
// it goes by the clock, and nothing is known of others.
func BeginIncarnation(folder string) (*Incarnations, error) {
	l := &Incarnations{Own: uint64(max(1, time.Now().UnixMicro())), Place: rand.Uint64(), folder: folder}
	if folder == "" {
		return l, nil
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, fmt.Errorf("the folder of a member's lives: %w", err)
	}
	if err := l.settle(); err != nil {
		return nil, fmt.Errorf("the folder of a member's lives: %w", err)
	}
	for {
		all, err := l.others()
		if err != nil {
			return nil, err
		}
		for _, life := range all {
			l.Own, l.Again = max(l.Own, life+1), true
		}
		l.file, err = os.OpenFile(l.path(l.Own), os.O_CREATE|os.O_EXCL|os.O_RDWR, 0o600)
		if errors.Is(err, os.ErrExist) {
			continue // another began at this moment
		}
		if err != nil {
			return nil, fmt.Errorf("the file of a member's life: %w", err)
		}
		if err := syscall.Flock(int(l.file.Fd()), syscall.LOCK_EX); err != nil {
			l.End()
			return nil, fmt.Errorf("locking %s: %w", l.file.Name(), err)
		}
		if l.there() {
			return l, nil
		}
		l.End() // another took it for one that has ended, before it was locked
		l.file = nil
	}
}

// writeWhole writes a file, and has it on the disk. Tests have it fail.
var writeWhole = func(path string, text []byte) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	return errors.Join(err, f.Sync(), f.Close())
}

// settle reads the folder's number, and writes the one that was drawn where there is none.
func (l *Incarnations) settle() error {
	path := filepath.Join(l.folder, placeName)
	err := l.readPlace(path)
	if errors.Is(err, os.ErrNotExist) {
		if err := l.drawPlace(path); err != nil {
			return err
		}
		err = l.readPlace(path)
	}
	if errors.Is(err, errEmptyPlace) {
		return l.fillPlace(path)
	}
	return err
}

// errEmptyPlace is of a file that was linked ahead of its bytes, by an earlier version, when the
// machine went down.
var errEmptyPlace = errors.New("the file of the folder's number is empty")

// readPlace reads the folder's number.
func (l *Incarnations) readPlace(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if len(text) == 0 {
		return errEmptyPlace
	}
	place, err := strconv.ParseUint(string(text), 10, 64)
	if err != nil {
		return fmt.Errorf("%s is damaged: remove it once no process of this member runs: %w", path, err)
	}
	l.Place = place
	return nil
}

// fillPlace writes a number into a file that has none. Whoever has its lock first writes.
func (l *Incarnations) fillPlace(path string) error {
	f, err := os.OpenFile(path, os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX); err != nil {
		return fmt.Errorf("locking %s: %w", path, err)
	}
	if err := l.readPlace(path); !errors.Is(err, errEmptyPlace) {
		return err
	}
	if _, err := f.WriteString(strconv.FormatUint(l.Place, 10)); err != nil {
		return errors.Join(err, f.Truncate(0))
	}
	return f.Sync()
}

// drawPlace writes the number that was drawn: whoever links it first wins.
func (l *Incarnations) drawPlace(path string) error {
	draft := path + strconv.FormatUint(l.Place, 36)
	if err := writeWhole(draft, []byte(strconv.FormatUint(l.Place, 10))); err != nil {
		return err
	}
	defer os.Remove(draft)
	if err := os.Link(draft, path); err != nil && !errors.Is(err, os.ErrExist) {
		return err
	}
	return nil
}

// there says whether the own file still goes by its name.
func (l *Incarnations) there() bool {
	is, err := l.file.Stat()
	named, gone := os.Stat(l.file.Name())
	return err == nil && gone == nil && os.SameFile(is, named)
}

func (l *Incarnations) path(life uint64) string {
	return filepath.Join(l.folder, lifePrefix+strconv.FormatUint(life, 10))
}

// others are the lives that have a file, but for the own one.
func (l *Incarnations) others() (all []uint64, err error) {
	entries, err := os.ReadDir(l.folder)
	if err != nil {
		return nil, fmt.Errorf("the folder of a member's lives: %w", err)
	}
	for _, e := range entries {
		if text, ok := strings.CutPrefix(e.Name(), lifePrefix); ok {
			if life, err := strconv.ParseUint(text, 10, 64); err == nil && (l.file == nil || life != l.Own) {
				all = append(all, life)
			}
		}
	}
	return all, nil
}

// Before is the greatest life up to which all before the own one are known to have ended; 0 for none.
// The files of those that have are removed.
func (l *Incarnations) Before() uint64 {
	if l.folder == "" {
		return 0
	}
	if l.last {
		return l.Own - 1
	}
	all, err := l.others()
	if err != nil {
		return 0
	}
	ended := l.Own - 1
	for _, life := range all {
		if life < l.Own && !l.ended(life) {
			ended = min(ended, life-1)
		}
	}
	l.last = ended == l.Own-1
	return ended
}

// Runs says whether an earlier life of this member runs, as far as its folder tells.
func (l *Incarnations) Runs() bool { return l.Again && l.Before() < l.Own-1 }

func (l *Incarnations) ended(life uint64) bool {
	f, err := os.Open(l.path(life))
	if err != nil {
		return errors.Is(err, os.ErrNotExist) // removed by one that knew
	}
	defer f.Close()
	if syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) != nil {
		return false
	}
	return os.Remove(f.Name()) == nil
}

// End gives the own file up. It is left to the next life, which so knows that there was one.
func (l *Incarnations) End() {
	if l.file != nil {
		l.file.Close()
	}
}
