package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"google.golang.org/protobuf/encoding/protojson"

	"starlingvalve/internal/configuration"
	"starlingvalve/internal/configuration/configfile"
	"starlingvalve/internal/configuration/configpb"
	"starlingvalve/internal/control"
	"starlingvalve/internal/fleet/fleetpb"
)

// inForcePollInterval is how often --wait fetches the status.
const inForcePollInterval = 100 * time.Millisecond

// configCommand creates the commands that read and change the fleet's configuration.
func configCommand() *cobra.Command {
	cli := &fleetCLI{}
	root, add := cli.command("config", "Change and read the fleet's configuration: services, routes, tenants")
	var wait time.Duration
	waits := func(cmd *cobra.Command) {
		cmd.Flags().DurationVar(&wait, "wait", 0,
			"how long to wait until the change is in force at every node; exit code 5 if it is not by then")
	}
	waits(add("put FILE", "Apply all changes of a file, or none", cobra.ExactArgs(1),
		func(cmd *cobra.Command, client *control.APIClient, args []string) error {
			return cli.putConfig(cmd, client, args[0], wait)
		}))
	waits(add("rollback REVISION", "Restore all entries as of a revision", cobra.ExactArgs(1),
		func(cmd *cobra.Command, client *control.APIClient, args []string) error {
			return cli.rollBackConfig(cmd, client, args[0], wait)
		}))
	add("get [KEY...]", "Print entries in the format of a file for put", cobra.ArbitraryArgs, cli.getConfig)
	add("diff FILE", "Print what put would change", cobra.ExactArgs(1), cli.diffConfig)
	var maxRevisions uint32
	history := add("history", "Print who changed what, and why", cobra.NoArgs,
		func(cmd *cobra.Command, client *control.APIClient, _ []string) error {
			return cli.configHistory(cmd, client, maxRevisions)
		})
	history.Flags().Uint32Var(&maxRevisions, "most", 20, "number of revisions to print, newest ones; 0: all that are kept")
	add("status", "Print the revision in force, which nodes lag and why; exit code 5 while the newest is not in force",
		cobra.NoArgs,
		func(cmd *cobra.Command, client *control.APIClient, _ []string) error {
			status, err := configStatus(cmd.Context(), client)
			if err != nil {
				return err
			}
			return cli.printStatus(cmd.OutOrStdout(), status)
		})
	return root
}

func (a *fleetCLI) putConfig(cmd *cobra.Command, client *control.APIClient, path string, wait time.Duration) error {
	file, err := configfile.Load(path)
	if err != nil {
		return err
	}
	file.Transaction.By, file.Transaction.Why = a.by, a.why
	result, err := a.changeConfig(cmd, client, &fleetpb.Entry{What: &fleetpb.Entry_Configure{Configure: file.Transaction}})
	if err != nil {
		return err
	}
	if refusal := result.GetConfiguration().GetRefusal(); refusal != nil && !a.jsonOutput() {
		fmt.Fprintln(cmd.ErrOrStderr(), "starlingvalve:", file.RefusalError(refusal))
		return exitCodeOf(result)
	}
	return a.printChange(cmd, client, result, wait)
}

func (a *fleetCLI) rollBackConfig(cmd *cobra.Command, client *control.APIClient, revision string, wait time.Duration) error {
	to, err := parseRevision(revision)
	if err != nil {
		return err
	}
	back := &configpb.Rollback{To: to, By: a.by, Why: a.why}
	r, err := a.changeConfig(cmd, client, &fleetpb.Entry{What: &fleetpb.Entry_RollBack{RollBack: back}})
	if err != nil {
		return err
	}
	return a.printChange(cmd, client, r, wait)
}

// changeConfig submits a change. It has a number of its own, so that it is safe to submit it again.
func (a *fleetCLI) changeConfig(cmd *cobra.Command, client *control.APIClient, e *fleetpb.Entry) (*fleetpb.Result, error) {
	if e.Ask = a.requestID; e.Ask == "" {
		e.Ask = rand.Text()
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), 30*time.Second)
	defer cancel()
	return client.Propose(ctx, e)
}

