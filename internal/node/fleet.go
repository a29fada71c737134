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
	// leaveTimeout bounds how long a node that shuts down waits until others are notified
	// that it leaves. A drain has little time, and the others also detect the end by themselves.
	leaveTimeout = 200 * time.Millisecond
	// rejoinInterval is the time between two attempts of a new process to listen at the address that
	// its predecessor still uses.
	rejoinInterval = 200 * time.Millisecond
	// leaseCheckInterval is the time between two checks of the lease of the consensus group: a quota
	// must end with the lease.
	leaseCheckInterval = 100 * time.Millisecond
	// instancesInterval is the time between two queries for the group's instances, and their timeout.
	instancesInterval = time.Second
)

// Topics that members gossip about themselves.
const (
	// loadTopic has the number of requests a second that a member answers.
	loadTopic = "load"
	// maxLoadBytes bounds the size of a load, a decimal number.
	maxLoadBytes = 32
	// loadRetention is how long the last load of a member that has ended is stored, for operators.
	loadRetention = 5 * time.Minute
	// groupTopic has the incarnation under which a member holds a lease of the consensus group.
	groupTopic = "group"
	// maxGroupBytes bounds the size of the name of such an incarnation.
	maxGroupBytes = 64
	// groupRetention is how long the name of a group's incarnation is stored: longer than the incarnation's
	// lease, so that the end of the incarnation can be proven.
	groupRetention = time.Hour
	// minLoadSpan, in seconds, avoids a division by zero in a load.
	minLoadSpan = 0.001
)

var errNoFleet = errors.New("this process has not joined a fleet: its file must have [members], and its predecessor must have ended")

// fleetMember is the node as a member of its fleet.
//
// Its goroutines end when ctx is done; close waits for them. waitForAddress also ends once it has
// joined.
type fleetMember struct {
	node       *Node
	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup

	// incarnations are the incarnations of this node on its machine. joinFleet sets the field. Then only
	// renewLease replaces the field, while the node is in the fleet, and close unlocks the incarnations.
	incarnations *gossip.Incarnations
	gossip       atomic.Pointer[gossip.Gossip] // nil while the node is not in the fleet
	position     atomic.Pointer[gossip.FleetPosition]
	// leaseUntil is the time at which the lease of the consensus group ends: zero before the first
	// lease, nil if the node's quotas need none.
	leaseUntil atomic.Pointer[time.Time]

	applyMu sync.Mutex // held while a position is applied, so that the newest is applied last
}

// joinFleet joins the fleet, if one is configured. The node has no quota of the limits of the whole
// fleet until other members count it. A new process whose predecessor still listens at the address for
// members serves meanwhile, and joins once the predecessor has ended.
func (n *Node) joinFleet() error {
	settings := n.cfg.Members
	if !settings.Enabled() {
		return nil
	}
	incarnations, err := gossip.BeginIncarnation(settings.Directory)
	if err != nil {
		return err
	}
	member := &fleetMember{node: n, incarnations: incarnations}
	member.ctx, member.cancel = context.WithCancel(context.Background())
	if settings.RequiresLease {
		member.leaseUntil.Store(&time.Time{})
	}
	n.fleet = member
	member.setPosition(gossip.FleetPosition{Count: 1})
	err = member.join()
	switch {
	case errors.Is(err, gossip.ErrListen) && incarnations.EarlierRuns():
		n.log.Info("fleet: waiting for the previous process to end", "err", err)
		member.background.Go(member.waitForAddress)
	case err != nil:
		return err
	}
	if settings.RequiresLease {
		member.background.Go(member.renewLease)
		member.background.Go(member.reconcileIncarnations)
	}
	return nil
}

