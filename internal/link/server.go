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
	handshakeTimeout  = 3 * time.Second // for the QUIC handshake, and then for HELLO and WELCOME
	idleTimeout       = 3 * time.Second // of QUIC; BEATs are far more frequent
	exchangeTimeout   = 2 * time.Second // for the first frame of an exchange to arrive whole, and for writing its answer
	beatInterval      = 100 * time.Millisecond
	drainPollInterval = 10 * time.Millisecond
	maxAckWait        = time.Second       // after the last hand-off of a drain, for BEATs to acknowledge the answers
	lateAckWait       = beatInterval      // the same after the drain time is over: an answer may come at its end
	queryStreams      = 16                // streams per connection for queries, in addition to those for hand-offs
	maxConns          = 64                // connections from nodes of other sites
	streamWindow      = 256 << 10         // bytes in flight on one stream
	connWindow        = 4 << 20           // bytes in flight on one connection
	maxTimeLeft       = time.Hour         // time left of a hand-off; larger values are cut to this
	codeDone          = 0x0               // QUIC application error code: normal end
	codeMalformed     = 0x1               // malformed frame, or unknown certificate
	codeCancelled     = 0x2               // the client has disconnected
	codeTimeout       = 0x3               // the peer has sent nothing, or not read, for too long
	codeFull          = 0x4               // too many connections or sessions
	epochMask         = uint64(1)<<62 - 1 // a variable-length integer has 62 bits
)

// Handler serves an accepted hand-off: an HTTP/1.1 request from the named site, to be answered within left. ctx ends
// after left, when the client has disconnected, or on Close. It returns the final state for the ledger (Done, Refused
// or Failed) and, if Done, the HTTP/1.1 response.
type Handler func(ctx context.Context, site string, request []byte, left time.Duration) (ledger.State, []byte)

// ServerOptions configures a Server. Headroom returns how many more hand-offs this site's servers can take now, in
// total over all senders; it has to be safe for concurrent use.
type ServerOptions struct {
	Identities  *IdentityStore
	Ledger      ledger.Limits
	MaxHandOffs int // in flight at once, in total over all senders; default 256
	Handle      Handler
	Headroom    func() int
	Log         *slog.Logger
}

// Server accepts hand-offs from nodes of other sites, and keeps the ledger of them. It is safe for concurrent use.
type Server struct {
	options   ServerOptions
	epoch     uint64
	startedAt time.Time
	transport *quic.Transport
	listener  *quic.Listener
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	draining  atomic.Bool // no hand-offs are accepted any more

	mu              sync.Mutex
	ledger          *ledger.Ledger
	connsPerSession map[string]int              // number of connections, by session name
	running         int                         // hand-offs that are being handled
	done            map[handOffID]chan struct{} // closed at the end of each running hand-off, for queries that wait for it
}

// handOffID identifies a hand-off: the session of its sender and its number there.
type handOffID struct {
	session *ledger.Session
	number  uint64
}

// NewServer listens on a UDP socket, which it owns and closes. Serve has to be called to accept connections.
func NewServer(conn net.PacketConn, options ServerOptions) (*Server, error) {
	if options.MaxHandOffs <= 0 {
		options.MaxHandOffs = 256
	}
	server := &Server{options: options, epoch: newEpoch(), startedAt: time.Now(), transport: &quic.Transport{Conn: conn}, ledger: ledger.New(options.Ledger),
		connsPerSession: map[string]int{}, done: map[handOffID]chan struct{}{}}
	server.ctx, server.cancel = context.WithCancel(context.Background())
	var err error
	if server.listener, err = server.transport.Listen(options.Identities.serverTLS(), quicConfig(int64(options.MaxHandOffs+queryStreams))); err != nil {
		conn.Close()
		return nil, fmt.Errorf("link: %w", err)
	}
	return server, nil
}

// newEpoch returns a random number that identifies this process to the other sites.
func newEpoch() uint64 { return rand.Uint64() & epochMask }

// quicConfig returns the QUIC settings of a connection with at most streams incoming streams; -1 allows none.
func quicConfig(streams int64) *quic.Config {
	return &quic.Config{HandshakeIdleTimeout: handshakeTimeout, MaxIdleTimeout: idleTimeout, MaxIncomingStreams: streams, MaxIncomingUniStreams: -1,
		InitialStreamReceiveWindow: streamWindow, MaxStreamReceiveWindow: streamWindow, InitialConnectionReceiveWindow: connWindow, MaxConnectionReceiveWindow: connWindow}
}

// now is the time since the start, as package ledger takes it.
func (s *Server) now() time.Duration { return time.Since(s.startedAt) }

