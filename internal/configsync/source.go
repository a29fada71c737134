package configsync

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"jasperpin/internal/configlog"
	"jasperpin/internal/lengthprefix"
	"jasperpin/internal/mtls"
)

// restTick is how often a source that is level looks at the time; one that is not does each conf.Stagger.
const restTick = 500 * time.Millisecond

// maxWhy bounds what a node says of a change that it refused, in bytes.
const maxWhy = 512

// RelayAt is a relay, and where it is reached.
type RelayAt struct {
	configlog.Peer
	Addr string
}

// SourceOptions are what a node's side is made of.
type SourceOptions struct {
	Name         string // of the node
	Zone, Region string
	Relays       []RelayAt
	Files        mtls.Files
	Folder       string // for the copy; "" for none
	Seed         uint64
	// Install has a whole configuration in force: first of all that of the copy, of version 0 where
	// there is none. Change has the next one. They are called one after another; an error says what
	// could not be put in force, is counted and told, and does not stop what comes later.
	Install func(configlog.Snapshot) error
	Change  func(configlog.Change) error
	Log     *slog.Logger
}

// Source follows the configuration for one node.
type Source struct {
	opt    SourceOptions
	tls    *tls.Config
	addrs  map[string]string // by relay
	copy   *folder
	start  time.Time
	events chan event
	stop   context.CancelFunc
	wait   sync.WaitGroup

	// Of the loop alone.
	f        *configlog.Follower
	sessions map[uint64]*session
	chosen   uint64 // the stream that was asked to go on
	told     Told
	toldAt   time.Time

	heard, said atomic.Int64 // bytes

	mu     sync.Mutex
	status Status
	level  time.Time // when what is in force was certainly the newest
	left   map[configlog.Why]int
	last   string // why the last relay was left
}

// event is something that a session has met: nothing but itself once it is connected, an error at its end.
type event struct {
	stream uint64
	word   configlog.Message
	err    error
}

// NewSource has what the copy holds in force, and follows from there on, until Close.
func NewSource(opt SourceOptions) (*Source, error) {
	t, err := opt.Files.Load(RelayName)
	if err != nil {
		return nil, fmt.Errorf("a source of the configuration: %w", err)
	}
	s := &Source{opt: opt, tls: t, addrs: make(map[string]string), start: time.Now(), events: make(chan event), sessions: make(map[uint64]*session), left: make(map[configlog.Why]int)}
	follow := configlog.Options{Name: opt.Name, Zone: opt.Zone, Region: opt.Region, Seed: opt.Seed}
	for _, r := range opt.Relays {
		follow.Peers = append(follow.Peers, r.Peer)
		s.addrs[r.Name] = r.Addr
	}
	state := configlog.New()
	if opt.Folder != "" {
		s.copy, state = openFolder(opt.Folder, opt.Log)
	}
	s.put(opt.Install(state.Snapshot().WithoutLog()), state.Version())
	s.f = configlog.NewFollower(follow, state, 0)
	s.publish(0)
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	s.wait.Go(func() { s.run(ctx) })
	return s, nil
}

// Close stops following. What is in force stays so.
func (s *Source) Close() {
	s.stop()
	s.wait.Wait()
}

// run feeds the follower, and does what it says.
func (s *Source) run(ctx context.Context) {
	defer func() {
		for _, x := range s.sessions {
			x.stop()
		}
		if s.copy != nil {
			s.copy.close()
		}
	}()
	tick := time.NewTimer(0)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-s.events:
			s.hear(e, time.Since(s.start))
		case <-tick.C:
			s.f.Tick(time.Since(s.start))
			s.tell(false)
		}
		now := time.Since(s.start)
		for _, a := range s.f.Ready() {
			s.do(ctx, a)
		}
		s.publish(now)
		wait := configlog.DialStagger
		if _, level := s.f.Following(now); level && len(s.sessions) == 1 {
			wait = restTick
		}
		tick.Reset(wait)
	}
}

