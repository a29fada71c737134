package configdiff

import (
	"cmp"
	"fmt"
	"slices"

	"jasperpin/internal/config"
	"jasperpin/internal/configlog"
)

// splitChanges splits edits into the records of as few changes as the bounds of a change allow. As far as their order
// allows, the configuration is consistent after each change: a record is added before the records that require it, and
// deleted after them.
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

// phase is the phase of a plan in which an edit is made.
type phase int

const (
	addPools phase = iota
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
	phase     phase
	service   string // the service that the record is or belongs to; "" for pools
	inService int
}

func (p position) compare(other position) int {
	return cmp.Or(cmp.Compare(p.phase, other.phase), cmp.Compare(p.service, other.service), cmp.Compare(p.inService, other.inService))
}

// positionOf returns the position of an edit in a plan. A service is added before its routes and tenants, and deleted
// after them.
func positionOf(e Edit) position {
	kind, service, name, _ := e.Key.Split() // cannot fail: the key of a record is valid
	deleted := e.New == nil
	switch {
	case kind == configlog.Pool && deleted:
		return position{phase: deletePools}
	case kind == configlog.Pool:
		return position{phase: addPools}
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

// units returns the edits' records in the order of a plan. Records that must be in the same change form one unit: a new
// service and its first route, or a deleted service and its last route, because a service without routes is invalid.
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

// isServiceWithRoute reports whether two consecutive edits of a plan add a service and then one of its routes, or
// delete a route and then its service.
func isServiceWithRoute(a, b Edit) bool {
	first, second := positionOf(a), positionOf(b)
	if first.phase != second.phase || first.service != second.service {
		return false
	}
	kind, _, _, _ := a.Key.Split() // cannot fail: the key of a record is valid
	added := kind == configlog.Service && first.phase == addServices && second.inService == secondInService
	deleted := kind == configlog.Route && first.phase == deleteServices && second.inService == thirdInService
	return added || deleted
}

// Plan returns the changes that make the edits. The first change is based on the version base. Each change has the
// author and note of the template. Plan validates each change with the code by which nodes read a file; after an error
// none of the changes may be proposed. Plan modifies the state as if all changes were committed.
func Plan(state *configlog.State, base uint64, edits []Edit, template configlog.Change) ([]configlog.Change, error) {
	if err := Conflicts(state, base, edits); err != nil {
		return nil, err
	}
	assembly := config.NewAssembly(0, 1)
	discard := func(config.Changes) error { return nil }
	if _, err := assembly.Replace(state.WithPrefix(""), discard); err != nil {
		return nil, err
	}
	parts := splitChanges(edits)
	changes := make([]configlog.Change, len(parts))
	for i, records := range parts {
		change := template
		change.Records, change.BaseVersion = records, base
		err := assembly.Check(change)
		if err == nil {
			_, err = assembly.Update(change, discard)
		}
		if err != nil && len(parts) > 1 {
			err = fmt.Errorf("change %d of %d, required for %d records, is invalid by itself; edit the file in several steps: %w", i+1, len(parts), len(edits), err)
		}
		if err != nil {
			return nil, err
		}
		committed, err := state.Propose(change)
		if err != nil {
			return nil, err
		}
		changes[i], base = change, committed.Version
	}
	return changes, nil
}
