package config

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"jasperpin/internal/configlog"
	"jasperpin/internal/emulator/bigfile"
	"jasperpin/internal/route"
)

// appliedChanges is the configuration of a node to which changes have been applied.
type appliedChanges struct {
	pools    map[string]*Pool
	services map[string]*Service
	routes   *route.Table
	share    float64
}

func newAppliedChanges() *appliedChanges {
	return &appliedChanges{pools: make(map[string]*Pool), services: make(map[string]*Service)}
}

func (f *appliedChanges) use(d Changes) error {
	for _, p := range d.Pools {
		f.pools[p.Name] = p
	}
	for _, name := range d.RemovedPools {
		delete(f.pools, name)
	}
	for _, s := range d.Services {
		f.services[s.Name] = s
	}
	for _, name := range d.RemovedServices {
		delete(f.services, name)
	}
	f.routes = d.Routes
	if d.SharesChanged {
		f.share = d.DefaultShare
	}
	return nil
}

// trackedAssembly is an Assembly with the configuration that results from its changes.
type trackedAssembly struct {
	testing.TB
	*Assembly
	*appliedChanges
}

// newTrackedAssembly returns a trackedAssembly with the records of a file.
func newTrackedAssembly(t testing.TB, text string) *trackedAssembly {
	t.Helper()
	b := &trackedAssembly{t, NewAssembly(0, 1), newAppliedChanges()}
	if errs := b.apply(recordsOf(t, text)...); len(errs) > 0 {
		t.Fatal(errs)
	}
	return b
}

