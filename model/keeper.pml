/*
 * Allocation of a cold backend server's capacity while its keeper, the entry
 * that allocates its slots, changes.
 *
 * The rule is in docs/design/keeper.md. Entries receive the published lists of
 * entries (versions 1 to 3) at any time, in rising order, possibly with gaps,
 * or never. Each list version makes one entry the keeper. There is one cold
 * server, which can take one request at a time.
 *
 * A keeper grants slots only while it holds a quorum lease: a majority of its
 * list has confirmed the list version by acknowledging heartbeats, and every
 * older list is retired, that is without a majority that could confirm another
 * keeper. An acknowledgement counts only from an established incarnation: one
 * for which a majority of its list is known to be established and to have no
 * newer list, or every other member to have no newer list.
 *
 * Time: the validity of an acknowledgement (LEASE, T in the rule), the window
 * in which a granted slot must be used (START_WINDOW, S) and the maximum lag of
 * a load report (REPORT_LAG, R) are one tick each, the last instant included. A
 * wait is one tick longer than the time that it must outlast. A process is
 * paused by not being scheduled, for any number of ticks.
 *
 * Faults: RESTARTS process restarts, each with an empty memory and any list.
 * Messages are lost, since no step is ever forced. A keeper that may grant
 * slots uses every acknowledgement that it could have: with fewer it could
 * only grant less. The exception is what acknowledgements report of lists that
 * the keeper does not know: see mayRetire3.
 *
 * Options that leave out or change a part of the rule:
 *   ORIGINAL               the first design: half of an older list retires it, new
 *                          incarnations are established without asking peers,
 *                          known lists are not reported
 *   IGNORE_VERSIONS        an acknowledgement confirms every list version
 *   NO_WAIT                a new keeper grants slots without waiting
 *   NO_LEASE_WAIT          its wait does not cover the lease of the old keeper
 *   TRUST_LAGGED_REPORT    its wait does not cover the lag of load reports
 *   LEASE_FROM_RECEIPT     an acknowledgement is valid from its receipt on, not
 *                          from when its heartbeat was sent
 *   START_BY_FROM_RECEIPT  the start window counts from the receipt of the slot
 *   NO_START_BY            a slot may be used at any time
 *   NO_OLDER_LISTS         older lists need not be retired
 *   NO_KNOWN_LISTS         acknowledgements do not report the lists that an entry knew
 *   HALF_OF_OLDER          half of an older list is enough to retire it
 *   COUNT_RESTARTED        restarted entries count as having left older lists
 *   NO_ESTABLISHING        new incarnations are established without asking peers
 *   NO_START_WAIT          new incarnations do not wait for old leases to expire
 *   NO_BOOTSTRAP           only established peers can establish an incarnation
 *   BOOTSTRAP_RETIRES_NOTHING
 *                          members that found a list do not retire the older ones
 *   PAUSE_AFTER_CHECK      a pause between the last check of a slot's start-by and
 *                          the server's start is possible
 *   NOT_AFTER_ON_SERVER_CLOCK
 *                          the server rejects requests after their start-by
 */

#ifndef CASE
#define CASE 1
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#ifndef RESTARTABLE
#define RESTARTABLE 31 /* mask of the entries that may restart */
#endif
#ifndef VERSIONS
#define VERSIONS 3
#endif

/* The members of each list, with entries 0 to 4 as bits, and its keeper. */
#if CASE == 1   /* one of three entries is replaced, twice */
#define L1 7    /* 0 1 2 */
#define L2 14   /* 1 2 3 */
#define L3 28   /* 2 3 4 */
#define K1 0
#define K2 3
#define K3 4
#elif CASE == 2 /* two of three are replaced at once, and return */
#define L1 7    /* 0 1 2 */
#define L2 28   /* 2 3 4 */
#define L3 19   /* 0 1 4 */
#define K1 0
#define K2 2
#define K3 1
#elif CASE == 3 /* half of four are replaced at once */
#define L1 15   /* 0 1 2 3 */
#define L2 28   /* 2 3 4 */
#define L3 30   /* 1 2 3 4 */
#define K1 0
#define K2 4
#define K3 1
#elif CASE == 4 /* the whole list is replaced at once, twice */
#define L1 1    /* 0 */
#define L2 2    /* 1 */
#define L3 4    /* 2 */
#define K1 0
#define K2 1
#define K3 2
#endif

