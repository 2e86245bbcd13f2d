// Package handover lets a process of a node be replaced by another while it serves: the newcomer gets its predecessor's sockets
// over a Unix socket, so that no connection is lost between the two, and what it knows. Both keep that connection for as long
// as they live, which tells each of the other's end.
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
)

const (
	helloWait = time.Second      // for a newcomer to say who it is, and to take what it is given
	startWait = 10 * time.Second // for it to serve
	heldEvery = 50 * time.Millisecond
)

// Offer is what a process hands on.
type Offer struct {
	Name     string
	Listener *net.TCPListener
	Peers    *net.UDPConn    // may be nil
	State    func() []byte   // what it knows, as JSON
	Held     func() int      // clients' connections
	Changed  func(now Stage) // told of each change of the stage, one at a time
}

// Keeper waits for a successor.
type Keeper struct {
	offer    Offer
	listener *net.UnixListener
	path     string
	own      os.FileInfo
	log      *slog.Logger
}

// Keep opens the path for successors of this process. What another process has left there is replaced.
func Keep(path string, o Offer, log *slog.Logger) (*Keeper, error) {
	first := path + "." + strconv.Itoa(os.Getpid())
	os.Remove(first)
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: first, Net: "unix"})
	if err != nil {
		return nil, err
	}
	l.SetUnlinkOnClose(false) // by then the file may be a successor's
	k := &Keeper{offer: o, listener: l, path: path, log: log}
	if err = os.Chmod(first, 0o600); err == nil {
		if k.own, err = os.Lstat(first); err == nil {
			err = os.Rename(first, path)
		}
	}
	if err != nil {
		l.Close()
		os.Remove(first)
		return nil, err
	}
	return k, nil
}

// Run serves one successor at a time until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { k.listener.Close() })
	defer stop()
	defer k.remove()
	for {
		c, err := k.listener.AcceptUnix()
		if err != nil {
			return
		}
		ended := context.AfterFunc(ctx, func() { c.Close() })
		if !sameUser(c) {
			k.log.Warn("handover: another user's process was turned away")
		} else if err := k.serve(c); err != nil && ctx.Err() == nil {
			k.log.Info("handover ended", "err", err)
		}
		ended()
		c.Close()
	}
}

// remove takes the file away, unless it is a successor's by now.
func (k *Keeper) remove() {
	if now, err := os.Lstat(k.path); err == nil && os.SameFile(now, k.own) {
		os.Remove(k.path)
	}
}

// serve hands a newcomer all it asks for, and goes on until it has ended.
func (k *Keeper) serve(c *net.UnixConn) error {
	c.SetDeadline(time.Now().Add(helloWait))
	hello, files, err := read(c)
	closeAll(files)
	if err != nil {
		return err
	}
	if hello.Name != k.offer.Name {
		return nil
	}
	m := &message{State: k.offer.State(), Peers: k.offer.Peers != nil}
	sockets := []syscall.Conn{k.offer.Listener}
	if k.offer.Peers != nil {
		sockets = append(sockets, k.offer.Peers)
	}
	if err := hand(c, m, sockets, nil); err != nil {
		return err
	}
	k.offer.Changed(Shared)
	defer k.offer.Changed(Alone)
	over := make(chan struct{})
	var telling sync.WaitGroup
	telling.Go(func() { k.tell(c, over) })
	defer telling.Wait()
	defer close(over)
	c.SetReadDeadline(time.Now().Add(startWait))
	m, files, err = read(c)
	closeAll(files)
	if err != nil || !m.Serving {
		return err
	}
	k.offer.Changed(Succeeded)
	c.SetReadDeadline(time.Time{}) // it says no more: what comes is its end, of which the kernel tells
	_, files, err = read(c)
	closeAll(files)
	return err
}

// hand writes a message with the descriptors of sockets, each of which stays valid meanwhile. (An os.File of a socket would not do:
// its Fd has the socket block, which both processes would share.)
func hand(c *net.UnixConn, m *message, sockets []syscall.Conn, fds []int) error {
	if len(sockets) == 0 {
		return write(c, m, fds...)
	}
	raw, err := sockets[0].SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = hand(c, m, sockets[1:], append(fds, int(fd))) }); err != nil {
		return err
	}
	return failed
}

// tell says how many connections this process has, until over.
func (k *Keeper) tell(c *net.UnixConn, over <-chan struct{}) {
	tick := time.NewTicker(heldEvery)
	defer tick.Stop()
	for {
		c.SetWriteDeadline(time.Now().Add(writeWait))
		if write(c, &message{Held: k.offer.Held()}) != nil {
			return // it has gone, which the reader sees, or reads no more
		}
		select {
		case <-over:
			return
		case <-tick.C:
		}
	}
}
