package configlog

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"testing"
)

// some is a state with a log and with records that are older.
func some(t testing.TB) *State {
	s := New()
	propose(t, s, 0, put(ServiceKey("a"), `{}`), put(TenantKey("a", "x"), `{"rate":1}`), put(PoolKey("p"), `{}`))
	propose(t, s, 1, gone(TenantKey("a", "x")))
	propose(t, s, 2, put(PoolKey("p"), `{"n":2}`), put(RouteKey("a", "r"), `{}`))
	return s
}

// pieces are those of a snapshot.
func pieces(s Snapshot) (all []Piece) {
	for p := (Piece{}); !p.Last; {
		p = s.Piece(p)
		all = append(all, p)
	}
	return all
}

// rebuild makes a state of pieces.
func rebuild(all []Piece) (s *State, err error) {
	b := NewBuilder()
	for _, p := range all {
		if s != nil {
			return nil, errors.New("whole before its end")
		}
		if s, err = b.Add(p); err != nil {
			return nil, err
		}
	}
	if s == nil {
		return nil, errors.New("not whole")
	}
	return s, nil
}

// TestSnapshotsAreWholeOrNothing spoils each part of a snapshot's pieces: none of them makes a state.
func TestSnapshotsAreWholeOrNothing(t *testing.T) {
	smaller(t)
	s := some(t)
	if n := len(pieces(s.Snapshot())); n < 3 {
		t.Fatalf("%d pieces are too few for this test", n)
	}
	if back, err := rebuild(pieces(s.Snapshot())); err != nil || back.Digest() != s.Digest() {
		t.Fatal(err)
	}
	for name, spoil := range map[string]func([]Piece) []Piece{
		"no first":        func(p []Piece) []Piece { return p[1:] },
		"no last":         func(p []Piece) []Piece { return p[:len(p)-1] },
		"the first twice": func(p []Piece) []Piece { return append(p[:1:1], p...) },
		"other order":     func(p []Piece) []Piece { p[0], p[1] = p[1], p[0]; return p },
		"another's piece": func(p []Piece) []Piece {
			propose(t, s, s.Version(), put(PoolKey("p"), `{"n":3}`))
			p[1] = pieces(s.Snapshot())[1]
			return p
		},
		"a record more": func(p []Piece) []Piece {
			p[0].Records = append(p[0].Records, Held{put(PoolKey("pp"), `{}`), 1})
			return p
		},
		"a record less":    func(p []Piece) []Piece { p[0].Records = p[0].Records[1:]; return p },
		"a record's value": func(p []Piece) []Piece { p[0].Records[0].Value = []byte(`{}`); return p },
		"when it changed":  func(p []Piece) []Piece { p[0].Records[0].Changed--; return p },
		"the version":      func(p []Piece) []Piece { return all(p, func(p *Piece) { p.Version++ }) },
		"the digest":       func(p []Piece) []Piece { return all(p, func(p *Piece) { p.Digest[0]++ }) },
		"the chain":        func(p []Piece) []Piece { return all(p, func(p *Piece) { p.Chain[0]++ }) },
		"the floor":        func(p []Piece) []Piece { return all(p, func(p *Piece) { p.FloorDigest[0]++ }) },
		"an author":        func(p []Piece) []Piece { return past(p, func(c *Past) { c.Author = "nobody" }) },
		"a past record":    func(p []Piece) []Piece { return past(p, func(c *Past) { c.Records[0].Value = []byte("{2}") }) },
		"a past digest":    func(p []Piece) []Piece { return past(p, func(c *Past) { c.Digest[0]++ }) },
		"a past version":   func(p []Piece) []Piece { return past(p, func(c *Past) { c.Version++ }) },
		"no log":           func(p []Piece) []Piece { return all(p, func(p *Piece) { p.Changes = nil }) },
	} {
		t.Run(name, func(t *testing.T) {
			s = some(t)
			if back, err := rebuild(spoil(pieces(s.Snapshot()))); err == nil {
				t.Fatalf("it made a state of version %d", back.Version())
			}
		})
	}
}

func all(pieces []Piece, do func(*Piece)) []Piece {
	for i := range pieces {
		do(&pieces[i])
	}
	return pieces
}

// past spoils the first change of the log.
func past(pieces []Piece, do func(*Past)) []Piece {
	for i := range pieces {
		if len(pieces[i].Changes) > 0 {
			do(&pieces[i].Changes[0])
			return pieces
		}
	}
	panic("no piece has a change")
}

