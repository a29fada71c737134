package consensus

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"

	"github.com/hashicorp/raft"

	"jasperpin/internal/consensus/fsm"
)

// ErrBackup says that a back-up is not one, or not as it was written.
var ErrBackup = errors.New("the back-up cannot be used")

// Backup is a state on its way to a file or back.
type Backup struct {
	State []byte `json:"State"`
}

// seal is the first line of a back-up's file, before the digest of all that follows.
const seal = "jasperpin group sha256 "

// Seal makes a back-up a file's content.
func (b Backup) Seal() []byte {
	sum := sha256.Sum256(b.State)
	return append(append([]byte(seal), hex.EncodeToString(sum[:])+"\n"...), b.State...)
}

// Unseal reads a back-up from a file's content, and says where it is not whole.
func Unseal(text []byte) (Backup, error) {
	head, state, ok := bytes.Cut(text, []byte{'\n'})
	sum := sha256.Sum256(state)
	if !ok || string(head) != seal+hex.EncodeToString(sum[:]) {
		return Backup{}, fmt.Errorf("%w: its digest is another", ErrBackup)
	}
	if _, err := fsm.Restore(state); err != nil {
		return Backup{}, fmt.Errorf("%w: %w", ErrBackup, err)
	}
	return Backup{state}, nil
}

// Backup gives what is agreed, no older than the call. The leader alone can.
func (v *Voter) Backup() (Backup, error) {
	if err := v.confirm(); err != nil {
		return Backup{}, err
	}
	text, err := v.machine.Snapshot()
	if err != nil {
		return Backup{}, err
	}
	return Backup{text.(snapshot)}, nil
}

// Revive puts a back-up in the place of what is agreed, on all voters. The leader alone can.
func (v *Voter) Revive(b Backup) error {
	if v.raft.State() != raft.Leader {
		return ErrNotLeader
	}
	v.machine.mu.Lock()
	s, err := fsm.Revive(b.State, v.machine.state.Conf())
	v.machine.mu.Unlock()
	if err != nil {
		return fmt.Errorf("%w: %w", ErrBackup, err)
	}
	text, err := s.Snapshot()
	if err != nil {
		return err
	}
	meta := &raft.SnapshotMeta{Version: raft.SnapshotVersionMax, Size: int64(len(text))}
	if err := v.raft.Restore(meta, io.NopCloser(bytes.NewReader(text)), reviveWithin); err != nil {
		return fmt.Errorf("reviving the group: %w", err)
	}
	return nil
}

// Backup asks for what is agreed.
func (c *Client) Backup(ctx context.Context) (b Backup, err error) {
	err = c.ask(ctx, "/v1/backup", struct{}{}, &b, reviveWithin)
	return b, err
}

// Revive puts a back-up in the place of what is agreed. Where the answer is lost it is put
// there again.
func (c *Client) Revive(ctx context.Context, b Backup) error {
	return c.ask(ctx, "/v1/revive", b, &struct{}{}, reviveWithin)
}
