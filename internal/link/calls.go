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
	maxCallSize       = 16 << 20               // bytes of a request, answer or message; a large fleet's snapshot has to fit
	maxCallsPerCaller = 128                    // calls served at once for one connection
	maxCallers        = 4096                   // connections served at once
	keepAliveInterval = time.Second            // of QUIC; keeps a connection without calls from its idle timeout
	postQueueLength   = 256                    // messages queued for one receiver; further ones are dropped
	postWriteTimeout  = 2 * time.Second        // for the write of one message
	callDialTimeout   = time.Second            // for the address lookup and the handshake
	redialPause       = 100 * time.Millisecond // after a failed dial, calls to this address fail without a new dial
)

// CallsOptions configures Calls.
type CallsOptions struct {
	Identities *IdentityStore
	// Handle serves a call and returns its status and answer. The meaning of kind, status and the bytes is the
	// application's. from is the node name in the caller's certificate. ctx ends when the caller cancels the call or
	// its connection is lost. Without Handle (nil), Calls only makes calls and accepts no connections.
	Handle func(ctx context.Context, from string, kind uint64, request []byte) (status uint64, answer []byte)
	// OnPost receives each one-way message. It must not block: it holds up the later messages of the same sender.
	OnPost func(from string, kind uint64, message []byte)
	Log    *slog.Logger
}

// Calls carries calls (a request and its answer) and one-way messages between the nodes of one fleet, over QUIC with
// mutual TLS on one UDP socket. It is safe for concurrent use.
type Calls struct {
	options   CallsOptions
	transport *quic.Transport
	listener  *quic.Listener
	ctx       context.Context
	stop      context.CancelFunc
	wg        sync.WaitGroup
	traffic   traffic

	mu        sync.Mutex
	endpoints map[string]*endpoint // by node name and address, as a connection is authenticated for one node name
}

// endpoint holds the connection to one node at one address, and the messages queued for that node.
type endpoint struct {
	lock     chan struct{} // a lock: holds one token, and its taker may use conn and failed
	conn     *quic.Conn
	failedAt time.Time // the last failed dial
	posts    chan post
}

// post is one queued one-way message.
type post struct {
	kind    uint64
	message []byte
	onSent  func(error) // called with the result; may be nil
}

// NewCalls starts to accept calls on a UDP socket, which it owns and closes. Without o.Handle it only makes calls.
func NewCalls(conn net.PacketConn, o CallsOptions) (*Calls, error) {
	c := &Calls{options: o, transport: &quic.Transport{Conn: conn}, endpoints: map[string]*endpoint{}}
	c.ctx, c.stop = context.WithCancel(context.Background())
	if o.Handle != nil {
		var err error
		if c.listener, err = c.transport.Listen(o.Identities.serverTLS(), callConfig(maxCallsPerCaller)); err != nil {
			conn.Close()
			return nil, fmt.Errorf("fleet link: %w", err)
		}
		c.wg.Go(c.acceptCallers)
	}
	return c, nil
}

// callConfig returns the QUIC settings of connections for calls: at most streams incoming streams each, and
// keep-alives.
func callConfig(streams int64) *quic.Config {
	q := quicConfig(streams)
	q.KeepAlivePeriod = keepAliveInterval
	return q
}

// Close ends all calls and connections, and returns once the handlers have returned.
func (c *Calls) Close() {
	c.stop()
	if c.listener != nil {
		c.listener.Close()
	}
	c.transport.Close()
	c.wg.Wait()
	c.transport.Conn.Close()
}

// acceptCallers serves connections of other nodes until Close.
func (c *Calls) acceptCallers() {
	callers := newLimiter(maxCallers, &c.wg)
	for {
		conn, err := c.listener.Accept(c.ctx)
		if err != nil {
			return
		}
		callers.serve(conn, func() { c.serveCaller(conn) })
	}
}

// serveCaller serves one connection of another node, until it ends or the node is no longer a peer.
func (c *Calls) serveCaller(conn *quic.Conn) {
	from, err := c.options.Identities.callerName(conn.ConnectionState().TLS.PeerCertificates)
	if err != nil {
		conn.CloseWithError(codeMalformed, "unknown caller")
		return
	}
	c.traffic.track(conn)
	var streams sync.WaitGroup
	defer streams.Wait()
	defer conn.CloseWithError(codeDone, "")
	for {
		stream, err := conn.AcceptStream(c.ctx)
		if err != nil {
			return
		}
		if c.options.Identities.Get().peerFor(from) == nil {
			return // the peer has been removed from the configuration
		}
		streams.Go(func() { c.serveStream(conn, from, stream) })
	}
}

// serveStream serves one stream of a caller: either one call, or one-way messages until the stream ends.
func (c *Calls) serveStream(conn *quic.Conn, from string, stream *quic.Stream) {
	reader := bufio.NewReader(stream)
	for carriesPosts := false; ; carriesPosts = true {
		types := []uint64{typeCall, typePost}
		if carriesPosts {
			types = types[1:]
			stream.SetReadDeadline(time.Time{}) // no deadline: the idle timeout ends the connection of a lost peer
		} else {
			stream.SetReadDeadline(time.Now().Add(exchangeTimeout))
		}
		typ, fields, payload, err := readFrame(reader, maxCallSize, 1, types...)
		if err != nil {
			stream.CancelRead(codeMalformed)
			stream.CancelWrite(codeMalformed)
			return
		}
		if typ == typePost {
			c.options.OnPost(from, fields[0], payload)
			continue
		}
		stream.SetReadDeadline(time.Time{})
		status, answer := c.options.Handle(stream.Context(), from, fields[0], payload)
		stream.SetWriteDeadline(time.Now().Add(exchangeTimeout))
		if _, err := stream.Write(appendFrame(nil, typeReply, []uint64{status}, answer)); err != nil {
			stream.CancelWrite(codeTimeout)
		}
		stream.Close()
		stream.CancelRead(codeDone)
		return
	}
}

