package front

import "net/http"

// answerTracker is an http.ResponseWriter that records whether an answer has been started.
type answering struct {
	http.ResponseWriter
	answered bool
}

// WriteHeader implements http.ResponseWriter.
func (a *answering) WriteHeader(status int) {
	a.answered = true
	a.ResponseWriter.WriteHeader(status)
}

// Unwrap lets http.ResponseController find the underlying writer.
func (a *answering) Unwrap() http.ResponseWriter { return a.ResponseWriter }
