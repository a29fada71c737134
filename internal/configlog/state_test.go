package configlog

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"

	_ "jasperpin/internal/seeded"

	"pgregory.net/rapid"
)

func put(k Key, value string) Record { return Record{k, []byte(value)} }
func deletion(k Key) Record          { return Record{Key: k} }

// propose proposes a change of records to a state and returns the committed change.
func propose(t testing.TB, s *State, base uint64, records ...Record) Change {
	t.Helper()
	c, err := s.Propose(Change{BaseVersion: base, Records: records, Author: "anna"})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestSplitAcceptsOnlyCanonicalKeys splits valid keys. It must reject malformed keys, and keys whose names are escaped
// differently than by PoolKey.
func TestSplitAcceptsOnlyCanonicalKeys(t *testing.T) {
	for k, want := range map[Key]string{
		PoolKey("a/b"):        "1  a/b",
		ServiceKey("*"):       "2  *",
		RouteKey("s", "x y"):  "3 s x y",
		TenantKey("s/t", "%"): "4 s/t %",
		"":                    "", "pool": "", "pool/": "", "pool/a/b": "", "pool/%2f": "", "pool/%61": "", "pool/%": "",
		"service/a/route": "", "service//route/a": "", "service/a/route/": "", "service/a/route/b/c": "", "server/a": "", "service/a/pool/b": "",
	} {
		kind, service, name, err := k.Split()
		if got := fmt.Sprint(kind, " ", service, " ", name); err == nil && got != want || (err != nil) != (want == "") {
			t.Errorf("splitting %q: got %q, %v; want %q", k, got, err, want)
		}
	}
}

// TestConflictingProposalsAreRejected commits one change and then proposes another one based on the same version, with
// its records in both orders. A rejected proposal must not change the state.
func TestConflictingProposalsAreRejected(t *testing.T) {
	orders, route, tenant := ServiceKey("orders"), RouteKey("orders", "all"), TenantKey("orders", "derwent")
	for name, test := range map[string]struct {
		first, second []Record
		want          error
	}{
		"different records":             {[]Record{put(route, `{"a":1}`)}, []Record{put(tenant, `{"a":1}`)}, nil},
		"the same record":               {[]Record{put(route, `{"a":1}`)}, []Record{put(route, `{"a":2}`)}, ErrConflict},
		"both delete a record":          {[]Record{deletion(tenant)}, []Record{deletion(tenant)}, ErrConflict},
		"the record was deleted":        {[]Record{deletion(tenant)}, []Record{put(tenant, `{"a":2}`)}, ErrConflict},
		"the parent was changed":        {[]Record{put(orders, `{"a":2}`)}, []Record{put(route, `{"a":2}`)}, ErrConflict},
		"the parent was deleted":        {[]Record{deletion(orders), deletion(tenant)}, []Record{put(tenant, `{"a":2}`)}, ErrConflict},
		"a child was added":             {[]Record{put(route, `{"a":1}`)}, []Record{deletion(tenant), deletion(orders)}, ErrConflict},
		"a child was changed":           {[]Record{put(tenant, `{"a":1}`)}, []Record{deletion(tenant), deletion(orders)}, ErrConflict},
		"a child was deleted":           {[]Record{deletion(tenant)}, []Record{deletion(tenant), deletion(orders)}, ErrConflict},
		"the parent of a changed child": {[]Record{put(tenant, `{"a":1}`)}, []Record{put(orders, `{"a":2}`)}, nil},
		"a service with its route":      {[]Record{put(PoolKey("p"), `{}`)}, []Record{put(RouteKey("new", "r"), `{}`), put(ServiceKey("new"), `{}`)}, nil},
		"a route without its service":   {[]Record{put(PoolKey("p"), `{}`)}, []Record{put(RouteKey("new", "r"), `{}`)}, ErrMalformed},
		"a service that has a tenant":   {[]Record{put(PoolKey("p"), `{}`)}, []Record{deletion(orders)}, ErrMalformed},
		"a missing record":              {[]Record{put(PoolKey("p"), `{}`)}, []Record{deletion(route)}, ErrMalformed},
		"a duplicate record":            {[]Record{put(PoolKey("p"), `{}`)}, []Record{put(route, `{}`), deletion(route)}, ErrMalformed},
		"no records":                    {[]Record{put(PoolKey("p"), `{}`)}, nil, ErrMalformed},
	} {
		t.Run(name, func(t *testing.T) {
			for _, reversed := range []bool{false, true} { // the order of records has no meaning
				s := New()
				base := propose(t, s, 0, put(tenant, `{}`), put(orders, `{}`)).Version
				propose(t, s, base, test.first...)
				if reversed {
					slices.Reverse(test.second)
				}
				version, digest := s.Version(), s.Digest()
				if _, err := s.Propose(Change{BaseVersion: base, Records: test.second}); !errors.Is(err, test.want) {
					t.Fatalf("executing the proposal: got error %v, want %v", err, test.want)
				} else if err != nil && (s.Version() != version || s.Digest() != digest) {
					t.Fatal("a rejected proposal changed the state")
				}
			}
		})
	}
}

// TestProposalsBasedOnCompactedVersionsAreRejected fills the log and then proposes a change based on a compacted
// version. It must be rejected, because the log may no longer retain a conflicting deletion.
func TestProposalsBasedOnCompactedVersionsAreRejected(t *testing.T) {
	s := New()
	first := propose(t, s, 0, put(PoolKey("a"), `{}`))
	propose(t, s, first.Version, deletion(PoolKey("a")))
	for range MaxLog {
		propose(t, s, s.Version(), put(PoolKey("b"), `{}`))
	}
	if _, err := s.Propose(Change{BaseVersion: first.Version, Records: []Record{put(PoolKey("a"), `{}`)}}); !errors.Is(err, ErrConflict) {
		t.Fatal(err)
	}
	if len(s.deleted) != 0 || s.CompactedVersion() != 2 {
		t.Fatalf("got %d retained deletions and compacted version %d, want 0 and 2", len(s.deleted), s.CompactedVersion())
	}
	if _, ok := s.ChangesSince(1); ok {
		t.Fatal("ChangesSince returned changes of a compacted version")
	}
}

// TestReplicasAgree applies random proposals, some based on old versions and some rollbacks, to two voters and a
// follower, which are sometimes restored from snapshots. After each step all of them must agree with each other and
// with a plain map. A change with a modified record must be rejected, and a rollback must restore the records of its
// version.
func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		voter, other, follower := New(), New(), New()
		history := []map[Key]string{{}}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			proposal, ok := drawProposal(t, voter, history)
			if !ok {
				continue
			}
			change, err := voter.Propose(proposal)
			slices.Reverse(proposal.Records)
			otherChange, otherErr := other.Propose(proposal)
			if (err == nil) != (otherErr == nil) || change.Digest != otherChange.Digest || voter.Digest() != other.Digest() {
				t.Fatalf("two voters got different results for one proposal: errors %v and %v", err, otherErr)
			}
			if err != nil {
				continue
			}
			want := applyToMap(history[len(history)-1], change)
			history = append(history, want)
			if change.Reverts > 0 && !maps.Equal(want, history[change.Reverts]) {
				t.Fatalf("records of version %d after a rollback are %v, want %v", change.Version, want, history[change.Reverts])
			}
			checkFollower(t, follower, change, want)
			if follower.Digest() != voter.Digest() {
				t.Fatal("the follower's digest differs from the voter's")
			}
			if rapid.IntRange(0, 4).Draw(t, "restored") == 0 {
				other = restored(t, other)
				if follower, err = throughChunks(follower.Snapshot()); err != nil {
					t.Fatal(err)
				}
			}
			if size := bytesOf(voter); voter.Bytes() != size {
				t.Fatalf("the size of the voter's state is %d bytes, want %d", voter.Bytes(), size)
			}
		}
	})
}