func (s *Source) hear(e event, now time.Duration) {
	x := s.sessions[e.stream]
	if x == nil {
		return // it was left
	}
	switch w := e.word.(type) {
	case configlog.Heartbeat:
		s.f.HandleHeartbeat(e.stream, w, now)
	case configlog.Changes:
		s.f.HandleChanges(e.stream, w, now)
	case configlog.SnapshotChunk:
		s.f.HandleChunk(e.stream, w, now)
	default:
		if e.err == nil {
			s.f.HandleConnected(e.stream, now)
			return
		}
		s.note(x.peer, configlog.ReasonLost, e.err)
		s.end(e.stream)
		s.f.HandleLost(e.stream, now)
	}
}

func (s *Source) end(stream uint64) {
	if x := s.sessions[stream]; x != nil {
		x.stop()
		delete(s.sessions, stream)
	}
	if s.chosen == stream {
		s.chosen = 0
	}
}

func (s *Source) do(ctx context.Context, a configlog.Action) {
	switch a := a.(type) {
	case configlog.Dial:
		dialling, stop := context.WithCancel(ctx)
		x := &session{s: s, stream: a.Stream, peer: a.Peer, ctx: dialling, stop: stop}
		s.sessions[a.Stream] = x
		s.wait.Go(x.run)
	case configlog.Resume:
		s.chosen = a.Stream
		s.say(lengthprefix.End(configlog.AppendResume(lengthprefix.New(nil), a)))
		s.tell(true)
	case configlog.CloseStream:
		s.note(a.Peer, a.Reason, nil)
		s.end(a.Stream)
	case configlog.ApplyChanges:
		for i, c := range a.Changes {
			if s.copy != nil { // before it is in force, so that a restart does not go back behind it
				s.copy.add(c, i == len(a.Changes)-1, func() configlog.Snapshot { return s.f.State().Snapshot().WithoutLog() })
			}
			s.put(s.opt.Change(c), c.Version)
		}
		s.tell(true)
	case configlog.InstallSnapshot:
		if s.copy != nil {
			s.copy.install(a.Snapshot.WithoutLog())
		}
		s.put(s.opt.Install(a.Snapshot), a.Snapshot.Version())
		s.tell(true)
	}
}

// put notes what became of a version.
func (s *Source) put(err error, version uint64) {
	s.told.Version = version
	if err == nil {
		return
	}
	s.told.Refused++
	s.told.Why = err.Error()[:min(len(err.Error()), maxWhy)]
	s.opt.Log.Error("a change of the configuration is refused", "version", version, "err", err)
}

// tell has the relay know what is in force, now or because it was long ago.
func (s *Source) tell(news bool) {
	if !news && time.Since(s.toldAt) < tellEvery || s.chosen == 0 {
		return
	}
	s.toldAt = time.Now()
	if frame, err := said(sayTold, s.told); err == nil {
		s.say(frame)
	}
}

// say sends the chosen relay a word. Where that fails its stream ends, which the reader tells.
func (s *Source) say(frame []byte) {
	if x := s.sessions[s.chosen]; x != nil && x.conn != nil && send(x.conn, frame) != nil {
		x.stop()
	}
}

// session is one stream, or a dial for it.
type session struct {
	s      *Source
	stream uint64
	peer   string
	ctx    context.Context
	stop   context.CancelFunc
	conn   net.Conn // set before the first event
}

// run dials, and hears the relay until its stream ends.
func (x *session) run() {
	defer x.stop()
	err := x.hear()
	x.event(event{err: err})
}

// event hands something to the loop, which takes it when it is ready: until then nothing more is read.
func (x *session) event(e event) bool {
	e.stream = x.stream
	select {
	case x.s.events <- e:
		return true
	case <-x.ctx.Done():
		return false
	}
}

var errLeft = errors.New("the stream is left")

