package main

import "context"

type fitCmd struct{}

func (c *fitCmd) Run(ctx context.Context) error { return nil }
