package configlog

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"testing"
)

// sampleState returns a state with a log and with records that were changed at different versions.
func sampleState(t testing.TB) *State {
	s := New()
	propose(t, s, 0, put(ServiceKey("a"), `{}`), put(TenantKey("a", "x"), `{"rate":1}`), put(PoolKey("p"), `{}`))
	propose(t, s, 1, deletion(TenantKey("a", "x")))
	propose(t, s, 2, put(PoolKey("p"), `{"n":2}`), put(RouteKey("a", "r"), `{}`))
	return s
}

// chunksOf returns all chunks of a snapshot.
func chunksOf(snapshot Snapshot) (all []SnapshotChunk) {
	for chunk := (SnapshotChunk{}); !chunk.Last; {
		chunk = snapshot.Chunk(chunk)
		all = append(all, chunk)
	}
	return all
}

// buildFrom builds a state from the chunks of a complete snapshot.
func buildFrom(chunks []SnapshotChunk) (state *State, err error) {
	builder := NewSnapshotBuilder()
	for _, chunk := range chunks {
		if state != nil {
			return nil, errors.New("state is complete before the last chunk")
		}
		if state, err = builder.Add(chunk); err != nil {
			return nil, err
		}
	}
	if state == nil {
		return nil, errors.New("state is not complete after the last chunk")
	}
	return state, nil
}

