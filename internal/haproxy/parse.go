package haproxy

import (
	"fmt"
	"strconv"
	"strings"
)

// File is one file's text.
type File struct {
	Name string
	Text string
}

// Line is a line that says something: its first word is the keyword. Condition
// lines are none of these.
type Line struct {
	Words []Word
}

// Pos is where the line's first word stands.
func (l *Line) Pos() Pos { return l.Words[0].Pos }

// Keyword is the line's first word.
func (l *Line) Keyword() string { return l.Words[0].Text }

// Section is a section with its lines.
type Section struct {
	Kind  string
	Name  string // "" where it has none
	From  string // the defaults section that it names by "from"
	Head  *Line  // with whatever else its first line says
	Lines []*Line
}

// Skipped is a line that a condition leaves out.
type Skipped struct {
	Pos  Pos
	Text string
}

// Config is what some files say, read one after the other.
type Config struct {
	Sections []*Section
	Skipped  []Skipped // by .if and its like
	Notes    []Note    // by .notice, .warning and .alert
}

// Note is a message that a file gives to its reader.
type Note struct {
	Pos   Pos
	Level string // notice, warning, alert or diag
	Text  string
}

// Options say what the files cannot.
type Options struct {
	Env     Env
	Version string // of HAProxy that they were written for, such as "3.0"
	// Defines are the features and options that hold, by the words in parentheses
	// after feature and enabled. What is not named does not hold.
	Defines map[string]bool
}

// naming says whether a section has a name.
type naming uint8

const (
	nameless naming = iota
	may
	must
)

// sections are those that HAProxy knows. A line that begins with one of these words
// begins a section, wherever it stands.
var sections = map[string]naming{
	"global": nameless, "defaults": may, "frontend": must, "backend": must, "listen": must, "userlist": must,
	"peers": must, "resolvers": must, "mailers": must, "cache": must, "program": must, "http-errors": must,
	"ring": must, "fcgi-app": must, "log-forward": must, "crt-store": may, "traces": nameless, "log-profile": must, "acme": must,
}

// Parse reads files in their order, as one configuration. It stops at the first
// thing that HAProxy would not read.
func Parse(files []File, opt Options) (*Config, error) {
	p := &parser{opt: opt, cfg: &Config{}}
	for _, f := range files {
		if err := p.file(f); err != nil {
			return nil, err
		}
	}
	return p.cfg, nil
}

type parser struct {
	opt   Options
	cfg   *Config
	at    *Section
	conds []cond // open .if blocks, in the file
}

// cond is an open .if block.
type cond struct {
	pos   Pos
	holds bool // its present branch
	taken bool // this branch or one before
	last  bool // .else has come
}

// maxDepth of .if blocks, as HAProxy has it.
const maxDepth = 10

func (p *parser) file(f File) error {
	text := f.Text
	for n := 1; text != ""; n++ {
		line, rest, _ := strings.Cut(text, "\n")
		text = rest
		if err := p.line(line, Pos{f.Name, n, 1}); err != nil {
			return err
		}
	}
	if len(p.conds) > 0 {
		return &Error{p.conds[len(p.conds)-1].pos, ".if without .endif in this file"}
	}
	return nil
}

// env gives variables, and what HAProxy itself gives: ${.FILE} and its like.
func (p *parser) env(at Pos) Env {
	return func(name string) (string, bool) {
		switch name {
		case ".FILE":
			return at.File, true
		case ".LINE":
			return strconv.Itoa(at.Line), true
		case ".SECTION":
			if p.at == nil {
				return "", false
			}
			return p.at.Kind, true
		}
		if p.opt.Env == nil {
			return "", false
		}
		return p.opt.Env(name)
	}
}

