package planner

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strings"
	"time"

	"jasperpin/decide"
)

// Version of the protocol. Both ends name theirs first, and part where they differ.
const Version = 1

// Bounds of what one end may send the other.
const (
	// MaxFrame is the longest payload of a frame, in bytes: some 20,000 messages.
	MaxFrame = 256 << 10
	// MaxHello is the longest greeting or answer to one.
	MaxHello = 16 << 10
	// maxAttempt is the highest number of an attempt, maxClass of a class.
	maxAttempt = 15
	maxClass   = 255
	// maxSpan bounds times.
	maxSpan = time.Hour
)

// ErrFrame marks bytes that are no frame of this version.
var ErrFrame = errors.New("not a frame of this protocol")

// Kind says what a message tells.
type Kind uint8

// A forwarder asks where a request should go, tells of an attempt that it has sent
// without the planner's say, of an attempt's end, and that it has told all that was
// out when it connected. A planner names a server, or hands the request back.
const (
	Ask Kind = 1 + iota
	Sent
	Ended
	Synced
	Plan
	Back
)

// Message is one word between a forwarder and a planner.
type Message struct {
	Kind     Kind
	ID       decide.RequestID // the forwarder's; not of Synced
	Attempt  int              // of Sent and Ended
	Server   decide.ServerID  // of Sent and Plan
	Result   decide.Result    // of Ended
	Question                  // of Ask and Sent
}

// Question is what a planner is told of a request.
type Question struct {
	Class  int
	Key    uint64
	Hint   time.Duration // its work; 0 for unknown
	Left   time.Duration // until its client gives up
	Repeat bool
}

const flagRepeat = 1

// Append adds a message to a frame's payload.
func (m *Message) Append(b []byte) []byte {
	b = append(b, byte(m.Kind))
	if m.Kind == Synced {
		return b
	}
	b = binary.AppendUvarint(b, uint64(m.ID))
	switch m.Kind {
	case Plan:
		return binary.AppendUvarint(b, uint64(m.Server))
	case Ended:
		return append(b, byte(m.Attempt), byte(m.Result))
	case Sent:
		b = append(b, byte(m.Attempt))
		b = binary.AppendUvarint(b, uint64(m.Server))
	case Ask:
	default:
		return b
	}
	flags := byte(0)
	if m.Repeat {
		flags = flagRepeat
	}
	b = append(b, byte(m.Class), flags)
	b = binary.AppendUvarint(b, m.Key)
	b = binary.AppendUvarint(b, micros(m.Hint))
	return binary.AppendUvarint(b, micros(m.Left))
}

func micros(d time.Duration) uint64 { return uint64(min(max(d, 0), maxSpan).Microseconds()) }

// Decode reads the messages of a payload and gives each to take. It stops at the
// first that cannot be read or that take refuses.
func Decode(b []byte, take func(Message) error) error {
	d := decoder{b: b}
	for len(d.b) > 0 {
		m := d.message()
		if d.bad {
			return fmt.Errorf("%w: %d bytes before its end", ErrFrame, len(d.b))
		}
		if err := take(m); err != nil {
			return err
		}
	}
	return nil
}

// decoder reads a payload from its front. Once something is wrong, all is.
type decoder struct {
	b   []byte
	bad bool
}

func (d *decoder) message() (m Message) {
	m.Kind = Kind(d.byte(byte(Back)))
	if m.Kind == Synced {
		return m
	}
	m.ID = decide.RequestID(d.uint(1<<32 - 1))
	switch m.Kind {
	case Plan:
		m.Server = decide.ServerID(d.uint(1<<32 - 1))
	case Ended:
		m.Attempt = int(d.byte(maxAttempt))
		m.Result = decide.Result(d.byte(byte(decide.Abandoned)))
	case Sent:
		m.Attempt = int(d.byte(maxAttempt))
		m.Server = decide.ServerID(d.uint(1<<32 - 1))
		m.Question = d.question()
	case Ask:
		m.Question = d.question()
	case Back:
	default:
		d.bad = true
	}
	return m
}

func (d *decoder) question() (q Question) {
	q.Class = int(d.byte(maxClass))
	q.Repeat = d.byte(flagRepeat) == flagRepeat
	q.Key = d.uint(1<<64 - 1)
	q.Hint = d.span()
	q.Left = d.span()
	return q
}

func (d *decoder) span() time.Duration {
	return time.Duration(d.uint(uint64(maxSpan.Microseconds()))) * time.Microsecond
}

func (d *decoder) byte(most byte) byte {
	if len(d.b) == 0 || d.b[0] > most {
		d.bad = true
		return 0
	}
	x := d.b[0]
	d.b = d.b[1:]
	return x
}

func (d *decoder) uint(most uint64) uint64 {
	x, n := binary.Uvarint(d.b)
	if n <= 0 || x > most {
		d.bad = true
		return 0
	}
	d.b = d.b[n:]
	return x
}

// Hello is a forwarder's first frame on a connection: who it is, and which pool's
// requests it asks for. Classes go by their positions, so both ends must have the same.
type Hello struct {
	Version int
	Name    string // of the forwarder, different from all others'
	Pool    string
	Classes []string
}

// Append adds the greeting to a frame's payload.
func (h *Hello) Append(b []byte) []byte {
	b = binary.AppendUvarint(b, uint64(h.Version))
	for _, s := range append([]string{h.Name, h.Pool}, h.Classes...) {
		b = binary.AppendUvarint(b, uint64(len(s)))
		b = append(b, s...)
	}
	return b
}

// ParseHello reads a greeting. Of another version only the number is read.
func ParseHello(b []byte) (h Hello, err error) {
	d := decoder{b: b}
	if h.Version = int(d.uint(1 << 30)); !d.bad && h.Version != Version {
		return h, nil
	}
	h.Name, h.Pool = d.text(), d.text()
	for len(d.b) > 0 && !d.bad {
		h.Classes = append(h.Classes, d.text())
	}
	if d.bad || len(h.Classes) > maxClass+1 {
		return Hello{}, fmt.Errorf("%w: a greeting that cannot be read", ErrFrame)
	}
	return h, nil
}

func (d *decoder) text() string {
	n := d.uint(MaxHello)
	if d.bad || n > uint64(len(d.b)) {
		d.bad = true
		return ""
	}
	s := string(d.b[:n])
	d.b = d.b[n:]
	return s
}

// Fits says why a planner with these classes of a pool cannot take a forwarder, or nil.
func (h *Hello) Fits(classes []string) error {
	switch {
	case h.Version != Version:
		return fmt.Errorf("the forwarder speaks version %d, the planner %d: run one release on both", h.Version, Version)
	case h.Name == "":
		return errors.New("the forwarder has no name: give each node of the tier its own")
	case strings.Join(h.Classes, " ") != strings.Join(classes, " "):
		return fmt.Errorf("pool %q has the classes %q at the forwarder and %q at the planner: want the same in the same order", h.Pool, h.Classes, classes)
	}
	return nil
}
