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

// Times and bounds of a client's retries.
const (
	// callTimeout bounds one voter's answer, beyond what a read waits for a change. A voter that is
	// stopped is given up for the next.
	callTimeout = time.Second
	// unresponsiveAfter is the time without an answer after which a failed voter counts as
	// unresponsive. One that rejects the connection at once costs no time, and does not.
	unresponsiveAfter = callTimeout / 2
	// unresponsiveFor is how long such a voter is left out while others can be called.
	unresponsiveFor = 2 * time.Second
	// minRetryBackoff and maxRetryBackoff bound the pause between two rounds over all voters, which doubles:
	// an election takes a fraction of a second, the loss of a majority may take hours.
	minRetryBackoff = 20 * time.Millisecond
	maxRetryBackoff = 500 * time.Millisecond
	// maxKnownVoters bounds the addresses that a client stores. A cluster has 5 voters at most.
	maxKnownVoters = 16
)

// call sends a request until a voter answers it or ctx ends.
//
// It calls the voters in rounds, the one that answered last first. Where a voter answers that
// another leads, that one is called next. Voters that have lately been unresponsive are left out unless
// there is no other. Between rounds it pauses, minRetryBackoff at first and doubled up to maxRetryBackoff.
// It gives up early only where the cluster rejects the call, with errRejected.
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

// callRound calls one voter after the other until one answers, the cluster rejects the call or ctx ends.
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

// callLeaderFrom calls a voter, and then the leader that it names, unless that one is unresponsive.
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

// callOrder returns the voters to call in a round, in order.
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

// isUnresponsiveLocked reports whether a voter is to be left out for now. The caller holds mu.
func (c *Client) isUnresponsiveLocked(addr string) bool {
	since, found := c.unresponsive[addr]
	return found && time.Since(since) < unresponsiveFor
}

// prefer has the voter that answered called first from now on. One that was added to the cluster since
// takes the place of the last.
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

// markUnresponsive records that a voter did not answer.
func (c *Client) markUnresponsive(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.unresponsive) >= maxKnownVoters {
		clear(c.unresponsive)
	}
	c.unresponsive[addr] = time.Now()
}

// callVoter calls one voter once. Where that does not lead, it returns the leader's address with the
// error, if the voter knows it.
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
		return "", fmt.Errorf("reading the answer of %s: %w", addr, err)
	}
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusConflict:
		return "", fmt.Errorf("%w: %s answers: %s", errRejected, addr, bytes.TrimSpace(text))
	default:
		return resp.Header.Get(leaderHeader), fmt.Errorf("%s answers %s: %s", addr, resp.Status, bytes.TrimSpace(text))
	}
	if err := json.Unmarshal(text, response); err != nil {
		return "", fmt.Errorf("decoding the answer of %s: %w", addr, err)
	}
	return "", nil
}