// printChange prints the result of a change. If wait is not 0, it then waits up to that long until the change is in
// force.
func (a *fleetCLI) printChange(cmd *cobra.Command, client *control.APIClient, result *fleetpb.Result, wait time.Duration) error {
	w, change := cmd.OutOrStdout(), result.GetConfiguration()
	switch {
	case a.jsonOutput():
		if err := printJSON(w, result); err != nil {
			return err
		}
	case change == nil || result.Reason != "":
		fmt.Fprintf(w, "%s: %s\n", strings.ToLower(result.Code.String()), result.Reason)
	default:
		fmt.Fprintf(w, "%s, revision %d\n", strings.ToLower(change.Code.String()), change.Revision)
	}
	if err := exitCodeOf(result); err != nil || wait == 0 {
		return err
	}
	return a.waitInForce(cmd, client, change.GetRevision(), wait)
}

// exitCodeOf returns the exit code of a result, as an error.
func exitCodeOf(result *fleetpb.Result) error {
	switch result.Code {
	case fleetpb.Result_DONE:
		return nil
	case fleetpb.Result_REFUSED, fleetpb.Result_FENCED:
		return exitCode(exitRefused)
	}
	return exitCode(1)
}

// parseRevision parses the number of a revision.
func parseRevision(text string) (revision uint64, err error) {
	var rest string
	if n, _ := fmt.Sscanf(text, "%d%s", &revision, &rest); n != 1 {
		return 0, fmt.Errorf("config: want a revision number, have %q", text)
	}
	return revision, nil
}

// waitInForce waits until every node has applied a revision or a newer one. If that takes longer than wait, it prints
// which nodes lag.
func (a *fleetCLI) waitInForce(cmd *cobra.Command, client *control.APIClient, revision uint64, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(cmd.Context(), wait)
	defer cancel()
	var last *configpb.Status
	for began := time.Now(); ; {
		status, err := configStatus(ctx, client)
		if err == nil {
			if last = status; status.Accounted && status.InForce >= revision {
				took := time.Since(began).Milliseconds()
				fmt.Fprintf(cmd.OutOrStdout(), "in force at all %d nodes after %d ms\n", status.Sessions, took)
				return nil
			}
		}
		select {
		case <-time.After(inForcePollInterval):
			continue
		case <-ctx.Done():
		}
		if last == nil {
			return fmt.Errorf("%w within %v: %w", control.ErrAPIUnavailable, wait, err)
		}
		fmt.Fprintf(cmd.OutOrStdout(), "not in force within %v\n", wait)
		a.printLags(cmd.OutOrStdout(), last)
		return exitCode(exitUnproven)
	}
}

func configStatus(ctx context.Context, client *control.APIClient) (*configpb.Status, error) {
	answer, err := client.Query(ctx, &configpb.Query{About: &configpb.Query_Status{Status: true}})
	return answer.GetStatus(), err
}

// printStatus prints a status. It returns the exit code exitUnproven unless the newest revision is in force.
func (a *fleetCLI) printStatus(w io.Writer, status *configpb.Status) error {
	inForce := status.Accounted && status.InForce == status.Revision
	if a.jsonOutput() {
		if err := printJSON(w, status); err != nil {
			return err
		}
	} else {
		state := fmt.Sprintf("in force: %d", status.InForce)
		if !status.Accounted {
			state = "in force: unknown, as no control machine has a report of some session"
		}
		fmt.Fprintf(w, "revision %d, %s; %d nodes\n", status.Revision, state, status.Sessions)
		a.printLags(w, status)
	}
	if !inForce {
		return exitCode(exitUnproven)
	}
	return nil
}

// printLags prints a table of the control machines, of the nodes that lag and why, and of those that no machine has a
// report of.
func (a *fleetCLI) printLags(out io.Writer, s *configpb.Status) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer w.Flush()
	for _, machine := range s.Machines {
		if machine.Report == nil {
			fmt.Fprintf(w, "machine\t%s\tnot reached: %s\n", machine.Name, machine.Why)
			continue
		}
		fmt.Fprintf(w, "machine\t%s\trevision %d\t%d nodes\n", machine.Name, machine.Report.Applied, machine.Report.Nodes)
		for _, lagging := range machine.Report.Lagging {
			why := "not acknowledged yet"
			if refusal := lagging.Refusal; lagging.Refused > 0 {
				reason := strings.Join(nonEmpty(refusal.GetEntry(), refusal.GetField(), refusal.GetReason()), ": ")
				why = fmt.Sprintf("refused up to %d: %s", lagging.Refused, reason)
			}
			fmt.Fprintf(w, "lags\t%s\trevision %d\tat %s\t%s\n", lagging.Node, lagging.Applied, machine.Name, why)
		}
	}
	for _, node := range s.Unheard {
		fmt.Fprintf(w, "unheard\t%s\tit has a session, but watches no machine that was reached\n", node)
	}
}

