// Package configdiff is what operators do with an agreed configuration: how a file differs from it, which
// changes make it so, and whether another's came first. It is pure; asking and proposing is for others.
package configdiff

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"jasperpin/internal/config"
	"jasperpin/internal/configlog"
)

// Edit is how one record differs. A nil Was is of a new one, a nil Is of one that is to be deleted.
type Edit struct {
	Key     configlog.Key
	Was, Is []byte
}

func (e Edit) record() configlog.Record { return configlog.Record{Key: e.Key, Value: e.Is} }

// Difference is by what some records, which are in order and are to be all, differ from a state.
func Difference(s *configlog.State, records []configlog.Record) (edits []Edit) {
	i := 0
	for r := range s.Under("") {
		for ; i < len(records) && records[i].Key < r.Key; i++ {
			edits = append(edits, Edit{Key: records[i].Key, Is: records[i].Value})
		}
		switch {
		case i == len(records) || records[i].Key != r.Key:
			edits = append(edits, Edit{Key: r.Key, Was: r.Value})
		default:
			if !bytes.Equal(r.Value, records[i].Value) {
				edits = append(edits, Edit{r.Key, r.Value, records[i].Value})
			}
			i++
		}
	}
	for ; i < len(records); i++ {
		edits = append(edits, Edit{Key: records[i].Key, Is: records[i].Value})
	}
	return edits
}

// Keep leaves out what only others have changed since a base from which the edits' records were made:
// that stays as they have it.
func Keep(s *configlog.State, base uint64, edits []Edit) ([]Edit, error) {
	if base >= s.Version() {
		return edits, nil
	}
	back, err := s.Revert(base)
	if errors.Is(err, configlog.ErrCompacted) {
		return nil, err
	}
	were := make(map[configlog.Key][]byte, len(back.Records))
	for _, r := range back.Records { // none where all is as it was
		were[r.Key] = r.Value
	}
	return slices.DeleteFunc(edits, func(e Edit) bool {
		was, changed := were[e.Key]
		return changed && bytes.Equal(was, e.Is)
	}), nil
}

// Conflict is another's change that came first.
type Conflict struct {
	Key     configlog.Key // of the record that both touch, or that the edit needs as it was
	Version uint64
	Author  string
	Note    string
}

// LostError says whose changes came first.
type LostError []Conflict

// maxTold bounds the conflicts that an error tells.
const maxTold = 8

func (e LostError) Error() string {
	var b strings.Builder
	b.WriteString(configlog.ErrConflict.Error())
	for i, c := range e {
		if i == maxTold {
			fmt.Fprintf(&b, "\n%d more", len(e)-i)
			break
		}
		fmt.Fprintf(&b, "\n%s was changed at version %d by %q", c.Key, c.Version, c.Author)
		if c.Note != "" {
			fmt.Fprintf(&b, ": %q", c.Note)
		}
	}
	return b.String()
}

// Unwrap says that it is a conflict.
func (e LostError) Unwrap() error { return configlog.ErrConflict }

// Conflicts finds what others have changed since a base of what some edits touch or need, or nil.
func Conflicts(s *configlog.State, base uint64, edits []Edit) error {
	since, ok := s.Since(base)
	if !ok {
		return fmt.Errorf("%w: version %d is not remembered; those from %d to %d are", configlog.ErrConflict, base, s.Floor(), s.Version())
	}
	touched := make(map[configlog.Key]configlog.Change)
	under := make(map[configlog.Key][]configlog.Key) // those that are there, by their service
	for _, c := range since {
		for _, r := range c.Records {
			if _, seen := touched[r.Key]; !seen {
				if up := parent(r.Key); up != "" {
					if _, _, there := s.Get(r.Key); there {
						under[up] = append(under[up], r.Key)
					}
				}
			}
			touched[r.Key] = c
		}
	}
	found := make(map[configlog.Key]bool)
	for _, e := range edits {
		keys := []configlog.Key{e.Key, parent(e.Key)}
		if e.Is == nil {
			keys = append(keys, under[e.Key]...)
		}
		for _, k := range keys {
			if _, yes := touched[k]; yes {
				found[k] = true
			}
		}
	}
	if len(found) == 0 {
		return nil
	}
	var lost LostError
	for _, k := range slices.Sorted(maps.Keys(found)) {
		c := touched[k]
		lost = append(lost, Conflict{k, c.Version, c.Author, c.Note})
	}
	return lost
}

// parent is the service that a route or tenant is under, "" for others.
func parent(k configlog.Key) configlog.Key {
	if _, service, _, err := k.Split(); err == nil && service != "" {
		return configlog.ServiceKey(service)
	}
	return ""
}

