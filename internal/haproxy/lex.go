// Package haproxy reads configurations of HAProxy as its documentation describes
// them: sections of lines of words, after quoting, environment variables and
// conditional blocks. It knows where every word stands. It is pure: the caller
// brings the text and the environment.
package haproxy

import (
	"fmt"
	"strings"
)

// Bounds of what is read.
const (
	// MaxLine is the longest line, in bytes, MaxWords the most words of one.
	MaxLine  = 1 << 20
	MaxWords = 4096
	// maxExpanded bounds what environment variables may make of one line, in bytes.
	maxExpanded = 4 << 20
)

// Pos is a place in a file. Lines and columns count from 1, columns in bytes.
type Pos struct {
	File      string
	Line, Col int
}

func (p Pos) String() string { return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Col) }

// Word is one word of a line, as HAProxy would see it.
type Word struct {
	Text string
	Pos  Pos
}

// Error is something that HAProxy would not read, either.
type Error struct {
	Pos  Pos
	Text string
}

func (e *Error) Error() string { return e.Pos.String() + ": " + e.Text }

// Env gives the value of an environment variable.
type Env func(name string) (value string, ok bool)

// lexer takes one line apart.
type lexer struct {
	text  string
	at    int
	start Pos // of the line
	env   Env
	words []Word
	word  strings.Builder
	open  bool // a word has begun, be it empty
	pos   Pos  // where
	sum   int  // bytes of all words so far
}

// words takes a line apart, without its line feed. A comment ends it.
func words(text string, start Pos, env Env) ([]Word, error) {
	l := &lexer{text: text, start: start, env: env}
	if len(text) > MaxLine {
		return nil, &Error{start, fmt.Sprintf("a line of %d bytes: %d are the most", len(text), MaxLine)}
	}
	if at := strings.IndexByte(text, 0); at >= 0 {
		return nil, l.fail(at, "a NUL character")
	}
	for l.at < len(l.text) {
		if done, err := l.next(); err != nil {
			return nil, err
		} else if done {
			break
		}
	}
	return l.words, l.end()
}

func (l *lexer) place(at int) Pos {
	p := l.start
	p.Col += at
	return p
}

func (l *lexer) fail(at int, text string) error { return &Error{l.place(at), text} }

// begin notes where a word begins.
func (l *lexer) begin() {
	if !l.open {
		l.open, l.pos = true, l.place(l.at)
	}
}

// end ends a word, if one has begun.
func (l *lexer) end() error {
	if !l.open {
		return nil
	}
	l.words = append(l.words, Word{l.word.String(), l.pos})
	l.word.Reset()
	l.open = false
	if len(l.words) > MaxWords {
		return &Error{l.pos, fmt.Sprintf("more than %d words on a line", MaxWords)}
	}
	return nil
}

func (l *lexer) put(s string) error {
	if l.sum += len(s); l.sum > maxExpanded {
		return l.fail(l.at, fmt.Sprintf("environment variables make more than %d bytes of this line", maxExpanded))
	}
	l.word.WriteString(s)
	return nil
}

// next takes what comes outside of quotes. It says whether the line has ended.
func (l *lexer) next() (done bool, err error) {
	switch l.text[l.at] {
	case ' ', '\t', '\r':
		l.at++
		return false, l.end()
	case '#':
		return true, nil
	case '\'':
		l.begin()
		return false, l.strong()
	case '"':
		l.begin()
		return false, l.weak()
	case '\\':
		l.begin()
		return false, l.escape()
	}
	l.begin()
	l.at++
	return false, l.put(l.text[l.at-1 : l.at])
}

// strong takes a string in single quotes, in which nothing is special.
func (l *lexer) strong() error {
	n := strings.IndexByte(l.text[l.at+1:], '\'')
	if n < 0 {
		return l.fail(l.at, "a single quote that is never closed")
	}
	s := l.text[l.at+1 : l.at+1+n]
	l.at += n + 2
	return l.put(s)
}

// weak takes a string in double quotes, in which backslash and dollar are special.
func (l *lexer) weak() error {
	from := l.at
	for l.at++; l.at < len(l.text); {
		switch l.text[l.at] {
		case '"':
			l.at++
			return nil
		case '\\':
			if err := l.escape(); err != nil {
				return err
			}
		case '$':
			if err := l.variable(); err != nil {
				return err
			}
		default:
			l.at++
			if err := l.put(l.text[l.at-1 : l.at]); err != nil {
				return err
			}
		}
	}
	return l.fail(from, "a double quote that is never closed")
}

// escapes of one letter.
var escapes = map[byte]string{'n': "\n", 'r': "\r", 't': "\t", ' ': " ", '#': "#", '\\': "\\", '\'': "'", '"': "\"", '$': "$"}

// escape takes a backslash and what it makes special or plain. A backslash before
// anything else stands for itself, as in the regular expressions it is used in.
func (l *lexer) escape() error {
	if l.at+1 >= len(l.text) {
		return l.fail(l.at, "a backslash at the end of the line: lines cannot be continued")
	}
	c := l.text[l.at+1]
	if c == 'x' {
		var b byte
		if l.at+4 > len(l.text) {
			return l.fail(l.at, `\x wants two hexadecimal digits`)
		}
		for _, h := range []byte(l.text[l.at+2 : l.at+4]) {
			d := strings.IndexByte("0123456789abcdef", h|0x20)
			if d < 0 || h < '0' {
				return l.fail(l.at, `\x wants two hexadecimal digits`)
			}
			b = b<<4 | byte(d)
		}
		l.at += 4
		return l.put(string([]byte{b}))
	}
	if s, ok := escapes[c]; ok {
		l.at += 2
		return l.put(s)
	}
	l.at++
	return l.put("\\")
}

// variable takes $NAME, ${NAME}, ${NAME-default} or ${NAME[*]}. One that is not set
// is empty. With [*] its value is taken apart at blanks into words of their own.
func (l *lexer) variable() error {
	from := l.at
	rest := l.text[l.at+1:]
	braced := strings.HasPrefix(rest, "{")
	if braced {
		rest = rest[1:]
	}
	n := 0
	if braced && strings.HasPrefix(rest, ".") {
		n = 1 // .FILE, .LINE and .SECTION, which the parser knows
	}
	for n < len(rest) && (isName(rest[n]) || n > 0 && rest[n] >= '0' && rest[n] <= '9') {
		n++
	}
	name := rest[:n]
	if !braced && n == 0 {
		return l.fail(from, "a dollar without a name: write \\$ for the sign itself")
	}
	if !braced {
		l.at += 1 + n
		value, _ := l.env(name)
		return l.put(value)
	}
	end := strings.IndexByte(rest, '}')
	switch {
	case n == 0:
		return l.fail(from, "${ without a name")
	case end < 0:
		return l.fail(from, "${ that is never closed")
	}
	tail := rest[n:end]
	l.at += 2 + end + 1
	apart := strings.HasPrefix(tail, "[*]")
	tail = strings.TrimPrefix(tail, "[*]")
	value, ok := l.env(name)
	switch {
	case tail == "":
	case tail[0] == '-':
		if !ok || value == "" {
			value = tail[1:]
		}
	default:
		return l.fail(from, fmt.Sprintf("${%s: want }, -default} or [*]} after the name", rest[:end+1]))
	}
	if !apart {
		return l.put(value)
	}
	for i, part := range strings.Fields(value) {
		if i > 0 {
			if err := l.end(); err != nil {
				return err
			}
			l.open = true // at the same place
		}
		if err := l.put(part); err != nil {
			return err
		}
	}
	return nil
}

func isName(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_'
}
