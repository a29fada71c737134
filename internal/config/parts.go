package config

import (
	"bytes"
	"errors"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// A large file is mostly [[service]] and [[pool]]. Decoded as a whole it takes many times
// its length; it is split where their elements begin, and each is decoded when it is read.

// part is a stretch of a file that is a document of its own: one element of an array of
// tables at the root, or all that is in none.
type part struct {
	*reader
	spans []span
	// array and at name the element; array is "" for what is in none.
	array string
	at    int
	lists []*elements // of what is in none: all arrays
	// record says that this is a record of a configuration: what is wrong with it is told by
	// its key and the field, and not by a line.
	record bool
	lines  map[string]int // by path, such as service[0].route[1].path; nil until one is asked for
}

// span is a run of whole lines.
type span struct {
	text []byte
	line int // of its beginning, from 1
}

// elements are those of one array of tables.
type elements struct {
	parts []*part
	read  bool
}

// open splits the text and decodes what is in no array. The table is nil where that fails.
func open(file string, text []byte) (*reader, *table) {
	r := &reader{file: file}
	if len(text) > maxFile {
		r.add(0, "%d bytes: want %d at the most", len(text), maxFile)
		return r, nil
	}
	rest, arrays := r.split(text)
	m := rest.decode()
	if m == nil {
		m = make(map[string]any) // another part may be broken further ahead
	}
	for name, list := range arrays {
		m[name] = list
	}
	return r, &table{part: rest, m: m}
}

// split finds the parts. A name belongs to an array of parts where [[name]] is the first
// that is heard of it: only then does each [[name]] begin anew what may follow it.
func (r *reader) split(text []byte) (*part, map[string]*elements) {
	text = text[:len(text):len(text)] // the parser knows places by what is left of the capacity
	rest := &part{reader: r}
	arrays := make(map[string]*elements)
	others := make(map[string]bool)
	var p unstable.Parser
	p.Reset(text)
	at := counter{text: text, line: 1}
	now, from, fromLine := rest, 0, 1
	for inTable := false; p.NextExpression(); {
		e := p.Expression()
		it := e.Key()
		it.Next()
		k := it.Node()
		if e.Kind == unstable.KeyValue {
			if !inTable {
				others[string(k.Data)] = true
			}
			continue
		}
		inTable = true
		list, next := arrays[string(k.Data)], rest
		switch one := e.Kind == unstable.ArrayTable && it.IsLast(); {
		case one && (list != nil || !others[string(k.Data)]):
			name := string(k.Data)
			if list == nil {
				list = &elements{}
				arrays[name] = list
				rest.lists = append(rest.lists, list)
			}
			next = &part{reader: r, array: name, at: len(list.parts)}
			list.parts = append(list.parts, next)
		case list != nil:
			next = list.parts[len(list.parts)-1]
		default:
			others[string(k.Data)] = true
		}
		if next != now {
			line := at.lineOf(int(k.Raw.Offset))
			start := bytes.LastIndexByte(text[:k.Raw.Offset], '\n') + 1
			now.spans = append(now.spans, span{text[from:start:start], fromLine})
			now, from, fromLine = next, start, line
		}
	}
	if err := (*unstable.ParserError)(nil); errors.As(p.Error(), &err) {
		r.notTOML(at.lineOf(int(p.Range(err.Highlight).Offset)), err.Message)
	}
	now.spans = append(now.spans, span{text[from:], fromLine})
	return rest, arrays
}

// counter tells the lines of places that come in their order in a text.
type counter struct {
	text []byte
	at   int
	line int
}

func (c *counter) lineOf(offset int) int {
	c.line += bytes.Count(c.text[c.at:offset], []byte("\n"))
	c.at = offset
	return c.line
}

// notTOML notes a place that is not TOML, unless one before it is known.
func (r *reader) notTOML(line int, text string) {
	if r.broken == nil || line < r.broken.Line {
		r.broken = &Mistake{r.file, line, "not TOML: " + strings.TrimPrefix(text, "toml: ")}
	}
}

// decode gives the part's tables and values, or nil where it is not TOML.
func (p *part) decode() map[string]any {
	text := p.spans[0].text
	if len(p.spans) > 1 {
		text = nil
		for _, s := range p.spans {
			text = append(text, s.text...)
		}
	}
	var m map[string]any
	err := toml.Unmarshal(text, &m)
	if err == nil {
		return m
	}
	row := 1
	if d := (*toml.DecodeError)(nil); errors.As(err, &d) {
		row, _ = d.Position()
	}
	i := 0
	for ; i < len(p.spans)-1; i++ {
		n := bytes.Count(p.spans[i].text, []byte("\n"))
		if row <= n {
			break
		}
		row -= n
	}
	p.notTOML(p.spans[i].line+row-1, err.Error())
	return nil
}

// each decodes the elements one after another.
func (l *elements) each(yield func(*table) bool) {
	l.read = true
	for _, p := range l.parts {
		m := p.decode()
		if m == nil {
			continue
		}
		list, _ := m[p.array].([]any)
		more := yield(&table{part: p, path: entry(p.array, p.at), m: list[0].(map[string]any)})
		if p.lines = nil; !more { // nobody asks again
			return
		}
	}
}

// decodeUnread decodes the elements that nobody has read, which have to be TOML too.
func (p *part) decodeUnread() {
	for _, l := range p.lists {
		if !l.read {
			l.each(func(*table) bool { return true })
		}
	}
}

// line is where a path stands.
func (p *part) line(path string) (int, bool) {
	if p.lines == nil {
		p.locate()
	}
	line, ok := p.lines[path]
	return line, ok
}

// locate notes the line of each key.
func (p *part) locate() {
	p.lines = make(map[string]int)
	arrays := map[string]int{p.array: p.at} // of tables, by path: how many so far
	for _, s := range p.spans {
		l := locator{part: p}
		l.Reset(s.text)
		l.counter = counter{text: s.text, line: s.line}
		l.locate(arrays)
	}
	for _, list := range p.lists {
		p.note(list.parts[0].array, list.parts[0].spans[0].line)
	}
}

// locator notes the lines of a span.
type locator struct {
	*part
	unstable.Parser
	counter
}

func (l *locator) locate(arrays map[string]int) {
	at := ""
	for l.NextExpression() {
		e := l.Expression()
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			at = ""
			var line int
			it := e.Key()
			for it.Next() {
				k := it.Node()
				line = l.lineOf(int(k.Raw.Offset))
				at = join(at, string(k.Data))
				if !it.IsLast() || e.Kind == unstable.Table {
					if n := arrays[at]; n > 0 {
						at = entry(at, n-1)
					}
				}
			}
			if e.Kind == unstable.ArrayTable {
				arrays[at]++
				l.note(at, line)
				at = entry(at, arrays[at]-1)
			}
			l.note(at, line)
		case unstable.KeyValue:
			l.value(at, e)
		}
	}
}

func (p *part) note(path string, line int) {
	if _, ok := p.lines[path]; !ok {
		p.lines[path] = line
	}
}

func (l *locator) value(at string, e *unstable.Node) {
	line := 0
	for it := e.Key(); it.Next(); {
		k := it.Node()
		line = l.lineOf(int(k.Raw.Offset))
		at = join(at, string(k.Data))
		l.note(at, line)
	}
	l.within(at, line, e.Value())
}

// within goes through the keys in a value.
func (l *locator) within(at string, line int, v *unstable.Node) {
	switch v.Kind {
	case unstable.InlineTable:
		for it := v.Children(); it.Next(); {
			l.value(at, it.Node())
		}
	case unstable.Array:
		i := 0
		for it := v.Children(); it.Next(); {
			if it.Node().Kind == unstable.Comment {
				continue
			}
			path := entry(at, i)
			l.note(path, line)
			l.within(path, line, it.Node())
			i++
		}
	}
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// entry is the path of an array's element.
func entry(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }
