/* The outage path: while the key-value service is silent, the owner writes
 * the same block to every holder named for the lane, and counts it as
 * committed only when all have it. Blocks reach the service in order when it
 * answers again. A daemon that takes over first seals one holder against
 * lower epochs and uploads what it finds there.
 *
 * Two daemons, two pairs of holders, one non-idempotent call and any number of
 * idempotent ones. A block may name the second pair; it is committed in the
 * service only. Any request to the service or to a holder may be lost, or its
 * answer may. A write to the service may take effect after its time-out. A
 * daemon may be paused (interleaving) or die at any step.
 *
 * A daemon that waited in vain for both holders takes over without a seal.
 * Whether they are gone for good or merely out of its reach it cannot know:
 * the owner may still reach them. Spooled blocks may be lost then, and only
 * then; at most once holds all the same, because a non-idempotent call is
 * never dispatched on a spooled block.
 *
 * A -D flag takes one guard away, or makes a claim that is not true (CLAIM_);
 * every such variant must fail.
 */

#ifndef BLOCKS
#define BLOCKS 4
#endif
#ifndef FAULTS
#define FAULTS 2
#endif

#define NONE 0
#define TAKEOVER 1
#define UNSEALED 2 /* A takeover that could seal no holder. */
#define INTENT 3 /* Of the non-idempotent call. */
#define IDEMPOTENT 4 /* The intent of a call that may run again. */
#define HOLDERS 5 /* From here on the second pair. */

/* A block is its kind, and the epoch and daemon of its owner. */
#define block(k, e, d) ((k) + 8 * (d) + 16 * (e))
#define kind_of(b) ((b) % 8)
#define epoch_of(b) ((b) / 16)

#define LAST (BLOCKS + 1)
#define at(h, n) ((h) * (LAST + 1) + (n))

byte chain[LAST + 1];     /* In the service. */
byte newest;
byte spool[4 * (LAST + 1)]; /* At each holder. */
byte sealed[4];           /* Epoch that each holder is sealed to. */
byte committed[LAST + 1]; /* What an owner took as committed, not yet there. */
byte runs;
byte blocks;  /* Bounds, see init: length of the chain, */
byte faults;  /* lost or late messages, */
byte changes; /* changes of holders, */
byte losses;  /* takeovers without a seal. */
byte unsealed; /* Epoch of the newest takeover without a seal. */
byte late_number;
byte late_block;
hidden byte i; /* Of loops within one step. */

#ifdef UPLOAD_OUT_OF_ORDER
#define follows(n) (true)
#else
#define follows(n) (n == 1 || chain[n - 1] != NONE)
#endif

/* What older epochs spooled from block `n` on may be lost. */
inline abandon(n, e) {
  unsealed = e;
  i = n;
  do
  :: i > LAST -> break
  :: else ->
#ifdef CLAIM_HISTORY_SURVIVES_THE_LOSS_OF_BOTH
    assert(committed[i] == NONE);
#endif
    committed[i] = NONE;
    i++
  od;
  i = 0
}

inline create(n, b) {
  if
  :: chain[n] == NONE && follows(n) ->
    chain[n] = b;
    /* No owner of the past writes behind a newer one. */
    assert(n == 1 || chain[n - 1] == NONE ||
           epoch_of(chain[n - 1]) <= epoch_of(b));
    if
    :: kind_of(b) == UNSEALED -> abandon(n, epoch_of(b))
    :: else
    fi;
    if
    :: n > newest -> newest = n
    :: else
    fi;
    /* Nothing committed is ever lost to another block. */
    assert(committed[n] == NONE || committed[n] == b);
    committed[n] = NONE;
    /* What holders keep of a block in the chain decides nothing: no taker
     * uploads it. Forgotten at once, it makes fewer states. */
    spool[at(0, n)] = NONE;
    spool[at(1, n)] = NONE;
    spool[at(2, n)] = NONE;
    spool[at(3, n)] = NONE
  :: else
  fi
}

inline commit(n, b) {
  if
  :: epoch_of(b) < unsealed && chain[n] != b /* Lost with its holders. */
  :: else ->
    assert(committed[n] == NONE || committed[n] == b);
    assert(chain[n] == NONE || chain[n] == b);
    if
    :: chain[n] == NONE -> committed[n] = b
    :: else
    fi
  fi
}

/* `outcome`: 1 committed, 2 another block is there, 3 no answer. */
inline append(n, b) {
  atomic {
    if
    :: create(n, b);
      if
      :: chain[n] == b -> commit(n, b); outcome = 1
      :: chain[n] != b -> outcome = 2
      :: faults > 0 -> faults--; outcome = 3
      fi
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
      if
      :: chain[n] == NONE -> spool[at(h, n)] = b
      :: else
      fi;
      if
      :: stored = 1
      :: faults > 0 -> faults--; stored = 0
      fi
    :: faults > 0 -> faults--; stored = 0
    fi
  }
}

