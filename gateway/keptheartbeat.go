package gateway

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"

	"greengagedock.example/routing"
)

// What entries keep of the past of a restored store spreads with heartbeats and the
// responses to them, so that an entry that was cut off, or starts now, knows it too.

// keptHeartbeat is a heartbeat, or the response to one, with what the sender keeps of
// the store's past.
type keptHeartbeat struct {
	heartbeatMessage
	// KeptDigest is storeCache.keptDigest of the sender. A response lists Kept if the
	// digests differ.
	KeptDigest uint64
	// Baseline is the packed storeCache.baseline of the sender.
	Baseline int64
	Kept     []keptMessage
}

// keptMessage is a kept item. Remaining is how much longer it is kept, 0 if that
// depends on the store alone.
type keptMessage struct {
	Item      itemMessage
	Remaining time.Duration
}

// EncodeMsgpack encodes what is kept only if there is any, and then all fields by name:
// a version without these fields skips them.
func (m keptHeartbeat) EncodeMsgpack(encoder *msgpack.Encoder) error {
	if m.KeptDigest == 0 && m.Baseline == 0 && len(m.Kept) == 0 {
		return encoder.Encode(m.heartbeatMessage)
	}
	type fields keptHeartbeat
	encoder.UseArrayEncodedStructs(false)
	defer encoder.UseArrayEncodedStructs(true)
	return encoder.Encode(fields(m))
}

// DecodeMsgpack decodes both forms.
func (m *keptHeartbeat) DecodeMsgpack(decoder *msgpack.Decoder) error {
	code, err := decoder.PeekCode()
	if err != nil {
		return err
	}
	if msgpcode.IsFixedMap(code) || code == msgpcode.Map16 || code == msgpcode.Map32 {
		type fields keptHeartbeat
		return decoder.Decode((*fields)(m))
	}
	return decoder.Decode(&m.heartbeatMessage)
}

// withKeptDigest returns a heartbeat with a digest of what this entry keeps.
func (c *control) withKeptDigest(heartbeat heartbeatMessage) keptHeartbeat {
	out := keptHeartbeat{heartbeatMessage: heartbeat, KeptDigest: c.cache.keptDigest()}
	if out.KeptDigest != 0 {
		out.Baseline = c.cache.baseline.Packed()
	}
	return out
}

// answerKept returns the response to a heartbeat with what this entry keeps, if it
// differs from what the sender does.
func (c *control) answerKept(now time.Time, heartbeat keptHeartbeat, reply heartbeatMessage) keptHeartbeat {
	out := c.withKeptDigest(reply)
	if heartbeat.KeptDigest == out.KeptDigest || !c.sameEra(heartbeat) {
		return out
	}
	out.Baseline = c.cache.baseline.Packed()
	for _, kept := range c.cache.kept {
		if !kept.relayed() {
			continue
		}
		message := keptMessage{Item: encodeItem(kept.item, c.cache.compress(kept.item))}
		if !kept.until.IsZero() {
			message.Remaining = kept.until.Sub(now)
		}
		out.Kept = append(out.Kept, message)
	}
	return out
}

// applyKept takes over what another entry keeps of the past of the same era.
func (c *control) applyKept(now time.Time, heartbeat keptHeartbeat) {
	if heartbeat.Baseline == 0 || !c.sameEra(heartbeat) {
		return
	}
	changed := c.cache.lowerBaseline(routing.UnpackRevision(heartbeat.Baseline))
	for _, message := range heartbeat.Kept {
		if message.Remaining != 0 && message.Remaining < heartbeatTimeout {
			// Entries that pass on to each other what is about to end would prolong it.
			continue
		}
		item, err := message.Item.decode()
		if err != nil {
			c.log.Warn("kept item not taken over", "entry", heartbeat.From.ID, "key", message.Item.Key, "error", err)
			continue
		}
		kept, err := c.cache.decodeKept(item)
		if err != nil {
			c.log.Warn("kept item not taken over", "entry", heartbeat.From.ID, "key", item.key, "error", err)
			continue
		}
		if message.Remaining != 0 {
			kept.until = now.Add(message.Remaining)
		}
		changed = c.cache.merge(now, kept) || changed
	}
	if changed {
		c.cacheChanged(now)
	}
}

// sameEra reports whether the sender of a heartbeat has content of the era of this
// entry's.
func (c *control) sameEra(heartbeat keptHeartbeat) bool {
	return routing.UnpackRevision(heartbeat.Revision).Era() == c.cache.revision.Era()
}
