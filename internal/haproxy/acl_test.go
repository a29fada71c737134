package haproxy

import (
	"fmt"
	"strings"
	"testing"
)

// line reads one line's words.
func line(t testing.TB, text string) []Word {
	t.Helper()
	all, err := words(text, Pos{"f", 1, 1}, env)
	if err != nil {
		t.Fatal(err)
	}
	return all
}

func (t *Test) String() string {
	text := t.Criterion
	for flag, on := range map[string]bool{" -i": t.NoCase, " -n": t.NoDNS, " -M": t.Maps} {
		if on {
			text += flag
		}
	}
	if t.Method != "" {
		text += " -m " + t.Method
	}
	for _, w := range t.Files {
		text += " -f " + w.Text
	}
	if t.ID != "" {
		text += " -u " + t.ID
	}
	for _, w := range t.Values {
		text += " <" + w.Text + ">"
	}
	return text
}

func (c *Condition) String() string {
	if c == nil {
		return "always"
	}
	var terms []string
	for _, term := range c.Terms {
		var parts []string
		for _, o := range term {
			text := o.Name
			if o.Test != nil {
				text = "{" + o.Test.String() + "}"
			}
			if o.Negated {
				text = "!" + text
			}
			parts = append(parts, text)
		}
		terms = append(terms, strings.Join(parts, " "))
	}
	word := "if "
	if c.Unless {
		word = "unless "
	}
	return word + strings.Join(terms, " || ")
}

// TestSplit parts directives from their conditions.
func TestSplit(t *testing.T) {
	for text, want := range map[string]string{
		"use_backend api":                                        "2: always",
		"use_backend api if a":                                   "2: if a",
		"use_backend api if a b !c":                              "2: if a b !c",
		"use_backend api unless a || b or c d":                   "2: unless a || b || c d",
		"http-request deny if { src 10.0.0.0/8 } !{ path /x }":   "2: if {src <10.0.0.0/8>} !{path </x>}",
		"x if ! a !!b ! { path -i -m beg /a /b }":                "1: if !a b !{path -i -m beg </a> </b>}",
		"x if { hdr(host),lower -f hosts.lst -f more.lst -M }":   "1: if {hdr(host),lower -M -f hosts.lst -f more.lst}",
		"x if { path -- -i } { fc_rate -5 } { src -u id7 -n a }": "1: if {path <-i>} {fc_rate <-5>} {src -n -u id7 <a>}",
		"x if { req.len gt 5 } TRUE":                             "1: if {req.len <gt> <5>} TRUE",
		"x if { path 'a }' }":                                    "1: if {path <a }>}",
	} {
		directive, c, err := Split(line(t, text))
		if err != nil {
			t.Errorf("%s: %v", text, err)
			continue
		}
		if got := fmt.Sprintf("%d: %v", len(directive), c); got != want {
			t.Errorf("%s:\n got %s\nwant %s", text, got, want)
		}
	}
	for text, want := range map[string]string{
		"x if":             "f:1:3: the condition ends",
		"x if a ||":        "f:1:8: the condition ends",
		"x if || a":        "f:1:6: \"||\" has nothing before it",
		"x if a or or b":   "f:1:11: \"or\" has nothing before it",
		"x if !":           "f:1:6: \"!\" has nothing behind it",
		"x if { path /a":   "f:1:6: a brace that is never closed",
		"x if { }":         "f:1:6: braces without a criterion",
		"x if }":           "f:1:6: \"}\" is no name",
		"x if ''":          "f:1:6: \"\" is no name",
		"x if { path -m }": "f:1:13: -m has nothing behind it",
	} {
		if _, c, err := Split(line(t, text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got %v, %v, want %s", text, c, err, want)
		}
	}
}

// FuzzSplit reads any condition without end or panic; what it has read says each word
// but the signs.
func FuzzSplit(f *testing.F) {
	f.Add("use_backend api if a !b || { path_beg -i /x /y } ! { src -f list } or c")
	f.Add("x unless !!{ hdr(host) -m dom -- -i }")
	f.Add("x if ! ! ! a")
	f.Fuzz(func(t *testing.T, text string) {
		all, err := words(text, Pos{"f", 1, 1}, env)
		if err != nil {
			return
		}
		directive, c, err := Split(all)
		if err != nil {
			return
		}
		if (c == nil) != (len(directive) == len(all)) {
			t.Fatalf("%q: %d of %d words before %v", text, len(directive), len(all), c)
		}
		if c == nil {
			return
		}
		said := 0
		for _, term := range c.Terms {
			if len(term) == 0 {
				t.Fatalf("%q: a term of nothing", text)
			}
			for _, o := range term {
				if (o.Name == "") == (o.Test == nil) {
					t.Fatalf("%q: an operand of nothing or of two", text)
				}
				said++
				if o.Test != nil {
					said += len(o.Test.Values) + len(o.Test.Files)
				}
			}
		}
		if said > len(all) {
			t.Fatalf("%q: %d words of %d", text, said, len(all))
		}
	})
}
