package caller

import (
	"encoding/json"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"greengagedock.example/backend"
	"greengagedock.example/flagtest"
)

// The parts of any prompt decode to the prompt, and each fits its tokens.
func TestSplitPrompt(t *testing.T) {
	pieces := []string{"word ", "ü", "\u2028", "日本", `\n`, `\\`, `\"`, `\u00fc`, `\ud83d\ude00`, `\ud83d`, "😀", `\u0022`}
	flagtest.SetDefault(t, "rapid.seed", rapidSeed)
	rapid.Check(t, func(t *rapid.T) {
		prompt := strings.Join(rapid.SliceOfN(rapid.SampledFrom(pieces), 20, 80).Draw(t, "prompt"), "")
		body := []byte(`{"model": "m", "note": "\"prompt\"", "prompt": "` + prompt + `", "max_tokens": 3}`)
		tokens := rapid.IntRange(4, 40).Draw(t, "tokens")
		var costs []backend.Cost
		for range len(prompt)/(tokens*bytesPerToken-2*unicodeEscapeBytes+1) + 1 {
			costs = append(costs, backend.NewCost(tokens, 0))
		}
		var whole, joined struct {
			Model, Prompt string
			MaxTokens     int `json:"max_tokens"`
		}
		if err := json.Unmarshal(body, &whole); err != nil {
			t.Fatal(err)
		}
		for _, cut := range splitPrompt(body, costs) {
			if cut.to-cut.from > tokens*bytesPerToken {
				t.Fatalf("a piece has %d bytes, %d tokens were reserved", cut.to-cut.from, tokens)
			}
			before := joined.Prompt
			if err := json.Unmarshal(partBody(body, cut), &joined); err != nil {
				t.Fatal(err)
			}
			joined.Prompt = before + joined.Prompt
		}
		if joined != whole {
			t.Fatalf("the pieces decode to %+v, the body to %+v", joined, whole)
		}
	})
}
