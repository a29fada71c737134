package haproxy

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
)

func env(name string) (string, bool) {
	value, ok := map[string]string{"HOST": "shop.example.org", "EMPTY": "", "LIST": " a  b c "}[name]
	return value, ok
}

// TestWords takes lines apart as HAProxy does.
func TestWords(t *testing.T) {
	for text, want := range map[string][]string{
		"":                               nil,
		"  \t ":                          nil,
		"# a comment":                    nil,
		"bind :80 # a comment":           {"bind", ":80"},
		"bind :80#sharp":                 {"bind", ":80"},
		"a\\ b c\\#d \\\\":               {"a b", "c#d", "\\"},
		"\\x41\\x7e":                     {"A~"},
		"path_reg ^/a\\.b$ \\d+":         {"path_reg", "^/a\\.b$", "\\d+"},
		"'a b' '\\n $HOST \"'":           {"a b", "\\n $HOST \""},
		"\"a b\" \"\\\"\" \"\\$HOST\"":   {"a b", "\"", "$HOST"},
		"x'y z'\"w v\"u":                 {"xy zw vu"},
		"''":                             {""},
		"\"$HOST:80\" $HOST":             {"shop.example.org:80", "$HOST"},
		"\"${HOST}x\" \"${NONE}\"":       {"shop.example.orgx", ""},
		"\"${NONE-a b}\" \"${EMPTY-e}\"": {"a b", "e"},
		"\"${HOST-other}\"":              {"shop.example.org"},
		"\"${LIST[*]}\" \"${LIST}\"":     {"a", "b", "c", " a  b c "},
		"\"pre-${LIST[*]}-post\"":        {"pre-a", "b", "c-post"},
		"\"${.FILE} ${.LINE}\"":          {"f 7"},
		"server s1 10.0.0.1:80\r":        {"server", "s1", "10.0.0.1:80"},
	} {
		p := &parser{opt: Options{Env: env}}
		at := Pos{"f", 7, 1}
		got, err := words(text, at, p.env(at))
		if err != nil {
			t.Errorf("%q: %v", text, err)
			continue
		}
		var texts []string
		for _, w := range got {
			texts = append(texts, w.Text)
		}
		if !slices.Equal(texts, want) {
			t.Errorf("%q: got %q, want %q", text, texts, want)
		}
	}
	got, err := words("  bind  'a b'", Pos{"f", 7, 1}, env)
	if err != nil || got[0].Pos != (Pos{"f", 7, 3}) || got[1].Pos != (Pos{"f", 7, 9}) {
		t.Errorf("%+v, %v", got, err)
	}
}

// TestWrongWords names what cannot be read, and where.
func TestWrongWords(t *testing.T) {
	for text, want := range map[string]string{
		"bind 'a":                         "f:7:6: a single quote",
		"bind \"a":                        "f:7:6: a double quote",
		"bind \"a\\":                      "f:7:8: a backslash at the end",
		"bind a\\":                        "f:7:7: a backslash at the end",
		"bind \\x4":                       `f:7:6: \x wants`,
		"bind \\xzz":                      `f:7:6: \x wants`,
		"bind \"${HOST\"":                 "f:7:7: ${ that is never closed",
		"bind \"${}\"":                    "f:7:7: ${ without a name",
		"bind \"$ \"":                     "f:7:7: a dollar without a name",
		"bind \"${HOST+x}\"":              "f:7:7: ${HOST+x}: want",
		"bind \x00":                       "f:7:6: a NUL",
		strings.Repeat("a", MaxLine+1):    "a line of",
		strings.Repeat("a ", MaxWords+10): "more than",
	} {
		if _, err := words(text, Pos{"f", 7, 1}, env); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%.40q: got %v, want %s", text, err, want)
		}
	}
	long := func(string) (string, bool) { return strings.Repeat("x", 1<<20), true }
	if _, err := words(strings.Repeat("\"$A\" ", 9), Pos{"f", 1, 1}, long); err == nil || !strings.Contains(err.Error(), "make more than") {
		t.Errorf("variables without bound: %v", err)
	}
}

const sample = `# a shop
global
    maxconn 2000
defaults base
    mode http
defaults http from base
    timeout connect 5s

frontend web from http
    bind :80
  use_backend api if { path_beg /api }
listen stats
bind :9000
backend api`

