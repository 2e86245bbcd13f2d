package front

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"starlingvalve/internal/core"
	"starlingvalve/internal/pace"
)

// requestBody is the body of a request: buffered whole, or read as it arrives.
type requestBody struct {
	buffered []byte
	upload   *upload       // nil: the whole body is buffered
	arrival  *pace.Arrival // of the last byte
}

// received reports whether the whole body has been read.
func (b *requestBody) received() bool { return b.upload == nil || b.upload.complete }

// bytes is how many bytes of the body have been read.
func (b *requestBody) bytes() int64 {
	if b.upload != nil {
		return b.upload.received
	}
	return int64(len(b.buffered))
}

// writtenAt is when the client wrote the last byte of its request at the earliest, by what is known now.
func (b *requestBody) writtenAt() time.Time { return b.arrival.LastByteAfter() }

// readBody reads the body of a request that was taken up at a time: whole if it has at most BodyLimit bytes, and of a
// longer one that many, and the rest as an upload. If the body is invalid or arrives too slowly, it returns a status and a
// message for the client.
func (f *Handler) readBody(w http.ResponseWriter, r *http.Request, takenAt time.Time) (body requestBody, status int, problem string) {
	body.arrival = pace.NewArrival(takenAt, r.ContentLength)
	if r.ContentLength == 0 {
		return body, 0, ""
	}
	reader := &upload{control: http.NewResponseController(w), body: r.Body, length: r.ContentLength, arrival: body.arrival}
	if f.BodyArrival != nil {
		reader.arrived = func() (int64, time.Time) { return f.BodyArrival(r) }
	}
	beginning, err := readBeginning(reader)
	if err != nil {
		status, problem = reader.failure()
		return body, status, problem
	}
	if len(beginning) == BodyLimit && r.ContentLength != BodyLimit {
		reader.Upload = core.Upload{Reader: reader, Length: r.ContentLength, Beginning: beginning,
			FailureStatus: func() int { status, _ := reader.failure(); return status }}
		body.upload = reader
		return body, 0, ""
	}
	reader.control.SetReadDeadline(time.Time{}) // else the deadline would end the watch for the client's leaving
	body.buffered = beginning
	return body, 0, ""
}

// readBeginning reads a body to its end, or the first BodyLimit bytes of it. The buffer grows with what arrives, not by
// the length that the client has declared.
func readBeginning(reader io.Reader) (body []byte, err error) {
	body = make([]byte, 0, firstBodyBuffer)
	for len(body) < BodyLimit && err == nil {
		if len(body) == cap(body) {
			body = append(make([]byte, 0, 2*cap(body)), body...)
		}
		var n int
		n, err = reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
	}
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return body, err
}

// upload is a request body that is read as it arrives. A Read fails if the client is slower than package pace allows.
type upload struct {
	core.Upload
	control    *http.ResponseController
	body       io.Reader
	arrival    *pace.Arrival
	arrived    func() (readable int64, lastWait time.Time) // see Handler.BodyArrival; nil: not known
	waited     time.Duration                               // spent in reads
	received   int64                                       // bytes
	length     int64                                       // by Content-Length; -1: not known
	onReceived func()                                      // if set, called once, when the body is complete
	complete   bool                                        // the whole body has been read
	err        error                                       // of the last Read; nil at the body's regular end
}

var errTooLong = errors.New("the body is too large")

// Read reads more of the body. It fails if the client is slower than package pace allows, and with errTooLong once the
// body is longer than maxRequestBody.
func (u *upload) Read(p []byte) (int, error) {
	began := time.Now()
	u.control.SetReadDeadline(pace.Deadline(began, u.waited, u.received))
	n, err := u.body.Read(p)
	now := time.Now()
	u.waited += now.Sub(began)
	u.observe(now, int64(n))
	if u.received += int64(n); u.received > maxRequestBody {
		err = errTooLong
	}
	if u.err = err; !u.complete && (errors.Is(err, io.EOF) || err == nil && u.received == u.length) {
		u.complete, u.err = true, nil
		if u.onReceived != nil {
			u.onReceived()
		}
		u.control.SetReadDeadline(time.Time{}) // else the deadline would end the watch for the client's leaving
	}
	return n, err
}

// observe records that n more bytes have been read.
func (u *upload) observe(now time.Time, n int64) {
	readable, lastWait := int64(0), now
	if u.arrived != nil {
		readable, lastWait = u.arrived()
	}
	u.arrival.Observe(now, u.received+n+readable, lastWait)
}

// failure returns the status and the message for the client after a failed Read.
func (u *upload) failure() (status int, text string) {
	switch {
	case errors.Is(u.err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout, "the body does not come"
	case errors.Is(u.err, errTooLong):
		return http.StatusRequestEntityTooLarge, "the body is too large"
	}
	return http.StatusBadRequest, "the body is malformed"
}
