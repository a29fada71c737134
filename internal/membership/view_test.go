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

// process is one incarnation in the model: its view, and whether it is running.
type process struct {
	v     *View
	alive bool
}

// fleet is a model of processes that send each other records over a network that loses, duplicates,
// delays and reorders them.
type fleet struct {
	t            *rapid.T
	now          time.Duration
	procs        []*process
	incarnations map[string]uint64 // the newest incarnation, by name
	inFlight     []Record          // all records sent so far; each may arrive at any time and any number of times
}

func (f *fleet) start(name string, directoryID uint64, isFirst bool) {
	f.incarnations[name]++
	ended := f.incarnations[name] - 1 // lowered below if earlier ones still run, as during an upgrade
	for _, p := range f.alive() {
		if p.v.self.Identity == (Identity{name, directoryID}) {
			ended = min(ended, p.v.self.Incarnation-1)
		}
	}
	self := Record{ID: ID{Identity{Name: name, DirectoryID: directoryID}, f.incarnations[name]}, Zone: "s", Weight: float64(1 + len(name)%3), EndedUpTo: ended}
	v, err := New(Options{FirstMember: isFirst, ReachableFor: time.Second}, self, f.now)
	if err != nil {
		f.t.Fatal(err)
	}
	f.procs = append(f.procs, &process{v, true})
}

func (f *fleet) deliver(to *process, records ...Record) {
	for _, r := range records {
		if _, err := to.v.Merge(f.now, r); err != nil && !errors.Is(err, ErrName) {
			f.t.Fatalf("merging record %+v: %v", r, err)
		}
	}
}

func (f *fleet) alive() (all []*process) {
	return slices.DeleteFunc(slices.Clone(f.procs), func(p *process) bool { return !p.alive })
}

// quotas returns the sum of the quotas in use.
func (f *fleet) quotas() (sum float64) {
	for _, p := range f.alive() {
		sum += p.v.Quota()
	}
	return sum
}

// check fails the test if the quotas in use add up to more than one.
func (f *fleet) check() {
	if sum := f.quotas(); sum > 1+1e-9 {
		for _, p := range f.alive() {
			f.t.Logf("%v: quota %.3f of %v", p.v.self, p.v.Quota(), p.v.MayServe())
		}
		f.t.Fatalf("the quotas add up to %v, want at most 1", sum)
	}
}

// TestQuotasNeverExceedOne simulates random joins, leaves, crashes and restarts while records are lost, duplicated,
// delayed and reordered, and some processes receive nothing for a long time. After every step the quotas of the
// running processes must add up to at most one. Once all records have arrived and all ends are proven, they must add
// up to one.
func TestQuotasNeverExceedOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{t: t, incarnations: make(map[string]uint64)}
		f.start("n0", 0, true)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			f.now += time.Millisecond
			f.step()
			f.check()
		}
		joinable := f.joinable()
		f.exchangeAll()
		if sum := f.quotas(); joinable && sum < 1-1e-9 {
			for _, p := range f.alive() {
				t.Logf("%v: %+v of %v", p.v.self, p.v.Record(), p.v.MayServe())
			}
			t.Fatalf("the quotas add up to %v after all records have arrived, want 1", sum)
		}
	})
}

