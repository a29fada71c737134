package idempotency

import (
	"fmt"
	"testing"
	"time"

	_ "jasperpin/internal/seeded"

	"pgregory.net/rapid"
)

func settings() Settings {
	return Settings{
		Entries: 8, Bytes: 8 * 1024, TenantShare: 0.5, LongAnswer: 600, Waiters: 3,
		Classes: map[string]Class{
			"credit": {Keep: 10 * time.Second, RunMost: time.Minute}, "order": {Keep: 5 * time.Second, RunMost: time.Minute, NoWait: true},
			"note": {Keep: 2 * time.Second, RunMost: time.Minute, MayPass: true},
		},
	}
}

func made(t testing.TB, set Settings) *Store {
	t.Helper()
	s, err := New(set)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// model is what a store has promised for one key.
type model struct {
	runner  Ticket // 0 for none
	waiting map[Ticket]Digest
	digest  Digest
	until   time.Duration // remembered until then
	status  int
	trimmed bool
}

// TestStore feeds a store arrivals, ends, digests and clients that leave at random: at most
// one of a key runs at a time, none runs while it is remembered that one may have, every
// one that waits is told once, all get the same answer, no bound is passed, and nothing is
// left once all is quiet.
func TestStore(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		set := settings()
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
			switch rapid.IntRange(0, 5).Draw(r, "what") {
			case 0, 1, 2:
				k := key.Draw(r, "key")
				var d Digest
				d[0] = byte(rapid.IntRange(0, 2).Draw(r, "digest"))
				m := keys[k]
				if m != nil && m.runner == 0 && m.until <= now {
					delete(keys, k)
					m = nil
				}
				v, ticket, ans := s.Arrive(now, k, d)
				switch {
				case m == nil && v == Run:
					keys[k] = &model{runner: ticket, waiting: make(map[Ticket]Digest), digest: d}
					runs[ticket] = k
				case m == nil && v != Full && v != Pass, m == nil && v == Pass && k.Class != "note", m == nil && v == Full && k.Class == "note":
					r.Fatalf("a new key of %v: %d", k, v)
				case m == nil:
				case v == Run || v == Pass || v == Full:
					r.Fatalf("%v runs beside another that ran or runs: %d", k, v)
				case v == Wait:
					if m.runner == 0 || k.Class == "order" || len(m.waiting) >= set.Waiters || m.digest != (Digest{}) && m.digest != d {
						r.Fatalf("%v waits: %+v", k, m)
					}
					m.waiting[ticket] = d
				case v == Replay && (m.runner != 0 || ans.Status != m.status || ans.Trimmed != m.trimmed || m.digest != (Digest{}) && m.digest != d):
					r.Fatalf("%v is answered %+v, the first was %+v", k, ans, m)
				}
			case 3: // a run ends
				for ticket, k := range runs {
					m := keys[k]
					end := End(rapid.IntRange(0, 2).Draw(r, "end"))
					body := make([]byte, rapid.IntRange(0, 1000).Draw(r, "answer"))
					got := s.Settle(now, ticket, end, Answer{Status: 200 + int(ticket), Body: body})
					delete(runs, ticket)
					switch {
					case end == NeverRan && len(m.waiting) == 0:
						delete(keys, k)
						if got.Runner != 0 {
							r.Fatal("nobody waits, and one runs")
						}
					case end == NeverRan:
						d, ok := m.waiting[got.Runner]
						if !ok || len(got.Waiters) > 0 {
							r.Fatalf("%d runs next, of %v", got.Runner, m.waiting)
						}
						delete(m.waiting, got.Runner)
						m.runner, m.digest = got.Runner, d
						runs[got.Runner] = k
					default:
						if len(got.Waiters) != len(m.waiting) {
							r.Fatalf("%d are told, %d wait", len(got.Waiters), len(m.waiting))
						}
						for _, w := range got.Waiters {
							if _, ok := m.waiting[w]; !ok {
								r.Fatalf("%d is told, and does not wait", w)
							}
						}
						m.runner, m.waiting, m.until, m.status = 0, nil, now+set.Classes[k.Class].Keep, 200+int(ticket)
						m.trimmed = s.entries[k].answer.Trimmed
						if len(body) > set.LongAnswer && !m.trimmed {
							r.Fatal("a long answer is kept")
						}
					}
					if again := s.Settle(now, ticket, end, Answer{}); again.Runner != 0 || again.Waiters != nil {
						r.Fatal("a run ended twice")
					}
					break
				}
			case 4: // a body has passed
				for ticket, k := range runs {
					m := keys[k]
					if m.digest != (Digest{}) {
						continue
					}
					m.digest[0] = byte(rapid.IntRange(1, 2).Draw(r, "passed"))
					for _, w := range s.Digested(ticket, m.digest) {
						if m.waiting[w] == m.digest {
							r.Fatal("one that waits for the same is turned away")
						}
						delete(m.waiting, w)
					}
					for _, d := range m.waiting {
						if d != m.digest {
							r.Fatal("one that waits for another is left")
						}
					}
					break
				}
			case 5: // a client leaves
				for _, m := range keys {
					for w := range m.waiting {
						s.Gone(w)
						s.Gone(w)
						delete(m.waiting, w)
						break
					}
				}
			}
			entries, bytes := s.Held()
			if entries > set.Entries || bytes > set.Bytes {
				r.Fatalf("%d entries and %d bytes", entries, bytes)
			}
			for name, u := range s.tenants {
				if u.entries > set.Entries/2 || u.bytes > set.Bytes/2 {
					r.Fatalf("%s has %+v", name, *u)
				}
			}
		}
		for len(runs) > 0 {
			for ticket := range runs {
				delete(runs, ticket)
				if next := s.Settle(now, ticket, Answered, Answer{}).Runner; next != 0 {
					r.Fatal("one runs after an answer")
				}
			}
		}
		s.Expire(now + time.Hour)
		if entries, bytes := s.Held(); entries != 0 || bytes != 0 || len(s.tickets) != 0 || len(s.tenants) != 0 || len(s.ages) != 0 {
			r.Fatalf("left after quiet: %d entries, %d bytes, %d tickets", entries, bytes, len(s.tickets))
		}
	})
}

