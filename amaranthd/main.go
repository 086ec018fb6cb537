// Command amaranthd is the daemon of an entry VM. It steers flows to upstreams and
// serves requests. It can also measure its capacity and run a demo on loopback.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/amaranthswitch/amaranthswitch/amaranthd/capacity"
	"github.com/amaranthswitch/amaranthswitch/amaranthd/demo"
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "amaranthd:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "amaranthd",
		Usage: "layer-4 load balancer for fleets of failure domains",
		Commands: []*cli.Command{
			{
				Name:  "run",
				Usage: "run the daemon of this VM",
				Flags: []cli.Flag{&cli.StringFlag{Name: "settings", Usage: "settings `FILE`", Required: true}},
				Action: func(ctx context.Context, cmd *cli.Command) error {
					return runDaemon(ctx, cmd.String("settings"))
				},
			},
			{
				Name:  "capacity",
				Usage: "measure how the cost of a daemon grows and print the table",
				Flags: []cli.Flag{&cli.BoolFlag{Name: "json", Usage: "print the measurements as JSON"}},
				Action: func(_ context.Context, cmd *cli.Command) error {
					return capacity.Run(os.Stdout, cmd.Bool("json"))
				},
			},
			{
				Name:  "demo",
				Usage: "run daemons and all that surrounds them in this process",
				Flags: []cli.Flag{
					&cli.BoolFlag{Name: "json", Usage: "print the result as JSON"},
					&cli.Uint64Flag{Name: "seed", Usage: "`SEED` of all random choices", Value: 1},
					&cli.DurationFlag{Name: "duration", Usage: "`TIME` of the load", Value: 12 * time.Second},
				},
				Action: func(ctx context.Context, cmd *cli.Command) error {
					return demo.Run(ctx, os.Stdout, demo.Options{
						JSON: cmd.Bool("json"), Seed: cmd.Uint64("seed"), Duration: cmd.Duration("duration"),
					})
				},
			},
		},
	}
}
