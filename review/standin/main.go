// Command standin runs the cases of the review: each starts instances of agateway as processes, with a store,
// workers and clients that are stand-ins.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// testCase runs a case in a world. It returns what broke the rule, one text for each time.
type testCase func(w *world) (broken []string, err error)

var cases = map[string]testCase{}

// maxRun is when a case is given up.
const maxRun = 110 * time.Second

func main() {
	if len(os.Args) > 1 && os.Args[1] == "worker" {
		runWorker(os.Args[2:])
		return
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE REPOSITORY FOLDER")
		os.Exit(2)
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	os.Exit(runCase(cases[os.Args[1]], root, os.Args[3]))
}

func runCase(run testCase, root, dir string) int {
	w, err := newWorld(root, dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	type outcome struct {
		broken []string
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := run(w)
		done <- outcome{broken, err}
	}()
	var o outcome
	select {
	case o = <-done:
	case <-stop:
		o.err = errors.New("stopped by a signal")
	case <-time.After(maxRun):
		o.err = errors.New("it took too long")
	}
	switch {
	case o.err != nil:
		w.note("the case could not run: %v", o.err)
		fmt.Fprintln(os.Stderr, "the case could not run:", o.err)
		return 2
	case len(o.broken) > 0:
		for _, b := range o.broken {
			w.note("BROKEN: %s", b)
			fmt.Println("BROKEN:", b)
		}
		return 1
	}
	w.note("the rule held")
	fmt.Println("the rule held")
	return 0
}
