package main

import (
	"context"
	"errors"
	"io"
	"os"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/amaranthswitch/amaranthswitch/standin/experiment"
)

func experimentCommand() *cli.Command {
	return &cli.Command{
		Name:      "experiment",
		Usage:     "play loads and faults in virtual time under several policies",
		ArgsUsage: "FILE",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "json", Usage: "print the counts second by second as JSON"},
			&cli.StringFlag{Name: "plot", Usage: "draw the share of requests in aim to `FILE` (svg, png or pdf)"},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() != 1 {
				return errors.New("experiment takes one file")
			}
			return runExperiment(cmd.Root().Writer, cmd.Args().First(), cmd.Bool("json"), cmd.String("plot"))
		},
	}
}

// runExperiment runs the experiment file at path in virtual time and writes its
// report.
func runExperiment(w io.Writer, path string, asJSON bool, plot string) (err error) {
	defer func() { err = eris.Wrapf(err, "experiment %s", path) }()
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	f, err := experiment.Parse(data)
	if err != nil {
		return err
	}
	report := experiment.Run(f)
	if plot != "" {
		if err = report.Plot(plot); err != nil {
			return err
		}
	}
	if asJSON {
		return report.JSON(w)
	}
	return report.Table(w)
}
