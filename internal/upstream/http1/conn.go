package http1

import (
	"bufio"
	"bytes"
	queue "container/list"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"starlingvalve/internal/core"
)

// conn is one connection to a host.
type conn struct {
	net.Conn
	host          *host
	idleElement   *queue.Element // its element of Transport.idleConns; nil while it is not idle
	reader        *bufio.Reader
	readAllowance int64     // bytes that may still be read before a read fails
	shortRead     bool      // the last read returned fewer bytes than it asked for
	idleSince     time.Time // when it was made, or last became idle
	used          bool      // it has carried an exchange
	readDeadline  time.Time // until when reads of the present exchange wait
}

// Read reads at most readAllowance bytes, and returns io.EOF once that is used up. It is the source of reader.
func (c *conn) Read(p []byte) (int, error) {
	if c.readAllowance <= 0 {
		return 0, io.EOF
	}
	p = p[:min(int64(len(p)), c.readAllowance)]
	n, err := c.Conn.Read(p)
	c.readAllowance -= int64(n)
	c.shortRead = n < len(p)
	return n, err
}

// pendingData returns the first bytes, as many as responseStart has, of data that arrived on the connection after the
// response that was read, and whether the connection is open. Such data belongs to no request, and would be taken for
// the response to the next one.
func (c *conn) pendingData() (data string, open bool) {
	if n := c.reader.Buffered(); n > 0 {
		next, _ := c.reader.Peek(min(n, len(responseStart)))
		return string(next), true
	}
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return "", false
	}
	err = raw.Read(func(fd uintptr) bool {
		var next [len(responseStart)]byte
		n, _, err := syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		data, open = string(next[:max(0, n)]), n > 0 || err == syscall.EAGAIN
		return true
	})
	return data, open && err == nil
}

var requestBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// writeRequest writes a request, without the part of an upload that has not been read yet.
func (c *conn) writeRequest(exchange *core.Exchange) error {
	buffer := requestBuffers.Get().(*bytes.Buffer)
	defer requestBuffers.Put(buffer)
	buffer.Reset()
	exchange.WriteHead(buffer)
	body := exchange.Body
	if exchange.Upload != nil {
		body = exchange.Upload.Beginning
	}
	if len(body) <= maxCopiedBody {
		buffer.Write(body)
		body = nil
	}
	if _, err := c.Write(buffer.Bytes()); err != nil {
		return err
	}
	if len(body) > 0 { // an empty write fails once the deadline is over, though the request has been written
		if _, err := c.Write(body); err != nil {
			return err
		}
	}
	if exchange.Upload == nil || exchange.Upload.Length >= 0 || len(exchange.Upload.Beginning) == 0 {
		return nil
	}
	_, err := io.WriteString(c.Conn, "\r\n") // ends the first chunk
	return err
}