// drawProposal draws a proposal or a rollback. It returns false for a rollback that would change no record.
func drawProposal(t *rapid.T, s *State, history []map[Key]string) (Change, bool) {
	base := s.Version() - min(s.Version(), rapid.Uint64Range(0, 3).Draw(t, "behind"))
	c := Change{BaseVersion: base, Note: rapid.StringN(0, 5, 9).Draw(t, "note")}
	if s.Version() == 0 || rapid.IntRange(0, 6).Draw(t, "revert") != 0 {
		c.Records = rapid.SliceOfN(rapid.Custom(drawRecord), 1, 5).Draw(t, "records")
		return c, true
	}
	to := rapid.Uint64Range(0, s.Version()-1).Draw(t, "to")
	revert, err := s.Revert(to)
	if err != nil && !maps.Equal(history[to], history[len(history)-1]) {
		t.Fatal(err)
	}
	return revert, err == nil
}

// applyToMap returns the records after a change.
func applyToMap(before map[Key]string, c Change) map[Key]string {
	after := maps.Clone(before)
	for _, r := range c.Records {
		if delete(after, r.Key); r.Value != nil {
			after[r.Key] = string(r.Value)
		}
	}
	return after
}

// checkFollower applies a corrupted copy of a change, which must be rejected, and then the change itself.
func checkFollower(t *rapid.T, follower *State, c Change, want map[Key]string) {
	corrupted := c
	corrupted.Records = slices.Clone(c.Records)
	corrupted.Records[0].Value = []byte(`{"bad":1}`)
	if err := follower.Apply(corrupted); err == nil || follower.Version() != c.Version-1 {
		t.Fatal("a change with a modified record was applied")
	}
	if err := follower.Apply(c); err != nil {
		t.Fatal(err)
	}
	if got := recordsOf(follower); !maps.Equal(got, want) {
		t.Fatalf("the follower's records are %v, want %v", got, want)
	}
}

