/*
 * At most once under an idempotency key. A caller's call reaches two
 * instances, by a retry; each may die at any step, and a write's reply may be
 * lost. The platform's service offers compare-and-swap on one record.
 *
 * Broken variant: NO_CLAIM sends before it writes the claim.
 */
#define NOBODY 0

byte record = NOBODY;   /* author of the claim */
bool isDone = false;    /* the record holds the answer */
byte runs = 0;          /* times that the endpoint ran the call */

inline send() {
  if
  :: runs++             /* arrives and runs */
  :: skip               /* lost before it arrives */
  fi
}

active [2] proctype instance() {
  bool isOurs = false;
#ifndef NO_CLAIM
  /* The compare-and-swap; its reply may be lost, then it is read back. */
  atomic {
    if
    :: record == NOBODY -> record = _pid + 1
    :: else -> skip
    fi
  }
  isOurs = (record == _pid + 1);
  if
  :: !isOurs -> goto end
  :: else -> skip
  fi;
#endif
  if
  :: send()
  :: goto end           /* dies before the send */
  fi;
  isDone = true;
end:
  skip
}

active proctype monitor() {
  assert(runs <= 1)
}
