package consensus

import (
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"path/filepath"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"go.etcd.io/bbolt"

	"jasperpin/internal/boltfile"
	"jasperpin/internal/mtls"
)

// Parameters of raft and of a voter's files and connections.
const (
	// heartbeatTimeout is how long a follower waits for a heartbeat before it starts an election.
	heartbeatTimeout = 500 * time.Millisecond
	// electionTimeout is how long a candidate waits for votes before it starts a new election.
	electionTimeout = 500 * time.Millisecond
	// leaderLeaseTimeout is how long a leader without contact to a majority stays leader. It is shorter than
	// heartbeatTimeout, so that the leader has stepped down before another is elected.
	leaderLeaseTimeout = 400 * time.Millisecond
	// commitTimeout is how long a leader without new entries waits before it sends its commit index.
	commitTimeout = 10 * time.Millisecond
	// applyTimeout bounds how long a command waits until it is appended to the log.
	applyTimeout = 2 * time.Second
	// transportTimeout bounds one message between voters.
	transportTimeout = 2 * time.Second
	// transportPoolSize is the number of idle connections to each other voter.
	transportPoolSize = 3
	// retainedSnapshots is the number of snapshots on disk. If the newest is damaged, raft restores the older one.
	retainedSnapshots = 2
	// trailingLogs is the number of log entries retained after a snapshot, so that voters that were down for a
	// short time do not need the whole snapshot.
	trailingLogs = 4096
	// snapshotThreshold is the number of entries after which a snapshot is taken, and snapshotInterval is the time
	// between two checks of this number. They bound the size of the log and the duration of a restart.
	snapshotThreshold = 8192
	snapshotInterval  = 30 * time.Second
	// openTimeout is how long opening the log waits for another process that has locked the file. After openTimeout
	// that process counts as running.
	openTimeout = time.Second
	// idleTimeout is the time without a call after which a client's connection is closed.
	idleTimeout = time.Minute
	// joinPollInterval is the time between two checks whether the cluster has added this voter.
	joinPollInterval = 250 * time.Millisecond
)

// logFile is the name of the log file in a voter's directory.
const logFile = "log.db"

// Options configures a voter.
type Options struct {
	Listen string // the address that the voter listens on and other voters connect to
	Dir    string // the voter's directory, created by Bootstrap or Join
	Files  mtls.Files
	Log    *slog.Logger
	dial   dialFunc // connects to other voters; nil for the function dial
	// wrapStable wraps the store of terms and votes in tests; nil for no wrapper.
	wrapStable func(raft.StableStore) raft.StableStore
}

// Voter is a member of the cluster that stores the replicated log and votes in elections. It is safe for concurrent
// use.
type Voter struct {
	id        string
	addr      string
	log       *slog.Logger
	listener  *listener
	raft      *raft.Raft
	store     *raftboltdb.BoltStore
	replica   *replica
	server    *http.Server
	snapshots chan struct{} // semaphore: one element for each configuration snapshot in transfer
	done      chan struct{} // closed by Close
	running   sync.WaitGroup

	mu sync.Mutex
	// stampedTerm and stampedAt are the term and the time of the last command that this voter stamped.
	stampedTerm uint64
	stampedAt   time.Time
	// barrierTerm is the last term in which this voter was leader and had applied all entries of earlier terms.
	barrierTerm uint64
}

// Start starts the voter of a directory. The error wraps ErrNotInitialized, ErrLogMissing, ErrLogDamaged or ErrBusy
// if the operator can fix the cause.
func Start(opt Options) (*Voter, error) {
	id, err := readIdentity(opt.Dir)
	if err != nil {
		return nil, fmt.Errorf("starting a voter: %w", err)
	}
	v := &Voter{
		id:        id.ID,
		log:       opt.Log.With("voter", id.ID),
		replica:   newReplica(),
		snapshots: make(chan struct{}, maxSnapshotSends),
		done:      make(chan struct{}),
	}
	if err := v.start(opt, id); err != nil {
		v.Close()
		return nil, fmt.Errorf("starting voter %s: %w", id.ID, err)
	}
	return v, nil
}

// start opens the voter's files and its listener, and starts to serve. After an error the caller must close the
// voter.
func (v *Voter) start(opt Options, id identity) error {
	credentials, err := opt.Files.Load(VoterName)
	if err != nil {
		return err
	}
	raftLog := v.raftLogger()
	if v.store, err = openLog(filepath.Join(opt.Dir, logFile)); err != nil {
		return err
	}
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(opt.Dir, retainedSnapshots, raftLog)
	if err != nil {
		return fmt.Errorf("opening the snapshots in %s: %w", opt.Dir, err)
	}
	hasState, err := raft.HasExistingState(v.store, v.store, snapshots)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrLogDamaged, err)
	}
	if !hasState && id.Started {
		return ErrLogMissing
	}
	if v.listener, err = newListener(opt.Listen, credentials, v.log); err != nil {
		return listenError(err)
	}
	v.addr = v.listener.addr()
	transport := raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Stream:  newStreamLayer(v.listener.raftConns, credentials, opt.dial),
		MaxPool: transportPoolSize,
		Timeout: transportTimeout,
		Logger:  raftLog,
	})
	config := raftConfig(id, raftLog)
	if !hasState && len(id.Voters) > 0 {
		if err := raft.BootstrapCluster(config, v.store, v.store, snapshots, transport, id.firstVoters()); err != nil {
			return fmt.Errorf("bootstrapping the log: %w", err)
		}
		hasState = true
	}
	if hasState && !id.Started {
		if err := id.markStarted(opt.Dir); err != nil {
			return err
		}
	}
	if v.raft, err = raft.NewRaft(config, v.replica, v.store, v.voteStore(opt.wrapStable), snapshots, transport); err != nil {
		return fmt.Errorf("starting raft: %w", err)
	}
	v.serve()
	if !hasState {
		v.running.Go(func() { v.awaitJoined(opt.Dir, id) })
	}
	return nil
}

