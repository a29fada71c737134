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

// installed is what a node has in force by the changes that it was given.
type installed struct {
	pools    map[string]*Pool
	services map[string]*Service
	routes   *route.Table
	share    float64
}

func newInstalled() *installed {
	return &installed{pools: make(map[string]*Pool), services: make(map[string]*Service)}
}

func (f *installed) use(d Changes) error {
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
		f.share = d.UnnamedShare
	}
	return nil
}

// trackedAssembly is an Assembly whose changes are put in force.
type trackedAssembly struct {
	testing.TB
	*Assembly
	*installed
}

func newTrackedAssembly(t testing.TB, text string) *trackedAssembly {
	t.Helper()
	b := &trackedAssembly{t, NewAssembly(0, 1), newInstalled()}
	if ms := b.apply(recordsOf(t, text)...); len(ms) > 0 {
		t.Fatal(ms)
	}
	return b
}

func recordsOf(t testing.TB, text string) []configlog.Record {
	t.Helper()
	all, err := Records("node.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return all
}

func (b *trackedAssembly) apply(all ...configlog.Record) Errors {
	b.Helper()
	ms, err := b.Update(configlog.Change{Records: all}, b.use)
	if err != nil {
		b.Fatal(err)
	}
	return ms
}

func record(key configlog.Key, value string) configlog.Record {
	return configlog.Record{Key: key, Value: []byte(value)}
}

// poolFor returns the pool to which a host's requests go, "" for none.
func (b *trackedAssembly) poolFor(host string) string {
	m, _ := b.installed.routes.Match(route.Query{Host: host, Path: "/look/1", Method: "GET"})
	return m.Pool
}

// TestRecordsEqualFile splits files into records, puts these in force, and compares that with the
// file read as a whole.
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
		if len(b.installed.pools) != len(want.Pools) || len(b.installed.services) != len(want.Services) {
			t.Errorf("%s: %d pools and %d services", name, len(b.installed.pools), len(b.installed.services))
		}
		for _, p := range want.Pools {
			got := *b.installed.pools[p.Name]
			if got.Share < 0 {
				got.Share = b.share
			}
			if !reflect.DeepEqual(got, p) {
				t.Errorf("%s: pool %s is %+v, want %+v", name, p.Name, got, p)
			}
		}
		for _, s := range want.Services {
			got := *b.installed.services[s.Name]
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
				m, ok := b.installed.routes.Match(route.Query{Host: r.Host, Path: path, Method: r.Method})
				if !ok || m.Rule.Service != s.Name || !reflect.DeepEqual(m.Rule.Targets, r.Targets) || m.Rule.AssignedClass != r.AssignedClass {
					t.Errorf("%s: %+v is matched by %+v", name, r, m.Rule)
				}
			}
		}
		again := recordsOf(t, text)
		if !reflect.DeepEqual(again, recordsOf(t, text)) {
			t.Errorf("%s: the records of one file differ", name)
		}
		if ms, err := b.Replace(slices.Values(again), func(Changes) error { return errors.New("something differs") }); err != nil || len(ms) > 0 {
			t.Errorf("%s: the same records again: %v, %v", name, ms, err)
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

// TestCheckReportsAllMistakes checks changes with mistakes: all are reported at once, with record
// and field, and nothing is put in force.
func TestCheckReportsAllMistakes(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name    string
		records []configlog.Record
		want    []string // each in a mistake of its own, in this order
	}{
		{"by themselves", []configlog.Record{
			record("pool/p", `{"share":3,"shar":1,"servers":["here"],"class":[{"name":"look","repeat":"safe","aim":"2"}]}`),
			record("service/s", `{"rate":"many","route":[]}`), record("service/s/route/x", `{"hosts":["s.org"],"path":"a","pool":"p"}`),
			record("service/u/tenant/%2A", `{"weight":0}`), record("pool/other", `{"name":"another","servers":["127.0.0.1:9"],"class":[{"name":"look","repeat":"safe"}]}`), record("pool/text", `[]`), record("tool/p", `{}`),
		}, []string{
			`pool/other: name is "another": want the name that the record's key has`,
			`pool/p: class[0].aim is "2": want a time`, `pool/p: servers is "here"`, `pool/p: servers is missing`, `pool/p: shar is no key of this table: did you mean share?`, `pool/p: share is 3: want a number from 0 to 1`,
			`pool/text: want one JSON object`, `service/s: rate is "many"`, `service/s: route is no key of this table`, `service/s/route/x: path is "a"`, `service/u/tenant/%2A: weight is 0`, `tool/p: the change cannot be used: "tool/p" is no key`,
		}},
		{"a pool that is not there", []configlog.Record{record("service/s/route/x", `{"hosts":["s.org"],"pool":"none"}`)}, []string{`service/s/route/x: pool "none" is no pool`}},
		{"a class that is not there", []configlog.Record{record("service/s/route/x", `{"hosts":["s.org"],"pool":"p","as":"buy"}`)}, []string{`service/s/route/x: pool "p" has no class "buy"`}},
		{"a class that goes", []configlog.Record{record("pool/q", poolP)}, []string{`pool/q: class does not go with service/u/route/all: "q" has no class "buy"`}},
		{"a pool that goes", []configlog.Record{{Key: "pool/q"}}, []string{`pool/q: is to be deleted, and service/u/route/all leads to it`}},
		{"the same match", []configlog.Record{record("service/s/route/x", `{"hosts":["u.org"],"pool":"p"}`)}, []string{`service/s/route/x: matches the same as the route at service/u/route/look`}},
		{"the same match twice", []configlog.Record{record("service/s/route/x", `{"hosts":["v.org"],"pool":"p"}`), record("service/s/route/y", `{"hosts":["v.org"],"pool":"p"}`)}, []string{`service/s/route/y: matches the same as the route at service/s/route/x`}},
		{"shares", []configlog.Record{record("pool/p", strings.Replace(poolP, "{", `{"share":0.8,`, 1))}, []string{`pool/p: share is 0.8: all pools' shares add up to 1.05`}},
		{"tenants without header", []configlog.Record{record("service/u", `{}`), record("service/s/tenant/a", `{}`)}, []string{`service/s/tenant/a: is in a service whose tenant_header is missing`, `service/u: tenant_header is missing`}},
		{"no route", []configlog.Record{record("service/new", `{}`)}, []string{`service/new: route is missing`}},
		{"a service that is not there", []configlog.Record{record("service/new/route/x", `{"pool":"p","hosts":["x.org"]}`)}, []string{`service/new/route/x: is not allowed without service/new`}},
		{"parts that stay", []configlog.Record{{Key: "service/u"}, {Key: "service/u/tenant/%2A"}}, []string{`service/u: is to be deleted, and service/u/route/`}},
		{"what follows from another's mistake", []configlog.Record{record("pool/new", `{}`), record("service/s/route/x", `{"hosts":["s.org"],"pool":"new"}`)}, []string{`pool/new: class is missing`, `pool/new: servers is missing`}},
		{"nothing", []configlog.Record{
			record("pool/new", poolP), record("service/new", `{}`), record("service/new/route/x", `{"hosts":["new.org"],"pools":[{"name":"new","weight":2},{"name":"p"}]}`),
			{Key: "pool/q"}, {Key: "service/u"}, {Key: "service/u/route/all"}, {Key: "service/u/route/look"}, {Key: "service/u/tenant/%2A"},
		}, nil},
	} {
		b := newTrackedAssembly(t, twoPools)
		routes, pool := b.installed.routes, b.installed.pools["p"]
		err := b.Check(configlog.Change{Records: c.records})
		var got Errors
		errors.As(err, &got)
		ok := len(got) == len(c.want)
		for i := 0; ok && i < len(got); i++ {
			ok = strings.HasPrefix(got[i].Error(), c.want[i])
		}
		if !ok {
			t.Errorf("%s: got\n%v\nwant\n%s", c.name, err, strings.Join(c.want, "\n"))
		}
		if b.installed.routes != routes || b.installed.pools["p"] != pool || len(b.installed.pools) != 2 || len(b.installed.services) != 2 || b.Rejected() != 0 || len(b.Assembly.pools) != 2 {
			t.Errorf("%s: the check has put something in force", c.name)
		}
	}
}

