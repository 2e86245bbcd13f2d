// Package chunk takes HTTP/1.1's chunked coding apart (RFC 9112, section 7.1). It is pure: whoever reads the bytes hands them
// over in pieces of any size, and may stop and go on at any of them.
package chunk

import "errors"

const (
	lineLimit    = 4 << 10  // bytes of a chunk's size with its extensions
	trailerLimit = 16 << 10 // bytes of all trailers
	digitsLimit  = 15       // of a size: more would not fit
)

// What is wrong with the text.
var (
	ErrSize    = errors.New("chunk: malformed size")
	ErrEnd     = errors.New("chunk: malformed end of a chunk")
	ErrTooLong = errors.New("chunk: extensions or trailers are too long")
)

type state int

const (
	size  state = iota // digits
	space              // behind them
	extension
	sizeEnd // after its CR
	data
	dataEnd // CR
	dataLF
	trailer // at a line's start
	trailerLine
	trailerEnd // after the CR of an empty line
	done
)

// Decoder follows one body. Its zero value is at the beginning.
type Decoder struct {
	state  state
	left   int64 // of the chunk
	digits int
	line   int // bytes of the size's line, or of the trailers
}

// Done tells whether the body is complete.
func (d *Decoder) Done() bool { return d.state == done }

// Next takes the beginning of p and tells how many bytes it used; data, a part of p, is what they hold of the body. It stops
// behind some data, at the body's end, and at the end of p.
func (d *Decoder) Next(p []byte) (content []byte, used int, err error) {
	for used < len(p) && d.state != done {
		c := p[used]
		switch d.state {
		case size:
			v, hex := unhex(c)
			switch {
			case hex && d.digits < digitsLimit:
				d.left, d.digits = d.left<<4|int64(v), d.digits+1
			case hex || d.digits == 0:
				return nil, used, ErrSize
			case c == ';':
				d.state = extension
			case c == ' ' || c == '\t':
				d.state = space
			case c == '\r':
				d.state = sizeEnd
			default:
				return nil, used, ErrSize // a bare line feed too: others may see another end
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
			if d.state = data; d.left == 0 {
				d.state, d.line = trailer, 0
			}
		case data:
			n := int(min(int64(len(p)-used), d.left))
			content, used = p[used:used+n], used+n
			if d.left -= int64(n); d.left == 0 {
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
			d.state, d.left, d.digits, d.line = size, 0, 0, 0
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
		if d.line++; d.state <= sizeEnd && d.line > lineLimit || d.line > trailerLimit {
			return nil, used, ErrTooLong
		}
	}
	return nil, used, nil
}

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