// recordsOf returns the records of a file.
func recordsOf(t testing.TB, text string) []configlog.Record {
	t.Helper()
	all, err := Records("node.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return all
}

// apply updates the Assembly with records, and returns the errors of rejected records.
func (b *trackedAssembly) apply(all ...configlog.Record) Errors {
	b.Helper()
	errs, err := b.Update(configlog.Change{Records: all}, b.use)
	if err != nil {
		b.Fatal(err)
	}
	return errs
}

func record(key configlog.Key, value string) configlog.Record {
	return configlog.Record{Key: key, Value: []byte(value)}
}

// poolFor returns the pool to which requests for a host are routed; "" for none.
func (b *trackedAssembly) poolFor(host string) string {
	m, _ := b.appliedChanges.routes.Match(route.Query{Host: host, Path: "/look/1", Method: "GET"})
	return m.Pool
}

// TestRecordsEqualFile splits files into records, applies these, and compares the result with the file read
// as a whole.
func TestRecordsEqualFile(t *testing.T) {
	t.Parallel()
	var big bytes.Buffer
	if err := bigfile.Full.DividedBy(100).Write(&big, "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string]string{"example": exampleFile(t), "small": smallFile, "big": big.String()} {
		want, err := Parse("node.toml", []byte(text))
		if err != nil {
			t.Fatal(err)
		}
		b := newTrackedAssembly(t, text)
		if len(b.appliedChanges.pools) != len(want.Pools) || len(b.appliedChanges.services) != len(want.Services) {
			t.Errorf("%s: %d pools and %d services are applied, want as many as in the file", name, len(b.appliedChanges.pools), len(b.appliedChanges.services))
		}
		for _, p := range want.Pools {
			got := *b.appliedChanges.pools[p.Name]
			if got.Share < 0 {
				got.Share = b.share
			}
			if !reflect.DeepEqual(got, p) {
				t.Errorf("%s: pool %s is %+v, want %+v", name, p.Name, got, p)
			}
		}
		for _, s := range want.Services {
			got := *b.appliedChanges.services[s.Name]
			if len(got.Gate.Tenants) == 0 && len(s.Gate.Tenants) == 0 {
				got.Gate.Tenants, s.Gate.Tenants = nil, nil
			}
			if got.TenantHeader != s.TenantHeader || !reflect.DeepEqual(got.Gate, s.Gate) {
				t.Errorf("%s: service %s is %+v, want %+v", name, s.Name, got, s)
			}
			for _, r := range s.Routes {
				path := r.Path
				if path == "" {
					path = "/"
				}
				m, ok := b.appliedChanges.routes.Match(route.Query{Host: r.Host, Path: path, Method: r.Method})
				if !ok || m.Rule.Service != s.Name || !reflect.DeepEqual(m.Rule.Targets, r.Targets) || m.Rule.AssignedClass != r.AssignedClass {
					t.Errorf("%s: route %+v is matched by rule %+v, want the route's service, targets and class", name, r, m.Rule)
				}
			}
		}
		again := recordsOf(t, text)
		if !reflect.DeepEqual(again, recordsOf(t, text)) {
			t.Errorf("%s: the records of one file differ", name)
		}
		if errs, err := b.Replace(slices.Values(again), func(Changes) error { return errors.New("unexpected changes") }); err != nil || len(errs) > 0 {
			t.Errorf("%s: replacing the configuration with the same records returned errors %v, %v, want none", name, errs, err)
		}
	}
}

const twoPools = smallFile + `
[[pool]]
name = "q"
share = 0.25
servers = ["127.0.0.1:2"]
[[pool.class]]
name = "look"
repeat = "safe"
[[pool.class]]
name = "buy"
repeat = "never"
[[service]]
name = "u"
tenant_header = "Req-Owner"
[[service.tenant]]
name = "*"
rate = 5
[[service.route]]
name = "all"
hosts = ["u.org"]
pool = "q"
class = "buy"
[[service.route]]
name = "look"
hosts = ["u.org"]
pool = "q"
`

const poolP = `{"class":[{"name":"look","repeat":"safe"}],"servers":["127.0.0.1:1"]}`

// TestCheckReportsAllMistakes checks changes with errors: all errors are reported at once, with record and
// field, and nothing is applied.
func TestCheckReportsAllMistakes(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name    string
		records []configlog.Record
		want    []string // prefixes of the errors, in this order
	}{
		{"invalid records", []configlog.Record{
			record("pool/p", `{"share":3,"shar":1,"servers":["here"],"class":[{"name":"look","repeat":"safe","aim":"2"}]}`),
			record("service/s", `{"rate":"many","route":[]}`), record("service/s/route/x", `{"hosts":["s.org"],"path":"a","pool":"p"}`),
			record("service/u/tenant/%2A", `{"weight":0}`), record("pool/other", `{"name":"another","servers":["127.0.0.1:9"],"class":[{"name":"look","repeat":"safe"}]}`), record("pool/text", `[]`), record("tool/p", `{}`),
		}, []string{
			`pool/other: name is "another": want the name in the record's key`,
			`pool/p: class[0].aim is "2": want a time`, `pool/p: servers is "here"`, `pool/p: servers is missing`, `pool/p: shar is not a key of this table: did you mean share?`, `pool/p: share is 3: want a number from 0 to 1`,
			`pool/text: want one JSON object`, `service/s: rate is "many"`, `service/s: route is not a key of this table`, `service/s/route/x: path is "a"`, `service/u/tenant/%2A: weight is 0`, `tool/p: invalid change: "tool/p" is not a valid key`,
		}},
		{"unknown pool", []configlog.Record{record("service/s/route/x", `{"hosts":["s.org"],"pool":"none"}`)}, []string{`service/s/route/x: pool "none" is not a pool`}},
		{"unknown class", []configlog.Record{record("service/s/route/x", `{"hosts":["s.org"],"pool":"p","as":"buy"}`)}, []string{`service/s/route/x: pool "p" has no class "buy"`}},
		{"removed class in use", []configlog.Record{record("pool/q", poolP)}, []string{`pool/q: class conflicts with service/u/route/all: "q" has no class "buy"`}},
		{"deleted pool in use", []configlog.Record{{Key: "pool/q"}}, []string{`pool/q: cannot be deleted while service/u/route/all leads to it`}},
		{"match of an existing route", []configlog.Record{record("service/s/route/x", `{"hosts":["u.org"],"pool":"p"}`)}, []string{`service/s/route/x: matches the same requests as the route at service/u/route/look`}},
		{"two routes with the same match", []configlog.Record{record("service/s/route/x", `{"hosts":["v.org"],"pool":"p"}`), record("service/s/route/y", `{"hosts":["v.org"],"pool":"p"}`)}, []string{`service/s/route/y: matches the same requests as the route at service/s/route/x`}},
		{"sum of shares above 1", []configlog.Record{record("pool/p", strings.Replace(poolP, "{", `{"share":0.8,`, 1))}, []string{`pool/p: share is 0.8: the shares of all pools add up to 1.05`}},
		{"tenants without tenant_header", []configlog.Record{record("service/u", `{}`), record("service/s/tenant/a", `{}`)}, []string{`service/s/tenant/a: is in a service whose tenant_header is missing`, `service/u: tenant_header is missing`}},
		{"service without route", []configlog.Record{record("service/new", `{}`)}, []string{`service/new: route is missing`}},
		{"unknown service", []configlog.Record{record("service/new/route/x", `{"pool":"p","hosts":["x.org"]}`)}, []string{`service/new/route/x: is not allowed without service/new, which does not exist`}},
		{"deleted service with a remaining route", []configlog.Record{{Key: "service/u"}, {Key: "service/u/tenant/%2A"}}, []string{`service/u: cannot be deleted without service/u/route/`}},
		{"error caused by another record's error", []configlog.Record{record("pool/new", `{}`), record("service/s/route/x", `{"hosts":["s.org"],"pool":"new"}`)}, []string{`pool/new: class is missing`, `pool/new: servers is missing`}},
		{"valid change", []configlog.Record{
			record("pool/new", poolP), record("service/new", `{}`), record("service/new/route/x", `{"hosts":["new.org"],"pools":[{"name":"new","weight":2},{"name":"p"}]}`),
			{Key: "pool/q"}, {Key: "service/u"}, {Key: "service/u/route/all"}, {Key: "service/u/route/look"}, {Key: "service/u/tenant/%2A"},
		}, nil},
	} {
		b := newTrackedAssembly(t, twoPools)
		routes, pool := b.appliedChanges.routes, b.appliedChanges.pools["p"]
		err := b.Check(configlog.Change{Records: test.records})
		var got Errors
		errors.As(err, &got)
		ok := len(got) == len(test.want)
		for i := 0; ok && i < len(got); i++ {
			ok = strings.HasPrefix(got[i].Error(), test.want[i])
		}
		if !ok {
			t.Errorf("%s: the errors are\n%v\nwant\n%s", test.name, err, strings.Join(test.want, "\n"))
		}
		if b.appliedChanges.routes != routes || b.appliedChanges.pools["p"] != pool || len(b.appliedChanges.pools) != 2 || len(b.appliedChanges.services) != 2 || b.Rejected() != 0 || len(b.Assembly.pools) != 2 {
			t.Errorf("%s: Check has applied changes", test.name)
		}
	}
}

