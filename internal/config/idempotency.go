package config

import (
	"iter"
	"time"

	"jasperpin/internal/core"
	"jasperpin/internal/idempotency"
)

// IdempotencyKeys are the limits of the store of idempotency keys, over all pools.
type IdempotencyKeys struct {
	Entries        int
	MemoryBytes    int64   // bytes
	TenantShare    float64 // share of Entries and MemoryBytes that one tenant may use, 0 to 1
	MaxAnswerBytes int64   // bytes of a stored answer; of a longer one only the status is stored
	Waiters        int     // requests that may wait for the first request of one key
	// File is the name of the file that makes keys durable across restarts; "" for none.
	File string
}

// IdempotencyRule are the settings of idempotency keys for one class.
type IdempotencyRule struct {
	// Fingerprint makes the content of a request without a key its key: two requests of a tenant with the
	// same content are duplicates.
	Fingerprint bool
	Required    bool // whether a request without a key is rejected
	Class       idempotency.Class
}

// Defaults of [keys] and [pool.class.keys].
const (
	defaultKeyEntries     = 100_000
	defaultKeyMemoryBytes = 16 << 20
	defaultTenantShare    = 0.5
	defaultLongAnswer     = 64 << 10 // bytes
	defaultKeyWaiters     = 64
	defaultKeyRetention   = time.Hour
)

// Bounds of [keys] and [pool.class.keys].
const (
	minKeyMemoryBytes = 1 << 20
	maxKeyMemoryBytes = 1 << 40
	minTenantShare    = 0.001
	minKeyRetention   = time.Second
	maxKeyRetention   = 7 * 24 * time.Hour
	// keyMemoryDivisor is the number by which the node's memory is divided to get the maximum memory of
	// keys. Bodies, stacks and the runtime need the rest.
	keyMemoryDivisor = 4
	// maxRunTime is the longest time that a request can run: the upload of its body plus its answer.
	maxRunTime = core.MaxUploadTime + core.MaxClientTimeout
)

// readKeys reads [keys].
func (c *Config) readKeys(root *table) {
	t := root.table("keys")
	maxMemory := c.Limits.Memory / keyMemoryDivisor
	c.Keys = IdempotencyKeys{
		Entries:        t.count("entries", defaultKeyEntries, 1, maxRequestsHeld),
		MemoryBytes:    t.size("memory", min(defaultKeyMemoryBytes, maxMemory), minKeyMemoryBytes, maxKeyMemoryBytes),
		TenantShare:    t.number("tenant_share", defaultTenantShare, minTenantShare, 1),
		MaxAnswerBytes: t.size("long_answer", defaultLongAnswer, 0, core.DefaultMaxBody),
		Waiters:        t.count("waiters", defaultKeyWaiters, 0, maxRequestsHeld),
		File:           t.text("durable", "", "the name of a file", isNotEmpty),
	}
	if c.Keys.MemoryBytes > maxMemory {
		t.fail("memory", "is more than a quarter of limits.memory: want at most %dMB, or a larger limits.memory", maxMemory>>20)
	}
	t.reportUnknownKeys()
}

// readKeyRule reads [pool.class.keys] of a class; repeat is the value of the class's key repeat.
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
		t.fail("from", "is not allowed for a class with repeat = \"safe\": want no [pool.class.keys]")
	case repeat == "never" && r.Class.RunWhenFull:
		t.fail("full", "is \"pass\" for a class with repeat = \"never\": want \"refuse\"")
	case r.Fingerprint && r.Required:
		t.fail("need", "is not allowed with from = \"fingerprint\", which is for requests without a key: want one of the two")
	}
	t.reportUnknownKeys()
	return r
}

// Settings returns the settings of the key store for the classes of some pools, and false if no class has
// idempotency keys.
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

// KeyClass returns the name of a pool's class that is unique over all pools, since names contain no slash.
func KeyClass(pool, class string) string { return pool + "/" + class }
