package gossip

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/hashicorp/memberlist"

	"jasperpin/internal/membership"
)

// maxStateBytes bounds the state that another member may send in a full exchange: a record and three notes for each of
// membership.MaxMembers.
const maxStateBytes = 4 * membership.MaxMembers * maxMessageBytes

// delegate implements the interfaces that memberlist calls from its own goroutines.
type delegate Gossip

// NodeMeta implements memberlist.Delegate. Records are not sent as metadata, because memberlist orders metadata by its
// own incarnation numbers and drops it when it removes a failed member.
func (d *delegate) NodeMeta(int) []byte { return nil }

// NotifyMsg implements memberlist.Delegate. It merges a message, and sends this member's record if the message
// requests it.
func (d *delegate) NotifyMsg(b []byte) {
	m, err := decodeMessage(b)
	if err != nil {
		d.rejected.Add(1)
		return
	}
	g := (*Gossip)(d)
	g.mu.Lock()
	g.mergeLocked(m)
	if m.Kind == "" { // a note does not change the position
		g.publishLocked()
	}
	addr, own, list := g.addresses[m.id()], g.view.Record(), g.list
	g.mu.Unlock()
	if m.RequestRecord && addr != "" && own.State != membership.Joining && list != nil {
		// After an error the sender requests the record again at its next tick.
		_ = list.SendToAddress(memberlist.Address{Addr: addr}, encodeRecord(own, false))
	}
}

// GetBroadcasts implements memberlist.Delegate.
func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.broadcasts.GetBroadcasts(overhead, limit)
}

// LocalState implements memberlist.Delegate. It encodes all records and notes for a full exchange.
func (d *delegate) LocalState(bool) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	records := d.view.Records()
	messages := make([]json.RawMessage, 0, len(records))
	for _, r := range records {
		messages = append(messages, encodeRecord(r, false))
	}
	for _, n := range d.notes.All((*Gossip)(d).now()) {
		messages = append(messages, encodeNote(n))
	}
	b, err := json.Marshal(messages)
	if err != nil {
		panic(fmt.Sprintf("gossip: encoding the local state: %v", err))
	}
	return b
}

// MergeRemoteState implements memberlist.Delegate. It merges the state of another member.
func (d *delegate) MergeRemoteState(b []byte, _ bool) {
	var messages []json.RawMessage
	if len(b) > maxStateBytes || json.Unmarshal(b, &messages) != nil {
		d.rejected.Add(1)
		return
	}
	g := (*Gossip)(d)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, text := range messages {
		m, err := decodeMessage(text)
		if err != nil {
			g.rejected.Add(1)
			continue
		}
		g.mergeLocked(m)
	}
	g.publishLocked()
}

// NotifyJoin implements memberlist.EventDelegate.
func (d *delegate) NotifyJoin(n *memberlist.Node) {
	id, ok := parseMemberlistName(n.Name)
	if !ok {
		d.rejected.Add(1)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.lostAddresses, id)
	d.addresses[id] = n.Address()
	d.connected.Store(int64(len(d.addresses)))
}

// NotifyLeave implements memberlist.EventDelegate. If the member may be serving, NotifyLeave stores its address for
// reconnectLoop.
func (d *delegate) NotifyLeave(n *memberlist.Node) {
	d.mu.Lock()
	defer d.mu.Unlock()
	id, _ := parseMemberlistName(n.Name) // an invalid name gives an ID that neither map contains
	delete(d.addresses, id)
	d.connected.Store(int64(len(d.addresses)))
	if len(d.lostAddresses) < maxLostAddresses && d.view.IsCounted(id) {
		d.lostAddresses[id] = n.Address()
	}
}

// NotifyUpdate implements memberlist.EventDelegate. The member may have a new address.
func (d *delegate) NotifyUpdate(n *memberlist.Node) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if id, ok := parseMemberlistName(n.Name); ok {
		d.addresses[id] = n.Address()
	}
}

// memberlistName returns the name of an incarnation in memberlist, where names must be unique.
func memberlistName(id membership.ID) string {
	return fmt.Sprintf("%s/%x/%x", id.Name, id.DirectoryID, id.Incarnation)
}

// parseMemberlistName parses a name that memberlistName returned. The member's own name may contain slashes.
func parseMemberlistName(name string) (id membership.ID, ok bool) {
	fields := strings.Split(name, "/")
	n := len(fields)
	if n < 3 {
		return id, false
	}
	directoryID, directoryErr := strconv.ParseUint(fields[n-2], 16, 64)
	incarnation, incarnationErr := strconv.ParseUint(fields[n-1], 16, 64)
	id.Name, id.DirectoryID, id.Incarnation = strings.Join(fields[:n-2], "/"), directoryID, incarnation
	return id, directoryErr == nil && incarnationErr == nil
}
