/*
 * The active version of a configuration document never goes back.
 *
 * The rule is in docs/design/configuration.md. The platform publishes versions
 * 1 to NEWEST of one document; version INVALID is invalid. A read returns any
 * version published so far, since replicas may be stale for any time. Three
 * entries relay the document to each other. Instances are replaced REPLACEMENTS
 * times, one at a time: only while all serve. A new instance has an empty
 * memory.
 *
 * Faults: stale reads, lost relays and pauses (no step is forced); CUTS times,
 * one entry cannot reach its peers, for any time.
 *
 * With ALL_AT_ONCE and with ANY_ORDER, instances are replaced at any time, even
 * all at once. ANY_ORDER only requires that the versions of reachable peers are
 * kept.
 *
 * Options that leave out or change a part of the rule:
 *   TRUST_PLATFORM         an entry activates an older version that it reads
 *   SERVE_WITHOUT_ASKING   a new instance serves whatever version it has
 *   ASK_ONE                it serves once one serving peer has answered
 *   SERVE_ALONE            it may serve without having reached any peer
 *   NO_VALIDATION          invalid versions are not rejected
 *   RELAY_NEWEST_ONLY      an entry relays only the newest version that it saw, even
 *                          if it is invalid, in which case it relays none
 */

#ifndef REPLACEMENTS
#define REPLACEMENTS 3
#endif
#ifndef CUTS
#define CUTS 2
#endif
#ifndef NEWEST
#define NEWEST 4
#endif
#define INVALID 3

byte published = 1;
byte replacements = REPLACEMENTS;
byte cuts = CUTS;

byte version[3];             /* newest valid version that the entry knows, 0 for none; active if the entry serves */
byte newestSeen[3];          /* newest version that it saw, valid or not, only for RELAY_NEWEST_ONLY */
bit  serving[3];
byte answeredPeers[3];       /* mask of the peers that answered a new instance */
bit  servingPeerAnswered[3]; /* one of them serves */
bit  isolated[3];            /* the entry reaches no peer */

/* State that the assertions refer to. */
byte servedByAll;            /* newest version that was active at all entries at once */
byte required[9];            /* at 3i+j: version that peer j served when instance i started, 0 if j was unreachable since */

#define BIT(i) (1 << (i))
#define MAX(a, b) (a > b -> a : b)
#define MIN(a, b) (a < b -> a : b)
#define LOWEST_VERSION MIN(version[0], MIN(version[1], version[2]))
#define ALL_SERVE (serving[0] && serving[1] && serving[2])
#define REACHES(i, j) (i != j && !isolated[i] && !isolated[j])
#define ANSWERED(i, j) (i == j || isolated[i] || isolated[j] || ((answeredPeers[i] >> (j)) & 1))

#ifdef NO_VALIDATION
#define VALID(v) true
#else
#define VALID(v) (v != INVALID)
#endif

#ifdef TRUST_PLATFORM
#define ACCEPTS(i, v) VALID(v)
#else
#define ACCEPTS(i, v) (VALID(v) && v > version[i])
#endif

inline updateServedByAll() {
	servedByAll = (ALL_SERVE -> MAX(servedByAll, LOWEST_VERSION) : servedByAll)
}

/* Entry i reads version v from the platform. */
inline readPlatform(i, v) {
	if
	:: ACCEPTS(i, v) ->
		assert(!serving[i] || v >= version[i]);
		assert(v != INVALID);
		version[i] = v
	:: else
	fi;
#ifdef RELAY_NEWEST_ONLY
	newestSeen[i] = MAX(newestSeen[i], v);
#endif
	updateServedByAll()
}

#ifdef RELAY_NEWEST_ONLY
#define OFFERS(j) (newestSeen[j] == INVALID -> 0 : newestSeen[j])
#else
#define OFFERS(j) version[j]
#endif

/* Peer j relays its version to entry i. */
inline relay(i, j) {
	version[i] = MAX(version[i], OFFERS(j));
#ifdef RELAY_NEWEST_ONLY
	newestSeen[i] = MAX(newestSeen[i], newestSeen[j]);
#endif
	updateServedByAll()
}

