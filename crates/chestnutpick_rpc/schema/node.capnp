@0xb7e1d6a9c2f04835;
# Control protocol between entries and agents. Regenerate src/node_capnp.rs with
#   capnp compile -orust:src --src-prefix=schema schema/node.capnp
# (capnpc-rust 0.27 on PATH) and commit the result; builds do not run the compiler.

struct Suspect {
  fingerprint @0 :Data;
  # Host whose endpoint crashed, and the generation of the engine that did.
  host @1 :Text;
  generation @2 :UInt64;
  # Unix time of the crash, in milliseconds.
  at @3 :UInt64;
}

struct Report {
  host @0 :Text;
  # Unix time of the start of the process, in milliseconds; rises with each start.
  incarnation @1 :UInt64;
  # Position in the sequence of reports of this incarnation.
  sequence @2 :UInt64;
  # Revision of the configuration in force.
  revision @3 :UInt64;
  leaving @4 :Bool;
  # Fields below concern agents only.
  cold @5 :Bool;
  slots @6 :UInt32;
  running @7 :UInt32;
  memoryUsed @8 :UInt64;
  memoryLimit @9 :UInt64;
  # Attempts admitted at once at present; below `slots` while the endpoint is cold.
  admitLimit @10 :UInt32;
  loaded @11 :List(Data);
  services @12 :List(Text);
  # Chunks held and chunks in all of the version in transfer; both 0 when there is none.
  chunksHeld @13 :UInt32;
  chunksTotal @14 :UInt32;
  suspects @15 :List(Suspect);
  # Bytes drawn from the origin since the start of the process.
  originBytes @16 :UInt64;
  # A request that is suspected of crashing endpoints is running.
  suspectRunning @17 :Bool;
}

enum Verdict {
  # The attempt did not run and is barred from running.
  notRun @0;
  running @1;
  # The attempt ran; its response is attached.
  finished @2;
  unknown @3;
}

interface Node {
  # `permits` lists the versions that the receiver may load now.
  heartbeat @0 (sender :Text, revision :UInt64, suspects :List(Suspect), permits :List(Data)) -> (report :Report);
  # Offers a configuration document; returns the revision in force afterwards.
  putConfig @1 (revision :UInt64, document :Data) -> (revision :UInt64);
  # Returns the document if its revision is higher than `known`, else an empty one.
  getConfig @2 (known :UInt64) -> (revision :UInt64, document :Data);
  # Settles the outcome of an attempt whose claim is `claimAge` milliseconds old.
  settle @3 (attempt :Text, claimAge :UInt64) -> (verdict :Verdict, status :UInt16, body :Data);
  # Takes no new work from now on, as before a planned stop.
  drain @4 () -> ();
}
