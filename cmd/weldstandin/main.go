// Command weldstandin runs one stand-in: a model engine, a plain service or
// the platform. It is for demos and tests only.
//
//	weldstandin engine -id e1 -listen 127.0.0.1:9001 -control 127.0.0.1:9101 -models docket-8b
//	weldstandin service -id gantry-1 -listen 127.0.0.1:9201 -control 127.0.0.1:9301
//	weldstandin platform -listen 127.0.0.1:9401 -control 127.0.0.1:9501
//
// With port 0 the kernel chooses; the first line on standard output names the
// addresses as "listen=IP:PORT control=IP:PORT".
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
	// exitCrash is that of an engine which a request ended.
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
	build, ok := kinds(fs)[args[0]]
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

// kinds registers the flags of all kinds and returns how to build each.
func kinds(fs *flag.FlagSet) map[string]func() server {
	id := fs.String("id", "standin", "identity in the platform's list")
	models := fs.String("models", "", "engine: models loaded, comma separated")
	adapters := fs.String("adapters", "", "engine: adapters loaded, comma separated")
	cfg := standin.EngineConfig{}
	fs.DurationVar(&cfg.TokenTime, "token-time", 20*time.Millisecond, "engine: time between two tokens of a lone request")
	fs.DurationVar(&cfg.BatchTime, "batch-time", time.Millisecond, "engine: time added for each further request in the batch")
	fs.IntVar(&cfg.MaxBatch, "max-batch", 16, "engine: requests in the batch")
	fs.IntVar(&cfg.PrefillRate, "prefill-rate", 200, "engine: prompt tokens computed in a step")
	fs.IntVar(&cfg.CacheTokens, "cache-tokens", 20000, "engine: tokens in the prefix cache")
	fs.DurationVar(&cfg.ReportLag, "report-lag", 100*time.Millisecond, "engine: age of a load report")
	fs.IntVar(&cfg.EventGapEach, "event-gap", 7, "engine: lose each n-th cache event; 0 loses none")
	fs.StringVar(&cfg.CrashWord, "crash-word", "", "engine: `word` in the prompts that end the engine as they begin to run; empty for none")
	cfg.Crash = func() { os.Exit(exitCrash) }
	fs.BoolVar(&cfg.IgnoreFence, "ignore-fence", false, "engine: accept orders whatever their fence")
	return map[string]func() server{
		"engine": func() server {
			cfg.ID, cfg.Models, cfg.Adapters = *id, list(*models), list(*adapters)
			return standin.NewEngine(cfg)
		},
		"service":  func() server { return standin.NewService(*id) },
		"platform": func() server { return standin.NewPlatform() },
	}
}

func list(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}
