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

// unhex decodes hexadecimal digits, ignoring spaces.
func unhex(t *testing.T, s string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.ReplaceAll(s, " ", ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// clock is the clock field of a frame, 8,412.25 ms.
const clock = "00000000 206ec040"

// TestEmptyBatch decodes a frame without records, and encodes a reply without actions.
func TestEmptyBatch(t *testing.T) {
	var d Decoder
	if err := d.Reset(unhex(t, "10000000"+clock+"00000000")); err != nil {
		t.Fatal(err)
	}
	var ev Event
	if err := d.Next(&ev); err != io.EOF { //nolint:errorlint // Next promises io.EOF itself, not wrapped
		t.Fatalf("Next returned %v, want io.EOF", err)
	}
	var e Encoder
	e.Reset()
	if got := hex.EncodeToString(e.Bytes()); got != "04000000" {
		t.Fatalf("empty reply is %s, want 04000000", got)
	}
}

// TestBatchAndReply decodes a frame and encodes a reply from the protocol's specification.
func TestBatchAndReply(t *testing.T) {
	var decoder Decoder
	frame := unhex(t, "53000000"+clock+"03000000"+
		"02 24000000 0300 c4913a5d 640ad2557c3bf091 0000000000002840 00000000 00 01 0000000020e6c040"+
		"06 0a000000 0300 4d00000000000000"+
		"05 06000000 0500 192b6f0e")
	if err := decoder.Reset(frame); err != nil {
		t.Fatal(err)
	}
	if decoder.Now() != 8412250*time.Microsecond {
		t.Errorf("clock of the decoded frame is %v, want the time in its header", decoder.Now())
	}
	want := []Event{
		{Code: EventRequest, Instance: 3, Request: 0x5d3a91c4, Key: 0x91f03b7c55d20a64, WorkHint: 12 * time.Millisecond, Flags: 1, Deadline: 8652250 * time.Microsecond},
		{Code: EventTimerFired, Instance: 3, Token: 77},
		{Code: EventClientDisconnected, Instance: 5, Request: 0x0e6f2b19},
	}
	for i, w := range want {
		var ev Event
		if err := decoder.Next(&ev); err != nil {
			t.Fatal(err)
		}
		if ev.Code != w.Code || ev.Instance != w.Instance || ev.Request != w.Request || ev.Key != w.Key || ev.WorkHint != w.WorkHint ||
			ev.Flags != w.Flags || ev.Deadline != w.Deadline || ev.Token != w.Token {
			t.Errorf("record %d was decoded as %+v, want %+v", i, ev, w)
		}
	}
	var encoder Encoder
	encoder.Reset()
	encoder.Send(3, 0x5d3a91c4, 0x03124a07, 80*time.Millisecond)
	encoder.SetTimer(3, 77, 8912250*time.Microsecond)
	encoder.Log(5, "two servers known")
	reply := "4c000000 09 12000000 0300 c4913a5d 074a1203 0000000000005440" +
		"01 12000000 0300 4d00000000000000 000000002068c140" +
		"0b 15000000 0500 1100 74776f2073657276657273206b6e6f776e"
	if !bytes.Equal(encoder.Bytes(), unhex(t, reply)) {
		t.Errorf("reply was encoded as %x, want %s", encoder.Bytes(), reply)
	}
}

// TestDamagedFrames decodes frames with one damaged field each. The error names the field and its offset.
func TestDamagedFrames(t *testing.T) {
	for name, tc := range map[string]struct{ frame, wantText string }{
		"length mismatch":      {"11000000" + clock + "00000000", "length"},
		"nan clock":            {"10000000 000000000000f87f 00000000", "clock"},
		"too many records":     {"10000000" + clock + "ffffffff", "count"},
		"record past end":      {"15000000" + clock + "01000000 06 ffffffff", "size"},
		"missing field":        {"17000000" + clock + "01000000 05 02000000 0500", "req"},
		"list count too large": {"28000000" + clock + "01000000 01 13000000 0300 2900000000000000 02 ffffffff 00000000", "nodesList"},
	} {
		t.Run(name, func(t *testing.T) {
			var d Decoder
			var ev Event
			err := d.Reset(unhex(t, tc.frame))
			if err == nil {
				err = d.Next(&ev)
			}
			if !errors.Is(err, ErrFormat) || !strings.Contains(err.Error(), tc.wantText) || !strings.Contains(err.Error(), "offset") {
				t.Fatalf("error is %v, want one with %s and an offset", err, tc.wantText)
			}
		})
	}
}

// TestEndpointListAndAttemptFinished decodes an update of the endpoint list and the end of an attempt.
func TestEndpointListAndAttemptFinished(t *testing.T) {
	var decoder Decoder
	var event Event
	frame := unhex(t, "6d000000"+clock+"02000000"+
		"01 3b000000 0300 2900000000000000 02 02000000"+
		"0000 074a1203 00 01 0000803f 0000000000000000 0000"+
		"0000 f211902c 01 01 0000c03f 0000000000d4b740 0000"+
		"04 18000000 0300 c4913a5d 0000 074a1203 0000 0000000000803240 01 00")
	if err := decoder.Reset(frame); err != nil {
		t.Fatal(err)
	}
	if err := decoder.Next(&event); err != nil {
		t.Fatal(err)
	}
	want := []Entry{
		{Server: 0x03124a07, State: 1, Capacity: 1},
		{Server: 0x2c9011f2, Zone: 1, State: 1, Capacity: 1.5, StartedAt: 6100 * time.Millisecond},
	}
	if event.Code != EventEndpoints || event.Version != 41 || event.UpdateKind != 2 || len(event.Entries) != 2 || event.Entries[0] != want[0] || event.Entries[1] != want[1] {
		t.Errorf("endpoint list was decoded as %+v, want the entries of the record", event)
	}
	if err := decoder.Next(&event); err != nil {
		t.Fatal(err)
	}
	if event.Code != EventAttemptFinished || event.Request != 0x5d3a91c4 || event.Server != 0x03124a07 || event.Latency != 18500*time.Microsecond || !event.Final || len(event.LoadReport) != 0 {
		t.Errorf("end of attempt was decoded as %+v, want the values of the record", event)
	}
}

// TestRecordsNoDecisionUses decodes records that no decision depends on: a first byte, the result of a
// health check and a peer's message.
func TestRecordsNoDecisionUses(t *testing.T) {
	frame := "50000000" + clock + "03000000" +
		"03 14000000 0300 c4913a5d 0100 074a1203 0000000000005440" +
		"07 15000000 0300 0000000000005440 0400 074a1203 01 0000c03f" +
		"08 08000000 0300 0700 0200 6869"
	var decoder Decoder
	if err := decoder.Reset(unhex(t, frame)); err != nil {
		t.Fatal(err)
	}
	var event Event
	next := func() {
		t.Helper()
		if err := decoder.Next(&event); err != nil {
			t.Fatal(err)
		}
	}
	if next(); event.Code != EventFirstByte || event.Instance != 3 || event.Request != 0x5d3a91c4 || event.Attempt != 1 || event.Server != 0x03124a07 || event.Latency != 80*time.Millisecond {
		t.Errorf("first byte was decoded as %+v, want the values of the record", event)
	}
	if next(); event.Code != EventHealthChecked || event.Latency != 80*time.Millisecond || event.Result != 4 || event.Server != 0x03124a07 || len(event.LoadReport) != 1 || event.LoadReport[0] != 1.5 {
		t.Errorf("health check was decoded as %+v, want the values of the record", event)
	}
	if next(); event.Code != EventPeerMessage || event.Peer != 7 || string(event.Data) != "hi" {
		t.Errorf("peer message was decoded as %+v, want the values of the record", event)
	}
	// A peer message whose length exceeds its record.
	long := strings.Replace(frame, "0700 0200 6869", "0700 0300 6869", 1)
	if err := decoder.Reset(unhex(t, long)); err != nil {
		t.Fatal(err)
	}
	next()
	next()
	if err := decoder.Next(&event); !errors.Is(err, ErrFormat) || !strings.Contains(err.Error(), "octets") {
		t.Errorf("peer message longer than its record: error is %v, want one that wraps ErrFormat and names octets", err)
	}
}

// FuzzDecode passes malformed frames to the decoder. It must stop, with an error or at the end of the
// frame, and neither panic nor allocate more than the frame's size.
func FuzzDecode(f *testing.F) {
	header := "\x10\x00\x00\x00\x00\x00\x00\x00\x20\x6e\xc0\x40\x00\x00\x00\x00"
	f.Add([]byte(header))
	f.Add([]byte(header + "\x06\x0a\x00\x00\x00\x03\x00"))
	f.Add([]byte("\x1b\x00\x00\x00\x00\x00\x00\x00\x20\x6e\xc0\x40\x01\x00\x00\x00\x05\x06\x00\x00\x00\x05\x00\x01\x02\x03\x04"))
	f.Add([]byte("\x28\x00\x00\x00\x00\x00\x00\x00\x20\x6e\xc0\x40\x01\x00\x00\x00\x01\x13\x00\x00\x00\x03\x00\x00\x00\x00\x00\x00\x00\x00\x00\x02\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, frame []byte) {
		var d Decoder
		if err := d.Reset(frame); err != nil {
			if !errors.Is(err, ErrFormat) {
				t.Fatalf("Reset returned %v, which does not wrap ErrFormat", err)
			}
			return
		}
		for n := 0; ; n++ {
			var ev Event
			err := d.Next(&ev)
			if err != nil {
				if err != io.EOF && !errors.Is(err, ErrFormat) { //nolint:errorlint // Next promises io.EOF itself, not wrapped
					t.Fatalf("Next returned %v, which does not wrap ErrFormat", err)
				}
				return
			}
			if n > len(frame) || len(ev.Entries)*entrySize > len(frame) {
				t.Fatalf("decoder returned %d records and %d entries from %d bytes, want no more than the bytes hold", n, len(ev.Entries), len(frame))
			}
		}
	})
}
