package consensus

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"jasperpin/internal/configlog"
	"jasperpin/internal/lengthprefix"
)

// proposeTimeout bounds one voter's answer to a proposal, which may be large.
const proposeTimeout = 3 * time.Second

// ConfigUpdate is what the voters answer about the configuration after a version.
type ConfigUpdate struct {
	Version uint64 // the newest
	Digest  configlog.Digest
	// Changes are those after the version asked for, the oldest first. There may be more than fit in
	// one answer.
	Changes []configlog.Change
	// Compacted says that the changes are no longer retained: the reader needs a snapshot.
	Compacted bool
	// Confirmed says that a majority confirmed that nothing newer was committed as the answer was made.
	// Otherwise it is what one voter has applied, and may be stale.
	Confirmed bool
}

// Propose proposes a configuration change, which is executed at most once, and returns its version. The
// error wraps configlog.ErrConflict where a newer change touches the same records, and ErrUnknown where
// ctx ended before an answer came.
func (c *Client) Propose(ctx context.Context, change configlog.Change) (version uint64, err error) {
	text := configlog.AppendChange(nil, change)
	r, err := c.callOnce(ctx, pathPropose, proposeTimeout, func(session string, number uint64) any {
		return proposal{Session: session, Number: number, Change: text}
	})
	return r.Version, err
}

// Config returns the configuration changes after a version, and waits up to wait for the first where
// there are none yet. Where no leader answers it returns what any voter has applied, with Confirmed false.
func (c *Client) Config(ctx context.Context, since uint64, wait time.Duration) (ConfigUpdate, error) {
	var reply configReply
	leaderCtx, cancel := context.WithTimeout(ctx, wait+2*callTimeout)
	err := c.call(leaderCtx, pathConfig, configRequest{Since: since, Wait: wait}, &reply, wait+callTimeout)
	cancel()
	if err != nil && ctx.Err() == nil {
		anyCtx, cancel := context.WithTimeout(ctx, 2*callTimeout)
		err = c.call(anyCtx, pathConfig, configRequest{Since: since, AnyVoter: true}, &reply, callTimeout)
		cancel()
	}
	if err != nil {
		return ConfigUpdate{}, fmt.Errorf("reading the configuration after version %d: %w", since, err)
	}
	return reply.decode()
}

// decode returns what the wire form of an answer holds.
func (reply configReply) decode() (ConfigUpdate, error) {
	update := ConfigUpdate{Version: reply.Version, Compacted: reply.Compacted, Confirmed: reply.Confirmed}
	copy(update.Digest[:], reply.Digest)
	for _, text := range reply.Changes {
		change, err := configlog.DecodeChange(text)
		if err != nil {
			return ConfigUpdate{}, fmt.Errorf("decoding a change of the configuration: %w", err)
		}
		update.Changes = append(update.Changes, change)
	}
	return update, nil
}

// ConfigSnapshot returns the whole configuration at a version greater than beyond. Any voter may send it:
// it is committed, though a newer version may be. The error wraps ErrSnapshot.
func (c *Client) ConfigSnapshot(ctx context.Context, beyond uint64) (*configlog.State, error) {
	var failures error
	for _, addr := range c.callOrder() {
		s, err := c.configSnapshotOf(ctx, addr)
		if err == nil && s.Version() > beyond {
			return s, nil
		}
		if err == nil {
			err = fmt.Errorf("%s has version %d, want a version beyond %d", addr, s.Version(), beyond)
		}
		failures = errors.Join(failures, err)
	}
	return nil, fmt.Errorf("%w: %w", ErrSnapshot, failures)
}

// configSnapshotOf builds the configuration from the chunks of one voter's snapshot.
func (c *Client) configSnapshotOf(ctx context.Context, addr string) (*configlog.State, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+addr+pathConfigSnapshot, http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("calling %s: %w", addr, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("calling %s: %w", addr, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s answers %s", addr, resp.Status)
	}
	r, build := bufio.NewReader(resp.Body), configlog.NewSnapshotBuilder()
	var buf []byte
	for {
		if buf, err = lengthprefix.Read(r, buf, configlog.MaxChunk); err != nil {
			return nil, fmt.Errorf("reading a snapshot from %s: %w", addr, err)
		}
		chunk, err := configlog.DecodeChunk(buf)
		if err != nil {
			return nil, fmt.Errorf("decoding a snapshot from %s: %w", addr, err)
		}
		s, err := build.Add(chunk)
		if err != nil {
			return nil, fmt.Errorf("building a snapshot from %s: %w", addr, err)
		}
		if s != nil {
			return s, nil
		}
	}
}