// TestRejectedRecordStopsNoOthers puts a change in force with a record that cannot be used: that
// one stays as it was, the others are in force, and the record itself is as soon as the other
// record that it needs is there.
func TestRejectedRecordStopsNoOthers(t *testing.T) {
	t.Parallel()
	b := newTrackedAssembly(t, twoPools)
	was := b.installed.pools["p"]
	ms := b.apply(record("pool/p", `{"of":"another version"}`), record("pool/r", poolP), record("service/s/route/x", `{"hosts":["x.org"],"pool":"r"}`),
		record("service/s/route/y", `{"hosts":["y.org"],"pool":"late"}`), record("service/late/route/z", `{"hosts":["z.org"],"pool":"late"}`))
	if b.installed.pools["p"] != was || b.poolFor("x.org") != "r" || b.poolFor("y.org") != "p" || b.Rejected() != 3 {
		t.Errorf("x.org to %q, y.org to %q, %d refused: %v", b.poolFor("x.org"), b.poolFor("y.org"), b.Rejected(), ms)
	}
	if ms := b.apply(record("pool/late", poolP)); len(ms) != 0 || b.poolFor("y.org") != "late" || b.Rejected() != 2 {
		t.Errorf("with the pool y.org goes to %q, %d refused: %v", b.poolFor("y.org"), b.Rejected(), ms)
	}
	if ms := b.apply(record("service/late", `{}`)); len(ms) != 0 || b.poolFor("z.org") != "late" || b.Rejected() != 1 {
		t.Errorf("with the service z.org goes to %q, %d refused: %v", b.poolFor("z.org"), b.Rejected(), ms)
	}
	// A pool that a route leads to stays until the route is gone, and goes then.
	if ms := b.apply(configlog.Record{Key: "pool/r"}); len(ms) != 1 || b.poolFor("x.org") != "r" {
		t.Errorf("a pool in use goes: %v", ms)
	}
	if ms := b.apply(configlog.Record{Key: "service/s/route/x"}); len(ms) != 0 || b.installed.pools["r"] != nil || b.Rejected() != 1 {
		t.Errorf("a pool that is to go stays: %v", ms)
	}
	if ms := b.apply(record("pool/p", poolP)); len(ms) != 0 || b.Rejected() != 0 || len(b.waiting) != 0 {
		t.Errorf("%d refused, %d needed by others: %v", b.Rejected(), len(b.waiting), ms)
	}
}

