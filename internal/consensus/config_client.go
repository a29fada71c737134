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

// proposeTimeout bounds one call of a voter with a proposal, which may be large.
const proposeTimeout = 3 * time.Second

// ConfigUpdate is the response of a voter to a request for the configuration changes after a version.
type ConfigUpdate struct {
	Version uint64 // the newest version
	Digest  configlog.Digest
	// Changes are the changes after the requested version, the oldest first. If not all of them fit in one
	// response, the newest are missing.
	Changes []configlog.Change
	// Compacted is whether the changes are no longer retained. The reader then needs a snapshot.
	Compacted bool
	// Confirmed is whether a majority confirmed that no newer version was committed when the response was
	// built. If false, the update is what one voter has applied, and may be stale.
	Confirmed bool
}

// Propose proposes a configuration change, which is executed at most once, and returns its version. The error wraps
// configlog.ErrConflict if a newer change affects the same records, and ErrUnknown if ctx was done before a voter
// responded.
func (c *Client) Propose(ctx context.Context, change configlog.Change) (version uint64, err error) {
	text := configlog.AppendChange(nil, change)
	r, err := c.callOnce(ctx, pathPropose, proposeTimeout, func(session string, number uint64) any {
		return proposal{Session: session, Number: number, Change: text}
	})
	return r.Version, err
}

// Config returns the configuration changes after a version. If there are none yet, it waits up to the duration wait
// for the first change. If no leader responds, it returns what any voter has applied, with Confirmed false.
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

// decode converts the wire form of a response to a ConfigUpdate.
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

// ConfigSnapshot returns the whole configuration at a version greater than beyond. Any voter may send it: the
// configuration is committed, but may not be the newest. The error wraps ErrSnapshot.
func (c *Client) ConfigSnapshot(ctx context.Context, beyond uint64) (*configlog.State, error) {
	var failures error
	for _, addr := range c.callOrder() {
		s, err := c.configSnapshotOf(ctx, addr)
		if err == nil && s.Version() > beyond {
			return s, nil
		}
		if err == nil {
			err = fmt.Errorf("%s has version %d, want a version greater than %d", addr, s.Version(), beyond)
		}
		failures = errors.Join(failures, err)
	}
	return nil, fmt.Errorf("%w: %w", ErrSnapshot, failures)
}

// configSnapshotOf requests a snapshot from one voter and builds the configuration from its chunks.
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
		return nil, fmt.Errorf("%s responded with %s", addr, resp.Status)
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
