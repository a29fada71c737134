package idempotency

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestOrder has a key's second be its owner once the owner has gone, and a member that
// comes take keys for itself alone.
func TestOrder(t *testing.T) {
	members := []string{"a", "b", "c", "d", "e"}
	all, err := NewTable(1, members)
	if err != nil {
		t.Fatal(err)
	}
	owned := make(map[string]int)
	for i := range 2000 {
		k := Key{"t", "credit", fmt.Sprint(i)}
		owner, second := all.Order(k)
		owned[owner]++
		left, err := NewTable(2, slices.DeleteFunc(slices.Clone(members), func(m string) bool { return m == owner }))
		if err != nil {
			t.Fatal(err)
		}
		if next, _ := left.Order(k); next != second || owner == second {
			t.Fatalf("%v: %s, then %s; without the first %s", k, owner, second, next)
		}
	}
	for _, m := range members {
		if owned[m] < 300 || owned[m] > 500 {
			t.Errorf("%s owns %d of 2000 keys", m, owned[m])
		}
	}
	if owner, second := (Table{}).Order(Key{}); owner != "" || second != "" {
		t.Error("nobody owns keys")
	}
	for _, bad := range [][]string{{"a", "a"}, {""}, make([]string, maxMembers+1)} {
		if _, err := NewTable(1, bad); err == nil {
			t.Errorf("%d members are taken", len(bad))
		}
	}
}

// peer is one member in the simulated group.
type peer struct {
	store *Store
	place *Place
	told  []Table // the group's tables that it has not heard of yet
}

// letter is what one member tells another at a change.
type letter struct {
	from, to string
	epoch    uint64
	records  []Record
}

// cluster is members, what is on its way between them, and what has run.
type cluster struct {
	r       *rapid.T
	set     Settings
	now     time.Duration
	peers   map[string]*peer
	table   Table
	letters []letter
	runs    map[Ticket]Key
	effects map[Key]time.Duration // the last one
	born    int
}

func (c *cluster) join() {
	c.born++
	name := fmt.Sprint("m", c.born)
	set := c.set
	set.First = Ticket(c.born) << 32
	s, err := New(set)
	if err != nil {
		c.r.Fatal(err)
	}
	p := &peer{store: s, place: NewPlace(name)}
	p.place.Lease(1 << 62)
	c.peers[name] = p
	c.change()
}

// change has the group agree on those that there are. Each hears of it in its own time.
func (c *cluster) change() {
	t, err := NewTable(c.table.Epoch+1, slices.Sorted(maps.Keys(c.peers)))
	if err != nil {
		c.r.Fatal(err)
	}
	c.table = t
	for _, p := range c.peers {
		p.told = append(p.told, t)
	}
}

// quiet says whether every member has heard all there is to hear.
func (c *cluster) quiet() bool {
	for _, p := range c.peers {
		if len(p.told) > 0 || len(p.place.from) > 0 {
			return false
		}
	}
	return len(c.letters) == 0
}

// hear has a member take the next table, and tell all others.
func (c *cluster) hear(name string) {
	p := c.peers[name]
	if len(p.told) == 0 {
		return
	}
	p.place.Change(p.told[0])
	p.told = p.told[1:]
	for _, other := range slices.Sorted(maps.Keys(c.peers)) {
		if other == name || !p.place.table.Has(other) {
			continue
		}
		l := letter{from: name, to: other, epoch: p.place.Epoch()}
		for _, k := range p.place.Moved(p.store, other) {
			if rec, ok := p.store.Record(c.now, k); ok {
				l.records = append(l.records, rec)
			}
		}
		c.letters = append(c.letters, l)
	}
}

// deliver brings a letter, in no order. One from a later epoch waits.
func (c *cluster) deliver(i int) {
	l := c.letters[i]
	p := c.peers[l.to]
	if p != nil && p.place.Epoch() < l.epoch {
		return
	}
	c.letters = slices.Delete(c.letters, i, i+1)
	if p == nil || p.place.Epoch() > l.epoch {
		return
	}
	for _, rec := range l.records {
		p.store.Adopt(c.now, rec)
	}
	p.place.Heard(l.from, l.epoch)
}

