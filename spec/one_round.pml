/* Reservations of tokens that are decided in one round where that is enough.
 *
 * A request stores its reservation at replicas; each answers with what it knew
 * at that moment. With the answers of a quorum the request is decided if all
 * others that it saw were settled at every replica that answered, or took
 * nothing. Otherwise it reads a quorum once more. It is granted if all that it
 * saw fits into the budget. What was granted is settled at some replicas, what
 * was not is settled at nothing.
 *
 * Three replicas, quorum 2. An answer may be lost, and a request may end, or
 * settle at some replicas only, at any moment.
 *
 * A -D flag takes one guard away; every such variant must fail.
 */

#define BUDGET 2
#define bit_of(n) (1 << (n))
#define count(set) (((set) & 1) + (((set) >> 1) & 1) + (((set) >> 2) & 1))

byte held[3];    /* Reservations at each replica, a bit a request. */
byte settled[3]; /* Of these, what is settled there. */
byte nothing[3]; /* Of these, what took nothing. */
byte granted;

inline pick(r) {
  if
  :: r = 0
  :: r = 1
  :: r = 2
  fi
}

proctype request(byte me) {
  byte tried, answers, seen, everywhere, somewhere, took_nothing, r;

  everywhere = 7;
  do
  :: answers == 2 -> break
  :: answers < 2 && tried != 7 ->
    atomic {
      pick(r);
      if
      :: tried & bit_of(r) -> skip
      :: else ->
        tried = tried | bit_of(r);
        held[r] = held[r] | bit_of(me);
        if
        :: answers++;
           seen = seen | held[r];
           took_nothing = took_nothing | nothing[r];
           everywhere = everywhere & settled[r];
           somewhere = somewhere | settled[r]
        :: skip /* The answer is lost. */
        fi
      fi
    }
  :: goto stop
  od;

#ifndef ALWAYS_ONE_ROUND
#ifdef SETTLED_SOMEWHERE
  if
  :: (seen & ~bit_of(me) & ~took_nothing & ~somewhere) == 0 -> goto decide
  :: else
  fi;
#else
  if
  :: (seen & ~bit_of(me) & ~took_nothing & ~everywhere) == 0 -> goto decide
  :: else
  fi;
#endif
  answers = 0;
  tried = 0;
  do
  :: answers == 2 -> break
  :: answers < 2 && tried != 7 ->
    atomic {
      pick(r);
      if
      :: tried & bit_of(r) -> skip
      :: else ->
        tried = tried | bit_of(r);
        answers++;
        seen = seen | held[r];
        took_nothing = took_nothing | nothing[r]
      fi
    }
  :: goto stop
  od;
#endif

decide:
  atomic {
    if
    :: count(seen & ~took_nothing) <= BUDGET ->
      granted = granted | bit_of(me);
      assert(count(granted) <= BUDGET)
    :: else -> skip
    fi
  }

  do
  :: atomic {
       pick(r);
       held[r] = held[r] | bit_of(me);
       settled[r] = settled[r] | bit_of(me);
       if
       :: granted & bit_of(me) -> skip
       :: else -> nothing[r] = nothing[r] | bit_of(me)
       fi
     }
  :: break
  od;
stop:
  skip
}

init {
  atomic {
    run request(0);
    run request(1);
    run request(2)
  }
}
