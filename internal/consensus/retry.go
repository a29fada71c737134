package consensus

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"
)

// Timeouts and bounds of a client's retries.
const (
	// callTimeout bounds one call of a voter, in addition to the time for which a read waits for a change. After
	// callTimeout, the client calls the next voter.
	callTimeout = time.Second
	// unresponsiveAfter is the minimum duration of a failed call after which a voter counts as unresponsive. A voter
	// that refuses the connection fails sooner and does not count: calling it delays the client little.
	unresponsiveAfter = callTimeout / 2
	// unresponsiveFor is how long an unresponsive voter is skipped while others can be called.
	unresponsiveFor = 2 * time.Second
	// minRetryBackoff and maxRetryBackoff bound the pause between two rounds over all voters, which doubles after
	// each round: an election takes a fraction of a second, but the loss of a majority may last for hours.
	minRetryBackoff = 20 * time.Millisecond
	maxRetryBackoff = 500 * time.Millisecond
	// maxKnownVoters bounds the addresses that a client stores. A cluster has at most 5 voters.
	maxKnownVoters = 16
)

// call sends a request to the voters until one call succeeds or ctx is done.
//
// It calls the voters in rounds, starting with the voter that responded last. If a voter responds that another is the
// leader, call tries the leader next. It skips voters that were unresponsive within unresponsiveFor, unless all
// voters were. Between rounds it pauses, for minRetryBackoff at first, doubled each time up to maxRetryBackoff. It returns
// early only if the cluster rejects the call, with errRejected.
func (c *Client) call(ctx context.Context, path string, req, resp any, timeout time.Duration) error {
	body, err := json.Marshal(req)
	if err != nil {
		return fmt.Errorf("encoding a call of %s: %w", path, err)
	}
	for pause := minRetryBackoff; ; pause = min(2*pause, maxRetryBackoff) {
		err := c.callRound(ctx, path, body, resp, timeout)
		if err == nil || errors.Is(err, errRejected) {
			return err
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return fmt.Errorf("calling the cluster: %w", errors.Join(ctx.Err(), err))
		case <-timer.C:
		}
	}
}

// callRound calls one voter after the other until a call succeeds, the cluster rejects it or ctx is done.
func (c *Client) callRound(ctx context.Context, path string, body []byte, resp any, timeout time.Duration) error {
	err := errNoVoters
	for _, addr := range c.callOrder() {
		err = c.callLeaderFrom(ctx, addr, path, body, resp, timeout)
		if err == nil || errors.Is(err, errRejected) || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// callLeaderFrom calls a voter. If the call fails and the response names another voter as the leader, it calls that
// voter next unless it is unresponsive.
func (c *Client) callLeaderFrom(ctx context.Context, addr, path string, body []byte, resp any, timeout time.Duration) error {
	leader, err := c.callVoter(ctx, addr, path, body, resp, timeout)
	if err != nil && leader != "" && leader != addr && !c.isUnresponsive(leader) {
		addr = leader
		_, err = c.callVoter(ctx, addr, path, body, resp, timeout)
	}
	if err != nil {
		return err
	}
	c.prefer(addr)
	return nil
}

// callOrder returns the addresses of the voters to call in a round, in order.
func (c *Client) callOrder() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	responsive := slices.DeleteFunc(slices.Clone(c.voters), c.isUnresponsiveLocked)
	if len(responsive) == 0 {
		return slices.Clone(c.voters)
	}
	return responsive
}

func (c *Client) isUnresponsive(addr string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isUnresponsiveLocked(addr)
}

// isUnresponsiveLocked reports whether a voter was unresponsive within unresponsiveFor. The caller must hold mu.
func (c *Client) isUnresponsiveLocked(addr string) bool {
	since, found := c.unresponsive[addr]
	return found && time.Since(since) < unresponsiveFor
}

// prefer moves the address of a voter that responded to the front, so that it is called first. The address of a new
// voter replaces the last one if the client stores maxKnownVoters already.
func (c *Client) prefer(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := slices.Index(c.voters, addr); i >= 0 {
		c.voters = slices.Delete(c.voters, i, i+1)
	}
	c.voters = slices.Insert(c.voters, 0, addr)
	if len(c.voters) > maxKnownVoters {
		c.voters = c.voters[:maxKnownVoters]
	}
	delete(c.unresponsive, addr)
}

// markUnresponsive records that a voter did not respond.
func (c *Client) markUnresponsive(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.unresponsive) >= maxKnownVoters {
		clear(c.unresponsive)
	}
	c.unresponsive[addr] = time.Now()
}

// callVoter calls one voter once. If the voter is not the leader, callVoter returns an error and the leader's address,
// or "" if the voter does not know the leader.
func (c *Client) callVoter(ctx context.Context, addr, path string, body []byte, response any, timeout time.Duration) (leader string, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return "", fmt.Errorf("calling %s: %w", addr, err)
	}
	began := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		if time.Since(began) >= unresponsiveAfter {
			c.markUnresponsive(addr)
		}
		return "", fmt.Errorf("calling %s: %w", addr, err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return "", fmt.Errorf("reading the response of %s: %w", addr, err)
	}
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusConflict:
		return "", fmt.Errorf("%w: %s responded: %s", errRejected, addr, bytes.TrimSpace(text))
	default:
		return resp.Header.Get(leaderHeader), fmt.Errorf("%s responded with %s: %s", addr, resp.Status, bytes.TrimSpace(text))
	}
	if err := json.Unmarshal(text, response); err != nil {
		return "", fmt.Errorf("decoding the response of %s: %w", addr, err)
	}
	return "", nil
}
