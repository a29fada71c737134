package limit

import (
	"errors"
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestBudgetProperties takes and gives at random over holders that come and go:
// never over the total, each guarantee to be had at any time, nothing leaked.
func TestBudgetProperties(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(0, 60).Draw(t, "total")
		guarantees := func(label string) map[string]int {
			g, left := make(map[string]int), total
			for _, n := range names {
				if rapid.Bool().Draw(t, label+n) {
					g[n] = rapid.IntRange(0, left).Draw(t, "part")
					left -= g[n]
				}
			}
			return g
		}
		g := guarantees("first ")
		b, err := NewBudget(total, g)
		if err != nil {
			t.Fatal(err)
		}
		held := make(map[string]int)
		trouble := make(map[string]bool)
		settled := true // nobody holds of a guarantee that has since been given away
		for range rapid.IntRange(0, 120).Draw(t, "steps") {
			name := rapid.SampledFrom(names).Draw(t, "name")
			n := rapid.IntRange(0, 8).Draw(t, "n")
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0, 1, 2, 3, 4:
				_, known := g[name]
				within := known && held[name]+n <= g[name]
				ok := b.Take(name, n)
				if ok {
					held[name] += n
				}
				if !ok && within && settled {
					t.Fatalf("%s may not have %d of its guarantee of %d, holding %d", name, n, g[name], held[name])
				}
				if ok && n > 0 && trouble[name] && held[name] > g[name] {
					t.Fatalf("%s is in trouble and borrows", name)
				}
			case 5, 6, 7:
				n = min(n, held[name])
				if n > 0 {
					b.Give(name, n)
					held[name] -= n
				}
			case 8:
				trouble[name] = !trouble[name] && b.holders[name] != nil
				b.Trouble(name, trouble[name])
			case 9:
				g = guarantees("then ")
				for _, n := range names {
					if _, named := g[n]; !named && held[n] == 0 {
						trouble[n] = false // forgotten
					}
				}
				if err := b.Configure(total, g); err != nil {
					t.Fatal(err)
				}
				settled = false
			}
			sum, owed := 0, 0
			for _, n := range names {
				sum += held[n]
				owed += max(0, g[n]-held[n])
				if b.Used(n) != held[n] {
					t.Fatalf("%s holds %d, counted %d", n, held[n], b.Used(n))
				}
			}
			if sum > total || b.Free() != total-sum {
				t.Fatalf("%d of %d held, %d free", sum, total, b.Free())
			}
			settled = settled || sum+owed <= total
			if settled && sum+owed > total {
				t.Fatalf("%d held and %d owed of %d", sum, owed, total)
			}
		}
		for n, h := range maps.Clone(held) {
			if h > 0 {
				b.Give(n, h)
			}
		}
		if b.Free() != total || len(b.Debtors()) != 0 {
			t.Fatalf("%d of %d free at the end", b.Free(), total)
		}
	})
}

func TestBudgetRefusesTooMuch(t *testing.T) {
	for _, g := range []map[string]int{{"a": 6, "b": 5}, {"a": -1}} {
		if _, err := NewBudget(10, g); !errors.Is(err, ErrBudget) {
			t.Errorf("%v: %v", g, err)
		}
	}
	b, err := NewBudget(10, map[string]int{"a": 5})
	if err != nil {
		t.Fatal(err)
	}
	if b.Take("stranger", 1) || b.Take("a", -1) {
		t.Error("a stranger or a negative number took something")
	}
	defer func() {
		if recover() == nil {
			t.Error("giving back what is not held passes")
		}
	}()
	b.Give("a", 1)
}

// TestDebtors names who gives back first.
func TestDebtors(t *testing.T) {
	b, err := NewBudget(20, map[string]int{"a": 2, "b": 2, "c": 2})
	if err != nil {
		t.Fatal(err)
	}
	for name, n := range map[string]int{"a": 4, "b": 7, "c": 2} {
		if !b.Take(name, n) {
			t.Fatalf("%s cannot have %d", name, n)
		}
	}
	if got := fmt.Sprint(b.Debtors()); got != "[b a]" {
		t.Errorf("got %s", got)
	}
	b.Trouble("a", true)
	if got := fmt.Sprint(b.Debtors()); got != "[a b]" {
		t.Errorf("with a in trouble: %s", got)
	}
}

