package transport

import (
	"context"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/weldstream/weldstream/coordination/group"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/state"
)

// Bootstrap brings a replica into its group: it founds one with the other
// founders, if all are there and none has one, or joins the one that there is.
type Bootstrap struct {
	group    *group.Group
	tables   *state.Tables
	links    *Links
	log      zerolog.Logger
	self     string
	founders []string
	found    bool // found says that a group may be founded.
	others   bool // others says that any known member may be in the group.
}

// BootstrapOption changes a new bootstrap.
type BootstrapOption func(*Bootstrap)

// WithFound says whether the founders may found a group. Without it they may.
func WithFounding(found bool) BootstrapOption { return func(b *Bootstrap) { b.found = found } }

// WithOthers has every known member asked for the group, as the founders may be
// gone for good.
func WithAllMembers() BootstrapOption { return func(b *Bootstrap) { b.others = true } }

const bootstrapEvery = 200 * time.Millisecond

// NewBootstrap returns a bootstrap among the founders, by name.
func NewBootstrap(g *group.Group, t *state.Tables, l *Links, log zerolog.Logger, self string, founders []string, opts ...BootstrapOption) *Bootstrap {
	b := &Bootstrap{group: g, tables: t, links: l, log: log, self: self, founders: founders, found: true}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Run works until ctx ends.
func (b *Bootstrap) Run(ctx context.Context) error {
	return every(ctx, bootstrapEvery, func() { b.step(ctx) })
}

func (b *Bootstrap) step(ctx context.Context) {
	s := b.group.Status()
	switch {
	case s.Group == 0:
		b.enter(ctx)
	case !s.Members.IsVoter(b.group.ID()):
		b.join()
	}
}

// enter founds a group or finds one. The founder with the least name founds,
// so that two do not.
func (b *Bootstrap) enter(ctx context.Context) {
	if b.enterOthers(ctx) || !b.found {
		return
	}
	if !slices.Contains(b.founders, b.self) {
		return // Those who found a group are told by their names.
	}
	members := protocol.ReplicaMembers{}
	least := true
	for _, name := range b.founders {
		info := ReplicaInfo{ID: b.group.ID()}
		if name != b.self {
			if !b.call(name, "Group.Info", true, &info) {
				return // All founders must be there.
			}
			least = least && b.self < name
		}
		if info.Group != 0 {
			b.note(b.group.JoinAsLearner(ctx, info.Group))
			return
		}
		members.Voters = append(members.Voters, info.ID)
	}
	if least {
		b.foundGroup(ctx, members)
	}
}

// enterOthers enters the group of any known member that has one.
func (b *Bootstrap) enterOthers(ctx context.Context) bool {
	if !b.others {
		return false
	}
	for _, name := range b.names(protocol.ReplicaMembers{}) {
		info := ReplicaInfo{}
		if name != b.self && b.call(name, "Group.Info", true, &info) && info.Group != 0 {
			b.note(b.group.JoinAsLearner(ctx, info.Group))
			return true
		}
	}
	return false
}

func (b *Bootstrap) foundGroup(ctx context.Context, members protocol.ReplicaMembers) {
	args := FoundArgs{Group: randomGroup(), Founders: members}
	if err := b.group.Bootstrap(ctx, args.Group, members); err != nil {
		b.note(err)
		return
	}
	b.spread(args)
}

// spread tells the other founders. One that is not reached now is told when it
// asks: see Found of its own step.
func (b *Bootstrap) spread(args FoundArgs) {
	for _, name := range b.founders {
		var done bool
		if name != b.self && !b.call(name, "Group.Found", args, &done) {
			b.log.Warn().Str("replica", name).Msg("a founder was not told; it will join")
		}
	}
}

// join asks all known replicas, one of which leads.
func (b *Bootstrap) join() {
	s := b.group.Status()
	info := ReplicaInfo{ID: b.group.ID(), Group: s.Group}
	for _, name := range b.names(s.Members) {
		var done bool
		if name != b.self {
			b.call(name, "Group.Join", info, &done)
		}
	}
}

// names are the founders and the members known by now.
func (b *Bootstrap) names(m protocol.ReplicaMembers) []string {
	seen := map[string]bool{}
	var names []string
	for _, name := range b.founders {
		if !seen[name] {
			seen[name] = true
			names = append(names, name)
		}
	}
	for _, id := range m.Voters {
		if !seen[id.Name] {
			seen[id.Name] = true
			names = append(names, id.Name)
		}
	}
	if !b.others {
		return names
	}
	for _, row := range b.tables.Members.Rows() {
		if !seen[row.Name] {
			seen[row.Name] = true
			names = append(names, row.Name)
		}
	}
	return names
}

func (b *Bootstrap) call(name, method string, args, reply any) bool {
	row, ok := b.tables.Members.Get(name)
	if !ok || row.State >= protocol.MemberDead {
		return false
	}
	err := b.links.Call(row.Address, method, args, reply, stepTimeout)
	if err != nil {
		b.log.Debug().Str("replica", name).Str("method", method).Err(err).Msg("call failed")
	}
	return err == nil
}

func (b *Bootstrap) note(err error) {
	if err != nil {
		b.log.Warn().Err(err).Msg("group not entered")
	}
}
