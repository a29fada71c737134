package consensus

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"jasperpin/internal/consensus/fsm"
	"jasperpin/internal/mtls"
)

const (
	// maxSessions bounds the commands of one client that are in flight at a time. The cluster stores
	// that many sessions for each client, and the client that many idle connections to each voter.
	maxSessions = 16
	// idleConnTimeout closes connections that no call has used.
	idleConnTimeout = 30 * time.Second
)

// Client calls the cluster's voters. It is safe for concurrent use.
type Client struct {
	http     *http.Client
	sessions chan *session // those without a command in flight

	mu     sync.Mutex
	voters []string // addresses, the one that answered last first
	// unresponsive holds when a voter last failed to answer within unresponsiveAfter.
	unresponsive map[string]time.Time
}

// session numbers the commands of one sequence, of which one at a time is in flight.
type session struct {
	name       string
	lastNumber uint64
}

// NewClient makes a client of the voters at the given addresses. It connects with the first call.
func NewClient(voters []string, files mtls.Files) (*Client, error) {
	credentials, err := files.Load(VoterName)
	if err != nil {
		return nil, fmt.Errorf("making a client of the cluster: %w", err)
	}
	c := &Client{
		sessions:     make(chan *session, maxSessions),
		voters:       slices.Clone(voters),
		unresponsive: make(map[string]time.Time),
	}
	c.http = &http.Client{Transport: &http.Transport{
		DialTLSContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return dial(ctx, credentials, addr, protocolHTTP)
		},
		MaxIdleConnsPerHost: maxSessions,
		IdleConnTimeout:     idleConnTimeout,
	}}
	id := rand.Text() // no two clients share a session
	for i := range maxSessions {
		c.sessions <- &session{name: fmt.Sprintf("%s/%d", id, i)}
	}
	return c, nil
}

// Close closes idle connections. Calls in flight go on.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do executes a command at most once, however often it is sent, and returns its result. The error wraps
// ErrUnknown where ctx ended before an answer came.
func (c *Client) Do(ctx context.Context, cmd fsm.Command) (fsm.Result, error) {
	return c.callOnce(ctx, pathCommand, callTimeout, func(session string, number uint64) any {
		cmd.Session, cmd.Number = session, number
		return cmd
	})
}

// callOnce sends the request that is made for a session and number until an answer comes. It waits for a
// free session first.
func (c *Client) callOnce(ctx context.Context, path string, timeout time.Duration, makeRequest func(session string, number uint64) any) (r fsm.Result, err error) {
	var s *session
	select {
	case s = <-c.sessions:
	case <-ctx.Done():
		return r, fmt.Errorf("waiting to send a command: %w", ctx.Err())
	}
	defer func() { c.sessions <- s }()
	s.lastNumber++
	if err := c.call(ctx, path, makeRequest(s.name, s.lastNumber), &r, timeout); err != nil {
		return fsm.Result{}, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	return r, r.Err()
}

// Read returns the state, no older than the call.
func (c *Client) Read(ctx context.Context, req ReadRequest) (resp ReadResponse, err error) {
	err = c.call(ctx, pathRead, req, &resp, callTimeout+req.Wait)
	return resp, err
}

// Status returns what the voter at an address knows of the cluster. It does not retry.
func (c *Client) Status(ctx context.Context, addr string) (s Status, err error) {
	_, err = c.callVoter(ctx, addr, pathStatus, []byte("{}"), &s, callTimeout)
	return s, err
}

// ChangeVoters adds or removes a voter. The error wraps ErrVoterChange where the cluster rejects it.
func (c *Client) ChangeVoters(ctx context.Context, change VoterChange) error {
	err := c.call(ctx, pathChangeVoters, change, &struct{}{}, 2*callTimeout)
	if errors.Is(err, errRejected) {
		return fmt.Errorf("%w: %w", ErrVoterChange, err)
	}
	return err
}
