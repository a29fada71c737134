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
	// maxSessions bounds the commands of one client that are in flight at a time. It is also the number of sessions
	// that the cluster stores for each client, and the maximum of its idle connections to each voter.
	maxSessions = 16
	// idleConnTimeout is the time without a call after which a connection is closed.
	idleConnTimeout = 30 * time.Second
)

// Client calls the cluster's voters. It is safe for concurrent use.
type Client struct {
	http     *http.Client
	sessions chan *session // the sessions without a command in flight

	mu     sync.Mutex
	voters []string // the voters' addresses; the voter that responded last is first
	// unresponsive has the time at which a voter last failed to respond within unresponsiveAfter, by address.
	unresponsive map[string]time.Time
}

// session is a sequence of numbered commands, at most one of which is in flight at a time.
type session struct {
	name       string
	lastNumber uint64
}

// NewClient returns a client of the voters at the given addresses. It connects at the first call.
func NewClient(voters []string, files mtls.Files) (*Client, error) {
	credentials, err := files.Load(VoterName)
	if err != nil {
		return nil, fmt.Errorf("creating a client of the cluster: %w", err)
	}
	client := &Client{
		sessions:     make(chan *session, maxSessions),
		voters:       slices.Clone(voters),
		unresponsive: make(map[string]time.Time),
	}
	client.http = &http.Client{Transport: &http.Transport{
		DialTLSContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return dial(ctx, credentials, addr, protocolHTTP)
		},
		MaxIdleConnsPerHost: maxSessions,
		IdleConnTimeout:     idleConnTimeout,
	}}
	id := rand.Text() // random, so that no two clients share a session
	for i := range maxSessions {
		client.sessions <- &session{name: fmt.Sprintf("%s/%d", id, i)}
	}
	return client, nil
}

// Close closes idle connections. Calls in flight continue.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do executes a command at most once, even if it has to send it several times, and returns its result. The error
// wraps ErrUnknown if ctx was done before a voter responded.
func (c *Client) Do(ctx context.Context, cmd fsm.Command) (fsm.Result, error) {
	return c.callOnce(ctx, pathCommand, callTimeout, func(session string, number uint64) any {
		cmd.Session, cmd.Number = session, number
		return cmd
	})
}

// callOnce waits for a free session, builds a request with the session and its next number, and sends the request
// until a voter responds.
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

// Read returns the state, which includes all that was committed before the call.
func (c *Client) Read(ctx context.Context, req ReadRequest) (resp ReadResponse, err error) {
	err = c.call(ctx, pathRead, req, &resp, callTimeout+req.Wait)
	return resp, err
}

// Status returns the status of the voter at an address. It does not retry.
func (c *Client) Status(ctx context.Context, addr string) (s Status, err error) {
	_, err = c.callVoter(ctx, addr, pathStatus, []byte("{}"), &s, callTimeout)
	return s, err
}

// ChangeVoters adds or removes a voter. The error wraps ErrVoterChange if the cluster rejects the change.
func (c *Client) ChangeVoters(ctx context.Context, change VoterChange) error {
	err := c.call(ctx, pathChangeVoters, change, &struct{}{}, 2*callTimeout)
	if errors.Is(err, errRejected) {
		return fmt.Errorf("%w: %w", ErrVoterChange, err)
	}
	return err
}
