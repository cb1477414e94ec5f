package main

import (
	"os"
	"os/signal"
	"syscall"
)

// stopSignals returns the channel on which the signals to stop arrive.
func stopSignals() chan os.Signal {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	return signals
}

// waitForStop waits for the first signal to stop. After it, only an interrupt ends the process at once: a second
// SIGTERM asks for the same once more, as a rolling restart does that meets another one, and must not cut what is
// in progress.
func waitForStop(signals <-chan os.Signal, exit func(code int)) {
	<-signals
	go func() {
		for s := range signals {
			if s == os.Interrupt {
				exit(1)
			}
		}
	}()
}
