package gossip

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/hashicorp/memberlist"

	"jasperpin/internal/membership"
)

// maxStateBytes bounds the state that another member may send in a full exchange: the records and three
// notes of a full view.
const maxStateBytes = 4 * membership.MaxMembers * maxMessageBytes

// delegate is what memberlist calls, from goroutines of its own.
type delegate Gossip

// NodeMeta implements memberlist.Delegate. Records are not sent as metadata: memberlist orders that by
// numbers of its own, and forgets it with a dead member.
func (d *delegate) NodeMeta(int) []byte { return nil }

// NotifyMsg implements memberlist.Delegate: it merges a message, and answers one that asks for the own record.
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
	if m.Ask && addr != "" && own.State != membership.Joining && list != nil {
		_ = list.SendToAddress(memberlist.Address{Addr: addr}, encodeRecord(own, false)) // it asks again at its next tick
	}
}

// GetBroadcasts implements memberlist.Delegate.
func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.broadcasts.GetBroadcasts(overhead, limit)
}

// LocalState implements memberlist.Delegate: it encodes all records and notes for a full exchange.
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
		panic(fmt.Sprintf("gossip: encoding messages that were just encoded: %v", err))
	}
	return b
}

// MergeRemoteState implements memberlist.Delegate: it merges the state of another member.
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

// NotifyLeave implements memberlist.EventDelegate. The address is kept of a member that may be serving.
func (d *delegate) NotifyLeave(n *memberlist.Node) {
	d.mu.Lock()
	defer d.mu.Unlock()
	id, _ := parseMemberlistName(n.Name) // a name that is not a member's is in neither map
	delete(d.addresses, id)
	d.connected.Store(int64(len(d.addresses)))
	if len(d.lostAddresses) < maxLostAddresses && d.view.IsCounted(id) {
		d.lostAddresses[id] = n.Address()
	}
}

// NotifyUpdate implements memberlist.EventDelegate: a member may have a new address.
func (d *delegate) NotifyUpdate(n *memberlist.Node) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if id, ok := parseMemberlistName(n.Name); ok {
		d.addresses[id] = n.Address()
	}
}

// memberlistName encodes an incarnation as a name of memberlist's, which must be unique.
func memberlistName(id membership.ID) string {
	return fmt.Sprintf("%s/%x/%x", id.Name, id.DirectoryID, id.Incarnation)
}

// parseMemberlistName decodes a name of memberlist's. The member's own name may contain slashes.
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
