package gateway

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"greengagedock.example/dispatch"
	"greengagedock.example/mesh"
	"greengagedock.example/quarantine"
	"greengagedock.example/routing"
)

// A scheduler tells the entry that follows it what it has learned: before it stops as
// planned, at the end of its lame-duck period, and when an entry takes over that started or
// was unreachable. An entry that is told and does not follow passes it on.

const (
	// handoverTimeout bounds one call; a stopping entry waits for it.
	handoverTimeout = placementTimeout
	// handoverAttempts is how many entries a stopping entry tries one after the other for
	// each service.
	handoverAttempts = 2
	// maxHandoverHops is how often what was told is passed on, since entries may differ on
	// which one follows.
	maxHandoverHops = 2
	// minHandoverInterval is the least time between two handovers of one service by an
	// entry that does not stop.
	minHandoverInterval = time.Second
)

// entryCaller calls other entries; see mesh.Client.
type entryCaller interface {
	Call(ctx context.Context, address, kind string, call, reply any) error
}

// handoverCounts counts handovers of services.
type handoverCounts struct{ sent, failed, merged atomic.Int64 }

func (n *handoverCounts) values() map[string]int64 {
	return map[string]int64{"sent": n.sent.Load(), "failed": n.failed.Load(), "merged": n.merged.Load()}
}

// learnedMessage is what an entry has learned, for the one that schedules after it. Its
// parts are encoded as maps, so that a version skips the fields that it does not know.
type learnedMessage struct {
	From     string
	Hops     int
	Notices  []noticeMessage
	Repeats  []repeatMessage
	Services []learnedServiceMessage
}

// learnedServiceMessage is what a scheduler has learned of one service.
type learnedServiceMessage struct {
	Service      string
	Suspicions   []suspicionMessage
	Moments      []momentMessage
	Settled      []settledMessage
	SettledParts []settledMessage
	Servers      []learnedServerMessage
	Unsettled    []unsettledMessage
}

// momentMessage is a time at which servers ended.
type momentMessage struct {
	Age     time.Duration
	Servers []string
	Prompts [][]quarantine.Part
	Sound   []quarantine.Part
	Matched []uint64
}

// settledMessage is a request that settled, or the parts of requests that settled at a time.
type settledMessage struct {
	Age   time.Duration
	Parts []quarantine.Part
}

// learnedServerMessage is what is known of a server.
type learnedServerMessage struct {
	Server string
	// Start identifies the server's incarnation, in Unix milliseconds.
	Start int64
	// OutcomeAge is the time since the last outcome, negative if there was none.
	OutcomeAge   time.Duration
	Consecutive  int
	Blamers      []string
	FailureRate  float64
	Unresponsive bool
	// SuspendedFor and RefusedFor are how much longer the server gets no requests.
	SuspendedFor time.Duration
	RefusedFor   time.Duration
	// LimitLevel is the level of the server's rate limit, LimitAge the time since that was
	// so, negative if it is not known.
	LimitLevel float64
	LimitAge   time.Duration
}

// unsettledMessage is a running request whose parts may yet crash its server.
type unsettledMessage struct {
	ID          string
	Server      string
	SentAge     time.Duration
	Parts       []quarantine.Part
	Fingerprint quarantine.Fingerprint
}

// encodeLearned returns what this entry has learned of services. What is known of repeats
// is the same for all of them.
func (c *control) encodeLearned(now time.Time, services []string) learnedMessage {
	m := learnedMessage{From: c.members.self.ID, Notices: encodeNotices(now, c.notices.Current(now)), Repeats: c.encodeRepeats(now)}
	for _, service := range services {
		if learned := encodeLearnedService(now, c.scheduler.Learned(now, service)); !learned.isEmpty() {
			m.Services = append(m.Services, learned)
		}
	}
	return m
}

// isEmpty reports whether the message says nothing of its service.
func (m learnedServiceMessage) isEmpty() bool {
	return len(m.Suspicions)+len(m.Moments)+len(m.Settled)+len(m.SettledParts)+len(m.Servers)+len(m.Unsettled) == 0
}

