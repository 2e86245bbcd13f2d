package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"starlingvalve/internal/control"
	"starlingvalve/internal/fleet"
	"starlingvalve/internal/fleet/fleetpb"
	"starlingvalve/internal/supervise"
	"starlingvalve/internal/timeline"
	"starlingvalve/internal/tomlfile"
)

// loadPlan reads the plan of a release from a file and checks it. An error is one line with file, line and key. Waves
// that don't name their nodes get them from the fleet's state in machine. If that is nil, they get a
// placeholder.
func loadPlan(path string, machine *fleet.Machine) (*fleetpb.Plan, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var file struct {
		Release struct {
			Name        string `toml:"name"`
			Version     string `toml:"version"`
			Before      string `toml:"before"`
			Why         string `toml:"why"`
			SoakMs      int64  `toml:"soak_ms"`
			LimitMs     int64  `toml:"limit_ms"`
			MostCrashes uint32 `toml:"most_crashes"`
			TurnBack    bool   `toml:"turn_back"`
			Health      bool   `toml:"health"`
		} `toml:"release"`
		Wave []fleet.Wave `toml:"wave"`
	}
	if err := tomlfile.Decode(path, raw, &file); err != nil {
		return nil, err
	}
	release := file.Release
	plan := &fleetpb.Plan{Name: release.Name, Version: release.Version, Before: release.Before, Why: release.Why,
		SoakMs: release.SoakMs, LimitMs: release.LimitMs, MostCrashes: release.MostCrashes, TurnBack: release.TurnBack,
		Health: release.Health}
	for i, wave := range file.Wave {
		if err := wave.Check(); err != nil {
			return nil, tomlfile.KeyErrors(path, raw)(fmt.Sprintf("wave[%d].nodes", i), "%v", err)
		}
		nodes := wave.Nodes
		if len(nodes) == 0 {
			nodes = []string{fmt.Sprintf("(of wave %d)", i+1)}
		}
		plan.Waves = append(plan.Waves, &fleetpb.Wave{Name: wave.Name, Nodes: nodes, Mixed: wave.Mixed})
	}
	if field, err := fleet.CheckPlan(plan); err != nil {
		if field[:min(4, len(field))] != "wave" {
			field = "release." + field
		}
		return nil, tomlfile.KeyErrors(path, raw)(field, "%v", err)
	}
	if machine == nil {
		return plan, nil
	}
	if plan.Waves, err = machine.BuildWaves(file.Wave); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if field, err := fleet.CheckPlan(plan); err != nil {
		return nil, fmt.Errorf("%s: with the nodes of the fleet: %s: %w", path, field, err)
	}
	return plan, nil
}

// planForFleet loads the plan of a file for the nodes that the fleet has now. It also returns the fleet's state.
func (a *fleetCLI) planForFleet(cmd *cobra.Command, client *control.APIClient, path string) (*fleet.Machine, *fleetpb.Plan, error) {
	machine, err := a.agreedState(cmd.Context(), client)
	if err != nil {
		return nil, nil, err
	}
	plan, err := loadPlan(path, machine)
	return machine, plan, err
}

