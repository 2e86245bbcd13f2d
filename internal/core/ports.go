// Package core holds the event loop that owns the decision module, and the interfaces to the rest of the node: fronts
// accept clients' requests, transports carry attempts to servers, and membership delivers the server list. The package
// depends on no implementation of them.
package core

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"starlingvalve/decide"
	"starlingvalve/internal/memory"
	"starlingvalve/internal/serverlist"
)

// Front serves clients in one protocol. It passes each well-formed request to Loop.Do, and writes the one answer that
// Do returns.
type Front interface {
	// Serve accepts requests until Close is called or a Drain is complete. Returning earlier is always with an error.
	Serve() error
	// Drain shuts down gracefully: it stops accepting connections after a moment, answers open requests by end, and
	// returns once that is done. New requests on open connections are served while an answer by end is still possible.
	Drain(end time.Time)
	// Close ends Serve and closes all connections at once.
	Close()
}

// Transport sends attempts and probes to servers. It never resends a request on its own.
type Transport interface {
	// Update applies a server list or changes to it. It is called before the module gets the same update, so that
	// nothing is sent to servers that the list excludes.
	Update(List)
	// Find returns the listed server of that id, or nil. The result stands for the server process that is listed now:
	// once the server has restarted or moved to another address, its attempts end with decide.ConnectFailed.
	Find(decide.ServerID) Server
	// CloseIdle closes the idle connections to a server.
	CloseIdle(decide.ServerID)
}

// Server is one listed server of a Transport.
type Server interface {
	// Do makes one attempt and blocks until it has ended, by x.Deadline at the latest. The end of ctx cancels it.
	Do(ctx context.Context, x *Exchange) Result
	// Probe requests the server's health check or load report, which is at path.
	Probe(ctx context.Context, path string) Result
}

// Membership is the source of the server list: a client of service discovery.
type Membership interface {
	// Fetch returns the whole list.
	Fetch(ctx context.Context) (List, error)
	// Watch passes changes since a version to news, or the whole list if since is nil, and also answers without
	// changes. It returns when a call fails or ctx ends; the error is a CallError. A list that is Stalled says that
	// the watch has become unresponsive and is restarted.
	Watch(ctx context.Context, since *uint64, news func(List)) error
	// Follow is a Watch of the node's own agent that is restarted whenever it fails, until ctx ends. Each failure is passed
	// to failed: a CallError.
	Follow(ctx context.Context, since *uint64, news func(List), failed func(error))
	// Close releases the connections that are kept between calls.
	Close()
}

// CallError is the error of a call to discovery that failed, or of a watch that broke.
type CallError struct {
	Cause decide.FailureCause
	Took  time.Duration // duration of a call that was to be answered at once; 0: it was a watch
	// ConfirmedAt is, of an agent's watch, the latest time at which the agent had no newer list; zero: not known.
	ConfirmedAt time.Time
	Err         error
}

// Error returns the error of the call, with the call's duration if discovery was overloaded.
func (e *CallError) Error() string {
	if e.Cause == decide.CauseOverloaded {
		return fmt.Sprintf("discovery is overloaded: %v after %v", e.Err, e.Took)
	}
	return e.Err.Error()
}

// Unwrap returns the error of the call itself.
func (e *CallError) Unwrap() error { return e.Err }

// Remote hands requests that the servers of this site refuse off to other sites.
type Remote interface {
	// Offer decides whether a request that the module has just refused is handed off to another site, and returns the
	// hand-off, or nil. ran reports whether an earlier attempt of the request may have run. Offer is called under the
	// loop's lock and must not block.
	Offer(r *Request, effect decide.Effect, ran bool) HandOff
}

// HandOff is one request that is to be handed off to another site.
type HandOff interface {
	// Run sends the request and blocks until the hand-off has ended, by the request's deadline at the latest. The end
	// of ctx means that the client has gone.
	Run(ctx context.Context) (Answer, HandOffResult)
}

// HandOffResult tells how a hand-off ended.
type HandOffResult int

const (
	// HandOffServed: the other site has served the request; the answer is its answer.
	HandOffServed HandOffResult = iota
	// HandOffNotRun: the request has not run at the other site, and will not.
	HandOffNotRun
	// HandOffUncertain: the request may have run at the other site, or may still run.
	HandOffUncertain
)

// Messenger sends datagrams to other nodes of the tier, which may get lost. It never blocks.
type Messenger interface {
	Send(to int, toAll bool, data []byte)
}

type noMessenger struct{}

// Send drops the datagram.
func (noMessenger) Send(int, bool, []byte) {}

// List is a server list from Membership: all servers, or those that have changed.
type List = serverlist.List

// Entry is a server of a List.
type Entry = serverlist.Entry