func (x *session) hear() error {
	opt := &x.s.opt
	dialling, cancel := context.WithTimeout(x.ctx, configlog.DialTimeout)
	defer cancel()
	raw, err := (&net.Dialer{}).DialContext(dialling, "tcp", x.s.addrs[x.peer])
	if err != nil {
		return err
	}
	defer raw.Close()
	defer context.AfterFunc(x.ctx, func() { raw.Close() })()
	conn := tls.Client(&counted{Conn: raw, s: x.s}, x.s.tls)
	if err := conn.HandshakeContext(dialling); err != nil {
		return err
	}
	greeting, err := said(sayHello, hello{protocol, opt.Name, opt.Zone})
	if err != nil {
		return err
	}
	if err := send(conn, greeting); err != nil {
		return err
	}
	x.conn = conn
	if !x.event(event{}) {
		return errLeft
	}
	br := bufio.NewReaderSize(conn, 4<<10)
	var buf []byte
	for {
		payload, err := read(br, buf, configlog.MaxMessage)
		if err != nil {
			return err
		}
		w, err := parseWord(payload)
		if err != nil {
			return err
		}
		if buf = payload; cap(buf) > keepBuffer {
			buf = nil
		}
		if all, ok := w.(configlog.Changes); ok { // what has come with them goes on with them
			w = more(br, all)
		}
		if !x.event(event{word: w}) {
			return errLeft
		}
	}
}

// counted counts a source's bytes, as TCP carries them.
type counted struct {
	net.Conn
	s *Source
}

func (c *counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.s.heard.Add(int64(n))
	return n, err
}

func (c *counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.s.said.Add(int64(n))
	return n, err
}

// more adds the changes that are in the buffer already: the copy on the disk is then written once.
func more(br *bufio.Reader, all configlog.Changes) configlog.Changes {
	for len(all) < configlog.MaxLog {
		next, ok := lengthprefix.Buffered(br)
		if !ok {
			break
		}
		w, err := configlog.DecodeMessage(next)
		c, ok := w.(configlog.Changes)
		if err != nil || !ok {
			break // it is read when its turn comes
		}
		all = append(all, c...)
		_, _ = br.Discard(lengthprefix.Head + len(next))
	}
	return all
}

// Status is how things stand with a node's configuration.
type Status struct {
	Version uint64           `json:"Version"`
	Digest  configlog.Digest `json:"Digest"`
	// Age is how long ago what is in force was certainly the newest; negative where that was never known.
	Age     time.Duration         `json:"Age"`
	Relay   string                `json:"Relay"`             // that is followed, "" for none
	Level   bool                  `json:"Level"`             // with it, and it with the voters
	Why     string                `json:"Why,omitempty"`     // it is not level
	Refused uint64                `json:"Refused,omitempty"` // changes that could not be put in force whole, and why the last
	Refusal string                `json:"Refusal,omitempty"`
	Copy    string                `json:"Copy,omitempty"` // why no copy is kept
	Left    map[configlog.Why]int `json:"Left"`
	// Heard and Said are bytes on the network so far, as TCP carries them.
	Heard int64 `json:"Heard"`
	Said  int64 `json:"Said"`
}

// Status tells how things stand.
func (s *Source) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	is := s.status
	if is.Age = -1; !s.level.IsZero() {
		is.Age = time.Since(s.level)
	}
	is.Left = maps.Clone(s.left)
	is.Heard, is.Said = s.heard.Load(), s.said.Load()
	return is
}

// publish has Status know how things stand.
func (s *Source) publish(now time.Duration) {
	state := s.f.State()
	is := Status{Version: s.told.Version, Digest: state.Digest(), Refused: s.told.Refused, Refusal: s.told.Why}
	is.Relay, is.Level = s.f.Following(now)
	if s.copy != nil && s.copy.failed != nil {
		is.Copy = s.copy.failed.Error()
	}
	age := s.f.Age(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case is.Level:
	case s.f.Diverged():
		is.Why = "most relays deny what is in force; all is asked for anew"
	case is.Relay != "":
		is.Why = "the relay itself is behind, or has not heard of a majority of the voters"
	case s.last != "":
		is.Why = "no relay is reached; the last was left: " + s.last
	default:
		is.Why = "no relay is reached yet"
	}
	if s.status = is; age < configlog.AgeUnknown {
		s.level = s.start.Add(now - age)
	}
}

// note counts why a relay was left.
func (s *Source) note(peer string, why configlog.Why, err error) {
	if why == configlog.ReasonRedundant {
		return
	}
	s.opt.Log.Info("a relay of the configuration is left", "relay", peer, "why", string(why), "err", err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.left[why]++
	s.last = peer + ": " + string(why)
	if err != nil {
		s.last += ": " + err.Error()
	}
}
