package main

import "context"

type matrixCmd struct{}

func (c *matrixCmd) Run(ctx context.Context) error { return nil }

type fitCmd struct{}

func (c *fitCmd) Run(ctx context.Context) error { return nil }
