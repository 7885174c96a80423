//! Checks of random settings with a fixed seed: no check panics, and no finding
//! contains a secret.

use comfreyramp_settings::{DaemonSettings, FindingList, TeamSettings};
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::{Map, Value, json};

const SEED: u64 = 0x5e77_1265;
const ROUNDS: usize = 3000;
const KEY: &str = "cfr-6b65792d6f662d612d637573746f6d6572";
const TOKEN: &str = "the operators' token, which nobody else may see";

const FIELDS: &[&str] = &[
    "customers",
    "services",
    "name",
    "rate",
    "burst",
    "weight",
    "keys",
    "sha256",
    "when_cut",
    "refuse_after",
    "seconds",
    "lots_may_delay_live",
    "kind",
    "engine",
    "models",
    "plain",
    "prefix",
    "group",
    "timeout_ms",
    "checks_fencing",
    "region",
    "zone",
    "callers",
    "operators",
    "peers",
    "platform",
    "store",
    "vm_list",
    "operators_token",
    "log",
    "format",
    "level",
    "",
    "a.b[0]",
    KEY,
    TOKEN,
];

fn random_text(rng: &mut StdRng) -> String {
    let words = [
        "",
        " ",
        "press",
        "serve",
        "/a/b",
        "127.0.0.1:0",
        "http://x",
        "é\u{0}",
        KEY,
        TOKEN,
    ];
    words[rng.random_range(0..words.len())].to_owned()
}

fn random_value(rng: &mut StdRng, depth: u32) -> Value {
    let kinds = if depth == 0 { 6 } else { 9 };
    match rng.random_range(0..kinds) {
        0 => Value::Null,
        1 => json!(rng.random::<bool>()),
        2 => json!(rng.random::<i64>()),
        3 => json!(rng.random_range(-1e300..1e300)),
        4 | 5 => json!(random_text(rng)),
        6 => {
            let count = rng.random_range(0..4);
            (0..count).map(|_| random_value(rng, depth - 1)).collect()
        }
        _ => {
            let mut fields = Map::new();
            for _ in 0..rng.random_range(0..6) {
                let field = FIELDS[rng.random_range(0..FIELDS.len())];
                fields.insert(field.to_owned(), random_value(rng, depth - 1));
            }
            Value::Object(fields)
        }
    }
}

/// Replaces one value, at any depth, by a random one.
fn replace_random_value(value: &mut Value, rng: &mut StdRng) {
    let stop = rng.random_ratio(1, 5);
    match value {
        Value::Array(entries) if !entries.is_empty() && !stop => {
            let index = rng.random_range(0..entries.len());
            replace_random_value(&mut entries[index], rng);
        }
        Value::Object(fields) if !fields.is_empty() && !stop => {
            let index = rng.random_range(0..fields.len());
            if let Some(below) = fields.values_mut().nth(index) {
                replace_random_value(below, rng);
            }
        }
        other => *other = random_value(rng, 3),
    }
}

fn typical_team() -> Value {
    json!({
        "customers": [{
            "name": "press", "rate": 5, "burst": 10,
            "keys": [{ "name": "key-1", "sha256": KEY }, { "name": "key-1", "sha256": KEY }],
            "when_cut": { "refuse_after": { "seconds": 9 } },
        }],
        "services": [
            { "name": "a", "kind": { "engine": { "models": [KEY, KEY] } }, "group": "g" },
            { "name": KEY, "kind": { "plain": { "prefix": TOKEN } }, "group": "entry" },
        ],
    })
}

fn typical_daemon() -> Value {
    json!({
        "name": TOKEN, "region": "south", "zone": "zone-1", "callers": TOKEN,
        "operators": "127.0.0.1:1", "peers": "127.0.0.1:2",
        "platform": { "store": TOKEN, "vm_list": KEY },
        "operators_token": TOKEN, "log": { "format": TOKEN, "level": KEY },
    })
}

fn assert_no_secrets(list: &FindingList, text: &str) {
    let printed = list.to_string();
    // Even a part of a secret in a log makes it easier to guess.
    for secret in [KEY, TOKEN] {
        let part = &secret[4..16];
        assert!(!printed.contains(part), "{printed}\nfindings of {text}");
    }
}

/// Settings may have any shape and contain a key or the token in the wrong field.
/// Findings are logged and printed, so they must not repeat it.
#[test]
fn no_check_panics_or_shows_a_secret() {
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut finding_count = 0;
    for round in 0..ROUNDS {
        let value = match round % 3 {
            0 => random_value(&mut rng, 5),
            1 => {
                let mut value = typical_team();
                replace_random_value(&mut value, &mut rng);
                value
            }
            _ => {
                let mut value = typical_daemon();
                replace_random_value(&mut value, &mut rng);
                value
            }
        };
        let text = value.to_string();
        for list in [
            TeamSettings::check(text.as_bytes()).err(),
            DaemonSettings::check(text.as_bytes()).err(),
        ] {
            let list = list.unwrap_or_default();
            finding_count += list.findings.len();
            assert_no_secrets(&list, &text);
        }
    }
    assert!(
        finding_count > ROUNDS,
        "the random settings caused too few findings"
    );
}

/// A settings file may be truncated or damaged in transit. The checks must return a
/// result whatever the bytes are.
#[test]
fn no_check_panics_on_damaged_bytes() {
    let mut rng = StdRng::seed_from_u64(SEED);
    for _ in 0..ROUNDS {
        let mut bytes = typical_team().to_string().into_bytes();
        for _ in 0..rng.random_range(1..4) {
            let index = rng.random_range(0..bytes.len());
            bytes[index] = rng.random();
        }
        bytes.truncate(rng.random_range(0..=bytes.len()));
        for list in [
            TeamSettings::check(&bytes).err(),
            DaemonSettings::check(&bytes).err(),
        ] {
            assert_no_secrets(&list.unwrap_or_default(), &String::from_utf8_lossy(&bytes));
        }
    }
}
