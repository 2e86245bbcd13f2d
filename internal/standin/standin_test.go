package standin

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

func server(t *testing.T, o ServerOptions, work map[string]Work) *Server {
	t.Helper()
	s, err := NewServer(o, work)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// sendRequest sends one request directly to a server, and returns the answer's status and first line.
func sendRequest(t *testing.T, addr, class, key, order, id string) (status int, first string) {
	t.Helper()
	c, err := dialNode(addr, 5*time.Second)
	if err != nil {
		t.Error(err)
		return 0, ""
	}
	defer c.Close()
	a := Answer{Order: order, ID: id, Key: key, Deadline: time.Now().Add(20 * time.Second)}
	c.roundTrip(Class{Name: class, Method: "POST", BodyBytes: 10}, &a, 0)
	return a.Status, a.FirstLine
}

func TestServerKeepsItsLog(t *testing.T) {
	s := server(t, ServerOptions{Name: "s1", Dedup: &Dedup{Window: time.Hour}}, map[string]Work{"tag": {Bytes: 100}})
	for range 2 {
		if status, first := sendRequest(t, s.Addr, "tag", "k", "o", "i"); status != 200 || first != "s1 i" {
			t.Fatal(status, first)
		}
	}
	if status, _ := sendRequest(t, s.Addr, "nothing", "", "o", "i"); status != 404 {
		t.Errorf("an unknown class: %d", status)
	}
	executions := s.Log()
	if len(executions) != 2 || !executions[0].Ran || executions[0].Repeat || !executions[1].Repeat ||
		executions[0].Order != "o" || executions[0].Key != "k" || executions[0].ID != "i" {
		t.Errorf("%+v", executions)
	}
	s.SetUnresponsive(true)
	done := make(chan int)
	go func() { status, _ := sendRequest(t, s.Addr, "tag", "q", "o", "j"); done <- status }()
	for s.InFlight() == 0 {
		time.Sleep(time.Millisecond)
	}
	s.Close()
	if status := <-done; status != 0 {
		t.Errorf("an unresponsive server answered %d", status)
	}
}

func TestServerRejectsUnprocessed(t *testing.T) {
	s := server(t, ServerOptions{Name: "s1", Cores: 1, MaxRequests: 1}, map[string]Work{"order": {Time: time.Hour}})
	go sendRequest(t, s.Addr, "order", "", "a", "a")
	for s.InFlight() == 0 {
		time.Sleep(time.Millisecond)
	}
	if status, _ := sendRequest(t, s.Addr, "order", "", "b", "b"); status != 503 {
		t.Errorf("status %d", status)
	}
	if l := s.Log(); len(l) != 2 || !l[0].Ran || l[1].Ran {
		t.Errorf("%+v", l)
	}
}

func TestRegistryWatch(t *testing.T) {
	registry, err := NewRegistry(Entry{ID: "s-00000001", Addr: "127.0.0.1:1", State: "ready"},
		Entry{ID: "s-00000002", Addr: "127.0.0.1:2", State: "ready"})
	if err != nil {
		t.Fatal(err)
	}
	defer registry.Close()
	get := func(query string) (l struct {
		Version uint64
		Full    bool
		Servers []Entry
	}) {
		resp, err := http.Get("http://" + registry.Addr + "/registry/instances" + query)
		if err != nil {
			t.Error(err)
			return
		}
		defer resp.Body.Close()
		if err := json.NewDecoder(resp.Body).Decode(&l); err != nil {
			t.Error(err)
		}
		return
	}
	if l := get(""); !l.Full || l.Version != 1 || len(l.Servers) != 2 {
		t.Errorf("%+v", l)
	}
	if l := get("?since=1&timeout_ms=1"); l.Full || l.Version != 1 || len(l.Servers) != 0 {
		t.Errorf("%+v", l)
	}
	changed := make(chan string)
	go func() {
		l := get("?since=1&timeout_ms=30000")
		changed <- fmt.Sprint(l.Version, " ", len(l.Servers), " ", l.Servers[0].State)
	}()
	registry.Set(Entry{ID: "s-00000002", State: "gone"})
	if got := <-changed; got != "2 1 gone" {
		t.Error(got)
	}
	if l := get(""); len(l.Servers) != 1 {
		t.Errorf("%+v", l)
	}
	if notifications := registry.Notifications(); len(notifications) != 2+1+1 || notifications[2].State != "gone" {
		t.Errorf("%+v", notifications)
	}
}

// serveReplies listens in place of a node: reply returns the bytes of the answer to each request, or "" to break
// the connection.
func serveReplies(t *testing.T, reply func(id string) string) string {
	t.Helper()
	return serveConns(t, func(_ net.Conn, id string) string { return reply(id) })
}

// serveConns is serveReplies for a reply that depends on the connection.
func serveConns(t *testing.T, reply func(conn net.Conn, id string) string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var open sync.WaitGroup
	t.Cleanup(func() { l.Close(); open.Wait() })
	open.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			open.Go(func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					h, err := readHead(r)
					if err != nil {
						return
					}
					r.Discard(h.length)
					text := reply(c, h.id)
					if text == "" {
						return
					}
					io.WriteString(c, text)
				}
			})
		}
	})
	return l.Addr().String()
}

