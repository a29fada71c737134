package configdiff

import (
	"cmp"
	"fmt"
	"slices"

	"jasperpin/internal/config"
	"jasperpin/internal/configlog"
)

// splitChanges splits edits into the records of as few changes as the bounds of a change allow. Each change leaves a
// consistent configuration behind, as far as an order can achieve that: what others need is added before them,
// and deleted after them.
func splitChanges(edits []Edit) (parts [][]configlog.Record) {
	partBytes := 0
	for _, unit := range units(edits) {
		unitBytes := 0
		for _, r := range unit {
			unitBytes += len(r.Key) + len(r.Value)
		}
		last := len(parts) - 1
		if last < 0 || len(parts[last])+len(unit) > configlog.MaxChangeRecords || partBytes+unitBytes > configlog.MaxChangeBytes {
			parts = append(parts, nil)
			last++
			partBytes = 0
		}
		parts[last] = append(parts[last], unit...)
		partBytes += unitBytes
	}
	return parts
}

// step is the phase of a plan in which an edit is made.
type step int

const (
	addPools step = iota
	addServices
	deleteServices
	deletePools
)

// Positions of records within their service's phase. Deletion is in the reverse order of addition.
const (
	firstInService = iota
	secondInService
	thirdInService
)

// position is the place of an edit in a plan.
type position struct {
	step      step
	service   string // that the record belongs to or is; "" for pools
	inService int
}

func (p position) compare(other position) int {
	return cmp.Or(cmp.Compare(p.step, other.step), cmp.Compare(p.service, other.service), cmp.Compare(p.inService, other.inService))
}

// positionOf returns the place of an edit: a service comes before its routes and tenants when they are added, and
// after them when they are deleted.
func positionOf(e Edit) position {
	kind, service, name, _ := e.Key.Split() // the key is that of a record
	deleted := e.New == nil
	switch {
	case kind == configlog.Pool && deleted:
		return position{step: deletePools}
	case kind == configlog.Pool:
		return position{step: addPools}
	case kind == configlog.Service && deleted:
		return position{deleteServices, name, thirdInService}
	case kind == configlog.Service:
		return position{addServices, name, firstInService}
	case kind == configlog.Route && deleted:
		return position{deleteServices, service, secondInService}
	case kind == configlog.Route:
		return position{addServices, service, secondInService}
	case deleted:
		return position{deleteServices, service, firstInService}
	}
	return position{addServices, service, thirdInService}
}

// units returns the edits' records in the order of a plan, grouped by what must be in one change: a service with
// its first route, or with its last route when it is deleted, as a service without routes is not valid.
func units(edits []Edit) (all [][]configlog.Record) {
	sorted := slices.Clone(edits)
	slices.SortStableFunc(sorted, func(a, b Edit) int { return positionOf(a).compare(positionOf(b)) })
	for i := 0; i < len(sorted); i++ {
		unit := []configlog.Record{sorted[i].record()}
		if i+1 < len(sorted) && isServiceWithRoute(sorted[i], sorted[i+1]) {
			i++
			unit = append(unit, sorted[i].record())
		}
		all = append(all, unit)
	}
	return all
}

// isServiceWithRoute reports whether two consecutive edits of a plan add a service and a route of it, or delete a
// route and its service.
func isServiceWithRoute(a, b Edit) bool {
	first, second := positionOf(a), positionOf(b)
	if first.step != second.step || first.service != second.service {
		return false
	}
	kind, _, _, _ := a.Key.Split() // the key is that of a record
	added := kind == configlog.Service && first.step == addServices && second.inService == secondInService
	deleted := kind == configlog.Route && first.step == deleteServices && second.inService == thirdInService
	return added || deleted
}

// Plan makes the changes of edits, the first of which is based on a version. Author and note of each are those of
// the template. Each change is checked by the code that reads a file, as all nodes do: after an error none of
// them may be proposed. The state is changed as if all were committed.
func Plan(s *configlog.State, base uint64, edits []Edit, template configlog.Change) ([]configlog.Change, error) {
	if err := Conflicts(s, base, edits); err != nil {
		return nil, err
	}
	assembly := config.NewAssembly(0, 1)
	discard := func(config.Changes) error { return nil }
	if _, err := assembly.Replace(s.WithPrefix(""), discard); err != nil {
		return nil, err
	}
	parts := splitChanges(edits)
	changes := make([]configlog.Change, len(parts))
	for i, records := range parts {
		c := template
		c.Records, c.BaseVersion = records, base
		err := assembly.Check(c)
		if err == nil {
			_, err = assembly.Update(c, discard)
		}
		if err != nil && len(parts) > 1 {
			err = fmt.Errorf("change %d of %d, which are needed for %d records, would not hold together by itself; make the file so in several steps: %w", i+1, len(parts), len(edits), err)
		}
		if err != nil {
			return nil, err
		}
		committed, err := s.Propose(c)
		if err != nil {
			return nil, err
		}
		changes[i], base = c, committed.Version
	}
	return changes, nil
}
