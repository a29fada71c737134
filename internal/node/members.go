package node

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"jasperpin/internal/core"
	"jasperpin/internal/gossip"
	"jasperpin/internal/membership"
	"jasperpin/internal/nodestate"
)

// farewell is how long a member that ends takes to tell of it, at the most.
const farewell = 200 * time.Millisecond

var errNoMembers = errors.New("this process has not met a fleet: want [members] in its file, and the process before it ended")

// fleetMember is the node as a member of its fleet.
type fleetMember struct {
	node   *Node
	lives  *gossip.Incarnations
	gossip atomic.Pointer[gossip.Gossip] // nil until it has joined
	until  atomic.Pointer[time.Time]     // when its lease of the group ends; nil where it wants none
	seen   atomic.Pointer[gossip.FleetPosition]
	once   sync.Mutex // puts standings in force one after the other
	ctx    context.Context
	stop   context.CancelFunc
	later  sync.WaitGroup
}

const (
	// rejoinEvery is how often a new version looks whether the address for members is free.
	rejoinEvery = 200 * time.Millisecond
	// leaseEvery is how often the group's lease is looked at.
	leaseEvery = 100 * time.Millisecond
	// proofEvery is how often the group is asked who is there.
	proofEvery = time.Second
)

// join meets the others of the fleet, where the configuration says how. The node has no part of
// what bounds all until they count it. A new version beside the one that runs joins when that has
// ended, whose address it takes, and serves meanwhile.
func (n *Node) join() error {
	c := n.cfg.Members
	if !c.On() {
		return nil
	}
	lives, err := gossip.BeginIncarnation(c.Folder)
	if err != nil {
		return err
	}
	m := &fleetMember{node: n, lives: lives}
	m.ctx, m.stop = context.WithCancel(context.Background())
	if c.Group {
		m.until.Store(&time.Time{})
	}
	n.fleet = m
	m.stand(gossip.FleetPosition{Count: 1})
	err = m.meet()
	switch {
	case errors.Is(err, gossip.ErrListen) && lives.Runs():
		n.log.Info("the fleet is met once the process before this one has ended", "err", err)
		m.later.Go(m.wait)
	case err != nil:
		return err
	}
	if c.Group {
		m.later.Go(m.keepLease)
		m.later.Go(m.hearGroup)
	}
	return nil
}

// meet begins to talk to the fleet.
func (m *fleetMember) meet() error {
	n, c, lives := m.node, m.node.cfg.Members, m.lives
	topics := []gossip.Topic{{Kind: nodestate.Kind{Name: loadTopic, Most: 32, Keep: loadKeep}, Say: n.load()}}
	if c.Group {
		topics = append(topics, gossip.Topic{Kind: nodestate.Kind{Name: groupTopic, Most: 64, Keep: groupKeep}, Say: func() []byte {
			if life, until := n.group.Here(); time.Now().Before(until) {
				return []byte(life)
			}
			return nil
		}})
	}
	g, err := gossip.Join(gossip.Options{
		Self:   membership.Record{ID: membership.ID{Identity: membership.Identity{Name: n.cfg.Name, Place: lives.Place}, Incarnation: lives.Own}, Site: c.Site, Weight: c.Weight},
		Listen: c.Listen, Advertise: c.Advertise, Seeds: c.Seeds, Keys: c.Keys, Bytes: c.Bytes, Gone: c.Gone,
		Alone: c.First && !lives.Again, Before: lives.Before, Changed: m.stand, Topics: topics, Log: n.log,
	})
	if err == nil {
		n.log.Info("meeting the fleet", "name", n.cfg.Name, "life", lives.Own, "at", g.Addr())
		m.gossip.Store(g)
	}
	return err
}

// wait meets the fleet as soon as the address is free.
func (m *fleetMember) wait() {
	for m.sleep(rejoinEvery) {
		err := m.meet()
		if err == nil {
			return
		}
		if !errors.Is(err, gossip.ErrListen) {
			m.node.log.Error("the fleet cannot be met", "err", err)
			return
		}
	}
}