func (p *parser) line(text string, at Pos) error {
	trimmed := strings.TrimLeft(text, " \t\r")
	if strings.HasPrefix(trimmed, ".") {
		at.Col += len(text) - len(trimmed)
		return p.macro(strings.TrimRight(trimmed, " \t\r"), at)
	}
	if !p.holds() {
		if trimmed != "" && trimmed[0] != '#' {
			p.cfg.Skipped = append(p.cfg.Skipped, Skipped{at, strings.TrimRight(trimmed, "\r")})
		}
		return nil
	}
	all, err := words(text, at, p.env(at))
	if err != nil || len(all) == 0 {
		return err
	}
	l := &Line{all}
	if rule, known := sections[l.Keyword()]; known {
		return p.section(l, rule)
	}
	if p.at == nil {
		return &Error{l.Pos(), fmt.Sprintf("%q stands before any section", l.Keyword())}
	}
	p.at.Lines = append(p.at.Lines, l)
	return nil
}

// section begins a section.
func (p *parser) section(l *Line, rule naming) error {
	s := &Section{Kind: l.Keyword(), Head: l}
	rest := l.Words[1:]
	if rule != nameless && len(rest) > 0 && (rest[0].Text != "from" || rule == must) {
		s.Name, rest = rest[0].Text, rest[1:]
	}
	if rule == must && s.Name == "" {
		return &Error{l.Pos(), fmt.Sprintf("a section %q without a name", s.Kind)}
	}
	if len(rest) > 0 && rest[0].Text == "from" {
		if len(rest) == 1 {
			return &Error{rest[0].Pos, "from names no defaults section"}
		}
		s.From = rest[1].Text
	}
	p.at = s
	p.cfg.Sections = append(p.cfg.Sections, s)
	return nil
}

// holds says whether all open conditions hold.
func (p *parser) holds() bool { return len(p.conds) == 0 || p.conds[len(p.conds)-1].holds }

// around says whether the conditions round the innermost hold.
func (p *parser) around() bool { return len(p.conds) < 2 || p.conds[len(p.conds)-2].holds }

// macro takes a line that begins with a dot.
func (p *parser) macro(text string, at Pos) error {
	word, rest, _ := strings.Cut(text, " ")
	if i := strings.IndexByte(word, '\t'); i >= 0 {
		word, rest = word[:i], word[i+1:]+" "+rest
	}
	inner := len(p.conds) - 1
	switch word {
	case ".if":
		if len(p.conds) == maxDepth {
			return &Error{at, fmt.Sprintf("more than %d .if within each other", maxDepth)}
		}
		c := cond{pos: at, taken: true}
		if p.holds() {
			holds, err := p.condition(rest, at)
			if err != nil {
				return err
			}
			c.holds, c.taken = holds, holds
		}
		p.conds = append(p.conds, c)
		return nil
	case ".elif", ".else", ".endif":
		if inner < 0 {
			return &Error{at, word + " without .if"}
		}
	}
	switch word {
	case ".elif":
		c := &p.conds[inner]
		if c.last {
			return &Error{at, ".elif after .else"}
		}
		c.holds = false
		if !c.taken && p.around() {
			holds, err := p.condition(rest, at)
			if err != nil {
				return err
			}
			c.holds, c.taken = holds, holds
		}
	case ".else":
		c := &p.conds[inner]
		if c.last {
			return &Error{at, ".else after .else"}
		}
		c.holds, c.last = !c.taken && p.around(), true
		c.taken = true
	case ".endif":
		p.conds = p.conds[:inner]
	case ".notice", ".warning", ".alert", ".diag":
		if !p.holds() {
			return nil
		}
		all, err := words(rest, at, p.env(at))
		if err != nil {
			return err
		}
		said := make([]string, len(all))
		for i, w := range all {
			said[i] = w.Text
		}
		p.cfg.Notes = append(p.cfg.Notes, Note{at, word[1:], strings.Join(said, " ")})
		if word == ".alert" {
			return &Error{at, "the file stops here: " + strings.Join(said, " ")}
		}
	default:
		if p.holds() {
			return &Error{at, fmt.Sprintf("%q is none of .if, .elif, .else, .endif, .diag, .notice, .warning and .alert", word)}
		}
	}
	return nil
}
