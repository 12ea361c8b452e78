@0xd5c1a3e97b204f68;
# Calls that nodes make to one another, on a connection that both sides have authenticated.
#
# Times are durations relative to the moment of sending, in milliseconds: clocks are not shared.
# Regenerate with the commands in docs/design/membership.md.

struct WideId {
  # An identifier of 128 bits.
  high @0 :UInt64;
  low @1 :UInt64;
}

enum MemberState {
  alive @0;
  suspect @1;
  left @2;
}

struct MemberNews {
  # What the sender knows of one member.
  node @0 :Text;
  incarnation @1 :UInt64;
  state @2 :MemberState;
  address @3 :Text;
  dataCentre @4 :Text;
}

enum DrainSubject {
  dataCentre @0;
  endpoint @1;
  node @2;
}

struct DrainNotice {
  # An order to take something out of duty, or to bring it back, that overrides the configuration.
  subject @0 :DrainSubject;
  name @1 :Text;
  out @2 :Bool;
  version @3 :UInt64;
  origin @4 :Text;
}

struct NodeSummary {
  # Fixed-size facts that ride on each probe message.
  epoch @0 :UInt64;
  revision @1 :UInt64;
  digest @2 :UInt64;
  coverageRevision @3 :UInt64;
  coverageEpoch @4 :UInt64;
  coverage @5 :Data;
  drainDigest @6 :UInt64;
  configurationDigest @7 :UInt64;
}

enum ProbeKind {
  ping @0;
  ack @1;
  indirectPing @2;
  leave @3;
}

struct ProbeMessage {
  kind @0 :ProbeKind;
  sequence @1 :UInt64;
  sender @2 :MemberNews;
  target @3 :Text;
  targetAddress @4 :Text;
  summary @5 :NodeSummary;
  news @6 :List(MemberNews);
  notices @7 :List(DrainNotice);
}

struct ListedMember {
  node @0 :Text;
  address @1 :Text;
  dataCentre @2 :Text;
}

struct MemberSnapshot {
  # All that the sender knows of the fleet.
  epoch @0 :UInt64;
  listed @1 :List(ListedMember);
  news @2 :List(MemberNews);
  notices @3 :List(DrainNotice);
  proposer @4 :Text;
}

struct ConfigurationRecord {
  # One resource as JSON at the revision of its newest write; an empty body means deleted.
  key @0 :Text;
  revision @1 :UInt64;
  body @2 :Text;
}

struct ConfigurationBatch {
  # Records with revisions above `since` and up to `through`, oldest first.
  since @0 :UInt64;
  through @1 :UInt64;
  newest @2 :UInt64;
  records @3 :List(ConfigurationRecord);
}

struct BudgetAmount {
  memoryTokens @0 :UInt64;
  concurrent @1 :UInt32;
}

struct ChargeSource {
  # A loan, or with number 0 a holder's own use of its share.
  lender @0 :Text;
  incarnation @1 :UInt64;
  number @2 :UInt64;
}

struct ChargePart {
  source @0 :ChargeSource;
  amount @1 :BudgetAmount;
}

struct GrantRequest {
  request @0 :WideId;
  attempt @1 :WideId;
  pool @2 :Text;
  account @3 :Text;
  service @4 :Text;
  promptTokens @5 :UInt64;
  maxOutputTokens @6 :UInt64;
  fingerprint @7 :UInt64;
  prefixBlocks @8 :List(UInt64);
  remainingMs @9 :UInt64;
  excluded @10 :List(Text);
}

enum PlacementReason {
  leastWork @0;
  onlyFit @1;
  prefixCached @2;
}

struct GrantTicket {
  # The receiver knows request, attempt, account and pool; times count from the decision.
  endpoint @0 :Text;
  epoch @1 :UInt64;
  fencing @2 :UInt64;
  memoryTokens @3 :UInt64;
  startWithinMs @4 :UInt64;
  queuedMs @5 :UInt64;
  priority @6 :UInt8;
  reason @7 :PlacementReason;
  charges @8 :List(ChargePart);
}

enum RefusalReason {
  # The meaning of `limit` and `given` in a refusal depends on the reason.
  accountConcurrency @0;
  accountRate @1;
  deadlineUnreachable @2;
  noEndpoint @3;
  queueFull @4;
  tooLarge @5;
  quarantined @6;
}

struct GrantRefusal {
  reason @0 :RefusalReason;
  given @1 :UInt64;
  limit @2 :UInt64;
  retryAfterMs @3 :UInt64;
}

struct OwnerHint {
  # The receiver of the question does not own the pool.
  owner @0 :Text;
  epoch @1 :UInt64;
}

struct GrantReply {
  union {
    ticket @0 :GrantTicket;
    refusal @1 :GrantRefusal;
    notOwner @2 :OwnerHint;
  }
}

enum AttemptOutcome {
  answered @0;
  refused @1;
  notSent @2;
  lost @3;
  failed @4;
  cancelled @5;
}

struct TokenUsage {
  promptTokens @0 :UInt64;
  completionTokens @1 :UInt64;
  cachedTokens @2 :UInt64;
}

struct PoolReport {
  # What an entry node tells the owner of a pool.
  pool @0 :Text;
  union {
    withdrawn :group {
      request @1 :WideId;
      attempt @2 :WideId;
    }
    started @3 :WideId;
    firstToken :group {
      attempt @4 :WideId;
      afterMs @5 :UInt64;
    }
    ended :group {
      attempt @6 :WideId;
      outcome @7 :AttemptOutcome;
      confirmedFree @8 :Bool;
      usage @9 :TokenUsage;
    }
    connectionReset @10 :Text;
    bootSeen :group {
      endpoint @11 :Text;
      boot @12 :Text;
    }
    died :group {
      attempt @13 :WideId;
      endpoint @14 :Text;
      boot @15 :Text;
    }
  }
}

struct ReconcileScope {
  # Charges to one loan, or to shares of its lender from lives before its incarnation.
  source @0 :ChargeSource;
  isEarlier @1 :Bool;
}

struct ShareMessage {
  endpoint @0 :Text;
  union {
    borrow :group {
      epoch @1 :UInt64;
      askedAtNs @2 :UInt64;
      incarnation @3 :UInt64;
    }
    lend :group {
      epoch @4 :UInt64;
      loan @5 :ChargeSource;
      amount @6 :BudgetAmount;
      termMs @7 :UInt64;
      askedAtNs @8 :UInt64;
      incarnation @9 :UInt64;
    }
    recall @10 :ChargeSource;
    return :group {
      loan @11 :ChargeSource;
      kept @12 :BudgetAmount;
    }
    returned @13 :ChargeSource;
    reconcile @14 :ReconcileScope;
    holdings :group {
      scope @15 :ReconcileScope;
      held @16 :BudgetAmount;
    }
    retire @17 :UInt64;
    retired :group {
      epoch @18 :UInt64;
      kept @19 :BudgetAmount;
    }
  }
}

interface Peer {
  probe @0 (message :ProbeMessage) -> (replies :List(ProbeMessage));
  pullMembers @1 () -> (snapshot :MemberSnapshot);
  pullConfiguration @2 (sinceRevision :UInt64) -> (batch :ConfigurationBatch);
  requestGrant @3 (request :GrantRequest) -> (reply :GrantReply);
  report @4 (reports :List(PoolReport)) -> ();
  shares @5 (messages :List(ShareMessage)) -> ();
  forwardDrain @6 (notice :DrainNotice) -> ();
}
