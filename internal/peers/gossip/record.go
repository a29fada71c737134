package gossip

import (
	"encoding/json"
	"fmt"

	"jasperpin/internal/peers/members"
)

// maxRecord bounds a record in bytes: a name and a site, and some numbers.
const maxRecord = 512

// word is a record as it goes from member to member. Letters are left out as each packet holds
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
}

func encode(r members.Record, ask bool) []byte {
	b, err := json.Marshal(word{r.Name, r.Place, r.Life, r.Seq, r.Site, r.Weight, uint8(r.State), r.Ended, r.Digest, ask})
	if err != nil {
		panic(err) // a weight that is no number, which no view takes in
	}
	return b
}

// decode reads one record, and whether the reader is to tell its own. What it says is for the
// view to judge.
func decode(b []byte) (r members.Record, ask bool, err error) {
	if len(b) > maxRecord {
		return r, false, fmt.Errorf("%d bytes are no record: want %d at the most", len(b), maxRecord)
	}
	var w word
	if err := json.Unmarshal(b, &w); err != nil {
		return r, false, fmt.Errorf("reading a record: %w", err)
	}
	r = members.Record{
		ID: members.ID{Seat: members.Seat{Name: w.Name, Place: w.Place}, Life: w.Life}, Seq: w.Seq, Site: w.Site, Weight: w.Weight,
		State: members.State(w.State), Ended: w.Ended, Digest: w.Digest,
	}
	return r, w.Ask, nil
}
