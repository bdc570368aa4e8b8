package main

import (
	"context"
	"crypto/rand"
	"os"
	"os/signal"
	"os/user"
	"syscall"
	"time"

	"acaciapath.example/acaciapath/command"
)

func main() {
	os.Exit(int(run()))
}

// run runs the command line. An interrupt or SIGTERM cancels its context.
func run() command.Exit {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return command.Run(ctx, command.Environment{
		Stdout: os.Stdout,
		Stderr: os.Stderr,
		Now:    time.Now,
		Random: rand.Reader,
		Author: author(),
	}, os.Args[1:])
}

// author returns the name of the current user of the operating system, or "unknown".
func author() string {
	if current, err := user.Current(); err == nil {
		return current.Username
	}
	return "unknown"
}
