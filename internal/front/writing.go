package front

import (
	"net/http"
	"strconv"
	"time"

	"starlingvalve/decide"
	"starlingvalve/internal/core"
)

// writeAnswer writes an answer without a Rest. It is called at most once per request.
func (f *Handler) writeAnswer(w http.ResponseWriter, answer core.Answer) {
	f.setHeader(w, answer)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer.Body)))
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	w.WriteHeader(answer.Status)
	w.Write(answer.Body)
}

// streamAnswer writes an answer with a Rest piece by piece. If the Rest can't be completed, the connection is aborted,
// so that the client notices: the body is shorter than its length, or its last chunk is missing.
func (f *Handler) streamAnswer(w http.ResponseWriter, class string, answer core.Answer) {
	restClosed := false
	defer func() {
		if !restClosed {
			answer.Rest.Close()
		}
	}()
	if f.HandedOff { // the other site gets an answer only whole, so it is buffered
		var body []byte
		err := answer.Rest.Copy(func(piece []byte) error {
			if len(body)+len(piece) > maxHandedOffAnswer {
				return errTooLong
			}
			body = append(body, piece...)
			return nil
		})
		if err != nil {
			answer = core.Answer{Status: http.StatusBadGateway, Rest: answer.Rest}
		}
		f.writeAnswer(w, core.Answer{Status: answer.Status, Header: answer.Header, Body: body})
		f.Metrics.RequestEnded(class, answer.Status)
		return
	}
	f.setHeader(w, answer)
	control := http.NewResponseController(w)
	send := func(piece []byte) error {
		control.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := w.Write(piece); err != nil {
			return err
		}
		return control.Flush()
	}
	if answer.Length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	control.SetWriteDeadline(time.Now().Add(writeTimeout))
	w.WriteHeader(answer.Status)
	err := answer.Rest.Copy(send)
	restClosed = true
	answer.Rest.Close()
	if err != nil {
		f.Metrics.RequestEnded(class, http.StatusBadGateway)
		panic(http.ErrAbortHandler)
	}
	f.Metrics.RequestEnded(class, answer.Status)
}

// closeIfLast has an answer close its connection if no more requests are wanted there. It is called as the answer is
// written, because that may have changed while the request was open.
func (f *Handler) closeIfLast(w http.ResponseWriter) {
	if f.refusing.Load() || f.closeAfterAnswer.Load() || f.ConnectionPressure != nil && f.ConnectionPressure() {
		w.Header().Set("Connection", "close")
	}
}

// setHeader sets the header fields of an answer, except Content-Length.
func (f *Handler) setHeader(w http.ResponseWriter, answer core.Answer) {
	header := w.Header()
	if answer.Header != nil {
		closing := header["Connection"]
		for name, values := range endToEnd(answer.Header) {
			header[name] = values
		}
		if closing != nil {
			header["Connection"] = closing
		}
	}
	if header["Content-Type"] == nil {
		header["Content-Type"] = nil // keeps net/http from guessing one
	}
	f.closeIfLast(w)
	if answer.Status == http.StatusConflict {
		header.Set("Connection", "close")
	}
	if answer.Status == http.StatusServiceUnavailable {
		header.Set("X-Refused-By", [...]string{
			decide.ByServers: "servers", decide.ByNode: "node", decide.ByList: "list"}[answer.Reason])
	}
	if answer.HoldOff > 0 {
		header.Set("Retry-After", strconv.FormatFloat(answer.HoldOff.Seconds(), 'f', 3, 64))
	}
}
