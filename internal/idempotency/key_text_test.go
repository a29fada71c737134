package idempotency

import (
	"strings"
	"testing"
)

// TestParseText checks that a key is accepted bare or quoted, and that lists, parameters, control characters
// and overlong keys are rejected.
func TestParseText(t *testing.T) {
	for field, want := range map[string]string{
		`8e03978e-40d5`: "8e03978e-40d5", `"8e03978e-40d5"`: "8e03978e-40d5", " \"a\" ": "a", `"a b;c"`: "a b;c", `"\"\\"`: `"\`,
		"": "", `""`: "", `"a`: "", `a"`: "", `"a";p=1`: "", `a;p=1`: "", `a, b`: "", `"a", "b"`: "", `"\a"`: "", `"a\`: "", "\"a\x01\"": "", "caf\xc3\xa9": "",
		strings.Repeat("x", MaxTextBytes): strings.Repeat("x", MaxTextBytes), strings.Repeat("x", MaxTextBytes+1): "",
	} {
		got, err := ParseText([]string{field})
		if got != want || (err == nil) != (want != "") {
			t.Errorf("ParseText(%.40q) returned %.40q and error %v, want the result in the table", field, got, err)
		}
	}
	if got, err := ParseText(nil); got != "" || err != nil {
		t.Errorf("ParseText(nil) returned %q and error %v, want no text and no error", got, err)
	}
	if _, err := ParseText([]string{"a", "a"}); err == nil {
		t.Error("ParseText accepted two Idempotency-Key fields, want an error")
	}
}

// FuzzParseText checks that every accepted key is within the limits, and that its quoted form parses to the
// same key.
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
		if text == "" || len(text) > MaxTextBytes {
			t.Fatalf("ParseText(%q) returned the invalid text %q", field, text)
		}
		if again, err := ParseText([]string{`"` + quote.Replace(text) + `"`}); err != nil || again != text {
			t.Fatalf("ParseText(%q) returned %q, but the quoted form of that text parses to %q with error %v, want the same text", field, text, again, err)
		}
	})
}
