package emulator

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"time"
)

// Framing is how an answer shows where its body ends.
type Framing uint8

// The framings.
const (
	FramedByLength      Framing = iota // Content-Length
	FramedByChunks                     // chunked
	FramedByTinyChunks                 // chunks of one byte, with a trailer
	FramedByClose                      // the end of the connection, which is announced
	FramedByCloseSilent                // the end of the connection, which is not announced
	FramedByHTTP10                     // the end of the connection, of an HTTP/1.0 server
	NumFramings
)

var framingNames = [NumFramings]string{"length", "chunked", "one-byte chunks with a trailer", "close announced", "close not announced", "HTTP/1.0"}

func (f Framing) String() string {
	if f < NumFramings {
		return framingNames[f]
	}
	return "unknown"
}

// Pace is when the parts of an answer are written.
type Pace uint8

// The paces.
const (
	PaceAtOnce   Pace = iota
	PaceSteady        // in equal pieces over a second
	PaceLumps         // in a few lumps
	PaceLateBody      // the head at once, and the body a second later
	NumPaces
)

var paceNames = [NumPaces]string{"at once", "steady", "lumps", "late body"}

func (p Pace) String() string {
	if p < NumPaces {
		return paceNames[p]
	}
	return "unknown"
}

// The parts of an answer by its pace.
const (
	steadyPieces  = 20
	steadyGap     = 50 * time.Millisecond
	lumpCount     = 4
	lumpGap       = 270 * time.Millisecond
	lateBodyDelay = time.Second
)

// AnswerForm is how a server writes an answer.
type AnswerForm struct {
	Framing Framing
	Pace    Pace
	Size    int // of the body, in bytes
}

func (f AnswerForm) String() string {
	return fmt.Sprintf("%s, %s, %d bytes", f.Framing, f.Pace, f.Size)
}

// FillBody returns a body of the form's size: the text, repeated.
func (f AnswerForm) FillBody(text string) []byte {
	return bytes.Repeat([]byte(text), f.Size/len(text)+1)[:f.Size]
}

// Write writes an answer with a body. It stops before the last part if cut is set. It reports whether the connection
// can be used for another request.
func (f AnswerForm) Write(conn net.Conn, body []byte, cut bool) (keepsOpen bool) {
	count, first, pause := f.parts()
	if _, err := io.WriteString(conn, f.head(len(body))); err != nil {
		return false
	}
	<-time.After(first)
	for i := range count {
		if cut && i == count-1 {
			return false
		}
		if i > 0 {
			<-time.After(pause)
		}
		part := body[i*len(body)/count : (i+1)*len(body)/count]
		if _, err := conn.Write(f.encode(part)); err != nil {
			return false
		}
	}
	text, keepsOpen := f.end()
	_, err := io.WriteString(conn, text)
	return err == nil && keepsOpen
}

// parts returns the number of parts of the body, and the pauses before the first and the other ones.
func (f AnswerForm) parts() (count int, first, others time.Duration) {
	switch f.Pace {
	case PaceSteady:
		return steadyPieces, 0, steadyGap
	case PaceLumps:
		return lumpCount, 0, lumpGap
	case PaceLateBody:
		return 1, lateBodyDelay, 0
	default:
		return 1, 0, 0
	}
}

// head returns the head of the answer.
func (f AnswerForm) head(length int) string {
	switch f.Framing {
	case FramedByLength:
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", length)
	case FramedByChunks, FramedByTinyChunks:
		return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	case FramedByClose:
		return "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	case FramedByHTTP10:
		return "HTTP/1.0 200 OK\r\n\r\n"
	default:
		return "HTTP/1.1 200 OK\r\n\r\n"
	}
}

// encode returns a part of the body as it is framed.
func (f AnswerForm) encode(part []byte) []byte {
	switch f.Framing {
	case FramedByChunks:
		return fmt.Appendf(nil, "%x\r\n%s\r\n", len(part), part)
	case FramedByTinyChunks:
		text := make([]byte, 0, len(part)*len("1\r\nx\r\n"))
		for _, b := range part {
			text = append(text, '1', '\r', '\n', b, '\r', '\n')
		}
		return text
	default:
		return part
	}
}

// end returns what follows the body. The end of the connection follows too, unless the framing shows the end.
func (f AnswerForm) end() (text string, keepsOpen bool) {
	switch f.Framing {
	case FramedByLength:
		return "", true
	case FramedByChunks:
		return "0\r\n\r\n", true
	case FramedByTinyChunks:
		return "0\r\nT: t\r\n\r\n", true
	default:
		return "", false
	}
}
