package idempotency

import (
	"maps"
	"slices"
	"time"
)

// Later is the verdict on a request whose key cannot be decided about yet, as its owner
// changes: it has not run, and is to come back.
const Later Verdict = Pass + 1

// Kind is what a letter says.
type Kind uint8

// Asks wants a verdict, and Tells gives it. Copies has the second hold a record, or drop
// one, and Copied says that it does. Ends tells the owner how a run ended, and Ended that
// it is known. Holds is all that a member held of another's keys at a change, and Held says
// that it came. Leaves says that nobody waits any more and nothing was run, and Left that
// this is known. Probes asks a runner after its run: one that does not know of it has not
// run it, or has told its end.
const (
	Asks Kind = iota
	Tells
	Copies
	Copied
	Ends
	Ended
	Holds
	Held
	Leaves
	Left
	Probes
)

// Letter is a word from member to member, under the sender's epoch.
type Letter struct {
	Epoch   uint64
	Kind    Kind
	ID      uint64 // of the request or the copy that it is about
	Key     Key
	Digest  Digest
	Verdict Verdict
	Run     Ticket
	End     End
	Answer  Answer
	Records []Record // of Holds; one of Copies, or none to have the key dropped
}

// Mail is a letter on its way.
type Mail struct {
	To string
	Letter
}

// Told is what became of a request that was asked for here: Run with its ticket, whose end
// is to be told by End, Replay with the answer, or one of the verdicts that end it.
type Told struct {
	ID      uint64
	Verdict Verdict
	Run     Ticket
	Answer  Answer
}

// Member is one of several that own keys together. It is a state machine: what is asked and
// heard goes in, letters and verdicts come out, by Out. Letters may be late, lost, doubled
// or in another order: Tick sends again what was not answered.
type Member struct {
	self  string
	store *Store
	place *Place

	mail  []Mail
	told  []Told
	inbox []Letter // to itself

	last uint64
	asks map[uint64]ask // of this member, which have no verdict yet
	left map[uint64]Key // asks that nobody waits for, which their owners do not know yet
	runs map[Ticket]Key // of this member, until their owners know how they ended
	ends map[Ticket]end // those that have ended

	by      map[Asker]Ticket // those that wait here, or are to be told to run
	serving map[Ticket]Asker
	copies  map[uint64]copying // that are not confirmed
	holds   map[string]Letter  // that are not confirmed
	early   map[string]Letter  // of a table that this member does not have yet
	newest  map[string]uint64  // the last copy from each member under this table
	fresh   map[Key]bool       // copied here before all have told what they held, which is older
}

type ask struct {
	key    Key
	digest Digest
}

type end struct {
	key    Key
	how    End
	answer Answer
}

// Asker is a request and the member that it came to. A member's name is that of one life.
type Asker struct {
	From string
	ID   uint64
}

// copying is a copy that the second has yet to confirm, and what waits for that: a run that
// is to be told to its asker, one that is to be settled, an answer that is owed.
type copying struct {
	to     string
	letter Letter
	run    Ticket // to tell; 0 for none
	ended  Ticket // to settle as end says; 0 for none
	end
	owed  string // to whom; "" for nobody
	reply Letter
}

// NewMember is a member without a table, which decides about nothing.
func NewMember(self string, store *Store) *Member {
	return &Member{
		self: self, store: store, place: NewPlace(self), asks: make(map[uint64]ask), left: make(map[uint64]Key), runs: make(map[Ticket]Key), ends: make(map[Ticket]end),
		by: make(map[Asker]Ticket), serving: make(map[Ticket]Asker), copies: make(map[uint64]copying),
		holds: make(map[string]Letter), early: make(map[string]Letter), newest: make(map[string]uint64), fresh: make(map[Key]bool),
	}
}

// Out gives what is to be sent, and what is told here.
func (m *Member) Out() (mail []Mail, told []Told) {
	mail, told = m.mail, m.told
	m.mail, m.told = nil, nil
	return mail, told
}

// Lease says until when this member is one.
func (m *Member) Lease(until time.Duration) { m.place.Lease(until) }

// Ask asks for a request of this member. Its verdict comes by Out, sooner or later.
func (m *Member) Ask(now time.Duration, k Key, d Digest) (id uint64) {
	m.last++
	m.asks[m.last] = ask{k, d}
	m.request(m.last)
	m.settleInbox(now)
	return m.last
}

// Leave says that nobody waits for a request any more. Where it is told to run after all it
// does not.
func (m *Member) Leave(now time.Duration, id uint64) {
	if a, ok := m.asks[id]; ok {
		delete(m.asks, id)
		m.left[id] = a.key
		m.leave(id)
		m.settleInbox(now)
	}
}

