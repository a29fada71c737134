package consensus

import (
	"log/slog"
	"runtime"
	"time"

	"github.com/hashicorp/raft"
)

// The pause between two attempts to write a vote doubles from minVoteBackoff, which adds little delay to a short
// fault, up to maxVoteBackoff, which bounds how long the voter stays blocked after the disk has recovered.
const (
	minVoteBackoff = 10 * time.Millisecond
	maxVoteBackoff = time.Second
)

// voteStore is the store of a voter's terms and votes. Raft panics if a write to the store fails, which would
// terminate the process, and with it the node that serves requests in this process. On a full or failing disk
// the writes of voteStore block instead until they succeed.
//
// This is safe: raft acts on a term or vote only after the write returns. A voter that blocks here sends no
// messages, like a voter whose process is paused, and the other voters continue without it.
type voteStore struct {
	raft.StableStore
	log  *slog.Logger
	done <-chan struct{} // closed when the voter is closed
}

// Set implements raft.StableStore. It blocks until the write succeeds, and returns nil.
func (s voteStore) Set(key, value []byte) error {
	s.retry(func() error { return s.StableStore.Set(key, value) })
	return nil
}

// SetUint64 implements raft.StableStore. It blocks until the write succeeds, and returns nil.
func (s voteStore) SetUint64(key []byte, value uint64) error {
	s.retry(func() error { return s.StableStore.SetUint64(key, value) })
	return nil
}

// retry calls write until it succeeds. If the voter is closed first, retry ends the calling goroutine of raft: it
// must not act on a vote that was not written, and would panic on an error.
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
			s.log.Error("vote not written, voter blocks until the write succeeds", "err", err)
			failed = true
		}
		select {
		case <-time.After(pause):
		case <-s.done:
			runtime.Goexit()
		}
	}
}
