package membership

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	_ "jasperpin/internal/seeded"

	"pgregory.net/rapid"
)

// process is one life in the model: its view, and whether it runs.
type process struct {
	v     *View
	alive bool
}

// fleet is a model of processes that tell each other records, or fail to.
type fleet struct {
	t       *rapid.T
	now     time.Duration
	procs   []*process
	lives   map[string]uint64 // the newest of each name
	letters []Record          // on their way, for ever
}

func (f *fleet) start(name string, place uint64, alone bool) {
	f.lives[name]++
	ended := f.lives[name] - 1 // unless one before runs on, as beside a new version
	for _, p := range f.alive() {
		if p.v.self.Identity == (Identity{name, place}) {
			ended = min(ended, p.v.self.Incarnation-1)
		}
	}
	self := Record{ID: ID{Identity{Name: name, Place: place}, f.lives[name]}, Site: "s", Weight: float64(1 + len(name)%3), Ended: ended}
	v, err := New(Options{Alone: alone, Silent: time.Second}, self, f.now)
	if err != nil {
		f.t.Fatal(err)
	}
	f.procs = append(f.procs, &process{v, true})
}

func (f *fleet) tell(to *process, records ...Record) {
	for _, r := range records {
		if _, err := to.v.Hear(f.now, r); err != nil && !errors.Is(err, ErrName) {
			f.t.Fatalf("%v of %+v", err, r)
		}
	}
}

func (f *fleet) alive() (all []*process) {
	return slices.DeleteFunc(slices.Clone(f.procs), func(p *process) bool { return !p.alive })
}

// check holds the sum of all parts in use to one.
func (f *fleet) check() {
	sum := 0.0
	for _, p := range f.alive() {
		sum += p.v.Part()
	}
	if sum > 1+1e-9 {
		for _, p := range f.alive() {
			f.t.Logf("%v: part %.3f of %v", p.v.self, p.v.Part(), p.v.MayServe())
		}
		f.t.Fatalf("parts add up to %v", sum)
	}
}

// TestPartsNeverAddUpToMore plays joins, leaves, deaths and new lives while records get lost,
// doubled, late and out of order, and some processes hear nothing for long: at every instant the
// parts of those that run are one at most. Once all is told they are one.
func TestPartsNeverAddUpToMore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{t: t, lives: make(map[string]uint64)}
		f.start("n0", 0, true)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			f.now += time.Millisecond
			alive := f.alive()
			any := func(label string) *process { return alive[rapid.IntRange(0, len(alive)-1).Draw(t, label)] }
			switch op := rapid.IntRange(0, 12).Draw(t, "op"); {
			case op == 0 && len(f.procs) < 14: // a new member, or an ended one's next life
				f.start(fmt.Sprint("n", rapid.IntRange(0, 9).Draw(t, "name")), rapid.Uint64Range(0, 1).Draw(t, "place"), false)
			case op == 1 && len(alive) > 1:
				any("killed").alive = false
			case op == 2 && len(alive) > 2:
				p := any("leaver")
				p.v.Leave()
				f.letters = append(f.letters, p.v.Record())
				p.alive = rapid.Bool().Draw(t, "stays a while")
			case op == 3: // proof of an end comes to one
				p := f.procs[rapid.IntRange(0, len(f.procs)-1).Draw(t, "ended")]
				if !p.alive {
					any("told").v.Ended(p.v.self)
				}
			case op == 12: // others know that these are all, and tell one that counts them
				p := any("whole")
				if !slices.ContainsFunc(alive, func(o *process) bool { return !p.v.Counts(o.v.self) }) {
					p.v.Whole()
				}
			case op <= 5: // a full exchange
				a, b := any("a"), any("b")
				from := a.v.All()
				f.tell(a, b.v.All()...)
				f.tell(b, from...)
			case op <= 8: // a word of somebody's, as one holds it, goes out
				held := any("sender").v.All()
				f.letters = append(f.letters, held[rapid.IntRange(0, len(held)-1).Draw(t, "word")])
			case len(f.letters) > 0: // and one comes, for the first time or again
				f.tell(any("reader"), f.letters[rapid.IntRange(0, len(f.letters)-1).Draw(t, "letter")])
			}
			f.check()
		}
		alive := f.alive()
		is := func(s MemberState) func(*process) bool {
			return func(p *process) bool { return p.v.Record().State == s }
		}
		names := make(map[string]uint64) // of which place; two of a name may keep all joiners waiting
		joinable := slices.ContainsFunc(alive, is(Serving)) && !slices.ContainsFunc(alive, is(Leaving))
		for _, p := range alive {
			place, known := names[p.v.self.Name]
			joinable = joinable && (!known || place == p.v.self.Place)
			names[p.v.self.Name] = p.v.self.Place
		}
		for range 4 {
			for _, a := range alive {
				for _, p := range f.procs {
					if !p.alive {
						a.v.Ended(p.v.self)
					}
				}
				for _, b := range alive {
					f.tell(a, b.v.All()...)
					f.check()
				}
			}
		}
		sum := 0.0
		for _, p := range alive {
			sum += p.v.Part()
		}
		if joinable && sum < 1-1e-9 {
			for _, p := range alive {
				t.Logf("%v: %+v of %v", p.v.self, p.v.Record(), p.v.MayServe())
			}
			t.Fatalf("all is told, and parts add up to %v", sum)
		}
	})
}

