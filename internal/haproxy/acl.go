package haproxy

import (
	"fmt"
	"slices"
	"strings"
)

// Test is what an ACL looks for: something of the request, and what it must be.
type Test struct {
	Pos       Pos
	Criterion string // with arguments and converters, such as hdr(host),lower
	NoCase    bool   // -i
	Method    string // of -m: beg, dir, dom, end, found, int, ip, len, reg, str, sub ..; "" for the criterion's own
	Files     []Word // of -f, whose lines are values, too
	Maps      bool   // -M: the files are maps
	NoDNS     bool   // -n
	ID        string // of -u
	Values    []Word
}

// Condition stands behind if or unless: it holds where all operands of one of its
// terms hold, or, with Unless, where none does.
type Condition struct {
	Pos    Pos
	Unless bool
	Terms  [][]Operand
}

// Operand is a named ACL or an anonymous one.
type Operand struct {
	Pos     Pos
	Negated bool
	Name    string // "" for an anonymous one
	Test    *Test  // of an anonymous one
}

// Split parts a directive's words from the condition at their end: the first if or
// unless that stands outside of braces. There may be none.
func Split(all []Word) (directive []Word, c *Condition, err error) {
	at := slices.IndexFunc(all, func(w Word) bool { return w.Text == "if" || w.Text == "unless" })
	if at < 0 {
		return all, nil, nil
	}
	c, err = condition(all[at], all[at+1:])
	return all[:at], c, err
}

// condition reads what follows if or unless.
func condition(word Word, rest []Word) (*Condition, error) {
	c := &Condition{Pos: word.Pos, Unless: word.Text == "unless"}
	var term []Operand
	end := word.Pos
	for len(rest) > 0 {
		w := rest[0]
		end = w.Pos
		if w.Text == "||" || w.Text == "or" {
			if len(term) == 0 {
				return nil, &Error{w.Pos, fmt.Sprintf("%q has nothing before it", w.Text)}
			}
			c.Terms, term, rest = append(c.Terms, term), nil, rest[1:]
			continue
		}
		var o Operand
		var err error
		if o, rest, err = operand(rest); err != nil {
			return nil, err
		}
		term = append(term, o)
	}
	if len(term) == 0 {
		return nil, &Error{end, "the condition ends where an ACL is wanted"}
	}
	c.Terms = append(c.Terms, term)
	return c, nil
}

// operand reads one operand from the front of some words.
func operand(rest []Word) (o Operand, left []Word, err error) {
	o.Pos = rest[0].Pos
	text := rest[0].Text
	for strings.HasPrefix(text, "!") {
		o.Negated = !o.Negated
		if text = text[1:]; text != "" {
			continue
		}
		if rest = rest[1:]; len(rest) == 0 {
			return o, nil, &Error{o.Pos, "\"!\" has nothing behind it"}
		}
		text = rest[0].Text
	}
	if text != "{" {
		if text == "}" || text == "" {
			return o, nil, &Error{rest[0].Pos, fmt.Sprintf("%q is no name of an ACL", text)}
		}
		o.Name = text
		return o, rest[1:], nil
	}
	end := slices.IndexFunc(rest, func(w Word) bool { return w.Text == "}" })
	if end < 0 {
		return o, nil, &Error{rest[0].Pos, "a brace that is never closed"}
	}
	if o.Test, err = ParseTest(rest[1:end]); err != nil {
		return o, nil, err
	}
	if o.Test == nil {
		return o, nil, &Error{rest[0].Pos, "braces without a criterion between"}
	}
	return o, rest[end+1:], nil
}

// ParseTest reads a criterion with its flags and values, as it stands behind an ACL's
// name or in braces. Of no words it is nil.
func ParseTest(all []Word) (*Test, error) {
	if len(all) == 0 {
		return nil, nil
	}
	t := &Test{Pos: all[0].Pos, Criterion: all[0].Text}
	rest := all[1:]
	for len(rest) > 0 && len(rest[0].Text) > 1 && rest[0].Text[0] == '-' {
		flag := rest[0]
		rest = rest[1:]
		if flag.Text == "--" {
			break
		}
		wants := flag.Text == "-f" || flag.Text == "-m" || flag.Text == "-u"
		if wants && len(rest) == 0 {
			return nil, &Error{flag.Pos, flag.Text + " has nothing behind it"}
		}
		switch flag.Text {
		case "-i":
			t.NoCase = true
		case "-n":
			t.NoDNS = true
		case "-M":
			t.Maps = true
		case "-f":
			t.Files = append(t.Files, rest[0])
		case "-m":
			t.Method = rest[0].Text
		case "-u":
			t.ID = rest[0].Text
		default:
			// A negative number is a value, as anything else is that is no flag.
			t.Values = append([]Word{flag}, rest...)
			return t, nil
		}
		if wants {
			rest = rest[1:]
		}
	}
	t.Values = rest
	return t, nil
}
