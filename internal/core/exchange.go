package core

import (
	"bytes"
	"net/http"
	"strconv"
	"time"

	"starlingvalve/internal/guard"
)

// WriteHTTP appends the request in HTTP/1.1 form to a buffer, without an upload.
func (x *Exchange) WriteHTTP(to *bytes.Buffer) {
	x.WriteHead(to)
	to.Write(x.Body)
}

// WriteHead appends the head of the request in HTTP/1.1 form to a buffer, and of an upload in chunks the size of the
// first chunk, which is its beginning and ends with a line break. The parts need no escaping: net/http has read them, and
// accepts no line breaks in them.
func (x *Exchange) WriteHead(to *bytes.Buffer) {
	uri := x.URL.RequestURI()
	to.Grow(1 << 10)
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
	answerBy, now := x.Deadline, time.Now()
	if x.Upload != nil {
		answerBy = x.Upload.AnswerBy()
	}
	left := max(0, answerBy.Sub(now)-x.ReadLag)
	x.AnswerBy = now.Add(left)
	to.Write(strconv.AppendFloat(to.AvailableBuffer(), left.Seconds(), 'f', 3, 64))
	if x.Upload != nil && x.Upload.Length < 0 {
		to.WriteString("\r\nTransfer-Encoding: chunked\r\n\r\n")
		if len(x.Upload.Beginning) > 0 {
			to.Write(strconv.AppendInt(to.AvailableBuffer(), int64(len(x.Upload.Beginning)), 16))
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
}

// GuardAttempt returns what the guard needs to know of this attempt at a time. maxAge is how old a check of the
// client's presence may be.
func (x *Exchange) GuardAttempt(now time.Time, maxAge time.Duration) guard.Attempt {
	timeLeft := time.Duration(0)
	if !x.AnswerBy.IsZero() {
		timeLeft = max(0, x.AnswerBy.Sub(now))
	}
	return guard.Attempt{Now: now, Probe: x.Probe, TimeLeft: timeLeft, Deadline: x.Deadline,
		ClientDeadline: x.RequestDeadline, ClientGone: x.ClientGone != nil && x.ClientGone(maxAge),
		Effect: x.Effect, MayHaveRun: x.MayHaveRun, WriteBy: x.WriteBy, ListValidUntil: x.ListValidUntil}
}

// MaxClientCheckAge is how old a check of the client's presence may be when an attempt for it starts. No attempt may
// start later than 0.1 s after its client has left. Most attempts start sooner than this after their request has
// arrived, and so need no further check, which is a system call.
const MaxClientCheckAge = 20 * time.Millisecond

// RequestOver reports whether the request of an exchange is over, or its client has left by a check no older than
// maxAge. If so, what has not been written whole is not written any more.
func (x *Exchange) RequestOver(maxAge time.Duration) bool {
	return x.RequestContext != nil && x.RequestContext.Err() != nil || x.ClientGone != nil && x.ClientGone(maxAge)
}
