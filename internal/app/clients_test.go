package app

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"starlingvalve/internal/testkit"
)

// Requests and answers of each class pass through the node unchanged.
func TestServesUnchanged(t *testing.T) {
	t.Parallel()
	want := strings.Repeat("\x00é\r\n", 4000)
	seen := make(chan string, 10)
	addr := testkit.Server(t, testkit.AnswerRequests(func(r *http.Request, body []byte) string {
		seen <- fmt.Sprint(r.Method, " ", r.RequestURI, " ", r.Header.Get("Idempotency-Key"), " ",
			r.Header.Get("X-Correlation-Id") != "", " ", string(body))
		return testkit.OKResponse(want)
	}))
	node := start(t, &Config{Settings: testkit.Settings(), Known: testkit.ReadyList(addr)})
	for class, line := range map[string]string{"read": "GET /read?obj=a%2fb  true ",
		"tag": "POST /tag?obj=a%2fb k true B", "order": "POST /order?obj=a%2fb  true B"} {
		body := "B"
		if class == "read" {
			body = ""
		}
		resp, got := node.roundTrip(t, classRequest(class, "9.5", body))
		if resp.StatusCode != 200 || got != want {
			t.Errorf("%s: status %d, %d bytes", class, resp.StatusCode, len(got))
		}
		if got := <-seen; got != line {
			t.Errorf("the backend got %q, want %q", got, line)
		}
	}
}

// Malformed input gets a 4xx or 5xx other than a refusal, nothing is sent to a server, and the connection is closed,
// because what follows may be part of a body. Otherwise a request hidden in a body would be served (request
// smuggling).
func TestBadInput(t *testing.T) {
	t.Parallel()
	var passed atomic.Int64
	addr := testkit.Server(t, testkit.AnswerRequests(func(*http.Request,
		[]byte) string {
		passed.Add(1)
		return testkit.OKResponse("x")
	}))
	node := start(t, &Config{Settings: testkit.Settings(), Known: testkit.ReadyList(addr)})
	const host, id, left, key, none = "Host: h\r\n", "X-Correlation-Id: q\r\n", "X-Time-Left: 9\r\n",
		"Idempotency-Key: k\r\n", "Content-Length: 0\r\n"
	const get, post, head, end = "GET /read HTTP/1.1\r\n", "POST /order HTTP/1.1\r\n", host + id + left, "\r\n"
	hidden := post + "Host: h\r\nX-Correlation-Id: hidden\r\n" + left + none + end
	for text, want := range map[string]int{
		"\x16\x03\x01\r\n\r\n":                                                                                        400,
		get + host + left + end:                                                                                       400,
		get + host + id + id + left + end:                                                                             400,
		get + host + "X-Correlation-Id: \r\n" + left + end:                                                            400,
		get + host + id + end:                                                                                         400,
		get + head + left + end:                                                                                       400,
		get + host + id + "X-Time-Left: NaN\r\n" + end:                                                                400,
		get + host + id + "X-Time-Left: soon\r\n" + end:                                                               400,
		get + host + id + "X-Time-Left: -5\r\n" + end:                                                                 400,
		get + host + id + "X-Time-Left: 0x10\r\n" + end:                                                               400,
		get + host + id + "X-Time-Left: 1e3\r\n" + end:                                                                400,
		get + host + id + "X-Time-Left: .\r\n" + end:                                                                  400,
		get + head + "Content-Length: 1\r\n" + end + "x":                                                              400,
		get + head + key + end:                                                                                        400,
		"POST /tag HTTP/1.1\r\n" + head + none + end:                                                                  400,
		"POST /tag HTTP/1.1\r\n" + head + key + key + none + end:                                                      400,
		"POST /tag HTTP/1.1\r\n" + head + "Idempotency-Key:\r\n" + none + end:                                         400,
		post + head + key + none + end:                                                                                400,
		post + head + "Content-Length: -1\r\n" + end:                                                                  400,
		post + head + "Content-Length: x\r\n" + end:                                                                   400,
		post + head + "Content-Length: 3\r\nContent-Length: 4\r\n" + end + "abcd":                                     400,
		post + head + "Content-Length: 99999999999999999999\r\n" + end:                                                400,
		post + head + "Content-Length: 99999999999\r\n" + end:                                                         413,
		post + head + "Content-Length: 50000000\r\n" + end:                                                            413,
		post + head + "Transfer-Encoding: chunked\r\n" + end + "zz\r\n\r\n":                                           400,
		post + head + "Transfer-Encoding: gzip, chunked\r\n" + end + "0\r\n\r\n":                                      501,
		get + head + "Transfer-Encoding: chunked\r\n" + end + "0\r\n\r\n":                                             400,
		post + head + "Transfer-Encoding: chunked\r\n" + none + end + "0\r\n\r\n" + hidden:                            400,
		post + head + fmt.Sprintf("Transfer-Encoding: chunked\r\nContent-Length: %d\r\n", len(hidden)) + end + hidden: 400,
		"POST /order HTTP/1.0\r\n" + head + "Transfer-Encoding: chunked\r\n" + none + end:                             400,
		"GET /order HTTP/1.1\r\n" + head + end:                                                                        405,
		"POST /read HTTP/1.1\r\n" + head + none + end:                                                                 405,
		"DELETE /read HTTP/1.1\r\n" + head + end:                                                                      405,
		"POST /unheard-of HTTP/1.1\r\n" + head + none + end:                                                           404,
		"GET / HTTP/1.1\r\n" + host + end:                                                                             404,
		"OPTIONS * HTTP/1.1\r\n" + host + end:                                                                         404,
		"GET /favicon.ico HTTP/1.1\r\n" + host + end:                                                                  404,
		"GET /health/other HTTP/1.1\r\n" + host + end:                                                                 404,
		get + host + strings.Repeat("X-Pad: p\r\n", 1<<12) + end:                                                      431,
	} {
		conn, err := net.Dial("tcp", node.addr)
		if err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(testkit.WaitLimit))
		io.WriteString(conn, text+hidden)
		reader := bufio.NewReader(conn)
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("%.200q: %v", text, err)
		}
		io.Copy(io.Discard, resp.Body)
		if resp.StatusCode != want || !resp.Close {
			t.Errorf("%.200q: status %d, want %d; closes: %v", text, resp.StatusCode, want, resp.Close)
		}
		if more, err := io.ReadAll(reader); len(more) > 0 || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%.200q: another answer %q, %v", text, more, err)
		}
		conn.Close()
	}
	if passed.Load() > 0 {
		t.Errorf("%d requests reached the server", passed.Load())
	}
	unusualHints := post + head + "X-Weight-Hint: -1e400\r\nX-Facts: ,=,write\r\n" + none + end
	if resp, _ := node.roundTrip(t, unusualHints); resp.StatusCode != 200 {
		t.Errorf("odd hints: status %d", resp.StatusCode)
	}
}

