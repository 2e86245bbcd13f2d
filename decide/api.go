// Package decide makes the decisions of a load-balancing proxy node: which server gets a request, when
// another attempt is made, when a request is refused. It does no I/O, reads no clock and starts no
// goroutine: the caller feeds it events and carries out the actions it returns.
//
// This file is the interface: settings, events and actions. The decisions are in decide.go and, by subject,
// in the other files.
package decide

import "time"

// Time is a reading of the caller's monotonic clock. Only differences between two readings have a meaning.
type Time = time.Duration

// ServerID identifies a server, RequestID one try of a client's request. Both are opaque.
type (
	ServerID  uint32
	RequestID string
)

// Effect says what a second execution of a request would do.
type Effect int

const (
	// Unsafe requests must never run twice.
	Unsafe Effect = iota
	// Keyed requests carry a key by which a group of servers drops repeats.
	Keyed
	// Safe requests may run any number of times.
	Safe
)

// Scope is the group of servers that share their memory of keys, and so drop repeats of one another's
// requests.
type Scope int

const (
	// ScopeCell is the servers of one cell.
	ScopeCell Scope = iota
	// ScopeZone is the servers of one zone.
	ScopeZone
	// ScopeAll is every server.
	ScopeAll
)

// Class describes one kind of request.
type Class struct {
	Name        string
	Worth       float64       // value of one request, compared with other classes
	Aim         time.Duration // latency target: an answer within this time has full worth
	AimStretch  float64       // the aim grows by this many times the request's work
	Deadline    time.Duration // how long the client waits in all, over all its tries
	LateWorth   float64       // part of the worth that an answer after the aim still has
	Effect      Effect
	KeyScope    Scope         // for Keyed: the group of servers that drops repeats
	DedupWindow time.Duration // for Keyed: how long the group remembers a key
	Streamed    bool          // the answer is a stream
}

// Tenant is a customer with a guaranteed share.
type Tenant struct {
	Name  string
	Quota float64 // guaranteed requests per second, over all nodes
	Share float64
}

// Settings is the configuration of a node.
type Settings struct {
	Nodes   int    // number of nodes that decide for these servers
	Self    int    // this node's number among them, from 0
	Zone    string // this node's zone
	Zones   []string
	Kinds   []string // machine kinds
	Classes []Class
	Tenants []Tenant

	MaxAttempts    int           // attempts of one request, at most
	MayOverlap     bool          // two attempts of a request may be outstanding at once
	MayCancel      bool          // CancelAttempt is allowed
	MayProbe       bool          // Probe is allowed
	MayMessage     bool          // SendMessage is allowed
	NotifyOverload bool          // send overload notices to the site's other nodes: set if other sites hand off requests
	HoldOffs       bool          // clients receive Refuse.HoldOff and wait for that time
	MaxHoldOff     time.Duration // longest hold-off that clients observe
	MarksRepeats   bool          // clients mark repeated tries
	ConnectTimeout time.Duration
	MinTick        time.Duration // shortest time between two events
	ListOnRequest  bool          // list updates come only after Subscribe or FetchList
	SizeKnown      bool          // Server.Size depends on the machine's size
	SizeLive       bool          // Server.Size falls as the server's load rises
	OverShareWorth float64       // part of its worth that a request over its tenant's share has
	WorthByWork    bool          // worth counts per unit of work, not per request
	ReportVia      ReportVia     // how load reports arrive
	ReportFields   []string      // names of the values in load reports

	Family         string   // kind of service
	Tier           int      // index in Tiers of the tier that this node sends to
	Tiers          []string // names of the tiers
	WarmKeys       bool     // a server that has lately served a key needs less work for it
	PassesDeadline bool     // a server's calls to the next tier carry the time that the request has left
	StreamsPerConn int      // attempts that one connection carries at once
	ConnIdle       time.Duration
	MaxOpen        int           // requests that this node can have open
	CPUPerSecond   time.Duration // CPU time per second that this node may spend on decisions
	CPUPerRequest  time.Duration // the same for one request with its outcomes; 0: no limit
	Goal           Goal
	Prices         Prices

	AnswerSlack time.Duration // a final answer so long after the deadline still counts
	// Once discovery has a change and can be reached, the node counts as notified of the change after this
	// time at the latest, and from then on must follow it. 0: there is no such bound.
	NotifiedWithin         time.Duration
	MaxListRequestInterval time.Duration // without a subscription, longest time from one list request to the next
	DrainGrace             time.Duration // sends to a draining server must have stopped after this time
	ColdFrom               float64       // part of its capacity that a server has at its start, at least
	ColdTime               time.Duration // time from a server's start until it has its full capacity
	// A cold server collapses if it gets more than OverloadFactor times its capacity for OverloadTime.
	OverloadFactor float64
	OverloadTime   time.Duration
}

// LongestDeadline is the longest Deadline of any class.
func (s *Settings) LongestDeadline() (longest time.Duration) {
	for i := range s.Classes {
		longest = max(longest, s.Classes[i].Deadline)
	}
	return longest
}

