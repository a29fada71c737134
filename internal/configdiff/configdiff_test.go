package configdiff

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"jasperpin/internal/config"
	"jasperpin/internal/configlog"
	"jasperpin/internal/emulator/bigfile"
	_ "jasperpin/internal/seeded"
)

const poolText = `[[pool]]
name = %q
attempts = %d
servers = ["127.0.0.1:1"]
[[pool.class]]
name = "look"
repeat = "safe"
aim = "1s"
deadline = "2s"
`

const serviceText = `[[service]]
name = %q
tenant_header = "Tenant"
[[service.route]]
name = "all"
hosts = [%q]
pool = %q
`

// records decodes the records of a file.
func records(t testing.TB, text string) []configlog.Record {
	t.Helper()
	all, err := config.Records("services.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return all
}

// commit plans edits and commits their changes to a state.
func commit(t testing.TB, s *configlog.State, base uint64, author string, edits []Edit) {
	t.Helper()
	changes, err := Plan(copied(t, s), base, edits, configlog.Change{Author: author})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range changes {
		if _, err := s.Propose(c); err != nil {
			t.Fatal(err)
		}
	}
}

// copied returns a copy of a state.
func copied(t testing.TB, s *configlog.State) *configlog.State {
	t.Helper()
	restored, err := configlog.Restore(s.Snapshot().Encode())
	if err != nil {
		t.Fatal(err)
	}
	return restored
}

// summary describes an edit: added, deleted or modified.
func (e Edit) summary() string {
	switch {
	case e.Old == nil:
		return "+" + string(e.Key)
	case e.New == nil:
		return "-" + string(e.Key)
	}
	return "~" + string(e.Key)
}

// summaries describes edits.
func summaries(edits []Edit) (all []string) {
	for _, e := range edits {
		all = append(all, e.summary())
	}
	return all
}

// TestLargeFileIsPlannedInValidSteps plans a file with many more records than a change may contain: from an empty state,
// then with records added, then with records deleted. Each change must be within the bounds and valid by itself.
func TestLargeFileIsPlannedInValidSteps(t *testing.T) {
	t.Parallel()
	write := func(divisor int) []configlog.Record {
		var b bytes.Buffer
		if err := bigfile.Full.DividedBy(divisor).Write(&b, "127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		return records(t, b.String())
	}
	s := configlog.New()
	for _, want := range [][]configlog.Record{write(40), write(20), write(60)} {
		edits := Difference(s, want)
		parts := splitChanges(edits)
		if len(edits) > configlog.MaxChangeRecords && len(parts) < 2 {
			t.Errorf("planned %d records in %d changes, want at least 2", len(edits), len(parts))
		}
		commit(t, s, s.Version(), "a", edits)
		if left := Difference(s, want); len(left) > 0 {
			t.Fatalf("%d records still differ, the first is %v", len(left), left[0].Key)
		}
	}
}

// TestConcurrentOperators lets two operators change the same version. A change of only one of them must be preserved. A
// record that both have changed must be a conflict that names the other operator's change. A base version that is no
// longer retained must be an error.
func TestConcurrentOperators(t *testing.T) {
	t.Parallel()
	state := configlog.New()
	file := func(a, b int) []configlog.Record {
		return records(t, fmt.Sprintf(poolText, "a", a)+fmt.Sprintf(poolText, "b", b)+fmt.Sprintf(serviceText, "s", "s.example.org", "a"))
	}
	commit(t, state, 0, "first", Difference(state, file(1, 1)))
	commit(t, state, 1, "ann", Difference(state, file(2, 1)))

	mine, err := Rebase(state, 1, Difference(state, file(1, 2)))
	if err != nil || !slices.Equal(summaries(mine), []string{"~pool/b"}) {
		t.Fatalf("got %v, %v; want only pool/b, because only the other operator has changed pool/a", summaries(mine), err)
	}
	if err := Conflicts(state, 1, mine); err != nil {
		t.Error(err)
	}
	mine, err = Rebase(state, 1, Difference(state, file(3, 1)))
	var conflicts ConflictError
	if err != nil || !errors.As(Conflicts(state, 1, mine), &conflicts) || len(conflicts) != 1 || conflicts[0] != (Conflict{"pool/a", 2, "ann", ""}) {
		t.Errorf("got conflicts %v for edits %v, %v", conflicts, summaries(mine), err)
	}
	if _, err := Plan(copied(t, state), 1, mine, configlog.Change{}); !errors.Is(err, configlog.ErrConflict) {
		t.Errorf("planning edits with a conflict: got %v, want ErrConflict", err)
	}
	commit(t, state, 2, "ben", []Edit{{Key: "service/s/tenant/t", New: []byte(`{"rate":5}`)}})
	deletions := []Edit{{Key: "service/s/route/all", Old: []byte("{}")}, {Key: "service/s", Old: []byte("{}")}}
	if err := Conflicts(state, 2, deletions); !errors.As(err, &conflicts) || conflicts[0].Key != "service/s/tenant/t" || conflicts[0].Author != "ben" {
		t.Errorf("deleting a service with a new tenant: got %v, want a conflict", err)
	}
	if _, err := Rebase(state, 1, nil); err != nil {
		t.Error(err)
	}
	for range configlog.MaxLog {
		commitUnchecked(t, state)
	}
	if _, err := Rebase(state, 1, Difference(state, file(1, 2))); !errors.Is(err, configlog.ErrCompacted) {
		t.Errorf("rebasing on a compacted version: got %v, want ErrCompacted", err)
	}
	if err := Conflicts(state, 1, mine); !errors.Is(err, configlog.ErrConflict) {
		t.Errorf("conflicts with a compacted base version: got %v, want ErrConflict", err)
	}
}

// commitUnchecked proposes a change of one record without Plan's validation.
func commitUnchecked(t *testing.T, s *configlog.State) {
	t.Helper()
	if _, err := s.Propose(configlog.Change{BaseVersion: s.Version(), Records: []configlog.Record{{Key: "pool/z", Value: fmt.Append(nil, `{"at":`, s.Version(), `}`)}}}); err != nil {
		t.Fatal(err)
	}
}

// TestInvalidEditsAreNotPlanned plans edits after which the configuration would be invalid. Each must fail with an
// error that names the record and field.
func TestInvalidEditsAreNotPlanned(t *testing.T) {
	t.Parallel()
	s := configlog.New()
	commit(t, s, 0, "a", Difference(s, records(t, fmt.Sprintf(poolText, "a", 1)+fmt.Sprintf(serviceText, "s", "s.example.org", "a"))))
	for _, c := range []struct {
		edit Edit
		want string
	}{
		{Edit{Key: "pool/a", New: []byte(`{"attempts":99}`)}, "pool/a: attempts is 99"},
		{Edit{Key: "pool/a"}, "pool/a: cannot be deleted while service/s/route/all leads to it"},
		{Edit{Key: "service/s/route/all"}, "service/s: route"},
		{Edit{Key: "service/s/route/b", New: []byte(`{"hosts":["b.example.org"],"pool":"none"}`)}, `service/s/route/b: pool "none"`},
		{Edit{Key: "pool/none"}, "cannot delete pool/none, which does not exist"},
	} {
		_, err := Plan(copied(t, s), 1, []Edit{c.edit}, configlog.Change{})
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want %s", c.edit.Key, err, c.want)
		}
	}
}

// TestFieldsOfNestedTables tests Fields for records with nested tables, and for a new record.
func TestFieldsOfNestedTables(t *testing.T) {
	t.Parallel()
	e := Edit{Key: "pool/a", Old: []byte(`{"a":1,"b":{"c":2,"d":[1]},"e":"x"}`), New: []byte(`{"a":1,"b":{"c":3,"d":[1,2]},"f":true}`)}
	var got []string
	for _, f := range e.Fields() {
		got = append(got, fmt.Sprintf("%s %s %s", f.Path, f.Old, f.New))
	}
	if want := []string{"b.c 2 3", "b.d [1] [1,2]", "e \"x\" ", "f  true"}; !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
	if got := (Edit{New: []byte(`{"a":1}`)}).Fields(); len(got) != 1 || got[0].Path != "a" || got[0].Old != nil {
		t.Errorf("fields of a new record are %v, want the new value of a", got)
	}
}

// TestConcurrentEditsMergeOrConflict lets two operators edit the same version and compares the result with plain maps:
// either the configuration has the edits of both, or the second operator's edits have a conflict.
func TestConcurrentEditsMergeOrConflict(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		original, first, second := drawPools(t, "original"), drawPools(t, "first"), drawPools(t, "second")
		state := configlog.New()
		commitEdits(t, state, Difference(state, recordsOf(original)))
		base := state.Version()
		commitEdits(t, state, Difference(state, recordsOf(first)))
		edits, err := Rebase(state, base, Difference(state, recordsOf(second)))
		if err != nil {
			t.Fatal(err)
		}
		want, bothChanged := mergePools(original, first, second)
		conflicts := Conflicts(state, base, edits)
		if (conflicts != nil) != bothChanged {
			t.Fatalf("conflicts are %v, but whether both have changed a record is %v", conflicts, bothChanged)
		}
		if conflicts != nil {
			return
		}
		c := configlog.Change{BaseVersion: base}
		for _, e := range edits {
			c.Records = append(c.Records, e.record())
		}
		if len(edits) > 0 {
			if _, err := state.Propose(c); err != nil {
				t.Fatalf("proposing edits without a conflict: %v", err)
			}
		}
		if left := Difference(state, recordsOf(want)); len(left) > 0 {
			t.Fatalf("records differ from the edits of both operators: %v", summaries(left))
		}
	})
}

