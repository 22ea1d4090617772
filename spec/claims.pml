/*
 * At-most-once execution under an idempotency key. A caller's request reaches
 * two instances, and each attempts it twice. The platform's service stores one
 * value and offers compare-and-swap. Any call to it may fail, as during an
 * outage. Within the bounds below, the reply to a write may be lost, a write may
 * arrive late, an instance may crash at any step, the claim of an aborted
 * attempt is released, the claim of a call that certainly wasn't sent is
 * released, and the key may expire.
 *
 * Broken variants: NO_CLAIM sends the call before it writes the claim.
 * NO_READ_BACK treats a write without a reply as one that took effect.
 * EARLY_RELEASE releases a claim after a byte of the call may have been sent.
 * EXPIRE_RUNNING expires a claim without recording that the key was used.
 * NO_COMPARE writes even if the value has changed since it was read.
 */
#define INSTANCES 2
#define ATTEMPTS 2
#define MAX_FAULTS 3
#define MAX_CRASHES 2
#define NO_RECORD 0
/* The id of the claim of an instance's current attempt. */
#define ID (1 + me * ATTEMPTS + attempt)

/* The states of a claim, then the outcomes of a write. */
mtype = { CLAIMED, DONE, UNKNOWN, YES, NO, LOST }

/* The value stored in the platform's service. */
byte record = NO_RECORD; /* id of the claim, NO_RECORD if there is none */
mtype state = CLAIMED;
bool isUsed = false;    /* the key has expired, and is recorded as used */

/* Whether the value is unchanged since an instance read it, or since the read
 * before its late write. */
bool isFresh[INSTANCES];
bool isLateFresh[INSTANCES];

/* A write in flight whose sender has stopped waiting for the reply. */
bool isLate[INSTANCES];
byte lateRecord[INSTANCES];
mtype lateState[INSTANCES];
bool lateUsed[INSTANCES];

byte faults = 0;
byte crashes = 0;
byte runs = 0;          /* how often the endpoint has run the call */

inline replaceRecord(newRecord, newState, newUsed) {
  record = newRecord; state = newState; isUsed = newUsed;
  isFresh[0] = false; isFresh[1] = false;
  isLateFresh[0] = false; isLateFresh[1] = false
}

inline clearLate(which) {
  isLate[which] = false; isLateFresh[which] = false;
  lateRecord[which] = NO_RECORD; lateState[which] = CLAIMED; lateUsed[which] = false
}

inline read() {
  seenRecord = record; seenState = state; seenUsed = isUsed; isFresh[me] = true
}

inline clearRead() {
  seenRecord = NO_RECORD; seenState = CLAIMED; seenUsed = false; isFresh[me] = false
}

inline swap(newRecord, newState) {
#ifdef NO_COMPARE
  replaceRecord(newRecord, newState, seenUsed); outcome = YES
#else
  if
  :: isFresh[me] -> replaceRecord(newRecord, newState, seenUsed); outcome = YES
  :: else -> outcome = NO
  fi
#endif
}

/* Replaces the value that was read. Sets outcome. */
inline write(newRecord, newState) {
  if
  :: swap(newRecord, newState)
  :: faults < MAX_FAULTS -> faults++; swap(newRecord, newState); outcome = LOST
  :: outcome = LOST     /* never arrives */
  :: faults < MAX_FAULTS && !isLate[me] ->
     faults++; outcome = LOST; isLate[me] = true; isLateFresh[me] = isFresh[me];
     lateRecord[me] = newRecord; lateState[me] = newState; lateUsed[me] = seenUsed
  fi;
  clearRead()
}

inline maybeCrash() {
  if
  :: skip
  :: crashes < MAX_CRASHES -> crashes++; goto end
  fi
}

/*
 * Releases the claim. Repeats until a write has succeeded, so that no earlier
 * late write can take effect.
 */
inline release() {
  do
  :: atomic { read(); maybeCrash() };
     atomic {
       write((seenRecord == ID -> NO_RECORD : seenRecord), seenState);
       if
       :: outcome == YES -> outcome = 0; break
       :: else -> outcome = 0
       fi
     }
  od
}

inline settle(newState) {
  do
  :: atomic {
       read();
       maybeCrash();
       if
       :: seenRecord != ID || seenState == newState -> clearRead(); break
       :: else -> skip
       fi
     };
     atomic {
       write(ID, newState);
       if
       :: outcome == YES -> outcome = 0; break
       :: else -> outcome = 0
       fi
     }
  od
}

inline runCall() {
  runs++;
  assert(runs <= 1)
}

proctype instance(byte me) {
  byte attempt = 0;
  byte seenRecord = NO_RECORD;
  mtype seenState = CLAIMED;
  mtype outcome = 0;
  bool seenUsed = false;
again:
#ifndef NO_CLAIM
  do
  :: goto refuse                /* the read timed out */
  :: atomic {
       read();
       maybeCrash();
       if
       :: seenRecord == ID -> clearRead(); break    /* an earlier write of this attempt took effect */
       :: seenRecord != ID && (seenRecord != NO_RECORD || seenUsed) -> clearRead(); goto end
       :: else -> skip
       fi
     };
     atomic {
       write(ID, CLAIMED);
       if
       :: outcome == YES -> outcome = 0; break
       :: outcome == NO -> outcome = 0
#ifdef NO_READ_BACK
       :: outcome == LOST -> outcome = 0; break
#else
       :: outcome == LOST -> outcome = 0
#endif
       :: outcome == LOST -> outcome = 0; goto refuse     /* the caller's timeout has passed */
       fi
     }
  od;
#endif
  atomic {
    maybeCrash();
    if
    :: goto refuse              /* the endpoint refused the connection */
    :: runCall(); maybeCrash()
    :: runCall(); goto unknown      /* the reply is lost */
    :: goto unknown             /* the call is lost */
    fi
  };
  settle(DONE);
  goto end;
unknown:
#ifdef EARLY_RELEASE
  release();
#else
  settle(UNKNOWN);
#endif
  goto end;
refuse:
  /* The caller receives "not run", and may retry. */
  release();
  atomic {
    if
    :: attempt + 1 < ATTEMPTS -> attempt++; goto again
    :: else -> skip
    fi
  };
end:
  atomic { clearRead(); attempt = 0 }
}

inline deliver(which) {
  if
#ifdef NO_COMPARE
  :: replaceRecord(lateRecord[which], lateState[which], lateUsed[which])
#else
  :: isLateFresh[which] -> replaceRecord(lateRecord[which], lateState[which], lateUsed[which])
  :: else -> skip
#endif
  fi;
  clearLate(which)
}

/* Delivers late writes at any time, or never. A late write whose comparison fails is dropped. */
proctype network() {
end:
  do
  :: atomic { isLate[0] -> deliver(0) }
  :: atomic { isLate[1] -> deliver(1) }
  od
}

/* Expires the key once, in any state. */
proctype expiry() {
end:
  atomic {
    record != NO_RECORD ->
#ifdef EXPIRE_RUNNING
    replaceRecord(NO_RECORD, CLAIMED, false)
#else
    replaceRecord(NO_RECORD, CLAIMED, true)
#endif
  }
}

init {
  atomic {
    lateState[0] = CLAIMED; lateState[1] = CLAIMED;
    run instance(0); run instance(1); run network(); run expiry()
  }
}
