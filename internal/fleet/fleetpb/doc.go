// Package fleetpb holds the messages of the agreement across a fleet, generated from fleet.proto: the entries of the
// replicated log, the state that they lead to, and what nodes and voters send each other. Names and numbers of fields are
// kept, as two versions of the program run beside each other all through a release.
package fleetpb