// endpoint returns the entry of a node at an address, and creates it if there is none.
func (c *Calls) endpoint(name, addr string) *endpoint {
	key := name + " " + addr
	c.mu.Lock()
	defer c.mu.Unlock()
	found := c.endpoints[key]
	if found == nil {
		found = &endpoint{lock: make(chan struct{}, 1), posts: make(chan post, postQueueLength)}
		found.lock <- struct{}{}
		c.endpoints[key] = found
	}
	return found
}

// connect returns the connection to a node at an address. If there is none, or it is lost, it dials. One caller at a
// time dials an address; the others wait for it, until ctx ends.
func (c *Calls) connect(ctx context.Context, name, addr string) (*quic.Conn, error) {
	endpoint := c.endpoint(name, addr)
	select {
	case <-endpoint.lock:
	case <-ctx.Done():
		return nil, fmt.Errorf("%s at %s: waiting for the connection: %w", name, addr, ctx.Err())
	}
	defer func() { endpoint.lock <- struct{}{} }()
	if endpoint.conn != nil && endpoint.conn.Context().Err() == nil {
		return endpoint.conn, nil
	}
	if time.Since(endpoint.failedAt) < redialPause {
		return nil, fmt.Errorf("%s at %s: the last dial failed moments ago", name, addr)
	}
	if c.options.Identities.Get().peerFor(name) == nil {
		return nil, fmt.Errorf("%s is not the name of a peer of this node", name)
	}
	udpAddr, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, callDialTimeout)
	defer cancel()
	stop := context.AfterFunc(c.ctx, cancel)
	defer stop()
	conn, err := c.transport.Dial(ctx, udpAddr, c.options.Identities.clientTLS(name), callConfig(-1))
	if err != nil {
		endpoint.failedAt = time.Now()
		return nil, fmt.Errorf("%s at %s: %w", name, addr, err)
	}
	c.traffic.track(conn)
	endpoint.conn = conn
	return conn, nil
}

// Connected reports whether a node is connected now. While it is being dialed, the result is false.
func (c *Calls) Connected(name, addr string) bool {
	endpoint := c.endpoint(name, addr)
	select {
	case <-endpoint.lock:
	default:
		return false // the node is being dialed
	}
	defer func() { endpoint.lock <- struct{}{} }()
	return endpoint.conn != nil && endpoint.conn.Context().Err() == nil
}

// Call sends a request to a node and returns the status and answer that its handler gave. It returns when ctx ends;
// if ctx has no deadline, the exchange takes exchangeTimeout at most. After an error the call may or may not have
// been handled.
func (c *Calls) Call(ctx context.Context, name, addr string, kind uint64, request []byte) (status uint64, answer []byte, err error) {
	conn, err := c.connect(ctx, name, addr)
	if err != nil {
		return 0, nil, err
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return 0, nil, fmt.Errorf("%s at %s: %w", name, addr, err)
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(exchangeTimeout)
	}
	stream.SetDeadline(deadline)
	stop := context.AfterFunc(ctx, func() { stream.CancelRead(codeCancelled); stream.CancelWrite(codeCancelled) })
	defer stop()
	if _, err = stream.Write(appendFrame(nil, typeCall, []uint64{kind}, request)); err == nil {
		stream.Close()
		var fields []uint64
		if _, fields, answer, err = readFrame(bufio.NewReader(stream), maxCallSize, 1, typeReply); err == nil {
			c.traffic.countCall(kind)
			return fields[0], answer, nil
		}
	}
	stream.CancelRead(codeDone)
	stream.CancelWrite(codeDone)
	return 0, nil, fmt.Errorf("%s at %s: %w", name, addr, err)
}

var errPostLost = errors.New("message dropped: the queue is full")

// Post queues a one-way message for a node; a goroutine that StartSender starts sends it. Post never blocks, and the
// message may be lost. onSent, unless nil, is called once with the result: nil when the message was written to the
// stream, which is no proof of its arrival; an error when the queue is full or the write fails.
func (c *Calls) Post(name, addr string, kind uint64, message []byte, onSent func(error)) {
	select {
	case c.endpoint(name, addr).posts <- post{kind, message, onSent}:
	default:
		if onSent != nil {
			onSent(errPostLost)
		}
	}
}

// StartSender starts a goroutine that sends the messages queued by Post to a node at an address, in order, until
// Close. All messages share a stream; after a failed write the next message opens a new one.
func (c *Calls) StartSender(name, addr string) {
	endpoint := c.endpoint(name, addr)
	c.wg.Go(func() {
		var stream *quic.Stream
		for {
			var message post
			select {
			case <-c.ctx.Done():
				return
			case message = <-endpoint.posts:
			}
			conn, err := c.connect(c.ctx, name, addr)
			if err == nil && (stream == nil || stream.Context().Err() != nil) {
				stream, err = conn.OpenStream()
			}
			if err == nil {
				stream.SetWriteDeadline(time.Now().Add(postWriteTimeout))
				if _, err = stream.Write(appendFrame(nil, typePost, []uint64{message.kind}, message.message)); err != nil {
					stream.CancelWrite(codeTimeout)
					stream = nil
				}
			}
			if message.onSent != nil {
				message.onSent(err)
			}
		}
	})
}
