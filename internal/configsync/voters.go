package configsync

import (
	"context"
	"errors"
	"fmt"
	"time"

	"jasperpin/internal/configlog"
	"jasperpin/internal/consensus"
)

const (
	// pollWait is how long the voters may hold a poll back while there are no changes. It is far below
	// configlog.StaleAfter: each answer confirms that the relay is in sync.
	pollWait = 1500 * time.Millisecond
	// pollRetryInterval is the pause after a poll that failed or was not confirmed by a majority.
	pollRetryInterval = 250 * time.Millisecond
)

// reasonNoMajority is a relay's status while a voter answers without a majority behind it.
const reasonNoMajority = "no majority of the voters is reached"

// Voters are what a relay follows. *consensus.Client implements it.
type Voters interface {
	Config(ctx context.Context, since uint64, wait time.Duration) (consensus.ConfigUpdate, error)
	ConfigSnapshot(ctx context.Context, beyond uint64) (*configlog.State, error)
}

// follow polls the voters until Close.
func (r *Relay) follow() {
	wait := time.Duration(0)
	for r.ctx.Err() == nil {
		inSync, err := r.poll(wait)
		before, reason := r.recordPoll(inSync, err)
		if reason == "" {
			if before != "" {
				r.opt.Log.Info("relay in sync with the voters again", "version", r.state.Version())
			}
			wait = pollWait
			continue
		}
		if r.ctx.Err() == nil {
			r.opt.Log.Debug("relay not in sync with the voters", "reason", reason)
		}
		wait = 0
		r.sleep(pollRetryInterval)
	}
	if r.copy != nil {
		r.copy.close()
	}
}

// recordPoll stores a poll's outcome for streams and operators. It returns why the relay was not in sync before, and
// why it is not now; "" where it is.
func (r *Relay) recordPoll(inSync bool, err error) (before, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before = r.reason
	switch {
	case err != nil:
		r.reason = err.Error()
	case !inSync:
		r.reason = reasonNoMajority
	default:
		r.reason, r.inSyncAt = "", time.Now()
	}
	return before, r.reason
}

// sleep pauses, or returns early when the relay is closed.
func (r *Relay) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-r.ctx.Done():
	case <-timer.C:
	}
}

// poll asks the voters for changes once and applies them. It returns whether the state is then the newest, as a
// majority has confirmed.
func (r *Relay) poll(wait time.Duration) (inSync bool, err error) {
	before := r.state.Version()
	update, err := r.opt.Voters.Config(r.ctx, before, wait)
	if err != nil {
		return false, err
	}
	err = r.applyChanges(update)
	if update.Compacted || errors.Is(err, configlog.ErrDigestMismatch) {
		return false, r.installSnapshot(before) // there may be changes after it
	}
	if err != nil {
		return false, err
	}
	if update.Version < before {
		return false, fmt.Errorf("the voters have version %d, which is before %d", update.Version, before)
	}
	sameVersion := r.state.Version() == update.Version
	if sameVersion && update.Digest != r.state.Digest() {
		return false, fmt.Errorf("%w: the voters have another version %d", configlog.ErrDigestMismatch, update.Version)
	}
	return update.Confirmed && sameVersion, nil
}

// applyChanges applies and stores changes up to the first error.
func (r *Relay) applyChanges(update consensus.ConfigUpdate) error {
	for _, c := range update.Changes {
		if err := r.applyChange(c); err != nil {
			return err
		}
		if r.copy != nil {
			r.copy.append(c, c.Version == update.Version, r.snapshotWithoutLog)
		}
	}
	return nil
}

func (r *Relay) applyChange(c configlog.Change) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.state.Apply(c); err != nil {
		return err
	}
	r.notifyLocked()
	return nil
}

// installSnapshot replaces the state by a voter's, at a version beyond one.
func (r *Relay) installSnapshot(beyond uint64) error {
	s, err := r.opt.Voters.ConfigSnapshot(r.ctx, beyond)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.state = s
	r.notifyLocked()
	r.mu.Unlock()
	if r.copy != nil {
		r.copy.install(r.snapshotWithoutLog())
	}
	return nil
}

// snapshotWithoutLog is the state without its log, as nodes and the disk get it.
func (r *Relay) snapshotWithoutLog() configlog.Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Snapshot().WithoutLog()
}
