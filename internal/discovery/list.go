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
	// maxListBytes limits the size of an answer. A complete list has about 150 bytes per server, so this allows
	// 100,000 servers.
	maxListBytes = 16 << 20
	// yieldInterval is the number of servers after which the decoder yields the processor, so that a long list does
	// not delay requests.
	yieldInterval = 32
)

// errIncomplete reports that an answer ended without all fields of a list.
var errIncomplete = errors.New("endpoint list: field seq, whole or hosts is missing")

// List is a list of servers from an answer of discovery or from the cache.
type List struct {
	Version   uint64 // assigned by discovery
	Endpoints []core.Endpoint
	complete  bool // the list contains all servers, and not only the changed ones
}

// ParseList parses a cached list.
func ParseList(text []byte, zones Zones) (List, error) {
	return decodeList(bytes.NewReader(text), zones, nil)
}

// decodeList decodes an answer entry by entry, and calls onEndpoint for every server as soon as it is decoded,
// since servers that were received completely before the connection broke are valid. onEndpoint may be nil.
func decodeList(r io.Reader, zones Zones, onEndpoint func(core.Endpoint)) (List, error) {
	var list List
	decoder := json.NewDecoder(r)
	if err := expect(decoder, '{'); err != nil {
		return list, err
	}
	var hasSeq, hasWhole, hasHosts bool
	for decoder.More() {
		field, err := decoder.Token()
		if err != nil {
			return list, fmt.Errorf("endpoint list: %w", err)
		}
		switch field {
		case "seq":
			err = decoder.Decode(&list.Version)
			hasSeq = true
		case "whole":
			err = decoder.Decode(&list.complete)
			hasWhole = true
		case "hosts":
			err = list.decodeEndpoints(decoder, zones, onEndpoint)
			hasHosts = true
		default:
			err = decoder.Decode(new(json.RawMessage))
		}
		if err != nil {
			return list, fmt.Errorf("endpoint list: field %v: %w", field, err)
		}
	}
	if !hasSeq || !hasWhole || !hasHosts {
		return list, errIncomplete
	}
	return list, expect(decoder, '}')
}

func (l *List) decodeEndpoints(decoder *json.Decoder, zones Zones, onEndpoint func(core.Endpoint)) error {
	if err := expect(decoder, '['); err != nil {
		return err
	}
	for decoder.More() {
		var wire wireEndpoint
		if err := decoder.Decode(&wire); err != nil {
			return err
		}
		if err := wire.validate(); err != nil {
			return err
		}
		endpoint := wire.endpoint(zones)
		l.Endpoints = append(l.Endpoints, endpoint)
		if onEndpoint != nil {
			onEndpoint(endpoint)
		}
		if len(l.Endpoints)%yieldInterval == 0 {
			runtime.Gosched()
		}
	}
	return expect(decoder, ']')
}

// expect reads the delimiter want, and returns an error for any other token.
func expect(decoder *json.Decoder, want json.Delim) error {
	token, err := decoder.Token()
	if err != nil {
		return fmt.Errorf("endpoint list: %w", err)
	}
	if token != want {
		return fmt.Errorf("endpoint list: got %v, want %v", token, want)
	}
	return nil
}
