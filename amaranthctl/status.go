package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"
	"github.com/urfave/cli/v3"
)

const (
	statusMethod  = "status.get"
	statusTimeout = 3 * time.Second
)

// vmStatus holds the fields of a daemon's status that the table shows. raw is the
// whole response, and reported is false if there was none.
type vmStatus struct {
	VM       string `json:"vm"`
	Domain   string `json:"domain"`
	Version  uint64 `json:"version"`
	Digest   string `json:"digest"`
	Flows    int64  `json:"flows"`
	Leaving  bool   `json:"leaving"`
	Paused   bool   `json:"paused"`
	Peers    []peer `json:"peers"`
	Address  string `json:"address"`
	Problem  string `json:"problem,omitempty"`
	raw      json.RawMessage
	reported bool
}

// peer is the state of another VM from the point of view of a daemon.
type peer struct {
	ID        string `json:"id"`
	RPC       string `json:"rpc"`
	State     int    `json:"state"`
	Reachable bool   `json:"reachable"`
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:      "status",
		Usage:     "show the state of daemons",
		ArgsUsage: "RPC-ADDRESS...",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "json", Usage: "print the whole state as JSON"},
			&cli.BoolFlag{Name: "all", Usage: "also ask the VMs that the first daemon sees"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() == 0 {
				return errors.New("status takes the RPC address of at least one daemon")
			}
			return status(ctx, cmd.Root().Writer, cmd.Args().Slice(), cmd.Bool("all"), cmd.Bool("json"))
		},
	}
}

// status queries the daemons at the addresses and prints their states. It returns
// an error if any of them does not answer.
func status(ctx context.Context, w io.Writer, addresses []string, all, asJSON bool) error {
	list, silent := queryAll(ctx, addresses, all)
	printList := printTable
	if asJSON {
		printList = printJSON
	}
	if err := printList(w, list); err != nil {
		return err
	}
	if silent > 0 {
		return fmt.Errorf("status: %d of %d daemons did not answer", silent, len(list))
	}
	return nil
}

// queryAll queries the daemons at the addresses and, if all is set, also the
// peers that they report. silent counts those that do not answer.
func queryAll(ctx context.Context, addresses []string, all bool) (list []vmStatus, silent int) {
	seen := make(map[string]bool)
	for len(addresses) > 0 {
		address := addresses[0]
		addresses = addresses[1:]
		if seen[address] {
			continue
		}
		seen[address] = true
		st := queryStatus(ctx, address)
		list = append(list, st)
		if !st.reported {
			silent++
		}
		if all {
			for _, p := range st.Peers {
				addresses = append(addresses, p.RPC)
			}
		}
	}
	return list, silent
}

// queryStatus returns the status of the daemon at the address, with Problem set if
// it does not answer.
func queryStatus(ctx context.Context, address string) (st vmStatus) {
	raw, err := fetchStatus(ctx, address)
	if err == nil {
		err = json.Unmarshal(raw, &st)
	}
	st.Address, st.raw, st.reported = address, raw, err == nil
	if err != nil {
		st.Problem = err.Error()
	}
	return st
}

// fetchStatus calls the status method of the daemon at the RPC address. It times
// out after statusTimeout.
func fetchStatus(ctx context.Context, address string) (raw json.RawMessage, err error) {
	defer func() { err = eris.Wrapf(err, "status of %s", address) }()
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	stream := jsonrpc2.NewBufferedStream(c, jsonrpc2.VarintObjectCodec{})
	conn := jsonrpc2.NewConn(ctx, stream, jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no methods are served"}
	}))
	defer func() { _ = conn.Close() }()
	err = conn.Call(ctx, statusMethod, struct{}{}, &raw)
	return raw, err
}

func printJSON(w io.Writer, list []vmStatus) error {
	out := make([]any, len(list))
	for i, st := range list {
		out[i] = st
		if st.reported {
			out[i] = st.raw
		}
	}
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(out)
}

// stateAlive and stateLeaving are the encoded membership states of a peer.
const (
	stateAlive   = 1
	stateLeaving = 3
)

func printTable(w io.Writer, list []vmStatus) error {
	tw := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(tw, "VM\tDOMAIN\tVERSION\tDIGEST\tMEMBERS\tREACHABLE\tFLOWS\tSTATE")
	for _, st := range list {
		if !st.reported {
			fmt.Fprintf(tw, "%s\t\t\t\t\t\t\tno answer: %s\n", st.Address, st.Problem)
			continue
		}
		alive, reachable := 0, 0
		for _, p := range st.Peers {
			if p.State == stateAlive || p.State == stateLeaving {
				alive++
				if p.Reachable {
					reachable++
				}
			}
		}
		fmt.Fprintf(tw, "%s\t%s\t%d\t%.8s\t%d\t%d\t%d\t%s\n", st.VM, st.Domain, st.Version, st.Digest, alive, reachable, st.Flows, stateText(st))
	}
	return tw.Flush()
}

func stateText(st vmStatus) string {
	switch {
	case st.Leaving:
		return "leaving"
	case st.Paused:
		return "resuming"
	}
	return "running"
}
