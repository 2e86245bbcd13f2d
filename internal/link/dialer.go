package link

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"starlingvalve/internal/core"
	"starlingvalve/internal/cross"
	"starlingvalve/internal/ledger"

	"starlingvalve/decide"
)

const (
	beatTimeout     = time.Second            // a connection is closed when a beat has not been answered within this time
	minRedialWait   = 100 * time.Millisecond // before a path is dialed again; doubles up to maxRedialWait, with jitter
	maxRedialWait   = 2 * time.Second
	answerMargin    = 15 * time.Millisecond  // taken off the time left, for the answer's way from here to the client
	queryWait       = 500 * time.Millisecond // longest time that the receiver holds a query about a running hand-off
	queryRetryPause = 20 * time.Millisecond  // before the next query, after one that failed or found the hand-off running
)

// DialerOptions configures a Dialer.
type DialerOptions struct {
	Identities  *IdentityStore
	MaxHandOffs int    // hand-offs in flight at once to each site; default 256
	Seed        uint64 // of the random jitter of the circuit breakers
	Log         *slog.Logger
}

// Dialer hands requests off to nodes of other sites, over connections that it keeps open to all their addresses. It
// implements core.Remote and is safe for concurrent use.
type Dialer struct {
	options   DialerOptions
	epoch     uint64
	startedAt time.Time
	udp       net.PacketConn
	transport *quic.Transport
	ctx       context.Context
	stop      context.CancelFunc
	wg        sync.WaitGroup

	mu              sync.Mutex
	decider         *cross.Decider
	sites           []*remoteSite
	nextNumber      uint64              // number of the next hand-off
	settledBelow    uint64              // all hand-offs with lower numbers have ended at this side
	unsettled       map[uint64]struct{} // numbers of hand-offs that have not ended
	sessionsChanged chan struct{}       // closed and replaced whenever a connection is set up or lost
}

// remoteSite is one other site.
type remoteSite struct {
	index int // in Identity.Peers at the start, and in the decider
	name  string
	paths []*path
}

// path is one address of a site, with its connection.
type path struct {
	site    *remoteSite
	addr    string
	session *session // nil while there is no connection
	epoch   uint64   // of the process that was last reached at this address; 0: none yet
}

// session is one connection to a node of another site.
type session struct {
	path     *path
	conn     *quic.Conn
	epoch    uint64        // of the process at the other end
	credit   int           // hand-offs that this connection may have in flight at once
	creditAt time.Duration // when that credit was received
	rtt      time.Duration // lowest of the last 16 beats
	inFlight int           // hand-offs in flight
	closing  bool          // the node at the other end drains, or its site has been removed here
}

// NewDialer starts to connect to all addresses of all peers. Sites that a later identity adds are not connected to;
// sites that it removes get no new hand-offs. Close ends it.
func NewDialer(options DialerOptions) (*Dialer, error) {
	if options.MaxHandOffs <= 0 {
		options.MaxHandOffs = 256
	}
	udp, err := net.ListenUDP("udp", nil)
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	dialer := &Dialer{options: options, epoch: newEpoch(), startedAt: time.Now(), udp: udp, transport: &quic.Transport{Conn: udp}, nextNumber: 1, settledBelow: 1, unsettled: map[uint64]struct{}{}, sessionsChanged: make(chan struct{})}
	dialer.ctx, dialer.stop = context.WithCancel(context.Background())
	var names []string
	for i, p := range options.Identities.Get().Peers {
		site := &remoteSite{index: i, name: p.Name}
		names = append(names, p.Name)
		for _, a := range p.Addresses {
			site.paths = append(site.paths, &path{site: site, addr: a})
		}
		dialer.sites = append(dialer.sites, site)
	}
	dialer.decider = cross.New(names, options.MaxHandOffs, options.Seed)
	for _, s := range dialer.sites {
		for _, p := range s.paths {
			dialer.wg.Go(func() { dialer.maintain(p) })
		}
	}
	return dialer, nil
}

