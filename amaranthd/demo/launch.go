package demo

import (
	"context"
	"log/slog"

	"github.com/amaranthswitch/amaranthswitch/amaranthd/daemon"
	"github.com/amaranthswitch/amaranthswitch/amaranthd/settings"
	"github.com/amaranthswitch/amaranthswitch/standin/site"
)

// InProcess returns a launcher that runs daemons as goroutines of this process.
func InProcess(log *slog.Logger) site.Launcher {
	return func(ctx context.Context, body []byte) (*site.Process, error) {
		set, err := settings.Parse(body)
		if err != nil {
			return nil, err
		}
		d, cleanup, err := daemon.New(ctx, set, log)
		if err != nil {
			return nil, err
		}
		ctx, cancel := context.WithCancel(ctx)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			defer cleanup()
			if err := d.Run(ctx); err != nil {
				log.Error("daemon ended", slog.String("error", err.Error()))
			}
		}()
		stop := func() { cancel(); <-ended }
		return &site.Process{Stop: stop, Kill: stop}, nil
	}
}
