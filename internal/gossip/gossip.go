package gossip

import (
	"errors"
	"fmt"
	"io"
	"log"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"jasperpin/internal/membership"
	"jasperpin/internal/nodestate"
)

const (
	// reachableFor is how long after its last sign a member counts as reachable once memberlist has declared it
	// dead, or before it connects. Connected members are marked as seen at each tick. Memberlist suspects a member for some seconds
	// before, longer in large fleets.
	reachableFor = time.Second
	// streamTimeout bounds the connecting and each exchange of a stream between members.
	streamTimeout = 2 * time.Second
	// fullExchangeInterval is the time between two full state exchanges with a random member.
	fullExchangeInterval = 10 * time.Second
	// retransmitMultiplier, times the logarithm of the number of members, is how often a member sends a
	// broadcast. A full exchange brings what is lost all the same.
	retransmitMultiplier = 2
	// leaveMessages is how many members a leaving one sends its record to directly: they broadcast it.
	leaveMessages = 8
)

// ErrListen says that the address for members cannot be listened at.
var ErrListen = errors.New("listening for members")

// Options configure a member.
type Options struct {
	Self      membership.Record // its ID, zone, weight, and the incarnations that have ended
	Listen    netip.AddrPort    // for packets and streams
	Advertise netip.AddrPort    // where other members reach it; the zero value stands for Listen
	Seeds     []string          // addresses of other members, some of which may be down or its own
	// Keys have 16, 24 or 32 bytes. The first encrypts and each of them decrypts; without keys
	// messages are not encrypted.
	Keys           [][]byte
	BytesPerSecond int           // bounds the bytes a second in each direction
	EndedAfter     time.Duration // see membership.Options
	FirstMember    bool          // see membership.Options
	EndedUpTo      func() uint64 // see Incarnations.EndedUpTo; nil for none
	Topics         []Topic       // what the member publishes in addition to its record
	// OnPositionChange is called when the position has changed, one call at a time. It must not call back.
	OnPositionChange func(FleetPosition)
	Log              *slog.Logger
}

// Topic is a kind of notes, and the source of this member's own.
type Topic struct {
	nodestate.Kind
	// Read returns the note's body, or nil to publish none. It is called at the topics' interval and
	// must neither block nor call back.
	Read func() []byte
}

// FleetPosition is this member's position in its fleet.
type FleetPosition struct {
	Index     int     // among all that may be serving, ordered by name
	Count     int     // of all that may be serving
	Reachable int     // of those that are reachable
	Quota     float64 // the member's quota, from 0 to 1
}

// Gossip is a member that is connected to its fleet. It is safe for concurrent use.
type Gossip struct {
	opts       Options
	start      time.Time // the origin of the view's times
	transport  *transport
	list       *memberlist.Memberlist // guarded by mu until Join has returned, constant after
	broadcasts memberlist.TransmitLimitedQueue
	connected  atomic.Int64  // the number of members in addresses, with this one
	rejected   atomic.Uint64 // messages that could not be used
	done       chan struct{} // closed by Close
	running    sync.WaitGroup

	mu              sync.Mutex
	view            *membership.View
	notes           *nodestate.Store
	lastPublication time.Time                // of the topics
	sentRecord      membership.Record        // the own record as it was broadcast last
	addresses       map[membership.ID]string // of the members that memberlist has connected
	lostAddresses   map[membership.ID]string // of those that it has lost and that may be serving
	nameConflicts   map[membership.ID]bool   // joiners by a name in use that were logged
	position        FleetPosition            // as it was passed on last
	leaving         bool
}

// Join listens for members and starts to connect to the fleet in the background. The error wraps ErrListen
// where the address cannot be listened at.
func Join(o Options) (*Gossip, error) {
	if !o.Advertise.IsValid() {
		o.Advertise = o.Listen
	}
	if o.EndedUpTo != nil {
		o.Self.EndedUpTo = o.EndedUpTo()
	}
	g, err := newGossip(o)
	if err != nil {
		return nil, err
	}
	// Memberlist logs for its own developers; what operators need is logged here.
	discard := log.New(io.Discard, "", 0)
	if g.transport, err = listen(o.Listen, o.BytesPerSecond, discard); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrListen, err)
	}
	config, err := g.memberlistConfig(discard)
	if err != nil {
		return nil, errors.Join(err, g.transport.Shutdown())
	}
	list, err := memberlist.Create(config)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("joining the members: %w", err), g.transport.Shutdown())
	}
	g.mu.Lock()
	g.list = list // messages may have arrived already
	g.mu.Unlock()
	g.tick()
	g.running.Go(g.tickLoop)
	g.running.Go(g.reconnectLoop)
	return g, nil
}