// TestBucket holds a bucket against its definition over any times.
func TestBucket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := float64(rapid.IntRange(1, 1000).Draw(t, "rate"))
		burst := float64(rapid.IntRange(0, 50).Draw(t, "burst"))
		b := Bucket{Rate: rate, Burst: burst}
		var now, first time.Duration
		took := 0
		for i := range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(-1000, int64(50*time.Millisecond)).Draw(t, "passes"))
			ok, wait := b.Take(now)
			if i == 0 {
				first = now
			}
			if ok {
				took++
			} else {
				if wait <= 0 {
					t.Fatalf("refused and told to wait %v", wait)
				}
				c := b
				if ok, _ := c.Take(max(now, b.at) + wait); !ok {
					t.Fatalf("after the wait of %v there is no token", wait)
				}
			}
			if most := max(burst, 1) + rate*(b.at-first).Seconds() + 1e-6; float64(took) > most {
				t.Fatalf("%d tokens in %v, want %.2f at the most", took, b.at-first, most)
			}
		}
	})
	var none Bucket
	if ok, _ := none.Take(0); !ok {
		t.Error("no limit refuses")
	}
}

func TestHealth(t *testing.T) {
	var h Health
	for range healthLeast - 1 {
		if h.Saw(0, false) {
			t.Fatal("in trouble after too few")
		}
	}
	if !h.Saw(0, false) {
		t.Fatal("not in trouble when nothing is served")
	}
	if !h.Saw(0, true) {
		t.Fatal("one success is enough")
	}
	trouble := true
	for range 4 * healthLeast {
		trouble = h.Saw(time.Second, true)
	}
	if trouble {
		t.Error("still in trouble when all is served")
	}
}

// TestGateProperties has tenants come, wait, give up and go at random.
func TestGateProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most, queue := rapid.IntRange(1, 12).Draw(t, "places"), rapid.IntRange(0, 12).Draw(t, "queue")
		set := GateSettings{Concurrent: most, Queue: queue, QueueWait: time.Second, Tenants: map[string]TenantSettings{
			"a": {Weight: 3}, "b": {Concurrent: 2}, Others: {},
		}}
		g := NewGate(set)
		in := make(map[string]int)
		line := make(map[uint64]string)
		admitted := func(tickets []uint64) {
			for _, id := range tickets {
				name, ok := line[id]
				if !ok {
					t.Fatalf("ticket %d is let in and not in line", id)
				}
				delete(line, id)
				in[name]++
			}
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			name := g.Tenant(rapid.SampledFrom([]string{"a", "b", "x", "y"}).Draw(t, "tenant"))
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				switch v, id, _ := g.Arrive(0, name); v {
				case Admitted:
					in[name]++
				case Queued:
					line[id] = name
				}
			case 2:
				if in[name] > 0 {
					in[name]--
					admitted(g.Done(name))
				}
			case 3:
				for id := range line {
					if !g.Leave(id) {
						t.Fatalf("ticket %d cannot leave", id)
					}
					delete(line, id)
					break
				}
			case 4:
				set.Concurrent = rapid.IntRange(1, 12).Draw(t, "places now")
				most = max(most, set.Concurrent)
				admitted(g.Configure(set))
			}
			sum := 0
			for _, n := range in {
				sum += n
			}
			if sum != g.Held() || sum > most || in["b"] > 2 || len(line) != g.Waiting() || len(line) > queue {
				t.Fatalf("in %v of %d, counted %d; %d in line of %d, counted %d", in, most, g.Held(), len(line), queue, g.Waiting())
			}
			if len(g.tenants) > 3 {
				t.Fatalf("%d tenants are kept", len(g.tenants))
			}
		}
		for name, n := range in {
			for range n {
				in[name]--
				admitted(g.Done(name))
			}
		}
		for len(line) > 0 { // who was let in meanwhile goes, too
			before := len(line)
			for name, n := range in {
				if n > 0 {
					in[name]--
					admitted(g.Done(name))
				}
			}
			if len(line) == before {
				t.Fatalf("%d wait for ever, with %v in", len(line), in)
			}
		}
	})
}

