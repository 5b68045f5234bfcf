package transport

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strings"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/internal/yamlfile"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/settings"
	"github.com/weldstream/weldstream/state"
)

// ConfigStore accepts configurations for the whole cluster.
type ConfigStore interface {
	// Apply commits a canonical configuration under a number. Applying the
	// accepted configuration again succeeds.
	Apply(ctx context.Context, number uint64, canonical []byte) (protocol.Revision, *protocol.Refusal)
	// Leader returns the leader of the group as of the last call; empty if
	// unknown.
	Leader() string
	// Remove removes a replica that is permanently lost from the group.
	Remove(ctx context.Context, name string) error
}

// ApplyRequest is the body of POST /v1/config.
type ApplyRequest struct {
	Number uint64             `json:"number"`
	Files  []state.ConfigFile `json:"files"`
}

// ApplyReply is the answer to an apply: the accepted revision, or all faults of
// the files.
type ApplyReply struct {
	Number uint64   `json:"number"`
	Digest string   `json:"digest,omitempty"`
	Faults []string `json:"faults,omitempty"`
}

// ConfigView is the answer to GET /v1/config.
type ConfigView struct {
	Revision  protocol.Revision `json:"revision"`
	Leader    string            `json:"leader,omitempty"` // Leader is the leader as of this instance's last call.
	Instances []InstanceConfig  `json:"places"`
}

// InstanceConfig describes the configuration in force on one instance.
type InstanceConfig struct {
	Name    string               `json:"name"`
	Domain  string               `json:"domain"`
	State   protocol.MemberState `json:"state"`
	Ready   bool                 `json:"ready"`
	Number  uint64               `json:"number"`
	Digest  string               `json:"digest"`
	InForce bool                 `json:"in_force"` // InForce reports whether this is the newest revision.
	ForMS   int64                `json:"for_ms"`   // ForMS is the time since the member record last changed.
}

const (
	// maxAdminBody limits an operator's request: configuration files in JSON.
	maxAdminBody = state.MaxConfigBytes*2 + 1<<20
	// applyTimeout limits the wait for a quorum.
	applyTimeout = 10 * time.Second
)

// Admin is the HTTP server for operators of one instance.
type Admin struct {
	tables    *state.Tables
	store     ConfigStore
	operators [][]byte
	registry  metrics.Registry
	log       zerolog.Logger
	dump      func() any
	server    *fasthttp.Server
}

// NewAdmin returns an admin server that is not serving yet. The function dump
// returns the process's state.
func NewAdmin(s *settings.Settings, t *state.Tables, store ConfigStore, r metrics.Registry, log zerolog.Logger, dump func() any) *Admin {
	a := &Admin{tables: t, store: store, registry: r, log: log, dump: dump}
	for _, text := range s.Cluster.OperatorDigest {
		if digest, err := hex.DecodeString(text); err == nil {
			a.operators = append(a.operators, digest)
		}
	}
	a.server = &fasthttp.Server{
		Handler:               a.handle,
		Name:                  "weldstream",
		MaxRequestBodySize:    maxAdminBody,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		NoDefaultServerHeader: true,
		Logger:                discardLogger{},
	}
	return a
}

// Serve accepts connections from operators until Shutdown.
func (a *Admin) Serve(ln net.Listener) error { return a.server.Serve(ln) }

// Shutdown closes the listener and the connections.
func (a *Admin) Shutdown(ctx context.Context) error { return a.server.ShutdownWithContext(ctx) }

func (a *Admin) handle(ctx *fasthttp.RequestCtx) {
	if !a.allowed(ctx) {
		writeRefusal(ctx, "", protocol.NewRefusal(http.StatusUnauthorized, protocol.CodeUnauthorized, "an operator's token is needed"))
		return
	}
	if name, ok := strings.CutPrefix(string(ctx.Path()), "/v1/replicas/"); ok && ctx.IsDelete() {
		a.remove(ctx, name)
		return
	}
	switch string(ctx.Method()) + " " + string(ctx.Path()) {
	case "GET /dump":
		writeJSON(ctx, http.StatusOK, a.dump())
	case "GET /metrics":
		ctx.SetContentType("application/json")
		metrics.WriteJSONOnce(a.registry, ctx)
	case "GET /v1/config":
		a.get(ctx)
	case "POST /v1/config":
		a.apply(ctx)
	default:
		writeRefusal(ctx, "", protocol.NewRefusal(http.StatusNotFound, protocol.CodeNotFound, "no such path: %s %s", ctx.Method(), ctx.Path()))
	}
}

