package configsync

import (
	"cmp"
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"jasperpin/internal/acceptor"
	"jasperpin/internal/configlog"
	"jasperpin/internal/mtls"
)

const (
	// maxHandshakes bounds the connections that have not sent their hello yet: when a relay fails, its nodes
	// connect to other relays at the same time.
	maxHandshakes = 64
	// DefaultMaxStreams is the default of RelayOptions.MaxStreams. It is six times a relay's share of a fleet of
	// 2,600 nodes with 15 relays, so that a few relays can serve all nodes.
	DefaultMaxStreams = 1024
	// frameCacheSize is the number of newest changes that are cached in encoded form, because all streams send the
	// same frames.
	frameCacheSize = 16
)

// RelayOptions configures a relay.
type RelayOptions struct {
	Voters     Voters
	Files      mtls.Files
	MaxStreams int    // bounds the nodes that are served at the same time; 0 for DefaultMaxStreams
	Dir        string // the directory of the copy, which the relay serves until it reaches a voter; "" for no copy
	Log        *slog.Logger
}

// Relay follows the voters and serves the configuration to nodes. It is safe for concurrent use.
type Relay struct {
	opt                   RelayOptions
	tls                   *tls.Config
	copy                  *diskCopy // the copy on disk, used only by the goroutine of follow; nil for none
	ctx                   context.Context
	stop                  context.CancelFunc
	running               sync.WaitGroup
	start                 time.Time     // the origin of the streams' times
	handshakeSlots        chan struct{} // one element for each connection that has not sent its hello
	divergedSnapshotSlots chan struct{} // one element for each stream that sends a snapshot to a diverged node

	mu sync.Mutex // guards the fields below
	// state is modified only by the goroutine of follow, which may read it without the lock.
	state     *configlog.State
	changed   chan struct{} // closed and replaced when there may be messages to send
	inSyncAt  time.Time     // when a majority of the voters last confirmed the state as the newest; zero for never
	reason    string        // why the relay is not in sync; "" if it is in sync
	listeners []net.Listener
	streams   map[*stream]struct{}
	tracker   configlog.ProgressTracker
	frames    [frameCacheSize]cachedFrame // cached frames, indexed by version modulo frameCacheSize
}

// cachedFrame is an encoded change.
type cachedFrame struct {
	version uint64
	frame   []byte
}

// NewRelay returns a relay that follows the voters until Close.
func NewRelay(opt RelayOptions) (*Relay, error) {
	credentials, err := opt.Files.Load(RelayName)
	if err != nil {
		return nil, fmt.Errorf("creating a configuration relay: %w", err)
	}
	opt.MaxStreams = cmp.Or(opt.MaxStreams, DefaultMaxStreams)
	r := &Relay{
		opt:                   opt,
		tls:                   credentials,
		start:                 time.Now(),
		handshakeSlots:        make(chan struct{}, maxHandshakes),
		divergedSnapshotSlots: make(chan struct{}, configlog.MaxSnapshotStreams),
		state:                 configlog.New(),
		changed:               make(chan struct{}),
		streams:               make(map[*stream]struct{}),
	}
	if opt.Dir != "" {
		r.copy, r.state = openCopy(opt.Dir, opt.Log)
	}
	r.ctx, r.stop = context.WithCancel(context.Background())
	r.running.Go(r.follow)
	return r, nil
}

// Serve accepts connections of nodes until Close. It returns nil after Close. The relay closes the listener.
func (r *Relay) Serve(ln net.Listener) error {
	ln = acceptor.New(ln, "configuration streams", r.opt.Log)
	r.mu.Lock()
	r.listeners = append(r.listeners, ln)
	r.mu.Unlock()
	for {
		conn, err := ln.Accept()
		if r.ctx.Err() != nil {
			if err == nil {
				conn.Close()
			}
			return nil
		}
		if err != nil {
			return fmt.Errorf("accepting configuration streams: %w", err)
		}
		select { // without a free slot, further connections wait in the kernel's accept queue
		case r.handshakeSlots <- struct{}{}:
		case <-r.ctx.Done():
			conn.Close()
			return nil
		}
		r.startConn(conn)
	}
}

// startConn serves a connection in its own goroutine. If the relay is closed it closes the connection instead, because
// Close waits only for goroutines that were started before it.
func (r *Relay) startConn(conn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx.Err() != nil {
		conn.Close()
		return
	}
	r.running.Go(func() { r.serveConn(conn) })
}

// Close closes all listeners and streams, stops following the voters, and waits until all goroutines have ended.
func (r *Relay) Close() {
	r.mu.Lock()
	r.stop()
	for _, ln := range r.listeners {
		ln.Close()
	}
	r.mu.Unlock()
	r.running.Wait()
}

// notifyLocked notifies the streams' writers. The caller must hold mu.
func (r *Relay) notifyLocked() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// ageLocked returns the time since the state was certainly the newest. The caller must hold mu.
func (r *Relay) ageLocked() time.Duration {
	if r.inSyncAt.IsZero() {
		return configlog.AgeUnknown
	}
	return time.Since(r.inSyncAt)
}

// encodeChange returns the frame of a change. The frame is shared and must not be modified.
func (r *Relay) encodeChange(c configlog.Change) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	cached := &r.frames[c.Version%frameCacheSize]
	if cached.version != c.Version {
		*cached = cachedFrame{version: c.Version, frame: encodeMessage(configlog.Changes{c})}
	}
	return cached.frame
}

// RelayStatus is the status of a relay, for operators.
type RelayStatus struct {
	Version uint64
	Digest  configlog.Digest
	Age     time.Duration // the time since the relay was last in sync with a majority of the voters; negative for never
	Reason  string        // why the relay is not in sync; "" if it is in sync
	Nodes   []NodeStatus  // the connected nodes, ordered by name
}

// NodeStatus is the status of a node that a relay serves.
type NodeStatus struct {
	Name, Zone  string
	ConnectedAt time.Time  // when the node connected
	SentVersion uint64     // the newest version that was written to the node's connection
	Report      NodeReport // the node's last report
}

// Status returns the relay's status.
func (r *Relay) Status() RelayStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := RelayStatus{Version: r.state.Version(), Digest: r.state.Digest(), Age: -1, Reason: r.reason}
	if !r.inSyncAt.IsZero() {
		s.Age = time.Since(r.inSyncAt)
	}
	for st := range r.streams {
		s.Nodes = append(s.Nodes, NodeStatus{
			Name:        st.node.Name,
			Zone:        st.node.Zone,
			ConnectedAt: st.since,
			SentVersion: st.progress.SentVersion(),
			Report:      st.report,
		})
	}
	slices.SortFunc(s.Nodes, func(a, b NodeStatus) int { return cmp.Compare(a.Name, b.Name) })
	return s
}