// show writes a configuration in one form.
func show(c *Config) string {
	var b strings.Builder
	for _, s := range c.Sections {
		fmt.Fprintf(&b, "%s %q from %q at %s\n", s.Kind, s.Name, s.From, s.Head.Pos())
		for _, l := range s.Lines {
			b.WriteString(" ")
			for _, w := range l.Words {
				fmt.Fprintf(&b, " %q", w.Text)
			}
			fmt.Fprintf(&b, " @%d\n", l.Pos().Line)
		}
	}
	return b.String()
}

// TestSections reads sections, over two files as one.
func TestSections(t *testing.T) {
	c, err := Parse([]File{{"a.cfg", sample}, {"b.cfg", "  server s1 127.0.0.1:1\r\n\r\ndefaults\n\tmode tcp\n"}}, Options{})
	if err != nil {
		t.Fatal(err)
	}
	const want = `global "" from "" at a.cfg:2:1
  "maxconn" "2000" @3
defaults "base" from "" at a.cfg:4:1
  "mode" "http" @5
defaults "http" from "base" at a.cfg:6:1
  "timeout" "connect" "5s" @7
frontend "web" from "http" at a.cfg:9:1
  "bind" ":80" @10
  "use_backend" "api" "if" "{" "path_beg" "/api" "}" @11
listen "stats" from "" at a.cfg:12:1
  "bind" ":9000" @13
backend "api" from "" at a.cfg:14:1
  "server" "s1" "127.0.0.1:1" @1
defaults "" from "" at b.cfg:3:1
  "mode" "tcp" @4
`
	if got := show(c); got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
	for text, want := range map[string]string{
		"bind :80\n":              `f:1:1: "bind" stands before any section`,
		"global\nfrontend\n":      `f:2:1: a section "frontend" without a name`,
		"defaults a from\n":       "f:1:12: from names no defaults",
		"global\n.if 1\n":         "f:2:1: .if without .endif",
		"global\n.endif\n":        "f:2:1: .endif without .if",
		"global\n.else\n":         "f:2:1: .else without .if",
		".if 1\n.else\n.else\n":   "f:3:1: .else after .else",
		".if 1\n.else\n.elif 1\n": "f:3:1: .elif after .else",
		".what\n":                 `f:1:1: ".what" is none of`,
		"global\n.alert 'no' go":  "the file stops here: no go",
	} {
		if _, err := Parse([]File{{"f", text}}, Options{}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got %v, want %s", text, err, want)
		}
	}
}

// TestConditions evaluates what stands after .if.
func TestConditions(t *testing.T) {
	opt := Options{Env: env, Version: "2.8.3", Defines: map[string]bool{"OPENSSL": true, "ssllib_name_startswith(OpenSSL)": true}}
	for text, want := range map[string]bool{
		"1": true, "0": false, "17": true, "!0": true, "!!1": true, "! 1": false,
		"1 && 0": false, "1 || 0": true, "0 || 0 || 1": true, "1 || 1 && 0": true, "(1 || 1) && 0": false,
		"defined(HOST)": true, "defined(NONE)": false, "!defined(NONE)": true,
		"streq(a,a)": true, "streq(a, b)": false, "strneq(a,b)": true, "strstr(abc,b)": true,
		"streq(\"$HOST\",shop.example.org)": true, "streq(\"$NONE\",)": true,
		"feature(OPENSSL)": true, "feature(LUA)": false, "enabled(POLL)": false, "ssllib_name_startswith(OpenSSL)": true,
		"version_atleast(2.8)": true, "version_atleast(2.8.4)": false, "version_atleast(3.0)": false,
		"version_before(2.8.4)": true, "version_before(2.8.3)": false, "version_before(2.10)": true, "version_atleast(2.5-dev3)": true,
	} {
		p := &parser{opt: opt}
		if got, err := p.condition(text, Pos{"f", 1, 1}); err != nil || got != want {
			t.Errorf("%s: %v, %v", text, got, err)
		}
	}
	for text, want := range map[string]string{
		"": "it ends where", "1 &&": "it ends where", "(1": "never closed", "1)": "left over", "1 1": "left over",
		"defined": "wants its arguments", "defined(": "never closed", "what(1)": "no predicate what", "streq(a)": "want 2",
		"&": "nothing can begin", "version_atleast(x)": "want numbers", strings.Repeat("(", 100) + "1": "within each other",
		strings.Repeat("!", 100) + "1": "within each other",
	} {
		p := &parser{opt: opt}
		if _, err := p.condition(text, Pos{"f", 1, 1}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%.20q: got %v, want %s", text, err, want)
		}
	}
	p := &parser{}
	if _, err := p.condition("version_atleast(2.0)", Pos{}); err == nil {
		t.Error("a version is compared with none")
	}
}

