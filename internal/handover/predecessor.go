// Package handover lets a process of a node be replaced by another while it serves. The successor gets the
// predecessor's listening sockets over a Unix socket, so that no connection is lost between the two, and a snapshot of
// its state. Both keep that connection open for as long as they live, so each notices the other's end.
//
// predecessor.go is the side of the process that is replaced, successor.go that of the process that replaces it.
package handover

import (
	"context"
	"log/slog"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"starlingvalve/internal/accept"
)

const (
	helloWait   = time.Second           // for a successor to say who it is, and to take what it is given
	startWait   = 10 * time.Second      // for it to serve
	reportEvery = 50 * time.Millisecond // how often a successor hears of this process's connections
)

// Offer is what a process hands to its successor.
type Offer struct {
	Name        string
	Listener    *net.TCPListener
	Peers       *net.UDPConn    // may be nil
	State       func() []byte   // a snapshot of what it knows, as JSON
	Connections func() int      // how many clients' connections it has
	Changed     func(now Stage) // called at each change of the stage, one at a time
}

// Server waits for successors of this process at a Unix socket.
type Server struct {
	offer    Offer
	listener *net.UnixListener
	path     string
	own      os.FileInfo
	log      *slog.Logger
}

// Listen opens the socket at path for successors of this process. What another process has left there is replaced.
func Listen(path string, o Offer, log *slog.Logger) (*Server, error) {
	first := path + "." + strconv.Itoa(os.Getpid())
	os.Remove(first)
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: first, Net: "unix"})
	if err != nil {
		return nil, err
	}
	l.SetUnlinkOnClose(false) // by then the file may be a successor's
	s := &Server{offer: o, listener: l, path: path, log: log}
	if err = os.Chmod(first, 0o600); err == nil {
		if s.own, err = os.Lstat(first); err == nil {
			err = os.Rename(first, path)
		}
	}
	if err != nil {
		l.Close()
		os.Remove(first)
		return nil, err
	}
	return s, nil
}

// Run serves one successor at a time until ctx ends.
func (s *Server) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { s.listener.Close() })
	defer stop()
	defer s.remove()
	var retry accept.Retry
	for {
		c, err := s.listener.AcceptUnix()
		if err != nil {
			if retry.After(err) {
				continue
			}
			return
		}
		retry.Reset()
		ended := context.AfterFunc(ctx, func() { c.Close() })
		if !sameUser(c) {
			s.log.Warn("handover: another user's process was turned away")
		} else if err := s.serve(c); err != nil && ctx.Err() == nil {
			s.log.Info("handover ended", "err", err)
		}
		ended()
		c.Close()
	}
}

// remove takes the file away, unless it is a successor's by now.
func (s *Server) remove() {
	if now, err := os.Lstat(s.path); err == nil && os.SameFile(now, s.own) {
		os.Remove(s.path)
	}
}

// serve hands a successor the sockets and the state, and goes on until one of the two processes has ended.
func (s *Server) serve(c *net.UnixConn) error {
	c.SetDeadline(time.Now().Add(helloWait))
	hello, files, err := read(c)
	closeAll(files)
	if err != nil {
		return err
	}
	if hello.Name != s.offer.Name {
		return nil
	}
	m := &message{State: s.offer.State(), Peers: s.offer.Peers != nil}
	sockets := []syscall.Conn{s.offer.Listener}
	if s.offer.Peers != nil {
		sockets = append(sockets, s.offer.Peers)
	}
	if err := writeWithSockets(c, m, sockets, nil); err != nil {
		return err
	}
	s.offer.Changed(Shared)
	defer s.offer.Changed(Alone)
	over := make(chan struct{})
	var reporting sync.WaitGroup
	reporting.Go(func() { s.reportConnections(c, over) })
	defer reporting.Wait()
	defer close(over)
	c.SetReadDeadline(time.Now().Add(startWait))
	m, files, err = read(c)
	closeAll(files)
	if err != nil || !m.Serving {
		return err
	}
	s.offer.Changed(Succeeded)
	c.SetReadDeadline(time.Time{}) // it says no more: what comes is its end, of which the kernel tells
	_, files, err = read(c)
	closeAll(files)
	return err
}

// writeWithSockets writes a message with the descriptors of sockets, each of which stays valid meanwhile. (An os.File
// of a socket would not do: its Fd sets the socket to blocking mode, which both processes would share.)
func writeWithSockets(c *net.UnixConn, m *message, sockets []syscall.Conn, fds []int) error {
	if len(sockets) == 0 {
		return write(c, m, fds...)
	}
	raw, err := sockets[0].SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) { failed = writeWithSockets(c, m, sockets[1:], append(fds, int(fd))) })
	if err != nil {
		return err
	}
	return failed
}

// reportConnections sends the number of clients' connections that this process has, until over is closed.
func (s *Server) reportConnections(c *net.UnixConn, over <-chan struct{}) {
	tick := time.NewTicker(reportEvery)
	defer tick.Stop()
	for {
		c.SetWriteDeadline(time.Now().Add(writeWait))
		if write(c, &message{Connections: s.offer.Connections()}) != nil {
			return // it has gone, which the reader sees, or reads no more
		}
		select {
		case <-over:
			return
		case <-tick.C:
		}
	}
}