// TestCopiesAreCutOrDamaged: no copy that lacks a byte or has another one is restored.
func TestCopiesAreCutOrDamaged(t *testing.T) {
	text := some(t).Snapshot().Encode()
	if _, err := Restore(text); err != nil {
		t.Fatal(err)
	}
	for i := range text {
		if _, err := Restore(text[:i]); err == nil {
			t.Fatalf("restored from its first %d bytes", i)
		}
		bad := bytes.Clone(text)
		bad[i] ^= 0x10
		if _, err := Restore(bad); err == nil {
			t.Fatalf("restored with byte %d another", i)
		}
	}
}

// TestJournals: a journal goes on from a copy that is as old or newer, up to where it was cut or damaged.
func TestJournals(t *testing.T) {
	voter, s := some(t), New()
	var journal []byte
	ends := []int{0}
	changes, _ := voter.Since(0)
	for _, c := range changes {
		journal = AppendEntry(journal, c)
		ends = append(ends, len(journal))
	}
	for cut := range len(journal) + 1 {
		s = New()
		good, err := Replay(s, journal[:cut])
		if good != ends[s.Version()] || good > cut || (err == nil) != (good == cut) {
			t.Fatalf("cut at %d: version %d, %d bytes, %v", cut, s.Version(), good, err)
		}
	}
	if good, err := Replay(s, journal); good != len(journal) || err != nil { // all of it is there already
		t.Fatal(good, err)
	}
	bad := bytes.Clone(journal)
	bad[ends[1]+len("pool")] ^= 1
	if good, err := Replay(New(), bad); good != ends[1] || err == nil {
		t.Fatalf("%d bytes came out of a damaged journal: %v", good, err)
	}
}

// words are some of each kind.
func words(t testing.TB) (all []Word) {
	s := some(t)
	changes, _ := s.Since(0)
	all = append(all, Offer{Version: 7, Digest: s.Digest(), Age: 5, Busy: true}, Changes(changes))
	for _, p := range pieces(s.Snapshot()) {
		all = append(all, p)
	}
	return all
}

func TestWords(t *testing.T) {
	for _, w := range words(t) {
		text := AppendWord(nil, w)
		back, err := DecodeWord(text)
		if err != nil || !reflect.DeepEqual(back, w) {
			t.Errorf("%+v became %+v, %v", w, back, err)
		}
		for i := range text {
			if _, err := DecodeWord(text[:i]); err == nil {
				t.Errorf("%T was read of its first %d bytes", w, i)
			}
		}
		if _, err := DecodeWord(append(text, 0)); err == nil {
			t.Errorf("%T was read with a byte behind it", w)
		}
	}
	r := Resume{Version: 9, Digest: Digest{1}, Log: true}
	if back, err := DecodeResume(AppendResume(nil, r)); err != nil || back != r {
		t.Error(back, err)
	}
}

// FuzzWord reads what strangers may send: what can be read is written the same again, and room is taken by what is there.
func FuzzWord(f *testing.F) {
	for _, w := range words(f) {
		f.Add(AppendWord(nil, w))
	}
	f.Add(AppendResume(nil, Resume{Version: 1}))
	f.Fuzz(func(t *testing.T, b []byte) {
		if w, err := DecodeWord(b); err == nil && !bytes.Equal(AppendWord(nil, w), b) {
			t.Fatalf("%x became %x", b, AppendWord(nil, w))
		}
		if r, err := DecodeResume(b); err == nil && !bytes.Equal(AppendResume(nil, r), b) {
			t.Fatalf("%x became %x", b, AppendResume(nil, r))
		}
	})
}

// FuzzReplay has a journal of anything: nothing but what the voters made is applied.
func FuzzReplay(f *testing.F) {
	voter := some(f)
	changes, _ := voter.Since(0)
	var journal []byte
	for _, c := range changes {
		journal = AppendEntry(journal, c)
	}
	f.Add(journal)
	f.Fuzz(func(t *testing.T, b []byte) {
		s := New()
		good, _ := Replay(s, b)
		if good > len(b) {
			t.Fatalf("%d bytes of %d", good, len(b))
		}
		again := New()
		if n, err := Replay(again, b[:good]); n != good || err != nil || again.Digest() != s.Digest() {
			t.Fatalf("the good part: %d bytes of %d, %v", n, good, err)
		}
	})
}

// FuzzKey: a key that can be split is the one that its names make.
func FuzzKey(f *testing.F) {
	for _, k := range []Key{PoolKey("a"), ServiceKey("a/b"), RouteKey("a", "%"), TenantKey("*", "x")} {
		f.Add(string(k))
	}
	f.Fuzz(func(t *testing.T, text string) {
		kind, service, name, err := Key(text).Split()
		if err != nil {
			return
		}
		made := map[Kind]Key{Pool: PoolKey(name), Service: ServiceKey(name), Route: RouteKey(service, name), Tenant: TenantKey(service, name)}[kind]
		if made != Key(text) {
			t.Fatal(fmt.Sprintf("%q was made of", made), text)
		}
	})
}