#if defined(SERVE_WITHOUT_ASKING)
#define MAY_SERVE(i) (version[i] > 0)
#elif defined(ASK_ONE)
#define MAY_SERVE(i) servingPeerAnswered[i]
#elif defined(SERVE_ALONE)
#define MAY_SERVE(i) (ANSWERED(i, 0) && ANSWERED(i, 1) && ANSWERED(i, 2) && version[i] > 0)
#else
/* All reachable peers have answered, and one of them serves; or every peer has answered, and none serves. */
#define MAY_SERVE(i) (ANSWERED(i, 0) && ANSWERED(i, 1) && ANSWERED(i, 2) && \
	(servingPeerAnswered[i] || (answeredPeers[i] | BIT(i)) == 7 && version[i] > 0))
#endif

inline setRequired(i, j) {
	required[3 * i + j] = (REACHES(i, j) && serving[j] -> version[j] : 0)
}

inline clearRequired(i, j) {
	required[3 * j + i] = 0
}

proctype Entry(byte i) {
	byte v;
	do
	:: atomic { select(v : 1 .. published); d_step { readPlatform(i, v); v = 0 } }
	:: d_step { serving[i] && REACHES(i, 0) && serving[0] -> relay(i, 0) }
	:: d_step { serving[i] && REACHES(i, 1) && serving[1] -> relay(i, 1) }
	:: d_step { serving[i] && REACHES(i, 2) && serving[2] -> relay(i, 2) }
	:: atomic { !serving[i] ->
		select(v : 0 .. 2);
		if
		:: REACHES(i, v) -> d_step {
			answeredPeers[i] = answeredPeers[i] | BIT(v);
			servingPeerAnswered[i] = (serving[v] -> 1 : servingPeerAnswered[i]);
			if
			:: serving[v] -> relay(i, v)
			:: else
			fi }
		:: else
		fi;
		v = 0 }
	:: d_step { !serving[i] && MAY_SERVE(i) ->
#ifndef ANY_ORDER
		assert(version[i] >= servedByAll);
#endif
		assert(version[i] >= required[3 * i] && version[i] >= required[3 * i + 1] && version[i] >= required[3 * i + 2]);
		serving[i] = 1;
		answeredPeers[i] = 0;
		servingPeerAnswered[i] = 0;
		required[3 * i] = 0;
		required[3 * i + 1] = 0;
		required[3 * i + 2] = 0;
		updateServedByAll() }
#if defined(ALL_AT_ONCE) || defined(ANY_ORDER)
	:: d_step { replacements > 0 && serving[i] ->
#else
	:: d_step { replacements > 0 && ALL_SERVE ->
#endif
		replacements--;
		serving[i] = 0;
		version[i] = 0;
		newestSeen[i] = 0;
		clearRequired(i, 0);
		clearRequired(i, 1);
		clearRequired(i, 2);
		setRequired(i, 0);
		setRequired(i, 1);
		setRequired(i, 2) }
	:: d_step { cuts > 0 && !isolated[i] ->
		cuts--;
		isolated[i] = 1;
		clearRequired(i, 0);
		clearRequired(i, 1);
		clearRequired(i, 2);
		required[3 * i] = 0;
		required[3 * i + 1] = 0;
		required[3 * i + 2] = 0 }
	:: d_step { isolated[i] -> isolated[i] = 0 }
#ifdef WITNESS
	:: d_step { replacements == 0 && ALL_SERVE && servedByAll == NEWEST -> assert(false) }
#endif
	od
}

proctype Platform() {
	do
	:: published < NEWEST -> published++
	od
}

init {
	atomic {
		version[0] = 1;
		version[1] = 1;
		version[2] = 1;
		newestSeen[0] = 1;
		newestSeen[1] = 1;
		newestSeen[2] = 1;
		serving[0] = 1;
		serving[1] = 1;
		serving[2] = 1;
		servedByAll = 1;
		run Entry(0);
		run Entry(1);
		run Entry(2);
		run Platform()
	}
}
