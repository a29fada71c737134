package ownership

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jasperpin/internal/idempotency"
	_ "jasperpin/internal/seeded"
)

// TestReplicaFollowsOwner removes the owner of a key. Its replica must be the owner under the next table, and
// owner and replica must differ. Keys must be spread evenly.
func TestReplicaFollowsOwner(t *testing.T) {
	members := []string{"a", "b", "c", "d", "e"}
	all, err := NewTable(1, members)
	if err != nil {
		t.Fatal(err)
	}
	owned := make(map[string]int)
	for i := range 2000 {
		k := idempotency.Key{Tenant: "t", Class: "credit", Text: fmt.Sprint(i)}
		h := all.Holders(k)
		owned[h.Owner]++
		left, err := NewTable(2, slices.DeleteFunc(slices.Clone(members), func(m string) bool { return m == h.Owner }))
		if err != nil {
			t.Fatal(err)
		}
		if next := left.Holders(k); next.Owner != h.Replica || h.Owner == h.Replica {
			t.Fatalf("key %v has holders %+v, and %+v without the owner; want the replica as the next owner", k, h, next)
		}
	}
	for _, m := range members {
		if owned[m] < 300 || owned[m] > 500 {
			t.Errorf("member %s owns %d of 2000 keys, want 300 to 500", m, owned[m])
		}
	}
	if h := (Table{}).Holders(idempotency.Key{}); h != (Holders{}) {
		t.Errorf("a table without members returned holders %+v, want none", h)
	}
	for _, bad := range [][]string{{"a", "a"}, {""}, make([]string, maxMembers+1)} {
		if _, err := NewTable(1, bad); err == nil {
			t.Errorf("NewTable accepted %d invalid members, want an error", len(bad))
		}
	}
}

// peer is one member of a simulated group.
type peer struct {
	store      *idempotency.Store
	assignment *Assignment
	tables     []Table // tables agreed on but not yet received by this member
}

// transfer is a message from one member to another after a change of table.
type transfer struct {
	from, to string
	epoch    uint64
	records  []idempotency.Record
}

// cluster contains the members of a group, the transfers in progress between them, and the runs so far.
type cluster struct {
	r         *rapid.T
	settings  idempotency.Settings
	now       time.Duration
	peers     map[string]*peer
	table     Table
	transfers []transfer
	runs      map[idempotency.Ticket]idempotency.Key
	effects   map[idempotency.Key]time.Duration // time at which the last run of a key took effect
	joined    int
}

// join adds a new member to the group.
func (c *cluster) join() {
	c.joined++
	name := fmt.Sprint("m", c.joined)
	set := c.settings
	set.FirstTicket = idempotency.Ticket(c.joined) << 32
	s, err := idempotency.New(set)
	if err != nil {
		c.r.Fatal(err)
	}
	p := &peer{store: s, assignment: NewAssignment(name)}
	p.assignment.ExtendLease(1 << 62)
	c.peers[name] = p
	c.change()
}

// nextTable returns the table that follows another one, with the current members.
func nextTable[M any](r *rapid.T, last Table, members map[string]M) Table {
	t, err := NewTable(last.Epoch+1, slices.Sorted(maps.Keys(members)))
	if err != nil {
		r.Fatal(err)
	}
	return t
}

// change makes the group agree on a table of the current members. Each member receives it later.
func (c *cluster) change() {
	t := nextTable(c.r, c.table, c.peers)
	c.table = t
	for _, p := range c.peers {
		p.tables = append(p.tables, t)
	}
}

// isIdle reports whether every member has received all tables and transfers.
func (c *cluster) isIdle() bool {
	for _, p := range c.peers {
		if len(p.tables) > 0 || len(p.assignment.awaited) > 0 {
			return false
		}
	}
	return len(c.transfers) == 0
}

