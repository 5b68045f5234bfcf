package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/weldstream/weldstream/protocol"
)

// versionOf is a version of a service.
type versionOf struct{ service, version string }

// announced returns a list without the servers whose version nothing names yet. The
// servers of a roll-out may be listed before its order is logged: the operator sends
// it again where a control instance does not answer. In a soak such an order came 1.1 s
// behind the servers, and 76 requests reached a bad version before its trial. Where a
// service has no other servers that take requests, those are told at once. It needs
// u.mu.
func (u *Uplink) announced(list []protocol.Instance, now time.Time) []protocol.Instance {
	l := u.logged.Load()
	serves := map[string]bool{} // serves are services with a server of a version that is known.
	unknown := map[versionOf]bool{}
	for i := range list {
		in := &list[i]
		if l.Knows(in.Service, in.Version) {
			serves[in.Service] = serves[in.Service] || !in.Leaving
			continue
		}
		v := versionOf{in.Service, in.Version}
		if _, ok := u.unnamed[v]; !ok {
			u.unnamed[v] = now
			u.log.Warn().Str("service", v.service).Str("version", v.version).Dur("wait", u.exposure.Unannounced).Msg("servers of a version that nothing names")
		}
		unknown[v] = now.Sub(u.unnamed[v]) < u.exposure.Unannounced
	}
	if len(unknown) == 0 {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), func(in protocol.Instance) bool {
		return unknown[versionOf{in.Service, in.Version}] && serves[in.Service]
	})
}

// newVersions returns the versions that are to be logged as known: those of services
// that are seen for the first time, and those that no order followed.
func (u *Uplink) newVersions(term uint64, now time.Time) []protocol.VersionsMsg {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.enter(term)
	l := u.logged.Load()
	versions := map[string][]string{}
	for i := range u.servers {
		in := &u.servers[i]
		first := len(l.Known[in.Service]) == 0
		if (first || !l.Knows(in.Service, in.Version)) && !slices.Contains(versions[in.Service], in.Version) {
			versions[in.Service] = append(versions[in.Service], in.Version)
		}
	}
	for v, since := range u.unnamed {
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

// logVersions has versions logged. Those that are not are tried again in the next tick.
func (u *Uplink) logVersions(ctx context.Context, m protocol.VersionsMsg) {
	limit, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	_, err := u.group.Propose(limit, protocol.Command{Versions: &m})
	u.log.Info().Err(err).Str("service", m.Service).Strs("versions", m.Versions).Msg("versions known")
}
