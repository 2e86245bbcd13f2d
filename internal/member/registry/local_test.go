package registry

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"starlingvalve/decide"
	"starlingvalve/internal/core"
	"starlingvalve/internal/testkit"
)

// failingFirst fails calls in this machine, and then hands them to discovery.
type failingFirst struct {
	http.RoundTripper
	errno syscall.Errno
	left  int
}

// RoundTrip is http.RoundTripper's.
func (f *failingFirst) RoundTrip(r *http.Request) (*http.Response, error) {
	if f.left > 0 {
		f.left--
		return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", f.errno)}
	}
	return f.RoundTripper.RoundTrip(r)
}

// What fails for want of something on this machine is tried again at once, within the same call: with backoffs as
// after a failure of discovery's a process whose connections failed now and then did not follow a change for 10 s.
// What discovery's machine refuses is a failure of discovery.
func TestLocalFailuresAreTriedAgain(t *testing.T) {
	t.Parallel()
	for errno, again := range map[syscall.Errno]bool{syscall.EADDRNOTAVAIL: true, syscall.ENETUNREACH: true, syscall.ENOBUFS: true, syscall.ENFILE: true,
		syscall.EMFILE: true, syscall.EINTR: true, syscall.ECONNREFUSED: false, syscall.ECONNRESET: false, syscall.EHOSTUNREACH: false} {
		t.Run(fmt.Sprint(errno), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &oneNode{queuedDiscovery: &queuedDiscovery{version: 7, news: make(chan struct{})}}
				r := New(netip.MustParseAddrPort("127.0.0.1:9"), decide.Settings{Nodes: 300}, testkit.Quiet)
				r.client.Transport = &failingFirst{n, errno, 9}
				began := time.Now()
				l, err := r.Fetch(t.Context())
				if again && (err != nil || l.Version != 7 || time.Since(began) != 9*localPause) {
					t.Errorf("%+v, %v after %v", l, err, time.Since(began))
				}
				if !again && !errors.Is(err, errno) {
					t.Errorf("%v, want a failure at once", err)
				}
				r.client.Transport = &failingFirst{n, errno, 1 << 30}
				began = time.Now()
				if err := r.Watch(t.Context(), nil, func(core.List) {}); err == nil || time.Since(began) > callSlack {
					t.Errorf("%v after %v: a call ends in time whatever fails", err, time.Since(began))
				}
			})
		})
	}
}