func nonEmpty(list ...string) []string {
	return slices.DeleteFunc(list, func(s string) bool { return s == "" })
}

func (a *fleetCLI) getConfig(cmd *cobra.Command, client *control.APIClient, keys []string) error {
	snapshot, err := configSnapshot(cmd.Context(), client)
	if err != nil {
		return err
	}
	entries := snapshot.GetEntries()
	if len(keys) > 0 {
		known := map[string]*configpb.Entry{}
		for _, entry := range entries {
			known[configuration.Key(entry)] = entry
		}
		entries = nil
		for _, key := range keys {
			if known[key] == nil {
				return fmt.Errorf("config: no entry %q at revision %d", key, snapshot.GetRevision())
			}
			entries = append(entries, known[key])
		}
	}
	if a.jsonOutput() {
		return printJSON(cmd.OutOrStdout(), &configpb.Snapshot{Revision: snapshot.GetRevision(), Entries: entries})
	}
	text, err := configfile.Render(entries)
	if err != nil {
		return err
	}
	fmt.Fprintf(cmd.OutOrStdout(), "# revision %d\n%s", snapshot.GetRevision(), text)
	return nil
}

func configSnapshot(ctx context.Context, client *control.APIClient) (*configpb.Snapshot, error) {
	answer, err := client.Query(ctx, &configpb.Query{About: &configpb.Query_Snapshot{Snapshot: true}})
	return answer.GetSnapshot(), err
}

func (a *fleetCLI) diffConfig(cmd *cobra.Command, client *control.APIClient, args []string) error {
	file, err := configfile.Load(args[0])
	if err != nil {
		return err
	}
	snapshot, err := configSnapshot(cmd.Context(), client)
	if err != nil {
		return err
	}
	w := cmd.OutOrStdout()
	list := file.Differences(snapshot.GetEntries())
	for _, difference := range list {
		if difference.Before != nil {
			fmt.Fprintf(w, "- %s %s\n", difference.Key, entryValue(difference.Before))
		}
		if difference.After != nil {
			fmt.Fprintf(w, "+ %s %s\n", difference.Key, entryValue(difference.After))
		}
	}
	fmt.Fprintf(w, "%d of %d entries differ from revision %d\n", len(list), len(file.Transaction.Changes), snapshot.GetRevision())
	return nil
}

// entryValue returns an entry's value as one line of JSON.
func entryValue(e *configpb.Entry) string {
	raw, err := protojson.Marshal(&configpb.Entry{Value: e.Value})
	if err != nil {
		return err.Error()
	}
	return string(raw)
}

func (a *fleetCLI) configHistory(cmd *cobra.Command, client *control.APIClient, maxRevisions uint32) error {
	query := &configpb.HistoryQuery{Most: maxRevisions}
	answer, err := client.Query(cmd.Context(), &configpb.Query{About: &configpb.Query_History{History: query}})
	if err != nil {
		return err
	}
	for _, revision := range answer.GetHistory() {
		if a.jsonOutput() {
			if err := printJSON(cmd.OutOrStdout(), revision); err != nil {
				return err
			}
			continue
		}
		at := time.UnixMilli(revision.AtMs).Format(time.RFC3339)
		fmt.Fprintf(cmd.OutOrStdout(), "%s  revision %-5d %-12s %s  %s\n", at, revision.Number, revision.By, changedKeys(revision), revision.Why)
	}
	return nil
}

// maxKeysPrinted is how many changed keys the history prints for a revision.
const maxKeysPrinted = 5

// changedKeys lists the keys of the entries that a revision changed, up to maxKeysPrinted. Deleted ones have a minus.
func changedKeys(revision *configpb.Revision) string {
	var keys []string
	for _, c := range revision.Changes {
		if put := c.GetPut(); put != nil {
			keys = append(keys, configuration.Key(put))
		} else {
			keys = append(keys, "-"+c.GetDelete())
		}
	}
	if more := len(keys) - maxKeysPrinted; more > 0 {
		keys = append(keys[:maxKeysPrinted], fmt.Sprintf("and %d more", more))
	}
	return strings.Join(keys, ", ")
}
