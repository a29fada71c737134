package gossip

import (
	"encoding/json"
	"fmt"
	"time"

	"jasperpin/internal/membership"
	"jasperpin/internal/nodestate"
)

// maxRecord bounds a record in bytes: a name and a site, and some numbers.
const maxRecord = 512

// maxAge is beyond what any book of notes takes.
const maxAge = 48 * time.Hour

// word is a record, or a note, as it goes from member to member. Letters are left out as each packet holds
// some ten of them at the most.
type word struct {
	Name   string  `json:"n"`
	Place  uint64  `json:"p,omitempty"`
	Life   uint64  `json:"l"`
	Seq    uint64  `json:"q"`
	Site   string  `json:"s,omitempty"`
	Weight float64 `json:"w"`
	State  uint8   `json:"t"`
	Ended  uint64  `json:"e,omitempty"`
	Digest uint64  `json:"d"`
	Ask    bool    `json:"a,omitempty"` // the sender wants to hear the reader's own
	// Kind makes it a note of the life, with its number, and no record.
	Kind string `json:"k,omitempty"`
	Body []byte `json:"b,omitempty"`
	Age  int64  `json:"g,omitempty"` // in ms
}

func encode(r membership.Record, ask bool) []byte {
	b, err := json.Marshal(word{
		Name: r.Name, Place: r.Place, Life: r.Incarnation, Seq: r.Seq, Site: r.Site, Weight: r.Weight,
		State: uint8(r.State), Ended: r.Ended, Digest: r.Digest, Ask: ask,
	})
	if err != nil {
		panic(err) // a weight that is no number, which no view takes in
	}
	return b
}

func encodeNote(n nodestate.Note) []byte {
	b, err := json.Marshal(word{Name: n.Of.Name, Place: n.Of.Place, Life: n.Of.Incarnation, Seq: n.Seq, Kind: n.Kind, Body: n.Body, Age: n.Age.Milliseconds()})
	if err != nil {
		panic(err) // there is nothing in it that JSON has not
	}
	return b
}

// decode reads one word. What it says is for the view, or the book of notes, to judge.
func decode(b []byte) (w word, err error) {
	if len(b) > maxRecord {
		return w, fmt.Errorf("%d bytes are no word: want %d at the most", len(b), maxRecord)
	}
	if err := json.Unmarshal(b, &w); err != nil {
		return w, fmt.Errorf("reading a word: %w", err)
	}
	return w, nil
}

func (w *word) id() membership.ID {
	return membership.ID{Identity: membership.Identity{Name: w.Name, Place: w.Place}, Incarnation: w.Life}
}

func (w *word) record() membership.Record {
	return membership.Record{
		ID: w.id(), Seq: w.Seq, Site: w.Site, Weight: w.Weight, State: membership.MemberState(w.State), Ended: w.Ended, Digest: w.Digest,
	}
}

func (w *word) note() nodestate.Note {
	age := min(max(w.Age, -1), maxAge.Milliseconds()+1) // what is absurd stays so
	return nodestate.Note{Of: w.id(), Kind: w.Kind, Seq: w.Seq, Age: time.Duration(age) * time.Millisecond, Body: w.Body}
}
