package config

import (
	"bytes"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lineCounter converts offsets, in ascending order, to line numbers. It scans each byte once.
type lineCounter struct {
	text   []byte
	offset int
	line   int // number of the line at offset, from 1
}

// lineOf returns the line of an offset, which must not be below that of the previous call.
func (c *lineCounter) lineOf(offset int) int {
	c.line += bytes.Count(c.text[c.offset:offset], []byte("\n"))
	c.offset = offset
	return c.line
}

// line returns the line of a path, and whether the path exists.
func (d *document) line(path string) (int, bool) {
	if d.lines == nil {
		d.findLines()
	}
	line, ok := d.lines[path]
	return line, ok
}

// findLines records the line of each path in the document.
func (d *document) findLines() {
	d.lines = make(map[string]int)
	elements := map[string]int{d.array: d.position} // number of elements so far, by path of the array
	for _, s := range d.spans {
		f := lineFinder{document: d, counter: lineCounter{text: s.text, line: s.line}}
		f.parser.Reset(s.text)
		f.find(elements)
	}
	for _, a := range d.arrays {
		first := a.documents[0]
		d.recordLine(first.array, first.spans[0].line)
	}
}

// recordLine records the line of a path. If the path occurs twice, the first line counts.
func (d *document) recordLine(path string, line int) {
	if _, ok := d.lines[path]; !ok {
		d.lines[path] = line
	}
}

// lineFinder records the lines of the paths in a span.
type lineFinder struct {
	document *document
	parser   unstable.Parser
	counter  lineCounter
}

// find records the lines of all paths; elements are the numbers of array elements so far, by path.
func (f *lineFinder) find(elements map[string]int) {
	path := ""
	for f.parser.NextExpression() {
		e := f.parser.Expression()
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			path = f.findTable(e, elements)
		case unstable.KeyValue:
			f.findKeyValue(path, e)
		}
	}
}

// findTable records the line of a table header, and returns the table's path.
func (f *lineFinder) findTable(e *unstable.Node, elements map[string]int) string {
	path, line := "", 0
	for key := e.Key(); key.Next(); {
		node := key.Node()
		line = f.counter.lineOf(int(node.Raw.Offset))
		path = join(path, string(node.Data))
		if !key.IsLast() || e.Kind == unstable.Table {
			if n := elements[path]; n > 0 { // in the last element
				path = elementPath(path, n-1)
			}
		}
	}
	if e.Kind == unstable.ArrayTable {
		elements[path]++
		f.document.recordLine(path, line)
		path = elementPath(path, elements[path]-1)
	}
	f.document.recordLine(path, line)
	return path
}

// findKeyValue records the line of a key in the table of a path, and those of the paths in its value.
func (f *lineFinder) findKeyValue(path string, e *unstable.Node) {
	line := 0
	for key := e.Key(); key.Next(); {
		node := key.Node()
		line = f.counter.lineOf(int(node.Raw.Offset))
		path = join(path, string(node.Data))
		f.document.recordLine(path, line)
	}
	f.findValue(path, line, e.Value())
}

// findValue records the lines of the paths in a value. Elements of an array have the line of the array.
func (f *lineFinder) findValue(path string, line int, value *unstable.Node) {
	switch value.Kind {
	case unstable.InlineTable:
		for child := value.Children(); child.Next(); {
			f.findKeyValue(path, child.Node())
		}
	case unstable.Array:
		i := 0
		for child := value.Children(); child.Next(); {
			if child.Node().Kind == unstable.Comment {
				continue
			}
			element := elementPath(path, i)
			f.document.recordLine(element, line)
			f.findValue(element, line, child.Node())
			i++
		}
	}
}
