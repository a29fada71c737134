package planner

import (
	"bytes"
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jasperpin/decide"
)

func anyMessage(t *rapid.T) Message {
	message := Message{Kind: Kind(rapid.IntRange(int(KindPlace), int(KindDeclined)).Draw(t, "kind"))}
	if message.Kind == KindSynced {
		return message
	}
	message.ID = decide.RequestID(rapid.Uint32().Draw(t, "id"))
	if message.Kind == KindAttemptSent || message.Kind == KindAttemptEnded {
		message.Attempt = rapid.IntRange(0, maxAttempt).Draw(t, "attempt")
	}
	if message.Kind == KindAttemptSent || message.Kind == KindPlacement {
		message.Server = decide.ServerID(rapid.Uint32().Draw(t, "server"))
	}
	if message.Kind == KindAttemptEnded {
		message.Result = decide.Result(rapid.IntRange(0, int(decide.Abandoned)).Draw(t, "result"))
	}
	if message.Kind == KindAttemptSent || message.Kind == KindPlace {
		message.RequestInfo = RequestInfo{
			Class: rapid.IntRange(0, maxClass).Draw(t, "class"), Key: rapid.Uint64().Draw(t, "key"),
			WorkHint:    time.Duration(rapid.IntRange(0, 1e6).Draw(t, "hint")) * time.Microsecond,
			Remaining:   time.Duration(rapid.IntRange(0, 1e6).Draw(t, "remaining")) * time.Microsecond,
			ClientRetry: rapid.Bool().Draw(t, "client retry"),
		}
	}
	return message
}

func decoded(b []byte) (all []Message, err error) {
	err = Decode(b, func(m Message) error {
		all = append(all, m)
		return nil
	})
	return all, err
}

// TestMessagesRoundTrip encodes messages and decodes them, complete and truncated.
func TestMessagesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := rapid.SliceOfN(rapid.Custom(anyMessage), 1, 20).Draw(t, "messages")
		var b []byte
		for i := range sent {
			b = sent[i].Append(b)
		}
		got, err := decoded(b)
		if err != nil || !slices.Equal(got, sent) {
			t.Fatalf("encoded messages %+v decoded as %+v, error %v, want the same messages", sent, got, err)
		}
		cut := rapid.IntRange(0, len(b)-1).Draw(t, "cut")
		got, err = decoded(b[:cut])
		if err != nil && !errors.Is(err, ErrFrame) {
			t.Fatal(err)
		}
		if len(got) >= len(sent) || !slices.Equal(got, sent[:len(got)]) {
			t.Fatalf("payload truncated to %d of %d bytes decoded as %+v", cut, len(b), got)
		}
	})
}

// TestInvalidMessages decodes payloads that are invalid in this protocol version: each is an error.
func TestInvalidMessages(t *testing.T) {
	for name, b := range map[string][]byte{
		"kind 0":              {0, 1},
		"unknown kind":        {byte(KindDeclined) + 1, 1},
		"ID too large":        {byte(KindDeclined), 0xff, 0xff, 0xff, 0xff, 0xff, 0x01},
		"unterminated varint": bytes.Repeat([]byte{0xff}, 20),
		"result out of range": {byte(KindAttemptEnded), 1, 0, byte(decide.Abandoned) + 1},
		"attempt too high":    {byte(KindAttemptEnded), 1, maxAttempt + 1, 0},
		"duration too long":   append([]byte{byte(KindPlace), 1, 0, 0, 0, 0}, bytes.Repeat([]byte{0xff}, 8)...),
	} {
		if got, err := decoded(b); !errors.Is(err, ErrFrame) || len(got) > 0 {
			t.Errorf("%s: the payload decoded as %+v with error %v, want an error", name, got, err)
		}
	}
}

// TestHelloCompatibility checks Hellos of forwarders that are compatible with a planner and of others
// that are not.
func TestHelloCompatibility(t *testing.T) {
	good := Hello{Version: Version, Name: "f1", Pool: "orders", Classes: []string{"look", "credit"}}
	for name, test := range map[string]struct {
		change func(*Hello)
		want   string
	}{
		"good":          {func(*Hello) {}, ""},
		"later version": {func(h *Hello) { h.Version = 2 }, "version 2"},
		"no name":       {func(h *Hello) { h.Name = "" }, "no name"},
		"other classes": {func(h *Hello) { h.Classes = []string{"credit", "look"} }, "classes"},
	} {
		h := good
		test.change(&h)
		got, err := ParseHello(h.Append(nil))
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		err = got.CheckCompatible(good.Classes)
		if (err == nil) != (test.want == "") || err != nil && !strings.Contains(err.Error(), test.want) {
			t.Errorf("%s: %v", name, err)
		}
	}
	text := good.Append(nil)
	for cut := range len(text) - 1 {
		if h, err := ParseHello(text[:cut]); err == nil && h.CheckCompatible(good.Classes) == nil {
			t.Errorf("a Hello truncated to %d bytes is accepted as %+v, want an error", cut, h)
		}
	}
}

// FuzzDecode decodes arbitrary payloads: the messages of a valid payload are the same after they are
// encoded and decoded again.
func FuzzDecode(f *testing.F) {
	for _, m := range []Message{
		{Kind: KindSynced}, {Kind: KindPlacement, ID: 7, Server: 1 << 31}, {Kind: KindDeclined, ID: 1}, {Kind: KindAttemptEnded, ID: 9, Attempt: 2, Result: decide.Overloaded},
		{Kind: KindPlace, ID: 3, RequestInfo: RequestInfo{Class: 2, Key: 1 << 60, WorkHint: time.Millisecond, Remaining: time.Second, ClientRetry: true}},
		{Kind: KindAttemptSent, ID: 3, Attempt: 1, Server: 5, RequestInfo: RequestInfo{Class: 1, Remaining: time.Minute}},
	} {
		f.Add(m.Append(nil))
	}
	f.Add([]byte{0xff, 0, 1})
	f.Fuzz(func(t *testing.T, b []byte) {
		got, err := decoded(b)
		if err != nil && !errors.Is(err, ErrFrame) {
			t.Fatal(err)
		}
		var again []byte
		for i := range got {
			again = got[i].Append(again)
		}
		same, err := decoded(again)
		if err != nil || !slices.Equal(same, got) {
			t.Fatalf("decoded messages are %+v; encoded and decoded again they are %+v, error %v, want the same", got, same, err)
		}
	})
}

// FuzzParseHello parses arbitrary payloads: a valid Hello is the same after it is encoded and parsed
// again.
func FuzzParseHello(f *testing.F) {
	h := Hello{Version: Version, Name: "f1", Pool: "orders", Classes: []string{"look", "credit"}}
	f.Add(h.Append(nil))
	h.Version = 9
	f.Add(h.Append(nil))
	f.Add([]byte{1, 0xff, 0xff, 3})
	f.Fuzz(func(t *testing.T, b []byte) {
		h, err := ParseHello(b)
		if err != nil || h.Version != Version {
			return
		}
		again, err := ParseHello(h.Append(nil))
		if err != nil || again.Name != h.Name || again.Pool != h.Pool || !slices.Equal(again.Classes, h.Classes) {
			t.Fatalf("parsed Hello is %+v; encoded and parsed again it is %+v, error %v, want the same", h, again, err)
		}
	})
}