// TestGateSharesFairly floods a gate with one tenant: another still finds a place,
// and in line both go by their weights.
func TestGateSharesFairly(t *testing.T) {
	g := NewGate(GateSettings{Concurrent: 10, Queue: 100, QueueWait: time.Second, Tenants: map[string]TenantSettings{"flood": {Weight: 1}, "calm": {Weight: 3}}})
	line := make(map[uint64]string)
	for range 60 {
		if v, id, _ := g.Arrive(0, "flood"); v == Queued {
			line[id] = "flood"
		}
	}
	if g.Held() != 8 {
		t.Fatalf("the flood holds %d of 10", g.Held())
	}
	if v, _, _ := g.Arrive(0, "calm"); v != Admitted {
		t.Fatalf("beside a flood: %v", v)
	}
	for range 40 {
		if v, id, _ := g.Arrive(0, "calm"); v == Queued {
			line[id] = "calm"
		}
	}
	served := make(map[string]int)
	for range 8 {
		for _, id := range g.Done("flood") {
			served[line[id]]++
		}
	}
	// It had 2 places and has its share of 6 now; what is over stays in reserve.
	if served["calm"] != 4 || served["flood"] > 2 {
		t.Errorf("of 8 places given back: %v", served)
	}
	if v, _, _ := NewGate(GateSettings{Tenants: map[string]TenantSettings{"a": {Rate: 1}}}).Arrive(0, "a"); v != Admitted {
		t.Errorf("the first within its rate: %v", v)
	}
}

// TestGateRates tells a tenant's own limit from the service's.
func TestGateRates(t *testing.T) {
	g := NewGate(GateSettings{Rate: 2, Burst: 2, Tenants: map[string]TenantSettings{"a": {Rate: 1}}})
	for i, want := range []Verdict{Admitted, TooMany} {
		if v, _, wait := g.Arrive(0, "a"); v != want || (wait > 0) != (v == TooMany) {
			t.Errorf("request %d of a: %v, wait %v", i, v, wait)
		}
	}
	for i, want := range []Verdict{Admitted, Crowded} {
		if v, _, wait := g.Arrive(0, Others); v != want || (wait > 0) != (v == Crowded) {
			t.Errorf("request %d of others: %v, wait %v", i, v, wait)
		}
	}
}

// TestGateKeepsWhoComes keeps nothing of a tenant that has not come, but its weight.
func TestGateKeepsWhoComes(t *testing.T) {
	set := GateSettings{Concurrent: 10, Tenants: make(map[string]TenantSettings)}
	for i := range 9 {
		set.Tenants[fmt.Sprint("tenant-", i)] = TenantSettings{}
	}
	g := NewGate(set)
	if len(g.tenants) > 0 {
		t.Errorf("%d tenants are kept before one came", len(g.tenants))
	}
	in := 0
	for range 10 {
		if v, _, _ := g.Arrive(0, "tenant-0"); v == Admitted {
			in++
		}
	}
	// A fifth of the places is in reserve for the other eight and for those not named.
	if in != 8 || len(g.tenants) != 1 {
		t.Errorf("%d are in and %d tenants kept: want 8 of one", in, len(g.tenants))
	}
	// Its eight places stay its own when it is no longer named, and it counts until it leaves.
	g.Configure(GateSettings{Concurrent: 10, Tenants: map[string]TenantSettings{"other": {Weight: 8}}})
	if g.Held() != 8 || g.weights != 10 {
		t.Errorf("%d held and a weight of %g: want 8 and 10", g.Held(), g.weights)
	}
}

// TestGateForgetsOthers takes the limits of all others away with their table.
func TestGateForgetsOthers(t *testing.T) {
	g := NewGate(GateSettings{Tenants: map[string]TenantSettings{Others: {Concurrent: 1}}})
	for i, want := range []Verdict{Admitted, TooMany} {
		if got, _, _ := g.Arrive(0, Others); got != want {
			t.Errorf("request %d: %v, want %v", i, got, want)
		}
	}
	g.Configure(GateSettings{})
	if got, _, _ := g.Arrive(0, Others); got != Admitted {
		t.Errorf("without their limits: %v", got)
	}
}
