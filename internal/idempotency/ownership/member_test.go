package ownership

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jasperpin/internal/emulator/check"
	"jasperpin/internal/idempotency"
)

func testSettings() idempotency.Settings {
	return idempotency.Settings{
		MaxKeys: 1000, MaxBytes: 1 << 20, TenantShare: 1, MaxAnswerBytes: 600, MaxWaiters: 3,
		Classes: map[string]idempotency.Class{"credit": {Retention: 10 * time.Second, MaxRunTime: time.Minute}},
	}
}

// requestName returns a name for a request that is unique in the network.
func requestName(member string, id uint64) string { return fmt.Sprint(member, "#", id) }

// running is a request that is running at a member.
type running struct {
	at  string
	key idempotency.Key
}

// network contains the members of a group, the messages between them, and the runs so far.
type network struct {
	r         *rapid.T
	now       time.Duration
	retention time.Duration
	members   map[string]*Member
	tables    map[string][]Table // tables not yet received, by member
	table     Table
	messages  []delivery
	open      map[string]idempotency.Key // requests without a verdict, by member and ID
	runs      map[idempotency.Ticket]running
	effects   map[idempotency.Key]time.Duration // time at which the last run of a key took effect
	answers   map[idempotency.Key][]int         // statuses of all runs that took effect: a late message may contain an older one
	joined    int
}

// delivery is a message in transit.
type delivery struct {
	from string
	Outgoing
}

// join adds a new member to the group.
func (n *network) join() {
	n.joined++
	name := fmt.Sprint("m", n.joined)
	set := testSettings()
	set.FirstTicket = idempotency.Ticket(n.joined) << 32
	s, err := idempotency.New(set)
	if err != nil {
		n.r.Fatal(err)
	}
	n.retention = set.Classes["credit"].Retention
	n.members[name] = NewMember(name, s)
	n.members[name].ExtendLease(1 << 62)
	n.change()
}

// change makes the group agree on a table of the current members. Each member receives it later.
func (n *network) change() {
	t := nextTable(n.r, n.table, n.members)
	n.table = t
	for name := range n.members {
		n.tables[name] = append(n.tables[name], t)
	}
}

// collect takes the output of a member and checks its results.
func (n *network) collect(name string) {
	outgoing, results := n.members[name].TakeOutput()
	for _, out := range outgoing {
		n.messages = append(n.messages, delivery{name, out})
	}
	for _, result := range results {
		id := requestName(name, result.ID)
		key, open := n.open[id]
		if !open {
			n.r.Fatalf("request %s got verdict %d twice or was never sent, want one verdict for each request", id, result.Verdict)
		}
		delete(n.open, id)
		switch result.Verdict {
		case idempotency.Run:
			if at, ok := n.effects[key]; ok && n.now < at+n.retention {
				n.r.Fatalf("key %v runs at %v but took effect at %v, want no run within the retention", key, n.now, at)
			}
			for _, other := range n.runs {
				if other.key == key {
					n.r.Fatalf("key %v runs twice concurrently, want one run at a time", key)
				}
			}
			n.runs[result.Run] = running{name, key}
		case idempotency.Replay:
			overdue := result.Answer.Status == overdueStatus && n.joined > len(n.members) // the member that ran it crashed
			if !overdue && !slices.Contains(n.answers[key], result.Answer.Status) {
				n.r.Fatalf("key %v: request %s got the answer status %d, want one of %v", key, id, result.Answer.Status, n.answers[key])
			}
		}
	}
}

// endRun ends a run.
func (n *network) endRun(t idempotency.Ticket, outcome idempotency.Outcome) {
	run := n.runs[t]
	delete(n.runs, t)
	if outcome != idempotency.NeverRan {
		n.effects[run.key] = n.now
		n.answers[run.key] = append(n.answers[run.key], 200+int(t%100))
	}
	n.members[run.at].EndRun(n.now, t, run.key, outcome, idempotency.Answer{Status: 200 + int(t%100)})
	n.collect(run.at)
}