// raftLogger returns a logger that writes raft's warnings to the voter's log at debug level.
func (v *Voter) raftLogger() hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Output: slog.NewLogLogger(v.log.Handler(), slog.LevelDebug).Writer(),
		Level:  hclog.Warn,
	})
}

// raftConfig returns raft's default configuration with this package's values.
func raftConfig(id identity, log hclog.Logger) *raft.Config {
	config := raft.DefaultConfig()
	config.LocalID = raft.ServerID(id.ID)
	config.Logger = log
	config.HeartbeatTimeout = heartbeatTimeout
	config.ElectionTimeout = electionTimeout
	config.LeaderLeaseTimeout = leaderLeaseTimeout
	config.CommitTimeout = commitTimeout
	config.SnapshotThreshold = snapshotThreshold
	config.SnapshotInterval = snapshotInterval
	config.TrailingLogs = trailingLogs
	return config
}

// firstVoters returns the raft configuration with which all voters of a new cluster bootstrap their logs.
func (id identity) firstVoters() (config raft.Configuration) {
	for voter, addr := range id.Voters {
		config.Servers = append(config.Servers, raft.Server{ID: raft.ServerID(voter), Address: raft.ServerAddress(addr)})
	}
	return config
}

// markStarted records that the log has entries. A later start with an empty log then fails with ErrLogMissing.
func (id identity) markStarted(dir string) error {
	id.Started = true
	return id.write(dir)
}

// voteStore returns the store of terms and votes, whose writes block while the disk fails.
func (v *Voter) voteStore(wrap func(raft.StableStore) raft.StableStore) raft.StableStore {
	stable := raft.StableStore(v.store)
	if wrap != nil {
		stable = wrap(stable)
	}
	return voteStore{StableStore: stable, log: v.log, done: v.done}
}

// serve starts to serve clients and to advance the cluster clock.
func (v *Voter) serve() {
	v.server = &http.Server{
		Handler:           v.handler(),
		ReadHeaderTimeout: handshakeTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          slog.NewLogLogger(v.log.Handler(), slog.LevelDebug),
	}
	v.running.Go(func() { _ = v.server.Serve(v.listener.clientConns) }) // returns ErrServerClosed after Close
	v.running.Go(v.advanceClock)
}

// awaitJoined marks the voter as started once it has received log entries, which the leader sends after the
// cluster has added the voter.
func (v *Voter) awaitJoined(dir string, id identity) {
	ticker := time.NewTicker(joinPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-v.done:
			return
		case <-ticker.C:
		}
		if v.raft.LastIndex() == 0 {
			continue
		}
		if err := id.markStarted(dir); err != nil {
			// The mark must be on disk before the voter stops. Without it, a voter whose log is lost later would
			// start as a new voter.
			v.log.Error("identity not marked as started, retrying", "dir", dir, "err", err)
			continue
		}
		return
	}
}

// openLog checks and opens the log file.
func openLog(path string) (*raftboltdb.BoltStore, error) {
	switch err := boltfile.Check(path, openTimeout); {
	case errors.Is(err, boltfile.ErrBusy):
		return nil, fmt.Errorf("%w: %w", ErrBusy, err)
	case errors.Is(err, boltfile.ErrDamaged):
		return nil, fmt.Errorf("%w: %w", ErrLogDamaged, err)
	case err != nil:
		return nil, err
	}
	return raftboltdb.New(raftboltdb.Options{Path: path, BoltOptions: &bbolt.Options{Timeout: openTimeout}})
}

// Close stops the voter and waits for its goroutines. It also closes what a failed start has opened. Errors are
// ignored: the log is synced after each entry, so there is no unwritten data.
func (v *Voter) Close() {
	close(v.done)
	if v.server != nil {
		_ = v.server.Close()
	}
	if v.raft != nil {
		_ = v.raft.Shutdown().Error()
	}
	if v.listener != nil {
		v.listener.close()
	}
	if v.store != nil {
		_ = v.store.Close()
	}
	v.running.Wait()
}

// ID returns the voter's id in the cluster.
func (v *Voter) ID() string { return v.id }

// Addr returns the address that the voter listens on.
func (v *Voter) Addr() string { return v.addr }

// Leader returns the address of the current leader, or "" if this voter knows none.
func (v *Voter) Leader() string {
	addr, _ := v.raft.LeaderWithID() // the id is not needed
	return string(addr)
}
