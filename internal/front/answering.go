package front

import "net/http"

// answerTracker is an http.ResponseWriter that records whether an answer has been started.
type answerTracker struct {
	http.ResponseWriter
	answered bool
}

// WriteHeader implements http.ResponseWriter.
func (a *answerTracker) WriteHeader(status int) {
	a.answered = true
	a.ResponseWriter.WriteHeader(status)
}

// Unwrap lets http.ResponseController find the underlying writer.
func (a *answerTracker) Unwrap() http.ResponseWriter { return a.ResponseWriter }
