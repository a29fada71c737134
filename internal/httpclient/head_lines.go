package httpclient

import "bytes"

// headLines counts the lines of an answer's head as its bytes arrive, before they are parsed.
type headLines struct {
	counting bool // until the empty line that ends the head
	lines    int
	lineUsed bool // the current line has a byte other than CR
}

// add counts the lines in p. It returns false if the head has more than maxHeadLines lines.
func (h *headLines) add(p []byte) bool {
	for h.counting && len(p) > 0 {
		end := bytes.IndexByte(p, '\n')
		line := p
		if end >= 0 {
			line = p[:end]
		}
		h.lineUsed = h.lineUsed || len(bytes.Trim(line, "\r")) > 0
		if end < 0 {
			return true
		}
		h.counting = h.lineUsed
		h.lines++
		h.lineUsed = false
		p = p[end+1:]
	}
	return h.lines <= maxHeadLines
}
