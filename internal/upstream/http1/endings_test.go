package http1

import (
	"io"
	"net"
	"testing"
	"time"

	"starlingvalve/decide"
	"starlingvalve/internal/core"
	"starlingvalve/internal/testkit"
)

// The time in which servers remember an idempotency key ends while a request is being written. Its last byte must not
// be written: the server could have forgotten an earlier attempt with that key, and run the request again.
func TestWindowEndsWithinWrite(t *testing.T) {
	t.Parallel()
	whole, done := make(chan bool, 1), make(chan bool)
	const size = 4 << 20
	addr := testkit.Server(t, func(c net.Conn) {
		c.(*net.TCPConn).SetReadBuffer(4 << 10)
		<-done // reads nothing before the window is over, so that the write cannot finish
		n, _ := io.Copy(io.Discard, c)
		whole <- n >= size
	})
	b := New(testkit.Settings(), 192, 10, nil, testkit.Quiet)
	b.Update(testkit.Known(addr))
	c, err := b.connect(t.Context(), b.find(1), get(testkit.Patient))
	if err != nil {
		t.Fatal(err)
	}
	c.Conn.(*net.TCPConn).SetWriteBuffer(4 << 10)
	b.release(b.find(1), c, true)
	x := get(testkit.Patient)
	x.Method, x.Body, x.WriteBy = "POST", make([]byte, size), time.Now().Add(200*time.Millisecond)
	r := b.do(t.Context(), b.find(1), x)
	if r.Code != decide.ConnectFailed || time.Now().Before(x.WriteBy) || time.Until(x.Deadline) < testkit.Patient/2 {
		t.Errorf("outcome %v (%v) with %v left until the deadline; want a failure to connect when the window ends", r.Code, r.Err, time.Until(x.Deadline))
	}
	close(done)
	if <-whole {
		t.Error("the server received the whole request")
	}
	b.Update(core.List{Full: true})
	if b.open != 0 {
		t.Errorf("%d connections are open, want none", b.open)
	}
}

// The time until the deadline of the next read of a streamed body.
func TestPatience(t *testing.T) {
	t.Parallel()
	now := time.Now()
	const s, kB = time.Second, 1 << 10
	for name, c := range map[string]struct {
		a    answer
		want time.Duration
	}{
		"a length is known: a stall of 8 s":                {answer{frame: byLength, taken: kB, wholeBy: now}, 8 * s},
		"long, and it keeps its pace":                      {answer{frame: byChunks, taken: 800 * kB, waited: 95 * s, wholeBy: now}, 8 * s},
		"long, and it trickles: it ends":                   {answer{frame: byLength, taken: 80 * kB, waited: 18 * s, wholeBy: now}, 0},
		"long, half a second slower than the least pace":   {answer{frame: byClose, taken: 80 * kB, waited: 10*s + s/2, wholeBy: now}, 7*s + s/2},
		"short so far: with its request":                   {answer{frame: byChunks, taken: kB, passed: now.Add(-s), wholeBy: now.Add(s)}, s},
		"short so far, its time over: at once":             {answer{frame: byClose, taken: kB, passed: now.Add(-s), wholeBy: now}, 0},
		"short so far and fast: it may be long":            {answer{frame: byChunks, taken: 60 * kB, passed: now.Add(-s), wholeBy: now.Add(-s)}, longWait},
		"fast, and its time is not over":                   {answer{frame: byClose, taken: 60 * kB, passed: now.Add(-s), wholeBy: now.Add(s)}, s},
		"fast at first, and it has stopped for a while: 0": {answer{frame: byChunks, taken: 60 * kB, passed: now.Add(-4 * s), wholeBy: now.Add(-s)}, -s},
	} {
		if got := c.a.patience(now).Sub(now).Round(time.Millisecond); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}
