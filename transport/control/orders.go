package control

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/weldstream/weldstream/protocol"
)

// Errors for roll-out orders. After any other error the order may have been accepted and
// can be sent again.
var (
	// ErrInvalidOrder is returned for an order that is not valid.
	ErrInvalidOrder = eris.New("the order cannot be carried out")
	// ErrUnknownService is returned for a service that is not in the configuration.
	ErrUnknownService = eris.New("the configuration has no such service")
	// ErrRolloutInProgress is returned while another roll-out of the service is running.
	ErrRolloutInProgress = eris.New("another roll-out of the service runs")
	// ErrNoRollout is returned if the service has no roll-out, or no running one.
	ErrNoRollout = eris.New("there is no such roll-out")
)

// RolloutStore is the part of the replicated log that roll-out orders use.
type RolloutStore interface {
	// BeginRollout commits an order unless it conflicts with another one.
	BeginRollout(ctx context.Context, m protocol.BeginRolloutMsg) (protocol.BeginRolloutReply, error)
	// StageRollout moves a running roll-out to its next stage.
	StageRollout(ctx context.Context, m protocol.StageRolloutMsg) (protocol.Rollout, error)
	// Rollouts returns the newest roll-out of each service, confirmed by a quorum.
	Rollouts(ctx context.Context) ([]protocol.Rollout, error)
	// Document returns the newest document, confirmed by a quorum; number 0 means none.
	Document(ctx context.Context) (number uint64, data []byte, err error)
}

// RolloutOrders processes operators' roll-out orders.
type RolloutOrders struct {
	store        RolloutStore
	parse        func(number uint64, data []byte) (*protocol.Catalog, error)
	repeatWindow time.Duration
}

// maxRolloutLimit is the maximum time limit of a roll-out.
const maxRolloutLimit = 7 * 24 * time.Hour

// NewRolloutOrders returns a RolloutOrders. The func parse decodes a document; an order that
// is repeated within repeat does not start a new roll-out.
func NewRolloutOrders(s RolloutStore, parse func(uint64, []byte) (*protocol.Catalog, error), repeat time.Duration) *RolloutOrders {
	return &RolloutOrders{store: s, parse: parse, repeatWindow: repeat}
}

// Begin orders the move of a service to a version within a time limit. It returns the
// roll-out that this order started, now or when it was sent before.
func (o *RolloutOrders) Begin(ctx context.Context, service, version string, limit time.Duration) (protocol.Rollout, error) {
	switch {
	case service == "":
		return protocol.Rollout{}, eris.Wrap(ErrInvalidOrder, "the service is missing")
	case version == "":
		return protocol.Rollout{}, eris.Wrap(ErrInvalidOrder, "the version is missing")
	case limit < time.Millisecond || limit > maxRolloutLimit:
		return protocol.Rollout{}, eris.Wrapf(ErrInvalidOrder, "the limit of %v is not from 1ms to %v", limit, maxRolloutLimit)
	}
	if err := o.checkService(ctx, service); err != nil {
		return protocol.Rollout{}, err
	}
	reply, err := o.store.BeginRollout(ctx, protocol.BeginRolloutMsg{Service: service, Version: version, LimitMS: limit.Milliseconds(), RepeatMS: o.repeatWindow.Milliseconds()})
	switch {
	case err != nil:
		return protocol.Rollout{}, err
	case !reply.Taken:
		return reply.Rollout, eris.Wrapf(ErrRolloutInProgress, "to version %q", reply.Rollout.Version)
	}
	return reply.Rollout, nil
}

// checkService checks that the newest configuration contains a service.
func (o *RolloutOrders) checkService(ctx context.Context, service string) error {
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

// Abort rolls back the roll-out of a service if it is running.
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
