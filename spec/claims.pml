/*
 * At most once under an idempotency key. A caller's call reaches two
 * instances, and each tries it twice. The platform's service holds one value
 * and offers compare-and-swap. Any call to it may fail, as during an outage.
 * Within the bounds below a write's reply is lost, a write arrives late, an
 * instance dies at any step, a claim that was given up is taken back, a call
 * that certainly wasn't sent is released, and the key is forgotten.
 *
 * Broken variants: NO_CLAIM sends before it writes the claim. NO_READ_BACK
 * takes a write without a reply for one that took effect. EARLY_RELEASE
 * releases a claim after a byte may have left. EXPIRE_RUNNING forgets a claim
 * without remembering that the key was used. NO_COMPARE writes whatever was
 * written meanwhile.
 */
#define INSTANCES 2
#define ATTEMPTS 2
#define MAX_FAULTS 3
#define MAX_DEATHS 2
#define NOBODY 0
#define ID (1 + me * ATTEMPTS + attempt)

mtype = { CLAIMED, DONE, UNKNOWN, YES, NO, LOST }

/* The value in the platform's service. */
byte record = NOBODY;   /* id of the claim */
mtype state = CLAIMED;
bool isPast = false;    /* the key was forgotten, and is remembered as used */

/* Whether the value is still the one that an instance read, or that its late write is based on. */
bool isFresh[INSTANCES];
bool isLateFresh[INSTANCES];

/* A write on its way that its sender has given up. */
bool isLate[INSTANCES];
byte lateRecord[INSTANCES];
mtype lateState[INSTANCES];
bool latePast[INSTANCES];

byte faults = 0;
byte deaths = 0;
byte runs = 0;          /* times that the endpoint ran the call */

inline change(newRecord, newState, newPast) {
  record = newRecord; state = newState; isPast = newPast;
  isFresh[0] = false; isFresh[1] = false;
  isLateFresh[0] = false; isLateFresh[1] = false
}

inline clearLate(which) {
  isLate[which] = false; isLateFresh[which] = false;
  lateRecord[which] = NOBODY; lateState[which] = CLAIMED; latePast[which] = false
}

inline read() {
  seenRecord = record; seenState = state; seenPast = isPast; isFresh[me] = true
}

inline forgetRead() {
  seenRecord = NOBODY; seenState = CLAIMED; seenPast = false; isFresh[me] = false
}

inline swap(newRecord, newState) {
#ifdef NO_COMPARE
  change(newRecord, newState, seenPast); outcome = YES
#else
  if
  :: isFresh[me] -> change(newRecord, newState, seenPast); outcome = YES
  :: else -> outcome = NO
  fi
#endif
}

/* Writes over what was read. Sets outcome. */
inline write(newRecord, newState) {
  if
  :: swap(newRecord, newState)
  :: faults < MAX_FAULTS -> faults++; swap(newRecord, newState); outcome = LOST
  :: outcome = LOST     /* never arrives */
  :: faults < MAX_FAULTS && !isLate[me] ->
     faults++; outcome = LOST; isLate[me] = true; isLateFresh[me] = isFresh[me];
     lateRecord[me] = newRecord; lateState[me] = newState; latePast[me] = seenPast
  fi;
  forgetRead()
}

inline mayDie() {
  if
  :: skip
  :: deaths < MAX_DEATHS -> deaths++; goto end
  fi
}

/* Takes the claim back: done only when a write has gone through after it. */
inline release() {
  do
  :: atomic { read(); mayDie() };
     atomic {
       write((seenRecord == ID -> NOBODY : seenRecord), seenState);
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
       mayDie();
       if
       :: seenRecord != ID || seenState == newState -> forgetRead(); break
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
  byte seenRecord = NOBODY;
  mtype seenState = CLAIMED;
  mtype outcome = 0;
  bool seenPast = false;
again:
#ifndef NO_CLAIM
  do
  :: goto refuse                /* nothing was read in time */
  :: atomic {
       read();
       mayDie();
       if
       :: seenRecord == ID -> forgetRead(); break    /* a write of ours took effect */
       :: seenRecord != ID && (seenRecord != NOBODY || seenPast) -> forgetRead(); goto end
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
       :: outcome == LOST -> outcome = 0; goto refuse     /* the caller waits no longer */
       fi
     }
  od;
#endif
  atomic {
    mayDie();
    if
    :: goto refuse              /* the endpoint refused the connection */
    :: runCall(); mayDie()
    :: runCall(); goto unknown      /* its reply is lost */
    :: goto unknown             /* it is lost on its way */
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
  /* The caller hears "not run", and may try again. */
  release();
  atomic {
    if
    :: attempt + 1 < ATTEMPTS -> attempt++; goto again
    :: else -> skip
    fi
  };
end:
  atomic { forgetRead(); attempt = 0 }
}

inline deliver(which) {
  if
#ifdef NO_COMPARE
  :: change(lateRecord[which], lateState[which], latePast[which])
#else
  :: isLateFresh[which] -> change(lateRecord[which], lateState[which], latePast[which])
  :: else -> skip
#endif
  fi;
  clearLate(which)
}

/* Delivers late writes at any time, or never. One that can't take effect is dropped. */
proctype network() {
end:
  do
  :: atomic { isLate[0] -> deliver(0) }
  :: atomic { isLate[1] -> deliver(1) }
  od
}

/* Forgets the key once, whatever its state. */
proctype expiry() {
end:
  atomic {
    record != NOBODY ->
#ifdef EXPIRE_RUNNING
    change(NOBODY, CLAIMED, false)
#else
    change(NOBODY, CLAIMED, true)
#endif
  }
}

init {
  atomic {
    lateState[0] = CLAIMED; lateState[1] = CLAIMED;
    run instance(0); run instance(1); run network(); run expiry()
  }
}
