package main

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"os/user"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"starlingvalve/internal/control"
	"starlingvalve/internal/fleet"
	"starlingvalve/internal/fleet/fleetpb"
)

// Exit codes of the fleet commands. 0 is success, 1 any other error.
const (
	exitRefused   = 3 // refused by a budget, or because the target is drained already
	exitQueued    = 4 // the drain waits in the queue
	exitUnproven  = 5 // some nodes have not confirmed; their names are printed
	exitOutOfHand = 6 // the fleet's agreement can't be reached
)

// exitCode is an error whose message has been printed already. Its value is the exit code of the process.
type exitCode int

// Error returns a text with the code only, as the message has been printed already.
func (e exitCode) Error() string { return fmt.Sprintf("exit code %d", int(e)) }

// fleetCLI has the flags that all fleet commands share, and their methods.
type asking struct {
	socket, by, why, output string
	number                  string        // of the request, so that repeating it has no second effect; empty: random
	queue, timeout          time.Duration // longest wait of a drain in the queue, and for the proof of one
}

func (a *asking) json() bool { return a.output == "json" }

const codesHelp = `Exit codes: 0 done, 1 wrong use or another error, 3 refused by a budget, 4 waiting in the queue,
5 not proven (the nodes that have not confirmed are named), 6 the agreement is out of reach.`

// command creates a command and a function that adds subcommands to it. A subcommand's run gets a client of the
// node's socket, through which it reads or changes what the fleet agreed on.
func (a *asking) command(use, short string) (root *cobra.Command, add func(use, short string, args cobra.PositionalArgs, run func(*cobra.Command, *control.Door, []string) error) *cobra.Command) {
	root = &cobra.Command{Use: use, Short: short, Long: short + ", through the socket of any node.\n\n" + codesHelp,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if a.socket == "" {
				return fmt.Errorf("%s: want --socket, the `socket` of some node's fleet file, or GW_FLEET_SOCKET", use)
			}
			if a.output != "text" && a.output != "json" {
				return fmt.Errorf("%s: --output: want text or json, have %q", use, a.output)
			}
			return nil
		}}
	me := os.Getenv("USER")
	if u, err := user.Current(); err == nil {
		me = u.Username
	}
	root.PersistentFlags().StringVar(&a.socket, "socket", os.Getenv("GW_FLEET_SOCKET"), "the `PATH` of a node's socket")
	root.PersistentFlags().StringVar(&a.by, "by", me, "who makes the request, for the history")
	root.PersistentFlags().StringVar(&a.why, "why", "", "the reason of the request, for the history")
	root.PersistentFlags().StringVar(&a.number, "ask", "", "a `number` of your own for this request: repeated with the same number, it has no second effect and returns the first result")
	root.PersistentFlags().StringVarP(&a.output, "output", "o", "text", "text or json")
	return root, func(use, short string, args cobra.PositionalArgs, run func(*cobra.Command, *control.Door, []string) error) *cobra.Command {
		c := &cobra.Command{Use: use, Short: short, Args: args, RunE: func(c *cobra.Command, args []string) error {
			err := run(c, control.Knock(a.socket), args)
			if errors.Is(err, control.ErrDoor) {
				fmt.Fprintln(os.Stderr, "starlingvalve:", root.Use+":", err)
				return exitCode(exitOutOfHand)
			}
			return err
		}}
		root.AddCommand(c)
		return c
	}
}

func printJSON(w io.Writer, m proto.Message) error {
	raw, err := protojson.Marshal(m)
	if err != nil {
		return err
	}
	fmt.Fprintln(w, string(raw))
	return nil
}

