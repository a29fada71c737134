package store

import (
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"jasperpin/internal/bootclock"
	"jasperpin/internal/emulator/check"
	"jasperpin/internal/golden"
	"jasperpin/internal/idempotency"
)

// storedAt is a moment on a machine whose clocks stand still.
func storedAt() bootclock.Reading {
	return bootclock.Reading{Boot: "boot-1", Since: time.Hour, Wall: time.Unix(1764720000, 0)}
}

// storedRecords are one of each kind that the file holds: answered in short and at length, running,
// and of unknown end.
func storedRecords() []idempotency.Record {
	key := func(text string) idempotency.Key {
		return idempotency.Key{Tenant: "tenant", Class: "class", Text: text}
	}
	short := pack(Answer{Code: 201, Header: map[string][]string{"Content-Type": {"text/plain"}}, Body: []byte("made")})
	long := pack(Answer{Code: 200, Header: map[string][]string{"X-Long": {"a", "b"}}, Body: []byte(strings.Repeat("linen ", 1000))})
	return []idempotency.Record{
		{Key: key("short"), Digest: idempotency.Digest{1, 2}, Answer: short, Left: time.Hour},
		{Key: key("long"), Digest: idempotency.Digest{3}, Answer: long, Left: 2 * time.Hour},
		{Key: key("trimmed"), Digest: idempotency.Digest{4}, Answer: idempotency.Answer{Status: 500, Trimmed: true}, Left: 3 * time.Hour},
		{Key: key("running"), Digest: idempotency.Digest{5}, Running: true, Left: 4 * time.Hour},
		{Key: key("unknown"), Digest: idempotency.Digest{6}, Unknown: true, Left: 5 * time.Hour},
	}
}

// TestKeysFileForm reads a file of keys that an earlier version wrote.
func TestKeysFileForm(t *testing.T) {
	t.Parallel()
	golden.JSON[kept](t, "record")
	path := filepath.Join(t.TempDir(), "keys.db")
	if golden.Updating() {
		j, _, err := openJournal(path, time.Second, nil, storedAt)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range storedRecords() {
			if err := <-j.put(r); err != nil {
				t.Fatal(err)
			}
		}
		j.close()
		golden.Save(t, "keys.db", path)
	} else {
		golden.Copy(t, "keys.db", path)
	}
	j, all, err := openJournal(path, time.Second, nil, storedAt)
	if err != nil {
		t.Fatal(err)
	}
	defer j.close()
	if len(all) != len(storedRecords()) {
		t.Fatalf("%d records are read, %d were written", len(all), len(storedRecords()))
	}
	for _, want := range storedRecords() {
		at := slices.IndexFunc(all, func(k kept) bool { return k.Key == want.Key })
		if at < 0 {
			t.Errorf("%v is not there", want.Key)
			continue
		}
		got := all[at]
		if got.Digest != want.Digest || got.Running != want.Running || got.Unknown != want.Unknown || storedAt().Left(got.Deadline) != want.Left {
			t.Errorf("%v is read as %+v", want.Key, got)
		}
		if a, b := unpack(got.Answer), unpack(want.Answer); !reflect.DeepEqual(a, b) {
			t.Errorf("%v: its answer is read as %+v", want.Key, a)
		}
		text := check.Must[[]byte](t)(encode(want, storedAt()))
		golden.Bytes(t, "record-"+want.Key.Text+".json", text)
	}
}