// deliver delivers a message. If duplicate is set, the message stays in transit and is delivered again.
func (n *network) deliver(i int, duplicate bool) {
	d := n.messages[i]
	if !duplicate {
		n.messages = slices.Delete(n.messages, i, i+1)
	}
	if m := n.members[d.To]; m != nil {
		m.Receive(n.now, d.from, d.Message)
		n.collect(d.To)
	}
}

// receiveTable makes a member apply the next table.
func (n *network) receiveTable(name string) {
	if len(n.tables[name]) > 0 {
		t := n.tables[name][0]
		n.tables[name] = n.tables[name][1:]
		n.members[name].SetTable(n.now, t)
		n.collect(name)
	}
}

func (n *network) names() []string { return slices.Sorted(maps.Keys(n.members)) }

// isIdle reports whether all messages of all members have been answered.
func (n *network) isIdle() bool {
	for name, m := range n.members {
		if len(n.tables[name]) > 0 || len(m.assignment.awaited)+len(m.transfers)+len(m.replications)+len(m.ended)+len(m.cancelled) > 0 {
			return false
		}
	}
	return true
}

// settle delivers all messages, with ticks, until all are answered. If end is set, it also ends all runs and
// waits until every request has its verdict.
func (n *network) settle(end bool) {
	for i := range 200 {
		if end && i == 100 {
			n.now += 2 * time.Minute // the runs of crashed members are overdue
		}
		for _, name := range n.names() {
			for len(n.tables[name]) > 0 {
				n.receiveTable(name)
			}
		}
		for len(n.messages) > 0 {
			n.deliver(0, false)
		}
		if end {
			for _, t := range slices.Sorted(maps.Keys(n.runs)) {
				n.endRun(t, idempotency.Answered)
			}
		}
		if n.isIdle() && len(n.messages) == 0 && (!end || len(n.open) == 0) {
			return
		}
		for _, name := range n.names() {
			n.members[name].Tick(n.now)
			n.collect(name)
		}
	}
	n.r.Fatalf("the group did not become idle: %d open requests, %d messages, %d runs", len(n.open), len(n.messages), len(n.runs))
}

// TestMembersRunEachKeyOnce makes members join and crash, delays, loses, duplicates and reorders messages, and
// sends requests to any member and cancels them. No key may run while it is running already, nor while it is
// retained as one that has run; every request gets one verdict; all repeats get the same answer; and no state remains
// at the end. One member crashes at a time, once all messages are answered, and only a member without runs:
// other members would settle its runs.
func TestMembersRunEachKeyOnce(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := &network{
			r: r, members: make(map[string]*Member), tables: make(map[string][]Table), open: make(map[string]idempotency.Key),
			runs: make(map[idempotency.Ticket]running), effects: make(map[idempotency.Key]time.Duration), answers: make(map[idempotency.Key][]int),
		}
		n.join()
		n.join()
		n.join()
		for range rapid.IntRange(1, 300).Draw(r, "steps") {
			n.now += time.Duration(rapid.IntRange(0, 100).Draw(r, "ms")) * time.Millisecond
			name := rapid.SampledFrom(n.names()).Draw(r, "member")
			switch event := rapid.IntRange(0, 19).Draw(r, "event"); {
			case event == 0 && len(n.members) < 6:
				n.join()
			case event == 1 && len(n.members) > 2:
				n.settle(false)
				busy := slices.ContainsFunc(slices.Collect(maps.Values(n.runs)), func(x running) bool { return x.at == name })
				for id := range n.members[name].requests {
					busy = busy || n.open[requestName(name, id)] != idempotency.Key{}
				}
				if !busy {
					delete(n.members, name)
					delete(n.tables, name)
					n.change()
				}
			case event <= 4:
				n.receiveTable(name)
			case event == 5:
				n.members[name].Tick(n.now)
				n.collect(name)
			case event == 6 && len(n.messages) > 0:
				i := rapid.IntRange(0, len(n.messages)-1).Draw(r, "lost")
				n.messages = slices.Delete(n.messages, i, i+1)
			case event <= 11 && len(n.messages) > 0:
				n.deliver(rapid.IntRange(0, len(n.messages)-1).Draw(r, "message"), event == 7)
			case event <= 16:
				k := idempotency.Key{Tenant: "t", Class: "credit", Text: fmt.Sprint(rapid.IntRange(0, 3).Draw(r, "key"))}
				m := n.members[name]
				n.open[requestName(name, m.lastID+1)] = k
				m.Request(n.now, k, idempotency.Digest{1})
				n.collect(name)
			case event == 17:
				if open := slices.Sorted(maps.Keys(n.members[name].requests)); len(open) > 0 {
					id := rapid.SampledFrom(open).Draw(r, "cancelled")
					delete(n.open, requestName(name, id))
					n.members[name].Cancel(n.now, id)
					n.collect(name)
				}
			default:
				if runs := slices.Sorted(maps.Keys(n.runs)); len(runs) > 0 {
					n.endRun(rapid.SampledFrom(runs).Draw(r, "run"), idempotency.Outcome(rapid.IntRange(0, 2).Draw(r, "end")))
				}
			}
		}
		n.settle(true)
		n.now += 2 * time.Minute // the runs of crashed members are overdue
		for _, name := range n.names() {
			n.members[name].Tick(n.now)
			n.collect(name)
		}
		n.settle(true)
		for name, m := range n.members {
			if len(m.tickets)+len(m.origins)+len(m.cancelled)+len(m.runs) > 0 {
				r.Fatalf("member %s has state left: %d waiting and %d cancelled requests, %d runs; want none", name, len(m.tickets), len(m.cancelled), len(m.runs))
			}
		}
	})
}

