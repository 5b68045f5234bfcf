package main

import (
	"context"
	"net"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/weldstream/weldstream/coordination/group"
	"github.com/weldstream/weldstream/coordination/member"
	"github.com/weldstream/weldstream/coordination/replicate"
	"github.com/weldstream/weldstream/platform"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/state"
	"github.com/weldstream/weldstream/transport"
	"github.com/weldstream/weldstream/transport/control"
)

const (
	controlGossip  = 200 * time.Millisecond
	controlSuspect = 2 * time.Second
	// replicaGoneAfter is how long a replica may be silent before a waiting instance
	// replaces it.
	replicaGoneAfter = 3 * time.Second
	// maxOperatorBody is the maximum size of an operator's request body.
	maxOperatorBody = 64 << 20
)

// controlInstance wires the layers of a control instance. Other instances know it by
// its operator address, because the seeds are operator addresses and contain no names.
type controlInstance struct {
	*roleRun
	tables     *state.Tables
	links      *transport.Links
	membership *transport.Membership
	group      *group.Group
	calls      *control.CallTracker
	uplink     *control.Uplink
	relay      *control.Relay // relay is nil unless the domains are in several regions.
	peer       net.Listener
}

func runControl(r *roleRun) error {
	c := &controlInstance{roleRun: r, tables: state.NewTables()}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	eg, ctx := errgroup.WithContext(ctx)
	if err := c.wire(ctx); err != nil {
		return err
	}
	client := transport.NewMembersClient(c.tables, c.links, transport.WithGroupLogger(c.log))
	orders := control.NewRolloutOrders(client, platform.ParseNumbered, r.settings.Bounds.OrderRepeat)
	operator := c.operator(platform.NewOperator(client, orders, r.log), control.NewOperator(orders, control.NewQuarantineOrders(client, c.uplink.Quarantine), c.progress, r.log))
	duties := control.NewDuties(c.limits(), r.settings.Name, c.group, c.calls, c.uplink, r.log)
	boot := transport.NewBootstrap(c.group, c.tables, c.links, r.log, c.name(), r.settings.Seeds,
		transport.WithFounding(r.settings.Found), transport.WithAllMembers(), transport.WithMemberAddresses(c.peerAddress))
	for _, run := range []func(context.Context) error{
		func(ctx context.Context) error { return c.links.Serve(ctx, c.peer) },
		c.membership.Run,
		c.group.Run,
		boot.Run,
		c.uplink.Run,
		c.relay.Run,
		func(ctx context.Context) error { return c.uplink.CopyLimits(ctx, c.links, r.settings.Peer) },
		c.uplink.RunRollouts,
		c.uplink.RunQuarantine,
		c.uplink.RunBrittleServices,
		duties.RunList,
		duties.RunUsageLog,
		duties.RunReports,
		duties.RunOrders,
		c.watchRegions,
		func(ctx context.Context) error {
			return serveHTTP(ctx, r.settings.Listen(r.settings.Operator), maxOperatorBody, operator)
		},
		func(ctx context.Context) error { return c.serveMetrics(ctx, c.dump) },
	} {
		eg.Go(func() error { return run(ctx) })
	}
	eg.Go(func() error {
		defer cancel()
		c.waitForStop(ctx)
		return nil
	})
	return eg.Wait()
}

// name returns the name by which other instances know this one.
func (c *controlInstance) name() string { return c.settings.Operator }

// operator dispatches operator calls to the handler of weldstream's own API or to that of
// the platform's API.
func (c *controlInstance) operator(platformCalls *platform.Operator, ownCalls *control.Operator) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if strings.HasPrefix(string(ctx.Path()), control.OperatorPathPrefix) {
			ownCalls.Handle(ctx)
			return
		}
		platformCalls.Handle(ctx)
	}
}

// unannouncedMargin is added to the time in which a roll-out order may be sent again, because
// the order must also be committed to the log. For that long, servers of a version that no
// roll-out or configuration names are withheld from gateways.
const unannouncedMargin = time.Second

// progressTimeout bounds the query for the progress of roll-outs; an answer to an operator is
// valid without it.
const progressTimeout = 500 * time.Millisecond

// progress asks the leader for the progress of the roll-outs. It returns nil if the leader
// cannot be reached.
func (c *controlInstance) progress() []protocol.RolloutProgress {
	var list []protocol.RolloutProgress
	leader, _ := c.peers() // Only the leader tracks the progress.
	if leader == "" {
		return nil
	}
	if err := c.links.Call(leader, "Uplink.Progress", true, &list, progressTimeout); err != nil {
		c.log.Debug().Err(err).Str("leader", leader).Msg("could not read the progress of roll-outs from the leader")
	}
	return list
}

func (c *controlInstance) limits() control.DutyConfig {
	n := c.settings
	return control.DutyConfig{
		ListRate:    n.Source.ListRate,
		Lease:       n.Bounds.Lease,
		UsageWindow: n.Bounds.UsageWindow,
		UsageDue:    n.Bounds.UsageDue,
		Usage:       n.Source.HasDuty(platform.DutyUsage),
		Fleet:       n.Source.HasDuty(platform.DutyFleet),
	}
}

