package configlog

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"testing"
)

// sampleState returns a state with a log, and with records from different versions.
func sampleState(t testing.TB) *State {
	s := New()
	propose(t, s, 0, put(ServiceKey("a"), `{}`), put(TenantKey("a", "x"), `{"rate":1}`), put(PoolKey("p"), `{}`))
	propose(t, s, 1, deletion(TenantKey("a", "x")))
	propose(t, s, 2, put(PoolKey("p"), `{"n":2}`), put(RouteKey("a", "r"), `{}`))
	return s
}

// chunksOf returns all chunks of a snapshot.
func chunksOf(s Snapshot) (all []SnapshotChunk) {
	for p := (SnapshotChunk{}); !p.Last; {
		p = s.Chunk(p)
		all = append(all, p)
	}
	return all
}

// buildFrom makes a state from chunks, which must be complete.
func buildFrom(all []SnapshotChunk) (s *State, err error) {
	b := NewSnapshotBuilder()
	for _, p := range all {
		if s != nil {
			return nil, errors.New("complete before the last chunk")
		}
		if s, err = b.Add(p); err != nil {
			return nil, err
		}
	}
	if s == nil {
		return nil, errors.New("not complete")
	}
	return s, nil
}

// TestCorruptSnapshotsAreRejected changes, drops and reorders each part of a snapshot's chunks: none of them makes a
// state.
func TestCorruptSnapshotsAreRejected(t *testing.T) {
	useSmallBounds(t)
	s := sampleState(t)
	if n := len(chunksOf(s.Snapshot())); n < 3 {
		t.Fatalf("%d chunks are too few for this test", n)
	}
	if back, err := buildFrom(chunksOf(s.Snapshot())); err != nil || back.Digest() != s.Digest() {
		t.Fatal(err)
	}
	for name, corrupt := range map[string]func([]SnapshotChunk) []SnapshotChunk{
		"no first":        func(p []SnapshotChunk) []SnapshotChunk { return p[1:] },
		"no last":         func(p []SnapshotChunk) []SnapshotChunk { return p[:len(p)-1] },
		"the first twice": func(p []SnapshotChunk) []SnapshotChunk { return append(p[:1:1], p...) },
		"other order":     func(p []SnapshotChunk) []SnapshotChunk { p[0], p[1] = p[1], p[0]; return p },
		"another snapshot's chunk": func(p []SnapshotChunk) []SnapshotChunk {
			propose(t, s, s.Version(), put(PoolKey("p"), `{"n":3}`))
			p[1] = chunksOf(s.Snapshot())[1]
			return p
		},
		"an additional record": func(p []SnapshotChunk) []SnapshotChunk {
			p[0].Records = append(p[0].Records, VersionedRecord{put(PoolKey("pp"), `{}`), 1})
			return p
		},
		"a missing record": func(p []SnapshotChunk) []SnapshotChunk { p[0].Records = p[0].Records[1:]; return p },
		"a record's value": func(p []SnapshotChunk) []SnapshotChunk { p[0].Records[0].Value = []byte(`{}`); return p },
		"when it changed":  func(p []SnapshotChunk) []SnapshotChunk { p[0].Records[0].ModVersion--; return p },
		"the version":      func(p []SnapshotChunk) []SnapshotChunk { return editAll(p, func(p *SnapshotChunk) { p.Version++ }) },
		"the digest":       func(p []SnapshotChunk) []SnapshotChunk { return editAll(p, func(p *SnapshotChunk) { p.Digest[0]++ }) },
		"the chain":        func(p []SnapshotChunk) []SnapshotChunk { return editAll(p, func(p *SnapshotChunk) { p.Chain[0]++ }) },
		"the floor": func(p []SnapshotChunk) []SnapshotChunk {
			return editAll(p, func(p *SnapshotChunk) { p.FloorDigest[0]++ })
		},
		"an author": func(p []SnapshotChunk) []SnapshotChunk {
			return editFirstChange(p, func(c *LoggedChange) { c.Author = "nobody" })
		},
		"a past record": func(p []SnapshotChunk) []SnapshotChunk {
			return editFirstChange(p, func(c *LoggedChange) { c.Records[0].Value = []byte("{2}") })
		},
		"a past digest": func(p []SnapshotChunk) []SnapshotChunk {
			return editFirstChange(p, func(c *LoggedChange) { c.Digest[0]++ })
		},
		"a past version": func(p []SnapshotChunk) []SnapshotChunk {
			return editFirstChange(p, func(c *LoggedChange) { c.Version++ })
		},
		"no log": func(p []SnapshotChunk) []SnapshotChunk { return editAll(p, func(p *SnapshotChunk) { p.Changes = nil }) },
	} {
		t.Run(name, func(t *testing.T) {
			s = sampleState(t)
			if back, err := buildFrom(corrupt(chunksOf(s.Snapshot()))); err == nil {
				t.Fatalf("they make a state of version %d", back.Version())
			}
		})
	}
}

