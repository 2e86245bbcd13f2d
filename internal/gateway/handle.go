package gateway

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"starlingvalve/internal/ledger"
	"starlingvalve/internal/link"
)

// NewHandler returns a link.Handler that serves hand-offs with the node's own HTTP handler. It sets X-Time-Left to
// the time left in seconds, and RemoteAddr to the name of the sending site. The status determines the ledger state:
// 503 and 429 are Refused, as the handler gives them only where a repeat does no harm; other 5xx, 409, and any other
// status after ctx has ended are Failed, as the request may have run; all others are Done.
func NewHandler(h http.Handler) link.Handler {
	return func(ctx context.Context, site string, request []byte, left time.Duration) (ledger.State, []byte) {
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(request)))
		if err != nil {
			return ledger.Refused, nil // malformed, so nothing has run
		}
		r.Header.Set("X-Time-Left", strconv.FormatFloat(left.Seconds(), 'f', 6, 64))
		r.RemoteAddr = site
		w := &responseRecorder{header: http.Header{}}
		h.ServeHTTP(w, r.WithContext(ctx))
		switch {
		case w.status == http.StatusServiceUnavailable || w.status == http.StatusTooManyRequests:
			return ledger.Refused, nil
		case ctx.Err() != nil, w.status >= 500, w.status == http.StatusConflict:
			return ledger.Failed, nil
		}
		return ledger.Done, w.marshal()
	}
}

// responseRecorder is an http.ResponseWriter that keeps the response.
type responseRecorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header returns the response's header, as http.ResponseWriter says.
func (w *responseRecorder) Header() http.Header { return w.header }

// WriteHeader sets the status. Only the first call has an effect.
func (w *responseRecorder) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
}

// Write appends to the body, and sets the status to 200 if none is set. It never fails.
func (w *responseRecorder) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	return w.body.Write(p)
}

// marshal returns the response as HTTP/1.1 text, with a Content-Length and without connection headers.
func (w *responseRecorder) marshal() []byte {
	w.WriteHeader(http.StatusOK)
	h := w.header.Clone()
	h.Del("Connection")
	h.Del("Transfer-Encoding")
	h.Set("Content-Length", strconv.Itoa(w.body.Len()))
	for name, values := range h {
		if values == nil {
			delete(h, name)
		}
	}
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\n", w.status, http.StatusText(w.status))
	h.Write(&out)
	out.WriteString("\r\n")
	out.Write(w.body.Bytes())
	return out.Bytes()
}
