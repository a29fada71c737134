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
	// inSyncTickInterval is the time between two ticks of a source that is in sync. Other sources tick every
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

// SourceOptions configures a node's source.
type SourceOptions struct {
	Name         string // the name of the node
	Zone, Region string
	Relays       []RelayAddress
	Files        mtls.Files
	Dir          string // the directory of the copy; "" for no copy
	Seed         uint64 // the seed of the follower's random choices
	// Install applies a whole configuration. The first call is for the configuration of the copy, or for the
	// empty configuration of version 0 if there is no copy. Apply applies the next change. Install and
	// Apply are called one at a time. An error describes the part that was not applied. The error is logged and
	// reported to the relay, and later changes are applied nevertheless.
	Install func(configlog.Snapshot) error
	Apply   func(configlog.Change) error
	Log     *slog.Logger
}

// Source follows the configuration for one node. Status and Close may be called from any goroutine.
type Source struct {
	opt     SourceOptions
	tls     *tls.Config
	addrs   map[string]string // the address of each relay, by its name
	start   time.Time         // the origin of the follower's times
	events  chan event
	stop    context.CancelFunc
	running sync.WaitGroup

	// The following fields are used only by the loop's goroutine.
	copy       *diskCopy // the copy on disk; nil for none
	follower   *configlog.Follower
	sessions   map[uint64]*session // the open sessions, by stream id
	current    uint64              // the stream on which Resume was sent last; 0 for none
	report     NodeReport
	reportedAt time.Time

	receivedBytes, sentBytes atomic.Int64

	mu          sync.Mutex // guards the fields below
	status      Status     // the current status, without the fields that Status adds
	inSyncAt    time.Time  // when the current version was last certainly the newest; zero for never
	closeCounts map[configlog.CloseReason]int
	lastClosed  string // the relay whose stream was closed last, and the reason
}

// NewSource installs the configuration of the copy, and then follows the relays until Close.
func NewSource(opt SourceOptions) (*Source, error) {
	credentials, err := opt.Files.Load(RelayName)
	if err != nil {
		return nil, fmt.Errorf("creating a configuration source: %w", err)
	}
	source := &Source{
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
		source.addrs[r.Name] = r.Addr
	}
	state := configlog.New()
	if opt.Dir != "" {
		source.copy, state = openCopy(opt.Dir, opt.Log)
	}
	source.recordOutcome(state.Version(), opt.Install(state.Snapshot().WithoutLog()))
	source.follower = configlog.NewFollower(options, state, 0)
	source.updateStatus(0)
	ctx, stop := context.WithCancel(context.Background())
	source.stop = stop
	source.running.Go(func() { source.run(ctx) })
	return source, nil
}

// Close stops the source. The node's configuration stays as it is.
func (s *Source) Close() {
	s.stop()
	s.running.Wait()
}

// run is the source's loop. It passes events and ticks to the follower and executes its actions, until ctx is done.
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
			if s.copy != nil {
				s.copy.retry(s.snapshotWithoutLog)
			}
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

// now returns the time on the follower's clock.
func (s *Source) now() time.Duration { return time.Since(s.start) }

// tickInterval returns the time until the next tick. It is longer while there is nothing to dial or to close.
func (s *Source) tickInterval(now time.Duration) time.Duration {
	if _, inSync := s.follower.Following(now); inSync && len(s.sessions) == 1 {
		return inSyncTickInterval
	}
	return configlog.DialStagger
}

// closeAll stops all sessions and releases the copy to other processes.
func (s *Source) closeAll() {
	for _, sess := range s.sessions {
		sess.stop()
	}
	if s.copy != nil {
		s.copy.close()
	}
}

// handleEvent passes an event of a session to the follower.
func (s *Source) handleEvent(received event, now time.Duration) {
	sess := s.sessions[received.stream]
	if sess == nil {
		return // the session was closed in the meantime
	}
	switch m := received.message.(type) {
	case configlog.Heartbeat:
		s.follower.HandleHeartbeat(received.stream, m, now)
	case configlog.Changes:
		s.follower.HandleChanges(received.stream, m, now)
	case configlog.SnapshotChunk:
		s.follower.HandleChunk(received.stream, m, now)
	default:
		if received.err == nil {
			s.follower.HandleConnected(received.stream, now)
			return
		}
		s.recordClosed(sess.relay, configlog.ReasonLost, received.err)
		s.endSession(received.stream)
		s.follower.HandleLost(received.stream, now)
	}
}

// endSession stops and removes a session.
func (s *Source) endSession(stream uint64) {
	if sess := s.sessions[stream]; sess != nil {
		sess.stop()
		delete(s.sessions, stream)
	}
	if s.current == stream {
		s.current = 0
	}
}

// execute executes one action of the follower.
func (s *Source) execute(ctx context.Context, action configlog.Action) {
	switch action := action.(type) {
	case configlog.Dial:
		s.startSession(ctx, action)
	case configlog.Resume:
		s.current = action.Stream
		s.sendToCurrent(lengthprefix.Finish(configlog.AppendResume(lengthprefix.Begin(nil), action)))
		s.sendReport()
	case configlog.CloseStream:
		s.recordClosed(action.Peer, action.Reason, nil)
		s.endSession(action.Stream)
	case configlog.ApplyChanges:
		s.applyChanges(action.Changes)
		s.sendReport()
	case configlog.InstallSnapshot:
		if s.copy != nil {
			s.copy.install(action.Snapshot.WithoutLog())
		}
		s.recordOutcome(action.Snapshot.Version(), s.opt.Install(action.Snapshot))
		s.sendReport()
	}
}

// snapshotWithoutLog returns a snapshot of the follower's state without its log, as it is stored on disk.
func (s *Source) snapshotWithoutLog() configlog.Snapshot {
	return s.follower.State().Snapshot().WithoutLog()
}

// applyChanges stores each change on disk before it applies the change, so that a restart does not return to an earlier
// version.
func (s *Source) applyChanges(changes []configlog.Change) {
	for i, c := range changes {
		if s.copy != nil {
			isLast := i == len(changes)-1
			s.copy.append(c, isLast, s.snapshotWithoutLog)
		}
		s.recordOutcome(c.Version, s.opt.Apply(c))
	}
}

// recordOutcome records the current version for the next report, and the error if it was not fully applied.
func (s *Source) recordOutcome(version uint64, err error) {
	s.report.Version = version
	if err == nil {
		return
	}
	s.report.FailedChanges++
	s.report.LastFailure = err.Error()[:min(len(err.Error()), maxReportedError)]
	s.opt.Log.Error("configuration not fully applied", "version", version, "err", err)
}

// sendReport sends the node's report to the current relay.
func (s *Source) sendReport() {
	if s.current == 0 {
		return
	}
	s.reportedAt = time.Now()
	frame, err := encodeNodeFrame(kindReport, s.report)
	if err != nil {
		return // unreachable: maxReportedError keeps the report within maxNodeFrame
	}
	s.sendToCurrent(frame)
}

// sendToCurrent sends a frame to the current relay. If that fails, it stops the session. The follower then closes the
// stream after configlog.HeartbeatTimeout at the latest.
func (s *Source) sendToCurrent(frame []byte) {
	sess := s.sessions[s.current]
	if sess == nil || sess.conn == nil {
		return
	}
	if err := writeFrames(sess.conn, frame); err != nil {
		sess.stop()
	}
}
