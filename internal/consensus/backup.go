package consensus

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"time"

	"github.com/hashicorp/raft"

	"jasperpin/internal/consensus/fsm"
)

// backupTimeout bounds one call that sends or returns a backup, which may exceed 100 MB.
const backupTimeout = 30 * time.Second

// backupHeader starts the first line of a backup file. The rest of the line is the SHA-256 of all following bytes, in
// hex.
const backupHeader = "jasperpin group sha256 "

// Encode returns the content of a backup file, with a digest that detects damage.
func (b Backup) Encode() []byte {
	sum := sha256.Sum256(b.State)
	return append(append([]byte(backupHeader), hex.EncodeToString(sum[:])+"\n"...), b.State...)
}

// DecodeBackup decodes the content of a file that Encode returned. The error wraps ErrBackup if it is damaged.
func DecodeBackup(text []byte) (Backup, error) {
	header, state, found := bytes.Cut(text, []byte{'\n'})
	sum := sha256.Sum256(state)
	if !found || string(header) != backupHeader+hex.EncodeToString(sum[:]) {
		return Backup{}, fmt.Errorf("%w: digest does not match the content", ErrBackup)
	}
	if _, err := fsm.Restore(state); err != nil {
		return Backup{}, fmt.Errorf("%w: %w", ErrBackup, err)
	}
	return Backup{State: state}, nil
}

// Backup returns the encoded state, which includes all that was committed before the call. It fails with
// ErrNotLeader if the voter is not the leader.
func (v *Voter) Backup() (Backup, error) {
	if err := v.awaitReadIndex(); err != nil {
		return Backup{}, err
	}
	text, err := v.replica.encode()
	if err != nil {
		return Backup{}, err
	}
	return Backup{State: text}, nil
}

// RestoreBackup replaces the state of all voters with a backup, as fsm.RestoreBackup describes. It fails with
// ErrNotLeader if the voter is not the leader, and with ErrBackup if the backup is invalid.
func (v *Voter) RestoreBackup(b Backup) error {
	if v.raft.State() != raft.Leader {
		return ErrNotLeader
	}
	var restored *fsm.State
	var err error
	v.replica.read(func(s *fsm.State) { restored, err = fsm.RestoreBackup(b.State, s.Config()) })
	if err != nil {
		return fmt.Errorf("%w: %w", ErrBackup, err)
	}
	text, err := restored.Snapshot()
	if err != nil {
		return err
	}
	meta := &raft.SnapshotMeta{Version: raft.SnapshotVersionMax, Size: int64(len(text))}
	if err := v.raft.Restore(meta, io.NopCloser(bytes.NewReader(text)), backupTimeout); err != nil {
		return fmt.Errorf("restoring the backup on all voters: %w", err)
	}
	return nil
}

// Backup returns the encoded state of the cluster.
func (c *Client) Backup(ctx context.Context) (b Backup, err error) {
	err = c.call(ctx, pathBackup, struct{}{}, &b, backupTimeout)
	return b, err
}

// RestoreBackup replaces the state of the cluster with a backup. If a response is lost, it restores the backup again.
func (c *Client) RestoreBackup(ctx context.Context, b Backup) error {
	return c.call(ctx, pathRestoreBackup, b, &struct{}{}, backupTimeout)
}
