//! A backend server's report of its own state.

use serde_json::json;

/// The path of the report.
pub(super) const REPORT_PATH: &str = "/-/report";

/// Returns the report of a server that started at `born`, in Unix milliseconds.
pub(super) fn state_report(born: u64) -> String {
    let report = json!({
        "born": born, "stage": "both",
        "models": [{"name": "m", "version": 1, "adapters": []}],
        "busy": false, "seq": 0, "waiting": 0, "running": 0,
        "kv_used": 0, "kv_total": 72_000, "handles": 0,
    });
    report.to_string()
}

/// Returns the bytes of an answer with the report.
pub(super) fn report_answer(born: u64) -> String {
    let body = state_report(born);
    format!(
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}
