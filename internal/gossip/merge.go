package gossip

import (
	"errors"
	"fmt"
	"slices"

	"jasperpin/internal/membership"
)

// maxNameConflicts bounds the stored joiners with a name in use. They are stored so that each is logged only once.
const maxNameConflicts = 256

// mergeLocked merges a record or a note. The caller must hold mu.
func (g *Gossip) mergeLocked(m wireMessage) {
	if m.Kind == "" {
		g.mergeRecordLocked(m.record())
		return
	}
	n := m.note()
	isNew, err := g.notes.Merge(g.now(), n)
	if err != nil {
		g.rejected.Add(1)
	}
	if isNew {
		g.broadcastNote(n)
	}
}

// mergeRecordLocked merges a record, and broadcasts it if it was new. The caller must hold mu.
func (g *Gossip) mergeRecordLocked(r membership.Record) {
	isNew, err := g.view.Merge(g.now(), r)
	switch {
	case errors.Is(err, membership.ErrName):
		g.logNameConflictLocked(r)
	case err != nil:
		g.rejected.Add(1)
	}
	if isNew {
		g.broadcastRecord(r)
	}
}

// logNameConflictLocked logs a joiner with a name in use, once. The caller must hold mu.
func (g *Gossip) logNameConflictLocked(r membership.Record) {
	if g.nameConflicts[r.ID] || len(g.nameConflicts) >= maxNameConflicts {
		return
	}
	g.nameConflicts[r.ID] = true
	g.opts.Log.Error("process not admitted: its name belongs to another member; set a unique node.name, or mark the other member as ended if it has ended",
		"node", r.Name, "zone", r.Zone, "incarnation", r.Incarnation)
}

// MarkEnded marks an incarnation as ended, as stated by an operator, and sends that statement to all members.
func (g *Gossip) MarkEnded(name string, incarnation uint64) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	members := g.view.MayServe()
	i := slices.IndexFunc(members, func(m membership.Member) bool { return m.Name == name && m.Incarnation == incarnation })
	if i < 0 {
		return fmt.Errorf("no counted member %.40q with incarnation %d", name, incarnation)
	}
	r, err := g.view.LeaveOnBehalf(members[i].ID)
	if err != nil {
		return err
	}
	g.mergeRecordLocked(r)
	g.publishLocked()
	return nil
}

// ReconcileRunning compares the members with a complete list of running members from another source, such as the
// cluster's list of instances. Each member publishes its entry of that list as its note of the topic, and running has
// all entries as keys. A member whose note is not in running has ended. If each entry belongs to a counted member, no
// serving member is missing.
func (g *Gossip) ReconcileRunning(topic string, running map[string]bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	counted := 0
	for id, v := range g.notes.Read(g.now(), topic).Values {
		switch {
		case running[string(v.Body)]:
			counted++
		case id != g.opts.Self.ID:
			g.opts.Log.Info("member ended: not registered with the cluster", "node", id.Name, "incarnation", id.Incarnation)
			g.view.MarkEnded(id)
		}
	}
	if counted == len(running) && counted > 0 {
		g.view.ConfirmComplete()
	}
	g.publishLocked()
}

// ServeFirst makes this member serve immediately, after an operator has stated that no member serves. The other joiners
// then join this member. It fails if this member is not joining.
func (g *Gossip) ServeFirst() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	err := g.view.ServeFirst()
	g.publishLocked()
	return err
}