// TestCorruptSnapshotsAreRejected modifies, drops and reorders parts of a snapshot's chunks. No state must be built from
// them.
func TestCorruptSnapshotsAreRejected(t *testing.T) {
	useSmallBounds(t)
	state := sampleState(t)
	if n := len(chunksOf(state.Snapshot())); n < 3 {
		t.Fatalf("got %d chunks, want at least 3 for this test", n)
	}
	if back, err := buildFrom(chunksOf(state.Snapshot())); err != nil || back.Digest() != state.Digest() {
		t.Fatal(err)
	}
	for name, corrupt := range map[string]func([]SnapshotChunk) []SnapshotChunk{
		"no first chunk":  func(p []SnapshotChunk) []SnapshotChunk { return p[1:] },
		"no last chunk":   func(p []SnapshotChunk) []SnapshotChunk { return p[:len(p)-1] },
		"duplicate chunk": func(p []SnapshotChunk) []SnapshotChunk { return append(p[:1:1], p...) },
		"swapped chunks":  func(p []SnapshotChunk) []SnapshotChunk { p[0], p[1] = p[1], p[0]; return p },
		"chunk of another snapshot": func(p []SnapshotChunk) []SnapshotChunk {
			propose(t, state, state.Version(), put(PoolKey("p"), `{"n":3}`))
			p[1] = chunksOf(state.Snapshot())[1]
			return p
		},
		"an additional record": func(p []SnapshotChunk) []SnapshotChunk {
			p[0].Records = append(p[0].Records, VersionedRecord{put(PoolKey("pp"), `{}`), 1})
			return p
		},
		"a missing record": func(p []SnapshotChunk) []SnapshotChunk { p[0].Records = p[0].Records[1:]; return p },
		"a record's value": func(p []SnapshotChunk) []SnapshotChunk { p[0].Records[0].Value = []byte(`{}`); return p },
		"a ModVersion":     func(p []SnapshotChunk) []SnapshotChunk { p[0].Records[0].ModVersion--; return p },
		"the version":      func(p []SnapshotChunk) []SnapshotChunk { return editAll(p, func(p *SnapshotChunk) { p.Version++ }) },
		"the digest":       func(p []SnapshotChunk) []SnapshotChunk { return editAll(p, func(p *SnapshotChunk) { p.Digest[0]++ }) },
		"the chain":        func(p []SnapshotChunk) []SnapshotChunk { return editAll(p, func(p *SnapshotChunk) { p.Chain[0]++ }) },
		"the floor": func(p []SnapshotChunk) []SnapshotChunk {
			return editAll(p, func(p *SnapshotChunk) { p.FloorDigest[0]++ })
		},
		"an author": func(p []SnapshotChunk) []SnapshotChunk {
			return editFirstChange(p, func(c *LoggedChange) { c.Author = "nobody" })
		},
		"a logged record": func(p []SnapshotChunk) []SnapshotChunk {
			return editFirstChange(p, func(c *LoggedChange) { c.Records[0].Value = []byte("{2}") })
		},
		"a logged digest": func(p []SnapshotChunk) []SnapshotChunk {
			return editFirstChange(p, func(c *LoggedChange) { c.Digest[0]++ })
		},
		"a logged version": func(p []SnapshotChunk) []SnapshotChunk {
			return editFirstChange(p, func(c *LoggedChange) { c.Version++ })
		},
		"no log": func(p []SnapshotChunk) []SnapshotChunk { return editAll(p, func(p *SnapshotChunk) { p.Changes = nil }) },
	} {
		t.Run(name, func(t *testing.T) {
			state = sampleState(t)
			if back, err := buildFrom(corrupt(chunksOf(state.Snapshot()))); err == nil {
				t.Fatalf("a state of version %d was built from corrupt chunks, want an error", back.Version())
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

// editFirstChange edits the first change of the log in the chunks.
func editFirstChange(chunks []SnapshotChunk, edit func(*LoggedChange)) []SnapshotChunk {
	for i := range chunks {
		if len(chunks[i].Changes) > 0 {
			edit(&chunks[i].Changes[0])
			return chunks
		}
	}
	panic("no chunk has a change")
}

// TestDamagedSnapshotsAreRejected truncates an encoded snapshot at every byte and flips a bit in every byte. None of the
// results must be restored.
func TestDamagedSnapshotsAreRejected(t *testing.T) {
	text := sampleState(t).Snapshot().Encode()
	if _, err := Restore(text); err != nil {
		t.Fatal(err)
	}
	for i := range text {
		if _, err := Restore(text[:i]); err == nil {
			t.Fatalf("a snapshot was restored from its first %d bytes", i)
		}
		bad := bytes.Clone(text)
		bad[i] ^= 0x10
		if _, err := Restore(bad); err == nil {
			t.Fatalf("a snapshot was restored with byte %d changed", i)
		}
	}
}

// TestJournalIsReplayedUpToDamage truncates a journal at every byte and damages one change. Replay must apply the
// preceding changes and return their size. It must not modify a state that already contains all changes.
func TestJournalIsReplayedUpToDamage(t *testing.T) {
	voter, s := sampleState(t), New()
	var journal []byte
	ends := []int{0}
	changes, _ := voter.ChangesSince(0)
	for _, c := range changes {
		journal = AppendEntry(journal, c)
		ends = append(ends, len(journal))
	}
	for length := range len(journal) + 1 {
		s = New()
		good, err := Replay(s, journal[:length])
		if good != ends[s.Version()] || good > length || (err == nil) != (good == length) {
			t.Fatalf("journal truncated at byte %d: got version %d, %d bytes, %v", length, s.Version(), good, err)
		}
	}
	if good, err := Replay(s, journal); good != len(journal) || err != nil { // the state already contains all changes
		t.Fatal(good, err)
	}
	bad := bytes.Clone(journal)
	bad[ends[1]+len("pool")] ^= 1
	if good, err := Replay(New(), bad); good != ends[1] || err == nil {
		t.Fatalf("replaying a damaged journal: got %d valid bytes, %v; want an error after the first change", good, err)
	}
}

// sampleMessages returns some messages of each kind.
func sampleMessages(t testing.TB) (all []Message) {
	s := sampleState(t)
	changes, _ := s.ChangesSince(0)
	all = append(all, Heartbeat{Version: 7, Digest: s.Digest(), Age: 5, SnapshotQueued: true}, Changes(changes))
	for _, chunk := range chunksOf(s.Snapshot()) {
		all = append(all, chunk)
	}
	return all
}

// TestMessagesRoundTrip encodes and decodes a message of each kind. A message truncated at any byte, or with a trailing
// byte, must be rejected.
func TestMessagesRoundTrip(t *testing.T) {
	for _, message := range sampleMessages(t) {
		text := AppendMessage(nil, message)
		back, err := DecodeMessage(text)
		if err != nil || !reflect.DeepEqual(back, message) {
			t.Errorf("message %+v is decoded as %+v, error %v; want the same message", message, back, err)
		}
		for i := range text {
			if _, err := DecodeMessage(text[:i]); err == nil {
				t.Errorf("message %T is decoded from its first %d bytes, want an error", message, i)
			}
		}
		if _, err := DecodeMessage(append(text, 0)); err == nil {
			t.Errorf("message %T is decoded with a trailing byte, want an error", message)
		}
	}
	r := Resume{Version: 9, Digest: Digest{1}, WithLog: true}
	if back, err := DecodeResume(AppendResume(nil, r)); err != nil || back != r {
		t.Error(back, err)
	}
}

// FuzzMessage decodes arbitrary bytes. A decoded message must be encoded to the same bytes.
func FuzzMessage(f *testing.F) {
	for _, message := range sampleMessages(f) {
		f.Add(AppendMessage(nil, message))
	}
	f.Add(AppendResume(nil, Resume{Version: 1}))
	f.Fuzz(func(t *testing.T, b []byte) {
		if message, err := DecodeMessage(b); err == nil && !bytes.Equal(AppendMessage(nil, message), b) {
			t.Fatalf("decoded bytes %x are encoded again as %x, want the same bytes", b, AppendMessage(nil, message))
		}
		if r, err := DecodeResume(b); err == nil && !bytes.Equal(AppendResume(nil, r), b) {
			t.Fatalf("decoded bytes %x are encoded again as %x, want the same bytes", b, AppendResume(nil, r))
		}
	})
}

// FuzzReplay replays arbitrary bytes. Replaying the valid prefix again must have the same result.
func FuzzReplay(f *testing.F) {
	voter := sampleState(f)
	changes, _ := voter.ChangesSince(0)
	var journal []byte
	for _, c := range changes {
		journal = AppendEntry(journal, c)
	}
	f.Add(journal)
	f.Fuzz(func(t *testing.T, b []byte) {
		s := New()
		good, _ := Replay(s, b)
		if good > len(b) {
			t.Fatalf("replaying arbitrary bytes: got %d valid bytes, but the journal has only %d", good, len(b))
		}
		again := New()
		if n, err := Replay(again, b[:good]); n != good || err != nil || again.Digest() != s.Digest() {
			t.Fatalf("replaying the valid prefix again: got %d valid bytes, want %d; error %v", n, good, err)
		}
	})
}

// FuzzKey splits arbitrary keys. A valid key must equal the key that is made from its names.
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
			t.Fatal(fmt.Sprintf("got key %q from the names of key", made), text)
		}
	})
}
