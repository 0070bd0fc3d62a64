/*
 * Entries over a store that is restored from a copy.
 *
 * The rule is in docs/design/store_era.md. The store has one configuration and other
 * items; each change gets the next number, and each restore, RESTORES times, begins a new
 * era, in which the numbers after the copy's are assigned again. The operator publishes
 * versions up to NEWEST and writes the newest one again, at any time after a restore.
 * Entries read all items, watch the changes after the number that they know, and relay
 * what they know. Responses of the store may arrive at any later time. Entries are killed
 * KILLS times, at any time, and forget all.
 *
 * Properties: the configuration in force never goes back in one lifetime of an entry; two
 * entries with the same revision have read the same content; an entry with the store's
 * revision has the store's configuration or a later one.
 *
 * Options that leave out a part of the rule:
 *   IGNORE_ERA    revisions are compared by their number alone
 *   TRUST_COPY    the configuration of a new era replaces the one in force
 *   WATCH_ON      a watch goes on over a restore if the store has its number
 */

#ifndef RESTORES
#define RESTORES 2
#endif
#ifndef KILLS
#define KILLS 1
#endif
#ifndef NEWEST
#define NEWEST 3
#endif
#ifndef WRITES
#define WRITES 4
#endif

typedef Content {
	byte era;
	byte number;
	byte write;        /* identifies the last change, in all eras */
	byte version;      /* of the configuration */
	byte versionNumber /* the number of its change */
}

Content store;
Content copy;
Content known[2];      /* the version is the one in force */
Content response[2];   /* on its way to the entry, none if write is 0 */
bit  whole[2];         /* the response lists all items */

byte published;
byte writes;
byte restores = RESTORES;
byte kills = KILLS;

#define MAX(a, b) (a > b -> a : b)

#ifdef IGNORE_ERA
#define LATER(a, b) (a.number > b.number)
#define SAME(a, b) (a.number == b.number)
#else
#define LATER(a, b) (a.era > b.era || (a.era == b.era && a.number > b.number))
#define SAME(a, b) (a.era == b.era && a.number == b.number)
#endif

#ifdef TRUST_COPY
#define IN_FORCE(have, read) read
#else
#define IN_FORCE(have, read) MAX(have, read)
#endif

inline set(to, from) {
	to.era = from.era;
	to.number = from.number;
	to.write = from.write;
	to.version = from.version;
	to.versionNumber = from.versionNumber
}

inline change() {
	writes++;
	store.number++;
	store.write = writes
}

/* Entry i takes over what it read, or heard from the other one. */
inline apply(i, from, all) {
	if
	:: LATER(from, known[i]) ->
		if
		:: all || from.versionNumber > known[i].number ->
			assert(IN_FORCE(known[i].version, from.version) >= known[i].version);
			known[i].version = IN_FORCE(known[i].version, from.version)
		:: else
		fi;
		known[i].era = from.era;
		known[i].number = from.number;
		known[i].write = from.write;
		known[i].versionNumber = from.versionNumber
	:: else
	fi;
	assert(!(known[0].write > 0 && known[1].write > 0 && SAME(known[0], known[1])) || known[0].write == known[1].write);
	assert(!(known[i].write > 0 && SAME(known[i], store)) || known[i].version >= store.version)
}

/* The changes that a watch answers are those after the entry's number; in another era the
   entry drops them and reads all items. */
#if defined(IGNORE_ERA) || defined(WATCH_ON)
#define MAY_WATCH(i) (known[i].write > 0 && store.number > known[i].number)
#else
#define MAY_WATCH(i) (known[i].write > 0 && store.era == known[i].era && store.number > known[i].number)
#endif

proctype Entry(byte i) {
	do
	:: d_step { response[i].write == 0 -> set(response[i], store); whole[i] = 1 }
	:: d_step { response[i].write == 0 && MAY_WATCH(i) -> set(response[i], store); whole[i] = 0 }
	:: d_step { response[i].write > 0 ->
		apply(i, response[i], whole[i]);
		response[i].era = 0;
		response[i].number = 0;
		response[i].write = 0;
		response[i].version = 0;
		response[i].versionNumber = 0;
		whole[i] = 0 }
	:: d_step { known[1 - i].write > 0 -> apply(i, known[1 - i], 1) }
	:: d_step { kills > 0 && known[i].write > 0 ->
		kills--;
		known[i].era = 0;
		known[i].number = 0;
		known[i].write = 0;
		known[i].version = 0;
		known[i].versionNumber = 0;
		response[i].era = 0;
		response[i].number = 0;
		response[i].write = 0;
		response[i].version = 0;
		response[i].versionNumber = 0;
		whole[i] = 0 }
#ifdef WITNESS
	:: d_step { restores == 0 && kills == 0 && known[0].era == RESTORES && known[1].era == RESTORES &&
		known[0].version == NEWEST && known[1].version == NEWEST -> assert(false) }
#endif
	od
}

proctype Store() {
	do
	/* The operator publishes a version, or writes the newest one again. */
	:: d_step { writes < WRITES && published < NEWEST ->
		published++;
		change();
		store.version = published;
		store.versionNumber = store.number }
	:: d_step { writes < WRITES && store.version < published ->
		change();
		store.version = published;
		store.versionNumber = store.number }
	/* A server writes. */
	:: d_step { writes < WRITES -> change() }
	:: d_step { set(copy, store) }
	:: d_step { restores > 0 ->
		restores--;
		store.era++;
		store.number = copy.number;
		store.write = copy.write;
		store.version = copy.version;
		store.versionNumber = copy.versionNumber }
	od
}

init {
	atomic {
		published = 1;
		writes = 1;
		store.number = 1;
		store.write = 1;
		store.version = 1;
		store.versionNumber = 1;
		set(copy, store);
		run Entry(0);
		run Entry(1);
		run Store()
	}
}
