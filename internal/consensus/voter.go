// Package consensus is the group of an installation's instances: voters, which keep the log
// of what is agreed, and clients, which ask them. What is agreed, package group decides.
package consensus

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"go.etcd.io/bbolt"

	"jasperpin/internal/boltfile"
	"jasperpin/internal/consensus/fsm"
	"jasperpin/internal/mtls"
)

// Times of agreement. A leader that says nothing for heartbeat, and up to as much again, is
// stood against; one that hears from no majority steps down within leaderLease, so that no
// two believe for longer that they lead.
const (
	heartbeat   = 500 * time.Millisecond
	election    = 500 * time.Millisecond
	leaderLease = 400 * time.Millisecond
	commitWait  = 10 * time.Millisecond
	// applyWithin bounds how long a command waits to be taken into the log.
	applyWithin = 2 * time.Second
	// tickEvery is the most that a leader looks ahead for a lease that ends.
	tickEvery = 250 * time.Millisecond
	tickLeast = 20 * time.Millisecond
	// keepSnapshots and logs behind them, for voters that were away.
	keepSnapshots = 2
	keepLogs      = 4096
	snapshotAfter = 8192
	snapshotEvery = 30 * time.Second
	// openWithin is how long another process may hold the log.
	openWithin = time.Second
)

// Errors of a call.
var (
	// ErrNotLeader says to ask another voter.
	ErrNotLeader = errors.New("this voter does not lead")
	// ErrUnknown says that the command may have been carried out, and may yet be.
	ErrUnknown = errors.New("it is not known what became of the command")
	// ErrVoters says that the voters stay as they are.
	ErrVoters = errors.New("the voters cannot be changed so")
)

// Options are what a voter is made of.
type Options struct {
	Listen string // where it is reached, and tells others that it is
	Dir    string // its folder, made by Begin or Join
	Files  mtls.Files
	Log    *slog.Logger
	dial   dialer // nil for dial
	// stable wraps the store of terms and votes, in tests; nil for nothing.
	stable func(raft.StableStore) raft.StableStore
}

// Voter is an instance that keeps the log.
type Voter struct {
	id      string
	addr    string
	log     *slog.Logger
	link    *link
	raft    *raft.Raft
	store   *raftboltdb.BoltStore
	machine *machine
	calls   *http.Server
	done    chan struct{}
	ended   sync.WaitGroup

	snapshots chan struct{} // of the configuration that are on their way

	mu      sync.Mutex
	term    uint64 // in which stamped was
	stamped time.Time
	ready   uint64 // the term whose first entry has been carried out here
}

