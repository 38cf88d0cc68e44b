@0xd1c6a1f0b5e3a7c9;
# The interface between entries. docs/design/peers-and-views.md explains it.

interface Gate {
  # Bootstrap capability of an entry's peer port: all that an unauthenticated connection can call.

  challenge @0 () -> (nonce :Data);
  # A fresh nonce, good for one call of `enter` on this connection.

  enter @1 (caller :Identity, nonce :Data, proof :Data) -> (peer :Peer, callee :Identity, proof :Data);
  # `proof` is the HMAC-SHA-256, under the shared key, of both nonces and the caller's identity.
  # The answer proves the callee's knowledge of the key in the same way.
}

struct Identity {
  entry @0 :Text;
  incarnation @1 :Data;
  # The 16 bytes of a UUID that is fresh for each start of the entry's process.
}

interface Peer {
  # What an entry offers to an authenticated peer.

  attach @0 (back :Peer) -> ();
  # The caller's own side of the session, so that one connection carries both directions.

  exchange @1 (report :Delta) -> (report :Delta);
  # The caller's report for the callee's, each as the change since the last on this session.

  push @2 (records :List(Data)) -> (seq :UInt64);
  # New change records as JSON, in order. Answers with the seq then in force: the acknowledgement.

  pull @3 (after :UInt64) -> (newer :Newer);
  # What the callee has beyond `after`.

  refresh @4 () -> ();
  # Asks the callee, who opened the connection, to call `exchange` now. Only the side that opened
  # the connection calls `exchange`, so that the changes of a report stay in order.

  share @5 (pools :List(Slots)) -> ();
  # What the caller tells about the slots of its busy pools; one call for all of them.
}

struct Slots {
  # One entry's report on the slots of one pool; the entry is the caller.

  pool @0 :Text;
  incarnation @1 :UInt64;
  # Number of the caller's start, larger for a later one.

  number @2 :UInt64;
  # Orders the reports of one incarnation.

  demand @3 :List(Demand);
  lent @4 :List(Loan);
  seen @5 :List(Seen);
}

struct Demand {
  # Slots that an account's callers at this entry would keep busy.
  slots @0 :Float64;
  account @1 :Text;
}

struct Loan {
  # A stripe of the caller's slots, and who may use it.
  stripe @0 :UInt8;
  borrower @1 :Text;
}

struct Seen {
  # The newest report of a lender that the caller acted on, and stripes not given back yet.
  lender @0 :Text;
  incarnation @1 :UInt64;
  number @2 :UInt64;
  returning @3 :Data;
}

struct Newer {
  union {
    nothing @0 :Void;
    records @1 :List(Data);
    snapshot @2 :Snapshot;
  }
}

struct Snapshot {
  seq @0 :UInt64;
  rows @1 :List(Row);
}

struct Row {
  key @0 :Text;
  json @1 :Text;
}

struct Delta {
  # A change of the sender's report.

  number @0 :UInt64;
  # Number of the report within the sender's incarnation.

  seq @1 :UInt64;
  confirmedAge @2 :UInt64;
  # Milliseconds since the store last confirmed the view; the largest value stands for never.

  names @3 :List(Text);
  # Instances named for the first time on this session; each takes the next index.

  loads @4 :List(Load);
  drains @5 :List(Drain);
}

struct Load {
  # One word, so that a load costs 8 bytes; both counts at zero mean that it has gone.
  instance @0 :UInt32;
  inFlight @1 :UInt16;
  demand @2 :UInt16;
}

struct Drain {
  # A drain that the sender has in force; seq 0 means that it is over.
  seq @0 :UInt64;
  instance @1 :UInt32;
  inFlight @2 :UInt32;
}
