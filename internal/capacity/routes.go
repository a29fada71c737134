package capacity

import (
	"context"
	"fmt"
	"time"

	"jasperpin/internal/limit"
	"jasperpin/internal/route"
)

// routeTrial measures the route table by the number of routes, and the limits by the number of tenants.
func routeTrial(ctx context.Context, o Options) (Findings, error) {
	collector := &slopeCollector{ctx: ctx}
	o.measureRoutes(collector)
	o.measureLimits(collector)
	return collector.Findings, collector.err
}

// routeRules returns the rules of services with some routes each.
func routeRules(n, routesPerService int) []route.Rule {
	all := make([]route.Rule, n)
	for i := range all {
		service := fmt.Sprint("service-", i/routesPerService)
		all[i] = route.Rule{
			Service: service, Host: service + ".example.org", Path: fmt.Sprint("/part-", i), AssignedClass: "look",
			Targets: []route.Target{{Pool: service, Weight: 1}},
		}
	}
	return all
}

// measureRoutes measures the route table.
func (o Options) measureRoutes(collector *slopeCollector) {
	perService := int(share(o.Routes, o.Services))
	sizes := o.sizes([]int{100, 200, 400, 800}, 500, 2_000, 9_000, o.Routes)
	base := Slope{Role: "node: routes", SizeUnit: fmt.Sprintf("routes, %d a host", perService), Stated: float64(o.Routes), Runs: costRuns}
	collector.measure(base.forFigure("a look-up", "us", 0), sizes, func(n int) (float64, error) {
		return o.lookupCost(routeRules(n, perService))
	})
	collector.measure(base.forFigure("building the table", "ms", 0), sizes, func(n int) (float64, error) {
		all := routeRules(n, perService)
		return microseconds(o.cost(func() { _, _ = route.New(all) })) / 1e3, nil
	})
	collector.measure(base.forFigure("the table's memory", "MB", o.MemoryMB), sizes, func(n int) (float64, error) {
		return heapGrowth(func() any {
			t, _ := route.New(routeRules(n, perService))
			return t
		}) / 1e6, nil
	})
}

// lookupCost returns the processor time of one look-up, in microseconds.
func (o Options) lookupCost(rules []route.Rule) (float64, error) {
	const stride = 7919 // a prime, so that look-ups visit all routes, but not in order
	t, err := route.New(rules)
	if err != nil {
		return 0, err
	}
	i := 0
	took := o.cost(func() {
		for range operationsPerRun {
			i = (i + stride) % len(rules)
			query := route.Query{Path: rules[i].Path + "/17", Method: "GET", Pick: 1}
			if _, ok, err := t.Find(rules[i].Host, query); !ok || err != nil {
				panic(fmt.Sprintf("route %d not found: %v", i, err))
			}
		}
	})
	return microseconds(took) / operationsPerRun, nil
}

// newGate returns the gate of a service with some tenants and 100 slots.
func newGate(tenants int) *limit.Gate {
	set := limit.GateSettings{Concurrent: 100, Queue: 1000, QueueWait: time.Second, Tenants: make(map[string]limit.TenantSettings, tenants)}
	for i := range tenants {
		set.Tenants[fmt.Sprint("tenant-", i)] = limit.TenantSettings{Rate: 1e9, Burst: 1e9}
	}
	return limit.NewGate(set)
}

// measureLimits measures admission by the number of tenants.
func (o Options) measureLimits(collector *slopeCollector) {
	perService := int(share(o.Tenants, o.Services))
	sizes := o.sizes([]int{10, 20, 40, 80}, 27, 108, 1_000, 10_000)
	base := Slope{Role: "node: limits", SizeUnit: "tenants of the service", Stated: float64(perService), Runs: costRuns}
	collector.measure(base.forFigure("in and out with places free", "us", 0), sizes, func(n int) (float64, error) {
		return o.admissionCost(n), nil
	})
	base.SizeUnit, base.Stated = fmt.Sprintf("tenants in all, %d a service", perService), float64(o.Tenants)
	sizes = o.sizes([]int{1_000, 2_000, 4_000, 8_000}, 2_000, 10_000, 40_000, o.Tenants)
	collector.measure(base.forFigure("limits' memory once each has come", "MB", o.MemoryMB), sizes, func(n int) (float64, error) {
		return heapGrowth(func() any { return usedGates(n, perService) }) / 1e6, nil
	})
}

// admissionCost returns the processor time of one request that is admitted and released, in microseconds.
func (o Options) admissionCost(tenants int) float64 {
	const admissions, stride = 20, 7
	gate, i, now := newGate(tenants), 0, time.Duration(0)
	return microseconds(o.cost(func() {
		for range admissions {
			i, now = (i+stride)%tenants, now+time.Millisecond
			name := gate.TenantKey(fmt.Sprint("tenant-", i))
			if v, _, _ := gate.Arrive(now, name); v != limit.Admitted {
				panic("request rejected although slots are free")
			}
			gate.Release(name)
		}
	})) / admissions
}

// usedGates returns gates with some tenants each, all of which have sent a request.
func usedGates(tenants, perService int) []*limit.Gate {
	var all []*limit.Gate
	for left := tenants; left > 0; left -= perService {
		n := min(left, perService)
		gate := newGate(n)
		for i := range n {
			name := gate.TenantKey(fmt.Sprint("tenant-", i))
			gate.Arrive(0, name)
			gate.Release(name)
		}
		all = append(all, gate)
	}
	return all
}
