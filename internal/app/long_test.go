package app

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"starlingvalve/internal/testkit"
)

// patternBody is a body of n bytes whose blocks of 1 KB all differ, so that misplaced data is noticed.
func patternBody(n int) []byte {
	var b bytes.Buffer
	for i := 0; b.Len() < n; i++ {
		sum := sha256.Sum256([]byte{byte(i), byte(i >> 8), byte(i >> 16)})
		b.Write(bytes.Repeat(sum[:], 32))
	}
	return b.Bytes()[:n]
}

// chunkedBody encodes a body in chunks of size bytes, with chunk extensions and a trailer.
func chunkedBody(body []byte, size int) string {
	var b strings.Builder
	for len(body) > 0 {
		n := min(size, len(body))
		fmt.Fprintf(&b, "%x;ext=\"a;b\"\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return b.String() + "0\r\nX-Sum: 1\r\n\r\n"
}

// Long answers arrive unchanged, in each way in which the end of an answer is marked.
func TestLongAnswers(t *testing.T) {
	t.Parallel()
	want := patternBody(3<<20 + 17)
	for name, answer := range map[string]string{
		"by length":          testkit.OKResponse(string(want)),
		"by chunks":          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunkedBody(want, 100_000),
		"by small chunks":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunkedBody(want, 999),
		"by connection":      "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + string(want),
		"with another after": testkit.OKResponse(string(want)) + testkit.OKResponse("x"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr := testkit.Server(t, func(c net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				for text := answer; text != ""; { // in pieces whose size is no multiple of a buffer's
					size := min(len(text), 70_001)
					io.WriteString(c, text[:size])
					text = text[size:]
				}
				if name != "by connection" {
					io.Copy(io.Discard, c)
				}
			})
			node := start(t, &Config{Settings: testkit.Settings(), Known: testkit.ReadyList(addr)})
			resp, got := node.roundTrip(t, classRequest("read", "9.5", ""))
			if resp.StatusCode != 200 || got != string(want) {
				t.Errorf("status %d, %d bytes of %d", resp.StatusCode, len(got), len(want))
			}
		})
	}
}

// A long answer that the server does not complete, or whose length is wrong, never looks complete to the client.
func TestLongAnswerCut(t *testing.T) {
	t.Parallel()
	body := patternBody(1 << 20)
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunkedBody(body, 65_000)
	complete := testkit.OKResponse(string(body))
	for name, answer := range map[string]string{
		"length, half":       complete[:1<<19],
		"length, last byte":  complete[:len(complete)-1],
		"length, noise":      complete + "\x8e1\xc0",
		"chunks, half":       chunked[:1<<19],
		"chunks, in a size":  chunked[:strings.LastIndex(chunked, "0\r\nX-Sum")+1],
		"chunks, no trailer": chunked[:len(chunked)-2],
		"chunks, malformed":  chunked[:1<<19] + "\x00zz" + chunked[1<<19:],
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr := testkit.Server(t, func(conn net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					io.WriteString(conn, answer)
				}
			})
			node := start(t, &Config{Settings: testkit.Settings(), Known: testkit.ReadyList(addr)})
			conn, err := net.Dial("tcp", node.addr)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(testkit.WaitLimit))
			io.WriteString(conn, classRequest("read", "9.5", ""))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				return // cut off before its head, which the client notices too
			}
			if got, err := io.ReadAll(resp.Body); err == nil && resp.StatusCode == 200 {
				t.Errorf("%d bytes look like a complete answer", len(got))
			}
		})
	}
}

