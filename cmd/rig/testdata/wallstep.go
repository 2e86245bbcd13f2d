// A file beside the program's fault points, in a build of the rig's: RIG_WALL_STEP is by how much the wall clock was stepped before the process
// began.

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
