//! The findings of the checks of a team's settings, and their places.

use comfreyramp_settings::{FindingList, TeamSettings};
use serde_json::{Value, json};

const HASH: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

fn valid() -> Value {
    json!({
        "customers": [{
            "name": "press", "rate": 5, "burst": 10, "weight": 1.5,
            "keys": [{ "name": "key-1", "sha256": HASH }],
            "when_cut": { "refuse_after": { "seconds": 5 } },
            "lots_may_delay_live": true,
        }],
        "services": [
            {
                "name": "drafts", "kind": { "engine": { "models": ["small"] } },
                "group": "engines", "timeout_ms": 1000, "checks_fencing": true,
            },
            { "name": "proofs", "kind": { "plain": { "prefix": "/proofs" } }, "group": "proofs" },
        ],
    })
}

fn findings_of(settings: &Value) -> FindingList {
    TeamSettings::check(settings.to_string().as_bytes())
        .err()
        .unwrap_or_default()
}

fn places(list: &FindingList) -> Vec<&str> {
    list.findings.iter().map(|it| it.place.as_str()).collect()
}

/// Returns valid settings with the value at a pointer such as `/customers/0/rate`
/// replaced.
fn with(pointer: &str, value: Value) -> Value {
    let mut settings = valid();
    let (parent, field) = pointer.rsplit_once('/').expect("a pointer");
    match settings.pointer_mut(parent).expect("the parent") {
        Value::Array(entries) => entries[field.parse::<usize>().expect("an index")] = value,
        other => other[field] = value,
    }
    settings
}

#[test]
fn valid_settings_have_no_findings() {
    assert_eq!(findings_of(&valid()), FindingList::default());
}

/// One field is wrong. Without its place an operator would have to search a file of
/// many customers.
#[test]
fn each_field_is_found_at_its_place_with_a_fix() {
    let long = "a".repeat(65);
    let cases = [
        (
            "/customers/0/name",
            json!("Press House"),
            "customers[0].name",
        ),
        ("/customers/0/name", json!(long), "customers[0].name"),
        ("/customers/0/name", json!("  "), "customers[0].name"),
        ("/customers/0/name", json!("cfr-0123"), "customers[0].name"),
        ("/customers/0/rate", json!(-1), "customers[0].rate"),
        ("/customers/0/rate", json!(1_000_000.5), "customers[0].rate"),
        ("/customers/0/rate", json!("5"), "customers[0].rate"),
        ("/customers/0/rate", Value::Null, "customers[0].rate"),
        ("/customers/0/burst", json!(0), "customers[0].burst"),
        ("/customers/0/burst", json!(1.5), "customers[0].burst"),
        ("/customers/0/burst", json!(1_000_001), "customers[0].burst"),
        ("/customers/0/weight", json!(0), "customers[0].weight"),
        ("/customers/0/weight", json!(1001), "customers[0].weight"),
        ("/customers/0/keys", json!({}), "customers[0].keys"),
        ("/customers/0/keys/0", json!([]), "customers[0].keys[0]"),
        (
            "/customers/0/keys/0/name",
            json!(7),
            "customers[0].keys[0].name",
        ),
        (
            "/customers/0/keys/0/sha256",
            json!("ab"),
            "customers[0].keys[0].sha256",
        ),
        (
            "/customers/0/keys/0/sha256",
            json!(HASH.to_uppercase()),
            "customers[0].keys[0].sha256",
        ),
        (
            "/customers/0/when_cut",
            json!("refuse"),
            "customers[0].when_cut",
        ),
        (
            "/customers/0/lots_may_delay_live",
            json!(1),
            "customers[0].lots_may_delay_live",
        ),
        ("/customers/0/colour", json!(1), "customers[0].colour"),
        ("/customers/0", json!([]), "customers[0]"),
        ("/customers", json!({}), "customers"),
        ("/services", json!("none"), "services"),
        ("/services/0/name", json!("a/b"), "services[0].name"),
        ("/services/0/kind", json!("engine"), "services[0].kind"),
        (
            "/services/0/kind",
            json!({ "engine": {}, "plain": {} }),
            "services[0].kind",
        ),
        (
            "/services/0/kind/engine",
            json!([]),
            "services[0].kind.engine",
        ),
        (
            "/services/0/kind/engine/models",
            json!([]),
            "services[0].kind.engine.models",
        ),
        (
            "/services/0/kind/engine/models/0",
            json!(""),
            "services[0].kind.engine.models[0]",
        ),
        (
            "/services/0/kind/engine/models/0",
            json!("cfr-1"),
            "services[0].kind.engine.models[0]",
        ),
        (
            "/services/0/kind/engine/size",
            json!(1),
            "services[0].kind.engine.size",
        ),
        ("/services/0/group", json!("entry"), "services[0].group"),
        ("/services/0/timeout_ms", json!(0), "services[0].timeout_ms"),
        (
            "/services/0/timeout_ms",
            json!(3_600_001),
            "services[0].timeout_ms",
        ),
        (
            "/services/0/checks_fencing",
            json!("yes"),
            "services[0].checks_fencing",
        ),
        ("/notes", json!(""), "notes"),
    ];
    for (pointer, value, place) in cases {
        let list = findings_of(&with(pointer, value.clone()));
        assert!(
            places(&list).contains(&place),
            "{pointer} = {value}: {list}"
        );
        assert!(list.findings.iter().all(|it| !it.fix.is_empty()), "{list}");
    }
}

