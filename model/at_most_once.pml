/*
 * A non-idempotent call runs at most once.
 *
 * The rule is in docs/design/at_most_once.md. The specification follows one
 * call id, issued by incarnation 1 of its owner entry in epoch 0; different ids
 * do not affect each other. The caller makes ATTEMPTS attempts, each at the
 * owner or at another entry, which forwards it to the owner. The backend server
 * runs every call that reaches it.
 *
 * Faults: the owner restarts (RESTARTS); connections break (CUTS), so that the
 * caller makes another attempt while the first request is in progress; a
 * forwarded request is delayed for any time or duplicated (COPIES); every
 * process may pause between any two steps, by not being scheduled. A lost
 * message is one that is never received: whoever waits for it gives up.
 *
 * Options that leave out or change a part of the rule:
 *   NO_TOMBSTONE                a refusal leaves no record
 *   RETRY_AFTER_UNKNOWN         the owner sends a call again when the outcome is unknown
 *   RECORD_AFTER_WRITE          the record is written after the call was sent
 *   ACCEPT_OLD_INCARNATION      the owner accepts ids of an earlier incarnation
 *   EARLY_EPOCH_CHECK           the epoch is checked in a step before the look-up
 *   DROP_RECORD_EARLY           records expire after one epoch, ids after two
 *   NOT_RUN_AFTER_WRITE         the owner reports "not run" after the call was sent
 *   FORWARDER_REPORTS_NOT_RUN   an entry that gets no response from the owner
 *                               reports "not run"
 *   WAIT_FOR_OWNER              it waits for the owner without a timeout
 */

#ifndef ATTEMPTS
#define ATTEMPTS 3
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#ifndef CUTS
#define CUTS 1
#endif

#ifndef COPIES
#define COPIES 1
#endif

#define LAST_EPOCH 2
#define VALID (epoch <= 1)   /* the epoch in which the id was issued, and the next one */

/* Outcomes, as bits of a set of responses in transit. */
#define RAN 1
#define NOT_RUN 2
#define UNKNOWN 4

/* States of the owner's record of the id. */
#define NONE 0
#define STARTED 1            /* the call may have been sent */
#define DONE 2               /* the backend server has responded */
#define TOMBSTONE 3          /* refused: the call never runs */

byte incarnation = 1;        /* of the owner */
byte epoch;                  /* by the owner's clock */
byte record;
byte restarts = RESTARTS;
byte cuts = CUTS;
byte copies = COPIES;

/* Messages in transit. */
byte requestsToOwner;        /* from the caller */
byte requestsToForwarder;    /* from the caller */
byte forwardedRequests;      /* from the forwarder to the owner */
byte responses;              /* outcomes, to the caller */
byte forwardedResponses;     /* outcomes, from the owner to the forwarder */
bit  connectionBroken;       /* the caller sees its connection break */

byte pendingCalls;           /* in transit to the backend server */
byte pendingResults;         /* in transit from the backend server */
byte runs;
bit  reportedNotRun;

inline respond(outcome, forwarded) {
	if
	:: outcome == NOT_RUN ->
		reportedNotRun = 1;
		assert(runs == 0)
	:: else
	fi;
	if
	:: forwarded -> forwardedResponses = forwardedResponses | outcome
	:: else -> responses = responses | outcome
	fi
}

/* Writes the record, unless the id has expired. */
inline setRecord(state) {
	record = (VALID -> state : NONE)
}

#ifdef ACCEPT_OLD_INCARNATION
#define CURRENT_INCARNATION true
#else
#define CURRENT_INCARNATION (incarnation == 1)
#endif

