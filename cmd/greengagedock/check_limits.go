package main

import (
	"time"

	"greengagedock.example/jsonc"
	"greengagedock.example/registry"
)

// bytesPerToken is the estimated length of a token in a prompt, in bytes.
const bytesPerToken = 4

// reportLimitMismatches reports settings whose limits are too low for one of the documents.
func reportLimitMismatches(files []*checkedFile) {
	for _, f := range files {
		if f.kind != kindSettings || len(f.problems) > 0 {
			continue
		}
		for _, other := range files {
			if other.document != nil {
				f.reportLimitMismatch(other)
			}
		}
	}
}

// reportLimitMismatch reports a shutdown deadline that is shorter than a request
// deadline, and a body limit that is below the longest prompt.
func (f *checkedFile) reportLimitMismatch(other *checkedFile) {
	if longest := longestDeadline(other.document); f.settings.ShutdownDeadline() < longest {
		f.report("shutdown_deadline", "is %v, less than the request deadline of %v in %s",
			f.settings.ShutdownDeadline(), longest, other.path)
	}
	if needed := longestPrompt(other.document) * bytesPerToken; f.settings.Limits().MaxBody() < needed {
		f.report("limits.max_body", "is %s, less than the longest prompt of %s in %s",
			jsonc.FormatSize(f.settings.Limits().MaxBody()), jsonc.FormatSize(needed), other.path)
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