func (m *fleetMember) sleep(d time.Duration) bool {
	select {
	case <-m.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// keepLease has the part end with the group's lease, by which time the group may take this life for
// ended: for good, and a new life begins, which others have to count.
func (m *fleetMember) keepLease() {
	had := false
	for m.sleep(leaseEvery) {
		_, until := m.node.group.Here()
		there := time.Now().Before(until)
		lost := had && !there
		had = there
		if !until.Equal(*m.until.Swap(&until)) {
			m.restand()
		}
		g := m.talk()
		if !lost || g == nil || m.node.draining.Load() {
			continue
		}
		m.node.log.Warn("the group's lease is lost: a new life begins")
		g.Leave(farewell)
		g.Close()
		m.gossip.Store(nil)
		m.lives.End()
		lives, err := gossip.BeginIncarnation(m.node.cfg.Members.Folder)
		if err == nil {
			m.lives = lives
			err = m.meet()
		}
		if err != nil {
			m.node.log.Error("the fleet cannot be met again", "err", err)
			return
		}
	}
}

// hearGroup asks the group who is there: a life that told of its lease, and whose lease has ended,
// has given its part up by its own clock before that. Where all lost their leases, as the group did
// its majority, none serves any more: they begin anew by the group's word that they are all.
func (m *fleetMember) hearGroup() {
	for m.sleep(proofEvery) {
		g := m.talk()
		if g == nil {
			continue
		}
		ctx, cancel := context.WithTimeout(m.ctx, proofEvery)
		there, err := m.node.group.Instances(ctx)
		cancel()
		if err != nil {
			continue // no proof without a majority
		}
		lives := make(map[string]bool, len(there))
		for _, p := range there {
			lives[p.Life] = true
		}
		g.Prove(groupTopic, lives)
	}
}

// talk is the node's gossip, or nil where it has not met its fleet.
func (m *fleetMember) talk() *gossip.Gossip {
	if m == nil {
		return nil
	}
	return m.gossip.Load()
}

// Members tell each other how many requests a second they answer, over the time since the last note.
const (
	loadTopic = "load"
	loadKeep  = 5 * time.Minute
	// groupTopic is the life by which a member is there for the group.
	groupTopic = "group"
	groupKeep  = time.Hour
)

func (n *Node) load() func() []byte {
	was, at := n.figures.Ended(), time.Now()
	return func() []byte {
		is, now := n.figures.Ended(), time.Now()
		rate := float64(is-was) / max(now.Sub(at).Seconds(), 0.001)
		was, at = is, now
		return strconv.AppendFloat(nil, rate, 'f', 1, 64)
	}
}

// stand gives the node's place in its fleet to all pools. Of an even part what is above the own
// one is withheld; a greater weight widens nothing, as its clients come with it.
func (m *fleetMember) stand(s gossip.FleetPosition) {
	m.seen.Store(&s)
	m.restand()
}

// restand gives the place as it is now.
func (m *fleetMember) restand() {
	m.once.Lock()
	defer m.once.Unlock()
	s := m.seen.Load()
	st := core.FleetPosition{Index: s.Index, Count: s.Count, WithheldShare: 1 - min(1, s.Part*float64(s.Count))}
	if until := m.until.Load(); until != nil {
		st.Until = *until
		if until.IsZero() {
			st.WithheldShare = 1 // it has not had its lease yet
		}
	}
	m.node.set.SetFleetPosition(st)
}

// leave gives the node's part up.
func (m *fleetMember) leave() {
	if g := m.talk(); g != nil {
		g.Leave(farewell)
	}
}

func (m *fleetMember) close() {
	if m == nil {
		return
	}
	m.stop()
	m.later.Wait()
	if g := m.talk(); g != nil {
		g.Close()
	}
	m.lives.End()
}

func (o operator) Members(w *bytes.Buffer) error {
	g := o.fleet.talk()
	if g == nil {
		return errNoMembers
	}
	enc := json.NewEncoder(w)
	for _, m := range g.Members() {
		if err := enc.Encode(m); err != nil {
			return fmt.Errorf("telling of %s: %w", m.Name, err)
		}
	}
	return nil
}

func (o operator) BeginFleet() error {
	g := o.fleet.talk()
	if g == nil {
		return errNoMembers
	}
	err := g.Begin()
	o.log.Warn("told to begin the fleet", "err", err)
	return err
}

func (o operator) MemberEnded(name, life string) error {
	g := o.fleet.talk()
	if g == nil {
		return errNoMembers
	}
	number, err := strconv.ParseUint(life, 10, 64)
	if err != nil {
		return fmt.Errorf("a life is a number, and not %.40q", life)
	}
	err = g.Ended(name, number)
	o.log.Warn("told that a member has ended", "name", name, "life", number, "err", err)
	return err
}
