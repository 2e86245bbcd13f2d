package http1

import (
	"net"
	"syscall"
)

// peekUnread copies bytes that have arrived into a buffer without consuming them, and returns their number.
func peekUnread(tcp *net.TCPConn, into []byte) int {
	n, _ := receiveNow(tcp, into, syscall.MSG_PEEK)
	return n
}

// receiveNow receives what has arrived without waiting, and whatever the read deadline is. 0 bytes without an error
// mean that the client has closed its direction; EAGAIN means that nothing has arrived.
func receiveNow(tcp *net.TCPConn, into []byte, flags int) (n int, err error) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0, err
	}
	if failed := raw.Control(func(fd uintptr) {
		n, _, err = syscall.Recvfrom(int(fd), into, flags|syscall.MSG_DONTWAIT)
	}); failed != nil {
		err = failed
	}
	return max(0, n), err
}