// Close closes all connections, and ends the hand-offs that are in flight.
func (d *Dialer) Close() {
	d.stop()
	d.wg.Wait()
	d.transport.Close()
	d.udp.Close()
}

// Views returns the state of all sites, in the order of the configuration.
func (d *Dialer) Views() []cross.View {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.decider.Views(d.now())
}

// now is the time since the start, as package cross takes it.
func (d *Dialer) now() time.Duration { return time.Since(d.startedAt) }

// maintain keeps a path connected until Close: it dials again, with backoff, whenever the connection is lost.
func (d *Dialer) maintain(path *path) {
	wait := minRedialWait
	for d.ctx.Err() == nil {
		startedAt := time.Now()
		err := d.connect(path)
		if time.Since(startedAt) > 2*maxRedialWait {
			wait = minRedialWait // the connection was up for a while, so the backoff starts again
		}
		d.options.Log.Debug("link", "site", path.site.name, "addr", path.addr, "err", err)
		select {
		case <-d.ctx.Done():
		case <-time.After(time.Duration(float64(wait) * (0.5 + rand.Float64()))):
		}
		wait = min(2*wait, maxRedialWait)
	}
}

// connect dials a path and uses the connection until it is lost or the site is removed. It returns why it ended.
func (d *Dialer) connect(path *path) error {
	if d.options.Identities.Get().peerFor(path.site.name) == nil {
		return errors.New("the site has been removed from the configuration")
	}
	addr, err := net.ResolveUDPAddr("udp", path.addr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(d.ctx, handshakeTimeout)
	defer cancel()
	conn, err := d.transport.Dial(ctx, addr, d.options.Identities.clientTLS(path.site.name), quicConfig(-1))
	if err != nil {
		return err
	}
	defer conn.CloseWithError(codeDone, "")
	control, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return err
	}
	d.mu.Lock()
	nextNumber := d.nextNumber
	d.mu.Unlock()
	control.SetDeadline(time.Now().Add(handshakeTimeout))
	if _, err := control.Write(appendFrame(nil, typeHello, []uint64{version, d.epoch, nextNumber}, nil)); err != nil {
		return err
	}
	reader := bufio.NewReaderSize(control, controlLimit)
	_, welcome, _, err := readFrame(reader, controlLimit, 2, typeWelcome)
	if err != nil {
		return err
	}
	current := &session{path: path, conn: conn, epoch: welcome[1]}
	d.mu.Lock()
	path.session, path.epoch = current, current.epoch
	d.notifySessionsChanged()
	d.mu.Unlock()
	d.options.Log.Info("link up", "site", path.site.name, "addr", path.addr)
	err = d.exchangeBeats(current, control, reader)
	d.mu.Lock()
	path.session = nil
	d.notifySessionsChanged()
	up := false
	for _, other := range path.site.paths {
		up = up || other.session != nil
	}
	if !up {
		d.decider.SetLink(d.now(), path.site.index, false)
	}
	d.mu.Unlock()
	d.options.Log.Info("link down", "site", path.site.name, "addr", path.addr, "err", err)
	return err
}

// notifySessionsChanged wakes the hand-offs that wait for a connection. The caller holds d.mu.
func (d *Dialer) notifySessionsChanged() {
	close(d.sessionsChanged)
	d.sessionsChanged = make(chan struct{})
}

