// Command weldstandin runs a stand-in for a model engine, a plain service or the
// platform. It is for demos and tests only.
//
//	weldstandin engine -id e1 -listen 127.0.0.1:9001 -control 127.0.0.1:9101 -models docket-8b
//	weldstandin service -id gantry-1 -listen 127.0.0.1:9201 -control 127.0.0.1:9301
//	weldstandin platform -listen 127.0.0.1:9401 -control 127.0.0.1:9501
//
// Port 0 selects a free port; the first line on standard output gives the addresses
// as "listen=IP:PORT control=IP:PORT".
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/weldstream/weldstream/internal/standin"
)

const (
	exitUsage = 2
	// exitCrash is the exit status of an engine that a request crashed.
	exitCrash = 3
)

type server interface {
	Serve(ctx context.Context, l standin.Listeners) error
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	if len(args) == 0 {
		return usage()
	}
	fs := flag.NewFlagSet(args[0], flag.ExitOnError)
	listen := fs.String("listen", "127.0.0.1:0", "address to serve, `IP:port`")
	control := fs.String("control", "127.0.0.1:0", "control address, `IP:port`")
	build, ok := registerKinds(fs)[args[0]]
	if !ok {
		return usage()
	}
	_ = fs.Parse(args[1:]) // ExitOnError: Parse does not return an error.
	l, err := standin.Listen(*listen, *control)
	if err != nil {
		fmt.Fprintln(os.Stderr, "weldstandin:", err)
		return 1
	}
	fmt.Printf("listen=%s control=%s\n", l.Main.Addr(), l.Control.Addr())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := build().Serve(ctx, l); err != nil {
		fmt.Fprintln(os.Stderr, "weldstandin:", err)
		return 1
	}
	return 0
}

func usage() int {
	fmt.Fprintln(os.Stderr, "usage: weldstandin engine|service|platform [flags]; -h lists the flags")
	return exitUsage
}

// registerKinds registers the flags of all kinds of stand-ins and returns a constructor
// for each kind.
func registerKinds(fs *flag.FlagSet) map[string]func() server {
	id := fs.String("id", "standin", "name in the platform's server list")
	models := fs.String("models", "", "engine: loaded models, separated by commas")
	adapters := fs.String("adapters", "", "engine: loaded adapters, separated by commas")
	cfg := standin.EngineConfig{}
	fs.DurationVar(&cfg.TokenTime, "token-time", 20*time.Millisecond, "engine: time per token with a single request in the batch")
	fs.DurationVar(&cfg.BatchTime, "batch-time", time.Millisecond, "engine: additional time per token for each further request in the batch")
	fs.IntVar(&cfg.MaxBatch, "max-batch", 16, "engine: maximum number of requests in the batch")
	fs.IntVar(&cfg.PrefillRate, "prefill-rate", 200, "engine: prompt tokens computed per step")
	fs.IntVar(&cfg.CacheTokens, "cache-tokens", 20000, "engine: capacity of the prefix cache in tokens")
	fs.DurationVar(&cfg.ReportLag, "report-lag", 100*time.Millisecond, "engine: age of a load report")
	fs.IntVar(&cfg.EventGapEach, "event-gap", 7, "engine: drop every n-th cache event; 0 drops none")
	fs.StringVar(&cfg.CrashWord, "crash-word", "", "engine: a prompt with this `word` crashes the engine when it starts to run; empty for none")
	cfg.Crash = func() { os.Exit(exitCrash) }
	fs.BoolVar(&cfg.IgnoreFence, "ignore-fence", false, "engine: accept orders even if their fencing token is stale")
	return map[string]func() server{
		"engine": func() server {
			cfg.ID, cfg.Models, cfg.Adapters = *id, splitList(*models), splitList(*adapters)
			return standin.NewEngine(cfg)
		},
		"service":  func() server { return standin.NewService(*id) },
		"platform": func() server { return standin.NewPlatform() },
	}
}

func splitList(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}
