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

// All errors that accept(2) documents are retried. The wait doubles up to a bound and starts again from the beginning
// after a connection. A closed listener is not retried.
func TestAfter(t *testing.T) {
	t.Parallel()
	for _, errno := range []syscall.Errno{syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS,
		syscall.ENOMEM, syscall.EPERM, syscall.EPROTO, syscall.ENETDOWN,
		syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP,
		syscall.ENETUNREACH, syscall.EINTR} {
		t.Run(fmt.Sprint(errno), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var r Retry
				err := &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
				for n := range 20 {
					began := time.Now()
					if !r.After(err) {
						t.Fatal("the error ends the server")
					}
					if want := min(minWait<<n, maxWait); time.Since(began) != want {
						t.Errorf("error %d: waited %v, want %v", n, time.Since(began), want)
					}
				}
				r.Reset()
				if began := time.Now(); !r.After(err) || time.Since(began) != minWait {
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

// failing is a listener that fails a number of times before it accepts connections.
type failing struct {
	net.Listener
	left int // failures to come
}

func (f *failing) Accept() (net.Conn, error) {
	if f.left > 0 {
		f.left--
		return nil, os.NewSyscallError("accept4", syscall.ENOBUFS)
	}
	return f.Listener.Accept()
}

// A Listener returns the next connection after any errors, and fails once it is closed.
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
		t.Errorf("after Close: %v", err)
	}
}