// TestReplicaHoldsNewestRecord sends a replica a record older than its last one, or a record that another
// member had before the change of table. The replica must have the newest record of the owner, even if that
// replaces a record with a longer retention.
func TestReplicaHoldsNewestRecord(t *testing.T) {
	three, err := NewTable(1, []string{"a", "b", "c"})
	if err != nil {
		t.Fatal(err)
	}
	key := idempotency.Key{Tenant: "t", Class: "credit"}
	for i := 0; ; i++ {
		key.Text = fmt.Sprint(i)
		if three.Holders(key) == (Holders{Owner: "a", Replica: "b"}) {
			break
		}
	}
	run := func(t idempotency.Ticket) idempotency.Record {
		return idempotency.Record{Key: key, Digest: idempotency.Digest{1}, Running: true, Run: t, Remaining: time.Minute}
	}
	ended := idempotency.Record{Key: key, Digest: idempotency.Digest{1}, Answer: idempotency.Answer{Status: 201}, Remaining: 10 * time.Second}
	replicate := func(id uint64, r idempotency.Record) Message {
		return Message{Epoch: 1, Kind: KindReplicate, ID: id, Key: key, Records: []idempotency.Record{r}}
	}
	transfer := Message{Epoch: 1, Kind: KindTransfer, Records: []idempotency.Record{run(7)}}
	for name, tt := range map[string]struct {
		messages []Message // messages from the owner; a transfer is from the third member
		want     idempotency.Record
	}{
		"overtaken":   {[]Message{replicate(2, ended), replicate(1, run(7))}, ended},
		"transferred": {[]Message{replicate(1, run(9)), transfer}, run(9)},
		"remembered":  {[]Message{replicate(1, ended), replicate(2, run(9))}, run(9)},
	} {
		b := NewMember("b", check.Must[*idempotency.Store](t)(idempotency.New(testSettings())))
		b.SetTable(0, three)
		for _, msg := range tt.messages {
			from := "a"
			if msg.Kind == KindTransfer {
				from = "c"
			}
			b.Receive(0, from, msg)
		}
		got, ok := b.store.Export(0, key)
		if !ok || got.Running != tt.want.Running || got.Run != tt.want.Run || got.Answer.Status != tt.want.Answer.Status {
			t.Errorf("%s: got %+v, want %+v", name, got, tt.want)
		}
	}
}
