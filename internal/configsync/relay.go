package configsync

import (
	"bufio"
	"cmp"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"jasperpin/internal/acceptor"
	"jasperpin/internal/configlog"
	"jasperpin/internal/consensus"
	"jasperpin/internal/lengthprefix"
	"jasperpin/internal/mtls"
)

const (
	// maxShaking bounds the connections that have not said hello yet: a relay's death brings its
	// nodes to the others at once.
	maxShaking = 64
	// DefaultStreams is the most nodes that a relay serves, unless told otherwise: six times its
	// share of 2,600 over 15.
	DefaultStreams = 1024
	// pollWait is how long the voters may wait with an answer, far below conf.Stale, and pollPause how
	// long a relay waits after one that failed or had no majority behind it.
	pollWait  = 1500 * time.Millisecond
	pollPause = 250 * time.Millisecond
	// keepFrames is how many changes are kept encoded: all streams send the same.
	keepFrames = 16
	// together is how many bytes of frames go in one write.
	together = 16 << 10
)

// Voters are whom a relay follows; *cluster.Client is it.
type Voters interface {
	Config(ctx context.Context, since uint64, wait time.Duration) (consensus.News, error)
	ConfigSnapshot(ctx context.Context, beyond uint64) (*configlog.State, error)
}

// RelayOptions are what a relay is made of.
type RelayOptions struct {
	Voters  Voters
	Files   mtls.Files
	Streams int    // the most at a time; DefaultStreams for 0
	Folder  string // for a copy, from which it serves until it reaches a voter; "" for none
	Log     *slog.Logger
}

// Relay follows the voters and serves the configuration to nodes, one stream each.
type Relay struct {
	opt  RelayOptions
	tls  *tls.Config
	copy *folder
	ctx  context.Context
	stop context.CancelFunc
	wait sync.WaitGroup

	start   time.Time
	shaking chan struct{} // a place for each that has not said hello
	wholes  chan struct{} // and for each that is sent all anew

	mu        sync.Mutex
	state     *configlog.State
	changed   chan struct{} // closed with the next change
	level     time.Time     // when a majority of the voters last had nothing newer
	why       string        // it is not level
	listeners []net.Listener
	streams   map[*stream]struct{}
	cursors   configlog.ProgressTracker
	newest    [keepFrames]encoded
}

// encoded is a change as a frame.
type encoded struct {
	version uint64
	frame   []byte
}

// NewRelay makes a relay that follows the voters from now on, until Close.
func NewRelay(opt RelayOptions) (*Relay, error) {
	t, err := opt.Files.Load(RelayName)
	if err != nil {
		return nil, fmt.Errorf("a relay of the configuration: %w", err)
	}
	opt.Streams = cmp.Or(opt.Streams, DefaultStreams)
	r := &Relay{
		opt: opt, tls: t, state: configlog.New(), changed: make(chan struct{}), streams: make(map[*stream]struct{}),
		start: time.Now(), shaking: make(chan struct{}, maxShaking), wholes: make(chan struct{}, configlog.MaxSnapshotStreams),
	}
	if opt.Folder != "" {
		r.copy, r.state = openFolder(opt.Folder, opt.Log)
	}
	r.ctx, r.stop = context.WithCancel(context.Background())
	r.wait.Go(r.follow)
	return r, nil
}