#define LEASE 1
#define START_WINDOW 1
#define REPORT_LAG 1
#ifdef NO_WAIT
#define GRANT_WAIT 0
#elif defined(TRUST_LAGGED_REPORT)
#define GRANT_WAIT (LEASE + START_WINDOW + 1)
#elif defined(NO_LEASE_WAIT)
#define GRANT_WAIT (START_WINDOW + REPORT_LAG + 1)
#else
#define GRANT_WAIT (LEASE + START_WINDOW + REPORT_LAG + 1)
#endif

#ifdef NO_START_WAIT
#define START_WAIT 0
#else
#define START_WAIT (LEASE + 1)
#endif

#define BIT(m) (1 << (m))
#define IN(m, set) (((set) >> (m)) & 1)
#define LIST(v) (v == 1 -> L1 : (v == 2 -> L2 : L3))
#define SIZE(set) (IN(0, set) + IN(1, set) + IN(2, set) + IN(3, set) + IN(4, set))

/* Each entry. */
byte listVersion[5];        /* its active list, 0 for none */
byte establishedVersion[5]; /* list version when this incarnation was established, 0 before */
bit  knownList2[5];         /* this incarnation has known list 2 */
byte retiredBelow[5];       /* every list below this version is retired, 0 if that is not known of any */
byte establishedPeers[5];   /* established peers without a newer list */
byte notNewerPeers[5];      /* all peers without a newer list */
byte startWait[5];          /* ticks until a new incarnation may count peers */
byte restarts = RESTARTS;

/*
 * Acknowledgements that are still valid although the state of their sender has
 * changed since, as masks of entries. Indexes 1 to 3 are confirmations of that
 * list version; the others are reports to a keeper of having left an older list.
 */
#define LEFT12 4              /* list 1, reported to keeper 2 */
#define LEFT13 5              /* list 1, reported to keeper 3 */
#define UNAWARE13 6           /* the same, by entries that did not know list 2 */
#define LEFT23 7              /* list 2, reported to keeper 3 */
byte staleAcks[8];            /* of this tick */
byte olderStaleAcks[8];       /* of the tick before */
#define STILL_ACKED(m, index) IN(m, staleAcks[index] | olderStaleAcks[index])

/* The keeper of each list version. */
bit  olderRetired[4];   /* all older lists are retired */
byte grantWait[4];      /* ticks until it may grant the slot */
bit  idleSeen[4];       /* a load report after the wait showed no load */
bit  granted[4];        /* the server's one slot is granted */
byte reclaimWait[4];    /* ticks until a load report without load frees a granted slot */

/* Slots, from the grant to the end of their request. */
#define FREE 0
#define IN_TRANSIT 1    /* from the keeper to the holder, only for START_BY_FROM_RECEIPT */
#define HELD 2
#define CHECKED 3       /* start-by was checked, request not yet at the server, only for PAUSE_AFTER_CHECK */
#define RUNNING 4
byte slot[2];
byte startBy[2];        /* ticks left */
byte grantedBy[2];      /* list version of the keeper that counts it, 0 if none does */

byte running;
byte ticksSinceIdle;    /* ticks since the server was last without load */

#define REPORT_SHOWS_IDLE (ticksSinceIdle <= REPORT_LAG)

