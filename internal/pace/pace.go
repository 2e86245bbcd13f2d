// Package pace sets the read deadline of a body that a peer sends. The deadline depends on the bytes that have arrived,
// not on the size of the body. The package does no I/O and reads no clock.
package pace

import "time"

const (
	// Grace is added to the time that a body may take, because its pieces come with pauses.
	Grace = 1500 * time.Millisecond
	// MinBytesPerSecond is the least mean rate of a body, in bytes per second, with Grace not counted: three quarters
	// of the rate of the slowest well-behaved client.
	MinBytesPerSecond = 48_000
)

// Deadline returns when more bytes of a body must have arrived, if its reading began at a time and so many bytes have
// been received.
func Deadline(began time.Time, received int64) time.Time {
	return began.Add(Grace + time.Duration(float64(received)/MinBytesPerSecond*float64(time.Second)))
}
