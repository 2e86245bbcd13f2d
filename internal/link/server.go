package link

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"starlingvalve/internal/ledger"
)

const (
	handshakeWait = 3 * time.Second   // for the QUIC handshake, and then for HELLO and WELCOME
	idleTimeout   = 3 * time.Second   // of QUIC; BEATs are far more frequent
	streamWait    = 2 * time.Second   // for the first frame of an exchange to arrive whole, and for writing its answer
	beatEvery     = 100 * time.Millisecond
	drainLook     = 10 * time.Millisecond
	ackWait       = time.Second       // after the last hand-off of a drain, for BEATs to acknowledge the answers
	ackSlack      = beatEvery         // the same after the drain time is over: an answer may come at its end
	askSlack      = 16                // streams per connection for queries, in addition to those for hand-offs
	mostConns     = 64                // connections from nodes of other sites
	streamWindow  = 256 << 10         // bytes in flight on one stream
	connWindow    = 4 << 20           // bytes in flight on one connection
	longestLeft   = time.Hour         // time left of a hand-off; larger values are cut to this
	codeDone      = 0x0               // QUIC application error code: normal end
	codeMalformed = 0x1               // malformed frame, or unknown certificate
	codeWithdrawn = 0x2               // the client has disconnected
	codeSilent    = 0x3               // timeout
	codeFull      = 0x4               // too many connections or sessions
	epochBits     = uint64(1)<<62 - 1 // a variable-length integer has 62 bits
)

// Handler serves an accepted hand-off: an HTTP/1.1 request from the named site, to be answered within left. ctx ends
// after left, when the client has disconnected, or on Close. It returns the final state for the ledger (Done, Refused
// or Failed) and, if Done, the HTTP/1.1 response.
type Handle func(ctx context.Context, site string, request []byte, left time.Duration) (ledger.State, []byte)

// ServerOptions configures a Server. Headroom returns how many more hand-offs this site's servers can take now, in
// total over all senders; it has to be safe for concurrent use.
type ServerOptions struct {
	Keeper   *Keeper
	Ledger   ledger.Limits
	Handoffs int // in flight at once, in total over all senders; default 256
	Handle   Handle
	Credit   func() int
	Log      *slog.Logger
}

// Server accepts hand-offs from nodes of other sites, and keeps the ledger of them. It is safe for concurrent use.
type Server struct {
	o        ServerOptions
	epoch    uint64
	began    time.Time
	tr       *quic.Transport
	listener *quic.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	work     sync.WaitGroup
	closing  atomic.Bool // no hand-offs are accepted any more

	mu      sync.Mutex
	ledger  *ledger.Ledger
	callers map[string]int            // number of connections, by session name
	running int                       // hand-offs that are being handled
	ended   map[handoff]chan struct{} // closed at the end of each running hand-off, for queries that wait for it
}

// handOffID identifies a hand-off: the session of its sender and its number there.
type handoff struct {
	session *ledger.Session
	number  uint64
}

// NewServer listens on a UDP socket, which it owns and closes. Serve has to be called to accept connections.
func NewServer(conn net.PacketConn, o ServerOptions) (*Server, error) {
	if o.Handoffs <= 0 {
		o.Handoffs = 256
	}
	s := &Server{o: o, epoch: newEpoch(), began: time.Now(), tr: &quic.Transport{Conn: conn}, ledger: ledger.New(o.Ledger),
		callers: map[string]int{}, ended: map[handoff]chan struct{}{}}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	var err error
	if s.listener, err = s.tr.Listen(o.Keeper.serverTLS(), quicConfig(int64(o.Handoffs+askSlack))); err != nil {
		conn.Close()
		return nil, fmt.Errorf("link: %w", err)
	}
	return s, nil
}

// newEpoch returns a random number that identifies this process to the other sites.
func newEpoch() uint64 { return rand.Uint64() & epochBits }

// quicConfig returns the QUIC settings of a connection with at most streams incoming streams; -1 allows none.
func quicConfig(streams int64) *quic.Config {
	return &quic.Config{HandshakeIdleTimeout: handshakeWait, MaxIdleTimeout: idleTimeout, MaxIncomingStreams: streams, MaxIncomingUniStreams: -1,
		InitialStreamReceiveWindow: streamWindow, MaxStreamReceiveWindow: streamWindow, InitialConnectionReceiveWindow: connWindow, MaxConnectionReceiveWindow: connWindow}
}

// now is the time since the start, as package ledger takes it.
func (s *Server) now() time.Duration { return time.Since(s.began) }

