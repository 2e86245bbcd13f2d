package front

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"starlingvalve/decide"
	"starlingvalve/internal/core"
)

// rejectNotTaken answers a request that fails a check. A request from another site has passed the checks there and only
// doesn't fit the settings here, which is not its client's fault: it gets 503, so that its own site answers it.
func (f *Handler) rejectNotTaken(w http.ResponseWriter, status int, problem string) {
	if f.HandedOff {
		status = http.StatusServiceUnavailable
	}
	reject(w, status, problem)
}

// reject answers an invalid request and closes its connection, because it is uncertain where the request ends.
func reject(w http.ResponseWriter, status int, problem string) {
	w.Header().Set("Connection", "close")
	http.NewResponseController(w).SetReadDeadline(time.Now().Add(lingerTimeout)) // net/http reads on in an unread body
	http.Error(w, problem, status)
}

// check validates the header of a request. It returns how long the client waits, by X-Time-Left, or a status and a
// message for the client if the request is invalid.
func check(r *http.Request, class decide.Class) (patience time.Duration, status int, problem string) {
	method := http.MethodPost
	if class.Effect == decide.Safe {
		method = http.MethodGet
	}
	keys := r.Header["Idempotency-Key"]
	switch {
	case !r.ProtoAtLeast(1, 1): // net/http ignores Transfer-Encoding in HTTP/1.0
		return 0, http.StatusHTTPVersionNotSupported, "HTTP/1.1 only"
	case r.Method != http.MethodGet && r.Method != http.MethodPost, r.Method != method:
		return 0, http.StatusMethodNotAllowed, "the class wants " + method
	case method == http.MethodGet && r.ContentLength != 0: // -1: chunked
		return 0, http.StatusBadRequest, "GET takes no body"
	case r.ContentLength > maxRequestBody:
		return 0, http.StatusRequestEntityTooLarge, "the body is too large"
	case !single(r.Header["X-Correlation-Id"]):
		return 0, http.StatusBadRequest, "want one X-Correlation-Id"
	case class.Effect == decide.Keyed && !single(keys), class.Effect != decide.Keyed && len(keys) > 0:
		return 0, http.StatusBadRequest, "want one Idempotency-Key on keyed requests, none on others"
	}
	left := r.Header["X-Time-Left"]
	if !single(left) || strings.Trim(left[0], "0123456789.") != "" {
		return 0, http.StatusBadRequest, "X-Time-Left is not a number of seconds"
	}
	seconds, err := strconv.ParseFloat(left[0], 64)
	if err != nil {
		return 0, http.StatusBadRequest, "X-Time-Left is not a number of seconds"
	}
	return time.Duration(min(seconds, maxPatience.Seconds()) * float64(time.Second)), 0, ""
}

// single reports whether a header field has exactly one value, which is not empty.
func single(values []string) bool { return len(values) == 1 && values[0] != "" }

// newRequest builds the loop's request from an HTTP request that has been checked, and its body if that is buffered. The
// caller sets its deadline.
func newRequest(r *http.Request, class string, body []byte) *core.Request {
	event := decide.RequestArrived{ID: decide.RequestID(r.Header.Get("X-Correlation-Id")), Class: class,
		Tenant: r.Header.Get("X-Account"), Key: queryValue(r.URL.RawQuery, "obj"),
		Repeat: r.Header.Get("X-Repeat") == "1", Write: flagSet(r.Header.Get("X-Facts"), "write")}
	if microseconds, err := strconv.ParseFloat(r.Header.Get("X-Weight-Hint"), 64); err == nil &&
		microseconds >= 0 && microseconds < maxPatience.Seconds()*1e6 {
		event.WorkHint, event.HasHint = time.Duration(microseconds*float64(time.Microsecond)), true
	}
	return &core.Request{Arrived: event, Method: r.Method, Body: body,
		URL: &url.URL{Host: r.Host, Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery,
			ForceQuery: r.URL.ForceQuery},
		Header: endToEnd(r.Header)}
}

// queryValue returns the first value of a name in a query, like url.Values.Get, but without parsing the rest.
func queryValue(query, name string) string {
	for pair := range strings.SplitSeq(query, "&") {
		n, v, _ := strings.Cut(pair, "=")
		if strings.Contains(pair, ";") || n != name && !strings.ContainsAny(n, "%+") {
			continue
		}
		if n, err := url.QueryUnescape(n); err != nil || n != name {
			continue
		}
		if v, err := url.QueryUnescape(v); err == nil {
			return v
		}
	}
	return ""
}

// flagSet reports whether a flag is set in the text of an X-Facts field, which has the form "name=value,...": its value
// is not empty, 0 or false.
func flagSet(text, name string) bool {
	for field := range strings.SplitSeq(text, ",") {
		if n, v, _ := strings.Cut(strings.TrimSpace(field), "="); n == name {
			return v != "" && v != "0" && v != "false"
		}
	}
	return false
}

// endToEnd returns a copy of a header without the hop-by-hop fields and those that the node sets itself.
// X-Correlation-Id and Idempotency-Key, which identify a request, are kept even if Connection names them.
func endToEnd(header http.Header) http.Header {
	forwarded := header.Clone()
	for _, field := range header["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			switch name = http.CanonicalHeaderKey(strings.TrimSpace(name)); name {
			case "X-Correlation-Id", "Idempotency-Key":
			default:
				forwarded.Del(name)
			}
		}
	}
	for _, name := range ownFields {
		delete(forwarded, name)
	}
	return forwarded
}

// ownFields are the hop-by-hop fields and those that the node sets itself, in canonical form.
var ownFields = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Expect", "Content-Length", "X-Time-Left", "X-Backend-Load", "X-Unprocessed"}
