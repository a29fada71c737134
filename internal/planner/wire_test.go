package planner

import (
	"reflect"
	"testing"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/golden"
)

// TestMessageForm compares encoded messages and Hellos with golden files of an earlier release, and
// decodes these.
func TestMessageForm(t *testing.T) {
	t.Parallel()
	question := RequestInfo{Class: 3, Key: 1 << 40, WorkHint: 7 * time.Millisecond, Remaining: time.Second, ClientRetry: true}
	all := []Message{
		{Kind: KindPlace, ID: 300, RequestInfo: question},
		{Kind: KindAttemptSent, ID: 301, Attempt: 2, Server: 77, RequestInfo: question},
		{Kind: KindAttemptEnded, ID: 302, Attempt: 1, Result: decide.TimedOut},
		{Kind: KindSynced},
		{Kind: KindPlacement, ID: 303, Server: 78},
		{Kind: KindDeclined, ID: 304},
	}
	var frame []byte
	for i := range all {
		frame = all[i].Append(frame)
	}
	golden.Bytes(t, "messages", frame)
	var got []Message
	if err := Decode(golden.Read(t, "messages"), func(m Message) error { got = append(got, m); return nil }); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, all) {
		t.Errorf("golden messages decoded as %+v, want the messages that were encoded", got)
	}
	hello := Hello{Version: Version, Name: "node-1", Pool: "pool-1", Classes: []string{"class-1", "class-2"}}
	golden.Bytes(t, "hello", hello.Append(nil))
	if got, err := ParseHello(golden.Read(t, "hello")); err != nil || !reflect.DeepEqual(got, hello) {
		t.Errorf("golden Hello parsed as %+v, %v", got, err)
	}
}

// TestResultNumbers checks that the numbers of results, which are part of the protocol, do not change.
func TestResultNumbers(t *testing.T) {
	t.Parallel()
	for i, r := range []decide.Result{decide.OK, decide.Failed, decide.Overloaded, decide.TimedOut, decide.ConnectFailed, decide.ConnectionReset, decide.Cancelled, decide.Abandoned} {
		if int(r) != i {
			t.Errorf("%v has number %d, want %d", r, r, i)
		}
	}
}
