package service

import (
	"errors"
	"math/rand/v2"

	"jasperpin/internal/config"
	"jasperpin/internal/idempotency/store"
	"jasperpin/internal/route"
)

// ErrNoRoute means that no rule matches a request.
var ErrNoRoute = errors.New("no route")

// Service is a configured service.
type Service struct {
	Name         string
	TenantHeader string // canonical name of the header that identifies the tenant; "" if tenants are not distinguished
	queue        *admissionQueue
}

// Target is the service, pool and class to which a request is routed.
type Target struct {
	*Service
	*Pool
	Class     string
	KeyPolicy *KeyPolicy // nil if this node stores no idempotency keys for the class
}

// KeyPolicy is how the idempotency keys of a class are handled.
type KeyPolicy struct {
	*store.KeyStore
	config.IdempotencyRule
	Name string // name of the class, unique among the classes of all pools
}

// Find returns the target of a request, by its Host header and the other properties in q. The error is
// ErrNoRoute, or describes an invalid host or path.
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
		Class: match.Class, KeyPolicy: pool.keyPolicies[match.Class],
	}, nil
}
