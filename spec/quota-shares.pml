/*
 * The shares of one account's quota, which two holders receive from successive
 * allocators. The shares in force never sum to more than the quota.
 *
 * Features that are left out give counterexamples:
 *   NO_SENT         a reduction counts before its holder has applied it
 *   FROM_RECEIPT    a share is valid from the receipt of its reply
 *   NO_SETTLE       a new allocator allocates what nobody has reported
 *   LATE_RENEWAL    a share is renewed although it has expired since it was reported
 *   TRUST_REPORT    a new allocator passes a share on before its holder has applied a reply
 */
#define QUOTA 2
#ifndef VALID
#define VALID 2
#endif
#ifndef ALLOCATORS
#define ALLOCATORS 2
#endif
#define MAX(a, b) ((a) > (b) -> (a) : (b))

/* The allocator that grants now. A later one starts only after the earlier one has stopped. */
byte allocator = 1;
/* Time until no share of an earlier allocator is in force. */
byte settling = 0;
/* Shares of the earlier allocator that may be passed on. */
byte inherited = 0;

/* The holders: share in force and the time for which it is valid. */
byte share[2];
byte valid[2];
/* The allocator to which a holder reports. */
byte target[2];

/* A report in flight of each holder: its allocator, the share that it states, its age, and whether the last reply of this allocator was applied. */
bool isReported[2];
byte reportTo[2];
byte reportShare[2];
byte reportAge[2];
bool reportApplied[2];
/* A reply in flight. */
bool isReplied[2];
byte replyFrom[2];
byte replyShare[2];
byte replyAge[2];
bool isRenewal[2];
/* Whether the share that was reported has expired since. */
bool hasExpired[2];
/* Whether the holder has applied the last reply of its allocator since it last reported. */
bool hasApplied[2];

/* The allocator's records: the reported share, the share that was sent since, and the time for which each counts. */
byte known[2];
byte knownFor[2];
byte sent[2];
byte sentFor[2];
/* The share that was stated in the first report, until it is confirmed. */
byte first[2];
bool isConfirmed[2];

#ifdef NO_SENT
#define COMMITTED(i) (sentFor[i] > 0 -> sent[i] : (knownFor[i] > 0 -> known[i] : 0))
#else
#define COMMITTED(i) MAX((knownFor[i] > 0 -> known[i] : 0), (sentFor[i] > 0 -> sent[i] : 0))
#endif
#define CONFIRMED(i) (isConfirmed[i] -> COMMITTED(i) : 0)
#ifdef LATE_RENEWAL
#define IS_LOST(i) false
#else
#define IS_LOST(i) (isRenewal[i] && hasExpired[i])
#endif
#ifdef NO_SETTLE
#define IS_SETTLED true
#else
#define IS_SETTLED (settling == 0)
#endif

inline check() {
  assert((valid[0] > 0 -> share[0] : 0) + (valid[1] > 0 -> share[1] : 0) <= QUOTA)
}

inline decrement(value) {
  value = (value > 0 -> value - 1 : 0)
}

/* Values that have no meaning any more are 0, so that equal states are found equal. */
inline clearExpired(i) {
  hasExpired[i] = ((hasExpired[i] || (share[i] > 0 && valid[i] == 0)) && (isReported[i] || isReplied[i]));
  share[i] = (valid[i] > 0 -> share[i] : 0);
  known[i] = (knownFor[i] > 0 -> known[i] : 0);
  sent[i] = (sentFor[i] > 0 -> sent[i] : 0)
}

inline clearReport(i) {
  isReported[i] = false; reportTo[i] = 0; reportShare[i] = 0; reportAge[i] = 0;
  reportApplied[i] = false
}

inline clearReply(i) {
  isRenewal[i] = false; isReplied[i] = false; replyFrom[i] = 0; replyShare[i] = 0; replyAge[i] = 0
}

inline passTime() {
  decrement(settling);
  for (k : 0 .. 1) {
    decrement(valid[k]);
    decrement(knownFor[k]);
    decrement(sentFor[k]);
    clearExpired(k);
    if
    :: isReported[k] && reportAge[k] < VALID -> reportAge[k]++
    :: else -> skip
    fi;
    if
    :: isReplied[k] && replyAge[k] < VALID -> replyAge[k]++
    :: else -> skip
    fi
  };
  k = 0
}

