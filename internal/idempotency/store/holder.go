// Package store holds the idempotency keys of a process for its fronts: it gives idem.Store
// its clock and its lock, and wakes those that wait. Fronts of any protocol ask it before a
// request goes on to a pool.
package store

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"jasperpin/internal/boltfile"
	"jasperpin/internal/bootclock"
	"jasperpin/internal/idempotency"
)

// ErrTimeUp says that a wait was longer than its client's.
var ErrTimeUp = errors.New("the first request still runs")

// Turn is what becomes of a request. The answer comes with idem.Replay, and the claim with
// idem.Run and idem.Wait. Retry is when there may be room, with idem.Full, or 0.
type Turn struct {
	Verdict idempotency.Verdict
	Answer  Answer
	Claim   *Claim
	Retry   time.Duration
}

// Options are what a Holder is made of.
type Options struct {
	Bounds idempotency.Settings
	// File keeps keys through the end of the process; "" for none.
	File string
	Log  *slog.Logger
	// Clock is read for how long records are kept; nil for the machine's.
	Clock func() bootclock.Reading
	// OpenFile opens the file; nil for the system's way.
	OpenFile boltfile.OpenFile
}

const (
	// openWithin is how long a start waits for another process to let go of the file, and
	// openEvery how often one that could not is tried again.
	openWithin = 50 * time.Millisecond
	openEvery  = 100 * time.Millisecond
	// openAgain is how often one is tried again that the disk did not give.
	openAgain = 500 * time.Millisecond
	// closedFor is when to come back while another process has the file.
	closedFor = time.Second
	// lost is what repeats are told of a run whose process has ended: 502, as of any that
	// failed and may have run.
	lost = 502
)

// Holder holds keys.
type Holder struct {
	start    time.Time
	log      *slog.Logger
	file     string
	clock    func() bootclock.Reading
	openFile boltfile.OpenFile
	stop     chan struct{}
	ended    sync.WaitGroup

	mu      sync.Mutex
	store   *idempotency.Store
	waiting map[idempotency.Ticket]chan woken // each holds one
	set     idempotency.Settings
	copying int64    // bytes of answers that pass
	journal *journal // nil without a file, or until it is open
}

// woken is what ended a wait.
type woken struct {
	verdict idempotency.Verdict
	answer  idempotency.Answer
}

// New makes a holder. It knows what its file does, where it has one: a run that was under
// way when the process before ended may have run. Where another process has the file, keys
// are turned away until that one lets go of it.
func New(opt Options) (*Holder, error) {
	store, err := idempotency.New(opt.Bounds)
	if err != nil {
		return nil, err
	}
	h := &Holder{
		start: time.Now(), log: opt.Log, file: opt.File, clock: opt.Clock, openFile: opt.OpenFile, stop: make(chan struct{}),
		store: store, set: opt.Bounds, waiting: make(map[idempotency.Ticket]chan woken),
	}
	if h.clock == nil {
		h.clock = bootclock.Now
	}
	if h.file == "" {
		return h, nil
	}
	err = h.open()
	if errors.Is(err, boltfile.ErrBusy) || errors.Is(err, boltfile.ErrUnavailable) {
		h.log.Warn("keys wait for their file", "file", h.file, "err", err)
		h.ended.Go(h.wait)
		err = nil
	}
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	return h, nil
}

// wait opens the file as soon as nobody else has it and the disk gives it. It never gives up: a disk
// that fails may be well again, and a file may be put back.
func (h *Holder) wait() {
	said := ""
	for every := openEvery; ; {
		select {
		case <-h.stop:
			return
		case <-time.After(every):
		}
		err := h.open()
		if err == nil {
			h.log.Info("keys are there", "file", h.file)
			return
		}
		if every = openEvery; !errors.Is(err, boltfile.ErrBusy) {
			every = openAgain
		}
		if text := err.Error(); text != said && !errors.Is(err, boltfile.ErrBusy) { // once, however often it fails alike
			h.log.Error("keys stay closed, and their file is tried again", "err", err)
			said = text
		}
	}
}

