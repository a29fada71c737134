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

// backupTimeout bounds one call that sends a back-up either way: it may be over a hundred megabytes.
const backupTimeout = 30 * time.Second

// backupHeader is the start of a back-up file's first line; the hex SHA-256 of all that follows ends it.
const backupHeader = "jasperpin group sha256 "

// Encode encodes a back-up as a file, with a digest that detects damage.
func (b Backup) Encode() []byte {
	sum := sha256.Sum256(b.State)
	return append(append([]byte(backupHeader), hex.EncodeToString(sum[:])+"\n"...), b.State...)
}

// DecodeBackup decodes a file that Encode has made. The error wraps ErrBackup where the file is damaged.
func DecodeBackup(text []byte) (Backup, error) {
	header, state, found := bytes.Cut(text, []byte{'\n'})
	sum := sha256.Sum256(state)
	if !found || string(header) != backupHeader+hex.EncodeToString(sum[:]) {
		return Backup{}, fmt.Errorf("%w: its digest does not match its content", ErrBackup)
	}
	if _, err := fsm.Restore(state); err != nil {
		return Backup{}, fmt.Errorf("%w: %w", ErrBackup, err)
	}
	return Backup{State: state}, nil
}

// Backup returns the state, no older than the call. It fails with ErrNotLeader where the voter does not lead.
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

// RestoreBackup replaces the state of all voters by a back-up, as fsm.RestoreBackup describes. It fails with ErrNotLeader
// where the voter does not lead, and with ErrBackup where the back-up cannot be used.
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
		return fmt.Errorf("restoring the back-up on all voters: %w", err)
	}
	return nil
}

// Backup returns the cluster's state.
func (c *Client) Backup(ctx context.Context) (b Backup, err error) {
	err = c.call(ctx, pathBackup, struct{}{}, &b, backupTimeout)
	return b, err
}

// RestoreBackup replaces the cluster's state by a back-up. Where an answer is lost it does so again.
func (c *Client) RestoreBackup(ctx context.Context, b Backup) error {
	return c.call(ctx, pathRestoreBackup, b, &struct{}{}, backupTimeout)
}
