package consensus

import (
	"context"
	"fmt"
	"time"

	"github.com/hashicorp/raft"

	"jasperpin/internal/consensus/fsm"
)

const (
	// maxWait bounds how long a read may wait for a change. It also bounds how long the connection of a client
	// that disconnected stays open.
	maxWait = 30 * time.Second
	// applyPollInterval is the time between two checks of the applied index.
	applyPollInterval = time.Millisecond
)

// Read returns the state, which includes all that was committed before the call. It fails with ErrNotLeader if the
// voter is not the leader.
func (v *Voter) Read(ctx context.Context, req ReadRequest) (ReadResponse, error) {
	if err := v.awaitReadIndex(); err != nil {
		return ReadResponse{}, err
	}
	if req.Wait > 0 {
		ctx, cancel := context.WithTimeout(ctx, min(req.Wait, maxWait))
		defer cancel()
		v.awaitState(ctx, func(s *fsm.State) bool { return s.Revision() != req.After })
	}
	var resp ReadResponse
	v.replica.read(func(s *fsm.State) {
		resp.Revision = s.Revision()
		resp.Events, resp.EventsComplete = s.EventsSince(req.After)
		if req.Leases != nil {
			resp.Leases = s.Leases(*req.Leases)
		}
		if req.Entries != nil {
			resp.Entries = s.Entries(*req.Entries)
		}
	})
	return resp, nil
}

// awaitState waits until the state fulfills a condition, ctx is done or the voter is closed.
func (v *Voter) awaitState(ctx context.Context, fulfilled func(*fsm.State) bool) {
	for {
		var met bool
		changed := v.replica.read(func(s *fsm.State) { met = fulfilled(s) })
		if met {
			return
		}
		select {
		case <-changed:
		case <-v.done:
			return
		case <-ctx.Done():
			return
		}
	}
}

// awaitReadIndex implements Raft's ReadIndex: it waits until a majority has confirmed that this voter is the leader, and
// this voter has applied all entries that were committed before the call. Its error wraps ErrNotLeader.
func (v *Voter) awaitReadIndex() error {
	if v.raft.State() != raft.Leader {
		return ErrNotLeader
	}
	if err := v.awaitBarrier(); err != nil {
		return err
	}
	readIndex := v.raft.CommitIndex()
	if err := v.raft.VerifyLeader().Error(); err != nil {
		return fmt.Errorf("%w: %w", ErrNotLeader, err)
	}
	for v.raft.AppliedIndex() < readIndex {
		select {
		case <-v.done:
			return ErrNotLeader
		case <-time.After(applyPollInterval):
		}
	}
	return nil
}

// awaitBarrier waits until this leader has applied the committed entries of earlier terms. The commit index of a new
// leader may not include them until an entry of its own term is committed.
func (v *Voter) awaitBarrier() error {
	term := v.raft.CurrentTerm()
	v.mu.Lock()
	passed := v.barrierTerm == term
	v.mu.Unlock()
	if passed {
		return nil
	}
	if err := v.raft.Barrier(applyTimeout).Error(); err != nil {
		return fmt.Errorf("%w: %w", ErrNotLeader, err)
	}
	v.mu.Lock()
	v.barrierTerm = term
	v.mu.Unlock()
	return nil
}
