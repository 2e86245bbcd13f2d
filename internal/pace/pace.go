// Package pace times a body that a peer sends: until when more of it must have arrived, and when its last byte can have
// been written at the earliest. It does no I/O and reads no clock.
package pace

import "time"

const (
	// Grace is added to the time that a body may take, because its pieces come with pauses.
	Grace = 2500 * time.Millisecond
	// MaxPause is the longest wait for the next bytes of a body, however many have come before: a client that has stopped
	// is answered within 3 s.
	MaxPause = 2600 * time.Millisecond
	// MinBytesPerSecond is the least mean rate of a body, in bytes per second, with Grace not counted: three quarters
	// of the rate of the slowest well-behaved client.
	MinBytesPerSecond = 48_000
)

// Deadline returns when more bytes of a body must have arrived, if so many have been received, and waited is the time
// that has been spent waiting for them. The time in which nobody waited for the peer does not count.
func Deadline(now time.Time, waited time.Duration, received int64) time.Time {
	return now.Add(min(MaxPause, Grace-waited+time.Duration(float64(received)/MinBytesPerSecond*float64(time.Second))))
}
