package consensus

import (
	"log/slog"
	"runtime"
	"time"

	"github.com/hashicorp/raft"
)

// The pause between two attempts to write a vote doubles from minVoteBackoff, which a short fault hardly
// delays, to maxVoteBackoff, after which a disk that was freed is noticed.
const (
	minVoteBackoff = 10 * time.Millisecond
	maxVoteBackoff = time.Second
)

// voteStore is the store of a voter's terms and votes. Raft panics where a write to it fails, which
// would end the process, and with it the node that serves in it. A full or failing disk is waited for
// instead: the writes block until they succeed.
//
// This is safe: raft acts on a term or vote only after the write returns. A voter that blocks here sends
// nothing, like one that is paused, and the others go on without it.
type voteStore struct {
	raft.StableStore
	log  *slog.Logger
	done <-chan struct{} // closed when the voter is closed
}

// Set implements raft.StableStore. It blocks until the disk takes the write, and returns nil.
func (s voteStore) Set(key, value []byte) error {
	s.retry(func() error { return s.StableStore.Set(key, value) })
	return nil
}

// SetUint64 implements raft.StableStore. It blocks until the disk takes the write, and returns nil.
func (s voteStore) SetUint64(key []byte, value uint64) error {
	s.retry(func() error { return s.StableStore.SetUint64(key, value) })
	return nil
}

// retry calls a write until it succeeds. Where the voter is closed first, raft's goroutine that called
// ends here: it must not act on what was not written, and an error would make it panic.
func (s voteStore) retry(write func() error) {
	failed := false
	for pause := minVoteBackoff; ; pause = min(2*pause, maxVoteBackoff) {
		err := write()
		if err == nil {
			if failed {
				s.log.Info("vote written, voter resumes")
			}
			return
		}
		if !failed { // logged once for all attempts of one write
			s.log.Error("vote not written, voter blocks until the disk takes it", "err", err)
			failed = true
		}
		select {
		case <-time.After(pause):
		case <-s.done:
			runtime.Goexit()
		}
	}
}
