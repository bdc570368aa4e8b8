package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"acaciapath.example/standin/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command.New().ExecuteContext(ctx); err != nil {
		stop()
		os.Exit(1)
	}
}
