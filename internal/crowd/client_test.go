package crowd

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	// sendTime is how long a client goes on sending or reading. After that it only keeps its
	// connection open.
	sendTime = 2 * time.Second
	// slowInterval is the time between two bytes of a slow client.
	slowInterval = 20 * time.Millisecond
	// pieceBytes is the size of small pieces and chunks.
	pieceBytes = 1000
	// oversizeFactor is how many times the limit a body over the limit has.
	oversizeFactor = 16
	// requestsAhead is the number of requests that are sent before any answer is read.
	requestsAhead = 2000
	// receiveBufferBytes keeps answers that a client does not read out of its own buffer.
	receiveBufferBytes = 4 << 10
	// streamsPerClient is the number of HTTP/2 requests on the connection of one client.
	streamsPerClient = 20
	// maxPeerFrame is the largest frame that processes accept from each other.
	maxPeerFrame = 4 << 20
)

// client is one client of a crowd. Errors of its connection are not failures: the process
// may refuse it or close its connection.
type client struct {
	net.Conn
	door  door
	index int
}

// kind is a kind of clients that keep no limits.
type kind struct {
	name string
	// doors reports whether such clients come to a door.
	doors func(door) bool
	// run sends what the client sends. It ends at the latest when the connection's deadline
	// passes or the connection is closed.
	run func(c *client)
}

func isHTTP(d door) bool  { return !d.peers }
func isPeers(d door) bool { return d.peers }
func hasIDs(d door) bool  { return d.ids }

func isCallersAPI(d door) bool { return d.callers }

// kinds are all kinds of clients. Neighbours also come together.
var kinds = []kind{
	{"silent", func(door) bool { return true }, func(*client) {}},
	{"bodies in one piece", isHTTP, func(c *client) {
		c.write(c.head(fmt.Sprintf("Content-Length: %d\r\n", c.door.bodyBytes)) + string(filler(c.door.bodyBytes-1)))
	}},
	{"bodies in small pieces", isHTTP, func(c *client) {
		c.write(c.head(fmt.Sprintf("Content-Length: %d\r\n", c.door.bodyBytes)))
		for left := c.door.bodyBytes - 1; left > 0 && c.writeBytes(filler(min(left, pieceBytes))); {
			left -= min(left, pieceBytes)
		}
	}},
	{"bodies in chunks", isHTTP, func(c *client) {
		c.write(c.head("Transfer-Encoding: chunked\r\n"))
		for left := c.door.bodyBytes - 1; left > 0 && c.writeChunk(min(left, pieceBytes)); {
			left -= min(left, pieceBytes)
		}
	}},
	{"bodies over the limit", isHTTP, func(c *client) {
		size := oversizeFactor * c.door.bodyBytes
		c.write(c.head(fmt.Sprintf("Content-Length: %d\r\n", size)))
		for sent := 0; sent < size && c.writeBytes(filler(c.door.bodyBytes/4)); {
			sent += c.door.bodyBytes / 4
		}
	}},
	{"chunks without end", isHTTP, func(c *client) {
		c.write(c.head("Transfer-Encoding: chunked\r\n"))
		for sent := 0; sent < oversizeFactor*c.door.bodyBytes && c.writeChunk(c.door.bodyBytes/4); {
			sent += c.door.bodyBytes / 4
		}
	}},
	{"short fields without end of the head", isHTTP, func(c *client) {
		c.write(strings.TrimSuffix(c.head(c.shortFields()), "\r\n"))
	}},
	{"short fields and a body short of its end", isHTTP, func(c *client) {
		c.write(c.head("Content-Length: 2\r\n"+c.shortFields()) + "a")
	}},
	{"requests ahead", isHTTP, func(c *client) {
		request := c.head("Content-Length: 0\r\n")
		for range requestsAhead {
			if !c.write(request) {
				return
			}
		}
	}},
	{"short fields in requests ahead", isHTTP, func(c *client) {
		request := c.head("Content-Length: 0\r\n" + c.shortFields())
		for range requestsAhead {
			if !c.write(request) {
				return
			}
		}
	}},
	{"slow heads", isHTTP, func(c *client) { c.writeSlowly(c.head(c.shortFields())) }},
	{"slow bodies", isHTTP, func(c *client) {
		c.write(c.head(fmt.Sprintf("Content-Length: %d\r\n", c.door.bodyBytes)))
		c.writeSlowly(string(filler(c.door.bodyBytes)))
	}},
	{"slow readers", isHTTP, func(c *client) {
		if c.door.largePath != "" {
			c.door.path = c.door.largePath
		}
		c.write(c.head("Content-Length: 0\r\n"))
		for b := make([]byte, 1); ; time.Sleep(slowInterval) {
			if _, err := c.Read(b); err != nil {
				return
			}
		}
	}},
	{"heads that stop halfway", isHTTP, func(c *client) {
		head := c.head(fmt.Sprintf("X-Long: %s\r\n", filler(c.door.headSize/2)))
		c.write(head[:len(head)/2])
	}},
	{"long ids in requests ahead", hasIDs, func(c *client) {
		for n := range requestsAhead {
			id := fmt.Sprintf("%s-%d-%d", filler(c.door.headSize/2), c.index, n)
			if !c.write(strings.Replace(c.head("Content-Length: 0\r\n"), requestID, id, 1)) {
				return
			}
		}
	}},
	{"trailers without end", isHTTP, func(c *client) {
		c.write(c.head("Transfer-Encoding: chunked\r\n") + "1\r\na\r\n0\r\n" + c.shortFields())
	}},
	{"compressed bodies", isCallersAPI, func(c *client) {
		body := compressed(c.door.bodyBytes)
		c.write(c.head(fmt.Sprintf("Content-Encoding: gzip\r\nContent-Length: %d\r\n", len(body))) + string(body))
	}},
	{"streams on one connection", isCallersAPI, runStreams},
	{"frames short of their end", isPeers, func(c *client) {
		c.writeBytes(binary.BigEndian.AppendUint32(nil, maxPeerFrame))
		c.writeBytes(filler(maxPeerFrame - 1))
	}},
	{"slow frames", isPeers, func(c *client) {
		c.writeBytes(binary.BigEndian.AppendUint32(nil, maxPeerFrame))
		c.writeSlowly(string(filler(maxPeerFrame)))
	}},
}

