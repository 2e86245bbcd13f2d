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
	silence      = time.Second            // a connection is closed when a beat has not been answered within this time
	redialFirst  = 100 * time.Millisecond // before a path is dialed again; doubles up to maxRedialWait, with jitter
	redialLast   = 2 * time.Second
	answerMargin = 15 * time.Millisecond // taken off the time left, for the answer's way from here to the client
	askWait      = 500 * time.Millisecond // longest time that the receiver holds a query about a running hand-off
	askPause     = 20 * time.Millisecond  // before the next query, after one that failed or found the hand-off running
)

// DialerOptions configures a Dialer.
type DialerOptions struct {
	Keeper *Keeper
	Most   int    // hand-offs in flight at once to each site; default 256
	Seed   uint64 // of the random jitter of the circuit breakers
	Log    *slog.Logger
}

// Dialer hands requests off to nodes of other sites, over connections that it keeps open to all their addresses. It
// implements core.Remote and is safe for concurrent use.
type Dialer struct {
	o     DialerOptions
	epoch uint64
	began time.Time
	udp   net.PacketConn
	tr    *quic.Transport
	ctx   context.Context
	stop  context.CancelFunc
	work  sync.WaitGroup

	mu      sync.Mutex
	decider *cross.Decider
	sites   []*farSite
	next    uint64              // number of the next hand-off
	settled uint64              // all hand-offs with lower numbers have ended at this side
	open    map[uint64]struct{} // numbers of hand-offs that have not ended
	changed chan struct{}       // closed and replaced whenever a connection is set up or lost
}

// remoteSite is one other site.
type farSite struct {
	place int // in Identity.Peers at the start, and in the decider
	name  string
	paths []*path
}

// path is one address of a site, with its connection.
type path struct {
	site    *farSite
	addr    string
	session *session // nil while there is no connection
	epoch   uint64   // of the process that was last reached at this address; 0: none yet
}

// session is one connection to a node of another site.
type session struct {
	path    *path
	conn    *quic.Conn
	epoch   uint64        // of the process at the other end
	credit  int           // hand-offs that this connection may have in flight at once
	at      time.Duration // when that credit was received
	rtt     time.Duration // lowest of the last 16 beats
	out     int           // hand-offs in flight
	closing bool          // the node at the other end drains, or its site has been removed here
}

// NewDialer starts to connect to all addresses of all peers. Sites that a later identity adds are not connected to;
// sites that it removes get no new hand-offs. Close ends it.
func NewDialer(o DialerOptions) (*Dialer, error) {
	if o.Most <= 0 {
		o.Most = 256
	}
	udp, err := net.ListenUDP("udp", nil)
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	d := &Dialer{o: o, epoch: newEpoch(), began: time.Now(), udp: udp, tr: &quic.Transport{Conn: udp}, next: 1, settled: 1, open: map[uint64]struct{}{}, changed: make(chan struct{})}
	d.ctx, d.stop = context.WithCancel(context.Background())
	var names []string
	for i, p := range o.Keeper.Get().Peers {
		site := &farSite{place: i, name: p.Name}
		names = append(names, p.Name)
		for _, a := range p.Addresses {
			site.paths = append(site.paths, &path{site: site, addr: a})
		}
		d.sites = append(d.sites, site)
	}
	d.decider = cross.New(names, o.Most, o.Seed)
	for _, s := range d.sites {
		for _, p := range s.paths {
			d.work.Go(func() { d.keep(p) })
		}
	}
	return d, nil
}

// Close closes all connections, and ends the hand-offs that are in flight.
func (d *Dialer) Close() {
	d.stop()
	d.work.Wait()
	d.tr.Close()
	d.udp.Close()
}

// Views returns the state of all sites, in the order of the configuration.
func (d *Dialer) Views() []cross.View {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.decider.Views(d.now())
}

// now is the time since the start, as package cross takes it.
func (d *Dialer) now() time.Duration { return time.Since(d.began) }

// maintain keeps a path connected until Close: it dials again, with backoff, whenever the connection is lost.
func (d *Dialer) keep(p *path) {
	wait := redialFirst
	for d.ctx.Err() == nil {
		began := time.Now()
		err := d.connect(p)
		if time.Since(began) > 2*redialLast {
			wait = redialFirst // the connection was up for a while, so the backoff starts again
		}
		d.o.Log.Debug("link", "site", p.site.name, "addr", p.addr, "err", err)
		select {
		case <-d.ctx.Done():
		case <-time.After(time.Duration(float64(wait) * (0.5 + rand.Float64()))):
		}
		wait = min(2*wait, redialLast)
	}
}

