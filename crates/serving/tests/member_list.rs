//! What a daemon knows of the others by what they say.

use std::time::Duration;

use comfreyramp_policy::Timestamp;
use comfreyramp_serving::{
    fleet::{MemberList, MemberRecord, PeerMessage, ViewRevisions},
    lots::{LotProgress, LotStage},
};

fn message(number: u64, progress: Vec<LotProgress>) -> PeerMessage {
    PeerMessage {
        from: MemberRecord {
            name: "lots-2".to_owned(),
            zone: "zone-1".to_owned(),
            address: ([127, 0, 0, 1], 7000).into(),
            incarnation: 1,
            runs_lots: true,
        },
        number,
        revisions: ViewRevisions::default(),
        shares: Vec::new(),
        usage: Vec::new(),
        suspects: Vec::new(),
        lots: Vec::new(),
        progress,
        reaches_store: true,
        is_leaving: false,
    }
}

fn progress(stage: LotStage) -> Vec<LotProgress> {
    vec![LotProgress {
        lot: "lot-1".to_owned(),
        results: 3,
        stage,
    }]
}

/// A daemon acknowledges the end of a lot and is lost before it has told anybody.
/// Whoever lists the open lots has to know that the lot is run, or the daemon that
/// runs it would go on until the store refuses its results.
#[test]
fn lots_that_others_run_are_known_until_they_are_done_or_silent() {
    let begin = Timestamp::from_micros(1_000_000);
    let mut members = MemberList::new("lots-1");
    members.hear(&message(1, progress(LotStage::Held)), begin);
    assert_eq!(members.held_lots(begin), ["lot-1"]);
    let silent = begin + Duration::from_secs(4);
    assert!(members.held_lots(silent).is_empty(), "its lease has lapsed");
    members.hear(&message(2, progress(LotStage::Finished)), begin);
    assert!(members.held_lots(begin).is_empty(), "it is done");
}
