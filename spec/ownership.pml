/*
 * Ownership, grants and eviction of one adapter at one endpoint. See README.md
 * for what is abstracted and for the bounds.
 *
 * Owners 1, 2 and 3 follow each other; each may go on, unaware, for ever. One
 * holder H uses the adapter, one witness W records announcements beside the
 * owner itself. A sent message stays deliverable, so it may be lost, late or
 * doubled; an order takes effect at most once. One process takes all steps, so
 * that every interleaving of them is searched.
 *
 * CHECKED: the endpoint refuses orders below the highest number that it has seen.
 * SEAL: the holder may use the adapter without an owner.
 * LOSE_WITNESS: the witness may end for good.
 * LONE: the first owner has no witness but itself.
 * Broken variants: NO_FENCE, NO_ANNOUNCE, NO_ACK, LATE_GRANT, ANY_WITNESS,
 * TIME_FREES, LONE_OWNER, RESTART_CLEARS, FENCE_ALONE, FENCE_EARLY, NO_NUMBER,
 * LOAD_SUSPECT, NO_SEAL, FORGET_OLDER, GONE_COUNTS.
 * REACH_EVICT, REACH_GRANT, REACH_SEAL: assertions that must fail.
 */
#ifndef OWNERS
#define OWNERS 2
#endif
#ifndef ROUNDS
#define ROUNDS 1        /* announcements of one owner */
#endif
#ifndef RESTARTS
#define RESTARTS 0
#endif
#ifdef CHECKED
#define IS_CHECKED true
#else
#define IS_CHECKED false
#endif

/* A grant or a use without an owner: its state, and its bit in masks. */
#define NONE 0
#define SENT 1
#define HELD 2
#define ENDED 3
#define GRANT(e) (1 << (e))
#define USE(e) (1 << (4 + (e)))
#define OLDER_THAN(e) (((1 << (e)) - 1) | (((1 << (e)) - 1) << 4))

/* An order to evict. */
#define DECIDED 1
#define ON_ITS_WAY 2
#define EXECUTED 3
#define DROPPED 4
#define REFUSED 5

byte epoch = 1;                 /* the last ownership in the document */
bool gone[4];                   /* owners known to be gone */

/* The endpoint. */
bool isResident = true;
byte seen = 0;                  /* the highest fencing number */
byte incarnation = 0;           /* counts restarts */

/* The holder. */
byte grants[4];                 /* of owner e */
byte uses[4];                   /* without an owner, of sealed epoch e */
byte holderMinimum = 0;
bool mayUse[4];                 /* the seal's answer named no eviction */

/* The witness; announced numbers are stored plus one. */
bool isWitnessGone = false;
byte witnessMinimum = 0;
byte sealedEpoch = 0;
byte briefedEpoch = 1;
byte announced[4];
byte witnessAcks[4];            /* sent, a mask of numbers */

/* The owners. */
byte ownMinimum[4];             /* as their own witness */
byte ownAnnounced[4];
byte number[4];                 /* of the last announcement */
byte step[4];                   /* of the eviction under way: 0, announced, ordered */
#define ANNOUNCED 1
#define ORDERED 2
byte orders[12];                /* of owner e and number n */
#define ORDER(e, n) orders[(e) * 3 + (n)]
byte unresolved[4];             /* mask of numbers */
byte confirmed[4];              /* those that were sent to the known incarnation or before */
byte knownIncarnation[4];
byte settled[4];                /* the highest number whose settlement was sent */
byte pins[4];
byte early[4];                  /* returned before they were reported */
bool hasReport[4];
byte reports[4];                /* on their way from the holder, a mask */
bool isReported[4];
byte briefedOn[4];              /* predecessors that a witness has told of, a mask */
byte suspects[4];               /* predecessors that may still evict, a mask */
bool isFenceDone[4];
bool isFenced[4];
bool isUnbriefed[4];

byte i;                         /* for loops; zero between steps */