/* Confirmations of a list version. */
#ifdef IGNORE_VERSIONS
#define CONFIRMS(m, v) (establishedVersion[m] > 0)
#else
#define CONFIRMS(m, v) (establishedVersion[m] > 0 && listVersion[m] == v)
#endif
#define CONFIRMED(m, v) (IN(m, LIST(v)) && (CONFIRMS(m, v) || STILL_ACKED(m, v)))
#define CONFIRMATIONS(v) (CONFIRMED(0, v) + CONFIRMED(1, v) + CONFIRMED(2, v) + CONFIRMED(3, v) + CONFIRMED(4, v))
#define HAS_MAJORITY(v) (2 * CONFIRMATIONS(v) > SIZE(LIST(v)))

/* Entry m has left list u, as it reports to the keeper of version v. */
#ifdef ORIGINAL
#define HAS_LEFT(m, u, v) (listVersion[m] > u && listVersion[m] <= v)
#elif defined(COUNT_RESTARTED)
#define HAS_LEFT(m, u, v) (establishedVersion[m] > 0 && listVersion[m] > u && listVersion[m] <= v)
#else
#define HAS_LEFT(m, u, v) (establishedVersion[m] > 0 && establishedVersion[m] <= u && listVersion[m] > u && listVersion[m] <= v)
#endif
#define KNOWN_LEFT(m, u, v, index) (IN(m, LIST(u)) && (HAS_LEFT(m, u, v) || STILL_ACKED(m, index)))
#define COUNT_LEFT(u, v, index) (KNOWN_LEFT(0, u, v, index) + KNOWN_LEFT(1, u, v, index) + KNOWN_LEFT(2, u, v, index) + \
	KNOWN_LEFT(3, u, v, index) + KNOWN_LEFT(4, u, v, index))
#define KNOWS_LIST2(m) knownList2[m]
#define LEFT_UNAWARE(m) (IN(m, L1) && (HAS_LEFT(m, 1, 3) && !KNOWS_LIST2(m) || STILL_ACKED(m, UNAWARE13)))
#define COUNT_LEFT_UNAWARE (LEFT_UNAWARE(0) + LEFT_UNAWARE(1) + LEFT_UNAWARE(2) + LEFT_UNAWARE(3) + LEFT_UNAWARE(4))
#if defined(ORIGINAL) || defined(HALF_OF_OLDER)
#define RETIRES(n, u) (2 * (n) >= SIZE(LIST(u)))
#else
#define RETIRES(n, u) (2 * (n) > SIZE(LIST(u)))
#endif

/* The keeper of version v knows from an established entry that lists below u are retired. */
#define REPORTS_RETIRED(m, u, v) (establishedVersion[m] > 0 && listVersion[m] <= v && retiredBelow[m] >= u)
#define KNOWN_RETIRED(u, v) (REPORTS_RETIRED(0, u, v) || REPORTS_RETIRED(1, u, v) || REPORTS_RETIRED(2, u, v) || REPORTS_RETIRED(3, u, v) || REPORTS_RETIRED(4, u, v))

#ifdef NO_OLDER_LISTS
#define mayRetire2(k) true
#define mayRetire3(k) true
#else
#define mayRetire2(k) (KNOWN_RETIRED(2, 2) || KNOWN_RETIRED(1, 2) && RETIRES(COUNT_LEFT(1, 2, LEFT12), 1))
/*
 * Keeper 3 knows list 2, and both older lists are retired; or it does not, and
 * list 1 was retired by entries that do not know list 2 either.
 */
#define mayRetire3(k) (KNOWN_RETIRED(3, 3) || \
	RETIRES(COUNT_LEFT(2, 3, LEFT23), 2) && (KNOWN_RETIRED(2, 3) || KNOWN_RETIRED(1, 3) && RETIRES(COUNT_LEFT(1, 3, LEFT13), 1)) || \
	!KNOWS_LIST2(k) && retiredUnawareOf2)
#if defined(NO_KNOWN_LISTS) || defined(ORIGINAL)
#define retiredUnawareOf2 (KNOWN_RETIRED(1, 3) && RETIRES(COUNT_LEFT(1, 3, LEFT13), 1))
#else
#define retiredUnawareOf2 (KNOWN_RETIRED(1, 3) && RETIRES(COUNT_LEFT_UNAWARE, 1))
#endif
#endif

