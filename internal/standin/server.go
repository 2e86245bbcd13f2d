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

// Work is what a request of a class costs a server that is warm.
type Work struct {
	Time  time.Duration // processing time on one core; 0: answered at once, without a core
	Bytes int           // length of the answer's body; a body is never shorter than its first line
}

// ServerOptions describe a stand-in server. The zero value has no limit on cores or requests, is warm, and answers
// at once.
type ServerOptions struct {
	Name, Zone, Kind string
	Cell             int
	Cores            int           // requests processed at once; 0: unlimited
	MaxRequests      int           // requests processed or waiting; further ones get a 503 with X-Unprocessed; 0: unlimited
	ColdFrom         float64       // speed right after the start, as a part of full speed; 0: warm from the start
	ColdTime         time.Duration // time from the start until full speed
	Dedup            *Dedup        // shared by the servers of a cell; nil: idempotency keys are ignored
}

// Dedup is the memory of idempotency keys that the servers of one cell share. A key is remembered for Window.
type Dedup struct {
	Window time.Duration

	mu   sync.Mutex
	seen map[string]time.Time
}

// firstUse reports whether the cell has not seen a key within the window, and remembers it.
func (d *Dedup) firstUse(key string, now time.Time) bool {
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

// Execution is one line of a server's log: a request that the server received completely.
type Execution struct {
	Server, ID, Class, Order, Key string
	HeadAt                        time.Time     // when its head had come
	ReceivedAt                    time.Time     // when its last byte came
	BodyBytes                     int           // length of its body
	TimeLeft                      time.Duration // value of X-Time-Left; 0: no such header
	Work                          time.Duration // processing time on one core of a warm server
	Ran                           bool          // false: rejected with a 503, unprocessed
	Repeat                        bool          // the cell had seen its idempotency key: answered, without an effect
}

// Server is a stand-in for an application server (a clip server). It serves HTTP/1.1 on a port of 127.0.0.1 that
// the kernel chooses.
type Server struct {
	ServerOptions
	Addr    string
	Started time.Time

	listener      net.Listener
	sideListeners []net.Listener // under mu
	cores         chan struct{}
	inFlight      atomic.Int64
	workPerMille  atomic.Int64 // factor by which work takes longer, in thousandths
	unresponsive  atomic.Bool
	stopped       chan struct{}
	running       sync.WaitGroup

	mu            sync.Mutex
	work          map[string]Work
	conns         map[net.Conn]bool
	closed        bool
	log           []Execution
	logDisabled   bool
	acceptedConns int
}

// NewServer starts a server that runs until Close. work is the cost of each class; requests of other classes get a
// 404.
func NewServer(o ServerOptions, work map[string]Work) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("server %s: %w", o.Name, err)
	}
	s := &Server{ServerOptions: o, Addr: l.Addr().String(), Started: time.Now(), listener: l,
		stopped: make(chan struct{}), work: work, conns: map[net.Conn]bool{}}
	s.workPerMille.Store(1000)
	if o.Cores > 0 {
		s.cores = make(chan struct{}, o.Cores)
	}
	s.running.Go(func() { s.accept(l, SideOptions{}) })
	return s, nil
}

// SideOptions say how requests are treated that come through a second listener of a server.
type SideOptions struct {
	WorkFactor float64                 // factor by which their work takes longer; 0: no change
	FailsClass func(class string) bool // classes whose requests get a 500 and are not run; nil: none
}

// SideListener opens a further listener of the server, which treats requests as o says, and returns the listener's
// address.
func (s *Server) SideListener(o SideOptions) (addr string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("server %s: %w", s.Name, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		l.Close()
		return "", fmt.Errorf("server %s: the server is closed", s.Name)
	}
	s.sideListeners = append(s.sideListeners, l)
	s.running.Go(func() { s.accept(l, o) })
	return l.Addr().String(), nil
}

// SetWork changes the cost of each class, for requests that begin from now on.
func (s *Server) SetWork(work map[string]Work) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.work = work
}

// SetWorkFactor makes all work that begins from now on take factor times as long.
func (s *Server) SetWorkFactor(factor float64) { s.workPerMille.Store(int64(1000 * factor)) }

// SetUnresponsive makes the server accept and run requests without answering them, or ends that state.
func (s *Server) SetUnresponsive(on bool) { s.unresponsive.Store(on) }

// SetLog turns the log of executions on (as it is at the start) or off, and empties it.
func (s *Server) SetLog(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logDisabled, s.log = !on, nil
}

// Log returns the executions so far.
func (s *Server) Log() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution(nil), s.log...)
}

// AcceptedConns returns the number of connections accepted so far.
func (s *Server) AcceptedConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.acceptedConns
}

