package main

import (
	"context"
	"errors"
)

func rules(ctx context.Context, o *options, args []string) error { return errors.New("not yet") }
