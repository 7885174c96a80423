//! The operators' settings of a fleet.

use serde_json::{Value, json};

use super::{Fleet, HOST, KEY, OTHER_KEY, SPARE_KEY};

impl Fleet {
    /// Writes operators' settings that give the customer these keys and this rate.
    pub(crate) fn put_settings(&mut self, keys: &[&str], rate: f64) {
        self.put_settings_with(keys, rate, &json!(0), 0.0);
    }

    /// Writes operators' settings by which an item is given up after `retention_s` seconds.
    pub(crate) fn put_retention(&mut self, retention_s: u64) {
        self.retention_s = retention_s;
        self.put_settings(&[KEY, SPARE_KEY], 1_000.0);
    }

    /// Writes operators' settings with this timeout of all routes.
    pub(crate) fn put_timeout(&mut self, timeout_ms: u64) {
        self.timeout_ms = timeout_ms;
        self.put_settings(&[KEY, SPARE_KEY], 1_000.0);
    }

    /// Writes operators' settings by which an engine keeps this many tokens.
    pub(crate) fn put_engine_memory(&mut self, tokens: u32) {
        self.engine_memory = tokens;
        self.put_settings(&[KEY, SPARE_KEY], 1_000.0);
    }

    /// Bounds the memory of the daemons that are started from now on, and adds a second
    /// customer.
    pub(crate) fn put_memory(&mut self, memory_mb: f64) {
        self.memory_mb = Some(memory_mb);
        self.put_settings(&[KEY, SPARE_KEY], 1_000.0);
    }

    /// Writes operators' settings without the route with this prefix; with all routes if it
    /// is `None`.
    pub(crate) fn put_without_route(&mut self, prefix: Option<&'static str>) {
        self.removed_route = prefix;
        self.put_settings(&[KEY, SPARE_KEY], 1_000.0);
    }

    /// Writes operators' settings without any route of the fleet's host.
    pub(crate) fn put_without_any_route(&mut self) {
        self.has_routes = false;
        self.put_settings(&[KEY, SPARE_KEY], 1_000.0);
    }

    /// Writes operators' settings by which a cold engine tolerates `rate` requests a second.
    pub(crate) fn put_cold_rate(&mut self, rate: f64) {
        self.put_settings_with(&[KEY, SPARE_KEY], 1_000.0, &json!(0), rate);
    }

    /// Writes operators' settings that limit the waiting tokens of the customer's lots to
    /// `token_bound`.
    pub(crate) fn put_token_bound(&mut self, token_bound: &Value) {
        self.put_settings_with(&[KEY, SPARE_KEY], 1_000.0, token_bound, 0.0);
    }

    fn put_settings_with(&mut self, keys: &[&str], rate: f64, token_bound: &Value, cold_rate: f64) {
        self.version += 3;
        let cold_start_s = if cold_rate > 0.0 { 3.0 } else { 0.0 };
        let route = |prefix: &str, kind: &str, service: &str, resumable: bool| {
            json!({
                "name": prefix, "host": HOST, "prefix": prefix, "kind": kind, "service": service,
                "timeout_ms": self.timeout_ms, "target_latency_ms": if self.has_live_queue { 2_000 } else { 500 },
                "priority": u32::from(prefix == "/once/"), "attempts": 2,
                "public": false, "sticky": false, "resumable": resumable, "gap_aim_ms": 300,
                "completion_target_ms": 15_000, "retention_s": self.retention_s, "cap": token_bound,
            })
        };
        let mut routes = vec![
            route("/drafts/", "stream", "drafts", true),
            route("/once/", "stream", "drafts", false),
            route("/proofs/", "safe", "proofs", false),
            route("/lots/", "batch", "drafts", true),
        ];
        routes.retain(|it| self.has_routes && it["prefix"].as_str() != self.removed_route);
        let mut tenants =
            vec![json!({"name": "press", "api_keys": keys, "rate_per_s": rate, "burst": rate})];
        if self.memory_mb.is_some() {
            tenants.push(json!({
                "name": "post", "api_keys": [OTHER_KEY], "rate_per_s": rate, "burst": rate,
            }));
        }
        let settings = json!({
            "version": self.version,
            "routes": routes,
            "services": [
                {
                    "name": "drafts", "cold_start_s": cold_start_s, "cold_per_s": cold_rate,
                    "engine": {"kv_capacity": self.engine_memory},
                },
                {"name": "proofs"},
            ],
            "limits": {
                "max_header_bytes": 16_384, "max_body_bytes": 4_194_304,
                "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000,
            },
            "tenants": tenants,
        });
        self.store.put("op/config", settings.to_string().as_bytes());
    }
}
