package transport

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/weldstream/weldstream/coordination/group"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/state"
)

// Bootstrap makes a replica part of its group: it creates one with the other
// founders, if all are reachable and none has one, or joins the existing one.
type Bootstrap struct {
	group         *group.Group
	tables        *state.Tables
	links         *Links
	log           zerolog.Logger
	self          string
	founders      []string
	mayFound      bool // mayFound allows creating a group.
	askAllMembers bool // askAllMembers extends the search for the group to every known member.
	joining       bool // joining says that this replica asked to join in the last step.
	// address returns the address of a replica that the membership does not know.
	address func(name string) (address string, ok bool)
}

// BootstrapOption configures a Bootstrap.
type BootstrapOption func(*Bootstrap)

// WithFounding sets whether the founders may create a group; by default they may.
func WithFounding(found bool) BootstrapOption { return func(b *Bootstrap) { b.mayFound = found } }

// WithAllMembers asks every known member for its group, since the founders may be
// permanently lost.
func WithAllMembers() BootstrapOption { return func(b *Bootstrap) { b.askAllMembers = true } }

// WithMemberAddresses sets the lookup for the address of a replica that the membership does not know;
// without it, such a replica is not asked to let this one join.
func WithMemberAddresses(f func(name string) (address string, ok bool)) BootstrapOption {
	return func(b *Bootstrap) { b.address = f }
}

const bootstrapInterval = 200 * time.Millisecond

// NewBootstrap returns a bootstrap with the given names of the founders.
func NewBootstrap(g *group.Group, t *state.Tables, l *Links, log zerolog.Logger, self string, founders []string, opts ...BootstrapOption) *Bootstrap {
	b := &Bootstrap{group: g, tables: t, links: l, log: log, self: self, founders: founders, mayFound: true}
	b.address = func(string) (string, bool) { return "", false }
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Run bootstraps until ctx ends.
func (b *Bootstrap) Run(ctx context.Context) error {
	return runEvery(ctx, bootstrapInterval, func() { b.step(ctx) })
}

func (b *Bootstrap) step(ctx context.Context) {
	s := b.group.Status()
	switch {
	case s.Group == 0:
		b.foundOrJoin(ctx)
	case s.Joining:
		b.join(&s)
	}
	b.joining = s.Group != 0 && s.Joining
}

// foundOrJoin creates a group or joins an existing one. Only the founder with the
// lexicographically smallest name creates it, so that there is never more than
// one.
func (b *Bootstrap) foundOrJoin(ctx context.Context) {
	if b.joinAnyGroup(ctx) || !b.mayFound {
		return
	}
	if !slices.Contains(b.founders, b.self) {
		return // Only the named founders create a group.
	}
	members := protocol.ReplicaMembers{}
	least := true
	for _, name := range b.founders {
		info := ReplicaInfo{ID: b.group.ID()}
		if name != b.self {
			if !b.call(name, "Group.Info", true, &info) {
				return // All founders must be reachable.
			}
			least = least && b.self < name
		}
		if info.Group != 0 {
			b.logJoinError(b.group.JoinAsLearner(ctx, info.Group))
			return
		}
		members.Voters = append(members.Voters, info.ID)
	}
	if least {
		b.foundGroup(ctx, members)
	}
}

// joinAnyGroup joins the group of the first known member that has one.
func (b *Bootstrap) joinAnyGroup(ctx context.Context) bool {
	if !b.askAllMembers {
		return false
	}
	for _, name := range b.candidateNames(protocol.ReplicaMembers{}) {
		info := ReplicaInfo{}
		if name != b.self && b.call(name, "Group.Info", true, &info) && info.Group != 0 {
			b.logJoinError(b.group.JoinAsLearner(ctx, info.Group))
			return true
		}
	}
	return false
}

func (b *Bootstrap) foundGroup(ctx context.Context, members protocol.ReplicaMembers) {
	args := FoundArgs{Group: newGroupID(), Founders: members}
	if err := b.group.Bootstrap(ctx, args.Group, members); err != nil {
		b.logJoinError(err)
		return
	}
	b.notifyFounders(args)
}

// notifyFounders sends the new group to the other founders. A founder that is
// unreachable now learns of the group when it calls Group.Info in its own step.
func (b *Bootstrap) notifyFounders(args FoundArgs) {
	for _, name := range b.founders {
		var done bool
		if name != b.self && !b.call(name, "Group.Found", args, &done) {
			b.log.Warn().Str("replica", name).Msg("founder not notified of the new group; it will join later")
		}
	}
}

// join asks all known replicas at once to add this one; only the leader can. Those that have ended or are
// cut off must not hold up the others.
func (b *Bootstrap) join(s *group.Status) {
	names := b.candidateNames(s.Members)
	if !b.joining {
		b.log.Info().Strs("asked", names).Bool("voter", s.Members.IsVoter(b.group.ID())).Uint64("term", s.Term).Uint64("applied", s.Applied).Msg("asking the group to add this replica")
	}
	info := ReplicaInfo{ID: b.group.ID(), Group: s.Group}
	var calls sync.WaitGroup
	for _, name := range names {
		if name != b.self {
			calls.Go(func() { b.askToJoin(name, info) })
		}
	}
	calls.Wait()
}

// askToJoin asks one replica to add this one, also one that this instance takes for dead: after a cut it
// may be reachable again and not known to be.
func (b *Bootstrap) askToJoin(name string, info ReplicaInfo) {
	address, ok := b.address(name)
	if row, known := b.tables.Members.Get(name); known {
		address, ok = row.Address, true
	}
	if !ok {
		return
	}
	var done bool
	if err := b.links.Call(address, "Group.Join", info, &done, stepTimeout); err != nil {
		b.log.Debug().Str("replica", name).Err(err).Msg("asking to join failed")
	}
}

// candidateNames returns the founders, the voters and learners of m and, with
// askAllMembers, every known member.
func (b *Bootstrap) candidateNames(m protocol.ReplicaMembers) []string {
	seen := map[string]bool{}
	var names []string
	for _, name := range b.founders {
		if !seen[name] {
			seen[name] = true
			names = append(names, name)
		}
	}
	for _, id := range slices.Concat(m.Voters, m.Learners) {
		if !seen[id.Name] {
			seen[id.Name] = true
			names = append(names, id.Name)
		}
	}
	if !b.askAllMembers {
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

func (b *Bootstrap) logJoinError(err error) {
	if err != nil {
		b.log.Warn().Err(err).Msg("joining the group failed")
	}
}
