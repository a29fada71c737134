package consensus

import (
	"os"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/hashicorp/raft"

	"jasperpin/internal/emulator/check"
)

// fullDisk is a store of terms and votes whose writes fail while the disk is full.
type fullDisk struct {
	raft.StableStore
	full   *atomic.Bool
	failed *atomic.Int64
}

func (d fullDisk) fails() error {
	if d.full.Load() {
		d.failed.Add(1)
		return &os.PathError{Op: "write", Path: "log.db", Err: syscall.ENOSPC}
	}
	return nil
}

func (d fullDisk) Set(key, value []byte) error {
	if err := d.fails(); err != nil {
		return err
	}
	return d.StableStore.Set(key, value)
}

func (d fullDisk) SetUint64(key []byte, value uint64) error {
	if err := d.fails(); err != nil {
		return err
	}
	return d.StableStore.SetUint64(key, value)
}

// TestVoterOutlivesAFullDisk has the disk take nothing as a voter wants to write whom it votes for:
// its process goes on, the voter says nothing meanwhile, and votes once the disk takes it.
func TestVoterOutlivesAFullDisk(t *testing.T) {
	g := newGroup(t, "a")
	g.end("a")
	var full atomic.Bool
	var failed atomic.Int64
	full.Store(true)
	g.stable = func(s raft.StableStore) raft.StableStore { return fullDisk{s, &full, &failed} }
	started := make(chan *Voter, 1)
	go func() { started <- g.start("a") }()
	check.Eventually(t, "a vote cannot be written", func() bool { return failed.Load() > 2 })
	select {
	case <-started:
		t.Error("it goes by a term that is on no disk")
	default:
	}
	full.Store(false)
	v := <-started
	check.Eventually(t, "it leads", func() bool { return v.Leader() != "" })
	full.Store(true) // and ends with the disk full
	g.end("a")
}
