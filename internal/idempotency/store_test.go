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
		s, err := New(set)
		if err != nil {
			r.Fatal(err)
		}
		now := time.Duration(0)
		keys := make(map[Key]*model)
		runs := make(map[Ticket]Key)
		key := rapid.Custom(func(r *rapid.T) Key {
			return Key{rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "tenant"), rapid.SampledFrom([]string{"credit", "order", "note"}).Draw(r, "class"), fmt.Sprint(rapid.IntRange(0, 3).Draw(r, "key"))}
		})
		for range rapid.IntRange(1, 200).Draw(r, "steps") {
			now += time.Duration(rapid.IntRange(0, 800).Draw(r, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 5).Draw(r, "event") {
			case 0, 1, 2:
				k := key.Draw(r, "key")
				var d Digest
				d[0] = byte(rapid.IntRange(0, 2).Draw(r, "digest"))
				m := keys[k]
				if m != nil && m.runner == 0 && m.until <= now {
					delete(keys, k)
					m = nil
				}
				decision := s.Begin(now, k, d)
				v, ticket, ans := decision.Verdict, decision.Ticket, decision.Answer
				switch {
				case m == nil && v == Run:
					keys[k] = &model{runner: ticket, waiting: make(map[Ticket]Digest), digest: d}
					runs[ticket] = k
				case m == nil && v != Full && v != RunUnprotected, m == nil && v == RunUnprotected && k.Class != "note", m == nil && v == Full && k.Class == "note":
					r.Fatalf("a new key %v gets verdict %d", k, v)
				case m == nil:
				case v == Run || v == RunUnprotected || v == Full:
					r.Fatalf("%v gets verdict %d although another request ran or is running", k, v)
				case v == Wait:
					if m.runner == 0 || k.Class == "order" || len(m.waiting) >= set.MaxWaiters || m.digest != (Digest{}) && m.digest != d {
						r.Fatalf("%v must not wait: %+v", k, m)
					}
					m.waiting[ticket] = d
				case v == Replay && (m.runner != 0 || ans.Status != m.status || ans.Trimmed != m.trimmed || m.digest != (Digest{}) && m.digest != d):
					r.Fatalf("%v replays %+v, want the first answer %+v", k, ans, m)
				}
			case 3: // a run ends
				for ticket, k := range runs {
					m := keys[k]
					end := Outcome(rapid.IntRange(0, 2).Draw(r, "end"))
					body := make([]byte, rapid.IntRange(0, 1000).Draw(r, "answer"))
					got := s.Settle(now, ticket, end, Answer{Status: 200 + int(ticket), Body: body})
					delete(runs, ticket)
					switch {
					case end == NeverRan && len(m.waiting) == 0:
						delete(keys, k)
						if got.Next != 0 {
							r.Fatal("a request runs next although none waits")
						}
					case end == NeverRan:
						d, ok := m.waiting[got.Next]
						if !ok || len(got.Waiters) > 0 {
							r.Fatalf("ticket %d runs next, want one of %v", got.Next, m.waiting)
						}
						delete(m.waiting, got.Next)
						m.runner, m.digest = got.Next, d
						runs[got.Next] = k
					default:
						if len(got.Waiters) != len(m.waiting) {
							r.Fatalf("%d waiters are released, want %d", len(got.Waiters), len(m.waiting))
						}
						for _, w := range got.Waiters {
							if _, ok := m.waiting[w]; !ok {
								r.Fatalf("ticket %d is released but was not waiting", w)
							}
						}
						m.runner, m.waiting, m.until, m.status = 0, nil, now+set.Classes[k.Class].Retention, 200+int(ticket)
						m.trimmed = s.entries[k].answer.Trimmed
						if len(body) > set.MaxAnswerBytes && !m.trimmed {
							r.Fatal("the body of an oversized answer is stored")
						}
					}
					if again := s.Settle(now, ticket, end, Answer{}); again.Next != 0 || again.Waiters != nil {
						r.Fatal("a run was settled twice")
					}
					break
				}
			case 4: // a body is complete
				for ticket, k := range runs {
					m := keys[k]
					if m.digest != (Digest{}) {
						continue
					}
					m.digest[0] = byte(rapid.IntRange(1, 2).Draw(r, "passed"))
					for _, w := range s.SetDigest(ticket, m.digest) {
						if m.waiting[w] == m.digest {
							r.Fatal("a waiting request with the same digest is a mismatch")
						}
						delete(m.waiting, w)
					}
					for _, d := range m.waiting {
						if d != m.digest {
							r.Fatal("a request with a different digest still waits")
						}
					}
					break
				}
			case 5: // a client disconnects
				for _, m := range keys {
					for w := range m.waiting {
						s.Cancel(w)
						s.Cancel(w)
						delete(m.waiting, w)
						break
					}
				}
			}
			entries, bytes := s.Usage()
			if entries > set.MaxKeys || bytes > set.MaxBytes {
				r.Fatalf("store exceeds its limits: %d entries, %d bytes", entries, bytes)
			}
			for name, u := range s.tenants {
				if u.entries > set.MaxKeys/2 || u.bytes > set.MaxBytes/2 {
					r.Fatalf("tenant %s exceeds its share: %+v", name, *u)
				}
			}
		}
		for len(runs) > 0 {
			for ticket := range runs {
				delete(runs, ticket)
				if next := s.Settle(now, ticket, Answered, Answer{}).Next; next != 0 {
					r.Fatal("a request runs next after an answer")
				}
			}
		}
		s.Expire(now + time.Hour)
		if entries, bytes := s.Usage(); entries != 0 || bytes != 0 || len(s.requests) != 0 || len(s.tenants) != 0 || len(s.expiring) != 0 {
			r.Fatalf("state left at the end: %d entries, %d bytes, %d requests", entries, bytes, len(s.requests))
		}
	})
}

