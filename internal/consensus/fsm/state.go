package fsm

import (
	"maps"
	"slices"
	"strings"
	"time"

	"jasperpin/internal/configlog"
)

// Bounds of a state. They limit the size of a snapshot, which voters send each other and load into memory.
// Commands that exceed them are rejected with ErrFull or ErrMalformed.
const (
	// MaxName bounds the name of a lease, holder, key or session, in bytes.
	MaxName = 256
	// MaxValue bounds the value of an entry, in bytes.
	MaxValue = 16 << 10
	// MaxLeases bounds the number of leases: one per instance, and one per role that has a leader.
	MaxLeases = 4096
	// MaxKeys bounds the number of entries.
	MaxKeys = 65536
	// MaxBytes bounds the total size of all keys and values, in bytes.
	MaxBytes = 32 << 20
	// MaxSessions bounds the number of sessions.
	MaxSessions = 4096
	// MaxTTL bounds the duration of a grant, and so how long a failed holder blocks its lease.
	MaxTTL = time.Hour
	// maxEvents bounds the number of events retained for watchers.
	maxEvents = 4096
	// maxElapsed bounds the time that one command adds to the cluster clock. Without it, the first command
	// of a leader that was suspended for longer would expire leases whose holders could not renew them.
	maxElapsed = time.Minute
	// sessionTTL is how long an idle session is stored, on the cluster clock. It is longer than the time
	// for which a client retries.
	sessionTTL = 10 * time.Minute
	// maxDetail bounds Result.Detail, in bytes, since sessions store results.
	maxDetail = 512
)

// session is the number and the result of a session's last command.
type session struct {
	Number   uint64        `json:"Number"`
	Result   Result        `json:"Result"`
	LastUsed time.Duration `json:"Seen"` // when the session was last used, on the cluster clock
}

// State is the replicated state. It is not safe for concurrent use.
type State struct {
	now        time.Duration // the time on the cluster clock
	revision   uint64        // the revision of the last change of a lease or an entry
	leases     map[string]Lease
	entries    map[string]Entry
	entryBytes int // total size of all keys and values
	sessions   map[string]session
	nextExpiry time.Duration    // lower bound of the next expiry of a lease or session; a renewal does not raise it
	events     []Event          // the newest events, at most maxEvents, by ascending revision
	compacted  uint64           // the revision of the last event that was dropped
	config     *configlog.State // the configuration, which has its own versions and no events
}

// New returns an empty state.
func New() *State {
	return &State{
		leases:   make(map[string]Lease),
		entries:  make(map[string]Entry),
		sessions: make(map[string]session),
		config:   configlog.New(),
	}
}

// Apply executes one command. The result depends only on the state and the command.
func (s *State) Apply(command Command) Result {
	s.now += min(max(command.Elapsed, 0), maxElapsed)
	s.expire()
	if command.Session == "" {
		return s.execute(command)
	}
	if r, done := s.storedResult(command); done {
		return r
	}
	r := s.execute(command)
	s.sessions[command.Session] = session{Number: command.Number, Result: r, LastUsed: s.now}
	s.nextExpiry = min(s.nextExpiry, s.now+sessionTTL)
	return r
}

// storedResult returns the stored result of a command that was already executed, or a rejection if the
// session or number is invalid. It returns false if the command must be executed.
func (s *State) storedResult(command Command) (Result, bool) {
	last, known := s.sessions[command.Session]
	switch {
	case known && command.Number < last.Number:
		return Result{Revision: s.revision, Code: codeStale}, true
	case known && command.Number == last.Number:
		return last.Result, true
	case len(command.Session) > MaxName || command.Number == 0:
		return Result{Revision: s.revision, Code: codeMalformed}, true
	case !known && len(s.sessions) >= MaxSessions:
		return Result{Revision: s.revision, Code: codeFull}, true // the command is not executed, so its result is not stored
	}
	return Result{}, false
}

// execute dispatches a command by its operation.
func (s *State) execute(command Command) Result {
	r := Result{Code: codeMalformed}
	named := command.Name != "" && len(command.Name) <= MaxName
	switch command.Op {
	case Tick:
		r = Result{}
	case ProposeConfig:
		r = s.proposeConfig(command)
	case Acquire, Renew, Release:
		if named {
			r = s.applyLease(command)
		}
	case Put, Delete:
		if named {
			r = s.applyEntry(command)
		}
	}
	r.Revision = s.revision
	return r
}

// expire removes the leases and sessions that have expired on the cluster clock.
func (s *State) expire() {
	if s.now < s.nextExpiry {
		return
	}
	s.nextExpiry = s.now + sessionTTL
	s.expireLeases()
	s.expireSessions()
}

// expireSessions removes the sessions that have sent no command for sessionTTL, and lowers nextExpiry to the
// earliest expiry of the others. For a session that it removes, it lowers nextExpiry to the current time, which
// only makes the next command check for expired sessions and leases again.
func (s *State) expireSessions() {
	maps.DeleteFunc(s.sessions, func(_ string, x session) bool {
		s.nextExpiry = min(s.nextExpiry, max(s.now, x.LastUsed+sessionTTL))
		return s.now-x.LastUsed >= sessionTTL
	})
}

// Revision returns the revision of the last change of a lease or an entry.
func (s *State) Revision() uint64 { return s.revision }

// Config returns the configuration. Callers must not change it.
func (s *State) Config() *configlog.State { return s.config }

// withPrefix returns the values whose names begin with prefix, ordered by name; nil if there are none.
func withPrefix[T any](byName map[string]T, prefix string) (found []T) {
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		if strings.HasPrefix(name, prefix) {
			found = append(found, byName[name])
		}
	}
	return found
}
