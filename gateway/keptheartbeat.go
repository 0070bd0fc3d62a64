package gateway

import (
	"time"

	"greengagedock.example/routing"
)

// What entries keep of the past of a restored store spreads with heartbeats and the
// responses to them, so that an entry that was cut off, or starts now, knows it too.

// keptMessage is a kept item. Remaining is how much longer it is kept, 0 if that
// depends on the store alone.
type keptMessage struct {
	Item      itemMessage
	Remaining time.Duration
}

// withKeptDigest returns a heartbeat with a digest of what this entry keeps.
func (c *control) withKeptDigest(heartbeat heartbeatMessage) heartbeatMessage {
	heartbeat.KeptDigest = c.cache.keptDigest()
	if heartbeat.KeptDigest != 0 {
		heartbeat.Baseline = c.cache.baseline.Packed()
	}
	return heartbeat
}

// answerKept returns the response to a heartbeat with what this entry keeps, if it
// differs from what the sender does.
func (c *control) answerKept(now time.Time, heartbeat, reply heartbeatMessage) heartbeatMessage {
	out := c.withKeptDigest(reply)
	if heartbeat.KeptDigest == out.KeptDigest || !c.sameEra(heartbeat) {
		return out
	}
	out.Baseline = c.cache.baseline.Packed()
	bytes := 0
	for _, kept := range c.cache.kept { // in random order, so that all are sent in the end
		if !kept.relayed() {
			continue
		}
		if bytes > maxPartBytes {
			break
		}
		message := keptMessage{Item: encodeItem(kept.item, c.cache.compress(kept.item))}
		bytes += len(message.Item.Key) + len(message.Item.Value) + len(message.Item.Compressed) + itemMessageBytes
		if !kept.until.IsZero() {
			message.Remaining = kept.until.Sub(now)
		}
		out.Kept = append(out.Kept, message)
	}
	return out
}

// applyKept takes over what another entry keeps of the past of the same era.
func (c *control) applyKept(now time.Time, heartbeat heartbeatMessage) {
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
func (c *control) sameEra(heartbeat heartbeatMessage) bool {
	return routing.UnpackRevision(heartbeat.Revision).Era() == c.cache.revision.Era()
}
