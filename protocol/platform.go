package protocol

import "time"

// InstanceKind is the kind of software that runs on an instance of the platform.
type InstanceKind string

// The kinds of instances in the platform list.
const (
	InstanceEngine  InstanceKind = "engine"
	InstanceService InstanceKind = "service"
	InstanceEntry   InstanceKind = "entry"
)

// Instance is one entry of the platform's list. The list lags behind the actual state.
type Instance struct {
	ID      string       `json:"id"`
	Kind    InstanceKind `json:"kind"`
	Address string       `json:"address"` // IP:port
	Service string       `json:"service,omitempty"`
	Domain  string       `json:"domain"` // failure domain
	Class   string       `json:"class,omitempty"`
	Version string       `json:"version,omitempty"` // software version, if the platform reports it
	Market  string       `json:"market,omitempty"`  // "reclaimable" or "on_demand"
	Leaving bool         `json:"leaving"`
	Slots   int          `json:"slots,omitempty"`   // concurrent requests, if the platform reports it
	LeftMS  int64        `json:"left_ms,omitempty"` // remaining time of a leaving server in ms; 0 if unknown
	ColdMS  int64        `json:"cold_ms,omitempty"` // remaining time in ms for which a started server is slow
}

// InstanceList is the platform's response to GET /v1/instances.
type InstanceList struct {
	Instances []Instance `json:"instances"`
}

// Notice announces that the platform will reclaim an instance.
type Notice struct {
	Sequence uint64    `json:"sequence"`
	Instance string    `json:"instance"`
	At       time.Time `json:"at"` // when the instance is reclaimed
}

// NoticeList is the platform's response to GET /v1/notices?after=N.
type NoticeList struct {
	Notices []Notice `json:"notices"`
}

// Price is the hourly price of an instance.
type Price struct {
	Domain string  `json:"domain"`
	Class  string  `json:"class"`
	Market string  `json:"market"`
	Hourly float64 `json:"hourly"`
}

// StartOrder requests an instance from the platform, by POST /v1/instances. The
// response is 201 with the instance, or 429 if none is available. Repeating an order
// returns the same instance.
type StartOrder struct {
	Order  string `json:"order"` // identifies the purchase
	Domain string `json:"domain"`
	Class  string `json:"class"`
	Market string `json:"market"`
}
