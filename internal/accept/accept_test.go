package accept

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// All that accept(2) documents is retried, with a wait that grows to a bound and begins anew after a connection; a
// closed listener is not.
func TestAfter(t *testing.T) {
	t.Parallel()
	for _, errno := range []syscall.Errno{syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPERM, syscall.EPROTO,
		syscall.ENETDOWN, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.EINTR} {
		t.Run(fmt.Sprint(errno), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var r Retry
				err := &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
				for n := range 20 {
					began := time.Now()
					if !r.After(err) {
						t.Fatal("it ends the server")
					}
					if want := min(waitFirst<<n, waitMost); time.Since(began) != want {
						t.Errorf("error %d: waited %v, want %v", n, time.Since(began), want)
					}
				}
				r.Reset()
				if began := time.Now(); !r.After(err) || time.Since(began) != waitFirst {
					t.Errorf("after a connection: waited %v", time.Since(began))
				}
			})
		})
	}
	var r Retry
	if r.After(&net.OpError{Op: "accept", Err: net.ErrClosed}) {
		t.Error("a closed listener is retried")
	}
}

// failing fails some times before it gives a connection.
type failing struct {
	net.Listener
	left int
}

func (f *failing) Accept() (net.Conn, error) {
	if f.left > 0 {
		f.left--
		return nil, os.NewSyscallError("accept4", syscall.ENOBUFS)
	}
	return f.Listener.Accept()
}

// A listener gives the next connection whatever failed before, and fails once it is closed.
func TestListener(t *testing.T) {
	t.Parallel()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &Listener{Listener: &failing{inner, 3}}
	dialed, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer dialed.Close()
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c.Close()
	l.Close()
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("closed: %v", err)
	}
}
