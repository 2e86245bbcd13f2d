package pace

import "time"

const (
	// maxPeerSendBuffer is the most that a peer's operating system holds of what the peer has written, in bytes: the
	// default of Linux for tcp_wmem.
	maxPeerSendBuffer = 4 << 20
	// markInterval is the distance, in bytes, between two remembered moments of a body of unknown length.
	markInterval = maxPeerSendBuffer / 8
)

// Arrival bounds from below when a peer has written the last byte of a body. Bytes that the peer has written may wait in
// its own send buffer, where they can't be seen. But the last byte had not been written yet
//   - when everything that had been written was received, and the body was not complete;
//   - when more was missing of the body than a send buffer holds.
type Arrival struct {
	length   int64     // of the body, in bytes; -1: not known
	earliest time.Time // the last byte was written then or later
	marks    []mark    // of a body of unknown length: up to maxPeerSendBuffer back, oldest first
}

// mark is a moment at which so many bytes of the body had arrived.
type mark struct {
	at      time.Time
	arrived int64
}

// NewArrival returns the arrival of a body of a length in bytes, -1 if it is not known, whose reading begins at a time.
func NewArrival(began time.Time, length int64) *Arrival {
	return &Arrival{length: length, earliest: began}
}

// Observe records that so many bytes of the body have arrived, and are read or can be read without a wait. lastWait is
// when bytes last arrived that a read had to wait for; zero: none had to.
func (a *Arrival) Observe(now time.Time, arrived int64, lastWait time.Time) {
	if lastWait.After(a.earliest) {
		a.earliest = lastWait
	}
	if a.length >= 0 {
		if arrived+maxPeerSendBuffer < a.length {
			a.earliest = now
		}
		return
	}
	for len(a.marks) > 0 && a.marks[0].arrived+maxPeerSendBuffer < arrived {
		if a.marks[0].at.After(a.earliest) {
			a.earliest = a.marks[0].at
		}
		a.marks = a.marks[1:]
	}
	if len(a.marks) == 0 || arrived >= a.marks[len(a.marks)-1].arrived+markInterval {
		a.marks = append(a.marks, mark{now, arrived})
	}
}

// LastByteAfter returns the latest moment that is known to precede the writing of the last byte.
func (a *Arrival) LastByteAfter() time.Time { return a.earliest }
