package protocol

// LoadReport is what an engine or a plain service says of itself. It lags
// behind the truth by the reporter's own interval.
type LoadReport struct {
	Server   string   `json:"server"`
	Sequence uint64   `json:"sequence"`
	Models   []string `json:"models,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	Slots    int      `json:"slots,omitempty"` // Slots are the requests that it runs at once; 0 tells nothing.
	Running  int      `json:"running"`
	Waiting  int      `json:"waiting"`
	KVUsed   float64  `json:"kv_used"` // KVUsed is a share from 0 to 1.
	Leaving  bool     `json:"leaving"`
}

// CacheEvent says that an engine began or ceased to hold a prompt prefix.
// Events come late and a gap in Sequence means that some were lost.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   uint64 `json:"prefix"` // Prefix is the hash of the cached prefix.
	Tokens   int    `json:"tokens"`
	Evicted  bool   `json:"evicted"`
}

// CacheEvents is a batch of cache events after a sequence number.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}

// OrderKind names what a fenced order asks of an engine.
type OrderKind string

// The kinds of orders.
const (
	OrderLoadAdapter   OrderKind = "load_adapter"
	OrderUnloadAdapter OrderKind = "unload_adapter"
	OrderLoadModel     OrderKind = "load_model"
	OrderRole          OrderKind = "role" // OrderRole has an engine serve the named model and no other.
)

// Order is a fenced order to a backend server. A server that checks fences
// refuses an order whose fence is below the highest that it has seen.
type Order struct {
	Fence uint64    `json:"fence"` // Fence is the term of the leader that gave the order.
	Kind  OrderKind `json:"kind"`
	Name  string    `json:"name"`
}

// Resume asks an engine to go on with an answer from a token offset. The
// engine holds the prompt's KV cache (after an import) or recomputes it.
type Resume struct {
	Offset int    `json:"offset"` // Offset counts the tokens already generated.
	Text   string `json:"text"`   // Text is the answer so far.
}

// KVMove asks an engine to fetch the KV cache of a running request from
// another engine and to end the request there.
type KVMove struct {
	From    string `json:"from"`    // From is the address of the exporting engine.
	Request string `json:"request"` // Request is the engine-side request identity.
}

// Chunk is one event of an engine's stream in the OpenAI format. Usage is
// asked for on every event, so the token offset of each chunk is known.
type Chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
	Usage   *Usage        `json:"usage,omitempty"`
	// Tokens counts the tokens of this event; an engine that leaves it out
	// sends one token an event. Together with Usage it gives the offset.
	Tokens int `json:"tokens,omitempty"`
}

// ChunkChoice is the choice inside a [Chunk]. Completions fill Text, chats
// fill Delta.
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
