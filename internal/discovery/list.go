package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"runtime"

	"jasperpin/internal/core"
)

const (
	// maxListBytes bounds an answer. A whole list takes some 150 bytes a server: this is for 100,000 of them.
	maxListBytes = 16 << 20
	// yieldEvery is after how many servers the decoder gives the thread up: a long list must not keep it
	// from requests.
	yieldEvery = 32
)

// errIncomplete says that an answer ended without all fields of a list.
var errIncomplete = errors.New("list: wants seq, whole and hosts")

// List is an answer of discovery, or one that was cached.
type List struct {
	Version   uint64 // discovery's version of it
	Endpoints []core.Endpoint
	complete  bool // all servers, and not only those that have changed
}

// ParseList reads a list that was cached.
func ParseList(text []byte, zones Zones) (List, error) {
	return decodeList(bytes.NewReader(text), zones, nil)
}

// decodeList reads an answer entry by entry, and calls each for every server as soon as it has come: what
// came whole before a break is true. Each may be nil.
func decodeList(r io.Reader, zones Zones, each func(core.Endpoint)) (List, error) {
	var list List
	decoder := json.NewDecoder(r)
	if err := expect(decoder, '{'); err != nil {
		return list, err
	}
	var hasSeq, hasWhole, hasHosts bool
	for decoder.More() {
		field, err := decoder.Token()
		if err != nil {
			return list, fmt.Errorf("list: %w", err)
		}
		switch field {
		case "seq":
			err = decoder.Decode(&list.Version)
			hasSeq = true
		case "whole":
			err = decoder.Decode(&list.complete)
			hasWhole = true
		case "hosts":
			err = list.decodeEndpoints(decoder, zones, each)
			hasHosts = true
		default:
			err = decoder.Decode(new(json.RawMessage))
		}
		if err != nil {
			return list, fmt.Errorf("list: field %v: %w", field, err)
		}
	}
	if !hasSeq || !hasWhole || !hasHosts {
		return list, errIncomplete
	}
	return list, expect(decoder, '}')
}

func (l *List) decodeEndpoints(decoder *json.Decoder, zones Zones, each func(core.Endpoint)) error {
	if err := expect(decoder, '['); err != nil {
		return err
	}
	for decoder.More() {
		var wire wireEndpoint
		if err := decoder.Decode(&wire); err != nil {
			return err
		}
		if err := wire.check(); err != nil {
			return err
		}
		endpoint := wire.endpoint(zones)
		l.Endpoints = append(l.Endpoints, endpoint)
		if each != nil {
			each(endpoint)
		}
		if len(l.Endpoints)%yieldEvery == 0 {
			runtime.Gosched()
		}
	}
	return expect(decoder, ']')
}

// expect reads a delimiter.
func expect(decoder *json.Decoder, want json.Delim) error {
	token, err := decoder.Token()
	if err != nil {
		return fmt.Errorf("list: %w", err)
	}
	if token != want {
		return fmt.Errorf("list: %v where %v should stand", token, want)
	}
	return nil
}
