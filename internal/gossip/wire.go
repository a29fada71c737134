package gossip

import (
	"encoding/json"
	"fmt"
	"time"

	"jasperpin/internal/membership"
	"jasperpin/internal/nodestate"
)

const (
	// maxMessageBytes bounds an encoded message, which contains a name and a zone of at most
	// membership.MaxNameBytes each, the body of a note and some numbers.
	maxMessageBytes = 512
	// maxMessageAge is greater than the age of any note that a nodestate.Store accepts.
	maxMessageAge = 48 * time.Hour
)

// wireMessage is the wire form of a record or a note. Its keys are short, because a packet of 1,400 bytes has room for
// only about ten messages.
type wireMessage struct {
	Name          string  `json:"n"`
	DirectoryID   uint64  `json:"p,omitempty"`
	Incarnation   uint64  `json:"l"`
	Seq           uint64  `json:"q"`
	Zone          string  `json:"s,omitempty"`
	Weight        float64 `json:"w"`
	State         uint8   `json:"t"`
	EndedUpTo     uint64  `json:"e,omitempty"`
	Digest        uint64  `json:"d"`
	RequestRecord bool    `json:"a,omitempty"` // the sender requests the receiver's own record
	// Kind is the kind of a note. If it is empty, the message is a record.
	Kind string `json:"k,omitempty"`
	Body []byte `json:"b,omitempty"`
	Age  int64  `json:"g,omitempty"` // the age in ms
}

// encodeRecord encodes a record. With requestRecord the message requests the receiver's own record.
func encodeRecord(r membership.Record, requestRecord bool) []byte {
	b, err := json.Marshal(wireMessage{
		Name:          r.Name,
		DirectoryID:   r.DirectoryID,
		Incarnation:   r.Incarnation,
		Seq:           r.Seq,
		Zone:          r.Zone,
		Weight:        r.Weight,
		State:         uint8(r.State),
		EndedUpTo:     r.EndedUpTo,
		Digest:        r.Digest,
		RequestRecord: requestRecord,
	})
	if err != nil { // impossible, since no view accepts a weight that is not finite
		panic(fmt.Sprintf("gossip: encoding a record: %v", err))
	}
	return b
}

func encodeNote(n nodestate.Note) []byte {
	b, err := json.Marshal(wireMessage{
		Name:        n.Origin.Name,
		DirectoryID: n.Origin.DirectoryID,
		Incarnation: n.Origin.Incarnation,
		Seq:         n.Seq,
		Kind:        n.Kind,
		Body:        n.Body,
		Age:         n.Age.Milliseconds(),
	})
	if err != nil { // impossible, since all fields can be encoded
		panic(fmt.Sprintf("gossip: encoding a note: %v", err))
	}
	return b
}

// decodeMessage decodes one message. The view or the store of notes checks its fields.
func decodeMessage(b []byte) (m wireMessage, err error) {
	if len(b) > maxMessageBytes {
		return m, fmt.Errorf("decoding a message: %d bytes, want at most %d", len(b), maxMessageBytes)
	}
	if err := json.Unmarshal(b, &m); err != nil {
		return m, fmt.Errorf("decoding a message: %w", err)
	}
	return m, nil
}

func (m *wireMessage) id() membership.ID {
	return membership.ID{Identity: membership.Identity{Name: m.Name, DirectoryID: m.DirectoryID}, Incarnation: m.Incarnation}
}

func (m *wireMessage) record() membership.Record {
	return membership.Record{
		ID:        m.id(),
		Seq:       m.Seq,
		Zone:      m.Zone,
		Weight:    m.Weight,
		State:     membership.MemberState(m.State),
		EndedUpTo: m.EndedUpTo,
		Digest:    m.Digest,
	}
}

func (m *wireMessage) note() nodestate.Note {
	// Clamp an age out of range to the nearest one that the store rejects. Without this, the conversion to
	// nanoseconds could overflow to an age that the store accepts.
	age := min(max(m.Age, -1), maxMessageAge.Milliseconds()+1)
	return nodestate.Note{Origin: m.id(), Kind: m.Kind, Seq: m.Seq, Age: time.Duration(age) * time.Millisecond, Body: m.Body}
}
