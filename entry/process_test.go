package entry

import (
	"context"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"greengagedock.example/standin"
)

func TestRequestEndToEnd(t *testing.T) {
	f := newFleet(t, 3)
	f.start(3)
	for i, entry := range f.entries {
		for j := range 4 {
			prompt := fmt.Sprintf("request %d of entry %d %s", j, i, strings.Repeat("word ", 800))
			status, body, err := f.complete(context.Background(), entry, prompt, 8)
			f.c.Assert(err, qt.IsNil)
			f.c.Assert(status, qt.Equals, 200, qt.Commentf("%s", body))
			f.c.Assert(answerText(body), qt.Equals, standin.Sum(prompt).Answer(8))
		}
	}
	for id, engine := range f.engines {
		f.c.Assert(engine.Stats().Overloads(), qt.Equals, 0, qt.Commentf("%s", id))
	}
}
