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

// Answer is a stored answer. If the answer was too long to store, or is incomplete, Trimmed is set and the
// Answer has its status code but no header and no body.
type Answer struct {
	Code    int
	Header  map[string][]string
	Body    []byte
	Trimmed bool
}

const (
	// minCompressBytes is the minimum size of an answer to compress: compression saves little on shorter ones.
	minCompressBytes = 1 << 10
	// maxUnpackedBytes limits the size of a decompressed answer, so that a damaged file cannot exhaust memory.
	maxUnpackedBytes = 64 << 20
	// compressionWindowBytes is the window size of the compressor. It is small, as each node retains a
	// compressor until it exits.
	compressionWindowBytes = 128 << 10
)

// The first byte of a stored answer is its format. It is followed by the header as JSON, a newline and the
// body, either plain or compressed.
const (
	formPlain byte = iota
	formCompressed
)

// The compressor and decompressor are created for the first long answer: most nodes store none.
var (
	compressor = sync.OnceValues(func() (*zstd.Encoder, error) {
		return zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest),
			zstd.WithWindowSize(compressionWindowBytes), zstd.WithLowerEncoderMem(true))
	})
	decompressor = sync.OnceValues(func() (*zstd.Decoder, error) {
		return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxUnpackedBytes), zstd.WithDecoderLowmem(true))
	})
)

// pack encodes an answer for storage. An answer that cannot be encoded is trimmed.
func pack(a Answer) idempotency.Answer {
	packed := idempotency.Answer{Status: a.Code, Trimmed: a.Trimmed}
	if a.Trimmed {
		return packed
	}
	exact := make(map[string][][]byte, len(a.Header)) // a JSON string would alter bytes that are not UTF-8
	for name, values := range a.Header {
		for _, v := range values {
			exact[name] = append(exact[name], []byte(v))
		}
	}
	header, err := json.Marshal(exact)
	if err != nil || len(header)+1+len(a.Body) > maxUnpackedBytes {
		packed.Trimmed = true
		return packed
	}
	plain := append(append(append(make([]byte, 0, 2+len(header)+len(a.Body)), formPlain), header...), '\n')
	plain = append(plain, a.Body...)
	packed.Body = plain
	if len(plain) < minCompressBytes {
		return packed
	}
	if enc, err := compressor(); err == nil {
		if short := enc.EncodeAll(plain[1:], []byte{formCompressed}); len(short) < len(plain) {
			packed.Body = bytes.Clone(short) // without the spare capacity
		}
	}
	return packed
}

// errUnreadable means that a stored answer cannot be decoded.
var errUnreadable = errors.New("malformed stored answer")

// unpack decodes a stored answer. A malformed answer is trimmed.
func unpack(packed idempotency.Answer) Answer {
	a := Answer{Code: packed.Status, Trimmed: packed.Trimmed}
	if !a.Trimmed {
		var err error
		if a.Header, a.Body, err = decode(packed.Body); err != nil {
			a.Header, a.Body, a.Trimmed = nil, nil, true
		}
	}
	return a
}

// decode decodes the body of a stored answer. Its error wraps errUnreadable.
func decode(b []byte) (header map[string][]string, body []byte, err error) {
	if len(b) == 0 {
		return nil, nil, errUnreadable
	}
	form, b := b[0], b[1:]
	if form == formCompressed {
		dec, err := decompressor()
		if err == nil {
			b, err = dec.DecodeAll(b, nil)
		}
		if err != nil {
			return nil, nil, fmt.Errorf("%w: %w", errUnreadable, err)
		}
	} else if form != formPlain {
		return nil, nil, errUnreadable
	}
	head, body, ok := bytes.Cut(b, []byte{'\n'})
	if !ok {
		return nil, nil, errUnreadable
	}
	var exact map[string][][]byte
	if err := json.Unmarshal(head, &exact); err != nil {
		return nil, nil, fmt.Errorf("%w: %w", errUnreadable, err)
	}
	header = make(map[string][]string, len(exact))
	for name, values := range exact {
		for _, v := range values {
			header[name] = append(header[name], string(v))
		}
	}
	return header, body, nil
}
