package front

import "net/http"

// answering notes whether an answer has begun.
type answering struct {
	http.ResponseWriter
	answered bool
}

// WriteHeader is http.ResponseWriter's.
func (a *answering) WriteHeader(status int) {
	a.answered = true
	a.ResponseWriter.WriteHeader(status)
}

// Unwrap is for http.ResponseController.
func (a *answering) Unwrap() http.ResponseWriter { return a.ResponseWriter }