// TestRejectedRecordStopsNoOthers applies changes with rejected records: their previous values stay current,
// the other records are applied, and a rejected record is applied once the record that it depends on exists.
func TestRejectedRecordStopsNoOthers(t *testing.T) {
	t.Parallel()
	b := newTrackedAssembly(t, twoPools)
	before := b.appliedChanges.pools["p"]
	errs := b.apply(record("pool/p", `{"of":"another version"}`), record("pool/r", poolP), record("service/s/route/x", `{"hosts":["x.org"],"pool":"r"}`),
		record("service/s/route/y", `{"hosts":["y.org"],"pool":"late"}`), record("service/late/route/z", `{"hosts":["z.org"],"pool":"late"}`))
	if b.appliedChanges.pools["p"] != before || b.poolFor("x.org") != "r" || b.poolFor("y.org") != "p" || b.Rejected() != 3 {
		t.Errorf("x.org is routed to %q, y.org to %q, %d records are rejected, want r, p and 3; errors: %v", b.poolFor("x.org"), b.poolFor("y.org"), b.Rejected(), errs)
	}
	if errs := b.apply(record("pool/late", poolP)); len(errs) != 0 || b.poolFor("y.org") != "late" || b.Rejected() != 2 {
		t.Errorf("with the pool, y.org is routed to %q, %d records are rejected, want late and 2; errors: %v", b.poolFor("y.org"), b.Rejected(), errs)
	}
	if errs := b.apply(record("service/late", `{}`)); len(errs) != 0 || b.poolFor("z.org") != "late" || b.Rejected() != 1 {
		t.Errorf("with the service, z.org is routed to %q, %d records are rejected, want late and 1; errors: %v", b.poolFor("z.org"), b.Rejected(), errs)
	}
	// The deletion of a pool that a route leads to is applied only once the route is deleted.
	if errs := b.apply(configlog.Record{Key: "pool/r"}); len(errs) != 1 || b.poolFor("x.org") != "r" {
		t.Errorf("a pool in use is deleted, or its deletion is not one error: %v", errs)
	}
	if errs := b.apply(configlog.Record{Key: "service/s/route/x"}); len(errs) != 0 || b.appliedChanges.pools["r"] != nil || b.Rejected() != 1 {
		t.Errorf("the pool is not deleted after its route: %v", errs)
	}
	if errs := b.apply(record("pool/p", poolP)); len(errs) != 0 || b.Rejected() != 0 || len(b.dependents) != 0 {
		t.Errorf("%d records are rejected and %d have dependents, want none; errors: %v", b.Rejected(), len(b.dependents), errs)
	}
}

