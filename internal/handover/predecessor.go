// Package handover lets a new process of a node replace the running one without an interruption. The successor gets
// the predecessor's listening sockets over a Unix socket, so that no connection is lost between the two, and a
// snapshot of its state. Both keep that Unix connection open while they run, so each notices when the other ends.
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
	helloTimeout   = time.Second           // for a successor to send its first message and receive the sockets
	startTimeout   = 30 * time.Second      // for a successor to serve once it has the sockets; its agent may be silent
	reportInterval = 50 * time.Millisecond // how often a successor receives the number of this process's client connections
)

// Offer is what a process hands to its successor.
type Offer struct {
	Name        string           // of the node; a successor with another name gets nothing
	Listener    *net.TCPListener // for clients
	Peers       *net.UDPConn     // for datagrams of other nodes; may be nil
	RecentIDs   *os.File         // memory of the ids of recent requests, which both processes use; may be nil
	State       func() []byte    // returns a snapshot of the process's state, as JSON
	Connections func() int       // returns the number of its clients' connections
	Changed     func(now Stage)  // called at each change of the stage, one call at a time
}

// Server accepts successors of this process at a Unix socket.
type Server struct {
	offer    Offer
	listener *net.UnixListener
	path     string
	ownFile  os.FileInfo // of this process's socket file, to tell it from a successor's at the same path
	log      *slog.Logger
}

// Listen opens a Unix socket at path for successors of this process. It replaces the file of another process there:
// the socket is created under a temporary name and then renamed to path.
func Listen(path string, o Offer, log *slog.Logger) (*Server, error) {
	tempPath := path + "." + strconv.Itoa(os.Getpid())
	os.Remove(tempPath)
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: tempPath, Net: "unix"})
	if err != nil {
		return nil, err
	}
	l.SetUnlinkOnClose(false) // when this listener closes, the file may belong to a successor
	s := &Server{offer: o, listener: l, path: path, log: log}
	if err = os.Chmod(tempPath, 0o600); err == nil {
		if s.ownFile, err = os.Lstat(tempPath); err == nil {
			err = os.Rename(tempPath, path)
		}
	}
	if err != nil {
		l.Close()
		os.Remove(tempPath)
		return nil, err
	}
	return s, nil
}

// Run serves one successor at a time until ctx ends. Then it removes the socket file, unless a successor replaced it.
func (s *Server) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { s.listener.Close() })
	defer stop()
	defer s.removeSocketFile()
	var retry accept.Retry
	for {
		conn, err := s.listener.AcceptUnix()
		if err != nil {
			if retry.After(err) {
				continue
			}
			return
		}
		retry.Reset()
		stopClosing := context.AfterFunc(ctx, func() { conn.Close() })
		if !sameUser(conn) {
			s.log.Warn("handover: rejected a process of another user")
		} else if err := s.serve(conn); err != nil && ctx.Err() == nil {
			s.log.Info("handover ended", "err", err)
		}
		stopClosing()
		conn.Close()
	}
}

// removeSocketFile removes the file at path, unless it is a successor's by now.
func (s *Server) removeSocketFile() {
	if now, err := os.Lstat(s.path); err == nil && os.SameFile(now, s.ownFile) {
		os.Remove(s.path)
	}
}

// serve hands the sockets and the state to a successor and then reports client connections to it. It returns when the
// successor has ended or failed to serve within startTimeout. The stage is Alone again after that.
func (s *Server) serve(conn *net.UnixConn) error {
	conn.SetDeadline(time.Now().Add(helloTimeout))
	hello, files, err := read(conn)
	closeAll(files)
	if err != nil {
		return err
	}
	if hello.Name != s.offer.Name {
		return nil
	}
	reply := &message{State: s.offer.State(), Peers: s.offer.Peers != nil}
	sockets := []syscall.Conn{s.offer.Listener}
	if s.offer.Peers != nil {
		sockets = append(sockets, s.offer.Peers)
	}
	if hello.RecentIDs && s.offer.RecentIDs != nil { // an older successor takes no third descriptor
		reply.RecentIDs = true
		sockets = append(sockets, s.offer.RecentIDs)
	}
	if err := writeWithSockets(conn, reply, sockets, nil); err != nil {
		return err
	}
	s.offer.Changed(Shared)
	defer s.offer.Changed(Alone)
	done := make(chan struct{})
	var reporting sync.WaitGroup
	reporting.Go(func() { s.reportConnections(conn, done) })
	defer reporting.Wait()
	defer close(done)
	conn.SetReadDeadline(time.Now().Add(startTimeout))
	reply, files, err = read(conn)
	closeAll(files)
	if err != nil || !reply.Serving {
		return err
	}
	s.offer.Changed(Succeeded)
	// The successor sends nothing more: read returns when its process ends and the kernel closes the socket.
	conn.SetReadDeadline(time.Time{})
	_, files, err = read(conn)
	closeAll(files)
	return err
}

// writeWithSockets sends a message with the descriptors of sockets, after those in fds. Each call holds one socket,
// so that its descriptor stays valid, and calls itself for the others. (An os.File of a socket would not do: its Fd
// method sets the socket to blocking mode, which both processes share.)
func writeWithSockets(conn *net.UnixConn, msg *message, sockets []syscall.Conn, fds []int) error {
	if len(sockets) == 0 {
		return write(conn, msg, fds...)
	}
	raw, err := sockets[0].SyscallConn()
	if err != nil {
		return err
	}
	var writeErr error
	err = raw.Control(func(fd uintptr) { writeErr = writeWithSockets(conn, msg, sockets[1:], append(fds, int(fd))) })
	if err != nil {
		return err
	}
	return writeErr
}

// reportConnections sends the number of this process's client connections every reportInterval, until done is closed.
func (s *Server) reportConnections(conn *net.UnixConn, done <-chan struct{}) {
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	for {
		conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if write(conn, &message{Connections: s.offer.Connections()}) != nil {
			return // the successor has ended, which serve notices as it reads, or no longer reads
		}
		select {
		case <-done:
			return
		case <-tick.C:
		}
	}
}