// Start starts the voter of a folder.
func Start(opt Options) (v *Voter, err error) {
	who, err := readIdentity(opt.Dir)
	if err != nil {
		return nil, fmt.Errorf("starting a voter: %w", err)
	}
	t, err := opt.Files.Load(VoterName)
	if err != nil {
		return nil, fmt.Errorf("starting a voter: %w", err)
	}
	if opt.dial == nil {
		opt.dial = dial
	}
	v = &Voter{id: who.ID, log: opt.Log.With("voter", who.ID), machine: newMachine(), done: make(chan struct{}), snapshots: make(chan struct{}, snapshotsAtOnce)}
	defer func() {
		if err != nil {
			v.Close()
			v, err = nil, fmt.Errorf("starting voter %s: %w", who.ID, err)
		}
	}()
	if v.store, err = openLog(filepath.Join(opt.Dir, "log.db")); err != nil {
		return v, err
	}
	quiet := hclog.New(&hclog.LoggerOptions{Output: slog.NewLogLogger(v.log.Handler(), slog.LevelDebug).Writer(), Level: hclog.Warn})
	snaps, err := raft.NewFileSnapshotStoreWithLogger(opt.Dir, keepSnapshots, quiet)
	if err != nil {
		return v, err
	}
	has, err := raft.HasExistingState(v.store, v.store, snaps)
	if err != nil {
		return v, fmt.Errorf("%w: %w", ErrLogTorn, err)
	}
	if !has && who.Begun {
		return v, ErrLogGone
	}
	if v.link, err = newLink(opt.Listen, t, v.log); err != nil {
		return v, busy(err)
	}
	v.addr = v.link.ln.Addr().String()
	net := raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Stream: stream{v.link.raft, t, opt.dial}, MaxPool: 3, Timeout: 2 * time.Second, Logger: quiet,
	})
	cfg := raft.DefaultConfig()
	cfg.LocalID, cfg.Logger = raft.ServerID(who.ID), quiet
	cfg.HeartbeatTimeout, cfg.ElectionTimeout, cfg.LeaderLeaseTimeout, cfg.CommitTimeout = heartbeat, election, leaderLease, commitWait
	cfg.SnapshotThreshold, cfg.SnapshotInterval, cfg.TrailingLogs = snapshotAfter, snapshotEvery, keepLogs
	if !has && len(who.Voters) > 0 {
		var first raft.Configuration
		for id, addr := range who.Voters {
			first.Servers = append(first.Servers, raft.Server{ID: raft.ServerID(id), Address: raft.ServerAddress(addr)})
		}
		if err := raft.BootstrapCluster(cfg, v.store, v.store, snaps, net, first); err != nil {
			return v, err
		}
	}
	if !who.Begun && (has || len(who.Voters) > 0) {
		// From here on an empty log is one that was lost.
		who.Begun = true
		if err := who.write(opt.Dir); err != nil {
			return v, err
		}
	}
	stable := raft.StableStore(v.store)
	if opt.stable != nil {
		stable = opt.stable(stable)
	}
	if v.raft, err = raft.NewRaft(cfg, v.machine, v.store, votes{stable, v.log, v.done}, snaps, net); err != nil {
		return v, err
	}
	v.calls = &http.Server{Handler: v.handler(), ReadHeaderTimeout: shakeWithin, IdleTimeout: time.Minute, ErrorLog: slog.NewLogLogger(v.log.Handler(), slog.LevelDebug)}
	v.ended.Go(func() { _ = v.calls.Serve(v.link.calls) })
	v.ended.Go(v.tick)
	if !who.Begun {
		v.ended.Go(func() { v.joined(opt.Dir, who) })
	}
	return v, nil
}

// joined notes that a voter has been taken in: its log is no longer empty.
func (v *Voter) joined(dir string, who identity) {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		select {
		case <-v.done:
			return
		case <-t.C:
		}
		if v.raft.LastIndex() == 0 {
			continue
		}
		who.Begun = true
		if err := who.write(dir); err != nil { // or a log that is lost later would be taken for a new one
			v.log.Error("a voter that was taken in cannot note it, and tries again", "err", err)
			continue
		}
		return
	}
}

// openLog opens the log's file, and says where it is damaged.
func openLog(path string) (*raftboltdb.BoltStore, error) {
	switch err := boltfile.Check(path, openWithin); {
	case errors.Is(err, boltfile.ErrBusy):
		return nil, fmt.Errorf("%w: %w", ErrBusy, err)
	case errors.Is(err, boltfile.ErrDamaged):
		return nil, fmt.Errorf("%w: %w", ErrLogTorn, err)
	case err != nil:
		return nil, err
	}
	return raftboltdb.New(raftboltdb.Options{Path: path, BoltOptions: &bbolt.Options{Timeout: openWithin}})
}

// Close ends the voter. The others go on without it.
func (v *Voter) Close() {
	close(v.done)
	if v.calls != nil {
		_ = v.calls.Close()
	}
	if v.raft != nil {
		_ = v.raft.Shutdown().Error()
	}
	if v.link != nil {
		v.link.close()
	}
	if v.store != nil {
		_ = v.store.Close()
	}
	v.ended.Wait()
}

// ID is the voter's identity in the group.
func (v *Voter) ID() string { return v.id }

// Addr is where it is reached.
func (v *Voter) Addr() string { return v.addr }

// Leader is the address of the voter that leads, as far as this one knows, or "".
func (v *Voter) Leader() string {
	addr, _ := v.raft.LeaderWithID()
	return string(addr)
}

