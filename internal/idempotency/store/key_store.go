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
	// File is the path of the file that stores keys beyond the end of the process; "" for none.
	File string
	Log  *slog.Logger
	// Clock is read to compute the remaining retention of records; nil means the clocks of the machine.
	Clock func() bootclock.Reading
	// OpenFile opens the file; nil means os.OpenFile.
	OpenFile boltfile.OpenFile
}

// unavailableRetryAfter is the Retry-After of keyed requests while the file is not open or cannot be written:
// another process releases the file within its shutdown, and a disk takes about as long to recover.
const unavailableRetryAfter = time.Second

// KeyStore contains the idempotency keys of a process. It is created by New. Its methods may be called from any
// goroutine.
type KeyStore struct {
	start      time.Time // origin of the times passed to store
	log        *slog.Logger
	file       string // path; "" if none
	clock      func() bootclock.Reading
	openFile   boltfile.OpenFile
	stop       chan struct{}  // closed by Close
	goroutines sync.WaitGroup // the goroutine that retries to open the file

	mu           sync.Mutex
	store        *idempotency.Store
	settings     idempotency.Settings
	waiting      map[idempotency.Ticket]chan wakeUp // each has a buffer of one and receives one wakeUp
	copyingBytes int64                              // size of the answer copies in progress
	journal      *journal                           // nil without a file, or until the file is open
}

// wakeUp is sent to a waiting request to end its wait.
type wakeUp struct {
	verdict idempotency.Verdict
	answer  idempotency.Answer // set if verdict is Replay
}

// Decision is the decision on a request. Answer is set if the Verdict is idempotency.Replay, Claim if it is
// idempotency.Run or idempotency.Wait. RetryAfter is set if it is idempotency.Full: the time until there may be
// room, or 0 if that is unknown.
type Decision struct {
	Verdict    idempotency.Verdict
	Answer     Answer
	Claim      *Claim
	RetryAfter time.Duration
}

// New returns a KeyStore with the records of its file, if it has one. If another process has the file open, or
// the disk fails, keyed requests are rejected until the file can be opened. New returns an error if the
// settings are invalid or the file is damaged (boltfile.ErrDamaged).
func New(opt Options) (*KeyStore, error) {
	store, err := idempotency.New(opt.Settings)
	if err != nil {
		return nil, err
	}
	keyStore := &KeyStore{
		start: time.Now(), log: opt.Log, file: opt.File, clock: opt.Clock, openFile: opt.OpenFile,
		stop:  make(chan struct{}),
		store: store, settings: opt.Settings, waiting: make(map[idempotency.Ticket]chan wakeUp),
	}
	if keyStore.clock == nil {
		keyStore.clock = bootclock.Now
	}
	if keyStore.file == "" {
		return keyStore, nil
	}
	err = keyStore.open()
	if isTemporary(err) {
		keyStore.log.Warn("idempotency key file not available yet, retrying", "file", keyStore.file, "err", err)
		keyStore.goroutines.Go(keyStore.retryOpen)
		return keyStore, nil
	}
	if err != nil {
		return nil, fmt.Errorf("opening the idempotency key file: %w", err)
	}
	return keyStore, nil
}

// Close releases the file once all writes are durable. No request may be in progress.
func (s *KeyStore) Close() {
	close(s.stop)
	s.goroutines.Wait()
	if j := s.currentJournal(); j != nil {
		j.close()
	}
}

// currentJournal returns the journal; nil without a file, or until the file is open.
func (s *KeyStore) currentJournal() *journal {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.journal
}

// Configure replaces the settings. Existing keys retain the class settings that were promised. If the settings
// are invalid, Configure returns an error and changes nothing.
func (s *KeyStore) Configure(set idempotency.Settings) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.store.Configure(set); err != nil {
		return err
	}
	s.settings = set
	return nil
}

// Usage returns the number of keys and their size in bytes, as counted against Settings.MaxBytes.
func (s *KeyStore) Usage() (entries int, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.Expire(s.now())
	return s.store.Usage()
}

// Commits returns the number of transactions since the file was opened. Each transaction has waited for the
// disk.
func (s *KeyStore) Commits() uint64 {
	if j := s.currentJournal(); j != nil {
		return j.commits.Load()
	}
	return 0
}

// now returns the current time of the idempotency.Store. It is monotonic: a step of the wall clock expires no
// key.
func (s *KeyStore) now() time.Duration { return time.Since(s.start) }

// Begin decides how to handle a request. The digest is zero while the body of the request is still streaming.
// The caller must settle the claim of the decision, if there is one. If there is a file and the request is to
// run, Begin waits for the disk.
func (s *KeyStore) Begin(k idempotency.Key, d idempotency.Digest) Decision {
	decision, packed := s.decide(k, d)
	switch decision.Verdict {
	case idempotency.Run:
		return decision.Claim.recordRun(decision)
	case idempotency.Replay:
		decision.Answer = unpack(packed)
	}
	return decision
}

// decide returns the decision of the idempotency.Store on a request. The answer is set if the verdict is
// idempotency.Replay.
func (s *KeyStore) decide(k idempotency.Key, d idempotency.Digest) (Decision, idempotency.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.file != "" && s.journal == nil {
		return s.decideWithoutFile(k), idempotency.Answer{}
	}
	got := s.store.Begin(s.now(), k, d)
	decision := Decision{Verdict: got.Verdict}
	switch got.Verdict {
	case idempotency.Run:
		decision.Claim = &Claim{keyStore: s, key: k, ticket: got.Ticket}
	case idempotency.Wait:
		decision.Claim = &Claim{keyStore: s, key: k, ticket: got.Ticket, wake: make(chan wakeUp, 1)}
		s.waiting[got.Ticket] = decision.Claim.wake
	case idempotency.Full:
		decision.RetryAfter = s.store.NextExpiry(s.now())
	}
	return decision, got.Answer
}

// decideWithoutFile decides how to handle a request while the file is not open. The caller holds mu.
func (s *KeyStore) decideWithoutFile(k idempotency.Key) Decision {
	c, known := s.settings.Classes[k.Class]
	if !known || c.RunWhenFull {
		return Decision{Verdict: idempotency.RunUnprotected}
	}
	return Decision{Verdict: idempotency.Full, RetryAfter: unavailableRetryAfter}
}

// wakeAll wakes the waiting requests with these tickets. The caller holds mu.
func (s *KeyStore) wakeAll(tickets []idempotency.Ticket, w wakeUp) {
	for _, t := range tickets {
		if c := s.waiting[t]; c != nil {
			c <- w
			delete(s.waiting, t)
		}
	}
}
