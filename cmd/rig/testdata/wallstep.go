// This file is added to package faultpoint in the rig's builds. RIG_WALL_STEP is the duration by which the wall clock was
// stepped before the process started.

package faultpoint

import (
	"os"
	"time"
)

func init() {
	if step, err := time.ParseDuration(os.Getenv("RIG_WALL_STEP")); err == nil {
		WallStep = step
	}
}