func (m *Member) leave(id uint64) {
	if owner, _ := m.place.table.Order(m.left[id]); owner != "" {
		m.send(owner, Letter{Kind: Leaves, ID: id, Key: m.left[id]})
	}
}

// End tells how a run of this member ended.
func (m *Member) End(now time.Duration, run Ticket, k Key, how End, ans Answer) {
	m.ends[run] = end{k, how, ans}
	m.report(run)
	m.settleInbox(now)
}

// request sends a request to its key's owner.
func (m *Member) request(id uint64) {
	a := m.asks[id]
	if owner, _ := m.place.table.Order(a.key); owner != "" {
		m.send(owner, Letter{Kind: Asks, ID: id, Key: a.key, Digest: a.digest})
		return
	}
	m.decided(Told{ID: id, Verdict: Later})
}

func (m *Member) report(run Ticket) {
	e := m.ends[run]
	if owner, _ := m.place.table.Order(e.key); owner != "" {
		m.send(owner, Letter{Kind: Ends, Key: e.key, Run: run, End: e.how, Answer: e.answer})
	}
}

func (m *Member) decided(t Told) {
	delete(m.asks, t.ID)
	m.told = append(m.told, t)
}

func (m *Member) send(to string, l Letter) {
	l.Epoch = m.place.Epoch()
	if to == m.self {
		m.inbox = append(m.inbox, l)
		return
	}
	m.mail = append(m.mail, Mail{to, l})
}

// settleInbox hears what this member has told itself.
func (m *Member) settleInbox(now time.Duration) {
	for len(m.inbox) > 0 {
		l := m.inbox[0]
		m.inbox = m.inbox[1:]
		m.hear(now, m.self, l)
	}
}

// Tick sends again what has not been answered, and ends the runs that have taken longer
// than any may: whoever ran them is gone.
func (m *Member) Tick(now time.Duration) {
	m.repeat()
	for _, id := range slices.Sorted(maps.Keys(m.copies)) {
		c := m.copies[id]
		delete(m.copies, id)
		m.copy(now, c.letter.Key, c.to, c)
	}
	for _, to := range slices.Sorted(maps.Keys(m.holds)) {
		m.send(to, m.holds[to])
	}
	for _, k := range m.store.Keys() {
		e := m.store.entries[k]
		if duty, _, _ := m.place.Duty(now, k); duty == Owner && e.state == running && m.place.table.Has(e.runner.From) {
			m.send(e.runner.From, Letter{Kind: Probes, ID: e.runner.ID, Key: k, Run: e.owner})
		}
	}
	for _, run := range m.store.Overdue(now) {
		k := m.store.tickets[run].of.key
		if duty, _, second := m.place.Duty(now, k); duty == Owner {
			m.settle(now, k, run, end{k, MayHaveRun, Answer{Status: overdueStatus, Trimmed: true}}, second, "", Letter{})
		}
	}
	m.settleInbox(now)
}

// repeat sends again what owners have not answered.
func (m *Member) repeat() {
	for _, id := range slices.Sorted(maps.Keys(m.asks)) {
		m.request(id)
	}
	for _, id := range slices.Sorted(maps.Keys(m.left)) {
		m.leave(id)
	}
	for _, run := range slices.Sorted(maps.Keys(m.ends)) {
		m.report(run)
	}
}

// overdueStatus is what those that wait for a run whose process is gone are told.
const overdueStatus = 504

// Hear takes a letter.
func (m *Member) Hear(now time.Duration, from string, l Letter) {
	m.hear(now, from, l)
	m.settleInbox(now)
}

func (m *Member) hear(now time.Duration, from string, l Letter) {
	switch l.Kind {
	case Ended: // whichever table it was under, the owner and its second know
		delete(m.ends, l.Run)
		delete(m.runs, l.Run)
		return
	case Left:
		delete(m.left, l.ID)
		return
	case Tells:
		m.hearTold(l)
		return
	case Probes:
		if _, open := m.asks[l.ID]; !open {
			m.disown(l)
		}
		return
	case Holds:
		if l.Epoch > m.place.Epoch() {
			if m.early[from].Epoch <= l.Epoch {
				m.early[from] = l
			}
			return
		}
	}
	if l.Epoch != m.place.Epoch() {
		return // it is sent again under the table that its sender has then
	}
	switch l.Kind {
	case Asks:
		m.hearAsk(now, Asker{from, l.ID}, l)
	case Copies:
		m.hearCopy(now, from, l)
	case Copied:
		if c, ok := m.copies[l.ID]; ok && c.to == from {
			delete(m.copies, l.ID)
			m.copied(now, c)
		}
	case Ends:
		m.hearEnd(now, from, l)
	case Holds:
		m.hearHolds(now, from, l)
	case Held:
		if delete(m.holds, from); len(m.holds) == 0 {
			m.shed()
		}
	case Leaves:
		m.hearLeave(now, Asker{from, l.ID}, l)
	}
}

