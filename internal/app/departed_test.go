package app

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"starlingvalve/decide"
	"starlingvalve/internal/testkit"
)

const (
	// disconnectLimit is how long after a client has closed its connection an attempt for it, the first or a later
	// one, may still begin.
	disconnectLimit = 100 * time.Millisecond
	// pastDisconnectLimit is a delay after which no attempt may begin.
	pastDisconnectLimit = 150 * time.Millisecond
	// maxLateRuns is how often a run is repeated that exceeded the limit while this process itself ran so late that
	// it may have caused that.
	maxLateRuns = 10
	// leavingID is the id of the request whose client disconnects.
	leavingID = "left"
)

// arrival is an attempt as the server sees it.
type arrival struct {
	id    string
	first time.Time // when its first byte was read
	whole time.Time // when its last byte was read; zero: never
}

// attemptLog is a server that records when attempts arrive, and answers them.
type attemptLog struct {
	// answer returns the answer to the nth attempt of a request, counted from 0; "": the server closes the
	// connection. If answer is nil, the answer is 200 with the id.
	answer func(id string, nth int) string
	bodies chan struct{} // request bodies are read once it is closed; nil: at once

	mu       sync.Mutex
	arrivals []arrival
	conns    sync.WaitGroup
}

func (l *attemptLog) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	if _, err := reader.Peek(1); err != nil {
		return // a connection without a request, as the one that fills a listen queue
	}
	l.conns.Add(1)
	defer l.conns.Done()
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		first := time.Now()
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get("X-Correlation-Id")
		index, nth := l.note(arrival{id: id, first: first})
		if l.bodies != nil && request.ContentLength > 0 {
			<-l.bodies
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		l.complete(index)
		text := testkit.OKResponse(id)
		if id != "" && l.answer != nil {
			text = l.answer(id, nth)
		}
		if text == "" {
			return
		}
		io.WriteString(conn, text)
	}
}

// settle waits until everything has been recorded that a node, which has ended, wrote to this server at an address.
// It makes a connection of its own for that, as connections are accepted in the order in which they were made.
func (l *attemptLog) settle(t *testing.T, addr string) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(testkit.WaitLimit))
	io.WriteString(c, "GET /settled HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
		t.Fatal(err)
	}
	c.Close()
	l.conns.Wait()
}

// note records an arrival. It returns its index, and how many attempts of the same request arrived before.
func (l *attemptLog) note(a arrival) (index, nth int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, earlier := range l.arrivals {
		if earlier.id == a.id {
			nth++
		}
	}
	l.arrivals = append(l.arrivals, a)
	return len(l.arrivals) - 1, nth
}

// complete records that the last byte of the arrival at this index was read.
func (l *attemptLog) complete(index int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals[index].whole = time.Now()
}

// count returns the number of attempts of a request that arrived whole.
func (l *attemptLog) count(id string) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.arrivals {
		if a.id == id && !a.whole.IsZero() {
			n++
		}
	}
	return n
}

// hasBegun reports whether the head of an attempt of this request has arrived.
func (l *attemptLog) hasBegun(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.arrivals, func(a arrival) bool { return a.id == id })
}

// lastAttemptAfter returns how long after the time closed the last byte of the last attempt of a request arrived, or
// 0 if none arrived after it.
func (l *attemptLog) lastAttemptAfter(id string, closed time.Time) (after time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.arrivals {
		if a.id == id && !a.whole.IsZero() {
			after = max(after, a.whole.Sub(closed))
		}
	}
	return after
}

// disconnect describes a client that disconnects while an attempt of its request, the first or a later one, has yet
// to begin.
type disconnect struct {
	behind string                   // what it pipelines behind its request
	piece  int                      // bytes of that per write; 0: all in one
	leave  func(client)             // how it disconnects; nil: it stays connected
	after  time.Duration            // from the disconnect until the attempt is no longer kept from beginning
	change func(s *decide.Settings) // changes to the node's settings; nil: none
}

// disconnectOutcome is the server's record of the attempts, and when the client disconnected.
type disconnectOutcome struct {
	server *attemptLog
	closed time.Time
}

