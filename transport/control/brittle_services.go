package control

import (
	"context"
	"fmt"
	"slices"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/weldstream/weldstream/coordination/backpressure"
	"github.com/weldstream/weldstream/internal/clock"
	"github.com/weldstream/weldstream/internal/pause"
	"github.com/weldstream/weldstream/protocol"
)

// brittleInterval is the interval at which the services with brittle servers are compared with the log.
// Servers say that they are brittle some seconds before they may have less room.
const brittleInterval = 100 * time.Millisecond

// InstallBrittleServices stores the services with brittle servers of the log. The loop of the replica calls it.
func (u *Uplink) InstallBrittleServices(list []protocol.BrittleService) { u.loggedBrittle.Store(&list) }

// RunBrittleServices commits which services have brittle servers while this instance leads, so that a new
// leader knows it even if all instances and gateways have started again.
func (u *Uplink) RunBrittleServices(ctx context.Context) error {
	rooms := roomGauges{}
	for ctx.Err() == nil {
		pause.For(ctx, brittleInterval)
		term, ok := u.group.Vouches()
		if !ok {
			rooms.set(u.registry, nil)
			continue
		}
		u.mu.Lock()
		u.enterTerm(term)
		list, use := u.permits.BrittleServices(), u.permits.RoomUse(clock.Now())
		u.mu.Unlock()
		rooms.set(u.registry, use)
		if !slices.Equal(list, *u.loggedBrittle.Load()) {
			u.logBrittleServices(ctx, list)
		}
	}
	return nil
}

// logBrittleServices commits the services with brittle servers. If that fails, the next tick tries again.
func (u *Uplink) logBrittleServices(ctx context.Context, list []protocol.BrittleService) {
	limit, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := u.group.Propose(limit, protocol.Command{Brittle: &protocol.BrittleServicesMsg{Services: list}}); err != nil {
		u.log.Warn().Err(err).Int("services", len(list)).Msg("cannot append the services with brittle servers to the replicated log")
		return
	}
	u.log.Info().Interface("services", list).Msg("services with brittle servers")
}

// roomGauges are the gauges of the room at brittle servers that have been set, by service.
type roomGauges map[string]bool

// set sets the gauges; those of services without brittle servers become 0.
func (g roomGauges) set(r metrics.Registry, use []backpressure.RoomUse) {
	for name := range g {
		g.setService(r, &backpressure.RoomUse{Service: name})
	}
	clear(g)
	for i := range use {
		g[use[i].Service] = true
		g.setService(r, &use[i])
	}
}

func (roomGauges) setService(r metrics.Registry, u *backpressure.RoomUse) {
	for name, n := range map[string]int{
		"places": u.Places, "granted_places": u.GrantedPlaces, "credits": u.Credits, "granted_credits": u.GrantedCredits,
		"resting_credits": u.RestingCredits, "gateways": u.Gateways, "short_gateways": u.Short, "refused": int(u.Refused),
	} {
		metrics.GetOrRegisterGauge(fmt.Sprintf("rooms.%s{service=%q}", name, u.Service), r).Update(int64(n))
	}
}
