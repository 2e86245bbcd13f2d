package wholefile

import (
	"context"
	"errors"
	"fmt"
	"os"
	"syscall"
	"time"
)

// Lock takes an exclusive flock(2) lock on a file, which it creates if there is none. While another process has the
// lock, it calls onWait and tries again after pollInterval, until ctx ends. The lock is held until the returned file
// is closed or the process ends.
func Lock(ctx context.Context, path string, pollInterval time.Duration, onWait func()) (*os.File, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	for {
		err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if err == nil {
			return f, nil
		}
		if !errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, errors.Join(fmt.Errorf("%s: %w", path, err), f.Close())
		}
		onWait()
		select {
		case <-ctx.Done():
			return nil, errors.Join(ctx.Err(), f.Close())
		case <-time.After(pollInterval):
		}
	}
}
