package platform

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"jasperpin/decide"
)

// distinct is a configuration in which no two values are equal, with names that become equal in the simulator's
// format.
const distinct = `{"name":"n7","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","control":"127.0.0.1:3","seed":"7f",
"limits":{"cores":0.25,"memory_mb":48,"sockets":257},
"known":{"seq":41,"whole":true,"hosts":[
 {"host":"s-1","dial":"10.1.0.18:8080","site":"b,c","class":"m2","block":3,"health":"in_service","share":1.25,"born_ms":77},
 {"host":"s-2","dial":"10.1.0.19:8080","site":"b c","class":"m2","block":4,"health":"in_service","share":1.5,"born_ms":0},
 {"host":"s-3","dial":"10.1.0.20:8080","site":"b_c","class":"m2","block":5,"health":"in_service","share":1.75,"born_ms":0}]},
"settings":{"az":2,"zones":["b_c","b c","b,c"],"myNumber":5,"nInstances":19,"discovery":"ask","valueBy":"work","weights":"rough",
 "callers":{"marksRetry":true},"familyInfo":{"warmKeys":true},
 "ceilings":{"cancel":true,"secondCopies":false,"probes":false,"peers":false,"retryAfter":true,"maxRetryAfterMs":1901,"maxAttempts":6,"dialTimeoutMs":123,"keepaliveMs":4007,"maxStreams":31,"openCap":411,"cpuUsPerS":810000,"cpuUsPerRequest":0},
 "costs":{"connection":0.08,"crossZone":0.015,"discovery":0.11,"handshake":0.07,"lateFail":0.071,"moves":0.02,"origin":0.03,"peer":0.04,"probe":0.05,"waste":0.3},
 "objectiveMix":{"whole":0.5,"worstWindow":0.1,"worstClass":0.25,"worstTenant":0.15},"overShareWorth":0.09,
 "report":{"via":"piggyback","fields":["q","busy"]},
 "rules":{"askWithinMs":9003,"fallMultiple":3.25,"overloadForMs":1500,"graceToAnswerMs":21,"startCapacity":0.14,"stopSendingWithinMs":1001,"warmWithinMs":22001},
 "classes":[
  {"name":"a b","effect":"single_shot","objectiveMs":201,"deadlineMs":302,"windowMs":403,"gain":1.5,"lateWorth":0.25,"aimStretch":0.5,"dedupScope":"cell","streamed":false},
  {"name":"a_b","effect":"guarded","objectiveMs":504,"deadlineMs":605,"windowMs":706,"gain":2.5,"lateWorth":0.125,"aimStretch":0.75,"dedupScope":"zone","streamed":false},
  {"name":"a,b","effect":"free","objectiveMs":807,"deadlineMs":908,"windowMs":1009,"gain":3.5,"lateWorth":0.0625,"aimStretch":0.875,"dedupScope":"all","streamed":false}],
 "tenants":[{"name":"t u","share":0.6,"quotaPerS":61},{"name":"t_u","share":0.4,"quotaPerS":41}]}}`

// noEnvironment is an environment without variables.
func noEnvironment(string) string { return "" }

