package main

import (
	"errors"
	"fmt"
	"io"
	"net"

	"github.com/spf13/cobra"

	"greengagedock.example/operator"
)

// Exit statuses.
const (
	statusOK          = 0
	statusNegative    = 1
	statusUsage       = 2
	statusUnreachable = 3
)

const (
	// addressVariable is the environment variable that overrides defaultAddress.
	addressVariable = "GREENGAGEDOCK_ADMIN"
	defaultAddress  = "127.0.0.1:8102"
)

// errNegative is returned by a command that succeeded but printed a negative result.
var errNegative = errors.New("negative result")

// streams are the standard streams of the program.
type streams struct {
	in     io.Reader
	out    io.Writer
	errors io.Writer
}

// program holds the streams and flags that all commands share.
type program struct {
	streams
	address string
	json    bool
}

// run executes a command line and returns its exit status.
func run(args []string, getenv func(string) string, std streams) int {
	p := &program{streams: std}
	root := p.root(getenv)
	root.SetArgs(args)
	command, err := root.ExecuteC()
	status := statusOf(err)
	if status != statusOK && !errors.Is(err, errNegative) {
		fmt.Fprintln(std.errors, "greengagedock:", err)
	}
	if status == statusUsage {
		fmt.Fprintf(std.errors, "Run '%s --help' for usage.\n", command.CommandPath())
	}
	return status
}

// statusOf returns the exit status for the error of a command.
func statusOf(err error) int {
	switch {
	case err == nil:
		return statusOK
	case errors.Is(err, errNegative), errors.Is(err, operator.ErrRefused):
		return statusNegative
	case errors.Is(err, operator.ErrUnreachable), errors.Is(err, operator.ErrInvalidResponse):
		return statusUnreachable
	default:
		return statusUsage
	}
}

func (p *program) root(getenv func(string) string) *cobra.Command {
	root := &cobra.Command{
		Use:   "greengagedock",
		Short: "Check service documents and operate entry instances",
		Long: `Check service documents and settings, and query and drain entry instances.

Exit status: 0 success, 1 negative result or unhealthy entry, 2 wrong usage or
unreadable input, 3 no entry reachable at the admin address.`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetIn(p.in)
	root.SetOut(p.out)
	root.SetErr(p.errors)
	address := getenv(addressVariable)
	if address == "" {
		address = defaultAddress
	}
	root.PersistentFlags().StringVarP(&p.address, "address", "a", address, "admin address of the entry, default from "+addressVariable)
	root.PersistentFlags().BoolVar(&p.json, "json", false, "print JSON")
	_ = root.RegisterFlagCompletionFunc("address", cobra.NoFileCompletions)
	root.AddCommand(p.check(), p.status(), p.explain(), p.config(), p.servers(), p.drain(), p.version())
	return root
}

// checkAddress is the PreRunE of commands that query an entry.
func (p *program) checkAddress(*cobra.Command, []string) error {
	if _, _, err := net.SplitHostPort(p.address); err != nil {
		return fmt.Errorf("admin address %q: want an IP and port such as %s", p.address, defaultAddress)
	}
	return nil
}

func (p *program) client() *operator.Client { return operator.NewClient(p.address) }
