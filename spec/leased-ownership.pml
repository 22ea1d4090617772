/*
 * Leased ownership of one endpoint while the store may be restored from an older
 * copy. See README.md for what is abstracted and for the bounds.
 *
 * An owner record contains the owner, the era and the revision of its write, and
 * whether the previous owner handed it over. Each restore increments the era and
 * takes the revision counter back, so revisions are assigned again. A record
 * written in an earlier era than the store's is restored. One process takes all
 * steps, so that every interleaving of them is searched.
 *
 * LATE_READS: a read's result may be received later.
 * LATE_WRITES: an instance may send another write while an unanswered one is in flight.
 * OTHERS: other items are written.
 * HANDOVER: an instance may stop and hand its record over.
 * PEERS: an instance may confirm by another one's report while the store is out.
 * RESTARTS: an instance's process may be replaced by a new one.
 * FIRST_AT_ONCE: the first claim in the first era needs no wait.
 * ANY_ANSWER: a claim executed in a later era than it was planned in is accepted.
 * Broken variants, whose missing rules checks.json describes: RAW_REVISIONS,
 * RESTORED_PERMITS, RESTORED_HANDOVER, NO_LIMIT, EXTEND_FROZEN, MISSING_AT_ONCE,
 * WAITING_RECLAIM, WAITING_HANDOVER, FROZEN_HANDOVER, RESTART_AT_ONCE, NO_STOP,
 * NO_AGE, NO_PEER_CHECK, FORGET_KNOWN.
 * REACH_ORDER, REACH_RECLAIM, REACH_HANDOVER, REACH_LATE, each with REACH: assertions
 * that must fail, to show that these steps are reachable.
 */
#ifndef INSTANCES
#define INSTANCES 2
#endif
#ifndef RESTORES
#define RESTORES 1
#endif
#ifndef RESTARTS
#define RESTARTS 0
#endif
#ifndef MAX_REVISION
#define MAX_REVISION 3
#endif
#ifndef LEASE
#define LEASE 5         /* wait of a new owner */
#endif
#ifndef VALID
#define VALID 3         /* validity of a confirmation */
#endif

#define NOBODY 0
/* The owner id of an instance's current process. */
#define ID(i) ((i) + 1 + INSTANCES * isRestarted[i])

/* The states of an instance's write. */
#define SENT 1
#define EXECUTED 2

/* The store. */
byte era = 1;
byte counter = 0;               /* the last revision that was assigned */
byte owner = NOBODY;
byte written = 0;               /* era of the record's write */
byte revision = 0;              /* 0 if there is no record */
bool isHandedOver = false;

/* The copy from which the store is restored. */
byte copyCounter = 0;
byte copyOwner = NOBODY;
byte copyWritten = 0;
byte copyRevision = 0;
bool copyHandedOver = false;

/* The record that each instance holds, revision 0 if none. */
byte heldEra[INSTANCES];
byte held[INSTANCES];
byte confirmed[INSTANCES];      /* remaining validity of the last confirmation */
byte waiting[INSTANCES];        /* remaining wait before the first order */
#ifdef PEERS
byte knownEra[INSTANCES];       /* the newest record that the instance has read or written */
byte known[INSTANCES];
#endif
bool isStopping[INSTANCES];
bool isRestarted[INSTANCES];

/* Each instance's write in flight, and one whose sender no longer waits for it. */
byte writes[INSTANCES];
byte writeOwner[INSTANCES];
byte writeBefore[INSTANCES];    /* revision of the record that it replaces */
byte writeEra[INSTANCES];
bool writeHandedOver[INSTANCES];
byte writeRevision[INSTANCES];
bool isReclaim[INSTANCES];      /* planned while a held record was restored or lost */
bool isExempt[INSTANCES];       /* of a record that needs no wait */
bool isLate = false;
byte lateOwner = NOBODY;
byte lateBefore = 0;
byte lateEra = 0;
bool lateHandedOver = false;

/* The result of each instance's read in flight. */
bool isReading[INSTANCES];
byte readOwner[INSTANCES];
byte readWritten[INSTANCES];
byte readRevision[INSTANCES];
bool readHandedOver[INSTANCES];
byte readEra[INSTANCES];
byte readAge[INSTANCES];

/* The highest token of an order, and the instance that sent it plus one. */
byte lastSender = 0;
byte lastEra = 0;
byte lastRevision = 0;

byte restarts = 0;
byte k;                         /* loop variable; zero between steps */

#ifdef RAW_REVISIONS
#define ERA 1
#else
#define ERA era
#endif

