package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Work is what a class of requests asks of a server that is warm.
type Work struct {
	Time  time.Duration // on one core; 0: answered at once, on no core
	Bytes int           // of the answer's body, at least what its first line takes
}

// ServerOptions describe a stand-in server. The zero value has no bound on cores or room, is warm and answers at once.
type ServerOptions struct {
	Name, Zone, Kind string
	Cell             int
	Cores            int           // requests worked on at once; 0: any number
	Room             int           // requests held, worked on or waiting; beyond, 503 with X-Unprocessed; 0: any number
	ColdFrom         float64       // part of the speed at the start; 0: warm from the start
	ColdTime         time.Duration // until it is warm
	Dedup            *Dedup        // shared by the servers of a cell; nil: keys mean nothing
}

// Dedup is what the servers of one cell know of keys.
type Dedup struct {
	Window time.Duration

	mu   sync.Mutex
	seen map[string]time.Time
}

// fresh tells whether a key is new to the cell, and notes it.
func (d *Dedup) fresh(key string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.seen == nil {
		d.seen = map[string]time.Time{}
	}
	at, ok := d.seen[key]
	if ok && now.Sub(at) < d.Window {
		return false
	}
	d.seen[key] = now
	return true
}

// Execution is one line of a server's log: a request that reached it whole.
type Execution struct {
	Server, ID, Class, Order, Key string
	Got                           time.Time     // when its last byte had come
	Told                          time.Duration // X-Time-Left; 0: none
	Work                          time.Duration // that it asks of a warm core
	Ran                           bool          // else it was turned away unseen
	Repeat                        bool          // of a key: answered, with no effect
}

// Server is a stand-in for a clip server. It serves HTTP/1.1 on a port of 127.0.0.1 that the kernel chose.
type Server struct {
	ServerOptions
	Addr    string
	Started time.Time

	listener net.Listener
	sides    []net.Listener // under mu
	cores    chan struct{}
	held     atomic.Int64
	factor   atomic.Int64 // by which its work takes longer, in thousandths
	mute     atomic.Bool
	stop     chan struct{}
	running  sync.WaitGroup

	mu     sync.Mutex
	work   map[string]Work
	conns  map[net.Conn]bool
	closed bool
	log    []Execution
	logOff bool
	dials  int
}

// NewServer starts a server. Close ends it.
func NewServer(o ServerOptions, work map[string]Work) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("server %s: %w", o.Name, err)
	}
	s := &Server{ServerOptions: o, Addr: l.Addr().String(), Started: time.Now(), listener: l, stop: make(chan struct{}),
		work: work, conns: map[net.Conn]bool{}}
	s.factor.Store(1000)
	if o.Cores > 0 {
		s.cores = make(chan struct{}, o.Cores)
	}
	s.running.Go(func() { s.accept(l, Side{}) })
	return s, nil
}

// Side is what becomes of requests that come through a second listener.
type Side struct {
	Slower float64                 // their work takes so many times as long; 0: as long as any
	Fails  func(class string) bool // they are answered 500 and not run; nil: none is
}

// SideListener opens a second listener of the server, which treats requests as o says, and gives its address.
func (s *Server) SideListener(o Side) (addr string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("server %s: %w", s.Name, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		l.Close()
		return "", fmt.Errorf("server %s: it is closed", s.Name)
	}
	s.sides = append(s.sides, l)
	s.running.Go(func() { s.accept(l, o) })
	return l.Addr().String(), nil
}

// SetWork changes what requests ask, of those that begin from now on.
func (s *Server) SetWork(work map[string]Work) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.work = work
}

// Slow makes all work take so many times as long, from now on.
func (s *Server) Slow(factor float64) { s.factor.Store(int64(1000 * factor)) }

// Mute has the server take requests and answer none, or ends that.
func (s *Server) Mute(on bool) { s.mute.Store(on) }

// SetLog turns the log of executions on, as it is at the start, or off, and empties it.
func (s *Server) SetLog(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logOff, s.log = !on, nil
}

// Log gives the executions so far.
func (s *Server) Log() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution(nil), s.log...)
}

// Dials is the number of connections it has accepted.
func (s *Server) Dials() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dials
}

// Held is the number of requests that it holds now.
func (s *Server) Held() int { return int(s.held.Load()) }