// poolKeys are the keys of the records of TestConcurrentEditsMergeOrConflict.
var poolKeys = []configlog.Key{"pool/a", "pool/b", "pool/c", "pool/d"}

// drawPools draws the values of some pools.
func drawPools(t *rapid.T, label string) map[configlog.Key]string {
	pools := make(map[configlog.Key]string)
	for _, k := range poolKeys {
		if n := rapid.IntRange(0, 3).Draw(t, label+" "+string(k)); n > 0 {
			pools[k] = fmt.Sprintf(`{"attempts":%d}`, n)
		}
	}
	return pools
}

// recordsOf returns the records of pools, ordered by key.
func recordsOf(pools map[configlog.Key]string) (all []configlog.Record) {
	for _, k := range poolKeys {
		if v, found := pools[k]; found {
			all = append(all, configlog.Record{Key: k, Value: []byte(v)})
		}
	}
	return all
}

// commitEdits commits edits as one change, if there are any.
func commitEdits(t *rapid.T, s *configlog.State, edits []Edit) {
	if len(edits) == 0 {
		return
	}
	c := configlog.Change{BaseVersion: s.Version()}
	for _, e := range edits {
		c.Records = append(c.Records, e.record())
	}
	if _, err := s.Propose(c); err != nil {
		t.Fatal(err)
	}
}

// mergePools returns the pools with the changes of two operators, and whether both operators have changed a pool to
// different values.
func mergePools(original, first, second map[configlog.Key]string) (merged map[configlog.Key]string, bothChanged bool) {
	merged = make(map[configlog.Key]string)
	for _, k := range poolKeys {
		value := first[k]
		if second[k] != original[k] {
			value = second[k]
		}
		if first[k] != original[k] && second[k] != original[k] && first[k] != second[k] {
			bothChanged = true
		}
		if value != "" {
			merged[k] = value
		}
	}
	return merged, bothChanged
}
