package node

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"jasperpin/internal/core"
	"jasperpin/internal/peers/gossip"
	"jasperpin/internal/peers/members"
)

// farewell is how long a member that ends takes to tell of it, at the most.
const farewell = 200 * time.Millisecond

var errNoMembers = errors.New("this node knows of no others: want [members] in its file")

// join meets the others of the fleet, where the configuration says how. The node has no part of
// what bounds all until they count it.
func (n *Node) join() (err error) {
	c := n.cfg.Members
	if !c.On() {
		return nil
	}
	n.set.Stand(core.Standing{Of: 1, Withheld: 1})
	if n.lives, err = gossip.Begin(c.Folder); err != nil {
		return err
	}
	n.fleet, err = gossip.Join(gossip.Options{
		Self:   members.Record{ID: members.ID{Seat: members.Seat{Name: n.cfg.Name, Place: n.lives.Place}, Life: n.lives.Own}, Site: c.Site, Weight: c.Weight},
		Listen: c.Listen, Advertise: c.Advertise, Seeds: c.Seeds, Keys: c.Keys, Bytes: c.Bytes, Gone: c.Gone,
		Alone: c.First && !n.lives.Again, Before: n.lives.Before, Changed: n.stand, Log: n.log,
	})
	if err == nil {
		n.log.Info("meeting the fleet", "name", n.cfg.Name, "life", n.lives.Own, "at", n.fleet.Addr())
	}
	return err
}

// stand gives the node's place in its fleet to all pools. Of an even part what is above the own
// one is withheld; a greater weight widens nothing, as its clients come with it.
func (n *Node) stand(s gossip.Standing) {
	n.set.Stand(core.Standing{Number: s.Number, Of: s.Of, Withheld: 1 - min(1, s.Part*float64(s.Of))})
}

// leave gives the node's part up.
func (n *Node) leave() {
	if n.fleet != nil {
		n.fleet.Leave(farewell)
	}
}

func (n *Node) closeMembers() {
	if n.fleet != nil {
		n.fleet.Close()
	}
	if n.lives != nil {
		n.lives.End()
	}
}

func (o operator) Members(w *bytes.Buffer) error {
	if o.fleet == nil {
		return errNoMembers
	}
	enc := json.NewEncoder(w)
	for _, m := range o.fleet.Members() {
		if err := enc.Encode(m); err != nil {
			return fmt.Errorf("telling of %s: %w", m.Name, err)
		}
	}
	return nil
}

func (o operator) BeginFleet() error {
	if o.fleet == nil {
		return errNoMembers
	}
	err := o.fleet.Begin()
	o.log.Warn("told to begin the fleet", "err", err)
	return err
}

func (o operator) MemberEnded(name, life string) error {
	if o.fleet == nil {
		return errNoMembers
	}
	number, err := strconv.ParseUint(life, 10, 64)
	if err != nil {
		return fmt.Errorf("a life is a number, and not %.40q", life)
	}
	err = o.fleet.Ended(name, number)
	o.log.Warn("told that a member has ended", "name", name, "life", number, "err", err)
	return err
}
