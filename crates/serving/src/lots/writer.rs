//! Writes claims on lots, and the results and fault counts guarded by them.

use std::rc::Rc;

use comfreyramp_policy::Timestamp;
use comfreyramp_store::{
    Comparison, KeyRange, LeaseId, PlatformStore, RetryPolicy, Revision, StoreError,
    TransactionAnswer, Write, WriteBatch, WriteOnceOutcome, write_once,
};

use super::{
    held_lot::HeldLot,
    keys,
    records::{
        AgeRecord, ClaimRecord, HoldMark, ItemFaults, OpenMark, from_json, to_json, to_packed,
    },
};
use crate::{dialect::Dialect, model::ItemResult, node::Node};

/// Number of attempts at a write before the caller backs off.
const MAX_WRITE_ATTEMPTS: u32 = 3;

/// Outcome of claiming and reading a lot.
#[derive(Debug)]
pub(super) enum ClaimAnswer {
    /// This daemon holds the lot, in the state that was read from the store.
    Claimed(Box<HeldLot>),
    /// The lot has nothing left to run.
    NothingLeft,
    /// Another daemon holds the lot.
    Taken,
    /// The store didn't answer; the claim is repeated later.
    Unknown,
}

/// Outcome of a write that is guarded by a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteAnswer {
    /// The store holds the written data.
    Written,
    /// Another daemon holds the claim, or the lot was ended.
    Fenced,
    /// The store refused the write for good, as it refuses values that are too large. Nothing
    /// of it is written, and repeating it would be in vain.
    Rejected,
    /// The store didn't answer; the same write is repeated later.
    Unknown,
}

/// Claims a lot, which this daemon knows since `known_since`, and reads its records.
pub(super) async fn claim_lot<D: Dialect>(
    node: &Rc<Node<D>>,
    lot: &str,
    known_since: Timestamp,
) -> ClaimAnswer {
    let Some(lease) = node.lease() else {
        return ClaimAnswer::Unknown;
    };
    let mark = HoldMark {
        incarnation: node.incarnation,
        lease: lease.id,
    };
    let hold = HoldStage::Begins(mark);
    let revision = match write_claim(node, lot, lease.id, hold).await {
        Ok(ClaimOutcome::Claimed(revision)) => revision,
        Ok(ClaimOutcome::Taken) => return ClaimAnswer::Taken,
        Ok(ClaimOutcome::Ended) => return ClaimAnswer::NothingLeft,
        Err(error) => return claim_unknown(node, lot, &error),
    };
    let range = KeyRange::Prefix(keys::data(lot));
    let requested_at = node.clock.now();
    let listed = match node.store.range(range, 0).await {
        Ok(listed) => listed,
        Err(error) => {
            remove_claim(node, lot, revision, mark, Vec::new()).await;
            return claim_unknown(node, lot, &error);
        }
    };
    let now = node.clock.now();
    let taken = node
        .lot_cache
        .borrow_mut()
        .add_stored(lot, &listed.pairs, requested_at, now);
    if let Err(error) = taken {
        log::error!(lot = lot, error:% = error; "lots: a record is damaged");
    }
    match HeldLot::load(lot, &listed.pairs, mark, known_since, requested_at, now) {
        Ok(Some(mut held)) if !held.is_done() => {
            held.claim = Some(revision);
            held.lease = Some(lease.id);
            ClaimAnswer::Claimed(Box::new(held))
        }
        Ok(_) => {
            let then = vec![Write::Delete(keys::open(lot))];
            remove_claim(node, lot, revision, mark, then).await;
            ClaimAnswer::NothingLeft
        }
        Err(error) => {
            log::error!(lot = lot, error:% = error; "lots: a record is damaged");
            ClaimAnswer::NothingLeft
        }
    }
}

fn claim_unknown<D: Dialect>(node: &Node<D>, lot: &str, error: &StoreError) -> ClaimAnswer {
    node.record_store_error(error);
    log::warn!(lot = lot, error:% = error; "lots: not claimed, since the store failed");
    ClaimAnswer::Unknown
}

/// Outcome of the write of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClaimOutcome {
    /// This daemon holds the lot by the claim at this revision.
    Claimed(Revision),
    /// Another daemon holds the lot or has written further results.
    Taken,
    /// The customer ended the lot.
    Ended,
}

