// Command simhost runs instances of the decision module for the simulator. It
// reads one batch of events in JSON per line from standard input and writes one
// reply per line to standard output.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"starlingvalve/decide"
	"starlingvalve/internal/wire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// run answers each line of in with one line in out, until in ends. It returns an
// error that names the line if a batch is malformed.
func run(in io.Reader, out io.Writer) error {
	r, w := bufio.NewReaderSize(in, 1<<20), bufio.NewWriterSize(out, 1<<20)
	nodes := map[int]*decide.Module{}
	var reply []byte
	for number := 1; ; number++ {
		line, err := r.ReadBytes('\n')
		if errors.Is(err, io.EOF) && len(line) == 0 {
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("line %d: %w", number, err)
		}
		replies, err := answer(nodes, line)
		if err != nil {
			return fmt.Errorf("line %d: %w", number, err)
		}
		reply = wire.AppendReply(reply[:0], replies)
		if _, err := w.Write(reply); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// handleBatch passes a batch's events to the modules in nodes, which has one per
// node number, and returns their actions, grouped by node as the events are.
func answer(nodes map[int]*decide.Module, line []byte) ([]wire.Reply, error) {
	batch, err := wire.DecodeBatch(line)
	if err != nil {
		return nil, err
	}
	var replies []wire.Reply
	for _, g := range batch.Groups {
		reply := wire.Reply{Node: g.Node}
		for i, h := range g.Events {
			switch {
			case h.Start != nil:
				nodes[g.Node] = decide.New(h.Start.Settings, h.Start.Seed)
			case h.Retire:
				delete(nodes, g.Node)
				reply.Actions = nil // actions of a stopped instance are not carried out
			default:
				m := nodes[g.Node]
				if m == nil {
					return nil, fmt.Errorf("node %d, event %d: the node has not been started by an \"up\" event", g.Node, i)
				}
				reply.Actions = append(reply.Actions, m.Handle(batch.Now, h.Event)...)
			}
		}
		replies = append(replies, reply)
	}
	return replies, nil
}