// join has members of one weight know each other.
func join(t *testing.T, n int, o Options) []*View {
	t.Helper()
	var all []*View
	for i := range n {
		o := o
		o.Alone = i == 0
		v, err := New(o, Record{ID: ID{Identity{Name: fmt.Sprint("n", i)}, 1}, Site: fmt.Sprint("s", i%2), Weight: 1}, 1)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, v)
	}
	for range 3 {
		for _, a := range all {
			for _, b := range all {
				for _, r := range b.All() {
					if _, err := a.Hear(1, r); err != nil {
						t.Fatal(err)
					}
				}
			}
		}
	}
	return all
}

// TestUnheardMayStillServe keeps the two questions apart: who says nothing is soon not heard, and
// is counted until it leaves, is proven gone, or has said nothing for as long as is stated.
func TestUnheardMayStillServe(t *testing.T) {
	const silent, gone = time.Second, time.Minute
	for name, c := range map[string]struct {
		gone  time.Duration
		do    func(v *View, other ID)
		after time.Duration
		part  float64
	}{
		"nothing":         {0, func(*View, ID) {}, 100 * time.Hour, 1.0 / 3},
		"not for long":    {gone, func(*View, ID) {}, gone, 1.0 / 3},
		"for as long":     {gone, func(*View, ID) {}, gone + 2, 1},
		"proof":           {0, func(v *View, other ID) { v.Ended(other) }, 0, 0.5},
		"an earlier life": {0, func(v *View, other ID) { v.Ended(ID{other.Identity, other.Incarnation - 1}) }, 0, 1.0 / 3},
		"its leave":       {0, func(v *View, other ID) { _, _ = v.Hear(2, Record{ID: other, Seq: 1000, Weight: 1, State: Leaving}) }, 0, 0.5},
		"a new life": {0, func(v *View, o ID) {
			_, _ = v.Hear(2, Record{ID: ID{o.Identity, 2}, Seq: 1, Weight: 1, State: Joining})
		}, 0, 0.25},
		"in its place": {0, func(v *View, o ID) {
			_, _ = v.Hear(2, Record{ID: ID{o.Identity, 2}, Seq: 1, Weight: 1, State: Joining, Ended: 1})
		}, 0, 1.0 / 3},
	} {
		t.Run(name, func(t *testing.T) {
			all := join(t, 3, Options{Silent: silent, Gone: c.gone})
			v, other := all[0], all[1].self
			if got := v.Part(); got != 1.0/3 {
				t.Fatalf("a part of %v among three", got)
			}
			c.do(v, other)
			v.Tick(c.after)
			if got := v.Part(); got != c.part {
				t.Errorf("a part of %v, want %v: %+v", got, c.part, v.MayServe())
			}
			if got := v.Heard(10 * time.Second); len(got) != 1 || got[0].ID != v.self {
				t.Errorf("heard after a silence: %+v", got)
			}
		})
	}
}

// TestLivesThatEndedAreForgotten has more lives come and leave than a view may hold, over some days: there
// is always room for the next.
func TestLivesThatEndedAreForgotten(t *testing.T) {
	v := join(t, 1, Options{Silent: time.Second})[0]
	now := time.Duration(1)
	for i := range uint64(3 * MaxMembers) {
		now += time.Minute
		r := Record{ID: ID{Identity{"x", i}, 1}, Seq: 1, Weight: 1, State: Serving}
		for _, r.State = range []MemberState{Serving, Leaving} {
			if _, err := v.Hear(now, r); err != nil {
				t.Fatal(i, err)
			}
			r.Seq++
		}
		v.Tick(now)
	}
	if v.Part() != 1 || len(v.All()) > 100 || len(v.lives) > 2000 {
		t.Errorf("a part of %v, %d lives of which %d are told", v.Part(), len(v.lives), len(v.All()))
	}
}