/// Whether a daemon already runs the lot that it claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HoldStage {
    /// It doesn't, and leaves this mark with the claim.
    Begins(HoldMark),
    /// It does, and its lease expired.
    Held {
        /// Number of the group of results that it would write next.
        next_group: usize,
    },
}

/// Writes a claim.
///
/// The claim of a restarted daemon is bound to a lease that expires only seconds later. Its
/// new incarnation runs nothing of the lot, so a claim with the incarnation number of a
/// former process is taken over at once.
///
/// A daemon that was cut off may miss that another one took its lot over and wrote further
/// results, or stopped it when its customer ended it, and left no claim behind. So the
/// claim is written only if there is neither an end record nor a further group.
pub(super) async fn write_claim<D: Dialect>(
    node: &Node<D>,
    lot: &str,
    lease: LeaseId,
    hold: HoldStage,
) -> Result<ClaimOutcome, StoreError> {
    let own = ClaimRecord {
        daemon: node.settings.name.clone(),
        incarnation: node.incarnation,
        lease: lease.0,
    };
    let key = keys::claim(lot);
    let mut claim_condition = Comparison::Absent(key.clone());
    loop {
        let mut when = vec![claim_condition.clone(), Comparison::Absent(keys::end(lot))];
        let mut then = vec![Write::Put {
            key: key.clone(),
            value: to_json(&own),
            lease: Some(lease),
        }];
        match hold {
            HoldStage::Begins(mark) => then.push(Write::Put {
                key: keys::hold_mark(lot, mark),
                value: to_json(&node.settings.name),
                lease: None,
            }),
            HoldStage::Held { next_group } => {
                when.push(Comparison::Absent(keys::group(lot, next_group)));
            }
        }
        let batch = WriteBatch {
            when,
            then,
            read_back: vec![key.clone(), keys::end(lot)],
        };
        let policy = RetryPolicy::new(node.incarnation).attempts(MAX_WRITE_ATTEMPTS);
        let found = match write_once(&node.store, batch, policy).await? {
            WriteOnceOutcome::Written(revision) => return Ok(ClaimOutcome::Claimed(revision)),
            WriteOnceOutcome::Refused { found, .. }
            | WriteOnceOutcome::Superseded { found, .. } => found,
        };
        if found.iter().any(|it| it.key == keys::end(lot)) {
            return Ok(ClaimOutcome::Ended);
        }
        let Some(pair) = found.iter().find(|it| it.key == key) else {
            return Ok(ClaimOutcome::Taken);
        };
        let Ok(claim) = from_json::<ClaimRecord>(pair) else {
            return Ok(ClaimOutcome::Taken);
        };
        if claim == own {
            return Ok(ClaimOutcome::Claimed(pair.modified));
        }
        let is_first = matches!(claim_condition, Comparison::Absent(_));
        if !is_first || !node.is_former_incarnation(&claim.daemon, claim.incarnation) {
            return Ok(ClaimOutcome::Taken);
        }
        log::info!(lot = lot, daemon = claim.daemon; "lots: a claim of a former life is taken over");
        claim_condition = Comparison::ModifiedAt(key.clone(), pair.modified);
    }
}

/// What is left of a lot after a group of its results.
#[derive(Clone, Debug)]
pub(super) enum LotRemainder {
    /// Items without a result.
    Items(OpenMark, AgeRecord),
    /// Nothing; its holder leaves it.
    Nothing(HoldMark),
}

