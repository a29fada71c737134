package service

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"testing/synctest"

	"jasperpin/internal/config"
	"jasperpin/internal/configlog"
	"jasperpin/internal/core"
	"jasperpin/internal/emulator/bigfile"
	"jasperpin/internal/limit"
	"jasperpin/internal/metrics"
)

// recordSet is a Set whose pools and services are configured by records.
type recordSet struct {
	testing.TB
	*Set
	assembly *config.Assembly
}

// newRecordSet returns a set without pools and services.
func newRecordSet(t testing.TB) *recordSet {
	t.Helper()
	cfg := &config.Config{PoolsShareLimits: true, Limits: limit.Machine{Cores: 1, Memory: 512 << 20, Descriptors: 4096}}
	set, err := New(cfg, fakeLimiter{}, func(*config.Pool) core.Upstream { return fakeUpstream{} }, nil, nil, metrics.New(), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return &recordSet{t, set, config.NewAssembly(0, 1)}
}

// apply applies records.
func (f *recordSet) apply(all ...configlog.Record) {
	f.Helper()
	mistakes, err := f.assembly.Update(configlog.Change{Records: all}, f.Change)
	if err != nil || len(mistakes) > 0 {
		f.Fatal(err, mistakes)
	}
}

func record(key configlog.Key, value string) configlog.Record {
	return configlog.Record{Key: key, Value: []byte(value)}
}

// poolRecord returns the record of a pool with one server and one class; more is JSON for further fields, with a
// comma at its end.
func poolRecord(name, more string, port int) configlog.Record {
	return record(configlog.PoolKey(name), fmt.Sprintf(`{%s"retry_after":"1s","servers":["127.0.0.1:%d"],"class":[{"name":"look","repeat":"safe"}]}`, more, port))
}

func routeRecord(service, host, pool string) configlog.Record {
	return record(configlog.RouteKey(service, host), fmt.Sprintf(`{"hosts":[%q],"pool":%q}`, host, pool))
}

// TestChangeLeavesOthersUntouched: one pool, service, route or tenant changes at a time. All others stay the same
// objects, and the budgets are updated.
func TestChangeLeavesOthersUntouched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		set := newRecordSet(t)
		defer set.Close()
		if _, err := set.Find("a.org", someLook); !errors.Is(err, ErrNoRoute) {
			t.Errorf("finding a target before the first records: got error %v, want ErrNoRoute", err)
		}
		set.apply(poolRecord("a", `"share":0.25,`, 1), poolRecord("b", `"share":0.5,`, 2),
			record("service/a", `{"tenant_header":"Req-Owner"}`), record("service/b", `{}`), routeRecord("a", "a.org", "a"), routeRecord("b", "b.org", "b"))
		targetA, targetB := find(t, set.Set, "a.org"), find(t, set.Set, "b.org")
		same := func(what string, host string, was Target, pool, service bool) {
			t.Helper()
			if is := find(t, set.Set, host); (is.Pool == was.Pool) != pool || (is.Service == was.Service) != service {
				t.Errorf("%s: for host %s the pool is the same: %v, the service is the same: %v; the change must replace only what it names", what, host, is.Pool == was.Pool, is.Service == was.Service)
			}
		}
		for _, c := range []struct {
			what          string
			record        configlog.Record
			pool, service bool // whether the pool and the service of a stay the same
		}{
			{"servers", poolRecord("a", `"share":0.25,`, 9), true, true},
			{"share", poolRecord("a", `"share":0.125,`, 9), true, true},
			{"gate", record("service/a", `{"tenant_header":"Req-Owner","concurrent":5}`), true, true},
			{"tenant", record("service/a/tenant/one", `{"rate":5}`), true, true},
			{"attempts", poolRecord("a", `"share":0.125,"attempts":1,`, 9), false, true},
			{"header", record("service/a", `{"tenant_header":"Req-Other"}`), true, false},
		} {
			set.apply(c.record)
			same(c.what, "a.org", targetA, c.pool, c.service)
			same(c.what, "b.org", targetB, true, true)
			targetA = find(t, set.Set, "a.org")
		}
		set.checkGuarantee(8)
		// The route gets another pool; then the pool that it had is removed, and drains.
		set.apply(routeRecord("a", "a.org", "b"))
		if is := find(t, set.Set, "a.org"); is.Pool != targetB.Pool || is.Service != targetA.Service {
			t.Error("the route does not use the other pool, or its service was replaced; want the other pool and the same service")
		}
		set.apply(configlog.Record{Key: "pool/a"})
		synctest.Wait()
		if set.Pool("a") != nil || len(set.draining) != 0 {
			t.Errorf("the removed pool is still configured, or %d pools are still draining; want it closed and none draining", len(set.draining))
		}
		set.apply(configlog.Record{Key: "service/a"}, configlog.Record{Key: "service/a/tenant/one"}, configlog.Record{Key: configlog.RouteKey("a", "a.org")})
		if _, err := set.Find("a.org", someLook); !errors.Is(err, ErrNoRoute) {
			t.Errorf("finding a target after the service was removed: got error %v, want ErrNoRoute", err)
		}
		same("all", "b.org", targetB, true, true)
	})
}

// checkGuarantee fills pool b, which must get all of each resource except the 1/fraction that is guaranteed to a.
func (f *recordSet) checkGuarantee(fraction int) {
	f.Helper()
	var all resources
	for i, budget := range f.budgets.byResource {
		all[i] = budget.Free()
	}
	admissions := fill(f, f.Set, find(f, f.Set, "b.org"), 0)
	one, full := admissions[0].need, false
	for i, budget := range f.budgets.byResource {
		left := budget.Free() - all[i]/fraction
		full = full || left < one[i]
		if left < 0 {
			f.Errorf("b uses units that are guaranteed to a: %d of %d are free", budget.Free(), all[i])
		}
	}
	if !full {
		f.Errorf("b is rejected after %d requests, though units that a has no guarantee for are free", len(admissions))
	}
	releaseAll(admissions, OutcomeNeutral)
}

