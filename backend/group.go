package backend

// groupShareNum and groupShareDen give the share of a server's memory that
// one part of a group's prompt may take; the rest stays reserved for short
// prompts.
const groupShareNum, groupShareDen = shortReserveDen - 1, shortReserveDen

// NeedsGroup reports whether a request needs more memory than one server of
// this capacity has.
func (c Capacity) NeedsGroup(cost Cost) bool {
	return c.warm.tokens > 0 && cost.Tokens() > c.warm.tokens
}

// SplitCost splits the cost of a request among a group of servers of this
// capacity, one part per server. The parts are as few as possible and of
// similar size, each at most seven eighths of a server's memory; the answer
// belongs to the last. It returns nil if no number of parts is enough.
func (c Capacity) SplitCost(cost Cost) []Cost {
	limit := c.warm.tokens * groupShareNum / groupShareDen
	if limit <= cost.answer || cost.prompt <= 0 {
		return nil
	}
	count := (cost.Tokens() + limit - 1) / limit
	size := (cost.Tokens() + count - 1) / count
	if size <= cost.answer {
		size = limit
	}
	var parts []Cost
	rest := cost.prompt
	for rest+cost.answer > limit || len(parts)+1 < count && rest > size {
		parts = append(parts, Cost{prompt: min(size, rest-1)})
		rest -= min(size, rest-1)
	}
	return append(parts, Cost{prompt: rest, answer: cost.answer})
}
