package handover

import (
	"context"
	"net"
	"net/netip"
	"syscall"

	"golang.org/x/sys/unix"
)

// shared lets a second process bind the same address: the way that is left where sockets can't be handed over.
var shared = net.ListenConfig{KeepAlive: -1, Control: func(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// A platform that refuses it has no replacement beside the old process; all else works.
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
}}

// ListenTCP listens for clients at an address that another process of this user may share.
func ListenTCP(at netip.AddrPort) (*net.TCPListener, error) {
	l, err := shared.Listen(context.Background(), "tcp", at.String())
	if err != nil {
		return nil, err
	}
	return l.(*net.TCPListener), nil
}

// ListenUDP does the same for datagrams of other nodes.
func ListenUDP(at netip.AddrPort) (*net.UDPConn, error) {
	c, err := shared.ListenPacket(context.Background(), "udp", at.String())
	if err != nil {
		return nil, err
	}
	return c.(*net.UDPConn), nil
}
