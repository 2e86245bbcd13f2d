package stats

// Event is something that a node does to limit what its clients can make it hold, or to keep an effect from happening
// twice.
type Event int

// The events.
const (
	RepeatedID           Event = iota // a request was answered with 409, as its id is that of an earlier one
	RefusedForMemory                  // a request was refused, as there was too little memory
	EvictedForConnection              // a connection was closed for a new one
	EvictedForMemory                  // a connection was closed, as its body had stalled and others needed the memory
	EvictedForHead                    // a connection was closed, as its head took more memory than there was
	RefusedConnection                 // a new connection was refused, as none could be closed for it
	PresumedGone                      // a request was refused, as its client's presence could not be seen
	eventCount
)

var eventNames = [eventCount]string{"repeated_id", "refused_for_memory", "evicted_for_connection", "evicted_for_memory",
	"evicted_for_head", "refused_connection", "presumed_gone"}

// Count counts an event.
func (m *Metrics) Count(event Event) {
	if m != nil {
		m.events[event].Add(1)
	}
}
