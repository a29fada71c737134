package consensus

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"jasperpin/internal/configlog"
	"jasperpin/internal/consensus/fsm"
	"jasperpin/internal/lengthprefix"
)

const (
	// proposeWithin is how long one voter may take for a proposal, which may be large.
	proposeWithin = 3 * time.Second
	// snapshotsAtOnce bounds the snapshots of the configuration that a voter sends at a time, and
	// snapshotWithin how long one takes.
	snapshotsAtOnce = 4
	snapshotWithin  = 30 * time.Second
	// maxNews bounds the changes of one answer, in bytes, unless the first alone is larger.
	maxNews = 4 << 20
)

// ErrSnapshot says that no voter gave a snapshot of the configuration.
var ErrSnapshot = errors.New("no snapshot of the configuration")

// proposal is a proposed change on its way.
type proposal struct {
	Session string `json:"Session"`
	Number  uint64 `json:"Number"`
	Change  []byte `json:"Change"` // as conf.AppendChange writes it
}

func (p proposal) command() fsm.Command {
	return fsm.Command{Op: fsm.Config, Session: p.Session, Number: p.Number, Change: p.Change}
}

// askNews is what a follower of the configuration asks for.
type askNews struct {
	Since uint64        `json:"Since"`
	Wait  time.Duration `json:"Wait,omitempty"`
	// Any takes what a voter has that doesn't lead.
	Any bool `json:"Any,omitempty"`
}

// news is the answer: what was agreed behind Since, as far as one answer holds it.
type news struct {
	Version   uint64   `json:"Version"`
	Digest    []byte   `json:"Digest"`
	Changes   [][]byte `json:"Changes,omitempty"`
	Forgotten bool     `json:"Forgotten,omitempty"`
	Agreed    bool     `json:"Agreed,omitempty"`
}

// News is what the voters say of the configuration behind a version.
type News struct {
	Version uint64 // the newest
	Digest  configlog.Digest
	Changes []configlog.Change // behind the version asked for, the oldest first; there may be more
	// Forgotten says that the changes are not remembered any more: a snapshot is due.
	Forgotten bool
	// Agreed says that a majority stood behind the answer as it was given. Otherwise it is what
	// one voter has: agreed on once, but there may be more.
	Agreed bool
}

// config tells what there is behind a version, and waits a while where there is nothing.
func (v *Voter) config(ctx context.Context, a askNews) (n news, err error) {
	if err := v.confirm(); err != nil && !a.Any {
		return n, err
	}
	ctx, cancel := context.WithTimeout(ctx, min(a.Wait, maxWait))
	defer cancel()
	m := v.machine
	for waits := a.Wait > 0; ; {
		m.mu.Lock()
		c, changed := m.state.Conf(), m.changed
		version, digest := c.Version(), c.Digest()
		after, ok := c.Since(a.Since)
		m.mu.Unlock()
		if waits && version == a.Since {
			select {
			case <-changed:
				continue
			case <-v.done:
			case <-ctx.Done():
			}
			waits = false
			continue
		}
		n = news{Version: version, Digest: digest[:], Forgotten: !ok && version > a.Since}
		bytes := 0
		for _, c := range after {
			text := configlog.AppendChange(nil, c)
			if bytes += len(text); bytes > maxNews && len(n.Changes) > 0 {
				break
			}
			n.Changes = append(n.Changes, text)
		}
		break
	}
	// The majority is asked behind the answer: nothing newer was agreed on before that.
	n.Agreed = v.confirm() == nil
	if n.Agreed {
		m.mu.Lock()
		n.Agreed = m.state.Conf().Version() == n.Version
		m.mu.Unlock()
	}
	return n, nil
}