/* A holder reports to the allocator that it takes for the present one. */
inline sendReport(i) {
  !isReported[i] && !isReplied[i] ->
  isReported[i] = true;
  reportTo[i] = target[i];
  reportShare[i] = share[i];
  reportAge[i] = 0;
  reportApplied[i] = hasApplied[i];
  hasApplied[i] = false
}

/* An instance may own the shard again: a report to an earlier allocator may reach a later one. */
inline receiveReport(i, wanted) {
  isReported[i] ->
  if
  :: reportApplied[i] && !isConfirmed[i] && sentFor[i] > 0 && reportTo[i] == allocator ->
    isConfirmed[i] = true;
    inherited = inherited + first[i]
  :: else -> skip
  fi;
  if
  :: reportApplied[i] && reportTo[i] == allocator -> sent[i] = 0; sentFor[i] = 0
  :: else -> skip
  fi;
  known[i] = reportShare[i]; knownFor[i] = VALID;
#ifdef TRUST_REPORT
  if
  :: !isConfirmed[i] -> isConfirmed[i] = true; inherited = inherited + reportShare[i]
  :: else -> skip
  fi;
#else
  if
  :: !isConfirmed[i] -> first[i] = reportShare[i]
  :: else -> skip
  fi;
#endif
  if
  :: IS_SETTLED ->
    limit = QUOTA - COMMITTED(1 - i)
  :: !IS_SETTLED && isConfirmed[i] ->
    limit = (inherited > CONFIRMED(1 - i) -> inherited - CONFIRMED(1 - i) : 0)
  :: else -> limit = known[i]
  fi;
  /* Any share up to the limit. */
  granted = (wanted < limit -> wanted : limit);
#ifdef NO_SENT
  sent[i] = granted;
#else
  sent[i] = MAX((sentFor[i] > 0 -> sent[i] : 0), granted);
#endif
  sentFor[i] = VALID;
  isReplied[i] = true;
  isRenewal[i] = (!IS_SETTLED && !isConfirmed[i]);
  replyFrom[i] = reportTo[i]; replyShare[i] = granted; replyAge[i] = reportAge[i];
#ifdef REACH
  assert(!(allocator > 1 && granted > 0 && isConfirmed[i] && !IS_SETTLED));
#endif
  first[i] = (isConfirmed[i] -> 0 : first[i]);
  clearReport(i);
  limit = 0; granted = 0
}

inline receiveReply(i) {
  isReplied[i] ->
  if
  :: replyFrom[i] == target[i] && !IS_LOST(i) ->
    share[i] = replyShare[i];
#ifdef FROM_RECEIPT
    valid[i] = VALID;
#else
    valid[i] = VALID - replyAge[i];
#endif
    hasApplied[i] = (replyFrom[i] == target[i]);
    clearExpired(i)
  :: else -> skip
  fi;
  clearReply(i);
  hasExpired[i] = false
}

inline loseReport(i) {
  isReported[i] -> clearReport(i); hasExpired[i] = false
}

inline loseReply(i) {
  isReplied[i] -> clearReply(i); hasExpired[i] = false
}

/* A holder finds that there is a new allocator. What is in flight stays so. */
inline switchTarget(i) {
  target[i] < allocator ->
  target[i] = allocator;
  hasApplied[i] = false
}

inline startAllocator() {
  allocator < ALLOCATORS ->
  allocator++;
  settling = VALID;
  inherited = 0;
  for (k : 0 .. 1) {
    known[k] = 0; knownFor[k] = 0; sent[k] = 0; sentFor[k] = 0;
    first[k] = 0; isConfirmed[k] = false
  };
  k = 0
}

active proctype system() {
  byte k = 0;
  byte limit = 0;
  byte granted = 0;
  d_step { target[0] = 1; target[1] = 1; isConfirmed[0] = true; isConfirmed[1] = true };
end:
  do
  :: d_step { sendReport(0) }
  :: d_step { sendReport(1) }
  :: d_step { receiveReport(0, 0) }
  :: d_step { receiveReport(0, 1) }
  :: d_step { receiveReport(0, 2) }
  :: d_step { receiveReport(1, 0) }
  :: d_step { receiveReport(1, 1) }
  :: d_step { receiveReport(1, 2) }
  :: d_step { receiveReply(0); check() }
  :: d_step { receiveReply(1); check() }
  :: d_step { loseReport(0) }
  :: d_step { loseReport(1) }
  :: d_step { loseReply(0) }
  :: d_step { loseReply(1) }
  :: d_step { switchTarget(0) }
  :: d_step { switchTarget(1) }
  :: d_step { startAllocator() }
  :: d_step { passTime(); check() }
  od
}