// restored encodes and restores a state. The restored state must encode to the same bytes.
func restored(t *rapid.T, s *State) *State {
	text := s.Snapshot().Encode()
	restoredState, err := Restore(text)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(restoredState.Snapshot().Encode(), text) {
		t.Fatal("the snapshot of a restored state differs from the original snapshot")
	}
	return restoredState
}

// drawRecord draws a record or a deletion from a small set of keys.
func drawRecord(t *rapid.T) Record {
	service := rapid.SampledFrom([]string{"a", "a-b", "b"}).Draw(t, "service")
	name := rapid.SampledFrom([]string{"x", "y/z"}).Draw(t, "name")
	k := rapid.SampledFrom([]Key{PoolKey(name), ServiceKey(service), RouteKey(service, name), TenantKey(service, name)}).Draw(t, "key")
	if rapid.IntRange(0, 3).Draw(t, "gone") == 0 {
		return deletion(k)
	}
	return put(k, fmt.Sprintf(`{"n":%d}`, rapid.IntRange(0, 3).Draw(t, "value")))
}

// recordsOf returns the values of all records by key.
func recordsOf(s *State) map[Key]string {
	all := make(map[Key]string)
	for r := range s.WithPrefix("") {
		all[r.Key] = string(r.Value)
	}
	return all
}

// bytesOf returns the size of all keys and values, in bytes.
func bytesOf(s *State) (n int) {
	for k, v := range recordsOf(s) {
		n += len(k) + len(v)
	}
	return n
}

// throughChunks encodes, decodes and builds a snapshot without its log, chunk by chunk.
func throughChunks(snapshot Snapshot) (*State, error) {
	builder := NewSnapshotBuilder()
	for chunk := (SnapshotChunk{}); ; {
		chunk = snapshot.WithoutLog().Chunk(chunk)
		sent, err := DecodeChunk(AppendChunk(nil, chunk))
		if err != nil {
			return nil, err
		}
		if back, err := builder.Add(sent); back != nil || err != nil {
			return back, err
		}
	}
}

