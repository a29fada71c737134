package service

import (
	"bytes"
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

// following is a set whose pools and services come from records.
type following struct {
	testing.TB
	*Set
	all *config.Assembly
}

// follow has a set without pools and services follow a configuration.
func follow(t testing.TB) *following {
	t.Helper()
	cfg := &config.Config{Budgets: true, Limits: limit.Machine{Cores: 1, Memory: 512 << 20, Descriptors: 4096}}
	set, err := New(cfg, room{}, func(*config.Pool) core.Upstream { return idle{} }, nil, nil, metrics.New(), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return &following{t, set, config.NewAssembly(0, 1)}
}

func (f *following) put(all ...configlog.Record) {
	f.Helper()
	ms, err := f.all.Update(configlog.Change{Records: all}, f.Change)
	if err != nil || len(ms) > 0 {
		f.Fatal(err, ms)
	}
}

func rec(key configlog.Key, value string) configlog.Record {
	return configlog.Record{Key: key, Value: []byte(value)}
}

// poolRec is a pool of one server, and of a class.
func poolRec(name, more string, port int) configlog.Record {
	return rec(configlog.PoolKey(name), fmt.Sprintf(`{%s"retry_after":"1s","servers":["127.0.0.1:%d"],"class":[{"name":"look","repeat":"safe"}]}`, more, port))
}

func routeRec(service, host, pool string) configlog.Record {
	return rec(configlog.RouteKey(service, host), fmt.Sprintf(`{"hosts":[%q],"pool":%q}`, host, pool))
}

// TestChangeKeepsTheOthers has changes of one pool, service, route and tenant at a time leave all others
// the same objects, and budgets follow.
func TestChangeKeepsTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := follow(t)
		defer f.Close()
		if _, err := f.Find("a.org", someLook); err != ErrNoRoute {
			t.Errorf("before the first state: %v", err)
		}
		f.put(poolRec("a", `"share":0.25,`, 1), poolRec("b", `"share":0.5,`, 2),
			rec("service/a", `{"tenant_header":"Req-Owner"}`), rec("service/b", `{}`), routeRec("a", "a.org", "a"), routeRec("b", "b.org", "b"))
		a, b := find(t, f.Set, "a.org"), find(t, f.Set, "b.org")
		same := func(what string, host string, was Target, pool, service bool) {
			t.Helper()
			if is := find(t, f.Set, host); (is.Pool == was.Pool) != pool || (is.Service == was.Service) != service {
				t.Errorf("%s: %s has the same pool %v, service %v", what, host, is.Pool == was.Pool, is.Service == was.Service)
			}
		}
		for _, c := range []struct {
			what          string
			record        configlog.Record
			pool, service bool // a's is the same
		}{
			{"servers", poolRec("a", `"share":0.25,`, 9), true, true},
			{"share", poolRec("a", `"share":0.125,`, 9), true, true},
			{"gate", rec("service/a", `{"tenant_header":"Req-Owner","concurrent":5}`), true, true},
			{"tenant", rec("service/a/tenant/one", `{"rate":5}`), true, true},
			{"attempts", poolRec("a", `"share":0.125,"attempts":1,`, 9), false, true},
			{"header", rec("service/a", `{"tenant_header":"Req-Other"}`), true, false},
		} {
			f.put(c.record)
			same(c.what, "a.org", a, c.pool, c.service)
			same(c.what, "b.org", b, true, true)
			a = find(t, f.Set, "a.org")
		}
		var all [kinds]int
		for i, budget := range f.budgets.of {
			all[i] = budget.Free()
		}
		passes := fill(t, f.Set, find(t, f.Set, "b.org"), 0)
		one, full := passes[0].need, false
		for i, budget := range f.budgets.of {
			left := budget.Free() - all[i]/8
			full = full || left < one[i]
			if left < 0 {
				t.Errorf("b holds what is guaranteed to a: %d of %d are left", budget.Free(), all[i])
			}
		}
		if !full {
			t.Errorf("b is refused with %d held, though more is not a's", len(passes))
		}
		leave(passes, Void)
		// The route leads elsewhere; then the pool that it left drains.
		f.put(routeRec("a", "a.org", "b"))
		if is := find(t, f.Set, "a.org"); is.Pool != b.Pool || is.Service != a.Service {
			t.Error("the route does not lead to the other pool")
		}
		f.put(configlog.Record{Key: "pool/a"})
		synctest.Wait()
		if f.Pool("a") != nil || len(f.old) != 0 {
			t.Errorf("the pool that goes is there, or %d drain", len(f.old))
		}
		f.put(configlog.Record{Key: "service/a"}, configlog.Record{Key: "service/a/tenant/one"}, configlog.Record{Key: configlog.RouteKey("a", "a.org")})
		if _, err := f.Find("a.org", someLook); err != ErrNoRoute {
			t.Errorf("the service that is gone: %v", err)
		}
		same("all", "b.org", b, true, true)
	})
}