// releaseCommand creates the commands that plan, start and steer releases.
func releaseCommand() *cobra.Command {
	cli := &fleetCLI{}
	root, add := cli.command("release", "Bring the nodes of a fleet to another version, in waves")
	add("plan FILE", "Check a plan, and print what it would do", cobra.ExactArgs(1),
		func(cmd *cobra.Command, client *control.APIClient, args []string) error {
			machine, plan, err := cli.planForFleet(cmd, client, args[0])
			if err != nil {
				return err
			}
			for i, wave := range plan.Waves {
				fmt.Fprintf(cmd.OutOrStdout(), "wave %d %s: %s\n", i+1, wave.Name, joinNames(wave.Nodes))
			}
			return cli.printResult(cmd.OutOrStdout(), "would be", machine.ExplainPlan(plan))
		})
	var again bool
	start := add("start FILE", "Start the release of a plan", cobra.ExactArgs(1),
		func(cmd *cobra.Command, client *control.APIClient, args []string) error {
			_, plan, err := cli.planForFleet(cmd, client, args[0])
			if err != nil {
				return err
			}
			plan.By, plan.Again = cli.by, again
			return cli.submit(cmd, client, &fleetpb.Entry{What: &fleetpb.Entry_Plan{Plan: plan}})
		})
	start.Flags().BoolVar(&again, "again", false, "allow a version that was turned back before")
	for verb, about := range map[string]string{"pause": "Bring no further node to the new version for now",
		"resume": "Continue a paused or halted release", "halt": "Stop the release: nodes that are out return as they were",
		"back": "Roll back to the previous version"} {
		add(verb+" RELEASE", about, cobra.ExactArgs(1), func(cmd *cobra.Command, client *control.APIClient, args []string) error {
			return cli.submit(cmd, client, &fleetpb.Entry{What: &fleetpb.Entry_Steer{Steer: &fleetpb.Steer{Release: args[0],
				Verb: verb, By: cli.by, Why: cli.why}}})
		})
	}
	add("status", "Print the current or last release, and the version of each node", cobra.NoArgs,
		func(cmd *cobra.Command, client *control.APIClient, _ []string) error {
			machine, err := cli.agreedState(cmd.Context(), client)
			if err != nil {
				return err
			}
			return cli.releaseStatus(cmd, machine.State())
		})
	add("report FILE.html",
		"Write an HTML page of the current or last release: what was out of service over time, against its budgets",
		cobra.ExactArgs(1), func(cmd *cobra.Command, client *control.APIClient, args []string) error {
			machine, err := cli.agreedState(cmd.Context(), client)
			if err != nil {
				return err
			}
			var page bytes.Buffer
			if err := timeline.Write(&page, machine.State()); err != nil {
				return err
			}
			return os.WriteFile(args[0], page.Bytes(), 0o644)
		})
	return root
}

func (a *fleetCLI) releaseStatus(cmd *cobra.Command, state *fleetpb.State) error {
	if a.jsonOutput() {
		return printJSON(cmd.OutOrStdout(), &fleetpb.State{Release: state.Release, Units: state.Units, Bad: state.Bad})
	}
	w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
	defer w.Flush()
	if release := state.Release; release != nil {
		fmt.Fprintf(w, "release %s\t%s\twave %d of %d\t%s -> %s\t%s\n", release.Plan.Name, release.State, release.Wave+1,
			len(release.Plan.Waves), release.Plan.Before, release.Plan.Version, release.Cause)
		for _, name := range slices.Sorted(maps.Keys(release.Turns)) {
			fmt.Fprintf(w, "turn\t%s\tto %s\tepoch %d\n", name, release.Turns[name].Version, release.Turns[name].Epoch)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(state.Units)) {
		unit := state.Units[name]
		fmt.Fprintf(w, "node\t%s\t%s\t%s since %s\n", name, unit.Version, unit.State,
			time.UnixMilli(unit.SinceMs).Format(time.TimeOnly))
	}
	return nil
}

// superviseCommand creates the command that supervises a node's process.
func superviseCommand(log *slog.Logger) *cobra.Command {
	var program string
	cmd := &cobra.Command{Use: "supervise FILE",
		Short: "Keep a node running, and bring it to the versions that releases want",
		Args:  cobra.ExactArgs(1),
		Long:  "Keep a node running, and bring it to the versions that releases want.\n\nThe node has this process's environment. SIGTERM ends both. If this process is killed, the node keeps running and the next supervisor takes it over.",
		RunE: func(cmd *cobra.Command, args []string) error {
			file, err := supervise.Load(args[0], time.Now())
			if err != nil {
				return fmt.Errorf("configuration: %w", err)
			}
			if program != "" {
				programs, err := supervise.OpenPrograms(file.ProgramFolder)
				if err != nil {
					return err
				}
				version, err := programs.Add(program)
				if err != nil {
					return errors.Join(fmt.Errorf("%s was not added", program), err)
				}
				fmt.Fprintln(cmd.OutOrStdout(), version)
				return nil
			}
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
			defer stop()
			return supervise.Run(ctx, file, log)
		}}
	cmd.Flags().StringVar(&program, "add", "", "add this `PROGRAM` to the stored programs, print its version, and exit")
	return cmd
}
