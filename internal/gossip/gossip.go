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
	// reachableFor is how long a member that is not connected counts as reachable after it was last seen, either
	// because memberlist has declared it failed or because it has not connected yet. Connected members are marked as
	// seen at each tick. Before it declares a member failed, memberlist suspects it for some seconds, and for longer
	// in large fleets.
	reachableFor = time.Second
	// streamTimeout bounds the dial and each exchange of a stream between members.
	streamTimeout = 2 * time.Second
	// fullExchangeInterval is the time between two full state exchanges with a random member.
	fullExchangeInterval = 10 * time.Second
	// retransmitMultiplier, times the logarithm of the number of members, is how many times a member transmits a
	// broadcast. Full exchanges replace broadcasts that are lost nevertheless.
	retransmitMultiplier = 2
	// leaveMessages is the number of members to which a leaving member sends its record directly. These members
	// broadcast the record.
	leaveMessages = 8
)

// ErrListen is returned if listening on Options.Listen fails.
var ErrListen = errors.New("listening for members")

// Options configures a member.
type Options struct {
	Self      membership.Record // the ID, zone, weight and EndedUpTo of the member
	Listen    netip.AddrPort    // the address for packets and streams
	Advertise netip.AddrPort    // the address to which other members connect; the zero value stands for Listen
	Seeds     []string          // addresses of other members; some may be down, or the member's own
	// Keys have 16, 24 or 32 bytes. The first encrypts messages, and all can decrypt them. Without keys messages
	// are not encrypted.
	Keys           [][]byte
	BytesPerSecond int           // limit on the traffic in each direction, in bytes per second
	EndedAfter     time.Duration // see membership.Options
	FirstMember    bool          // see membership.Options
	EndedUpTo      func() uint64 // see Incarnations.EndedUpTo; nil for none
	Topics         []Topic       // what the member publishes in addition to its record
	// OnPositionChange is called after the position has changed, one call at a time; nil for none. It must not
	// call methods of Gossip.
	OnPositionChange func(FleetPosition)
	Log              *slog.Logger
}

// Topic is a kind of notes that a member publishes.
type Topic struct {
	nodestate.Kind
	// Read returns the body of the member's next note, or nil to publish none. It is called at the topics'
	// interval. It must not block and must not call methods of Gossip.
	Read func() []byte
}

// FleetPosition is this member's position in its fleet.
type FleetPosition struct {
	Index     int     // the index among all members that may be serving, ordered by name
	Count     int     // the number of members that may be serving
	Reachable int     // the number of those that are reachable
	Quota     float64 // the member's quota, from 0 to 1
}

// Gossip is a member connected to its fleet. It is safe for concurrent use.
type Gossip struct {
	opts       Options
	start      time.Time // the origin of the view's times
	transport  *transport
	list       *memberlist.Memberlist // guarded by mu until Join has returned, constant after
	broadcasts memberlist.TransmitLimitedQueue
	connected  atomic.Int64  // the number of members in addresses, including this one
	rejected   atomic.Uint64 // the number of invalid messages
	done       chan struct{} // closed by Close
	running    sync.WaitGroup

	mu              sync.Mutex
	view            *membership.View
	notes           *nodestate.Store
	lastPublication time.Time                // the time of the last publication of the topics
	sentRecord      membership.Record        // the member's record as it was last broadcast
	addresses       map[membership.ID]string // the addresses of the members that memberlist has connected
	lostAddresses   map[membership.ID]string // the last addresses of the members whose connection was lost and that may be serving
	nameConflicts   map[membership.ID]bool   // the joiners with a name in use that were logged
	position        FleetPosition            // the position as it was last reported
	leaving         bool
}

// Join listens for members and starts to connect to the fleet in the background. The error wraps ErrListen if the
// listen fails.
func Join(opts Options) (*Gossip, error) {
	if !opts.Advertise.IsValid() {
		opts.Advertise = opts.Listen
	}
	if opts.EndedUpTo != nil {
		opts.Self.EndedUpTo = opts.EndedUpTo()
	}
	member, err := newGossip(opts)
	if err != nil {
		return nil, err
	}
	// Memberlist's messages are for its developers. This package logs the events that operators need.
	discard := log.New(io.Discard, "", 0)
	if member.transport, err = listen(opts.Listen, opts.BytesPerSecond, discard); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrListen, err)
	}
	config, err := member.memberlistConfig(discard)
	if err != nil {
		return nil, errors.Join(err, member.transport.Shutdown())
	}
	list, err := memberlist.Create(config)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("starting memberlist: %w", err), member.transport.Shutdown())
	}
	member.mu.Lock()
	member.list = list // messages may have arrived already
	member.mu.Unlock()
	member.tick()
	member.running.Go(member.tickLoop)
	member.running.Go(member.reconnectLoop)
	return member, nil
}

// newGossip returns a Gossip without a transport.
func newGossip(opts Options) (*Gossip, error) {
	member := &Gossip{
		opts:          opts,
		start:         time.Now().Add(-time.Second), // so that no time is 0, which means never
		addresses:     make(map[membership.ID]string),
		lostAddresses: make(map[membership.ID]string),
		nameConflicts: make(map[membership.ID]bool),
		done:          make(chan struct{}),
	}
	var err error
	member.view, err = membership.New(membership.Options{ReachableFor: reachableFor, EndedAfter: opts.EndedAfter, FirstMember: opts.FirstMember}, opts.Self, member.now())
	if err != nil {
		return nil, err
	}
	kinds := make([]nodestate.Kind, len(opts.Topics))
	for i, topic := range opts.Topics {
		kinds[i] = topic.Kind
	}
	member.notes = nodestate.New(opts.Self.ID, member.view, kinds...)
	member.broadcasts.RetransmitMult = retransmitMultiplier
	member.broadcasts.NumNodes = member.connectedCount
	return member, nil
}

// memberlistConfig returns memberlist's default configuration for a local network with this package's values.
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
	config.EnableCompression = false // messages are too short to benefit from it
	if len(g.opts.Keys) > 0 {
		keyring, err := memberlist.NewKeyring(g.opts.Keys, g.opts.Keys[0])
		if err != nil {
			return nil, fmt.Errorf("loading the members' keys: %w", err)
		}
		config.Keyring = keyring
	}
	return config, nil
}

// Addr returns the address to which other members connect.
func (g *Gossip) Addr() string { return g.list.LocalNode().Address() }

// now returns the time on the view's clock.
func (g *Gossip) now() time.Duration { return time.Since(g.start) }

// connectedCount returns the number of members that memberlist has connected, including this one. Memberlist's own
// count must not be used: memberlist calls the delegate while it holds the locks that its count acquires.
func (g *Gossip) connectedCount() int { return int(g.connected.Load()) }

// Leave gives up the quota and sends the leave to other members. It returns within about the given time. The caller must
// call Close afterwards.
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
		// After an error the member receives the record from another member.
		_ = g.list.SendToAddress(memberlist.Address{Addr: addr}, record)
	}
	if len(others) > 0 {
		_ = g.list.Leave(within) // after an error memberlist detects a failure instead of a leave
	}
}

// Close stops the member without sending a message, like a crash.
func (g *Gossip) Close() {
	close(g.done)
	_ = g.list.Shutdown() // fails if it was already shut down
	g.running.Wait()
}

// sample returns at most n random elements of all. It shuffles all.
func sample(all []string, n int) []string {
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), n)]
}
