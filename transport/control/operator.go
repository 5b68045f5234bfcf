package control

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/weldstream/weldstream/protocol"
)

// OperatorPathPrefix is the prefix of the paths of weldstream's operator API.
const OperatorPathPrefix = "/v1/"

const (
	pathRollouts   = OperatorPathPrefix + "rollouts"
	pathQuarantine = OperatorPathPrefix + "quarantine"
	// operatorTimeout bounds a request of an operator.
	operatorTimeout = 3 * time.Second
)

// Operator serves the API that weldctl uses:
//
//	GET    /v1/rollouts           returns the newest roll-out of each service, as RolloutList
//	POST   /v1/rollouts           starts a roll-out from a RolloutOrder and returns it
//	DELETE /v1/rollouts/SERVICE   rolls back a running roll-out and returns it
//	GET    /v1/quarantine         returns the held requests and parts of prompts, as QuarantineList
//	DELETE /v1/quarantine/FINGERPRINT   releases one and returns the list as it was before
type Operator struct {
	orders   *RolloutOrders
	held     *QuarantineOrders
	progress func() []protocol.RolloutProgress
	log      zerolog.Logger
}

// RolloutOrder is the body of POST /v1/rollouts.
type RolloutOrder struct {
	Service string `json:"service"`
	Version string `json:"version"`
	LimitMS int64  `json:"limit_ms"`
}

// RolloutList is the response to GET /v1/rollouts.
type RolloutList struct {
	Rollouts []protocol.Rollout         `json:"rollouts"`
	Progress []protocol.RolloutProgress `json:"progress,omitempty"` // Progress is the leader's view of the running roll-outs.
}

// NewOperator returns the handler; progress queries the leader for the progress of
// roll-outs.
func NewOperator(o *RolloutOrders, q *QuarantineOrders, progress func() []protocol.RolloutProgress, log zerolog.Logger) *Operator {
	return &Operator{orders: o, held: q, progress: progress, log: log}
}

// Handle is the fasthttp handler.
func (o *Operator) Handle(c *fasthttp.RequestCtx) {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	path := string(c.Path())
	service, one := strings.CutPrefix(path, pathRollouts+"/")
	fingerprint, oneHeld := strings.CutPrefix(path, pathQuarantine+"/")
	switch {
	case c.IsGet() && path == pathRollouts:
		list, err := o.orders.List(ctx)
		o.writeResult(c, RolloutList{Rollouts: list, Progress: o.progress()}, err)
	case c.IsPost() && path == pathRollouts:
		o.begin(ctx, c)
	case c.IsDelete() && one:
		r, err := o.orders.Abort(ctx, service)
		o.log.Info().Err(err).Str("service", service).Uint64("rollout", r.Number).Stringer("stage", r.Stage).Msg("roll-out aborted")
		o.writeResult(c, r, err)
	case c.IsGet() && path == pathQuarantine:
		o.writeResult(c, o.held.List(), nil)
	case c.IsDelete() && oneHeld:
		before := o.held.List()
		err := o.held.Release(ctx, fingerprint)
		if err != nil {
			o.log.Warn().Err(err).Str("fingerprint", fingerprint).Msg("cannot release from quarantine")
		} else {
			o.log.Info().Str("fingerprint", fingerprint).Msg("released from quarantine by an operator")
		}
		o.writeResult(c, before, err)
	default:
		writeRefusal(c, protocol.NewRefusal(fasthttp.StatusNotFound, protocol.CodeNotFound, "no such path: %s %s", c.Method(), path))
	}
}

func (o *Operator) begin(ctx context.Context, c *fasthttp.RequestCtx) {
	var order RolloutOrder
	if err := json.Unmarshal(c.PostBody(), &order); err != nil {
		writeRefusal(c, protocol.NewRefusal(fasthttp.StatusBadRequest, protocol.CodeBadRequest, "the body is not an order: %v", err))
		return
	}
	r, err := o.orders.Begin(ctx, order.Service, order.Version, time.Duration(order.LimitMS)*time.Millisecond)
	o.log.Info().Err(err).Str("service", order.Service).Str("version", order.Version).Int64("limit", order.LimitMS).Uint64("rollout", r.Number).Msg("roll-out ordered")
	o.writeResult(c, r, err)
}

// writeResult writes a value, or the refusal for an error.
func (*Operator) writeResult(c *fasthttp.RequestCtx, v any, err error) {
	if err != nil {
		writeRefusal(c, RolloutRefusal(err))
		return
	}
	data, err := json.Marshal(v)
	if err != nil {
		writeRefusal(c, protocol.NewRefusal(fasthttp.StatusInternalServerError, protocol.CodeBadRequest, "%v", err))
		return
	}
	c.SetContentType("application/json")
	c.SetBody(data)
}

// RolloutRefusal returns the response to an operator for an error.
func RolloutRefusal(err error) *protocol.Refusal {
	switch {
	case errors.Is(err, ErrInvalidOrder):
		return protocol.NewRefusal(fasthttp.StatusBadRequest, protocol.CodeBadRequest, "%v", err)
	case errors.Is(err, ErrUnknownService):
		return protocol.NewRefusal(fasthttp.StatusUnprocessableEntity, protocol.CodeUnknownService, "%v", err)
	case errors.Is(err, ErrRolloutInProgress):
		return protocol.NewRefusal(fasthttp.StatusConflict, protocol.CodeConflict, "%v", err)
	case errors.Is(err, ErrNoRollout), errors.Is(err, ErrNotHeld):
		return protocol.NewRefusal(fasthttp.StatusNotFound, protocol.CodeNotFound, "%v", err)
	}
	r := protocol.NewRefusal(fasthttp.StatusServiceUnavailable, protocol.CodeNoQuorum, "%v: the order may hold or not; send the same again", err)
	return r.WithVerdict(protocol.MayHaveRun).WithRetryAfter(uncertainRetryAfter)
}

// uncertainRetryAfter is when an operator may retry if the outcome is unknown: about the
// duration of an election.
const uncertainRetryAfter = 200 * time.Millisecond

func writeRefusal(c *fasthttp.RequestCtx, r *protocol.Refusal) {
	c.SetStatusCode(r.Status)
	c.SetContentType("application/json")
	if r.RetryAfter > 0 {
		c.Response.Header.Set(fasthttp.HeaderRetryAfter, "0.2")
	}
	data, err := json.Marshal(r.Body())
	if err != nil {
		return // A refusal contains only strings and numbers.
	}
	c.SetBody(data)
}