// receiveTable makes a member apply the next table and send its transfers.
func (c *cluster) receiveTable(name string) {
	p := c.peers[name]
	if len(p.tables) == 0 {
		return
	}
	p.assignment.SetTable(p.tables[0])
	p.tables = p.tables[1:]
	for _, other := range slices.Sorted(maps.Keys(c.peers)) {
		if other == name || !p.assignment.table.Has(other) {
			continue
		}
		tr := transfer{from: name, to: other, epoch: p.assignment.Epoch()}
		for _, k := range p.assignment.KeysFor(p.store, other) {
			if rec, ok := p.store.Export(c.now, k); ok {
				tr.records = append(tr.records, rec)
			}
		}
		c.transfers = append(c.transfers, tr)
	}
}

// deliver delivers a transfer, in any order. A transfer of a later epoch stays queued.
func (c *cluster) deliver(i int) {
	tr := c.transfers[i]
	p := c.peers[tr.to]
	if p != nil && p.assignment.Epoch() < tr.epoch {
		return
	}
	c.transfers = slices.Delete(c.transfers, i, i+1)
	if p == nil || p.assignment.Epoch() > tr.epoch {
		return
	}
	for _, rec := range tr.records {
		p.store.Import(c.now, rec)
	}
	p.assignment.TransferArrived(tr.from, tr.epoch)
}

// replicate copies the record of a key from its owner to its replica. It returns false if the replica has
// crashed or has a table of another epoch.
func (c *cluster) replicate(owner *peer, replica string, k idempotency.Key) bool {
	if replica == "" {
		return true
	}
	b := c.peers[replica]
	if b == nil || b.assignment.Epoch() != owner.assignment.Epoch() {
		return false
	}
	if rec, ok := owner.store.Export(c.now, k); ok {
		b.store.Import(c.now, rec)
	} else {
		b.store.Drop(k)
	}
	return true
}

// request sends a request to a member.
func (c *cluster) request(at string, key idempotency.Key) {
	member := c.peers[at]
	role, holders := member.assignment.RoleFor(c.now, key)
	if role == NotOwner {
		if member = c.peers[holders.Owner]; member == nil {
			return
		}
		role, holders = member.assignment.RoleFor(c.now, key)
	}
	if role != Owner {
		return
	}
	decision := member.store.Begin(c.now, key, idempotency.Digest{1})
	switch decision.Verdict {
	case idempotency.Wait:
		member.store.Cancel(decision.Ticket) // the request's client disconnects at once
	case idempotency.Run:
		if !c.replicate(member, holders.Replica, key) {
			member.store.Settle(c.now, decision.Ticket, idempotency.NeverRan, idempotency.Answer{}) // the request is not sent
			return
		}
		if at, ok := c.effects[key]; ok && c.now < at+c.settings.Classes[key.Class].Retention {
			c.r.Fatalf("key %v runs at %v but took effect at %v, want no run within the retention", key, c.now, at)
		}
		for _, other := range c.runs {
			if other == key {
				c.r.Fatalf("key %v runs twice concurrently, want one run at a time", key)
			}
		}
		c.runs[decision.Ticket] = key
	}
}

// end ends a run at the current owner of its key. The member that ran it retries until the owner can accept the
// end.
func (c *cluster) end(run idempotency.Ticket, outcome idempotency.Outcome) {
	key := c.runs[run]
	owner := c.table.Holders(key).Owner
	member := c.peers[owner]
	role, holders := member.assignment.RoleFor(c.now, key)
	if role != Owner {
		return
	}
	if b := c.peers[holders.Replica]; holders.Replica != "" && (b == nil || b.assignment.Epoch() != member.assignment.Epoch()) {
		return // the owner cannot accept the end of the run until it can replicate that end
	}
	delete(c.runs, run)
	if outcome != idempotency.NeverRan {
		c.effects[key] = c.now
	}
	if _, ok := member.store.KeyOf(run); !ok {
		c.r.Fatalf("owner %s has no run of key %v, want the run that ended", owner, key)
	}
	member.store.Settle(c.now, run, outcome, idempotency.Answer{Status: 200})
	c.replicate(member, holders.Replica, key)
}

