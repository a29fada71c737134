package node

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"jasperpin/internal/core"
	"jasperpin/internal/peers/gossip"
	"jasperpin/internal/peers/members"
	"jasperpin/internal/peers/notes"
)

// farewell is how long a member that ends takes to tell of it, at the most.
const farewell = 200 * time.Millisecond

var errNoMembers = errors.New("this process has not met a fleet: want [members] in its file, and the process before it ended")

// fleetMember is the node as a member of its fleet.
type fleetMember struct {
	lives  *gossip.Lives
	gossip atomic.Pointer[gossip.Gossip] // nil until it has joined
	closed chan struct{}
	later  sync.WaitGroup
}

// rejoinEvery is how often a new version looks whether the address for members is free.
const rejoinEvery = 200 * time.Millisecond

// join meets the others of the fleet, where the configuration says how. The node has no part of
// what bounds all until they count it. A new version beside the one that runs joins when that has
// ended, whose address it takes, and serves meanwhile.
func (n *Node) join() error {
	c := n.cfg.Members
	if !c.On() {
		return nil
	}
	n.set.Stand(core.Standing{Of: 1, Withheld: 1})
	lives, err := gossip.Begin(c.Folder)
	if err != nil {
		return err
	}
	m := &fleetMember{lives: lives, closed: make(chan struct{})}
	n.fleet = m
	meet := func() error {
		g, err := gossip.Join(gossip.Options{
			Self:   members.Record{ID: members.ID{Seat: members.Seat{Name: n.cfg.Name, Place: lives.Place}, Life: lives.Own}, Site: c.Site, Weight: c.Weight},
			Listen: c.Listen, Advertise: c.Advertise, Seeds: c.Seeds, Keys: c.Keys, Bytes: c.Bytes, Gone: c.Gone,
			Alone: c.First && !lives.Again, Before: lives.Before, Changed: n.stand, Log: n.log,
			Topics: []gossip.Topic{{Kind: notes.Kind{Name: loadTopic, Most: 32, Keep: loadKeep}, Say: n.load()}},
		})
		if err == nil {
			n.log.Info("meeting the fleet", "name", n.cfg.Name, "life", lives.Own, "at", g.Addr())
			m.gossip.Store(g)
		}
		return err
	}
	err = meet()
	if !errors.Is(err, gossip.ErrListen) || !lives.Runs() {
		return err
	}
	n.log.Info("the fleet is met once the process before this one has ended", "err", err)
	m.later.Go(func() {
		for {
			select {
			case <-m.closed:
				return
			case <-time.After(rejoinEvery):
			}
			switch err := meet(); {
			case err == nil:
				return
			case !errors.Is(err, gossip.ErrListen):
				n.log.Error("the fleet cannot be met", "err", err)
				return
			}
		}
	})
	return nil
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
func (n *Node) stand(s gossip.Standing) {
	n.set.Stand(core.Standing{Number: s.Number, Of: s.Of, Withheld: 1 - min(1, s.Part*float64(s.Of))})
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
	close(m.closed)
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
