package consensus

import (
	"log/slog"
	"runtime"
	"time"

	"github.com/hashicorp/raft"
)

// Between tries to write what the disk does not take, doubled from the least to the most.
const (
	leastVotePause = 10 * time.Millisecond
	mostVotePause  = time.Second
)

// votes is the store of a voter's terms and votes. raft ends the process where a write to it fails; a
// disk that is full or fails for a moment is waited for instead. Meanwhile the voter says nothing,
// as one that is paused, and the others go on without it: what it has not on the disk it has not said.
type votes struct {
	raft.StableStore
	log  *slog.Logger
	done <-chan struct{} // the voter ends
}

// Set writes until the disk takes it.
func (v votes) Set(key, value []byte) error {
	v.write(func() error { return v.StableStore.Set(key, value) })
	return nil
}

// SetUint64 writes until the disk takes it.
func (v votes) SetUint64(key []byte, value uint64) error {
	v.write(func() error { return v.StableStore.SetUint64(key, value) })
	return nil
}

// write tries until it succeeds. Where the voter ends first the goroutine of raft that asks for it
// ends here: nothing may follow from what was not written.
func (v votes) write(try func() error) {
	said := false
	for pause := leastVotePause; ; pause = min(2*pause, mostVotePause) {
		err := try()
		if err == nil {
			if said {
				v.log.Info("the disk takes votes again")
			}
			return
		}
		if !said {
			v.log.Error("a vote cannot be written, and the voter is silent until it can", "err", err)
			said = true
		}
		select {
		case <-time.After(pause):
		case <-v.done:
			runtime.Goexit()
		}
	}
}
