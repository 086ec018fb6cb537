package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
)

const (
	wherePath    = "/where"
	whereTimeout = 3 * time.Second
	// maxErrorBytes bounds the part of an error response that is shown.
	maxErrorBytes = 500
)

func whereCommand() *cli.Command {
	return &cli.Command{
		Name:      "where",
		Usage:     "show where a VM would place a flow now and why, without sending it",
		ArgsUsage: "VM",
		Description: "VM is the address of the metrics of an entry VM.\n" +
			"Exit status: 0 if the VM answered, 1 otherwise.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "route", Usage: "`NAME` of the route in the configuration"},
			&cli.StringFlag{Name: "to", Usage: "`ADDRESS:PORT` that the caller connects to"},
			&cli.StringFlag{Name: "from", Usage: "`ADDRESS:PORT` of the caller"},
			&cli.BoolFlag{Name: "json", Usage: "print the answer as JSON"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() != 1 {
				return errors.New("where takes the metrics address of one VM")
			}
			query, err := whereQuery(cmd)
			if err != nil {
				return err
			}
			return where(ctx, cmd.Root().Writer, cmd.Args().First(), query, cmd.Bool("json"))
		},
	}
}

// whereQuery returns the parameters of the query that the flags ask for.
func whereQuery(cmd *cli.Command) (query url.Values, err error) {
	if cmd.IsSet("route") == cmd.IsSet("to") {
		return nil, errors.New("where: exactly one of --route and --to is needed")
	}
	query = make(url.Values)
	for _, name := range []string{"route", "to", "from"} {
		if !cmd.IsSet(name) {
			continue
		}
		value := cmd.String(name)
		query.Set(name, value)
		if name == "route" {
			continue
		}
		if a, err := netip.ParseAddrPort(value); err != nil || !a.Addr().Is4() {
			return nil, fmt.Errorf("where: --%s %q is not an IPv4 address and port", name, value)
		}
	}
	return query, nil
}

// where queries the VM with the given metrics address and prints its answer.
func where(ctx context.Context, w io.Writer, address string, query url.Values, asJSON bool) error {
	raw, err := fetchWhere(ctx, address, query)
	if err != nil {
		return err
	}
	if asJSON {
		var out bytes.Buffer
		if err = json.Indent(&out, raw, "", "  "); err != nil {
			return eris.Wrapf(err, "where: answer of %s", address)
		}
		_, err = out.WriteTo(w)
		return err
	}
	var a whereAnswer
	if err = json.Unmarshal(raw, &a); err != nil {
		return eris.Wrapf(err, "where: answer of %s", address)
	}
	return a.print(w)
}

// fetchWhere returns the answer of a VM. It times out after whereTimeout.
func fetchWhere(ctx context.Context, address string, query url.Values) (body []byte, err error) {
	if err = checkHostPort(address); err != nil {
		return nil, err
	}
	defer func() { err = eris.Wrapf(err, "where: VM %s", address) }()
	ctx, cancel := context.WithTimeout(ctx, whereTimeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: address, Path: wherePath, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusOK {
		return io.ReadAll(resp.Body)
	}
	body, err = io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	if err != nil {
		return nil, err
	}
	return nil, fmt.Errorf("%s: %s", resp.Status, strings.TrimSpace(string(body)))
}

// checkHostPort returns an error if address is not a host and a port.
func checkHostPort(address string) error {
	host, port, err := net.SplitHostPort(address)
	if n, portErr := strconv.ParseUint(port, 10, 16); err != nil || host == "" || portErr != nil || n == 0 {
		return fmt.Errorf("where: VM %q is not a host and port", address)
	}
	return nil
}