// follow keeps level with the voters.
func (r *Relay) follow() {
	wait := time.Duration(0)
	for r.ctx.Err() == nil {
		agreed, err := r.poll(wait)
		r.mu.Lock()
		switch was := r.why; {
		case err != nil:
			r.why = err.Error()
		case !agreed:
			r.why = "no majority of the voters is reached"
		default:
			r.why, r.level = "", time.Now()
			if was != "" {
				r.opt.Log.Info("the relay is level with the voters again", "version", r.state.Version())
			}
		}
		told := r.why
		r.mu.Unlock()
		if wait = pollWait; told == "" {
			continue
		}
		if r.ctx.Err() == nil && wait > 0 {
			r.opt.Log.Debug("the relay is not level with the voters", "why", told)
		}
		wait = 0
		t := time.NewTimer(pollPause)
		select {
		case <-r.ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
	if r.copy != nil {
		r.copy.close()
	}
}

// poll asks the voters once, and says whether the state is then what a majority has.
func (r *Relay) poll(wait time.Duration) (agreed bool, err error) {
	version := r.state.Version() // none but this goroutine changes it
	n, err := r.opt.Voters.Config(r.ctx, version, wait)
	if err != nil {
		return false, err
	}
	for _, c := range n.Changes {
		r.mu.Lock()
		if err = r.state.Apply(c); err == nil {
			r.tell()
		}
		r.mu.Unlock()
		if err != nil {
			break
		}
		if r.copy != nil {
			r.copy.add(c, c.Version == n.Version, r.bare)
		}
	}
	if n.Forgotten || errors.Is(err, configlog.ErrDigest) {
		s, err := r.opt.Voters.ConfigSnapshot(r.ctx, version)
		if err != nil {
			return false, err
		}
		r.mu.Lock()
		r.state = s
		r.tell()
		r.mu.Unlock()
		if r.copy != nil {
			r.copy.install(r.bare())
		}
		return false, nil // there may be more behind it
	}
	if err == nil && n.Version < version {
		err = fmt.Errorf("the voters have version %d, which is before %d", n.Version, version)
	}
	if err == nil && n.Version == r.state.Version() && n.Digest != r.state.Digest() {
		err = fmt.Errorf("%w: the voters have another version %d", configlog.ErrDigest, n.Version)
	}
	return n.Agreed && r.state.Version() == n.Version, err
}

// bare is the state as it is, for nodes and for the copy.
func (r *Relay) bare() configlog.Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Snapshot().WithoutLog()
}

// tell wakes the streams. Called under the lock.
func (r *Relay) tell() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// age is for how long the relay has not been level. Called under the lock.
func (r *Relay) age() time.Duration {
	if r.level.IsZero() {
		return configlog.AgeUnknown
	}
	return time.Since(r.level)
}

// frame gives a change as it is sent. Called under the lock.
func (r *Relay) frame(c configlog.Change) []byte {
	e := &r.newest[c.Version%keepFrames]
	if e.version != c.Version {
		*e = encoded{c.Version, lengthprefix.End(configlog.AppendMessage(lengthprefix.New(nil), configlog.Changes{c}))}
	}
	return e.frame
}

// Serve takes nodes' connections from a listener until Close.
func (r *Relay) Serve(ln net.Listener) error {
	ln = acceptor.New(ln, "nodes that want the configuration", r.opt.Log)
	r.mu.Lock()
	r.listeners = append(r.listeners, ln)
	r.mu.Unlock()
	for {
		c, err := ln.Accept()
		if r.ctx.Err() != nil {
			if err == nil {
				c.Close()
			}
			return nil
		}
		if err != nil {
			return fmt.Errorf("listening for nodes that want the configuration: %w", err)
		}
		select { // beyond the bound they wait in the kernel's queue
		case r.shaking <- struct{}{}:
		case <-r.ctx.Done():
			c.Close()
			return nil
		}
		r.mu.Lock()
		if r.ctx.Err() == nil { // Close waits for no more than were there when it began
			r.wait.Go(func() { r.serve(c) })
		} else {
			c.Close()
		}
		r.mu.Unlock()
	}
}

// Close ends all streams, and stops following.
func (r *Relay) Close() {
	r.mu.Lock()
	r.stop()
	for _, ln := range r.listeners {
		ln.Close()
	}
	r.mu.Unlock()
	r.wait.Wait()
}

// stream is one node's.
type stream struct {
	r     *Relay
	conn  net.Conn
	who   hello
	since time.Time
	asked chan struct{} // it said from where to go on

	// Under the relay's lock.
	cursor *configlog.Progress
	whole  bool // it has another history, and asked for all anew
	told   Told
}

// serve has one connection to its end.
func (r *Relay) serve(raw net.Conn) {
	shaking := true
	shaken := func() {
		if shaking {
			shaking = false
			<-r.shaking
		}
	}
	defer shaken()
	defer raw.Close()
	defer context.AfterFunc(r.ctx, func() { raw.Close() })()
	c := tls.Server(raw, r.tls)
	_ = c.SetDeadline(time.Now().Add(shakeWithin))
	br := bufio.NewReaderSize(c, 512)
	st, err := r.greet(c, br)
	if err != nil {
		if c.ConnectionState().HandshakeComplete {
			_ = send(c, lengthprefix.End(append(append(lengthprefix.New(nil), sayRefusal), err.Error()...)))
		}
		r.opt.Log.Debug("a node's stream was refused", "from", raw.RemoteAddr().String(), "err", err)
		return
	}
	_ = c.SetDeadline(time.Time{})
	shaken()
	ctx, cancel := context.WithCancelCause(r.ctx)
	var writer sync.WaitGroup
	writer.Go(func() {
		if err := st.write(ctx); err != nil {
			cancel(err)
		}
		raw.Close()
	})
	err = st.read(br)
	cancel(err)
	writer.Wait()
	r.mu.Lock()
	delete(r.streams, st)
	st.cursor.Close()
	r.mu.Unlock()
	r.opt.Log.Debug("a node's stream ended", "node", st.who.Name, "why", context.Cause(ctx))
}

// greet reads a node's hello, and gives it a place.
func (r *Relay) greet(c net.Conn, br *bufio.Reader) (*stream, error) {
	text, err := read(br, nil, maxSaid)
	if err != nil {
		return nil, err
	}
	st := &stream{r: r, conn: c, since: time.Now(), asked: make(chan struct{}, 1)}
	if err := json.Unmarshal(text[1:], &st.who); err != nil || text[0] != sayHello {
		return nil, fmt.Errorf("%w: no hello", errFrame)
	}
	if st.who.Protocol != protocol {
		return nil, fmt.Errorf("protocol %d is spoken, want %d", st.who.Protocol, protocol)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.streams) >= r.opt.Streams {
		return nil, fmt.Errorf("%d nodes are served, which are the most", len(r.streams))
	}
	r.streams[st] = struct{}{}
	st.cursor = r.cursors.Open()
	return st, nil
}

// read hears a node until its stream ends.
func (st *stream) read(br *bufio.Reader) error {
	var buf []byte
	for {
		_ = st.conn.SetReadDeadline(time.Now().Add(quietFor))
		payload, err := read(br, buf, maxSaid)
		if err != nil {
			return err
		}
		if buf = payload; payload[0] == sayTold {
			var told Told
			if err := json.Unmarshal(payload[1:], &told); err != nil {
				return fmt.Errorf("%w: %w", errFrame, err)
			}
			st.r.mu.Lock()
			st.told = told
			st.r.mu.Unlock()
			continue
		}
		resume, err := configlog.DecodeResume(payload)
		if err != nil {
			return err
		}
		st.r.mu.Lock()
		// The digest of nothing: what the node has is denied by most relays. Changes, which a young log
		// has from the first on, would not help it.
		if st.whole = resume.Digest == (configlog.Digest{}); !st.whole {
			st.cursor.Resume(resume.Version, resume.WithLog)
		}
		st.r.mu.Unlock()
		select {
		case st.asked <- struct{}{}:
		default:
		}
	}
}

// write sends what there is, when there is something. It holds nothing back for who takes too little:
// what goes next is looked up when the last was taken.
func (st *stream) write(ctx context.Context) error {
	r := st.r
	beat := time.NewTimer(configlog.HeartbeatInterval)
	defer beat.Stop()
	for {
		r.mu.Lock()
		changed := r.changed
		r.mu.Unlock()
		if err := st.anew(); err != nil {
			return err
		}
		if err := st.all(); err != nil {
			return err
		}
		beat.Reset(configlog.HeartbeatInterval)
		select {
		case <-ctx.Done():
			return nil
		case <-st.asked:
		case <-changed:
		case <-beat.C:
		}
	}
}

// anew sends the whole state to a node that has another history, once there is room among those to whom it is
// being sent.
func (st *stream) anew() error {
	r := st.r
	r.mu.Lock()
	if !st.whole || r.state.Version() == 0 {
		r.mu.Unlock()
		return nil
	}
	select {
	case r.wholes <- struct{}{}:
	default:
		r.mu.Unlock()
		return nil
	}
	defer func() { <-r.wholes }()
	s := r.state.Snapshot().WithoutLog()
	r.mu.Unlock()
	until := time.Now().Add(configlog.SnapshotTimeout)
	for p := (configlog.SnapshotChunk{}); !p.Last; {
		if time.Now().After(until) {
			return fmt.Errorf("a node did not take a snapshot in %v", configlog.SnapshotTimeout)
		}
		p = s.Chunk(p)
		if err := send(st.conn, lengthprefix.End(configlog.AppendMessage(lengthprefix.New(nil), p))); err != nil {
			return err
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	st.whole = false
	st.cursor.Resume(s.Version(), false)
	return nil
}

// all sends words until there is none for now, several small frames in one write.
func (st *stream) all() error {
	r := st.r
	var small []byte
	flush := func() error {
		if len(small) == 0 {
			return nil
		}
		err := send(st.conn, small)
		small = small[:0]
		return err
	}
	put := func(frame []byte) error {
		if len(frame) < together {
			if small = append(small, frame...); len(small) < together {
				return nil
			}
			return flush()
		}
		if err := flush(); err != nil {
			return err
		}
		return send(st.conn, frame)
	}
	for {
		r.mu.Lock()
		w := st.cursor.NextMessage(r.state, r.age(), time.Since(r.start))
		r.mu.Unlock()
		var err error
		switch w := w.(type) {
		case nil:
			return flush()
		case configlog.Changes:
			for i := 0; i < len(w) && err == nil; i++ {
				r.mu.Lock()
				frame := r.frame(w[i])
				r.mu.Unlock()
				err = put(frame)
			}
		case configlog.SnapshotChunk:
			err = put(lengthprefix.End(configlog.AppendMessage(lengthprefix.New(nil), w)))
			if w.Last { // another's turn
				r.mu.Lock()
				r.tell()
				r.mu.Unlock()
			}
		default:
			err = put(lengthprefix.End(configlog.AppendMessage(lengthprefix.New(nil), w)))
		}
		if err != nil {
			return err
		}
	}
}

// RelayStatus is how things stand with a relay.
type RelayStatus struct {
	Version uint64
	Digest  configlog.Digest
	Age     time.Duration // since it was level with a majority of the voters; negative where it never was
	Why     string        `json:",omitempty"` // it is not level
	Nodes   []NodeStatus
}

// NodeStatus is how things stand with a node that a relay serves.
type NodeStatus struct {
	Name, Zone string
	Since      time.Time // it is connected
	Sent       uint64    // the newest version that the connection took
	Told       Told
}

// Status tells how things stand.
func (r *Relay) Status() RelayStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := RelayStatus{Version: r.state.Version(), Digest: r.state.Digest(), Age: -1, Why: r.why}
	if !r.level.IsZero() {
		s.Age = time.Since(r.level)
	}
	for st := range r.streams {
		s.Nodes = append(s.Nodes, NodeStatus{st.who.Name, st.who.Zone, st.since, st.cursor.Sent(), st.told})
	}
	slices.SortFunc(s.Nodes, func(a, b NodeStatus) int { return cmp.Compare(a.Name, b.Name) })
	return s
}
