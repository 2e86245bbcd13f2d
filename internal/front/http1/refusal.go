package http1

import (
	"bytes"
	"io"
	"net"
	"time"
)

// refuse answers a connection beyond the limit with the refusal and closes it. It waits up to refuseWait for the
// request, in order to count it under its class.
func (a *admission) refuse(tcp *net.TCPConn) {
	defer tcp.Close()
	tcp.SetReadDeadline(time.Now().Add(refuseWait))
	var text [4 << 10]byte
	received, class := 0, ""
	for class == "" && received < len(text) {
		read, err := tcp.Read(text[received:]) // closing with unread input would reset the connection
		if err != nil {
			break // the client is refused all the same, and counted without a class
		}
		received += read
		class = requestClass(text[:received])
	}
	a.writeRefusal(tcp, class)
}

// writeRefusal writes the refusal and counts it, under the request's class if that is known.
func (a *admission) writeRefusal(tcp *net.TCPConn, class string) {
	tcp.SetWriteDeadline(time.Now().Add(refuseWait))
	if _, err := io.WriteString(tcp, refusalResponse); err == nil {
		a.countRefused(class)
	}
}

// refuseNow answers a connection with the refusal and closes it, without waiting for its request. A request that has
// arrived already is counted under its class.
func (a *admission) refuseNow(tcp *net.TCPConn) {
	defer tcp.Close()
	var text [512]byte
	n := peekUnread(tcp, text[:])
	if n > 0 {
		tcp.SetReadDeadline(time.Now().Add(refuseWait))
		tcp.Read(text[:n])
	}
	a.writeRefusal(tcp, requestClass(text[:n]))
}

// requestClass returns the first segment of the path in the request line that text begins with; "" if the line is not
// complete or has none.
func requestClass(text []byte) string {
	line, _, whole := bytes.Cut(text, []byte("\n"))
	_, target, ok := bytes.Cut(line, []byte(" /"))
	if !whole || !ok {
		return ""
	}
	if end := bytes.IndexAny(target, "/? \r"); end > 0 {
		return string(target[:end])
	}
	return ""
}
