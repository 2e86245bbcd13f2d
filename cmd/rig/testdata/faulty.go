// This file is added to package faultpoint in the rig's builds. The file that RIG_FAULTS names holds the fault to inject,
// as "POINT ACTION".

package faultpoint

import (
	"os"
	"strings"
	"syscall"
	"time"
)

func init() {
	path := os.Getenv("RIG_FAULTS")
	if path == "" {
		return
	}
	Hit = func(point string) error {
		raw, err := os.ReadFile(path)
		if err != nil {
			return nil
		}
		at, action, _ := strings.Cut(string(raw), " ")
		if at != point {
			return nil
		}
		switch action {
		case "kill":
			os.Remove(path)
			syscall.Kill(os.Getpid(), syscall.SIGKILL)
			select {}
		case "full":
			return syscall.ENOSPC
		case "slow":
			time.Sleep(150 * time.Millisecond)
		}
		return nil
	}
}
