package idempotency

import (
	"fmt"
	"testing"
	"time"

	_ "jasperpin/internal/seeded"

	"pgregory.net/rapid"
)

func testSettings() Settings {
	return Settings{
		MaxKeys: 8, MaxBytes: 8 * 1024, TenantShare: 0.5, MaxAnswerBytes: 600, MaxWaiters: 3,
		Classes: map[string]Class{
			"credit": {Retention: 10 * time.Second, MaxRunTime: time.Minute}, "order": {Retention: 5 * time.Second, MaxRunTime: time.Minute, RejectConcurrent: true},
			"note": {Retention: 2 * time.Second, MaxRunTime: time.Minute, RunWhenFull: true},
		},
	}
}

func newTestStore(t testing.TB, set Settings) *Store {
	t.Helper()
	s, err := New(set)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// model is the expected state of one key.
type model struct {
	runner  Ticket // 0 if none
	waiting map[Ticket]Digest
	digest  Digest
	until   time.Duration // expiry of the answer
	status  int
	trimmed bool
}

// TestStoreInvariants applies random requests, ends of runs, digests and disconnects. It checks that at most
// one request of a key runs at a time, and none while the key is retained as one that may have run; that each
// waiting request gets one verdict, and all of them the same answer; that no limit is exceeded; and that no
// state remains at the end.
func TestStoreInvariants(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		set := testSettings()
		store, err := New(set)
		if err != nil {
			r.Fatal(err)
		}
		now := time.Duration(0)
		keys := make(map[Key]*model)
		runs := make(map[Ticket]Key)
		keyGenerator := rapid.Custom(func(r *rapid.T) Key {
			return Key{rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "tenant"), rapid.SampledFrom([]string{"credit", "order", "note"}).Draw(r, "class"), fmt.Sprint(rapid.IntRange(0, 3).Draw(r, "key"))}
		})
		for range rapid.IntRange(1, 200).Draw(r, "steps") {
			now += time.Duration(rapid.IntRange(0, 800).Draw(r, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 5).Draw(r, "event") {
			case 0, 1, 2:
				key := keyGenerator.Draw(r, "key")
				var digest Digest
				digest[0] = byte(rapid.IntRange(0, 2).Draw(r, "digest"))
				expected := keys[key]
				if expected != nil && expected.runner == 0 && expected.until <= now {
					delete(keys, key)
					expected = nil
				}
				decision := store.Begin(now, key, digest)
				v, ticket, ans := decision.Verdict, decision.Ticket, decision.Answer
				switch {
				case expected == nil && v == Run:
					keys[key] = &model{runner: ticket, waiting: make(map[Ticket]Digest), digest: digest}
					runs[ticket] = key
				case expected == nil && v != Full && v != RunUnprotected, expected == nil && v == RunUnprotected && key.Class != "note", expected == nil && v == Full && key.Class == "note":
					r.Fatalf("the new key %v got verdict %d, want Run, or the verdict of its class when the store is full", key, v)
				case expected == nil:
				case v == Run || v == RunUnprotected || v == Full:
					r.Fatalf("a repeat under key %v got verdict %d although another request ran or is running", key, v)
				case v == Wait:
					if expected.runner == 0 || key.Class == "order" || len(expected.waiting) >= set.MaxWaiters || expected.digest != (Digest{}) && expected.digest != digest {
						r.Fatalf("a request under key %v got verdict Wait, want another one; expected state %+v", key, expected)
					}
					expected.waiting[ticket] = digest
				case v == Replay && (expected.runner != 0 || ans.Status != expected.status || ans.Trimmed != expected.trimmed || expected.digest != (Digest{}) && expected.digest != digest):
					r.Fatalf("a repeat under key %v got the answer %+v, want the first answer %+v", key, ans, expected)
				}
			case 3: // a run ends
				for ticket, key := range runs {
					expected := keys[key]
					end := Outcome(rapid.IntRange(0, 2).Draw(r, "end"))
					body := make([]byte, rapid.IntRange(0, 1000).Draw(r, "answer"))
					got := store.Settle(now, ticket, end, Answer{Status: 200 + int(ticket), Body: body})
					delete(runs, ticket)
					switch {
					case end == NeverRan && len(expected.waiting) == 0:
						delete(keys, key)
						if got.Next != 0 {
							r.Fatal("Settle returned a request to run next although none waits, want none")
						}
					case end == NeverRan:
						digest, ok := expected.waiting[got.Next]
						if !ok || len(got.Waiters) > 0 {
							r.Fatalf("Settle returned ticket %d to run next, want one of %v and no released waiter", got.Next, expected.waiting)
						}
						delete(expected.waiting, got.Next)
						expected.runner, expected.digest = got.Next, digest
						runs[got.Next] = key
					default:
						if len(got.Waiters) != len(expected.waiting) {
							r.Fatalf("Settle released %d waiters, want %d", len(got.Waiters), len(expected.waiting))
						}
						for _, w := range got.Waiters {
							if _, ok := expected.waiting[w]; !ok {
								r.Fatalf("Settle released ticket %d, which was not waiting", w)
							}
						}
						expected.runner, expected.waiting, expected.until, expected.status = 0, nil, now+set.Classes[key.Class].Retention, 200+int(ticket)
						expected.trimmed = store.entries[key].answer.Trimmed
						if len(body) > set.MaxAnswerBytes && !expected.trimmed {
							r.Fatal("the body of an oversized answer was stored, want it dropped")
						}
					}
					if again := store.Settle(now, ticket, end, Answer{}); again.Next != 0 || again.Waiters != nil {
						r.Fatal("settling a run a second time had an effect, want none")
					}
					break
				}
			case 4: // a body is complete
				for ticket, key := range runs {
					expected := keys[key]
					if expected.digest != (Digest{}) {
						continue
					}
					expected.digest[0] = byte(rapid.IntRange(1, 2).Draw(r, "passed"))
					for _, w := range store.SetDigest(ticket, expected.digest) {
						if expected.waiting[w] == expected.digest {
							r.Fatal("a waiting request with the same digest is a mismatch")
						}
						delete(expected.waiting, w)
					}
					for _, digest := range expected.waiting {
						if digest != expected.digest {
							r.Fatal("a request with a different digest still waits")
						}
					}
					break
				}
			case 5: // a client disconnects
				for _, expected := range keys {
					for w := range expected.waiting {
						store.Cancel(w)
						store.Cancel(w)
						delete(expected.waiting, w)
						break
					}
				}
			}
			entries, bytes := store.Usage()
			if entries > set.MaxKeys || bytes > set.MaxBytes {
				r.Fatalf("the store exceeds its limits with %d entries and %d bytes", entries, bytes)
			}
			for name, u := range store.tenants {
				if u.entries > set.MaxKeys/2 || u.bytes > set.MaxBytes/2 {
					r.Fatalf("tenant %s exceeds its share: %+v", name, *u)
				}
			}
		}
		for len(runs) > 0 {
			for ticket := range runs {
				delete(runs, ticket)
				if next := store.Settle(now, ticket, Answered, Answer{}).Next; next != 0 {
					r.Fatal("Settle with an answer returned a request to run next, want none")
				}
			}
		}
		store.Expire(now + time.Hour)
		if entries, bytes := store.Usage(); entries != 0 || bytes != 0 || len(store.requests) != 0 || len(store.tenants) != 0 || len(store.expiring) != 0 {
			r.Fatalf("the store has %d entries, %d bytes and %d requests at the end, want none", entries, bytes, len(store.requests))
		}
	})
}