// Long request bodies are streamed to the server, with a length or in chunks. Short ones in chunks are buffered, and
// sent with a length.
func TestLongBodies(t *testing.T) {
	t.Parallel()
	type got struct {
		body   []byte
		length int64
	}
	seen := make(chan got, 8)
	addr := testkit.Server(t, testkit.AnswerRequests(func(r *http.Request, body []byte) string {
		seen <- got{body, r.ContentLength}
		return testkit.OKResponse("done")
	}))
	node := start(t, &Config{Settings: testkit.Settings(), Known: testkit.ReadyList(addr)})
	head := func(form string) string {
		return fmt.Sprintf("POST /order HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: long%d\r\nX-Time-Left: 9\r\n%s\r\n\r\n",
			lastRequestID.Add(1), form)
	}
	for _, size := range []int{1, 64 << 10, 64<<10 + 1, 3 << 20} {
		body := patternBody(size)
		for form, text := range map[string]string{
			fmt.Sprintf("Content-Length: %d", size): string(body),
			"Transfer-Encoding: chunked":            chunkedBody(body, 30_000),
		} {
			resp, answer := node.roundTrip(t, head(form)+text)
			if resp.StatusCode != 200 || answer != "done" {
				t.Fatalf("%d bytes, %s: status %d", size, form, resp.StatusCode)
			}
			received := <-seen
			if want := int64(size); !bytes.Equal(received.body, body) || received.length != want &&
				(size < 64<<10 || received.length != -1) {
				t.Errorf("%d bytes, %s: the server got %d, length %d", size, form, len(received.body), received.length)
			}
		}
	}
}

// A request whose body was never sent to the end has not run: it may be refused. There is no second attempt with the
// rest of the body.
func TestLongBodyServerBreaks(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	heads := 0
	addr := testkit.Server(t, func(conn net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			mu.Lock()
			heads++
			mu.Unlock()
			io.CopyN(io.Discard, conn, 1<<19)
			conn.(*net.TCPConn).SetLinger(0)
		}
	})
	node := start(t, &Config{Settings: testkit.Settings(), Known: testkit.ReadyList(addr)})
	body := patternBody(8 << 20)
	conn, err := net.Dial("tcp", node.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testkit.WaitLimit))
	go fmt.Fprintf(conn, "POST /order HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: breaks\r\nX-Time-Left: 9\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != 503 || !resp.Close {
		t.Errorf("status %d, closes %v", resp.StatusCode, resp.Close)
	}
	mu.Lock()
	defer mu.Unlock()
	if heads != 1 {
		t.Errorf("%d attempts", heads)
	}
}

// A body that arrives too slowly or stalls is rejected with status 408. One at the pace of a good client is accepted.
func TestPaceOfBodies(t *testing.T) {
	t.Parallel()
	addr := testkit.Server(t, testkit.AnswerRequests(func(*http.Request, []byte) string { return testkit.OKResponse("done") }))
	node := start(t, &Config{Settings: testkit.Settings(), Known: testkit.ReadyList(addr)})
	const size = 200_000
	for name, pace := range map[string]int{"good": 64_000, "trickle": 10_000, "stall": 0} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn, err := net.Dial("tcp", node.addr)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(testkit.WaitLimit))
			began := time.Now()
			fmt.Fprintf(conn, "POST /order HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: pace%s\r\nX-Time-Left: 9\r\nContent-Length: %d\r\n\r\n", name, size)
			stop := make(chan struct{})
			var writing sync.WaitGroup
			writing.Go(func() {
				tick := time.NewTicker(50 * time.Millisecond)
				defer tick.Stop()
				for sent := 0; sent < size; {
					piece := min(size-sent, max(0, int(time.Since(began).Seconds()*float64(pace))-sent)) // a late tick is made up for
					if _, err := conn.Write(make([]byte, piece)); err != nil {
						return
					}
					sent += piece
					select {
					case <-stop:
						return
					case <-tick.C:
					}
				}
			})
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			close(stop)
			writing.Wait()
			switch {
			case err != nil:
				t.Fatal(err)
			case name == "good" && resp.StatusCode != 200, name != "good" && resp.StatusCode != 408:
				t.Errorf("status %d after %v", resp.StatusCode, time.Since(began))
			}
		})
	}
}
