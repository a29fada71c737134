// Package check provides helpers for tests over loopback.
package check

import (
	"bytes"
	"io"
	"sync"
	"testing"
	"time"

	"jasperpin/internal/emulator"
)

// Timeout is the timeout of a wait for an event that must occur. It is long enough for a slow machine under the race
// detector.
const Timeout = 30 * time.Second

// eventuallyPoll is the interval at which Eventually checks its condition.
const eventuallyPoll = 2 * time.Millisecond

// Eventually waits until holds returns true, and fails the test if that takes longer than Timeout. The failure message
// contains condition, a description of what is awaited.
func Eventually(t testing.TB, condition string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(Timeout); !holds(); time.Sleep(eventuallyPoll) {
		if time.Now().After(end) {
			t.Fatalf("condition not met within %v: %s", Timeout, condition)
		}
	}
}

// Must returns a function that returns its first argument, and fails the test if its second argument is an error.
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

// StartForTest calls start, and closes the value that it returns at the end of the test.
func StartForTest[T io.Closer](t testing.TB, start func() (T, error)) T {
	t.Helper()
	s, err := start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// UnusedAddr returns a loopback address at which no socket listens.
func UnusedAddr(t testing.TB) string {
	t.Helper()
	return Must[string](t)(emulator.UnusedAddr())
}

// Log is a log buffer that is safe for concurrent use. The zero value is an empty log.
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

// String returns everything that was written so far.
func (l *Log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.String()
}