// Connections on which nothing comes, or a head or body that never ends, are closed or answered within 3 s. Even many
// of them, and connections that stay open after a request, do not keep other clients from being served.
func TestSilentClients(t *testing.T) {
	t.Parallel()
	addr := testkit.Server(t, testkit.AnswerRequests(func(*http.Request, []byte) string { return testkit.OKResponse("x") }))
	node := start(t, &Config{Settings: testkit.Settings(), Known: testkit.ReadyList(addr),
		Limits: Limits{Cores: 1, MemoryMB: 192, Sockets: minSockets}})
	stuck := classRequest("order", "9.5", "abc")
	stuck = stuck[:len(stuck)-1]
	var waiting sync.WaitGroup
	for i := range 100 {
		text := []string{"", "GET /re", "GET /read HTTP/1.1\r\nX: y\r\n", stuck, classRequest("read", "9.5", "")}[i%5]
		conn, err := net.Dial("tcp", node.addr)
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(conn, text)
		waiting.Go(func() {
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(testkit.WaitLimit))
			if _, err := io.Copy(io.Discard, conn); errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("%.20q is left open", text)
			}
		})
	}
	// This has to succeed long before those connections time out.
	for end := time.Now().Add(testkit.WaitLimit); ; time.Sleep(50 * time.Millisecond) {
		if resp, _ := node.roundTrip(t, classRequest("read", "9.5", "")); resp.StatusCode == 200 {
			break
		} else if time.Now().After(end) {
			t.Fatal("a client is not served beside the silent ones")
		}
	}
	waiting.Wait()
}

// When a client disconnects, the connection of its attempt is closed, so that the server can stop working on it.
func TestClientGone(t *testing.T) {
	t.Parallel()
	arrived, closed := make(chan struct{}), make(chan struct{})
	addr := testkit.Server(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		close(arrived)
		reader.ReadByte()
		close(closed)
	})
	node := start(t, &Config{Settings: testkit.Settings(), Known: testkit.ReadyList(addr)})
	conn, err := net.Dial("tcp", node.addr)
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(conn, classRequest("order", "9.5", "b"))
	<-arrived
	conn.Close()
	select {
	case <-closed:
	case <-time.After(5 * time.Second): // less than the client's patience
		t.Error("the attempt continues")
	}
}

