package group

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/weldstream/weldstream/coordination/replicate"
	"github.com/weldstream/weldstream/protocol"
)

// submit hands an input to the loop.
func (g *Group) submit(ctx context.Context, in input) error {
	select {
	case g.inbox <- in:
		return nil
	case <-g.done:
		return ErrUnknown
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "replica is busy")
	}
}

func (g *Group) await(ctx context.Context, w *waiter) (protocol.Result, error) {
	w.done = make(chan outcome, 1)
	if err := g.submit(ctx, input{wait: w}); err != nil {
		return protocol.Result{}, err
	}
	select {
	case o := <-w.done:
		return o.result, o.err
	case <-g.done:
		return protocol.Result{}, ErrUnknown
	case <-ctx.Done():
		return protocol.Result{}, ErrUnknown
	}
}

// Propose has a command committed and returns what it came to.
// replicate.ErrNotLeader, ErrDisk and ErrNoGroup mean that it was not proposed
// here; any other error that it may be committed or not.
func (g *Group) Propose(ctx context.Context, c protocol.Command) (protocol.Result, error) {
	return g.await(ctx, &waiter{command: &c})
}

// Confirm returns once everything that was committed before the call is
// applied here, as a quorum confirms. Only the leader can.
func (g *Group) Confirm(ctx context.Context) error {
	_, err := g.await(ctx, &waiter{})
	return err
}

// Revision returns the accepted configuration as of the last batch.
func (g *Group) Revision(ctx context.Context) (number uint64, config []byte, err error) {
	got, err := inLoop(ctx, g, func() (accepted, error) {
		number, config := g.machine.Revision()
		return accepted{number: number, config: config}, nil
	})
	return got.number, got.config, err
}

// Document returns the opaque document that holds, as of the last batch.
func (g *Group) Document(ctx context.Context) (number uint64, data []byte, err error) {
	got, err := inLoop(ctx, g, func() (accepted, error) {
		number, data := g.machine.Document()
		return accepted{number: number, config: data}, nil
	})
	return got.number, got.config, err
}

// Rollouts returns the newest roll-out of each service, as of the last batch.
func (g *Group) Rollouts(ctx context.Context) ([]protocol.Rollout, error) {
	return inLoop(ctx, g, func() ([]protocol.Rollout, error) {
		return g.machine.Rollouts(), nil
	})
}

// accepted is a configuration with its number.
type accepted struct {
	number uint64
	config []byte
}

// Remove takes a name out of the group.
func (g *Group) Remove(ctx context.Context, name string) error {
	_, err := g.await(ctx, &waiter{name: name})
	return err
}

// Step takes a message of another replica of the same group.
func (g *Group) Step(ctx context.Context, group uint64, m replicate.Message) error {
	return g.submit(ctx, input{do: func() {
		if group == g.folder.Group() && group != 0 {
			g.update(replicate.StepMsg{Message: m, Now: g.now()})
		}
	}})
}

// Join asks for a replica to be taken in, if this one leads its group.
func (g *Group) Join(ctx context.Context, group uint64, id protocol.ReplicaID) error {
	return g.submit(ctx, input{do: func() {
		if group == g.folder.Group() && group != 0 && !g.failed {
			g.update(replicate.JoinMsg{ID: id})
		}
	}})
}

// run runs a func in the loop and waits for it.
func (g *Group) run(ctx context.Context, f func() error) error {
	_, err := inLoop(ctx, g, func() (struct{}, error) { return struct{}{}, f() })
	return err
}

// inLoop runs a func in the loop and returns what it returned. A caller that
// gives up leaves the func to run later, so the func must hand its outcome
// over by its result and not write it into what the caller reads.
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
		return none, ErrUnknown
	case <-ctx.Done():
		return none, eris.Wrap(ctx.Err(), "replica is busy")
	}
}

// Bootstrap makes this replica a founder, with others, of a new group. It refuses
// once the folder belongs to a group, unless it is this one.
func (g *Group) Bootstrap(ctx context.Context, group uint64, founders protocol.ReplicaMembers) error {
	return g.run(ctx, func() error {
		if g.folder.Group() == group {
			return nil
		}
		if !founders.IsVoter(g.folder.ID()) {
			return eris.New("this incarnation is not among the founders")
		}
		return g.enter(group, &founders)
	})
}

// JoinAsLearner makes this replica one that will join a group as a learner.
func (g *Group) JoinAsLearner(ctx context.Context, group uint64) error {
	return g.run(ctx, func() error {
		if g.folder.Group() == group {
			return nil
		}
		return g.enter(group, nil)
	})
}

func (g *Group) enter(group uint64, founders *protocol.ReplicaMembers) error {
	if err := g.folder.Found(group, founders); err != nil {
		return err
	}
	g.start()
	g.log.Info().Uint64("group", group).Bool("founder", founders != nil).Msg("belongs to a group")
	return nil
}
