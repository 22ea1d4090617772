/*
 * Ownership, grants and eviction of one adapter at one endpoint. See README.md
 * for what is abstracted and for the bounds.
 *
 * Owners 1, 2 and 3 succeed one another. Each may continue indefinitely without
 * detecting that it was replaced. One holder uses the adapter. One witness
 * besides the owner itself records announcements. A sent message stays
 * deliverable, so it may be lost, late or duplicated; an order takes effect at
 * most once. One process takes all steps, so that every interleaving of them is
 * searched.
 *
 * CHECKED: the endpoint refuses orders below the highest number that it has received.
 * SEAL: the holder may use the adapter without an owner.
 * LOSE_WITNESS: the witness may end permanently.
 * LONE: the first owner is its own only witness.
 * Broken variants, whose missing rules checks.json describes:
 * NO_FENCE, NO_ANNOUNCE, NO_ACK, LATE_GRANT, ANY_WITNESS,
 * TIME_FREES, LONE_OWNER, RESTART_CLEARS, FENCE_ALONE, FENCE_EARLY, NO_NUMBER,
 * LOAD_SUSPECT, NO_SEAL, FORGET_OLDER, GONE_COUNTS.
 * REACH_EVICT, REACH_GRANT, REACH_SEAL: assertions that must fail, to show that
 * these steps are reachable.
 */
#ifndef OWNERS
#define OWNERS 2
#endif
#ifndef ROUNDS
#define ROUNDS 1        /* announcements per owner */
#endif
#ifndef RESTARTS
#define RESTARTS 0
#endif
#ifdef CHECKED
#define IS_CHECKED true
#else
#define IS_CHECKED false
#endif

/* The states of a grant or of a use without an owner, and their bits in masks. */
#define NONE 0
#define SENT 1
#define HELD 2
#define ENDED 3
#define GRANT(e) (1 << (e))
#define USE(e) (1 << (4 + (e)))
#define OLDER_THAN(e) (((1 << (e)) - 1) | (((1 << (e)) - 1) << 4))

/* The states of an unload order. */
#define DECIDED 1
#define IN_FLIGHT 2
#define EXECUTED 3
#define DROPPED 4
#define REFUSED 5

byte epoch = 1;                 /* of the current ownership in the document */
bool isGone[4];                 /* owners known to be gone */

/* The endpoint. */
bool isResident = true;
byte highestNumber = 0;         /* the highest fencing number received */
byte incarnation = 0;           /* counts restarts */

/* The holder. */
byte grants[4];                 /* states of the grants, by owner */
byte uses[4];                   /* states of the uses without an owner, by sealed epoch */
byte holderMinimum = 0;
bool mayUse[4];                 /* the reply to the seal request contained no eviction */

/* The witness. It stores an announced number plus one, so that 0 means none. */
bool isWitnessGone = false;
byte witnessMinimum = 0;
byte sealedEpoch = 0;
byte briefingEpoch = 1;
byte announced[4];
byte witnessAcks[4];            /* acknowledgements sent, a mask of numbers */

/* The owners. */
byte ownMinimum[4];             /* minimum epoch, as their own witness */
byte ownAnnounced[4];
byte number[4];                 /* of the last announcement */
byte step[4];                   /* of the pending eviction: 0, announced, ordered */
#define ANNOUNCED 1
#define ORDERED 2
byte orders[12];                /* states of the orders, by owner and number */
#define ORDER(e, n) orders[(e) * 3 + (n)]
byte unresolved[4];             /* orders without a reply, a mask of numbers */
byte confirmed[4];              /* unresolved orders sent to the known incarnation or an earlier one */
byte knownIncarnation[4];
byte settled[4];                /* the highest number whose settlement was sent */
byte pins[4];
byte earlyReturns[4];           /* grants returned before they were reported */
bool hasReportInFlight[4];
byte reportsInFlight[4];        /* the holder's report in flight, a mask */
bool isReported[4];
byte reportedOn[4];             /* predecessors with a witness's report, a mask */
byte suspects[4];               /* predecessors that may still evict, a mask */
bool isFenceDone[4];
bool isFenced[4];
bool isBriefingPending[4];

byte i;                         /* loop variable; zero between steps */

