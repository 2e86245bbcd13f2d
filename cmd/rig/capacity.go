package main

import (
	"context"
	"os"

	"starlingvalve/internal/rig/capacity"
)

// capacityRig measures the figures of docs/CAPACITY.md or, with the flag -page, writes that page's tables from the
// recorded results.
func capacityRig(ctx context.Context, o *options) error {
	if o.page {
		return capacity.WritePage(capacity.PageFile, capacity.ResultsFile)
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	broken, err := capacity.Run(ctx, capacity.Options{Seed: o.seed, Quick: o.quick, SectionNames: o.sections, Program: o.binary, HollowProgram: self, Results: o.results, Out: o.out.w})
	o.out.broken += broken
	return err
}
