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
const inForceEvery = 100 * time.Millisecond

// configCommand creates the commands that read and change the fleet's configuration.
func configCommand() *cobra.Command {
	a := &asking{}
	root, add := a.command("config", "Change and read the fleet's configuration: services, routes, tenants")
	var wait time.Duration
	waits := func(c *cobra.Command) {
		c.Flags().DurationVar(&wait, "wait", 0,
			"how long to wait until the change is in force at every node; exit code 5 if it is not by then")
	}
	waits(add("put FILE", "Apply all changes of a file, or none", cobra.ExactArgs(1),
		func(c *cobra.Command, d *control.Door, args []string) error {
			return a.putConfig(c, d, args[0], wait)
		}))
	waits(add("rollback REVISION", "Restore all entries as of a revision", cobra.ExactArgs(1),
		func(c *cobra.Command, d *control.Door, args []string) error {
			return a.rollBackConfig(c, d, args[0], wait)
		}))
	add("get [KEY...]", "Print entries in the format of a file for put", cobra.ArbitraryArgs, a.getConfig)
	add("diff FILE", "Print what put would change", cobra.ExactArgs(1), a.diffConfig)
	var most uint32
	history := add("history", "Print who changed what, and why", cobra.NoArgs,
		func(c *cobra.Command, d *control.Door, _ []string) error { return a.configHistory(c, d, most) })
	history.Flags().Uint32Var(&most, "most", 20, "number of revisions to print, newest ones; 0: all that are kept")
	add("status", "Print the revision in force, which nodes lag and why; exit code 5 while the newest is not in force", cobra.NoArgs,
		func(c *cobra.Command, d *control.Door, _ []string) error {
			s, err := configStatus(c.Context(), d)
			if err != nil {
				return err
			}
			return a.tellStatus(c.OutOrStdout(), s)
		})
	return root
}

func (a *asking) putConfig(c *cobra.Command, d *control.Door, path string, wait time.Duration) error {
	f, err := configfile.Load(path)
	if err != nil {
		return err
	}
	f.Transaction.By, f.Transaction.Why = a.by, a.why
	r, err := a.changeConfig(c, d, &fleetpb.Entry{What: &fleetpb.Entry_Configure{Configure: f.Transaction}})
	if err != nil {
		return err
	}
	if refusal := r.GetConfiguration().GetRefusal(); refusal != nil && !a.json() {
		fmt.Fprintln(c.ErrOrStderr(), "starlingvalve:", f.Fault(refusal))
		return codeOf(r)
	}
	return a.tellChange(c, d, r, wait)
}

func (a *asking) rollBackConfig(c *cobra.Command, d *control.Door, revision string, wait time.Duration) error {
	to, err := parseRevision(revision)
	if err != nil {
		return err
	}
	back := &configpb.Rollback{To: to, By: a.by, Why: a.why}
	r, err := a.changeConfig(c, d, &fleetpb.Entry{What: &fleetpb.Entry_RollBack{RollBack: back}})
	if err != nil {
		return err
	}
	return a.tellChange(c, d, r, wait)
}

// changeConfig submits a change. It has a number of its own, so that it is safe to submit it again.
func (a *asking) changeConfig(c *cobra.Command, d *control.Door, e *fleetpb.Entry) (*fleetpb.Result, error) {
	if e.Ask = a.number; e.Ask == "" {
		e.Ask = rand.Text()
	}
	ctx, cancel := context.WithTimeout(c.Context(), 30*time.Second)
	defer cancel()
	return d.Ask(ctx, e)
}

// printChange prints the result of a change. If wait is not 0, it then waits up to that long until the change is in
// force.
func (a *asking) tellChange(c *cobra.Command, d *control.Door, r *fleetpb.Result, wait time.Duration) error {
	w, result := c.OutOrStdout(), r.GetConfiguration()
	switch {
	case a.json():
		if err := printJSON(w, r); err != nil {
			return err
		}
	case result == nil || r.Reason != "":
		fmt.Fprintf(w, "%s: %s\n", strings.ToLower(r.Code.String()), r.Reason)
	default:
		fmt.Fprintf(w, "%s, revision %d\n", strings.ToLower(result.Code.String()), result.Revision)
	}
	if err := codeOf(r); err != nil || wait == 0 {
		return err
	}
	return a.waitInForce(c, d, result.GetRevision(), wait)
}

