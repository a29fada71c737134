package config

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"reflect"
	"runtime"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2/unstable"
	"pgregory.net/rapid"

	"jasperpin/internal/emulator/bigfile"
	_ "jasperpin/internal/seeded"
)

// parseWhole reads a file as one document. It determines the lines with separate, slower code, which counts
// each line from the start of the file.
func parseWhole(name string, text []byte) (*Config, error) {
	r := &reader{file: name}
	whole := &document{reader: r, spans: []span{{text, 1}}, lines: plainLines(text)}
	values := whole.decode()
	if values == nil {
		return nil, r.result()
	}
	return readRoot(r, &table{document: whole, values: values})
}

// plainLines returns the line of each path in a file.
func plainLines(text []byte) map[string]int {
	lines := make(map[string]int)
	note := func(path string, line int) {
		if _, ok := lines[path]; !ok {
			lines[path] = line
		}
	}
	var parser unstable.Parser
	parser.Reset(text)
	var keyValue func(at string, e *unstable.Node)
	var value func(at string, line int, v *unstable.Node)
	keyValue = func(at string, e *unstable.Node) {
		line := 0
		for it := e.Key(); it.Next(); {
			line = parser.Shape(it.Node().Raw).Start.Line
			at = join(at, string(it.Node().Data))
			note(at, line)
		}
		value(at, line, e.Value())
	}
	value = func(at string, line int, v *unstable.Node) {
		i := 0
		for it := v.Children(); it.Next(); {
			switch {
			case v.Kind == unstable.InlineTable:
				keyValue(at, it.Node())
			case v.Kind == unstable.Array && it.Node().Kind != unstable.Comment:
				path := fmt.Sprintf("%s[%d]", at, i)
				note(path, line)
				value(path, line, it.Node())
				i++
			}
		}
	}
	arrays := make(map[string]int)
	at := ""
	for parser.NextExpression() {
		e := parser.Expression()
		if e.Kind == unstable.KeyValue {
			keyValue(at, e)
			continue
		}
		at = ""
		line := 0
		for it := e.Key(); it.Next(); {
			line = parser.Shape(it.Node().Raw).Start.Line
			at = join(at, string(it.Node().Data))
			if n := arrays[at]; n > 0 && (!it.IsLast() || e.Kind == unstable.Table) {
				at = fmt.Sprintf("%s[%d]", at, n-1)
			}
		}
		if e.Kind == unstable.ArrayTable {
			arrays[at]++
			note(at, line)
			at = fmt.Sprintf("%s[%d]", at, arrays[at]-1)
		}
		note(at, line)
	}
	return lines
}

// checkSameAsWhole checks that reading a file by documents gives the same configuration, or the same errors with
// the same lines, as reading it as a whole. It returns the error of Parse.
func checkSameAsWhole(t interface{ Errorf(string, ...any) }, text []byte) error {
	got, err := Parse("f", text)
	want, wantErr := parseWhole("f", text)
	switch {
	case (err == nil) != (wantErr == nil) || err != nil && err.Error() != wantErr.Error():
		t.Errorf("the error is\n%v\nwant\n%v\nof\n%s", err, wantErr, text)
	case err == nil && !reflect.DeepEqual(got, want):
		t.Errorf("the configuration is\n%+v\nwant\n%+v\nof\n%s", got, want, text)
	}
	return err
}

// TestLinesOfDocuments reads random files, valid and invalid, by documents and as a whole: errors have the
// same lines.
func TestLinesOfDocuments(t *testing.T) {
	valid, invalid, malformed := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		err := checkSameAsWhole(t, []byte(drawFile(t)))
		switch errs := (Errors)(nil); {
		case err == nil:
			valid++
		case errors.As(err, &errs) && strings.HasPrefix(errs[0].Text, "invalid TOML"):
			malformed++
		default:
			invalid++
		}
	})
	if !t.Failed() && min(valid, invalid, malformed) == 0 {
		t.Errorf("%d valid files, %d with invalid values, %d with syntax errors: want at least one of each", valid, invalid, malformed)
	}
}

// mixBlocks shuffles the blocks of pools with the blocks of services, and does not change the order within
// each kind: tables of a service may follow a pool, and tables of a pool may follow a service.
func mixBlocks(t *rapid.T, blocks []string) []string {
	var first, second []string
	for _, b := range blocks {
		if strings.Contains(strings.SplitN(b, "\n", 2)[0], "pool") {
			first = append(first, b)
		} else {
			second = append(second, b)
		}
	}
	var mixed []string
	for len(first)+len(second) > 0 {
		from := &first
		if len(first) == 0 || len(second) > 0 && rapid.Bool().Draw(t, "other") {
			from = &second
		}
		mixed, *from = append(mixed, (*from)[0]), (*from)[1:]
	}
	return mixed
}

