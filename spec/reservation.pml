/* Tokens of a program's budget, reserved by requests over replicas without a
 * leader, while the set of replicas changes and a disk is lost.
 *
 * A request stores its reservation at a quorum, then reads what a quorum has,
 * and is granted if everything it has seen fits into the budget. Between two
 * sets (epoch 2) it needs a quorum of each. A replica refuses epochs older
 * than its own. Before the new set counts alone, its disks have moved to the
 * new epoch, and the one that is new has copied what a quorum of the old set
 * had after it had moved there too; the others copy nothing.
 *
 * Old set 0 1 2, new set 1 2 3, quorum 2. Messages are lost by not being
 * sent, and a request may end at any moment. Disk 0 may be emptied at any
 * moment, and answers nothing then.
 *
 * A -D flag takes one guard away; every such variant must fail.
 */

#define BUDGET 1
#define OLD_SET 7
#define NEW_SET 14
#define GAINING 3

byte listed = 1;    /* Epoch of the list in the key-value service. */
byte epoch[4] = 1;  /* What each replica has adopted. */
byte held[4];       /* Reservations at each replica, a bit each. */
bit emptied;
byte copied;        /* Disks of the new set that are done, a bit each. */
byte granted;

#define bit_of(r) (1 << r)
#define two_of(set) (((set) & ((set) - 1)) != 0)
#define fits(set) ((((set) & 1) + (((set) >> 1) & 1)) <= BUDGET)

#ifdef ONE_SET_BETWEEN
#define quorum(e, who) \
  ((e == 1 && two_of((who) & OLD_SET)) || (e > 1 && two_of((who) & NEW_SET)))
#else
#define quorum(e, who) \
  ((e == 1 && two_of((who) & OLD_SET)) || \
   (e == 2 && two_of((who) & OLD_SET) && two_of((who) & NEW_SET)) || \
   (e == 3 && two_of((who) & NEW_SET)))
#endif

#ifdef EMPTIED_VOTES
#define answers(r) (1)
#else
#define answers(r) (!(r == 0 && emptied))
#endif

#ifdef OLD_EPOCH_TAKEN
#define takes(r, e) (1)
#else
#define takes(r, e) (epoch[r] <= e)
#endif

/* A replica that is asked with a newer epoch adopts it first. */
inline adopt(r, e) {
  if
  :: epoch[r] < e -> epoch[r] = e
  :: else
  fi
}

inline pick(r) {
  if
  :: r = 0
  :: r = 1
  :: r = 2
  :: r = 3
  fi
}

proctype request(byte number) {
  byte e, who, seen, r;

store:
  atomic { e = listed; who = 0 };
  do
  :: quorum(e, who) -> break
  :: goto stop
  :: atomic {
      pick(r);
      if
      :: answers(r) && takes(r, e) ->
        adopt(r, e);
        held[r] = held[r] | bit_of(number);
        seen = seen | held[r];
        who = who | bit_of(r);
        r = 0
      :: answers(r) && !takes(r, e) -> r = 0; goto store
      :: !answers(r) -> r = 0
      fi
    }
  od;
read:
  atomic { e = listed; who = 0 };
  do
  :: quorum(e, who) -> break
  :: goto stop
  :: atomic {
      pick(r);
      if
      :: answers(r) && takes(r, e) ->
        adopt(r, e);
        seen = seen | held[r];
        who = who | bit_of(r);
        r = 0
      :: answers(r) && !takes(r, e) -> r = 0; goto read
      :: !answers(r) -> r = 0
      fi
    }
  od;
  atomic {
    if
    :: fits(seen) -> granted++; assert(granted <= BUDGET)
    :: else
    fi
  };
stop:
  atomic { e = 0; who = 0; seen = 0 }
}

/* The disk that is new to the set copies from disks of the old one. */
proctype copier() {
  byte from, r, what;

  listed == 2;
  do
#ifdef COPY_NOTHING
  :: break
#endif
#ifdef COPY_FROM_ONE
  :: from != 0 -> break
#else
  :: two_of(from) -> break
#endif
  :: atomic {
      pick(r);
      if
      :: answers(r) && r != GAINING ->
#ifndef COPY_BEFORE_ADOPTING
        adopt(r, 2);
#endif
        what = what | held[r];
        from = from | bit_of(r);
        r = 0
      :: else -> r = 0
      fi
    }
  od;
  atomic {
    adopt(GAINING, 2);
    held[GAINING] = held[GAINING] | what;
    copied = copied | bit_of(GAINING);
    from = 0;
    what = 0
  }
}

/* A disk of both sets is done once it has moved to the new epoch. */
proctype keeper(byte d) {
  atomic {
    listed == 2;
    adopt(d, 2);
    copied = copied | bit_of(d)
  }
}

proctype change() {
  listed = 2;
end:
  copied == NEW_SET;
  listed = 3
}

proctype loss() {
  atomic { held[0] = 0; emptied = 1 }
}

init {
  atomic {
    run request(0);
    run request(1);
    run copier();
    run keeper(1);
    run keeper(2);
    run change();
    run loss()
  }
}
