// Package chunk decodes HTTP/1.1's chunked transfer coding (RFC 9112, section 7.1). It does no I/O: the caller passes
// the bytes in pieces of any size.
package chunk

import "errors"

const (
	maxSizeLine   = 4 << 10  // bytes of a chunk's size line with its extensions
	maxTrailers   = 16 << 10 // bytes of all trailers
	maxSizeDigits = 15       // hexadecimal digits of a size: more would overflow an int64
)

// Errors of Next.
var (
	ErrSize    = errors.New("chunk: malformed size")
	ErrEnd     = errors.New("chunk: malformed end of a chunk")
	ErrTooLong = errors.New("chunk: extensions or trailers are too long")
)

type state int

const (
	size  state = iota // digits
	space              // after the digits
	extension
	sizeEnd // LF of the size line
	data
	dataEnd // CR after the data
	dataLF  // LF after the data
	trailer // at the start of a line
	trailerLine
	trailerEnd // LF of the empty line that ends the body
	done
)

// Decoder decodes one body. Its zero value is at the beginning of the body.
type Decoder struct {
	state     state
	chunkLeft int64 // bytes of the chunk that are still to come
	digits    int   // of the size
	lineBytes int   // bytes of the size line, or of the trailers
}

// Done reports whether the body is complete.
func (d *Decoder) Done() bool { return d.state == done }

// Next decodes the beginning of p. It returns how many bytes of p it has used, and the content that they hold, which is
// a part of p. It stops after some content, at the end of the body, and at the end of p.
func (d *Decoder) Next(p []byte) (content []byte, used int, err error) {
	for used < len(p) && d.state != done {
		c := p[used]
		switch d.state {
		case size:
			v, hex := unhex(c)
			switch {
			case hex && d.digits < maxSizeDigits:
				d.chunkLeft, d.digits = d.chunkLeft<<4|int64(v), d.digits+1
			case hex || d.digits == 0:
				return nil, used, ErrSize
			case c == ';':
				d.state = extension
			case c == ' ' || c == '\t':
				d.state = space
			case c == '\r':
				d.state = sizeEnd
			default:
				return nil, used, ErrSize // also a bare line feed: other decoders may find another end of the line
			}
		case space:
			switch c {
			case ' ', '\t':
			case ';':
				d.state = extension
			case '\r':
				d.state = sizeEnd
			default:
				return nil, used, ErrSize
			}
		case extension:
			if c == '\r' {
				d.state = sizeEnd
			} else if c == '\n' {
				return nil, used, ErrSize
			}
		case sizeEnd:
			if c != '\n' {
				return nil, used, ErrSize
			}
			if d.state = data; d.chunkLeft == 0 {
				d.state, d.lineBytes = trailer, 0
			}
		case data:
			n := int(min(int64(len(p)-used), d.chunkLeft))
			content, used = p[used:used+n], used+n
			if d.chunkLeft -= int64(n); d.chunkLeft == 0 {
				d.state = dataEnd
			}
			return content, used, nil
		case dataEnd:
			if c != '\r' {
				return nil, used, ErrEnd
			}
			d.state = dataLF
		case dataLF:
			if c != '\n' {
				return nil, used, ErrEnd
			}
			d.state, d.chunkLeft, d.digits, d.lineBytes = size, 0, 0, 0
		case trailer:
			if d.state = trailerLine; c == '\r' {
				d.state = trailerEnd
			} else if c == '\n' {
				return nil, used, ErrEnd
			}
		case trailerLine:
			if c == '\n' {
				d.state = trailer
			}
		case trailerEnd:
			if c != '\n' {
				return nil, used, ErrEnd
			}
			d.state = done
		}
		used++
		if d.lineBytes++; d.state <= sizeEnd && d.lineBytes > maxSizeLine || d.lineBytes > maxTrailers {
			return nil, used, ErrTooLong
		}
	}
	return nil, used, nil
}

// unhex returns the value of a hexadecimal digit.
func unhex(c byte) (byte, bool) {
	switch {
	case '0' <= c && c <= '9':
		return c - '0', true
	case 'a' <= c && c <= 'f':
		return c - 'a' + 10, true
	case 'A' <= c && c <= 'F':
		return c - 'A' + 10, true
	}
	return 0, false
}
