// Package ops serves the node's second address, for operations: /healthcheck and /stats. It takes no lock that the
// serving of requests holds, and has its own listener and connections, so that it answers under any load.
package ops

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"starlingvalve/internal/accept"
)

const (
	// MaxConnections is the most connections open at once. A further one replaces the oldest: as answers are written
	// at once, the oldest has most likely not sent a complete call.
	MaxConnections = 8
	// MaxDescriptors is the most file descriptors in use: the listener, the connections, and one just accepted.
	MaxDescriptors = MaxConnections + 2
	callTimeout    = 5 * time.Second // to read a whole call, and again to write its answer
	maxHeaderSize  = 8 << 10         // of a call, in bytes
)

// Server serves the second address on one listener.
type Server struct {
	listener *boundedListener
	server   *http.Server
}

// New returns a server on a listener. healthy reports whether the process can serve requests; metrics writes the
// answer to /stats. Neither may block.
func New(listener *net.TCPListener, healthy func() bool, metrics io.WriterTo, log *slog.Logger) *Server {
	s := &Server{listener: &boundedListener{TCPListener: listener}}
	handle := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Connection", "close")
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		w.Header().Set("Cache-Control", "no-store")
		switch {
		case r.URL.Path != "/healthcheck" && r.URL.Path != "/stats":
			http.Error(w, "no such path", http.StatusNotFound)
		case r.Method != http.MethodGet && r.Method != http.MethodHead:
			w.Header().Set("Allow", "GET, HEAD")
			http.Error(w, "GET only", http.StatusMethodNotAllowed)
		case r.URL.Path == "/stats":
			metrics.WriteTo(w)
		case !healthy():
			http.Error(w, "not able to serve", http.StatusServiceUnavailable)
		default:
			io.WriteString(w, "ok\n")
		}
	}
	s.server = &http.Server{Handler: http.HandlerFunc(handle), ReadTimeout: callTimeout, WriteTimeout: callTimeout,
		MaxHeaderBytes:               maxHeaderSize,
		DisableGeneralOptionsHandler: true, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug)}
	s.server.SetKeepAlivesEnabled(false)
	return s
}

// Serve answers calls until Close, and then returns nil.
func (s *Server) Serve() error {
	err := s.server.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Close ends Serve and closes all connections.
func (s *Server) Close() { s.server.Close() }

// boundedListener limits the number of connections open at once.
type boundedListener struct {
	*net.TCPListener
	retry accept.Retry
	mu    sync.Mutex
	conns []*conn // open connections, the oldest first
}

// conn removes itself from its listener when it is closed. It embeds *net.TCPConn because net/http closes a connection
// with a reset if it has no CloseWrite method.
type conn struct {
	*net.TCPConn
	listener *boundedListener
	once     sync.Once
}

// Accept waits for the next connection. If MaxConnections are open already, it closes the oldest. It retries after
// temporary errors, and fails only once the listener is closed.
func (l *boundedListener) Accept() (net.Conn, error) {
	raw, err := l.AcceptTCP()
	for err != nil && l.retry.After(err) {
		raw, err = l.AcceptTCP()
	}
	if err != nil {
		return nil, err
	}
	l.retry.Reset()
	c := &conn{TCPConn: raw, listener: l}
	l.mu.Lock()
	var oldest *conn
	if len(l.conns) >= MaxConnections {
		oldest = l.conns[0]
	}
	l.conns = append(l.conns, c)
	l.mu.Unlock()
	if oldest != nil {
		oldest.Close()
	}
	return c, nil
}

// Close closes the connection and removes it from its listener. Further calls return net.ErrClosed.
func (c *conn) Close() error {
	err := net.ErrClosed
	c.once.Do(func() {
		err = c.TCPConn.Close()
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		for i, o := range c.listener.conns {
			if o == c {
				c.listener.conns = append(c.listener.conns[:i], c.listener.conns[i+1:]...)
				return
			}
		}
	})
	return err
}