// Goal holds the weights of the parts that make up the result: of all requests, of the worst time window,
// of the worst class and of the worst tenant.
type Goal struct{ Whole, WorstWindow, WorstClass, WorstTenant float64 }

// Prices are the points that one unit of each named cost takes off the result.
type Prices struct {
	Connection, Handshake, CrossZone, Waste, LateFail, Probe, Message, Moves, Origin, ListLines, Fleet float64
}

// ReportVia is the way load reports reach a node.
type ReportVia int

const (
	// ReportNone means that there are no load reports.
	ReportNone ReportVia = iota
	// ReportProbe means that only probe results carry load reports.
	ReportProbe
	// ReportAnswers means that probe results and outcomes of attempts carry load reports.
	ReportAnswers
)

// Report is the load that a server reports of itself. It arrives late and is not exact.
type Report struct {
	InFlight, Queue       float64 // requests at the server; those of them that wait
	HasInFlight, HasQueue bool
	Utilisation           float64 // 0 if absent
	ServiceTime           time.Duration
	Rate, ErrorRate       float64 // requests per second; failed ones per second
}

// ServerState is the state of a server by discovery.
type ServerState int

const (
	// Ready servers take requests.
	Ready ServerState = iota
	// Draining servers take no new requests and finish those they have.
	Draining
	// Removed servers are no longer in the list.
	Removed
)

// Server is an entry of the server list.
type Server struct {
	ID        ServerID
	Zone      string
	Kind      string
	Cell      int
	State     ServerState
	Size      float64 // relative to other servers, without a unit
	StartedAt Time    // when its process started; 0: long ago
}

// Event is an input of Module.Handle: one of the types below.
type Event interface{ event() }

// ListKind is the form of a ListUpdate.
type ListKind int

const (
	// ListChanges holds only the changed entries.
	ListChanges ListKind = iota
	// ListFull holds all entries. A server that is not in it has been removed.
	ListFull
	// ListCached is a full list from this node's own storage. It may be old.
	ListCached
	// ListFailed has no entries: a list request failed or the subscription broke.
	ListFailed
	// ListStalled has no entries: the subscription sends nothing any more, or discovery answers slowly,
	// and membership calls it anew. The list may be used for UsableFor.
	ListStalled
)

// FailureCause is the cause of a ListFailed.
type FailureCause int

const (
	// CauseUnknown means that the cause is not known.
	CauseUnknown FailureCause = iota
	// CauseMoved means that the list comes from another source from now on.
	CauseMoved
	// CauseWentDown means that discovery has ended an open watch with a refusal, as it does when it shuts
	// down.
	CauseWentDown
	// CauseBroken means that an open watch has broken.
	CauseBroken
	// CauseUnreachable means that discovery was not reached, refused a call at once, or sent no answer.
	CauseUnreachable
	// CauseOverloaded means that discovery has ended a call after a long wait for the call's turn.
	CauseOverloaded
	// CauseUseless means that discovery has answered, but with nothing that can be used.
	CauseUseless
	// CauseLocal means that this machine had no means to make a call: it says nothing of discovery.
	CauseLocal
)

// OutcomeCode is the outcome of an attempt or a probe.
type OutcomeCode int

const (
	// OK means that the server has answered.
	OK OutcomeCode = iota
	// ServerError means that the server failed. The request may have run.
	ServerError
	// Full means that the server refused the request, unread, because of its load.
	Full
	// TimedOut means that no answer came in time. The request may have run, or may still run.
	TimedOut
	// ConnectFailed means that there was no connection. The request was not sent.
	ConnectFailed
	// Reset means that the connection broke. The request may have run.
	Reset
	// Cancelled means that the node has cancelled the attempt. The request may have run.
	Cancelled
	// Moot means that nothing was sent, as the request was over or the node lacked resources.
	Moot
)

