// Package memory accounts for the memory that a process's peers make it hold: connections, heads, bodies, answers and
// buffers. Whoever holds such memory reserves it before it is allocated, so that the sum stays within a limit that
// follows from the process's memory limit. The package does no I/O.
package memory

import "sync/atomic"

// Kind is what memory is held for.
type Kind int

// The kinds of holders.
const (
	Connections Kind = iota // clients' connections: buffers and stacks
	Requests                // open requests: their state, and a connection to a server
	Heads                   // heads of requests that are larger than usual
	Bodies                  // beginnings of requests' bodies
	Answers                 // beginnings of answers that are held back
	Buffers                 // buffers of bodies and answers that are streamed
	ReadAhead               // input behind an open request
	kindCount
)

var kindNames = [kindCount]string{"connections", "requests", "heads", "bodies", "answers", "buffers", "read_ahead"}

// String is the kind's name in metrics.
func (k Kind) String() string { return kindNames[k] }

// Kinds returns all kinds.
func Kinds() (all []Kind) {
	for k := range kindCount {
		all = append(all, k)
	}
	return all
}

// ceilings are the parts of the limit up to which the whole account may be used by a reservation of a kind. What finishes
// work that has begun may use more than what begins work.
var ceilings = [kindCount]float64{Connections: 0.5, Requests: 0.95, Heads: 0.75, Bodies: 0.75, Answers: 0.85, Buffers: 1,
	ReadAhead: 0.75}

// Sizes of reservations, in bytes.
const (
	// ConnectionSize is for a client's connection: the buffers and the stacks of its goroutines.
	ConnectionSize = 16 << 10
	// RequestSize is for an open request with a usual head, beside its connection.
	RequestSize = 24 << 10
)

// Account is the memory that peers make a process hold. It is safe for concurrent use. A nil Account has no limit.
type Account struct {
	limit atomic.Int64
	total atomic.Int64
	held  [kindCount]atomic.Int64
}

// NewAccount returns an account with a limit in bytes.
func NewAccount(limit int64) *Account {
	a := &Account{}
	a.SetLimit(limit)
	return a
}

// SetLimit changes the limit, in bytes. What is held beyond it stays held.
func (a *Account) SetLimit(limit int64) {
	if a != nil {
		a.limit.Store(limit)
	}
}

// Reserve reserves n bytes, and reports whether there is room for them. The caller has to release what it got.
func (a *Account) Reserve(kind Kind, n int64) bool {
	if a == nil {
		return true
	}
	if float64(a.total.Add(n)) > ceilings[kind]*float64(a.limit.Load()) {
		a.total.Add(-n)
		return false
	}
	a.held[kind].Add(n)
	return true
}

// Take reserves n bytes that are held already, whatever the limit is.
func (a *Account) Take(kind Kind, n int64) {
	if a != nil {
		a.total.Add(n)
		a.held[kind].Add(n)
	}
}

// Release gives back n bytes.
func (a *Account) Release(kind Kind, n int64) {
	if a != nil {
		a.total.Add(-n)
		a.held[kind].Add(-n)
	}
}

// Held returns the bytes that are held of a kind.
func (a *Account) Held(kind Kind) int64 {
	if a == nil {
		return 0
	}
	return a.held[kind].Load()
}

// Limit returns the limit in bytes; 0: none.
func (a *Account) Limit() int64 {
	if a == nil {
		return 0
	}
	return a.limit.Load()
}

// MaxConnections returns how many clients' connections an account of this limit has room for.
func (a *Account) MaxConnections() int {
	return int(ceilings[Connections] * float64(a.Limit()) / ConnectionSize)
}

// Reservation is memory of one holder that may grow. Its methods are not safe for concurrent use. A nil Reservation holds
// nothing.
type Reservation struct {
	account *Account
	kind    Kind
	size    int64
}

// NewReservation returns an empty reservation.
func (a *Account) NewReservation(kind Kind) *Reservation { return &Reservation{account: a, kind: kind} }

// Grow reserves n more bytes, and reports whether there is room for them.
func (r *Reservation) Grow(n int64) bool {
	if !r.account.Reserve(r.kind, n) {
		return false
	}
	r.size += n
	return true
}

// Set changes the size of what is held already, whatever the limit is.
func (r *Reservation) Set(size int64) {
	r.account.Take(r.kind, size-r.size)
	r.size = size
}

// Fits reports whether the account is within what the kind may use.
func (r *Reservation) Fits() bool {
	return r.account.Reserve(r.kind, 0)
}

// Size is what is reserved, in bytes.
func (r *Reservation) Size() int64 { return r.size }

// Release gives back all that is reserved. Further calls have no effect.
func (r *Reservation) Release() {
	if r != nil {
		r.account.Release(r.kind, r.size)
		r.size = 0
	}
}