// open opens the file and takes in what it holds.
func (h *Holder) open() error {
	j, all, err := openJournal(h.file, openWithin, h.openFile, h.clock)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock()
	for _, k := range all {
		r, changed := h.recall(&k, now)
		switch {
		case r.Left <= 0:
			j.forget(r.Key)
			continue
		case changed:
			j.put(r) // or it would be new with each start
		}
		h.store.Adopt(h.now(), r)
	}
	h.journal = j
	return nil
}

// recall gives a record of the process before as it counts from now on, and says whether it is
// another than stands in the file: a run that was under way may have run, and nobody can say how
// old a record is that knows the wall clock alone.
func (h *Holder) recall(k *kept, now bootclock.Reading) (r idempotency.Record, changed bool) {
	r = idempotency.Record{Key: k.Key, Digest: k.Digest, Unknown: k.Unknown, Answer: k.Answer, Left: now.Left(k.Deadline)}
	if k.Running {
		r.Unknown, r.Answer = true, idempotency.Answer{Status: lost, Trimmed: true}
	}
	if changed = k.Running || k.Span == 0; changed {
		r.Left = cmp.Or(h.set.Classes[k.Key.Class].Keep, k.Span, r.Left)
	}
	return r, changed
}

// Close lets go of the file. No request may be open.
func (h *Holder) Close() {
	close(h.stop)
	h.ended.Wait()
	h.mu.Lock()
	j := h.journal
	h.mu.Unlock()
	if j != nil {
		j.close()
	}
}

// Configure puts other settings in force. Keys that are held stay as they were promised.
func (h *Holder) Configure(set idempotency.Settings) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.store.Configure(set); err != nil {
		return err
	}
	h.set = set
	return nil
}

// Held is how many keys there are, and the bytes that they count for.
func (h *Holder) Held() (entries int, bytes int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.store.Expire(h.now())
	return h.store.Held()
}

// Commits counts the transactions of the file since the start, each of which has waited for
// the disk.
func (h *Holder) Commits() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.journal == nil {
		return 0
	}
	return h.journal.commits.Load()
}

// now is monotonic: a step of the wall clock forgets nothing.
func (h *Holder) now() time.Duration { return time.Since(h.start) }

// Arrive says what becomes of a request. The zero digest is for one whose body still comes.
func (h *Holder) Arrive(k idempotency.Key, d idempotency.Digest) Turn {
	h.mu.Lock()
	if h.file != "" && h.journal == nil {
		defer h.mu.Unlock()
		if c, ok := h.set.Classes[k.Class]; !ok || c.MayPass {
			return Turn{Verdict: idempotency.Pass}
		}
		return Turn{Verdict: idempotency.Full, Retry: closedFor}
	}
	verdict, ticket, kept := h.store.Arrive(h.now(), k, d)
	turn := Turn{Verdict: verdict}
	switch verdict {
	case idempotency.Run:
		turn.Claim = &Claim{h: h, key: k, ticket: ticket}
	case idempotency.Wait:
		turn.Claim = &Claim{h: h, key: k, ticket: ticket, woken: make(chan woken, 1)}
		h.waiting[ticket] = turn.Claim.woken
	case idempotency.Full:
		turn.Retry = h.store.Room(h.now())
	}
	h.mu.Unlock()
	switch verdict {
	case idempotency.Run:
		return turn.Claim.intend(turn)
	case idempotency.Replay:
		turn.Answer = unpack(kept)
	}
	return turn
}

// intend has it on the disk that a key runs, before it does. Where the disk takes nothing
// it does not run: nobody would know of it.
func (c *Claim) intend(turn Turn) Turn {
	h := c.h
	h.mu.Lock()
	j := h.journal
	r, ok := h.store.Record(h.now(), c.key)
	h.mu.Unlock()
	if j == nil || !ok {
		return turn
	}
	if err := <-j.put(r); err != nil {
		h.log.Error("a key could not be written, and its request is refused", "err", err)
		c.Settle(idempotency.NeverRan, Answer{})
		return Turn{Verdict: idempotency.Full, Retry: closedFor}
	}
	return turn
}

