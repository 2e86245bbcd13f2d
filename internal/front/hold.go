package front

import (
	"net/http"
	"time"

	"starlingvalve/internal/memory"
)

// abortIfEvictedForRoom closes the connection of a request whose body is not complete, and ends its handler, if the
// connection was evicted for another one: net/http would keep it for half a second after an answer.
func (f *Handler) abortIfEvictedForRoom(r *http.Request) {
	if f.EvictedForRoom != nil && f.EvictedForRoom(r) {
		panic(http.ErrAbortHandler)
	}
}

// heldMemory is what one request holds of the account of memory. A nil heldMemory holds nothing.
type heldMemory struct{ request, body *memory.Reservation }

// awaitMemory is hold, after ending other requests whose bodies have stalled if that is needed, and waiting for their
// memory for up to memoryWait.
func (f *Handler) awaitMemory(length int64) *heldMemory {
	held := f.hold(length)
	if f.FreeMemory == nil {
		return held
	}
	for end := time.Now().Add(memoryWait); held == nil && time.Now().Before(end) && f.FreeMemory(); held = f.hold(length) {
		time.Sleep(memoryPoll)
	}
	return held
}

// hold reserves memory for a request with a body of a length, -1 if that is not known, or returns nil if there is too
// little.
func (f *Handler) hold(length int64) *heldMemory {
	if length < 0 || length > BodyLimit {
		length = BodyLimit
	}
	held := &heldMemory{request: f.memory.NewReservation(memory.Requests), body: f.memory.NewReservation(memory.Bodies)}
	if !held.request.Grow(memory.RequestSize) || !held.body.Grow(length) {
		held.release()
		return nil
	}
	return held
}

// releaseBody gives back what is held for the body.
func (h *heldMemory) releaseBody() {
	if h != nil {
		h.body.Release()
	}
}

// release gives back all that is held.
func (h *heldMemory) release() {
	if h != nil {
		h.body.Release()
		h.request.Release()
	}
}