// join begins to gossip.
func (m *fleetMember) join() error {
	c, incarnations := m.node.cfg.Members, m.incarnations
	gossiper, err := gossip.Join(gossip.Options{
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
	m.node.log.Info("fleet: joining", "node", m.node.cfg.Name, "incarnation", incarnations.Current, "listen", gossiper.Addr())
	m.gossip.Store(gossiper)
	return nil
}

// topics returns the topics that this node gossips about itself.
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

// loadReporter returns a function that formats the number of requests answered per second since its previous
// call.
func (n *Node) loadReporter() func() []byte {
	ended, at := n.metrics.AnsweredRequests(), time.Now()
	return func() []byte {
		endedNow, now := n.metrics.AnsweredRequests(), time.Now()
		rate := float64(endedNow-ended) / max(now.Sub(at).Seconds(), minLoadSpan)
		ended, at = endedNow, now
		return strconv.AppendFloat(nil, rate, 'f', 1, 64)
	}
}

// waitForAddress joins as soon as the predecessor no longer listens at the address.
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

// sleep waits for d. It reports false if the member is closed first.
func (m *fleetMember) sleep(d time.Duration) bool {
	select {
	case <-m.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// renewLease applies each change of the lease of the consensus group. Once a lease has ended unrenewed,
// the group may count this incarnation as ended for good: the node gives up its quotas and joins again
// as a new incarnation, which others must count first.
func (m *fleetMember) renewLease() {
	hadLease := false
	for m.sleep(leaseCheckInterval) {
		_, until := m.node.cluster.RegisteredUntil()
		hasLease := time.Now().Before(until)
		lost := hadLease && !hasLease
		hadLease = hasLease
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

// reconcileIncarnations asks the consensus group which incarnations hold a lease. An incarnation that
// gossiped its lease and no longer holds a lease counts as ended: by its own clock it has already given up its
// quotas. If the group lost its majority and with it all leases, no member serves by its quotas
// any more, and the fleet begins again with the incarnations that the group lists, since there are no
// other incarnations.
func (m *fleetMember) reconcileIncarnations() {
	for m.sleep(instancesInterval) {
		g := m.joined()
		if g == nil {
			continue
		}
		ctx, cancel := context.WithTimeout(m.ctx, instancesInterval)
		instances, err := m.node.cluster.Instances(ctx)
		cancel()
		if err != nil {
			continue // without a majority nothing is proven; the next round asks again
		}
		incarnations := make(map[string]bool, len(instances))
		for _, instance := range instances {
			incarnations[instance.Incarnation] = true
		}
		g.ReconcileRunning(groupTopic, incarnations)
	}
}

// joined returns the node's gossip, or nil if the node has not joined a fleet.
func (m *fleetMember) joined() *gossip.Gossip {
	if m == nil {
		return nil
	}
	return m.gossip.Load()
}

// setPosition applies the node's position in its fleet to all pools.
func (m *fleetMember) setPosition(p gossip.FleetPosition) {
	m.position.Store(&p)
	m.applyPosition()
}

// applyPosition applies the newest position and lease. If the node's quota is less than an even share,
// the rest of that share stays unused. If the quota is greater, because the node has a greater weight, the
// node still uses no more than an even share, because a node of greater weight also has more clients.
func (m *fleetMember) applyPosition() {
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	p := m.position.Load()
	position := core.FleetPosition{Index: p.Index, Count: p.Count, UnusedQuotaShare: 1 - min(1, p.Quota*float64(p.Count))}
	if until := m.leaseUntil.Load(); until != nil {
		position.Until = *until
		if until.IsZero() {
			position.UnusedQuotaShare = 1 // the first lease has not been granted yet
		}
	}
	m.node.services.SetFleetPosition(position)
}

// leave gives up the node's quotas.
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
	o.log.Warn("fleet: operator called begin-fleet", "err", err)
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
		return fmt.Errorf("invalid incarnation %.40q: want a decimal number", incarnation)
	}
	err = g.MarkEnded(name, number)
	o.log.Warn("fleet: operator called member-ended", "node", name, "incarnation", number, "err", err)
	return err
}
