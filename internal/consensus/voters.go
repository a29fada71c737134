package consensus

import (
	"errors"
	"fmt"
	"strings"

	"github.com/hashicorp/raft"

	"jasperpin/internal/consensus/fsm"
)

// Status returns the state of the cluster as seen by this voter.
func (v *Voter) Status() (Status, error) {
	future := v.raft.GetConfiguration()
	if err := future.Error(); err != nil {
		return Status{}, fmt.Errorf("reading the voters: %w", err)
	}
	s := Status{
		ID:           v.id,
		Term:         v.raft.CurrentTerm(),
		LastIndex:    v.raft.LastIndex(),
		AppliedIndex: v.raft.AppliedIndex(),
	}
	v.replica.read(func(state *fsm.State) { s.Revision = state.Revision() })
	s.IsLeader = v.awaitReadIndex() == nil
	_, leader := v.raft.LeaderWithID()
	for _, server := range future.Configuration().Servers {
		s.Voters = append(s.Voters, Member{ID: string(server.ID), Addr: string(server.Address), IsLeader: server.ID == leader})
	}
	return s, nil
}

// ChangeVoters adds or removes one voter. It fails with ErrNotLeader if this voter is not the leader, and with
// ErrVoterChange if the cluster rejects the change.
func (v *Voter) ChangeVoters(c VoterChange) error {
	if v.raft.State() != raft.Leader {
		return ErrNotLeader
	}
	if c.Add != "" {
		return v.addVoter(c.Add, c.Addr)
	}
	return v.removeVoter(c.Remove)
}

func (v *Voter) addVoter(id, addr string) error {
	return voterChangeError(v.raft.AddVoter(raft.ServerID(id), raft.ServerAddress(addr), 0, applyTimeout))
}

// removeVoter removes a voter by its id, or by the name from which Join made the id. A removed id must not be added
// again.
func (v *Voter) removeVoter(id string) error {
	s, err := v.Status()
	if err != nil {
		return err
	}
	for _, m := range s.Voters {
		if m.ID == id || strings.HasPrefix(m.ID, id+"~") {
			return voterChangeError(v.raft.RemoveServer(raft.ServerID(m.ID), 0, applyTimeout))
		}
	}
	return fmt.Errorf("%w: unknown voter %q", ErrVoterChange, id)
}

// voterChangeError waits for a change of the voters and wraps its error in ErrNotLeader or ErrVoterChange.
func voterChangeError(future raft.IndexFuture) error {
	err := future.Error()
	if errors.Is(err, raft.ErrNotLeader) {
		return fmt.Errorf("%w: %w", ErrNotLeader, err)
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrVoterChange, err)
	}
	return nil
}
