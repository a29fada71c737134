package config

import (
	"iter"
	"time"

	"jasperpin/internal/core"
	"jasperpin/internal/idempotency"
)

// IdempotencyKeys bounds what is kept of idempotency keys, over all pools.
type IdempotencyKeys struct {
	Entries        int
	MemoryBytes    int64   // bytes
	TenantShare    float64 // of both that one tenant may use, 0 to 1
	MaxAnswerBytes int64   // bytes of an answer, as kept, beyond which only its status is kept
	Waiters        int     // requests that wait for the run of one key
	// File is the file that keeps keys through the end of the process; "" for none.
	File string
}

// IdempotencyRule is how the node treats the keys of one class.
type IdempotencyRule struct {
	// Fingerprint has requests without a key told apart by their content: one like another of the
	// same tenant is a repeat of it.
	Fingerprint bool
	Required    bool // a request without a key is rejected
	Class       idempotency.Class
}

// Defaults of keys.
const (
	defaultKeyEntries     = 100_000
	defaultKeyMemoryBytes = 16 << 20
	defaultTenantShare    = 0.5
	defaultLongAnswer     = 64 << 10 // bytes
	defaultKeyWaiters     = 64
	defaultKeyRetention   = time.Hour
)

// Bounds of keys.
const (
	minKeyMemoryBytes = 1 << 20
	maxKeyMemoryBytes = 1 << 40
	minTenantShare    = 0.001
	minKeyRetention   = time.Second
	maxKeyRetention   = 7 * 24 * time.Hour
	// keyMemoryDivisor is the part of the node's memory, one in so many, that keys may use: bodies,
	// stacks and the runtime need the rest.
	keyMemoryDivisor = 4
	// maxRunTime is longer than any request can run: an upload, and its answer.
	maxRunTime = core.MaxUploadTime + core.MaxClientTimeout
)

// readKeys reads [keys].
func (c *Config) readKeys(root *table) {
	t := root.table("keys")
	mostMemory := c.Limits.Memory / keyMemoryDivisor
	c.Keys = IdempotencyKeys{
		Entries:        t.count("entries", defaultKeyEntries, 1, maxRequestsHeld),
		MemoryBytes:    t.size("memory", min(defaultKeyMemoryBytes, mostMemory), minKeyMemoryBytes, maxKeyMemoryBytes),
		TenantShare:    t.number("tenant_share", defaultTenantShare, minTenantShare, 1),
		MaxAnswerBytes: t.size("long_answer", defaultLongAnswer, 0, core.DefaultMaxBody),
		Waiters:        t.count("waiters", defaultKeyWaiters, 0, maxRequestsHeld),
		File:           t.text("durable", "", "the name of a file", isNotEmpty),
	}
	if c.Keys.MemoryBytes > mostMemory {
		t.fail("memory", "is more than a quarter of limits.memory: want %dMB at the most, or more there", mostMemory>>20)
	}
	t.done()
}

// readKeyRule reads [pool.class.keys] of a class, of which repeat says what repeating does.
func readKeyRule(t *table, repeat string) IdempotencyRule {
	r := IdempotencyRule{
		Fingerprint: t.choice("from", "header", "header", "fingerprint") == "fingerprint",
		Required:    t.flag("need", false),
		Class: idempotency.Class{
			Retention: t.time("keep", defaultKeyRetention, minKeyRetention, maxKeyRetention), MaxRunTime: maxRunTime,
			RejectConcurrent: t.choice("meanwhile", "wait", "wait", "refuse") == "refuse",
			RunWhenFull:      t.choice("full", "refuse", "refuse", "pass") == "pass",
		},
	}
	switch {
	case repeat == "safe":
		t.fail("from", "is not allowed with a class that may be repeated as it is: want no keys for it")
	case repeat == "never" && r.Class.RunWhenFull:
		t.fail("full", "is \"pass\" with a class that must never run twice: want \"refuse\"")
	case r.Fingerprint && r.Required:
		t.fail("need", "is not allowed with fingerprints, which are for requests that have no key: want one of the two")
	}
	t.done()
	return r
}

// Settings returns the bounds and the classes of some pools, and false where none has keys.
func (k IdempotencyKeys) Settings(pools iter.Seq[*Pool]) (idempotency.Settings, bool) {
	settings := idempotency.Settings{
		MaxKeys: k.Entries, MaxBytes: k.MemoryBytes, TenantShare: k.TenantShare,
		MaxAnswerBytes: int(k.MaxAnswerBytes), MaxWaiters: k.Waiters, Classes: make(map[string]idempotency.Class),
	}
	for p := range pools {
		for class, rule := range p.Keys {
			settings.Classes[KeyClass(p.Name, class)] = rule.Class
		}
	}
	return settings, len(settings.Classes) > 0
}

// KeyClass names a pool's class among those of all pools. No name has a slash.
func KeyClass(pool, class string) string { return pool + "/" + class }
