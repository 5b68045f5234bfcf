package control

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/weldstream/weldstream/protocol"
)

// Errors of orders for roll-outs. After any other the order may hold or not, and can
// be sent again.
var (
	// ErrInvalidOrder is returned for an order that cannot be carried out as it is.
	ErrInvalidOrder = eris.New("the order cannot be carried out")
	// ErrUnknownService is returned for a service that the configuration does not have.
	ErrUnknownService = eris.New("the configuration has no such service")
	// ErrRolloutInProgress is returned while another roll-out of the service runs.
	ErrRolloutInProgress = eris.New("another roll-out of the service runs")
	// ErrNoRollout is returned where the service never had a roll-out, or none that runs.
	ErrNoRollout = eris.New("there is no such roll-out")
)

// RolloutStore is the replicated log as orders for roll-outs need it.
type RolloutStore interface {
	// BeginRollout has an order accepted, if nothing stands against it.
	BeginRollout(ctx context.Context, m protocol.BeginRolloutMsg) (protocol.BeginRolloutReply, error)
	// StageRollout takes a roll-out further, if it runs.
	StageRollout(ctx context.Context, m protocol.StageRolloutMsg) (protocol.Rollout, error)
	// Rollouts returns the newest roll-out of each service, confirmed by a quorum.
	Rollouts(ctx context.Context) ([]protocol.Rollout, error)
	// Document returns the newest document, confirmed by a quorum; number 0 means none.
	Document(ctx context.Context) (number uint64, data []byte, err error)
}

// RolloutOrders takes the orders of operators.
type RolloutOrders struct {
	store  RolloutStore
	parse  func(number uint64, data []byte) (*protocol.Catalog, error)
	repeat time.Duration
}

// mostLimit is the longest limit of a roll-out.
const mostLimit = 7 * 24 * time.Hour

// NewRolloutOrders returns what takes orders; parse reads a document, and repeat is how
// long after an order the same one may come again without being a new one.
func NewRolloutOrders(s RolloutStore, parse func(uint64, []byte) (*protocol.Catalog, error), repeat time.Duration) *RolloutOrders {
	return &RolloutOrders{store: s, parse: parse, repeat: repeat}
}

// Begin orders that a service moves to a version within a limit, and returns the
// roll-out that the order began, now or when it was sent before.
func (o *RolloutOrders) Begin(ctx context.Context, service, version string, limit time.Duration) (protocol.Rollout, error) {
	switch {
	case service == "":
		return protocol.Rollout{}, eris.Wrap(ErrInvalidOrder, "the service is missing")
	case version == "":
		return protocol.Rollout{}, eris.Wrap(ErrInvalidOrder, "the version is missing")
	case limit < time.Millisecond || limit > mostLimit:
		return protocol.Rollout{}, eris.Wrapf(ErrInvalidOrder, "the limit of %v is not from 1ms to %v", limit, mostLimit)
	}
	if err := o.known(ctx, service); err != nil {
		return protocol.Rollout{}, err
	}
	reply, err := o.store.BeginRollout(ctx, protocol.BeginRolloutMsg{Service: service, Version: version, LimitMS: limit.Milliseconds(), RepeatMS: o.repeat.Milliseconds()})
	switch {
	case err != nil:
		return protocol.Rollout{}, err
	case !reply.Taken:
		return reply.Rollout, eris.Wrapf(ErrRolloutInProgress, "to version %q", reply.Rollout.Version)
	}
	return reply.Rollout, nil
}

// known checks that the newest configuration has a service.
func (o *RolloutOrders) known(ctx context.Context, service string) error {
	number, data, err := o.store.Document(ctx)
	if err != nil {
		return err
	}
	if number == 0 {
		return eris.Wrapf(ErrUnknownService, "%q: there is no configuration yet", service)
	}
	catalog, err := o.parse(number, data)
	if err != nil {
		return err
	}
	for i := range catalog.Services {
		if catalog.Services[i].Name == service {
			return nil
		}
	}
	return eris.Wrapf(ErrUnknownService, "%q", service)
}

// Find returns the newest roll-out of a service.
func (o *RolloutOrders) Find(ctx context.Context, service string) (protocol.Rollout, error) {
	list, err := o.store.Rollouts(ctx)
	if err != nil {
		return protocol.Rollout{}, err
	}
	for _, r := range list {
		if r.Service == service {
			return r, nil
		}
	}
	return protocol.Rollout{}, eris.Wrapf(ErrNoRollout, "service %q", service)
}

// List returns the newest roll-out of each service.
func (o *RolloutOrders) List(ctx context.Context) ([]protocol.Rollout, error) {
	return o.store.Rollouts(ctx)
}

// Abort turns the roll-out of a service back, if it runs.
func (o *RolloutOrders) Abort(ctx context.Context, service string) (protocol.Rollout, error) {
	r, err := o.Find(ctx, service)
	if err != nil {
		return r, err
	}
	if r.Stage.Final() {
		return r, eris.Wrapf(ErrNoRollout, "the last one of service %q is %s", service, r.Stage)
	}
	return o.store.StageRollout(ctx, protocol.StageRolloutMsg{Service: service, Number: r.Number, Stage: protocol.RolloutRolledBack, Reason: "an operator turned it back"})
}
