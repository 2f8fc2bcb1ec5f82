/* Budget grants by escrow: a daemon takes a grant from the customer's record
 * by compare-and-swap and spends only from grants that it knows are counted
 * there. A daemon that is silent keeps its grant counted as spent until its
 * journal proves less. A contract may lower the budget in the middle.
 *
 * Two daemons; every write may be lost or its answer may; a daemon may be
 * paused (interleaving) at any step and taken for dead.
 *
 * A -D flag takes one guard away; every such variant must fail.
 */

#define BUDGET 4
#define LOWERED 2
#define GRANT 2
#define FAULTS 2

byte limit = BUDGET;
byte counted;        /* Granted or spent, by the record. */
byte version;        /* Of the record, for compare-and-swap. */
byte spent;
byte held[2];        /* Unspent tokens that a daemon may use. */
byte in_force = BUDGET;
byte spent_at_change;
bit lowering;
bit lowered;
bit confirmed[2];
bit fenced[2];       /* The lane was taken: its appends fail. */
byte faults = FAULTS;

#define over (spent > in_force && spent > spent_at_change)

inline spend() {
  atomic {
    /* A reservation is an append to the lane: a fenced daemon has none. */
    if
    :: held[d] > 0 && !fenced[d] ->
      held[d]--;
      spent++;
      assert(!over)
    :: else
    fi
  }
}

proctype daemon(byte d) {
  byte seen, total, bound;
  bit sure;

again:
  if
  :: spent + held[0] + held[1] >= BUDGET && held[d] == 0 -> goto end
  :: held[d] > 0 -> spend(); goto again
  :: held[d] == 0 -> skip
  :: atomic { lowering && !confirmed[d] -> goto confirm }
  :: goto end
  fi;
  atomic { seen = version; total = counted; bound = limit };
#ifdef GRANT_UNCHECKED
  if
  :: total >= bound -> goto end
  :: else
  fi;
#else
  if
  :: total + GRANT > bound -> goto end
  :: else
  fi;
#endif
#ifdef USED_BEFORE_WRITTEN
  held[d] = GRANT;
  spend();
  held[d] = 0;
#endif
  sure = 0;
  atomic {
    if
#ifdef WRITE_WITHOUT_COMPARE
    :: counted = total + GRANT; version++; sure = 1
#else
    :: version == seen ->
      counted = total + GRANT; version++; sure = 1
    :: version != seen
#endif
    /* The answer is lost: the grant counts, but is not used. */
    :: faults > 0 && version == seen ->
      faults--; counted = total + GRANT; version++
    /* The request is lost. */
    :: faults > 0 -> faults--
#ifdef SILENCE_TAKEN_AS_GRANTED
      ; sure = 1
#endif
    fi;
    if
    :: sure && !fenced[d] -> held[d] = held[d] + GRANT
    :: else
    fi
  }
  goto again;

confirm:
  /* Under the lower budget: what is unspent goes back, then it is told. */
  atomic {
    counted = counted - held[d]; version++;
    held[d] = 0;
    confirmed[d] = 1
  }
  goto again;
end:
  skip
}

proctype successor() {
  /* Takes daemon 0 for dead; it may only be paused. */
  if
  :: skip
  :: atomic {
#ifndef DEAD_GRANT_FREED_WITHOUT_FENCE
      fenced[0] = 1;
#endif
      /* The lane's journal proves what was spent of the grant. */
      counted = counted - held[0]; version++;
#ifndef DEAD_GRANT_FREED_WITHOUT_FENCE
      held[0] = 0;
#endif
      confirmed[0] = 1
    }
  fi
}

proctype operator() {
  atomic { limit = LOWERED; lowering = 1; version++ };
#ifndef LOWERED_BEFORE_CONFIRMED
end_unconfirmed:
  (confirmed[0] && confirmed[1]);
#endif
  atomic { in_force = LOWERED; lowered = 1; spent_at_change = spent }
end:
  skip
}

init {
  atomic {
    run daemon(0);
    run daemon(1);
    run successor();
    run operator()
  }
}
