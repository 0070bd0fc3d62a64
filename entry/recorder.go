package entry

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"greengagedock.example/backend"
	"greengagedock.example/operator"
	"greengagedock.example/timer"
)

// recordingLogger is a logger that hands each informative line on, so that
// what operators are told and what is logged can't differ.
type recordingLogger struct {
	hclog.Logger
	record func(line logLine)
}

// spread returns the keys and values of a line with those of a decision in its place.
func spread(pairs []any) []any {
	var out []any
	for i := 0; i+1 < len(pairs); i += 2 {
		if decision, ok := pairs[i+1].(backend.Decision); ok {
			out = append(out, decision.LogArgs()...)
			continue
		}
		out = append(out, pairs[i], pairs[i+1])
	}
	return out
}

// logLine is the text and the key=value pairs of one log line.
type logLine struct {
	text  string
	pairs []any
}

// Info logs the line and hands it on, also when the level keeps it out of the log.
func (l recordingLogger) Info(text string, pairs ...any) {
	l.Logger.Info(text, spread(pairs)...)
	l.record(logLine{text: text, pairs: pairs})
}

// value returns the value of a key, nil without it.
func (l logLine) value(key string) any {
	for i := 0; i+1 < len(l.pairs); i += 2 {
		if l.pairs[i] == key {
			return l.pairs[i+1]
		}
	}
	return nil
}

// string returns the value of a key that is a string, else the empty string.
func (l logLine) string(key string) string {
	text, _ := l.value(key).(string)
	return text
}

func (l logLine) int(key string) int {
	n, _ := l.value(key).(int)
	return n
}

func (l logLine) version() int64 {
	version, _ := l.value("version").(int64)
	return version
}

// recorder keeps the decisions that the log lines of one entry state, and
// counts its requests.
type recorder struct {
	self      string
	timers    *timer.Service
	decisions operator.DecisionLog
	counts    requestCounts
}

// peerLine takes a line of the control state.
func (r *recorder) peerLine(line logLine) {
	now := r.timers.Now()
	switch d := line.value("decision").(type) {
	case backend.Granted:
		r.decisions.Add(r.granted(now, d))
		return
	case backend.Denied:
		why := string(d.Refusal().Reason())
		r.decisions.Add(operator.NewDecision(now, operator.KindDenied, "", d.AttemptID()).WithChoice("", r.self, why))
		return
	case backend.Orphan:
		r.decisions.Add(operator.NewDecision(now, operator.KindCancelled, "", d.Stream()).WithChoice(d.Server(), r.self, "orphan"))
		return
	}
	switch line.text {
	case "routed":
		r.decisions.Add(operator.NewDecision(now, operator.KindAsked, "", line.string("attempt")).
			WithService(line.string("service"), line.string("model"), 0).
			WithChoice("", line.string("keeper"), line.string("why")))
	case "refused":
		reason, _ := line.value("reason").(backend.Reason)
		r.decisions.Add(operator.NewDecision(now, operator.KindDenied, "", line.string("attempt")).
			WithChoice("", "", string(reason)))
	}
}

// granted returns the decision of this entry as a keeper.
func (r *recorder) granted(now time.Time, d backend.Granted) operator.Decision {
	var runnersUp []operator.RunnerUp
	for _, other := range d.RunnersUp() {
		runnersUp = append(runnersUp, operator.NewRunnerUp(other.Server(), other.Reason()))
	}
	return operator.NewDecision(now, operator.KindGranted, "", d.Slot().ID()).
		WithChoice(d.Slot().Server(), r.self, d.Why()).
		WithRunnersUp(runnersUp...)
}

// callerLine takes a line of the callers' side.
func (r *recorder) callerLine(line logLine) {
	switch line.text {
	case "routed":
		r.decisions.Add(r.aboutRequest(operator.KindRouted, line).
			WithChoice(line.string("server"), line.string("keeper"), "slot granted"))
	case "forwarded":
		r.decisions.Add(r.aboutRequest(operator.KindRouted, line).
			WithChoice("", line.string("server"), "home of the request id"))
	case "ended":
		r.ended(line)
	}
}

// ended takes the line of a request's end.
func (r *recorder) ended(line logLine) {
	reason := line.string("reason")
	r.counts.ended(line.string("outcome"), reason, line.int("attempts"))
	kind, why := operator.KindEnded, line.string("outcome")
	if reason != "" {
		kind, why = operator.KindFailed, why+" "+reason
	}
	r.decisions.Add(r.aboutRequest(kind, line).WithChoice("", "", why))
}

func (r *recorder) aboutRequest(kind operator.Kind, line logLine) operator.Decision {
	return operator.NewDecision(r.timers.Now(), kind, line.string("request_id"), line.string("attempt")).
		WithService(line.string("service"), line.string("model"), line.version())
}
