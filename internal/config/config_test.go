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

// TestExample reads the documented example file.
func TestExample(t *testing.T) {
	config, err := Parse("jasperpin.toml", []byte(exampleFile(t)))
	if err != nil {
		t.Fatal(err)
	}
	if config.Name != "edge-1" || len(config.Listen) != 1 || config.Limits.Memory != 256<<20 || config.Limits.Descriptors != 1024 {
		t.Errorf("the example's node is %+v, want edge-1 with one address, 256 MiB and 1024 descriptors", config)
	}
	if len(config.Pools) != 3 || len(config.Services) != 2 {
		t.Fatalf("the example has %d pools and %d services, want 3 and 2", len(config.Pools), len(config.Services))
	}
	orders, next := config.Pools[0], config.Pools[2]
	if orders.PlainHTTP || orders.Share != 0.4 || orders.Discovery != "127.0.0.1:8500" || !orders.Settings.PollDiscovery {
		t.Errorf("pool orders is %+v, want the share and discovery of the example", orders)
	}
	if got := orders.Settings; got.SlowStartShare != 0.13 || got.SlowStartWindow != 23*time.Second || got.MaxRetryAfter != 2*time.Second {
		t.Errorf("the settings of pool orders are %+v, want those of the example", got)
	}
	if got := orders.Settings.Classes[orders.Classes["order"]]; got.Idempotency != decide.IdempotentWithKey || got.DedupWindow != 12*time.Second || got.PriorityWeight != 5 {
		t.Errorf("class order is %+v, want that of the example", got)
	}
	if got := orders.Settings.Classes[orders.Classes["credit"]]; got.Idempotency != decide.NotIdempotent || got.LatencyObjective != 2500*time.Millisecond {
		t.Errorf("class credit is %+v, want that of the example", got)
	}
	if !next.PlainHTTP || next.Servers[1].State != decide.Draining || next.Servers[0].Capacity != 2 || next.Share != 0.25 {
		t.Errorf("pool stock-next is %+v, want that of the example", next)
	}
	if rule, ok := orders.Keys["credit"]; !ok || rule.Class.Retention != 24*time.Hour || rule.Class.RejectConcurrent || rule.Class.RunWhenFull || len(orders.Keys) != 1 {
		t.Errorf("the key rules are %+v, want one for class credit", orders.Keys)
	}
	table, err := config.Table()
	if err != nil {
		t.Fatal(err)
	}
	m, ok := table.Match(route.Query{Host: "stock.example.org", Path: "/counts/7", Method: "POST"})
	if !ok || m.Pool != "stock" || m.Class != "count" || !strings.HasPrefix(m.Rule.Origin, "jasperpin.toml:") {
		t.Errorf("the match is %+v, want pool stock, class count and an origin in jasperpin.toml", m)
	}
}

// TestExampleFromRelays reads the documented example file with its [config] table enabled, and without the
// services and pools, which a node then receives from relays.
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
		t.Errorf("the remote settings are %+v, want those of the file, and no pools or services", c.Remote)
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

