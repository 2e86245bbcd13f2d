package link

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
)

const (
	callLimit   = 16 << 20 // bytes of a request, an answer or a message; the snapshot of a large fleet has to fit
	mostCalls   = 128      // calls served at once for one connection
	mostCallers = 4096     // connections served at once
	callAlive   = time.Second // of QUIC; keeps a connection without calls from its idle timeout
	postQueue   = 256         // messages queued for one receiver; further ones are dropped
	postWait    = 2 * time.Second // for the write of one message
	callDial    = time.Second     // for the address lookup and the handshake
	dialAgain   = 100 * time.Millisecond // after a failed dial, calls to this address fail without a new dial
)

// CallsOptions configures Calls.
type CallsOptions struct {
	Keeper *Keeper
	// Handle serves a call and returns its status and answer. The meaning of kind, status and the bytes is the
	// application's. from is the node name in the caller's certificate. ctx ends when the caller cancels the call or
	// its connection is lost. Without Handle (nil), Calls only makes calls and accepts no connections.
	Handle func(ctx context.Context, from string, kind uint64, request []byte) (status uint64, answer []byte)
	// OnPost receives each one-way message. It must not block: it holds up the later messages of the same sender.
	Posted func(from string, kind uint64, message []byte)
	Log    *slog.Logger
}

// Calls carries calls (a request and its answer) and one-way messages between the nodes of one fleet, over QUIC with
// mutual TLS on one UDP socket. It is safe for concurrent use.
type Calls struct {
	o        CallsOptions
	tr       *quic.Transport
	listener *quic.Listener
	ctx      context.Context
	stop     context.CancelFunc
	work     sync.WaitGroup
	traffic  traffic

	mu    sync.Mutex
	lines map[string]*line // by node name and address, as a connection is authenticated for one node name
}

// endpoint holds the connection to one node at one address, and the messages queued for that node.
type line struct {
	turn   chan struct{} // a lock: holds one token, and its taker may use conn and failed
	conn   *quic.Conn
	failed time.Time // the last failed dial
	posts  chan post
}

// post is one queued one-way message.
type post struct {
	kind    uint64
	message []byte
	sent    func(error) // called with the result; may be nil
}

// NewCalls starts to accept calls on a UDP socket, which it owns and closes. Without o.Handle it only makes calls.
func NewCalls(conn net.PacketConn, o CallsOptions) (*Calls, error) {
	c := &Calls{o: o, tr: &quic.Transport{Conn: conn}, lines: map[string]*line{}}
	c.ctx, c.stop = context.WithCancel(context.Background())
	if o.Handle != nil {
		var err error
		if c.listener, err = c.tr.Listen(o.Keeper.serverTLS(), callConfig(mostCalls)); err != nil {
			conn.Close()
			return nil, fmt.Errorf("fleet link: %w", err)
		}
		c.work.Go(c.accept)
	}
	return c, nil
}

// callConfig returns the QUIC settings of connections for calls: at most streams incoming streams each, and
// keep-alives.
func callConfig(streams int64) *quic.Config {
	q := quicConfig(streams)
	q.KeepAlivePeriod = callAlive
	return q
}

// Close ends all calls and connections, and returns once the handlers have returned.
func (c *Calls) Close() {
	c.stop()
	if c.listener != nil {
		c.listener.Close()
	}
	c.tr.Close()
	c.work.Wait()
	c.tr.Conn.Close()
}

// acceptCallers serves connections of other nodes until Close.
func (c *Calls) accept() {
	callers := newLimiter(mostCallers, &c.work)
	for {
		conn, err := c.listener.Accept(c.ctx)
		if err != nil {
			return
		}
		callers.serve(conn, func() { c.caller(conn) })
	}
}

// serveCaller serves one connection of another node, until it ends or the node is no longer a peer.
func (c *Calls) caller(conn *quic.Conn) {
	from, err := c.o.Keeper.caller(conn.ConnectionState().TLS.PeerCertificates)
	if err != nil {
		conn.CloseWithError(codeMalformed, "unknown caller")
		return
	}
	c.traffic.follow(conn)
	var streams sync.WaitGroup
	defer streams.Wait()
	defer conn.CloseWithError(codeDone, "")
	for {
		st, err := conn.AcceptStream(c.ctx)
		if err != nil {
			return
		}
		if c.o.Keeper.Get().peer(from) == nil {
			return // the peer has been removed from the configuration
		}
		streams.Go(func() { c.stream(conn, from, st) })
	}
}

// serveStream serves one stream of a caller: either one call, or one-way messages until the stream ends.
func (c *Calls) stream(conn *quic.Conn, from string, st *quic.Stream) {
	r := bufio.NewReader(st)
	for posts := false; ; posts = true {
		types := []uint64{typeCall, typePost}
		if posts {
			types = types[1:]
			st.SetReadDeadline(time.Time{}) // no deadline: the idle timeout ends the connection of a lost peer
		} else {
			st.SetReadDeadline(time.Now().Add(streamWait))
		}
		typ, f, payload, err := readFrame(r, callLimit, 1, types...)
		if err != nil {
			st.CancelRead(codeMalformed)
			st.CancelWrite(codeMalformed)
			return
		}
		if typ == typePost {
			c.o.Posted(from, f[0], payload)
			continue
		}
		st.SetReadDeadline(time.Time{})
		status, answer := c.o.Handle(st.Context(), from, f[0], payload)
		st.SetWriteDeadline(time.Now().Add(streamWait))
		if _, err := st.Write(appendFrame(nil, typeReply, []uint64{status}, answer)); err != nil {
			st.CancelWrite(codeSilent)
		}
		st.Close()
		st.CancelRead(codeDone)
		return
	}
}