/// A view of the settings is up to 3 s old in normal operation. A lower limit would
/// reject the customer's callers although nothing failed.
#[test]
fn a_limit_on_the_views_age_must_allow_for_the_typical_age() {
    let bound = |seconds: u64| {
        findings_of(&with(
            "/customers/0/when_cut/refuse_after/seconds",
            json!(seconds),
        ))
    };
    for seconds in [0, 1, 4, 86_401] {
        let place = "customers[0].when_cut.refuse_after.seconds";
        assert_eq!(places(&bound(seconds)), [place], "{seconds}");
    }
    for seconds in [5, 86_400] {
        assert_eq!(bound(seconds), FindingList::default(), "{seconds}");
    }
}

/// A prefix with dots, escapes or a query never matches the path of a call, or matches
/// one that a server interprets as another path.
#[test]
fn a_prefix_is_made_of_plain_segments() {
    let wrong = [
        "/",
        "proofs",
        "//",
        "/a//b",
        "/a/../b",
        "/./a",
        "/a%2fb",
        "/a?b",
        "/a#b",
        "/a b",
        "/é",
        "/v1",
        "/v1/",
        "/v1/files",
    ];
    for prefix in wrong {
        let list = findings_of(&with("/services/1/kind/plain/prefix", json!(prefix)));
        assert!(
            places(&list).contains(&"services[1].kind.plain.prefix"),
            "{prefix}: {list}"
        );
    }
    for prefix in ["/a", "/a/", "/a/b", "/v10", "/a.b/c~d", "/..a"] {
        let list = findings_of(&with("/services/1/kind/plain/prefix", json!(prefix)));
        assert_eq!(list, FindingList::default(), "{prefix}");
    }
}

/// A file has several mistakes. If they were reported one at a time, an operator would
/// have to repeat the change for each of them.
#[test]
fn all_findings_are_reported_in_the_order_of_the_text() {
    let settings = json!({
        "customers": [
            { "name": "press", "rate": -1, "burst": 0, "colour": 1 },
            { "burst": 1 },
        ],
        "services": [{ "name": "drafts", "group": "engines" }],
        "more": true,
    });
    let list = findings_of(&settings);
    let expected = [
        "customers[0].rate",
        "customers[0].burst",
        "customers[0].colour",
        "customers[1].name",
        "customers[1].rate",
        "services[0].kind",
        "more",
    ];
    assert_eq!(places(&list), expected, "{list}");
}