func encodeLearnedService(now time.Time, learned dispatch.Learned) learnedServiceMessage {
	evidence := learned.Evidence()
	m := learnedServiceMessage{
		Service: learned.Service(), Suspicions: suspicionMessages(now, learned.Service(), evidence.Suspicions()),
		Settled: encodeSettled(now, evidence.Recent()), SettledParts: encodeSettled(now, evidence.SettledParts()),
	}
	for _, moment := range evidence.Moments() {
		m.Moments = append(m.Moments, momentMessage{
			Age: ageOf(now, moment.At()), Servers: moment.Servers(), Prompts: moment.Prompts(), Sound: moment.Sound(), Matched: moment.Matched(),
		})
	}
	for _, server := range learned.Servers() {
		m.Servers = append(m.Servers, encodeLearnedServer(now, server))
	}
	for _, request := range learned.Unsettled() {
		m.Unsettled = append(m.Unsettled, unsettledMessage{
			ID: request.ID(), Server: request.Server(), SentAge: ageOf(now, request.SentAt()), Parts: request.Parts(), Fingerprint: request.Fingerprint(),
		})
	}
	return m
}

func (m learnedServiceMessage) decode(now time.Time) dispatch.Learned {
	var suspicions []quarantine.Suspicion
	for _, suspicion := range m.Suspicions {
		suspicions = append(suspicions, suspicion.decode(now))
	}
	var moments []quarantine.Moment
	for _, moment := range m.Moments {
		moments = append(moments, quarantine.NewMoment(timeOf(now, moment.Age), moment.Servers, moment.Prompts).
			WithSound(moment.Sound).
			WithMatched(moment.Matched))
	}
	var servers []dispatch.LearnedServer
	for _, server := range m.Servers {
		servers = append(servers, server.decode(now))
	}
	var unsettled []dispatch.UnsettledRequest
	for _, request := range m.Unsettled {
		unsettled = append(unsettled, dispatch.NewUnsettledRequest(request.ID, request.Server, timeOf(now, request.SentAge), request.Parts, request.Fingerprint))
	}
	return dispatch.NewLearned(m.Service).
		WithEvidence(quarantine.NewEvidence(suspicions...).WithMoments(moments...).WithSettled(decodeSettled(now, m.Settled), decodeSettled(now, m.SettledParts))).
		WithServers(servers).
		WithUnsettled(unsettled)
}

func encodeSettled(now time.Time, requests []quarantine.SettledRequest) []settledMessage {
	var out []settledMessage
	for _, r := range requests {
		out = append(out, settledMessage{Age: ageOf(now, r.At()), Parts: r.Parts()})
	}
	return out
}

func decodeSettled(now time.Time, messages []settledMessage) []quarantine.SettledRequest {
	var out []quarantine.SettledRequest
	for _, m := range messages {
		out = append(out, quarantine.NewSettledRequest(timeOf(now, m.Age), m.Parts))
	}
	return out
}

func encodeLearnedServer(now time.Time, server dispatch.LearnedServer) learnedServerMessage {
	failures := server.Failures()
	level, levelAt := server.LimitLevel()
	return learnedServerMessage{
		Server: server.Incarnation().ID(), Start: server.Incarnation().StartUnixMilli(),
		OutcomeAge: ageOf(now, failures.At()), Consecutive: failures.Consecutive(), Blamers: failures.Blamers(),
		FailureRate: failures.Rate(), Unresponsive: failures.Unresponsive(),
		SuspendedFor: max(0, failures.SuspendedUntil().Sub(now)), RefusedFor: max(0, failures.RefusedUntil().Sub(now)),
		LimitLevel: level, LimitAge: ageOf(now, levelAt),
	}
}

func (m learnedServerMessage) decode(now time.Time) dispatch.LearnedServer {
	failures := dispatch.NewFailures(timeOf(now, m.OutcomeAge), m.Consecutive, m.Blamers, m.FailureRate, m.Unresponsive).
		WithSuspension(untilOf(now, m.SuspendedFor), untilOf(now, m.RefusedFor))
	return dispatch.NewLearnedServer(routing.NewIncarnation(m.Server, m.Start)).
		WithFailures(failures).
		WithLimitLevel(m.LimitLevel, timeOf(now, m.LimitAge))
}

// untilOf returns the end of a time that lasts for so much longer, zero if it is over.
func untilOf(now time.Time, left time.Duration) time.Time {
	if left <= 0 {
		return time.Time{}
	}
	return now.Add(min(left, maxRefusal))
}

// handleLearned takes over what another entry has learned.
func (c *control) handleLearned(call learnedMessage) (emptyReply, error) {
	if !c.do(func(now time.Time) { c.applyLearned(now, call) }) {
		return emptyReply{}, eris.Wrap(errCall, "stopping")
	}
	return emptyReply{}, nil
}

// applyLearned takes over what another entry has learned, and passes on what others need.
func (c *control) applyLearned(now time.Time, message learnedMessage) {
	c.mergeLearned(now, message)
	for _, h := range c.handoversToPassOn(now, message) {
		c.tell(h)
	}
}

