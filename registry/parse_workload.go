package registry

import (
	"net/http"
	"path"
	"slices"
	"strings"

	"greengagedock.example/jsonc"
)

// The bounds and rule of a model's name.
const (
	maxModelNameBytes = 128
	modelNameRule     = "1 to 128 letters, digits, '-', '_', '.', ':' and '/' that start with a letter or digit"
)

// The bounds and rule of a call's path.
const (
	maxPathBytes = 512
	pathRule     = "an absolute path such as /records/{id} without '..', '//', escapes, query or fragment"
)

var callMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
}

func parseModels(v jsonc.Value) []Model {
	names := make(firstLines)
	var models []Model
	for _, element := range parseArray(v, maxModelsOrCalls) {
		models = append(models, parseModel(element.Object(), names))
	}
	return models
}

func parseModel(o *jsonc.Object, names firstLines) Model {
	name := o.Required("name")
	model := Model{
		promptTokens: intOrDefault(o.Required("prompt_tokens"), 1, maxPrompt, 0),
		answerTokens: intOrDefault(o.Required("answer_tokens"), 1, maxAnswer, 0),
	}
	model.deadline, _ = o.Required("deadline").Duration(minDeadline, maxDeadline)
	text, ok := name.Text()
	switch {
	case !ok:
	case !isModelName(text):
		name.Report("is %s, want %s", jsonc.Quote(text), modelNameRule)
	default:
		model.name = text
		names.reportDuplicate(name, text)
	}
	return model
}

func parseCalls(v jsonc.Value) []Call {
	var calls []Call
	var lines []int
	for _, element := range parseArray(v, maxModelsOrCalls) {
		o := element.Object()
		call := parseCall(o)
		reportOverlap(o.Optional("path"), call, calls, lines)
		calls = append(calls, call)
		lines = append(lines, element.Line())
	}
	return calls
}

// reportOverlap reports a call if an earlier one with the same method has the same
// path, or a path that overlaps it with a different repeatable or deadline.
func reportOverlap(v jsonc.Value, call Call, earlier []Call, lines []int) {
	for i, other := range earlier {
		switch {
		case call.path == "" || call.method != other.method || !overlap(call.path, other.path):
		case call.path == other.path:
			v.Report("is the same as on line %d", lines[i])
			return
		case call.repeatable != other.repeatable || call.deadline != other.deadline:
			v.Report("overlaps %s on line %d, which differs in repeatable or deadline", other.path, lines[i])
			return
		}
	}
}

// overlap reports whether some path matches both a and b, where a segment in
// braces matches any one segment.
func overlap(a, b string) bool {
	return slices.EqualFunc(strings.Split(a, "/"), strings.Split(b, "/"), func(x, y string) bool {
		return x == y || isWildcard(x) || isWildcard(y)
	})
}

func parseCall(o *jsonc.Object) Call {
	call := Call{
		method: parseMethod(o.Required("method")),
		path:   parsePath(o.Required("path")),
	}
	call.repeatable, _ = o.Required("repeatable").Bool()
	call.deadline, _ = o.Required("deadline").Duration(minDeadline, maxDeadline)
	return call
}

func parseMethod(v jsonc.Value) string {
	text, ok := v.Text()
	switch {
	case !ok:
		return ""
	case !slices.Contains(callMethods, text):
		v.Report("is %s, want one of %s", jsonc.Quote(text), strings.Join(callMethods, ", "))
		return ""
	}
	return text
}

func parsePath(v jsonc.Value) string {
	text, ok := v.Text()
	switch {
	case !ok:
		return ""
	case !isPath(text):
		v.Report("is %s, want %s", jsonc.Quote(text), pathRule)
		return ""
	}
	return text
}

func isModelName(text string) bool {
	if text == "" || len(text) > maxModelNameBytes || !isLetterOrDigit(text[0]) {
		return false
	}
	for i := range len(text) {
		if !isLetterOrDigit(text[i]) && !strings.ContainsRune("-_.:/", rune(text[i])) {
			return false
		}
	}
	return true
}

func isPath(text string) bool {
	if len(text) > maxPathBytes || !strings.HasPrefix(text, "/") {
		return false
	}
	if trimmed := strings.TrimSuffix(text, "/"); trimmed != "" && path.Clean(trimmed) != trimmed {
		return false
	}
	for segment := range strings.SplitSeq(text, "/") {
		if !isWildcard(segment) && !isSegment(segment) {
			return false
		}
	}
	return true
}

// isWildcard reports whether a segment is a wildcard, such as {id}, that matches any one segment.
func isWildcard(segment string) bool {
	name, opened := strings.CutPrefix(segment, "{")
	name, closed := strings.CutSuffix(name, "}")
	return opened && closed && IsName(name)
}

func isSegment(segment string) bool {
	for i := range len(segment) {
		if !isLetterOrDigit(segment[i]) && !strings.ContainsRune("-_.~!$&'()+,;=:@", rune(segment[i])) {
			return false
		}
	}
	return true
}