// stamp gives a command the time that has passed since the one before, in this term.
func (v *Voter) stamp(c fsm.Command) entry {
	v.mu.Lock()
	defer v.mu.Unlock()
	term, now := v.raft.CurrentTerm(), time.Now()
	if term != v.term {
		v.term, v.stamped = term, now
	}
	c.Elapsed, v.stamped = now.Sub(v.stamped), now
	return entry{term, c}
}

// Do has a command carried out. With ErrNotLeader it was not; with ErrUnknown nobody knows.
func (v *Voter) Do(c fsm.Command) (fsm.Result, error) {
	if v.raft.State() != raft.Leader {
		return fsm.Result{}, ErrNotLeader
	}
	text, err := json.Marshal(v.stamp(c))
	if err != nil {
		return fsm.Result{}, fmt.Errorf("a command: %w", err)
	}
	f := v.raft.Apply(text, applyWithin)
	if err := f.Error(); err != nil {
		if errors.Is(err, raft.ErrNotLeader) || errors.Is(err, raft.ErrEnqueueTimeout) || errors.Is(err, raft.ErrRaftShutdown) {
			return fsm.Result{}, fmt.Errorf("%w: %w", ErrNotLeader, err)
		}
		return fsm.Result{}, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	r, ok := f.Response().(fsm.Result)
	if !ok {
		return fsm.Result{}, fmt.Errorf("%w: the log answered %T", ErrUnknown, f.Response())
	}
	return r, nil
}

// Ask is what a reader wants: the leases and entries under a prefix each, or none where
// that is nil, and the changes behind a revision.
type Ask struct {
	Leases  *string `json:"Leases,omitempty"`
	Entries *string `json:"Entries,omitempty"`
	After   uint64  `json:"After,omitempty"`
	// Wait is how long the answer may wait for a change behind After.
	Wait time.Duration `json:"Wait,omitempty"`
}

// View is what a reader gets. Its parts are of one moment. Whole says that Changes are all
// that there were behind After; otherwise the reader is to read anew.
type View struct {
	Rev     uint64      `json:"Rev"`
	Leases  []fsm.Lease `json:"Leases,omitempty"`
	Entries []fsm.Entry `json:"Entries,omitempty"`
	Changes []fsm.Event `json:"Changes,omitempty"`
	Whole   bool        `json:"Whole"`
}

// Read reads what is agreed, no older than the call. The leader alone can tell.
func (v *Voter) Read(ctx context.Context, a Ask) (View, error) {
	if err := v.confirm(); err != nil {
		return View{}, err
	}
	if a.Wait > 0 {
		ctx, cancel := context.WithTimeout(ctx, min(a.Wait, maxWait))
		defer cancel()
		for {
			v.machine.mu.Lock()
			news, changed := v.machine.state.Rev() != a.After, v.machine.changed
			v.machine.mu.Unlock()
			if news {
				break
			}
			select {
			case <-changed:
				continue
			case <-v.done:
			case <-ctx.Done():
			}
			break
		}
	}
	m := v.machine
	m.mu.Lock()
	defer m.mu.Unlock()
	view := View{Rev: m.state.Rev()}
	view.Changes, view.Whole = m.state.Since(a.After)
	if a.Leases != nil {
		view.Leases = m.state.Leases(*a.Leases)
	}
	if a.Entries != nil {
		view.Entries = m.state.Entries(*a.Entries)
	}
	return view, nil
}

// confirm makes sure that this voter still leads and has carried out all that was agreed
// before the call.
func (v *Voter) confirm() error {
	if v.raft.State() != raft.Leader {
		return ErrNotLeader
	}
	term := v.raft.CurrentTerm()
	v.mu.Lock()
	ready := v.ready == term
	v.mu.Unlock()
	if !ready { // what leaders before have agreed on may not have been carried out here
		if err := v.raft.Barrier(applyWithin).Error(); err != nil {
			return fmt.Errorf("%w: %w", ErrNotLeader, err)
		}
		v.mu.Lock()
		v.ready = term
		v.mu.Unlock()
	}
	agreed := v.raft.CommitIndex()
	if err := v.raft.VerifyLeader().Error(); err != nil {
		return fmt.Errorf("%w: %w", ErrNotLeader, err)
	}
	for v.raft.AppliedIndex() < agreed {
		select {
		case <-v.done:
			return ErrNotLeader
		case <-time.After(time.Millisecond):
		}
	}
	return nil
}

// tick lets the group's clock pass where a lease is to end and nobody says anything.
func (v *Voter) tick() {
	next := time.NewTimer(tickEvery)
	defer next.Stop()
	for {
		select {
		case <-v.done:
			return
		case <-next.C:
		}
		wait := tickEvery
		if v.raft.State() == raft.Leader {
			v.machine.mu.Lock()
			left, any := v.machine.state.Next()
			v.machine.mu.Unlock()
			v.mu.Lock()
			left -= time.Since(v.stamped) // what has passed, and was not told yet
			if v.term != v.raft.CurrentTerm() {
				left = 0 // the clock is to start
			}
			v.mu.Unlock()
			if any && left <= 0 {
				_, _ = v.Do(fsm.Command{Op: fsm.Tick}) // else with the next
			}
			if any {
				wait = min(max(left, tickLeast), tickEvery)
			}
		}
		next.Reset(wait)
	}
}

// Member is a voter as the group has it.
type Member struct {
	ID    string `json:"ID"`
	Addr  string `json:"Addr"`
	Leads bool   `json:"Leads"`
}

// Status is what a voter knows of the group.
type Status struct {
	ID     string   `json:"ID"` // of the voter that tells
	Term   uint64   `json:"Term"`
	Last   uint64   `json:"Last"`
	Known  uint64   `json:"Known"` // the term, the log's last entry, and the last one carried out
	Rev    uint64   `json:"Rev"`
	Leads  bool     `json:"Leads"` // it leads, and a majority confirmed it
	Voters []Member `json:"Voters"`
}

// Status tells how things stand, from where this voter is.
func (v *Voter) Status() (Status, error) {
	f := v.raft.GetConfiguration()
	if err := f.Error(); err != nil {
		return Status{}, fmt.Errorf("reading the voters: %w", err)
	}
	v.machine.mu.Lock()
	rev := v.machine.state.Rev()
	v.machine.mu.Unlock()
	s := Status{ID: v.id, Term: v.raft.CurrentTerm(), Last: v.raft.LastIndex(), Known: v.raft.AppliedIndex(), Rev: rev, Leads: v.confirm() == nil}
	_, leader := v.raft.LeaderWithID()
	for _, x := range f.Configuration().Servers {
		s.Voters = append(s.Voters, Member{string(x.ID), string(x.Address), x.ID == leader})
	}
	return s, nil
}

// Change is a change of the voters: one to take in, or one to remove.
type Change struct {
	Add    string `json:"Add,omitempty"`
	Addr   string `json:"Addr,omitempty"`
	Remove string `json:"Remove,omitempty"`
}

// Change changes the voters, one at a time. The leader alone can.
func (v *Voter) Change(c Change) error {
	if v.raft.State() != raft.Leader {
		return ErrNotLeader
	}
	if c.Add != "" {
		return v.Add(c.Add, c.Addr)
	}
	return v.Remove(c.Remove)
}

// Add takes a voter in that has joined and is reached at an address.
func (v *Voter) Add(id, addr string) error {
	return changed(v.raft.AddVoter(raft.ServerID(id), raft.ServerAddress(addr), 0, applyWithin))
}

// Remove has a voter leave for ever: its identity is not to come back.
func (v *Voter) Remove(id string) error {
	s, err := v.Status()
	if err != nil {
		return err
	}
	for _, m := range s.Voters {
		if m.ID == id || strings.HasPrefix(m.ID, id+"~") {
			return changed(v.raft.RemoveServer(raft.ServerID(m.ID), 0, applyWithin))
		}
	}
	return fmt.Errorf("%w: %q is none", ErrVoters, id)
}

func changed(f raft.IndexFuture) error {
	err := f.Error()
	if errors.Is(err, raft.ErrNotLeader) {
		return fmt.Errorf("%w: %w", ErrNotLeader, err)
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrVoters, err)
	}
	return nil
}
