package core

import (
	"bytes"
	"net/http"
	"strconv"
	"time"
)

// WriteHTTP puts a request into the form that it has on a connection. All its parts have been read by net/http, which
// lets no line break through.
func (x *Exchange) WriteHTTP(to *bytes.Buffer) {
	uri := x.URL.RequestURI()
	to.Grow(1<<10 + len(x.Body))
	to.WriteString(x.Method)
	to.WriteByte(' ')
	to.WriteString(uri)
	to.WriteString(" HTTP/1.1\r\nHost: ")
	to.WriteString(x.URL.Host)
	to.WriteString("\r\n")
	for name, values := range x.Header {
		for _, v := range values {
			to.WriteString(name)
			to.WriteString(": ")
			to.WriteString(v)
			to.WriteString("\r\n")
		}
	}
	to.WriteString("X-Time-Left: ")
	left := max(0, time.Until(x.Deadline))
	if x.Upload != nil {
		left = x.Upload.Patience
	}
	to.Write(strconv.AppendFloat(to.AvailableBuffer(), left.Seconds(), 'f', 3, 64))
	if x.Upload != nil && x.Upload.Length < 0 {
		to.WriteString("\r\nTransfer-Encoding: chunked\r\n\r\n")
		if len(x.Body) > 0 {
			to.Write(strconv.AppendInt(to.AvailableBuffer(), int64(len(x.Body)), 16))
			to.WriteString("\r\n")
			to.Write(x.Body)
			to.WriteString("\r\n")
		}
		return
	}
	if x.Upload != nil {
		to.WriteString("\r\nContent-Length: ")
		to.Write(strconv.AppendInt(to.AvailableBuffer(), x.Upload.Length, 10))
	} else if len(x.Body) > 0 || x.Method == http.MethodPost {
		to.WriteString("\r\nContent-Length: ")
		to.Write(strconv.AppendInt(to.AvailableBuffer(), int64(len(x.Body)), 10))
	}
	to.WriteString("\r\n\r\n")
	to.Write(x.Body)
}

// Unwanted tells whether the request of an exchange is over, or its client has left: what has not begun to be written is not written any more.
func (x *Exchange) Unwanted() bool {
	return x.Wanted != nil && x.Wanted.Err() != nil || x.Left != nil && x.Left()
}
