package standin

import (
	"fmt"
	"io"
	"net"
	"net/url"
	"strconv"
	"time"
)

// Lumps describe an answer that a server writes in lumps, as the query of its request may demand.
type Lumps struct {
	Size    int           // of the body, in bytes
	Lump    int           // bytes that are written at once
	Pause   time.Duration // between two lumps
	Framing Framing
}

// Framing is how the end of an answer's body is marked.
type Framing string

// The framings.
const (
	ByLength Framing = "length"
	ByChunks Framing = "chunks"
	ByClose  Framing = "close"
)

// Query returns the parameters that demand such an answer.
func (l Lumps) Query() string {
	return fmt.Sprintf("size=%d&lump=%d&pause_ms=%d&framing=%s", l.Size, l.Lump, l.Pause.Milliseconds(), l.Framing)
}

// parseLumps returns the answer that the parameters of a request demand, or nil if they demand none.
func parseLumps(values url.Values) *Lumps {
	size, err := strconv.Atoi(values.Get("size"))
	if err != nil || size <= 0 || size > maxBodyBytes {
		return nil
	}
	lump, err := strconv.Atoi(values.Get("lump"))
	if err != nil || lump <= 0 {
		return nil
	}
	pause, err := strconv.Atoi(values.Get("pause_ms"))
	if err != nil {
		return nil
	}
	return &Lumps{Size: size, Lump: lump, Pause: time.Duration(pause) * time.Millisecond, Framing: Framing(values.Get("framing"))}
}

// Write writes a response with a body, in lumps. wait waits between two lumps, and reports whether to go on. Write reports
// whether the connection can carry another response.
func (l Lumps) Write(conn io.Writer, body []byte, wait func(time.Duration) bool) bool {
	field := map[Framing]string{ByLength: fmt.Sprintf("Content-Length: %d", len(body)), ByChunks: "Transfer-Encoding: chunked",
		ByClose: "Connection: close"}[l.Framing]
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s\r\n\r\n", field); err != nil {
		return false
	}
	for first := true; len(body) > 0; first = false {
		if !first && !wait(l.Pause) {
			return false
		}
		piece := body[:min(l.Lump, len(body))]
		if body = body[len(piece):]; l.Framing == ByChunks {
			piece = fmt.Appendf(nil, "%x\r\n%s\r\n", len(piece), piece)
		}
		if _, err := conn.Write(piece); err != nil {
			return false
		}
	}
	if l.Framing == ByChunks {
		if _, err := io.WriteString(conn, "0\r\n\r\n"); err != nil {
			return false
		}
	}
	return l.Framing != ByClose
}

// writeLumps writes an answer whose body begins with a line. It reports whether the connection goes on.
func (s *Server) writeLumps(conn net.Conn, lumps *Lumps, line string) bool {
	body := append(make([]byte, 0, lumps.Size), line...)
	for len(body) < lumps.Size {
		body = append(body, padding[:min(len(padding), lumps.Size-len(body))]...)
	}
	return lumps.Write(conn, body, s.sleep)
}

// sleep waits, and reports whether the server is still running.
func (s *Server) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.stopped:
		return false
	}
}
