package chunk

import (
	"bytes"
	"errors"
	"io"
	"net/http/httputil"
	"strings"
	"testing"
)

// decode passes text to a decoder in pieces of piece bytes. rest is the number of bytes after the body.
func decode(text []byte, piece int) (body []byte, rest int, decoder Decoder, err error) {
	for at := 0; at < len(text) && !decoder.Done(); {
		content, used, err := decoder.Next(text[at:min(len(text), at+piece)])
		body = append(body, content...)
		if at += used; err != nil {
			return body, 0, decoder, err
		}
		rest = len(text) - at
	}
	return body, rest, decoder, nil
}

// Each valid form of a body is decoded, and each invalid one is rejected with its error, in pieces of any size.
func TestForms(t *testing.T) {
	for _, form := range []struct {
		text, body string
		rest       int
		err        error
		open       bool // the body is incomplete
	}{
		{text: "0\r\n\r\n"},
		{text: "3\r\nabc\r\n0\r\n\r\nGET", body: "abc", rest: 3},
		{text: "00003;a=\"b;c\"\r\nabc\r\nA \r\n0123456789\r\n0;last\r\nX: y\r\nZ: 1\r\n\r\n", body: "abc0123456789"},
		{text: "3\r\nab", body: "ab", open: true},
		{text: "3\r\nabc\r\n0\r\n", body: "abc", open: true},
		{text: "\r\n", err: ErrSize},
		{text: "zz\r\n", err: ErrSize},
		{text: "-1\r\n", err: ErrSize},
		{text: "3\nabc\r\n", err: ErrSize},
		{text: "3;x\nabc\r\n", err: ErrSize},
		{text: "3\rabc", err: ErrSize},
		{text: "1000000000000000\r\n", err: ErrSize},
		{text: "3\r\nabcd\r\n", body: "abc", err: ErrEnd},
		{text: "3\r\nabc\rX", body: "abc", err: ErrEnd},
		{text: "0\r\n\n", err: ErrEnd},
		{text: "3;" + strings.Repeat("x", maxSizeLine) + "\r\n", err: ErrTooLong},
		{text: "0\r\n" + strings.Repeat("X: y\r\n", maxTrailers), err: ErrTooLong},
	} {
		for _, piece := range []int{1, 2, 7, 1 << 20} {
			body, rest, d, err := decode([]byte(form.text), piece)
			if string(body) != form.body || rest != form.rest || !errors.Is(err, form.err) ||
				d.Done() != (form.err == nil && !form.open) {
				t.Errorf("%.40q by %d: %q, %d bytes after it, done %v, %v", form.text, piece, body, rest, d.Done(), err)
			}
		}
	}
}

// A body that is decoded here as complete is the same in pieces of any size, and to the standard library.
func FuzzDecoder(f *testing.F) {
	f.Add([]byte("3;a\r\nabc\r\n0\r\nX: y\r\n\r\nrest"), 1)
	f.Add([]byte("fffffffffffffff\r\nx"), 3)
	f.Fuzz(func(t *testing.T, text []byte, piece int) {
		piece = max(1, min(piece, 1<<16))
		body, _, decoder, err := decode(text, piece)
		if whole, _, wholeDecoder, err2 := decode(text, 1<<20); !bytes.Equal(whole, body) ||
			wholeDecoder.Done() != decoder.Done() || (err == nil) != (err2 == nil) {
			t.Fatalf("by %d %q %v, at once %q %v", piece, body, err, whole, err2)
		}
		if err != nil || !decoder.Done() || bytes.Contains(text, []byte(" ;")) || bytes.Contains(text, []byte("\t;")) {
			return // the library does not accept a space before extensions, which the RFC allows
		}
		std, err := io.ReadAll(httputil.NewChunkedReader(bytes.NewReader(text)))
		if err != nil || !bytes.Equal(std, body) {
			t.Fatalf("%q, the library has %q, %v", body, std, err)
		}
	})
}