// hearCopy holds what the owner holds. A copy that a later one has overtaken is not taken:
// it is sent again, as the key is then.
func (m *Member) hearCopy(now time.Duration, from string, l Letter) {
	if l.ID <= m.newest[from] {
		return
	}
	m.newest[from] = l.ID
	if len(m.place.from) > 0 {
		m.fresh[l.Key] = true
	}
	// The owner's word goes before what is known here, which may be about to be forgotten.
	m.forget(m.store.Drop(l.Key))
	if len(l.Records) > 0 {
		m.forget(m.store.Adopt(now, l.Records[0]))
	}
	m.send(from, Letter{Kind: Copied, ID: l.ID})
}

// hearTold takes a verdict, under whichever table it was given. One to run that nobody
// waits for here does not run, and its owner is told so.
func (m *Member) hearTold(l Letter) {
	if _, open := m.asks[l.ID]; open {
		if l.Verdict == Run {
			m.runs[l.Run] = l.Key
		}
		m.decided(Told{l.ID, l.Verdict, l.Run, l.Answer})
		return
	}
	if l.Verdict == Run {
		m.disown(l)
	}
}

// disown tells that a run which is not known here does not run.
func (m *Member) disown(l Letter) {
	if _, mine := m.runs[l.Run]; !mine {
		m.runs[l.Run] = l.Key
		m.ends[l.Run] = end{key: l.Key, how: NeverRan}
		m.report(l.Run)
	}
}

func (m *Member) hearAsk(now time.Duration, who Asker, l Letter) {
	if _, again := m.by[who]; again {
		return // its verdict comes
	}
	duty, _, second := m.place.Duty(now, l.Key)
	if duty != Owner {
		m.send(who.From, Letter{Kind: Tells, ID: who.ID, Verdict: Later})
		return
	}
	if e := m.store.entries[l.Key]; e != nil && e.state == running && e.runner == who {
		// It was told, here or by the owner before, and has not heard.
		m.serve(e.owner, who)
		m.copy(now, l.Key, second, copying{run: e.owner})
		return
	}
	v, t, ans := m.store.Arrive(now, l.Key, l.Digest)
	switch v {
	case Run:
		m.serve(t, who)
		m.run(now, l.Key, t, second, copying{})
	case Wait:
		m.serve(t, who)
	default:
		m.send(who.From, Letter{Kind: Tells, ID: who.ID, Verdict: v, Answer: ans})
	}
}

// run has a run told to its asker, once the second knows of it.
func (m *Member) run(now time.Duration, k Key, t Ticket, second string, c copying) {
	c.run = t
	m.store.entries[k].runner = m.serving[t]
	m.copy(now, k, second, c)
}

// hearLeave forgets a request that nobody waits for. Where it was to run it has not.
func (m *Member) hearLeave(now time.Duration, who Asker, l Letter) {
	duty, _, second := m.place.Duty(now, l.Key)
	if duty != Owner {
		return // it is told again
	}
	left := Letter{Kind: Left, ID: l.ID}
	e := m.store.entries[l.Key]
	if e != nil && e.state == running && e.runner == who {
		m.never(now, l.Key, e.owner, second, who.From, left)
		return
	}
	if t, ok := m.by[who]; ok {
		m.store.Gone(t)
		m.forget([]Ticket{t})
	}
	m.send(who.From, left)
}

// never ends a run that did not run: the next that waits runs, or the key is free. Whoever
// said so is answered once the second knows.
func (m *Member) never(now time.Duration, k Key, run Ticket, second, owed string, reply Letter) {
	m.forget([]Ticket{run})
	maps.DeleteFunc(m.copies, func(_ uint64, c copying) bool { return c.run == run })
	c := copying{owed: owed, reply: reply}
	if next := m.store.Settle(now, run, NeverRan, Answer{}); next.Runner != 0 {
		m.run(now, k, next.Runner, second, c)
		return
	}
	m.copy(now, k, second, c)
}

func (m *Member) serve(t Ticket, who Asker) { m.by[who], m.serving[t] = t, who }

// forget forgets who is behind tickets.
func (m *Member) forget(all []Ticket) {
	for _, t := range all {
		delete(m.by, m.serving[t])
		delete(m.serving, t)
	}
}

