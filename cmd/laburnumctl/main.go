// Command laburnumctl is the command-line client of laburnumroad for operators and
// callers.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"laburnumroad.dev/laburnumroad/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Main(ctx, os.Args[1:], ctl.OSEnvironment())
	stop()
	os.Exit(int(code))
}
