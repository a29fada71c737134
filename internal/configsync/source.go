package configsync

import (
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"jasperpin/internal/configlog"
	"jasperpin/internal/lengthprefix"
	"jasperpin/internal/mtls"
)

const (
	// inSyncTickInterval is the time between two ticks of a source that is in sync. Others tick each
	// configlog.DialStagger.
	inSyncTickInterval = 500 * time.Millisecond
	// maxReportedError bounds the error in a report, in bytes.
	maxReportedError = 512
)

// RelayAddress is a relay and its address.
type RelayAddress struct {
	configlog.Peer
	Addr string
}

// SourceOptions configure a node's source.
type SourceOptions struct {
	Name         string // of the node
	Zone, Region string
	Relays       []RelayAddress
	Files        mtls.Files
	Dir          string // the directory of the copy; "" for none
	Seed         uint64 // of the follower's random choices
	// Install puts a whole configuration in force: first of all that of the copy, of version 0 where there
	// is none. Apply puts the next change in force. They are called one at a time. An error says
	// which part is not in force. It is logged and reported to the relay, and later changes are applied
	// nevertheless.
	Install func(configlog.Snapshot) error
	Apply   func(configlog.Change) error
	Log     *slog.Logger
}

// Source follows the configuration for one node. Status and Close may be called from any goroutine.
type Source struct {
	opt     SourceOptions
	tls     *tls.Config
	addrs   map[string]string // by relay
	start   time.Time         // the origin of the follower's times
	events  chan event
	stop    context.CancelFunc
	running sync.WaitGroup

	// Of the loop's goroutine alone.
	copy       *diskCopy // nil for none
	follower   *configlog.Follower
	sessions   map[uint64]*session // by stream
	current    uint64              // the stream that has sent Resume; 0 for none
	report     NodeReport
	reportedAt time.Time

	receivedBytes, sentBytes atomic.Int64

	mu          sync.Mutex
	status      Status    // without what Status adds
	inSyncAt    time.Time // when what is in force was certainly the newest; zero for never
	closeCounts map[configlog.CloseReason]int
	lastClosed  string // which relay's stream was closed last, and why
}

// NewSource puts in force what the copy holds, and follows the configuration from there until Close.
func NewSource(opt SourceOptions) (*Source, error) {
	credentials, err := opt.Files.Load(RelayName)
	if err != nil {
		return nil, fmt.Errorf("making a source of the configuration: %w", err)
	}
	s := &Source{
		opt:         opt,
		tls:         credentials,
		addrs:       make(map[string]string),
		start:       time.Now(),
		events:      make(chan event),
		sessions:    make(map[uint64]*session),
		closeCounts: make(map[configlog.CloseReason]int),
	}
	options := configlog.Options{Name: opt.Name, Zone: opt.Zone, Region: opt.Region, Seed: opt.Seed}
	for _, r := range opt.Relays {
		options.Peers = append(options.Peers, r.Peer)
		s.addrs[r.Name] = r.Addr
	}
	state := configlog.New()
	if opt.Dir != "" {
		s.copy, state = openCopy(opt.Dir, opt.Log)
	}
	s.recordOutcome(state.Version(), opt.Install(state.Snapshot().WithoutLog()))
	s.follower = configlog.NewFollower(options, state, 0)
	s.updateStatus(0)
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	s.running.Go(func() { s.run(ctx) })
	return s, nil
}

// Close stops following. What is in force stays so.
func (s *Source) Close() {
	s.stop()
	s.running.Wait()
}

// run is the loop: it feeds the follower and executes its actions until ctx ends.
func (s *Source) run(ctx context.Context) {
	defer s.closeAll()
	tick := time.NewTimer(0)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-s.events:
			s.handleEvent(e, s.now())
		case <-tick.C:
			s.follower.Tick(s.now())
			if time.Since(s.reportedAt) >= reportInterval {
				s.sendReport()
			}
		}
		now := s.now()
		for _, a := range s.follower.Ready() {
			s.execute(ctx, a)
		}
		s.updateStatus(now)
		tick.Reset(s.tickInterval(now))
	}
}