#define IS_OWNER(e) (epoch >= (e) && !gone[e])
#define HAS_TOLD(e, p) (gone[p] || (briefedOn[e] & (1 << (p))))
#define IS_TOLD_ALL(e) ((e) == 1 || (HAS_TOLD(e, 1) && ((e) == 2 || HAS_TOLD(e, 2))))
#if defined(FENCE_ALONE) || defined(FENCE_EARLY)
#define MAY_FENCE(e) true
#else
#define MAY_FENCE(e) IS_TOLD_ALL(e)
#endif
#ifdef FENCE_ALONE
#define IS_ACTIVE(e) (isFenced[e] || IS_TOLD_ALL(e))
#else
#define IS_ACTIVE(e) IS_TOLD_ALL(e)
#endif
#ifdef NO_FENCE
#define IS_SAFE(e) true
#else
#define IS_SAFE(e) isFenced[e]
#endif
#define MAY_EVICT(e, p) (!gone[p] && (suspects[e] & (1 << (p))))
#define HAS_SUSPECT(e) (unresolved[e] != 0 || \
  (!IS_SAFE(e) && (MAY_EVICT(e, 1) || MAY_EVICT(e, 2))))
/* Asking the witness again tells something new. */
#define IS_NEWS(e) ((announced[1] == 0 && (suspects[e] & 2)) || \
  (announced[2] == 0 && (suspects[e] & 4)) || (briefedOn[e] & 6) != ((1 << (e)) - 2))
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

/* With three owners, the middle one gives no grants and none abandons an eviction, to keep the search small. */
#if OWNERS > 2
#define MAY_GIVE(e) ((e) != 2)
#else
#define MAY_GIVE(e) true
#endif

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
  CAN_GRANT(e) && MAY_GIVE(e) && grants[e] == NONE ->
  grants[e] = SENT;
  pins[e] = pins[e] | GRANT(e)
}

