package registry

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"starlingvalve/decide"
	"starlingvalve/internal/core"
	"starlingvalve/internal/testkit"
)

// agentTestGrace is the drain grace of the tests of the agent's failures, from which the times of its calls follow.
const agentTestGrace = 500 * time.Millisecond

// followFailure follows an agent until the first failure and returns it, with the number of lists before it.
func followFailure(t *testing.T, registry *Registry) (failure *core.CallError, lists int64) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var received atomic.Int64
	failed, ended := make(chan error, 9), make(chan bool)
	go func() {
		registry.Follow(ctx, nil, func(core.List) { received.Add(1) }, func(err error) {
			select {
			case failed <- err:
			default:
			}
		})
		close(ended)
	}()
	err := <-failed
	cancel()
	<-ended
	if !errors.As(err, &failure) {
		t.Fatalf("%v is no CallError", err)
	}
	return failure, received.Load()
}

// Guards against a list that is taken for valid because the module never hears that the agent's calls fail, and against
// an agent that answers with something useless, or begins to, being taken for a silent one.
func TestAgentFailures(t *testing.T) {
	t.Parallel()
	half := listResponse(8, false, drainingEntry)[:90]
	for name, c := range map[string]struct {
		answer string // to each call but the first
		end    bool   // the connection is closed after it
		cause  decide.FailureCause
	}{
		"silent":                    {"", false, decide.CauseUnreachable},
		"closes its connections":    {"", true, decide.CauseBroken},
		"half a list":               {half, true, decide.CauseUseless},
		"half a list, then silent":  {half, false, decide.CauseUseless},
		"half a head, then silent":  {half[:20], false, decide.CauseUseless},
		"half a head, then a close": {half[:20], true, decide.CauseUseless},
		"refuses":                   {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", false, decide.CauseUseless},
		"an error":                  {"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", false, decide.CauseUseless},
		"nonsense":                  {testkit.OKResponse(`{"version":"x"`), false, decide.CauseUseless},
		"an older list of changes":  {listResponse(3, false, ""), false, decide.CauseUseless},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var calls atomic.Int64
			addr := testkit.Server(t, func(conn net.Conn) {
				for in := bufio.NewReader(conn); ; {
					if _, err := http.ReadRequest(in); err != nil {
						return
					}
					if calls.Add(1) == 1 {
						io.WriteString(conn, listResponse(7, true, ""))
						continue
					}
					io.WriteString(conn, c.answer)
					if c.end {
						return
					}
				}
			})
			registry := New(netip.MustParseAddrPort(addr), decide.Settings{DrainGrace: agentTestGrace}, testkit.DiscardLog)
			began := time.Now()
			failure, lists := followFailure(t, registry)
			if failure.Cause != c.cause || lists != 1 {
				t.Errorf("%v: cause %v after %d lists, want %v after one", failure, failure.Cause, lists, c.cause)
			}
			if failure.ConfirmedAt.Before(began) || time.Since(failure.ConfirmedAt) < 0 {
				t.Errorf("the list counts as confirmed at %v, and the calls began at %v", failure.ConfirmedAt, began)
			}
		})
	}
}

// Guards against an agent whose address nobody listens at being taken for one that answers uselessly, and against a
// shortage of this machine being taken for the silence of the agent.
func TestAgentOutOfReach(t *testing.T) {
	t.Parallel()
	for errno, cause := range map[syscall.Errno]decide.FailureCause{syscall.ECONNREFUSED: decide.CauseUnreachable,
		syscall.EMFILE: decide.CauseLocal, syscall.ENFILE: decide.CauseLocal, syscall.ENOBUFS: decide.CauseLocal} {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			registry := New(netip.MustParseAddrPort("127.0.0.1:9"), decide.Settings{DrainGrace: agentTestGrace}, testkit.DiscardLog)
			registry.client.Transport = &failingFirst{nil, errno, 1 << 30}
			failure, _ := followFailure(t, registry)
			if failure.Cause != cause {
				t.Errorf("%v: cause %v, want %v", failure, failure.Cause, cause)
			}
			if failure.Took > agentTestGrace {
				t.Errorf("reported after %v, which is longer than the list may be used", failure.Took)
			}
		})
	}
}