// TestNoKeyRunsTwiceInGroup makes members join and crash at random, delays and reorders tables and transfers,
// and sends requests to any member. No key may run while it is running already, nor while it is retained as one
// that may have run. One member crashes at a time, once all transfers have arrived: if its replica crashed as
// well, a key would be lost. This test drives the Assignment with its own replication.
func TestNoKeyRunsTwiceInGroup(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		set := testSettings()
		group := &cluster{r: r, settings: set, peers: make(map[string]*peer), runs: make(map[idempotency.Ticket]idempotency.Key), effects: make(map[idempotency.Key]time.Duration)}
		group.join()
		group.join()
		group.join()
		names := func() []string { return slices.Sorted(maps.Keys(group.peers)) }
		for range rapid.IntRange(1, 400).Draw(r, "steps") {
			group.now += time.Duration(rapid.IntRange(0, 300).Draw(r, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 11).Draw(r, "event") {
			case 0:
				if len(group.peers) < 6 {
					group.join()
				}
			case 1:
				if len(group.peers) > 2 && group.isIdle() {
					delete(group.peers, rapid.SampledFrom(names()).Draw(r, "crashes"))
					group.change()
				}
			case 2, 3, 4:
				group.receiveTable(rapid.SampledFrom(names()).Draw(r, "receiver"))
			case 5, 6, 7:
				if len(group.transfers) > 0 {
					group.deliver(rapid.IntRange(0, len(group.transfers)-1).Draw(r, "transfer"))
				}
			case 8, 9, 10:
				group.request(rapid.SampledFrom(names()).Draw(r, "member"), idempotency.Key{Tenant: "t", Class: "credit", Text: fmt.Sprint(rapid.IntRange(0, 5).Draw(r, "key"))})
			case 11:
				if runs := slices.Sorted(maps.Keys(group.runs)); len(runs) > 0 {
					group.end(rapid.SampledFrom(runs).Draw(r, "run"), idempotency.Outcome(rapid.IntRange(0, 2).Draw(r, "end")))
				}
			}
		}
	})
}

// TestExpiredLeaseDecidesNothing lets the lease of a member expire, after which another member may own its
// keys. The member must decide about none. Its current table and an earlier end of the lease must be ignored.
func TestExpiredLeaseDecidesNothing(t *testing.T) {
	a := NewAssignment("a")
	table, err := NewTable(3, []string{"a"})
	if err != nil || !a.SetTable(table) || a.SetTable(table) {
		t.Fatalf("NewTable failed (%v), or SetTable did not apply a new table exactly once", err)
	}
	a.ExtendLease(5 * time.Second)
	a.ExtendLease(2 * time.Second) // a late message must not shorten the lease
	for at, want := range map[time.Duration]Role{4 * time.Second: Owner, 5 * time.Second: NotReady} {
		if role, _ := a.RoleFor(at, idempotency.Key{Tenant: "t", Class: "credit", Text: "1"}); role != want {
			t.Errorf("the role at %v is %d, want %d", at, role, want)
		}
	}
}

// TestTransferOfOtherEpochIsIgnored sends a transfer of the previous epoch to a member that awaits a transfer.
// The member must not be ready until it has the transfer of the current epoch.
func TestTransferOfOtherEpochIsIgnored(t *testing.T) {
	a := NewAssignment("a")
	a.ExtendLease(time.Hour)
	for epoch := uint64(1); epoch <= 2; epoch++ {
		table, err := NewTable(epoch, []string{"a", "b"})
		if err != nil || !a.SetTable(table) {
			t.Fatalf("applying the table of epoch %d failed: NewTable returned error %v, or SetTable ignored the table", epoch, err)
		}
	}
	k := idempotency.Key{Tenant: "t", Class: "credit", Text: "0"}
	for i := 0; !a.Holds(k) || a.table.Holders(k).Owner != "a"; i++ { // find a key that member a owns
		k.Text = fmt.Sprint(i)
	}
	for epoch, want := range []Role{1: NotReady, 2: Owner} {
		if a.TransferArrived("b", uint64(epoch)); epoch > 0 {
			if role, holders := a.RoleFor(0, k); role != want || holders.Replica != "b" {
				t.Errorf("after the transfer of epoch %d the role is %d and the holders are %+v, want Owner only after epoch 2, and replica b", epoch, role, holders)
			}
		}
	}
}
