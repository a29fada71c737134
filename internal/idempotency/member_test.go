package idempotency

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// work is a request that runs somewhere in the simulation.
type work struct {
	at    string
	key   Key
	since time.Duration
}

// post is members, the letters between them, and what has run.
type post struct {
	r       *rapid.T
	now     time.Duration
	keep    time.Duration
	members map[string]*Member
	tables  map[string][]Table // that a member has not heard of yet
	table   Table
	letters []addressed
	asked   map[string]Key // by member and id
	runs    map[Ticket]work
	effects map[Key]time.Duration
	answers map[Key][]int // the statuses of its effects: an old one may still be on its way
	born    int
	verdict int
}

type addressed struct {
	from string
	Mail
}

func (p *post) join() {
	p.born++
	name := fmt.Sprint("m", p.born)
	set := settings()
	set.Entries, set.Bytes, set.TenantShare, set.First = 1000, 1<<20, 1, Ticket(p.born)<<32
	s, err := New(set)
	if err != nil {
		p.r.Fatal(err)
	}
	p.keep = set.Classes["credit"].Keep
	p.members[name] = NewMember(name, s)
	p.members[name].Lease(1 << 62)
	p.change()
}

func (p *post) change() {
	t, err := NewTable(p.table.Epoch+1, slices.Sorted(maps.Keys(p.members)))
	if err != nil {
		p.r.Fatal(err)
	}
	p.table = t
	for name := range p.members {
		p.tables[name] = append(p.tables[name], t)
	}
}

// collect takes what a member has to say. What it tells to run runs.
func (p *post) collect(name string) {
	mail, told := p.members[name].Out()
	for _, l := range mail {
		p.letters = append(p.letters, addressed{name, l})
	}
	for _, t := range told {
		who := fmt.Sprint(name, "#", t.ID)
		k, open := p.asked[who]
		if !open {
			p.r.Fatalf("%s is told %d twice, or was never asked", who, t.Verdict)
		}
		delete(p.asked, who)
		p.verdict++
		switch t.Verdict {
		case Run:
			if at, ok := p.effects[k]; ok && p.now < at+p.keep {
				p.r.Fatalf("%v runs at %v; it took effect at %v", k, p.now, at)
			}
			for _, other := range p.runs {
				if other.key == k {
					p.r.Fatalf("%v runs twice at a time", k)
				}
			}
			p.runs[t.Run] = work{name, k, p.now}
		case Replay:
			late := t.Answer.Status == overdueStatus && p.born > len(p.members) // its runner crashed
			if !late && !slices.Contains(p.answers[k], t.Answer.Status) {
				p.r.Fatalf("%v: %s is told %d, its effects were answered with %v", k, who, t.Answer.Status, p.answers[k])
			}
		}
	}
}

// ends ends a run.
func (p *post) ends(t Ticket, how End) {
	x := p.runs[t]
	delete(p.runs, t)
	if how != NeverRan {
		p.effects[x.key] = p.now
		p.answers[x.key] = append(p.answers[x.key], 200+int(t%100))
	}
	p.members[x.at].End(p.now, t, x.key, how, Answer{Status: 200 + int(t%100)})
	p.collect(x.at)
}

// deliver brings a letter, or one of those that are to come still once more.
func (p *post) deliver(i int, again bool) {
	l := p.letters[i]
	if !again {
		p.letters = slices.Delete(p.letters, i, i+1)
	}
	if m := p.members[l.To]; m != nil {
		m.Hear(p.now, l.from, l.Letter)
		p.collect(l.To)
	}
}

func (p *post) hear(name string) {
	if len(p.tables[name]) > 0 {
		t := p.tables[name][0]
		p.tables[name] = p.tables[name][1:]
		p.members[name].Change(p.now, t)
		p.collect(name)
	}
}

func (p *post) names() []string { return slices.Sorted(maps.Keys(p.members)) }

// calm says whether the members have told each other all.
func (p *post) calm() bool {
	for name, m := range p.members {
		if len(p.tables[name]) > 0 || len(m.place.from)+len(m.holds)+len(m.copies)+len(m.ends)+len(m.left) > 0 {
			return false
		}
	}
	return true
}

// settle delivers all there is, with ticks, until nothing is left to say: all is told but
// what waits for runs or, where these are to end, all.
func (p *post) settle(end bool) {
	for i := range 200 {
		if end && i == 100 {
			p.now += 2 * time.Minute // the runs of those that crashed are over
		}
		for _, name := range p.names() {
			for len(p.tables[name]) > 0 {
				p.hear(name)
			}
		}
		for len(p.letters) > 0 {
			p.deliver(0, false)
		}
		if end {
			for _, t := range slices.Sorted(maps.Keys(p.runs)) {
				p.ends(t, Answered)
			}
		}
		if p.calm() && len(p.letters) == 0 && (!end || len(p.asked) == 0) {
			return
		}
		for _, name := range p.names() {
			p.members[name].Tick(p.now)
			p.collect(name)
		}
	}
	p.r.Fatalf("it does not come to rest: %d asked, %d letters, %d runs", len(p.asked), len(p.letters), len(p.runs))
}

