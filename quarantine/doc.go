// Package quarantine finds what crashes backend servers and keeps it away from them: parts
// of prompts, which a Registry finds, and single requests that come again, which Repeats
// finds. Both learn from the ends of servers and from answers that go well. The package does
// no I/O and reads no clock.
//
// # Evidence
//
// A request is unsettled until its answer has gone on for SettleTime. A part is suspect
// if requests with it were unsettled on several servers as these ended, at different
// moments, and no request with it settled shortly before an end or since. Servers that
// end together, as with a lost failure domain, are evidence once. An end that a suspect
// part explains is no evidence against the other parts of that moment. Parts that
// always came together are suspect together: only a request with all of them is
// refused, until a request with some of them settles. The more of the other requests are
// unsettled as their servers end, the more moments are required, and nothing is suspect
// while only requests with the part settle: servers that end for other causes, one after
// the other or as they start, must not let a common part be blamed.
//
// # Quarantine
//
// Requests with the parts of a Suspicion are refused for a time. After that one request
// at a time is let through, over all suspicions: if it settles, the suspicion is cleared,
// and if its server ends, the time doubles.
//
// # Repeats
//
// Sound requests share the parts of their prompts, so that it takes statistics to blame one.
// A request that comes again is known by its Fingerprint, and one that crashes servers has
// never settled: three ends at two moments are enough, unless another request accounts for
// all of them. What is known of it is a set of ends, which merges in any order, so that each
// entry may learn it from any other one. It is refused, and let through twice until it is
// forgotten.
package quarantine
