/* The outage path: while the key-value service is silent, the owner writes
 * the same block to every holder named for the lane, and counts it as
 * committed only when all have it. Blocks reach the service in order when it
 * answers again. A daemon that takes over first seals one holder against
 * lower epochs and uploads what it finds there.
 *
 * Two daemons, two holders, one non-idempotent call. Any request to the
 * service or to a holder may be lost, or its answer may. A write to the
 * service may take effect after its time-out. A daemon may be paused
 * (interleaving) or die at any step.
 *
 * A -D flag takes one guard away; every such variant must fail.
 */

#ifndef BLOCKS
#define BLOCKS 4
#endif
#ifndef FAULTS
#define FAULTS 2
#endif

#define NONE 0
#define TAKEOVER 1
#define INTENT 2
#define NOTE 3 /* An entry of some other program. */

/* A block is its kind, and the epoch and daemon of its owner. */
#define block(k, e, d) ((k) + 4 * (d) + 8 * (e))
#define kind_of(b) ((b) % 4)
#define epoch_of(b) ((b) / 8)

#define LAST (BLOCKS + 1)
#define at(h, n) ((h) * (LAST + 1) + (n))

byte chain[LAST + 1];     /* In the service. */
byte newest;
byte spool[2 * (LAST + 1)]; /* At each holder. */
byte sealed[2];           /* Epoch that each holder is sealed to. */
byte committed[LAST + 1]; /* What an owner took as committed. */
byte runs;
byte faults = FAULTS;
byte late_number;
byte late_block;

#ifdef UPLOAD_OUT_OF_ORDER
#define follows(n) (true)
#else
#define follows(n) (n == 1 || chain[n - 1] != NONE)
#endif

inline create(n, b) {
  if
  :: chain[n] == NONE && follows(n) ->
    chain[n] = b;
    if
    :: n > newest -> newest = n
    :: else
    fi;
    /* Nothing committed is ever lost to another block. */
    assert(committed[n] == NONE || committed[n] == b)
  :: else
  fi
}

inline commit(n, b) {
  assert(committed[n] == NONE || committed[n] == b);
  assert(chain[n] == NONE || chain[n] == b);
  committed[n] = b
}

/* `outcome`: 1 committed, 2 another block is there, 3 no answer. */
inline append(n, b) {
  atomic {
    if
    :: create(n, b);
      if
      :: chain[n] == b -> commit(n, b); outcome = 1
      :: else -> outcome = 2
      fi
    :: faults > 0 -> faults--; create(n, b); outcome = 3
    :: faults > 0 -> faults--; outcome = 3
    :: faults > 0 && late_number == 0 ->
      faults--; late_number = n; late_block = b; outcome = 3
    fi
  }
}

/* A holder refuses epochs below the one it is sealed to, and never lets an
 * older epoch replace a newer. `stored` only when the answer came. */
inline store(h, n, b) {
  atomic {
    if
    :: sealed[h] > epoch_of(b) || epoch_of(spool[at(h, n)]) > epoch_of(b) ->
      stored = 0
    :: else ->
      spool[at(h, n)] = b;
      if
      :: stored = 1
      :: faults > 0 -> faults--; stored = 0
      fi
    :: faults > 0 -> faults--; stored = 0
    fi
  }
}

/* What a sealed holder has past the end of the chain goes up in order. */
inline upload(h) {
  do
  :: atomic {
      replayed < BLOCKS && chain[replayed + 1] == NONE &&
      spool[at(h, replayed + 1)] != NONE &&
      epoch_of(spool[at(h, replayed + 1)]) >= epoch ->
      create(replayed + 1, spool[at(h, replayed + 1)]);
      replayed++; epoch = epoch_of(chain[replayed])
    }
  :: atomic { replayed < BLOCKS && chain[replayed + 1] != NONE ->
      replayed++; epoch = epoch_of(chain[replayed]) }
  :: else -> break
  od
}

inline dispatch() {
  atomic {
    runs++;
    assert(runs <= 1)
  }
}