// breakLines replaces one or two lines with text that usually is a syntax error.
func breakLines(t *rapid.T, text string) string {
	lines := strings.SplitAfter(text, "\n")
	for range rapid.IntRange(1, 2).Draw(t, "breaks") {
		i := rapid.IntRange(0, len(lines)-1).Draw(t, "break at")
		lines[i] = rapid.SampledFrom([]string{lines[i] + lines[i], "", "[service]\n", "[[pool.cold]]\n", "[pool]\n", "= 3\n", "x = [1,\n\n", "x = \"\"\"\n", "x = \"", "[[service.route]\n", "x = 0777\n", "x = 99999999999999999999\n", "x = 2024-13-01\n", "\x00", "\r", "[service.route]\n", "\"\" = {a = 1, a = 2}\n", "[[service.name]]\n"}).Draw(t, "form")
	}
	return strings.Join(lines, "")
}

// drawFile draws a file with a few services and pools in random order, which may have a few invalid values
// or syntax errors.
func drawFile(t *rapid.T) string {
	quality := rapid.SampledFrom([]string{"valid", "invalid", "malformed"}).Draw(t, "quality")
	pick := func(valid string, invalid ...string) string {
		if quality != "valid" && rapid.IntRange(0, 7).Draw(t, "is invalid") == 0 {
			return rapid.SampledFrom(invalid).Draw(t, "invalid value")
		}
		return valid
	}
	either := func(forms ...string) string { return rapid.SampledFrom(forms).Draw(t, "form") }
	pools := rapid.IntRange(1, 4).Draw(t, "pools")
	var blocks []string
	for i := range pools {
		b := "[[pool]]\n" + fmt.Sprintf("name = \"p%d\"\n", i) +
			pick("", "strange = 1\n", "name.x = 2\n", "attempts = \"many\"\n", "cold.start = 7\n", "zones = [\"a\",\n  3,\n  \"b\"]\n", "share = [1, {a = 2}]\n", "keepalive = \"\"\"\n[[pool]]\n\"\"\"\n")
		b += either("", "cold.start = 0.5\ncold.warm = \"1s\"\n", "cold = { start = 0.5, warm = \"1s\" } # so\n", "# [[pool]]\n\n", "[pool.cold]\nstart = 0.5\n")
		if strings.Contains(b, "[pool.cold]") {
			b += "\n  [[pool.server]]\n  address = \"127.0.0.1:2\"\n"
		} else {
			b += either("servers = [ # some\n\n \"127.0.0.1:1\", # one\n \"127.0.0.1:2\",\n]\n", "server = [{ address = \"127.0.0.1:1\" }, { address = \"127.0.0.1:2\", drain = true }]\n")
		}
		b += pick("", "[[pool.server]]\naddress = \"nowhere\"\n", "[[pool.server]]\n[[pool.server]]\ndrain = 1\n", "[pool.strange.deep]\nx = 1\n")
		blocks = append(blocks, b, "[[pool.class]]\n\"name\" = 'look'\nrepeat = "+pick("\"safe\"", "\"maybe\"", "\"\"\"\nsafe\n\n\"\"\"", "'''\n[node]'''", "2024-01-01", "{ a.b = 1 }")+"\n")
	}
	for i := range rapid.IntRange(1, 3).Draw(t, "services") {
		b := fmt.Sprintf("[[ service ]]\nname = \"s%d\"\ntenant_header = \"Req-Owner\"\n", i) + pick("", "rate = -1\n", "qeue = 3\n", "route = 3\n", "route.path = 3\n")
		for k := range rapid.IntRange(0, 3).Draw(t, "tenants") {
			b += "\n\t[[service.tenant]]\n\tname = " + pick(fmt.Sprintf("\"t%d\"", k), "\"t0\"", "7", "\"\\u0000\"") + "\n" + pick("", "\trate = 0x7fffffffffff\n", "\tweight = nan\n", "\tlimits.rate = 1\n\tlimits.more = [{}, {a = 1}]\n")
		}
		blocks = append(blocks, b)
		for k := range rapid.IntRange(1, 3).Draw(t, "routes") {
			target := either(fmt.Sprintf("pool = \"p%d\"", i%pools), fmt.Sprintf("pools = [ { name = \"p%d\", weight = 2 }, { name = \"p0\" } ]", i%pools))
			blocks = append(blocks, fmt.Sprintf("[[service.route]]\nhosts = [%s]\npath = \"/r%d-%d\"\nas = \"look\"\n%s\n",
				pick(either("", "\"a.example.org\"", "\n\"a.example.org\",\n\n\"*.example.org\"\n"), "\"A.example.org\"", "\"\"", "7"), i,
				rapid.SampledFrom([]int{k, k, k, 0}).Draw(t, "path"), pick(target, "pool = \"q\"", "pools = [{ name = \"q\" }, { name = \"r\", wieght = 1 }]", "pool = \"p0\"\npools = []")))
		}
	}
	node := "[node]\nlisten = [\"127.0.0.1:0\"]\n" + pick("", "seed = \"x\"\n", "number = 3\n", "[node.strange]\n", "\"node\".a = 1\n")
	others := either("", "[limits]\ncores = 2.0\n", "[keys]\nentries = 5\n\n\n[limits]\n") + pick("", "[strange]\nx = 1\n", "[[strange]]\nx = 1\n[[strange]]\n", "[[limits]]\n", "[[keys]]\nx.y = 1\n", "[members]\n", "[[members]]\nx = 1\n")
	mixed := mixBlocks(t, blocks)
	at := rapid.IntRange(0, len(mixed)).Draw(t, "node at")
	text := either("", "# none\n\n", "\n") + pick("", "x = 1\n", "service = 1\n", "pool = []\n", "limits.cores = 1\n") +
		strings.Join(mixed[:at], either("", "\n")) + node + others + strings.Join(mixed[at:], "\n")
	if quality == "malformed" {
		text = breakLines(t, text)
	}
	if rapid.Bool().Draw(t, "CRLF") {
		text = strings.ReplaceAll(text, "\n", "\r\n")
	}
	if rapid.Bool().Draw(t, "no final newline") {
		text = strings.TrimRight(text, "\r\n")
	}
	return text
}