// wake ends the waits of some. Called under the lock.
func (h *Holder) wake(all []idempotency.Ticket, w woken) {
	for _, t := range all {
		if c := h.waiting[t]; c != nil {
			c <- w
			delete(h.waiting, t)
		}
	}
}

// Claim is a request's hold on a key: it runs, or waits for the one that does.
type Claim struct {
	h      *Holder
	key    idempotency.Key
	ticket idempotency.Ticket
	woken  chan woken // nil for one that runs
}

// Wait waits for the end of the run, no longer than until: the turn is idem.Run where this
// one runs now, else idem.Replay or idem.Mismatch. Its error is ErrTimeUp, or that of ctx,
// whose client has gone.
func (c *Claim) Wait(ctx context.Context, until time.Time) (Turn, error) {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	var w woken
	var err error
	select {
	case w = <-c.woken:
	case <-ctx.Done():
		w, err = c.give(), ctx.Err()
	case <-t.C:
		w, err = c.give(), ErrTimeUp
	}
	if err != nil {
		if w.verdict == idempotency.Run { // it came at the last moment: the next one's
			c.Settle(idempotency.NeverRan, Answer{})
		}
		return Turn{}, err
	}
	turn := Turn{Verdict: w.verdict, Claim: c}
	switch w.verdict {
	case idempotency.Run:
		return c.intend(turn), nil
	case idempotency.Replay:
		turn.Answer = unpack(w.answer)
	}
	return turn, nil
}

// give ends a wait, and gives what has come of it meanwhile, or idem.Wait.
func (c *Claim) give() woken {
	c.h.mu.Lock()
	defer c.h.mu.Unlock()
	select {
	case w := <-c.woken:
		return w
	default:
	}
	delete(c.h.waiting, c.ticket)
	c.h.store.Gone(c.ticket)
	return woken{verdict: idempotency.Wait}
}

// Digested tells the digest of a run, once its body has passed. Those that wait with
// another one wait no more.
func (c *Claim) Digested(d idempotency.Digest) {
	c.h.mu.Lock()
	defer c.h.mu.Unlock()
	c.h.wake(c.h.store.Digested(c.ticket, d), woken{verdict: idempotency.Mismatch})
}

// Awaited says whether repeats wait for the end of a run.
func (c *Claim) Awaited() bool {
	c.h.mu.Lock()
	defer c.h.mu.Unlock()
	return c.h.store.Awaited(c.ticket)
}

// Settle tells how a run ended. Calls after the first change nothing. Where there is a file
// the end is on the disk before anybody is told of it; one that the disk does not take is
// known to this process alone.
func (c *Claim) Settle(end idempotency.End, a Answer) {
	h := c.h
	var kept idempotency.Answer
	if end != idempotency.NeverRan {
		kept = pack(a)
		if err := h.record(c, end, kept); err != nil {
			h.log.Error("the end of a key's run could not be written: after a restart it is not known", "err", err)
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	done := h.store.Settle(h.now(), c.ticket, end, kept)
	if done.Done && end == idempotency.NeverRan && done.Runner == 0 && h.journal != nil {
		h.journal.forget(c.key) // under the lock: a new run under the key is written behind it
	}
	h.wake(done.Waiters, woken{idempotency.Replay, kept})
	if done.Runner != 0 {
		h.wake([]idempotency.Ticket{done.Runner}, woken{verdict: idempotency.Run})
	}
}

// record has the end of a run on the disk.
func (h *Holder) record(c *Claim, end idempotency.End, kept idempotency.Answer) error {
	h.mu.Lock()
	j := h.journal
	r, ok := h.store.Ended(h.now(), c.key, c.ticket, end, kept)
	h.mu.Unlock()
	if j == nil || !ok {
		return nil
	}
	return <-j.put(r)
}