inline takeGrant(e) {
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

/* A grant, or a use without an owner, comes back to owner e. */
inline returnGrant(e, g, state) {
  state == ENDED && ((pins[e] & g) || !(HAS_REPORTS(e) || (early[e] & g))) ->
  if
  :: pins[e] & g -> pins[e] = pins[e] & ~g
  :: else -> early[e] = early[e] | g
  fi
}

/* Evictions. */
inline announce(e) {
  IS_OWNER(e) && IS_ACTIVE(e) && HAS_REPORTS(e) && pins[e] == 0 && step[e] == 0 &&
  !isUnbriefed[e] && number[e] < ROUNDS && e >= ownMinimum[e] ->
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

inline hearAnnouncement(e, n) {
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

inline decide(e) {
#ifdef NO_NUMBER
  IS_OWNER(e) && step[e] == ANNOUNCED && IS_ACKED(e, 1) ->
#else
  IS_OWNER(e) && step[e] == ANNOUNCED && IS_ACKED(e, number[e]) ->
#endif
  step[e] = ORDERED;
  ORDER(e, number[e]) = DECIDED
}

inline abandon(e) {
  IS_OWNER(e) && step[e] == ANNOUNCED ->
  step[e] = 0;
  settle(e)
}

inline sendOrder(e, n) {
  !gone[e] && ORDER(e, n) == DECIDED -> ORDER(e, n) = ON_ITS_WAY
}

inline executeOrder(e, n) {
  ORDER(e, n) == ON_ITS_WAY ->
  if
  :: IS_CHECKED && e < seen -> ORDER(e, n) = REFUSED
  :: else ->
    seen = (IS_CHECKED -> e : 0);
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

inline hearAnswer(e, n) {
  if
  :: IS_OWNER(e) && step[e] == ORDERED && n == number[e] &&
     (ORDER(e, n) == EXECUTED || ORDER(e, n) == REFUSED) -> step[e] = 0
  :: IS_OWNER(e) && (unresolved[e] & (1 << n)) && ORDER(e, n) == EXECUTED ->
    unresolved[e] = unresolved[e] & ~(1 << n);
    confirmed[e] = confirmed[e] & ~(1 << n)
  fi;
  settle(e)
}

inline timeOut(e) {
  IS_OWNER(e) && step[e] == ORDERED && ORDER(e, number[e]) != DECIDED ->
  step[e] = 0;
  unresolved[e] = unresolved[e] | (1 << number[e])
}

inline hearSettlement(e) {
#ifdef NO_NUMBER
  announced[e] != 0 && settled[e] != 0 -> announced[e] = 0
#else
  announced[e] != 0 && announced[e] <= settled[e] + 1 -> announced[e] = 0
#endif
}

/* The endpoint. */
#ifdef LOAD_SUSPECT
#define LOADS(e) (IS_OWNER(e) && step[e] == 0)
#else
#define LOADS(e) CAN_GRANT(e)
#endif

inline load(e) {
  LOADS(e) && !isResident && (!IS_CHECKED || e >= seen) ->
  seen = (IS_CHECKED -> e : 0);
  isResident = true
}

inline restart() {
  incarnation < RESTARTS ->
  incarnation++;
  isResident = false;
  seen = 0;
  for (i : 0 .. 11) {
    if
    :: orders[i] == ON_ITS_WAY -> orders[i] = DROPPED
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
inline succeed() {
  epoch < OWNERS ->
  epoch = epoch + 1;
#ifdef SEAL
  isUnbriefed[epoch] = true;
#endif
  knownIncarnation[epoch] = incarnation
}

inline loseOwner(e) {
  /* Known to be gone means that nothing of it is on its way any more. */
  !gone[e] && epoch > e ->
  gone[e] = true;
  for (i : 1 .. 2) {
    if
    :: ORDER(e, i) == DECIDED || ORDER(e, i) == ON_ITS_WAY -> ORDER(e, i) = DROPPED
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
  briefedOn[e] = 0;
  hasReport[e] = false;
  reports[e] = 0;
  isReported[e] = false;
  early[e] = 0;
  isFenceDone[e] = false;
  isFenced[e] = false;
  number[e] = 0;
  settled[e] = 0;
  witnessAcks[e] = 0;
  announced[e] = 0
}

inline askHolder(e) {
  IS_OWNER(e) && e > 1 && e >= holderMinimum &&
  !(hasReport[e] && reports[e] == HELD_MASK) ->
  holderMinimum = e;
  hasReport[e] = true;
  reports[e] = HELD_MASK
}

inline hearHolder(e) {
  IS_OWNER(e) && hasReport[e] ->
  pins[e] = pins[e] & (reports[e] | ~OLDER_THAN(e));
  if
  :: !isReported[e] -> pins[e] = pins[e] | (reports[e] & ~early[e])
  :: else -> skip
  fi;
  isReported[e] = true;
  early[e] = 0;
  hasReport[e] = false;
  reports[e] = 0
}

inline askWitness(e) {
  IS_OWNER(e) && !isWitnessGone && (witnessMinimum < e || (witnessMinimum == e && IS_NEWS(e))) ->
  witnessMinimum = e;
  for (i : 1 .. e - 1) {
    if
    :: HAS_WITNESS(i) && announced[i] == 0 -> suspects[e] = suspects[e] & ~(1 << i)
    :: HAS_WITNESS(i) && announced[i] != 0 && !HAS_TOLD(e, i) ->
      suspects[e] = suspects[e] | (1 << i)
    :: else -> skip
    fi;
    briefedOn[e] = briefedOn[e] | (HAS_WITNESS(i) -> 1 << i : 0)
  }
  i = 0;
  settle(e)
}

inline askPredecessor(e, p) {
  IS_OWNER(e) && !gone[p] && !(ownMinimum[p] >= e && HAS_TOLD(e, p) && ownAnnounced[p] != 0) ->
  ownMinimum[p] = (ownMinimum[p] > e -> ownMinimum[p] : e);
  if
  :: ownAnnounced[p] == 0 -> suspects[e] = suspects[e] & ~(1 << p)
  :: ownAnnounced[p] != 0 && !HAS_TOLD(e, p) -> suspects[e] = suspects[e] | (1 << p)
  :: else -> skip
  fi;
  briefedOn[e] = briefedOn[e] | (1 << p);
  settle(e)
}

/* What the broken variants do. */
inline trustWrongly(e, p) {
  if
#ifdef ANY_WITNESS
  /* Its own answer names nothing. */
  :: IS_OWNER(e) && !HAS_TOLD(e, p) -> briefedOn[e] = briefedOn[e] | (1 << p)
#endif
#ifdef LONE_OWNER
  :: IS_OWNER(e) && !HAS_WITNESS(p) && !HAS_TOLD(e, p) -> briefedOn[e] = briefedOn[e] | (1 << p)
#endif
#ifdef FORGET_OLDER
  :: IS_OWNER(e) && p < e - 1 && !HAS_TOLD(e, p) -> briefedOn[e] = briefedOn[e] | (1 << p)
#endif
#ifdef TIME_FREES
  :: IS_OWNER(e) && pins[e] != 0 -> pins[e] = 0
#endif
  :: false -> skip
  fi
}

inline fence(e) {
  if
  :: IS_CHECKED && IS_OWNER(e) && MAY_FENCE(e) && e >= seen && !isFenceDone[e] ->
    seen = e;
    isFenceDone[e] = true
  :: IS_OWNER(e) && isFenceDone[e] && !isFenced[e] ->
    isFenced[e] = true;
    settle(e)
  fi
}

inline brief(e) {
  if
  :: IS_OWNER(e) && IS_ACTIVE(e) && isUnbriefed[e] && !isWitnessGone && e >= witnessMinimum &&
     e > briefedEpoch ->
    briefedEpoch = e;
    announced[e] = (HAS_SUSPECT(e) && announced[e] == 0 -> 1 : announced[e])
  :: IS_OWNER(e) && isUnbriefed[e] && briefedEpoch >= e -> isUnbriefed[e] = false
  fi
}

/* Without an owner. */
inline seal(e) {
  !isWitnessGone && e >= witnessMinimum && e == briefedEpoch ->
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

#define HEAR(e, n) \
  :: d_step { hearAnnouncement(e, n) } \
  :: d_step { sendOrder(e, n) } \
  :: d_step { executeOrder(e, n) } \
  :: d_step { hearAnswer(e, n) }

#define ACT(e) \
  :: d_step { grant(e) } \
  :: d_step { takeGrant(e) } \
  :: d_step { endUse(grants[e]) } \
  :: d_step { endUse(uses[e]) } \
  :: d_step { announce(e) } \
  :: d_step { decide(e) } \
  ABANDON(e) \
  :: d_step { timeOut(e) } \
  :: d_step { hearSettlement(e) } \
  :: d_step { load(e) } \
  RESTARTED(e) \
  :: d_step { loseOwner(e) } \
  :: d_step { brief(e) } \
  SEALED(e) \
  :: d_step { returnGrant(e, GRANT(1), grants[1]) } \
  :: d_step { returnGrant(e, USE(1), uses[1]) } \
  HEAR(e, 1)

#if OWNERS > 2
#define ABANDON(e)
#else
#define ABANDON(e) :: d_step { abandon(e) }
#endif

#if RESTARTS > 0
#define RESTARTED(e) :: d_step { readReport(e) }
#else
#define RESTARTED(e)
#endif

#ifdef SEAL
#define SEALED(e) \
  :: d_step { seal(e) } \
  :: d_step { useSealed(e) }
#else
#define SEALED(e)
#endif

#define TAKE_OVER(e) \
  :: d_step { askHolder(e) } \
  :: d_step { hearHolder(e) } \
  :: d_step { askWitness(e) } \
  :: d_step { fence(e) } \
  :: d_step { askPredecessor(e, 1) } \
  :: d_step { trustWrongly(e, 1) } \
  :: d_step { returnGrant(e, GRANT(2), grants[2]) } \
  :: d_step { returnGrant(e, USE(2), uses[2]) }

active proctype system() {
end:
  do
  ACT(1)
  ACT(2)
  TAKE_OVER(2)
#if ROUNDS > 1
  HEAR(1, 2)
  HEAR(2, 2)
#endif
#if OWNERS > 2
  ACT(3)
  TAKE_OVER(3)
  :: d_step { askPredecessor(3, 2) }
  :: d_step { trustWrongly(3, 2) }
  :: d_step { returnGrant(3, GRANT(3), grants[3]) }
  :: d_step { returnGrant(3, USE(3), uses[3]) }
#endif
#if RESTARTS > 0
  :: d_step { restart() }
#endif
#ifdef LOSE_WITNESS
  :: d_step { !isWitnessGone -> isWitnessGone = true }
#endif
  :: d_step { succeed() }
  od
}