// TestPostponedChangesAreRetried makes updates whose changes the node cannot use: the updates leave the configuration
// unchanged, other updates are applied, and the postponed changes are applied once the node can use them.
func TestPostponedChangesAreRetried(t *testing.T) {
	t.Parallel()
	b := newTrackedAssembly(t, twoPools)
	full, errNoRoom := true, errors.New("no room")
	use := func(d Changes) error {
		if full && d.PoolCount > 2 {
			return errNoRoom
		}
		return b.use(d)
	}
	update := func(all ...configlog.Record) error {
		errs, err := b.Update(configlog.Change{Records: all}, use)
		if len(errs) > 0 {
			t.Fatal(errs)
		}
		return err
	}
	if err := update(record("pool/r", poolP), record("service/s/route/x", `{"hosts":["x.org"],"pool":"r"}`)); !errors.Is(err, errNoRoom) || b.poolFor("x.org") != "p" || b.Rejected() != 2 {
		t.Errorf("the update returned error %v, x.org is routed to %q, %d records are rejected; want errNoRoom, p and 2", err, b.poolFor("x.org"), b.Rejected())
	}
	if err := update(record("service/s/route/y", `{"hosts":["y.org"],"pool":"q"}`)); err != nil || b.poolFor("y.org") != "q" || b.Rejected() != 2 {
		t.Errorf("the update returned error %v, y.org is routed to %q, %d records are rejected; want no error, q and 2", err, b.poolFor("y.org"), b.Rejected())
	}
	if err := update(); err != nil || b.Rejected() != 2 {
		t.Errorf("the update returned error %v, %d records are rejected; want no error and 2", err, b.Rejected())
	}
	full = false
	if err := update(); err != nil || b.poolFor("x.org") != "r" || b.Rejected() != 0 || len(b.postponed) != 0 {
		t.Errorf("the update returned error %v, x.org is routed to %q, %d records are rejected; want no error, r and 0", err, b.poolFor("x.org"), b.Rejected())
	}
	// A complete configuration replaces rejected and postponed records, too.
	full = true
	if err := update(record("pool/t", poolP)); !errors.Is(err, errNoRoom) || b.Rejected() != 1 {
		t.Errorf("the update returned error %v, %d records are rejected; want errNoRoom and 1", err, b.Rejected())
	}
	if errs := b.apply(record("pool/p", `{}`), record("service/late/route/z", `{"pool":"p"}`)); len(errs) != 3 || b.appliedChanges.pools["t"] == nil {
		t.Errorf("the update returned the errors %v, want three and pool t applied", errs)
	}
	if errs, err := b.Replace(slices.Values(recordsOf(t, twoPools)), b.use); err != nil || len(errs) > 0 || b.Rejected() != 0 || len(b.appliedChanges.pools) != 2 || b.poolFor("x.org") != "p" || len(b.dependents) != 0 {
		t.Errorf("Replace returned the errors %v, %v, %d records are rejected, the pools are %v; want no error and two pools", errs, err, b.Rejected(), b.appliedChanges.pools)
	}
}

