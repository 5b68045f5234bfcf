package group

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/weldstream/weldstream/coordination/replicate"
	"github.com/weldstream/weldstream/protocol"
)

// submit queues an input for the loop.
func (g *Group) submit(ctx context.Context, in input) error {
	select {
	case g.inbox <- in:
		return nil
	case <-g.done:
		return ErrOutcomeUnknown
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "replica is busy")
	}
}

// await submits a request and waits for its outcome. Once the request is queued, the end
// of ctx or of the loop leaves the outcome unknown.
func (g *Group) await(ctx context.Context, r *request) (protocol.Result, error) {
	r.done = make(chan outcome, 1)
	if err := g.submit(ctx, input{request: r}); err != nil {
		return protocol.Result{}, err
	}
	select {
	case o := <-r.done:
		return o.result, o.err
	case <-g.done:
		return protocol.Result{}, ErrOutcomeUnknown
	case <-ctx.Done():
		return protocol.Result{}, ErrOutcomeUnknown
	}
}

// Propose proposes a command, waits until it is committed and applied, and returns
// its result. With replicate.ErrNotLeader, ErrDisk and ErrNoGroup the command was not
// proposed by this replica; after any other error it may or may not be committed.
func (g *Group) Propose(ctx context.Context, c protocol.Command) (protocol.Result, error) {
	return g.await(ctx, &request{command: &c})
}

// Confirm is a read barrier: it returns once a quorum has confirmed this replica as the
// leader and every entry committed before the call is applied here. It fails on a
// replica that is not the leader.
func (g *Group) Confirm(ctx context.Context) error {
	_, err := g.await(ctx, &request{})
	return err
}

// Revision returns the number and content of the accepted configuration, as applied
// after the latest batch.
func (g *Group) Revision(ctx context.Context) (number uint64, config []byte, err error) {
	got, err := inLoop(ctx, g, func() (numberedDocument, error) {
		number, config := g.machine.Revision()
		return numberedDocument{number: number, data: config}, nil
	})
	return got.number, got.data, err
}

// Document returns the number and content of the current opaque document, as applied
// after the latest batch.
func (g *Group) Document(ctx context.Context) (number uint64, data []byte, err error) {
	got, err := inLoop(ctx, g, func() (numberedDocument, error) {
		number, data := g.machine.Document()
		return numberedDocument{number: number, data: data}, nil
	})
	return got.number, got.data, err
}

// Rollouts returns the latest rollout of each service, as applied after the latest batch.
func (g *Group) Rollouts(ctx context.Context) ([]protocol.Rollout, error) {
	return inLoop(ctx, g, func() ([]protocol.Rollout, error) {
		return g.machine.Rollouts(), nil
	})
}

// numberedDocument is a configuration or an opaque document with its number.
type numberedDocument struct {
	number uint64
	data   []byte
}

// Remove removes the replica with a name from the group's members.
func (g *Group) Remove(ctx context.Context, name string) error {
	_, err := g.await(ctx, &request{removeName: name})
	return err
}

// Step passes on a message from another replica. Messages of other groups are ignored.
func (g *Group) Step(ctx context.Context, group uint64, m replicate.Message) error {
	return g.submit(ctx, input{do: func() {
		if group == g.folder.Group() && group != 0 {
			g.update(replicate.StepMsg{Message: m, Now: g.now()})
		}
	}})
}

// Join asks the group to add a replica, if this replica is its leader.
func (g *Group) Join(ctx context.Context, group uint64, id protocol.ReplicaID) error {
	return g.submit(ctx, input{do: func() {
		if group == g.folder.Group() && group != 0 && !g.failed {
			g.update(replicate.JoinMsg{ID: id})
		}
	}})
}

// runInLoop runs f in the loop and returns its error.
func (g *Group) runInLoop(ctx context.Context, f func() error) error {
	_, err := inLoop(ctx, g, func() (struct{}, error) { return struct{}{}, f() })
	return err
}

// inLoop runs f in the loop and returns its result. If ctx ends first, f still runs
// later, so f must return its outcome and not write to variables that the caller reads:
// that would be a data race.
func inLoop[T any](ctx context.Context, g *Group, f func() (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	var none T
	done := make(chan result, 1)
	do := func() {
		value, err := f()
		done <- result{value: value, err: err}
	}
	if err := g.submit(ctx, input{do: do}); err != nil {
		return none, err
	}
	select {
	case r := <-done:
		return r.value, r.err
	case <-g.done:
		return none, ErrOutcomeUnknown
	case <-ctx.Done():
		return none, eris.Wrap(ctx.Err(), "replica is busy")
	}
}

// Bootstrap makes this replica one of the founders, the initial members, of a new group.
// It fails if the data folder already belongs to another group.
func (g *Group) Bootstrap(ctx context.Context, group uint64, founders protocol.ReplicaMembers) error {
	return g.runInLoop(ctx, func() error {
		if g.folder.Group() == group {
			return nil
		}
		if !founders.IsVoter(g.folder.ID()) {
			return eris.New("this replica's current incarnation is not listed as a founder")
		}
		return g.assignGroup(group, &founders)
	})
}

// JoinAsLearner records the group that this replica will join as a learner.
func (g *Group) JoinAsLearner(ctx context.Context, group uint64) error {
	return g.runInLoop(ctx, func() error {
		if g.folder.Group() == group {
			return nil
		}
		return g.assignGroup(group, nil)
	})
}

// assignGroup writes the group, and its founders for a new one, to the data folder, and
// starts the replica.
func (g *Group) assignGroup(group uint64, founders *protocol.ReplicaMembers) error {
	if err := g.folder.SetGroup(group, founders); err != nil {
		return err
	}
	g.start()
	g.log.Info().Uint64("group", group).Bool("founder", founders != nil).Msg("replica assigned to a group")
	return nil
}
