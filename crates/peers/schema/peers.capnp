@0x8c4e535e455f4273;
# What daemons say to each other. See docs/PEERS.md.
#
# After a change, see docs/PEERS.md for how to generate the code anew.

interface Door {
  # What a daemon offers to whoever connects.

  hello @0 (beat :Beat) -> (beat :Beat, session :Session);
  # Says who calls. The session belongs to that daemon.
}

interface Session {
  # What a daemon offers to one other daemon.

  beat @0 (beat :Beat) -> (beat :Beat);
  tokens @1 (ask :TokenAsk) -> (answer :TokenAnswer);
  slices @2 (wants :List(SliceWant)) -> (offers :List(SliceOffer));
  giveBack @3 (returns :List(SliceReturn)) -> ();
  settle @4 (settlements :List(Settlement)) -> ();
  settings @5 (known :Int64, holdMillis :UInt32) -> (view :SettingsView);
  suspects @6 (facts :List(SuspectFact)) -> (ack :NoticeAck);
  announce @7 (notices :List(LiveNotice)) -> (bulk :List(UInt32));
  # Live requests on their way to servers whose home the other side is. The
  # answer tells the bulk requests on each of these servers, in their order.
}

struct Beat {
  name @0 :Text;
  zone @1 :UInt32;
  address @2 :Text;
  incarnation @3 :UInt64;
  leaving @4 :Bool;
  settingsRevision @5 :Int64;
  rosterRevision @6 :Int64;
  viewAgeMicros @7 :UInt64;
}

struct LiveNotice {
  server @0 :UInt64;
  count @1 :UInt32;
}

struct TokenAsk {
  customer @0 :UInt64;
  want @1 :UInt32;
  slot @2 :UInt8;
  home @3 :Bool;
  hasSpent @4 :Bool;
  spent @5 :UInt64;
}

struct TokenAnswer {
  union {
    granted :group {
      grant @0 :UInt64;
      count @1 :UInt32;
      settle @2 :Bool;
    }
    empty :group {
      retryMicros @3 :UInt64;
      complete @4 :Bool;
    }
    notHolder @5 :Void;
    stale @6 :Void;
  }
}

struct Settlement {
  customer @0 :UInt64;
  grant @1 :UInt64;
  unspent @2 :UInt32;
  slot @3 :UInt8;
}

struct SliceWant {
  customer @0 :UInt64;
  loan @1 :UInt64;
  sent @2 :UInt64;
  slot @3 :UInt8;
}

struct SliceOffer {
  customer @0 :UInt64;
  loan @1 :UInt64;
  sent @2 :UInt64;
  slot @3 :UInt8;
  rate @4 :UInt64;
  capacity @5 :UInt64;
  tokens @6 :UInt64;
}

struct SliceReturn {
  customer @0 :UInt64;
  loan @1 :UInt64;
  tokens @2 :UInt64;
  slot @3 :UInt8;
}

struct SettingsView {
  known @0 :Bool;
  # False while the daemon has no view yet.
  base @1 :Int64;
  revision @2 :Int64;
  ageMicros @3 :UInt64;
  direct @4 :Bool;
  written @5 :List(SettingsPair);
  deleted @6 :List(Text);
}

struct SettingsPair {
  key @0 :Text;
  value @1 :Data;
  modified @2 :Int64;
  created @3 :Int64;
  version @4 :Int64;
}

struct Fingerprint {
  high @0 :UInt64;
  low @1 :UInt64;
}

struct SuspectFact {
  fingerprint @0 :Fingerprint;
  stage @1 :Stage;
  deaths @2 :List(DeathFact);
  lifetimeMicros @3 :UInt64;

  enum Stage {
    suspected @0;
    blocked @1;
    cleared @2;
  }
}

struct DeathFact {
  seenBy @0 :UInt64;
  number @1 :UInt64;
  server @2 :UInt64;
  ageMicros @3 :UInt64;
  ranMicros @4 :UInt64;
}

struct NoticeAck {
  noted @0 :List(Fingerprint);
  running @1 :List(Fingerprint);
  facts @2 :List(SuspectFact);
}
