// Package fsm is what the instances of an installation agree on: leases with fencing
// numbers, a small table with compare-and-set, what has changed in both, and the configuration
// that all nodes follow. It is pure: a State is fed one command after another, the same on all
// voters, and says what follows.
package fsm

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"jasperpin/internal/configlog"
)

// Bounds of a state. Beyond them commands are turned down with ErrFull or ErrMalformed.
const (
	MaxName     = 256      // bytes of the name of a lease, holder, key or session
	MaxValue    = 16 << 10 // bytes of a value
	MaxLeases   = 4096
	MaxKeys     = 65536
	MaxBytes    = 32 << 20 // of keys and values
	MaxSessions = 4096
	MaxTTL      = time.Hour
	// maxEvents is how many changes are remembered for those that watch.
	maxEvents = 4096
	// maxElapsed bounds the time of one command: a leader that was stopped for long counts
	// no more.
	maxElapsed = time.Minute
	// sessionLife is how long, by the group's clock, a session that says nothing is known.
	sessionLife = 10 * time.Minute
	// maxWhy bounds what a result says in words, in bytes: sessions keep it.
	maxWhy = 512
)

// Why a command changed nothing.
var (
	ErrMalformed = errors.New("the command cannot be used")
	ErrHeld      = errors.New("another holds the lease")
	ErrLost      = errors.New("the lease is no longer the holder's")
	ErrChanged   = errors.New("the entry is at another revision")
	ErrFull      = errors.New("there is no room")
	ErrStale     = errors.New("a later command of the session has been carried out")
)

// codes are how errors go from member to member, and are kept.
var codes = map[string]error{
	"malformed": ErrMalformed, "held": ErrHeld, "lost": ErrLost, "changed": ErrChanged, "full": ErrFull, "stale": ErrStale,
	"conflict": configlog.ErrConflict,
}

// Op is what a command does.
type Op string

// Acquire takes a lease, or renews it for who holds it. Renew keeps one that is the
// holder's under its fencing number, and Release gives it back. Put writes an entry that is
// at revision If, 0 for one that is not there, and Delete removes it. Config proposes a change
// of the configuration. Tick does nothing but let time pass.
const (
	Tick    Op = "tick"
	Acquire Op = "acquire"
	Renew   Op = "renew"
	Release Op = "release"
	Put     Op = "put"
	Delete  Op = "delete"
	Config  Op = "config"
)

// Command is one entry of the log. Session and Number are for those that ask again after an
// answer was lost: what was carried out is not carried out twice.
type Command struct {
	// Elapsed is how much time has passed at the leader since its command before, by its
	// monotonic clock. The group's clock is their sum: it stands still while there is no
	// leader, and no step of anybody's clock moves it.
	Elapsed time.Duration `json:"Elapsed,omitempty"`
	Session string        `json:"Session,omitempty"`
	Number  uint64        `json:"Number,omitempty"` // of the session's commands, from 1 on
	Op      Op            `json:"Op"`
	Name    string        `json:"Name,omitempty"` // of the lease, or the key
	Holder  string        `json:"Holder,omitempty"`
	Fence   uint64        `json:"Fence,omitempty"`
	TTL     time.Duration `json:"TTL,omitempty"`
	Value   []byte        `json:"Value,omitempty"`
	If      uint64        `json:"If,omitempty"`
	Change  []byte        `json:"Change,omitempty"` // a proposal, as conf.AppendChange writes it
}

// Result is what became of a command. Rev is the revision after it; with a lease, Fence and
// Holder are those in force. Version is that of a change of the configuration, and Why says in
// words what a proposal that was turned down ran into: the record, and the version that changed it.
type Result struct {
	Rev    uint64 `json:"Rev"`
	Fence  uint64 `json:"Fence,omitempty"`
	Holder string `json:"Holder,omitempty"`
	Code   string `json:"Code,omitempty"`

	Version uint64 `json:"Version,omitempty"`
	Why     string `json:"Why,omitempty"`
}

// Err is why the command changed nothing, or nil.
func (r Result) Err() error {
	if r.Code == "" {
		return nil
	}
	if err := codes[r.Code]; err != nil && r.Why != "" {
		return fmt.Errorf("%w: %s", err, r.Why)
	} else if err != nil {
		return err
	}
	return fmt.Errorf("the group says %q", r.Code)
}

// Lease is a lease that is held.
type Lease struct {
	Name   string        `json:"Name"`
	Holder string        `json:"Holder"`
	Fence  uint64        `json:"Fence"` // greater than that of every lease before, whatever its name
	Until  time.Duration `json:"Until"` // by the group's clock
	TTL    time.Duration `json:"TTL"`
}