// Serve accepts connections until Close, and then returns net.ErrClosed.
func (s *Server) Serve() error {
	callers := newLimiter(maxConns, &s.wg)
	for {
		conn, err := s.listener.Accept(s.ctx)
		if err != nil {
			if s.ctx.Err() != nil || errors.Is(err, quic.ErrServerClosed) {
				return net.ErrClosed
			}
			return err
		}
		callers.serve(conn, func() {
			err := s.serveConn(conn)
			s.options.Log.Info("link from another site ended", "from", conn.RemoteAddr(), "err", err)
		})
	}
}

// Drain accepts no more hand-offs, but completes those that are running and still answers queries. It returns once the
// senders have acknowledged all answers, or maxAckWait after the last hand-off ended, or at end. For answers that are
// written right at end it waits lateAckWait longer. Acknowledgements matter because a written answer may still be in
// transit: Close would drop it, and its client would wait in vain until its deadline.
func (s *Server) Drain(end time.Time) {
	s.draining.Store(true)
	lastRunning := time.Now() // when a hand-off was last seen running
	for now := time.Now(); now.Before(end.Add(lateAckWait)); now = time.Now() {
		running, unacknowledged := s.pending()
		switch {
		case running > 0 && now.After(end):
			return
		case running > 0:
			lastRunning = now
		case unacknowledged == 0 || now.Sub(lastRunning) > maxAckWait:
			return
		}
		time.Sleep(drainPollInterval)
	}
}

// pending returns the number of running hand-offs, and of ended ones whose answer the sender has not acknowledged.
func (s *Server) pending() (running, unacknowledged int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, s.ledger.Unacknowledged()
}

