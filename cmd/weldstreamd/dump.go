package main

import (
	"time"

	"github.com/weldstream/weldstream/coordination/group"
	"github.com/weldstream/weldstream/protocol"
	"github.com/weldstream/weldstream/settings"
	"github.com/weldstream/weldstream/state"
	"github.com/weldstream/weldstream/transport"
)

// dump is the state of one process, written on SIGQUIT and served on the admin address.
type dump struct {
	At       time.Time           `json:"at"`
	Name     string              `json:"name"`
	Domain   string              `json:"domain"`
	Ready    bool                `json:"ready"`
	Unready  string              `json:"unready,omitempty"` // Unready is the reason why the instance is not ready.
	Number   uint64              `json:"number"`
	Digest   protocol.Digest     `json:"digest"`
	Members  []state.MemberRow   `json:"members"`
	Servers  []serverDump        `json:"servers"`
	Leaving  []protocol.Leaving  `json:"leaving"`
	Streams  []state.Stream      `json:"streams"`
	Pools    []transport.PoolRow `json:"pools"`
	Group    *group.Status       `json:"group,omitempty"` // Group is nil on an instance without a replica.
	Settings *settings.Settings  `json:"settings"`
}

// serverDump is the state of one backend server.
type serverDump struct {
	protocol.Instance
	Report      protocol.LoadReport `json:"report"`
	ReportAgeMS int64               `json:"report_age_ms"` // ReportAgeMS is -1 before the first report.
	Missed      int                 `json:"missed"`
	Outstanding int32               `json:"outstanding"`
	Sent        int64               `json:"sent"`
	Failed      int64               `json:"failed"`
}

func (d *daemon) dump() any {
	now := time.Now()
	out := dump{
		At:       now,
		Name:     d.settings.Name,
		Domain:   d.settings.Domain,
		Members:  d.tables.Members.Rows(),
		Leaving:  d.tables.Backends.Leaving(),
		Streams:  d.tables.Streams.Rows(),
		Pools:    d.limits.Rows(),
		Settings: d.settings,
	}
	out.Number, out.Digest = d.tables.Revision()
	if err := d.gateway.Ready(); err != nil {
		out.Unready = err.Error()
	} else {
		out.Ready = true
	}
	if d.group != nil {
		status := d.group.Status()
		out.Group = &status
	}
	view := d.tables.Backends.View()
	for i := range view.Servers {
		out.Servers = append(out.Servers, newServerDump(&view.Servers[i], now))
	}
	return out
}

func newServerDump(s *state.Server, now time.Time) serverDump {
	row := serverDump{
		Instance:    s.Instance,
		Report:      s.Report,
		ReportAgeMS: -1,
		Missed:      s.Missed,
		Outstanding: s.Counters.Outstanding.Load(),
		Sent:        s.Counters.Sent.Load(),
		Failed:      s.Counters.Failed.Load(),
	}
	if !s.ReportAt.IsZero() {
		row.ReportAgeMS = now.Sub(s.ReportAt).Milliseconds()
	}
	return row
}
