// Command weldstreamd is the daemon.
//
//	weldstreamd -settings FILE.yaml                  an entry instance, which is gateway and control instance in one process
//	weldstreamd gateway -settings FILE.yaml          a gateway without a disk, for callers
//	weldstreamd control -settings FILE.yaml          a control instance with a disk
//	weldstreamd ROLE -settings-from VARIABLE         the file that an environment variable names
//
// Exit status: 2 for invalid settings, with one line per fault that gives file, line
// and field; 1 after a fatal error; 0 after a planned stop.
//
// SIGTERM starts a planned stop: the instance reports unready, finishes the running
// requests and exits. After a second SIGTERM, or at the end of the drain time, the
// requests that still run are handed over to other instances. SIGHUP makes a gateway reload
// its settings; other instances ignore it. SIGQUIT writes the state of an entry instance to
// standard error as JSON.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/rs/zerolog"

	"github.com/weldstream/weldstream/settings"
)

const (
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	os.Exit(run(notifySignals()))
}

func run(signals processSignals) int {
	if len(os.Args) > 1 {
		if _, ok := roles[os.Args[1]]; ok {
			return runRole(os.Args[1], os.Args[2:], signals)
		}
	}
	signals.notifyDumps()
	file := flag.String("settings", "", "settings `file` in YAML (required)")
	flag.Parse()
	if *file == "" || flag.NArg() > 0 {
		flag.Usage()
		return exitSettings
	}
	s, faults, err := settings.Load(*file)
	if err != nil {
		fmt.Fprintf(os.Stderr, "weldstreamd: %s:0: %v\n", *file, err)
		return exitSettings
	}
	if len(faults) > 0 {
		for _, f := range faults {
			fmt.Fprintln(os.Stderr, "weldstreamd:", f)
		}
		return exitSettings
	}
	return serve(s, signals)
}

func serve(s *settings.Settings, signals processSignals) int {
	log := newLogger(s)
	d, err := newDaemon(s, log)
	if err != nil {
		log.Error().Err(err).Msg("start failed")
		return exitFailed
	}
	if err := d.run(signals); err != nil {
		log.Error().Err(err).Msg("stopped after an error")
		return exitFailed
	}
	log.Info().Msg("stopped")
	return 0
}

func newLogger(s *settings.Settings) zerolog.Logger {
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		level = zerolog.InfoLevel
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	return zerolog.New(os.Stderr).Level(level).With().Timestamp().Str("instance", s.Name).Logger()
}