// TestUnusedChangesAreRetried has changes that the node cannot use: everything stays as it was, other
// records are put in force, and the changes are as soon as they can be used.
func TestUnusedChangesAreRetried(t *testing.T) {
	t.Parallel()
	b := newTrackedAssembly(t, twoPools)
	full, no := true, errors.New("no room")
	use := func(d Changes) error {
		if full && d.PoolCount > 2 {
			return no
		}
		return b.use(d)
	}
	update := func(all ...configlog.Record) error {
		ms, err := b.Update(configlog.Change{Records: all}, use)
		if len(ms) > 0 {
			t.Fatal(ms)
		}
		return err
	}
	if err := update(record("pool/r", poolP), record("service/s/route/x", `{"hosts":["x.org"],"pool":"r"}`)); !errors.Is(err, no) || b.poolFor("x.org") != "p" || b.Rejected() != 2 {
		t.Errorf("%v, x.org to %q, %d refused", err, b.poolFor("x.org"), b.Rejected())
	}
	if err := update(record("service/s/route/y", `{"hosts":["y.org"],"pool":"q"}`)); err != nil || b.poolFor("y.org") != "q" || b.Rejected() != 2 {
		t.Errorf("%v, y.org to %q, %d refused", err, b.poolFor("y.org"), b.Rejected())
	}
	if err := update(); err != nil || b.Rejected() != 2 {
		t.Errorf("%v, %d refused", err, b.Rejected())
	}
	full = false
	if err := update(); err != nil || b.poolFor("x.org") != "r" || b.Rejected() != 0 || len(b.unused) != 0 {
		t.Errorf("%v, x.org to %q, %d refused", err, b.poolFor("x.org"), b.Rejected())
	}
	// A whole configuration takes the place of what was refused, too.
	full = true
	if err := update(record("pool/t", poolP)); !errors.Is(err, no) || b.Rejected() != 1 {
		t.Errorf("%v, %d refused", err, b.Rejected())
	}
	if ms := b.apply(record("pool/p", `{}`), record("service/late/route/z", `{"pool":"p"}`)); len(ms) != 3 || b.installed.pools["t"] == nil {
		t.Errorf("got %v", ms)
	}
	if ms, err := b.Replace(slices.Values(recordsOf(t, twoPools)), b.use); err != nil || len(ms) > 0 || b.Rejected() != 0 || len(b.installed.pools) != 2 || b.poolFor("x.org") != "p" || len(b.waiting) != 0 {
		t.Errorf("%v, %v, %d refused, pools %v", ms, err, b.Rejected(), b.installed.pools)
	}
}

