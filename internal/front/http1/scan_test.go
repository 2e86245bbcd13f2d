package http1

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
)

// scanned feeds text to a scan in pieces, and returns what is left of it and the scan.
func scanned(text string, piece int) (kept string, s requestScan) {
	for text != "" {
		n := min(piece, len(text))
		p := []byte(text[:n])
		kept += string(p[:s.feed(p)])
		text = text[n:]
	}
	return kept, s
}

// Each request gets one mark, "!" if it is ambiguous, in pieces of any size. A scan that misses the end of a request
// would let a smuggled one pass.
func TestScan(t *testing.T) {
	const get, post = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", "POST /a HTTP/1.1\r\nHost: h\r\n"
	for text, want := range map[string]string{
		get:                "-",
		"\r\n\r\n" + get:   "-",
		get + "\r\n" + get: "--",
		post + "Content-Length: 43\r\n\r\n" + post + "1234567890123456" + get:                                          "--",
		post + "Transfer-Encoding: chunked\r\n\r\n3;x\r\n\r\n\r\r\n0\r\nT: v\r\n\r\n" + get:                            "--",
		post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + get:                                "!-",
		post + "transfer-encoding: chunked\r\ncontent-length: 3\r\n\r\n0\r\n\r\n" + get:                                "!-",
		get + post + "Content-Length: 0\r\nTransfer-Encoding:chunked\r\n\r\n0\r\n\r\n":                                 "-!",
		post + "Content-Length:\r\n 3\r\n\r\nabc":                                                                      "!",
		post + "Content-Length: " + strings.Repeat(" ", 80) + "3\r\n\r\nabc":                                           "!",
		post + "Connection: a,\r\n b\r\nContent-Length: 3\r\n\r\nabc" + get:                                            "--",
		strings.ReplaceAll(post+"Content-Length: 3\r\n\r\n", "\r\n", "\n") + "abc" + strings.ReplaceAll(get, "\r", ""): "--",
		post + "X-Content-Length: 3\r\nContent-Length-X: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n":             "-",
	} {
		for _, piece := range []int{1, 3, 1 << 20} {
			_, s := scanned(text, piece)
			got := ""
			for len(s.ambiguous) > 0 {
				if s.nextAmbiguous() {
					got += "!"
				} else {
					got += "-"
				}
			}
			if got != want {
				t.Errorf("%q by %d: %q, want %q", text, piece, got, want)
			}
		}
	}
}

// If net/http accepts a request as valid and whole, the scan finds it at the same place, or marks it or one before it as
// ambiguous.
func FuzzScan(f *testing.F) {
	f.Add("GET /a HTTP/1.1\r\nHost: h\r\n\r\nPOST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc", 5)
	f.Add("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;x\r\na\r\n0\r\nT: v\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n", 3)
	f.Add("\r\nPOST /a HTTP/1.1\r\nHost: h\r\nContent-Length:\r\n 3\r\n\r\nabc", 1)
	f.Fuzz(func(t *testing.T, text string, piece int) {
		if len(text) > 8<<10 {
			return
		}
		kept, _ := scanned(text, max(1, min(piece, 1<<16)))
		source := bytes.NewReader([]byte(kept))
		r := bufio.NewReader(source)
		for n := 1; ; n++ {
			req, err := http.ReadRequest(r)
			if err != nil || !req.ProtoAtLeast(1, 1) {
				return // net/http rejects it and closes the connection
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			at := len(kept) - source.Len() - r.Buffered()
			_, s := scanned(kept[:at], 1<<20)
			if s.state == scanUnknown {
				return // a bare line feed among chunks: requests after it have no mark, and count as ambiguous
			}
			for _, doubt := range s.ambiguous {
				if doubt {
					return
				}
			}
			if len(s.ambiguous) != n || s.state != scanHead || s.headBytes != 0 {
				t.Fatalf("after %d requests, %q: %d scanned, state %d, %d bytes of a head",
					n, kept[:at], len(s.ambiguous), s.state, s.headBytes)
			}
		}
	})
}
