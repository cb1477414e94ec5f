package main

import (
	"os"
	"os/signal"
	"syscall"
)

// stopSignals returns a channel that receives SIGTERM and SIGINT.
func stopSignals() chan os.Signal {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	return signals
}

// waitForStop returns at the first signal to stop. From then on only an interrupt ends the process
// at once, by a call of exit with code 1. Another SIGTERM is ignored: overlapping rolling restarts
// send it more than once, and it must not cut requests in progress.
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