// A second request with the id of an open one is rejected. Otherwise it would never be answered, and could run twice.
func TestSameIDTwice(t *testing.T) {
	t.Parallel()
	arrived, release := make(chan struct{}, 9), make(chan struct{})
	addr := testkit.Server(t, testkit.AnswerRequests(func(*http.Request,
		[]byte) string {
		arrived <- struct{}{}
		<-release
		return testkit.OKResponse("x")
	}))
	node := start(t, &Config{Settings: testkit.Settings(), Known: testkit.ReadyList(addr)})
	text := classRequest("order", "9.5", "b")
	first := make(chan int)
	go func() { resp, _ := node.roundTrip(t, text); first <- resp.StatusCode }()
	<-arrived
	if resp, _ := node.roundTrip(t, text); resp.StatusCode != http.StatusConflict {
		t.Errorf("status %d", resp.StatusCode)
	}
	close(release)
	if status := <-first; status != 200 || len(arrived) > 0 {
		t.Errorf("status %d, %d more at the server", status, len(arrived))
	}
}

// SIGTERM loses no request: those in flight are answered, new connections are accepted for a moment more, requests on
// open connections are served until the end of the drain, and then the node ends.
func TestDrain(t *testing.T) {
	t.Parallel()
	arrived, release := make(chan struct{}, 1), make(chan struct{})
	addr := testkit.Server(t, testkit.AnswerRequests(func(*http.Request, []byte) string {
		select {
		case arrived <- struct{}{}:
		case <-release:
		}
		<-release
		return testkit.OKResponse("x")
	}))
	node := start(t, &Config{Settings: testkit.Settings(), Known: testkit.ReadyList(addr)})
	held := make(chan *http.Response)
	go func() { resp, _ := node.roundTrip(t, classRequest("order", "9.5", "b")); held <- resp }()
	<-arrived
	idle, err := net.Dial("tcp", node.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	node.stop()
	for end := time.Now().Add(testkit.WaitLimit); ; time.Sleep(time.Millisecond) {
		if resp, _ := node.roundTrip(t, "GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n"); resp.StatusCode == 503 {
			break
		} else if time.Now().After(end) {
			t.Fatal("still ready")
		}
	}
	late := make(chan *http.Response)
	go func() { resp, _ := node.roundTrip(t, classRequest("read", "9.5", "")); late <- resp }()
	<-arrived
	close(release)
	for _, answers := range []chan *http.Response{held, late} {
		if resp := <-answers; resp.StatusCode != 200 || resp.Close {
			t.Errorf("status %d, closes: %v", resp.StatusCode, resp.Close)
		}
	}
	kept, err := net.Dial("tcp", node.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer kept.Close()
	kept.SetDeadline(time.Now().Add(testkit.WaitLimit))
	reader, served := bufio.NewReader(kept), 0
	for { // continues after the listener has closed; the last answer closes the connection
		io.WriteString(kept, classRequest("read", "9.5", ""))
		resp, err := http.ReadResponse(reader, nil)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatal(err)
		}
		if err != nil { // closed between two requests
			break
		}
		io.Copy(io.Discard, resp.Body)
		if again, err := net.Dial("tcp", node.addr); err == nil {
			again.Close()
		} else {
			served++
		}
		time.Sleep(20 * time.Millisecond)
	}
	if served < 10 {
		t.Errorf("%d served after the listener had closed", served)
	}
	select {
	case err := <-node.ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(testkit.WaitLimit):
		t.Error("the node does not end")
	}
}

// At its limit of open requests a node refuses others at once, and each accepted connection gets an answer.
func TestBounds(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	addr := testkit.Server(t, testkit.AnswerRequests(func(*http.Request, []byte) string { <-release; return testkit.OKResponse("x") }))
	config := &Config{Settings: testkit.Settings(), Known: testkit.ReadyList(addr),
		Limits: Limits{Cores: 1, MemoryMB: 192, Sockets: minSockets}}
	config.Settings.MaxOpen = 1
	node := start(t, config)
	statuses := make(chan int, 60)
	for range cap(statuses) {
		go func() {
			resp, _ := node.roundTrip(t, classRequest("read", "9.5", ""))
			if resp.StatusCode == 503 && resp.Header.Get("Retry-After") == "" {
				t.Error("no Retry-After")
			}
			statuses <- resp.StatusCode
		}()
	}
	count := map[int]int{}
	for range cap(statuses) - 1 {
		count[<-statuses]++
	}
	close(release)
	count[<-statuses]++
	if count[503] != cap(statuses)-1 || count[200] != 1 {
		t.Errorf("statuses %v", count)
	}
}
