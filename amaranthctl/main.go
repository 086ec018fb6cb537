// Command amaranthctl is the command-line tool for operators. It validates and
// compares configuration files, explains requests from logs, shows the state of
// daemons and where they would place flows, and runs experiments in virtual time.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "amaranthctl:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "amaranthctl",
		Usage: "check configuration files, look at daemons, play experiments",
		Description: "Exit status: 0 if all went well, 1 if a file is not acceptable, a daemon does not\n" +
			"answer, a request is not found or the command line is wrong.",
		EnableShellCompletion: true,
		Commands:              []*cli.Command{checkCommand(), diffCommand(), experimentCommand(), explainCommand(), statusCommand(), whereCommand()},
	}
}
