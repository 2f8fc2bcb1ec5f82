/* The lane journal in the key-value service: appends, takeover, intent
 * before dispatch, refusals, snapshots with trimming.
 *
 * Two daemons contend for one lane. Two requests ask for the same
 * non-idempotent call (the same idempotency key). At any step a daemon may
 * be paused (interleaving) or die, a request to the service may be lost, its
 * answer may be lost, or it may take effect long after its time-out.
 *
 * A -D flag takes one guard away; every such variant must fail.
 */

#define DAEMONS 2
#define REQUESTS 2
#ifndef BLOCKS
#define BLOCKS 5
#endif
#ifndef FAULTS
#define FAULTS 1
#endif
#ifndef DEATHS
#define DEATHS 1
#endif

/* Kinds of block. */
#define ABSENT 0
#define TAKEOVER 1
#define INTENT 2
#define RAN 3
#define NOT_RUN 4

/* What a request was told. */
#define WAITING 0
#define TAKEN 1
#define TOLD_RAN 2
#define TOLD_NOT_RUN 3
#define TOLD_MAY_HAVE_RUN 4
#define BROKEN_OFF 5

/* The call, as replayed. */
#define FREE 0
#define OPEN 1
#define DONE 2

/* Outcomes of an append. */
#define COMMITTED 1
#define CONFLICT 2
#define SILENT 3

byte kind[BLOCKS + 2];
byte uid[BLOCKS + 2];
bit stray[BLOCKS + 2];  /* Created a second time after it was trimmed. */
byte newest;            /* Number of the last block. */
byte first = 1;         /* Lower blocks are trimmed. */
byte covered;           /* The snapshot holds the blocks up to here. */

byte told[REQUESTS];
byte runs;              /* Dispatches of the call. */
byte faults = FAULTS;
byte deaths = DEATHS;
byte incarnations[DAEMONS];

/* A write that takes effect after its sender gave up waiting. */
byte late_number[DAEMONS];
byte late_kind[DAEMONS];
byte late_uid[DAEMONS];

#define exists(n) ((n >= first && kind[n] != ABSENT) || stray[n])

#if defined(NO_PREVIOUS_BLOCK_CHECK)
#define follows(n) (true)
#elif defined(FIRST_BLOCK_UNGUARDED)
#define follows(n) (n == 1 || exists(n - 1))
#else
#define follows(n) ((n == 1 && covered == 0) || (n > 1 && exists(n - 1)))
#endif

/* One transaction of the service. */
inline create(n, k, id) {
  if
  :: !exists(n) && follows(n) ->
    if
    :: n < first -> stray[n] = 1
    :: else -> kind[n] = k; uid[n] = id; newest = n
    fi;
    created = 1
  :: else -> created = 0
  fi
}

/* Answered; answer lost; request lost; or in effect later. A conflict is
 * settled by reading the block's unique id. */
inline append(k) {
  atomic {
    if
    :: create(last + 1, k, id);
      if
      :: created || (last + 1 >= first && uid[last + 1] == id &&
                     kind[last + 1] == k) -> outcome = COMMITTED
      :: else -> outcome = CONFLICT
      fi
    :: faults > 0 -> faults--; create(last + 1, k, id); outcome = SILENT
    :: faults > 0 -> faults--; outcome = SILENT
    :: faults > 0 && late_number[d] == 0 ->
      faults--;
      late_number[d] = last + 1; late_kind[d] = k; late_uid[d] = id;
      outcome = SILENT
    fi;
    created = 0
  }
}

inline replay() {
  atomic {
    /* Nothing that was committed may be missing. */
    assert(first <= covered + 1);
    last = newest;
    call = FREE;
    n = 1;
    do
    :: n > newest -> break
    :: else ->
      if
      :: kind[n] == INTENT -> call = OPEN
      :: kind[n] == RAN -> call = DONE
      :: kind[n] == NOT_RUN -> call = FREE
      :: else
      fi;
      n++
    od;
    n = 0;
    id = 1 + d + DAEMONS * incarnations[d];
    outcome = 0; refused = 0; request = 0
  }
}

inline dispatch() {
  atomic {
    assert(told[request] != TOLD_NOT_RUN);
    runs++;
    assert(runs <= 1)
  }
}