#define IS_NEWER(e, r, e2, r2) ((e) > (e2) || ((e) == (e2) && (r) > (r2)))
#define MAY_ORDER(i) (held[i] != 0 && confirmed[i] > 0 && waiting[i] == 0)
#define MAX(a, b) ((a) > (b) -> (a) : (b))

#ifdef RESTORED_PERMITS
#define IS_READ_CURRENT(i) (readRevision[i] != 0)
#else
#ifdef RESTORED_HANDOVER
#define IS_READ_CURRENT(i) (readWritten[i] == readEra[i] || readHandedOver[i])
#else
#define IS_READ_CURRENT(i) (readWritten[i] == readEra[i])
#endif
#endif

#ifdef NO_LIMIT
#define IS_RECENT(i) (confirmed[i] > 0)
#else
/* The last confirmation was less than LEASE - VALID ago. */
#define IS_RECENT(i) (confirmed[i] > 2 * VALID - LEASE)
#endif
#ifdef WAITING_RECLAIM
#define MAY_RECLAIM(i) (isReclaim[i] && held[i] != 0 && IS_RECENT(i))
#else
#define MAY_RECLAIM(i) (isReclaim[i] && held[i] != 0 && IS_RECENT(i) && waiting[i] == 0)
#endif

#ifdef MISSING_AT_ONCE
#define IS_MISSING_EXEMPT true
#else
#ifdef FIRST_AT_ONCE
#define IS_MISSING_EXEMPT (era == 1)
#else
#define IS_MISSING_EXEMPT false
#endif
#endif
#ifdef RESTART_AT_ONCE
#define IS_RESTART_EXEMPT(i) (written == ERA && isRestarted[i] && owner == (i) + 1)
#else
#define IS_RESTART_EXEMPT(i) false
#endif

inline updateKnown(i, e, r) {
#ifdef PEERS
  if
#ifdef FORGET_KNOWN
  :: true -> knownEra[i] = e; known[i] = r
#endif
  :: IS_NEWER(e, r, knownEra[i], known[i]) -> knownEra[i] = e; known[i] = r
  :: else -> skip
  fi
#else
  skip
#endif
}

inline clearHeld(i) {
  heldEra[i] = 0; held[i] = 0; confirmed[i] = 0; waiting[i] = 0
}

inline clearWrite(i) {
  writes[i] = 0; writeOwner[i] = NOBODY; writeBefore[i] = 0; writeEra[i] = 0;
  writeHandedOver[i] = false; writeRevision[i] = 0;
  isReclaim[i] = false; isExempt[i] = false
}

inline clearRead(i) {
  isReading[i] = false; readOwner[i] = NOBODY; readWritten[i] = 0; readRevision[i] = 0;
  readHandedOver[i] = false; readEra[i] = 0; readAge[i] = 0
}

/* Time. */
inline decrement(value) {
  value = (value > 0 -> value - 1 : 0)
}

inline passTime() {
  for (k : 0 .. INSTANCES - 1) {
    decrement(confirmed[k]);
    decrement(waiting[k]);
    if
    :: isReading[k] && readAge[k] < VALID -> readAge[k] = readAge[k] + 1
    :: else -> skip
    fi
  };
  k = 0
}

/* The store. */
inline takeCopy() {
  era <= RESTORES ->
  copyCounter = counter; copyOwner = owner; copyWritten = written;
  copyRevision = revision; copyHandedOver = isHandedOver
}

inline restore() {
  era <= RESTORES ->
  era++;
  counter = copyCounter; owner = copyOwner; written = copyWritten;
  revision = copyRevision; isHandedOver = copyHandedOver
}

/* A write of another item. */
inline writeOther() {
  counter < MAX_REVISION -> counter++
}

inline replaceRecord(newOwner, newEra, newHandedOver) {
  counter++;
  owner = newOwner; written = newEra; revision = counter; isHandedOver = newHandedOver
}

/*
 * Every instance that may send an order sends one in every state: this finds each
 * violation that any choice of orders shows.
 */
