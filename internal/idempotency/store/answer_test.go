package store

import (
	"bytes"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"jasperpin/internal/idempotency"
	_ "jasperpin/internal/seeded"
)

// TestPackedAnswersAreComplete packs and unpacks random answers. Every byte must be preserved, including header
// values that are not UTF-8.
func TestPackedAnswersAreComplete(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		piece := rapid.SliceOfN(rapid.Byte(), 1, 64).Draw(r, "piece")
		answer := Answer{
			Code: rapid.IntRange(100, 599).Draw(r, "code"),
			Header: map[string][]string{
				"X-One": {string(rapid.SliceOf(rapid.Byte()).Draw(r, "value")), "two"},
			},
			Body: bytes.Repeat(piece, rapid.IntRange(0, 200).Draw(r, "pieces")),
		}
		packed := pack(answer)
		if len(answer.Body) > 4*minCompressBytes && len(piece) < 16 && len(packed.Body) > len(answer.Body)/2 {
			r.Fatalf("a repeated pattern of %d bytes is packed into %d bytes, want at most half", len(answer.Body), len(packed.Body))
		}
		got := unpack(packed)
		if len(got.Body) == 0 {
			got.Body = answer.Body
		}
		if !reflect.DeepEqual(got, answer) {
			r.Fatalf("unpacking a packed answer: got %+v, want %+v", got, answer)
		}
	})
}

// FuzzRead decodes arbitrary bytes, as from a damaged file. It checks that decode returns an error or an
// answer, and that the answer is unchanged after it is packed and decoded again.
func FuzzRead(f *testing.F) {
	f.Add(pack(Answer{Code: 200, Header: map[string][]string{"A": {"b"}}, Body: []byte("c")}).Body)
	f.Add(pack(Answer{Code: 200, Body: bytes.Repeat([]byte("c"), 4<<10)}).Body)
	f.Add([]byte{formatPlain})
	f.Add([]byte{formatCompressed, 0x28, 0xb5, 0x2f, 0xfd})
	f.Fuzz(func(t *testing.T, b []byte) {
		header, body, err := decode(b)
		if err != nil {
			return
		}
		again, same, err := decode(pack(Answer{Header: header, Body: body}).Body)
		if err != nil || !reflect.DeepEqual(again, header) || !bytes.Equal(same, body) {
			t.Errorf("packing and decoding again returned header %v, body %q, error %v; want %v and %q", again, same, err, header, body)
		}
	})
}

// TestMalformedAnswerIsTrimmed unpacks a damaged answer. Its status must be replayed, without header and body.
func TestMalformedAnswerIsTrimmed(t *testing.T) {
	if a := unpack(idempotency.Answer{Status: 200, Body: []byte{formatCompressed, 1, 2}}); a.Code != 200 || !a.Trimmed || a.Body != nil {
		t.Errorf("unpacking a malformed answer returned %+v, want a trimmed answer with status 200 and no body", a)
	}
}
