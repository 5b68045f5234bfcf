package main

import (
	"os"
	"os/signal"
	"syscall"
)

// processSignals are the signals that the process handles, each sort in a channel of its own.
type processSignals struct {
	stops   chan os.Signal // stops receives SIGTERM and SIGINT.
	reloads chan os.Signal // reloads receives SIGHUP, which requests a reload of the settings.
	dumps   chan os.Signal // dumps receives SIGQUIT, which requests a state dump of an entry instance.
}

// notifySignals starts to receive signals. It is called before anything else, since a signal
// that arrives earlier ends the process.
func notifySignals() processSignals {
	s := processSignals{
		stops:   make(chan os.Signal, 2),
		reloads: make(chan os.Signal, 1),
		dumps:   make(chan os.Signal, 1),
	}
	signal.Notify(s.stops, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reloads, syscall.SIGHUP)
	return s
}

// notifyDumps makes SIGQUIT request a state dump. Roles keep its default: Go's dump of all
// goroutines.
func (s processSignals) notifyDumps() { signal.Notify(s.dumps, syscall.SIGQUIT) }