// step draws and executes one event of the fleet or its network.
func (f *fleet) step() {
	t, alive := f.t, f.alive()
	drawAlive := func(label string) *process { return alive[rapid.IntRange(0, len(alive)-1).Draw(t, label)] }
	switch event := rapid.IntRange(0, 12).Draw(t, "op"); {
	case event == 0 && len(f.procs) < 14: // a new member, or the next incarnation of one
		f.start(fmt.Sprint("n", rapid.IntRange(0, 9).Draw(t, "name")), rapid.Uint64Range(0, 1).Draw(t, "place"), false)
	case event == 1 && len(alive) > 1:
		drawAlive("killed").alive = false
	case event == 2 && len(alive) > 2:
		p := drawAlive("leaver")
		p.v.Leave()
		f.inFlight = append(f.inFlight, p.v.Record())
		p.alive = rapid.Bool().Draw(t, "stays a while")
	case event == 3: // one process receives a proof that another has ended
		p := f.procs[rapid.IntRange(0, len(f.procs)-1).Draw(t, "ended")]
		if !p.alive {
			drawAlive("receiver").v.MarkEnded(p.v.self)
		}
	case event == 12: // another source confirms to a process that it counts all others
		p := drawAlive("complete")
		if !slices.ContainsFunc(alive, func(o *process) bool { return !p.v.IsCounted(o.v.self) }) {
			p.v.ConfirmComplete()
		}
	case event <= 5: // a full exchange
		a, b := drawAlive("a"), drawAlive("b")
		from := a.v.Records()
		f.deliver(a, b.v.Records()...)
		f.deliver(b, from...)
	case event <= 8: // one process sends one of its records
		records := drawAlive("sender").v.Records()
		f.inFlight = append(f.inFlight, records[rapid.IntRange(0, len(records)-1).Draw(t, "record")])
	case len(f.inFlight) > 0: // a record arrives, for the first time or again
		f.deliver(drawAlive("reader"), f.inFlight[rapid.IntRange(0, len(f.inFlight)-1).Draw(t, "in flight")])
	}
}

// joinable reports whether all joiners will serve once all records have arrived. Some member must serve, none may be
// leaving, and no two directories may have the same name, as their members would wait for each other.
func (f *fleet) joinable() bool {
	alive := f.alive()
	hasState := func(s MemberState) func(*process) bool {
		return func(p *process) bool { return p.v.Record().State == s }
	}
	joinable := slices.ContainsFunc(alive, hasState(Serving)) && !slices.ContainsFunc(alive, hasState(Leaving))
	directoryIDs := make(map[string]uint64)
	for _, p := range alive {
		directoryID, known := directoryIDs[p.v.self.Name]
		joinable = joinable && (!known || directoryID == p.v.self.DirectoryID)
		directoryIDs[p.v.self.Name] = p.v.self.DirectoryID
	}
	return joinable
}

// exchangeAll proves all ends to every process and delivers all records to every process. It checks the quotas after
// each exchange.
func (f *fleet) exchangeAll() {
	for range 4 {
		for _, a := range f.alive() {
			for _, p := range f.procs {
				if !p.alive {
					a.v.MarkEnded(p.v.self)
				}
			}
			for _, b := range f.alive() {
				f.deliver(a, b.v.Records()...)
				f.check()
			}
		}
	}
}

// join returns the views of a fleet of n members with weight 1 that count each other.
func join(t *testing.T, n int, o Options) []*View {
	t.Helper()
	var all []*View
	for i := range n {
		o := o
		o.FirstMember = i == 0
		v, err := New(o, Record{ID: ID{Identity{Name: fmt.Sprint("n", i)}, 1}, Zone: fmt.Sprint("s", i%2), Weight: 1}, 1)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, v)
	}
	for range 3 {
		for _, a := range all {
			for _, b := range all {
				for _, r := range b.Records() {
					if _, err := a.Merge(1, r); err != nil {
						t.Fatal(err)
					}
				}
			}
		}
	}
	return all
}

