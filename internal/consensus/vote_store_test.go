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
	full     *atomic.Bool
	failures *atomic.Int64
}

func (d fullDisk) writeError() error {
	if d.full.Load() {
		d.failures.Add(1)
		return &os.PathError{Op: "write", Path: "loc.db", Err: syscall.ENOSPC}
	}
	return nil
}

func (d fullDisk) Set(key, value []byte) error {
	if err := d.writeError(); err != nil {
		return err
	}
	return d.StableStore.Set(key, value)
}

func (d fullDisk) SetUint64(key []byte, value uint64) error {
	if err := d.writeError(); err != nil {
		return err
	}
	return d.StableStore.SetUint64(key, value)
}

// TestVoterBlocksOnFullDisk starts a voter whose disk is full when it writes its term and vote. The process must not
// terminate: the voter must block, must not act on a term or vote that is not on disk, and must be elected once there
// is space again. In the end the voter must close while the disk is full.
func TestVoterBlocksOnFullDisk(t *testing.T) {
	cluster := newCluster(t, "a")
	cluster.end("a")
	var full atomic.Bool
	var failures atomic.Int64
	full.Store(true)
	cluster.wrapStable = func(s raft.StableStore) raft.StableStore { return fullDisk{s, &full, &failures} }
	started := make(chan *Voter, 1)
	go func() { started <- cluster.start("a") }()
	check.Eventually(t, "writes of the term fail", func() bool { return failures.Load() > 2 })
	select {
	case <-started:
		t.Error("the voter started with a term that is not on disk")
	default:
	}
	full.Store(false)
	v := <-started
	check.Eventually(t, "the voter is elected", func() bool { return v.Leader() != "" })
	full.Store(true)
	cluster.end("a")
}