// TestMistakes changes a valid file by one error at a time: each is reported with its line and the expected
// value.
func TestMistakes(t *testing.T) {
	if _, err := Parse("f", []byte(smallFile)); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct{ old, replacement, want string }{
		{`listen = ["127.0.0.1:0"]`, `listen = "127.0.0.1:0"`, `f:2: listen is "127.0.0.1:0": want an array`},
		{`listen = ["127.0.0.1:0"]`, `listen = ["somewhere"]`, `f:2: listen is "somewhere": want an address and port`},
		{`listen = ["127.0.0.1:0"]`, `lisen = ["127.0.0.1:0"]`, `f:2: lisen is not a key of this table: did you mean listen?`},
		{`listen = ["127.0.0.1:0"]`, ``, `f:1: listen is missing`},
		{`listen = ["127.0.0.1:0"]`, `listen = ["127.0.0.1:0"]` + "\n[limits]\nmemory = \"1XB\"", `f:4: memory is "1XB": want a size with its unit`},
		{`listen = ["127.0.0.1:0"]`, `listen = ["127.0.0.1:0"]` + "\n[limits]\ndescriptors = 3", `f:4: descriptors is 3: want a whole number from 128`},
		{`pool = "p"`, `pool = "q"`, `f:6: pool "q" is not a pool of this file: want one of p`},
		{`pool = "p"`, `pools = [{ name = "p", weight = -1 }]`, `f:6: weight is -1: want a whole number from 0`},
		{`pool = "p"`, `pool = "p"` + "\nas = \"page\"", `f:6: pool "p" has no class "page": want one of look`},
		{`pool = "p"`, `pool = "p"` + "\npath = \"look\"", `f:7: path is "look": want a prefix that begins with /`},
		{`pool = "p"`, `pool = "p"` + "\nhosts = [\"A.example.org\"]", `f:5: route: host "A.example.org": want "a.example.org"`},
		{`pool = "p"`, `pool = "p"` + "\n[[service.route]]\npool = \"p\"", `f:7: route: matches the same requests as the route at f:5`},
		{`servers = ["127.0.0.1:1"]`, ``, `f:7: servers is missing`},
		{`servers = ["127.0.0.1:1"]`, `servers = ["127.0.0.1:1", "127.0.0.1:1"]`, `f:9: servers names 127.0.0.1:1 twice`},
		{`servers = ["127.0.0.1:1"]`, `servers = ["127.0.0.1:1"]` + "\ndiscovery = \"127.0.0.1:2\"", `f:10: discovery is not allowed together with a list of servers`},
		{`servers = ["127.0.0.1:1"]`, `servers = ["127.0.0.1:1"]` + "\nkeepalive = 15", `f:10: keepalive is 15: want a time with its unit`},
		{`servers = ["127.0.0.1:1"]`, `servers = ["127.0.0.1:1"]` + "\nshare = 1.5", `f:10: share is 1.5: want a number from 0 to 1`},
		{`repeat = "safe"`, `repeat = "maybe"`, `f:12: repeat is "maybe": want one of safe, keyed, never`},
		{`repeat = "safe"`, `repeat = "keyed"`, `f:10: remember is missing`},
		{`repeat = "safe"`, `repeat = "safe"` + "\naim = \"9s\"\ndeadline = \"1s\"", `f:13: aim is 9s, longer than the deadline of 1s`},
		{`repeat = "safe"`, `repeat = "safe"` + "\n[[pool]]\nname = \"p\"", `f:14: name "p" is used twice`},
		{`repeat = "safe"`, `repeat = "safe"` + "\n[[service]]\nname = \"s\"", `f:14: name "s" is used twice`},
		{`servers = ["127.0.0.1:1"]`, `servers = ["127.0.0.1:1"]` + "\nqueue = 3", `f:10: queue is not allowed without concurrent`},
		{`repeat = "safe"`, `repeat = "safe"` + "\n[pool.class.keys]", `f:13: from is not allowed for a class with repeat = "safe"`},
		{`repeat = "safe"`, `repeat = "never"` + "\n[pool.class.keys]\nfull = \"pass\"", `f:14: full is "pass" for a class with repeat = "never": want "refuse"`},
		{`repeat = "safe"`, `repeat = "never"` + "\n[pool.class.keys]\nneed = true\nfrom = \"fingerprint\"", `f:14: need is not allowed with from = "fingerprint"`},
		{`repeat = "safe"`, `repeat = "never"` + "\n[pool.class.keys]\nkeep = \"1ms\"", `f:14: keep is "1ms": want a time with its unit`},
		{`repeat = "safe"`, `repeat = "safe"` + "\n[keys]\nmemory = \"100MB\"", `f:14: memory is more than a quarter of limits.memory: want at most 64MB`},
		{`repeat = "safe"`, `repeat = "safe"` + "\n[keys]\nlong_answer = \"64GB\"", `want a size with its unit (B, KB, MB or GB) from "0B" to "32MB"`},
		{`repeat = "safe"`, `repeat = "safe"` + "\n[limits]\nmemory = \"32MB\"\ndescriptors = 4096", `f:14: memory is too little for 4096 descriptors: want at least 132MB`},
		{`[node]`, "[members]\nseeds = [\"127.0.0.1:1\"]\n[node]", `f:1: listen is missing`},
		{`[node]`, "[members]\nlisten = \"0.0.0.0:1\"\nseeds = [\"127.0.0.1:1\"]\n[node]\nname = \"a\"", `f:1: advertise is missing`},
		{`[node]`, "[members]\nlisten = \"127.0.0.1:1\"\nfirst = true\n[node]\nname = \"a\"", `f:1: folder is missing`},
		{`[node]`, "[members]\nlisten = \"127.0.0.1:1\"\nkeys = [\"abc\"]\n[node]\nname = \"a\"", `f:3: keys is "abc": want 16, 24 or 32 bytes in base64`},
		{`[node]`, "[members]\nlisten = \"127.0.0.1:1\"\ngroup = true\n[node]\nname = \"a\"", `f:3: group is not allowed without a consensus group`},
		{`[node]`, "[members]\nlisten = \"127.0.0.1:1\"\ngone = \"1s\"\n[node]\nname = \"a\"", `f:3: gone is 1s: want at least 10s`},
		{`[node]`, "[members]\nlisten = \"127.0.0.1:1\"\n[node]\nname = \"a\"\nnodes = 3", `f:5: nodes is not allowed together with [members]`},
		{`[node]`, "[members]\nlisten = \"127.0.0.1:1\"\n[node]", `f:2: listen is not allowed without node.name`},
		{`[node]`, "[config]\n[node]\nname = \"a\"", `f:1: relay is missing`},
		{`[node]`, "[config]\nzone = 3\n[[config.relay]]\naddress = \"127.0.0.1:1\"\n[node]\nname = \"a\"", `f:2: zone is 3: want the name of a zone or region, in quotes`},
		{`[node]`, "[config]\n[[config.relay]]\nzone = \"a\"\n[node]\nname = \"a\"", `f:2: address is missing`},
		{`[node]`, "[config]\n[[config.relay]]\naddress = \"127.0.0.1:1\"\n[[config.relay]]\naddress = \"127.0.0.1:1\"\n[node]\nname = \"a\"", `f:4: name "127.0.0.1:1" is the name of two relays`},
		{`[node]`, "[config]\n[[config.relay]]\naddress = \"127.0.0.1:1\"\n[node]\nname = \"a\"", `f:7: service is not allowed together with [config]`},
		{`[node]`, "[config]\n[[config.relay]]\naddress = \"127.0.0.1:1\"\n[node]\nname = \"a\"", `f:11: pool is not allowed together with [config]`},
		{`[node]`, "[config]\n[[config.relay]]\naddress = \"127.0.0.1:1\"\n[node]", `f:2: relay is not allowed without node.name`},
		{`[node]`, "[config]\n[[config.relay]]\naddress = \"127.0.0.1:1\"\n[node]\nname = \"a\"\nrole = \"planner\"", `f:2: relay is not allowed for a planner`},
		{`pool = "p"`, "name = \"a\"\npool = \"p\"\n[[service.route]]\nname = \"a\"\nhosts = [\"a.org\"]\npool = \"p\"", `f:9: name "a" is used twice in one service`},
		{`repeat = "safe"`, `repeat = `, `f:12: invalid TOML`},
		{`repeat = "safe"`, `repeat = "safe"` + "\nrepeat = \"safe\"", `invalid TOML`},
	} {
		_, err := Parse("f", []byte(strings.Replace(smallFile, test.old, test.replacement, 1)))
		if errs := (Errors)(nil); !errors.As(err, &errs) || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%s:\n got %v\nwant %s", test.replacement, err, test.want)
		}
	}
}