// mergeLearned adds what another entry has learned.
func (c *control) mergeLearned(now time.Time, message learnedMessage) {
	c.mergeNotices(now, message.From, message.Notices) // before the levels of the limits
	c.mergeRepeats(now, message.Repeats)
	for _, m := range message.Services {
		learned := m.decode(now)
		c.scheduler.MergeLearned(now, learned)
		c.handovers.merged.Add(1)
		c.log.Info("learned state taken over", append(m.logFields(), "entry", message.From, "hops", message.Hops, "scheduling", c.scheduler.Primary(m.Service))...)
	}
}

// handoversToPassOn returns what another entry has learned of services that this one does
// not schedule after it, for the entries that do.
func (c *control) handoversToPassOn(now time.Time, message learnedMessage) []handover {
	if message.Hops >= maxHandoverHops {
		return nil
	}
	var out []handover
	for _, m := range message.Services {
		next := c.members.schedulerWithout(now, m.Service, map[string]bool{message.From: true})
		if next == nil {
			continue
		}
		h := handover{to: next.memberMessage, message: message}
		h.message.Hops++
		h.message.Services = []learnedServiceMessage{m}
		out = append(out, h)
	}
	return out
}

// handover is what an entry is told.
type handover struct {
	to      memberMessage
	message learnedMessage
}

// handOver tells the entries that follow this one, as it stops, what it has learned, and
// waits until they know it. An entry that can't be reached is passed over.
func (c *control) handOver(ctx context.Context) {
	gone := map[string]bool{c.members.self.ID: true}
	told := make(map[string]bool)
	for range handoverAttempts {
		var calls []handover
		c.do(func(now time.Time) { calls = c.stopHandovers(now, gone, told) })
		failed := make([]bool, len(calls))
		var sending sync.WaitGroup
		for i, call := range calls {
			sending.Go(func() { failed[i] = errors.Is(c.sendHandover(ctx, call), mesh.ErrUnreachable) })
		}
		sending.Wait()
		for i, call := range calls {
			if failed[i] {
				gone[call.to.ID] = true
				continue
			}
			for _, m := range call.message.Services {
				told[m.Service] = true
			}
		}
	}
}

// stopHandovers returns what is to be told to entries that follow this one, of services not
// yet told, once some entries are gone.
func (c *control) stopHandovers(now time.Time, gone, told map[string]bool) []handover {
	services := make(map[string][]string)
	to := make(map[string]memberMessage)
	for _, service := range c.cache.services() {
		if told[service] || !c.scheduler.HoldsLearned(service) {
			continue
		}
		if next := c.members.schedulerWithout(now, service, gone); next != nil {
			services[next.ID] = append(services[next.ID], service)
			to[next.ID] = next.memberMessage
		}
	}
	var out []handover
	for id := range to {
		if message := c.encodeLearned(now, services[id]); len(message.Services) > 0 {
			out = append(out, handover{to: to[id], message: message})
		}
	}
	return out
}

// handOverTo tells another entry what this one has learned of a service that the other one
// schedules from now on.
func (c *control) handOverTo(now time.Time, service string, to *member) {
	if now.Sub(c.handedOverAt[service]) < minHandoverInterval {
		return
	}
	message := c.encodeLearned(now, []string{service})
	if len(message.Services) == 0 {
		return
	}
	c.handedOverAt[service] = now
	c.tell(handover{to: to.memberMessage, message: message})
}

// sendHandover tells an entry what was learned. An entry of a version that does not know
// the call refuses it, and learns anew.
func (c *control) sendHandover(ctx context.Context, h handover) error {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	started := c.timers.Now()
	err := c.caller.Call(ctx, h.to.PeerAddress, callLearned, h.message, &emptyReply{})
	took := c.timers.Now().Sub(started)
	for _, m := range h.message.Services {
		fields := append(m.logFields(), "to", h.to.ID, "from", h.message.From, "hops", h.message.Hops, "took", took)
		if err != nil {
			c.handovers.failed.Add(1)
			c.log.Warn("learned state not handed over", append(fields, "error", err)...)
			continue
		}
		c.handovers.sent.Add(1)
		c.log.Info("learned state handed over", fields...)
	}
	return err
}

// logFields returns what a log line states of the message.
func (m learnedServiceMessage) logFields() []any {
	return []any{
		"service", m.Service, "suspicions", len(m.Suspicions), "moments", len(m.Moments), "settled", len(m.Settled),
		"servers", len(m.Servers), "unsettled", len(m.Unsettled),
	}
}
