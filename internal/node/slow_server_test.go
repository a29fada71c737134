package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"jasperpin/internal/emulator/check"
)

// TestSlowAnswerIsNotCutOff guards against a long answer that is cut off while its server still writes it: the client's
// time is that of the first bytes. The server announces no length, and it takes longer than the client's time until the
// answer is known to be long; or it writes chunks of one byte.
func TestSlowAnswerIsNotCutOff(t *testing.T) {
	const deadline, size, pieceBytes = 500 * time.Millisecond, 96 << 10, 4 << 10
	for name, testCase := range map[string]struct {
		chunk int // bytes
		pause time.Duration
	}{
		"slow":                  {pieceBytes, 50 * time.Millisecond},
		"chunks of one byte":    {1, 0},
		"slow, one-byte chunks": {1, 50 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			piece := strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", testCase.chunk, strings.Repeat("x", testCase.chunk)), pieceBytes/testCase.chunk)
			server := check.ScriptedServer(t, func(c net.Conn, _ *http.Request, _ []byte) bool {
				_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
				for n := 0; n < size && err == nil; n += pieceBytes {
					_, err = io.WriteString(c, piece)
					<-time.After(testCase.pause)
				}
				_, _ = io.WriteString(c, "0\r\n\r\n")
				return err == nil
			})
			n := startNode(t, withDeadline(deadline), server.Addr)
			status, body, _ := n.roundTripOnce(lookRequest("long"))
			if status != http.StatusOK || len(body) != size {
				t.Errorf("got status %d and %d bytes, want 200 and %d bytes", status, len(body), size)
			}
		})
	}
}