// allowed compares the token's digest with those of the operators in constant
// time.
func (a *Admin) allowed(ctx *fasthttp.RequestCtx) bool {
	token, ok := strings.CutPrefix(string(ctx.Request.Header.Peek("Authorization")), "Bearer ")
	if !ok {
		return false
	}
	digest := sha256.Sum256([]byte(token))
	match := 0
	for _, operator := range a.operators {
		match |= subtle.ConstantTimeCompare(digest[:], operator)
	}
	return match == 1
}

func (a *Admin) remove(ctx *fasthttp.RequestCtx, name string) {
	wait, cancel := context.WithTimeout(context.Background(), applyTimeout)
	defer cancel()
	if err := a.store.Remove(wait, name); err != nil {
		writeRefusal(ctx, "", protocol.NewRefusal(http.StatusServiceUnavailable, protocol.CodeNoQuorum, "%v", err))
		return
	}
	a.log.Warn().Str("replica", name).Msg("replica removed")
	writeJSON(ctx, http.StatusOK, map[string]string{"removed": name})
}

func (a *Admin) get(ctx *fasthttp.RequestCtx) {
	view := ConfigView{Leader: a.store.Leader(), Instances: a.instanceConfigs()}
	if ix := a.tables.Index(); ix != nil {
		view.Revision = ix.Revision
	}
	writeJSON(ctx, http.StatusOK, view)
}

// instanceConfigs lists the configuration in force on each instance, as known from
// the member records received here.
func (a *Admin) instanceConfigs() []InstanceConfig {
	newest, _ := a.tables.Revision()
	places := []InstanceConfig{}
	for _, m := range a.tables.Members.Rows() {
		if m.State == protocol.MemberLeft {
			continue
		}
		places = append(places, InstanceConfig{
			Name:    m.Name,
			Domain:  m.Domain,
			State:   m.State,
			Ready:   m.Ready,
			Number:  m.Revision,
			Digest:  m.Digest.Short(),
			InForce: m.Revision == newest && newest > 0,
			ForMS:   clock.Since(m.Since).Milliseconds(),
		})
	}
	return places
}

func (a *Admin) apply(ctx *fasthttp.RequestCtx) {
	var req ApplyRequest
	if err := json.Unmarshal(ctx.PostBody(), &req); err != nil {
		writeRefusal(ctx, "", badRequest("the body is not an apply: %v", err))
		return
	}
	if req.Number == 0 || len(req.Files) == 0 {
		writeRefusal(ctx, "", badRequest("an apply needs a number above 0 and at least one file"))
		return
	}
	config, faults := state.ParseConfig(req.Files)
	if len(faults) > 0 {
		writeJSON(ctx, http.StatusUnprocessableEntity, ApplyReply{Number: req.Number, Faults: faultTexts(faults)})
		return
	}
	wait, cancel := context.WithTimeout(context.Background(), applyTimeout)
	defer cancel()
	rev, refusal := a.store.Apply(wait, req.Number, state.Canonical(config))
	if refusal != nil {
		a.log.Warn().Uint64("number", req.Number).Str("code", string(refusal.Code)).Str("cause", refusal.Message).Msg("apply refused")
		writeRefusal(ctx, "", refusal)
		return
	}
	a.log.Info().Uint64("number", rev.Number).Str("digest", rev.Digest.Short()).Msg("apply accepted")
	writeJSON(ctx, http.StatusOK, ApplyReply{Number: rev.Number, Digest: rev.Digest.String()})
}

func faultTexts(faults []yamlfile.Fault) []string {
	texts := make([]string, len(faults))
	for i, f := range faults {
		texts[i] = f.Error()
	}
	return texts
}

// errNoConfig is returned while no revision is installed.
var errNoConfig = errors.New("no configuration is in force yet")

// ConfigReady returns a check that a configuration is in force.
func ConfigReady(t *state.Tables) func() error {
	return func() error {
		if t.Index() == nil {
			return errNoConfig
		}
		return nil
	}
}