func fleetCommand() *cobra.Command {
	a := &asking{}
	root, add := a.command("fleet", "Read and change what the fleet agreed on: drains and budgets")
	add("status", "Print what is out of service, the queue, the nodes, and this node's own view", cobra.NoArgs, a.status)
	add("budget", "Print each budget, and what is out of service in each of its groups", cobra.NoArgs, a.budget)
	add("history", "Print who requested what, and with which result", cobra.NoArgs, a.history)
	var dry, force bool
	drain := add("drain TARGET", "Drain a server (s-5), a node (node/n3) or all servers of a zone (zone/hall-a), if the budgets allow it", cobra.ExactArgs(1), func(c *cobra.Command, d *control.Door, args []string) error {
		w := &fleetpb.Drain{Target: target(args[0]), By: a.by, Why: a.why, WaitMs: a.queue.Milliseconds(), Force: force}
		if dry {
			m, err := a.machine(c.Context(), d)
			if err != nil {
				return err
			}
			return a.tell(c.OutOrStdout(), "would be", m.Explain(w))
		}
		return a.ask(c, d, &fleetpb.Entry{What: &fleetpb.Entry_Drain{Drain: w}})
	})
	drain.Flags().DurationVar(&a.queue, "queue", 0, "how long to wait in the queue if the budgets are spent")
	drain.Flags().BoolVar(&dry, "dry-run", false, "only print what the result would be")
	drain.Flags().BoolVar(&force, "force", false, "ignore the budgets; the history names who did it")
	var epoch uint64
	back := add("return TARGET", "End a drain", cobra.ExactArgs(1), func(c *cobra.Command, d *control.Door, args []string) error {
		return a.ask(c, d, &fleetpb.Entry{What: &fleetpb.Entry_Return{Return: &fleetpb.Return{Target: target(args[0]), By: a.by, Why: a.why, Epoch: epoch}}})
	})
	back.Flags().Uint64Var(&epoch, "epoch", 0, "only the drain that was granted at this epoch; 0: any")
	add("withdraw TARGET", "Remove a waiting drain from the queue", cobra.ExactArgs(1), func(c *cobra.Command, d *control.Door, args []string) error {
		return a.ask(c, d, &fleetpb.Entry{What: &fleetpb.Entry_Withdraw{Withdraw: &fleetpb.Withdraw{Target: target(args[0]), By: a.by}}})
	})
	add("renew VOTER", "Readmit a voter that lost its disk, with its new disk; start the voter first", cobra.ExactArgs(1), func(c *cobra.Command, d *control.Door, args []string) error {
		return a.ask(c, d, &fleetpb.Entry{What: &fleetpb.Entry_Renew{Renew: &fleetpb.RenewVoter{Node: args[0], By: a.by, Why: a.why}}})
	})
	var lift bool
	hold := add("hold TARGET", "Forbid drains of a server, a node, a zone or, with the target fleet, of everything", cobra.ExactArgs(1), func(c *cobra.Command, d *control.Door, args []string) error {
		return a.ask(c, d, &fleetpb.Entry{What: &fleetpb.Entry_Hold{Hold: &fleetpb.Hold{Target: target(args[0]), By: a.by, Why: a.why, Lift: lift}}})
	})
	hold.Flags().BoolVar(&lift, "lift", false, "allow drains again")
	add("forget TARGET", "Remove a node whose session lapsed (node/n3) or a server that no longer exists (server/s-5)", cobra.ExactArgs(1), func(c *cobra.Command, d *control.Door, args []string) error {
		return a.ask(c, d, &fleetpb.Entry{What: &fleetpb.Entry_Forget{Forget: &fleetpb.Forget{Target: target(args[0]), By: a.by, Why: a.why}}})
	})
	wait := add("wait TARGET", "Wait until a drain is proven: no node sends requests there, and none are in flight", cobra.ExactArgs(1), a.proof)
	wait.Flags().DurationVar(&a.timeout, "timeout", 30*time.Second, "how long to wait at most")
	return root
}

// target returns the target that arg names: a server, unless arg has a prefix such as zone/ or is the whole fleet.
func target(arg string) string {
	if strings.Contains(arg, "/") || arg == fleet.Everything {
		return arg
	}
	return fleet.ServerTarget(arg)
}

// submit submits an entry to the agreement and prints the result. The entry has a number of its own, so that it is
// safe to submit it again.
func (a *asking) ask(c *cobra.Command, d *control.Door, e *fleetpb.Entry) error {
	if e.Ask = a.number; e.Ask == "" {
		e.Ask = rand.Text()
	}
	ctx, cancel := context.WithTimeout(c.Context(), 30*time.Second)
	defer cancel()
	r, err := d.Ask(ctx, e)
	if err != nil {
		return err
	}
	return a.tell(c.OutOrStdout(), "", r)
}

// printResult prints a result, after prefix, and returns its exit code as an error.
func (a *asking) tell(w io.Writer, before string, r *fleetpb.Result) error {
	if a.json() {
		if err := printJSON(w, r); err != nil {
			return err
		}
	} else {
		line := strings.TrimSpace(before + " " + strings.ToLower(r.Code.String()))
		if r.Epoch > 0 {
			line += fmt.Sprintf(", epoch %d", r.Epoch)
		}
		if r.Place > 0 {
			line += fmt.Sprintf(", place %d", r.Place)
		}
		if r.Reason != "" {
			line += ": " + r.Reason
		}
		fmt.Fprintln(w, line)
	}
	switch r.Code {
	case fleetpb.Result_DONE:
		return nil
	case fleetpb.Result_QUEUED:
		return exitCode(exitQueued)
	case fleetpb.Result_REFUSED, fleetpb.Result_FENCED:
		return exitCode(exitRefused)
	}
	return exitCode(1)
}

// agreedState fetches the fleet's agreed state, for queries in this process.
func (a *asking) machine(ctx context.Context, d *control.Door) (*fleet.Machine, error) {
	s, err := d.State(ctx)
	if err != nil {
		return nil, err
	}
	return fleet.From(s), nil
}

// proofPollInterval is how often the wait command fetches the state.
const proofEvery = 50 * time.Millisecond