// copied has the second of a key hold what its owner has, and says false where it cannot.
func (c *cluster) copied(owner *peer, second string, k Key) bool {
	if second == "" {
		return true
	}
	b := c.peers[second]
	if b == nil || b.place.Epoch() != owner.place.Epoch() {
		return false
	}
	if rec, ok := owner.store.Record(c.now, k); ok {
		b.store.Adopt(c.now, rec)
	} else {
		b.store.Drop(k)
	}
	return true
}

// ask has a request come in anywhere.
func (c *cluster) ask(at string, k Key) {
	p := c.peers[at]
	duty, owner, second := p.place.Duty(c.now, k)
	if duty == Elsewhere {
		if p = c.peers[owner]; p == nil {
			return
		}
		duty, _, second = p.place.Duty(c.now, k)
	}
	if duty != Owner {
		return
	}
	v, run, _ := p.store.Arrive(c.now, k, Digest{1})
	switch v {
	case Wait:
		p.store.Gone(run) // its client has no patience
	case Run:
		if !c.copied(p, second, k) {
			p.store.Settle(c.now, run, NeverRan, Answer{}) // nobody has sent it
			return
		}
		if at, ok := c.effects[k]; ok && c.now < at+c.set.Classes[k.Class].Keep {
			c.r.Fatalf("%v runs at %v; it took effect at %v", k, c.now, at)
		}
		for _, other := range c.runs {
			if other == k {
				c.r.Fatalf("%v runs twice at a time", k)
			}
		}
		c.runs[run] = k
	}
}

// end ends a run, wherever its key is owned by now. Until the owner can take it the runner
// keeps trying.
func (c *cluster) end(run Ticket, how End) {
	k := c.runs[run]
	owner, _ := c.table.Order(k)
	p := c.peers[owner]
	duty, _, second := p.place.Duty(c.now, k)
	if duty != Owner {
		return
	}
	if b := c.peers[second]; second != "" && (b == nil || b.place.Epoch() != p.place.Epoch()) {
		return // the end is not told before its copy can be
	}
	delete(c.runs, run)
	if how != NeverRan {
		c.effects[k] = c.now
	}
	if p.store.tickets[run] == nil {
		c.r.Fatalf("%s does not know the run of %v", owner, k)
	}
	p.store.Settle(c.now, run, how, Answer{Status: 200})
	c.copied(p, second, k)
}

// TestGroup has members come and crash at random, tables and records be late and in no
// order, and requests come in anywhere: no key runs while it runs, nor while it is
// remembered that it may have run. One member crashes at a time, once the others have told
// each other all: with its second gone too, a key would be lost.
func TestGroup(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		set := settings()
		set.Entries, set.Bytes, set.TenantShare = 1000, 1<<20, 1
		c := &cluster{r: r, set: set, peers: make(map[string]*peer), runs: make(map[Ticket]Key), effects: make(map[Key]time.Duration)}
		c.join()
		c.join()
		c.join()
		names := func() []string { return slices.Sorted(maps.Keys(c.peers)) }
		for range rapid.IntRange(1, 400).Draw(r, "steps") {
			c.now += time.Duration(rapid.IntRange(0, 300).Draw(r, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 11).Draw(r, "what") {
			case 0:
				if len(c.peers) < 6 {
					c.join()
				}
			case 1:
				if len(c.peers) > 2 && c.quiet() {
					delete(c.peers, rapid.SampledFrom(names()).Draw(r, "crashes"))
					c.change()
				}
			case 2, 3, 4:
				c.hear(rapid.SampledFrom(names()).Draw(r, "hears"))
			case 5, 6, 7:
				if len(c.letters) > 0 {
					c.deliver(rapid.IntRange(0, len(c.letters)-1).Draw(r, "letter"))
				}
			case 8, 9, 10:
				c.ask(rapid.SampledFrom(names()).Draw(r, "asked"), Key{"t", "credit", fmt.Sprint(rapid.IntRange(0, 5).Draw(r, "key"))})
			case 11:
				if runs := slices.Sorted(maps.Keys(c.runs)); len(runs) > 0 {
					c.end(rapid.SampledFrom(runs).Draw(r, "run"), End(rapid.IntRange(0, 2).Draw(r, "end")))
				}
			}
		}
	})
}

