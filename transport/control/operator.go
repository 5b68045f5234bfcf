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

// OperatorPathPrefix begins the paths of weldstream's own calls of operators.
const OperatorPathPrefix = "/v1/"

const (
	pathRollouts = OperatorPathPrefix + "rollouts"
	// operatorTime bounds one call of an operator.
	operatorTime = 3 * time.Second
)

// Operator answers weldctl:
//
//	GET    /v1/rollouts           the newest roll-out of each service, as RolloutList
//	POST   /v1/rollouts           begins one, by a RolloutOrder; answers it
//	DELETE /v1/rollouts/SERVICE   turns one back that runs; answers it
type Operator struct {
	orders   *RolloutOrders
	progress func() []protocol.RolloutProgress
	log      zerolog.Logger
}

// RolloutOrder is the body of POST /v1/rollouts.
type RolloutOrder struct {
	Service string `json:"service"`
	Version string `json:"version"`
	LimitMS int64  `json:"limit_ms"`
}

// RolloutList is the answer to GET /v1/rollouts.
type RolloutList struct {
	Rollouts []protocol.Rollout         `json:"rollouts"`
	Progress []protocol.RolloutProgress `json:"progress,omitempty"` // Progress is what the leader knows of those that run.
}

// NewOperator returns the handler; progress asks the leader how roll-outs go.
func NewOperator(o *RolloutOrders, progress func() []protocol.RolloutProgress, log zerolog.Logger) *Operator {
	return &Operator{orders: o, progress: progress, log: log}
}

// Handle is the fasthttp handler.
func (o *Operator) Handle(c *fasthttp.RequestCtx) {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTime)
	defer cancel()
	path := string(c.Path())
	service, one := strings.CutPrefix(path, pathRollouts+"/")
	switch {
	case c.IsGet() && path == pathRollouts:
		list, err := o.orders.List(ctx)
		o.answer(c, RolloutList{Rollouts: list, Progress: o.progress()}, err)
	case c.IsPost() && path == pathRollouts:
		o.begin(ctx, c)
	case c.IsDelete() && one:
		r, err := o.orders.Abort(ctx, service)
		o.log.Info().Err(err).Str("service", service).Uint64("rollout", r.Number).Stringer("stage", r.Stage).Msg("roll-out aborted")
		o.answer(c, r, err)
	default:
		refuse(c, protocol.NewRefusal(fasthttp.StatusNotFound, protocol.CodeNotFound, "no such path: %s %s", c.Method(), path))
	}
}

func (o *Operator) begin(ctx context.Context, c *fasthttp.RequestCtx) {
	var order RolloutOrder
	if err := json.Unmarshal(c.PostBody(), &order); err != nil {
		refuse(c, protocol.NewRefusal(fasthttp.StatusBadRequest, protocol.CodeBadRequest, "the body is not an order: %v", err))
		return
	}
	r, err := o.orders.Begin(ctx, order.Service, order.Version, time.Duration(order.LimitMS)*time.Millisecond)
	o.log.Info().Err(err).Str("service", order.Service).Str("version", order.Version).Int64("limit", order.LimitMS).Uint64("rollout", r.Number).Msg("roll-out ordered")
	o.answer(c, r, err)
}

// answer answers a value, or what stands against it.
func (*Operator) answer(c *fasthttp.RequestCtx, v any, err error) {
	if err != nil {
		refuse(c, RolloutRefusal(err))
		return
	}
	data, err := json.Marshal(v)
	if err != nil {
		refuse(c, protocol.NewRefusal(fasthttp.StatusInternalServerError, protocol.CodeBadRequest, "%v", err))
		return
	}
	c.SetContentType("application/json")
	c.SetBody(data)
}

// RolloutRefusal returns what an operator is told of an error.
func RolloutRefusal(err error) *protocol.Refusal {
	switch {
	case errors.Is(err, ErrInvalidOrder):
		return protocol.NewRefusal(fasthttp.StatusBadRequest, protocol.CodeBadRequest, "%v", err)
	case errors.Is(err, ErrUnknownService):
		return protocol.NewRefusal(fasthttp.StatusUnprocessableEntity, protocol.CodeUnknownService, "%v", err)
	case errors.Is(err, ErrRolloutInProgress):
		return protocol.NewRefusal(fasthttp.StatusConflict, protocol.CodeConflict, "%v", err)
	case errors.Is(err, ErrNoRollout):
		return protocol.NewRefusal(fasthttp.StatusNotFound, protocol.CodeNotFound, "%v", err)
	}
	r := protocol.NewRefusal(fasthttp.StatusServiceUnavailable, protocol.CodeNoQuorum, "%v: the order may hold or not; send the same again", err)
	return r.WithVerdict(protocol.MayHaveRun).WithRetryAfter(unsureRetry)
}

// unsureRetry is when an operator may ask again after an answer that tells nothing:
// about as long as an election takes.
const unsureRetry = 200 * time.Millisecond

func refuse(c *fasthttp.RequestCtx, r *protocol.Refusal) {
	c.SetStatusCode(r.Status)
	c.SetContentType("application/json")
	if r.RetryAfter > 0 {
		c.Response.Header.Set(fasthttp.HeaderRetryAfter, "0.2")
	}
	data, err := json.Marshal(r.Body())
	if err != nil {
		return // A refusal holds only strings and numbers.
	}
	c.SetBody(data)
}