func (c *controlInstance) wire(ctx context.Context) error {
	n := c.settings
	ln, err := net.Listen("tcp", n.Listen(n.Peer))
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	c.peer = ln
	c.links = transport.NewLinks(c.name(), []byte(n.ClusterKey), linkDialTimeout, c.log)
	c.links.Meter(c.registry)
	c.links.MeterDistances(n.Topology(), n.Domain, c.registry)
	if err := c.wireMembership(); err != nil {
		return err
	}
	c.calls = control.NewCallTracker(platform.NewSource(n.Source.Address, platform.WithLogger(c.log), platform.WithRegistry(c.registry)))
	sender := transport.NewReplicaSender(ctx, c.tables, c.links, transport.WithAddresses(c.peerAddress))
	c.group, err = group.Open(c.groupConfig(), n.DataDir, c.name(), sender, group.WithLogger(c.log), group.WithRegistry(c.registry), group.WithMoveBlocker(c.calls.Busy), group.WithDocument(func(number uint64, data []byte) { c.uplink.Install(number, data) }),
		group.WithRollouts(func(l protocol.RolloutLog) { c.uplink.InstallRollouts(l) }),
		group.WithQuarantine(func(l protocol.QuarantineLog) { c.uplink.InstallQuarantine(l) }),
		group.WithBrittleServices(func(l []protocol.BrittleService) { c.uplink.InstallBrittleServices(l) }))
	if err != nil {
		return err
	}
	opts := []control.UplinkOption{
		control.WithLogger(c.log), control.WithRegistry(c.registry), control.WithTopology(n.Topology()), control.WithDomains(c.domains), control.WithGatewayGrace(n.Bounds.Revoke),
		control.WithVoters(c.voters),
		control.WithFirstLeader(func() bool { return c.group.Status().First }),
		control.WithRetryBudget(control.RetryBudget{Extra: n.Bounds.RetryExtra, Window: n.Bounds.RetryWindow}),
		control.WithExposure(control.Exposure{Share: n.Bounds.TrialShare, Slack: n.Bounds.TrialSlack, Unannounced: n.Bounds.OrderRepeat + unannouncedMargin}),
	}
	if c.limits().Usage {
		opts = append(opts, control.WithLogIdleTime(func() time.Duration { return c.group.Status().SinceLastCommand }))
	}
	c.uplink = control.NewUplink(c.group, c.peers, platform.ParseNumbered, n.Bounds.QuotaWindow, opts...)
	c.relay = control.NewRelay(c.uplink, c.links, c.name(), n.Peer, c.registry)
	for name, receiver := range map[string]any{
		"Member": transport.NewMemberService(ctx, c.membership),
		"Group":  transport.NewGroupService(ctx, c.group),
		"Uplink": c.uplink,
		"Config": transport.NewConfigService(c.tables),
	} {
		if err := c.links.Register(name, receiver); err != nil {
			return err
		}
	}
	return nil
}

func (c *controlInstance) groupConfig() group.Config {
	n := c.settings
	return group.Config{
		Replica: replicate.Config{
			Election:  n.Replication.Election,
			Heartbeat: n.Replication.Heartbeat,
			Batch:     replicate.DefaultBatch,
			Window:    replicate.DefaultWindow,
			Copies:    n.Tolerate + 1,
			Voters:    2*n.Tolerate + 1,
			Gone:      replicaGoneAfter,
			Wide:      n.Topology().MultiRegion(),
		},
		SnapshotEntries: n.Replication.SnapshotEntries,
		Batch:           n.Replication.Batch,
		Reserve:         n.Replication.ReserveBytes,
		Rejoin:          len(n.Seeds) > 1,
	}
}

func (c *controlInstance) wireMembership() error {
	n := c.settings
	self := protocol.Member{Name: c.name(), Address: n.Peer, Domain: n.Domain, Incarnation: uint64(time.Now().UnixNano())}
	var seeds []protocol.Member
	for _, seed := range n.Seeds {
		peer, err := seedPeerAddress(seed, n.Peer)
		if err != nil {
			return err
		}
		if seed != c.name() {
			seeds = append(seeds, protocol.Member{Name: seed, Address: peer})
		}
	}
	view := member.New(member.DefaultConfig(controlSuspect), self, seeds)
	c.membership = transport.NewMembership(c.tables, c.links, c.log, controlGossip, view, func() member.SetSelfMsg { return member.SetSelfMsg{Ready: true} })
	return nil
}

// peerAddress derives the peer address of a control instance from its name, which is its
// operator address. This makes members named in the log reachable before the membership
// protocol has discovered them.
func (c *controlInstance) peerAddress(name string) (string, bool) {
	address, err := seedPeerAddress(name, c.settings.Peer)
	return address, err == nil
}

// voters returns the peer addresses of the control instances that vote.
func (c *controlInstance) voters() (addresses []string) {
	for _, id := range c.group.Status().Members.Voters {
		if address, ok := c.peerAddress(id.Name); ok {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// peers returns the peer address of the leader and those of all known control instances. The
// leader is empty if it is unknown, or if this instance leads but cannot confirm it.
func (c *controlInstance) peers() (leader string, all []string) {
	for _, row := range c.tables.Members.Rows() {
		if row.State < protocol.MemberDead {
			all = append(all, row.Address)
		}
	}
	name := c.group.Status().Leader.Name
	if _, vouches := c.group.Vouches(); name == "" || (name == c.name() && !vouches) {
		return "", all
	}
	leader, _ = c.peerAddress(name) // A name that is not an address leaves the leader empty.
	return leader, all
}

// domains returns the failure domain for each peer address of a control instance; it is
// empty for an unknown one.
func (c *controlInstance) domains(peers []string) []string {
	known := map[string]string{}
	for _, row := range c.tables.Members.Rows() {
		known[row.Address] = row.Domain
	}
	list := make([]string, len(peers))
	for i, address := range peers {
		list[i] = known[address]
	}
	return list
}

func (c *controlInstance) waitForStop(ctx context.Context) {
	for {
		select {
		case <-c.reloads:
			c.log.Info().Msg("reload ignored: a control instance reads its settings only at start")
			continue
		case s := <-c.stops:
			c.log.Info().Stringer("signal", s).Msg("stopping")
			c.handOver(ctx)
		case <-ctx.Done():
		}
		return
	}
}