// TestSharesFollowChanges has the pools that name no share get an equal part as pools come and go, as
// one file of them all would have it.
func TestSharesFollowChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := follow(t)
		defer f.Close()
		parts := func(total int) (all []int) {
			for _, p := range f.Pools() {
				all = append(all, p.own.cfg.Guarantee(total, f.Set.share))
			}
			return all
		}
		for _, c := range []struct {
			record configlog.Record
			want   []int // of a, b and c, as they are there
		}{
			{poolRec("a", "", 1), []int{500}},
			{poolRec("b", "", 1), []int{250, 250}},
			{poolRec("c", `"share":0.8,`, 1), []int{100, 100, 800}},
			{configlog.Record{Key: "pool/a"}, []int{200, 800}},
			{poolRec("c", `"share":0.3,`, 1), []int{500, 300}},
		} {
			f.put(c.record)
			if got := parts(1000); !slices.Equal(got, c.want) {
				t.Errorf("after %s: %v, want %v", c.record.Key, got, c.want)
			}
		}
		synctest.Wait()
	})
}

// TestChangeThatDoesNotFit leaves all as it was where the machine has no room for it.
func TestChangeThatDoesNotFit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := follow(t)
		defer f.Close()
		f.put(poolRec("a", "", 1), rec("service/a", `{}`), routeRec("a", "a.org", "a"))
		was := f.now.Load()
		over := config.Delta{Routes: was.routes, Shares: true, Pools: []*config.Pool{{Name: "b", Share: 2}}}
		if err := f.Change(over); err == nil || f.now.Load() != was || f.Pool("b") != nil {
			t.Errorf("got %v", err)
		}
		passes := fill(t, f.Set, find(t, f.Set, "a.org"), 0)
		if len(passes) == 0 {
			t.Error("nothing is let in")
		}
		leave(passes, Void)
	})
}

// sized follows a configuration of a size.
func sized(t testing.TB, size bigfile.Size) *following {
	t.Helper()
	var text bytes.Buffer
	if err := size.Write(&text, "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	all, err := config.Records("node.toml", text.Bytes())
	if err != nil {
		t.Fatal(err)
	}
	f := follow(t)
	f.put(all...)
	t.Cleanup(f.Close)
	return f
}

// changes are of one service with its route, tenant and pool, each time others.
func changes(at int) []configlog.Record {
	return []configlog.Record{
		rec("service/service-3", fmt.Sprintf(`{"tenant_header":"Req-Owner","concurrent":%d}`, 100+at%2)),
		rec("service/service-3/route/mine", fmt.Sprintf(`{"hosts":["service-3.example.org"],"path":"/mine-%d","as":"look","pool":"pool-3"}`, at)),
		rec("service/service-3/tenant/mine", fmt.Sprintf(`{"rate":%d}`, 1+at%1000)),
		rec("pool/pool-3", fmt.Sprintf(`{"servers":["127.0.0.1:%d"],"class":[{"name":"look","repeat":"safe"}]}`, 1+at%1000)),
	}
}

// TestChangeCostsByItself counts the allocations of one service's change among 13 and 1,300 services.
func TestChangeCostsByItself(t *testing.T) {
	cost := func(services int) float64 {
		f, at := sized(t, bigfile.Size{Services: services, Servers: services, Routes: 4 * services, Tenants: services}), 0
		return testing.AllocsPerRun(20, func() {
			at++
			f.put(changes(at)...)
		})
	}
	few, most := cost(13), cost(1_300)
	if most > 1.5*few {
		t.Errorf("a change takes %v allocations among 13 services and %v among 1,300", few, most)
	}
}

// BenchmarkChange is the change of one service with its route, tenant and pool's servers; with "new" a
// pool comes or goes, by which the guaranteed parts of all others differ.
func BenchmarkChange(b *testing.B) {
	for _, services := range []int{13, 130, 650, 1_300} {
		b.Run(fmt.Sprint(services), func(b *testing.B) {
			f, at := sized(b, bigfile.Full.Part(bigfile.Full.Services/services)), 0
			b.Run("service", func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					at++
					f.put(changes(at)...)
				}
			})
			b.Run("new", func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					if f.Pool("new") == nil {
						f.put(poolRec("new", "", 1))
					} else {
						f.put(configlog.Record{Key: "pool/new"})
					}
				}
			})
		})
	}
}