// TestSilentMembersAreCountedUntilProvenEnded lets one of three members fall silent. The member must become
// unreachable, but the quotas of the others may grow only after a proof of its end: its leave, the record of a later
// incarnation, another source, or a silence longer than Options.EndedAfter.
func TestSilentMembersAreCountedUntilProvenEnded(t *testing.T) {
	const reachableFor, endedAfter = time.Second, time.Minute
	for name, tc := range map[string]struct {
		endedAfter time.Duration
		event      func(v *View, other ID)
		after      time.Duration
		quota      float64
	}{
		"silence without EndedAfter":    {0, func(*View, ID) {}, 100 * time.Hour, 1.0 / 3},
		"silence up to EndedAfter":      {endedAfter, func(*View, ID) {}, endedAfter, 1.0 / 3},
		"silence beyond EndedAfter":     {endedAfter, func(*View, ID) {}, endedAfter + 2, 1},
		"another source":                {0, func(v *View, other ID) { v.MarkEnded(other) }, 0, 0.5},
		"end of an earlier incarnation": {0, func(v *View, other ID) { v.MarkEnded(ID{other.Identity, other.Incarnation - 1}) }, 0, 1.0 / 3},
		"leave":                         {0, func(v *View, other ID) { _, _ = v.Merge(2, Record{ID: other, Seq: 1000, Weight: 1, State: Leaving}) }, 0, 0.5},
		"new incarnation without proof of the end": {0, func(v *View, o ID) {
			_, _ = v.Merge(2, Record{ID: ID{o.Identity, 2}, Seq: 1, Weight: 1, State: Joining})
		}, 0, 0.25},
		"new incarnation with proof of the end": {0, func(v *View, o ID) {
			_, _ = v.Merge(2, Record{ID: ID{o.Identity, 2}, Seq: 1, Weight: 1, State: Joining, EndedUpTo: 1})
		}, 0, 1.0 / 3},
	} {
		t.Run(name, func(t *testing.T) {
			all := join(t, 3, Options{ReachableFor: reachableFor, EndedAfter: tc.endedAfter})
			v, other := all[0], all[1].self
			if got := v.Quota(); got != 1.0/3 {
				t.Fatalf("the member has quota %v in a fleet of three, want 1/3", got)
			}
			tc.event(v, other)
			v.Tick(tc.after)
			if got := v.Quota(); got != tc.quota {
				t.Errorf("the member has quota %v after the event, want %v: %+v", got, tc.quota, v.MayServe())
			}
			if got := v.Reachable(10 * time.Second); len(got) != 1 || got[0].ID != v.self {
				t.Errorf("the reachable members after a silence are %+v, want only the member itself", got)
			}
		})
	}
}

// TestEndedIncarnationsAreRemoved lets three times MaxMembers members join and leave over some days. Each new member
// must be admitted, and full exchanges must stay small.
func TestEndedIncarnationsAreRemoved(t *testing.T) {
	view := join(t, 1, Options{ReachableFor: time.Second})[0]
	now := time.Duration(1)
	for i := range uint64(3 * MaxMembers) {
		now += time.Minute
		r := Record{ID: ID{Identity{"x", i}, 1}, Seq: 1, Weight: 1, State: Serving}
		for _, r.State = range []MemberState{Serving, Leaving} {
			if _, err := view.Merge(now, r); err != nil {
				t.Fatal(i, err)
			}
			r.Seq++
		}
		view.Tick(now)
	}
	if view.Quota() != 1 || len(view.Records()) > 100 || len(view.members) > 2000 {
		t.Errorf("the view has quota %v, %d incarnations stored and %d records in full exchanges; want 1, at most 2000 and at most 100", view.Quota(), len(view.members), len(view.Records()))
	}
}