// Entry is an entry of the table.
type Entry struct {
	Key   string `json:"Key"`
	Value []byte `json:"Value"`
	Rev   uint64 `json:"Rev"` // of its last change
}

// Event is one change: of the lease or the entry of a name.
type Event struct {
	Rev   uint64 `json:"Rev"`
	Lease bool   `json:"Lease"`
	Name  string `json:"Name"`
	Gone  bool   `json:"Gone"` // the lease has ended, or the entry is deleted
}

// session is the last command of a session, and what became of it.
type session struct {
	Number uint64        `json:"Number"`
	Result Result        `json:"Result"`
	Seen   time.Duration `json:"Seen"`
}

// State is what has been agreed. One owner at a time uses it.
type State struct {
	now      time.Duration
	rev      uint64 // grows with each change
	leases   map[string]Lease
	entries  map[string]Entry
	bytes    int
	sessions map[string]session
	due      time.Duration    // nothing ends before; what was renewed may end later
	events   []Event          // the newest, in the order of their revisions
	forgot   uint64           // the revision of the last one that is not there any more
	conf     *configlog.State // its versions are its own: a change of it is no event
}

// New is a state in which nothing was agreed.
func New() *State {
	return &State{leases: make(map[string]Lease), entries: make(map[string]Entry), sessions: make(map[string]session), conf: configlog.New()}
}

// Apply carries out one command. It does the same on every voter: it asks no clock, and
// draws nothing.
func (s *State) Apply(c Command) Result {
	s.now += min(max(c.Elapsed, 0), maxElapsed)
	s.expire()
	if c.Session != "" {
		if was, ok := s.sessions[c.Session]; ok && c.Number <= was.Number {
			if c.Number < was.Number {
				return Result{Rev: s.rev, Code: "stale"}
			}
			return was.Result
		}
		if len(c.Session) > MaxName || c.Number == 0 {
			return Result{Rev: s.rev, Code: "malformed"}
		}
		if _, ok := s.sessions[c.Session]; !ok && len(s.sessions) >= MaxSessions {
			return Result{Rev: s.rev, Code: "full"} // not carried out, and so not remembered
		}
	}
	r := s.do(c)
	r.Rev = s.rev
	if c.Session != "" {
		s.sessions[c.Session] = session{c.Number, r, s.now}
		s.due = min(s.due, s.now+sessionLife)
	}
	return r
}

func (s *State) do(c Command) Result {
	if c.Op != Tick && c.Op != Config && (c.Name == "" || len(c.Name) > MaxName) {
		return Result{Code: "malformed"}
	}
	switch c.Op {
	case Tick:
		return Result{}
	case Acquire, Renew, Release:
		return s.lease(c)
	case Put, Delete:
		return s.table(c)
	case Config:
		return s.propose(c)
	}
	return Result{Code: "malformed"}
}

func (s *State) propose(c Command) Result {
	change, err := configlog.DecodeChange(c.Change)
	if err == nil {
		change, err = s.conf.Propose(change)
	}
	if err == nil {
		return Result{Version: change.Version}
	}
	code := "malformed"
	switch {
	case errors.Is(err, configlog.ErrConflict):
		code = "conflict"
	case errors.Is(err, configlog.ErrFull):
		code = "full"
	}
	why := strings.TrimPrefix(err.Error(), configlog.ErrConflict.Error()+": ")
	return Result{Code: code, Why: strings.ToValidUTF8(why[:min(len(why), maxWhy)], "")}
}

func (s *State) lease(c Command) Result {
	if c.Holder == "" || len(c.Holder) > MaxName || c.Op != Release && (c.TTL <= 0 || c.TTL > MaxTTL) {
		return Result{Code: "malformed"}
	}
	l, held := s.leases[c.Name]
	mine := held && l.Holder == c.Holder
	if c.Op != Acquire {
		mine = mine && l.Fence == c.Fence
		if !mine {
			return Result{Fence: l.Fence, Holder: l.Holder, Code: "lost"}
		}
	}
	switch {
	case c.Op == Release:
		delete(s.leases, c.Name)
		s.changed(Event{Lease: true, Name: c.Name, Gone: true})
		return Result{}
	case mine: // time alone changes, which is no news to anybody
		l.Until, l.TTL = max(l.Until, s.now+c.TTL), c.TTL
	case held:
		return Result{Fence: l.Fence, Holder: l.Holder, Code: "held"}
	case len(s.leases) >= MaxLeases:
		return Result{Code: "full"}
	default:
		s.changed(Event{Lease: true, Name: c.Name})
		l = Lease{Name: c.Name, Holder: c.Holder, Fence: s.rev, Until: s.now + c.TTL, TTL: c.TTL}
	}
	s.leases[c.Name] = l
	s.due = min(s.due, l.Until)
	return Result{Fence: l.Fence, Holder: l.Holder}
}

