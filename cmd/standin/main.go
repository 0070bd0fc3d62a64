package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newCommand().ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:          "standin",
		Short:        "Run simulated platforms, engines, plain services and callers",
		SilenceUsage: true,
	}
	cmd.AddCommand(newPlatformCommand(), newEngineCommand(), newServiceCommand(), newLoadCommand(), newDemoCommand(), newExperimentCommand())
	return cmd
}

// serve serves HTTP on an address until ctx is done; it prints the address once it listens.
func serve(ctx context.Context, kind, id, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	fmt.Printf("listening kind=%s id=%s address=%s\n", kind, id, listener.Addr())
	server := &http.Server{Handler: handler}
	defer context.AfterFunc(ctx, func() { server.Close() })()
	if err := server.Serve(listener); err != http.ErrServerClosed {
		return err
	}
	return nil
}