// Serve accepts connections until Close, and then returns net.ErrClosed.
func (s *Server) Serve() error {
	callers := newLimiter(mostConns, &s.work)
	for {
		c, err := s.listener.Accept(s.ctx)
		if err != nil {
			if s.ctx.Err() != nil || errors.Is(err, quic.ErrServerClosed) {
				return net.ErrClosed
			}
			return err
		}
		callers.serve(c, func() {
			err := s.caller(c)
			s.o.Log.Info("link from another site ended", "from", c.RemoteAddr(), "err", err)
		})
	}
}

// Drain accepts no more hand-offs, but completes those that are running and still answers queries. It returns once the
// senders have acknowledged all answers, or maxAckWait after the last hand-off ended, or at end. For answers that are
// written right at end it waits lateAckWait longer. Acknowledgements matter because a written answer may still be in
// transit: Close would drop it, and its client would wait in vain until its deadline.
func (s *Server) Drain(end time.Time) {
	s.closing.Store(true)
	ended := time.Now() // when a hand-off was last seen running
	for now := time.Now(); now.Before(end.Add(ackSlack)); now = time.Now() {
		running, owed := s.left()
		switch {
		case running > 0 && now.After(end):
			return
		case running > 0:
			ended = now
		case owed == 0 || now.Sub(ended) > ackWait:
			return
		}
		time.Sleep(drainLook)
	}
}

// pending returns the number of running hand-offs, and of ended ones whose answer the sender has not acknowledged.
func (s *Server) left() (running, owed int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, s.ledger.Owed()
}

// Close closes all connections and ends Serve. It returns once all handlers have returned. Further calls do nothing.
func (s *Server) Close() {
	if s.ctx.Err() != nil {
		return
	}
	s.cancel()
	s.listener.Close()
	s.tr.Close()
	s.work.Wait()
	s.tr.Conn.Close()
}

// Size returns the number of entries in the ledger, the bytes of kept answers, the number of sessions, and the number
// of running hand-offs.
func (s *Server) Size() (entries, bytes, sessions, running int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries, bytes, sessions = s.ledger.Size()
	return entries, bytes, sessions, s.running
}

// serveConn serves one connection from a node of another site, and returns why it ended.
func (s *Server) caller(c *quic.Conn) error {
	site, err := s.o.Keeper.caller(c.ConnectionState().TLS.PeerCertificates)
	if err != nil {
		c.CloseWithError(codeMalformed, "unknown site")
		return err
	}
	ctx, cancel := context.WithTimeout(s.ctx, handshakeWait)
	control, err := c.AcceptStream(ctx)
	cancel()
	if err != nil {
		c.CloseWithError(codeSilent, "no control stream")
		return err
	}
	r := bufio.NewReaderSize(control, controlLimit)
	control.SetDeadline(time.Now().Add(handshakeWait))
	_, hello, _, err := readFrame(r, controlLimit, 3, typeHello)
	if err == nil && hello[0] != version {
		err = fmt.Errorf("%w: got version %d, want %d", errFrame, hello[0], version)
	}
	if err == nil {
		_, err = control.Write(appendFrame(nil, typeWelcome, []uint64{version, s.epoch}, nil))
	}
	if err != nil {
		c.CloseWithError(codeMalformed, "hello")
		return err
	}
	name := fmt.Sprintf("%s %x", site, hello[1])
	s.mu.Lock()
	session := s.ledger.Attach(s.now(), name, hello[2])
	if session != nil {
		s.callers[name]++
	}
	s.mu.Unlock()
	if session == nil {
		c.CloseWithError(codeFull, "too many sessions")
		return errors.New("too many sessions")
	}
	s.o.Log.Info("link from another site", "site", site, "from", c.RemoteAddr())
	var streams sync.WaitGroup
	defer func() {
		streams.Wait()
		s.mu.Lock()
		session.Detach(s.now())
		if s.callers[name]--; s.callers[name] == 0 {
			delete(s.callers, name)
		}
		s.mu.Unlock()
	}()
	streams.Go(func() {
		for {
			st, err := c.AcceptStream(s.ctx)
			if err != nil {
				return
			}
			streams.Go(func() { s.exchange(site, session, st) })
		}
	})
	for {
		control.SetDeadline(time.Now().Add(idleTimeout))
		_, beat, _, err := readFrame(r, controlLimit, 2, typeBeat)
		if err != nil {
			code := quic.ApplicationErrorCode(codeMalformed)
			if !errors.Is(err, errFrame) {
				code = codeSilent
			}
			c.CloseWithError(code, "control stream")
			return err
		}
		if s.o.Keeper.Get().peer(site) == nil {
			c.CloseWithError(codeDone, "this site has been removed")
			return errors.New("the site has been removed")
		}
		closing, credit := uint64(0), s.credit(session, beat[1])
		if s.closing.Load() {
			closing, credit = 1, 0
		}
		if _, err := control.Write(appendFrame(nil, typeCredit, []uint64{beat[0], uint64(credit), closing}, nil)); err != nil {
			c.CloseWithError(codeSilent, "control stream")
			return err
		}
	}
}

