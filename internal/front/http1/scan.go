package http1

import (
	"bytes"
	"strconv"

	"starlingvalve/internal/chunk"
)

// requestScan finds the requests in the input of a connection, which it gets in pieces of any size. It marks each
// request whose head has both Content-Length and Transfer-Encoding as ambiguous: net/http drops the length, but a peer
// that goes by it would find another request in the body (request smuggling). It does no I/O. Input that net/http
// rejects needs no exact handling, because its connection is closed. A request hidden behind an ambiguous one is never
// served, because the ambiguous one closes the connection, too.
type requestScan struct {
	state           scanState
	line            []byte // the first maxLineKept bytes of the present line of the head
	headBytes       int    // bytes of the present head, or of the head of the request whose body is being read
	headLines       int    // lines of that head
	lastHeadBytes   int    // bytes of the head of the latest request that is complete
	lastHeadLines   int    // lines of that head
	bodyLeft        int64  // bytes of the body that are still to come, by Content-Length
	hasLength       bool   // the head has a Content-Length
	afterLength     bool   // the last line was a Content-Length
	lengthUncertain bool   // a Content-Length goes on in the next line, or beyond the bytes that are kept of its line
	chunked         bool   // the head has a Transfer-Encoding
	chunks          chunk.Decoder

	ambiguous []bool // marks of the requests whose heads are complete, until nextAmbiguous has returned them
}

type scanState int

const (
	scanHead scanState = iota
	scanBody
	scanChunks
	scanUnknown // the end of the request can't be determined; net/http rejects it
)

const (
	maxLineKept     = 64   // bytes that are kept of a line: enough for the two field names with blanks, and a length
	maxPendingMarks = 4096 // requests ahead of their handlers; net/http's buffer of 4 KB holds some 200
)

// feed scans bytes that have been read. It removes empty lines before a request from p, as RFC 9112, section 2.2,
// requires, and returns the length that is left.
func (s *requestScan) feed(p []byte) int {
	kept := len(p)
	for at := 0; at < kept; {
		switch s.state {
		case scanHead:
			if s.headBytes == 0 {
				emptyLines := leadingLineBreaks(p[at:kept])
				kept -= emptyLines
				copy(p[at:kept], p[at+emptyLines:])
				if at == kept {
					return kept
				}
			}
			c := p[at]
			at++
			s.headBytes++
			if c != '\n' {
				if len(s.line) < maxLineKept {
					s.line = append(s.line, c)
				}
				continue
			}
			s.endLine()
		case scanBody:
			n := int(min(int64(kept-at), s.bodyLeft))
			at += n
			if s.bodyLeft -= int64(n); s.bodyLeft == 0 {
				s.startRequest()
			}
		case scanChunks:
			_, used, err := s.chunks.Next(p[at:kept])
			at += used
			switch {
			case err != nil:
				s.state = scanUnknown
			case s.chunks.Done():
				s.startRequest()
			}
		case scanUnknown:
			return kept
		}
	}
	return kept
}

// leadingLineBreaks returns how many bytes at the beginning belong to empty lines.
func leadingLineBreaks(p []byte) (n int) {
	for n < len(p) && (p[n] == '\r' || p[n] == '\n') {
		n++
	}
	return n
}

// endLine handles the end of a line of a head.
func (s *requestScan) endLine() {
	truncated := len(s.line) == maxLineKept
	line := bytes.TrimSuffix(s.line, []byte("\r"))
	s.line = s.line[:0]
	s.headLines++
	if len(line) == 0 {
		s.endHead()
		return
	}
	if line[0] == ' ' || line[0] == '\t' { // to net/http this continues the line before
		s.lengthUncertain = s.lengthUncertain || s.afterLength
		return
	}
	s.afterLength = false
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok {
		return
	}
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		length, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		s.afterLength, s.lengthUncertain = true, s.lengthUncertain || truncated
		if s.hasLength = true; err != nil || length < 0 {
			length = 0 // net/http rejects the request
		}
		s.bodyLeft = length
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		s.chunked = true
	}
}

// endHead handles the end of a head: it adds the mark of its request.
func (s *requestScan) endHead() {
	if len(s.ambiguous) < maxPendingMarks {
		s.ambiguous = append(s.ambiguous, s.chunked && s.hasLength || s.lengthUncertain)
	}
	switch {
	case s.chunked:
		s.state, s.chunks = scanChunks, chunk.Decoder{}
	case s.bodyLeft > 0:
		s.state = scanBody
	default:
		s.startRequest()
	}
}

// startRequest resets the scan to the beginning of a request.
func (s *requestScan) startRequest() {
	s.lastHeadBytes, s.lastHeadLines = s.headBytes, s.headLines
	s.state, s.headBytes, s.headLines, s.bodyLeft = scanHead, 0, 0, 0
	s.hasLength, s.chunked, s.afterLength, s.lengthUncertain = false, false, false, false
}

// nextAmbiguous reports whether the next request is ambiguous. It is called once for each request, in their order.
func (s *requestScan) nextAmbiguous() bool {
	if len(s.ambiguous) == 0 {
		return true // can't happen: net/http has seen a request that this scan has not
	}
	first := s.ambiguous[0]
	s.ambiguous = s.ambiguous[:copy(s.ambiguous, s.ambiguous[1:])]
	return first
}