func okResponse(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\ns1 %s\n..", len(id)+6, id)
}

// Guards against clients that miss a wrong answer (none, another request's, or one followed by a second) and
// against clients that try again where a second execution would do harm.
func TestClientsSeeFaults(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.001\r\nX-Refused-By: node\r\nContent-Length: 0\r\n\r\n"
	class := Class{Name: "order", Method: "POST", Worth: 3, Aim: time.Minute, Patience: time.Minute, Share: 1,
		BodyBytes: 5}
	read := class
	read.Method = "GET"
	for name, c := range map[string]struct {
		class        Class
		reply        func(id string) string
		tries        int
		served       bool
		fault        string
		refusedTries int
	}{
		"served":            {class, okResponse, 1, true, "", 0},
		"no answer, unsafe": {class, func(string) string { return "" }, 1, false, "EOF", 0},
		"no answer, safe":   {read, func(string) string { return "" }, 3, false, "EOF", 0},
		"another's answer": {class, func(string) string { return okResponse("other") }, 1, false,
			"another request's", 0},
		"two answers": {class, func(id string) string { return okResponse(id) + okResponse(id) }, 1, false,
			"second", 0},
		"refused": {class, func(string) string { return refusal }, 3, false, "", 3},
		"refused, then served": {class, func(id string) string {
			if strings.HasSuffix(id, ".0") {
				return refusal
			}
			return okResponse(id)
		}, 2, true, "", 1},
	} {
		load := &Load{Addr: serveReplies(t, c.reply), Classes: []Class{c.class}, Retries: 2, KeepLog: true}
		var own *clientConn
		load.runOrder(t.Context(), c.class, func() (*clientConn, error) {
			var err error
			own, err = dialNode(load.Addr, 5*time.Second)
			return own, err
		}, func(c *clientConn, _ bool) { c.Close() })
		log, s := load.Log(), load.Sums()
		last := log[len(log)-1]
		if len(log) != c.tries || last.Served() != c.served || !strings.Contains(last.Failure, c.fault) ||
			s.RefusedTries != c.refusedTries ||
			s.RefusedByNode != c.refusedTries || s.Orders != 1 || (s.WorthFraction() == 1) != c.served {
			t.Errorf("%s: %+v, %+v", name, log, s)
		}
	}
}

func TestLoads(t *testing.T) {
	s := server(t, ServerOptions{Name: "s1"}, map[string]Work{"order": {Bytes: 50}})
	class := Class{Name: "order", Method: "POST", Worth: 1, Aim: time.Minute, Patience: time.Minute, Share: 1}
	for _, open := range []bool{false, true} {
		ctx, cancel := context.WithCancel(t.Context())
		load := &Load{Addr: s.Addr, Classes: []Class{class}, KeepLog: true}
		done := make(chan struct{})
		go func() {
			defer close(done)
			if open {
				load.RunOpen(ctx, 500, 100)
			} else {
				load.RunClosed(ctx, 4, 0)
			}
		}()
		for load.Sums().Served < 50 {
			time.Sleep(time.Millisecond)
		}
		cancel()
		<-done
		if s := load.Sums(); s.Served != s.Orders || s.WorthFraction() != 1 {
			t.Errorf("open %v: %+v", open, s)
		}
	}
}

