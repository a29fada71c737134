package planner

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strings"
)

// maxVersion bounds the number of a version that can be read.
const maxVersion = 1 << 30

// errNoName says that a forwarder did not state its name.
var errNoName = errors.New("the forwarder has no name: give each node of the tier its own")

// Hello is a forwarder's first frame on a connection: its name, and the pool for whose requests it
// asks. Classes go by their positions, so both ends must have the same.
type Hello struct {
	Version int
	Name    string // of the forwarder, different from all others'
	Pool    string
	Classes []string
}

// Append appends the Hello to a frame's payload.
func (h *Hello) Append(b []byte) []byte {
	b = binary.AppendUvarint(b, uint64(h.Version))
	for _, s := range append([]string{h.Name, h.Pool}, h.Classes...) {
		b = binary.AppendUvarint(b, uint64(len(s)))
		b = append(b, s...)
	}
	return b
}

// ParseHello reads a Hello. Of one of another version only the version is read. Its errors are
// ErrFrame.
func ParseHello(payload []byte) (h Hello, err error) {
	d := decoder{rest: payload}
	h.Version = int(d.uint(maxVersion))
	if !d.failed && h.Version != Version {
		return h, nil
	}
	h.Name, h.Pool = d.text(), d.text()
	for len(d.rest) > 0 && !d.failed {
		h.Classes = append(h.Classes, d.text())
	}
	if d.failed || len(h.Classes) > maxClass+1 {
		return Hello{}, fmt.Errorf("%w: a greeting that cannot be read", ErrFrame)
	}
	return h, nil
}

// CheckCompatible returns why a planner whose pool has these classes cannot serve the forwarder, or
// nil. The forwarder's operator reads the error.
func (h *Hello) CheckCompatible(classes []string) error {
	switch {
	case h.Version != Version:
		return fmt.Errorf("the forwarder speaks version %d, the planner %d: run one release on both", h.Version, Version)
	case h.Name == "":
		return errNoName
	case strings.Join(h.Classes, " ") != strings.Join(classes, " "):
		return fmt.Errorf("pool %q has the classes %q at the forwarder and %q at the planner: want the same in the same order", h.Pool, h.Classes, classes)
	}
	return nil
}
