// Package faultpoint has the points at which the end-to-end tests of cmd/rig kill the process or make its disk fail.
// Their builds add a file that sets Hit or WallStep. A product build sets neither, so the points do nothing.
package faultpoint

import "time"

// Hit is called at each point with the point's name, unless it is nil. Reached returns its error. It is set before
// anything runs.
var Hit func(point string) error

// WallStep is added to the wall clock at the start of the process, as if the clock had been stepped before.
var WallStep time.Duration

// Names of the points.
const (
	BeforeSave = "save"    // a voter is about to write to its log
	AfterSave  = "saved"   // it has written, and nothing of that is applied, sent or answered yet
	AfterApply = "granted" // an entry is committed and applied, and the client has no answer yet
)

// Reached calls Hit for a point. It returns nil if Hit is nil.
func Reached(point string) error {
	if Hit == nil {
		return nil
	}
	return Hit(point)
}
