package main

import (
	"context"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/rotisserie/eris"

	"github.com/amaranthswitch/amaranthswitch/amaranthd/daemon"
	"github.com/amaranthswitch/amaranthswitch/amaranthd/settings"
	"github.com/amaranthswitch/amaranthswitch/fleet/event"
)

// newLogger returns a logger that writes JSON lines of the named level and above.
// It returns an error if the level is unknown.
func newLogger(w io.Writer, level string) (log *slog.Logger, err error) {
	var l slog.Level
	if err = l.UnmarshalText([]byte(level)); err != nil {
		return nil, eris.Wrapf(err, "field logLevel: %q", level)
	}
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: l})), nil
}

// runDaemon runs a daemon with the settings file at path until ctx ends or the
// process receives SIGINT or SIGTERM.
func runDaemon(ctx context.Context, path string) (err error) {
	set, err := settings.Load(path)
	if err != nil {
		log := slog.New(slog.NewJSONHandler(os.Stderr, nil))
		event.Log(ctx, log, event.SettingsFailed, event.Error(err))
		return err
	}
	log, err := newLogger(os.Stderr, set.LogLevel)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	d, cleanup, err := daemon.New(ctx, set, log)
	if err != nil {
		return err
	}
	defer cleanup()
	return d.Run(ctx)
}
