package consensus

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"jasperpin/internal/configlog"
	"jasperpin/internal/consensus/fsm"
	"jasperpin/internal/mtls"
)

const (
	// maxCall and maxReply bound what either end reads, in bytes. A proposal may be larger than other
	// calls, and a back-up holds a snapshot, in base64 once more.
	maxCall    = 64 << 10
	maxPropose = 2*configlog.MaxChangeBytes + maxCall
	maxReply   = 256 << 20
	// maxWait bounds how long a reader may wait for a change.
	maxWait = 30 * time.Second
	// askWithin is how long one voter may take, beside what a reader waits: one that is
	// stopped is left for the next.
	askWithin = time.Second
	// silentFor is how long one that did not answer is asked after the others only. It may
	// still be named as the one that leads, until another does.
	silentFor = 2 * time.Second
	// pause is between two rounds of asking, at first; it doubles up to pauseMost.
	pause     = 20 * time.Millisecond
	pauseMost = 500 * time.Millisecond
	// reviveWithin bounds how long a back-up takes, either way.
	reviveWithin = 30 * time.Second
	// sessions are the commands of one client that may be out at a time.
	sessions = 16
	// leaderHeader names who leads, where the voter asked does not.
	leaderHeader = "Group-Leader"
)

// errFinal says that the group will give no other answer.
var errFinal = errors.New("the group refuses")

// handler answers other instances' calls.
func (v *Voter) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/do", answer(v, maxCall, func(_ context.Context, c fsm.Command) (fsm.Result, error) { return v.Do(c) }))
	mux.HandleFunc("POST /v1/propose", answer(v, maxPropose, func(_ context.Context, p proposal) (fsm.Result, error) { return v.Do(p.command()) }))
	mux.HandleFunc("POST /v1/config", answer(v, maxCall, v.config))
	mux.HandleFunc("POST /v1/config/snapshot", v.sendSnapshot)
	mux.HandleFunc("POST /v1/read", answer(v, maxCall, v.Read))
	mux.HandleFunc("POST /v1/status", answer(v, maxCall, func(context.Context, struct{}) (Status, error) { return v.Status() }))
	mux.HandleFunc("POST /v1/voters", answer(v, maxCall, func(_ context.Context, c Change) (struct{}, error) { return struct{}{}, v.Change(c) }))
	mux.HandleFunc("POST /v1/backup", answer(v, maxCall, func(context.Context, struct{}) (Backup, error) { return v.Backup() }))
	mux.HandleFunc("POST /v1/revive", answer(v, maxReply, func(_ context.Context, b Backup) (struct{}, error) { return struct{}{}, v.Revive(b) }))
	return mux
}

// answer makes a handler of a call: what it takes and gives is JSON.
func answer[In, Out any](v *Voter, most int64, call func(context.Context, In) (Out, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in In
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, most)).Decode(&in); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		out, err := call(r.Context(), in)
		if errors.Is(err, ErrNotLeader) {
			w.Header().Set(leaderHeader, v.Leader())
			http.Error(w, err.Error(), http.StatusMisdirectedRequest)
			return
		}
		var text []byte
		if err == nil {
			text, err = json.Marshal(out)
		}
		if errors.Is(err, ErrVoters) || errors.Is(err, ErrBackup) { // asking again does not help
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(text)
	}
}

// Client asks the group's voters. Its calls may run side by side.
type Client struct {
	http *http.Client
	free chan *session

	mu     sync.Mutex
	voters []string             // addresses, the one that led last first
	silent map[string]time.Time // those that took their time and did not answer, since when
}

// session numbers the commands of one call after another.
type session struct {
	name string
	last uint64
}

// NewClient makes a client of the voters at some addresses. It connects when it is asked.
func NewClient(voters []string, files mtls.Files) (*Client, error) {
	t, err := files.Load(VoterName)
	if err != nil {
		return nil, fmt.Errorf("a client of the group: %w", err)
	}
	c := &Client{free: make(chan *session, sessions), silent: make(map[string]time.Time), voters: slices.Clone(voters)}
	c.http = &http.Client{Transport: &http.Transport{
		DialTLSContext:      func(ctx context.Context, _, addr string) (net.Conn, error) { return dial(ctx, t, addr, speaksHTTP) },
		MaxIdleConnsPerHost: sessions, IdleConnTimeout: 30 * time.Second,
	}}
	life := rand.Text() // no two clients share a session
	for i := range sessions {
		c.free <- &session{name: fmt.Sprintf("%s/%d", life, i)}
	}
	return c, nil
}

// Close gives up connections at rest.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do has a command carried out, once however often it had to be sent. The error is
// ErrUnknown where ctx ended before an answer came.
func (c *Client) Do(ctx context.Context, cmd fsm.Command) (fsm.Result, error) {
	return c.once(ctx, "/v1/do", askWithin, func(session string, number uint64) any {
		cmd.Session, cmd.Number = session, number
		return cmd
	})
}