/// Writes a group of results and updates the lot's open mark and age. Once the lot has all
/// its results, its marks and the claim are deleted instead.
pub(super) async fn write_results<D: Dialect>(
    node: &Node<D>,
    lot: &str,
    claim: Revision,
    number: usize,
    results: &[ItemResult],
    remainder: &LotRemainder,
) -> WriteAnswer {
    let claim_key = keys::claim(lot);
    let group_key = keys::group(lot, number);
    let mut then = vec![Write::Put {
        key: group_key.clone(),
        value: to_packed(&results),
        lease: None,
    }];
    match remainder {
        LotRemainder::Items(mark, age) => {
            then.push(Write::Put {
                key: keys::open(lot),
                value: to_json(mark),
                lease: None,
            });
            then.push(put_age(lot, *age));
        }
        LotRemainder::Nothing(mark) => {
            then.push(Write::Delete(claim_key.clone()));
            then.push(Write::Delete(keys::open(lot)));
            then.push(Write::Delete(keys::hold_mark(lot, *mark)));
        }
    }
    let batch = WriteBatch {
        when: vec![
            Comparison::ModifiedAt(claim_key, claim),
            Comparison::Absent(keys::end(lot)),
            Comparison::Absent(group_key.clone()),
        ],
        then,
        read_back: vec![group_key],
    };
    let policy = RetryPolicy::new(node.incarnation).attempts(MAX_WRITE_ATTEMPTS);
    match write_once(&node.store, batch, policy).await {
        Ok(WriteOnceOutcome::Written(_)) => WriteAnswer::Written,
        Ok(
            WriteOnceOutcome::Refused { found, .. } | WriteOnceOutcome::Superseded { found, .. },
        ) => {
            // The group exists already if an earlier attempt was written and its answer
            // lost.
            let own = to_packed(&results);
            let is_own = |it: &comfreyramp_store::KeyValue| it.value == own;
            match found.iter().any(is_own) {
                true => WriteAnswer::Written,
                false => WriteAnswer::Fenced,
            }
        }
        Err(error) => failed_write(node, lot, "results", &error),
    }
}

/// Writes how often servers failed at the items of a lot, and its age. Repeating the write
/// is harmless.
pub(super) async fn write_faults<D: Dialect>(
    node: &Node<D>,
    lot: &str,
    claim: Revision,
    counts: &[ItemFaults],
    age: AgeRecord,
) -> WriteAnswer {
    let batch = WriteBatch {
        when: vec![
            Comparison::ModifiedAt(keys::claim(lot), claim),
            Comparison::Absent(keys::end(lot)),
        ],
        then: vec![put_faults(lot, counts), put_age(lot, age)],
        read_back: Vec::new(),
    };
    match node.store.transact(batch).await {
        Ok(TransactionAnswer::Written(_)) => WriteAnswer::Written,
        Ok(TransactionAnswer::Refused { .. }) => WriteAnswer::Fenced,
        Err(error) => failed_write(node, lot, "counts of faults", &error),
    }
}

/// Distinguishes a write that the store refused for good from one without an answer.
fn failed_write<D: Dialect>(
    node: &Node<D>,
    lot: &str,
    what: &str,
    error: &StoreError,
) -> WriteAnswer {
    node.record_store_error(error);
    if error.is_final() {
        log::warn!(lot = lot, error:% = error; "lots: the store refuses {what} for good");
        return WriteAnswer::Rejected;
    }
    log::warn!(lot = lot, error:% = error; "lots: {what} wait for the store");
    WriteAnswer::Unknown
}

/// Releases the claim on a lot, and writes its age and the failures that the store doesn't have
/// yet. If this fails, the claim expires with its lease.
pub(super) async fn release<D: Dialect>(
    node: &Node<D>,
    held: &HeldLot,
    claim: Revision,
    age: AgeRecord,
) {
    let lot = &held.id;
    let mut then = vec![put_age(lot, age)];
    then.extend(held.unrecorded_faults().map(|it| put_faults(lot, &it)));
    remove_claim(node, lot, claim, held.mark, then).await;
}

fn put_faults(lot: &str, counts: &[ItemFaults]) -> Write {
    Write::Put {
        key: keys::faults(lot),
        value: to_json(&counts),
        lease: None,
    }
}

fn put_age(lot: &str, age: AgeRecord) -> Write {
    Write::Put {
        key: keys::age(lot),
        value: to_json(&age),
        lease: None,
    }
}

/// Deletes a claim and the mark of its holder, and writes `then`.
async fn remove_claim<D: Dialect>(
    node: &Node<D>,
    lot: &str,
    claim: Revision,
    mark: HoldMark,
    mut then: Vec<Write>,
) {
    then.push(Write::Delete(keys::claim(lot)));
    then.push(Write::Delete(keys::hold_mark(lot, mark)));
    let batch = WriteBatch {
        when: vec![Comparison::ModifiedAt(keys::claim(lot), claim)],
        then,
        read_back: Vec::new(),
    };
    if let Err(error) = node.store.transact(batch).await {
        log::warn!(lot = lot, error:% = error; "lots: a claim wasn't released and expires with its lease");
    }
}
