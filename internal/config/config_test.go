package config

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/mtls"
	"jasperpin/internal/route"
)

func exampleFile(t testing.TB) string {
	t.Helper()
	text, err := os.ReadFile("../../deploy/jasperpin.toml")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// TestExample reads the documented example.
func TestExample(t *testing.T) {
	c, err := Parse("jasperpin.toml", []byte(exampleFile(t)))
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "edge-1" || len(c.Listen) != 1 || c.Limits.Memory != 256<<20 || c.Limits.Descriptors != 1024 {
		t.Errorf("node: %+v", c)
	}
	if len(c.Pools) != 3 || len(c.Services) != 2 {
		t.Fatalf("%d pools, %d services", len(c.Pools), len(c.Services))
	}
	orders, next := c.Pools[0], c.Pools[2]
	if orders.PlainHTTP || orders.Share != 0.4 || orders.Discovery != "127.0.0.1:8500" || !orders.Settings.PollDiscovery {
		t.Errorf("orders: %+v", orders)
	}
	if got := orders.Settings; got.SlowStartShare != 0.13 || got.SlowStartWindow != 23*time.Second || got.MaxRetryAfter != 2*time.Second {
		t.Errorf("orders: %+v", got)
	}
	if got := orders.Settings.Classes[orders.Classes["order"]]; got.Idempotency != decide.IdempotentWithKey || got.DedupWindow != 12*time.Second || got.PriorityWeight != 5 {
		t.Errorf("order: %+v", got)
	}
	if got := orders.Settings.Classes[orders.Classes["credit"]]; got.Idempotency != decide.NotIdempotent || got.LatencyObjective != 2500*time.Millisecond {
		t.Errorf("credit: %+v", got)
	}
	if !next.PlainHTTP || next.Servers[1].State != decide.Draining || next.Servers[0].Capacity != 2 || next.Share != 0.25 {
		t.Errorf("stock-next: %+v", next)
	}
	if rule, ok := orders.Keys["credit"]; !ok || rule.Class.Retention != 24*time.Hour || rule.Class.RejectConcurrent || rule.Class.RunWhenFull || len(orders.Keys) != 1 {
		t.Errorf("keys: %+v", orders.Keys)
	}
	table, err := c.Table()
	if err != nil {
		t.Fatal(err)
	}
	m, ok := table.Match(route.Query{Host: "stock.example.org", Path: "/counts/7", Method: "POST"})
	if !ok || m.Pool != "stock" || m.Class != "count" || !strings.HasPrefix(m.Rule.Origin, "jasperpin.toml:") {
		t.Errorf("got %+v", m)
	}
}

// TestExampleFromRelays reads the documented example with its [config] in force, without what then
// comes from relays.
func TestExampleFromRelays(t *testing.T) {
	text, _, _ := strings.Cut(exampleFile(t), "# A service is what clients ask for.")
	at := strings.Index(text, "# [config]")
	if at < 0 {
		t.Fatal("the example has no [config]")
	}
	about, rest, _ := strings.Cut(text[at:], "\n\n")
	c, err := Parse("jasperpin.toml", []byte(text[:at]+strings.ReplaceAll("\n"+about, "\n# ", "\n")+"\n\n"+rest))
	if err != nil {
		t.Fatal(err)
	}
	want := Remote{
		Relays: []Relay{{"relay-1", "127.0.0.1:7810", "a", "north"}, {"127.0.0.1:7811", "127.0.0.1:7811", "b", "north"}},
		Zone:   "a", Region: "north", Directory: "configuration", Files: mtls.Files{Certificate: "config.pem", Key: "config.key", Authorities: "config-ca.pem"},
	}
	if !reflect.DeepEqual(c.Remote, want) || len(c.Pools)+len(c.Services) > 0 {
		t.Errorf("got %+v", c.Remote)
	}
}

const smallFile = `[node]
listen = ["127.0.0.1:0"]
[[service]]
name = "s"
[[service.route]]
pool = "p"
[[pool]]
name = "p"
servers = ["127.0.0.1:1"]
[[pool.class]]
name = "look"
repeat = "safe"
`

// TestMistakes puts one mistake at a time in a valid file: each is reported with its line and what
// was expected.
func TestMistakes(t *testing.T) {
	if _, err := Parse("f", []byte(smallFile)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ was, is, want string }{
		{`listen = ["127.0.0.1:0"]`, `listen = "127.0.0.1:0"`, `f:2: listen is "127.0.0.1:0": want an array`},
		{`listen = ["127.0.0.1:0"]`, `listen = ["somewhere"]`, `f:2: listen is "somewhere": want an address and port`},
		{`listen = ["127.0.0.1:0"]`, `lisen = ["127.0.0.1:0"]`, `f:2: lisen is no key of this table: did you mean listen?`},
		{`listen = ["127.0.0.1:0"]`, ``, `f:1: listen is missing`},
		{`listen = ["127.0.0.1:0"]`, `listen = ["127.0.0.1:0"]` + "\n[limits]\nmemory = \"1XB\"", `f:4: memory is "1XB": want a size with its unit`},
		{`listen = ["127.0.0.1:0"]`, `listen = ["127.0.0.1:0"]` + "\n[limits]\ndescriptors = 3", `f:4: descriptors is 3: want a whole number from 128`},
		{`pool = "p"`, `pool = "q"`, `f:6: pool "q" is no pool of this file: want one of p`},
		{`pool = "p"`, `pools = [{ name = "p", weight = -1 }]`, `f:6: weight is -1: want a whole number from 0`},
		{`pool = "p"`, `pool = "p"` + "\nas = \"page\"", `f:6: pool "p" has no class "page": want one of look`},
		{`pool = "p"`, `pool = "p"` + "\npath = \"look\"", `f:7: path is "look": want a prefix that begins with /`},
		{`pool = "p"`, `pool = "p"` + "\nhosts = [\"A.example.org\"]", `f:5: route: host "A.example.org": want "a.example.org"`},
		{`pool = "p"`, `pool = "p"` + "\n[[service.route]]\npool = \"p\"", `f:7: route: matches the same as the route at f:5`},
		{`servers = ["127.0.0.1:1"]`, ``, `f:7: servers is missing`},
		{`servers = ["127.0.0.1:1"]`, `servers = ["127.0.0.1:1", "127.0.0.1:1"]`, `f:9: servers names 127.0.0.1:1 twice`},
		{`servers = ["127.0.0.1:1"]`, `servers = ["127.0.0.1:1"]` + "\ndiscovery = \"127.0.0.1:2\"", `f:10: discovery is not allowed beside a list of servers`},
		{`servers = ["127.0.0.1:1"]`, `servers = ["127.0.0.1:1"]` + "\nkeepalive = 15", `f:10: keepalive is 15: want a time with its unit`},
		{`servers = ["127.0.0.1:1"]`, `servers = ["127.0.0.1:1"]` + "\nshare = 1.5", `f:10: share is 1.5: want a number from 0 to 1`},
		{`repeat = "safe"`, `repeat = "maybe"`, `f:12: repeat is "maybe": want one of safe, keyed, never`},
		{`repeat = "safe"`, `repeat = "keyed"`, `f:10: remember is missing`},
		{`repeat = "safe"`, `repeat = "safe"` + "\naim = \"9s\"\ndeadline = \"1s\"", `f:13: aim is 9s, longer than the deadline of 1s`},
		{`repeat = "safe"`, `repeat = "safe"` + "\n[[pool]]\nname = \"p\"", `f:14: name "p" is used twice`},
		{`repeat = "safe"`, `repeat = "safe"` + "\n[[service]]\nname = \"s\"", `f:14: name "s" is used twice`},
		{`servers = ["127.0.0.1:1"]`, `servers = ["127.0.0.1:1"]` + "\nqueue = 3", `f:10: queue has nothing to wait for: want concurrent`},
		{`repeat = "safe"`, `repeat = "safe"` + "\n[pool.class.keys]", `f:13: from is not allowed with a class that may be repeated as it is`},
		{`repeat = "safe"`, `repeat = "never"` + "\n[pool.class.keys]\nfull = \"pass\"", `f:14: full is "pass" with a class that must never run twice: want "refuse"`},
		{`repeat = "safe"`, `repeat = "never"` + "\n[pool.class.keys]\nneed = true\nfrom = \"fingerprint\"", `f:14: need is not allowed with fingerprints`},
		{`repeat = "safe"`, `repeat = "never"` + "\n[pool.class.keys]\nkeep = \"1ms\"", `f:14: keep is "1ms": want a time with its unit`},
		{`repeat = "safe"`, `repeat = "safe"` + "\n[keys]\nmemory = \"100MB\"", `f:14: memory is more than a quarter of limits.memory: want 64MB at the most`},
		{`repeat = "safe"`, `repeat = "safe"` + "\n[keys]\nlong_answer = \"64GB\"", `want a size with its unit (B, KB, MB or GB) from "0B" to "32MB"`},
		{`repeat = "safe"`, `repeat = "safe"` + "\n[limits]\nmemory = \"32MB\"\ndescriptors = 4096", `f:14: memory is too little for 4096 descriptors: want 132MB`},
		{`[node]`, "[members]\nseeds = [\"127.0.0.1:1\"]\n[node]", `f:1: listen is missing`},
		{`[node]`, "[members]\nlisten = \"0.0.0.0:1\"\nseeds = [\"127.0.0.1:1\"]\n[node]\nname = \"a\"", `f:1: advertise is missing`},
		{`[node]`, "[members]\nlisten = \"127.0.0.1:1\"\nfirst = true\n[node]\nname = \"a\"", `f:1: folder is missing`},
		{`[node]`, "[members]\nlisten = \"127.0.0.1:1\"\nkeys = [\"abc\"]\n[node]\nname = \"a\"", `f:3: keys is "abc": want 16, 24 or 32 bytes in base64`},
		{`[node]`, "[members]\nlisten = \"127.0.0.1:1\"\ngroup = true\n[node]\nname = \"a\"", `f:3: group is not allowed without a group`},
		{`[node]`, "[members]\nlisten = \"127.0.0.1:1\"\ngone = \"1s\"\n[node]\nname = \"a\"", `f:3: gone is 1s: want 10s at the least`},
		{`[node]`, "[members]\nlisten = \"127.0.0.1:1\"\n[node]\nname = \"a\"\nnodes = 3", `f:5: nodes is not allowed beside [members]`},
		{`[node]`, "[members]\nlisten = \"127.0.0.1:1\"\n[node]", `f:2: listen is not allowed with a node that has no name`},
		{`[node]`, "[config]\n[node]\nname = \"a\"", `f:1: relay is missing`},
		{`[node]`, "[config]\nzone = 3\n[[config.relay]]\naddress = \"127.0.0.1:1\"\n[node]\nname = \"a\"", `f:2: zone is 3: want the name of a place, in quotes`},
		{`[node]`, "[config]\n[[config.relay]]\nzone = \"a\"\n[node]\nname = \"a\"", `f:2: address is missing`},
		{`[node]`, "[config]\n[[config.relay]]\naddress = \"127.0.0.1:1\"\n[[config.relay]]\naddress = \"127.0.0.1:1\"\n[node]\nname = \"a\"", `f:4: name "127.0.0.1:1" names two relays`},
		{`[node]`, "[config]\n[[config.relay]]\naddress = \"127.0.0.1:1\"\n[node]\nname = \"a\"", `f:7: service is not allowed beside [config]`},
		{`[node]`, "[config]\n[[config.relay]]\naddress = \"127.0.0.1:1\"\n[node]\nname = \"a\"", `f:11: pool is not allowed beside [config]`},
		{`[node]`, "[config]\n[[config.relay]]\naddress = \"127.0.0.1:1\"\n[node]", `f:2: relay is not allowed with a node that has no name`},
		{`[node]`, "[config]\n[[config.relay]]\naddress = \"127.0.0.1:1\"\n[node]\nname = \"a\"\nrole = \"planner\"", `f:2: relay is not allowed with a planner`},
		{`pool = "p"`, "name = \"a\"\npool = \"p\"\n[[service.route]]\nname = \"a\"\nhosts = [\"a.org\"]\npool = \"p\"", `f:9: name "a" is used twice in one service`},
		{`repeat = "safe"`, `repeat = `, `f:12: not TOML`},
		{`repeat = "safe"`, `repeat = "safe"` + "\nrepeat = \"safe\"", `not TOML`},
	} {
		_, err := Parse("f", []byte(strings.Replace(smallFile, c.was, c.is, 1)))
		if ms := (Errors)(nil); !errors.As(err, &ms) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s:\n got %v\nwant %s", c.is, err, c.want)
		}
	}
}

