// Package link carries hand-offs between sites over QUIC with mutual TLS 1.3: one stream a hand-off, so that none blocks
// another. What a transport believes about arrival is not believed; the ledger of the far side is asked.
//
// A frame is a type, a length and a payload; all three counts, and the fields at a payload's start, are variable-length
// integers of RFC 9000, section 16. The first stream of a connection is its control stream:
//
//	near: HELLO version epoch next            far: WELCOME version epoch
//	near: BEAT seq ack                        far: CREDIT seq requests closing
//
// Each further stream, opened by the near side, is one exchange:
//
//	near: HANDOFF number ack left_us, then an HTTP/1.1 request     far: ANSWER number state, then an HTTP/1.1 response
//	near: ASK number wait_us                                       far: ANSWER number state, then the response if kept
//
// Nodes of one fleet have connections of their own (Calls), without a control stream. Each stream is a call, or carries
// one-way messages for as long as it is there:
//
//	CALL kind, then the request     REPLY status, then the answer
//	POST kind, then a message; POST kind, ...
package link

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"github.com/quic-go/quic-go/quicvarint"
)

const version = 1

const (
	typeHello = iota + 1
	typeWelcome
	typeBeat
	typeCredit
	typeHandoff
	typeAnswer
	typeAsk
	typeCall
	typeReply
	typePost
)

const (
	controlLimit = 64              // bytes of a control frame's payload
	requestLimit = (64 + 32) << 10 // of HANDOFF: a body and its head
	answerLimit  = (1024 + 96) << 10
)

var errFrame = errors.New("malformed frame")

// appendFrame puts a frame of some fields and a rest behind b.
func appendFrame(b []byte, typ uint64, fields []uint64, rest []byte) []byte {
	n := len(rest)
	for _, f := range fields {
		n += quicvarint.Len(f)
	}
	b = quicvarint.Append(quicvarint.Append(b, typ), uint64(n))
	for _, f := range fields {
		b = quicvarint.Append(b, f)
	}
	return append(b, rest...)
}

// readFrame reads one frame, of a type that is expected and a payload within limit, and takes so many fields off it.
func readFrame(r *bufio.Reader, limit int, fields int, types ...uint64) (typ uint64, values []uint64, rest []byte, err error) {
	if typ, err = quicvarint.Read(r); err != nil {
		return 0, nil, nil, err
	}
	known := false
	for _, t := range types {
		known = known || t == typ
	}
	if !known {
		return typ, nil, nil, fmt.Errorf("%w: type %d here", errFrame, typ)
	}
	length, err := quicvarint.Read(r)
	if err != nil {
		return typ, nil, nil, err
	}
	if length > uint64(limit) {
		return typ, nil, nil, fmt.Errorf("%w: type %d of %d bytes, %d at most", errFrame, typ, length, limit)
	}
	payload, err := io.ReadAll(io.LimitReader(r, int64(length))) // grows with what comes, whatever the length says
	if err == nil && uint64(len(payload)) < length {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return typ, nil, nil, err
	}
	for range fields {
		v, n, err := quicvarint.Parse(payload)
		if err != nil {
			return typ, nil, nil, fmt.Errorf("%w: type %d is too short", errFrame, typ)
		}
		values, payload = append(values, v), payload[n:]
	}
	if len(payload) > 0 && typ != typeHandoff && typ != typeAnswer && typ < typeCall {
		return typ, nil, nil, fmt.Errorf("%w: type %d is too long", errFrame, typ)
	}
	return typ, values, payload, nil
}

// cutInt takes one field off a payload.
func cutInt(payload []byte) (uint64, []byte, error) {
	v, n, err := quicvarint.Parse(payload)
	if err != nil {
		return 0, nil, fmt.Errorf("%w: too short", errFrame)
	}
	return v, payload[n:], nil
}

func appendInt(b []byte, v uint64) []byte { return quicvarint.Append(b, v) }
