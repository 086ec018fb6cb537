// Command review3 plays the cases of the third review against processes of the project.
// Usage: review3 CASE RECORD. It exits with 1 if the rule was broken, 0 if it held, and 2
// if the case could not run. With TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"fmt"
	"os"
)

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review3 CASE RECORD")
		return 2
	}
	c, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "review3: no such case")
		return 2
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "review3:", err)
		return 2
	}
	defer rec.close()
	w, err := newWorld(rec, c.options)
	if w != nil {
		defer w.end()
	}
	if err != nil {
		rec.note("could not run: %v", err)
		return 2
	}
	w.startTraffic()
	broken := c.play(w, os.Getenv("TROUBLE") != "0")
	w.summarize()
	if w.counts["answered palette-feed"] == 0 || w.counts["answered blazon-order"] == 0 {
		rec.note("could not run: no request was answered")
		return 2
	}
	if broken {
		rec.note("the rule was broken")
		return 1
	}
	rec.note("the rule held")
	return 0
}
