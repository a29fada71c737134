package store

import (
	"fmt"
	"log/slog"
	"sync"
	"time"

	"jasperpin/internal/boltfile"
	"jasperpin/internal/bootclock"
	"jasperpin/internal/idempotency"
)

// Options configure New.
type Options struct {
	Settings idempotency.Settings
	// File keeps keys through the end of the process; "" for none.
	File string
	Log  *slog.Logger
	// Clock is read for how long records are retained; nil for the machine's.
	Clock func() bootclock.Reading
	// OpenFile opens the file; nil for os.OpenFile.
	OpenFile boltfile.OpenFile
}

// retryWhileClosed is the Retry-After of keyed requests while the file is not open or takes no writes:
// another process lets go of it within its shutdown, and a disk recovers in about as long.
const retryWhileClosed = time.Second

// KeyStore keeps keys. New makes one; its methods may be called from any goroutine.
type KeyStore struct {
	start    time.Time // of the monotonic clock that the Store runs by
	log      *slog.Logger
	file     string // "" for none
	clock    func() bootclock.Reading
	openFile boltfile.OpenFile
	stop     chan struct{}  // closed by Close
	running  sync.WaitGroup // the goroutine that waits for the file

	mu           sync.Mutex
	store        *idempotency.Store
	settings     idempotency.Settings
	waiting      map[idempotency.Ticket]chan wakeUp // each has a buffer of one, and is sent to once
	copyingBytes int64                              // of answers that are being copied
	journal      *journal                           // nil without a file, or until it is open
}

// wakeUp ends the wait of a request.
type wakeUp struct {
	verdict idempotency.Verdict
	answer  idempotency.Answer // with Replay
}

// Decision is what a request is to do. Answer is set with idempotency.Replay, Claim with idempotency.Run
// and idempotency.Wait. RetryAfter is when there may be room, with idempotency.Full; 0 where that is not
// known.
type Decision struct {
	Verdict    idempotency.Verdict
	Answer     Answer
	Claim      *Claim
	RetryAfter time.Duration
}

// New makes a KeyStore with the records of its file, if it has one. Where another process has the file, or
// the disk does not give it, keyed requests are refused until it can be opened. It fails where the settings
// cannot be used, or the file is damaged (boltfile.ErrDamaged).
func New(opt Options) (*KeyStore, error) {
	store, err := idempotency.New(opt.Settings)
	if err != nil {
		return nil, err
	}
	h := &KeyStore{
		start: time.Now(), log: opt.Log, file: opt.File, clock: opt.Clock, openFile: opt.OpenFile,
		stop:  make(chan struct{}),
		store: store, settings: opt.Settings, waiting: make(map[idempotency.Ticket]chan wakeUp),
	}
	if h.clock == nil {
		h.clock = bootclock.Now
	}
	if h.file == "" {
		return h, nil
	}
	err = h.open()
	if isTemporary(err) {
		h.log.Warn("idempotency keys wait for their file", "file", h.file, "err", err)
		h.running.Go(h.openLater)
		return h, nil
	}
	if err != nil {
		return nil, fmt.Errorf("opening the file of idempotency keys: %w", err)
	}
	return h, nil
}

// Close releases the file once all writes are on the disk. No request may be open.
func (h *KeyStore) Close() {
	close(h.stop)
	h.running.Wait()
	if j := h.currentJournal(); j != nil {
		j.close()
	}
}

// currentJournal returns the journal; nil without a file, or until it is open.
func (h *KeyStore) currentJournal() *journal {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.journal
}

// Configure replaces the settings. Keys that are held stay as they were promised. It fails, and changes
// nothing, where the settings cannot be used.
func (h *KeyStore) Configure(set idempotency.Settings) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.store.Configure(set); err != nil {
		return err
	}
	h.settings = set
	return nil
}

// Usage returns how many keys there are, and the bytes that they count for.
func (h *KeyStore) Usage() (entries int, bytes int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.store.Expire(h.now())
	return h.store.Usage()
}

// Commits counts the transactions of the file since the start; each has waited for the disk.
func (h *KeyStore) Commits() uint64 {
	if j := h.currentJournal(); j != nil {
		return j.commits.Load()
	}
	return 0
}

// now is the time by the Store's clock. It is monotonic: a step of the wall clock forgets nothing.
func (h *KeyStore) now() time.Duration { return time.Since(h.start) }

// Begin decides about a request. Its digest is zero while its body still streams. A claim that comes with
// the decision must be settled. Begin waits for the disk where the request is to run and there is a file.
func (h *KeyStore) Begin(k idempotency.Key, d idempotency.Digest) Decision {
	decision, packed := h.decide(k, d)
	switch decision.Verdict {
	case idempotency.Run:
		return decision.Claim.recordRun(decision)
	case idempotency.Replay:
		decision.Answer = unpack(packed)
	}
	return decision
}

// decide asks the Store about a request. The answer is set with idempotency.Replay.
func (h *KeyStore) decide(k idempotency.Key, d idempotency.Digest) (Decision, idempotency.Answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.file != "" && h.journal == nil {
		return h.decideWithoutFile(k), idempotency.Answer{}
	}
	got := h.store.Begin(h.now(), k, d)
	decision := Decision{Verdict: got.Verdict}
	switch got.Verdict {
	case idempotency.Run:
		decision.Claim = &Claim{holder: h, key: k, ticket: got.Ticket}
	case idempotency.Wait:
		decision.Claim = &Claim{holder: h, key: k, ticket: got.Ticket, wake: make(chan wakeUp, 1)}
		h.waiting[got.Ticket] = decision.Claim.wake
	case idempotency.Full:
		decision.RetryAfter = h.store.NextExpiry(h.now())
	}
	return decision, got.Answer
}

// decideWithoutFile decides about a request while the file is not open. The caller holds mu.
func (h *KeyStore) decideWithoutFile(k idempotency.Key) Decision {
	c, known := h.settings.Classes[k.Class]
	if !known || c.RunWhenFull {
		return Decision{Verdict: idempotency.RunUnprotected}
	}
	return Decision{Verdict: idempotency.Full, RetryAfter: retryWhileClosed}
}

// wakeAll ends the waits of requests. The caller holds mu.
func (h *KeyStore) wakeAll(tickets []idempotency.Ticket, w wakeUp) {
	for _, t := range tickets {
		if c := h.waiting[t]; c != nil {
			c <- w
			delete(h.waiting, t)
		}
	}
}