// Close closes all connections and ends Serve. It returns once all handlers have returned. Further calls do nothing.
func (s *Server) Close() {
	if s.ctx.Err() != nil {
		return
	}
	s.cancel()
	s.listener.Close()
	s.transport.Close()
	s.wg.Wait()
	s.transport.Conn.Close()
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
func (s *Server) serveConn(conn *quic.Conn) error {
	site, err := s.options.Identities.callerName(conn.ConnectionState().TLS.PeerCertificates)
	if err != nil {
		conn.CloseWithError(codeMalformed, "unknown site")
		return err
	}
	ctx, cancel := context.WithTimeout(s.ctx, handshakeTimeout)
	control, err := conn.AcceptStream(ctx)
	cancel()
	if err != nil {
		conn.CloseWithError(codeTimeout, "no control stream")
		return err
	}
	reader := bufio.NewReaderSize(control, controlLimit)
	control.SetDeadline(time.Now().Add(handshakeTimeout))
	_, hello, _, err := readFrame(reader, controlLimit, 3, typeHello)
	if err == nil && hello[0] != version {
		err = fmt.Errorf("%w: got version %d, want %d", errFrame, hello[0], version)
	}
	if err == nil {
		_, err = control.Write(appendFrame(nil, typeWelcome, []uint64{version, s.epoch}, nil))
	}
	if err != nil {
		conn.CloseWithError(codeMalformed, "hello")
		return err
	}
	name := fmt.Sprintf("%s %x", site, hello[1])
	s.mu.Lock()
	session := s.ledger.Attach(s.now(), name, hello[2])
	if session != nil {
		s.connsPerSession[name]++
	}
	s.mu.Unlock()
	if session == nil {
		conn.CloseWithError(codeFull, "too many sessions")
		return errors.New("too many sessions")
	}
	s.options.Log.Info("link from another site", "site", site, "from", conn.RemoteAddr())
	var streams sync.WaitGroup
	defer func() {
		streams.Wait()
		s.mu.Lock()
		session.Detach(s.now())
		if s.connsPerSession[name]--; s.connsPerSession[name] == 0 {
			delete(s.connsPerSession, name)
		}
		s.mu.Unlock()
	}()
	streams.Go(func() {
		for {
			stream, err := conn.AcceptStream(s.ctx)
			if err != nil {
				return
			}
			streams.Go(func() { s.serveStream(site, session, stream) })
		}
	})
	for {
		control.SetDeadline(time.Now().Add(idleTimeout))
		_, beat, _, err := readFrame(reader, controlLimit, 2, typeBeat)
		if err != nil {
			code := quic.ApplicationErrorCode(codeMalformed)
			if !errors.Is(err, errFrame) {
				code = codeTimeout
			}
			conn.CloseWithError(code, "control stream")
			return err
		}
		if s.options.Identities.Get().peerFor(site) == nil {
			conn.CloseWithError(codeDone, "this site has been removed")
			return errors.New("the site has been removed")
		}
		closing, credit := uint64(0), s.creditFor(session, beat[1])
		if s.draining.Load() {
			closing, credit = 1, 0
		}
		if _, err := control.Write(appendFrame(nil, typeCredit, []uint64{beat[0], uint64(credit), closing}, nil)); err != nil {
			conn.CloseWithError(codeTimeout, "control stream")
			return err
		}
	}
}

// creditFor returns how many hand-offs one sender may have in flight: those that it has, plus an equal share of the
// headroom. It also records ack, up to which the sender has acknowledged its hand-offs.
func (s *Server) creditFor(session *ledger.Session, ack uint64) int {
	headroom := max(0, s.options.Headroom())
	s.mu.Lock()
	defer s.mu.Unlock()
	session.Ack(ack)
	headroom = min(headroom, s.options.MaxHandOffs-s.running)
	callers := max(1, len(s.connsPerSession))
	return session.Running() + (headroom+callers-1)/callers // rounded up: little headroom still gives each one
}

// serveStream serves one exchange: a hand-off or a query.
func (s *Server) serveStream(site string, session *ledger.Session, stream *quic.Stream) {
	stream.SetReadDeadline(time.Now().Add(exchangeTimeout))
	typ, fields, request, err := readFrame(bufio.NewReader(stream), requestLimit, 2, typeHandoff, typeAsk)
	if err == nil && typ == typeAsk && len(request) == 0 {
		s.answerQuery(session, stream, fields[0], micros(fields[1]))
		return
	}
	timeLeft := uint64(0)
	if err == nil {
		timeLeft, request, err = readInt(request)
	}
	if err != nil {
		stream.CancelRead(codeMalformed)
		stream.CancelWrite(codeMalformed)
		return
	}
	s.serveHandOff(site, session, stream, fields[0], fields[1], micros(timeLeft), request)
}

// micros converts microseconds from a frame, and cuts them to maxTimeLeft.
func micros(v uint64) time.Duration {
	return time.Duration(min(v, uint64(maxTimeLeft/time.Microsecond))) * time.Microsecond
}

// serveHandOff enters a hand-off into the ledger, runs it if the ledger accepts it, and writes the answer to the
// stream.
func (s *Server) serveHandOff(site string, session *ledger.Session, stream *quic.Stream, number, ack uint64, timeLeft time.Duration, request []byte) {
	id, done := handOffID{session, number}, make(chan struct{})
	s.mu.Lock()
	session.Ack(ack)
	ok, state := false, ledger.Refused
	if !s.draining.Load() && s.running < s.options.MaxHandOffs {
		if ok, state = session.Accept(s.now(), number, s.now()+timeLeft); ok {
			s.running++
			s.done[id] = done
		}
	}
	s.mu.Unlock()
	if !ok {
		s.reply(stream, number, state, nil)
		return
	}
	// The hand-off continues if the connection breaks, as the sender will query for its outcome. It ends early only
	// if the sender cancels the stream because its client has disconnected.
	ctx, cancel := context.WithTimeout(s.ctx, timeLeft)
	defer cancel()
	stop := context.AfterFunc(stream.Context(), func() {
		var streamErr *quic.StreamError
		if errors.As(context.Cause(stream.Context()), &streamErr) && streamErr.ErrorCode == codeCancelled {
			cancel()
		}
	})
	defer stop()
	state, answer := s.options.Handle(ctx, site, request, timeLeft)
	s.mu.Lock()
	session.Finish(s.now(), number, state, answer)
	s.running--
	delete(s.done, id)
	s.mu.Unlock()
	close(done)
	s.reply(stream, number, state, answer)
}

// handleQuery answers a query about a hand-off. While the hand-off is running it waits for the end, up to wait.
func (s *Server) answerQuery(session *ledger.Session, stream *quic.Stream, number uint64, wait time.Duration) {
	s.mu.Lock()
	state, answer, kept := session.Query(s.now(), number)
	done := s.done[handOffID{session, number}]
	s.mu.Unlock()
	if state == ledger.Running && done != nil {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-done:
		case <-timer.C:
		case <-stream.Context().Done():
		case <-s.ctx.Done():
		}
		s.mu.Lock()
		state, answer, kept = session.Query(s.now(), number)
		s.mu.Unlock()
	}
	if state == ledger.Done && !kept {
		state = ledger.Failed // the hand-off has run, but its answer was not kept
	}
	s.reply(stream, number, state, answer)
}

// reply writes an ANSWER frame and closes the stream.
func (s *Server) reply(stream *quic.Stream, number uint64, state ledger.State, answer []byte) {
	stream.SetWriteDeadline(time.Now().Add(exchangeTimeout))
	if _, err := stream.Write(appendFrame(nil, typeAnswer, []uint64{number, uint64(state)}, answer)); err != nil {
		stream.CancelWrite(codeTimeout)
	}
	stream.Close()
	stream.CancelRead(codeDone)
}