// Close ends the server at once, as a process that dies: its connections break.
func (s *Server) Close() {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	close(s.stop)
	s.listener.Close()
	for _, l := range s.sides {
		l.Close()
	}
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.running.Wait()
}

func (s *Server) accept(l net.Listener, side Side) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.closed {
			s.mu.Unlock()
			c.Close()
			return
		}
		s.conns[c] = true
		s.dials++
		s.mu.Unlock()
		s.running.Go(func() {
			s.serve(c, side)
			c.Close()
			s.mu.Lock()
			defer s.mu.Unlock()
			delete(s.conns, c)
		})
	}
}

// serve takes requests from a connection, one at a time, until it ends. Waits have no deadline of their own: Close ends
// them all.
func (s *Server) serve(c net.Conn, side Side) {
	r := bufio.NewReaderSize(c, lineLimit)
	var out, body []byte
	for {
		h, err := readHead(r)
		if err != nil {
			return
		}
		if h.length > 0 {
			if cap(body) < h.length {
				body = make([]byte, h.length)
			}
			if _, err := io.ReadFull(r, body[:h.length]); err != nil {
				return
			}
		}
		out = s.answer(out[:0], h, side)
		if out == nil {
			return
		}
		if _, err := c.Write(out); err != nil {
			return
		}
	}
}

// answer works on a request and gives the answer's bytes, or nil if there is to be none.
func (s *Server) answer(out []byte, h head, side Side) []byte {
	got := time.Now()
	path, query, _ := strings.Cut(h.first[1], "?")
	class, rest, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	if class == "health" || class == "stats" {
		return fmt.Appendf(out, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(rest), rest)
	}
	s.mu.Lock()
	w, known := s.work[class]
	s.mu.Unlock()
	if !known || h.id == "" {
		return append(out, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"...)
	}
	e := Execution{Server: s.Name, ID: h.id, Class: class, Key: h.key, Got: got, Work: w.Time}
	if seconds, err := strconv.ParseFloat(h.left, 64); err == nil {
		e.Told = time.Duration(seconds * float64(time.Second))
	}
	if values, err := url.ParseQuery(query); err == nil {
		e.Order = values.Get("obj")
	}
	held := int(s.held.Add(1))
	defer s.held.Add(-1)
	if s.Room > 0 && held > s.Room {
		s.note(e)
		return append(out, "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"...)
	}
	if side.Fails != nil && side.Fails(class) {
		return append(out, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"...)
	}
	e.Ran = true
	if h.key != "" && s.Dedup != nil {
		e.Repeat = !s.Dedup.fresh(h.key, got)
	}
	s.note(e)
	if s.mute.Load() {
		<-s.stop
		return nil
	}
	if side.Slower > 0 {
		w.Time = time.Duration(float64(w.Time) * side.Slower)
	}
	if !s.do(w.Time) {
		return nil
	}
	first := s.Name + " " + h.id + "\n"
	out = append(out, "HTTP/1.1 200 OK\r\nContent-Length: "...)
	out = strconv.AppendInt(out, int64(max(w.Bytes, len(first))), 10)
	out = append(append(out, "\r\n\r\n"...), first...)
	for n := w.Bytes - len(first); n > 0; n -= len(padding) {
		out = append(out, padding[:min(n, len(padding))]...)
	}
	return out
}

const padding = "................................................................................................................................"

// do takes a core for as long as the work takes by now. It tells whether the server is still there.
func (s *Server) do(work time.Duration) bool {
	if work <= 0 {
		return true
	}
	if s.cores != nil {
		select {
		case s.cores <- struct{}{}:
			defer func() { <-s.cores }()
		case <-s.stop:
			return false
		}
	}
	speed := 1.0
	if age := time.Since(s.Started); s.ColdFrom > 0 && age < s.ColdTime {
		speed = s.ColdFrom + (1-s.ColdFrom)*age.Seconds()/s.ColdTime.Seconds()
	}
	t := time.NewTimer(time.Duration(float64(work) * float64(s.factor.Load()) / 1000 / speed))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-s.stop:
		return false
	}
}

func (s *Server) note(e Execution) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.logOff {
		s.log = append(s.log, e)
	}
}
