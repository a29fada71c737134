package consensus

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/raft"

	"jasperpin/internal/consensus/fsm"
)

const (
	// maxClockInterval is the most that a leader waits before it looks for the next lease to expire: a
	// lease may have been granted meanwhile.
	maxClockInterval = 250 * time.Millisecond
	// minClockInterval bounds how many Tick commands a leader writes to the log.
	minClockInterval = 20 * time.Millisecond
)

// Do appends a command to the log and returns its result once it is committed and applied. After
// ErrNotLeader it was not executed; after ErrUnknown it may have been, and may yet be.
func (v *Voter) Do(c fsm.Command) (fsm.Result, error) {
	if v.raft.State() != raft.Leader {
		return fsm.Result{}, ErrNotLeader
	}
	text, err := json.Marshal(v.stamp(c))
	if err != nil {
		return fsm.Result{}, fmt.Errorf("encoding command %s: %w", c.Op, err)
	}
	future := v.raft.Apply(text, applyTimeout)
	if err := future.Error(); err != nil {
		if notAppended(err) {
			return fsm.Result{}, fmt.Errorf("%w: %w", ErrNotLeader, err)
		}
		return fsm.Result{}, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	result, ok := future.Response().(fsm.Result)
	if !ok {
		return fsm.Result{}, fmt.Errorf("%w: the log answered %T", ErrUnknown, future.Response())
	}
	return result, nil
}

// notAppended reports whether raft failed before it appended a command to the log.
func notAppended(err error) bool {
	return errors.Is(err, raft.ErrNotLeader) || errors.Is(err, raft.ErrEnqueueTimeout) || errors.Is(err, raft.ErrRaftShutdown)
}

// stamp sets the time since the last command that was stamped in this term. The first command of a
// term counts none: the leader cannot know how much time the one before has counted.
func (v *Voter) stamp(c fsm.Command) logEntry {
	v.mu.Lock()
	defer v.mu.Unlock()
	term, now := v.raft.CurrentTerm(), time.Now()
	if term != v.stampedTerm {
		v.stampedTerm, v.stampedAt = term, now
	}
	c.Elapsed, v.stampedAt = now.Sub(v.stampedAt), now
	return logEntry{Term: term, Command: c}
}

// advanceClock makes the leader append Tick commands, so that leases expire while no other
// commands arrive. It runs until Close.
func (v *Voter) advanceClock() {
	timer := time.NewTimer(maxClockInterval)
	defer timer.Stop()
	for {
		select {
		case <-v.done:
			return
		case <-timer.C:
		}
		wait := maxClockInterval
		if v.raft.State() == raft.Leader {
			wait = v.tickIfDue()
		}
		timer.Reset(wait)
	}
}

// tickIfDue appends a Tick where a lease is to expire, and returns how long to wait before the next call.
func (v *Voter) tickIfDue() time.Duration {
	left, held := v.untilNextExpiry()
	if !held {
		return maxClockInterval
	}
	if left <= 0 {
		_, _ = v.Do(fsm.Command{Op: fsm.Tick}) // an error is made up for by the next call, or the next leader
	}
	return min(max(left, minClockInterval), maxClockInterval)
}

// untilNextExpiry is how long until the first lease expires, counting the time that is not in the log
// yet. It is at most 0 where this leader has stamped no command in its term: its clock has to start.
func (v *Voter) untilNextExpiry() (left time.Duration, held bool) {
	v.replica.read(func(s *fsm.State) { left, held = s.UntilNextExpiry() })
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.stampedTerm != v.raft.CurrentTerm() {
		return 0, held
	}
	return left - time.Since(v.stampedAt), held
}
