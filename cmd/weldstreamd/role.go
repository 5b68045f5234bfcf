package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/netip"
	"os"
	"runtime/debug"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/internal/yamlfile"
	"github.com/weldstream/weldstream/settings"
)

// role is one of the roles of the daemon on a platform with several classes of
// machines.
type role struct {
	check func(n *settings.Node, file string) []yamlfile.Fault
	run   func(r *roleRun) error
}

var roles = map[string]role{
	"gateway": {check: (*settings.Node).CheckGateway, run: runGateway},
	"control": {check: (*settings.Node).CheckControl, run: runControl},
}

// roleRun holds what all roles need.
type roleRun struct {
	file     string
	check    func(n *settings.Node, file string) []yamlfile.Fault
	settings *settings.Node
	log      zerolog.Logger
	registry metrics.Registry
	processSignals
}

// maxQueuedLogLines is the maximum number of log lines that wait to be written. Further
// lines are dropped and counted, so that a stalled log reader does not block requests.
const maxQueuedLogLines = 2000

// runRole runs a role until it is stopped and returns the exit status.
func runRole(name string, args []string, signals processSignals) int {
	flags := flag.NewFlagSet("weldstreamd "+name, flag.ContinueOnError)
	file := flags.String("settings", "", "settings `file` in YAML")
	variable := flags.String("settings-from", "", "environment `variable` that names the settings file")
	if err := flags.Parse(args); err != nil {
		return exitSettings
	}
	if *file == "" && *variable != "" {
		*file = os.Getenv(*variable)
	}
	if *file == "" || flags.NArg() > 0 {
		fmt.Fprintf(os.Stderr, "weldstreamd %s: exactly one settings file is needed\n", name)
		flags.Usage()
		return exitSettings
	}
	n, ok := loadNode(roles[name].check, *file)
	if !ok {
		return exitSettings
	}
	return startRole(name, *file, n, signals)
}

// loadNode reads the settings of a role and prints every fault to standard error.
func loadNode(check func(*settings.Node, string) []yamlfile.Fault, file string) (*settings.Node, bool) {
	n, faults, err := settings.LoadNode(file)
	if err != nil {
		fmt.Fprintf(os.Stderr, "weldstreamd: %s:0: %v\n", file, err)
		return nil, false
	}
	if len(faults) == 0 {
		faults = check(n, file)
	}
	for _, f := range faults {
		fmt.Fprintln(os.Stderr, "weldstreamd:", f)
	}
	return n, len(faults) == 0
}

// gcPercent trades processor time for a smaller heap, because memory is the scarcer
// resource. With 20 instead of 60, gateways used 3 % more processor time and 4 MB less
// of 14 MB.
const gcPercent = 20

// heapFraction is the part of memory_mb that the heap may grow to.
const heapFraction = 0.7

func startRole(name, file string, n *settings.Node, signals processSignals) int {
	debug.SetGCPercent(gcPercent)
	if n.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(heapFraction * float64(n.MemoryMB) * (1 << 20)))
	}
	out := diode.NewWriter(os.Stdout, maxQueuedLogLines, 0, func(missed int) {
		fmt.Fprintf(os.Stderr, "weldstreamd: %d log lines dropped\n", missed)
	})
	r := &roleRun{
		file:     file,
		check:    roles[name].check,
		settings: n,
		log:      newRoleLogger(out, name, n),
		registry: metrics.NewRegistry(),

		processSignals: signals,
	}
	r.log.Info().Str("file", file).Bool("found", n.Found).Strs("seeds", n.Seeds).Msg("started")
	err := roles[name].run(r)
	r.log.Info().Err(err).Msg("stopped")
	_ = out.Close() // Writes the queued lines.
	if err != nil {
		return exitFailed
	}
	return 0
}

func newRoleLogger(out diode.Writer, name string, n *settings.Node) zerolog.Logger {
	level, err := zerolog.ParseLevel(n.LogLevel)
	if err != nil {
		level = zerolog.InfoLevel
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	return zerolog.New(out).Level(level).With().Timestamp().Str("instance", n.Name).Str("role", name).Logger()
}

// seedPeerAddress returns the peer address of the control instance whose operator
// address is the seed. All instances use the same peer port.
func seedPeerAddress(seed, ownPeer string) (string, error) {
	at, err := netip.ParseAddrPort(seed)
	if err != nil {
		return "", eris.Wrap(err, "seed")
	}
	own, err := netip.ParseAddrPort(ownPeer)
	if err != nil {
		return "", eris.Wrap(err, "peer")
	}
	return netip.AddrPortFrom(at.Addr(), own.Port()).String(), nil
}

func (r *roleRun) seedPeerAddresses(n *settings.Node) ([]string, error) {
	var peers []string
	for _, seed := range n.Seeds {
		peer, err := seedPeerAddress(seed, n.Peer)
		if err != nil {
			return nil, err
		}
		peers = append(peers, peer)
	}
	return peers, nil
}

// reload reads the settings again and applies them if they are valid.
func (r *roleRun) reload(apply func(*settings.Node)) {
	n, ok := loadNode(r.check, r.file)
	r.log.Info().Bool("sound", ok).Msg("settings file read again")
	if ok {
		apply(n)
	}
}

// serveHTTP serves h until ctx is canceled.
func serveHTTP(ctx context.Context, address string, maxBody int, h fasthttp.RequestHandler) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	const idle, read = time.Minute, 20 * time.Second
	server := &fasthttp.Server{Handler: h, MaxRequestBodySize: maxBody, NoDefaultServerHeader: true, IdleTimeout: idle, ReadTimeout: read, Logger: discardLogger{}}
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	err = server.Serve(ln)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// discardLogger drops the log lines of the HTTP library.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// serveMetrics serves the metrics as text and the state dump as JSON.
func (r *roleRun) serveMetrics(ctx context.Context, dump func() any) error {
	if r.settings.Metrics == "" {
		return nil
	}
	return serveHTTP(ctx, r.settings.Listen(r.settings.Metrics), 1<<10, func(c *fasthttp.RequestCtx) {
		switch string(c.Path()) {
		case "/metrics":
			writeMetrics(c, r.registry)
		case "/dump":
			writeDump(c, dump())
		default:
			c.SetStatusCode(fasthttp.StatusNotFound)
		}
	})
}