// TestConcurrentRepeats begins 10,000 requests with one key. One runs, the maximum number of requests waits,
// and the others are Busy. All waiters receive the failure of the run. A key of another tenant with the same
// text is a different key.
func TestConcurrentRepeats(t *testing.T) {
	s := newTestStore(t, testSettings())
	k, d := Key{"a", "credit", "k"}, Digest{1}
	got := make(map[Verdict]int)
	var runner Ticket
	for range 10_000 {
		decision := s.Begin(0, k, d)
		if got[decision.Verdict]++; decision.Verdict == Run {
			runner = decision.Ticket
		}
	}
	if got[Run] != 1 || got[Wait] != 3 || got[Busy] != 9996 {
		t.Errorf("verdicts %v, want 1 Run, 3 Wait and 9996 Busy", got)
	}
	if out := s.Settle(time.Second, runner, MayHaveRun, Answer{Status: 502}); len(out.Waiters) != 3 || out.Next != 0 {
		t.Errorf("settling the failed run: got %+v", out)
	}
	if got := s.Begin(2*time.Second, k, d); got.Verdict != Replay || got.Answer.Status != 502 {
		t.Errorf("repeat of a request that may have run: got %+v", got)
	}
	if got := s.Begin(2*time.Second, Key{"b", "credit", "k"}, d); got.Verdict != Run {
		t.Errorf("same key text of another tenant: got %+v", got)
	}
	if got := s.Begin(11*time.Second, k, d); got.Verdict != Run {
		t.Errorf("key after its retention: got %+v", got)
	}
}

// TestTenantShare fills the share of one tenant. The next key of that tenant is rejected, or runs unprotected
// if its class allows that; a key of another tenant is accepted. Settings that are out of range are errors.
func TestTenantShare(t *testing.T) {
	s := newTestStore(t, testSettings())
	for i := range 4 {
		if got := s.Begin(0, Key{"a", "credit", fmt.Sprint(i)}, Digest{1}); got.Verdict != Run {
			t.Fatalf("key %d: got %+v", i, got)
		}
	}
	for class, want := range map[string]Verdict{"credit": Full, "note": RunUnprotected, "unknown": RunUnprotected} {
		if got := s.Begin(0, Key{"a", class, "more"}, Digest{1}); got.Verdict != want {
			t.Errorf("class %s above the tenant share: got %+v, want verdict %d", class, got, want)
		}
	}
	if got := s.Begin(0, Key{"b", "credit", "0"}, Digest{1}); got.Verdict != Run {
		t.Errorf("key of another tenant: got %+v", got)
	}
	for name, change := range map[string]func(*Settings){
		"no room for a key": func(s *Settings) { s.MaxKeys = 0 }, "no tenant share": func(s *Settings) { s.TenantShare = 0 },
		"a tenant share above 1": func(s *Settings) { s.TenantShare = 1.1 }, "a class without durations": func(s *Settings) { s.Classes = map[string]Class{"x": {}} },
	} {
		bad := testSettings()
		if change(&bad); func() error { _, err := New(bad); return err }() == nil {
			t.Errorf("settings with %s were accepted", name)
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
		t.Errorf("runs %v are overdue too early", got)
	}
	got := s.Overdue(time.Minute)
	if len(got) != 1 || got[0] != run {
		t.Fatalf("overdue runs %v, want %d", got, run)
	}
	s.Settle(time.Minute, run, MayHaveRun, Answer{Status: 504})
	if got := s.Begin(time.Minute, k, Digest{1}); got.Verdict != Replay || got.Answer.Status != 504 || len(s.Overdue(time.Hour)) != 0 {
		t.Errorf("repeat of the overdue run: got %+v", got)
	}
}
