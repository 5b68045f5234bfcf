package transport

import (
	"encoding/json"
	"testing"

	"github.com/valyala/fastjson"
	"pgregory.net/rapid"

	"github.com/weldstream/weldstream/coordination/attempt"
	_ "github.com/weldstream/weldstream/internal/testseed" // Fixes the seed.
	"github.com/weldstream/weldstream/protocol"
)

// decodeEvent parses an event by decoding all of it.
func decodeEvent(data []byte) (m attempt.ChunkMsg, ok bool) {
	var c protocol.Chunk
	if json.Unmarshal(data, &c) != nil || c.Usage == nil {
		return m, false
	}
	m.Offset = c.Usage.CompletionTokens
	if len(c.Choices) > 0 {
		choice := c.Choices[0]
		switch {
		case choice.Text != nil:
			m.Text = *choice.Text
		case choice.Delta != nil:
			m.Text = choice.Delta.Content
		}
		if choice.FinishReason != nil {
			m.Finish = *choice.FinishReason
		}
	}
	if m.Text != "" {
		m.Tokens = max(1, c.Tokens)
		m.Offset -= m.Tokens
	}
	return m, true
}

func drawChunk(t *rapid.T) protocol.Chunk {
	text := rapid.StringMatching(`[ -~é漢\\"\n]{0,9}`)
	c := protocol.Chunk{ID: "x", Model: "m", Tokens: rapid.IntRange(0, 3).Draw(t, "tokens")}
	if rapid.IntRange(0, 9).Draw(t, "usage") > 0 {
		c.Usage = &protocol.Usage{CompletionTokens: rapid.IntRange(0, 99).Draw(t, "done")}
	}
	if rapid.IntRange(0, 9).Draw(t, "choices") == 0 {
		return c
	}
	choice := protocol.ChunkChoice{}
	switch s := text.Draw(t, "text"); rapid.IntRange(0, 2).Draw(t, "kind") {
	case 0:
		choice.Text = &s
	case 1:
		choice.Delta = &protocol.Delta{Role: "assistant", Content: s}
	}
	if finish := rapid.SampledFrom([]string{"", "stop", "length", finishExported}).Draw(t, "finish"); finish != "" {
		choice.FinishReason = &finish
	}
	c.Choices = []protocol.ChunkChoice{choice}
	return c
}

// TestParseEventMatchesDecoding compares the fast event parser with full decoding,
// for complete and truncated events.
func TestParseEventMatchesDecoding(t *testing.T) {
	var p fastjson.Parser
	rapid.Check(t, func(t *rapid.T) {
		data, err := json.Marshal(drawChunk(t))
		if err != nil {
			t.Fatal(err)
		}
		if rapid.IntRange(0, 4).Draw(t, "cut") == 0 {
			data = data[:rapid.IntRange(0, len(data)-1).Draw(t, "at")]
		}
		want, ok := decodeEvent(data)
		got, err := parseEvent(&p, data)
		if ok != (err == nil) || got != want {
			t.Fatalf("%s\nparsed %+v, %v; decoded %+v, %v", data, got, err, want, ok)
		}
	})
}
