// Package check has helpers for tests over loopback.
package check

import (
	"bytes"
	"io"
	"sync"
	"testing"
	"time"

	"jasperpin/internal/emulator"
)

// Soon bounds each wait for something that must happen. It is generous, for a slow machine under the race
// detector.
const Soon = 30 * time.Second

// eventuallyPoll is how often Eventually checks its condition.
const eventuallyPoll = 2 * time.Millisecond

// Eventually waits for a condition, and fails the test if it does not hold within Soon.
func Eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(Soon); !ok(); time.Sleep(eventuallyPoll) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", Soon, what)
		}
	}
}

// Must returns a function that returns its first argument, and fails the test if there is an error.
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

// ScriptedServer starts a scripted server that is closed at the end of the test.
func ScriptedServer(t testing.TB, answer emulator.Responder) *emulator.ScriptedServer {
	t.Helper()
	return StartForTest(t, func() (*emulator.ScriptedServer, error) { return emulator.NewScriptedServer(answer) })
}

// StartForTest starts something that is closed at the end of the test.
func StartForTest[T io.Closer](t testing.TB, start func() (T, error)) T {
	t.Helper()
	s, err := start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// UnusedAddr returns a loopback address that nothing listens at.
func UnusedAddr(t testing.TB) string {
	t.Helper()
	return Must[string](t)(emulator.UnusedAddr())
}

// Log is a log that can be read while it is written. The zero value is an empty log.
type Log struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write appends to the log.
func (l *Log) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(p)
}

// String is all that was written so far.
func (l *Log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.String()
}