// TestEverySettingIsRead: every setting of a configuration is stored in its own field, and names that become
// equal in the simulator's format stay different.
func TestEverySettingIsRead(t *testing.T) {
	config, err := parseConfig([]byte(distinct), noEnvironment)
	if err != nil {
		t.Fatal(err)
	}
	const ms = time.Millisecond
	want := decide.Settings{
		NodeIndex: 5, NodeCount: 19, Zone: 2, ZoneCount: 3, PollDiscovery: true, PollPeriod: 9003 * ms, MaxAttempts: 6, CancelAttempts: true, WeightByWork: true, KeyAffinity: true,
		OverloadMultiple: 3.25, SlowStartShare: 0.14, SlowStartWindow: 22001 * ms,
		CrossZoneCost: 0.015, HandshakeCost: 0.07, OpenConnectionCost: 0.08, IdleTimeout: 4007 * ms, MaxRetryAfter: 1901 * ms,
		Classes: []decide.Class{
			{Idempotency: decide.NotIdempotent, DedupScope: decide.DedupCell, DedupWindow: 403 * ms, LatencyObjective: 201 * ms, Deadline: 302 * ms, ObjectiveWorkFactor: 0.5, PriorityWeight: 1.5, LatePriorityWeight: 0.25},
			{Idempotency: decide.IdempotentWithKey, DedupScope: decide.DedupZone, DedupWindow: 706 * ms, LatencyObjective: 504 * ms, Deadline: 605 * ms, ObjectiveWorkFactor: 0.75, PriorityWeight: 2.5, LatePriorityWeight: 0.125},
			{Idempotency: decide.Idempotent, DedupScope: decide.DedupAll, DedupWindow: 1009 * ms, LatencyObjective: 807 * ms, Deadline: 908 * ms, ObjectiveWorkFactor: 0.875, PriorityWeight: 3.5, LatePriorityWeight: 0.0625},
		},
	}
	if got, want := fmt.Sprintf("%+v", config.Settings), fmt.Sprintf("%+v", want); got != want {
		t.Errorf("the parsed settings are\n%s, want\n%s", got, want)
	}
	if config.DialTimeout != 123*ms || config.Limits.Descriptors != 257 || config.Limits.Memory != 48<<20 || config.Limits.Cores != 0.25 || config.AdminAddress != "127.0.0.1:3" {
		t.Errorf("timeout, limits or address of the configuration differ from the file: %+v", config)
	}
	for i, name := range []string{"a b", "a_b", "a,b"} {
		if got, ok := config.Classes[name]; !ok || got != i {
			t.Errorf("class %q has index %d (present: %t), want %d", name, got, ok, i)
		}
	}
	for i, zone := range []int{2, 1, 0} {
		if got := config.KnownEndpoints.Endpoints[i].Zone; got != zone {
			t.Errorf("server %d is in zone number %d, want %d", i, got, zone)
		}
	}
}

// TestMissingSettings: settings are removed one at a time. Each either has a neutral default or causes an error
// that names it. A duplicate name also causes an error that names its setting.
func TestMissingSettings(t *testing.T) {
	for path, want := range map[string]string{ // part of the error; "" for no error
		"classes": "classes.count", "zones": "", "discovery": "", "rules": "", "ceilings": "", "costs": "", "az": "",
	} {
		var raw map[string]any
		if err := json.Unmarshal([]byte(distinct), &raw); err != nil {
			t.Fatal(err)
		}
		delete(raw["settings"].(map[string]any), path)
		text, err := json.Marshal(raw)
		if err != nil {
			t.Fatal(err)
		}
		c, err := parseConfig(text, noEnvironment)
		switch {
		case want != "" && (err == nil || !strings.Contains(err.Error(), want)):
			t.Errorf("parsing without %s returned error %v, want one that names %s", path, err, want)
		case want == "" && err != nil:
			t.Errorf("parsing without %s failed: %v, want success", path, err)
		case path == "ceilings" && (c.DialTimeout != time.Minute || c.Settings.MaxAttempts != 1 || c.Settings.Hedging || c.Settings.CancelAttempts || c.Settings.MaxRetryAfter != 0):
			t.Errorf("parsing without ceilings returned %+v, want the neutral defaults", c)
		}
	}
	for name, change := range map[string]string{
		"classes.1.name": strings.Replace(distinct, `"a_b"`, `"a b"`, 1),
		"zones.2":        strings.Replace(distinct, `"b c","b,c"`, `"b c","b c"`, 1),
	} {
		if _, err := parseConfig([]byte(change), noEnvironment); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("parsing a duplicate name returned error %v, want one that names %s", err, name)
		}
	}
}
