package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"starlingvalve/internal/standin"
)

func init() { plays["holder"] = playHolder }

// playHolder: the answer to one operator's ask is lost for some seconds, in which the ask waits in vain and another operator drains
// the same server.
func playHolder(ctx context.Context, w *world) error {
	classes := []standin.Class{{Name: "cut-order", Method: "POST", Share: 1, Worth: 1, Aim: 2 * time.Second, Patience: 6 * time.Second, BodyBytes: 100}}
	servers, registry, err := w.servers(4, map[string]standin.Work{"cut-order": {Time: 200 * time.Millisecond}})
	if err != nil {
		return err
	}
	members, err := w.writeFleet(4, registry.Addr, classes, true, "\n[[budget]]\nname = \"a-hall\"\non = \"servers\"\nby = \"zone\"\nmost_out = 1\n")
	if err != nil {
		return err
	}
	if _, err := w.startFleet(ctx, members); err != nil {
		return err
	}
	loading, stop := context.WithCancel(ctx)
	defer stop()
	requests := w.stream(loading, "client", members[1].listen, "POST", "cut-order", 6*time.Second, 50*time.Millisecond)
	sleep(ctx, time.Second)
	if text, code := w.operate(ctx, members[0], "fleet", "drain", "s-2", "--by", "op0", "--ask", "op0-1"); code != 0 {
		return fmt.Errorf("the first drain was not granted: %s", text)
	}
	n4 := members[3]
	if w.trouble {
		w.note("wire", "answers of the voters to %s get lost", n4.name)
		for _, wire := range n4.wires {
			wire.CutDirection(false, true)
		}
	}
	type answer struct {
		text string
		code int
	}
	first := make(chan answer, 1)
	go func() {
		text, code := w.operate(ctx, n4, "fleet", "drain", "s-1", "--queue", "1s", "--by", "op1", "--ask", "op1-1", "-o", "json")
		first <- answer{text, code}
	}()
	sleep(ctx, 3*time.Second) // op1's ask has waited for its time in vain
	if text, code := w.operate(ctx, members[0], "fleet", "return", "s-2", "--by", "op0", "--ask", "op0-2"); code != 0 {
		return fmt.Errorf("the return failed: %s", text)
	}
	if text, code := w.operate(ctx, members[1], "fleet", "drain", "s-1", "--by", "op2", "--ask", "op2-1", "--why", "new disks"); code != 0 {
		return fmt.Errorf("op2's drain was not granted: %s", text)
	}
	if w.trouble {
		w.note("wire", "answers pass again")
		for _, wire := range n4.wires {
			wire.CutDirection(false, false)
		}
	}
	got := <-first
	if w.trouble && got.code == 4 { // the script looks again, under the same number
		got.text, got.code = w.operate(ctx, n4, "fleet", "drain", "s-1", "--queue", "1s", "--by", "op1", "--ask", "op1-1", "-o", "json")
	}
	if text, code := w.operate(ctx, members[1], "fleet", "wait", "s-1", "--timeout", "30s"); code != 0 {
		return fmt.Errorf("no proof for op2: %s", text)
	}
	held := time.Now()
	if got.code == 0 {
		w.fault("op1 is told that its drain of s-1 is done (%s), and op2 holds it", got.text)
		_, epoch, _ := strings.Cut(got.text, `"epoch":"`)
		epoch, _, _ = strings.Cut(epoch, `"`)
		if _, code := w.operate(ctx, n4, "fleet", "return", "s-1", "--epoch", epoch, "--by", "op1", "--ask", "op1-2"); code == 0 {
			w.fault("op1 has ended op2's drain, under the epoch that it was told")
		}
	}
	sleep(ctx, 4*time.Second)
	stop()
	requests()
	late := 0
	for _, e := range servers[0].Log() {
		if e.ReceivedAt.After(held.Add(50 * time.Millisecond)) {
			late++
		}
	}
	w.note("s-1", "got %d requests while op2 holds its drain, proven", late)
	if late > 0 {
		w.fault("s-1 got %d requests while op2 holds its drain, proven and not returned by op2", late)
	}
	w.operate(ctx, members[0], "fleet", "history")
	return nil
}