// TestBadRecordsChangeNothing feeds what strangers and faults make.
func TestBadRecordsChangeNothing(t *testing.T) {
	v := join(t, 2, Options{Silent: time.Second})[0]
	good := Record{ID: ID{Identity{Name: "x"}, 2}, Seq: 1, Weight: 1, State: Joining}
	for name, c := range map[string]struct {
		bad  func(r *Record)
		want error
	}{
		"no name":      {func(r *Record) { r.Name = "" }, ErrRecord},
		"no life":      {func(r *Record) { r.Incarnation = 0 }, ErrRecord},
		"no weight":    {func(r *Record) { r.Weight = 0 }, ErrRecord},
		"no state":     {func(r *Record) { r.State = 9 }, ErrRecord},
		"its own end":  {func(r *Record) { r.Ended = 2 }, ErrRecord},
		"a name taken": {func(r *Record) { r.Name, r.Place = "n1", 9 }, ErrName},
		"other weight": {func(r *Record) { r.ID, r.Seq, r.Weight = ID{Identity{Name: "n1"}, 1}, 1000, 2 }, ErrRecord},
	} {
		t.Run(name, func(t *testing.T) {
			before, r := fmt.Sprint(v.MayServe(), v.Record()), good
			c.bad(&r)
			if _, err := v.Hear(2, r); !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
			if after := fmt.Sprint(v.MayServe(), v.Record()); after != before {
				t.Errorf("was %s, is %s", before, after)
			}
		})
	}
}

// TestRankMovesLittle takes one member of many away: the keys that it had won move, and no other.
func TestRankMovesLittle(t *testing.T) {
	var all []Member
	for i := range 40 {
		all = append(all, Member{ID: ID{Identity{Name: fmt.Sprint("n", i)}, 1}, Weight: float64(1 + i%2)})
	}
	won := make(map[string]int)
	for key := range uint64(6000) {
		first := Rank(key, all)[0]
		won[first.Name]++
		fewer := slices.DeleteFunc(slices.Clone(all), func(m Member) bool { return m.Name == "n7" })
		if got := Rank(key, fewer)[0]; got.ID != first.ID && first.Name != "n7" {
			t.Fatalf("key %d moved from %v to %v as another left", key, first.ID, got.ID)
		}
	}
	for _, m := range all {
		if want := 100 * m.Weight; float64(won[m.Name]) < want*0.6 || float64(won[m.Name]) > want*1.5 {
			t.Errorf("%s of weight %v has %d of 6,000 keys", m.Name, m.Weight, won[m.Name])
		}
	}
}

// FuzzHear has a member hear whatever may come: its part stays one, its own life stays its own,
// and what it holds stays bounded.
func FuzzHear(f *testing.F) {
	f.Add("n1", uint64(1), uint64(2), 1.0, uint8(Serving), uint64(0), uint64(7))
	f.Add("n0", uint64(9), uint64(1), 0.5, uint8(Leaving), uint64(8), uint64(0))
	f.Add("", uint64(0), uint64(0), -1.0, uint8(9), uint64(1), uint64(1))
	f.Fuzz(func(t *testing.T, name string, life, seq uint64, weight float64, state uint8, ended, digest uint64) {
		v, err := New(Options{Alone: true, Silent: time.Second}, Record{ID: ID{Identity{Name: "n0"}, 5}, Weight: 1}, 1)
		if err != nil {
			t.Fatal(err)
		}
		for i := range uint64(3) {
			_, _ = v.Hear(1, Record{ID: ID{Identity{Name: name}, life + i}, Seq: seq + i, Weight: weight, State: MemberState(state), Ended: ended, Digest: digest})
			if part := v.Part(); !(part >= 0 && part <= 1) {
				t.Fatalf("a part of %v", part)
			}
		}
		if r := v.Record(); r.ID != (ID{Identity{Name: "n0"}, 5}) || len(v.All()) > 4 {
			t.Fatalf("%+v after %d records", r, len(v.All()))
		}
	})
}

// TestOlderLifeOfAnotherPlaceIsHeard has a member without a folder begin anew after its wall clock,
// by which its lives go, was stepped back: its place is another, and it is heard once its past is gone.
func TestOlderLifeOfAnotherPlaceIsHeard(t *testing.T) {
	self := Record{ID: ID{Identity{Name: "a", Place: 1}, 1}, Weight: 1}
	v, err := New(Options{Alone: true, Silent: time.Second}, self, 0)
	if err != nil {
		t.Fatal(err)
	}
	past := Record{ID: ID{Identity{Name: "b", Place: 2}, 3_600_000_000}, Weight: 1, Seq: 1, State: Serving}
	if _, err := v.Hear(time.Second, past); err != nil {
		t.Fatal(err)
	}
	v.Ended(past.ID)
	again := Record{ID: ID{Identity{Name: "b", Place: 3}, 1_000}, Weight: 1, Seq: 1, State: Joining}
	if news, err := v.Hear(2*time.Second, again); !news || err != nil {
		t.Errorf("news: %v, %v", news, err)
	}
	if !v.Counts(again.ID) {
		t.Error("it is not counted")
	}
}