// sendSnapshot answers with all pieces of a snapshot of the configuration, each behind its length.
func (v *Voter) sendSnapshot(w http.ResponseWriter, r *http.Request) {
	select {
	case v.snapshots <- struct{}{}:
		defer func() { <-v.snapshots }()
	default:
		http.Error(w, "other snapshots are on their way", http.StatusServiceUnavailable)
		return
	}
	v.machine.mu.Lock()
	s := v.machine.state.Conf().Snapshot()
	v.machine.mu.Unlock()
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(snapshotWithin))
	var buf []byte
	for p := (configlog.Piece{}); !p.Last; {
		p = s.Piece(p)
		buf = lengthprefix.End(configlog.AppendPiece(lengthprefix.New(buf), p))
		if _, err := w.Write(buf); err != nil {
			return
		}
	}
}

// Propose has a change proposed, once however often it had to be sent, and gives its version. The
// error is conf.ErrConflict where it rests on what another has changed since, and ErrUnknown where
// ctx ended before an answer came.
func (c *Client) Propose(ctx context.Context, change configlog.Change) (version uint64, err error) {
	text := configlog.AppendChange(nil, change)
	r, err := c.once(ctx, "/v1/propose", proposeWithin, func(session string, number uint64) any {
		return proposal{session, number, text}
	})
	return r.Version, err
}

// Config asks for the changes of the configuration behind a version, and waits a while for the next
// where there are none. Where no voter leads, or none of a majority is reached, it gives what any
// voter has, and says so.
func (c *Client) Config(ctx context.Context, since uint64, wait time.Duration) (News, error) {
	var n news
	asking, cancel := context.WithTimeout(ctx, wait+2*askWithin)
	err := c.ask(asking, "/v1/config", askNews{Since: since, Wait: wait}, &n, wait+askWithin)
	cancel()
	if err != nil && ctx.Err() == nil {
		asking, cancel = context.WithTimeout(ctx, 2*askWithin)
		err = c.ask(asking, "/v1/config", askNews{Since: since, Any: true}, &n, askWithin)
		cancel()
	}
	if err != nil {
		return News{}, fmt.Errorf("the configuration: %w", err)
	}
	is := News{Version: n.Version, Forgotten: n.Forgotten, Agreed: n.Agreed}
	copy(is.Digest[:], n.Digest)
	for _, text := range n.Changes {
		change, err := configlog.DecodeChange(text)
		if err != nil {
			return News{}, fmt.Errorf("the configuration: %w", err)
		}
		is.Changes = append(is.Changes, change)
	}
	return is, nil
}

// ConfigSnapshot asks for the whole configuration, beyond a version. Any voter may give it: it is
// agreed on, though there may be more.
func (c *Client) ConfigSnapshot(ctx context.Context, beyond uint64) (*configlog.State, error) {
	var all error
	for _, addr := range c.asked() {
		s, err := c.snapshotOf(ctx, addr)
		if err == nil && s.Version() > beyond {
			return s, nil
		}
		if err == nil {
			err = fmt.Errorf("%s has version %d, which is not beyond %d", addr, s.Version(), beyond)
		}
		all = errors.Join(all, err)
	}
	return nil, fmt.Errorf("%w: %w", ErrSnapshot, all)
}

// snapshotOf takes the pieces of one voter's snapshot as they come.
func (c *Client) snapshotOf(ctx context.Context, addr string) (*configlog.State, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotWithin)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+addr+"/v1/config/snapshot", http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("asking %s: %w", addr, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("asking %s: %w", addr, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s answers %s", addr, resp.Status)
	}
	r, build := bufio.NewReader(resp.Body), configlog.NewBuilder()
	var buf []byte
	for {
		if buf, err = lengthprefix.Read(r, buf, configlog.MaxPiece); err != nil {
			return nil, fmt.Errorf("a snapshot of %s: %w", addr, err)
		}
		p, err := configlog.DecodePiece(buf)
		if err != nil {
			return nil, fmt.Errorf("a snapshot of %s: %w", addr, err)
		}
		s, err := build.Add(p)
		if err != nil || s != nil {
			return s, err
		}
	}
}