// TestLineCounterPassesOnce overwrites the text that the counter has scanned: the line numbers do not change,
// so the counter scans each byte only once.
func TestLineCounterPassesOnce(t *testing.T) {
	text := []byte(strings.Repeat("key = 1\n", 100))
	c := lineCounter{text: text, line: 1}
	for i := range 100 {
		if line := c.lineOf(8 * i); line != i+1 {
			t.Fatalf("offset %d is at line %d, want %d", 8*i, line, i+1)
		}
		for k := range text[:8*i] {
			text[k] = '\n'
		}
	}
}

// allocatedBytes returns the bytes that reading a file allocates.
func allocatedBytes(text []byte) float64 {
	least := math.Inf(1)
	for range 3 { // other goroutines may allocate at the same time
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		Parse("f", text)
		runtime.ReadMemStats(&after)
		least = min(least, float64(after.TotalAlloc-before.TotalAlloc))
	}
	return least
}

// TestMemoryGrowth reads a file and a file of four times its size, valid and with various errors: the larger
// file needs about four times the memory or less.
func TestMemoryGrowth(t *testing.T) {
	for _, test := range []struct{ name, old, replacement string }{
		{"valid", "", ""},
		{"unknown pools", "pool = \"pool-", "pool = \"none-"},
		{"duplicate routes", "path = \"/part-", "path = \"/same\" # "},
		{"unknown keys", "rate = ", "rat = "},
		{"syntax error in each service", "rate = 100", "rate = 100\nrate = 100"},
	} {
		work := func(t *testing.T, size bigfile.Size) float64 {
			var b bytes.Buffer
			if err := size.Write(&b, "127.0.0.1:0"); err != nil {
				t.Fatal(err)
			}
			text := b.Bytes()
			if test.old != "" {
				text = bytes.ReplaceAll(text, []byte(test.old), []byte(test.replacement))
			}
			if _, err := Parse("f", text); (err == nil) != (test.old == "") {
				t.Fatal(err)
			}
			return allocatedBytes(text)
		}
		t.Run(test.name, func(t *testing.T) {
			small := bigfile.Full.DividedBy(260)
			smallBytes := work(t, small)
			large := bigfile.Size{Services: small.Services, Servers: 4 * small.Servers, Routes: 4 * small.Routes, Tenants: 4 * small.Tenants}
			for _, services := range []int{small.Services, 4 * small.Services} {
				large.Services = services
				if largeBytes := work(t, large); largeBytes > 4.6*smallBytes {
					t.Errorf("reading a file allocates %.0f bytes, and %.0f for a file of four times the size in %d services: want at most 4.6 times", smallBytes, largeBytes, services)
				}
			}
		})
	}
}

// TestFullSize reads a file of the largest supported size. If the time grew with the square of the size, the
// test would exceed its time limit.
func TestFullSize(t *testing.T) {
	var b bytes.Buffer
	if err := bigfile.Full.Write(&b, "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	c, err := Parse("f", b.Bytes())
	if err != nil {
		t.Fatal(err)
	}
	var got bigfile.Size
	for _, s := range c.Services {
		got.Services++
		got.Routes += len(s.Routes)
		got.Tenants += len(s.Gate.Tenants)
	}
	for _, p := range c.Pools {
		got.Servers += len(p.Servers)
	}
	if got != bigfile.Full || len(c.Pools) != bigfile.Full.Services {
		t.Errorf("the file has %+v in %d pools, want %+v", got, len(c.Pools), bigfile.Full)
	}
}