#define IS_OWNER(e) (epoch >= (e) && !isGone[e])
#define HAS_REPORTED(e, p) (isGone[p] || (reportedOn[e] & (1 << (p))))
#define ALL_REPORTED(e) ((e) == 1 || (HAS_REPORTED(e, 1) && ((e) == 2 || HAS_REPORTED(e, 2))))
#if defined(FENCE_ALONE) || defined(FENCE_EARLY)
#define MAY_FENCE(e) true
#else
#define MAY_FENCE(e) ALL_REPORTED(e)
#endif
#ifdef FENCE_ALONE
#define IS_ACTIVE(e) (isFenced[e] || ALL_REPORTED(e))
#else
#define IS_ACTIVE(e) ALL_REPORTED(e)
#endif
/* Owner e relies on the endpoint to refuse its predecessors' orders. */
#ifdef NO_FENCE
#define IS_SAFE(e) true
#else
#define IS_SAFE(e) isFenced[e]
#endif
#define MAY_EVICT(e, p) (!isGone[p] && (suspects[e] & (1 << (p))))
#define HAS_SUSPECT(e) (unresolved[e] != 0 || \
  (!IS_SAFE(e) && (MAY_EVICT(e, 1) || MAY_EVICT(e, 2))))
/* A new report from the witness would change the owner's state. */
#define CHANGES_SUSPECTS(e) ((announced[1] == 0 && (suspects[e] & 2)) || \
  (announced[2] == 0 && (suspects[e] & 4)) || (reportedOn[e] & 6) != ((1 << (e)) - 2))
#define CAN_GRANT(e) (IS_OWNER(e) && IS_ACTIVE(e) && step[e] == 0 && !HAS_SUSPECT(e))
#define IS_HELD (grants[1] == HELD || grants[2] == HELD || grants[3] == HELD || \
  uses[1] == HELD || uses[2] == HELD || uses[3] == HELD)
#define HELD_MASK ((grants[1] == HELD) * GRANT(1) | (grants[2] == HELD) * GRANT(2) | \
  (grants[3] == HELD) * GRANT(3) | (uses[1] == HELD) * USE(1) | \
  (uses[2] == HELD) * USE(2) | (uses[3] == HELD) * USE(3))
#define HAS_REPORTS(e) ((e) == 1 || isReported[e])
#ifdef LONE
#define HAS_WITNESS(e) ((e) != 1)
#else
#define HAS_WITNESS(e) true
#endif
#ifdef GONE_COUNTS
#define COUNTS_GONE isWitnessGone
#else
#define COUNTS_GONE false
#endif
#define IS_ACKED(e, n) (COUNTS_GONE || !HAS_WITNESS(e) || (witnessAcks[e] & (1 << (n))))

/*
 * With three owners, the middle one sends no grants and no owner cancels an
 * eviction, to limit the search.
 */
#if OWNERS > 2
#define MAY_GRANT(e) ((e) != 2)
#else
#define MAY_GRANT(e) true
#endif

/* Sends the witnesses a settlement if owner e has neither a pending eviction nor a suspect. */
inline settle(e) {
  if
  :: step[e] == 0 && !HAS_SUSPECT(e) ->
    settled[e] = number[e];
    ownAnnounced[e] = 0
  :: else -> skip
  fi
}

/* Grants and uses. */
inline grant(e) {
  CAN_GRANT(e) && MAY_GRANT(e) && grants[e] == NONE ->
  grants[e] = SENT;
  pins[e] = pins[e] | GRANT(e)
}

inline receiveGrant(e) {
  grants[e] == SENT ->
  if
#ifdef LATE_GRANT
  :: true -> grants[e] = HELD
#else
  :: e >= holderMinimum ->
#ifdef REACH_GRANT
    assert(e != OWNERS);
#endif
    grants[e] = HELD
  :: else -> grants[e] = ENDED
#endif
  fi
}

inline endUse(state) {
  state == HELD -> state = ENDED
}

/* Returns a grant, or a use without an owner, to owner e. */
inline returnGrant(e, g, state) {
  state == ENDED && ((pins[e] & g) || !(HAS_REPORTS(e) || (earlyReturns[e] & g))) ->
  if
  :: pins[e] & g -> pins[e] = pins[e] & ~g
  :: else -> earlyReturns[e] = earlyReturns[e] | g
  fi
}

/* Evictions. */
inline announce(e) {
  IS_OWNER(e) && IS_ACTIVE(e) && HAS_REPORTS(e) && pins[e] == 0 && step[e] == 0 &&
  !isBriefingPending[e] && number[e] < ROUNDS && e >= ownMinimum[e] ->
  number[e] = number[e] + 1;
#if defined(NO_ANNOUNCE) || defined(NO_ACK)
  step[e] = ORDERED;
  ORDER(e, number[e]) = DECIDED;
#else
  step[e] = ANNOUNCED;
#endif
#ifndef NO_ANNOUNCE
  ownAnnounced[e] = 1
#endif
}