// TestForwarderAndPlannerFiles reads the documented files of a forwarder and a planner, whose addresses and
// classes must match.
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
		t.Errorf("the forwarder's planning is %+v, want two planners and the key of deploy/tier", forwarder.Planning)
	}
	if planner.Role != Planner || !slices.Contains(forwarder.Planning.Planners, planner.Planning.Listen[0]) || len(planner.Listen) > 0 {
		t.Errorf("the planner's planning is %+v, want an address that the forwarder lists and no client addresses", planner.Planning)
	}
	a, b := forwarder.Pools[0].ClassNames(), planner.Pools[0].ClassNames()
	if !slices.Equal(a, b) || !slices.Equal(a, []string{"look", "credit"}) {
		t.Errorf("the classes are %q and %q, want look and credit in both", a, b)
	}
}

// TestRoleMistakes adds values to the files of a forwarder and a planner that are invalid for their role:
// each error is reported.
func TestRoleMistakes(t *testing.T) {
	read := func(name string) string {
		text, err := os.ReadFile("../../deploy/tier/" + name + ".toml")
		if err != nil {
			t.Fatal(err)
		}
		return string(text)
	}
	for _, test := range []struct{ file, old, replacement, want string }{
		{"planner", "role = \"planner\"", "role = \"node\"", "planning is not allowed for the role \"node\""},
		{"planner", "role = \"planner\"", "role = \"boss\"", "role is \"boss\": want one of node, forwarder, planner"},
		{"planner", "role = \"planner\"", "role = \"planner\"\nlisten = [\"127.0.0.1:1\"]", "listen is not allowed for a planner"},
		{"planner", "role = \"planner\"", "role = \"forwarder\"\nlisten = [\"127.0.0.1:1\"]", "listen is not allowed for a forwarder: want planners"},
		{"forwarder", "name = \"forwarder-a1\"", "", "name is missing: want a name that no other forwarder"},
		{"planner", "key = \"planner.key\"", "", "key is missing"},
		{"planner", "listen = [\"127.0.0.1:7700\"]", "listen = [\"nowhere\"]", "listen is \"nowhere\""},
		{"planner", "[[pool]]", "[[service]]\nname = \"s\"\n[[service.route]]\npool = \"orders\"\n[[pool]]", "service is not allowed for a planner"},
		{"forwarder", "[planning]", "[plans]", "planning is missing: a forwarder needs [planning]"},
		{"forwarder", "planners = [", "listen = [\"127.0.0.1:1\"]\nplanners = [", "listen is not allowed for a forwarder"},
		{"forwarder", "planners = [", "planners = [\"127.0.0.1:1\", \"127.0.0.1:2\", \"127.0.0.1:3\", \"127.0.0.1:4\", \"127.0.0.1:5\", \"127.0.0.1:6\", \"127.0.0.1:8\", ", "planners has 9 entries: want at most 8"},
	} {
		text := read(test.file)
		if !strings.Contains(text, test.old) {
			t.Fatalf("file %s does not contain %q", test.file, test.old)
		}
		_, err := Parse("f", []byte(strings.Replace(text, test.old, test.replacement, 1)))
		if err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%s with %s:\n got %v\nwant %s", test.file, test.replacement, err, test.want)
		}
	}
}

