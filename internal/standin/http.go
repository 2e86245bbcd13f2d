// Package standin provides stand-ins for what surrounds the node in tests and rigs: servers with cores, queues and
// cold starts, a registry (service discovery), and clients with deadlines. They are written from the platform's
// protocol alone and listen on loopback only. Each keeps a log of what happened to it, and a checker decides from
// these logs alone which rules a run has kept.
package standin

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"
)

// A small HTTP/1.1 reader for both sides. The stand-ins of a rig must cost less than what they measure, and must
// see the bytes as they arrive: net/http would hide a second answer, or one that breaks off.

const (
	maxLineBytes = 8 << 10 // bytes of one line
	maxHeadLines = 100
	maxBodyBytes = 2 << 20
)

var errMalformedHead = errors.New("malformed head")

// head is the start line of a message, split into its three parts, and the header fields that the stand-ins use.
type head struct {
	startLine                                [3]string
	id, key, timeLeft, retryAfter, refusedBy string
	length                                   int
	closesConn                               bool
	readAt                                   time.Time
}

// readHead reads the start line and the header fields of one message. The error is io.EOF if the connection ends
// before the first byte.
func readHead(r *bufio.Reader) (h head, err error) {
	for n := range maxHeadLines {
		line, err := r.ReadSlice('\n')
		if err != nil {
			if n > 0 && errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return h, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if n == 0 {
			parts := bytes.SplitN(line, []byte(" "), 3)
			if len(parts) < 2 {
				return h, fmt.Errorf("%w: %q", errMalformedHead, line)
			}
			for i, p := range parts {
				h.startLine[i] = string(p)
			}
			continue
		}
		if len(line) == 0 {
			return h, nil
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok {
			return h, fmt.Errorf("%w: %q", errMalformedHead, line)
		}
		value = bytes.TrimSpace(value)
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			if h.length, err = strconv.Atoi(string(value)); err != nil || h.length < 0 || h.length > maxBodyBytes {
				return h, fmt.Errorf("%w: length %q", errMalformedHead, value)
			}
		case bytes.EqualFold(name, []byte("X-Correlation-Id")):
			h.id = string(value)
		case bytes.EqualFold(name, []byte("Idempotency-Key")):
			h.key = string(value)
		case bytes.EqualFold(name, []byte("X-Time-Left")):
			h.timeLeft = string(value)
		case bytes.EqualFold(name, []byte("Retry-After")):
			h.retryAfter = string(value)
		case bytes.EqualFold(name, []byte("X-Refused-By")):
			h.refusedBy = string(value)
		case bytes.EqualFold(name, []byte("Connection")):
			h.closesConn = bytes.EqualFold(value, []byte("close"))
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			return h, fmt.Errorf("%w: stand-ins accept a Content-Length only", errMalformedHead)
		}
	}
	return h, fmt.Errorf("%w: more than %d lines", errMalformedHead, maxHeadLines)
}