// connect dials a path and uses the connection until it is lost or the site is removed. It returns why it ended.
func (d *Dialer) connect(p *path) error {
	if d.o.Keeper.Get().peer(p.site.name) == nil {
		return errors.New("the site has been removed from the configuration")
	}
	addr, err := net.ResolveUDPAddr("udp", p.addr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(d.ctx, handshakeWait)
	defer cancel()
	c, err := d.tr.Dial(ctx, addr, d.o.Keeper.clientTLS(p.site.name), quicConfig(-1))
	if err != nil {
		return err
	}
	defer c.CloseWithError(codeDone, "")
	control, err := c.OpenStreamSync(ctx)
	if err != nil {
		return err
	}
	d.mu.Lock()
	next := d.next
	d.mu.Unlock()
	control.SetDeadline(time.Now().Add(handshakeWait))
	if _, err := control.Write(appendFrame(nil, typeHello, []uint64{version, d.epoch, next}, nil)); err != nil {
		return err
	}
	r := bufio.NewReaderSize(control, controlLimit)
	_, welcome, _, err := readFrame(r, controlLimit, 2, typeWelcome)
	if err != nil {
		return err
	}
	s := &session{path: p, conn: c, epoch: welcome[1]}
	d.mu.Lock()
	p.session, p.epoch = s, s.epoch
	d.news()
	d.mu.Unlock()
	d.o.Log.Info("link up", "site", p.site.name, "addr", p.addr)
	err = d.beat(s, control, r)
	d.mu.Lock()
	p.session = nil
	d.news()
	up := false
	for _, other := range p.site.paths {
		up = up || other.session != nil
	}
	if !up {
		d.decider.Link(d.now(), p.site.place, false)
	}
	d.mu.Unlock()
	d.o.Log.Info("link down", "site", p.site.name, "addr", p.addr, "err", err)
	return err
}

// notifySessionsChanged wakes the hand-offs that wait for a connection. The caller holds d.mu.
func (d *Dialer) news() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// exchangeBeats sends a BEAT every beatInterval and takes the credit from the answer, until the connection fails, an
// answer takes longer than beatTimeout, or the site is removed. The time from a BEAT to its CREDIT is a round trip.
func (d *Dialer) beat(s *session, control *quic.Stream, r *bufio.Reader) error {
	var recent [16]time.Duration
	for seq := uint64(1); ; seq++ {
		if d.o.Keeper.Get().peer(s.path.site.name) == nil {
			return d.letGo(s)
		}
		d.mu.Lock()
		ack := d.settled
		d.mu.Unlock()
		sent := time.Now()
		control.SetDeadline(sent.Add(silence))
		if _, err := control.Write(appendFrame(nil, typeBeat, []uint64{seq, ack}, nil)); err != nil {
			return err
		}
		_, credit, _, err := readFrame(r, controlLimit, 3, typeCredit)
		if err != nil {
			return err
		}
		if credit[0] != seq {
			return fmt.Errorf("%w: got the CREDIT for beat %d, want beat %d", errFrame, credit[0], seq)
		}
		trip := time.Since(sent)
		recent[seq%uint64(len(recent))] = trip
		for _, t := range recent {
			if t > 0 {
				trip = min(trip, t)
			}
		}
		d.mu.Lock()
		s.credit, s.at, s.rtt, s.closing = int(min(credit[1], 1<<20)), d.now(), trip, credit[2] != 0
		d.tell(s.path.site)
		d.mu.Unlock()
		select {
		case <-d.ctx.Done():
			return d.ctx.Err()
		case <-s.conn.Context().Done():
			return context.Cause(s.conn.Context())
		case <-time.After(beatEvery):
		}
	}
}

// awaitInFlight gives the connection to a removed site no new hand-offs, and waits up to idleTimeout for those in
// flight.
func (d *Dialer) letGo(s *session) error {
	d.mu.Lock()
	s.closing = true
	d.tell(s.path.site)
	d.mu.Unlock()
	for end := time.Now().Add(idleTimeout); time.Now().Before(end) && d.ctx.Err() == nil; time.Sleep(beatEvery) {
		d.mu.Lock()
		left := s.out
		d.mu.Unlock()
		if left == 0 {
			break
		}
	}
	return errors.New("the site has been removed from the configuration")
}

// updateDecider passes the total credit of a site's nodes to the decider, from all connections whose credit is current.
// The caller holds d.mu.
func (d *Dialer) tell(site *farSite) {
	credit, rtt, up, at := 0, time.Duration(0), false, time.Duration(0)
	seen := map[uint64]bool{} // epochs; two paths may lead to the same node, which counts once
	for _, p := range site.paths {
		if s := p.session; s != nil && !s.closing && !seen[s.epoch] && d.now()-s.at <= cross.CreditLife {
			seen[s.epoch], up = true, true
			credit, rtt, at = credit+s.credit, max(rtt, s.rtt), max(at, s.at)
		}
	}
	d.decider.Link(d.now(), site.place, up)
	if up {
		d.decider.Credit(at, site.place, credit, rtt)
	}
}

// bestSession returns the session of a site with the most unused credit, or nil if none has any. The caller holds d.mu.
func (d *Dialer) best(site *farSite) (best *session) {
	for _, p := range site.paths {
		s := p.session
		if s == nil || s.closing || d.now()-s.at > cross.CreditLife {
			continue
		}
		if s.credit > s.out && (best == nil || s.credit-s.out > best.credit-best.out) {
			best = s
		}
	}
	return best
}

// outgoing is one hand-off at the sender. It implements core.HandOff.
type handed struct {
	d      *Dialer
	r      *core.Request
	site   *farSite
	on     *session // on which it is sent
	epoch  uint64   // of the receiving process; only that process knows what became of the hand-off
	number uint64
	sent   time.Time
}

// Offer chooses a site for a request that this site's servers refuse, as core.Remote says; ran means that an attempt
// here may have run. It returns nil if no site takes the request. Otherwise the hand-off counts as in flight, and the
// caller has to call Run.
func (d *Dialer) Offer(r *core.Request, effect decide.Effect, ran bool) core.HandOff {
	d.mu.Lock()
	defer d.mu.Unlock()
	at := d.decider.Offer(d.now(), cross.Request{Effect: effect, Left: time.Until(r.Deadline) - answerMargin, Ran: ran, Came: r.Arrived.HandedOff})
	if at < 0 {
		return nil
	}
	s := d.best(d.sites[at])
	if s == nil {
		d.decider.Ended(d.now(), at, cross.Withdrawn, 0)
		return nil
	}
	h := &handed{d: d, r: r, site: d.sites[at], on: s, epoch: s.epoch, number: d.next}
	d.next++
	d.open[h.number] = struct{}{}
	s.out++
	return h
}

// Run makes the hand-off and returns its answer, as core.HandOff says: answerMargin before the request's deadline at
// the latest. If it is not known by then whether the request ran, the result is HandOffUncertain.
func (h *handed) Run(ctx context.Context) (core.Answer, core.HandOffResult) {
	h.sent = time.Now()
	a, o := h.do(ctx)
	d := h.d
	d.mu.Lock()
	defer d.mu.Unlock()
	h.on.out--
	delete(d.open, h.number)
	for d.settled < d.next {
		if _, open := d.open[d.settled]; open {
			break
		}
		d.settled++
	}
	d.decider.Ended(d.now(), h.site.place, o, time.Since(h.sent))
	switch o {
	case cross.Served:
		return a, core.HandOffServed
	case cross.TurnedAway, cross.Unseen:
		return a, core.HandOffNotRun
	}
	return a, core.HandOffUncertain
}

// exchange sends the request and reads the answer. If the stream breaks, it queries the receiver for the outcome.
func (h *handed) do(ctx context.Context) (core.Answer, cross.Outcome) {
	deadline := h.r.Deadline.Add(-answerMargin)
	if ctx.Err() != nil {
		return core.Answer{}, cross.Unseen // the client left before anything was given to QUIC
	}
	st, err := h.on.conn.OpenStream()
	if err != nil {
		return core.Answer{}, cross.Unseen // nothing was given to QUIC
	}
	stop := context.AfterFunc(ctx, func() {
		st.CancelRead(codeWithdrawn)
		st.CancelWrite(codeWithdrawn)
	})
	defer stop()
	x := core.Exchange{Method: h.r.Method, URL: h.r.URL, Header: h.r.Header, Body: h.r.Body, Deadline: deadline}
	var text bytes.Buffer
	x.WriteHTTP(&text)
	h.d.mu.Lock()
	ack, rtt := h.d.settled, h.on.rtt
	h.d.mu.Unlock()
	left := max(0, time.Until(deadline)-(rtt+1)/2)
	rest := appendInt(nil, uint64(left.Microseconds()))
	st.SetDeadline(deadline)
	_, err = st.Write(appendFrame(nil, typeHandoff, []uint64{h.number, ack}, append(rest, text.Bytes()...)))
	if err == nil {
		st.Close()
		state, a, err := h.answer(st)
		if err == nil {
			return h.judge(state, a)
		}
	}
	if ctx.Err() != nil {
		return core.Answer{}, cross.Withdrawn
	}
	st.CancelRead(codeDone)
	st.CancelWrite(codeDone) // if the request was not sent completely, the receiver never sees the rest
	return h.ask(ctx, deadline)
}

// readAnswer reads an ANSWER frame, of the hand-off or of a query: the state of the hand-off and, if it is Done, the
// response.
func (h *handed) answer(st *quic.Stream) (ledger.State, core.Answer, error) {
	_, f, text, err := readFrame(bufio.NewReader(st), answerLimit, 2, typeAnswer)
	if err != nil {
		return 0, core.Answer{}, err
	}
	if f[0] != h.number || f[1] > uint64(ledger.Failed) {
		return 0, core.Answer{}, fmt.Errorf("%w: ANSWER for hand-off %d in state %d, want hand-off %d", errFrame, f[0], f[1], h.number)
	}
	state := ledger.State(f[1])
	if state != ledger.Done {
		return state, core.Answer{}, nil
	}
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(text)), nil)
	if err != nil {
		return 0, core.Answer{}, fmt.Errorf("%w: %w", errFrame, err)
	}
	defer resp.Body.Close()
	var body bytes.Buffer
	if _, err := body.ReadFrom(resp.Body); err != nil || resp.ContentLength < 0 {
		return 0, core.Answer{}, fmt.Errorf("%w: incomplete response body", errFrame)
	}
	return state, core.Answer{Status: resp.StatusCode, Header: resp.Header, Body: body.Bytes()}, nil
}

