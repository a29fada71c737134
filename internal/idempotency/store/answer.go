package store

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"sync"

	"github.com/klauspost/compress/zstd"

	"jasperpin/internal/idempotency"
)

// Answer is a kept answer. One that was too long to keep, or was not whole, has Trimmed
// set: its code stands, and it has neither header nor body.
type Answer struct {
	Code    int
	Header  map[string][]string
	Body    []byte
	Trimmed bool
}

const (
	// compressFrom is the least, in bytes, that is compressed: below it little is won.
	compressFrom = 1 << 10
	// maxPacked bounds an answer once it is unpacked, in bytes.
	maxPacked = 64 << 20
)

// How an answer is kept: as JSON of its header, a newline and its body, or that compressed.
const (
	bare byte = iota
	packed
)

// squeeze and expand are made when the first long answer comes: most nodes keep none.
var (
	squeeze = sync.OnceValues(func() (*zstd.Encoder, error) {
		return zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest),
			zstd.WithWindowSize(128<<10), zstd.WithLowerEncoderMem(true))
	})
	expand = sync.OnceValues(func() (*zstd.Decoder, error) {
		return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxPacked), zstd.WithDecoderLowmem(true))
	})
)

// pack makes an answer ready to be kept.
func pack(a Answer) idempotency.Answer {
	kept := idempotency.Answer{Status: a.Code, Trimmed: a.Trimmed}
	if a.Trimmed {
		return kept
	}
	exact := make(map[string][][]byte, len(a.Header)) // a string would be made into UTF-8
	for name, values := range a.Header {
		for _, v := range values {
			exact[name] = append(exact[name], []byte(v))
		}
	}
	header, err := json.Marshal(exact)
	if err != nil || len(header)+1+len(a.Body) > maxPacked {
		kept.Trimmed = true
		return kept
	}
	plain := append(append(append(make([]byte, 0, 2+len(header)+len(a.Body)), bare), header...), '\n')
	plain = append(plain, a.Body...)
	kept.Body = plain
	if len(plain) < compressFrom {
		return kept
	}
	if enc, err := squeeze(); err == nil {
		if short := enc.EncodeAll(plain[1:], []byte{packed}); len(short) < len(plain) {
			kept.Body = bytes.Clone(short) // without the room that it was made in
		}
	}
	return kept
}

var errKept = errors.New("a kept answer cannot be read")

// unpack gives a kept answer. One that cannot be read is as one that was not kept.
func unpack(kept idempotency.Answer) Answer {
	a := Answer{Code: kept.Status, Trimmed: kept.Trimmed}
	if !a.Trimmed {
		var err error
		if a.Header, a.Body, err = read(kept.Body); err != nil {
			a.Header, a.Body, a.Trimmed = nil, nil, true
		}
	}
	return a
}

func read(b []byte) (header map[string][]string, body []byte, err error) {
	if len(b) == 0 {
		return nil, nil, errKept
	}
	form, b := b[0], b[1:]
	if form == packed {
		dec, err := expand()
		if err == nil {
			b, err = dec.DecodeAll(b, nil)
		}
		if err != nil {
			return nil, nil, fmt.Errorf("%w: %w", errKept, err)
		}
	} else if form != bare {
		return nil, nil, errKept
	}
	head, body, ok := bytes.Cut(b, []byte{'\n'})
	if !ok {
		return nil, nil, errKept
	}
	var exact map[string][][]byte
	if err := json.Unmarshal(head, &exact); err != nil {
		return nil, nil, fmt.Errorf("%w: %w", errKept, err)
	}
	header = make(map[string][]string, len(exact))
	for name, values := range exact {
		for _, v := range values {
			header[name] = append(header[name], string(v))
		}
	}
	return header, body, nil
}
