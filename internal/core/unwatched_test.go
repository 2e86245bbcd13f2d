package core

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"starlingvalve/decide"
	"starlingvalve/internal/serverlist"
	"starlingvalve/internal/stats"
)

// lockedBuffer is a buffer for concurrent use.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

// line waits for a line that contains a text.
func (b *lockedBuffer) line(t *testing.T, text string) string {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		b.mu.Lock()
		lines := strings.Split(b.buffer.String(), "\n")
		b.mu.Unlock()
		for _, line := range lines {
			if strings.Contains(line, text) {
				return line
			}
		}
	}
	t.Fatalf("no line with %q", text)
	return ""
}

// Guards against incidents that logs can't explain: a request goes to a server by a list that no watch keeps up to
// date, and the next list says that the server is draining. The log then names the request and what it rested on.
func TestUnwatchedSendsAreLogged(t *testing.T) {
	t.Parallel()
	settings := loopSettings()
	settings.NotifiedWithin = 6 * time.Second
	ports, logged, metrics := newFakePorts(), &lockedBuffer{}, stats.New([]string{"order"})
	ctx, cancel := context.WithCancel(context.Background())
	loop, err := New(ctx, Options{Settings: settings, Seed: 1, Transport: ports, Membership: ports, Messenger: ports,
		Metrics: metrics, Log: slog.New(slog.NewTextHandler(logged, &slog.HandlerOptions{Level: slog.LevelDebug}))})
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() { defer close(done); loop.Run(List{Version: 1, Entries: oneServer}) }()
	t.Cleanup(func() { cancel(); <-done })

	loop.post(func() { loop.execute(decide.FetchList{}) })
	ports.expect(t, "update 3") // discovery confirms the list, and no watch is open
	ports.reply <- Result{Code: decide.OK}
	if answer, _ := loop.Do(t.Context(), newTestRequest("order", "q", testTimeout)); answer.Status != 200 {
		t.Fatalf("status %d", answer.Status)
	}
	if line := logged.line(t, "send without a watch"); !strings.Contains(line, "request=q attempt=0 server=1 basis=confirmed") {
		t.Error(line)
	}
	var figures strings.Builder
	metrics.WriteTo(&figures)
	for _, want := range []string{"unwatched.confirmed:1|c\n", "unwatched.unreachable:0|c\n", "unwatched.peer:0|c\n",
		"unwatched.no_answer:0|c\n"} {
		if !strings.Contains(figures.String(), want) {
			t.Errorf("no %q in %s", want, figures.String())
		}
	}

	loop.post(func() { loop.execute(decide.Subscribe{On: true}) })
	draining := oneServer[0]
	draining.Name, draining.State = "s1", decide.Draining
	ports.lists <- List{Version: 4, Entries: []Entry{draining}, Source: serverlist.SourceWatch}
	line := logged.line(t, "sent to a server before the list reported it")
	for _, want := range []string{"server=s1", "state=draining", "request=q", "basis=confirmed"} {
		if !strings.Contains(line, want) {
			t.Errorf("no %q in %s", want, line)
		}
	}
	if line := logged.line(t, `msg="sent without a watch"`); !strings.Contains(line, "confirmed=1 ") {
		t.Error(line)
	}
}

// Guards against memory that grows with the number of attempts, and against a line about a server that names another
// attempt than the latest.
func TestUnwatchedSendsAreBounded(t *testing.T) {
	now := time.Now()
	var sends unwatchedSends
	for i := range 3 * recentSends {
		sends.add(unwatchedSend{server: decide.ServerID(i % 2), attempt: i, at: now,
			basis: decide.SendBasis{Kind: decide.BasisPeer, Age: time.Duration(i)}})
	}
	sends.add(unwatchedSend{server: 7, at: now.Add(-recentSendTime)})
	latest := sends.latestByServer(now)
	if len(latest) != 2 || latest[0].attempt != 3*recentSends-2 || latest[1].attempt != 3*recentSends-1 {
		t.Errorf("%+v", latest)
	}
	if sends.counts[decide.BasisPeer] != 3*recentSends || sends.maxAge[decide.BasisPeer] != 3*recentSends-1 {
		t.Errorf("%+v", sends.counts)
	}
	sends.takeCounts()
	if counts := sends.takeCounts(); len(counts) > 0 {
		t.Errorf("counted twice: %v", counts)
	}
}
