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
	reader, writer := bufio.NewReaderSize(in, 1<<20), bufio.NewWriterSize(out, 1<<20)
	nodes := map[int]*decide.Module{}
	var reply []byte
	for number := 1; ; number++ {
		line, err := reader.ReadBytes('\n')
		if errors.Is(err, io.EOF) && len(line) == 0 {
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("line %d: %w", number, err)
		}
		replies, err := handleBatch(nodes, line)
		if err != nil {
			return fmt.Errorf("line %d: %w", number, err)
		}
		reply = wire.AppendReply(reply[:0], replies)
		if _, err := writer.Write(reply); err != nil {
			return err
		}
		if err := writer.Flush(); err != nil {
			return err
		}
	}
}

// handleBatch passes a batch's events to the modules in nodes, which has one per
// node number, and returns their actions, grouped by node as the events are.
func handleBatch(nodes map[int]*decide.Module, line []byte) ([]wire.Reply, error) {
	batch, err := wire.DecodeBatch(line)
	if err != nil {
		return nil, err
	}
	var replies []wire.Reply
	for _, group := range batch.Groups {
		reply := wire.Reply{Node: group.Node}
		for i, item := range group.Events {
			switch {
			case item.Start != nil:
				nodes[group.Node] = decide.New(item.Start.Settings, item.Start.Seed)
			case item.Retire:
				delete(nodes, group.Node)
				reply.Actions = nil // actions of a stopped instance are not carried out
			default:
				module := nodes[group.Node]
				if module == nil {
					return nil, fmt.Errorf("node %d, event %d: the node has not been started by an \"up\" event", group.Node, i)
				}
				reply.Actions = append(reply.Actions, module.Handle(batch.Now, item.Event)...)
			}
		}
		replies = append(replies, reply)
	}
	return replies, nil
}
