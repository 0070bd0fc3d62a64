package backend

// Part of a server's memory that a part of a prompt may take, so that short
// prompts keep theirs while a group works.
const groupShareNum, groupShareDen = reserveDen - 1, reserveDen

// NeedsGroup reports whether a request needs more memory than one server of
// the bearing has.
func (b Capacity) NeedsGroup(cost Cost) bool {
	return b.warm.tokens > 0 && cost.Tokens() > b.warm.tokens
}

// SplitCost returns the costs of the parts in which servers of the bearing
// hold a request together: as few as can be, alike in size, each at most
// seven eighths of a server's memory, the answer with the last. It is nil if
// no number of parts will do.
func (b Capacity) SplitCost(cost Cost) []Cost {
	limit := b.warm.tokens * groupShareNum / groupShareDen
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
