package entry

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"greengagedock.example/backend"
	"greengagedock.example/operator"
	"greengagedock.example/timer"
)

// recordingLogger is a logger that also passes each line of level Info to
// record, so that the decisions shown to operators match the log.
type recordingLogger struct {
	hclog.Logger
	record func(line logLine)
}

// expandDecisions returns the log arguments with each decision replaced by its own keys and values.
func expandDecisions(args []any) []any {
	var out []any
	for i := 0; i+1 < len(args); i += 2 {
		if decision, ok := args[i+1].(backend.Decision); ok {
			out = append(out, decision.LogArgs()...)
			continue
		}
		out = append(out, args[i], args[i+1])
	}
	return out
}

// logLine is the message of a log line and its arguments, alternating keys and values.
type logLine struct {
	message string
	args    []any
}

// Info logs the line and records it; a line below the log level is recorded too.
func (l recordingLogger) Info(message string, args ...any) {
	l.Logger.Info(message, expandDecisions(args)...)
	l.record(logLine{message: message, args: args})
}

// value returns the value of a key, nil if the line lacks it.
func (l logLine) value(key string) any {
	for i := 0; i+1 < len(l.args); i += 2 {
		if l.args[i] == key {
			return l.args[i+1]
		}
	}
	return nil
}

// string returns the value of a key, empty if it is not a string.
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

// recorder extracts the decisions of one entry from its log lines, and counts
// its requests.
type recorder struct {
	entryID   string
	timers    *timer.Service
	decisions operator.DecisionLog
	counts    requestCounts
}

// recordPeerLine records the decision in a log line of the peer package.
func (r *recorder) recordPeerLine(line logLine) {
	now := r.timers.Now()
	switch d := line.value("decision").(type) {
	case backend.Granted:
		r.decisions.Add(r.grantDecision(now, d))
		return
	case backend.Denied:
		reason := string(d.Refusal().Reason())
		r.decisions.Add(operator.NewDecision(now, operator.KindDenied, "", d.AttemptID()).WithChoice("", r.entryID, reason))
		return
	case backend.Orphan:
		r.decisions.Add(operator.NewDecision(now, operator.KindCancelled, "", d.Stream()).WithChoice(d.Server(), r.entryID, "orphan"))
		return
	}
	switch line.message {
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

// grantDecision returns the decision of this entry, as a keeper, to grant a slot.
func (r *recorder) grantDecision(now time.Time, d backend.Granted) operator.Decision {
	var runnersUp []operator.RunnerUp
	for _, other := range d.RunnersUp() {
		runnersUp = append(runnersUp, operator.NewRunnerUp(other.Server(), other.Reason()))
	}
	return operator.NewDecision(now, operator.KindGranted, "", d.Slot().ID()).
		WithChoice(d.Slot().Server(), r.entryID, d.Why()).
		WithRunnersUp(runnersUp...)
}

// recordCallerLine records the decision in a log line of the caller package.
func (r *recorder) recordCallerLine(line logLine) {
	switch line.message {
	case "routed":
		r.decisions.Add(r.requestDecision(operator.KindRouted, line).
			WithChoice(line.string("server"), line.string("keeper"), "slot granted"))
	case "forwarded":
		r.decisions.Add(r.requestDecision(operator.KindRouted, line).
			WithChoice("", line.string("server"), "home of the request id"))
	case "ended":
		r.recordEnd(line)
	}
}

// recordEnd records and counts the end of a request.
func (r *recorder) recordEnd(line logLine) {
	reason := line.string("reason")
	r.counts.recordEnd(line.string("outcome"), reason, line.int("attempts"))
	kind, summary := operator.KindEnded, line.string("outcome")
	if reason != "" {
		kind, summary = operator.KindFailed, summary+" "+reason
	}
	r.decisions.Add(r.requestDecision(kind, line).WithChoice("", "", summary))
}

func (r *recorder) requestDecision(kind operator.Kind, line logLine) operator.Decision {
	return operator.NewDecision(r.timers.Now(), kind, line.string("request_id"), line.string("attempt")).
		WithService(line.string("service"), line.string("model"), line.version())
}
