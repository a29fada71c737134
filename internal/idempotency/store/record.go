package store

import (
	"encoding/json"

	"jasperpin/internal/bootclock"
	"jasperpin/internal/idempotency"
)

// bucketName is the bucket of the file. Its number is that of the form of its records.
var bucketName = []byte("keys-1")

// storedRecord is a key as it stands in the file.
type storedRecord struct {
	Key        idempotency.Key    `json:"Key"`
	Digest     idempotency.Digest `json:"Digest"`
	Running    bool               `json:"Running,omitempty"`
	MayHaveRun bool               `json:"Unknown,omitempty"`
	Answer     idempotency.Answer `json:"Answer,omitzero"`
	bootclock.Deadline
}

// recordName is the name of a key's record in the file.
func recordName(k idempotency.Key) []byte {
	hash := k.Hash()
	return hash[:]
}

// encodeRecord returns a record as it stands in the file.
func encodeRecord(r idempotency.Record, now bootclock.Reading) ([]byte, error) {
	return json.Marshal(storedRecord{
		Key: r.Key, Digest: r.Digest, Running: r.Running, MayHaveRun: r.MayHaveRun, Answer: r.Answer,
		Deadline: now.After(r.TimeLeft),
	})
}

// expired reports whether the retention of a record is over. A run may take longer than its class retains
// answers, and a record that has only a wall-clock time is written anew when the file is opened; neither
// expires.
func (r *storedRecord) expired(now bootclock.Reading) bool {
	return !r.Running && r.Span > 0 && now.Remaining(r.Deadline) <= 0
}

// isExpired reports whether the text is that of an expired record; nil is no record.
func isExpired(text []byte, now bootclock.Reading) bool {
	var r storedRecord
	return text != nil && json.Unmarshal(text, &r) == nil && r.expired(now)
}