#define IS_KEEPER(k, v) (listVersion[k] == v && establishedVersion[k] > 0)

/* Entry m changes its state: acknowledgements of the old state remain valid until they expire. */
inline keepStaleAcks(m, restarting) {
	staleAcks[1] = staleAcks[1] | (CONFIRMS(m, 1) -> BIT(m) & L1 : 0);
	staleAcks[2] = staleAcks[2] | (CONFIRMS(m, 2) -> BIT(m) & L2 : 0);
	staleAcks[3] = staleAcks[3] | (CONFIRMS(m, 3) -> BIT(m) & L3 : 0);
	staleAcks[LEFT12] = staleAcks[LEFT12] | (HAS_LEFT(m, 1, 2) -> BIT(m) & L1 : 0);
	staleAcks[LEFT13] = staleAcks[LEFT13] | (restarting && HAS_LEFT(m, 1, 3) -> BIT(m) & L1 : 0);
	staleAcks[UNAWARE13] = staleAcks[UNAWARE13] | (restarting && HAS_LEFT(m, 1, 3) && !KNOWS_LIST2(m) -> BIT(m) & L1 : 0);
	staleAcks[LEFT23] = staleAcks[LEFT23] | (restarting && HAS_LEFT(m, 2, 3) -> BIT(m) & L2 : 0)
}

inline dropGrants(v) {
	grantedBy[0] = (grantedBy[0] == v -> 0 : grantedBy[0]);
	grantedBy[1] = (grantedBy[1] == v -> 0 : grantedBy[1])
}

inline dropAcks(index) {
	staleAcks[index] = 0;
	olderStaleAcks[index] = 0
}

inline resetKeeper(v) {
	dropAcks(v);
	if
	:: v == 2 -> dropAcks(LEFT12)
	:: v == 3 -> dropAcks(LEFT13); dropAcks(UNAWARE13); dropAcks(LEFT23)
	:: else
	fi;
	olderRetired[v] = 0;
	grantWait[v] = 0;
	idleSeen[v] = 0;
	granted[v] = 0;
	reclaimWait[v] = 0;
	dropGrants(v)
}

/* Entry m has restarted, or leaves a list under which it is the keeper. */
inline resetKeeperAt(m, restarting) {
	if
	:: m == K1 -> resetKeeper(1)
	:: m == K2 && (restarting || listVersion[m] == 2) -> resetKeeper(2)
	:: m == K3 && restarting -> resetKeeper(3)
	:: else
	fi
}

inline activateList(m, v) {
	keepStaleAcks(m, false);
	resetKeeperAt(m, false);
	listVersion[m] = v;
	knownList2[m] = (v == 2 -> 1 : knownList2[m]);
	establishedPeers[m] = 0;
	notNewerPeers[m] = 0
}

inline restart(m) {
	keepStaleAcks(m, true);
	restarts--;
	listVersion[m] = 0;
	establishedVersion[m] = 0;
	knownList2[m] = 0;
	retiredBelow[m] = 0;
	establishedPeers[m] = 0;
	notNewerPeers[m] = 0;
	startWait[m] = START_WAIT;
	resetKeeperAt(m, true)
}

/* Peer j acknowledges a heartbeat of the new incarnation m. */
#define NOT_NEWER(m, j) (j != m && IN(j, LIST(listVersion[m])) && listVersion[j] > 0 && listVersion[j] <= listVersion[m])

inline askPeer(m, j) {
	notNewerPeers[m] = notNewerPeers[m] | (NOT_NEWER(m, j) -> BIT(j) : 0);
	establishedPeers[m] = establishedPeers[m] | (NOT_NEWER(m, j) && establishedVersion[j] > 0 -> BIT(j) : 0)
}