// copy has the second of a key hold it as it is here, or as c's end makes it, and goes on
// once it does.
func (m *Member) copy(now time.Duration, k Key, second string, c copying) {
	if second == "" {
		m.copied(now, c)
		return
	}
	m.last++
	c.to, c.letter = second, Letter{Kind: Copies, ID: m.last, Key: k}
	r, ok := m.store.Record(now, k)
	if ended, is := m.store.Ended(now, k, c.ended, c.how, c.end.answer); is {
		r = ended
	}
	if ok {
		c.letter.Records = []Record{r}
	}
	m.copies[m.last] = c
	m.send(second, c.letter)
}

// copied goes on with what waited for a copy.
func (m *Member) copied(now time.Duration, c copying) {
	if who, ok := m.serving[c.run]; ok && c.run != 0 {
		m.forget([]Ticket{c.run})
		m.send(who.From, Letter{Kind: Tells, ID: who.ID, Verdict: Run, Run: c.run, Key: m.store.tickets[c.run].of.key})
	}
	if c.ended != 0 {
		m.tell(m.store.Settle(now, c.ended, c.how, c.end.answer).Waiters, c.end.answer)
	}
	if c.owed != "" {
		m.send(c.owed, c.reply)
	}
}

// tell gives those that waited the answer.
func (m *Member) tell(all []Ticket, ans Answer) {
	for _, t := range all {
		if who, ok := m.serving[t]; ok {
			m.send(who.From, Letter{Kind: Tells, ID: who.ID, Verdict: Replay, Answer: ans})
		}
	}
	m.forget(all)
}

func (m *Member) hearEnd(now time.Duration, from string, l Letter) {
	duty, _, second := m.place.Duty(now, l.Key)
	if duty != Owner {
		return // it is told again
	}
	known := Letter{Kind: Ended, Run: l.Run}
	a := m.store.tickets[l.Run]
	switch {
	case a == nil || a.of.key != l.Key || a.of.owner != l.Run:
		m.send(from, known)
	case l.End == NeverRan:
		m.never(now, l.Key, l.Run, second, from, known)
	default:
		m.settle(now, l.Key, l.Run, end{l.Key, l.End, l.Answer}, second, from, known)
	}
}

// settle ends a run of a key of this member, once its second knows.
func (m *Member) settle(now time.Duration, k Key, run Ticket, e end, second, owed string, reply Letter) {
	for _, c := range m.copies {
		if c.ended == run {
			return // under way
		}
	}
	m.copy(now, k, second, copying{ended: run, end: e, owed: owed, reply: reply})
}

// Change takes a newer table. Each other member is told what is held here of its keys, and
// nothing is decided before all have told the same.
func (m *Member) Change(now time.Duration, t Table) {
	if !m.place.Change(t) {
		return
	}
	// What waited for a copy is asked for again: by its asker, or by its runner. A run that
	// its asker was not told of is known by its record, here or at the new owner.
	for _, c := range m.copies {
		m.forget([]Ticket{c.run})
	}
	clear(m.copies)
	clear(m.holds)
	clear(m.newest)
	clear(m.fresh)
	for _, to := range t.members {
		if to == m.self {
			continue
		}
		l := Letter{Epoch: t.Epoch, Kind: Holds}
		for _, k := range m.place.Moved(m.store, to) {
			if r, ok := m.store.Record(now, k); ok {
				l.Records = append(l.Records, r)
			}
		}
		m.holds[to] = l
		m.send(to, l)
	}
	for _, k := range m.store.Keys() {
		if owner, _ := t.Order(k); owner != m.self { // who waits here asks anew, there
			r, _ := m.store.Record(now, k)
			m.forget(m.store.Drop(k))
			m.store.Adopt(now, r)
		}
	}
	if len(m.holds) == 0 {
		m.shed()
	}
	m.repeat()
	for _, from := range slices.Sorted(maps.Keys(m.early)) {
		if l := m.early[from]; l.Epoch <= t.Epoch {
			delete(m.early, from)
			m.hear(now, from, l)
		}
	}
	m.settleInbox(now)
}

// shed forgets the keys of others, now that these have them: until then they could be lost
// with the next change.
func (m *Member) shed() {
	for _, k := range m.store.Keys() {
		if !m.place.Kept(k) {
			m.forget(m.store.Drop(k))
		}
	}
}

// hearHolds takes in what another held of this member's keys.
func (m *Member) hearHolds(now time.Duration, from string, l Letter) {
	if m.place.from[from] {
		for _, r := range l.Records {
			if !m.fresh[r.Key] && m.place.Kept(r.Key) {
				m.forget(m.store.Adopt(now, r))
			}
		}
		m.place.Heard(from, l.Epoch)
		if len(m.place.from) == 0 {
			clear(m.fresh)
		}
	}
	m.send(from, Letter{Kind: Held})
}