// pipelinedKinds are what a client has sent behind its request. The node can read up to the end of the connection,
// and so notice that the client has disconnected, only if that is little.
var pipelinedKinds = map[string]string{
	"nothing": "",
	"a byte":  "G",
	"108 KB":  pipelinedRequests(testkit.Settings().Classes[0], manyPipelined),
	"150 KB":  pipelinedRequests(testkit.Settings().Classes[0], 950),
	"1 MB":    pipelinedRequests(testkit.Settings().Classes[0], 10*manyPipelined),
}

// measureLateness starts to measure by how much timers of this process fire late. The returned function ends that and
// returns the largest delay.
func measureLateness() (longest func() time.Duration) {
	const every = time.Millisecond
	stop, result := make(chan struct{}), make(chan time.Duration)
	go func() {
		var most time.Duration
		for {
			began := time.Now()
			select {
			case <-stop:
				result <- most
				return
			case <-time.After(every):
				most = max(most, time.Since(began)-every)
			}
		}
	}()
	return func() time.Duration { close(stop); return <-result }
}

// checkLimit runs a test of a disconnect and returns how long after it the last attempt began. If that exceeds
// disconnectLimit, it runs the test again where this process itself was so late that it may be the cause, up to
// maxLateRuns times in all, and reports an error otherwise.
func checkLimit(t *testing.T, run func() disconnectOutcome) (latest time.Duration) {
	t.Helper()
	return checkLimitOf(t, func() time.Duration {
		d := run()
		return d.server.lastAttemptAfter(leavingID, d.closed)
	})
}

// checkLimitOf does the same with a run that returns the time itself.
func checkLimitOf(t *testing.T, run func() time.Duration) (latest time.Duration) {
	t.Helper()
	for range maxLateRuns {
		late := measureLateness()
		latest = run()
		own := late()
		switch {
		case latest <= disconnectLimit:
			return latest
		case latest-own > disconnectLimit:
			t.Errorf("an attempt began %v after its client had disconnected, the limit is %v; this process was %v late",
				latest, disconnectLimit, own)
			return latest
		}
	}
	t.Errorf("this process was late %d times", maxLateRuns)
	return latest
}

// disconnectBeforeRetry has a server reject a first attempt, or close its connection, some time after the client has
// disconnected. A client that stays connected gets a second attempt at once.
func disconnectBeforeRetry(t *testing.T, scenario disconnect, class int, rejection string) disconnectOutcome {
	t.Helper()
	settings := testkit.Settings()
	settings.MayProbe, settings.MayOverlap = false, false
	if scenario.change != nil {
		scenario.change(&settings)
	}
	arrived, release := make(chan struct{}), make(chan struct{})
	var once sync.Once
	server := &attemptLog{answer: func(id string, nth int) string {
		if nth > 0 {
			return testkit.OKResponse(id)
		}
		once.Do(func() { close(arrived) })
		<-release
		return rejection
	}}
	addrs := []string{testkit.Server(t, server.serve), testkit.Server(t, server.serve)}
	node := start(t, &Config{Settings: settings, Known: testkit.ReadyList(addrs...)})
	node.waitReady(t, 200)
	conn := node.dial(t)
	io.WriteString(conn, request(settings.Classes[class], leavingID, "60"))
	<-arrived
	closed := scenario.perform(conn)
	time.Sleep(scenario.after)
	close(release)
	if scenario.leave == nil {
		conn.answer(t)
	}
	node.stop()
	<-node.ended
	for _, addr := range addrs {
		server.settle(t, addr)
	}
	return disconnectOutcome{server, closed}
}

// perform sends what the client pipelines and disconnects it. It returns a time just before the disconnect.
func (d disconnect) perform(c client) time.Time {
	// The node reads only part of a long text, and the write of the rest blocks.
	c.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
	for text := d.behind; len(text) > 0; {
		n := len(text)
		if d.piece > 0 {
			n = min(n, d.piece)
		}
		if _, err := io.WriteString(c, text[:n]); err != nil {
			break
		}
		text = text[n:]
	}
	closed := time.Now()
	if d.leave != nil {
		d.leave(c)
	}
	return closed
}

const unprocessedAnswer = "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"

