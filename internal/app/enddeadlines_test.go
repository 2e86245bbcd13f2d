package app

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"starlingvalve/internal/testkit"
)

// endWithSilent stops a node that has requests of all classes at a server that hangs, a connection on which nothing
// ever came, an idle one, and one with half a request head. It returns the time from the stop to the node's exit, and
// the time after which the platform kills the node.
func endWithSilent(t *testing.T, deadline time.Duration) (took, kill time.Duration) {
	t.Helper()
	s := within(deadline)
	s.MayProbe = false
	server := newHolding(t, "0", "1", "2")
	conf := &Config{Settings: s, Known: testkit.Known(server.addr)}
	held := new(bytes.Buffer) // gets a warning if the node exits with connections open
	n := startLogged(t, conf, slog.New(slog.NewTextHandler(held, &slog.HandlerOptions{Level: slog.LevelWarn})))
	n.waitReady(t, 200)
	mute, resting, half := n.dial(t), n.dial(t), n.dial(t)
	if status, _, err := resting.ping(t); status != http.StatusOK || err != nil {
		t.Fatal(status, err)
	}
	var open []client
	for i, class := range s.Classes {
		c := n.dial(t)
		io.WriteString(c, request(class, fmt.Sprint(i), "60"))
		open = append(open, c)
	}
	for range open {
		<-server.came
	}
	text := request(s.Classes[0], "half", "60")
	io.WriteString(half, text[:len(text)/2])
	began := time.Now()
	n.stop()
	for i, c := range open {
		if status, _, err := c.answer(t); status < http.StatusBadRequest || err != nil {
			t.Errorf("%s: %d %v, want an answer with an error status", s.Classes[i].Name, status, err)
		}
	}
	<-n.ended
	took = time.Since(began)
	if held.Len() > 0 {
		t.Errorf("the exit waited for silent connections: %s", held)
	}
	for name, c := range map[string]client{"mute": mute, "resting": resting} {
		if text, err := io.ReadAll(c.r); len(text) > 0 || err != nil {
			t.Errorf("%s: %q, %v; want an orderly close without data", name, text, err)
		}
	}
	return took, conf.drainTime() + killMargin
}

// A node that is stopped answers every request and exits before the platform kills it, whatever its longest deadline
// is and whichever connections are silent then.
func TestEndAtEachDeadline(t *testing.T) {
	t.Parallel()
	for _, milliseconds := range []int{150, 400, 1000, 2000, 3000, 5000, 8000} {
		deadline := time.Duration(milliseconds) * time.Millisecond
		t.Run(deadline.String(), func(t *testing.T) {
			t.Parallel()
			for range punctualRuns {
				late := lateness()
				took, kill := endWithSilent(t, deadline)
				own := late()
				if took <= kill {
					t.Logf("ended after %v, limit %v", took, kill)
					return
				}
				if took-own > kill {
					t.Fatalf("exited after %v, killed after %v; this process was %v late", took, kill, own)
				}
			}
			t.Errorf("this process was late %d times", punctualRuns)
		})
	}
}