// outcomeOf returns the outcome of a hand-off from its final state at the receiver, with the answer if it was served.
func (h *handed) judge(state ledger.State, a core.Answer) (core.Answer, cross.Outcome) {
	switch state {
	case ledger.Done:
		return a, cross.Served
	case ledger.Refused:
		return a, cross.TurnedAway
	case ledger.Fenced:
		return a, cross.Unseen
	}
	return a, cross.Doubt
}

// resolve finds out what became of a hand-off whose stream broke. It queries the receiving process, over any path to
// it, until the outcome is known or the deadline has passed. Another process has another ledger and knows nothing of
// it.
func (h *handed) ask(ctx context.Context, deadline time.Time) (core.Answer, cross.Outcome) {
	for ctx.Err() == nil && time.Now().Before(deadline) {
		s, changed, hope := h.d.reach(h.site, h.epoch)
		if !hope {
			return core.Answer{}, cross.Doubt
		}
		if s != nil {
			state, a, err := h.question(ctx, s, deadline)
			if err == nil && state != ledger.Running {
				return h.judge(state, a)
			}
		}
		timer := time.NewTimer(min(time.Until(deadline), askPause))
		if s == nil {
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
		return core.Answer{}, cross.Withdrawn
	}
	return core.Answer{}, cross.Doubt
}

// query sends one ASK for the hand-off and returns the answer. The receiver holds it while the hand-off is running, for
// queryWait at most.
func (h *handed) question(ctx context.Context, s *session, deadline time.Time) (ledger.State, core.Answer, error) {
	st, err := s.conn.OpenStream()
	if err != nil {
		return 0, core.Answer{}, err
	}
	stop := context.AfterFunc(ctx, func() { st.CancelRead(codeWithdrawn) })
	defer stop()
	wait := max(0, min(askWait, time.Until(deadline)-s.rtt))
	st.SetDeadline(deadline)
	if _, err := st.Write(appendFrame(nil, typeAsk, []uint64{h.number, uint64(wait.Microseconds())}, nil)); err != nil {
		st.CancelWrite(codeDone)
		st.CancelRead(codeDone)
		return 0, core.Answer{}, err
	}
	st.Close()
	state, a, err := h.answer(st)
	if err != nil {
		st.CancelRead(codeDone)
	}
	return state, a, err
}

// sessionTo returns a connection to the process of a site with that epoch. If there is none, changed is closed on the
// next change of connections, and mayReturn tells whether to wait for it: it is false once every path of the site has
// reached another process, as the process with that epoch has then ended and its ledger is lost.
func (d *Dialer) reach(site *farSite, epoch uint64) (s *session, changed chan struct{}, hope bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range site.paths {
		if p.session != nil && p.session.epoch == epoch {
			return p.session, d.changed, true
		}
		hope = hope || p.epoch == epoch || p.epoch == 0
	}
	return nil, d.changed, hope && d.ctx.Err() == nil
}
