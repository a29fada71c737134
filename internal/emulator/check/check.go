// Package check has what tests over loopback share.
package check

import (
	"bytes"
	"io"
	"sync"
	"testing"
	"time"

	"jasperpin/internal/emulator"
)

// Soon bounds every wait for something that must happen: generous, for a slow
// machine under the race detector.
const Soon = 30 * time.Second

// Eventually waits for a condition.
func Eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(Soon); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never came about: %s", what)
		}
	}
}

// Must takes the result of what has to succeed.
func Must[T any](t testing.TB) func(v T, err error) T {
	t.Helper()
	return func(v T, err error) T {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
}

// Raw starts a scripted server that ends with the test.
func Raw(t testing.TB, answer emulator.Reply) *emulator.Raw {
	t.Helper()
	return Owned(t, func() (*emulator.Raw, error) { return emulator.NewRaw(answer) })
}

// Owned starts a stand-in that ends with the test.
func Owned[T io.Closer](t testing.TB, start func() (T, error)) T {
	t.Helper()
	s, err := start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// Unused gives an address that nothing listens at.
func Unused(t testing.TB) string {
	t.Helper()
	return Must[string](t)(emulator.Unused())
}

// Log is a log that can be read while it is written.
type Log struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write takes a piece of the log.
func (b *Log) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *Log) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}