#ifdef UPLOAD_OF_OLDER_EPOCHS
#define current(b) (true)
#else
#define current(b) (epoch_of(b) >= epoch)
#endif

/* What a sealed holder has past the end of the chain goes up in order. */
inline upload(h) {
  do
  :: atomic {
      replayed < blocks && chain[replayed + 1] == NONE &&
      spool[at(h, replayed + 1)] != NONE &&
      current(spool[at(h, replayed + 1)]) ->
      create(replayed + 1, spool[at(h, replayed + 1)]);
      replayed++; epoch = epoch_of(chain[replayed])
    }
  :: atomic { replayed < blocks && chain[replayed + 1] != NONE ->
      replayed++; epoch = epoch_of(chain[replayed]) }
  :: else -> break
  od
}

/* Whether the second pair is named up to block `n`. */
inline read_pair(n, found) {
  found = 0;
  i = 1;
  do
  :: i > n -> break
  :: else ->
    if
    :: kind_of(chain[i]) == HOLDERS -> found = 1
    :: else
    fi;
    i++
  od;
  i = 0
}

#define may_write (last < blocks && served < 2)

/* A block of one's own that is spooled. Another's in its place: lost. */
inline upload_own(n) {
  if
  :: spooled[n] != NONE ->
#ifndef DROP_BEFORE_UPLOAD
    create(n, spooled[n]);
#ifndef UPLOAD_PAST_ANOTHER_BLOCK
    if
    :: chain[n] != spooled[n] -> goto start
    :: else
    fi;
#endif
#endif
    /* Known to be in the service: the holders may forget it. */
    spool[at(2 * pair, n)] = NONE;
    spool[at(2 * pair + 1, n)] = NONE;
    spooled[n] = NONE
  :: else
  fi
}

inline next_spooled() {
  n++;
  do
  :: n > last || spooled[n] != NONE -> break
  :: else -> n++
  od
}

inline dispatch() {
  runs++;
  assert(runs <= 1)
}

/* Nothing is left of an earlier incarnation. */
inline forget() {
  outcome = 0; mine = 0; intent_seen = 0; stored = 0; served = 0;
  target = 0; last = 0; newest_pair = 0; takeover = 0;
  replayed = 0; epoch = 0; pair = 0; h = 0; n = 0;
  do
  :: n > LAST -> break
  :: else -> spooled[n] = NONE; n++
  od;
  n = 0
}

