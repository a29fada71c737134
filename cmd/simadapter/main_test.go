package main

import (
	"bytes"
	"encoding/binary"
	"math"
	"strings"
	"testing"

	"jasperpin/internal/simproto"
)

// batch builds a frame at a clock of one second from records.
func batch(records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	f := binary.LittleEndian.AppendUint32(nil, uint32(16+len(body)))
	f = binary.LittleEndian.AppendUint64(f, math.Float64bits(1000))
	f = binary.LittleEndian.AppendUint32(f, uint32(len(records)))
	return append(f, body...)
}

// record builds a record of a code and fields.
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

// startInstance is an event that starts an instance.
func startInstance(instance uint16) []byte {
	setup := "classes.count=1\nclasses.0.effect=free\nclasses.0.objectiveMs=500\nceilings.maxAttempts=3\n"
	return record(simproto.EventStart, instance, uint64(7), uint32(len(setup)), []byte(setup))
}

// endpointList is an event with a list of server 42 alone.
func endpointList(instance uint16) []byte {
	return record(simproto.EventEndpoints, instance, uint64(1), uint8(2), uint32(1),
		uint16(0), uint32(42), uint8(0), uint8(1), float32(1), float64(0), uint16(0))
}

// request is an event of a request.
func request(instance uint16, id uint32) []byte {
	return record(simproto.EventRequest, instance, id, uint64(0), float64(0), uint32(0), uint8(0), uint8(0), float64(2000))
}

// TestRunAnswersBatchesUntilInputEnds plays an empty batch, one in which an instance starts and gets a
// request, and one in which it stops and starts again. Each is answered, and the request is sent.
func TestRunAnswersBatchesUntilInputEnds(t *testing.T) {
	in := append(batch(), batch(startInstance(3), endpointList(3), request(3, 9), record(200, uint16(1)))...)
	in = append(in, batch(record(simproto.EventStop, uint16(3)), startInstance(3), endpointList(3))...)
	var out bytes.Buffer
	if err := run(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if !bytes.HasPrefix(out.Bytes(), []byte{4, 0, 0, 0}) {
		t.Errorf("the empty batch is answered with %x", out.Bytes())
	}
	assign := []byte{simproto.ActionSend, 18, 0, 0, 0, 3, 0, 9, 0, 0, 0, 42, 0, 0, 0}
	if !bytes.Contains(out.Bytes(), assign) {
		t.Errorf("no attempt for the request in %x", out.Bytes())
	}
}

// TestRunReportsInvalidInput feeds input that is cut short, damaged, or for no instance. run ends with an
// error of one line that names the fault.
func TestRunReportsInvalidInput(t *testing.T) {
	bad := record(simproto.EventStart, uint16(1), uint64(7), uint32(4), []byte("what"))
	for name, c := range map[string]struct {
		in   []byte
		says string
	}{
		"cut short":        {batch(startInstance(1))[:40], "cut short"},
		"length cut short": {[]byte{1, 2}, "length"},
		"never started":    {batch(request(5, 1)), "instance 5 was never launched"},
		"settings":         {batch(bad), "bad settings"},
		"huge length":      {[]byte{0xff, 0xff, 0xff, 0xff, 0}, "length"},
	} {
		var out bytes.Buffer
		err := run(bytes.NewReader(c.in), &out)
		if err == nil || !strings.Contains(err.Error(), c.says) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error is %v, want one line with %q", name, err, c.says)
		}
	}
}

// TestPanicEndsItsInstanceOnly has the decision engine panic after an action. The instance is reported as
// broken, the action is dropped, and the process goes on.
func TestPanicEndsItsInstanceOnly(t *testing.T) {
	var l adapter
	l.encoder.Reset()
	n := &instance{number: 4, encoder: &l.encoder}
	n.recoverPanic(func() {
		n.Fail(1)
		panic("boom")
	})
	got := l.encoder.Bytes()
	if got[4] != simproto.ActionBroken || !bytes.Contains(got, []byte("boom")) || n.balancer != nil {
		t.Errorf("reply is %x", got)
	}
}
