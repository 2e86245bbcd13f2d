// Command starlingvalve is a load-balancing proxy node.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"starlingvalve/internal/app"
	"starlingvalve/internal/logqueue"
)

const (
	memoryPart = 0.6 // of the limit, for Go's heap and stacks; the kernel's buffers and the program have the rest
	gcPercent  = 400 // the heap is small: fewer collections leave the one core to requests
)

func main() {
	// Nothing may wait for whoever reads the log: it is written under locks that every request takes.
	log := logqueue.New(os.Stderr, 0, 0)
	err := run(slog.New(slog.NewTextHandler(log, nil)))
	if err != nil {
		fmt.Fprintln(log, "starlingvalve:", err)
	}
	log.Close()
	if err != nil {
		os.Exit(1)
	}
}

func run(log *slog.Logger) error {
	reload := make(chan os.Signal, 1) // first of all: a SIGHUP that nothing catches ends the process
	signal.Notify(reload, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	c, err := app.LoadConfig(os.Getenv)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryPart * float64(c.Limits.MemoryMB) * (1 << 20)))
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Limits.Cores))))
	return app.Run(ctx, c, reload, log)
}