// TestDefaultSharesFollowChanges: pools are added and removed. Pools without a configured share are guaranteed
// equal parts of what the other pools leave, as if one file configured all of them.
func TestDefaultSharesFollowChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		set := newRecordSet(t)
		defer set.Close()
		parts := func(total int) (all []int) {
			for _, p := range set.Pools() {
				all = append(all, p.runtime.config.GuaranteedUnits(total, set.defaultShare))
			}
			return all
		}
		for _, c := range []struct {
			record configlog.Record
			want   []int // guaranteed units of those pools among a, b and c that exist
		}{
			{poolRecord("a", "", 1), []int{500}},
			{poolRecord("b", "", 1), []int{250, 250}},
			{poolRecord("c", `"share":0.8,`, 1), []int{100, 100, 800}},
			{configlog.Record{Key: "pool/a"}, []int{200, 800}},
			{poolRecord("c", `"share":0.3,`, 1), []int{500, 300}},
		} {
			set.apply(c.record)
			if got := parts(1000); !slices.Equal(got, c.want) {
				t.Errorf("guaranteed units of the pools after %s: %v, want %v", c.record.Key, got, c.want)
			}
		}
		synctest.Wait()
	})
}

// TestChangeThatDoesNotFitChangesNothing: a change requires more than the machine has. It fails, and the
// configuration stays unchanged.
func TestChangeThatDoesNotFitChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRecordSet(t)
		defer f.Close()
		f.apply(poolRecord("a", "", 1), record("service/a", `{}`), routeRecord("a", "a.org", "a"))
		was := f.current.Load()
		over := config.Changes{Routes: was.routes, SharesChanged: true, Pools: []*config.Pool{{Name: "b", Share: 2}}}
		if err := f.Change(over); err == nil || f.current.Load() != was || f.Pool("b") != nil {
			t.Errorf("change that does not fit: got error %v, want an error and an unchanged configuration", err)
		}
		admissions := fill(t, f.Set, find(t, f.Set, "a.org"), 0)
		if len(admissions) == 0 {
			t.Error("no request is admitted, want one admitted")
		}
		releaseAll(admissions, OutcomeNeutral)
	})
}

// newSizedSet returns a set with a generated configuration of a given size.
func newSizedSet(t testing.TB, size bigfile.Size) *recordSet {
	t.Helper()
	var text bytes.Buffer
	if err := size.Write(&text, "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	all, err := config.Records("node.toml", text.Bytes())
	if err != nil {
		t.Fatal(err)
	}
	f := newRecordSet(t)
	f.apply(all...)
	t.Cleanup(f.Close)
	return f
}

// changes returns records that change one service with its route, tenant and pool. Each value of at gives
// different records.
func changes(at int) []configlog.Record {
	return []configlog.Record{
		record("service/service-3", fmt.Sprintf(`{"tenant_header":"Req-Owner","concurrent":%d}`, 100+at%2)),
		record("service/service-3/route/mine", fmt.Sprintf(`{"hosts":["service-3.example.org"],"path":"/mine-%d","as":"look","pool":"pool-3"}`, at)),
		record("service/service-3/tenant/mine", fmt.Sprintf(`{"rate":%d}`, 1+at%1000)),
		record("pool/pool-3", fmt.Sprintf(`{"servers":["127.0.0.1:%d"],"class":[{"name":"look","repeat":"safe"}]}`, 1+at%1000)),
	}
}

// TestChangeCostIsIndependentOfSize: one service changes among 13 and among 1,300 services. Both changes take about
// the same number of allocations.
func TestChangeCostIsIndependentOfSize(t *testing.T) {
	cost := func(services int) float64 {
		f, at := newSizedSet(t, bigfile.Size{Services: services, Servers: services, Routes: 4 * services, Tenants: services}), 0
		return leastAllocs(func() {
			at++
			f.apply(changes(at)...)
		})
	}
	few, most := cost(13), cost(1_300)
	if most > 1.5*few {
		t.Errorf("a change takes %v allocations among 13 services and %v among 1,300, want at most 1.5 times as many among 1,300", few, most)
	}
}

// leastAllocs returns the least of five measurements of a change's allocations. The runtime counts the allocations
// of all goroutines: the ticks of 1,300 pools make about 30 per millisecond, and all of them that happen while a
// change waits for a processor on a busy machine are counted as the change's own. The change's own allocations
// are in each measurement.
func leastAllocs(change func()) float64 {
	least := testing.AllocsPerRun(4, change)
	for range 4 {
		least = min(least, testing.AllocsPerRun(4, change))
	}
	return least
}

// BenchmarkChange changes one service with its route, its tenant and its pool's servers. The case "new" adds or
// removes a pool, which changes the guaranteed parts of all others.
func BenchmarkChange(b *testing.B) {
	for _, services := range []int{13, 130, 650, 1_300} {
		b.Run(fmt.Sprint(services), func(b *testing.B) {
			f, at := newSizedSet(b, bigfile.Full.DividedBy(bigfile.Full.Services/services)), 0
			b.Run("service", func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					at++
					f.apply(changes(at)...)
				}
			})
			b.Run("new", func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					if f.Pool("new") == nil {
						f.apply(poolRecord("new", "", 1))
					} else {
						f.apply(configlog.Record{Key: "pool/new"})
					}
				}
			})
		})
	}
}
