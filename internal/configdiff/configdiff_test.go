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
	is, err := configlog.Restore(s.Snapshot().Encode())
	if err != nil {
		t.Fatal(err)
	}
	return is
}

// symbol describes an edit: added, deleted or modified.
func (e Edit) symbol() string {
	switch {
	case e.Old == nil:
		return "+" + string(e.Key)
	case e.New == nil:
		return "-" + string(e.Key)
	}
	return "~" + string(e.Key)
}

// symbols describes edits.
func symbols(edits []Edit) (all []string) {
	for _, e := range edits {
		all = append(all, e.symbol())
	}
	return all
}

// TestLargeFileIsPlannedInValidSteps plans a file with many more records than a change may have, from an empty state,
// grown and shrunk. Every change is within the bounds and valid by itself.
func TestLargeFileIsPlannedInValidSteps(t *testing.T) {
	t.Parallel()
	write := func(part int) []configlog.Record {
		var b bytes.Buffer
		if err := bigfile.Full.DividedBy(part).Write(&b, "127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		return records(t, b.String())
	}
	s := configlog.New()
	for _, want := range [][]configlog.Record{write(40), write(20), write(60)} {
		edits := Difference(s, want)
		parts := splitChanges(edits)
		if len(edits) > configlog.MaxChangeRecords && len(parts) < 2 {
			t.Errorf("%d records in %d changes", len(edits), len(parts))
		}
		commit(t, s, s.Version(), "a", edits)
		if left := Difference(s, want); len(left) > 0 {
			t.Fatalf("%d records still differ: %v", len(left), left[0].Key)
		}
	}
}

// TestConcurrentOperators has two operators change what both have read. What only one has changed is kept, and a record
// that both have changed is a conflict that names the other's change. A base that is no longer retained is an error.
func TestConcurrentOperators(t *testing.T) {
	t.Parallel()
	s := configlog.New()
	file := func(a, b int) []configlog.Record {
		return records(t, fmt.Sprintf(poolText, "a", a)+fmt.Sprintf(poolText, "b", b)+fmt.Sprintf(serviceText, "s", "s.example.org", "a"))
	}
	commit(t, s, 0, "first", Difference(s, file(1, 1)))
	commit(t, s, 1, "ann", Difference(s, file(2, 1)))

	mine, err := Rebase(s, 1, Difference(s, file(1, 2)))
	if err != nil || !slices.Equal(symbols(mine), []string{"~pool/b"}) {
		t.Fatalf("got %v, %v: want pool/b alone, as only the other operator has changed pool/a", symbols(mine), err)
	}
	if err := Conflicts(s, 1, mine); err != nil {
		t.Error(err)
	}
	mine, err = Rebase(s, 1, Difference(s, file(3, 1)))
	var lost ConflictError
	if err != nil || !errors.As(Conflicts(s, 1, mine), &lost) || len(lost) != 1 || lost[0] != (Conflict{"pool/a", 2, "ann", ""}) {
		t.Errorf("got %v of %v, %v", lost, symbols(mine), err)
	}
	if _, err := Plan(copied(t, s), 1, mine, configlog.Change{}); !errors.Is(err, configlog.ErrConflict) {
		t.Errorf("planned despite a conflict: %v", err)
	}
	commit(t, s, 2, "ben", []Edit{{Key: "service/s/tenant/t", New: []byte(`{"rate":5}`)}})
	gone := []Edit{{Key: "service/s/route/all", Old: []byte("{}")}, {Key: "service/s", Old: []byte("{}")}}
	if err := Conflicts(s, 2, gone); !errors.As(err, &lost) || lost[0].Key != "service/s/tenant/t" || lost[0].Author != "ben" {
		t.Errorf("a service with a new tenant is deleted: %v", err)
	}
	if _, err := Rebase(s, 1, nil); err != nil {
		t.Error(err)
	}
	for range configlog.MaxLog {
		commitUnchecked(t, s)
	}
	if _, err := Rebase(s, 1, Difference(s, file(1, 2))); !errors.Is(err, configlog.ErrCompacted) {
		t.Errorf("version 1 is retained: %v", err)
	}
	if err := Conflicts(s, 1, mine); !errors.Is(err, configlog.ErrConflict) {
		t.Errorf("a base that is not retained: %v", err)
	}
}

// commitUnchecked commits a change of one record without a plan.
func commitUnchecked(t *testing.T, s *configlog.State) {
	t.Helper()
	if _, err := s.Propose(configlog.Change{BaseVersion: s.Version(), Records: []configlog.Record{{Key: "pool/z", Value: fmt.Append(nil, `{"at":`, s.Version(), `}`)}}}); err != nil {
		t.Fatal(err)
	}
}

// TestInvalidEditsAreNotPlanned plans edits after which the configuration would not be valid: each fails with an error
// that names the record and field.
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
		{Edit{Key: "pool/none"}, "pool/none is to be deleted and does not exist"},
	} {
		_, err := Plan(copied(t, s), 1, []Edit{c.edit}, configlog.Change{})
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want %s", c.edit.Key, err, c.want)
		}
	}
}

// TestFieldsOfNestedTables compares records with nested tables, and a new record.
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
		t.Errorf("got %v for a new record", got)
	}
}

// TestNoEditIsSilentlyUndone compares the edits of two operators who have read the same version with plain maps: the
// result has the edits of both, or the second is told of a conflict.
func TestNoEditIsSilentlyUndone(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		original, first, second := drawPools(t, "original"), drawPools(t, "first"), drawPools(t, "second")
		s := configlog.New()
		commitEdits(t, s, Difference(s, recordsOf(original)))
		base := s.Version()
		commitEdits(t, s, Difference(s, recordsOf(first)))
		edits, err := Rebase(s, base, Difference(s, recordsOf(second)))
		if err != nil {
			t.Fatal(err)
		}
		want, bothChanged := mergePools(original, first, second)
		lost := Conflicts(s, base, edits)
		if (lost != nil) != bothChanged {
			t.Fatalf("the conflicts are %v, and both have changed a record: %v", lost, bothChanged)
		}
		if lost != nil {
			return
		}
		c := configlog.Change{BaseVersion: base}
		for _, e := range edits {
			c.Records = append(c.Records, e.record())
		}
		if len(edits) > 0 {
			if _, err := s.Propose(c); err != nil {
				t.Fatalf("the voters reject it: %v", err)
			}
		}
		if left := Difference(s, recordsOf(want)); len(left) > 0 {
			t.Fatalf("%v differ from the edits of both", symbols(left))
		}
	})
}

// poolKeys are the records of TestNoEditIsSilentlyUndone.
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

// mergePools returns the pools with the changes of two operators, and whether both have changed a pool to different
// values.
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
