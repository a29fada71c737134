package fsm

import (
	"errors"
	"fmt"
	"time"

	"jasperpin/internal/configlog"
)

// Why a command changed nothing. Result.Err returns them.
var (
	// ErrMalformed rejects a command that no state would execute; sending it again does not help.
	ErrMalformed = errors.New("the command is malformed")
	// ErrHeld rejects an Acquire while another holder has the lease.
	ErrHeld = errors.New("another holder has the lease")
	// ErrLost rejects a Renew or Release under a token that is not the lease's current one.
	ErrLost = errors.New("the lease is no longer the holder's")
	// ErrRevisionMismatch rejects a Put or Delete whose entry is at another revision.
	ErrRevisionMismatch = errors.New("the entry is at another revision")
	// ErrFull rejects a command that would exceed one of the bounds of a state.
	ErrFull = errors.New("the state is full")
	// ErrStale rejects a command of a session that has executed a later one.
	ErrStale = errors.New("a later command of the session has been executed")
)

// Error codes of results. They cross the wire and are stored with sessions.
const (
	codeMalformed        = "malformed"
	codeHeld             = "held"
	codeLost             = "lost"
	codeRevisionMismatch = "changed"
	codeFull             = "full"
	codeStale            = "stale"
	codeConflict         = "conflict"
)

// errorsByCode maps the codes to the errors that Result.Err returns.
var errorsByCode = map[string]error{
	codeMalformed:        ErrMalformed,
	codeHeld:             ErrHeld,
	codeLost:             ErrLost,
	codeRevisionMismatch: ErrRevisionMismatch,
	codeFull:             ErrFull,
	codeStale:            ErrStale,
	codeConflict:         configlog.ErrConflict,
}

// Op is the operation of a command.
type Op string

// Operations.
const (
	// Tick changes nothing but the cluster clock.
	Tick Op = "tick"
	// Acquire takes a lease that is free, or extends it for its holder.
	Acquire Op = "acquire"
	// Renew extends a lease that is held under the command's fencing token.
	Renew Op = "renew"
	// Release ends a lease that is held under the command's fencing token.
	Release Op = "release"
	// Put writes an entry that is at the command's revision, 0 for one that does not exist.
	Put Op = "put"
	// Delete removes an entry that is at the command's revision.
	Delete Op = "delete"
	// ProposeConfig proposes a change of the configuration.
	ProposeConfig Op = "config"
)

// Command is one entry of the log.
type Command struct {
	// Elapsed is the time since the leader's command before, by the leader's monotonic clock. The
	// leader sets it; see the package's comment on time.
	Elapsed time.Duration `json:"Elapsed,omitempty"`
	// Session and Number identify the command across retries. Numbers of a session count from 1.
	// A command without a session is executed each time that it is applied.
	Session string `json:"Session,omitempty"`
	Number  uint64 `json:"Number,omitempty"`
	Op      Op     `json:"Op"`
	Name    string `json:"Name,omitempty"` // of the lease, or the key of the entry
	Holder  string `json:"Holder,omitempty"`
	// FencingToken is the fencing token of the lease to renew or release.
	FencingToken uint64 `json:"Fence,omitempty"`
	// TTL is how long the lease is granted for, up to MaxTTL.
	TTL   time.Duration `json:"TTL,omitempty"`
	Value []byte        `json:"Value,omitempty"` // of the entry, up to MaxValue bytes
	// IfRevision is the revision that the entry must be at, 0 for an entry that must not exist.
	IfRevision uint64 `json:"If,omitempty"`
	// Change is the proposed configuration change, encoded by configlog.AppendChange.
	Change []byte `json:"Change,omitempty"`
}

// Result is the outcome of a command.
type Result struct {
	Revision uint64 `json:"Rev"` // of the state after the command
	// FencingToken and Holder are those of the lease in force, also where the command was rejected.
	FencingToken uint64 `json:"Fence,omitempty"`
	Holder       string `json:"Holder,omitempty"`
	Code         string `json:"Code,omitempty"` // why it was rejected; empty for success

	Version uint64 `json:"Version,omitempty"` // of the configuration, where the command changed it
	// Detail is why a configuration change was rejected, such as the record and the version that
	// changed it, in at most maxDetail bytes.
	Detail string `json:"Why,omitempty"`
}

// Err returns why the command changed nothing, or nil.
func (r Result) Err() error {
	if r.Code == "" {
		return nil
	}
	err, known := errorsByCode[r.Code]
	switch {
	case !known: // of a later version of this program
		return fmt.Errorf("the command was rejected with the unknown code %q", r.Code)
	case r.Detail != "":
		return fmt.Errorf("%w: %s", err, r.Detail)
	default:
		return err
	}
}
