package protocol

// LoadReport is the load that an engine or a plain service reports about itself. It
// lags by the reporter's own reporting interval.
type LoadReport struct {
	Server   string   `json:"server"`
	Sequence uint64   `json:"sequence"`
	Models   []string `json:"models,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	Slots    int      `json:"slots,omitempty"` // concurrent requests; 0 if not reported
	Running  int      `json:"running"`
	Waiting  int      `json:"waiting"`
	KVUsed   float64  `json:"kv_used"` // used fraction of the KV cache, 0 to 1
	Leaving  bool     `json:"leaving"`
}

// CacheEvent reports that an engine has cached or evicted a prompt prefix. Events are
// delayed, and a gap in Sequence means that some were lost.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   uint64 `json:"prefix"` // hash of the cached prefix
	Tokens   int    `json:"tokens"`
	Evicted  bool   `json:"evicted"`
}

// CacheEvents is a batch of cache events that follow a given sequence number.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}

// OrderKind is the kind of an [Order].
type OrderKind string

// The order kinds.
const (
	OrderLoadAdapter   OrderKind = "load_adapter"
	OrderUnloadAdapter OrderKind = "unload_adapter"
	OrderLoadModel     OrderKind = "load_model"
	OrderRole          OrderKind = "role" // serve the named model and no other
)

// Order is an order to a backend server, protected by a fencing token. A server that
// checks tokens rejects an order with a lower token than the highest it has seen.
type Order struct {
	Fence uint64    `json:"fence"` // term of the leader that issued the order
	Kind  OrderKind `json:"kind"`
	Name  string    `json:"name"`
}

// Resume asks an engine to continue an answer at a token offset. The engine has the
// prompt's KV cache after an import, or else recomputes it.
type Resume struct {
	Offset int    `json:"offset"` // tokens already generated
	Text   string `json:"text"`   // answer so far
}

// KVMove asks an engine to fetch the KV cache of a running request from another engine
// and to end the request there.
type KVMove struct {
	From    string `json:"from"`    // address of the exporting engine
	Request string `json:"request"` // request ID at the engine
}

// Chunk is one event of an engine's stream in the OpenAI format. Usage is requested for
// every event, so that the token offset of each chunk is known.
type Chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
	Usage   *Usage        `json:"usage,omitempty"`
	// Tokens is the number of tokens in this event. An engine that omits it sends one
	// token per event. Together with Usage it determines the offset.
	Tokens int `json:"tokens,omitempty"`
}

// ChunkChoice is the choice in a [Chunk]. Completions set Text, chats set Delta.
type ChunkChoice struct {
	Index        int     `json:"index"`
	Text         *string `json:"text,omitempty"`
	Delta        *Delta  `json:"delta,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

// Delta is the part of a chat message that one event adds.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}
