//! The findings of the checks of a daemon's settings file, and their places.

use comfreyramp_settings::{DaemonSettings, FindingList, LogFormat};
use serde_json::{Value, json};

fn valid() -> Value {
    json!({
        "name": "entry-1", "region": "south", "zone": "zone-1",
        "callers": "127.0.0.1:8080", "operators": "127.0.0.1:8081", "peers": "127.0.0.1:8082",
        "platform": { "store": "http://127.0.0.1:2379", "vm_list": "http://127.0.0.1:2380" },
        "data_folder": "/var/lib/entry", "operators_token": "sixteen-or-more-",
        "log": { "format": "json", "level": "debug" },
        "addresses_file": "/run/entry.json",
    })
}

fn findings_of(settings: &Value) -> FindingList {
    DaemonSettings::check(settings.to_string().as_bytes())
        .err()
        .unwrap_or_default()
}

#[test]
fn a_valid_file_is_read_whole() {
    let settings = DaemonSettings::check(valid().to_string().as_bytes()).expect("no findings");
    assert_eq!(settings.name, "entry-1");
    assert_eq!(settings.callers.port(), 8080);
    assert_eq!(settings.log.format, LogFormat::Json);
}

/// A daemon started with a wrong file listens at the wrong address or not at all. The
/// finding must name the place of the mistake and a fix.
#[test]
fn each_field_is_found_at_its_place_with_a_fix() {
    let cases = [
        ("name", json!("Entry 1"), "name"),
        ("region", json!(""), "region"),
        ("zone", Value::Null, "zone"),
        ("callers", json!("localhost:1"), "callers"),
        ("operators", json!(8081), "operators"),
        ("peers", json!("127.0.0.1:99999"), "peers"),
        ("platform", Value::Null, "platform"),
        ("platform", json!([]), "platform"),
        (
            "platform",
            json!({ "store": "ftp://x", "vm_list": "http://y" }),
            "platform.store",
        ),
        (
            "platform",
            json!({ "store": "http://x" }),
            "platform.vm_list",
        ),
        (
            "platform",
            json!({ "store": "http://x", "vm_list": "http://y", "z": 1 }),
            "platform.z",
        ),
        ("data_folder", json!(1), "data_folder"),
        ("operators_token", json!("short"), "operators_token"),
        ("log", json!("json"), "log"),
        ("log", json!({ "format": "xml" }), "log.format"),
        ("log", json!({ "level": "loud" }), "log.level"),
        ("log", json!({ "colour": true }), "log.colour"),
        ("addresses_file", json!([]), "addresses_file"),
        ("port", json!(1), "port"),
    ];
    for (field, value, place) in cases {
        let mut settings = valid();
        settings[field] = value.clone();
        let list = findings_of(&settings);
        let places: Vec<&str> = list.findings.iter().map(|it| it.place.as_str()).collect();
        assert!(places.contains(&place), "{field} = {value}: {list}");
        assert!(list.findings.iter().all(|it| !it.fix.is_empty()), "{list}");
    }
}

#[test]
fn an_empty_object_lacks_every_required_field() {
    let list = findings_of(&json!({}));
    let places: Vec<&str> = list.findings.iter().map(|it| it.place.as_str()).collect();
    let expected = [
        "name",
        "region",
        "zone",
        "callers",
        "operators",
        "peers",
        "platform",
        "operators_token",
    ];
    assert_eq!(places, expected, "{list}");
}

#[test]
fn a_list_is_not_an_object() {
    let list = DaemonSettings::check(b"[]").expect_err("a list instead of an object");
    assert_eq!(list.findings[0].place, "(the whole text)");
    let text = br#"{"name": "a", "name": "b"}"#;
    let list = DaemonSettings::check(text).expect_err("a duplicate field");
    assert_eq!(list.findings[0].place, "name");
}