// Events.
type (
	// RequestArrived is a new request. The module must give it one final answer.
	RequestArrived struct {
		ID        RequestID
		Class     string
		Tenant    string
		Key       string
		Patience  time.Duration // how long the client waits for this try
		WorkHint  time.Duration // expected work, if HasHint
		HasHint   bool
		Repeat    bool // the client has tried before
		Write     bool
		HandedOff bool // another site hands it off: it is served only from this site's headroom
		// A long body is still coming. All times count from its end, which BodyEnded reports.
		Uploading bool
	}
	// ListUpdate is an update of the server list, or the failure of one.
	ListUpdate struct {
		Kind    ListKind
		Version uint64
		Entries []Server
		Age     time.Duration // time since discovery last confirmed the previous list; 0: not known
		// How long ago discovery had nothing newer than this update, at the most: a slow answer says what
		// was so when its call began. Of a ListFailed where lists are pushed: the same of the list in
		// force; 0: not known.
		ConfirmedAge time.Duration
		UsableFor    time.Duration // of ListStalled: how long the list may be used if no answer comes
		// Of ListFailed:
		Cause FailureCause
		Took  time.Duration // how long the failed call took; 0: not known, or an open watch has failed
	}
	// AttemptEnded is the outcome of an attempt. Each Send gets one.
	AttemptEnded struct {
		ID           RequestID
		Attempt      int
		Server       ServerID
		RequestDone  bool // the request has had its final answer
		Elapsed      time.Duration
		NodeTime     time.Duration // part of Elapsed that passed in the node itself: waiting for a CPU, and running
		Code         OutcomeCode
		Report       *Report // nil if none came
		BodyConsumed bool    // so much of an upload has been sent that another attempt can't be made
	}
	// BodyEnded means that the whole body of an upload has been written to the attempt's server.
	BodyEnded struct {
		ID       RequestID
		Attempt  int
		Patience time.Duration // how long the client waits from now on
	}
	// OvertimeStarted means that the beginning of an answer has come to an attempt, and is held beyond the deadline of its
	// request, for Length from now at most: it may belong to a long answer, of which only the first bytes are due.
	OvertimeStarted struct {
		ID      RequestID
		Attempt int
		Length  time.Duration
	}
	// StreamStarted means that a streamed answer has begun.
	StreamStarted struct {
		ID       RequestID
		Attempt  int
		Server   ServerID
		Elapsed  time.Duration
		NodeTime time.Duration // as in AttemptEnded
	}
	// RequestAbandoned means that the client has gone. The request needs no answer any more.
	RequestAbandoned struct{ ID RequestID }
	// Shutdown means that the node shuts down: each open request gets its final answer now.
	Shutdown struct{}
	// ProbeEnded is the result of a Probe.
	ProbeEnded struct {
		Server  ServerID
		Code    OutcomeCode
		Elapsed time.Duration
		Report  *Report
	}
	// MessageReceived is a message from another node.
	MessageReceived struct {
		From int
		Data []byte
	}
	// TimerFired means that the time of a SetTimer has passed.
	TimerFired struct{ Token int64 }
)

func (RequestArrived) event()   {}
func (ListUpdate) event()       {}
func (AttemptEnded) event()     {}
func (BodyEnded) event()        {}
func (OvertimeStarted) event()  {}
func (StreamStarted) event()    {}
func (RequestAbandoned) event() {}
func (Shutdown) event()         {}
func (ProbeEnded) event()       {}
func (MessageReceived) event()  {}
func (TimerFired) event()       {}

// Action is something that the caller must carry out: one of the types below.
type Action interface{ action() }

// Reason is the cause of a refusal.
type Reason int

const (
	// ByServers means that no server may take the request: all are overloaded, blocking, ejected or cold,
	// or have failed it.
	ByServers Reason = iota
	// ByNode means that the node itself lacks CPU, or is shutting down.
	ByNode
	// ByList means that there is no valid list: it has expired, or none has been confirmed yet.
	ByList
)

// Actions.
type (
	// Send starts an attempt. The attempts of a request are numbered 0, 1, 2 in the order of their Sends.
	Send struct {
		ID      RequestID
		Server  ServerID
		Timeout time.Duration // 0: until the client stops waiting
		// The server may be used for this time, by the list or another node's report. Nothing may be
		// written to it after that. 0: there is no limit.
		UsableFor time.Duration
		Basis     SendBasis // what allows the use of the server
		// The number of requests that all nodes together may send the server within OverloadTime while it
		// is in slow start; 0: it is not in slow start.
		SlowStartLimit int
	}
	// Refuse is a final answer which promises that a new try does no harm.
	Refuse struct {
		ID      RequestID
		HoldOff time.Duration // how long the client should wait before its next try; 0: no advice
		Reason  Reason
	}
	// Fail is a final answer without that promise: the request may have run.
	Fail struct{ ID RequestID }
	// CancelAttempt stops waiting for an attempt's answer.
	CancelAttempt struct {
		ID      RequestID
		Attempt int
	}
	// SetTimer requests a TimerFired with the same token after a time.
	SetTimer struct {
		After time.Duration
		Token int64
	}
	// Probe requests a server's health check and load report. Its result is a ProbeEnded.
	Probe struct{ Server ServerID }
	// SendMessage sends a message to one other node, or to all.
	SendMessage struct {
		To    int
		ToAll bool
		Data  []byte
	}
	// Subscribe opens or closes a watch: a subscription to the list's changes at discovery.
	Subscribe struct{ On bool }
	// FetchList requests the full list from discovery once.
	FetchList struct{}
	// CloseIdle closes this node's idle connections to a server.
	CloseIdle struct{ Server ServerID }
	// Log is a line for the operators' log.
	Log struct{ Line string }
)

func (Send) action()          {}
func (Refuse) action()        {}
func (Fail) action()          {}
func (CancelAttempt) action() {}
func (SetTimer) action()      {}
func (Probe) action()         {}
func (SendMessage) action()   {}
func (Subscribe) action()     {}
func (FetchList) action()     {}
func (CloseIdle) action()     {}
func (Log) action()           {}