inline receiveAnnouncement(e, n) {
#ifdef NO_ANNOUNCE
  false -> skip
#else
  n <= number[e] && HAS_WITNESS(e) && !isWitnessGone && e >= witnessMinimum && e > sealedEpoch ->
  if
  :: announced[e] < n + 1 -> announced[e] = n + 1
  :: else -> skip
  fi;
  witnessAcks[e] = witnessAcks[e] | (1 << n)
#endif
}

inline decideOrder(e) {
#ifdef NO_NUMBER
  IS_OWNER(e) && step[e] == ANNOUNCED && IS_ACKED(e, 1) ->
#else
  IS_OWNER(e) && step[e] == ANNOUNCED && IS_ACKED(e, number[e]) ->
#endif
  step[e] = ORDERED;
  ORDER(e, number[e]) = DECIDED
}

inline cancelEviction(e) {
  IS_OWNER(e) && step[e] == ANNOUNCED ->
  step[e] = 0;
  settle(e)
}

inline sendOrder(e, n) {
  !isGone[e] && ORDER(e, n) == DECIDED -> ORDER(e, n) = IN_FLIGHT
}

inline executeOrder(e, n) {
  ORDER(e, n) == IN_FLIGHT ->
  if
  :: IS_CHECKED && e < highestNumber -> ORDER(e, n) = REFUSED
  :: else ->
    highestNumber = (IS_CHECKED -> e : 0);
    ORDER(e, n) = EXECUTED;
    if
    :: isResident ->
#if !defined(REACH_EVICT) && !defined(REACH_GRANT) && !defined(REACH_SEAL)
      assert(!IS_HELD);
#endif
#ifdef REACH_EVICT
      assert(!(e == OWNERS && grants[e] == ENDED && grants[1] == ENDED));
#endif
      isResident = false
    :: else -> skip
    fi
  fi
}

inline receiveResult(e, n) {
  if
  :: IS_OWNER(e) && step[e] == ORDERED && n == number[e] &&
     (ORDER(e, n) == EXECUTED || ORDER(e, n) == REFUSED) -> step[e] = 0
  :: IS_OWNER(e) && (unresolved[e] & (1 << n)) && ORDER(e, n) == EXECUTED ->
    unresolved[e] = unresolved[e] & ~(1 << n);
    confirmed[e] = confirmed[e] & ~(1 << n)
  fi;
  settle(e)
}

inline applyTimeout(e) {
  IS_OWNER(e) && step[e] == ORDERED && ORDER(e, number[e]) != DECIDED ->
  step[e] = 0;
  unresolved[e] = unresolved[e] | (1 << number[e])
}

inline receiveSettlement(e) {
#ifdef NO_NUMBER
  announced[e] != 0 && settled[e] != 0 -> announced[e] = 0
#else
  announced[e] != 0 && announced[e] <= settled[e] + 1 -> announced[e] = 0
#endif
}

/* The endpoint. */
#ifdef LOAD_SUSPECT
#define CAN_LOAD(e) (IS_OWNER(e) && step[e] == 0)
#else
#define CAN_LOAD(e) CAN_GRANT(e)
#endif

inline load(e) {
  CAN_LOAD(e) && !isResident && (!IS_CHECKED || e >= highestNumber) ->
  highestNumber = (IS_CHECKED -> e : 0);
  isResident = true
}

inline restart() {
  incarnation < RESTARTS ->
  incarnation++;
  isResident = false;
  highestNumber = 0;
  for (i : 0 .. 11) {
    if
    :: orders[i] == IN_FLIGHT -> orders[i] = DROPPED
    :: else -> skip
    fi
  };
  i = 0
}

inline readReport(e) {
  if
  :: IS_OWNER(e) && knownIncarnation[e] == incarnation && confirmed[e] != unresolved[e] ->
    confirmed[e] = unresolved[e]
  :: IS_OWNER(e) && knownIncarnation[e] != incarnation ->
    knownIncarnation[e] = incarnation;
#ifdef RESTART_CLEARS
    unresolved[e] = 0;
    suspects[e] = 0;
#else
    unresolved[e] = unresolved[e] & ~confirmed[e];
#endif
    confirmed[e] = 0;
    settle(e)
  fi
}