proctype daemon(byte d) {
  byte replayed, epoch, target, last, outcome, n, mine, served, takeover, h;
  byte spooled[LAST + 1]; /* Own blocks that are not in the service yet. */
  bit stored, intent_seen, pair, newest_pair;

start:
  atomic {
    forget();
    takeover = TAKEOVER;
    replayed = newest;
    read_pair(replayed, pair);
    if
    :: replayed > 0 -> epoch = epoch_of(chain[replayed])
    :: else
    fi;
    target = epoch + 1;
    assert(newest < 2 || chain[newest - 1] != NONE);
    /* Bounds the states; past a takeover without a seal, uploads matter to
     * the end of the chain. */
    if
    :: replayed >= blocks || (replayed + 1 >= blocks && unsealed == 0) ->
      goto end
    :: else
    fi
  }
#ifndef TAKEOVER_WITHOUT_SEALING
  if
  :: atomic { sealed[2 * pair] <= epoch + 1 ->
      h = 2 * pair; sealed[h] = epoch + 1 }
  :: atomic { sealed[2 * pair + 1] <= epoch + 1 ->
      h = 2 * pair + 1; sealed[h] = epoch + 1 }
  /* Both are sealed to a later epoch: another daemon is taking over. */
  :: atomic { sealed[2 * pair] > epoch + 1 && sealed[2 * pair + 1] > epoch + 1
      -> goto end }
  /* Neither answered for as long as it is waited for them. */
  :: atomic { losses > 0 -> losses--; takeover = UNSEALED }
  fi;
#ifndef TAKEOVER_BEFORE_UPLOAD
  if
  :: takeover == TAKEOVER -> upload(h)
  :: else
  fi;
#endif
#endif
  atomic {
#ifndef SEAL_NOT_RENEWED
    /* Another took over meanwhile: this seal does not bind that owner. */
    if
    :: epoch + 1 != target -> goto start
    :: else
    fi;
#endif
#ifndef HOLDERS_NOT_READ_AGAIN
    /* Other holders were named meanwhile: the seal is at the wrong ones. */
    read_pair(replayed, newest_pair);
    if
    :: newest_pair != pair -> goto start
    :: else
    fi;
#endif
    if
    :: replayed + 1 >= blocks -> goto end
    :: else
    fi
  }
  append(replayed + 1, block(takeover, epoch + 1, d));
  atomic {
    if
    :: outcome == 1 -> epoch++; last = replayed + 1; outcome = 0
    :: else -> goto start
    fi;
    /* Intents of the chain so far. */
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
    read_pair(last, pair);
    n = 0; replayed = 0; takeover = 0; newest_pair = 0; target = 0; h = 0
  }

own:
  if
  :: last >= blocks || served >= 2 -> goto end
  :: may_write -> goto start /* Another incarnation, or paused and back. */
  :: may_write -> goto end /* Dies. */
  :: atomic { may_write && served == 0 && !intent_seen ->
      mine = block(INTENT, epoch, d) }
  :: atomic { may_write -> mine = block(IDEMPOTENT, epoch, d) }
  :: atomic { may_write && pair == 0 && changes > 0 -> changes--; mine = block(HOLDERS, epoch, d) }
  fi;

write:
  /* One block, and no other, until it is known committed. */
  append(last + 1, mine);
  if
  :: outcome == 1 -> goto done
  :: outcome == 2 -> goto start
  :: else
  fi;
#ifdef HOLDERS_USED_BEFORE_COMMITTED
  if
  :: kind_of(mine) == HOLDERS -> pair = 1
  :: else
  fi;
#else
  /* Only the service takes the names of other holders. */
  if
  :: kind_of(mine) == HOLDERS ->
    if
    :: goto write
    :: goto end
    fi
  :: else
  fi;
#endif
  /* The service is silent: every holder must have the block. */
  store(2 * pair, last + 1, mine);
#ifdef ONE_HOLDER_ENOUGH
  if
  :: stored -> goto in_spool
  :: else
  fi;
  store(2 * pair + 1, last + 1, mine);
  if
  :: stored -> goto in_spool
  :: else -> goto write
  fi;
#else
  if
  :: stored -> store(2 * pair + 1, last + 1, mine)
  :: else
  fi;
  if
  :: stored -> goto in_spool
  :: goto write
  :: goto end
  fi;
#endif

in_spool:
  atomic {
    commit(last + 1, mine);
    last++;
    served++;
    spooled[last] = mine;
    /* The caller of the non-idempotent call is told that it did not run. */
    if
    :: kind_of(mine) == INTENT ->
      intent_seen = 1;
#ifdef NON_IDEMPOTENT_DISPATCHED_ON_SPOOL
      dispatch()
#endif
    :: kind_of(mine) == HOLDERS
    :: else ->
      /* Dispatched: as often as it takes. */
#ifdef CLAIM_NOTHING_IS_DISPATCHED_ON_SPOOL
      assert(false)
#endif
      skip
    fi
  };
  /* While it stays silent the next block goes the same way; else what is
   * spooled goes up in order before anything new. */
  if
  :: atomic { may_write ->
    if
    :: !intent_seen -> mine = block(INTENT, epoch, d)
    :: mine = block(IDEMPOTENT, epoch, d)
    fi };
    store(2 * pair, last + 1, mine);
    if
    :: stored -> store(2 * pair + 1, last + 1, mine)
    :: else
    fi;
    if
    :: stored -> goto in_spool
    :: else -> goto end
    fi
  :: goto end
  :: skip
  fi;
#ifdef UPLOAD_OUT_OF_ORDER
  n = last;
  do
  :: n == 0 -> break
  :: else -> atomic { upload_own(n); n-- }
  od;
#else
  n = 1;
  do
  :: n > last -> break
  :: else -> atomic { upload_own(n); next_spooled() }
  od;
#endif
  n = 0;
  goto own;

done:
  atomic {
    last++;
    served++;
    outcome = 0;
    if
    :: kind_of(mine) == INTENT -> intent_seen = 1; dispatch()
    :: kind_of(mine) == HOLDERS -> pair = 1
    :: else
    fi;
    mine = 0;
    goto own
  };

end:
  atomic { forget() }
}

proctype network() {
end:
  do
  :: atomic { late_number != 0 ->
      create(late_number, late_block); late_number = 0; late_block = 0 }
  od
}

/* All of them together are more states than a check has time for. */
init {
  atomic {
    if
    :: blocks = BLOCKS - 1; faults = 1; losses = 1
    :: blocks = BLOCKS; faults = 1; changes = 1
    :: blocks = BLOCKS; faults = FAULTS
    fi;
    run daemon(0);
    run daemon(1);
    run network()
  }
}