// TestChangesInAnyOrder applies random changes, valid and invalid: the result equals that of a single change
// with all final records, and no route ever leads to a missing pool or service.
func TestChangesInAnyOrder(t *testing.T) {
	pool := func(classes ...string) string {
		text := `{"servers":["127.0.0.1:1"],"class":[`
		for i, c := range classes {
			if i > 0 {
				text += ","
			}
			text += fmt.Sprintf(`{"name":%q,"repeat":"safe"}`, c)
		}
		return text + "]}"
	}
	values := map[configlog.Key][]string{
		"pool/a": {"", pool("look"), pool("look", "buy"), `{"what":1}`}, "pool/b": {"", pool("look"), pool("buy")},
		"service/s": {"", `{}`, `{"tenant_header":"A"}`, `{"x":1}`}, "service/s/tenant/t": {"", `{"rate":3}`},
		"service/s/route/one": {"", `{"hosts":["one.org"],"pool":"a","as":"buy"}`, `{"hosts":["one.org"],"pool":"b"}`},
		"service/s/route/two": {"", `{"hosts":["two.org"],"pool":"b"}`, `{"hosts":["one.org"],"pool":"b"}`, `{"hosts":["two.org"],"pool":"a"}`},
	}
	var keys []configlog.Key
	for k := range values {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	rapid.Check(t, func(t *rapid.T) {
		assembly, applied := NewAssembly(0, 1), newAppliedChanges()
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			var all []configlog.Record
			for _, k := range rapid.SliceOfNDistinct(rapid.SampledFrom(keys), 1, 4, rapid.ID).Draw(t, "keys") {
				all = append(all, record(k, rapid.SampledFrom(values[k]).Draw(t, "value")))
			}
			if _, err := assembly.Update(configlog.Change{Records: all}, applied.use); err != nil {
				t.Fatal(err)
			}
			if applied.routes == nil {
				continue
			}
			for _, host := range []string{"one.org", "two.org"} {
				m, ok := applied.routes.Match(route.Query{Host: host, Path: "/look", Method: "GET"})
				if !ok {
					continue
				}
				if applied.services[m.Rule.Service] == nil || applied.pools[m.Pool] == nil {
					t.Fatalf("%s is routed to pool %s of service %s, one of which does not exist", host, m.Pool, m.Rule.Service)
				}
				if text := applied.pools[m.Pool].missingClasses(*m.Rule); len(text) > 0 {
					t.Fatalf("%s is routed to %s: %s", host, m.Pool, text)
				}
			}
			if s := applied.services["s"]; s != nil && len(s.Gate.Tenants) > 0 && s.TenantHeader == "" {
				t.Fatal("service has tenants but no tenant header")
			}
		}
		// All final records are valid, and are applied whatever was rejected before.
		last := []configlog.Record{
			record("pool/a", values["pool/a"][2]), record("pool/b", values["pool/b"][1]), record("service/s", `{"tenant_header":"A"}`), record("service/s/tenant/t", `{"rate":3}`),
			record("service/s/route/one", values["service/s/route/one"][1]), record("service/s/route/two", values["service/s/route/two"][1]),
		}
		errs, err := assembly.Update(configlog.Change{Records: last}, applied.use)
		if err != nil || len(errs) > 0 || assembly.Rejected() != 0 || len(assembly.dependents) != 0 {
			t.Fatalf("applying the final records returned the errors %v, %v, %d are rejected and %d have dependents; want none", errs, err, assembly.Rejected(), len(assembly.dependents))
		}
		b, g := NewAssembly(0, 1), newAppliedChanges()
		if _, err := b.Update(configlog.Change{Records: last}, g.use); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(applied.pools, g.pools) || !reflect.DeepEqual(applied.services, g.services) || assembly.totals != b.totals || applied.share != g.share {
			t.Fatalf("the applied configuration is %+v, want %+v", applied, g)
		}
	})
}

