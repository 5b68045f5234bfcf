package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// serviceVersion is a version of a service.
type serviceVersion struct{ service, version string }

// filterUnannounced returns the list without servers of versions that no order has named yet.
// The servers of a roll-out may be listed before its order is logged, because the operator
// retries the order while a control instance does not answer. In a soak run an order was logged
// 1.1 s after the servers were listed, and 76 requests reached a bad version before its trial.
// If a service has no other servers that accept requests, they are returned immediately. The
// caller holds u.mu.
func (u *Uplink) filterUnannounced(list []protocol.Instance, now time.Time) []protocol.Instance {
	l := u.loggedRollouts.Load()
	serves := map[string]bool{} // serves contains the services with an available server of a known version.
	unknown := map[serviceVersion]bool{}
	for i := range list {
		in := &list[i]
		if l.Knows(in.Service, in.Version) {
			serves[in.Service] = serves[in.Service] || !in.Leaving
			continue
		}
		v := serviceVersion{in.Service, in.Version}
		if _, ok := u.unannounced[v]; !ok {
			u.unannounced[v] = now
			u.log.Warn().Str("service", v.service).Str("version", v.version).Dur("wait", u.exposure.Unannounced).Msg("servers of a version without a roll-out order")
		}
		unknown[v] = now.Sub(u.unannounced[v]) < u.exposure.Unannounced
	}
	if len(unknown) == 0 {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), func(in protocol.Instance) bool {
		return unknown[serviceVersion{in.Service, in.Version}] && serves[in.Service]
	})
}

// versionsToLog returns the versions to log as known: those of newly seen services, and those
// for which no order arrived in time.
func (u *Uplink) versionsToLog(term uint64, now time.Time) []protocol.VersionsMsg {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.enterTerm(term)
	l := u.loggedRollouts.Load()
	versions := map[string][]string{}
	for i := range u.servers {
		in := &u.servers[i]
		first := len(l.Known[in.Service]) == 0
		if (first || !l.Knows(in.Service, in.Version)) && !slices.Contains(versions[in.Service], in.Version) {
			versions[in.Service] = append(versions[in.Service], in.Version)
		}
	}
	for v, since := range u.unannounced {
		if now.Sub(since) < u.exposure.Unannounced {
			versions[v.service] = slices.DeleteFunc(versions[v.service], func(version string) bool { return version == v.version })
		}
	}
	var msgs []protocol.VersionsMsg
	for _, service := range slices.Sorted(maps.Keys(versions)) {
		if len(versions[service]) > 0 {
			msgs = append(msgs, protocol.VersionsMsg{Service: service, Versions: versions[service]})
		}
	}
	return msgs
}

// logVersions commits known versions to the log. If that fails, the next tick retries.
func (u *Uplink) logVersions(ctx context.Context, m protocol.VersionsMsg) {
	limit, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := u.group.Propose(limit, protocol.Command{Versions: &m})
	u.log.Info().Err(err).Str("service", m.Service).Strs("versions", m.Versions).Msg("recording known versions in the replicated log")
}
