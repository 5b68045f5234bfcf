package forward

// PromptMemoryDump is what a gateway tells of prompt memory on request.
type PromptMemoryDump struct {
	Links int       `json:"links"` // Links are the parts of prompts whose holders are remembered.
	Moves []MoveRow `json:"moves"` // Moves are the answers that are being moved.
}

// MoveRow is one answer that is being moved.
type MoveRow struct {
	Request string `json:"request"`
	Server  string `json:"server"`
	Target  string `json:"target"`
	Phase   string `json:"phase"`
	Tokens  int    `json:"tokens"`
	AgeMS   int64  `json:"age_ms"`
}

// DumpMemory returns what is known of prompt memory.
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
			if !r.moveBegan.IsZero() {
				d.Moves = append(d.Moves, MoveRow{Request: r.call.ID, Server: r.server.ID, Target: r.state.Target, Phase: r.state.Phase.String(), Tokens: r.call.PromptTokens, AgeMS: r.since().Milliseconds()})
			}
			r.mu.Unlock()
		}
	}
	return d
}
