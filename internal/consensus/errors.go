package consensus

import (
	"errors"
	"fmt"
	"syscall"
)

// Errors of calls.
var (
	// ErrNotLeader says that another voter has to be called. The command was not executed.
	ErrNotLeader = errors.New("this voter does not lead")
	// ErrUnknown says that the command may have been executed, and may yet be.
	ErrUnknown = errors.New("it is not known what became of the command")
	// ErrVoterChange says that the cluster rejected a change of its voters.
	ErrVoterChange = errors.New("the voters cannot be changed so")
	// ErrSnapshot says that no voter sent a usable snapshot of the configuration.
	ErrSnapshot = errors.New("no snapshot of the configuration")
	// ErrBackup says that a back-up is damaged, incomplete or of another program.
	ErrBackup = errors.New("the back-up cannot be used")
)

// Why a voter does not start. Operators' pages name the remedy for each by its text.
var (
	// ErrNotInitialized says that a voter's directory holds no identity.
	ErrNotInitialized = errors.New("no voter has begun here: begin a new group, or join one")
	// ErrLogMissing says that the log of a voter that has started before is not there or empty.
	ErrLogMissing = errors.New("the log of this voter is gone or empty: it has voted and cannot know for whom; remove it from the group, and let another join from an empty folder")
	// ErrLogDamaged says that the log's file failed its check.
	ErrLogDamaged = errors.New("the log of this voter is damaged: remove it from the group, and let another join from an empty folder")
	// ErrBusy says that another process of this voter has its log or its address.
	ErrBusy = errors.New("another process of this voter still runs")
)

var (
	// errRejected says that the cluster rejected a call, and would again.
	errRejected = errors.New("the cluster rejects the call")
	// errNoVoters says that a client knows no address to call.
	errNoVoters = errors.New("no address of a voter is known")
)

// listenError wraps an error of listening in ErrBusy where the address is in use: an upgrade's old process still
// listens there, or another program does.
func listenError(err error) error {
	if errors.Is(err, syscall.EADDRINUSE) {
		return fmt.Errorf("%w: %w", ErrBusy, err)
	}
	return err
}