/* Handles requests at the owner, one at a time. There are two handlers, so that requests overlap. */
proctype Handler() {
	bit forwarded;
	byte handlerIncarnation; /* the owner's incarnation that received the request */

endIdle:
	atomic {
		if
		:: requestsToOwner > 0 -> requestsToOwner--; forwarded = 0
		:: forwardedRequests > 0 -> forwardedRequests--; forwarded = 1
		fi;
		handlerIncarnation = incarnation
	}
#ifdef EARLY_EPOCH_CHECK
	/* The validity is checked in one step, and the record is looked up in another. */
	atomic {
		if
		:: handlerIncarnation != incarnation -> goto dead
		:: handlerIncarnation == incarnation && !VALID -> respond(UNKNOWN, forwarded); goto done
		:: handlerIncarnation == incarnation && VALID
		fi
	}
#define STILL_VALID true
#else
#define STILL_VALID VALID
#endif
	atomic {
		if
		:: handlerIncarnation != incarnation -> goto dead
		:: else
		fi;
		if
		:: !CURRENT_INCARNATION || !STILL_VALID -> respond(UNKNOWN, forwarded); goto done
		:: CURRENT_INCARNATION && STILL_VALID && record == TOMBSTONE -> respond(NOT_RUN, forwarded); goto done
		:: CURRENT_INCARNATION && STILL_VALID && record == DONE -> respond(RAN, forwarded); goto done
		:: CURRENT_INCARNATION && STILL_VALID && record == STARTED -> respond(UNKNOWN, forwarded); goto done
		:: CURRENT_INCARNATION && STILL_VALID && record == NONE ->
#ifndef NO_TOMBSTONE
			record = TOMBSTONE;
#endif
			respond(NOT_RUN, forwarded);
			goto done
		:: CURRENT_INCARNATION && STILL_VALID && record == NONE ->
#ifndef RECORD_AFTER_WRITE
			record = STARTED
#else
			skip
#endif
		fi
	}
	atomic {
		if
		:: handlerIncarnation != incarnation -> goto dead
		:: handlerIncarnation == incarnation ->     /* no connection: no byte was sent */
			setRecord(TOMBSTONE);
			respond(NOT_RUN, forwarded);
			goto done
		:: handlerIncarnation == incarnation -> pendingCalls++
		fi
	}
#ifdef RECORD_AFTER_WRITE
	atomic {
		if
		:: handlerIncarnation != incarnation -> goto dead
		:: handlerIncarnation == incarnation -> setRecord(STARTED)
		fi
	}
#endif
	atomic {
		if
		:: handlerIncarnation != incarnation -> goto dead
		:: handlerIncarnation == incarnation && pendingResults > 0 ->
			pendingResults--;
			setRecord(DONE);
			respond(RAN, forwarded)
		:: handlerIncarnation == incarnation ->     /* timeout, or the connection broke */
#ifdef RETRY_AFTER_UNKNOWN
			pendingCalls++;
#endif
#ifdef NOT_RUN_AFTER_WRITE
			respond(NOT_RUN, forwarded)
#else
			respond(UNKNOWN, forwarded)
#endif
		fi
	}
done:
	atomic { forwarded = 0; handlerIncarnation = 0; goto endIdle }
dead:	/* the owner's process has restarted, which broke the caller's connection */
	atomic {
		connectionBroken = (forwarded -> connectionBroken : 1);
		goto done
	}
}

/* The owner's process and clock. */
proctype Owner() {
end:
	do
	:: d_step { restarts > 0 ->
		restarts--;
		incarnation++;
		record = NONE;
		connectionBroken = (requestsToOwner > 0 -> 1 : connectionBroken);
		requestsToOwner = 0 }
	:: d_step { epoch < LAST_EPOCH ->
		epoch++;
#ifdef DROP_RECORD_EARLY
		record = NONE
#else
		record = (VALID -> record : NONE)
#endif
		}
	od
}

/* The other entry forwards requests, and responds "unknown" if the owner does not respond. */
proctype Forwarder() {
end:
	do
	:: atomic { requestsToForwarder > 0 -> requestsToForwarder--; forwardedRequests++ };
		do
		:: d_step { copies > 0 && forwardedRequests > 0 -> copies--; forwardedRequests++ } /* duplicated */
		:: atomic { forwardedResponses & RAN -> responses = responses | RAN; break }
		:: atomic { forwardedResponses & NOT_RUN -> responses = responses | NOT_RUN; break }
		:: atomic { forwardedResponses & UNKNOWN -> responses = responses | UNKNOWN; break }
#ifndef WAIT_FOR_OWNER
		:: atomic { true ->
#ifdef FORWARDER_REPORTS_NOT_RUN
			respond(NOT_RUN, 0);
#else
			responses = responses | UNKNOWN;
#endif
			break }
#endif
		od
	od
}

proctype BackendServer() {
end:
	do
	:: d_step { pendingCalls > 0 ->
		pendingCalls--;
		runs++;
		assert(runs <= 1);
		assert(!reportedNotRun);
		pendingResults++ }
	od
}

proctype Caller() {
	byte attempt;
	do
	:: attempt < ATTEMPTS ->
		atomic {
			attempt++;
			connectionBroken = 0;
			if
			:: requestsToOwner++
			:: requestsToForwarder++
			fi
		};
#ifdef WITNESS
		assert(!(responses & WITNESS));
#endif
		/* A response to an earlier attempt is as good: it is for the same id. */
		atomic {
			if
			:: responses & RAN -> responses = 0; break
			:: responses & NOT_RUN -> responses = 0
			:: responses & UNKNOWN -> responses = 0
			:: connectionBroken
			:: cuts > 0 -> cuts--
			fi
		}
	:: attempt == ATTEMPTS -> break
	od
}

init {
	atomic {
		run Handler();
		run Handler();
		run Owner();
		run Forwarder();
		run BackendServer();
		run Caller()
	}
}