// TestManyRepeats has 10,000 repeats of one key at once: one runs, as many wait as may, and
// all others are told at once.
func TestManyRepeats(t *testing.T) {
	s := made(t, settings())
	k, d := Key{"a", "credit", "k"}, Digest{1}
	got := make(map[Verdict]int)
	var runner Ticket
	for range 10_000 {
		v, ticket, _ := s.Arrive(0, k, d)
		if got[v]++; v == Run {
			runner = ticket
		}
	}
	if got[Run] != 1 || got[Wait] != 3 || got[Busy] != 9996 {
		t.Errorf("%v", got)
	}
	if out := s.Settle(time.Second, runner, MayHaveRun, Answer{Status: 502}); len(out.Waiters) != 3 || out.Runner != 0 {
		t.Errorf("its failure goes to %+v", out)
	}
	if v, _, ans := s.Arrive(2*time.Second, k, d); v != Replay || ans.Status != 502 {
		t.Errorf("a repeat of what may have run: %d, %+v", v, ans)
	}
	if v, _, _ := s.Arrive(2*time.Second, Key{"b", "credit", "k"}, d); v != Run {
		t.Errorf("another tenant's key of the same text: %d", v)
	}
	if v, _, _ := s.Arrive(11*time.Second, k, d); v != Run {
		t.Errorf("after its time: %d", v)
	}
}

// TestTenantsShare has one tenant fill its part: it is refused, and another is not.
func TestTenantsShare(t *testing.T) {
	s := made(t, settings())
	for i := range 4 {
		if v, _, _ := s.Arrive(0, Key{"a", "credit", fmt.Sprint(i)}, Digest{1}); v != Run {
			t.Fatalf("key %d: %d", i, v)
		}
	}
	for class, want := range map[string]Verdict{"credit": Full, "note": Pass, "unheard of": Pass} {
		if v, _, _ := s.Arrive(0, Key{"a", class, "more"}, Digest{1}); v != want {
			t.Errorf("%s beyond the share: %d", class, v)
		}
	}
	if v, _, _ := s.Arrive(0, Key{"b", "credit", "0"}, Digest{1}); v != Run {
		t.Errorf("another tenant: %d", v)
	}
	for name, change := range map[string]func(*Settings){
		"no entry": func(s *Settings) { s.Entries = 0 }, "no share": func(s *Settings) { s.TenantShare = 0 },
		"more than all": func(s *Settings) { s.TenantShare = 1.1 }, "no time": func(s *Settings) { s.Classes = map[string]Class{"x": {}} },
	} {
		bad := settings()
		if change(&bad); func() error { _, err := New(bad); return err }() == nil {
			t.Errorf("%s is taken", name)
		}
	}
}