#define MAJORITY_ESTABLISHED(m) (2 * SIZE(establishedPeers[m]) > SIZE(LIST(listVersion[m])))
#define ALL_NOT_NEWER(m) (((notNewerPeers[m] | BIT(m)) & LIST(listVersion[m])) == LIST(listVersion[m]))

inline establish(m) {
	establishedVersion[m] = listVersion[m];
	establishedPeers[m] = 0;
	notNewerPeers[m] = 0
}

proctype Entry(byte m) {
	do
	:: d_step { listVersion[m] < 1 && IN(m, L1) -> activateList(m, 1) }
	:: d_step { listVersion[m] < 2 && (IN(m, L2) || listVersion[m] > 0) -> activateList(m, 2) }
	:: d_step { VERSIONS == 3 && listVersion[m] < 3 && (IN(m, L3) || listVersion[m] > 0) -> activateList(m, 3) }
	:: d_step { restarts > 0 && IN(m, RESTARTABLE) && listVersion[m] > 0 -> restart(m) }
#if defined(NO_ESTABLISHING) || defined(ORIGINAL)
	:: d_step { listVersion[m] > 0 && establishedVersion[m] == 0 && startWait[m] == 0 -> establish(m); retiredBelow[m] = 1 }
#else
	:: d_step { listVersion[m] > 0 && establishedVersion[m] == 0 && startWait[m] == 0 ->
		askPeer(m, 0);
		askPeer(m, 1);
		askPeer(m, 2);
		askPeer(m, 3);
		askPeer(m, 4) }
	:: d_step { establishedVersion[m] == 0 && listVersion[m] > 0 && MAJORITY_ESTABLISHED(m) -> establish(m) }
#ifndef NO_BOOTSTRAP
	:: d_step { establishedVersion[m] == 0 && listVersion[m] > 0 && startWait[m] == 0 && ALL_NOT_NEWER(m) ->
#ifndef BOOTSTRAP_RETIRES_NOTHING
		retiredBelow[m] = (establishedPeers[m] == 0 -> listVersion[m] : 0);
#endif
		establish(m) }
#endif
#endif
	od
}

inline grant(i, v) {
#ifdef START_BY_FROM_RECEIPT
	slot[i] = IN_TRANSIT;
#else
	slot[i] = HELD;
#endif
	startBy[i] = START_WINDOW + 1;
	grantedBy[i] = v
}

inline retireOlder(k, v) {
	olderRetired[v] = 1;
	retiredBelow[k] = v;
	grantWait[v] = GRANT_WAIT
}

proctype Keeper(byte k; byte v) {
	do
	:: d_step { v == 1 && IS_KEEPER(k, v) && !olderRetired[v] && KNOWN_RETIRED(1, 1) -> retireOlder(k, v) }
	:: d_step { v == 2 && IS_KEEPER(k, v) && !olderRetired[v] && mayRetire2(k) -> retireOlder(k, v) }
	:: d_step { v == 3 && IS_KEEPER(k, v) && !olderRetired[v] && mayRetire3(k) -> retireOlder(k, v) }
	:: d_step { IS_KEEPER(k, v) && olderRetired[v] && grantWait[v] == 0 && !idleSeen[v] && REPORT_SHOWS_IDLE -> idleSeen[v] = 1 }
	:: d_step { IS_KEEPER(k, v) && idleSeen[v] && !granted[v] && HAS_MAJORITY(v) && (slot[0] == FREE || slot[1] == FREE) ->
#ifdef WITNESS
		assert(v != WITNESS);
#endif
		granted[v] = 1;
		reclaimWait[v] = START_WINDOW + REPORT_LAG + 1;
		if
		:: slot[0] == FREE -> grant(0, v)
		:: else -> grant(1, v)
		fi }
	:: d_step { IS_KEEPER(k, v) && granted[v] && reclaimWait[v] == 0 && REPORT_SHOWS_IDLE ->
		granted[v] = 0;
		dropGrants(v) }
	od
}

