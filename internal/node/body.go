package node

import (
	"bytes"
	"errors"
	"io"
	"sync/atomic"
)

const (
	// shortBody is what a message holds on calm days. A body up to it always
	// finds room; the connections' cap bounds how many there are.
	shortBody = 64 << 10
	// maxBody is the longest body taken.
	maxBody = 32 << 20
)

// errNoRoom says that the budget could not hold a body; it has been read to its
// end all the same, and its connection goes on.
var errNoRoom = errors.New("no room for the body")

var errTooLong = errors.New("body too long")

// budget is a number of bytes shared by long bodies.
type budget struct{ left atomic.Int64 }

func (b *budget) take(n int64) bool {
	if b.left.Add(-n) >= 0 {
		return true
	}
	b.left.Add(n)
	return false
}

// body is a request's body, whole, in pieces taken from a budget.
type body struct {
	pieces [][]byte
	size   int64
	taken  int64
	from   *budget
}

// readBody reads a body to its end. Room is taken as bytes come and not as a
// length promises, or a few clients that promise much could shut out the rest.
func readBody(r io.Reader, length int64, from *budget) (*body, error) {
	b := &body{from: from}
	next := int64(4 << 10)
	if length >= 0 {
		next = min(length, shortBody)
	}
	var piece []byte
	for {
		into := piece[len(piece):cap(piece)]
		var probe [1]byte
		full := len(into) == 0
		if full { // one byte tells whether another piece is needed at all
			into = probe[:]
		}
		n, err := r.Read(into)
		if full && n > 0 {
			if b.size >= shortBody {
				if !from.take(shortBody) {
					b.free()
					if _, err = io.Copy(io.Discard, r); err == nil {
						err = errNoRoom
					}
					return nil, err
				}
				b.taken += shortBody
				next = shortBody
			}
			piece = append(make([]byte, 0, max(next, 1)), probe[0])
			b.pieces = append(b.pieces, piece)
			next = min(2*next, max(shortBody-b.size-next, 1))
		} else {
			piece = piece[:len(piece)+n]
		}
		b.size += int64(n)
		if n > 0 {
			b.pieces[len(b.pieces)-1] = piece
		}
		switch {
		case err == io.EOF:
			return b, nil
		case err != nil:
			b.free()
			return nil, err
		case b.size > maxBody:
			b.free()
			return nil, errTooLong
		}
	}
}

// free gives the budget back.
func (b *body) free() {
	b.from.left.Add(b.taken)
	b.taken, b.pieces = 0, nil
}

// reader starts from the first byte, once for each attempt.
func (b *body) reader() io.Reader {
	rs := make([]io.Reader, len(b.pieces))
	for i, p := range b.pieces {
		rs[i] = bytes.NewReader(p)
	}
	return io.MultiReader(rs...)
}