// TestAllMistakesAtOnce checks that all errors of a file are reported at once, sorted by line.
func TestAllMistakesAtOnce(t *testing.T) {
	text := strings.NewReplacer(`"127.0.0.1:0"`, `7`, `pool = "p"`, `pool = "q"`, `"127.0.0.1:1"`, `"x"`, `"safe"`, `"maybe"`).Replace(smallFile)
	_, err := Parse("f", []byte(text))
	errs := (Errors)(nil)
	if !errors.As(err, &errs) {
		t.Fatal(err)
	}
	at := 0
	for _, line := range []int{2, 6, 9, 12} {
		found := false
		for ; at < len(errs) && !found; at++ {
			found = errs[at].Line == line
		}
		if !found {
			t.Errorf("no error for line %d, or errors are not sorted by line: %v", line, err)
		}
	}
}

// TestShares checks that pools without an explicit share divide half the limits equally, or the rest that the
// explicit shares leave if that is less.
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
		t.Errorf("the guarantees are %v, want 80 for a, 10 for b and 10 for p", g)
	}
	if _, err := Parse("f", []byte(smallFile+pool("a", "share = 0.8")+pool("b", "share = 0.3"))); err == nil {
		t.Error("shares with a sum above 1 are accepted")
	}
}

// FuzzParse parses arbitrary files. Each error has a line within the file. A valid file has a route table,
// and its guarantees add up to at most all units. Reading a file by documents gives the same result as
// reading it as a whole.
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
		checkSameAsWhole(t, []byte(text))
		config, err := Parse("f", []byte(text))
		if err != nil {
			errs := (Errors)(nil)
			if !errors.As(err, &errs) {
				t.Fatalf("error is not of type Errors: %v", err)
			}
			for _, m := range errs {
				if m.Line < 0 || m.Line > strings.Count(text, "\n")+1 || m.Text == "" {
					t.Errorf("error %+v has no text, or a line outside the file of %d lines", m, strings.Count(text, "\n")+1)
				}
			}
			return
		}
		if _, err := config.Table(); err != nil {
			t.Errorf("building the route table: %v", err)
		}
		sum := 0
		for _, p := range config.Pools {
			n := p.GuaranteedUnits(1000, 0)
			sum += n
		}
		if sum > 1000 {
			t.Errorf("guarantees add up to %d of 1000 units", sum)
		}
	})
}

// TestNodesHaveDifferentSeeds checks that nodes that differ only in their name, number or seed setting have
// different seeds, and that a file has the same seed each time it is read.
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
		t.Errorf("%d different seeds, want %d", len(seeds), len(files))
	}
}
