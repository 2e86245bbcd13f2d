package http1

import (
	"bytes"
	"strconv"

	"starlingvalve/internal/chunk"
)

// scan follows the requests in what a connection brings, in pieces of any size, and notes of each whether its head has
// both Content-Length and Transfer-Encoding: net/http drops the length, and whoever goes by it would find another
// request in the body. It is pure. What net/http can't read it answers and closes, so that here only the ends of good
// requests matter. A request that hides behind a doubtful one is never served: the doubtful one closes the connection.
type scan struct {
	state   scanState
	line    []byte // the beginning of the present one: as much of it as tells the two fields, and a length
	head    int    // bytes of it so far
	length  int64
	hasSize bool
	sized   bool // the last line was a length
	unsure  bool // a length that goes on in the next line, or is too far off to be read here
	coded   bool
	chunks  chunk.Decoder

	doubts []bool // of requests whose heads are complete and which nobody has asked about yet
}

type scanState int

const (
	scanHead scanState = iota
	scanBody
	scanChunks
	scanLost // no end can be known: net/http will find out
)

const (
	lineKept   = 64   // bytes of a line that are looked at: names with their blanks, and a length
	doubtsMost = 4096 // requests ahead of their handler; net/http's buffer of 4 KB holds some 200
)

// feed takes what has come. Empty lines ahead of a request are taken out of p, as RFC 9112, section 2.2, has it: what
// is left of it has the length that feed gives.
func (s *scan) feed(p []byte) int {
	kept := len(p)
	for at := 0; at < kept; {
		switch s.state {
		case scanHead:
			c := p[at]
			if s.head == 0 && (c == '\r' || c == '\n') {
				copy(p[at:], p[at+1:kept])
				kept--
				continue
			}
			at++
			s.head++
			if c != '\n' {
				if len(s.line) < lineKept {
					s.line = append(s.line, c)
				}
				continue
			}
			s.endLine()
		case scanBody:
			n := int(min(int64(kept-at), s.length))
			at += n
			if s.length -= int64(n); s.length == 0 {
				s.next()
			}
		case scanChunks:
			_, used, err := s.chunks.Next(p[at:kept])
			at += used
			switch {
			case err != nil:
				s.state = scanLost
			case s.chunks.Done():
				s.next()
			}
		case scanLost:
			return kept
		}
	}
	return kept
}

// endLine handles the end of a line of a head.
func (s *scan) endLine() {
	cut := len(s.line) == lineKept
	line := bytes.TrimSuffix(s.line, []byte("\r"))
	s.line = s.line[:0]
	if len(line) == 0 {
		s.endHead()
		return
	}
	if line[0] == ' ' || line[0] == '\t' { // to net/http this continues the line before
		s.unsure = s.unsure || s.sized
		return
	}
	s.sized = false
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok {
		return
	}
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		s.sized, s.unsure = true, s.unsure || cut
		if s.hasSize = true; err != nil || n < 0 {
			n = 0 // net/http rejects the request
		}
		s.length = n
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		s.coded = true
	}
}

// endHead handles the end of a head: it adds the mark of its request.
func (s *scan) endHead() {
	if len(s.doubts) < doubtsMost {
		s.doubts = append(s.doubts, s.coded && s.hasSize || s.unsure)
	}
	switch {
	case s.coded:
		s.state, s.chunks = scanChunks, chunk.Decoder{}
	case s.length > 0:
		s.state = scanBody
	default:
		s.next()
	}
}

// startRequest resets the scan to the beginning of a request.
func (s *scan) next() {
	s.state, s.head, s.length = scanHead, 0, 0
	s.hasSize, s.coded, s.sized, s.unsure = false, false, false, false
}

// nextAmbiguous reports whether the next request is ambiguous. It is called once for each request, in their order.
func (s *scan) doubtful() bool {
	if len(s.doubts) == 0 {
		return true // can't happen: net/http has seen a request that this scan has not
	}
	first := s.doubts[0]
	s.doubts = s.doubts[:copy(s.doubts, s.doubts[1:])]
	return first
}
