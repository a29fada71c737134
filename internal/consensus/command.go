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
	// maxClockInterval bounds the time between two checks of a leader for the next lease to expire, since leases
	// may have been granted in the meantime.
	maxClockInterval = 250 * time.Millisecond
	// minClockInterval is the shortest time between two Tick commands. It bounds how many of them the leader appends.
	minClockInterval = 20 * time.Millisecond
)

// Do appends a command to the log and returns its result once it is committed and applied. If the error wraps
// ErrNotLeader, the command was not executed. If it wraps ErrUnknown, the command may have been executed or may
// still be executed.
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
		return fsm.Result{}, fmt.Errorf("%w: unexpected result type %T", ErrUnknown, future.Response())
	}
	return result, nil
}

// notAppended reports whether raft failed before it appended a command to the log.
func notAppended(err error) bool {
	return errors.Is(err, raft.ErrNotLeader) || errors.Is(err, raft.ErrEnqueueTimeout) || errors.Is(err, raft.ErrRaftShutdown)
}

// stamp sets Elapsed to the time since the last command that this voter stamped in the current term. For the first
// command of a term it is 0: a new leader does not know at which time its predecessor stamped its last command.
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

// advanceClock appends Tick commands while this voter is the leader, so that leases also expire while there are no
// other commands. It runs until Close.
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

// tickIfDue appends a Tick if a lease is due to expire, and returns how long to wait before the next call.
func (v *Voter) tickIfDue() time.Duration {
	left, held := v.untilNextExpiry()
	if !held {
		return maxClockInterval
	}
	if left <= 0 {
		_, _ = v.Do(fsm.Command{Op: fsm.Tick}) // after an error the next call, or the next leader, appends a Tick
	}
	return min(max(left, minClockInterval), maxClockInterval)
}

// untilNextExpiry returns the time until the next lease expires, including the time that no log entry has counted yet.
// It may be negative. It returns 0 if this leader has not stamped a command in its term yet: the first command
// that it stamps starts the measurement.
func (v *Voter) untilNextExpiry() (left time.Duration, held bool) {
	v.replica.read(func(s *fsm.State) { left, held = s.UntilNextExpiry() })
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.stampedTerm != v.raft.CurrentTerm() {
		return 0, held
	}
	return left - time.Since(v.stampedAt), held
}
