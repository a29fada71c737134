package main

import (
	"bytes"
	"encoding/binary"
	"math"
	"strings"
	"testing"

	"jasperpin/internal/simproto"
)

// batch encodes a frame of records with a clock of one second.
func batch(records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	f := binary.LittleEndian.AppendUint32(nil, uint32(16+len(body)))
	f = binary.LittleEndian.AppendUint64(f, math.Float64bits(1000))
	f = binary.LittleEndian.AppendUint32(f, uint32(len(records)))
	return append(f, body...)
}

// record encodes a record with a code and fields.
func record(code byte, fields ...any) []byte {
	var b bytes.Buffer
	for _, f := range fields {
		if err := binary.Write(&b, binary.LittleEndian, f); err != nil {
			panic(err)
		}
	}
	r := binary.LittleEndian.AppendUint32([]byte{code}, uint32(b.Len()))
	return append(r, b.Bytes()...)
}

// startInstance encodes an event that starts an instance.
func startInstance(instance uint16) []byte {
	setup := "classes.count=1\nclasses.0.effect=free\nclasses.0.objectiveMs=500\nceilings.maxAttempts=3\n"
	return record(simproto.EventStart, instance, uint64(7), uint32(len(setup)), []byte(setup))
}

// endpointList encodes an event with a complete list of one server, 42.
func endpointList(instance uint16) []byte {
	return record(simproto.EventEndpoints, instance, uint64(1), uint8(2), uint32(1),
		uint16(0), uint32(42), uint8(0), uint8(1), float32(1), float64(0), uint16(0))
}

// request encodes an event with a request.
func request(instance uint16, id uint32) []byte {
	return record(simproto.EventRequest, instance, id, uint64(0), float64(0), uint32(0), uint8(0), uint8(0), float64(2000))
}

// TestRunAnswersBatchesUntilInputEnds sends an empty batch, a batch in which an instance starts and gets a request,
// and one in which the instance stops and starts again. run replies to each batch, and the request is sent.
func TestRunAnswersBatchesUntilInputEnds(t *testing.T) {
	in := append(batch(), batch(startInstance(3), endpointList(3), request(3, 9), record(200, uint16(1)))...)
	in = append(in, batch(record(simproto.EventStop, uint16(3)), startInstance(3), endpointList(3))...)
	var out bytes.Buffer
	if err := run(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if !bytes.HasPrefix(out.Bytes(), []byte{4, 0, 0, 0}) {
		t.Errorf("replies are %x, want an empty reply to the empty batch first", out.Bytes())
	}
	assign := []byte{simproto.ActionSend, 18, 0, 0, 0, 3, 0, 9, 0, 0, 0, 42, 0, 0, 0}
	if !bytes.Contains(out.Bytes(), assign) {
		t.Errorf("reply has no attempt for the request, want one; reply: %x", out.Bytes())
	}
}

// TestRunReportsInvalidInput passes input that is truncated, damaged, or for an unknown instance. run
// returns an error of one line that names the fault.
func TestRunReportsInvalidInput(t *testing.T) {
	bad := record(simproto.EventStart, uint16(1), uint64(7), uint32(4), []byte("what"))
	for name, tc := range map[string]struct {
		in       []byte
		wantText string
	}{
		"cut short":        {batch(startInstance(1))[:40], "cut short"},
		"length cut short": {[]byte{1, 2}, "length"},
		"never started":    {batch(request(5, 1)), "instance 5 was never launched"},
		"settings":         {batch(bad), "invalid settings"},
		"huge length":      {[]byte{0xff, 0xff, 0xff, 0xff, 0}, "length"},
	} {
		var out bytes.Buffer
		err := run(bytes.NewReader(tc.in), &out)
		if err == nil || !strings.Contains(err.Error(), tc.wantText) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error is %v, want one line with %q", name, err, tc.wantText)
		}
	}
}

// TestPanicEndsItsInstanceOnly makes an instance panic after an action. The instance is reported as
// broken, the action is dropped, and the process continues.
func TestPanicEndsItsInstanceOnly(t *testing.T) {
	var a adapter
	a.encoder.Reset()
	n := &instance{number: 4, encoder: &a.encoder}
	n.recoverPanic(func() {
		n.Fail(1)
		panic("boom")
	})
	got := a.encoder.Bytes()
	if got[4] != simproto.ActionBroken || !bytes.Contains(got, []byte("boom")) || n.balancer != nil {
		t.Errorf("reply is %x, want Broken with the reason as its first action, and the instance disabled", got)
	}
}
