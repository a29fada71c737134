package service

import (
	"errors"
	"math/rand/v2"

	"jasperpin/internal/config"
	"jasperpin/internal/idempotency/store"
	"jasperpin/internal/route"
)

// ErrNoRoute says that no service takes such requests.
var ErrNoRoute = errors.New("no route")

// Service is a service under its name.
type Service struct {
	Name         string
	TenantHeader string // canonical; "" where tenants are not told apart
	queue        *admissionQueue
}

// Target is where a request goes.
type Target struct {
	*Service
	*Pool
	Class     string
	KeyPolicy *KeyPolicy // nil where the class keeps no idempotency keys on this node
}

// KeyPolicy is how the idempotency keys of a class are treated.
type KeyPolicy struct {
	*store.KeyStore
	config.IdempotencyRule
	Name string // of the class among those of all pools
}

// Find says where a request goes, by its Host header and the query's other properties. Its error is
// ErrNoRoute, or says what is wrong with the host or the path.
func (s *Set) Find(host string, q route.Query) (Target, error) {
	t := s.current.Load()
	if t.only != nil {
		target := *t.only
		target.Class = route.ClassOfPath(q.Path)
		return target, nil
	}
	if q.Pick == 0 {
		q.Pick = rand.Uint64()
	}
	match, ok, err := t.routes.Find(host, q)
	if err != nil {
		return Target{}, err
	}
	if !ok {
		return Target{}, ErrNoRoute
	}
	pool := t.pools.get(match.Pool)
	return Target{
		Service: t.services.get(match.Rule.Service), Pool: pool.Pool,
		Class: match.Class, KeyPolicy: pool.keyed[match.Class],
	}, nil
}