// exchangeBeats sends a BEAT every beatInterval and takes the credit from the answer, until the connection fails, an
// answer takes longer than beatTimeout, or the site is removed. The time from a BEAT to its CREDIT is a round trip.
func (d *Dialer) exchangeBeats(current *session, control *quic.Stream, reader *bufio.Reader) error {
	var recent [16]time.Duration
	for seq := uint64(1); ; seq++ {
		if d.options.Identities.Get().peerFor(current.path.site.name) == nil {
			return d.awaitInFlight(current)
		}
		d.mu.Lock()
		ack := d.settledBelow
		d.mu.Unlock()
		sent := time.Now()
		control.SetDeadline(sent.Add(beatTimeout))
		if _, err := control.Write(appendFrame(nil, typeBeat, []uint64{seq, ack}, nil)); err != nil {
			return err
		}
		_, credit, _, err := readFrame(reader, controlLimit, 3, typeCredit)
		if err != nil {
			return err
		}
		if credit[0] != seq {
			return fmt.Errorf("%w: got the CREDIT for beat %d, want beat %d", errFrame, credit[0], seq)
		}
		roundTrip := time.Since(sent)
		recent[seq%uint64(len(recent))] = roundTrip
		for _, t := range recent {
			if t > 0 {
				roundTrip = min(roundTrip, t)
			}
		}
		d.mu.Lock()
		current.credit, current.creditAt, current.rtt, current.closing = int(min(credit[1], 1<<20)), d.now(), roundTrip, credit[2] != 0
		d.updateDecider(current.path.site)
		d.mu.Unlock()
		select {
		case <-d.ctx.Done():
			return d.ctx.Err()
		case <-current.conn.Context().Done():
			return context.Cause(current.conn.Context())
		case <-time.After(beatInterval):
		}
	}
}

// awaitInFlight gives the connection to a removed site no new hand-offs, and waits up to idleTimeout for those in
// flight.
func (d *Dialer) awaitInFlight(current *session) error {
	d.mu.Lock()
	current.closing = true
	d.updateDecider(current.path.site)
	d.mu.Unlock()
	for deadline := time.Now().Add(idleTimeout); time.Now().Before(deadline) && d.ctx.Err() == nil; time.Sleep(beatInterval) {
		d.mu.Lock()
		left := current.inFlight
		d.mu.Unlock()
		if left == 0 {
			break
		}
	}
	return errors.New("the site has been removed from the configuration")
}

// updateDecider passes the total credit of a site's nodes to the decider, from all connections whose credit is current.
// The caller holds d.mu.
func (d *Dialer) updateDecider(site *remoteSite) {
	credit, rtt, up, at := 0, time.Duration(0), false, time.Duration(0)
	seen := map[uint64]bool{} // epochs; two paths may lead to the same node, which counts once
	for _, p := range site.paths {
		if s := p.session; s != nil && !s.closing && !seen[s.epoch] && d.now()-s.creditAt <= cross.CreditLifetime {
			seen[s.epoch], up = true, true
			credit, rtt, at = credit+s.credit, max(rtt, s.rtt), max(at, s.creditAt)
		}
	}
	d.decider.SetLink(d.now(), site.index, up)
	if up {
		d.decider.SetCredit(at, site.index, credit, rtt)
	}
}

// bestSession returns the session of a site with the most unused credit, or nil if none has any. The caller holds d.mu.
func (d *Dialer) bestSession(site *remoteSite) (best *session) {
	for _, p := range site.paths {
		s := p.session
		if s == nil || s.closing || d.now()-s.creditAt > cross.CreditLifetime {
			continue
		}
		if s.credit > s.inFlight && (best == nil || s.credit-s.inFlight > best.credit-best.inFlight) {
			best = s
		}
	}
	return best
}

// outgoing is one hand-off at the sender. It implements core.HandOff.
type outgoing struct {
	dialer  *Dialer
	request *core.Request
	site    *remoteSite
	session *session // on which it is sent
	epoch   uint64   // of the receiving process; only that process knows what became of the hand-off
	number  uint64
	sentAt  time.Time
}

