package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"starlingvalve/internal/standin"
)

// readStats reads the statistics from the operators' address.
func (n *replaceable) figures() map[string]int {
	n.t.Helper()
	resp, err := http.Get("http://" + n.second + "/stats")
	if err != nil {
		n.t.Fatal(err)
	}
	defer resp.Body.Close()
	out := map[string]int{}
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		name, rest, _ := strings.Cut(lines.Text(), ":")
		v, _, _ := strings.Cut(rest, "|")
		if out[name], err = strconv.Atoi(v); err != nil {
			n.t.Fatalf("%q: %v", lines.Text(), err)
		}
	}
	return out
}

// When no request is in flight any more, the statistics agree with the clients and the server's log: requests served,
// refused, malformed, and abandoned by their clients, and attempts sent. Counters never decrease.
func TestFiguresAreTrue(t *testing.T) {
	n := newReplaceable(t)
	n.server.SetWork(map[string]standin.Work{"c": {Time: 20 * time.Millisecond, Bytes: 100}})
	n.server.Room = 6
	process := n.start()
	var mu sync.Mutex
	ends, gone := map[string]int{}, 0
	end := func(status int) {
		mu.Lock()
		defer mu.Unlock()
		switch status {
		case 200:
			ends["answered"]++
		case 503:
			ends["deferred"]++
		default:
			ends["errored"]++
		}
	}
	var asking sync.WaitGroup
	for i := range 16 {
		asking.Go(func() {
			for k := range 40 {
				c, err := net.Dial("tcp", n.listen)
				if err != nil {
					t.Error(err)
					return
				}
				c.SetDeadline(time.Now().Add(20 * time.Second))
				left := "3"
				if k%10 == 3 {
					left = "soon" // malformed
				}
				fmt.Fprintf(c, "POST /c HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: f%d.%d\r\nX-Time-Left: %s\r\nContent-Length: 0\r\n\r\n", i, k, left)
				if k%10 == 7 {
					c.Close() // the request may still be served
					mu.Lock()
					gone++
					mu.Unlock()
					continue
				}
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil {
					t.Errorf("%d.%d: %v", i, k, err)
					c.Close()
					continue
				}
				io.Copy(io.Discard, resp.Body)
				c.Close()
				end(resp.StatusCode)
			}
		})
	}
	quiet := make(chan struct{})
	go func() { asking.Wait(); close(quiet) }()
	last := n.figures()
	for over := false; !over; {
		select {
		case <-quiet:
			over = true
		case <-time.After(20 * time.Millisecond):
		}
		now := n.figures()
		for name, v := range now {
			if v < last[name] && name != "gw.current" && !strings.HasPrefix(name, "gw.cluster") && !strings.HasPrefix(name, "gw.list.") { // gauges
				t.Errorf("%s went from %d to %d", name, last[name], v)
			}
		}
		last = now
	}
	for deadline := time.Now().Add(20 * time.Second); n.figures()["gw.current"] > 0 && time.Now().Before(deadline); {
		time.Sleep(5 * time.Millisecond)
	}
	f, sum := n.figures(), 0
	for name, want := range ends {
		got := f["gw.transactions.c."+name]
		if sum += got - want; got < want {
			t.Errorf("%s: %d, the clients counted %d", name, got, want)
		}
	}
	if sum > gone {
		t.Errorf("%d more results than the clients counted, of whom %d disconnected: %v, %v", sum, gone, f, ends)
	}
	if got := len(n.server.Log()); f["gw.sends"] != got {
		t.Errorf("sends %d, the server got %d", f["gw.sends"], got)
	}
	if f["gw.current"] != 0 || f["gw.cluster_size"] != 1 || ends["answered"] == 0 || ends["errored"] == 0 {
		t.Errorf("%v, %v", f, ends)
	}
	process.Process.Kill()
}
