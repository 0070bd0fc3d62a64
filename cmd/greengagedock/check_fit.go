package main

import (
	"time"

	"greengagedock.example/jsonc"
	"greengagedock.example/registry"
)

// bytesPerToken is the length of a token in a prompt, in bytes.
const bytesPerToken = 4

// reportMisfits reports settings under which an entry could not keep to one of the documents.
func reportMisfits(files []*checkedFile) {
	for _, f := range files {
		if f.kind != kindSettings || len(f.problems) > 0 {
			continue
		}
		for _, other := range files {
			if other.document != nil {
				f.reportMisfit(other)
			}
		}
	}
}

// reportMisfit reports a graceful shutdown that would cut a request within
// its deadline, and a prompt that is too long for a body.
func (f *checkedFile) reportMisfit(other *checkedFile) {
	if longest := longestDeadline(other.document); f.settings.ShutdownDeadline() < longest {
		f.report("shutdown_deadline", "is %v, which cuts requests that may take %v by %s",
			f.settings.ShutdownDeadline(), longest, other.path)
	}
	if most := longestPrompt(other.document) * bytesPerToken; f.settings.Limits().MaxBody() < most {
		f.report("limits.max_body", "is %s, which refuses prompts of %s by %s",
			jsonc.FormatSize(f.settings.Limits().MaxBody()), jsonc.FormatSize(most), other.path)
	}
}

func longestDeadline(document *registry.Document) time.Duration {
	var longest time.Duration
	for _, model := range document.Models() {
		longest = max(longest, model.Deadline())
	}
	for _, call := range document.Calls() {
		longest = max(longest, call.Deadline())
	}
	return longest
}

// longestPrompt returns the length of the longest prompt in tokens.
func longestPrompt(document *registry.Document) int64 {
	longest := 0
	for _, model := range document.Models() {
		longest = max(longest, model.PromptTokens())
	}
	return int64(longest)
}
