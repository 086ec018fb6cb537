package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/configfile"
)

// errInvalid is returned by a check after it has printed the problems.
var errInvalid = errors.New("the file is not acceptable, the running configuration stays")

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "validate a whole configuration file",
		ArgsUsage: "FILE",
		Flags:     []cli.Flag{&cli.BoolFlag{Name: "json", Usage: "print problems as JSON"}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() != 1 {
				return errors.New("check takes one file")
			}
			return check(cmd.Root().Writer, cmd.Args().First(), cmd.Bool("json"))
		},
	}
}

// check validates the file at path and prints its problems, or a summary if it
// is valid.
func check(w io.Writer, path string, asJSON bool) (err error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrap(err, "check")
	}
	f, err := configfile.Parse(data)
	var problems configfile.Problems
	if err != nil && !errors.As(err, &problems) {
		return eris.Wrapf(err, "check %s", path)
	}
	if asJSON {
		return printProblems(w, problems)
	}
	for _, p := range problems {
		fmt.Fprintf(w, "%s:%d: %s: %s\n", path, p.Line, p.Path, p.Reason)
	}
	if len(problems) > 0 {
		return errInvalid
	}
	upstreams := 0
	for _, s := range f.Services {
		upstreams += len(s.Upstreams)
	}
	fmt.Fprintf(w, "%s: version %d is valid: %d failure domains, %d services, %d upstreams\n", path, f.Version, len(f.Domains), len(f.Services), upstreams)
	return nil
}

// printProblems writes the problems as a JSON array. It returns errInvalid if
// there are any.
func printProblems(w io.Writer, problems configfile.Problems) error {
	if problems == nil {
		problems = configfile.Problems{}
	}
	if err := json.NewEncoder(w).Encode(problems); err != nil {
		return err
	}
	if len(problems) > 0 {
		return errInvalid
	}
	return nil
}

func diffCommand() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "show what a new configuration file would change",
		ArgsUsage: "OLD NEW",
		Flags:     []cli.Flag{&cli.BoolFlag{Name: "json", Usage: "print changes as JSON"}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() != 2 {
				return errors.New("diff takes an old and a new file")
			}
			return diff(cmd.Root().Writer, cmd.Args().Get(0), cmd.Args().Get(1), cmd.Bool("json"))
		},
	}
}

// diff prints the changes from the file at path before to the one at path after.
func diff(w io.Writer, before, after string, asJSON bool) (err error) {
	a, err := loadFile(before)
	if err != nil {
		return err
	}
	b, err := loadFile(after)
	if err != nil {
		return err
	}
	changes := config.Diff(a, b)
	if asJSON {
		if changes == nil {
			changes = []config.Change{}
		}
		return json.NewEncoder(w).Encode(changes)
	}
	for _, c := range changes {
		fmt.Fprintf(w, "%-7s %s", c.Action, c.Object)
		if c.Detail != "" {
			fmt.Fprintf(w, " (%s)", c.Detail)
		}
		fmt.Fprintln(w)
	}
	if b.Version <= a.Version {
		fmt.Fprintf(w, "warning: version %d does not follow version %d, no VM would take the new file\n", b.Version, a.Version)
	}
	return nil
}

func loadFile(path string) (f *config.File, err error) {
	defer func() { err = eris.Wrapf(err, "load %s", path) }()
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return configfile.Parse(data)
}
