package config

import (
	"iter"
	"time"

	"jasperpin/internal/core"
	"jasperpin/internal/idempotency"
)

// Keys bounds what is known of idempotency keys, over all pools.
type Keys struct {
	Entries     int
	Memory      int64 // bytes
	TenantShare float64
	LongAnswer  int64 // bytes of an answer, as kept, beyond which only its status is
	Waiters     int   // of one key
	// Durable is the file that keeps keys through the end of the process; "" for none.
	Durable string
}

// KeyRule is what the node does about the keys of one class.
type KeyRule struct {
	// Fingerprint has requests without a key told apart by what they say: one like another
	// of the same tenant is a repeat of it.
	Fingerprint bool
	Need        bool // a request without a key is a mistake
	Class       idempotency.Class
}

// What a file that does not say gets.
const (
	defaultKeys        = 100_000
	defaultKeyMemory   = 16 << 20
	defaultTenantShare = 0.5
	defaultLongAnswer  = 64 << 10
	defaultWaiters     = 64
	defaultKeyKeep     = time.Hour
	maxKeyKeep         = 7 * 24 * time.Hour
	// keyMemoryShare of the node's memory may be keys.
	keyMemoryShare = 4
	// runMost is longer than any request can run: an upload, and its answer.
	runMost = core.LongestUpload + core.LongestWait
)

// readKeys reads the bounds of keys.
func (c *Config) readKeys(root *table) {
	t := root.table("keys")
	c.Keys = Keys{
		Entries:     t.count("entries", defaultKeys, 1, maxHeld),
		Memory:      t.size("memory", min(defaultKeyMemory, c.Limits.Memory/keyMemoryShare), 1<<20, 1<<40),
		TenantShare: t.number("tenant_share", defaultTenantShare, 0.001, 1),
		LongAnswer:  t.size("long_answer", defaultLongAnswer, 0, core.MaxBody),
		Waiters:     t.count("waiters", defaultWaiters, 0, maxHeld),
	}
	c.Keys.Durable = t.text("durable", "", "the name of a file", func(s string) bool { return s != "" })
	if most := c.Limits.Memory / keyMemoryShare; c.Keys.Memory > most {
		t.fail("memory", "is more than a quarter of limits.memory: want %dMB at the most, or more there", most>>20)
	}
	t.done()
}

// readKeyRule reads what is done about the keys of a class that the servers repeat so.
func readKeyRule(t *table, effect string) KeyRule {
	r := KeyRule{
		Fingerprint: t.choice("from", "header", "header", "fingerprint") == "fingerprint",
		Need:        t.flag("need", false),
		Class: idempotency.Class{
			Keep: t.time("keep", defaultKeyKeep, time.Second, maxKeyKeep), RunMost: runMost,
			NoWait:  t.choice("meanwhile", "wait", "wait", "refuse") == "refuse",
			MayPass: t.choice("full", "refuse", "refuse", "pass") == "pass",
		},
	}
	switch {
	case effect == "safe":
		t.fail("from", "stands with a class that may be repeated as it is: want no keys for it")
	case effect == "never" && r.Class.MayPass:
		t.fail("full", "is \"pass\" with a class that must never run twice: want \"refuse\"")
	case r.Fingerprint && r.Need:
		t.fail("need", "stands with fingerprints, which are for requests that have no key: want one of the two")
	}
	t.done()
	return r
}

// Settings are the bounds and the classes of some pools, and false where none has any.
func (k Keys) Settings(pools iter.Seq[*Pool]) (idempotency.Settings, bool) {
	set := idempotency.Settings{
		Entries: k.Entries, Bytes: k.Memory, TenantShare: k.TenantShare,
		LongAnswer: int(k.LongAnswer), Waiters: k.Waiters, Classes: make(map[string]idempotency.Class),
	}
	for p := range pools {
		for class, rule := range p.Keys {
			set.Classes[KeyClass(p.Name, class)] = rule.Class
		}
	}
	return set, len(set.Classes) > 0
}

// KeyClass names a pool's class among those of all pools. No name has a slash.
func KeyClass(pool, class string) string { return pool + "/" + class }