inline sendOrders() {
  for (k : 0 .. INSTANCES - 1) {
    if
    :: MAY_ORDER(k) ->
#ifdef REACH_ORDER
      assert(heldEra[k] == 1);
#endif
#ifndef REACH
      assert(lastSender == 0 || lastSender == k + 1 ||
        IS_NEWER(heldEra[k], held[k], lastEra, lastRevision));
#endif
      if
      :: lastSender == 0 || IS_NEWER(heldEra[k], held[k], lastEra, lastRevision) ->
        lastSender = k + 1; lastEra = heldEra[k]; lastRevision = held[k]
      :: else -> skip
      fi
    :: else -> skip
    fi
  };
  k = 0;
#ifndef REACH
  assert(!(MAY_ORDER(0) && MAY_ORDER(1)));
#if INSTANCES == 3
  assert(!(MAY_ORDER(0) && MAY_ORDER(2)) && !(MAY_ORDER(1) && MAY_ORDER(2)));
#endif
#endif
}

/* Reads. The result may be received at any later time. */
inline read(i) {
#ifdef LATE_READS
  !isReading[i] ->
#endif
  isReading[i] = true;
  readOwner[i] = owner; readWritten[i] = written; readRevision[i] = revision;
  readHandedOver[i] = isHandedOver; readEra[i] = ERA
}

inline readAtOnce(i) {
  read(i);
  receiveRead(i)
}

inline receiveRead(i) {
  isReading[i] ->
  updateKnown(i, readWritten[i], readRevision[i]);
  if
  :: held[i] != 0 && readOwner[i] == ID(i) && IS_READ_CURRENT(i) &&
     readWritten[i] == heldEra[i] && readRevision[i] == held[i] ->
#ifdef NO_AGE
    confirmed[i] = VALID
#else
    confirmed[i] = MAX(confirmed[i], VALID - readAge[i])
#endif
  :: readOwner[i] == ID(i) && IS_READ_CURRENT(i) && !isStopping[i] &&
     IS_NEWER(readWritten[i], readRevision[i], heldEra[i], held[i]) ->
#ifdef REACH_HANDOVER
    assert(!(readHandedOver[i] && readWritten[i] > 1));
#endif
    heldEra[i] = readWritten[i]; held[i] = readRevision[i];
    waiting[i] = (readHandedOver[i] -> 0 : LEASE);
    confirmed[i] = MAX(confirmed[i], VALID - readAge[i])
  :: held[i] != 0 && readOwner[i] != ID(i) && IS_READ_CURRENT(i) &&
     IS_NEWER(readWritten[i], readRevision[i], heldEra[i], held[i]) ->
    clearHeld(i)
#ifdef EXTEND_FROZEN
  :: held[i] != 0 && !IS_READ_CURRENT(i) ->
    confirmed[i] = MAX(confirmed[i], VALID - readAge[i])
#endif
  :: else -> skip
  fi;
  clearRead(i)
}

/*
 * Confirmation during an outage: instance j reports that it can't reach the store,
 * and no newer record. It may report so at any time.
 */
#ifdef NO_PEER_CHECK
#define KNOWS_NEWER(i, j) false
#else
#define KNOWS_NEWER(i, j) IS_NEWER(knownEra[j], known[j], heldEra[i], held[i])
#endif
inline confirmByPeer(i, j) {
  held[i] != 0 && !KNOWS_NEWER(i, j) -> confirmed[i] = VALID
}

/* Claims. An instance may consider the owner gone at any time. */
inline sendClaim(i) {
  writes[i] == 0 && !isStopping[i] && !(owner == ID(i) && written == ERA) ->
  writes[i] = SENT;
  writeOwner[i] = ID(i);
  writeBefore[i] = revision;
  writeEra[i] = ERA;
  isReclaim[i] = (held[i] != 0 && heldEra[i] < ERA && written != ERA);
  isExempt[i] = (revision == 0 -> IS_MISSING_EXEMPT : IS_RESTART_EXEMPT(i))
}

inline executeWrite(i) {
  writes[i] == SENT ->
  if
  :: revision == writeBefore[i] && counter < MAX_REVISION ->
    replaceRecord(writeOwner[i], writeEra[i], writeHandedOver[i]);
    writeRevision[i] = revision;
#ifdef REACH_LATE
    assert(writeEra[i] == era || writeBefore[i] == 0);
#endif
    writes[i] = EXECUTED;
#ifndef ANY_ANSWER
    if
    :: writeEra[i] != ERA -> clearWrite(i)
    :: else -> skip
    fi
#endif
  :: else -> clearWrite(i)
  fi
}

inline receiveAnswer(i) {
  writes[i] == EXECUTED ->
  updateKnown(i, writeEra[i], writeRevision[i]);
  if
  :: writeOwner[i] == ID(i) && IS_NEWER(writeEra[i], writeRevision[i], heldEra[i], held[i]) ->
#ifdef REACH_RECLAIM
    assert(!MAY_RECLAIM(i));
#endif
    waiting[i] = (MAY_RECLAIM(i) || isExempt[i] -> 0 : LEASE);
    heldEra[i] = writeEra[i]; held[i] = writeRevision[i]
  :: else -> skip
  fi;
  clearWrite(i)
}

