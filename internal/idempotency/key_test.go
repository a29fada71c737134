package idempotency

import (
	"strings"
	"testing"
)

func TestParseText(t *testing.T) {
	for field, want := range map[string]string{
		`8e03978e-40d5`: "8e03978e-40d5", `"8e03978e-40d5"`: "8e03978e-40d5", " \"a\" ": "a", `"a b;c"`: "a b;c", `"\"\\"`: `"\`,
		"": "", `""`: "", `"a`: "", `a"`: "", `"a";p=1`: "", `a;p=1`: "", `a, b`: "", `"a", "b"`: "", `"\a"`: "", `"a\`: "", "\"a\x01\"": "", "caf\xc3\xa9": "",
		strings.Repeat("x", MaxText): strings.Repeat("x", MaxText), strings.Repeat("x", MaxText+1): "",
	} {
		got, err := ParseText([]string{field})
		if got != want || (err == nil) != (want != "") {
			t.Errorf("%.40q: %.40q, %v", field, got, err)
		}
	}
	if got, err := ParseText(nil); got != "" || err != nil {
		t.Errorf("without one: %q, %v", got, err)
	}
	if _, err := ParseText([]string{"a", "a"}); err == nil {
		t.Error("two fields are taken")
	}
}

// FuzzParseText has whatever is taken as a key be one that, quoted, is read as the same.
func FuzzParseText(f *testing.F) {
	for _, s := range []string{"a", `"a"`, `"a\"b"`, `"a";p`, "a,b", "\x7f", `\`} {
		f.Add(s)
	}
	quote := strings.NewReplacer(`\`, `\\`, `"`, `\"`)
	f.Fuzz(func(t *testing.T, field string) {
		text, err := ParseText([]string{field})
		if err != nil {
			return
		}
		if text == "" || len(text) > MaxText {
			t.Fatalf("%q is read as %q", field, text)
		}
		if again, err := ParseText([]string{`"` + quote.Replace(text) + `"`}); err != nil || again != text {
			t.Fatalf("%q is read as %q, and quoted as %q, %v", field, text, again, err)
		}
	})
}

func TestDigester(t *testing.T) {
	sum := func(method, target string, pieces ...string) Digest {
		d := NewDigester(method, target)
		for _, p := range pieces {
			_, _ = d.Write([]byte(p))
		}
		return d.Sum()
	}
	if sum("POST", "/credit/1", "a", "bc") != sum("POST", "/credit/1", "abc") {
		t.Error("the same body in other pieces is another")
	}
	seen := make(map[Digest]string)
	for _, c := range [][3]string{{"POST", "/a", ""}, {"POST", "/", "a"}, {"POS", "T/a", ""}, {"PUT", "/a", ""}, {"POST", "/a", "x"}} {
		d := sum(c[0], c[1], c[2])
		if was := seen[d]; was != "" {
			t.Errorf("%v and %s are one", c, was)
		}
		seen[d] = strings.Join(c[:], " ")
	}
}
