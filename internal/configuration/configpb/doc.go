// Package configpb holds the messages of the fleet's configuration, generated from configuration.proto and watch.proto: its
// entries, transactions and snapshots, and what nodes, control machines and operators send each other. Names and numbers of
// fields are kept, as two versions of the program run beside each other all through a release.
package configpb
