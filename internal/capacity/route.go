package capacity

import (
	"context"
	"fmt"
	"time"

	"jasperpin/internal/limit"
	"jasperpin/internal/route"
)

// lookups measures the route table by its routes, and a service's limits by its tenants.
func lookups(ctx context.Context, o Options) (Found, error) {
	g := gather{ctx: ctx}
	each := int(per(o.Routes, o.Services))
	rules := func(n int) []route.Rule {
		all := make([]route.Rule, n)
		for i := range all {
			service := fmt.Sprint("service-", i/each)
			all[i] = route.Rule{Service: service, Host: service + ".example.org", Path: fmt.Sprint("/part-", i), As: "look", Targets: []route.Target{{Pool: service, Weight: 1}}}
		}
		return all
	}
	sizes := o.sizes([]int{100, 200, 400, 800}, 500, 2_000, 9_000, o.Routes)
	s := Slope{Role: "node: routes", By: fmt.Sprintf("routes, %d a host", each), Stated: float64(o.Routes), Runs: tries}
	g.slope(s.named("a look-up", "us", 0), sizes, func(n int) (float64, error) {
		all := rules(n)
		t, err := route.New(all)
		if err != nil {
			return 0, err
		}
		i := 0
		took := o.cost(func() {
			for range 100 {
				i = (i + 7919) % n
				if _, ok, err := t.Find(all[i].Host, route.Query{Path: all[i].Path + "/17", Method: "GET", Pick: 1}); !ok || err != nil {
					panic(fmt.Sprintf("route %d is not found: %v", i, err))
				}
			}
		})
		return micros(took) / 100, nil
	})
	g.slope(s.named("building the table", "ms", 0), sizes, func(n int) (float64, error) {
		all := rules(n)
		return micros(o.cost(func() { _, _ = route.New(all) })) / 1e3, nil
	})
	g.slope(s.named("the table's memory", "MB", o.Memory), sizes, func(n int) (float64, error) {
		return heap(func() any {
			all := rules(n)
			t, _ := route.New(all)
			return t
		}) / 1e6, nil
	})

	gate := func(n, places int) *limit.Gate {
		set := limit.GateSettings{Concurrent: places, Queue: 1000, QueueWait: time.Second, Tenants: make(map[string]limit.TenantSettings, n)}
		for i := range n {
			set.Tenants[fmt.Sprint("tenant-", i)] = limit.TenantSettings{Rate: 1e9, Burst: 1e9}
		}
		return limit.NewGate(set)
	}
	most := int(per(o.Tenants, o.Services))
	tenants := o.sizes([]int{10, 20, 40, 80}, 27, 108, 1_000, 10_000)
	s = Slope{Role: "node: limits", By: "tenants of the service", Stated: float64(most), Runs: tries}
	g.slope(s.named("in and out with places free", "us", 0), tenants, func(n int) (float64, error) {
		places, i, now := gate(n, 100), 0, time.Duration(0)
		return micros(o.cost(func() {
			for range 20 {
				i, now = (i+7)%n, now+time.Millisecond
				name := places.Tenant(fmt.Sprint("tenant-", i))
				if v, _, _ := places.Arrive(now, name); v != limit.Admitted {
					panic("no place where places are free")
				}
				places.Done(name)
			}
		})) / 20, nil
	})
	s.By, s.Stated = fmt.Sprintf("tenants in all, %d a service", most), float64(o.Tenants)
	g.slope(s.named("limits' memory once each has come", "MB", o.Memory), o.sizes([]int{1_000, 2_000, 4_000, 8_000}, 2_000, 10_000, 40_000, o.Tenants), func(n int) (float64, error) {
		return heap(func() any {
			var all []*limit.Gate
			for left := n; left > 0; left -= most {
				service := gate(min(left, most), 100)
				for i := range min(left, most) {
					name := service.Tenant(fmt.Sprint("tenant-", i))
					service.Arrive(0, name)
					service.Done(name)
				}
				all = append(all, service)
			}
			return all
		}) / 1e6, nil
	})
	return g.Found, g.err
}
