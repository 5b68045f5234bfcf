package protocol

// Config is the configuration that operators declare. It is always replaced as a whole.
// The yaml tags are the names in operators' files.
type Config struct {
	Models     []Model     `yaml:"models" json:"models" validate:"dive"`
	Adapters   []Adapter   `yaml:"adapters" json:"adapters" validate:"dive"`
	Routes     []Route     `yaml:"routes" json:"routes" validate:"dive"`
	Services   []Service   `yaml:"services" json:"services" validate:"dive"`
	Workspaces []Workspace `yaml:"workspaces" json:"workspaces" validate:"dive"`
	// Fleet defines what may be purchased. Without it, no instances are purchased or
	// returned.
	Fleet *Fleet `yaml:"fleet" json:"fleet,omitempty"`
}

// Model is a version of a base model, as loaded by the engines.
type Model struct {
	Name          string `yaml:"name" json:"name" validate:"required,name"`
	Version       string `yaml:"version" json:"version" validate:"required"`
	ContextTokens int    `yaml:"context_tokens" json:"context_tokens" validate:"min=0"`
	// Slots is the number of concurrent requests that one server handles within the
	// latency target; 0 takes what the servers report.
	Slots int `yaml:"slots" json:"slots,omitempty" validate:"min=0,max=100000"`
	// MinSlots is the minimum capacity that is kept even without load, so that the
	// first request of the day finds a server.
	MinSlots int `yaml:"min_slots" json:"min_slots,omitempty" validate:"min=0,max=1000000"`
}

// Fleet defines which instances may be purchased for the declared models.
type Fleet struct {
	// HeadroomPercent is the spare capacity kept above the demand.
	HeadroomPercent int `yaml:"headroom_percent" json:"headroom_percent" validate:"min=0,max=500"`
	// OnDemand allows on-demand instances to be purchased while reclaimable ones are
	// unavailable.
	OnDemand bool `yaml:"on_demand" json:"on_demand"`
	// MaxInstances bounds the number of engines, including those being started.
	MaxInstances int          `yaml:"max_instances" json:"max_instances" validate:"required,min=1,max=100000"`
	Classes      []FleetClass `yaml:"classes" json:"classes" validate:"required,min=1,dive"`
}

// FleetClass is a class of instances that may be purchased.
type FleetClass struct {
	Name string `yaml:"name" json:"name" validate:"required,name"`
	// Slots is the number of concurrent requests that an instance handles within the
	// latency target.
	Slots  int      `yaml:"slots" json:"slots" validate:"required,min=1,max=100000"`
	Models []string `yaml:"models" json:"models" validate:"required,min=1"`
}

// Adapter is a set of adapter weights for a base model.
type Adapter struct {
	Name    string `yaml:"name" json:"name" validate:"required,name"`
	Model   string `yaml:"model" json:"model" validate:"required"`
	Version string `yaml:"version" json:"version" validate:"required"`
}

// Route maps a model name used by callers to a model and an adapter.
type Route struct {
	Name       string   `yaml:"name" json:"name" validate:"required,name"`
	Model      string   `yaml:"model" json:"model" validate:"required"`
	Adapter    string   `yaml:"adapter" json:"adapter,omitempty"`
	Priority   string   `yaml:"priority" json:"priority,omitempty" validate:"omitempty,oneof=low normal high"`
	Workspaces []string `yaml:"workspaces" json:"workspaces,omitempty"`
	// NotRepeatable marks all requests on the route as at-most-once.
	NotRepeatable bool `yaml:"not_repeatable" json:"not_repeatable,omitempty"`
}

// Service is a plain service that requests are routed to, alongside the engines.
type Service struct {
	Name string `yaml:"name" json:"name" validate:"required,name"`
	// NotRepeatable lists path prefixes whose calls must be executed at most once.
	NotRepeatable []string `yaml:"not_repeatable" json:"not_repeatable,omitempty" validate:"dive,startswith=/"`
	Workspaces    []string `yaml:"workspaces" json:"workspaces,omitempty"`
	// Hedge sends a repeatable call to a second replica if the answer is late. It is
	// meant for short interactive calls.
	Hedge bool `yaml:"hedge" json:"hedge,omitempty"`
}

// Workspace is one customer of the operators, with its keys and its share.
type Workspace struct {
	Name string `yaml:"name" json:"name" validate:"required,name"`
	// KeyDigests are the hexadecimal SHA-256 digests of the keys that authenticate the
	// workspace. The keys themselves are never stored.
	KeyDigests  []string `yaml:"key_sha256" json:"key_sha256" validate:"required,min=1,dive,len=64,hexadecimal,lowercase"`
	Share       int      `yaml:"share" json:"share" validate:"min=1,max=1000"`
	MaxPriority string   `yaml:"max_priority" json:"max_priority,omitempty" validate:"omitempty,oneof=low normal high"`
}

// Revision is an accepted configuration with its number.
type Revision struct {
	Number uint64  `json:"number"`
	Digest Digest  `json:"digest"`
	Config *Config `json:"config,omitempty"`
}