/// A list is given instead of an object. Deserializers of structs accept a list as the
/// fields in order, which could put a rate into the name.
#[test]
fn a_list_is_not_an_object() {
    for text in [
        "[]",
        "[[], []]",
        "[[{\"name\": \"press\"}], []]",
        "7",
        "null",
        "\"text\"",
    ] {
        let list = TeamSettings::check(text.as_bytes()).expect_err(text);
        assert_eq!(places(&list), ["(the whole text)"], "{text}");
    }
    let list = findings_of(&json!({ "customers": [["press", 5, 10]] }));
    assert!(places(&list).contains(&"customers[0]"), "{list}");
}

/// The settings are truncated or aren't JSON at all.
#[test]
fn broken_json_is_found_at_its_line() {
    let list = TeamSettings::check(b"{\n  \"customers\": [\n    {,\n").expect_err("broken");
    assert_eq!(places(&list), ["line 3, column 6"], "{list}");
    assert!(TeamSettings::check(b"").is_err());
    assert!(TeamSettings::check(&[0xff, 0xfe]).is_err());
    let deep = "[".repeat(100_000);
    assert!(TeamSettings::check(deep.as_bytes()).is_err());
}

/// An operator pastes a second list of customers below the first. A JSON parser keeps
/// only the last one, so the customers of the first would lose their keys.
#[test]
fn a_duplicate_field_is_found() {
    let text =
        r#"{"customers": [{"name": "a", "rate": 1, "rate": 2, "burst": 1}], "customers": []}"#;
    let list = TeamSettings::check(text.as_bytes()).expect_err("duplicate fields");
    assert_eq!(places(&list), ["customers[0].rate", "customers"], "{list}");
}

/// Two entries of one team have the same name, key, model or prefix.
#[test]
fn duplicates_within_a_team_name_both_places() {
    let mut settings = valid();
    let customer = settings["customers"][0].clone();
    settings["customers"]
        .as_array_mut()
        .expect("a list")
        .push(customer);
    let services = settings["services"].as_array().expect("a list").clone();
    settings["services"]
        .as_array_mut()
        .expect("a list")
        .extend(services);
    settings["services"][3]["kind"]["plain"]["prefix"] = json!("/proofs/");
    let list = findings_of(&settings);
    let expected = [
        "customers[1].name",
        "customers[1].keys[0].sha256",
        "services[2].name",
        "services[2].kind.engine.models[0]",
        "services[3].name",
        "services[3].kind.plain.prefix",
    ];
    assert_eq!(places(&list), expected, "{list}");
    assert!(
        list.findings[0].problem.contains("customers[0].name"),
        "{list}"
    );
    let key = json!({ "name": "key-1", "sha256": HASH.replace('0', "f") });
    let mut settings = valid();
    settings["customers"][0]["keys"]
        .as_array_mut()
        .expect("a list")
        .push(key);
    assert_eq!(
        places(&findings_of(&settings)),
        ["customers[0].keys[1].name"]
    );
}

/// A second team uses a value of another team, or a prefix below that team's, and would
/// take over its calls.
#[test]
fn conflicts_between_teams_name_the_other_team() {
    let check = |settings: &Value| {
        TeamSettings::check(settings.to_string().as_bytes()).expect("valid settings")
    };
    let theirs = check(&valid());
    let list = check(&valid()).check_against([("studio", &theirs)]);
    let expected = [
        "customers[0].name",
        "customers[0].keys[0].sha256",
        "services[0].name",
        "services[0].kind.engine.models[0]",
        "services[1].name",
        "services[1].kind.plain.prefix",
    ];
    assert_eq!(places(&list), expected, "{list}");
    assert!(
        list.findings.iter().all(|it| it.problem.contains("studio")),
        "{list}"
    );
    for (prefix, count) in [("/proofs/final", 1), ("/proofsheets", 0)] {
        let mut mine = TeamSettings::default();
        mine.services.push(theirs.services[1].clone());
        mine.services[0].name = "other".to_owned();
        mine.services[0].kind = comfreyramp_settings::ServiceKind::Plain {
            prefix: prefix.to_owned(),
        };
        let list = mine.check_against([("studio", &theirs)]);
        assert_eq!(list.findings.len(), count, "{prefix}: {list}");
    }
}