// now is the time on the follower's clock.
func (s *Source) now() time.Duration { return time.Since(s.start) }

// tickInterval is the time to the next tick: longer while there is nothing to dial or to close.
func (s *Source) tickInterval(now time.Duration) time.Duration {
	if _, inSync := s.follower.Following(now); inSync && len(s.sessions) == 1 {
		return inSyncTickInterval
	}
	return configlog.DialStagger
}

// closeAll ends all sessions, and lets another process use the copy.
func (s *Source) closeAll() {
	for _, x := range s.sessions {
		x.stop()
	}
	if s.copy != nil {
		s.copy.close()
	}
}

// handleEvent passes what a session has met to the follower.
func (s *Source) handleEvent(e event, now time.Duration) {
	x := s.sessions[e.stream]
	if x == nil {
		return // it was closed meanwhile
	}
	switch m := e.message.(type) {
	case configlog.Heartbeat:
		s.follower.HandleHeartbeat(e.stream, m, now)
	case configlog.Changes:
		s.follower.HandleChanges(e.stream, m, now)
	case configlog.SnapshotChunk:
		s.follower.HandleChunk(e.stream, m, now)
	default:
		if e.err == nil {
			s.follower.HandleConnected(e.stream, now)
			return
		}
		s.recordClosed(x.relay, configlog.ReasonLost, e.err)
		s.endSession(e.stream)
		s.follower.HandleLost(e.stream, now)
	}
}

// endSession ends a session and forgets it.
func (s *Source) endSession(stream uint64) {
	if x := s.sessions[stream]; x != nil {
		x.stop()
		delete(s.sessions, stream)
	}
	if s.current == stream {
		s.current = 0
	}
}

// execute executes one action of the follower.
func (s *Source) execute(ctx context.Context, a configlog.Action) {
	switch a := a.(type) {
	case configlog.Dial:
		s.startSession(ctx, a)
	case configlog.Resume:
		s.current = a.Stream
		s.sendToCurrent(lengthprefix.Finish(configlog.AppendResume(lengthprefix.Begin(nil), a)))
		s.sendReport()
	case configlog.CloseStream:
		s.recordClosed(a.Peer, a.Reason, nil)
		s.endSession(a.Stream)
	case configlog.ApplyChanges:
		s.applyChanges(a.Changes)
		s.sendReport()
	case configlog.InstallSnapshot:
		if s.copy != nil {
			s.copy.install(a.Snapshot.WithoutLog())
		}
		s.recordOutcome(a.Snapshot.Version(), s.opt.Install(a.Snapshot))
		s.sendReport()
	}
}

// applyChanges stores each change before it is in force: a restart must not go back behind it.
func (s *Source) applyChanges(changes []configlog.Change) {
	for i, c := range changes {
		if s.copy != nil {
			isLast := i == len(changes)-1
			s.copy.append(c, isLast, func() configlog.Snapshot { return s.follower.State().Snapshot().WithoutLog() })
		}
		s.recordOutcome(c.Version, s.opt.Apply(c))
	}
}

// recordOutcome notes for the next report that a version is in force, or why it is not as a whole.
func (s *Source) recordOutcome(version uint64, err error) {
	s.report.Version = version
	if err == nil {
		return
	}
	s.report.RejectedChanges++
	s.report.LastRejection = err.Error()[:min(len(err.Error()), maxReportedError)]
	s.opt.Log.Error("configuration not put in force as a whole", "version", version, "err", err)
}

// sendReport reports to the current relay what is in force.
func (s *Source) sendReport() {
	if s.current == 0 {
		return
	}
	s.reportedAt = time.Now()
	frame, err := encodeNodeFrame(kindReport, s.report)
	if err != nil {
		return // the error in it is bounded, so that it never is too long
	}
	s.sendToCurrent(frame)
}

// sendToCurrent sends a frame to the current relay. Where that fails the session ends, which its reader reports.
func (s *Source) sendToCurrent(frame []byte) {
	x := s.sessions[s.current]
	if x == nil || x.conn == nil {
		return
	}
	if err := writeFrames(x.conn, frame); err != nil {
		x.stop()
	}
}