// creditFor returns how many hand-offs one sender may have in flight: those that it has, plus an equal share of the
// headroom. It also records ack, up to which the sender has acknowledged its hand-offs.
func (s *Server) credit(session *ledger.Session, ack uint64) int {
	spare := max(0, s.o.Credit())
	s.mu.Lock()
	defer s.mu.Unlock()
	session.Ack(ack)
	spare = min(spare, s.o.Handoffs-s.running)
	callers := max(1, len(s.callers))
	return session.Running() + (spare+callers-1)/callers // rounded up: little headroom still gives each one
}

// serveStream serves one exchange: a hand-off or a query.
func (s *Server) exchange(site string, session *ledger.Session, st *quic.Stream) {
	st.SetReadDeadline(time.Now().Add(streamWait))
	typ, f, request, err := readFrame(bufio.NewReader(st), requestLimit, 2, typeHandoff, typeAsk)
	if err == nil && typ == typeAsk && len(request) == 0 {
		s.question(session, st, f[0], micros(f[1]))
		return
	}
	left := uint64(0)
	if err == nil {
		left, request, err = cutInt(request)
	}
	if err != nil {
		st.CancelRead(codeMalformed)
		st.CancelWrite(codeMalformed)
		return
	}
	s.handoff(site, session, st, f[0], f[1], micros(left), request)
}

// micros converts microseconds from a frame, and cuts them to maxTimeLeft.
func micros(v uint64) time.Duration {
	return time.Duration(min(v, uint64(longestLeft/time.Microsecond))) * time.Microsecond
}

// serveHandOff enters a hand-off into the ledger, runs it if the ledger accepts it, and writes the answer to the
// stream.
func (s *Server) handoff(site string, session *ledger.Session, st *quic.Stream, number, ack uint64, left time.Duration, request []byte) {
	id, done := handoff{session, number}, make(chan struct{})
	s.mu.Lock()
	session.Ack(ack)
	ok, state := false, ledger.Refused
	if !s.closing.Load() && s.running < s.o.Handoffs {
		if ok, state = session.Take(s.now(), number, s.now()+left); ok {
			s.running++
			s.ended[id] = done
		}
	}
	s.mu.Unlock()
	if !ok {
		s.reply(st, number, state, nil)
		return
	}
	// The hand-off continues if the connection breaks, as the sender will query for its outcome. It ends early only
	// if the sender cancels the stream because its client has disconnected.
	ctx, cancel := context.WithTimeout(s.ctx, left)
	defer cancel()
	stop := context.AfterFunc(st.Context(), func() {
		var withdrawn *quic.StreamError
		if errors.As(context.Cause(st.Context()), &withdrawn) && withdrawn.ErrorCode == codeWithdrawn {
			cancel()
		}
	})
	defer stop()
	state, answer := s.o.Handle(ctx, site, request, left)
	s.mu.Lock()
	session.Finish(s.now(), number, state, answer)
	s.running--
	delete(s.ended, id)
	s.mu.Unlock()
	close(done)
	s.reply(st, number, state, answer)
}

// answerQuery answers a query about a hand-off. While the hand-off is running it waits for the end, up to wait.
func (s *Server) question(session *ledger.Session, st *quic.Stream, number uint64, wait time.Duration) {
	s.mu.Lock()
	state, answer, kept := session.Ask(s.now(), number)
	done := s.ended[handoff{session, number}]
	s.mu.Unlock()
	if state == ledger.Running && done != nil {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-done:
		case <-timer.C:
		case <-st.Context().Done():
		case <-s.ctx.Done():
		}
		s.mu.Lock()
		state, answer, kept = session.Ask(s.now(), number)
		s.mu.Unlock()
	}
	if state == ledger.Done && !kept {
		state = ledger.Failed // the hand-off has run, but its answer was not kept
	}
	s.reply(st, number, state, answer)
}

// reply writes an ANSWER frame and closes the stream.
func (s *Server) reply(st *quic.Stream, number uint64, state ledger.State, answer []byte) {
	st.SetWriteDeadline(time.Now().Add(streamWait))
	if _, err := st.Write(appendFrame(nil, typeAnswer, []uint64{number, uint64(state)}, answer)); err != nil {
		st.CancelWrite(codeSilent)
	}
	st.Close()
	st.CancelRead(codeDone)
}
