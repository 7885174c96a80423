//! The checks of a team's settings.

use serde_json::Value;

use crate::{
    CustomerSettings, CutOffPolicy, FindingList, KeySettings, ServiceKind, ServiceSettings,
    TeamSettings,
    duplicate_fields::find_duplicate_fields,
    object_reader::{ObjectReader, describe},
};

/// The maximum rate of a customer, in requests per second.
const MAX_RATE: f64 = 1_000_000.0;
/// The maximum burst of a customer, in requests.
const MAX_BURST: u64 = 1_000_000;
/// The maximum weight of a customer.
const MAX_WEIGHT: f64 = 1000.0;
/// The maximum timeout of a service's requests, in milliseconds: one hour.
const MAX_TIMEOUT_MS: u64 = 3_600_000;
/// The minimum for `refuse_after`, the maximum age of a view, in seconds. A view is up
/// to 3 s old in normal operation; with a lower limit callers would be rejected without
/// any failure. See `docs/FRESHNESS.md`.
const MIN_REFUSE_AFTER_SECONDS: u64 = 5;
/// The maximum for `refuse_after`, in seconds: one day.
const MAX_REFUSE_AFTER_SECONDS: u64 = 86_400;
/// The default of `timeout_ms`.
const DEFAULT_TIMEOUT_MS: u64 = 120_000;

impl TeamSettings {
    /// Parses a team's settings from JSON and checks all of them.
    ///
    /// ```
    /// use comfreyramp_settings::TeamSettings;
    ///
    /// let text = br#"{"customers": [{"name": "press", "rate": -1, "burst": 10}]}"#;
    /// let findings = TeamSettings::check(text).unwrap_err();
    /// assert_eq!(findings.findings[0].place, "customers[0].rate");
    /// ```
    pub fn check(text: &[u8]) -> Result<TeamSettings, FindingList> {
        let value = parse(text)?;
        let mut findings = FindingList::default();
        find_duplicate_fields(text, &mut findings);
        let mut reader = ObjectReader::new(&value, String::new(), &mut findings);
        let customers = reader.list("customers");
        let customers = customers
            .into_iter()
            .map(|(place, value)| read_customer(value, place, reader.findings()))
            .collect();
        let services = reader.list("services");
        let services = services
            .into_iter()
            .map(|(place, value)| read_service(value, place, reader.findings()))
            .collect();
        reader.finish();
        let settings = TeamSettings {
            customers,
            services,
        };
        settings.find_duplicates(&mut findings);
        findings.into_result(settings)
    }

    /// Finds names, keys, models and prefixes that another team in `others`, the teams
    /// in force, already has.
    ///
    /// A name belongs to the team that set it first; if a second team could set it too,
    /// it would change the first team's customers or services. A prefix below another
    /// team's prefix also conflicts, as it would take over that team's calls.
    pub fn check_against<'a>(
        &self,
        others: impl IntoIterator<Item = (&'a str, &'a TeamSettings)>,
    ) -> FindingList {
        let mut findings = FindingList::default();
        for (team, other) in others {
            let theirs = other.unique_values();
            for (place, kind, claimed) in self.unique_values() {
                if theirs.iter().any(|it| conflicts(kind, claimed, it.1, it.2)) {
                    let problem = format!("team {team} already has this {kind}");
                    findings.add(place, problem, "choose another one");
                }
            }
        }
        findings
    }

    fn find_duplicates(&self, findings: &mut FindingList) {
        let unique_values = self.unique_values();
        for (index, (place, kind, claimed)) in unique_values.iter().enumerate() {
            let first = unique_values[..index]
                .iter()
                .find(|it| it.1 == *kind && it.2 == *claimed);
            if let Some(first) = first {
                let problem = format!("this {kind} is already set at {}", first.0);
                findings.add(place, problem, "keep one of them");
            }
        }
    }

    /// Returns every value that only one team may have, as (place, kind, value).
    fn unique_values(&self) -> Vec<(String, &'static str, &str)> {
        let mut unique_values = Vec::new();
        for (at, customer) in self.customers.iter().enumerate() {
            let place = format!("customers[{at}]");
            unique_values.push((format!("{place}.name"), "customer", customer.name.as_str()));
            for (at, key) in customer.keys.iter().enumerate() {
                let place = format!("{place}.keys[{at}].sha256");
                unique_values.push((place, "key", key.sha256.as_str()));
            }
        }
        for (at, service) in self.services.iter().enumerate() {
            let place = format!("services[{at}]");
            unique_values.push((format!("{place}.name"), "service", service.name.as_str()));
            match &service.kind {
                ServiceKind::Engine { models } => {
                    for (at, model) in models.iter().enumerate() {
                        let place = format!("{place}.kind.engine.models[{at}]");
                        unique_values.push((place, "model", model.as_str()));
                    }
                }
                ServiceKind::Plain { prefix } => {
                    let place = format!("{place}.kind.plain.prefix");
                    unique_values.push((place, "prefix", prefix.trim_end_matches('/')));
                }
            }
        }
        unique_values
    }
}