// dial opens the connection of a client, or returns nil if the process refuses it.
func dial(d door, index int) *client {
	dialer := net.Dialer{Timeout: sendTime, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
		})
	}}
	conn, err := dialer.Dial("tcp", d.address)
	if err != nil {
		return nil
	}
	_ = conn.SetDeadline(time.Now().Add(sendTime))
	return &client{Conn: conn, door: d, index: index}
}

// head returns a head with fields added to those of the door.
func (c *client) head(fields string) string {
	return c.door.method + " " + c.door.path + " HTTP/1.1\r\n" + c.door.fields + fields + "\r\n"
}

// shortFields returns very many short fields that fit into a legal head.
func (c *client) shortFields() string {
	var b strings.Builder
	for n := 0; b.Len() < c.door.headSize-1<<10; n++ {
		fmt.Fprintf(&b, "x%x:\r\n", n)
	}
	return b.String()
}

func (c *client) write(text string) bool { return c.writeBytes([]byte(text)) }

func (c *client) writeBytes(data []byte) bool {
	_, err := c.Write(data)
	return err == nil
}

func (c *client) writeChunk(size int) bool {
	return c.write(fmt.Sprintf("%x\r\n%s\r\n", size, filler(size)))
}

func (c *client) writeSlowly(text string) {
	for len(text) > 0 && c.write(text[:1]) {
		text = text[1:]
		time.Sleep(slowInterval)
	}
}

var fillerBytes = bytes.Repeat([]byte("a"), maxPeerFrame)

func filler(size int) []byte { return fillerBytes[:size] }

// compressed returns a body that has the given size when it is decompressed.
func compressed(size int) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	// Writing to a buffer does not fail.
	_, _ = w.Write(append([]byte(`{"body":"`), filler(size-11)...))
	_, _ = w.Write([]byte(`"}`))
	_ = w.Close()
	return b.Bytes()
}

// runStreams sends bodies that stop short of their end as streams of one HTTP/2 connection.
func runStreams(c *client) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTime)
	defer cancel()
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols, MaxConnsPerHost: 1, DialContext: func(context.Context, string, string) (net.Conn, error) { return c.Conn, nil }}
	for range streamsPerClient {
		go func() {
			body, send := io.Pipe()
			defer send.Close()
			request, err := http.NewRequestWithContext(ctx, c.door.method, "http://"+c.door.address+c.door.path, body)
			if err != nil {
				return
			}
			for line := range strings.Lines(c.door.fields) {
				name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
				request.Header.Set(name, value)
			}
			go func() {
				_, _ = send.Write(filler(c.door.bodyBytes - 1))
				<-ctx.Done()
			}()
			if resp, err := transport.RoundTrip(request); err == nil {
				resp.Body.Close()
			}
		}()
	}
	<-ctx.Done()
}
