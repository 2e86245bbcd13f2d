// Package ops serves the node's second address: whether the process can serve, and its figures. It takes no lock that a
// request holds, and its connections are its own.
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
	// Connections at once. At the bound the oldest makes room: an answer takes no time, so that one has brought no whole call.
	Connections = 8
	// Descriptors is what the second address takes at most: its listener, its connections, and one that has been accepted.
	Descriptors = Connections + 2
	callWait    = 5 * time.Second // for a call, all of it; and again for its answer
	headerLimit = 8 << 10
)

// Server serves the second address on one listener.
type Server struct {
	door   *door
	server *http.Server
}

// New makes a server. healthy tells whether the process can serve; figures writes them. Neither may block.
func New(l *net.TCPListener, healthy func() bool, figures io.WriterTo, log *slog.Logger) *Server {
	s := &Server{door: &door{TCPListener: l}}
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
			figures.WriteTo(w)
		case !healthy():
			http.Error(w, "not able to serve", http.StatusServiceUnavailable)
		default:
			io.WriteString(w, "ok\n")
		}
	}
	s.server = &http.Server{Handler: http.HandlerFunc(handle), ReadTimeout: callWait, WriteTimeout: callWait, MaxHeaderBytes: headerLimit,
		DisableGeneralOptionsHandler: true, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug)}
	s.server.SetKeepAlivesEnabled(false)
	return s
}

// Serve answers calls until Close.
func (s *Server) Serve() error {
	err := s.server.Serve(s.door)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Close ends Serve, and all connections with it.
func (s *Server) Close() { s.server.Close() }

// door bounds the connections of a listener.
type door struct {
	*net.TCPListener
	retry accept.Retry
	mu    sync.Mutex
	open  []*conn // the oldest first
}

// conn embeds *net.TCPConn: net/http would reset connections whose CloseWrite it doesn't see.
type conn struct {
	*net.TCPConn
	owner *door
	once  sync.Once
}

// Accept waits for the next connection. With Connections open already, it closes the oldest. It fails once the listener is
// closed, and for nothing else.
func (d *door) Accept() (net.Conn, error) {
	raw, err := d.AcceptTCP()
	for err != nil && d.retry.After(err) {
		raw, err = d.AcceptTCP()
	}
	if err != nil {
		return nil, err
	}
	d.retry.Reset()
	c := &conn{TCPConn: raw, owner: d}
	d.mu.Lock()
	var oldest *conn
	if len(d.open) >= Connections {
		oldest = d.open[0]
	}
	d.open = append(d.open, c)
	d.mu.Unlock()
	if oldest != nil {
		oldest.Close()
	}
	return c, nil
}

// Close closes the connection and forgets it. From the second call on it returns net.ErrClosed.
func (c *conn) Close() error {
	err := net.ErrClosed
	c.once.Do(func() {
		err = c.TCPConn.Close()
		c.owner.mu.Lock()
		defer c.owner.mu.Unlock()
		for i, o := range c.owner.open {
			if o == c {
				c.owner.open = append(c.owner.open[:i], c.owner.open[i+1:]...)
				return
			}
		}
	})
	return err
}
