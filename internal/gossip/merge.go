package gossip

import (
	"errors"
	"fmt"
	"slices"

	"jasperpin/internal/membership"
)

// maxNameConflicts bounds the joiners by a name in use that are remembered, so that each is logged once.
const maxNameConflicts = 256

// mergeLocked merges a message of either kind. The caller holds mu.
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

// mergeRecordLocked merges a record, and broadcasts it where it was new. The caller holds mu.
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

// logNameConflictLocked logs a joiner by a name in use, once. The caller holds mu.
func (g *Gossip) logNameConflictLocked(r membership.Record) {
	if g.nameConflicts[r.ID] || len(g.nameConflicts) >= maxNameConflicts {
		return
	}
	g.nameConflicts[r.ID] = true
	g.opts.Log.Error("a second process goes by a member's name, and is not let in: give it a node.name of its own, or say that the first has ended",
		"node", r.Name, "zone", r.Zone, "incarnation", r.Incarnation)
}

// MarkEnded takes an operator's statement that an incarnation has ended, and sends that to all members.
func (g *Gossip) MarkEnded(name string, incarnation uint64) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	members := g.view.MayServe()
	i := slices.IndexFunc(members, func(m membership.Member) bool { return m.Name == name && m.Incarnation == incarnation })
	if i < 0 {
		return fmt.Errorf("no member of the name %.40q and life %d is counted", name, incarnation)
	}
	r, err := g.view.LeaveOnBehalf(members[i].ID)
	if err != nil {
		return err
	}
	g.mergeRecordLocked(r)
	g.publishLocked()
	return nil
}

// ReconcileRunning takes the complete set of values that running members have as their note of a topic, as another source
// knows it, such as the cluster's list of instances. A member whose note is not among them has ended.
// Where all values are those of counted members, no serving member is missing.
func (g *Gossip) ReconcileRunning(topic string, running map[string]bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	counted := 0
	for id, v := range g.notes.Read(g.now(), topic).Values {
		switch {
		case running[string(v.Body)]:
			counted++
		case id != g.opts.Self.ID:
			g.opts.Log.Info("member ended: the cluster does not list it", "node", id.Name, "incarnation", id.Incarnation)
			g.view.MarkEnded(id)
		}
	}
	if counted == len(running) && counted > 0 {
		g.view.ConfirmComplete()
	}
	g.publishLocked()
}

// ServeFirst takes an operator's statement that no member serves: this one does from now on, and the others join it.
func (g *Gossip) ServeFirst() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	err := g.view.ServeFirst()
	g.publishLocked()
	return err
}