// InFlight returns the number of requests that are processed or waiting now.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Close stops the server at once, as when its process dies: its connections break.
func (s *Server) Close() {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	close(s.stopped)
	s.listener.Close()
	for _, l := range s.sideListeners {
		l.Close()
	}
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.running.Wait()
}

// accept serves the connections of one listener until it is closed.
func (s *Server) accept(l net.Listener, side SideOptions) {
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
		s.acceptedConns++
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

// serve reads requests from a connection, one at a time, until the connection ends. Waits have no timeout of their
// own: Close ends them all.
func (s *Server) serve(c net.Conn, side SideOptions) {
	r := bufio.NewReaderSize(c, maxLineBytes)
	var out, body []byte
	for {
		h, err := readHead(r)
		if err != nil {
			return
		}
		h.readAt = time.Now()
		if h.length > 0 {
			if cap(body) < h.length {
				body = make([]byte, h.length)
			}
			if _, err := io.ReadFull(r, body[:h.length]); err != nil {
				return
			}
		}
		var lumps *Lumps
		out, lumps = s.handle(out[:0], h, side)
		if lumps != nil {
			if !s.writeLumps(c, lumps, string(out)) {
				return
			}
			continue
		}
		if out == nil {
			return
		}
		if _, err := c.Write(out); err != nil {
			return
		}
	}
}

// handle processes a request and returns the bytes of the answer, appended to out, or nil if the connection is to
// end without an answer. If the request demands an answer in lumps, it returns these, and the first line of their body.
func (s *Server) handle(out []byte, request head, side SideOptions) (answer []byte, lumps *Lumps) {
	receivedAt := time.Now()
	path, query, _ := strings.Cut(request.startLine[1], "?")
	class, rest, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	if class == "health" || class == "stats" {
		return fmt.Appendf(out, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(rest), rest), nil
	}
	s.mu.Lock()
	work, known := s.work[class]
	s.mu.Unlock()
	if !known || request.id == "" {
		return append(out, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"...), nil
	}
	execution := Execution{Server: s.Name, ID: request.id, Class: class, Key: request.key, HeadAt: request.readAt,
		ReceivedAt: receivedAt, BodyBytes: request.length,
		Work: work.Time}
	if seconds, err := strconv.ParseFloat(request.timeLeft, 64); err == nil {
		execution.TimeLeft = time.Duration(seconds * float64(time.Second))
	}
	if values, err := url.ParseQuery(query); err == nil {
		execution.Order = values.Get("obj")
		lumps = parseLumps(values)
	}
	inFlight := int(s.inFlight.Add(1))
	defer s.inFlight.Add(-1)
	if s.MaxRequests > 0 && inFlight > s.MaxRequests {
		s.record(execution)
		return append(out, "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"...), nil
	}
	if side.FailsClass != nil && side.FailsClass(class) {
		return append(out, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"...), nil
	}
	execution.Ran = true
	if request.key != "" && s.Dedup != nil {
		execution.Repeat = !s.Dedup.firstUse(request.key, receivedAt)
	}
	s.record(execution)
	if s.unresponsive.Load() {
		<-s.stopped
		return nil, nil
	}
	if side.WorkFactor > 0 {
		work.Time = time.Duration(float64(work.Time) * side.WorkFactor)
	}
	if !s.doWork(work.Time) {
		return nil, nil
	}
	firstLine := s.Name + " " + request.id + "\n"
	if lumps != nil {
		return append(out, firstLine...), lumps
	}
	out = append(out, "HTTP/1.1 200 OK\r\nContent-Length: "...)
	out = strconv.AppendInt(out, int64(max(work.Bytes, len(firstLine))), 10)
	out = append(append(out, "\r\n\r\n"...), firstLine...)
	for n := work.Bytes - len(firstLine); n > 0; n -= len(padding) {
		out = append(out, padding[:min(n, len(padding))]...)
	}
	return out, nil
}

// padding fills bodies of requests and answers.
const padding = "................................................................................................................................"

// doWork occupies a core for as long as the work takes at the server's present speed. It reports whether the
// server is still running.
func (s *Server) doWork(work time.Duration) bool {
	if work <= 0 {
		return true
	}
	if s.cores != nil {
		select {
		case s.cores <- struct{}{}:
			defer func() { <-s.cores }()
		case <-s.stopped:
			return false
		}
	}
	speed := 1.0
	if age := time.Since(s.Started); s.ColdFrom > 0 && age < s.ColdTime {
		speed = s.ColdFrom + (1-s.ColdFrom)*age.Seconds()/s.ColdTime.Seconds()
	}
	return s.sleep(time.Duration(float64(work) * float64(s.workPerMille.Load()) / 1000 / speed))
}

// record appends an execution to the log, if the log is on.
func (s *Server) record(e Execution) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.logDisabled {
		s.log = append(s.log, e)
	}
}