/* Successors. */
inline replaceOwner() {
  epoch < OWNERS ->
  epoch = epoch + 1;
#ifdef SEAL
  isBriefingPending[epoch] = true;
#endif
  knownIncarnation[epoch] = incarnation
}

inline loseOwner(e) {
  /* An owner is known to be gone only once none of its messages is in flight. */
  !isGone[e] && epoch > e ->
  isGone[e] = true;
  for (i : 1 .. 2) {
    if
    :: ORDER(e, i) == DECIDED || ORDER(e, i) == IN_FLIGHT -> ORDER(e, i) = DROPPED
    :: else -> skip
    fi
  };
  i = 0;
  step[e] = 0;
  unresolved[e] = 0;
  confirmed[e] = 0;
  pins[e] = 0;
  ownAnnounced[e] = 0;
  ownMinimum[e] = 0;
  suspects[e] = 0;
  reportedOn[e] = 0;
  hasReportInFlight[e] = false;
  reportsInFlight[e] = 0;
  isReported[e] = false;
  earlyReturns[e] = 0;
  isFenceDone[e] = false;
  isFenced[e] = false;
  number[e] = 0;
  settled[e] = 0;
  witnessAcks[e] = 0;
  announced[e] = 0
}

inline requestHolderReport(e) {
  IS_OWNER(e) && e > 1 && e >= holderMinimum &&
  !(hasReportInFlight[e] && reportsInFlight[e] == HELD_MASK) ->
  holderMinimum = e;
  hasReportInFlight[e] = true;
  reportsInFlight[e] = HELD_MASK
}

inline receiveHolderReport(e) {
  IS_OWNER(e) && hasReportInFlight[e] ->
  pins[e] = pins[e] & (reportsInFlight[e] | ~OLDER_THAN(e));
  if
  :: !isReported[e] -> pins[e] = pins[e] | (reportsInFlight[e] & ~earlyReturns[e])
  :: else -> skip
  fi;
  isReported[e] = true;
  earlyReturns[e] = 0;
  hasReportInFlight[e] = false;
  reportsInFlight[e] = 0
}

inline requestWitnessReport(e) {
  IS_OWNER(e) && !isWitnessGone && (witnessMinimum < e || (witnessMinimum == e && CHANGES_SUSPECTS(e))) ->
  witnessMinimum = e;
  for (i : 1 .. e - 1) {
    if
    :: HAS_WITNESS(i) && announced[i] == 0 -> suspects[e] = suspects[e] & ~(1 << i)
    :: HAS_WITNESS(i) && announced[i] != 0 && !HAS_REPORTED(e, i) ->
      suspects[e] = suspects[e] | (1 << i)
    :: else -> skip
    fi;
    reportedOn[e] = reportedOn[e] | (HAS_WITNESS(i) -> 1 << i : 0)
  }
  i = 0;
  settle(e)
}

inline requestPredecessorReport(e, p) {
  IS_OWNER(e) && !isGone[p] && !(ownMinimum[p] >= e && HAS_REPORTED(e, p) && ownAnnounced[p] != 0) ->
  ownMinimum[p] = (ownMinimum[p] > e -> ownMinimum[p] : e);
  if
  :: ownAnnounced[p] == 0 -> suspects[e] = suspects[e] & ~(1 << p)
  :: ownAnnounced[p] != 0 && !HAS_REPORTED(e, p) -> suspects[e] = suspects[e] | (1 << p)
  :: else -> skip
  fi;
  reportedOn[e] = reportedOn[e] | (1 << p);
  settle(e)
}

/* The steps that only the broken variants take. */
inline applyBrokenRule(e, p) {
  if
#ifdef ANY_WITNESS
  /* Counts the owner's own report, which contains no announcements of the predecessor. */
  :: IS_OWNER(e) && !HAS_REPORTED(e, p) -> reportedOn[e] = reportedOn[e] | (1 << p)
#endif
#ifdef LONE_OWNER
  :: IS_OWNER(e) && !HAS_WITNESS(p) && !HAS_REPORTED(e, p) -> reportedOn[e] = reportedOn[e] | (1 << p)
#endif
#ifdef FORGET_OLDER
  :: IS_OWNER(e) && p < e - 1 && !HAS_REPORTED(e, p) -> reportedOn[e] = reportedOn[e] | (1 << p)
#endif
#ifdef TIME_FREES
  :: IS_OWNER(e) && pins[e] != 0 -> pins[e] = 0
#endif
  :: false -> skip
  fi
}

