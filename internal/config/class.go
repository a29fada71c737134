package config

import (
	"time"

	"jasperpin/decide"
	"jasperpin/internal/core"
)

const (
	// maxClasses is the maximum number of classes of a pool: the planner protocol encodes a class as one
	// byte.
	maxClasses = 256
	// maxPriorityWeight is the largest priority weight.
	maxPriorityWeight = 1e6
	defaultDeadline   = 5 * time.Second
	defaultObjective  = time.Second
)

// The values of the keys repeat and group of a class.
var (
	idempotencies = map[string]decide.Idempotency{"safe": decide.Idempotent, "keyed": decide.IdempotentWithKey, "never": decide.NotIdempotent}
	dedupScopes   = map[string]decide.DedupScope{"all": decide.DedupAll, "zone": decide.DedupZone, "cell": decide.DedupCell}
)

// readClasses reads the [[pool.class]] tables.
func (p *Pool) readClasses(t *table) {
	p.Keys = make(map[string]IdempotencyRule)
	for class := range t.tables("class") {
		p.readClass(class)
	}
	if len(p.Classes) == 0 {
		t.fail("class", "is missing: want at least one [[pool.class]] with name, repeat and aim")
	}
}

// readClass reads one class and adds it to the pool.
func (p *Pool) readClass(t *table) {
	name := t.name("")
	repeat := t.choice("repeat", "", "safe", "keyed", "never")
	t.require("repeat")
	class := decide.Class{
		Idempotency:        idempotencies[repeat],
		DedupScope:         dedupScopes[t.choice("group", "all", "all", "zone", "cell")],
		DedupWindow:        t.time("remember", 0, 0, maxDuration),
		LatencyObjective:   t.time("aim", defaultObjective, time.Millisecond, maxDuration),
		Deadline:           t.time("deadline", defaultDeadline, time.Millisecond, core.MaxClientTimeout),
		PriorityWeight:     t.number("worth", 1, 0, maxPriorityWeight),
		LatePriorityWeight: t.number("late_worth", 0, 0, maxPriorityWeight),
	}
	if repeat == "keyed" && class.DedupWindow == 0 {
		t.fail("remember", "is missing: want the time for which servers detect duplicates of a keyed request, such as \"12s\"")
	}
	if class.LatencyObjective > class.Deadline {
		t.fail("aim", "is %v, longer than the deadline of %v: want at most the deadline", class.LatencyObjective, class.Deadline)
	}
	if _, twice := p.Classes[name]; twice {
		t.fail("name", "%q is used twice in one pool: want a unique name for each class", name)
	}
	if len(p.Settings.Classes) == maxClasses {
		t.fail("name", "%q is one class too many: want at most %d", name, maxClasses)
	}
	if t.values["keys"] != nil {
		p.Keys[name] = readKeyRule(t.table("keys"), repeat)
	}
	p.Classes[name] = len(p.Settings.Classes)
	p.Settings.Classes = append(p.Settings.Classes, class)
	t.reportUnknownKeys()
}