// TestBlocks leaves out what conditions leave out, and says what that was.
func TestBlocks(t *testing.T) {
	const text = "global\n.if defined(A)\n a 1\n .if 1\n  a 2\n .else\n  a 3\n .endif\n.elif defined(B)\n b 1\n .if 0\n b 2\n .elif 1\n b 3\n .else\n b 4 # x\n .endif\n.else\n c 1\n .warning 'no A' \"nor B\"\n.endif\nd 1\n"
	for vars, want := range map[string]string{"A": "a 1, a 2, d 1", "B": "b 1, b 3, d 1", "A B": "a 1, a 2, d 1", "": "c 1, d 1"} {
		c, err := Parse([]File{{"f", text}}, Options{Env: func(name string) (string, bool) { return "", slices.Contains(strings.Fields(vars), name) }})
		if err != nil {
			t.Fatal(err)
		}
		var got []string
		for _, l := range c.Sections[0].Lines {
			got = append(got, l.Keyword()+" "+l.Words[1].Text)
		}
		if strings.Join(got, ", ") != want {
			t.Errorf("with %q: %q, want %q", vars, got, want)
		}
		if len(got)+len(c.Skipped) != 9 {
			t.Errorf("with %q: %d lines and %d left out, of 9", vars, len(got), len(c.Skipped))
		}
		if (vars == "") != (len(c.Notes) == 1 && c.Notes[0].Text == "no A nor B") {
			t.Errorf("with %q: %+v", vars, c.Notes)
		}
	}
}

// quoted writes a word so that it is read as itself.
func quoted(w string) string {
	var b strings.Builder
	b.WriteByte('"')
	for i := range len(w) {
		switch c := w[i]; c {
		case '\n':
			b.WriteString(`\n`)
		case '"', '\\', '$':
			b.WriteByte('\\')
			b.WriteByte(c)
		default:
			b.WriteByte(c)
		}
	}
	b.WriteByte('"')
	return b.String()
}

// FuzzParse reads anything without end or panic. Every word lies in the file where it
// says, and what has been read is read the same when written out again.
func FuzzParse(f *testing.F) {
	f.Add(sample)
	f.Add("global\n.if defined(A) && (streq(\"$B\",c) || !feature(D))\n a 'b c' \"${E-f}\"\n.elif version_atleast(2.4)\n.else\n.endif\n")
	f.Add("listen x\r\n server a b:1 weight 0 backup\\ x \\x41 \"${L[*]}\"")
	f.Fuzz(func(t *testing.T, text string) {
		c, err := Parse([]File{{"f", text}}, Options{Env: env, Version: "3.0"})
		if err != nil {
			if e := (*Error)(nil); !errors.As(err, &e) || e.Pos.Line < 1 || e.Pos.Line > strings.Count(text, "\n")+1 {
				t.Fatalf("%v", err)
			}
			return
		}
		var again strings.Builder
		write := func(l *Line) {
			if l.Pos().Line < 1 || l.Pos().Col < 1 {
				t.Fatalf("a line at %v", l.Pos())
			}
			for _, w := range l.Words {
				again.WriteString(quoted(w.Text) + " ")
			}
			again.WriteByte('\n')
		}
		var want []string
		for _, s := range c.Sections {
			write(s.Head)
			want = append(want, s.Kind+" "+s.Name+" "+s.From)
			for _, l := range s.Lines {
				write(l)
			}
		}
		same, err := Parse([]File{{"f", again.String()}}, Options{Version: "3.0"})
		if err != nil {
			t.Fatalf("%v, of %q", err, again.String())
		}
		var got []string
		for i, s := range same.Sections {
			got = append(got, s.Kind+" "+s.Name+" "+s.From)
			if i < len(c.Sections) && len(s.Lines) != len(c.Sections[i].Lines) {
				t.Fatalf("section %d has %d lines, then %d", i, len(c.Sections[i].Lines), len(s.Lines))
			}
		}
		if !slices.Equal(got, want) {
			t.Fatalf("%q, then %q", want, got)
		}
	})
}
