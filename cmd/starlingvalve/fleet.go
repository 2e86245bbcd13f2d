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
	exitRefused     = 3 // refused by a budget, or because the target is drained already
	exitQueued      = 4 // the drain waits in the queue
	exitUnproven    = 5 // some nodes have not confirmed; their names are printed
	exitUnreachable = 6 // the fleet's agreement can't be reached
)

// exitCode is an error whose message has been printed already. Its value is the exit code of the process.
type exitCode int

// Error returns a text with the code only, as the message has been printed already.
func (e exitCode) Error() string { return fmt.Sprintf("exit code %d", int(e)) }

// fleetCLI has the flags that all fleet commands share, and their methods.
type fleetCLI struct {
	socket, by, why, output string
	requestID               string        // of the request, so that repeating it has no second effect; empty: random
	queueTimeout, timeout   time.Duration // longest wait of a drain in the queue, and for the proof of one
}

func (a *fleetCLI) jsonOutput() bool { return a.output == "json" }

const codesHelp = `Exit codes: 0 done, 1 wrong use or another error, 3 refused by a budget, 4 waiting in the queue,
5 not proven (the nodes that have not confirmed are named), 6 the agreement is out of reach.`

// command creates a command and a function that adds subcommands to it. A subcommand's run gets a client of the
// node's socket, through which it reads or changes what the fleet agreed on.
func (a *fleetCLI) command(use, short string) (root *cobra.Command,
	add func(use, short string, args cobra.PositionalArgs,
		run func(*cobra.Command, *control.APIClient, []string) error) *cobra.Command) {
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
	userName := os.Getenv("USER")
	if current, err := user.Current(); err == nil {
		userName = current.Username
	}
	root.PersistentFlags().StringVar(&a.socket, "socket", os.Getenv("GW_FLEET_SOCKET"), "the `PATH` of a node's socket")
	root.PersistentFlags().StringVar(&a.by, "by", userName, "who makes the request, for the history")
	root.PersistentFlags().StringVar(&a.why, "why", "", "the reason of the request, for the history")
	root.PersistentFlags().StringVar(&a.requestID, "ask", "",
		"a `number` of your own for this request: repeated with the same number, it has no second effect and returns the first result")
	root.PersistentFlags().StringVarP(&a.output, "output", "o", "text", "text or json")
	return root, func(use, short string, args cobra.PositionalArgs,
		run func(*cobra.Command, *control.APIClient, []string) error) *cobra.Command {
		cmd := &cobra.Command{Use: use, Short: short, Args: args, RunE: func(cmd *cobra.Command, args []string) error {
			err := run(cmd, control.NewAPIClient(a.socket), args)
			if errors.Is(err, control.ErrAPIUnavailable) {
				fmt.Fprintln(os.Stderr, "starlingvalve:", root.Use+":", err)
				return exitCode(exitUnreachable)
			}
			return err
		}}
		root.AddCommand(cmd)
		return cmd
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
	cli := &fleetCLI{}
	root, add := cli.command("fleet", "Read and change what the fleet agreed on: drains and budgets")
	add("status", "Print what is out of service, the queue, the nodes, and this node's own view", cobra.NoArgs, cli.status)
	add("budget", "Print each budget, and what is out of service in each of its groups", cobra.NoArgs, cli.budget)
	add("history", "Print who requested what, and with which result", cobra.NoArgs, cli.history)
	var dryRun, force bool
	drainCommand := add("drain TARGET",
		"Drain a server (s-5), a node (node/n3) or all servers of a zone (zone/hall-a), if the budgets allow it",
		cobra.ExactArgs(1), func(cmd *cobra.Command, client *control.APIClient, args []string) error {
			drainRequest := &fleetpb.Drain{Target: target(args[0]), By: cli.by, Why: cli.why,
				WaitMs: cli.queueTimeout.Milliseconds(), Force: force}
			if dryRun {
				state, err := cli.agreedState(cmd.Context(), client)
				if err != nil {
					return err
				}
				return cli.printResult(cmd.OutOrStdout(), "would be", state.Explain(drainRequest))
			}
			return cli.submit(cmd, client, &fleetpb.Entry{What: &fleetpb.Entry_Drain{Drain: drainRequest}})
		})
	drainCommand.Flags().DurationVar(&cli.queueTimeout, "queue", 0,
		"how long to wait in the queue if the budgets are spent")
	drainCommand.Flags().BoolVar(&dryRun, "dry-run", false, "only print what the result would be")
	drainCommand.Flags().BoolVar(&force, "force", false, "ignore the budgets; the history names who did it")
	var epoch uint64
	returnCommand := add("return TARGET", "End a drain", cobra.ExactArgs(1),
		func(cmd *cobra.Command, client *control.APIClient, args []string) error {
			return cli.submit(cmd, client, &fleetpb.Entry{What: &fleetpb.Entry_Return{Return: &fleetpb.Return{Target: target(args[0]),
				By: cli.by, Why: cli.why, Epoch: epoch}}})
		})
	returnCommand.Flags().Uint64Var(&epoch, "epoch", 0, "only the drain that was granted at this epoch; 0: any")
	add("withdraw TARGET", "Remove a waiting drain from the queue", cobra.ExactArgs(1),
		func(cmd *cobra.Command, client *control.APIClient, args []string) error {
			return cli.submit(cmd, client, &fleetpb.Entry{What: &fleetpb.Entry_Withdraw{
				Withdraw: &fleetpb.Withdraw{Target: target(args[0]), By: cli.by}}})
		})
	add("renew VOTER", "Readmit a voter that lost its disk, with its new disk; start the voter first", cobra.ExactArgs(1),
		func(cmd *cobra.Command, client *control.APIClient, args []string) error {
			return cli.submit(cmd, client, &fleetpb.Entry{What: &fleetpb.Entry_Renew{Renew: &fleetpb.RenewVoter{Node: args[0],
				By: cli.by, Why: cli.why}}})
		})
	var lift bool
	holdCommand := add("hold TARGET",
		"Forbid drains of a server, a node, a zone or, with the target fleet, of everything",
		cobra.ExactArgs(1), func(cmd *cobra.Command, client *control.APIClient, args []string) error {
			return cli.submit(cmd, client, &fleetpb.Entry{What: &fleetpb.Entry_Hold{Hold: &fleetpb.Hold{Target: target(args[0]),
				By: cli.by, Why: cli.why, Lift: lift}}})
		})
	holdCommand.Flags().BoolVar(&lift, "lift", false, "allow drains again")
	add("forget TARGET", "Remove a node whose session lapsed (node/n3) or a server that no longer exists (server/s-5)",
		cobra.ExactArgs(1), func(cmd *cobra.Command, client *control.APIClient, args []string) error {
			return cli.submit(cmd, client, &fleetpb.Entry{What: &fleetpb.Entry_Forget{Forget: &fleetpb.Forget{Target: target(args[0]),
				By: cli.by, Why: cli.why}}})
		})
	waitCommand := add("wait TARGET",
		"Wait until a drain is proven: no node sends requests there, and none are in flight",
		cobra.ExactArgs(1), cli.waitForProof)
	waitCommand.Flags().DurationVar(&cli.timeout, "timeout", 30*time.Second, "how long to wait at most")
	return root
}

// target returns the target that arg names: a server, unless arg has a prefix such as zone/ or is the whole fleet.
func target(arg string) string {
	if strings.Contains(arg, "/") || arg == fleet.FleetTarget {
		return arg
	}
	return fleet.ServerTarget(arg)
}

// submit submits an entry to the agreement and prints the result. The entry has a number of its own, so that it is
// safe to submit it again.
func (a *fleetCLI) submit(cmd *cobra.Command, client *control.APIClient, entry *fleetpb.Entry) error {
	if entry.Ask = a.requestID; entry.Ask == "" {
		entry.Ask = rand.Text()
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), 30*time.Second)
	defer cancel()
	result, err := client.Propose(ctx, entry)
	if err != nil {
		return err
	}
	return a.printResult(cmd.OutOrStdout(), "", result)
}