// TestChangesBeyondBoundsAreRejected proposes changes that exceed each bound. It also tests that the log is compacted
// by its size in bytes.
func TestChangesBeyondBoundsAreRejected(t *testing.T) {
	long := func(n int) []byte {
		return append(append([]byte(`{"a":"`), bytes.Repeat([]byte("x"), n-8)...), `"}`...)
	}
	many := make([]Record, MaxChangeRecords+1)
	for i := range many {
		many[i] = put(PoolKey(fmt.Sprint(i)), `{}`)
	}
	large := make([]Record, 16)
	for i := range large {
		large[i] = Record{PoolKey(fmt.Sprint(i)), long(MaxValue)}
	}
	state := New()
	for name, c := range map[string]Change{
		"too many records":        {Records: many},
		"a value too long":        {Records: []Record{{PoolKey("a"), long(MaxValue + 1)}}},
		"too many bytes":          {Records: large},
		"a key too long":          {Records: []Record{put(PoolKey(string(long(MaxKey))), `{}`)}},
		"a note too long":         {Records: many[:1], Note: string(long(MaxText + 1))},
		"a base version too high": {Records: many[:1], BaseVersion: 1},
		"a version":               {Records: many[:1], Version: 1},
		"a digest":                {Records: many[:1], Digest: Digest{1}},
		"an unknown kind of key":  {Records: []Record{put("server/a", `{}`)}},
	} {
		if _, err := state.Propose(c); !errors.Is(err, ErrMalformed) || state.Version() != 0 {
			t.Errorf("proposal with %s: got error %v, want ErrMalformed", name, err)
		}
	}
	state.bytes = MaxBytes - 10 // as if other records existed
	if _, err := state.Propose(Change{Records: many[:1]}); err != nil {
		t.Errorf("proposal within the bounds was rejected: %v", err)
	}
	if _, err := state.Propose(Change{BaseVersion: 1, Records: many[1:2]}); !errors.Is(err, ErrFull) || state.Version() != 1 {
		t.Errorf("proposal beyond MaxBytes: got error %v, want ErrFull", err)
	}
	state.bytes = 0
	for range 12 {
		propose(t, state, state.Version(), large[:14]...)
	}
	if n := state.Version() - state.CompactedVersion(); n < 2 || n > 9 || state.logBytes > MaxLogBytes {
		t.Errorf("the log retains %d changes of %d bytes, want 2 to 9 changes", n, state.logBytes)
	}
	if back, err := Restore(state.Snapshot().Encode()); err != nil || back.CompactedVersion() != state.CompactedVersion() {
		t.Errorf("the restored log differs from the original, or restoring failed: error %v", err)
	}
}

// TestBumpedStateIsNewer calls BumpVersion on the state of a backup, while a node has a later version. The new version
// must be higher than the node's, and the node needs a snapshot because the log retains no earlier change.
func TestBumpedStateIsNewer(t *testing.T) {
	s, node := sampleState(t), sampleState(t)
	propose(t, node, 3, put(PoolKey("later"), `{}`)) // not in the backup
	if err := s.BumpVersion(); err != nil {
		t.Fatal(err)
	}
	if _, ok := s.ChangesSince(node.Version()); ok || s.Version() <= node.Version() || s.Len() != 3 {
		t.Fatalf("got version %d with %d records, want a version above the node's with 3 records", s.Version(), s.Len())
	}
	if _, err := s.Propose(Change{BaseVersion: 3, Records: []Record{put(PoolKey("p"), `{}`)}}); !errors.Is(err, ErrConflict) {
		t.Fatal(err)
	}
	propose(t, s, s.Version(), put(PoolKey("p"), `{}`))
	if back, err := Restore(s.Snapshot().Encode()); err != nil || back.Digest() != s.Digest() {
		t.Fatal(err)
	}
	if _, err := s.Revert(2); !errors.Is(err, ErrCompacted) {
		t.Fatal(err)
	}
}