// TestUpdateCostsByTheChange counts the allocations of a change of one route and one pool, with 13 and with
// 1,300 services: the numbers are about the same.
func TestUpdateCostsByTheChange(t *testing.T) {
	cost := func(services int) float64 {
		b := newSizedAssembly(t, bigfile.Size{Services: services, Servers: services, Routes: 4 * services, Tenants: services})
		at := 0
		return testing.AllocsPerRun(20, func() {
			at++
			if errs := b.apply(routeAndPool(at)...); len(errs) > 0 {
				t.Fatal(errs)
			}
		})
	}
	few, most := cost(13), cost(1_300)
	if most > 1.5*few {
		t.Errorf("a change needs %v allocations with 13 services and %v with 1,300", few, most)
	}
}

// routeAndPool returns records that change one route and the servers of one pool, differently for each revision.
func routeAndPool(at int) []configlog.Record {
	return []configlog.Record{
		record("service/service-3/route/mine", fmt.Sprintf(`{"hosts":["service-3.example.org"],"path":"/mine-%d","as":"look","pool":"pool-3"}`, at)),
		record("pool/pool-3", fmt.Sprintf(`{"servers":["127.0.0.1:%d"],"class":[{"name":"look","repeat":"safe"}]}`, 1+at%1000)),
	}
}

// newSizedAssembly returns a trackedAssembly with a configuration of a size.
func newSizedAssembly(t testing.TB, size bigfile.Size) *trackedAssembly {
	t.Helper()
	var text bytes.Buffer
	if err := size.Write(&text, "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	return newTrackedAssembly(t, text.String())
}

// BenchmarkUpdate measures a change of one route and of the servers of one pool.
func BenchmarkUpdate(b *testing.B) {
	for _, services := range []int{13, 130, 650, 1_300} {
		b.Run(fmt.Sprint(services), func(b *testing.B) {
			assembly := newSizedAssembly(b, bigfile.Full.DividedBy(bigfile.Full.Services/services))
			b.ReportAllocs()
			at := 0
			for b.Loop() {
				at++
				if errs := assembly.apply(routeAndPool(at)...); len(errs) > 0 {
					b.Fatal(errs)
				}
			}
		})
	}
}

// FuzzRecord applies arbitrary records: an invalid record is rejected with errors for its key. Applying a valid
// record twice changes nothing the second time.
func FuzzRecord(f *testing.F) {
	for _, r := range recordsOf(f, twoPools) {
		f.Add(string(r.Key), string(r.Value))
	}
	f.Add("pool/p", `{"server":[null,1,{"address":[]}],"class":{},"share":1e400,"zones":[{}]}`)
	f.Add("service/u/tenant/%2A", "{}{}")
	f.Add("service/u/route/look", "null")
	f.Fuzz(func(t *testing.T, key, value string) {
		b := newTrackedAssembly(t, twoPools)
		r := record(configlog.Key(key), value)
		checked := b.Check(configlog.Change{Records: []configlog.Record{r}})
		errs := b.apply(r)
		if (checked == nil) != (len(errs) == 0) && !strings.Contains(fmt.Sprint(checked), "route is missing") {
			t.Errorf("Check returned %v and Update %v, want errors of both or of neither", checked, errs)
		}
		for _, m := range errs {
			if m.File != key || m.Line != 0 || m.Text == "" {
				t.Errorf("error %+v has another key, a line or no text; want the record's key, no line and a text", m)
			}
		}
		if errs, err := b.Update(configlog.Change{Records: []configlog.Record{r}}, func(Changes) error { return errors.New("unexpected changes") }); err != nil {
			t.Errorf("applying the record again returned the errors %v, %v", errs, err)
		}
	})
}

// TestDeletePoolAfterItsServices deletes services with their routes, and in a later change the pools to which
// the routes led.
func TestDeletePoolAfterItsServices(t *testing.T) {
	t.Parallel()
	b := newTrackedAssembly(t, smallFile)
	var rest, pools []configlog.Record
	for _, r := range recordsOf(t, smallFile) {
		gone := configlog.Record{Key: r.Key}
		if kind, _, _, _ := r.Key.Split(); kind == configlog.Pool {
			pools = append(pools, gone)
		} else {
			rest = append(rest, gone)
		}
	}
	if errs := append(b.apply(rest...), b.apply(pools...)...); len(errs) > 0 || len(b.Assembly.pools) > 0 {
		t.Errorf("%d pools are left, although no route leads to them: %v", len(b.Assembly.pools), errs)
	}
}