/* The sender stops waiting. The write may still take effect. */
inline applyTimeout(i) {
  writes[i] == SENT && !isLate ->
  isLate = true;
  lateOwner = writeOwner[i]; lateBefore = writeBefore[i];
  lateEra = writeEra[i]; lateHandedOver = writeHandedOver[i];
  clearWrite(i)
}

inline loseWrite(i) {
  writes[i] != 0 -> clearWrite(i)
}

inline executeLate() {
  isLate ->
  if
  :: revision == lateBefore && counter < MAX_REVISION ->
    replaceRecord(lateOwner, lateEra, lateHandedOver)
  :: true -> skip
  fi;
  isLate = false; lateOwner = NOBODY; lateBefore = 0; lateEra = 0; lateHandedOver = false
}

/* Handover to instance j. The instance sends no more orders first. */
#ifdef WAITING_HANDOVER
#define MAY_HAND_OVER(i) (held[i] != 0)
#else
#define MAY_HAND_OVER(i) (held[i] != 0 && waiting[i] == 0)
#endif
inline handOver(i, j) {
  i != j && writes[i] == 0 && !isStopping[i] && MAY_HAND_OVER(i) ->
  isStopping[i] = true;
  writes[i] = SENT;
  writeOwner[i] = ID(j);
#ifdef FROZEN_HANDOVER
  writeBefore[i] = revision;
  writeEra[i] = ERA;
#else
  writeBefore[i] = held[i];
  writeEra[i] = heldEra[i];
#endif
  writeHandedOver[i] = true;
#ifndef NO_STOP
  clearHeld(i)
#endif
}

/* A new process of the instance starts. */
inline restart(i) {
  restarts < RESTARTS && !isRestarted[i] ->
  restarts++;
  isRestarted[i] = true;
  isStopping[i] = false;
  clearHeld(i);
  clearRead(i);
  if
  :: writes[i] == SENT && !isLate ->
    isLate = true;
    lateOwner = writeOwner[i]; lateBefore = writeBefore[i];
    lateEra = writeEra[i]; lateHandedOver = writeHandedOver[i]
  :: else -> skip
  fi;
  clearWrite(i)
}

#ifdef LATE_READS
#define READ_STEPS(i) :: d_step { read(i) } :: d_step { receiveRead(i); sendOrders() }
#else
#define READ_STEPS(i) :: d_step { readAtOnce(i); sendOrders() }
#endif
#ifdef PEERS
#define PEER_STEPS(i) :: d_step { confirmByPeer(i, 1 - (i)); sendOrders() }
#else
#define PEER_STEPS(i)
#endif
#ifdef LATE_WRITES
#define LATE_STEPS(i) :: d_step { applyTimeout(i) }
#else
#define LATE_STEPS(i)
#endif
#if RESTARTS > 0
#define RESTART_STEPS(i) :: d_step { restart(i) }
#else
#define RESTART_STEPS(i)
#endif

#define INSTANCE_STEPS(i) \
  READ_STEPS(i) \
  PEER_STEPS(i) \
  :: d_step { sendClaim(i) } \
  :: d_step { executeWrite(i) } \
  :: d_step { receiveAnswer(i); sendOrders() } \
  LATE_STEPS(i) \
  :: d_step { loseWrite(i) } \
  HANDOVER_STEPS(i) \
  RESTART_STEPS(i)

#ifdef HANDOVER
#if INSTANCES == 3
#define HANDOVER_STEPS(i) \
  :: d_step { handOver(i, ((i) + 1) % 3) } \
  :: d_step { handOver(i, ((i) + 2) % 3) }
#else
#define HANDOVER_STEPS(i) :: d_step { handOver(i, 1 - (i)) }
#endif
#else
#define HANDOVER_STEPS(i)
#endif

active proctype system() {
end:
  do
  INSTANCE_STEPS(0)
  INSTANCE_STEPS(1)
#if INSTANCES == 3
  INSTANCE_STEPS(2)
#endif
  :: d_step { passTime(); sendOrders() }
  :: d_step { takeCopy() }
  :: d_step { restore() }
#ifdef OTHERS
  :: d_step { writeOther() }
#endif
#ifdef LATE_WRITES
  :: d_step { executeLate() }
#endif
  od
}