// once sends what is made under the number of a session until an answer comes.
func (c *Client) once(ctx context.Context, path string, within time.Duration, make func(session string, number uint64) any) (r fsm.Result, err error) {
	var s *session
	select {
	case s = <-c.free:
	case <-ctx.Done():
		return r, fmt.Errorf("not sent: %w", ctx.Err())
	}
	defer func() { c.free <- s }()
	s.last++
	if err := c.ask(ctx, path, make(s.name, s.last), &r, within); err != nil {
		return fsm.Result{}, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	return r, r.Err()
}

// Read reads what is agreed, no older than the call.
func (c *Client) Read(ctx context.Context, a Ask) (v View, err error) {
	err = c.ask(ctx, "/v1/read", a, &v, askWithin+a.Wait)
	return v, err
}

// Status asks the voter at an address how things stand.
func (c *Client) Status(ctx context.Context, addr string) (s Status, err error) {
	_, err = c.one(ctx, addr, "/v1/status", []byte("{}"), &s, askWithin)
	return s, err
}

// Change has the voters changed. The error is ErrVoters where they cannot be.
func (c *Client) Change(ctx context.Context, ch Change) error {
	err := c.ask(ctx, "/v1/voters", ch, &struct{}{}, 2*askWithin)
	if errors.Is(err, errFinal) {
		return fmt.Errorf("%w: %w", ErrVoters, err)
	}
	return err
}

// ask asks one voter after another until one answers or ctx ends.
func (c *Client) ask(ctx context.Context, path string, in, out any, within time.Duration) error {
	text, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("asking the group: %w", err)
	}
	wait := pause
	for {
		for _, addr := range c.asked() {
			var leader string
			if leader, err = c.one(ctx, addr, path, text, out, within); err == nil {
				c.led(addr)
				return nil
			}
			c.mu.Lock()
			follow := leader != "" && leader != addr && !c.isSilent(leader)
			c.mu.Unlock()
			if follow {
				if _, err = c.one(ctx, leader, path, text, out, within); err == nil {
					c.led(leader)
					return nil
				}
			}
			if errors.Is(err, errFinal) {
				return err
			}
			if ctx.Err() != nil {
				break
			}
		}
		t := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			t.Stop()
			return fmt.Errorf("asking the group: %w", errors.Join(ctx.Err(), err))
		case <-t.C:
		}
		wait = min(2*wait, pauseMost)
	}
}

// asked are the voters to ask, in order. Those that have lately taken their time and not
// answered are left out, unless there is no other.
func (c *Client) asked() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	heard := slices.DeleteFunc(slices.Clone(c.voters), c.isSilent)
	if len(heard) == 0 {
		return slices.Clone(c.voters)
	}
	return heard
}

// isSilent says whether a voter has lately not answered. Called under the lock.
func (c *Client) isSilent(addr string) bool {
	since, ok := c.silent[addr]
	return ok && time.Since(since) < silentFor
}

// led puts the voter that has answered first. One that the group has taken in since is
// remembered in place of the last.
func (c *Client) led(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := slices.Index(c.voters, addr); i >= 0 {
		c.voters = slices.Delete(c.voters, i, i+1)
	}
	c.voters = slices.Insert(c.voters, 0, addr)
	if len(c.voters) > maxVoters {
		c.voters = c.voters[:maxVoters]
	}
	delete(c.silent, addr)
}

// maxVoters bounds the addresses that a client remembers.
const maxVoters = 16

// one asks one voter. Where another leads, it is told who.
func (c *Client) one(ctx context.Context, addr, path string, text []byte, out any, within time.Duration) (leader string, err error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+addr+path, bytes.NewReader(text))
	if err != nil {
		return "", fmt.Errorf("asking %s: %w", addr, err)
	}
	began := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		if time.Since(began) >= askWithin/2 {
			c.mu.Lock()
			if len(c.silent) >= maxVoters {
				clear(c.silent)
			}
			c.silent[addr] = time.Now()
			c.mu.Unlock()
		}
		return "", fmt.Errorf("asking %s: %w", addr, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	if err != nil {
		return "", fmt.Errorf("asking %s: %w", addr, err)
	}
	if resp.StatusCode == http.StatusConflict {
		return "", fmt.Errorf("%w: %s answers: %s", errFinal, addr, bytes.TrimSpace(body))
	}
	if resp.StatusCode != http.StatusOK {
		return resp.Header.Get(leaderHeader), fmt.Errorf("%s answers %s: %s", addr, resp.Status, bytes.TrimSpace(body))
	}
	if err := json.Unmarshal(body, out); err != nil {
		return "", fmt.Errorf("asking %s: %w", addr, err)
	}
	return "", nil
}
