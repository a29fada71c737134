package service

import (
	"iter"
	"maps"

	"jasperpin/internal/config"
	"jasperpin/internal/idempotency/store"
)

// keysDiffer reports whether changes affect how idempotency keys are handled.
func keysDiffer(current *table, changes config.Changes) bool {
	for _, c := range changes.Pools {
		pool := current.pools.get(c.Name)
		if pool == nil && len(c.Keys) > 0 || pool != nil && !maps.Equal(pool.runtime.config.Keys, c.Keys) {
			return true
		}
	}
	for _, name := range changes.RemovedPools {
		if pool := current.pools.get(name); pool != nil && len(pool.runtime.config.Keys) > 0 {
			return true
		}
	}
	return false
}

// configureKeys applies a configuration's bounds on idempotency keys. The first configuration with keys opens
// the store. It is called with s.mu held.
func (s *Set) configureKeys(settings config.IdempotencyKeys, pools iter.Seq[*config.Pool]) error {
	bounds, hasKeys := settings.Settings(pools)
	if !hasKeys {
		return nil
	}
	if s.keys != nil {
		return s.keys.Configure(bounds)
	}
	keyStore, err := store.New(store.Options{Settings: bounds, File: settings.File, Log: s.log})
	if err != nil {
		return err
	}
	s.keys = keyStore
	s.Metrics.SetKeyUsage(keyStore)
	return nil
}

// keyPolicies returns the key policies of a pool's classes, by class; nil if no class has one.
func (s *Set) keyPolicies(c *config.Pool) map[string]*KeyPolicy {
	if len(c.Keys) == 0 {
		return nil
	}
	keyed := make(map[string]*KeyPolicy, len(c.Keys))
	for class, rule := range c.Keys {
		keyed[class] = &KeyPolicy{s.keys, rule, config.KeyClass(c.Name, class)}
	}
	return keyed
}