// TestConcurrentRepeats begins 10,000 requests with one key. One runs, the maximum number of requests waits,
// and the others are Busy. All waiters receive the failure of the run. A key of another tenant with the same
// text is a different key.
func TestConcurrentRepeats(t *testing.T) {
	store := newTestStore(t, testSettings())
	key, digest := Key{"a", "credit", "k"}, Digest{1}
	got := make(map[Verdict]int)
	var runner Ticket
	for range 10_000 {
		decision := store.Begin(0, key, digest)
		if got[decision.Verdict]++; decision.Verdict == Run {
			runner = decision.Ticket
		}
	}
	if got[Run] != 1 || got[Wait] != 3 || got[Busy] != 9996 {
		t.Errorf("10000 concurrent requests got verdicts %v, want 1 Run, 3 Wait and 9996 Busy", got)
	}
	if out := store.Settle(time.Second, runner, MayHaveRun, Answer{Status: 502}); len(out.Waiters) != 3 || out.Next != 0 {
		t.Errorf("settling the failed run returned %+v, want 3 waiters and no next request", out)
	}
	if got := store.Begin(2*time.Second, key, digest); got.Verdict != Replay || got.Answer.Status != 502 {
		t.Errorf("a repeat of a request that may have run got %+v, want the replayed 502", got)
	}
	if got := store.Begin(2*time.Second, Key{"b", "credit", "k"}, digest); got.Verdict != Run {
		t.Errorf("the same key text of another tenant got %+v, want verdict Run", got)
	}
	if got := store.Begin(11*time.Second, key, digest); got.Verdict != Run {
		t.Errorf("a key after its retention got %+v, want verdict Run", got)
	}
}

