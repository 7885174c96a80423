//! The checks of a daemon's settings file.

use std::path::PathBuf;

use serde_json::Value;

use crate::{
    DaemonSettings, FindingList, LogFormat, LogSettings, PlatformSettings, check_team::parse,
    duplicate_fields::find_duplicate_fields, object_reader::ObjectReader,
};

/// The minimum length of the operators' token in bytes; shorter ones can be guessed.
const MIN_TOKEN_LENGTH: usize = 16;

impl DaemonSettings {
    /// Parses a daemon's settings file from JSON and checks all of it.
    pub fn check(text: &[u8]) -> Result<DaemonSettings, FindingList> {
        const ADDRESS: &str =
            "write ip:port, such as \"10.0.0.5:8080\"; port 0 lets the system choose";
        let value = parse(text)?;
        let mut findings = FindingList::default();
        find_duplicate_fields(text, &mut findings);
        let unspecified = ([0, 0, 0, 0], 0).into();
        let mut reader = ObjectReader::new(&value, String::new(), &mut findings);
        let settings = DaemonSettings {
            name: reader.name("name"),
            region: reader.name("region"),
            zone: reader.name("zone"),
            callers: reader.parse("callers", ADDRESS).unwrap_or(unspecified),
            operators: reader.parse("operators", ADDRESS).unwrap_or(unspecified),
            peers: reader.parse("peers", ADDRESS).unwrap_or(unspecified),
            platform: read_platform(&mut reader),
            data_folder: reader
                .optional_text("data_folder", "write a path")
                .map(PathBuf::from),
            operators_token: read_token(&mut reader),
            log: read_log(&mut reader),
            addresses_file: reader
                .optional_text("addresses_file", "write a path")
                .map(PathBuf::from),
        };
        reader.finish();
        findings.into_result(settings)
    }
}

fn read_token(reader: &mut ObjectReader<'_, '_>) -> String {
    let fix = format!("write a secret of {MIN_TOKEN_LENGTH} characters or more");
    let token = reader.text("operators_token", &fix);
    if !token.is_empty() && token.len() < MIN_TOKEN_LENGTH {
        reader.add_finding("operators_token", "is too short", fix);
    }
    token
}

fn read_platform(reader: &mut ObjectReader<'_, '_>) -> PlatformSettings {
    const FIX: &str = "write a base address, such as \"http://10.0.0.2:2379\"";
    let null = &Value::Null;
    let value = reader.required("platform", "write {\"store\": …, \"vm_list\": …}");
    if value.is_none() {
        return PlatformSettings {
            store: String::new(),
            vm_list: String::new(),
        };
    }
    let place = reader.place_of("platform");
    let mut inner = ObjectReader::new(value.unwrap_or(null), place, reader.findings());
    let store = inner.text("store", FIX);
    let vm_list = inner.text("vm_list", FIX);
    for (field, address) in [("store", &store), ("vm_list", &vm_list)] {
        if !address.is_empty() && !address.starts_with("http://") {
            inner.add_finding(field, "is not an http address", FIX);
        }
    }
    inner.finish();
    PlatformSettings { store, vm_list }
}

fn read_log(reader: &mut ObjectReader<'_, '_>) -> LogSettings {
    const LEVELS: &[&str] = &["error", "warn", "info", "debug"];
    let Some(value) = reader.optional("log") else {
        return LogSettings::default();
    };
    let place = reader.place_of("log");
    let mut inner = ObjectReader::new(value, place, reader.findings());
    let format = match inner
        .optional_text("format", "write \"text\" or \"json\"")
        .as_deref()
    {
        None | Some("text") => LogFormat::Text,
        Some("json") => LogFormat::Json,
        Some(_) => {
            inner.add_finding(
                "format",
                "is not a log format",
                "write \"text\" or \"json\"",
            );
            LogFormat::Text
        }
    };
    let fix = format!("write one of {}", LEVELS.join(", "));
    let level = inner.optional_text("level", &fix);
    if level.as_deref().is_some_and(|it| !LEVELS.contains(&it)) {
        inner.add_finding("level", "is not a log level", fix);
    }
    inner.finish();
    LogSettings { format, level }
}
