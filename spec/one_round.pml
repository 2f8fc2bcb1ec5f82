/* Reservations of tokens that are decided in one round where that is enough.
 *
 * A request stores its reservation at two of three replicas; each answers with
 * what it knew at that moment. The request is decided if all others that it saw
 * were settled at both, or took nothing. Otherwise it reads two replicas once
 * more. It is granted if all that it saw fits into the budget. What was granted
 * is settled at some replicas or none, what was not is settled at nothing.
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

/* Any replica but `but`. */
inline pick_other(r, but) {
  if
  :: but != 0 -> r = 0
  :: but != 1 -> r = 1
  :: but != 2 -> r = 2
  fi
}

inline see(r) {
  seen = seen | held[r];
  took_nothing = took_nothing | nothing[r]
}

inline store(r) {
  held[r] = held[r] | bit_of(me);
  see(r);
  everywhere = everywhere & settled[r];
  somewhere = somewhere | settled[r]
}

inline settle(r) {
  held[r] = held[r] | bit_of(me);
  settled[r] = settled[r] | bit_of(me);
  if
  :: granted & bit_of(me) -> skip
  :: else -> nothing[r] = nothing[r] | bit_of(me)
  fi
}

proctype request(byte me) {
  byte seen, everywhere, somewhere, took_nothing, first, second;

  /* Replicas are alike: those of the first request may be named 0 and 1. */
  atomic {
    everywhere = 7;
    if
    :: me == 0 -> first = 0; second = 1
    :: else -> pick(first); pick_other(second, first)
    fi;
    store(first)
  };
  atomic { store(second) };

#ifdef SETTLED_SOMEWHERE
#define settled_enough somewhere
#else
#define settled_enough everywhere
#endif
#ifndef ALWAYS_ONE_ROUND
  if
  :: (seen & ~bit_of(me) & ~took_nothing & ~settled_enough) == 0 -> skip
  :: else ->
    atomic { pick(first); pick_other(second, first); see(first) };
    atomic { see(second) }
  fi;
#endif

  atomic {
    if
    :: count(seen & ~took_nothing) <= BUDGET ->
      granted = granted | bit_of(me);
      assert(count(granted) <= BUDGET)
    :: else -> skip
    fi;
    seen = 0; everywhere = 0; somewhere = 0; took_nothing = 0;
    pick(first); pick_other(second, first)
  };
  if
  :: atomic { settle(first); first = 0 };
     if
     :: atomic { settle(second); second = 0 }
     :: second = 0
     fi
  :: atomic { first = 0; second = 0 }
  fi
}

init {
  atomic {
    run request(0);
    run request(1);
    run request(2)
  }
}