// Offer chooses a site for a request that this site's servers refuse, as core.Remote says; ran means that an attempt
// here may have run. It returns nil if no site takes the request. Otherwise the hand-off counts as in flight, and the
// caller has to call Run.
func (d *Dialer) Offer(r *core.Request, effect decide.Effect, ran bool) core.HandOff {
	d.mu.Lock()
	defer d.mu.Unlock()
	index := d.decider.ChooseSite(d.now(), cross.Request{Effect: effect, TimeLeft: time.Until(r.Deadline) - answerMargin, MayHaveRun: ran, HandedOff: r.Arrived.HandedOff})
	if index < 0 {
		return nil
	}
	chosen := d.bestSession(d.sites[index])
	if chosen == nil {
		d.decider.HandOffEnded(d.now(), index, cross.ClientGone, 0)
		return nil
	}
	handOff := &outgoing{dialer: d, request: r, site: d.sites[index], session: chosen, epoch: chosen.epoch, number: d.nextNumber}
	d.nextNumber++
	d.unsettled[handOff.number] = struct{}{}
	chosen.inFlight++
	return handOff
}

// Run makes the hand-off and returns its answer, as core.HandOff says: answerMargin before the request's deadline at
// the latest. If it is not known by then whether the request ran, the result is HandOffUncertain.
func (h *outgoing) Run(ctx context.Context) (core.Answer, core.HandOffResult) {
	h.sentAt = time.Now()
	answer, outcome := h.exchange(ctx)
	dialer := h.dialer
	dialer.mu.Lock()
	defer dialer.mu.Unlock()
	h.session.inFlight--
	delete(dialer.unsettled, h.number)
	for dialer.settledBelow < dialer.nextNumber {
		if _, open := dialer.unsettled[dialer.settledBelow]; open {
			break
		}
		dialer.settledBelow++
	}
	dialer.decider.HandOffEnded(dialer.now(), h.site.index, outcome, time.Since(h.sentAt))
	switch outcome {
	case cross.Served:
		return answer, core.HandOffServed
	case cross.Rejected, cross.NotReceived:
		return answer, core.HandOffNotRun
	}
	return answer, core.HandOffUncertain
}

// exchange sends the request and reads the answer. If the stream breaks, it queries the receiver for the outcome.
func (h *outgoing) exchange(ctx context.Context) (core.Answer, cross.Outcome) {
	deadline := h.request.Deadline.Add(-answerMargin)
	if ctx.Err() != nil {
		return core.Answer{}, cross.NotReceived // the client left before anything was given to QUIC
	}
	stream, err := h.session.conn.OpenStream()
	if err != nil {
		return core.Answer{}, cross.NotReceived // nothing was given to QUIC
	}
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(codeCancelled)
		stream.CancelWrite(codeCancelled)
	})
	defer stop()
	httpRequest := core.Exchange{Method: h.request.Method, URL: h.request.URL, Header: h.request.Header, Body: h.request.Body, Deadline: deadline}
	var text bytes.Buffer
	httpRequest.WriteHTTP(&text)
	h.dialer.mu.Lock()
	ack, rtt := h.dialer.settledBelow, h.session.rtt
	h.dialer.mu.Unlock()
	timeLeft := max(0, time.Until(deadline)-(rtt+1)/2)
	payload := appendInt(nil, uint64(timeLeft.Microseconds()))
	stream.SetDeadline(deadline)
	_, err = stream.Write(appendFrame(nil, typeHandoff, []uint64{h.number, ack}, append(payload, text.Bytes()...)))
	if err == nil {
		stream.Close()
		state, response, err := h.readAnswer(stream)
		if err == nil {
			return h.outcomeOf(state, response)
		}
	}
	if ctx.Err() != nil {
		return core.Answer{}, cross.ClientGone
	}
	stream.CancelRead(codeDone)
	stream.CancelWrite(codeDone) // if the request was not sent completely, the receiver never sees the rest
	return h.resolve(ctx, deadline)
}

