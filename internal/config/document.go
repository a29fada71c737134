package config

import (
	"bytes"
	"errors"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// A large file is mostly [[service]] and [[pool]]. Decoded as a whole it takes many times its length
// in memory; it is split where the elements of these arrays begin, and each is decoded when it is
// read.

// document is a stretch of a file that is decoded by itself: one element of an array of tables at the
// root, or the rest, which is in none of them.
type document struct {
	*reader
	spans []span
	// array and position name the element; array is "" with the rest.
	array    string
	position int
	arrays   []*documentArray // with the rest: all arrays
	// isRecord says that this is a record of a configuration. Its mistakes are reported by its key
	// and the path of a value, as it has no lines.
	isRecord bool
	lines    map[string]int // by path, such as service[0].route[1].path; nil until one is asked for
}

// span is a run of whole lines.
type span struct {
	text []byte
	line int // of its beginning, from 1
}

// documentArray are the elements of one array of tables.
type documentArray struct {
	documents []*document
	read      bool
}

// open splits a file's text and decodes what is in no array. The table is nil where that fails.
func open(file string, text []byte) (*reader, *table) {
	r := &reader{file: file}
	if len(text) > maxFileBytes {
		r.add(0, "%d bytes: want %d at the most", len(text), maxFileBytes)
		return r, nil
	}
	rest, arrays := r.split(text)
	values := rest.decode()
	if values == nil {
		values = make(map[string]any) // an earlier place in another document may be broken, too
	}
	for name, array := range arrays {
		values[name] = array
	}
	return r, &table{document: rest, values: values}
}

// splitter splits a file's text into documents.
type splitter struct {
	text   []byte
	rest   *document
	arrays map[string]*documentArray
	// others are names at the root that stand for something else before a [[name]]: only where
	// [[name]] comes first does each one begin a new element.
	others  map[string]bool
	lines   lineCounter
	current *document // whose span begins at from
	from    int
	line    int // of from
}

// split finds the documents of a text.
func (r *reader) split(text []byte) (*document, map[string]*documentArray) {
	text = text[:len(text):len(text)] // the parser knows places by the capacity that is left
	rest := &document{reader: r}
	s := &splitter{
		text: text, rest: rest, arrays: make(map[string]*documentArray), others: make(map[string]bool),
		lines: lineCounter{text: text, line: 1}, current: rest, line: 1,
	}
	var p unstable.Parser
	p.Reset(text)
	for inTable := false; p.NextExpression(); {
		e := p.Expression()
		key := e.Key()
		key.Next()
		first := key.Node()
		if e.Kind != unstable.KeyValue {
			inTable = true
			s.startTable(e, first, key.IsLast())
		} else if !inTable {
			s.others[string(first.Data)] = true
		}
	}
	if err := (*unstable.ParserError)(nil); errors.As(p.Error(), &err) {
		r.addNotTOML(s.lines.lineOf(int(p.Range(err.Highlight).Offset)), err.Message)
	}
	s.current.spans = append(s.current.spans, span{text[s.from:], s.line})
	return rest, s.arrays
}

// startTable ends the current document's span where a table's head belongs to another document.
func (s *splitter) startTable(e, first *unstable.Node, oneName bool) {
	next := s.documentOf(string(first.Data), e.Kind == unstable.ArrayTable && oneName)
	if next == s.current {
		return
	}
	line := s.lines.lineOf(int(first.Raw.Offset))
	start := bytes.LastIndexByte(s.text[:first.Raw.Offset], '\n') + 1
	s.current.spans = append(s.current.spans, span{s.text[s.from:start:start], s.line})
	s.current, s.from, s.line = next, start, line
}

// documentOf returns the document of a table whose path begins with a name. An element of an array at
// the root is a new one.
func (s *splitter) documentOf(name string, isElement bool) *document {
	array := s.arrays[name]
	switch {
	case isElement && (array != nil || !s.others[name]):
		if array == nil {
			array = &documentArray{}
			s.arrays[name] = array
			s.rest.arrays = append(s.rest.arrays, array)
		}
		next := &document{reader: s.rest.reader, array: name, position: len(array.documents)}
		array.documents = append(array.documents, next)
		return next
	case array != nil:
		return array.documents[len(array.documents)-1]
	default:
		s.others[name] = true
		return s.rest
	}
}

// decode returns the document's values, or nil where it is not TOML.
func (d *document) decode() map[string]any {
	text := d.spans[0].text
	if len(d.spans) > 1 {
		text = nil
		for _, s := range d.spans {
			text = append(text, s.text...)
		}
	}
	var values map[string]any
	err := toml.Unmarshal(text, &values)
	if err == nil {
		return values
	}
	row := 1
	if e := (*toml.DecodeError)(nil); errors.As(err, &e) {
		row, _ = e.Position()
	}
	d.addNotTOML(d.fileLine(row), err.Error())
	return nil
}

// fileLine returns the line of the file for a line of the document, both from 1.
func (d *document) fileLine(row int) int {
	last := len(d.spans) - 1
	for _, s := range d.spans[:last] {
		lines := bytes.Count(s.text, []byte("\n"))
		if row <= lines {
			return s.line + row - 1
		}
		row -= lines
	}
	return d.spans[last].line + row - 1
}

// tables decodes the elements one after another and yields the table of each.
func (a *documentArray) tables(yield func(*table) bool) {
	a.read = true
	for _, d := range a.documents {
		values := d.decode()
		if values == nil {
			continue
		}
		list, _ := values[d.array].([]any) // the document begins with its element's [[name]]
		more := yield(&table{document: d, path: elementPath(d.array, d.position), values: list[0].(map[string]any)})
		d.lines = nil // nothing asks for them again
		if !more {
			return
		}
	}
}

// decodeUnread decodes the elements that nothing has read, which have to be TOML too.
func (d *document) decodeUnread() {
	for _, a := range d.arrays {
		if !a.read {
			a.tables(func(*table) bool { return true })
		}
	}
}
