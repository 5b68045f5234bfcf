package protocol

// Config is what operators declare. It is applied as a whole: there is no
// change of a part. The yaml tags are the names in operators' files.
type Config struct {
	Models     []Model     `yaml:"models" json:"models" validate:"dive"`
	Adapters   []Adapter   `yaml:"adapters" json:"adapters" validate:"dive"`
	Routes     []Route     `yaml:"routes" json:"routes" validate:"dive"`
	Services   []Service   `yaml:"services" json:"services" validate:"dive"`
	Workspaces []Workspace `yaml:"workspaces" json:"workspaces" validate:"dive"`
	// Fleet says what may be bought; without it the system buys nothing and
	// gives nothing back.
	Fleet *Fleet `yaml:"fleet" json:"fleet,omitempty"`
}

// Model is a base model at a version, as the engines load it.
type Model struct {
	Name          string `yaml:"name" json:"name" validate:"required,name"`
	Version       string `yaml:"version" json:"version" validate:"required"`
	ContextTokens int    `yaml:"context_tokens" json:"context_tokens" validate:"min=0"`
	// Slots are the requests that one server runs at once within the latency
	// target; 0 takes what the servers report.
	Slots int `yaml:"slots" json:"slots,omitempty" validate:"min=0,max=100000"`
	// MinSlots are kept at the least, so that the first request of the day finds
	// a server.
	MinSlots int `yaml:"min_slots" json:"min_slots,omitempty" validate:"min=0,max=1000000"`
}

// Fleet says which instances the system may buy for the declared models.
type Fleet struct {
	// HeadroomPercent is held above the need.
	HeadroomPercent int `yaml:"headroom_percent" json:"headroom_percent" validate:"min=0,max=500"`
	// OnDemand allows on-demand instances while reclaimable ones are refused.
	OnDemand bool `yaml:"on_demand" json:"on_demand"`
	// MaxInstances bounds the engines, those on their way with them.
	MaxInstances int          `yaml:"max_instances" json:"max_instances" validate:"required,min=1,max=100000"`
	Classes      []FleetClass `yaml:"classes" json:"classes" validate:"required,min=1,dive"`
}

// FleetClass is a class of instances that may be bought.
type FleetClass struct {
	Name string `yaml:"name" json:"name" validate:"required,name"`
	// Slots are the requests that one runs within the latency target.
	Slots  int      `yaml:"slots" json:"slots" validate:"required,min=1,max=100000"`
	Models []string `yaml:"models" json:"models" validate:"required,min=1"`
}

// Adapter is a set of weights on top of a model.
type Adapter struct {
	Name    string `yaml:"name" json:"name" validate:"required,name"`
	Model   string `yaml:"model" json:"model" validate:"required"`
	Version string `yaml:"version" json:"version" validate:"required"`
}

// Route maps the model name that callers use to a model and an adapter.
type Route struct {
	Name       string   `yaml:"name" json:"name" validate:"required,name"`
	Model      string   `yaml:"model" json:"model" validate:"required"`
	Adapter    string   `yaml:"adapter" json:"adapter,omitempty"`
	Priority   string   `yaml:"priority" json:"priority,omitempty" validate:"omitempty,oneof=low normal high"`
	Workspaces []string `yaml:"workspaces" json:"workspaces,omitempty"`
	// NotRepeatable marks every request on the route as at most once.
	NotRepeatable bool `yaml:"not_repeatable" json:"not_repeatable,omitempty"`
}

// Service is a plain service that the system routes to beside the engines.
type Service struct {
	Name string `yaml:"name" json:"name" validate:"required,name"`
	// NotRepeatable lists path prefixes whose calls must run at most once.
	NotRepeatable []string `yaml:"not_repeatable" json:"not_repeatable,omitempty" validate:"dive,startswith=/"`
	Workspaces    []string `yaml:"workspaces" json:"workspaces,omitempty"`
	// Hedge sends a call that may be repeated to a second replica when the
	// answer is late. It is for short calls that a person waits for.
	Hedge bool `yaml:"hedge" json:"hedge,omitempty"`
}

// Workspace is one customer of the operators: its keys and its share.
type Workspace struct {
	Name string `yaml:"name" json:"name" validate:"required,name"`
	// KeyDigests are the SHA-256 digests, in hexadecimal, of the keys that
	// identify the workspace. The keys themselves are never stored.
	KeyDigests  []string `yaml:"key_sha256" json:"key_sha256" validate:"required,min=1,dive,len=64,hexadecimal,lowercase"`
	Share       int      `yaml:"share" json:"share" validate:"min=1,max=1000"`
	MaxPriority string   `yaml:"max_priority" json:"max_priority,omitempty" validate:"omitempty,oneof=low normal high"`
}

// Revision is a configuration that was accepted under a number.
type Revision struct {
	Number uint64  `json:"number"`
	Digest Digest  `json:"digest"`
	Config *Config `json:"config,omitempty"`
}