// Exchange is one attempt: a request as it is sent to one server, and the limits until when it may be.
type Exchange struct {
	Method          string
	URL             *url.URL
	Header          http.Header
	Body            []byte
	Deadline        time.Time // the attempt ends by then
	RequestDeadline time.Time // deadline of the request, which may be later than the attempt's; zero: Deadline
	WriteBy         time.Time // if set, nothing is written from then on, as servers forget the idempotency key
	ListValidUntil  time.Time // if set, the attempt must start before: the list by which the server was chosen expires

	Probe          bool          // a health check, which belongs to no request
	Effect         decide.Effect // of the request's class
	MayHaveRun     bool          // an earlier attempt of the request may have run
	SlowStartLimit int           // if the server is in slow start: requests that all nodes may send it per window; else 0
	AnswerBy       time.Time     // by when the server was told to answer, by X-Time-Left; set when the head is written
	ReadLag        time.Duration // how long requests wait now until this process notices them, which is no time left

	// RequestContext, if set, ends with the request. From then on no writing is started for it. Unlike a cancellation,
	// which the settings have to allow, this stops nothing that has been started.
	RequestContext context.Context
	ClientGone     func(age time.Duration) bool // if set, reports whether the client has left, by a check no older than age
	OnWritten      func()                       // if set, called once the last byte has been written
	// OnOvertime, if set, is called before an answer is held beyond RequestDeadline, with the time until which it may be.
	// If it is not set, nobody waits beyond RequestDeadline, and an answer that is not whole by then fails.
	OnOvertime func(until time.Time)
	Upload     *Upload // a long body, in place of Body
}

// Upload is a long request body, of which the front has read the beginning. The attempts of such a request run one
// after another, in the goroutine of the front that serves it.
type Upload struct {
	io.Reader // the part that has not been read; each Read has a time limit
	// Beginning is the part that has been read. It is dropped once some of the rest has been read: no other attempt can be
	// made then.
	Beginning     []byte
	Length        int64      // of the whole body, including what has been read; -1: not known before its end
	PartlySent    bool       // some of the upload has been read, so that no other attempt can be made
	FailureStatus func() int // after a failed Read: the status to answer the client with
	// AnswerBy returns by when the client has its answer, as far as is known of when it has written the last byte of its
	// body. The time is never too late, and moves on while the body arrives. Only the goroutine that reads may call it.
	AnswerBy func() time.Time
}

// Rest is the body of a streamed answer, of which at least the beginning has been read from its server.
type Rest interface {
	// Copy passes the body to write as it arrives, in pieces that are valid until write returns. The last piece is
	// passed only once the body is known to be complete. On an error the answer is incomplete, and the client has to
	// notice that.
	Copy(write func([]byte) error) error
	// Close releases the connection to the server and returns the outcome of the attempt. It is called once.
	Close() decide.OutcomeCode
}

// Result is the outcome of an Exchange.
type Result struct {
	Code              decide.OutcomeCode
	EndedAt           time.Time // when the exchange ended
	BegunAt           time.Time // with a Rest: when the first bytes of the body arrived
	Report            *decide.Report
	Header            http.Header
	Body              []byte              // the whole body, unless Rest is set
	Rest              Rest                // nil: Body is the whole body
	Held              *memory.Reservation // for Body; nil: nothing is reserved
	Length            int64               // of the whole body, if Rest is set; -1: not known before its end
	ClientErrorStatus int                 // the status of the server's answer if it blames the client (4xx); 0: it does not
	Err               error
}

var errUnlisted = errors.New("the server is no longer listed")

// Answer is a request's final answer.
type Answer struct {
	Status      int
	Header      http.Header
	Body        []byte              // the whole body, unless Rest is set
	Held        *memory.Reservation // for Body, which the front has to release; nil: nothing is reserved
	Rest        Rest                // the body as it arrives, which the front has to close; nil: Body is the whole body
	Length      int64               // of the whole body, if Rest is set; -1: not known before its end
	HoldOff     time.Duration       // how long the client should wait before it retries; 0: no advice
	Reason      decide.Reason       // of a refusal
	AttemptTime time.Duration       // how long the attempt that served the request took; 0: no server of this site served it
}

// Request is a client's request that a front has read and checked.
type Request struct {
	Arrived  decide.RequestArrived // the event for the module; the loop sets Patience and Uploading
	Deadline time.Time             // the client has its answer by then; with an Upload, first for the upload's beginning
	Method   string
	URL      *url.URL
	Header   http.Header // the end-to-end fields
	Body     []byte      // the whole body, unless Upload is set
	Upload   *Upload     // nil: Body is the whole body
	// ClientGone, if set, reports whether the client has left, by a check no older than age. It also finds that out
	// where the front doesn't notice by itself: while the body is still arriving, or behind more bytes than the front
	// reads ahead. If the client has left, the context of Do ends too. Attempts call it from their own goroutines.
	ClientGone func(age time.Duration) bool

	// The remaining fields belong to the loop.
	answer         chan Answer     // buffered: takes the final answer, the only one
	arriving       bool            // arrive is running, so that the front's own goroutine can make the first attempt
	firstAttempt   func()          // the first attempt, if the front's own goroutine makes it
	uploadAttempts chan func()     // attempts with an upload, which the front's own goroutine makes
	over           bool            // it has its final answer, or needs none
	overtimeEnd    time.Time       // until when its answer may be held beyond Deadline; zero: it is not
	ctx            context.Context // ends once the request is over
	cancel         func()          // ends ctx
	outstanding    int             // attempts and hand-offs that have not ended
	attempts       []*attempt
	dedupWindow    time.Duration      // keyed requests: how long servers remember the key
	cancelHandOff  context.CancelFunc // ends the hand-off to another site; nil: there was none
	ranElsewhere   bool               // another site may have run it
}
