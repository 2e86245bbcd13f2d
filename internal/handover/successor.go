package handover

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strings"
	"time"
)

const (
	takeOverTimeout = time.Second // to receive the predecessor's sockets; after that, start without a predecessor that hangs
	writeTimeout    = time.Second
)

// Predecessor is the process that this one replaces.
type Predecessor struct {
	Listener *net.TCPListener // for clients
	Peers    *net.UDPConn     // for datagrams of other nodes; nil: it has none, or at another address
	State    []byte           // its state: JSON, not validated
	// RecentIDs is its memory of the ids of recent requests, which the caller has to close; nil: it shares none.
	RecentIDs *os.File

	conn *net.UnixConn
}

// ErrNoPredecessor is returned by TakeOver if no process listens at the path.
var ErrNoPredecessor = errors.New("no predecessor")

// TakeOver connects to the process that listens at the Unix socket path and takes over its sockets and state. It
// fails if the clients' listener is not bound to listen. The socket for datagrams is taken over only if it is bound
// to peers, which may be invalid.
func TakeOver(path, name string, listen, peers netip.AddrPort) (*Predecessor, error) {
	deadline := time.Now().Add(takeOverTimeout)
	d := net.Dialer{Deadline: deadline}
	raw, err := d.Dial("unix", path)
	if err != nil {
		return nil, ErrNoPredecessor // the file is missing, or its process has ended
	}
	c := raw.(*net.UnixConn)
	predecessor, err := takeOver(c, deadline, name, listen, peers)
	if err != nil {
		c.Close()
		return nil, err
	}
	return predecessor, nil
}

func takeOver(conn *net.UnixConn, deadline time.Time, name string, listen, peers netip.AddrPort) (*Predecessor, error) {
	if !sameUser(conn) {
		return nil, errors.New("handover: the process at the socket belongs to another user")
	}
	conn.SetDeadline(deadline)
	if err := write(conn, &message{Name: name, RecentIDs: true}); err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	reply, files, err := read(conn)
	defer func() { closeAll(files) }()
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	if len(files) == 0 {
		return nil, errors.New("handover: the predecessor sent no sockets")
	}
	predecessor := &Predecessor{State: reply.State, conn: conn}
	listener, err := net.FileListener(files[0])
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	tcp, ok := listener.(*net.TCPListener)
	if !ok || !hasAddress(tcp.Addr(), listen) {
		listener.Close()
		return nil, fmt.Errorf("handover: the predecessor listens at %v, want %v", listener.Addr(), listen)
	}
	predecessor.Listener = tcp
	if reply.Peers && len(files) > 1 && peers.IsValid() {
		if packetConn, err := net.FilePacketConn(files[1]); err == nil {
			if udp, ok := packetConn.(*net.UDPConn); ok && hasAddress(udp.LocalAddr(), peers) {
				predecessor.Peers = udp
			} else {
				packetConn.Close()
			}
		}
	}
	if last := len(files) - 1; reply.RecentIDs && last > 0 {
		predecessor.RecentIDs, files = files[last], files[:last]
	}
	conn.SetDeadline(time.Time{})
	return predecessor, nil
}

// hasAddress reports whether a is the address want.
func hasAddress(a net.Addr, want netip.AddrPort) bool {
	got, err := netip.ParseAddrPort(a.String())
	return err == nil && got == want
}

// NotifyServing notifies the predecessor that this process serves from now on.
func (p *Predecessor) NotifyServing() {
	p.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := write(p.conn, &message{Serving: true}); err != nil {
		p.conn.Close() // the predecessor has ended or no longer reads; closing makes Run return
	}
}

// Run calls connections with each count of clients' connections that the predecessor reports, until that process has
// ended or Close is called. It has no deadline: the kernel closes the socket of a process however it ends, and a
// predecessor that sends nothing still holds its connections.
func (p *Predecessor) Run(connections func(int)) {
	defer p.conn.Close()
	for {
		m, files, err := read(p.conn)
		closeAll(files)
		if err != nil {
			return
		}
		connections(m.Connections)
	}
}

// Close ends Run. To the predecessor it looks as if this process had ended.
func (p *Predecessor) Close() { p.conn.Close() }

// Path returns the path of the Unix socket at which the process of a node accepts its successor, in a directory that
// both processes use. It is empty if handover is not possible: without a directory, a fixed port or a name that is
// valid in a file name, or if the path is too long for a Unix socket.
func Path(dir, name string, listen netip.AddrPort) string {
	if dir == "" || name == "" || name != sanitize(name) || listen.Port() == 0 {
		return ""
	}
	path := fmt.Sprintf("%s/starlingvalve-%s-%s.sock", dir, name, strings.ReplaceAll(listen.String(), ":", "-"))
	// A socket address holds 107 bytes. The file is created with a suffix of "." and the process id, up to 20 digits.
	if len(path)+len(".")+20 > 107 {
		return ""
	}
	return path
}

// sanitize returns name without the characters other than ASCII letters, digits, "-" and "_".
func sanitize(name string) string {
	out := []byte(nil)
	for i := range len(name) {
		if c := name[i]; c == '-' || c == '_' || '0' <= c && c <= '9' || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' {
			out = append(out, c)
		}
	}
	return string(out)
}