// exitCodeOf returns the exit code of a result, as an error.
func codeOf(r *fleetpb.Result) error {
	switch r.Code {
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
func (a *asking) waitInForce(c *cobra.Command, d *control.Door, revision uint64, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(c.Context(), wait)
	defer cancel()
	var last *configpb.Status
	for began := time.Now(); ; {
		s, err := configStatus(ctx, d)
		if err == nil {
			if last = s; s.Accounted && s.InForce >= revision {
				took := time.Since(began).Milliseconds()
				fmt.Fprintf(c.OutOrStdout(), "in force at all %d nodes after %d ms\n", s.Sessions, took)
				return nil
			}
		}
		select {
		case <-time.After(inForceEvery):
			continue
		case <-ctx.Done():
		}
		if last == nil {
			return fmt.Errorf("%w within %v: %w", control.ErrDoor, wait, err)
		}
		fmt.Fprintf(c.OutOrStdout(), "not in force within %v\n", wait)
		a.printLags(c.OutOrStdout(), last)
		return exitCode(exitUnproven)
	}
}

func configStatus(ctx context.Context, d *control.Door) (*configpb.Status, error) {
	answer, err := d.Query(ctx, &configpb.Query{About: &configpb.Query_Status{Status: true}})
	return answer.GetStatus(), err
}

// printStatus prints a status. It returns the exit code exitUnproven unless the newest revision is in force.
func (a *asking) tellStatus(w io.Writer, s *configpb.Status) error {
	inForce := s.Accounted && s.InForce == s.Revision
	if a.json() {
		if err := printJSON(w, s); err != nil {
			return err
		}
	} else {
		state := fmt.Sprintf("in force: %d", s.InForce)
		if !s.Accounted {
			state = "in force: unknown, as no control machine has a report of some session"
		}
		fmt.Fprintf(w, "revision %d, %s; %d nodes\n", s.Revision, state, s.Sessions)
		a.printLags(w, s)
	}
	if !inForce {
		return exitCode(exitUnproven)
	}
	return nil
}

// printLags prints a table of the control machines, of the nodes that lag and why, and of those that no machine has a
// report of.
func (a *asking) printLags(out io.Writer, s *configpb.Status) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer w.Flush()
	for _, m := range s.Machines {
		if m.Report == nil {
			fmt.Fprintf(w, "machine\t%s\tnot reached: %s\n", m.Name, m.Why)
			continue
		}
		fmt.Fprintf(w, "machine\t%s\trevision %d\t%d nodes\n", m.Name, m.Report.Applied, m.Report.Nodes)
		for _, l := range m.Report.Lagging {
			why := "not acknowledged yet"
			if r := l.Refusal; l.Refused > 0 {
				reason := strings.Join(nonEmpty(r.GetEntry(), r.GetField(), r.GetReason()), ": ")
				why = fmt.Sprintf("refused up to %d: %s", l.Refused, reason)
			}
			fmt.Fprintf(w, "lags\t%s\trevision %d\tat %s\t%s\n", l.Node, l.Applied, m.Name, why)
		}
	}
	for _, node := range s.Unheard {
		fmt.Fprintf(w, "unheard\t%s\tit has a session, but watches no machine that was reached\n", node)
	}
}

func nonEmpty(list ...string) []string {
	return slices.DeleteFunc(list, func(s string) bool { return s == "" })
}

func (a *asking) getConfig(c *cobra.Command, d *control.Door, keys []string) error {
	s, err := configSnapshot(c.Context(), d)
	if err != nil {
		return err
	}
	entries := s.GetEntries()
	if len(keys) > 0 {
		known := map[string]*configpb.Entry{}
		for _, e := range entries {
			known[configuration.Key(e)] = e
		}
		entries = nil
		for _, key := range keys {
			if known[key] == nil {
				return fmt.Errorf("config: no entry %q at revision %d", key, s.GetRevision())
			}
			entries = append(entries, known[key])
		}
	}
	if a.json() {
		return printJSON(c.OutOrStdout(), &configpb.Snapshot{Revision: s.GetRevision(), Entries: entries})
	}
	text, err := configfile.Render(entries)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.OutOrStdout(), "# revision %d\n%s", s.GetRevision(), text)
	return nil
}

func configSnapshot(ctx context.Context, d *control.Door) (*configpb.Snapshot, error) {
	answer, err := d.Query(ctx, &configpb.Query{About: &configpb.Query_Snapshot{Snapshot: true}})
	return answer.GetSnapshot(), err
}

func (a *asking) diffConfig(c *cobra.Command, d *control.Door, args []string) error {
	f, err := configfile.Load(args[0])
	if err != nil {
		return err
	}
	s, err := configSnapshot(c.Context(), d)
	if err != nil {
		return err
	}
	w := c.OutOrStdout()
	list := f.Differences(s.GetEntries())
	for _, x := range list {
		if x.Before != nil {
			fmt.Fprintf(w, "- %s %s\n", x.Key, oneLine(x.Before))
		}
		if x.After != nil {
			fmt.Fprintf(w, "+ %s %s\n", x.Key, oneLine(x.After))
		}
	}
	fmt.Fprintf(w, "%d of %d entries differ from revision %d\n", len(list), len(f.Transaction.Changes), s.GetRevision())
	return nil
}

// entryValue returns an entry's value as one line of JSON.
func oneLine(e *configpb.Entry) string {
	raw, err := protojson.Marshal(&configpb.Entry{Value: e.Value})
	if err != nil {
		return err.Error()
	}
	return string(raw)
}

func (a *asking) configHistory(c *cobra.Command, d *control.Door, most uint32) error {
	query := &configpb.HistoryQuery{Most: most}
	answer, err := d.Query(c.Context(), &configpb.Query{About: &configpb.Query_History{History: query}})
	if err != nil {
		return err
	}
	for _, r := range answer.GetHistory() {
		if a.json() {
			if err := printJSON(c.OutOrStdout(), r); err != nil {
				return err
			}
			continue
		}
		at := time.UnixMilli(r.AtMs).Format(time.RFC3339)
		fmt.Fprintf(c.OutOrStdout(), "%s  revision %-5d %-12s %s  %s\n", at, r.Number, r.By, changedKeys(r), r.Why)
	}
	return nil
}

// maxKeysPrinted is how many changed keys the history prints for a revision.
const keysTold = 5

// changedKeys lists the keys of the entries that a revision changed, up to maxKeysPrinted. Deleted ones have a minus.
func changedKeys(r *configpb.Revision) string {
	var keys []string
	for _, c := range r.Changes {
		if put := c.GetPut(); put != nil {
			keys = append(keys, configuration.Key(put))
		} else {
			keys = append(keys, "-"+c.GetDelete())
		}
	}
	if more := len(keys) - keysTold; more > 0 {
		keys = append(keys[:keysTold], fmt.Sprintf("and %d more", more))
	}
	return strings.Join(keys, ", ")
}