// TestForwarderAndPlannerFiles reads the documented files of a tier, whose ends have to fit
// together.
func TestForwarderAndPlannerFiles(t *testing.T) {
	forwarder, err := Load("../../deploy/tier/forwarder.toml")
	if err != nil {
		t.Fatal(err)
	}
	planner, err := Load("../../deploy/tier/planner.toml")
	if err != nil {
		t.Fatal(err)
	}
	if forwarder.Role != Forwarder || len(forwarder.Planning.Planners) != 2 || forwarder.Planning.Files.Key != "../../deploy/tier/forwarder.key" {
		t.Errorf("forwarder: %+v", forwarder.Planning)
	}
	if planner.Role != Planner || !slices.Contains(forwarder.Planning.Planners, planner.Planning.Listen[0]) || len(planner.Listen) > 0 {
		t.Errorf("planner: %+v", planner.Planning)
	}
	a, b := forwarder.Pools[0].ClassNames(), planner.Pools[0].ClassNames()
	if !slices.Equal(a, b) || !slices.Equal(a, []string{"look", "credit"}) {
		t.Errorf("classes %q and %q", a, b)
	}
}

// TestRoleMistakes puts in the files of a tier what does not go with a role: each mistake is
// reported.
func TestRoleMistakes(t *testing.T) {
	read := func(name string) string {
		text, err := os.ReadFile("../../deploy/tier/" + name + ".toml")
		if err != nil {
			t.Fatal(err)
		}
		return string(text)
	}
	for _, c := range []struct{ file, was, is, want string }{
		{"planner", "role = \"planner\"", "role = \"node\"", "planning is not allowed with the role \"node\""},
		{"planner", "role = \"planner\"", "role = \"boss\"", "role is \"boss\": want one of node, forwarder, planner"},
		{"planner", "role = \"planner\"", "role = \"planner\"\nlisten = [\"127.0.0.1:1\"]", "listen is not allowed with a planner"},
		{"planner", "role = \"planner\"", "role = \"forwarder\"\nlisten = [\"127.0.0.1:1\"]", "listen is not a forwarder's: want planners"},
		{"forwarder", "name = \"forwarder-a1\"", "", "name is missing: want one that no other forwarder"},
		{"planner", "key = \"planner.key\"", "", "key is missing"},
		{"planner", "listen = [\"127.0.0.1:7700\"]", "listen = [\"nowhere\"]", "listen is \"nowhere\""},
		{"planner", "[[pool]]", "[[service]]\nname = \"s\"\n[[service.route]]\npool = \"orders\"\n[[pool]]", "service is not allowed with a planner"},
		{"forwarder", "[planning]", "[plans]", "planning is missing: a forwarder wants [planning]"},
		{"forwarder", "planners = [", "listen = [\"127.0.0.1:1\"]\nplanners = [", "listen is not a forwarder's"},
		{"forwarder", "planners = [", "planners = [\"127.0.0.1:1\", \"127.0.0.1:2\", \"127.0.0.1:3\", \"127.0.0.1:4\", \"127.0.0.1:5\", \"127.0.0.1:6\", \"127.0.0.1:8\", ", "planners has 9 entries: want 8"},
	} {
		text := read(c.file)
		if !strings.Contains(text, c.was) {
			t.Fatalf("%s has no %q", c.file, c.was)
		}
		_, err := Parse("f", []byte(strings.Replace(text, c.was, c.is, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s with %s:\n got %v\nwant %s", c.file, c.is, err, c.want)
		}
	}
}

// TestAllMistakesAtOnce reports every mistake of a file, in the order of lines.
func TestAllMistakesAtOnce(t *testing.T) {
	text := strings.NewReplacer(`"127.0.0.1:0"`, `7`, `pool = "p"`, `pool = "q"`, `"127.0.0.1:1"`, `"x"`, `"safe"`, `"maybe"`).Replace(smallFile)
	_, err := Parse("f", []byte(text))
	ms := (Errors)(nil)
	if !errors.As(err, &ms) {
		t.Fatal(err)
	}
	at := 0
	for _, line := range []int{2, 6, 9, 12} {
		found := false
		for ; at < len(ms) && !found; at++ {
			found = ms[at].Line == line
		}
		if !found {
			t.Errorf("line %d is not among, or not in order: %v", line, err)
		}
	}
}

// TestShares gives pools without a share an equal part of half the limits, or of what is left.
func TestShares(t *testing.T) {
	pool := func(name, share string) string {
		return fmt.Sprintf("[[pool]]\nname = %q\nservers = [\"127.0.0.1:1\"]\n%s\n[[pool.class]]\nname = \"look\"\nrepeat = \"safe\"\n", name, share)
	}
	c, err := Parse("f", []byte(smallFile+pool("a", "share = 0.8")+pool("b", "")))
	if err != nil {
		t.Fatal(err)
	}
	g := make(map[string]int)
	for _, p := range c.Pools {
		g[p.Name] = p.GuaranteedUnits(100, 0)
	}
	if g["a"] != 80 || g["b"] != 10 || g["p"] != 10 {
		t.Errorf("got %v", g)
	}
	if _, err := Parse("f", []byte(smallFile+pool("a", "share = 0.8")+pool("b", "share = 0.3"))); err == nil {
		t.Error("shares over the whole pass")
	}
}

// FuzzParse parses any file: each mistake has a line within the file, and a valid file has a route
// table and guarantees that fit. Documents of it read as the whole of it does.
func FuzzParse(f *testing.F) {
	f.Add(smallFile)
	f.Add(exampleFile(f))
	f.Add("[node]\nlisten = 3\n[[pool]]\n[[pool.class]]\n[service]\n")
	for _, name := range []string{"forwarder", "planner"} {
		text, err := os.ReadFile("../../deploy/tier/" + name + ".toml")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(string(text))
	}
	f.Add("a.b = 1\n[a.b.c]\n[[x]]\n[[x.y]]\n[x.y.z]\nq = [{r = [1, {s = 2}]}]")
	f.Fuzz(func(t *testing.T, text string) {
		sameAsWhole(t, []byte(text))
		c, err := Parse("f", []byte(text))
		if err != nil {
			mistakes := (Errors)(nil)
			if !errors.As(err, &mistakes) {
				t.Fatalf("an error that is no Errors: %v", err)
			}
			for _, m := range mistakes {
				if m.Line < 0 || m.Line > strings.Count(text, "\n")+1 || m.Text == "" {
					t.Errorf("mistake %+v in %d lines", m, strings.Count(text, "\n")+1)
				}
			}
			return
		}
		if _, err := c.Table(); err != nil {
			t.Errorf("no table: %v", err)
		}
		sum := 0
		for _, p := range c.Pools {
			n := p.GuaranteedUnits(1000, 0)
			sum += n
		}
		if sum > 1000 {
			t.Errorf("guarantees of %d in 1000", sum)
		}
	})
}

// TestNodesHaveDifferentSeeds gives nodes that differ in nothing but their name or number different
// seeds, and a file the same one each time.
func TestNodesHaveDifferentSeeds(t *testing.T) {
	seeds := make(map[uint64]bool)
	files := []string{"", "number = 1", "number = 2", "name = \"b\"", "name = \"b\"\nnumber = 1", "seed = 1"}
	for range 2 {
		for _, f := range files {
			text := "[node]\nlisten = [\"127.0.0.1:0\"]\nnodes = 3\n" + f + "\n[[service]]\nname = \"s\"\n[[service.route]]\npool = \"p\"\n" +
				"[[pool]]\nname = \"p\"\nservers = [\"127.0.0.1:1\"]\n[[pool.class]]\nname = \"look\"\nrepeat = \"safe\"\naim = \"1s\"\ndeadline = \"2s\"\n"
			c, err := Parse("f", []byte(text))
			if err != nil {
				t.Fatal(err)
			}
			seeds[c.Seed] = true
		}
	}
	if len(seeds) != len(files) {
		t.Errorf("%d seeds of %d nodes", len(seeds), len(files))
	}
}