inline fence(e) {
  if
  :: IS_CHECKED && IS_OWNER(e) && MAY_FENCE(e) && e >= highestNumber && !isFenceDone[e] ->
    highestNumber = e;
    isFenceDone[e] = true
  :: IS_OWNER(e) && isFenceDone[e] && !isFenced[e] ->
    isFenced[e] = true;
    settle(e)
  fi
}

inline sendBriefing(e) {
  if
  :: IS_OWNER(e) && IS_ACTIVE(e) && isBriefingPending[e] && !isWitnessGone && e >= witnessMinimum &&
     e > briefingEpoch ->
    briefingEpoch = e;
    announced[e] = (HAS_SUSPECT(e) && announced[e] == 0 -> 1 : announced[e])
  :: IS_OWNER(e) && isBriefingPending[e] && briefingEpoch >= e -> isBriefingPending[e] = false
  fi
}

/* Use without an owner. */
inline seal(e) {
  !isWitnessGone && e >= witnessMinimum && e == briefingEpoch ->
#ifndef NO_SEAL
  sealedEpoch = (sealedEpoch > e -> sealedEpoch : e);
#endif
  if
  :: announced[1] == 0 && announced[2] == 0 && announced[3] == 0 -> mayUse[e] = true
  :: else -> skip
  fi
}

inline useSealed(e) {
  mayUse[e] && uses[e] == NONE && e >= holderMinimum ->
  uses[e] = HELD;
#ifdef REACH_SEAL
  assert(e != OWNERS)
#endif
}

#define ORDER_STEPS(e, n) \
  :: d_step { receiveAnnouncement(e, n) } \
  :: d_step { sendOrder(e, n) } \
  :: d_step { executeOrder(e, n) } \
  :: d_step { receiveResult(e, n) }

#define OWNER_STEPS(e) \
  :: d_step { grant(e) } \
  :: d_step { receiveGrant(e) } \
  :: d_step { endUse(grants[e]) } \
  :: d_step { endUse(uses[e]) } \
  :: d_step { announce(e) } \
  :: d_step { decideOrder(e) } \
  CANCEL_STEPS(e) \
  :: d_step { applyTimeout(e) } \
  :: d_step { receiveSettlement(e) } \
  :: d_step { load(e) } \
  RESTART_STEPS(e) \
  :: d_step { loseOwner(e) } \
  :: d_step { sendBriefing(e) } \
  SEAL_STEPS(e) \
  :: d_step { returnGrant(e, GRANT(1), grants[1]) } \
  :: d_step { returnGrant(e, USE(1), uses[1]) } \
  ORDER_STEPS(e, 1)

#if OWNERS > 2
#define CANCEL_STEPS(e)
#else
#define CANCEL_STEPS(e) :: d_step { cancelEviction(e) }
#endif

#if RESTARTS > 0
#define RESTART_STEPS(e) :: d_step { readReport(e) }
#else
#define RESTART_STEPS(e)
#endif

#ifdef SEAL
#define SEAL_STEPS(e) \
  :: d_step { seal(e) } \
  :: d_step { useSealed(e) }
#else
#define SEAL_STEPS(e)
#endif

#define SUCCESSOR_STEPS(e) \
  :: d_step { requestHolderReport(e) } \
  :: d_step { receiveHolderReport(e) } \
  :: d_step { requestWitnessReport(e) } \
  :: d_step { fence(e) } \
  :: d_step { requestPredecessorReport(e, 1) } \
  :: d_step { applyBrokenRule(e, 1) } \
  :: d_step { returnGrant(e, GRANT(2), grants[2]) } \
  :: d_step { returnGrant(e, USE(2), uses[2]) }

active proctype system() {
end:
  do
  OWNER_STEPS(1)
  OWNER_STEPS(2)
  SUCCESSOR_STEPS(2)
#if ROUNDS > 1
  ORDER_STEPS(1, 2)
  ORDER_STEPS(2, 2)
#endif
#if OWNERS > 2
  OWNER_STEPS(3)
  SUCCESSOR_STEPS(3)
  :: d_step { requestPredecessorReport(3, 2) }
  :: d_step { applyBrokenRule(3, 2) }
  :: d_step { returnGrant(3, GRANT(3), grants[3]) }
  :: d_step { returnGrant(3, USE(3), uses[3]) }
#endif
#if RESTARTS > 0
  :: d_step { restart() }
#endif
#ifdef LOSE_WITNESS
  :: d_step { !isWitnessGone -> isWitnessGone = true }
#endif
  :: d_step { replaceOwner() }
  od
}
