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
	// goneAfter a silent replica gives its place to one that waits for it.
	goneAfter = 3 * time.Second
	// documentBytes bounds an operator's body.
	documentBytes = 64 << 20
)

// controlInstance wires the layers of a control instance. Its name among the
// others is its operator address, as the seeds tell nothing else.
type controlInstance struct {
	*roleRun
	tables     *state.Tables
	links      *transport.Links
	membership *transport.Membership
	group      *group.Group
	calls      *control.CallTracker
	uplink     *control.Uplink
	relay      *control.Relay // relay is nil where domains do not lie in several regions.
	peer       net.Listener
}

func runControl(r *roleRun) error {
	c := &controlInstance{roleRun: r, tables: state.NewTables()}
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	eg, work := errgroup.WithContext(work)
	if err := c.wire(work); err != nil {
		return err
	}
	client := transport.NewMembersClient(c.tables, c.links)
	orders := control.NewRolloutOrders(client, platform.ParseNumbered, r.settings.Bounds.OrderRepeat)
	operator := c.operator(platform.NewOperator(client, orders, r.log), control.NewOperator(orders, c.progress, r.log))
	duties := control.NewDuties(c.limits(), r.settings.Name, c.group, c.calls, c.uplink, r.log)
	boot := transport.NewBootstrap(c.group, c.tables, c.links, r.log, c.name(), r.settings.Seeds,
		transport.WithFound(r.settings.Found), transport.WithOthers())
	for _, part := range []func(context.Context) error{
		func(ctx context.Context) error { return c.links.Serve(ctx, c.peer) },
		c.membership.Run,
		c.group.Run,
		boot.Run,
		c.uplink.Run,
		c.relay.Run,
		c.uplink.RunRollouts,
		c.uplink.RunQuarantine,
		duties.RunList,
		duties.RunUsageLog,
		duties.RunReports,
		duties.RunOrders,
		c.watchRegions,
		func(ctx context.Context) error {
			return serveHTTP(ctx, r.settings.Listen(r.settings.Operator), documentBytes, operator)
		},
		func(ctx context.Context) error { return c.serveMetrics(ctx, c.dump) },
	} {
		eg.Go(func() error { return part(work) })
	}
	eg.Go(func() error {
		defer cancel()
		c.await(work)
		return nil
	})
	return eg.Wait()
}

// name is what the others know the instance by.
func (c *controlInstance) name() string { return c.settings.Operator }

// operator parts weldstream's own calls of operators from the platform's.
func (c *controlInstance) operator(ofPlatform *platform.Operator, own *control.Operator) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if strings.HasPrefix(string(ctx.Path()), control.OperatorPathPrefix) {
			own.Handle(ctx)
			return
		}
		ofPlatform.Handle(ctx)
	}
}

// announceMargin is how much longer than an order may be sent again servers of a version
// that none names are kept from gateways: the order has to be logged as well.
const announceMargin = time.Second

// progressTime bounds the question how roll-outs go, which an answer can do without.
const progressTime = 500 * time.Millisecond

// progress asks the leader how the roll-outs go, and returns none where it cannot be
// reached.
func (c *controlInstance) progress() []protocol.RolloutProgress {
	var list []protocol.RolloutProgress
	leader, _ := c.peers() // Only the leader knows; the list of all is not needed.
	if leader == "" {
		return nil
	}
	if err := c.links.Call(leader, "Uplink.Progress", true, &list, progressTime); err != nil {
		c.log.Debug().Err(err).Str("leader", leader).Msg("progress of roll-outs not known")
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
		Usage:       n.Source.Owes(platform.DutyUsage),
		Fleet:       n.Source.Owes(platform.DutyFleet),
	}
}

func (c *controlInstance) wire(work context.Context) error {
	n := c.settings
	ln, err := net.Listen("tcp", n.Listen(n.Peer))
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	c.peer = ln
	c.links = transport.NewLinks(c.name(), []byte(n.ClusterKey), linkDial, c.log)
	c.links.Meter(c.registry)
	c.links.MeterDistances(n.Topology(), n.Domain, c.registry)
	if err := c.wireMembership(); err != nil {
		return err
	}
	c.calls = control.NewCallTracker(platform.NewSource(n.Source.Address, platform.WithLogger(c.log), platform.WithRegistry(c.registry)))
	sender := transport.NewReplicaSender(work, c.tables, c.links, transport.WithAddresses(c.peerAddress))
	c.group, err = group.Open(c.groupConfig(), n.DataDir, c.name(), sender, group.WithLogger(c.log), group.WithRegistry(c.registry), group.WithMoveBlocker(c.calls.Busy), group.WithDocument(func(number uint64, data []byte) { c.uplink.Install(number, data) }),
		group.WithRollouts(func(l protocol.RolloutLog) { c.uplink.InstallRollouts(l) }),
		group.WithQuarantine(func(l protocol.QuarantineLog) { c.uplink.InstallQuarantine(l) }))
	if err != nil {
		return err
	}
	opts := []control.UplinkOption{
		control.WithLogger(c.log), control.WithRegistry(c.registry), control.WithTopology(n.Topology()), control.WithDomains(c.domains), control.WithGatewayGrace(n.Bounds.Revoke),
		control.WithExposure(control.Exposure{Share: n.Bounds.TrialShare, Slack: n.Bounds.TrialSlack, Unannounced: n.Bounds.OrderRepeat + announceMargin}),
	}
	if c.limits().Usage {
		opts = append(opts, control.WithLogIdleTime(func() time.Duration { return c.group.Status().SinceLastCommand }))
	}
	c.uplink = control.NewUplink(c.group, c.peers, platform.ParseNumbered, n.Bounds.QuotaWindow, opts...)
	c.relay = control.NewRelay(c.uplink, c.links, c.name(), n.Peer, c.registry)
	for name, receiver := range map[string]any{
		"Member": transport.NewMemberService(work, c.membership),
		"Group":  transport.NewGroupService(work, c.group),
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
			Gone:      goneAfter,
			Wide:      n.Topology().Several(),
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
		peer, err := peerOf(seed, n.Peer)
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

// peerAddress returns the peer address of a control instance by its name, its
// operator address. Members that the log names are reached by it before the
// membership has met them.
func (c *controlInstance) peerAddress(name string) (string, bool) {
	address, err := peerOf(name, c.settings.Peer)
	return address, err == nil
}

// peers returns the peer addresses of the leader, as far as one is known that can
// answer, and of all control instances that are known.
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
	leader, _ = c.peerAddress(name) // A name that is no address is nobody's.
	return leader, all
}

// domains returns the failure domains of control instances by their peer addresses;
// empty for one that is not known.
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

func (c *controlInstance) await(work context.Context) {
	for {
		select {
		case <-c.reloads:
			c.log.Info().Msg("settings are read at the next start")
			continue
		case s := <-c.stops:
			c.log.Info().Stringer("signal", s).Msg("stopping")
			c.handOver(work)
		case <-work.Done():
		}
		return
	}
}