// TestLease has a member that has not heard from the group decide about nothing once
// another may own its keys, and one that hears an old table take no notice.
func TestLease(t *testing.T) {
	p := NewPlace("a")
	table, err := NewTable(3, []string{"a"})
	if err != nil || !p.Change(table) || p.Change(table) {
		t.Fatalf("%v", err)
	}
	p.Lease(5 * time.Second)
	p.Lease(2 * time.Second) // a late word takes nothing back
	for at, want := range map[time.Duration]Duty{4 * time.Second: Owner, 5 * time.Second: Soon} {
		if d, _, _ := p.Duty(at, Key{"t", "credit", "1"}); d != want {
			t.Errorf("at %v: %d", at, d)
		}
	}
}

// TestOverdue has a run whose process is gone be told, so that it ends as one that may
// have run.
func TestOverdue(t *testing.T) {
	s := made(t, settings())
	k := Key{"a", "credit", "k"}
	_, run, _ := s.Arrive(0, k, Digest{1})
	if got := s.Overdue(59 * time.Second); len(got) != 0 {
		t.Errorf("%v is overdue early", got)
	}
	got := s.Overdue(time.Minute)
	if len(got) != 1 || got[0] != run {
		t.Fatalf("%v is overdue, not %d", got, run)
	}
	s.Settle(time.Minute, run, MayHaveRun, Answer{Status: 504})
	if v, _, ans := s.Arrive(time.Minute, k, Digest{1}); v != Replay || ans.Status != 504 || len(s.Overdue(time.Hour)) != 0 {
		t.Errorf("a repeat gets %d, %+v", v, ans)
	}
}

// TestStaleWords has a member take no word of another epoch, and no run for one that has
// ended.
func TestStaleWords(t *testing.T) {
	p := NewPlace("a")
	p.Lease(time.Hour)
	for epoch := uint64(1); epoch <= 2; epoch++ {
		table, err := NewTable(epoch, []string{"a", "b"})
		if err != nil || !p.Change(table) {
			t.Fatalf("epoch %d: %v", epoch, err)
		}
	}
	k := Key{"t", "credit", "0"}
	for i := 0; ; i++ { // one that a owns
		if k.Text = fmt.Sprint(i); p.Kept(k) {
			if owner, _ := p.table.Order(k); owner == "a" {
				break
			}
		}
	}
	for epoch, want := range []Duty{1: Soon, 2: Owner} {
		if p.Heard("b", uint64(epoch)); epoch > 0 {
			if d, _, second := p.Duty(0, k); d != want || second != "b" {
				t.Errorf("after a word of epoch %d: %d, with a copy at %q", epoch, d, second)
			}
		}
	}

	s := made(t, settings())
	run := Record{Key: k, Digest: Digest{1}, Running: true, Run: 99, Left: time.Minute}
	s.Adopt(0, run)
	_, waits, _ := s.Arrive(0, k, Digest{1})
	ended := Record{Key: k, Digest: Digest{1}, Answer: Answer{Status: 201}, Left: time.Hour}
	if got := s.Adopt(time.Second, ended); !slices.Equal(got, []Ticket{waits}) {
		t.Errorf("its end goes to %v, %d waits", got, waits)
	}
	s.Adopt(time.Second, run)
	if v, _, ans := s.Arrive(2*time.Second, k, Digest{1}); v != Replay || ans.Status != 201 {
		t.Errorf("a late word of its run made it %d, %+v", v, ans)
	}
	if v, _, _ := s.Arrive(12*time.Second, k, Digest{1}); v != Run {
		t.Errorf("what another member keeps for an hour, and this class for 10 s, is %d", v)
	}
	_, waits, _ = s.Arrive(12*time.Second, k, Digest{1})
	if got := s.Drop(k); !slices.Equal(got, []Ticket{waits}) || len(s.tickets) != 0 {
		t.Errorf("dropped, it gives back %v, and %d are left", got, len(s.tickets))
	}
}