// TestMembers has members come and crash, letters be late, lost, doubled and in any order,
// and requests come in anywhere and leave: no key runs while it runs, nor while it is
// remembered that it has; every request is told one thing; all are told the same answer;
// and in the end nothing is left. One crashes at a time, once the others have told each
// other all, and with it nothing that runs: its runs would be ended for it.
func TestMembers(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		p := &post{
			r: r, members: make(map[string]*Member), tables: make(map[string][]Table), asked: make(map[string]Key),
			runs: make(map[Ticket]work), effects: make(map[Key]time.Duration), answers: make(map[Key][]int),
		}
		p.join()
		p.join()
		p.join()
		for range rapid.IntRange(1, 300).Draw(r, "steps") {
			p.now += time.Duration(rapid.IntRange(0, 100).Draw(r, "ms")) * time.Millisecond
			name := rapid.SampledFrom(p.names()).Draw(r, "member")
			switch what := rapid.IntRange(0, 19).Draw(r, "what"); {
			case what == 0 && len(p.members) < 6:
				p.join()
			case what == 1 && len(p.members) > 2:
				p.settle(false)
				busy := slices.ContainsFunc(slices.Collect(maps.Values(p.runs)), func(x work) bool { return x.at == name })
				for id := range p.members[name].asks {
					busy = busy || p.asked[fmt.Sprint(name, "#", id)] != Key{}
				}
				if !busy {
					delete(p.members, name)
					delete(p.tables, name)
					p.change()
				}
			case what <= 4:
				p.hear(name)
			case what == 5:
				p.members[name].Tick(p.now)
				p.collect(name)
			case what == 6 && len(p.letters) > 0:
				i := rapid.IntRange(0, len(p.letters)-1).Draw(r, "lost")
				p.letters = slices.Delete(p.letters, i, i+1)
			case what <= 11 && len(p.letters) > 0:
				p.deliver(rapid.IntRange(0, len(p.letters)-1).Draw(r, "letter"), what == 7)
			case what <= 16:
				k := Key{"t", "credit", fmt.Sprint(rapid.IntRange(0, 3).Draw(r, "key"))}
				m := p.members[name]
				p.asked[fmt.Sprint(name, "#", m.last+1)] = k
				m.Ask(p.now, k, Digest{1})
				p.collect(name)
			case what == 17:
				if open := slices.Sorted(maps.Keys(p.members[name].asks)); len(open) > 0 {
					id := rapid.SampledFrom(open).Draw(r, "leaves")
					delete(p.asked, fmt.Sprint(name, "#", id))
					p.members[name].Leave(p.now, id)
					p.collect(name)
				}
			default:
				if runs := slices.Sorted(maps.Keys(p.runs)); len(runs) > 0 {
					p.ends(rapid.SampledFrom(runs).Draw(r, "run"), End(rapid.IntRange(0, 2).Draw(r, "end")))
				}
			}
		}
		p.settle(true)
		p.now += 2 * time.Minute // those that wait for runs of members that crashed wait no more
		for _, name := range p.names() {
			p.members[name].Tick(p.now)
			p.collect(name)
		}
		p.settle(true)
		for name, m := range p.members {
			if len(m.by)+len(m.serving)+len(m.left)+len(m.runs) > 0 {
				r.Fatalf("%s is left with %d that wait, %d that left, %d runs", name, len(m.by), len(m.left), len(m.runs))
			}
		}
	})
}

// TestSecond has the member that holds a copy take its owner's newest word, and no older
// one: neither a copy that was overtaken, nor what another member held at the change. What
// it believes to be remembered longer than its owner does goes.
func TestSecond(t *testing.T) {
	three, err := NewTable(1, []string{"a", "b", "c"})
	if err != nil {
		t.Fatal(err)
	}
	k := Key{"t", "credit", ""}
	for i := 0; ; i++ {
		k.Text = fmt.Sprint(i)
		if owner, second := three.Order(k); owner == "a" && second == "b" {
			break
		}
	}
	run := func(t Ticket) Record {
		return Record{Key: k, Digest: Digest{1}, Running: true, Run: t, Left: time.Minute}
	}
	ended := Record{Key: k, Digest: Digest{1}, Answer: Answer{Status: 201}, Left: 10 * time.Second}
	copyOf := func(id uint64, r Record) Letter {
		return Letter{Epoch: 1, Kind: Copies, ID: id, Key: k, Records: []Record{r}}
	}
	holds := Letter{Epoch: 1, Kind: Holds, Records: []Record{run(7)}}
	for name, c := range map[string]struct {
		letters []Letter // from the owner, or the third
		want    Record
	}{
		"overtaken":      {[]Letter{copyOf(2, ended), copyOf(1, run(7))}, ended},
		"held elsewhere": {[]Letter{copyOf(1, run(9)), holds}, run(9)},
		"remembered":     {[]Letter{copyOf(1, ended), copyOf(2, run(9))}, run(9)},
	} {
		b := NewMember("b", made(t, settings()))
		b.Change(0, three)
		for _, l := range c.letters {
			from := "a"
			if l.Kind == Holds {
				from = "c"
			}
			b.Hear(0, from, l)
		}
		got, ok := b.store.Record(0, k)
		if !ok || got.Running != c.want.Running || got.Run != c.want.Run || got.Answer.Status != c.want.Answer.Status {
			t.Errorf("%s: %+v, want %+v", name, got, c.want)
		}
	}
}