// Guards against a client that fails a request which merely crossed the close of a kept connection: it has to send
// the request again, once, under the same id. A request lost on a new connection stays lost.
func TestRequestCrossingCloseIsResent(t *testing.T) {
	class := Class{Name: "order", Method: "POST", Worth: 1, Aim: time.Minute, Patience: time.Minute, Share: 1}
	for lost, want := range map[int]bool{2: true, 1: false} {
		var mu sync.Mutex
		n := 0
		load := &Load{Classes: []Class{class}, KeepLog: true, CloseCrossing: time.Minute,
			Addr: serveReplies(t, func(id string) string {
				mu.Lock()
				defer mu.Unlock()
				if n++; n == lost {
					return ""
				}
				return okResponse(id)
			})}
		for range lost {
			load.runOrder(t.Context(), class, load.takeConn, load.putConn)
		}
		for _, c := range load.idle { // otherwise the listener would wait for them
			c.Close()
		}
		log, s := load.Log(), load.Sums()
		if last := log[len(log)-1]; len(log) != lost || last.Served() != want || (s.Resent == 1) != want {
			t.Errorf("lost the request %d: %+v, resent %d", lost, log, s.Resent)
		}
	}
}

// Guards against a client that sends the request again on another kept connection, which the node closes at the same time
// when it drops all of them at a handover: the request has to go out on a new connection, as the protocol says.
func TestCrossedRequestIsResentOnNewConnection(t *testing.T) {
	class := Class{Name: "order", Method: "POST", Worth: 1, Aim: time.Minute, Patience: time.Minute, Share: 1}
	load := &Load{Classes: []Class{class}, KeepLog: true, CloseCrossing: time.Minute}
	var mu sync.Mutex
	answered := map[net.Conn]bool{}
	load.Addr = serveConns(t, func(conn net.Conn, id string) string {
		mu.Lock()
		defer mu.Unlock()
		if answered[conn] {
			return "" // the node closes each kept connection as its second request arrives
		}
		answered[conn] = true
		return okResponse(id)
	})
	for range 3 { // three idle connections, each of which has carried a request
		connection, err := dialNode(load.Addr, 5*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		load.runOrder(t.Context(), class, func() (*clientConn, error) { return connection, nil }, load.putConn)
	}
	load.runOrder(t.Context(), class, load.takeConn, load.putConn)
	for _, c := range load.idle { // otherwise the listener would wait for them
		c.Close()
	}
	log, s := load.Log(), load.Sums()
	if last := log[len(log)-1]; !last.Served() || last.ResentAt.IsZero() || s.Resent != 1 || len(answered) != 4 {
		t.Errorf("%+v, resent %d, %d connections", last, s.Resent, len(answered))
	}
}

// Guards against clients that hang up at the deadline itself, while the check allows an answer AnswerSlack later: one that
// comes some milliseconds late on a busy machine then counted as lost.
func TestAnswerWithinSlackIsSeen(t *testing.T) {
	class := Class{Name: "order", Method: "POST", Worth: 1, Aim: time.Second, Patience: 50 * time.Millisecond, Share: 1}
	for try := 0; ; try++ {
		answered := make(chan time.Time, 1)
		load := &Load{Classes: []Class{class}, KeepLog: true}
		load.Addr = serveReplies(t, func(id string) string {
			time.Sleep(class.Patience + 5*time.Millisecond)
			answered <- time.Now()
			return okResponse(id)
		})
		load.runOrder(t.Context(), class, load.takeConn, load.putConn)
		for _, c := range load.idle { // otherwise the listener would wait for them
			c.Close()
		}
		answer := load.Log()[0]
		if late := (<-answered).Sub(answer.Deadline); late > AnswerSlack/2 && try < 20 {
			continue // the machine delayed the answer itself
		}
		if verdict := checkAnswered(Evidence{Answers: []Answer{answer}}); verdict.ViolationCount > 0 {
			t.Error(verdict)
		}
		if !answer.EndedAt.After(answer.Deadline) {
			t.Errorf("not late: %+v", answer)
		}
		return
	}
}
