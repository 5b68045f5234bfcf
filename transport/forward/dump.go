package forward

// PromptMemoryDump is the diagnostic view of prompt memory in a gateway.
type PromptMemoryDump struct {
	Links int       `json:"links"` // Links is the number of prompt parts whose holders are known.
	Moves []MoveRow `json:"moves"` // Moves are the answers being moved.
}

// MoveRow describes one answer being moved.
type MoveRow struct {
	Request string `json:"request"`
	Server  string `json:"server"`
	Target  string `json:"target"`
	Phase   string `json:"phase"`
	Tokens  int    `json:"tokens"`
	AgeMS   int64  `json:"age_ms"`
}

// DumpMemory returns the diagnostic view of prompt memory.
func (g *Gateway) DumpMemory() PromptMemoryDump {
	d := PromptMemoryDump{Moves: []MoveRow{}}
	g.mu.Lock()
	d.Links = g.prompts.holders.Len()
	g.mu.Unlock()
	m := &g.moves
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, runs := range m.runs {
		for r := range runs {
			r.mu.Lock()
			if !r.moveStartedAt.IsZero() {
				d.Moves = append(d.Moves, MoveRow{Request: r.call.ID, Server: r.server.ID, Target: r.state.Target, Phase: r.state.Phase.String(), Tokens: r.call.PromptTokens, AgeMS: r.since().Milliseconds()})
			}
			r.mu.Unlock()
		}
	}
	return d
}
