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

const (
	// leaveTimeout bounds how long a node that ends waits for others to hear of it: the drain has
	// little time, and others find out by themselves.
	leaveTimeout = 200 * time.Millisecond
	// rejoinInterval is the time between two attempts of a new process to listen at the address that
	// its predecessor still holds.
	rejoinInterval = 200 * time.Millisecond
	// leaseCheckInterval is the time between two looks at the lease of the consensus group: a quota
	// must end with the lease.
	leaseCheckInterval = 100 * time.Millisecond
	// instancesInterval is the time between two calls for the group's instances, and bounds each.
	instancesInterval = time.Second
)

// Topics of what members gossip of themselves.
const (
	// loadTopic is the requests a second that a member answers.
	loadTopic = "load"
	// maxLoadBytes bounds a load, a decimal number.
	maxLoadBytes = 32
	// loadRetention is how long the last load of a member that has gone is kept, for operators.
	loadRetention = 5 * time.Minute
	// groupTopic is the incarnation under which a member holds a lease of the consensus group.
	groupTopic = "group"
	// maxGroupBytes bounds the name of such an incarnation.
	maxGroupBytes = 64
	// groupRetention is how long it is kept: past its lease, so that its end can be proven.
	groupRetention = time.Hour
	// minLoadSpan, in seconds, keeps a load from a division by zero.
	minLoadSpan = 0.001
)

var errNoFleet = errors.New("this process has not joined a fleet: want [members] in its file, and the process before it ended")

// fleetMember is the node as a member of its fleet.
//
// Its goroutines end with ctx; close waits for them. waitForAddress ends once it has joined.
type fleetMember struct {
	node       *Node
	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup

	// incarnations are those of this node on its machine. Start sets them; then they belong to
	// renewLease, which replaces them only while the node is in the fleet, or to close.
	incarnations *gossip.Incarnations
	gossip       atomic.Pointer[gossip.Gossip] // nil while the node is not in the fleet
	position     atomic.Pointer[gossip.FleetPosition]
	// leaseUntil is when the lease of the consensus group ends; zero before the first lease, nil where
	// the node's quotas need none.
	leaseUntil atomic.Pointer[time.Time]

	applyMu sync.Mutex // held while a position is applied, so that the newest is applied last
}

// joinFleet joins the others of the fleet, where the configuration names them. The node has no quota
// of what limits the fleet as a whole until others count it. A new process whose predecessor still
// listens at the address for members serves meanwhile, and joins when that has ended.
func (n *Node) joinFleet() error {
	c := n.cfg.Members
	if !c.Enabled() {
		return nil
	}
	incarnations, err := gossip.BeginIncarnation(c.Directory)
	if err != nil {
		return err
	}
	m := &fleetMember{node: n, incarnations: incarnations}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	if c.RequiresLease {
		m.leaseUntil.Store(&time.Time{})
	}
	n.fleet = m
	m.setPosition(gossip.FleetPosition{Count: 1})
	err = m.join()
	switch {
	case errors.Is(err, gossip.ErrListen) && incarnations.EarlierRuns():
		n.log.Info("fleet: waiting for the previous process to end", "err", err)
		m.background.Go(m.waitForAddress)
	case err != nil:
		return err
	}
	if c.RequiresLease {
		m.background.Go(m.renewLease)
		m.background.Go(m.proveEnded)
	}
	return nil
}

// join begins to gossip.
func (m *fleetMember) join() error {
	c, incarnations := m.node.cfg.Members, m.incarnations
	g, err := gossip.Join(gossip.Options{
		Self: membership.Record{
			ID: membership.ID{
				Identity:    membership.Identity{Name: m.node.cfg.Name, DirectoryID: incarnations.DirectoryID},
				Incarnation: incarnations.Current,
			},
			Zone: c.Zone, Weight: c.Weight,
		},
		Listen: c.Listen, Advertise: c.Advertise, Seeds: c.Seeds, Keys: c.Keys, BytesPerSecond: c.BytesPerSecond, EndedAfter: c.EndedAfter,
		FirstMember: c.BeginsFleet && !incarnations.HasEarlier, EndedUpTo: incarnations.EndedUpTo,
		OnPositionChange: m.setPosition, Topics: m.topics(), Log: m.node.log,
	})
	if err != nil {
		return err
	}
	m.node.log.Info("fleet: joining", "node", m.node.cfg.Name, "incarnation", incarnations.Current, "listen", g.Addr())
	m.gossip.Store(g)
	return nil
}

// topics are what this node tells the others of itself.
func (m *fleetMember) topics() []gossip.Topic {
	topics := []gossip.Topic{{
		Kind: nodestate.Kind{Name: loadTopic, MaxBytes: maxLoadBytes, TTL: loadRetention},
		Read: m.node.loadReporter(),
	}}
	if !m.node.cfg.Members.RequiresLease {
		return topics
	}
	return append(topics, gossip.Topic{
		Kind: nodestate.Kind{Name: groupTopic, MaxBytes: maxGroupBytes, TTL: groupRetention},
		Read: func() []byte {
			incarnation, until := m.node.cluster.RegisteredUntil()
			if !time.Now().Before(until) {
				return nil // no lease
			}
			return []byte(incarnation)
		},
	})
}

// loadReporter returns a function that writes the requests a second answered since its last call.
func (n *Node) loadReporter() func() []byte {
	ended, at := n.metrics.EndedRequests(), time.Now()
	return func() []byte {
		endedNow, now := n.metrics.EndedRequests(), time.Now()
		rate := float64(endedNow-ended) / max(now.Sub(at).Seconds(), minLoadSpan)
		ended, at = endedNow, now
		return strconv.AppendFloat(nil, rate, 'f', 1, 64)
	}
}

