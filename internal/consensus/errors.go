package consensus

import (
	"errors"
	"fmt"
	"syscall"
)

// Errors of calls to the cluster.
var (
	// ErrNotLeader is returned by a voter that is not the leader. The command was not executed; the caller
	// must call the leader.
	ErrNotLeader = errors.New("this voter is not the leader")
	// ErrUnknown is returned if the command may have been executed or may still be executed.
	ErrUnknown = errors.New("outcome of the command is unknown")
	// ErrVoterChange is returned if the cluster rejected a change of its voters.
	ErrVoterChange = errors.New("voter change rejected")
	// ErrSnapshot is returned if no voter sent a valid snapshot of the configuration.
	ErrSnapshot = errors.New("no snapshot of the configuration")
	// ErrBackup is returned for a backup that is damaged, incomplete or written by another program.
	ErrBackup = errors.New("invalid backup")
)

// Errors of a voter that fails to start. The operators' pages list a remedy for each by its text.
var (
	// ErrNotInitialized is returned for a directory without an identity.
	ErrNotInitialized = errors.New("voter directory is not initialized: begin a new group, or join one")
	// ErrLogMissing is returned if the log of a voter that has started before is missing or empty.
	ErrLogMissing = errors.New("log of this voter is missing or empty: its earlier votes are lost; remove it from the group, and let a new voter join from an empty folder")
	// ErrLogDamaged is returned if the log file failed its check.
	ErrLogDamaged = errors.New("log of this voter is damaged: remove it from the group, and let a new voter join from an empty folder")
	// ErrBusy is returned while another process of this voter uses its log or its address.
	ErrBusy = errors.New("another process of this voter is still running")
)

var (
	// errRejected is returned if the cluster rejected a call and would also reject a retry.
	errRejected = errors.New("cluster rejected the call")
	// errNoVoters is returned by a client that has no voter addresses.
	errNoVoters = errors.New("no voter addresses")
)

// listenError wraps an error of net.Listen in ErrBusy if the address is in use, either by the old process of an
// upgrade or by another program.
func listenError(err error) error {
	if errors.Is(err, syscall.EADDRINUSE) {
		return fmt.Errorf("%w: %w", ErrBusy, err)
	}
	return err
}