func (s *State) table(c Command) Result {
	e, ok := s.entries[c.Name]
	if len(c.Value) > MaxValue {
		return Result{Code: "malformed"}
	}
	if e.Rev != c.If || c.Op == Delete && !ok {
		return Result{Code: "changed"}
	}
	was, is := 0, 0
	if ok {
		was = len(c.Name) + len(e.Value)
	}
	if c.Op == Put {
		is = len(c.Name) + len(c.Value)
		if !ok && len(s.entries) >= MaxKeys || s.bytes+is-was > MaxBytes {
			return Result{Code: "full"}
		}
	}
	s.bytes += is - was
	s.changed(Event{Name: c.Name, Gone: c.Op == Delete})
	if c.Op == Delete {
		delete(s.entries, c.Name)
	} else {
		s.entries[c.Name] = Entry{c.Name, slices.Clone(c.Value), s.rev}
	}
	return Result{}
}

// expire ends the leases whose time is over, in the order of their ends, and forgets the
// sessions that have said nothing for long.
func (s *State) expire() {
	if s.now < s.due {
		return
	}
	s.due = s.now + sessionLife
	var over []Lease
	for _, l := range s.leases {
		if l.Until <= s.now {
			over = append(over, l)
		} else {
			s.due = min(s.due, l.Until)
		}
	}
	slices.SortFunc(over, func(a, b Lease) int {
		return cmp.Or(cmp.Compare(a.Until, b.Until), strings.Compare(a.Name, b.Name))
	})
	for _, l := range over {
		delete(s.leases, l.Name)
		s.changed(Event{Lease: true, Name: l.Name, Gone: true})
	}
	maps.DeleteFunc(s.sessions, func(_ string, x session) bool {
		s.due = min(s.due, max(s.now, x.Seen+sessionLife))
		return s.now-x.Seen >= sessionLife
	})
}

// changed gives a change the next revision.
func (s *State) changed(e Event) {
	s.rev++
	e.Rev = s.rev
	if len(s.events) == maxEvents {
		// Half at once, so that the slice moves seldom.
		s.forgot = s.events[maxEvents/2-1].Rev
		s.events = append(s.events[:0], s.events[maxEvents/2:]...)
	}
	s.events = append(s.events, e)
}

// Rev is the revision of the last change.
func (s *State) Rev() uint64 { return s.rev }

// Since gives the changes behind a revision, and false where some of them are forgotten:
// who watches is to read all anew.
func (s *State) Since(rev uint64) ([]Event, bool) {
	if rev < s.forgot || rev > s.rev {
		return nil, false
	}
	at, _ := slices.BinarySearchFunc(s.events, rev+1, func(e Event, rev uint64) int { return cmp.Compare(e.Rev, rev) })
	return slices.Clone(s.events[at:]), true
}

// Next is how long until the first lease ends, if nobody renews it, and false where none is
// held. Until a command lets the time pass, it does not end.
func (s *State) Next() (time.Duration, bool) {
	first, any := time.Duration(0), false
	for _, l := range s.leases {
		if !any || l.Until < first {
			first, any = l.Until, true
		}
	}
	return max(0, first-s.now), any
}

// Conf is the configuration. Whoever has it must not change it.
func (s *State) Conf() *configlog.State { return s.conf }

// Lease is a lease by its name.
func (s *State) Lease(name string) (Lease, bool) {
	l, ok := s.leases[name]
	return l, ok
}

// Leases are those whose names begin with a prefix, by their names.
func (s *State) Leases(prefix string) []Lease { return under(s.leases, prefix) }

// Entry is an entry by its key.
func (s *State) Entry(key string) (Entry, bool) {
	e, ok := s.entries[key]
	return e, ok
}

// Entries are those whose keys begin with a prefix, by their keys.
func (s *State) Entries(prefix string) []Entry { return under(s.entries, prefix) }

// under gives what stands under a prefix, in the order of the names; nil for nothing.
func under[T any](m map[string]T, prefix string) (all []T) {
	for _, name := range slices.Sorted(maps.Keys(m)) {
		if strings.HasPrefix(name, prefix) {
			all = append(all, m[name])
		}
	}
	return all
}