// endpoint returns the entry of a node at an address, and creates it if there is none.
func (c *Calls) line(name, addr string) *line {
	key := name + " " + addr
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.lines[key]
	if l == nil {
		l = &line{turn: make(chan struct{}, 1), posts: make(chan post, postQueue)}
		l.turn <- struct{}{}
		c.lines[key] = l
	}
	return l
}

// connect returns the connection to a node at an address. If there is none, or it is lost, it dials. One caller at a
// time dials an address; the others wait for it, until ctx ends.
func (c *Calls) reach(ctx context.Context, name, addr string) (*quic.Conn, error) {
	l := c.line(name, addr)
	select {
	case <-l.turn:
	case <-ctx.Done():
		return nil, fmt.Errorf("%s at %s: waiting for the connection: %w", name, addr, ctx.Err())
	}
	defer func() { l.turn <- struct{}{} }()
	if l.conn != nil && l.conn.Context().Err() == nil {
		return l.conn, nil
	}
	if time.Since(l.failed) < dialAgain {
		return nil, fmt.Errorf("%s at %s: the last dial failed moments ago", name, addr)
	}
	if c.o.Keeper.Get().peer(name) == nil {
		return nil, fmt.Errorf("%s is not the name of a peer of this node", name)
	}
	to, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, callDial)
	defer cancel()
	stop := context.AfterFunc(c.ctx, cancel)
	defer stop()
	conn, err := c.tr.Dial(ctx, to, c.o.Keeper.clientTLS(name), callConfig(-1))
	if err != nil {
		l.failed = time.Now()
		return nil, fmt.Errorf("%s at %s: %w", name, addr, err)
	}
	c.traffic.follow(conn)
	l.conn = conn
	return conn, nil
}

// Connected reports whether a node is connected now. While it is being dialed, the result is false.
func (c *Calls) Up(name, addr string) bool {
	l := c.line(name, addr)
	select {
	case <-l.turn:
	default:
		return false // the node is being dialed
	}
	defer func() { l.turn <- struct{}{} }()
	return l.conn != nil && l.conn.Context().Err() == nil
}

// Call sends a request to a node and returns the status and answer that its handler gave. It returns when ctx ends;
// if ctx has no deadline, the exchange takes exchangeTimeout at most. After an error the call may or may not have
// been handled.
func (c *Calls) Call(ctx context.Context, name, addr string, kind uint64, request []byte) (status uint64, answer []byte, err error) {
	conn, err := c.reach(ctx, name, addr)
	if err != nil {
		return 0, nil, err
	}
	st, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return 0, nil, fmt.Errorf("%s at %s: %w", name, addr, err)
	}
	end, ok := ctx.Deadline()
	if !ok {
		end = time.Now().Add(streamWait)
	}
	st.SetDeadline(end)
	stop := context.AfterFunc(ctx, func() { st.CancelRead(codeWithdrawn); st.CancelWrite(codeWithdrawn) })
	defer stop()
	if _, err = st.Write(appendFrame(nil, typeCall, []uint64{kind}, request)); err == nil {
		st.Close()
		var f []uint64
		if _, f, answer, err = readFrame(bufio.NewReader(st), callLimit, 1, typeReply); err == nil {
			c.traffic.called(kind)
			return f[0], answer, nil
		}
	}
	st.CancelRead(codeDone)
	st.CancelWrite(codeDone)
	return 0, nil, fmt.Errorf("%s at %s: %w", name, addr, err)
}

var errPostLost = errors.New("message dropped: the queue is full")

// Post queues a one-way message for a node; a goroutine that StartSender starts sends it. Post never blocks, and the
// message may be lost. onSent, unless nil, is called once with the result: nil when the message was written to the
// stream, which is no proof of its arrival; an error when the queue is full or the write fails.
func (c *Calls) Post(name, addr string, kind uint64, message []byte, sent func(error)) {
	select {
	case c.line(name, addr).posts <- post{kind, message, sent}:
	default:
		if sent != nil {
			sent(errPostLost)
		}
	}
}

// StartSender starts a goroutine that sends the messages queued by Post to a node at an address, in order, until
// Close. All messages share a stream; after a failed write the next message opens a new one.
func (c *Calls) Keep(name, addr string) {
	l := c.line(name, addr)
	c.work.Go(func() {
		var st *quic.Stream
		for {
			var p post
			select {
			case <-c.ctx.Done():
				return
			case p = <-l.posts:
			}
			conn, err := c.reach(c.ctx, name, addr)
			if err == nil && (st == nil || st.Context().Err() != nil) {
				st, err = conn.OpenStream()
			}
			if err == nil {
				st.SetWriteDeadline(time.Now().Add(postWait))
				if _, err = st.Write(appendFrame(nil, typePost, []uint64{p.kind}, p.message)); err != nil {
					st.CancelWrite(codeSilent)
					st = nil
				}
			}
			if p.sent != nil {
				p.sent(err)
			}
		}
	})
}
