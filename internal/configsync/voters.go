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
	// pollWait is the maximum time for which the voters delay the answer to a poll while there are no changes. It is
	// far below configlog.StaleAfter, because each answer confirms that the relay is in sync.
	pollWait = 1500 * time.Millisecond
	// pollRetryInterval is the wait after a poll that failed or that no majority confirmed.
	pollRetryInterval = 250 * time.Millisecond
)

// reasonNoMajority is a relay's reason while the voter that answers has no contact with a majority.
const reasonNoMajority = "no majority of the voters is reachable"

// Voters is the interface to the voters that a relay follows. *consensus.Client implements it.
type Voters interface {
	// Config returns the changes after the version since. While there are none it waits, for at most wait.
	Config(ctx context.Context, since uint64, wait time.Duration) (consensus.ConfigUpdate, error)
	// ConfigSnapshot returns a state whose version is higher than beyond.
	ConfigSnapshot(ctx context.Context, beyond uint64) (*configlog.State, error)
}

// follow polls the voters until Close.
func (r *Relay) follow() {
	wait := time.Duration(0)
	for r.ctx.Err() == nil {
		inSync, err := r.poll(wait)
		if r.copy != nil {
			r.copy.retry(r.snapshotWithoutLog)
		}
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

// recordPoll records the outcome of a poll for streams and operators. It returns the reasons why the relay was not in
// sync before the poll and is not in sync now; "" if it was or is in sync.
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

// sleep waits for d, or until the relay is closed.
func (r *Relay) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-r.ctx.Done():
	case <-timer.C:
	}
}

// poll requests changes from the voters once and applies them. It reports whether a majority of the voters has
// confirmed that the state is then the newest.
func (r *Relay) poll(wait time.Duration) (inSync bool, err error) {
	before := r.state.Version()
	update, err := r.opt.Voters.Config(r.ctx, before, wait)
	if err != nil {
		return false, err
	}
	err = r.applyChanges(update)
	if update.Compacted || errors.Is(err, configlog.ErrDigestMismatch) {
		return false, r.installSnapshot(before) // not in sync yet: there may be later changes
	}
	if err != nil {
		return false, err
	}
	if update.Version < before {
		return false, fmt.Errorf("version %d of the voters is lower than version %d of the relay", update.Version, before)
	}
	sameVersion := r.state.Version() == update.Version
	if sameVersion && update.Digest != r.state.Digest() {
		return false, fmt.Errorf("%w: the voters have a different state at version %d", configlog.ErrDigestMismatch, update.Version)
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

// installSnapshot replaces the state with a voter's snapshot of a version higher than beyond.
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

// snapshotWithoutLog returns a snapshot of the state without its log, as it is sent to nodes and stored on disk.
func (r *Relay) snapshotWithoutLog() configlog.Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Snapshot().WithoutLog()
}