inline release(i) {
	granted[grantedBy[i]] = 0; /* no effect if the keeper has reclaimed the slot */
	slot[i] = slot[1]; /* slots in use come first, which saves states */
	startBy[i] = startBy[1];
	grantedBy[i] = grantedBy[1];
	slot[1] = FREE;
	startBy[1] = 0;
	grantedBy[1] = 0
}

inline start(i) {
	slot[i] = RUNNING;
	startBy[i] = 0;
	running++;
	assert(running <= 1)
}

#ifdef NOT_AFTER_ON_SERVER_CLOCK
#define SERVER_ACCEPTS(i) (startBy[i] > 0)
#else
#define SERVER_ACCEPTS(i) true   /* no start-by on the request, or one relative to its sending or arrival */
#endif

proctype Slot(byte i) {
	do
#ifdef START_BY_FROM_RECEIPT
	:: d_step { slot[i] == IN_TRANSIT -> slot[i] = HELD }
#endif
#ifdef PAUSE_AFTER_CHECK
	:: d_step { slot[i] == HELD && startBy[i] > 0 -> slot[i] = CHECKED }
	:: d_step { slot[i] == CHECKED && SERVER_ACCEPTS(i) -> start(i) }
	:: d_step { slot[i] == CHECKED && !SERVER_ACCEPTS(i) -> release(i) }
#elif defined(NO_START_BY)
	:: d_step { slot[i] == HELD -> start(i) }
#else
	:: d_step { slot[i] == HELD && startBy[i] > 0 -> start(i) }
#endif
	:: d_step { slot[i] == HELD && startBy[i] == 0 -> release(i) }
	:: d_step { slot[i] == RUNNING ->
		running--;
		ticksSinceIdle = (running == 0 -> 0 : ticksSinceIdle);
		release(i) }
	od
}

#define DECREMENT(x) x = (x > 0 -> x - 1 : 0)

inline expireAcks(index) {
#ifdef LEASE_FROM_RECEIPT
	olderStaleAcks[index] = olderStaleAcks[index] | staleAcks[index];
#else
	olderStaleAcks[index] = staleAcks[index];
#endif
	staleAcks[index] = 0
}

proctype Clock() {
	do
	:: d_step {
		true;
		expireAcks(1);
		expireAcks(2);
		expireAcks(3);
		expireAcks(LEFT12);
		expireAcks(LEFT13);
		expireAcks(UNAWARE13);
		expireAcks(LEFT23);
		DECREMENT(grantWait[1]);
		DECREMENT(grantWait[2]);
		DECREMENT(grantWait[3]);
		DECREMENT(reclaimWait[1]);
		DECREMENT(reclaimWait[2]);
		DECREMENT(reclaimWait[3]);
		DECREMENT(startWait[0]);
		DECREMENT(startWait[1]);
		DECREMENT(startWait[2]);
		DECREMENT(startWait[3]);
		DECREMENT(startWait[4]);
		startBy[0] = (slot[0] == IN_TRANSIT || startBy[0] == 0 -> startBy[0] : startBy[0] - 1);
		startBy[1] = (slot[1] == IN_TRANSIT || startBy[1] == 0 -> startBy[1] : startBy[1] - 1);
		ticksSinceIdle = (running == 0 -> 0 : (ticksSinceIdle <= REPORT_LAG -> ticksSinceIdle + 1 : ticksSinceIdle)) }
	od
}

inline initEntry(m) {
	listVersion[m] = (IN(m, L1) -> 1 : 0);
	establishedVersion[m] = listVersion[m];
	retiredBelow[m] = listVersion[m];
	startWait[m] = 0
}

init {
	atomic {
		initEntry(0);
		initEntry(1);
		initEntry(2);
		initEntry(3);
		initEntry(4);
		run Entry(0);
		run Entry(1);
		run Entry(2);
		run Entry(3);
		run Entry(4);
		run Keeper(K1, 1);
		run Keeper(K2, 2);
		run Keeper(K3, 3);
		run Slot(0);
		run Slot(1);
		run Clock()
	}
}
