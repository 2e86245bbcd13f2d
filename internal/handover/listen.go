package handover

import (
	"context"
	"net"
	"net/netip"
	"syscall"

	"golang.org/x/sys/unix"
)

// reusePort lets a second process bind the same address. That is how a successor starts if sockets can't be handed
// over.
var reusePort = net.ListenConfig{KeepAlive: -1, Control: func(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// If the platform refuses the option, a successor can't bind while the old process runs. All else works.
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
}}

// ListenTCP opens a listener for clients. Other processes of the same user may listen at the same address.
func ListenTCP(at netip.AddrPort) (*net.TCPListener, error) {
	l, err := reusePort.Listen(context.Background(), "tcp", at.String())
	if err != nil {
		return nil, err
	}
	return l.(*net.TCPListener), nil
}

// ListenUDP opens a socket for datagrams of other nodes. Other processes of the same user may bind the same address.
func ListenUDP(at netip.AddrPort) (*net.UDPConn, error) {
	c, err := reusePort.ListenPacket(context.Background(), "udp", at.String())
	if err != nil {
		return nil, err
	}
	return c.(*net.UDPConn), nil
}