// A retry must not begin once the client has disconnected, whatever it has pipelined behind its request. Behind 1 MB
// of unread data the node's kernel did not accept the end of the connection, and the retry began whenever the attempt
// before it ended, however late.
func TestDepartedBeforeFurther(t *testing.T) {
	t.Parallel()
	stays := disconnectBeforeRetry(t, disconnect{after: time.Millisecond}, 0, unprocessedAnswer)
	if attempts := stays.server.count(leavingID); attempts < 2 {
		t.Fatalf("%d attempts for a client that stays connected: the subtests show nothing", attempts)
	}
	for how, leave := range disconnectKinds {
		for what, behind := range pipelinedKinds {
			t.Run(how+" behind "+what, func(t *testing.T) {
				t.Parallel()
				var worst time.Duration
				for _, after := range []time.Duration{20 * time.Millisecond, 90 * time.Millisecond, pastDisconnectLimit} {
					worst = max(worst, checkLimit(t, func() disconnectOutcome {
						return disconnectBeforeRetry(t, disconnect{behind: behind, leave: leave, after: after}, 0, unprocessedAnswer)
					}))
				}
				t.Logf("worst %v, limit %v", worst, disconnectLimit)
			})
		}
	}
}

// smallBufferListener opens a listener whose connections buffer only some 16 KB that the server has not read. Data in
// that buffer counts as arrived, however late the server reads it.
func smallBufferListener(t *testing.T) net.Listener {
	t.Helper()
	const size = 16 << 10
	var failed error
	set := func(fd uintptr) { failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, size) }
	control := func(_, _ string, raw syscall.RawConn) error { return errors.Join(raw.Control(set), failed) }
	config := net.ListenConfig{Control: control}
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// disconnectDuringUpload has a client disconnect when it has sent its whole body, but before the node could send all of
// it on: the server does not read for a while or, if late is set, the connection to it is established late.
func disconnectDuringUpload(t *testing.T, scenario disconnect, size int, late bool) disconnectOutcome {
	t.Helper()
	settings := testkit.Settings()
	settings.MayProbe, settings.MayOverlap, settings.ConnectTimeout = false, false, testkit.WaitLimit
	if scenario.change != nil {
		scenario.change(&settings)
	}
	server := &attemptLog{bodies: make(chan struct{})}
	var addr string
	release := func(func(net.Conn)) {}
	if late {
		addr, release = newFullListener(t)
	} else {
		addr = testkit.ServerOn(t, smallBufferListener(t), server.serve)
	}
	node := start(t, &Config{Settings: settings, Known: testkit.ReadyList(addr)})
	node.waitReady(t, 200)
	conn := node.dial(t)
	if _, err := io.WriteString(conn, withBody(request(settings.Classes[2], leavingID, "60"), size)); err != nil {
		t.Fatal(err)
	}
	if late {
		waitDialing(t, addr)
	} else {
		testkit.WaitFor(t, "no attempt has begun", func() bool { return server.hasBegun(leavingID) })
	}
	closed := scenario.perform(conn)
	time.Sleep(scenario.after)
	release(server.serve)
	close(server.bodies)
	if scenario.leave == nil {
		conn.answer(t)
	}
	node.stop()
	<-node.ended
	server.settle(t, addr)
	return disconnectOutcome{server, closed}
}

// If the client disconnects before the last byte of its body was sent to the server, the body must not be completed,
// whether the server's connection is established late or the server reads slowly, and whether or not attempts may be
// canceled. It used to be completed from the kernel's buffers and from what the client had yet to send.
func TestDepartedWithinUpload(t *testing.T) {
	t.Parallel()
	for name, cancels := range map[string]bool{"cancels": true, "does not cancel": false} {
		change := func(s *decide.Settings) { s.MayCancel = cancels }
		for obstacle, late := range map[string]bool{"slow server": false, "late handshake": true} {
			for _, size := range []int{60 << 10, 100 << 10, 300 << 10, 3 << 20} {
				t.Run(fmt.Sprint(name, ", ", obstacle, ", ", size), func(t *testing.T) {
					t.Parallel()
					stays := disconnectDuringUpload(t, disconnect{after: time.Millisecond, change: change}, size, late)
					if attempts := stays.server.count(leavingID); attempts != 1 {
						t.Fatalf("%d attempts for a client that stays connected: the test shows nothing", attempts)
					}
					var worst time.Duration
					for _, leave := range disconnectKinds {
						worst = max(worst, checkLimit(t, func() disconnectOutcome {
							return disconnectDuringUpload(t, disconnect{leave: leave, after: pastDisconnectLimit,
								change: change}, size, late)
						}))
					}
					t.Logf("worst %v, limit %v", worst, disconnectLimit)
				})
			}
		}
	}
}
