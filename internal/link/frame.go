// Package link carries hand-offs between sites over QUIC with mutual TLS 1.3. A hand-off is a request that a node of
// one site, the sender, passes to a node of another site, the receiver, to be served there. Each hand-off has a QUIC
// stream of its own, so that none blocks another. After a broken connection the sender can't know whether the request
// arrived; it queries the receiver's ledger (package ledger), the only record of what has run.
//
// A frame is a type, a length and a payload. The type, the length and the integer fields at the start of a payload are
// variable-length integers of RFC 9000, section 16. The length is that of the payload in bytes. The sender dials; the
// first stream of a connection is its control stream:
//
//	sender: HELLO version epoch next          receiver: WELCOME version epoch
//	sender: BEAT seq ack                      receiver: CREDIT seq requests closing
//
// An epoch identifies a process. next is the number of the sender's next hand-off; ack says that the sender needs
// nothing more about the hand-offs with lower numbers. requests is how many hand-offs the sender may have in flight
// at once; closing is 1 once the receiver drains.
//
// Each further stream is opened by the sender for one exchange. left_us (time left for the answer) and wait_us (longest
// wait for the end of a running hand-off) are in microseconds; state is a ledger.State:
//
//	sender: HANDOFF number ack left_us, then an HTTP/1.1 request   receiver: ANSWER number state, then an HTTP/1.1 response
//	sender: ASK number wait_us                                     receiver: ANSWER number state, then the response if kept
//
// The nodes of one fleet use separate connections (Calls), without a control stream. Each stream carries one call, or
// one-way messages until its end. kind and status are defined by the caller's application:
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

const version = 1 // of this protocol; a HELLO with another version is rejected

// Frame types, as they are sent.
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
	controlLimit = 64                // bytes of a control frame's payload
	requestLimit = (64 + 32) << 10   // of HANDOFF: a request body and its head
	answerLimit  = (1024 + 96) << 10 // of ANSWER: a response body and its head
)

var errFrame = errors.New("malformed frame")

// appendFrame appends a frame to b. Its payload is the fields, encoded as integers, and then rest.
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

// readFrame reads one frame. Its type must be one of types, and its payload at most limit bytes long. It returns the
// type, the given number of integer fields from the start of the payload, and the rest of the payload. A frame that
// violates the protocol gives an error that wraps errFrame.
func readFrame(reader *bufio.Reader, limit int, fields int, types ...uint64) (typ uint64, values []uint64, rest []byte, err error) {
	if typ, err = quicvarint.Read(reader); err != nil {
		return 0, nil, nil, err
	}
	known := false
	for _, t := range types {
		known = known || t == typ
	}
	if !known {
		return typ, nil, nil, fmt.Errorf("%w: unexpected type %d", errFrame, typ)
	}
	length, err := quicvarint.Read(reader)
	if err != nil {
		return typ, nil, nil, err
	}
	if length > uint64(limit) {
		return typ, nil, nil, fmt.Errorf("%w: type %d has a payload of %d bytes, limit %d", errFrame, typ, length, limit)
	}
	// ReadAll allocates for the bytes received, not for the length that the peer claims.
	payload, err := io.ReadAll(io.LimitReader(reader, int64(length)))
	if err == nil && uint64(len(payload)) < length {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return typ, nil, nil, err
	}
	for range fields {
		v, n, err := quicvarint.Parse(payload)
		if err != nil {
			return typ, nil, nil, fmt.Errorf("%w: the payload of type %d is too short", errFrame, typ)
		}
		values, payload = append(values, v), payload[n:]
	}
	if len(payload) > 0 && typ != typeHandoff && typ != typeAnswer && typ < typeCall {
		return typ, nil, nil, fmt.Errorf("%w: the payload of type %d is too long", errFrame, typ)
	}
	return typ, values, payload, nil
}

// readInt returns the integer at the start of a payload, and what follows it.
func readInt(payload []byte) (uint64, []byte, error) {
	v, n, err := quicvarint.Parse(payload)
	if err != nil {
		return 0, nil, fmt.Errorf("%w: the payload is too short", errFrame)
	}
	return v, payload[n:], nil
}

func appendInt(b []byte, v uint64) []byte { return quicvarint.Append(b, v) }