// waitForAddress joins as soon as the predecessor has given the address up.
func (m *fleetMember) waitForAddress() {
	for m.sleep(rejoinInterval) {
		err := m.join()
		if err == nil {
			return
		}
		if !errors.Is(err, gossip.ErrListen) {
			m.node.log.Error("fleet: joining failed", "err", err)
			return
		}
	}
}

// sleep reports false where the member is closed before the time is over.
func (m *fleetMember) sleep(d time.Duration) bool {
	select {
	case <-m.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// renewLease applies each change of the lease of the consensus group. By the time at which a lease
// ends unrenewed the group may count this incarnation as ended, for good: the node gives its quotas
// up and joins again as a new incarnation, which others have to count first.
func (m *fleetMember) renewLease() {
	held := false
	for m.sleep(leaseCheckInterval) {
		_, until := m.node.cluster.RegisteredUntil()
		holds := time.Now().Before(until)
		lost := held && !holds
		held = holds
		if !until.Equal(*m.leaseUntil.Swap(&until)) {
			m.applyPosition()
		}
		g := m.joined()
		if !lost || g == nil || m.node.draining.Load() {
			continue
		}
		m.node.log.Warn("fleet: lease of the consensus group lost, joining as a new incarnation")
		if err := m.rejoin(g); err != nil {
			m.node.log.Error("fleet: joining as a new incarnation failed", "err", err)
			return
		}
	}
}

// rejoin leaves the fleet and joins it as a new incarnation.
func (m *fleetMember) rejoin(g *gossip.Gossip) error {
	g.Leave(leaveTimeout)
	g.Close()
	m.gossip.Store(nil)
	m.incarnations.Unlock()
	incarnations, err := gossip.BeginIncarnation(m.node.cfg.Members.Directory)
	if err != nil {
		return err
	}
	m.incarnations = incarnations
	return m.join()
}

// proveEnded asks the consensus group which incarnations hold a lease. One that gossiped of its lease
// and holds none any more has given up its quotas by its own clock before: it counts as ended. Where
// the group lost its majority and with it all leases, none serves by its quotas any more, and the
// fleet begins anew by the group's answer that these are all.
func (m *fleetMember) proveEnded() {
	for m.sleep(instancesInterval) {
		g := m.joined()
		if g == nil {
			continue
		}
		ctx, cancel := context.WithTimeout(m.ctx, instancesInterval)
		instances, err := m.node.cluster.Instances(ctx)
		cancel()
		if err != nil {
			continue // no proof without a majority; the next round asks again
		}
		incarnations := make(map[string]bool, len(instances))
		for _, instance := range instances {
			incarnations[instance.Incarnation] = true
		}
		g.ReconcileRunning(groupTopic, incarnations)
	}
}

// joined returns the node's gossip, or nil where the node has not joined a fleet.
func (m *fleetMember) joined() *gossip.Gossip {
	if m == nil {
		return nil
	}
	return m.gossip.Load()
}

// setPosition applies the node's place in its fleet to all pools.
func (m *fleetMember) setPosition(p gossip.FleetPosition) {
	m.position.Store(&p)
	m.applyPosition()
}

// applyPosition applies the newest position and lease. Of an even share what exceeds the node's own
// is withheld. A greater weight does not widen it, as its clients come with it.
func (m *fleetMember) applyPosition() {
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	p := m.position.Load()
	position := core.FleetPosition{Index: p.Index, Count: p.Count, WithheldShare: 1 - min(1, p.Quota*float64(p.Count))}
	if until := m.leaseUntil.Load(); until != nil {
		position.Until = *until
		if until.IsZero() {
			position.WithheldShare = 1 // it has not had its lease yet
		}
	}
	m.node.services.SetFleetPosition(position)
}

// leave gives the node's quotas up.
func (m *fleetMember) leave() {
	if g := m.joined(); g != nil {
		g.Leave(leaveTimeout)
	}
}

func (m *fleetMember) close() {
	if m == nil {
		return
	}
	m.cancel()
	m.background.Wait()
	if g := m.joined(); g != nil {
		g.Close()
	}
	m.incarnations.Unlock()
}

// Members writes the members of the fleet, or returns errNoFleet.
func (o operator) Members(w *bytes.Buffer) error {
	g := o.fleet.joined()
	if g == nil {
		return errNoFleet
	}
	encoder := json.NewEncoder(w)
	for _, member := range g.Members() {
		if err := encoder.Encode(member); err != nil {
			return fmt.Errorf("writing member %s: %w", member.Name, err)
		}
	}
	return nil
}

// BeginFleet confirms that no member serves, or returns errNoFleet.
func (o operator) BeginFleet() error {
	g := o.fleet.joined()
	if g == nil {
		return errNoFleet
	}
	err := g.ServeFirst()
	o.log.Warn("fleet: begun by an operator's call", "err", err)
	return err
}

// MemberEnded confirms that an incarnation of a member has ended, or returns errNoFleet.
func (o operator) MemberEnded(name, incarnation string) error {
	g := o.fleet.joined()
	if g == nil {
		return errNoFleet
	}
	number, err := strconv.ParseUint(incarnation, 10, 64)
	if err != nil {
		return fmt.Errorf("a life is a number, and not %.40q", incarnation)
	}
	err = g.MarkEnded(name, number)
	o.log.Warn("fleet: member ended by an operator's call", "node", name, "incarnation", number, "err", err)
	return err
}
