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
	formatPlain byte = iota
	formatCompressed
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
func pack(answer Answer) idempotency.Answer {
	packed := idempotency.Answer{Status: answer.Code, Trimmed: answer.Trimmed}
	if answer.Trimmed {
		return packed
	}
	byteValues := make(map[string][][]byte, len(answer.Header)) // a JSON string would alter bytes that are not UTF-8
	for name, values := range answer.Header {
		for _, v := range values {
			byteValues[name] = append(byteValues[name], []byte(v))
		}
	}
	header, err := json.Marshal(byteValues)
	if err != nil || len(header)+1+len(answer.Body) > maxUnpackedBytes {
		packed.Trimmed = true
		return packed
	}
	plain := append(append(append(make([]byte, 0, 2+len(header)+len(answer.Body)), formatPlain), header...), '\n')
	plain = append(plain, answer.Body...)
	packed.Body = plain
	if len(plain) < minCompressBytes {
		return packed
	}
	if enc, err := compressor(); err == nil {
		if compressed := enc.EncodeAll(plain[1:], []byte{formatCompressed}); len(compressed) < len(plain) {
			packed.Body = bytes.Clone(compressed) // without the spare capacity
		}
	}
	return packed
}

// errMalformedAnswer means that a stored answer cannot be decoded.
var errMalformedAnswer = errors.New("malformed stored answer")

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

// decode decodes the body of a stored answer. Its error wraps errMalformedAnswer.
func decode(b []byte) (header map[string][]string, body []byte, err error) {
	if len(b) == 0 {
		return nil, nil, errMalformedAnswer
	}
	format, b := b[0], b[1:]
	if format == formatCompressed {
		dec, err := decompressor()
		if err == nil {
			b, err = dec.DecodeAll(b, nil)
		}
		if err != nil {
			return nil, nil, fmt.Errorf("%w: %w", errMalformedAnswer, err)
		}
	} else if format != formatPlain {
		return nil, nil, errMalformedAnswer
	}
	head, body, ok := bytes.Cut(b, []byte{'\n'})
	if !ok {
		return nil, nil, errMalformedAnswer
	}
	var byteValues map[string][][]byte
	if err := json.Unmarshal(head, &byteValues); err != nil {
		return nil, nil, fmt.Errorf("%w: %w", errMalformedAnswer, err)
	}
	header = make(map[string][]string, len(byteValues))
	for name, values := range byteValues {
		for _, v := range values {
			header[name] = append(header[name], string(v))
		}
	}
	return header, body, nil
}