proctype daemon(byte d) {
  byte replayed, epoch, target, last, outcome, n, mine, served;
  bit stored, intent_seen;

start:
  atomic {
    outcome = 0; mine = 0; intent_seen = 0; stored = 0; served = 0;
    target = 0;
    last = 0; n = 0;
    replayed = newest;
    epoch = 0;
    if
    :: replayed > 0 -> epoch = epoch_of(chain[replayed])
    :: else
    fi;
    target = epoch + 1;
    assert(newest < 2 || chain[newest - 1] != NONE)
  }
  if
  :: replayed + 1 >= BLOCKS -> goto end
  :: else
  fi;
#ifndef TAKEOVER_WITHOUT_SEALING
  if
  :: atomic { sealed[0] <= epoch + 1 -> sealed[0] = epoch + 1 };
#ifndef TAKEOVER_BEFORE_UPLOAD
    upload(0)
#endif
  :: atomic { sealed[1] <= epoch + 1 -> sealed[1] = epoch + 1 };
#ifndef TAKEOVER_BEFORE_UPLOAD
    upload(1)
#endif
  /* Both are sealed to a later epoch: another daemon is taking over. */
  :: atomic { sealed[0] > epoch + 1 && sealed[1] > epoch + 1 -> goto end }
  fi;
#endif
#ifndef SEAL_NOT_RENEWED
  /* Another took over meanwhile: this seal does not bind that owner. */
  if
  :: epoch + 1 != target -> goto start
  :: else
  fi;
#endif
  if
  :: replayed + 1 >= BLOCKS -> goto end
  :: else
  fi;
  append(replayed + 1, block(TAKEOVER, epoch + 1, d));
  if
  :: outcome == 1 -> epoch++; last = replayed + 1
  :: else -> goto start
  fi;
  /* Intents of the chain so far. */
  atomic {
    n = 1;
    do
    :: n >= last -> break
    :: else ->
      if
      :: kind_of(chain[n]) == INTENT -> intent_seen = 1
      :: else
      fi;
      n++
    od;
    n = 0; replayed = 0
  }

own:
  if
  :: last >= BLOCKS || served >= 2 -> goto end
  :: else
  fi;
  if
  :: goto start /* Another incarnation, or merely paused and back. */
  :: goto end /* Dies. */
  :: atomic { served == 0 && !intent_seen -> mine = block(INTENT, epoch, d) }
  :: mine = block(NOTE, epoch, d)
  fi;

write:
  /* One block, and no other, until it is known committed. */
  append(last + 1, mine);
  if
  :: outcome == 1 -> goto done
  :: outcome == 2 -> goto start
  :: else
  fi;
  /* The service is silent: every holder must have the block. */
  store(0, last + 1, mine);
#ifdef ONE_HOLDER_ENOUGH
  if
  :: stored -> goto spooled
  :: else
  fi;
  store(1, last + 1, mine);
  if
  :: stored -> goto spooled
  :: else -> goto write
  fi;
#else
  if
  :: stored -> store(1, last + 1, mine)
  :: else
  fi;
  if
  :: stored -> goto spooled
  :: goto write
  :: goto end
  fi;
#endif

spooled:
  atomic { commit(last + 1, mine) };
  last++;
  served++;
  if
  :: kind_of(mine) == INTENT -> intent_seen = 1; dispatch()
  :: else
  fi;
  /* While it stays silent the next block goes the same way; else what is
   * spooled goes up in order before anything new. */
  if
  :: last < BLOCKS && served < 2 ->
    atomic {
    if
    :: !intent_seen -> mine = block(INTENT, epoch, d)
    :: mine = block(NOTE, epoch, d)
    fi
    };
    store(0, last + 1, mine);
    if
    :: stored -> store(1, last + 1, mine)
    :: else
    fi;
    if
    :: stored -> goto spooled
    :: else -> goto end
    fi
  :: goto end
  :: skip
  fi;
#ifdef UPLOAD_OUT_OF_ORDER
  n = last;
  do
  :: n == 0 || committed[n] == NONE -> break
  :: else -> atomic {
      if
      :: epoch_of(committed[n]) == epoch ->
        create(n, committed[n]);
        spool[at(0, n)] = NONE;
        spool[at(1, n)] = NONE
      :: else
      fi;
      n--
    }
  od;
#else
  n = 1;
  do
  :: n > last -> break
  :: else -> atomic {
      if
      :: committed[n] != NONE && epoch_of(committed[n]) == epoch ->
#ifndef DROP_BEFORE_UPLOAD
        create(n, committed[n]);
#endif
        /* Known to be in the service: the holders may forget it. */
        spool[at(0, n)] = NONE;
        spool[at(1, n)] = NONE
      :: else
      fi;
      n++
    }
  od;
#endif
  n = 0;
  goto own;

done:
  last++;
  served++;
  if
  :: kind_of(mine) == INTENT -> intent_seen = 1; dispatch()
  :: else
  fi;
  goto own;

end:
  skip
}

proctype network() {
end:
  do
  :: atomic { late_number != 0 ->
      create(late_number, late_block); late_number = 0; late_block = 0 }
  od
}

init {
  atomic {
    run daemon(0);
    run daemon(1);
    run network()
  }
}
