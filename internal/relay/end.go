package relay

// End is how a body ended: whole, or by what.
type End int

// The ends of a body.
const (
	Whole           End = iota // passed on, or held, to its end
	AttemptDeadline            // held until the deadline of the attempt
	RequestDeadline            // held until the deadline of the request, or beyond it for as long as it may
	SilenceLimit               // passed on, until the server sent nothing for Silence
	RateLimit                  // passed on, until it was behind MinAverageRate
	Size                       // larger than MaxSize, or longer than declared
	ByServer                   // the server closed or reset the connection, or broke its framing
	ByClient                   // the client took no more of it
	Cancelled                  // the attempt was cancelled: the client left, another attempt served, or the process ends
	EndKinds        int = iota
)

var endNames = [EndKinds]string{"whole", "attempt_deadline", "request_deadline", "silence", "rate", "size", "server",
	"client", "cancelled"}

// String returns the name of the end, as in logs and metrics.
func (e End) String() string { return endNames[e] }