// TestInvalidRecordsAreRejected merges malformed records and one whose name is in use. Each must be rejected with the
// right error, and the view must not change.
func TestInvalidRecordsAreRejected(t *testing.T) {
	view := join(t, 2, Options{ReachableFor: time.Second})[0]
	good := Record{ID: ID{Identity{Name: "x"}, 2}, Seq: 1, Weight: 1, State: Joining}
	for name, tc := range map[string]struct {
		bad  func(r *Record)
		want error
	}{
		"no name":         {func(r *Record) { r.Name = "" }, ErrRecord},
		"no incarnation":  {func(r *Record) { r.Incarnation = 0 }, ErrRecord},
		"no weight":       {func(r *Record) { r.Weight = 0 }, ErrRecord},
		"unknown state":   {func(r *Record) { r.State = 9 }, ErrRecord},
		"ended by itself": {func(r *Record) { r.EndedUpTo = 2 }, ErrRecord},
		"name in use":     {func(r *Record) { r.Name, r.DirectoryID = "n1", 9 }, ErrName},
		"changed weight":  {func(r *Record) { r.ID, r.Seq, r.Weight = ID{Identity{Name: "n1"}, 1}, 1000, 2 }, ErrRecord},
	} {
		t.Run(name, func(t *testing.T) {
			before, r := fmt.Sprint(view.MayServe(), view.Record()), good
			tc.bad(&r)
			if _, err := view.Merge(2, r); !errors.Is(err, tc.want) {
				t.Errorf("merging the invalid record: got error %v, want %v", err, tc.want)
			}
			if after := fmt.Sprint(view.MayServe(), view.Record()); after != before {
				t.Errorf("a rejected record changed the view from %s to %s", before, after)
			}
		})
	}
}

// FuzzMerge merges arbitrary records. The quota must stay from 0 to 1, the member's own ID must not change, and the
// number of stored records must stay bounded.
func FuzzMerge(f *testing.F) {
	f.Add("n1", uint64(1), uint64(2), 1.0, uint8(Serving), uint64(0), uint64(7))
	f.Add("n0", uint64(9), uint64(1), 0.5, uint8(Leaving), uint64(8), uint64(0))
	f.Add("", uint64(0), uint64(0), -1.0, uint8(9), uint64(1), uint64(1))
	f.Fuzz(func(t *testing.T, name string, incarnation, seq uint64, weight float64, state uint8, ended, digest uint64) {
		v, err := New(Options{FirstMember: true, ReachableFor: time.Second}, Record{ID: ID{Identity{Name: "n0"}, 5}, Weight: 1}, 1)
		if err != nil {
			t.Fatal(err)
		}
		for i := range uint64(3) {
			_, _ = v.Merge(1, Record{ID: ID{Identity{Name: name}, incarnation + i}, Seq: seq + i, Weight: weight, State: MemberState(state), EndedUpTo: ended, Digest: digest})
			if quota := v.Quota(); !(quota >= 0 && quota <= 1) {
				t.Fatalf("the view computes quota %v, want 0 to 1", quota)
			}
		}
		if r := v.Record(); r.ID != (ID{Identity{Name: "n0"}, 5}) || len(v.Records()) > 4 {
			t.Fatalf("the view has its own record %+v and %d records in a full exchange, want n0 and at most 4", r, len(v.Records()))
		}
	})
}

// TestMemberRejoinsAfterClockWasSetBack restarts a member without a directory, whose incarnations are numbered by the
// wall clock, after the clock was set back. It has a new directory ID, so its record must be accepted once the
// previous incarnation is proven to have ended, although its incarnation is lower.
func TestMemberRejoinsAfterClockWasSetBack(t *testing.T) {
	self := Record{ID: ID{Identity{Name: "a", DirectoryID: 1}, 1}, Weight: 1}
	v, err := New(Options{FirstMember: true, ReachableFor: time.Second}, self, 0)
	if err != nil {
		t.Fatal(err)
	}
	before := Record{ID: ID{Identity{Name: "b", DirectoryID: 2}, 3_600_000_000}, Weight: 1, Seq: 1, State: Serving}
	if _, err := v.Merge(time.Second, before); err != nil {
		t.Fatal(err)
	}
	v.MarkEnded(before.ID)
	again := Record{ID: ID{Identity{Name: "b", DirectoryID: 3}, 1_000}, Weight: 1, Seq: 1, State: Joining}
	if isNew, err := v.Merge(2*time.Second, again); !isNew || err != nil {
		t.Errorf("merging the record of the new incarnation: got new %v, error %v; want a new record", isNew, err)
	}
	if !v.IsCounted(again.ID) {
		t.Error("the new incarnation is not counted, want it counted")
	}
}
