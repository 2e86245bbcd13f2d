// Package faultpoint names moments at which the rigs have a process end, or its disk fail. A product build has nobody behind them.
package faultpoint

import "time"

// Hit is called at each point, unless it is nil; its error becomes the point's. A rig's build sets it before anything runs.
var Hit func(point string) error

// WallStep is by how much the wall clock was stepped before the process began. A rig's build may set it.
var WallStep time.Duration

// Points.
const (
	Save    = "save"    // a voter is about to write its log
	Saved   = "saved"   // it has written; nothing of it is applied, sent or answered yet
	Granted = "granted" // an entry is in the log and applied; whoever asked has no answer yet
)

// At tells that a point is reached.
func At(point string) error {
	if Hit == nil {
		return nil
	}
	return Hit(point)
}
