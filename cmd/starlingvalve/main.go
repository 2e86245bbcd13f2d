// Command starlingvalve is a load-balancing proxy node and gateway between sites.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"regexp"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"starlingvalve/internal/app"
	"starlingvalve/internal/control"
	"starlingvalve/internal/gateway"
	"starlingvalve/internal/logqueue"
	"starlingvalve/internal/recorder"
	"starlingvalve/internal/supervise"
)

// gcPercent is higher than Go's default because the heap is small: fewer collections leave more of the single core to
// requests.
const gcPercent = 400

func main() {
	// Log lines are queued, so that a slow reader of the log blocks nothing: some are written under locks that every
	// request takes.
	log := logqueue.New(os.Stderr, 0, 0)
	stdlog.SetOutput(log) // for libraries
	err := command(log).Execute()
	var code exitCode
	if err != nil && !errors.As(err, &code) { // an exitCode's message has been printed already
		fmt.Fprintln(log, "starlingvalve:", err)
	}
	log.Close()
	if err != nil {
		os.Exit(max(1, int(code)))
	}
}

// command creates the program's command line. The node and the supervisor log to log.
func command(log io.Writer) *cobra.Command {
	var flags nodeFlags
	root := &cobra.Command{Use: "starlingvalve", Short: "A load-balancing proxy node and gateway between sites",
		Long: "A load-balancing proxy node. GW_CONFIG names its configuration file; GW_NAME, GW_LISTEN and GW_DISCOVERY override the file.",
		Args: cobra.NoArgs, SilenceErrors: true, SilenceUsage: true,
		CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true},
		RunE: func(*cobra.Command, []string) error {
			var level slog.Level
			if err := level.UnmarshalText([]byte(flags.level)); err != nil {
				return fmt.Errorf("-log-level: %w", err)
			}
			return runNode(flags, slog.New(slog.NewTextHandler(log, &slog.HandlerOptions{Level: level})))
		}}
	root.Flags().StringVar(&flags.gateway, "gateway", "",
		"exchange requests with other sites as configured in this `FILE` (see deploy/gateway.toml)")
	root.Flags().StringVar(&flags.record, "record", "",
		"record the requests that arrive as configured in this `FILE` (see deploy/record.toml)")
	root.Flags().StringVar(&flags.fleet, "fleet", "",
		"agree with other nodes on drains and budgets, as configured in this `FILE` (see deploy/fleet.toml)")
	root.Flags().StringVar(&flags.level, "log-level", "info",
		"lowest `LEVEL` to log; debug logs a line for each decision on a request")
	root.AddCommand(
		&cobra.Command{Use: "check FILE",
			Short: "Check a gateway, fleet, supervisor, record or release file, with the certificates that it names",
			Args:  cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				if hasTable(args[0], "node") {
					file, err := control.Load(args[0], time.Now())
					if err != nil {
						return err
					}
					fmt.Fprintf(cmd.OutOrStdout(), "%s: good: node %s, %d voters, %d budgets\n", args[0], file.Name, len(file.Voters),
						len(file.Budgets))
					return nil
				}
				if hasTable(args[0], "supervise") {
					file, err := supervise.Load(args[0], time.Now())
					if err != nil {
						return err
					}
					fmt.Fprintf(cmd.OutOrStdout(), "%s: good: supervises node %s\n", args[0], file.Fleet.Name)
					return nil
				}
				if hasTable(args[0], "release") {
					plan, err := loadPlan(args[0], nil)
					if err != nil {
						return err
					}
					fmt.Fprintf(cmd.OutOrStdout(), "%s: good: release %s, %d waves as it is written\n", args[0], plan.Name,
						len(plan.Waves))
					return nil
				}
				if hasTable(args[0], "record") {
					record, err := recorder.Load(args[0])
					if err != nil {
						return err
					}
					fmt.Fprintf(cmd.OutOrStdout(), "%s: good: records to %s\n", args[0], record.Path)
					return nil
				}
				gatewayConfig, err := gateway.Load(args[0], time.Now())
				if err != nil {
					return err
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%s: good: site %s, %d other sites\n", args[0], gatewayConfig.Identity.Site,
					len(gatewayConfig.Identity.Peers))
				return nil
			}},
		&cobra.Command{Use: "version", Short: "Print the version", Args: cobra.NoArgs,
			Run: func(cmd *cobra.Command, _ []string) {
				fmt.Fprintln(cmd.OutOrStdout(), "starlingvalve", version())
			}})
	root.AddCommand(fleetCommand(), configCommand(), releaseCommand(),
		superviseCommand(slog.New(slog.NewTextHandler(log, nil))))
	root.SetArgs(normalizeDashes(os.Args[1:]))
	return root
}

// nodeFlags are the flags of the node: paths of files, empty if not given, and the lowest log level.
type nodeFlags struct{ gateway, record, fleet, level string }

// hasTable reports whether a TOML file has a table of this name. The tables tell the kind of a file.
func hasTable(path, table string) bool {
	text, err := os.ReadFile(path)
	return err == nil && regexp.MustCompile(`(?m)^\s*\[`+table+`\]`).Match(text)
}

// normalizeDashes adds the second dash to the node's flags that have one, as in -gateway FILE.
func normalizeDashes(args []string) []string {
	out := append([]string(nil), args...)
	for i, a := range out {
		if a == "--" {
			break
		}
		if strings.HasPrefix(a, "-gateway") || strings.HasPrefix(a, "-record") || strings.HasPrefix(a, "-fleet") ||
			strings.HasPrefix(a, "-log-level") {
			out[i] = "-" + a
		}
	}
	return out
}

// version returns the module's version, the revision of the source, and the version of Go.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	v := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			v += " " + s.Value
		}
	}
	return v + " " + info.GoVersion
}

// runNode loads the configuration and runs a node until SIGTERM or SIGINT.
func runNode(flags nodeFlags, log *slog.Logger) error {
	reload := make(chan os.Signal, 1) // before anything else, as a SIGHUP that is not caught ends the process
	signal.Notify(reload, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	config, err := app.LoadConfig(os.Getenv, flags.gateway)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	if flags.record != "" {
		if config.Record, err = recorder.Load(flags.record); err != nil {
			return fmt.Errorf("configuration: %w", err)
		}
	}
	if flags.fleet != "" {
		if config.Fleet, err = control.Load(flags.fleet, time.Now()); err != nil {
			return fmt.Errorf("configuration: %w", err)
		}
	}
	debug.SetGCPercent(gcPercent)
	runtime.GOMAXPROCS(max(1, int(math.Ceil(config.Limits.Cores))))
	return app.Run(ctx, config, reload, log)
}
