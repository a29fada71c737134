package planner

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strings"
)

// maxVersion is the highest version number that ParseHello accepts.
const maxVersion = 1 << 30

// errMissingName is the error for a Hello without the forwarder's name.
var errMissingName = errors.New("the forwarder has no name: give each node of the tier its own")

// Hello is a forwarder's first frame on a connection. It states the forwarder's name and the pool whose
// requests it places. Messages refer to classes by position, so the class lists of both ends must be
// equal.
type Hello struct {
	Version int
	Name    string // the forwarder's name; unique in the tier
	Pool    string
	Classes []string
}

// Append appends the encoded Hello to the payload b of a frame and returns the extended payload.
func (h *Hello) Append(b []byte) []byte {
	b = binary.AppendUvarint(b, uint64(h.Version))
	for _, s := range append([]string{h.Name, h.Pool}, h.Classes...) {
		b = binary.AppendUvarint(b, uint64(len(s)))
		b = append(b, s...)
	}
	return b
}

// ParseHello decodes a Hello. If its version differs from Version, only the version is decoded. Errors
// wrap ErrFrame.
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

// CheckCompatible returns an error if a planner whose pool has these classes cannot serve the
// forwarder. The planner sends the error's text to the forwarder, whose operator reads it in the log.
func (h *Hello) CheckCompatible(classes []string) error {
	switch {
	case h.Version != Version:
		return fmt.Errorf("the forwarder speaks version %d, the planner %d: run one release on both", h.Version, Version)
	case h.Name == "":
		return errMissingName
	case strings.Join(h.Classes, " ") != strings.Join(classes, " "):
		return fmt.Errorf("pool %q has the classes %q at the forwarder and %q at the planner: want the same in the same order", h.Pool, h.Classes, classes)
	}
	return nil
}
