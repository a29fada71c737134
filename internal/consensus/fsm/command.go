package fsm

import (
	"errors"
	"fmt"
	"time"

	"jasperpin/internal/configlog"
)

// Errors that Result.Err returns for a rejected command. A rejected command changes nothing.
var (
	// ErrMalformed rejects a command that is invalid in every state. A retry fails as well.
	ErrMalformed = errors.New("malformed command")
	// ErrHeld rejects an Acquire while the lease has another holder.
	ErrHeld = errors.New("lease has another holder")
	// ErrLost rejects a Renew or Release whose fencing token is not the lease's current token.
	ErrLost = errors.New("lease lost")
	// ErrRevisionMismatch rejects a Put or Delete whose entry is at another revision.
	ErrRevisionMismatch = errors.New("entry is at another revision")
	// ErrFull rejects a command that would exceed one of the bounds of a state.
	ErrFull = errors.New("state is at capacity")
	// ErrStale rejects a command whose session has already executed a later one.
	ErrStale = errors.New("a later command of the session has been executed")
)

// Error codes of results. They are sent to clients and stored with sessions.
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
	// Tick only advances the cluster clock.
	Tick Op = "tick"
	// Acquire grants a lease that is free, or extends it for its holder.
	Acquire Op = "acquire"
	// Renew extends a lease that is held under the command's fencing token.
	Renew Op = "renew"
	// Release ends a lease that is held under the command's fencing token.
	Release Op = "release"
	// Put writes an entry that is at the command's revision; revision 0 means that it must not exist.
	Put Op = "put"
	// Delete removes an entry that is at the command's revision.
	Delete Op = "delete"
	// ProposeConfig proposes a change of the configuration.
	ProposeConfig Op = "config"
)

// Command is one entry of the log.
type Command struct {
	// Elapsed is the time since the leader's previous command, on the leader's monotonic clock. The
	// leader sets it; see the section on time in the package comment.
	Elapsed time.Duration `json:"Elapsed,omitempty"`
	// Session and Number identify the command across retries. The numbers of a session start at 1.
	// A command with an empty Session is executed each time it is applied.
	Session string `json:"Session,omitempty"`
	Number  uint64 `json:"Number,omitempty"`
	Op      Op     `json:"Op"`
	Name    string `json:"Name,omitempty"` // the name of the lease, or the key of the entry
	Holder  string `json:"Holder,omitempty"`
	// FencingToken is the token of the lease to renew or release.
	FencingToken uint64 `json:"Fence,omitempty"`
	// TTL is the duration of the grant, above 0 and at most MaxTTL.
	TTL   time.Duration `json:"TTL,omitempty"`
	Value []byte        `json:"Value,omitempty"` // the value of the entry, at most MaxValue bytes
	// IfRevision is the revision that the entry must be at; 0 means that it must not exist.
	IfRevision uint64 `json:"If,omitempty"`
	// Change is the proposed configuration change, encoded by configlog.AppendChange.
	Change []byte `json:"Change,omitempty"`
}

// Result is the outcome of a command.
type Result struct {
	Revision uint64 `json:"Rev"` // the revision of the state after the command
	// FencingToken and Holder are those of the current lease, also if the command was rejected.
	FencingToken uint64 `json:"Fence,omitempty"`
	Holder       string `json:"Holder,omitempty"`
	Code         string `json:"Code,omitempty"` // why the command was rejected; empty for success

	Version uint64 `json:"Version,omitempty"` // the version of the configuration, if the command changed it
	// Detail is why a configuration change was rejected, for example the record in conflict and the
	// version that changed it. It has at most maxDetail bytes.
	Detail string `json:"Why,omitempty"`
}

// Err returns why the command was rejected, or nil for success.
func (r Result) Err() error {
	if r.Code == "" {
		return nil
	}
	err, known := errorsByCode[r.Code]
	switch {
	case !known: // a code of a later version of this program
		return fmt.Errorf("command rejected: unknown code %q", r.Code)
	case r.Detail != "":
		return fmt.Errorf("%w: %s", err, r.Detail)
	default:
		return err
	}
}
