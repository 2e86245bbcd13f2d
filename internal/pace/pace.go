// Package pace decides how long a peer has that sends a body: by its progress, not by its size. It is pure.
package pace

import "time"

const (
	// Grace is what a body has before its pace counts: pieces come with pauses.
	Grace = 1500 * time.Millisecond
	// Least is the pace that a body must keep over all its time beyond that, in bytes a second: three quarters of what the
	// slowest good client has.
	Least = 48_000
)

// Deadline is when a body that began at a time must have brought more than it has.
func Deadline(began time.Time, brought int64) time.Time {
	return began.Add(Grace + time.Duration(float64(brought)/Least*float64(time.Second)))
}