/// Returns whether two teams can't both have these values.
fn conflicts(kind: &str, mine: &str, other_kind: &str, theirs: &str) -> bool {
    if kind != other_kind {
        return false;
    }
    mine == theirs || (kind == "prefix" && (is_below(mine, theirs) || is_below(theirs, mine)))
}

fn is_below(path: &str, prefix: &str) -> bool {
    let rest = path.strip_prefix(prefix);
    rest.is_some_and(|it| it.starts_with('/'))
}

/// Parses JSON. A syntax error becomes a finding with its line and column.
pub(crate) fn parse(text: &[u8]) -> Result<Value, FindingList> {
    serde_json::from_slice(text).map_err(|error| {
        let mut findings = FindingList::default();
        let place = format!("line {}, column {}", error.line(), error.column());
        findings.add(
            place,
            format!("is not valid JSON: {error}"),
            "fix the syntax error at this position",
        );
        findings
    })
}

fn read_customer(value: &Value, place: String, findings: &mut FindingList) -> CustomerSettings {
    let mut reader = ObjectReader::new(value, place, findings);
    let name = reader.name("name");
    let rate = reader.number("rate", None, 0.0..=MAX_RATE, "requests a second");
    let burst = reader.integer("burst", None, 1..=MAX_BURST, "requests");
    let weight = reader.number("weight", Some(1.0), 0.001..=MAX_WEIGHT, "parts");
    let keys: Vec<KeySettings> = reader
        .list("keys")
        .into_iter()
        .map(|(place, value)| read_key(value, place, reader.findings()))
        .collect();
    for (at, key) in keys.iter().enumerate() {
        if keys[..at].iter().any(|it| it.name == key.name) {
            let place = format!("keys[{at}].name");
            reader.add_finding(&place, "is used twice", "choose another name");
        }
    }
    let when_cut = read_cut_policy(&mut reader);
    let lots_may_delay_live = reader.boolean("lots_may_delay_live");
    reader.finish();
    let burst = u32::try_from(burst).unwrap_or(u32::MAX);
    CustomerSettings {
        name,
        rate,
        burst,
        weight,
        keys,
        when_cut,
        lots_may_delay_live,
    }
}

fn read_key(value: &Value, place: String, findings: &mut FindingList) -> KeySettings {
    const FIX: &str = "write the SHA-256 of the key as 64 lower-case hex digits";
    let mut reader = ObjectReader::new(value, place, findings);
    let name = reader.name("name");
    let sha256 = reader.text("sha256", FIX);
    let is_hex = |it: char| it.is_ascii_digit() || ('a'..='f').contains(&it);
    if !sha256.is_empty() && (sha256.len() != 64 || !sha256.chars().all(is_hex)) {
        // The value isn't printed: an operator may have entered the key itself instead
        // of its hash.
        reader.add_finding("sha256", "is not a SHA-256 hash", FIX);
    }
    reader.finish();
    KeySettings { name, sha256 }
}

fn read_cut_policy(reader: &mut ObjectReader<'_, '_>) -> CutOffPolicy {
    const FIX: &str = "write \"serve\" or {\"refuse_after\": {\"seconds\": n}}";
    let Some(value) = reader.optional("when_cut") else {
        return CutOffPolicy::default();
    };
    match value {
        Value::String(word) if word == "serve" => CutOffPolicy::Serve,
        Value::Object(fields) if fields.len() == 1 && fields.contains_key("refuse_after") => {
            let place = reader.place_of("when_cut.refuse_after");
            let bounds = MIN_REFUSE_AFTER_SECONDS..=MAX_REFUSE_AFTER_SECONDS;
            let mut inner = ObjectReader::new(&fields["refuse_after"], place, reader.findings());
            let seconds = inner.integer("seconds", None, bounds, "seconds");
            inner.finish();
            CutOffPolicy::RefuseAfter {
                seconds: u32::try_from(seconds).unwrap_or(u32::MAX),
            }
        }
        other => {
            reader.add_finding(
                "when_cut",
                format!("{} is not one of the choices", describe(other)),
                FIX,
            );
            CutOffPolicy::default()
        }
    }
}

