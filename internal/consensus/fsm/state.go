package fsm

import (
	"maps"
	"slices"
	"strings"
	"time"

	"jasperpin/internal/configlog"
)

// Bounds of a state. They keep a snapshot within what voters send each other and hold in memory.
// Commands that exceed them are rejected with ErrFull or ErrMalformed.
const (
	// MaxName bounds the name of a lease, holder, key or session, in bytes.
	MaxName = 256
	// MaxValue bounds the value of an entry, in bytes.
	MaxValue = 16 << 10
	// MaxLeases bounds the number of leases: one per instance, and those of the leaders' roles.
	MaxLeases = 4096
	// MaxKeys bounds the number of entries.
	MaxKeys = 65536
	// MaxBytes bounds the sum of all keys and values, in bytes.
	MaxBytes = 32 << 20
	// MaxSessions bounds the number of sessions.
	MaxSessions = 4096
	// MaxTTL bounds how long a lease is granted for: a lost holder blocks its lease no longer.
	MaxTTL = time.Hour
	// maxEvents is the number of events that are retained for watchers.
	maxEvents = 4096
	// maxElapsed bounds the time of one command: that of a leader that was suspended for longer
	// would end leases whose holders had no chance to renew them.
	maxElapsed = time.Minute
	// sessionTTL is how long a session without commands is stored, by the cluster clock. It is beyond
	// the time for which a client retries.
	sessionTTL = 10 * time.Minute
	// maxDetail bounds Result.Detail, in bytes: sessions store results.
	maxDetail = 512
)

// session is the last command of a session and its result.
type session struct {
	Number   uint64        `json:"Number"`
	Result   Result        `json:"Result"`
	LastUsed time.Duration `json:"Seen"` // on the cluster clock
}

// State is the replicated state. It is not safe for concurrent use.
type State struct {
	now        time.Duration // the cluster clock
	revision   uint64        // of the last change of a lease or an entry
	leases     map[string]Lease
	entries    map[string]Entry
	entryBytes int // of all keys and values
	sessions   map[string]session
	nextExpiry time.Duration    // lower bound: nothing expires before it; after a renewal it may be earlier than the true next expiry
	events     []Event          // the newest, by ascending revision
	compacted  uint64           // the revision of the last event that was dropped
	config     *configlog.State // has versions of its own, and no events
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

// Apply executes one command. Its outcome depends on the state and the command alone.
func (s *State) Apply(c Command) Result {
	s.now += min(max(c.Elapsed, 0), maxElapsed)
	s.expire()
	if c.Session == "" {
		return s.execute(c)
	}
	if r, done := s.answerFromSession(c); done {
		return r
	}
	r := s.execute(c)
	s.sessions[c.Session] = session{Number: c.Number, Result: r, LastUsed: s.now}
	s.nextExpiry = min(s.nextExpiry, s.now+sessionTTL)
	return r
}

// answerFromSession answers a command that was executed before, and rejects one that its session
// cannot take. It returns false for a command that is to be executed.
func (s *State) answerFromSession(c Command) (Result, bool) {
	last, known := s.sessions[c.Session]
	switch {
	case known && c.Number < last.Number:
		return Result{Revision: s.revision, Code: codeStale}, true
	case known && c.Number == last.Number:
		return last.Result, true
	case len(c.Session) > MaxName || c.Number == 0:
		return Result{Revision: s.revision, Code: codeMalformed}, true
	case !known && len(s.sessions) >= MaxSessions:
		return Result{Revision: s.revision, Code: codeFull}, true // not executed, and so not stored
	}
	return Result{}, false
}

// execute dispatches a command by its operation.
func (s *State) execute(c Command) Result {
	r := Result{Code: codeMalformed}
	named := c.Name != "" && len(c.Name) <= MaxName
	switch c.Op {
	case Tick:
		r = Result{}
	case ProposeConfig:
		r = s.proposeConfig(c)
	case Acquire, Renew, Release:
		if named {
			r = s.applyLease(c)
		}
	case Put, Delete:
		if named {
			r = s.applyEntry(c)
		}
	}
	r.Revision = s.revision
	return r
}

// expire ends what the cluster clock has passed.
func (s *State) expire() {
	if s.now < s.nextExpiry {
		return
	}
	s.nextExpiry = s.now + sessionTTL
	s.expireLeases()
	s.expireSessions()
}

// expireSessions forgets the sessions that have sent no command for sessionTTL, and lowers nextExpiry to the first
// expiry of the others. For a session that is forgotten it lowers it to now, which only has the next command look
// again.
func (s *State) expireSessions() {
	maps.DeleteFunc(s.sessions, func(_ string, x session) bool {
		s.nextExpiry = min(s.nextExpiry, max(s.now, x.LastUsed+sessionTTL))
		return s.now-x.LastUsed >= sessionTTL
	})
}

// Revision is the revision of the last change of a lease or an entry.
func (s *State) Revision() uint64 { return s.revision }

// Config is the configuration. Callers must not change it.
func (s *State) Config() *configlog.State { return s.config }

// withPrefix returns the values whose names begin with a prefix, ordered by name; nil for none.
func withPrefix[T any](byName map[string]T, prefix string) (found []T) {
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		if strings.HasPrefix(name, prefix) {
			found = append(found, byName[name])
		}
	}
	return found
}
