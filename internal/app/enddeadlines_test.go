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
	settings := settingsWithDeadline(deadline)
	settings.MayProbe = false
	server := newHoldingServer(t, "0", "1", "2")
	config := &Config{Settings: settings, Known: testkit.ReadyList(server.addr)}
	held := new(bytes.Buffer) // gets a warning if the node exits with connections open
	node := startLogged(t, config, slog.New(slog.NewTextHandler(held, &slog.HandlerOptions{Level: slog.LevelWarn})))
	node.waitReady(t, 200)
	silent, resting, half := node.dial(t), node.dial(t), node.dial(t)
	if status, _, err := resting.ping(t); status != http.StatusOK || err != nil {
		t.Fatal(status, err)
	}
	var open []client
	for i, class := range settings.Classes {
		conn := node.dial(t)
		io.WriteString(conn, request(class, fmt.Sprint(i), "60"))
		open = append(open, conn)
	}
	for range open {
		<-server.arrived
	}
	text := request(settings.Classes[0], "half", "60")
	io.WriteString(half, text[:len(text)/2])
	began := time.Now()
	node.stop()
	for i, conn := range open {
		if status, _, err := conn.answer(t); status < http.StatusBadRequest || err != nil {
			t.Errorf("%s: %d %v, want an answer with an error status", settings.Classes[i].Name, status, err)
		}
	}
	<-node.ended
	took = time.Since(began)
	if held.Len() > 0 {
		t.Errorf("the exit waited for silent connections: %s", held)
	}
	for name, conn := range map[string]client{"silent": silent, "resting": resting} {
		if text, err := io.ReadAll(conn.r); len(text) > 0 || err != nil {
			t.Errorf("%s: %q, %v; want an orderly close without data", name, text, err)
		}
	}
	return took, config.drainTime() + killMargin
}

// A node that is stopped answers every request and exits before the platform kills it, whatever its longest deadline
// is and whichever connections are silent then.
func TestEndAtEachDeadline(t *testing.T) {
	t.Parallel()
	for _, milliseconds := range []int{150, 400, 1000, 2000, 3000, 5000, 8000} {
		deadline := time.Duration(milliseconds) * time.Millisecond
		t.Run(deadline.String(), func(t *testing.T) {
			t.Parallel()
			for range maxLateRuns {
				late := measureLateness()
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
			t.Errorf("this process was late %d times", maxLateRuns)
		})
	}
}
