// Command standin-2 holds the stand-ins of the second review and plays its cases.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitKept, exitBroken, exitNotRun = 0, 1, 2
)

// cases are the cases by name. Each returns whether the rule was kept.
var cases = map[string]struct {
	fronts int
	play   func(w *world, trouble bool) (kept bool, err error)
}{
	"polls": {3, pollsCase}, "shift": {2, shiftCase}, "extra": {3, extraCase}, "long": {2, longCase}, "gone": {3, goneCase},
}

func main() {
	binary := flag.String("agatewayd", "target/agatewayd", "program of the system")
	out := flag.String("out", ".", "folder for record.txt")
	name := flag.String("case", "", "case to play")
	flag.Parse()
	os.Exit(play(*binary, *out, *name, os.Getenv("TROUBLE") != "0"))
}

func play(binary, out, name string, trouble bool) int {
	c, known := cases[name]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case")
		return exitNotRun
	}
	w, err := newWorld(binary, out, c.fronts, config(7))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	go func() { // a case that is interrupted ends its processes too
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
		<-signals
		w.close()
		os.Exit(exitNotRun)
	}()
	kept, err := c.play(w, trouble)
	w.logRuns()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case !kept:
		return exitBroken
	}
	return exitKept
}