// TestChangesInAnyOrder applies random changes, valid and invalid: the result equals that of one
// change with all records that are there in the end, and never has a route that leads nowhere.
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
		a, f := NewAssembly(0, 1), newInstalled()
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			var all []configlog.Record
			for _, k := range rapid.SliceOfNDistinct(rapid.SampledFrom(keys), 1, 4, rapid.ID).Draw(t, "keys") {
				all = append(all, record(k, rapid.SampledFrom(values[k]).Draw(t, "value")))
			}
			if _, err := a.Update(configlog.Change{Records: all}, f.use); err != nil {
				t.Fatal(err)
			}
			if f.routes == nil {
				continue
			}
			for _, host := range []string{"one.org", "two.org"} {
				m, ok := f.routes.Match(route.Query{Host: host, Path: "/look", Method: "GET"})
				if !ok {
					continue
				}
				if f.services[m.Rule.Service] == nil || f.pools[m.Pool] == nil {
					t.Fatalf("%s goes to %s of %s, which is not there", host, m.Pool, m.Rule.Service)
				}
				if text := f.pools[m.Pool].missingClasses(*m.Rule); len(text) > 0 {
					t.Fatalf("%s goes to %s, which %s", host, m.Pool, text)
				}
			}
			if s := f.services["s"]; s != nil && len(s.Gate.Tenants) > 0 && s.TenantHeader == "" {
				t.Fatal("tenants without a header that names them")
			}
		}
		// In the end all is well, and in force whatever was refused before.
		last := []configlog.Record{
			record("pool/a", values["pool/a"][2]), record("pool/b", values["pool/b"][1]), record("service/s", `{"tenant_header":"A"}`), record("service/s/tenant/t", `{"rate":3}`),
			record("service/s/route/one", values["service/s/route/one"][1]), record("service/s/route/two", values["service/s/route/two"][1]),
		}
		ms, err := a.Update(configlog.Change{Records: last}, f.use)
		if err != nil || len(ms) > 0 || a.Rejected() != 0 || len(a.waiting) != 0 {
			t.Fatalf("%v, %v, %d refused, %d needed by others", ms, err, a.Rejected(), len(a.waiting))
		}
		b, g := NewAssembly(0, 1), newInstalled()
		if _, err := b.Update(configlog.Change{Records: last}, g.use); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(f.pools, g.pools) || !reflect.DeepEqual(f.services, g.services) || a.totals != b.totals || f.share != g.share {
			t.Fatalf("got %+v, want %+v", f, g)
		}
	})
}

// TestUpdateCostsByTheChange counts the allocations of a change of one route and one pool, among 13
// and 1,300 services: they are about the same.
func TestUpdateCostsByTheChange(t *testing.T) {
	cost := func(services int) float64 {
		b := newSizedAssembly(t, bigfile.Size{Services: services, Servers: services, Routes: 4 * services, Tenants: services})
		at := 0
		return testing.AllocsPerRun(20, func() {
			at++
			if ms := b.apply(routeAndPool(at)...); len(ms) > 0 {
				t.Fatal(ms)
			}
		})
	}
	few, most := cost(13), cost(1_300)
	if most > 1.5*few {
		t.Errorf("a change takes %v allocations among 13 services and %v among 1,300", few, most)
	}
}

func routeAndPool(at int) []configlog.Record {
	return []configlog.Record{
		record("service/service-3/route/mine", fmt.Sprintf(`{"hosts":["service-3.example.org"],"path":"/mine-%d","as":"look","pool":"pool-3"}`, at)),
		record("pool/pool-3", fmt.Sprintf(`{"servers":["127.0.0.1:%d"],"class":[{"name":"look","repeat":"safe"}]}`, 1+at%1000)),
	}
}

// newSizedAssembly returns one with a configuration of a size.
func newSizedAssembly(t testing.TB, size bigfile.Size) *trackedAssembly {
	t.Helper()
	var text bytes.Buffer
	if err := size.Write(&text, "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	return newTrackedAssembly(t, text.String())
}

// BenchmarkUpdate is the change of one route and of the servers of one pool.
func BenchmarkUpdate(b *testing.B) {
	for _, services := range []int{13, 130, 650, 1_300} {
		b.Run(fmt.Sprint(services), func(b *testing.B) {
			bed := newSizedAssembly(b, bigfile.Full.DividedBy(bigfile.Full.Services/services))
			b.ReportAllocs()
			at := 0
			for b.Loop() {
				at++
				if ms := bed.apply(routeAndPool(at)...); len(ms) > 0 {
					b.Fatal(ms)
				}
			}
		})
	}
}

// FuzzRecord puts any record in force: at worst it is rejected, with mistakes under its key. An
// accepted one changes nothing the second time.
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
		ms := b.apply(r)
		if (checked == nil) != (len(ms) == 0) && !strings.Contains(fmt.Sprint(checked), "route is missing") {
			t.Errorf("checked: %v; put: %v", checked, ms)
		}
		for _, m := range ms {
			if m.File != key || m.Line != 0 || m.Text == "" {
				t.Errorf("mistake %+v", m)
			}
		}
		if ms, err := b.Update(configlog.Change{Records: []configlog.Record{r}}, func(Changes) error { return errors.New("it differs from itself") }); err != nil {
			t.Errorf("again: %v, %v", ms, err)
		}
	})
}

// TestDeletePoolAfterItsServices deletes services with their routes, and in a later change the
// pools that the routes led to.
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
	if ms := append(b.apply(rest...), b.apply(pools...)...); len(ms) > 0 || len(b.Assembly.pools) > 0 {
		t.Errorf("%d pools are left, though no route leads to them: %v", len(b.Assembly.pools), ms)
	}
}
