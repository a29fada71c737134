package config

import (
	"bytes"
	"errors"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// A large file consists mostly of [[service]] and [[pool]] tables. Decoding it as a whole would use many
// times its length in memory. Therefore the file is split where the elements of these arrays begin, and each
// element is decoded only when it is read.

// document is a part of a file that is decoded separately: one element of an array of tables at the root,
// or the rest of the file, which is in none of these arrays.
type document struct {
	*reader
	spans []span
	// array and position identify the element; array is "" for the rest of the file.
	array    string
	position int
	arrays   []*documentArray // for the rest of the file: all arrays
	// isRecord reports whether the document is a record of a configuration. Its errors state the record's
	// key and the path of a value, since it has no lines.
	isRecord bool
	lines    map[string]int // by path, such as service[0].route[1].path; nil until the first use
}

// span is a sequence of complete lines of a file.
type span struct {
	text []byte
	line int // number of the first line, from 1
}

// documentArray is the list of the elements of one array of tables.
type documentArray struct {
	documents []*document
	read      bool
}

// open splits a file's text into documents and decodes the rest, which is in no array. The returned root
// table is nil if the file is too large.
func open(file string, text []byte) (*reader, *table) {
	r := &reader{file: file}
	if len(text) > maxFileBytes {
		r.add(0, "file has %d bytes: want at most %d", len(text), maxFileBytes)
		return r, nil
	}
	rest, arrays := r.split(text)
	values := rest.decode()
	if values == nil {
		values = make(map[string]any) // another document may have an earlier syntax error
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
	// otherNames are names at the root that were used for something else before the first [[name]]. For such a
	// name [[name]] does not start a new document.
	otherNames map[string]bool
	lines      lineCounter
	current    *document // the document whose span begins at from
	from       int       // offset in text
	line       int       // number of the line at offset from
}

// split splits a text into the rest of the file and the arrays by name.
func (r *reader) split(text []byte) (*document, map[string]*documentArray) {
	text = text[:len(text):len(text)] // the parser computes offsets from the slice's capacity
	rest := &document{reader: r}
	fileSplitter := &splitter{
		text: text, rest: rest, arrays: make(map[string]*documentArray), otherNames: make(map[string]bool),
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
			fileSplitter.startTable(e, first, key.IsLast())
		} else if !inTable {
			fileSplitter.otherNames[string(first.Data)] = true
		}
	}
	if err := (*unstable.ParserError)(nil); errors.As(p.Error(), &err) {
		r.addSyntaxError(fileSplitter.lines.lineOf(int(p.Range(err.Highlight).Offset)), err.Message)
	}
	fileSplitter.current.spans = append(fileSplitter.current.spans, span{text[fileSplitter.from:], fileSplitter.line})
	return rest, fileSplitter.arrays
}

// startTable ends the span of the current document if a table header belongs to another document.
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

// documentOf returns the document of a table whose path begins with a name. For an element of an array at
// the root it creates a new document.
func (s *splitter) documentOf(name string, isElement bool) *document {
	array := s.arrays[name]
	switch {
	case isElement && (array != nil || !s.otherNames[name]):
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
		s.otherNames[name] = true
		return s.rest
	}
}

// decode returns the document's values, or nil after a TOML syntax error, which it adds to the errors.
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
	d.addSyntaxError(d.fileLine(row), err.Error())
	return nil
}

// fileLine converts a line number of the document to that of the file, both from 1.
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

// tables decodes the elements one after another and yields the table of each element.
func (a *documentArray) tables(yield func(*table) bool) {
	a.read = true
	for _, d := range a.documents {
		values := d.decode()
		if values == nil {
			continue
		}
		list, _ := values[d.array].([]any) // the document begins with its element's [[name]]
		more := yield(&table{document: d, path: elementPath(d.array, d.position), values: list[0].(map[string]any)})
		d.lines = nil // not needed any more
		if !more {
			return
		}
	}
}

// decodeUnread decodes the elements that have not been read, to report their syntax errors.
func (d *document) decodeUnread() {
	for _, a := range d.arrays {
		if !a.read {
			a.tables(func(*table) bool { return true })
		}
	}
}