// waitForProof waits until a drain is proven, for the time of --timeout at most.
func (a *asking) proof(c *cobra.Command, d *control.Door, args []string) error {
	ctx, cancel := context.WithTimeout(c.Context(), a.timeout)
	defer cancel()
	t := target(args[0])
	var p fleet.Proof
	for {
		m, err := a.machine(ctx, d)
		switch {
		case err != nil && ctx.Err() == nil && !errors.Is(err, control.ErrDoor):
			return err
		case err == nil:
			if p = m.Proof(t); p.Proven {
				fmt.Fprintf(c.OutOrStdout(), "proven, epoch %d: no node sends to %s, and nothing is left there\n", p.Epoch, t)
				return nil
			}
			if !p.Granted {
				fmt.Fprintf(c.OutOrStdout(), "not proven: %s is not drained\n", t)
				return exitCode(exitUnproven)
			}
		}
		select {
		case <-time.After(proofEvery):
			continue
		case <-ctx.Done():
		}
		if !p.Granted {
			return fmt.Errorf("%w within %v: %w", control.ErrDoor, a.timeout, err)
		}
		fmt.Fprintf(c.OutOrStdout(), "not proven, epoch %d: unheard with a session: %s; unheard, session lapsed: %s\n", p.Epoch, names(p.Unheard), names(p.Lapsed))
		return exitCode(exitUnproven)
	}
}

// joinNames lists names, or says that there are none.
func names(list []string) string {
	if len(list) == 0 {
		return "none"
	}
	return strings.Join(list, ", ")
}

func (a *asking) status(c *cobra.Command, d *control.Door, _ []string) error {
	here, err := d.Here(c.Context())
	if err != nil {
		return err
	}
	m, err := a.machine(c.Context(), d)
	if err != nil {
		fmt.Fprintf(os.Stderr, "node %s: session %d, follows %d: %s\n", here.Node, here.Session, len(here.Out), names(slices.Sorted(maps.Keys(here.Out))))
		return err
	}
	s := m.State()
	if a.json() {
		return printJSON(c.OutOrStdout(), s)
	}
	w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintf(w, "epoch %d, %d servers; read through %s, which %s\n", s.Epoch, len(s.Servers), here.Node, here.Voter)
	at := func(ms int64) string { return time.UnixMilli(ms).Format(time.TimeOnly) }
	for _, name := range slices.Sorted(maps.Keys(s.Nodes)) {
		n, kind := s.Nodes[name], ""
		if n.Voter {
			kind = "voter"
		}
		if n.Leaving {
			kind += " leaving"
		}
		fmt.Fprintf(w, "node\t%s\t%s\t%s since %s\tsession %d\t%s\n", name, n.Zone, n.State, at(n.SinceMs), n.Epoch, kind)
	}
	for _, t := range slices.Sorted(maps.Keys(s.Outs)) {
		o, p, state := s.Outs[t], m.Proof(t), "proven"
		if !p.Proven {
			state = "unheard: " + names(append(p.Unheard, p.Lapsed...))
		}
		fmt.Fprintf(w, "out\t%s\tepoch %d\tby %s at %s\t%s\t%s\n", t, o.Epoch, o.By, at(o.GrantedMs), state, o.Why)
	}
	for _, t := range slices.Sorted(maps.Keys(s.Holds)) {
		fmt.Fprintf(w, "held\t%s\tby %s\t%s\n", t, s.Holds[t].By, s.Holds[t].Why)
	}
	for i, q := range s.Queue {
		fmt.Fprintf(w, "waits\t%s\tplace %d\tby %s until %s\t%s\n", q.Drain.Target, i+1, q.Drain.By, at(q.UntilMs), q.Reason)
	}
	return nil
}

func (a *asking) budget(c *cobra.Command, d *control.Door, _ []string) error {
	m, err := a.machine(c.Context(), d)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
	defer w.Flush()
	for _, g := range m.Groups() {
		state := "within"
		if over := g.Over(); over != "" {
			state = "OVER: " + over
		}
		fmt.Fprintf(w, "%s\t%s\t%d of %d out\t%.4g of %.4g left\t%s\t%s\n", g.Budget.Name, g.Name, len(g.Out), g.Members, g.Left, g.Weight, state, strings.Join(g.Out, ", "))
	}
	return nil
}

func (a *asking) history(c *cobra.Command, d *control.Door, _ []string) error {
	m, err := a.machine(c.Context(), d)
	if err != nil {
		return err
	}
	for _, e := range m.State().History {
		if a.json() {
			if err := printJSON(c.OutOrStdout(), e); err != nil {
				return err
			}
			continue
		}
		fmt.Fprintf(c.OutOrStdout(), "%s  epoch %-4d %-12s %s\n", time.UnixMilli(e.AtMs).Format(time.RFC3339), e.Epoch, e.By, e.What)
	}
	return nil
}
