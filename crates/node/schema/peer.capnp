@0xd4c6a3f1b2e09785;
# Exchanges between nodes. The Rust in src/peer_capnp.rs is generated from this
# file and committed; CONTRIBUTING.md says how.

struct Upstream {
  service @0 :Text;
  slots @1 :UInt32;
  leaving @2 :Bool;
}

enum Standing {
  alive @0;
  suspect @1;
  dead @2;
  left @3;
}

struct Record {
  host @0 :Text;
  availabilityZone @1 :Text;
  peerAddress @2 :Text;
  controlAddress @3 :Text;
  operatorsAddress @4 :Text;
  incarnation @5 :UInt64;
  change @6 :UInt64;
  standing @7 :Standing;
  upstream :union {
    none @8 :Void;
    some @9 :Upstream;
  }
  # The node reads packed records.
  packs @10 :Bool;
}

# Records, compressed (zlib) for the way between nodes that both read them so.
struct Records {
  list @0 :List(Record);
}

# An upstream ended while the request was in progress there.
struct End {
  id @0 :UInt64;
  service @1 :UInt64;
  cleared @2 :Bool;
}

# A request under which upstreams ended: a digest of its head and, if it is known, of its body.
# What is left until it is forgotten is in seconds.
struct Suspect {
  head @0 :UInt64;
  body :union {
    unseen @1 :Void;
    digest @2 :UInt64;
  }
  ends @3 :List(End);
  trials @4 :UInt32;
  leftSeconds @5 :UInt32;
}

# State of an availability zone that was ever evacuated, with the store's epoch and revision that
# set it.
struct Evacuation {
  zone @0 :Text;
  evacuated @1 :Bool;
  epoch @2 :UInt64;
  revision @3 :Int64;
}

# One side of an exchange: records that the sender spreads, a digest of its table, and the
# revision of its preset and the version of its routing table, each with the document if
# the other's is known to be older. The routing table is the document as operators wrote it,
# compressed (zlib). Then what is new about requests that end upstreams, a digest of those that
# are held back, and all evacuations that are known.
struct Exchange {
  updates @0 :List(Record);
  digest @1 :UInt64;
  revision @2 :UInt64;
  inForce @3 :Data;
  routesVersion @4 :UInt64;
  routes @5 :Data;
  suspects @6 :List(Suspect);
  held @7 :UInt64;
  evacuations @8 :List(Evacuation);
  # In place of `updates`: Records, packed.
  packedUpdates @9 :Data;
  # The sender reads packed records.
  packs @10 :Bool;
}

interface Peer {
  exchange @0 (ours :Exchange) -> (theirs :Exchange);
  ask @1 (controlAddress :Text) -> (answered :Bool);
  table @2 (packs :Bool) -> (records :List(Record), packedRecords :Data);
}
