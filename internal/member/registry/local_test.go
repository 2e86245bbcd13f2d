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

// failingFirst fails the first left calls with an error of this machine, and passes on the others.
type failingFirst struct {
	http.RoundTripper
	errno syscall.Errno
	left  int
}

// RoundTrip implements http.RoundTripper.
func (f *failingFirst) RoundTrip(r *http.Request) (*http.Response, error) {
	if f.left > 0 {
		f.left--
		return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", f.errno)}
	}
	return f.RoundTripper.RoundTrip(r)
}

// A call that fails because of a shortage on this machine is retried soon, as a part of the same call. With the
// backoff after failures of discovery, a process whose connections failed now and then missed a change for 10 s.
// Errors caused by the machine of the discovery service count as failures of discovery.
func TestLocalFailuresAreTriedAgain(t *testing.T) {
	t.Parallel()
	for errno, again := range map[syscall.Errno]bool{syscall.EADDRNOTAVAIL: true, syscall.ENETUNREACH: true,
		syscall.ENOBUFS: true, syscall.ENFILE: true,
		syscall.EMFILE: true, syscall.EINTR: true, syscall.ECONNREFUSED: false, syscall.ECONNRESET: false,
		syscall.EHOSTUNREACH: false} {
		t.Run(fmt.Sprint(errno), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				node := &nodeClient{queuedDiscovery: &queuedDiscovery{version: 7, changed: make(chan struct{})}}
				registry := New(netip.MustParseAddrPort("127.0.0.1:9"), decide.Settings{Nodes: 300}, testkit.DiscardLog)
				registry.client.Transport = &failingFirst{node, errno, 9}
				began := time.Now()
				l, err := registry.Fetch(t.Context())
				if again && (err != nil || l.Version != 7 || time.Since(began) != 9*localRetryPause) {
					t.Errorf("list %+v, error %v after %v; want version 7 after nine retries", l, err, time.Since(began))
				}
				if !again && !errors.Is(err, errno) {
					t.Errorf("error %v, want that of the first call", err)
				}
				registry.client.Transport = &failingFirst{node, errno, 1 << 30}
				began = time.Now()
				if err := registry.Watch(t.Context(), nil, func(core.List) {}); err == nil ||
					time.Since(began) > callTimeout {
					t.Errorf("error %v after %v; a call has to end within its timeout whatever fails", err,
						time.Since(began))
				}
			})
		})
	}
}

// Guards against requests to draining servers while this machine is short of descriptors, ports or buffers. A call that
// could not be made for that counted as a sign that discovery was unreachable, and the list went on being used.
func TestLocalShortageIsNoOutage(t *testing.T) {
	t.Parallel()
	for errno, cause := range map[syscall.Errno]decide.FailureCause{syscall.EMFILE: decide.CauseLocal,
		syscall.ENFILE: decide.CauseLocal, syscall.EADDRNOTAVAIL: decide.CauseLocal, syscall.ENOBUFS: decide.CauseLocal,
		syscall.ENOMEM: decide.CauseLocal, syscall.EAGAIN: decide.CauseLocal, syscall.ENETUNREACH: decide.CauseUnreachable,
		syscall.ENETDOWN: decide.CauseUnreachable, syscall.ECONNREFUSED: decide.CauseUnreachable,
		syscall.ETIMEDOUT: decide.CauseUnreachable} {
		t.Run(fmt.Sprint(errno), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				settings := testkit.Settings()
				settings.Nodes, settings.ListOnRequest = 5, true
				registry := New(netip.MustParseAddrPort("127.0.0.1:9"), settings, testkit.DiscardLog)
				node := &nodeClient{queuedDiscovery: &queuedDiscovery{version: 7, changed: make(chan struct{})}}
				registry.client.Transport = &failingFirst{node, errno, 1 << 30}
				err := registry.Watch(t.Context(), nil, func(core.List) {})
				if call := (*core.CallError)(nil); !errors.As(err, &call) || call.Cause != cause {
					t.Errorf("%v: cause %v, want %v", err, call.Cause, cause)
				}
			})
		})
	}
}