// readAnswer reads an ANSWER frame, of the hand-off or of a query: the state of the hand-off and, if it is Done, the
// response.
func (h *outgoing) readAnswer(stream *quic.Stream) (ledger.State, core.Answer, error) {
	_, fields, text, err := readFrame(bufio.NewReader(stream), answerLimit, 2, typeAnswer)
	if err != nil {
		return 0, core.Answer{}, err
	}
	if fields[0] != h.number || fields[1] > uint64(ledger.Failed) {
		return 0, core.Answer{}, fmt.Errorf("%w: ANSWER for hand-off %d in state %d, want hand-off %d", errFrame, fields[0], fields[1], h.number)
	}
	state := ledger.State(fields[1])
	if state != ledger.Done {
		return state, core.Answer{}, nil
	}
	response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(text)), nil)
	if err != nil {
		return 0, core.Answer{}, fmt.Errorf("%w: %w", errFrame, err)
	}
	defer response.Body.Close()
	var body bytes.Buffer
	if _, err := body.ReadFrom(response.Body); err != nil || response.ContentLength < 0 {
		return 0, core.Answer{}, fmt.Errorf("%w: incomplete response body", errFrame)
	}
	return state, core.Answer{Status: response.StatusCode, Header: response.Header, Body: body.Bytes()}, nil
}

// outcomeOf returns the outcome of a hand-off from its final state at the receiver, with the answer if it was served.
func (h *outgoing) outcomeOf(state ledger.State, answer core.Answer) (core.Answer, cross.Outcome) {
	switch state {
	case ledger.Done:
		return answer, cross.Served
	case ledger.Refused:
		return answer, cross.Rejected
	case ledger.Fenced:
		return answer, cross.NotReceived
	}
	return answer, cross.Uncertain
}

// resolve finds out what became of a hand-off whose stream broke. It queries the receiving process, over any path to
// it, until the outcome is known or the deadline has passed. Another process has another ledger and knows nothing of
// it.
func (h *outgoing) resolve(ctx context.Context, deadline time.Time) (core.Answer, cross.Outcome) {
	for ctx.Err() == nil && time.Now().Before(deadline) {
		current, changed, mayReturn := h.dialer.sessionTo(h.site, h.epoch)
		if !mayReturn {
			return core.Answer{}, cross.Uncertain
		}
		if current != nil {
			state, answer, err := h.query(ctx, current, deadline)
			if err == nil && state != ledger.Running {
				return h.outcomeOf(state, answer)
			}
		}
		timer := time.NewTimer(min(time.Until(deadline), queryRetryPause))
		if current == nil {
			timer.Reset(time.Until(deadline))
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
	if ctx.Err() != nil {
		return core.Answer{}, cross.ClientGone
	}
	return core.Answer{}, cross.Uncertain
}

// query sends one ASK for the hand-off and returns the answer. The receiver holds it while the hand-off is running, for
// queryWait at most.
func (h *outgoing) query(ctx context.Context, current *session, deadline time.Time) (ledger.State, core.Answer, error) {
	stream, err := current.conn.OpenStream()
	if err != nil {
		return 0, core.Answer{}, err
	}
	stop := context.AfterFunc(ctx, func() { stream.CancelRead(codeCancelled) })
	defer stop()
	wait := max(0, min(queryWait, time.Until(deadline)-current.rtt))
	stream.SetDeadline(deadline)
	if _, err := stream.Write(appendFrame(nil, typeAsk, []uint64{h.number, uint64(wait.Microseconds())}, nil)); err != nil {
		stream.CancelWrite(codeDone)
		stream.CancelRead(codeDone)
		return 0, core.Answer{}, err
	}
	stream.Close()
	state, answer, err := h.readAnswer(stream)
	if err != nil {
		stream.CancelRead(codeDone)
	}
	return state, answer, err
}

// sessionTo returns a connection to the process of a site with that epoch. If there is none, changed is closed on the
// next change of connections, and mayReturn tells whether to wait for it: it is false once every path of the site has
// reached another process, as the process with that epoch has then ended and its ledger is lost.
func (d *Dialer) sessionTo(site *remoteSite, epoch uint64) (s *session, changed chan struct{}, mayReturn bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range site.paths {
		if p.session != nil && p.session.epoch == epoch {
			return p.session, d.sessionsChanged, true
		}
		mayReturn = mayReturn || p.epoch == epoch || p.epoch == 0
	}
	return nil, d.sessionsChanged, mayReturn && d.ctx.Err() == nil
}
