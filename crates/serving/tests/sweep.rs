//! Which lots are deleted from the store.

use comfreyramp_serving::lots::keys_to_sweep;
use comfreyramp_store::KeyValue;

/// The end of the retention of all lots here, in Unix milliseconds.
const GIVEN_UP: u64 = 60_000;

fn pair(key: &str, value: &str) -> KeyValue {
    KeyValue {
        key: key.to_owned(),
        value: value.to_owned().into(),
        modified: 1,
        created: 1,
        version: 1,
    }
}

fn lot(id: &str) -> [KeyValue; 2] {
    let head = serde_json::json!({
        "customer": "press", "host": "fleet.example", "total": 1, "attempts": 2,
        "submitted": 1, "due": 2, "given_up": GIVEN_UP,
    });
    [
        pair(&format!("lots/data/{id}/head"), &head.to_string()),
        pair(&format!("lots/data/{id}/results/00000"), "[]"),
    ]
}

/// A lot that still runs, since the age of its items isn't judged by wall clocks, must not be
/// deleted by them.
#[test]
fn an_open_lot_is_not_deleted() {
    let data = [lot("ended"), lot("open")].concat();
    let open = [pair("lots/open/open", "{}")];
    let keys = keys_to_sweep(&data, &open, GIVEN_UP + 1);
    assert_eq!(
        keys,
        ["lots/data/ended/head", "lots/data/ended/results/00000"]
    );
}

/// A lot whose results callers may still request must not be deleted.
#[test]
fn a_recent_lot_is_not_deleted() {
    assert!(keys_to_sweep(&lot("ended"), &[], GIVEN_UP).is_empty());
}
