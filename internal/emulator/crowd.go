package emulator

import (
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// CrowdKind is what each client of a crowd does on a connection until the connection ends.
type CrowdKind uint8

// The kinds of crowds.
const (
	CrowdWritesSlowly  CrowdKind = iota // a short request, a piece at a time
	CrowdUploadsSlowly                  // a long request, a piece at a time
	CrowdStopsShort                     // half of a short request
	CrowdStopsMiddle                    // all but the end of a request of 1 MiB
	CrowdStopsLong                      // half of a long request
	CrowdManyFields                     // a head with more fields than a server has to accept
	CrowdHeldFields                     // a head with as many fields as the server accepts, on a request that takes long
	CrowdEndlessHead                    // a head that does not end
	CrowdReadsSlowly                    // a long answer, a piece at a time
	CrowdConnects                       // nothing
	CrowdIgnoresAnswer                  // a request whose answer it does not read
	CrowdHeldBodies                     // a short request with a body, on which its server takes long
	CrowdManyBodies                     // a request of 512 KiB, again and again
	NumCrowdKinds
)

var crowdKindNames = [NumCrowdKinds]string{
	"slow writing", "slow uploads", "short bodies stopped half way", "bodies of 1 MiB stopped before the end", "long bodies stopped half way",
	"many short fields", "many short fields, request held", "many short fields, no end", "long answers read slowly", "silent",
	"answers not read", "short bodies, request held", "bodies of 512 KiB",
}

func (k CrowdKind) String() string {
	if k < NumCrowdKinds {
		return crowdKindNames[k]
	}
	return "unknown"
}

// Sizes and rates of a crowd's requests.
const (
	crowdShortBody  = 60_000    // bytes, within what every server has to accept
	crowdMiddleBody = 1 << 20   // bytes
	crowdManyBody   = 512 << 10 // bytes, which a server may store
	crowdLongBody   = 32 << 20  // bytes
	crowdPiece      = 64 << 10  // bytes that are written at a time at full speed
	crowdSlowPiece  = 1100      // bytes that are written at a time every crowdPause: 11 kB/s
	crowdSlowUpload = 6400      // bytes that are written or read at a time every crowdPause: 64 kB/s
	crowdPause      = 100 * time.Millisecond
	crowdHead       = 31 << 10 // bytes of a head with many fields
	crowdHeldFields = 110      // fields of a head that is accepted
	crowdReadBuffer = 4 << 10  // bytes of the receive buffer of a client that reads slowly
	crowdDialTime   = time.Second
)

// Crowd is a number of clients that connect again whenever their connection ends. They share the kinds evenly.
type Crowd struct {
	Addr    string
	Clients int
	Kinds   []CrowdKind
	// UploadHead and DownloadHead return the head of a request, without the empty line that ends it: for a body of
	// length bytes, and for a request without a body.
	UploadHead   func(id string, length int) string
	DownloadHead func(id string) string
}

// Run runs the crowd until ctx is done, and waits for its clients.
func (c *Crowd) Run(ctx context.Context) {
	var clients sync.WaitGroup
	for i := range c.Clients {
		kind := c.Kinds[i%len(c.Kinds)]
		clients.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				c.connect(ctx, kind, fmt.Sprintf("crowd-%d-%d", i, n))
			}
		})
	}
	clients.Wait()
}

// connect runs one client on one connection.
func (c *Crowd) connect(ctx context.Context, kind CrowdKind, id string) {
	conn, err := net.DialTimeout("tcp", c.Addr, crowdDialTime)
	if err != nil {
		Sleep(ctx, crowdPause)
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })()
	switch kind {
	case CrowdWritesSlowly:
		c.writeSlowly(ctx, conn, c.UploadHead(id, crowdShortBody), crowdShortBody, crowdSlowPiece)
	case CrowdUploadsSlowly:
		c.writeSlowly(ctx, conn, c.UploadHead(id, crowdLongBody), crowdLongBody, crowdSlowUpload)
	case CrowdStopsShort:
		sendAndAwaitEnd(conn, c.UploadHead(id, crowdShortBody)+"\r\n", crowdShortBody/2)
	case CrowdStopsMiddle:
		sendAndAwaitEnd(conn, c.UploadHead(id, crowdMiddleBody)+"\r\n", crowdMiddleBody-crowdPiece)
	case CrowdStopsLong:
		sendAndAwaitEnd(conn, c.UploadHead(id, crowdLongBody)+"\r\n", crowdLongBody/2)
	case CrowdManyFields:
		sendAndAwaitEnd(conn, withShortFields(c.DownloadHead(id), crowdHead)+"\r\n", 0)
	case CrowdHeldFields:
		head := c.DownloadHead(id)
		sendAndAwaitEnd(conn, withShortFields(head, len(head)+crowdHeldFields*len("A00:\r\n"))+"\r\n", 0)
	case CrowdEndlessHead:
		sendAndAwaitEnd(conn, withShortFields(c.DownloadHead(id), crowdHead), 0)
	case CrowdReadsSlowly:
		c.readSlowly(ctx, conn, c.DownloadHead(id)+"\r\n")
	case CrowdIgnoresAnswer:
		_ = conn.(*net.TCPConn).SetReadBuffer(crowdReadBuffer)
		if _, err := io.WriteString(conn, c.DownloadHead(id)+"\r\n"); err == nil {
			<-ctx.Done()
		}
	case CrowdHeldBodies:
		sendAndAwaitEnd(conn, c.UploadHead(id, crowdShortBody)+"Connection: close\r\n\r\n", crowdShortBody)
	case CrowdManyBodies:
		sendAndAwaitEnd(conn, c.UploadHead(id, crowdManyBody)+"Connection: close\r\n\r\n", crowdManyBody)
	default:
		_, _ = io.Copy(io.Discard, conn)
	}
}

// writeSlowly writes a request with a body of length bytes, piece bytes at a time, and waits for its answer.
func (c *Crowd) writeSlowly(ctx context.Context, conn net.Conn, head string, length, piece int) {
	_, err := io.WriteString(conn, head+"\r\n")
	for ; err == nil && length > 0; length -= piece {
		_, err = conn.Write(make([]byte, min(piece, length)))
		Sleep(ctx, crowdPause)
	}
	if err == nil {
		_, _ = conn.Read(make([]byte, 1))
	}
}

// readSlowly sends a request and reads its answer a piece at a time.
func (c *Crowd) readSlowly(ctx context.Context, conn net.Conn, request string) {
	_ = conn.(*net.TCPConn).SetReadBuffer(crowdReadBuffer)
	_, err := io.WriteString(conn, request)
	for piece := make([]byte, crowdSlowUpload); err == nil; Sleep(ctx, crowdPause) {
		_, err = io.ReadFull(conn, piece)
	}
}

// sendAndAwaitEnd sends a text and n bytes of a body, and waits for the end of the connection.
func sendAndAwaitEnd(conn net.Conn, text string, n int) {
	if _, err := io.WriteString(conn, text); err != nil {
		return
	}
	for piece := make([]byte, min(n, crowdPiece)); n > 0; n -= len(piece) {
		if _, err := conn.Write(piece[:min(n, len(piece))]); err != nil {
			return
		}
	}
	_, _ = io.Copy(io.Discard, conn)
}

// withShortFields adds distinct short fields to a head, up to a number of bytes.
func withShortFields(head string, length int) string {
	var text strings.Builder
	text.WriteString(head)
	for i := 0; text.Len() < length; i++ {
		text.WriteString("A" + strconv.FormatInt(int64(i), 36) + ":\r\n")
	}
	return text.String()
}