// TestTenantShare fills the share of one tenant. The next key of that tenant is rejected, or runs unprotected
// if its class allows that; a key of another tenant is accepted. Settings that are out of range are errors.
func TestTenantShare(t *testing.T) {
	s := newTestStore(t, testSettings())
	for i := range 4 {
		if got := s.Begin(0, Key{"a", "credit", fmt.Sprint(i)}, Digest{1}); got.Verdict != Run {
			t.Fatalf("key %d within the tenant share got %+v, want verdict Run", i, got)
		}
	}
	for class, want := range map[string]Verdict{"credit": Full, "note": RunUnprotected, "unknown": RunUnprotected} {
		if got := s.Begin(0, Key{"a", class, "more"}, Digest{1}); got.Verdict != want {
			t.Errorf("class %s above the tenant share: got %+v, want verdict %d", class, got, want)
		}
	}
	if got := s.Begin(0, Key{"b", "credit", "0"}, Digest{1}); got.Verdict != Run {
		t.Errorf("a key of another tenant got %+v, want verdict Run", got)
	}
	for name, change := range map[string]func(*Settings){
		"no room for a key": func(s *Settings) { s.MaxKeys = 0 }, "no tenant share": func(s *Settings) { s.TenantShare = 0 },
		"a tenant share above 1": func(s *Settings) { s.TenantShare = 1.1 }, "a class without durations": func(s *Settings) { s.Classes = map[string]Class{"x": {}} },
	} {
		bad := testSettings()
		if change(&bad); func() error { _, err := New(bad); return err }() == nil {
			t.Errorf("New accepted settings with %s, want an error", name)
		}
	}
}

// TestOverdueRun checks a run whose process has failed: the run is overdue once it exceeds the maximum run time
// of its class, and is settled as one that may have run.
func TestOverdueRun(t *testing.T) {
	s := newTestStore(t, testSettings())
	k := Key{"a", "credit", "k"}
	run := s.Begin(0, k, Digest{1}).Ticket
	if got := s.Overdue(59 * time.Second); len(got) != 0 {
		t.Errorf("after 59s runs %v are overdue, want none", got)
	}
	got := s.Overdue(time.Minute)
	if len(got) != 1 || got[0] != run {
		t.Fatalf("after 1m the overdue runs are %v, want only %d", got, run)
	}
	s.Settle(time.Minute, run, MayHaveRun, Answer{Status: 504})
	if got := s.Begin(time.Minute, k, Digest{1}); got.Verdict != Replay || got.Answer.Status != 504 || len(s.Overdue(time.Hour)) != 0 {
		t.Errorf("a repeat of the overdue run got %+v, want the replayed 504 and no run left overdue", got)
	}
}
