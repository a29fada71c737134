package simproto

import (
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"strings"
	"testing"
	"time"
)

// unhex decodes hexadecimal digits; spaces between fields are ignored.
func unhex(t *testing.T, s string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.ReplaceAll(s, " ", ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// clock is a frame's clock of 8,412.25 ms.
const clock = "00000000 206ec040"

// TestEmptyBatch decodes a frame without records, and encodes a reply without actions.
func TestEmptyBatch(t *testing.T) {
	var d Decoder
	if err := d.Reset(unhex(t, "10000000"+clock+"00000000")); err != nil {
		t.Fatal(err)
	}
	var ev Event
	if err := d.Next(&ev); err != io.EOF { //nolint:errorlint // Next promises io.EOF itself, not wrapped
		t.Fatalf("got %v, want io.EOF", err)
	}
	var e Encoder
	e.Reset()
	if got := hex.EncodeToString(e.Bytes()); got != "04000000" {
		t.Fatalf("empty reply is %s", got)
	}
}

// TestBatchAndReply decodes a frame and encodes a reply of the protocol's specification.
func TestBatchAndReply(t *testing.T) {
	var d Decoder
	frame := unhex(t, "53000000"+clock+"03000000"+
		"02 24000000 0300 c4913a5d 640ad2557c3bf091 0000000000002840 00000000 00 01 0000000020e6c040"+
		"06 0a000000 0300 4d00000000000000"+
		"05 06000000 0500 192b6f0e")
	if err := d.Reset(frame); err != nil {
		t.Fatal(err)
	}
	if d.Now() != 8412250*time.Microsecond {
		t.Errorf("clock is %v", d.Now())
	}
	want := []Event{
		{Code: EventRequest, Instance: 3, Request: 0x5d3a91c4, Key: 0x91f03b7c55d20a64, WorkHint: 12 * time.Millisecond, Flags: 1, Deadline: 8652250 * time.Microsecond},
		{Code: EventTimerFired, Instance: 3, Token: 77},
		{Code: EventClientDisconnected, Instance: 5, Request: 0x0e6f2b19},
	}
	for i, w := range want {
		var ev Event
		if err := d.Next(&ev); err != nil {
			t.Fatal(err)
		}
		if ev.Code != w.Code || ev.Instance != w.Instance || ev.Request != w.Request || ev.Key != w.Key || ev.WorkHint != w.WorkHint ||
			ev.Flags != w.Flags || ev.Deadline != w.Deadline || ev.Token != w.Token {
			t.Errorf("record %d: got %+v, want %+v", i, ev, w)
		}
	}
	var e Encoder
	e.Reset()
	e.Send(3, 0x5d3a91c4, 0x03124a07, 80*time.Millisecond)
	e.SetTimer(3, 77, 8912250*time.Microsecond)
	e.Log(5, "two servers known")
	reply := "4c000000 09 12000000 0300 c4913a5d 074a1203 0000000000005440" +
		"01 12000000 0300 4d00000000000000 000000002068c140" +
		"0b 15000000 0500 1100 74776f2073657276657273206b6e6f776e"
	if !bytes.Equal(e.Bytes(), unhex(t, reply)) {
		t.Errorf("reply is %x", e.Bytes())
	}
}

// TestDamagedFrames damages frames in one place each. The error names the field and its offset.
func TestDamagedFrames(t *testing.T) {
	for name, c := range map[string]struct{ frame, says string }{
		"length disagrees":   {"11000000" + clock + "00000000", "length"},
		"nan clock":          {"10000000 000000000000f87f 00000000", "clock"},
		"too many records":   {"10000000" + clock + "ffffffff", "count"},
		"record past end":    {"15000000" + clock + "01000000 06 ffffffff", "size"},
		"field missing":      {"17000000" + clock + "01000000 05 02000000 0500", "req"},
		"list count past it": {"28000000" + clock + "01000000 01 13000000 0300 2900000000000000 02 ffffffff 00000000", "nodesList"},
	} {
		t.Run(name, func(t *testing.T) {
			var d Decoder
			var ev Event
			err := d.Reset(unhex(t, c.frame))
			if err == nil {
				err = d.Next(&ev)
			}
			if !errors.Is(err, ErrFormat) || !strings.Contains(err.Error(), c.says) || !strings.Contains(err.Error(), "offset") {
				t.Fatalf("error is %v, want one that names %s and an offset", err, c.says)
			}
		})
	}
}

// TestEndpointListAndAttemptFinished decodes an update of the endpoint list and the end of an attempt.
func TestEndpointListAndAttemptFinished(t *testing.T) {
	var d Decoder
	var ev Event
	frame := unhex(t, "6d000000"+clock+"02000000"+
		"01 3b000000 0300 2900000000000000 02 02000000"+
		"0000 074a1203 00 01 0000803f 0000000000000000 0000"+
		"0000 f211902c 01 01 0000c03f 0000000000d4b740 0000"+
		"04 18000000 0300 c4913a5d 0000 074a1203 0000 0000000000803240 01 00")
	if err := d.Reset(frame); err != nil {
		t.Fatal(err)
	}
	if err := d.Next(&ev); err != nil {
		t.Fatal(err)
	}
	want := []Entry{
		{Server: 0x03124a07, State: 1, Capacity: 1},
		{Server: 0x2c9011f2, Zone: 1, State: 1, Capacity: 1.5, StartedAt: 6100 * time.Millisecond},
	}
	if ev.Code != EventEndpoints || ev.Version != 41 || ev.UpdateKind != 2 || len(ev.Entries) != 2 || ev.Entries[0] != want[0] || ev.Entries[1] != want[1] {
		t.Errorf("list is %+v", ev)
	}
	if err := d.Next(&ev); err != nil {
		t.Fatal(err)
	}
	if ev.Code != EventAttemptFinished || ev.Request != 0x5d3a91c4 || ev.Server != 0x03124a07 || ev.Latency != 18500*time.Microsecond || !ev.Final || len(ev.LoadReport) != 0 {
		t.Errorf("outcome is %+v", ev)
	}
}

// TestRecordsNoDecisionUses decodes a first byte, the result of a health check and a peer's message.
func TestRecordsNoDecisionUses(t *testing.T) {
	frame := "50000000" + clock + "03000000" +
		"03 14000000 0300 c4913a5d 0100 074a1203 0000000000005440" +
		"07 15000000 0300 0000000000005440 0400 074a1203 01 0000c03f" +
		"08 08000000 0300 0700 0200 6869"
	var d Decoder
	if err := d.Reset(unhex(t, frame)); err != nil {
		t.Fatal(err)
	}
	var ev Event
	next := func() {
		t.Helper()
		if err := d.Next(&ev); err != nil {
			t.Fatal(err)
		}
	}
	if next(); ev.Code != EventFirstByte || ev.Instance != 3 || ev.Request != 0x5d3a91c4 || ev.Attempt != 1 || ev.Server != 0x03124a07 || ev.Latency != 80*time.Millisecond {
		t.Errorf("first byte decoded as %+v", ev)
	}
	if next(); ev.Code != EventHealthChecked || ev.Latency != 80*time.Millisecond || ev.Result != 4 || ev.Server != 0x03124a07 || len(ev.LoadReport) != 1 || ev.LoadReport[0] != 1.5 {
		t.Errorf("health check decoded as %+v", ev)
	}
	if next(); ev.Code != EventPeerMessage || ev.Peer != 7 || string(ev.Data) != "hi" {
		t.Errorf("peer message decoded as %+v", ev)
	}
	// A peer message that claims more bytes than its record has.
	long := strings.Replace(frame, "0700 0200 6869", "0700 0300 6869", 1)
	if err := d.Reset(unhex(t, long)); err != nil {
		t.Fatal(err)
	}
	next()
	next()
	if err := d.Next(&ev); !errors.Is(err, ErrFormat) || !strings.Contains(err.Error(), "octets") {
		t.Errorf("a peer message past its record gives %v", err)
	}
}

// FuzzDecode feeds the decoder hostile frames. It must end, with an error or at the frame's end, and
// neither panic nor allocate beyond the frame.
func FuzzDecode(f *testing.F) {
	head := "\x10\x00\x00\x00\x00\x00\x00\x00\x20\x6e\xc0\x40\x00\x00\x00\x00"
	f.Add([]byte(head))
	f.Add([]byte(head + "\x06\x0a\x00\x00\x00\x03\x00"))
	f.Add([]byte("\x1b\x00\x00\x00\x00\x00\x00\x00\x20\x6e\xc0\x40\x01\x00\x00\x00\x05\x06\x00\x00\x00\x05\x00\x01\x02\x03\x04"))
	f.Add([]byte("\x28\x00\x00\x00\x00\x00\x00\x00\x20\x6e\xc0\x40\x01\x00\x00\x00\x01\x13\x00\x00\x00\x03\x00\x00\x00\x00\x00\x00\x00\x00\x00\x02\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, frame []byte) {
		var d Decoder
		if err := d.Reset(frame); err != nil {
			if !errors.Is(err, ErrFormat) {
				t.Fatalf("unmarked error %v", err)
			}
			return
		}
		for n := 0; ; n++ {
			var ev Event
			err := d.Next(&ev)
			if err != nil {
				if err != io.EOF && !errors.Is(err, ErrFormat) { //nolint:errorlint // Next promises io.EOF itself, not wrapped
					t.Fatalf("unmarked error %v", err)
				}
				return
			}
			if n > len(frame) || len(ev.Entries)*entrySize > len(frame) {
				t.Fatalf("%d records and %d entries from %d bytes", n, len(ev.Entries), len(frame))
			}
		}
	})
}