// newGossip makes a member without a transport.
func newGossip(o Options) (*Gossip, error) {
	g := &Gossip{
		opts:          o,
		start:         time.Now().Add(-time.Second), // no time is 0, which stands for never
		addresses:     make(map[membership.ID]string),
		lostAddresses: make(map[membership.ID]string),
		nameConflicts: make(map[membership.ID]bool),
		done:          make(chan struct{}),
	}
	var err error
	g.view, err = membership.New(membership.Options{ReachableFor: reachableFor, EndedAfter: o.EndedAfter, FirstMember: o.FirstMember}, o.Self, g.now())
	if err != nil {
		return nil, err
	}
	kinds := make([]nodestate.Kind, len(o.Topics))
	for i, topic := range o.Topics {
		kinds[i] = topic.Kind
	}
	g.notes = nodestate.New(o.Self.ID, g.view, kinds...)
	g.broadcasts.RetransmitMult = retransmitMultiplier
	g.broadcasts.NumNodes = g.connectedCount
	return g, nil
}

// memberlistConfig sets what differs from memberlist's defaults for a local network.
func (g *Gossip) memberlistConfig(logger *log.Logger) (*memberlist.Config, error) {
	config := memberlist.DefaultLANConfig()
	config.Name = memberlistName(g.opts.Self.ID)
	config.Transport = g.transport
	config.Logger = logger
	config.BindAddr = g.opts.Listen.Addr().String()
	config.BindPort = g.transport.GetAutoBindPort()
	config.AdvertiseAddr = g.opts.Advertise.Addr().String()
	config.AdvertisePort = int(g.opts.Advertise.Port())
	if config.AdvertisePort == 0 {
		config.AdvertisePort = config.BindPort
	}
	config.TCPTimeout = streamTimeout
	config.PushPullInterval = fullExchangeInterval
	config.GossipInterval = tickInterval / 2
	config.Delegate = (*delegate)(g)
	config.Events = (*delegate)(g)
	config.EnableCompression = false // messages are too short to gain by it
	if len(g.opts.Keys) > 0 {
		keyring, err := memberlist.NewKeyring(g.opts.Keys, g.opts.Keys[0])
		if err != nil {
			return nil, fmt.Errorf("using the members' keys: %w", err)
		}
		config.Keyring = keyring
	}
	return config, nil
}

// Addr is where other members reach this one.
func (g *Gossip) Addr() string { return g.list.LocalNode().Address() }

// now is the time on the view's clock.
func (g *Gossip) now() time.Duration { return time.Since(g.start) }

// connectedCount is how many members memberlist has connected, with this one. Memberlist's own count
// must not be used: it calls the delegate under locks that the count would need.
func (g *Gossip) connectedCount() int { return int(g.connected.Load()) }

// Leave gives the quota up and sends that to others, within about the given time. Close is still to be called.
func (g *Gossip) Leave(within time.Duration) {
	g.mu.Lock()
	g.view.Leave()
	g.publishLocked()
	g.leaving = true
	record := encodeRecord(g.view.Record(), false)
	delete(g.addresses, g.opts.Self.ID)
	others := slices.Collect(maps.Values(g.addresses))
	g.mu.Unlock()
	for _, addr := range sample(others, leaveMessages) {
		_ = g.list.SendToAddress(memberlist.Address{Addr: addr}, record) // a member that is missed gets it from another
	}
	if len(others) > 0 {
		_ = g.list.Leave(within) // memberlist then detects a failure instead of a leave
	}
}

// Close ends the member without sending anything, as a crash would.
func (g *Gossip) Close() {
	close(g.done)
	_ = g.list.Shutdown() // it fails where it has been shut down already
	g.running.Wait()
}

// sample returns up to n random elements. It reorders all.
func sample(all []string, n int) []string {
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), n)]
}