// printResult prints a result, after prefix, and returns its exit code as an error.
func (a *fleetCLI) printResult(w io.Writer, prefix string, result *fleetpb.Result) error {
	if a.jsonOutput() {
		if err := printJSON(w, result); err != nil {
			return err
		}
	} else {
		line := strings.TrimSpace(prefix + " " + strings.ToLower(result.Code.String()))
		if result.Epoch > 0 {
			line += fmt.Sprintf(", epoch %d", result.Epoch)
		}
		if result.Place > 0 {
			line += fmt.Sprintf(", place %d", result.Place)
		}
		if result.Reason != "" {
			line += ": " + result.Reason
		}
		fmt.Fprintln(w, line)
	}
	switch result.Code {
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
func (a *fleetCLI) agreedState(ctx context.Context, client *control.APIClient) (*fleet.Machine, error) {
	s, err := client.State(ctx)
	if err != nil {
		return nil, err
	}
	return fleet.FromState(s), nil
}

// proofPollInterval is how often the wait command fetches the state.
const proofPollInterval = 50 * time.Millisecond

// waitForProof waits until a drain is proven, for the time of --timeout at most.
func (a *fleetCLI) waitForProof(cmd *cobra.Command, client *control.APIClient, args []string) error {
	ctx, cancel := context.WithTimeout(cmd.Context(), a.timeout)
	defer cancel()
	drained := target(args[0])
	var proof fleet.Proof
	for {
		machine, err := a.agreedState(ctx, client)
		switch {
		case err != nil && ctx.Err() == nil && !errors.Is(err, control.ErrAPIUnavailable):
			return err
		case err == nil:
			if proof = machine.Proof(drained); proof.Proven {
				fmt.Fprintf(cmd.OutOrStdout(), "proven, epoch %d: no node sends to %s, and nothing is left there\n",
					proof.Epoch, drained)
				return nil
			}
			if !proof.Granted {
				fmt.Fprintf(cmd.OutOrStdout(), "not proven: %s is not drained\n", drained)
				return exitCode(exitUnproven)
			}
		}
		select {
		case <-time.After(proofPollInterval):
			continue
		case <-ctx.Done():
		}
		if !proof.Granted {
			return fmt.Errorf("%w within %v: %w", control.ErrAPIUnavailable, a.timeout, err)
		}
		fmt.Fprintf(cmd.OutOrStdout(), "not proven, epoch %d: unheard with a session: %s; unheard, session lapsed: %s\n",
			proof.Epoch, joinNames(proof.Unconfirmed), joinNames(proof.Lapsed))
		return exitCode(exitUnproven)
	}
}

// joinNames lists names, or says that there are none.
func joinNames(list []string) string {
	if len(list) == 0 {
		return "none"
	}
	return strings.Join(list, ", ")
}

func (a *fleetCLI) status(cmd *cobra.Command, client *control.APIClient, _ []string) error {
	here, err := client.Status(cmd.Context())
	if err != nil {
		return err
	}
	machine, err := a.agreedState(cmd.Context(), client)
	if err != nil {
		fmt.Fprintf(os.Stderr, "node %s: session %d, follows %d: %s\n", here.Node, here.Session, len(here.Out),
			joinNames(slices.Sorted(maps.Keys(here.Out))))
		return err
	}
	state := machine.State()
	if a.jsonOutput() {
		return printJSON(cmd.OutOrStdout(), state)
	}
	w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintf(w, "epoch %d, %d servers; read through %s, which %s\n", state.Epoch, len(state.Servers),
		here.Node, here.Voter)
	at := func(ms int64) string { return time.UnixMilli(ms).Format(time.TimeOnly) }
	for _, name := range slices.Sorted(maps.Keys(state.Nodes)) {
		node, kind := state.Nodes[name], ""
		if node.Voter {
			kind = "voter"
		}
		if node.Leaving {
			kind += " leaving"
		}
		fmt.Fprintf(w, "node\t%s\t%s\t%s since %s\tsession %d\t%s\n", name, node.Zone, node.State, at(node.SinceMs),
			node.Epoch, kind)
	}
	for _, target := range slices.Sorted(maps.Keys(state.Outs)) {
		out, proof, proofState := state.Outs[target], machine.Proof(target), "proven"
		if !proof.Proven {
			proofState = "unheard: " + joinNames(append(proof.Unconfirmed, proof.Lapsed...))
		}
		fmt.Fprintf(w, "out\t%s\tepoch %d\tby %s at %s\t%s\t%s\n", target, out.Epoch, out.By, at(out.GrantedMs),
			proofState, out.Why)
	}
	for _, target := range slices.Sorted(maps.Keys(state.Holds)) {
		fmt.Fprintf(w, "held\t%s\tby %s\t%s\n", target, state.Holds[target].By, state.Holds[target].Why)
	}
	for i, queued := range state.Queue {
		fmt.Fprintf(w, "waits\t%s\tplace %d\tby %s until %s\t%s\n", queued.Drain.Target, i+1, queued.Drain.By,
			at(queued.UntilMs), queued.Reason)
	}
	return nil
}

func (a *fleetCLI) budget(cmd *cobra.Command, client *control.APIClient, _ []string) error {
	machine, err := a.agreedState(cmd.Context(), client)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
	defer w.Flush()
	for _, group := range machine.Groups() {
		state := "within"
		if over := group.Exceeded(); over != "" {
			state = "OVER: " + over
		}
		fmt.Fprintf(w, "%s\t%s\t%d of %d out\t%.4g of %.4g left\t%s\t%s\n", group.Budget.Name, group.Name, len(group.Out), group.Members,
			group.RemainingWeight, group.TotalWeight, state, strings.Join(group.Out, ", "))
	}
	return nil
}

func (a *fleetCLI) history(cmd *cobra.Command, client *control.APIClient, _ []string) error {
	machine, err := a.agreedState(cmd.Context(), client)
	if err != nil {
		return err
	}
	for _, event := range machine.State().History {
		if a.jsonOutput() {
			if err := printJSON(cmd.OutOrStdout(), event); err != nil {
				return err
			}
			continue
		}
		fmt.Fprintf(cmd.OutOrStdout(), "%s  epoch %-4d %-12s %s\n", time.UnixMilli(event.AtMs).Format(time.RFC3339), event.Epoch,
			event.By, event.What)
	}
	return nil
}
