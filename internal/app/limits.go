package app

import (
	"fmt"
	"log/slog"

	"golang.org/x/sys/unix"

	"starlingvalve/internal/descriptors"
	"starlingvalve/internal/ops"
)

// divideDescriptors divides the file descriptors of this process among its uses: as many as limits.sockets says, or
// the system's limit if that is lower.
func divideDescriptors(config *Config, log *slog.Logger) (descriptors.Split, error) {
	limit := config.Limits.Sockets
	var rlimit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &rlimit); err != nil {
		log.Warn("can't read the system's limit of file descriptors", "err", err)
	} else if rlimit.Cur < uint64(limit) {
		log.Warn("the system's limit of file descriptors is lower than limits.sockets", "sockets", limit, "given", rlimit.Cur)
		limit = int(rlimit.Cur)
	}
	uses := descriptors.Uses{Link: config.Gateway != nil, Fleet: config.Fleet != nil, Recorder: config.Record != nil}
	if config.Ops.IsValid() {
		uses.Operators = ops.MaxDescriptors
	}
	split, err := descriptors.Divide(limit, uses)
	if err != nil {
		return split, fmt.Errorf("limits: %w", err)
	}
	return split, nil
}
