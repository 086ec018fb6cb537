// Command amaranthctl is the operators' command: it checks and compares
// configuration files, explains requests from logs and shows the state of daemons.
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
		Name:     "amaranthctl",
		Usage:    "check configuration files and look at daemons",
		Commands: []*cli.Command{checkCommand(), diffCommand(), explainCommand(), statusCommand()},
	}
}
