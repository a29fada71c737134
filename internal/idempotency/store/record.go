package store

import (
	"bytes"
	"encoding/json"
	"time"
	"unicode/utf8"

	"jasperpin/internal/bootclock"
	"jasperpin/internal/idempotency"
)

// bucketName is the bucket of the file. Its number is the version of the record format.
var bucketName = []byte("keys-1")

// storedRecord is a record in the file.
type storedRecord struct {
	Key        idempotency.Key    `json:"Key"`
	Digest     idempotency.Digest `json:"Digest"`
	Running    bool               `json:"Running,omitempty"`
	MayHaveRun bool               `json:"Unknown,omitempty"`
	Answer     idempotency.Answer `json:"Answer,omitzero"`
	bootclock.Deadline
	RawKey    *rawKey       `json:"RawKey,omitempty"`    // only if Key has bytes that JSON does not preserve
	Retention time.Duration `json:"Retention,omitempty"` // as promised for the key; 0 in records of earlier versions
}

// rawKey has the texts of a key that clients determine, which may be any bytes.
type rawKey struct {
	Tenant []byte `json:"Tenant"`
	Text   []byte `json:"Text"`
}

// rawKeyOf returns the raw texts of a key, or nil if both are UTF-8.
func rawKeyOf(k idempotency.Key) *rawKey {
	if utf8.ValidString(k.Tenant) && utf8.ValidString(k.Text) {
		return nil
	}
	return &rawKey{Tenant: []byte(k.Tenant), Text: []byte(k.Text)}
}

// recordName returns the name of a key's record in the file.
func recordName(k idempotency.Key) []byte {
	hash := k.Hash()
	return hash[:]
}

// encodeRecord returns a record in the format of the file.
func encodeRecord(r idempotency.Record, now bootclock.Reading) ([]byte, error) {
	return json.Marshal(storedRecord{
		Key: r.Key, RawKey: rawKeyOf(r.Key), Digest: r.Digest, Running: r.Running, MayHaveRun: r.MayHaveRun, Answer: r.Answer,
		Deadline: now.After(r.Remaining), Retention: r.Retention,
	})
}

// decodeRecord returns the record that is stored under a name.
func decodeRecord(name, text []byte) (r storedRecord, err error) {
	if err := json.Unmarshal(text, &r); err != nil {
		return r, err
	}
	if r.RawKey != nil {
		r.Key.Tenant, r.Key.Text = string(r.RawKey.Tenant), string(r.RawKey.Text)
		return r, nil
	}
	// Earlier versions stored no raw key: what was lost of a digest is restored.
	fingerprint := r.Key
	fingerprint.Text = r.Digest.KeyText()
	if bytes.Equal(recordName(fingerprint), name) {
		r.Key = fingerprint
	}
	return r, nil
}

// expired reports whether the retention of a record has ended. A Running record does not expire, as a run may
// take longer than its class retains answers. Neither does a record that has only a wall-clock time, as it is
// rewritten when the file is opened.
func (r *storedRecord) expired(now bootclock.Reading) bool {
	return !r.Running && r.Span > 0 && now.Remaining(r.Deadline) <= 0
}

// isExpired reports whether text is an expired record. A nil text means that there is no record.
func isExpired(text []byte, now bootclock.Reading) bool {
	var r storedRecord
	return text != nil && json.Unmarshal(text, &r) == nil && r.expired(now)
}