// Parts splits edits into the records of as few changes as their bounds allow. Each leaves a configuration
// behind that holds together, as far as an order can bring that about: what others need comes first, and
// goes last.
func Parts(edits []Edit) (parts [][]configlog.Record) {
	bytes := 0
	for _, unit := range units(edits) {
		size := 0
		for _, r := range unit {
			size += len(r.Key) + len(r.Value)
		}
		last := len(parts) - 1
		if last < 0 || len(parts[last])+len(unit) > configlog.MaxChangeRecords || bytes+size > configlog.MaxChangeBytes {
			parts = append(parts, nil)
			last, bytes = last+1, 0
		}
		parts[last] = append(parts[last], unit...)
		bytes += size
	}
	return parts
}

// units are the records that go together, in order: a service and one of its routes.
func units(edits []Edit) (all [][]configlog.Record) {
	const (
		addPool = iota
		addService
		dropService
		dropPool
	)
	// in gives the place of a record: the step, the service that it is of, and where among its records.
	in := func(e Edit) (step int, of string, rank int) {
		kind, service, name, _ := e.Key.Split() // it is one
		gone := e.Is == nil
		switch {
		case kind == configlog.Pool && gone:
			return dropPool, "", 0
		case kind == configlog.Pool:
			return addPool, "", 0
		case kind == configlog.Service && gone:
			return dropService, name, 2
		case kind == configlog.Service:
			return addService, name, 0
		case gone && kind == configlog.Route:
			return dropService, service, 1
		case gone:
			return dropService, service, 0
		case kind == configlog.Route:
			return addService, service, 1
		}
		return addService, service, 2
	}
	sorted := slices.Clone(edits)
	slices.SortStableFunc(sorted, func(a, b Edit) int {
		as, ag, ar := in(a)
		bs, bg, br := in(b)
		return cmp.Or(cmp.Compare(as, bs), cmp.Compare(ag, bg), cmp.Compare(ar, br))
	})
	for i := 0; i < len(sorted); i++ {
		unit := []configlog.Record{sorted[i].record()}
		kind, _, _, _ := sorted[i].Key.Split()
		if next := i + 1; next < len(sorted) {
			at, group, _ := in(sorted[i])
			to, other, rank := in(sorted[next])
			first := kind == configlog.Service && at == addService && rank == 1
			last := kind == configlog.Route && at == dropService && rank == 2
			if at == to && group == other && (first || last) {
				unit = append(unit, sorted[next].record())
				i++
			}
		}
		all = append(all, unit)
	}
	return all
}

// Plan makes the changes of some edits, the first of which rests on a base, and checks each by the code that
// reads a file, as all nodes will: with an error none may be proposed. The state goes on to what is
// agreed once all are.
func Plan(s *configlog.State, base uint64, edits []Edit, like configlog.Change) ([]configlog.Change, error) {
	if err := Conflicts(s, base, edits); err != nil {
		return nil, err
	}
	a := config.NewAssembly(0, 1)
	use := func(config.Delta) error { return nil }
	if _, err := a.Replace(s.Under(""), use); err != nil {
		return nil, err
	}
	parts := Parts(edits)
	changes := make([]configlog.Change, len(parts))
	for i, records := range parts {
		c := like
		c.Records, c.Base = records, base
		err := a.Check(c)
		if err == nil {
			_, err = a.Update(c, use)
		}
		if err != nil && len(parts) > 1 {
			err = fmt.Errorf("change %d of %d, which are needed for %d records, would not hold together by itself; make the file so in several steps: %w", i+1, len(parts), len(edits), err)
		}
		if err != nil {
			return nil, err
		}
		is, err := s.Propose(c)
		if err != nil {
			return nil, err
		}
		changes[i], base = c, is.Version
	}
	return changes, nil
}

// Field is how one field of a record differs; a nil value is of one that is not there.
type Field struct {
	Path string          `json:"Path"`
	Was  json.RawMessage `json:"Was,omitempty"`
	Is   json.RawMessage `json:"Is,omitempty"`
}

// Fields are those by which a record differs, tables field by field.
func (e Edit) Fields() (all []Field) {
	differ("", e.Was, e.Is, &all)
	return all
}

func differ(path string, was, is json.RawMessage, all *[]Field) {
	if bytes.Equal(was, is) {
		return
	}
	var a, b map[string]json.RawMessage
	if was != nil && json.Unmarshal(was, &a) != nil || is != nil && json.Unmarshal(is, &b) != nil || a == nil && b == nil {
		*all = append(*all, Field{path, was, is})
		return
	}
	keys := maps.Clone(a)
	if keys == nil {
		keys = make(map[string]json.RawMessage)
	}
	maps.Copy(keys, b)
	for _, k := range slices.Sorted(maps.Keys(keys)) {
		at := k
		if path != "" {
			at = path + "." + k
		}
		differ(at, a[k], b[k], all)
	}
}