// editAll edits every chunk.
func editAll(chunks []SnapshotChunk, edit func(*SnapshotChunk)) []SnapshotChunk {
	for i := range chunks {
		edit(&chunks[i])
	}
	return chunks
}

// editFirstChange edits the first change of the log.
func editFirstChange(chunks []SnapshotChunk, edit func(*LoggedChange)) []SnapshotChunk {
	for i := range chunks {
		if len(chunks[i].Changes) > 0 {
			edit(&chunks[i].Changes[0])
			return chunks
		}
	}
	panic("no chunk has a change")
}

// TestDamagedSnapshotsAreRejected truncates an encoded snapshot at every byte and flips a bit in every byte: none is
// restored.
func TestDamagedSnapshotsAreRejected(t *testing.T) {
	text := sampleState(t).Snapshot().Encode()
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
			t.Fatalf("restored with byte %d changed", i)
		}
	}
}

// TestJournalIsReplayedUpToDamage truncates a journal at every byte and damages one change: the changes before are
// replayed, and their size is returned. A state that has all changes already stays as it is.
func TestJournalIsReplayedUpToDamage(t *testing.T) {
	voter, s := sampleState(t), New()
	var journal []byte
	ends := []int{0}
	changes, _ := voter.Since(0)
	for _, c := range changes {
		journal = AppendEntry(journal, c)
		ends = append(ends, len(journal))
	}
	for length := range len(journal) + 1 {
		s = New()
		good, err := Replay(s, journal[:length])
		if good != ends[s.Version()] || good > length || (err == nil) != (good == length) {
			t.Fatalf("truncated at %d: version %d, %d bytes, %v", length, s.Version(), good, err)
		}
	}
	if good, err := Replay(s, journal); good != len(journal) || err != nil { // all of it is there already
		t.Fatal(good, err)
	}
	bad := bytes.Clone(journal)
	bad[ends[1]+len("pool")] ^= 1
	if good, err := Replay(New(), bad); good != ends[1] || err == nil {
		t.Fatalf("%d bytes of a damaged journal are good: %v", good, err)
	}
}

// sampleMessages returns some messages of each kind.
func sampleMessages(t testing.TB) (all []Message) {
	s := sampleState(t)
	changes, _ := s.Since(0)
	all = append(all, Heartbeat{Version: 7, Digest: s.Digest(), Age: 5, SnapshotQueued: true}, Changes(changes))
	for _, p := range chunksOf(s.Snapshot()) {
		all = append(all, p)
	}
	return all
}

// TestMessagesRoundTrip decodes each kind of message as it was encoded, and rejects it truncated at any byte or with a
// byte added.
func TestMessagesRoundTrip(t *testing.T) {
	for _, w := range sampleMessages(t) {
		text := AppendMessage(nil, w)
		back, err := DecodeMessage(text)
		if err != nil || !reflect.DeepEqual(back, w) {
			t.Errorf("%+v became %+v, %v", w, back, err)
		}
		for i := range text {
			if _, err := DecodeMessage(text[:i]); err == nil {
				t.Errorf("%T is decoded from its first %d bytes", w, i)
			}
		}
		if _, err := DecodeMessage(append(text, 0)); err == nil {
			t.Errorf("%T is decoded with a byte after it", w)
		}
	}
	r := Resume{Version: 9, Digest: Digest{1}, WithLog: true}
	if back, err := DecodeResume(AppendResume(nil, r)); err != nil || back != r {
		t.Error(back, err)
	}
}

// FuzzMessage decodes arbitrary bytes: what can be decoded is encoded to the same bytes.
func FuzzMessage(f *testing.F) {
	for _, w := range sampleMessages(f) {
		f.Add(AppendMessage(nil, w))
	}
	f.Add(AppendResume(nil, Resume{Version: 1}))
	f.Fuzz(func(t *testing.T, b []byte) {
		if w, err := DecodeMessage(b); err == nil && !bytes.Equal(AppendMessage(nil, w), b) {
			t.Fatalf("%x became %x", b, AppendMessage(nil, w))
		}
		if r, err := DecodeResume(b); err == nil && !bytes.Equal(AppendResume(nil, r), b) {
			t.Fatalf("%x became %x", b, AppendResume(nil, r))
		}
	})
}

// FuzzReplay replays arbitrary bytes: the good part is replayed again with the same result.
func FuzzReplay(f *testing.F) {
	voter := sampleState(f)
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

// FuzzKey splits arbitrary keys: one that can be split equals the key that its names make.
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
