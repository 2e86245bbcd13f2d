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
func splitOf(c *Config, log *slog.Logger) (descriptors.Split, error) {
	limit := c.Limits.Sockets
	var given unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &given); err != nil {
		log.Warn("can't read the system's limit of file descriptors", "err", err)
	} else if given.Cur < uint64(limit) {
		log.Warn("the system's limit of file descriptors is lower than limits.sockets", "sockets", limit, "given", given.Cur)
		limit = int(given.Cur)
	}
	uses := descriptors.Uses{Link: c.Gateway != nil, Fleet: c.Fleet != nil, Recorder: c.Record != nil}
	if c.Ops.IsValid() {
		uses.Operators = ops.Descriptors
	}
	split, err := descriptors.Divide(limit, uses)
	if err != nil {
		return split, fmt.Errorf("limits: %w", err)
	}
	return split, nil
}