proctype daemon(byte d) {
  byte last, n, call, request, id, outcome;
  bit created, refused;

start:
  replay();
  if
  :: last + 2 > BLOCKS -> goto end
  :: else
  fi;
  append(TAKEOVER);
  if
  :: outcome == COMMITTED -> last++
  :: outcome == CONFLICT -> goto start
  /* In doubt: replay and try again with another unique id. */
  :: outcome == SILENT -> incarnations[d]++; goto start
  fi;
  outcome = 0;

own:
  if
  :: last + 2 > BLOCKS -> goto end
  :: else
  fi;
  if
  :: goto snapshot
  :: atomic { told[0] == WAITING -> told[0] = TAKEN; request = 0 }
  :: atomic { told[1] == WAITING -> told[1] = TAKEN; request = 1 }
  :: atomic { deaths > 0 -> deaths--; incarnations[d]++; goto start }
  :: atomic { told[0] != WAITING && told[1] != WAITING -> goto end }
  /* The other daemon takes the lane though this one lives. */
  :: goto start
  fi;

#ifdef FOREIGN_INTENT_TAKEN_AS_NOT_RUN
  if
  :: call == OPEN -> call = FREE
  :: else
  fi;
#endif
  if
  :: call == DONE -> told[request] = TOLD_RAN; goto own
  :: call == OPEN -> told[request] = TOLD_MAY_HAVE_RUN; goto own
  :: else
  fi;

#ifdef DISPATCH_BEFORE_COMMIT
  dispatch();
#endif
  refused = 0;
intent:
  append(INTENT);
#ifdef SILENCE_TAKEN_AS_COMMITTED
  if
  :: outcome == SILENT -> outcome = COMMITTED
  :: else
  fi;
#endif
  if
  :: outcome == COMMITTED -> last++; call = OPEN
  :: outcome == CONFLICT ->
    /* Another daemon owns the lane: the request is routed to it. */
    atomic {
      if
      :: !refused -> told[request] = WAITING
      :: else
      fi
    };
    goto start
  :: outcome == SILENT ->
    /* The caller's time may pass while the block is in doubt. Whatever
     * comes, the same block is tried again. */
    if
    :: !refused -> told[request] = TOLD_NOT_RUN; refused = 1
    :: true
    fi;
    goto intent
  fi;
  outcome = 0;

  if
#ifdef DISPATCH_AFTER_REFUSAL
  :: true -> skip
#else
  :: !refused -> skip
#endif
  :: goto withdraw
  :: atomic { deaths > 0 && !refused -> deaths--;
              told[request] = BROKEN_OFF;
              incarnations[d]++; goto start }
  fi;
#ifndef DISPATCH_BEFORE_COMMIT
  dispatch();
#endif
  if
  :: atomic { deaths > 0 -> deaths--;
              if
              :: told[request] == TAKEN -> told[request] = BROKEN_OFF
              :: else
              fi;
              incarnations[d]++; goto start }
  :: skip
  fi;
ran:
  if
  :: last + 1 > BLOCKS -> goto end
  :: else
  fi;
  append(RAN);
  if
  :: outcome == COMMITTED ->
    last++; call = DONE; told[request] = TOLD_RAN; outcome = 0; goto own
  :: outcome == CONFLICT -> told[request] = TOLD_MAY_HAVE_RUN; goto start
  :: outcome == SILENT -> goto ran
  fi;

withdraw:
  /* Committed, but too late to dispatch: recorded as not run. */
#ifdef REFUSED_BEFORE_RECORDED
  told[request] = TOLD_NOT_RUN;
  refused = 1;
  if
  :: skip
  :: dispatch()  /* A second path to the back end, not yet told. */
  fi;
#endif
  if
  :: last + 1 > BLOCKS -> goto end
  :: else
  fi;
  append(NOT_RUN);
  if
  :: outcome == COMMITTED ->
    last++; call = FREE; told[request] = TOLD_NOT_RUN; outcome = 0; goto own
  :: outcome == CONFLICT ->
    atomic {
      if
      :: !refused -> told[request] = WAITING
      :: else
      fi
    };
    goto start
  :: outcome == SILENT -> goto withdraw
  fi;

snapshot:
#if defined(TRIM_BEFORE_SNAPSHOT)
  if
  :: first < last -> first = last
  :: else
  fi;
  covered = last;
#elif defined(SNAPSHOT_UNCHECKED)
  /* The head is put whatever became of the blocks, the trim follows. */
  covered = last;
  if
  :: first < last -> first = last
  :: else
  fi;
#else
  /* One transaction: while block `last` is there, the snapshot up to it
   * becomes the newest and the blocks before it go. */
  atomic {
    if
    :: exists(last) && last >= first -> covered = last; first = last
    :: else
    fi
  };
#endif
  goto own;

end:
  skip
}

proctype network() {
  bit created;
end:
  do
  :: atomic {
      late_number[0] != 0 ->
      create(late_number[0], late_kind[0], late_uid[0]);
      created = 0; late_number[0] = 0; late_kind[0] = 0; late_uid[0] = 0
    }
  :: atomic {
      late_number[1] != 0 ->
      create(late_number[1], late_kind[1], late_uid[1]);
      created = 0; late_number[1] = 0; late_kind[1] = 0; late_uid[1] = 0
    }
  od
}

init {
  atomic {
    run daemon(0);
    run daemon(1);
    run network()
  }
}
