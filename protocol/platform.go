package protocol

import "time"

// InstanceKind tells what runs on an instance of the platform.
type InstanceKind string

// The kinds of instances that the platform lists.
const (
	InstanceEngine  InstanceKind = "engine"
	InstanceService InstanceKind = "service"
	InstanceEntry   InstanceKind = "entry"
)

// Instance is one row of the platform's list. The list lags.
type Instance struct {
	ID      string       `json:"id"`
	Kind    InstanceKind `json:"kind"`
	Address string       `json:"address"` // Address is IP:port.
	Service string       `json:"service,omitempty"`
	Domain  string       `json:"domain"` // Domain is the failure domain.
	Class   string       `json:"class,omitempty"`
	Version string       `json:"version,omitempty"` // Version is that of its software, where the platform tells.
	Market  string       `json:"market,omitempty"`  // Market is "reclaimable" or "on_demand".
	Leaving bool         `json:"leaving"`
	Slots   int          `json:"slots,omitempty"`   // Slots are the requests that it runs at once, where the platform tells.
	LeftMS  int64        `json:"left_ms,omitempty"` // LeftMS is how much longer a leaving server runs, in ms; 0 where that is not known.
	ColdMS  int64        `json:"cold_ms,omitempty"` // ColdMS is how much longer it is slow from its start, in ms.
}

// InstanceList is the platform's answer to GET /v1/instances.
type InstanceList struct {
	Instances []Instance `json:"instances"`
}

// Notice announces that an instance will be reclaimed.
type Notice struct {
	Sequence uint64    `json:"sequence"`
	Instance string    `json:"instance"`
	At       time.Time `json:"at"` // At is when the platform takes the instance.
}

// NoticeList is the platform's answer to GET /v1/notices?after=N.
type NoticeList struct {
	Notices []Notice `json:"notices"`
}

// Price is what the platform asks for an instance, an hour.
type Price struct {
	Domain string  `json:"domain"`
	Class  string  `json:"class"`
	Market string  `json:"market"`
	Hourly float64 `json:"hourly"`
}

// StartOrder asks the platform for an instance, by POST /v1/instances. The
// answer is 201 with the instance, or 429 when there is none to be had. The
// same order again returns the same instance.
type StartOrder struct {
	Order  string `json:"order"` // Order names the purchase.
	Domain string `json:"domain"`
	Class  string `json:"class"`
	Market string `json:"market"`
}