fn read_service(value: &Value, place: String, findings: &mut FindingList) -> ServiceSettings {
    let mut reader = ObjectReader::new(value, place, findings);
    let name = reader.name("name");
    let kind = read_kind(&mut reader);
    let group = reader.name("group");
    if group == "entry" {
        reader.add_finding(
            "group",
            "is reserved for the daemons",
            "name the group of the servers",
        );
    }
    let bounds = 1..=MAX_TIMEOUT_MS;
    let timeout_ms = reader.integer(
        "timeout_ms",
        Some(DEFAULT_TIMEOUT_MS),
        bounds,
        "milliseconds",
    );
    let checks_fencing = reader.boolean("checks_fencing");
    reader.finish();
    ServiceSettings {
        name,
        kind,
        group,
        timeout_ms,
        checks_fencing,
    }
}

fn read_kind(reader: &mut ObjectReader<'_, '_>) -> ServiceKind {
    const FIX: &str = "write {\"engine\": {\"models\": […]}} or {\"plain\": {\"prefix\": \"/…\"}}";
    let fallback = ServiceKind::Engine { models: Vec::new() };
    let Some(value) = reader.required("kind", FIX) else {
        return fallback;
    };
    let single = value
        .as_object()
        .filter(|it| it.len() == 1)
        .and_then(|it| it.iter().next());
    match single {
        Some((kind, fields)) if kind == "engine" => {
            let place = reader.place_of("kind.engine");
            read_engine(fields, place, reader.findings())
        }
        Some((kind, fields)) if kind == "plain" => {
            let place = reader.place_of("kind.plain");
            read_plain(fields, place, reader.findings())
        }
        _ => {
            reader.add_finding(
                "kind",
                format!("is {} that names no known kind", describe(value)),
                FIX,
            );
            fallback
        }
    }
}

fn read_engine(value: &Value, place: String, findings: &mut FindingList) -> ServiceKind {
    const FIX: &str = "list the models, each a text of 1 to 128 characters";
    let mut reader = ObjectReader::new(value, place, findings);
    let entries = reader.list("models");
    if entries.is_empty() {
        reader.add_finding("models", "names no model", FIX);
    }
    let mut models = Vec::new();
    for (place, value) in entries {
        match value.as_str() {
            Some(model) if (1..=128).contains(&model.len()) => {
                ObjectReader::reject_key_at(&place, model, reader.findings());
                models.push(model.to_owned());
            }
            _ => {
                let problem = format!("{} is not a model name", describe(value));
                reader.findings().add(place, problem, FIX);
            }
        }
    }
    reader.finish();
    ServiceKind::Engine { models }
}

fn read_plain(value: &Value, place: String, findings: &mut FindingList) -> ServiceKind {
    const FIX: &str =
        "write a path such as \"/proofs\", with a-z, A-Z, 0-9, -, _, . and ~ between the slashes";
    let mut reader = ObjectReader::new(value, place, findings);
    let prefix = reader.text("prefix", FIX);
    let path = prefix.trim_end_matches('/');
    if !prefix.is_empty() && !is_path_prefix(&prefix) {
        reader.add_finding("prefix", "is not a valid path prefix", FIX);
    }
    if path == "/v1" || path.starts_with("/v1/") {
        reader.add_finding(
            "prefix",
            "is below /v1, which is reserved for models",
            "choose another prefix",
        );
    }
    reader.finish();
    ServiceKind::Plain { prefix }
}

/// Returns whether a prefix can match the path of a call: plain segments, none of them
/// empty or made of dots alone, without escapes, query or fragment.
fn is_path_prefix(prefix: &str) -> bool {
    let is_allowed = |it: char| it.is_ascii_alphanumeric() || "-_.~".contains(it);
    let is_segment =
        |it: &str| !it.is_empty() && it != "." && it != ".." && it.chars().all(is_allowed);
    let path = prefix.strip_suffix('/').unwrap_or(prefix);
    let segments = path.strip_prefix('/');
    segments.is_some_and(|it| it.split('/').all(is_segment))
}
