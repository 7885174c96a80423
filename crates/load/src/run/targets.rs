//! The fleet that a trace is played against.

use std::collections::BTreeMap;

/// The addresses, keys and processes of a fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunTargets {
    /// Base URLs of the daemons' caller listeners, which receive calls in
    /// round-robin order.
    pub callers: Vec<String>,
    /// One key per customer of the trace, or empty to send calls without a key.
    pub keys: Vec<String>,
    /// The model name in generation requests.
    pub model: String,
    /// The path prefix of the plain HTTP service.
    pub service: String,
    /// The daemons' process ids, for fault injection.
    pub daemon_pids: Vec<i32>,
    /// Base URLs of the engine stand-ins, for fault injection and request logs.
    pub engines: Vec<String>,
    /// The engine stand-ins' process ids, for fault injection.
    pub engine_pids: Vec<i32>,
}

impl RunTargets {
    /// Parses the shell variables that the demo writes for a fleet that it leaves
    /// running, such as `export COMFREYRAMP_MODEL='m'`.
    pub fn from_shell(text: &str) -> Self {
        let values: BTreeMap<&str, &str> = text.lines().filter_map(shell_value).collect();
        let word = |name: &str| values.get(name).copied().unwrap_or_default().to_owned();
        let words = |name: &str| -> Vec<String> {
            let list = values.get(name).copied().unwrap_or_default();
            list.split_whitespace().map(str::to_owned).collect()
        };
        let pids = |name: &str| -> Vec<i32> {
            words(name)
                .iter()
                .filter_map(|it| it.parse().ok())
                .collect()
        };
        let mut keys = words("COMFREYRAMP_KEY");
        keys.extend(words("COMFREYRAMP_SECOND_KEY"));
        RunTargets {
            callers: words("COMFREYRAMP_CALLERS"),
            keys,
            model: word("COMFREYRAMP_MODEL"),
            service: word("COMFREYRAMP_SERVICE"),
            daemon_pids: pids("COMFREYRAMP_PIDS"),
            engines: words("COMFREYRAMP_ENGINES"),
            engine_pids: pids("COMFREYRAMP_ENGINE_PIDS"),
        }
    }

    /// Returns the key of a customer, if one is configured.
    pub fn key(&self, customer: u32) -> Option<&str> {
        self.keys.get(customer as usize).map(String::as_str)
    }

    /// Returns everything that is missing to play a trace with this number of
    /// customers, each prefixed with the name of the option that provides it.
    pub fn check(&self, customers: usize) -> Vec<String> {
        let mut findings = Vec::new();
        if self.callers.is_empty() {
            findings.push("callers: at least one base URL is required".to_owned());
        }
        if self.model.is_empty() {
            findings.push("model: a name is required".to_owned());
        }
        if !self.keys.is_empty() && self.keys.len() < customers {
            findings.push(format!(
                "keys: the trace has {customers} customers, but only {} keys are given",
                self.keys.len()
            ));
        }
        findings
    }
}

/// Parses a line `[export ]NAME=VALUE` and strips quotes from the value.
fn shell_value(line: &str) -> Option<(&str, &str)> {
    let line = line.trim();
    let line = line.strip_prefix("export ").unwrap_or(line);
    let (name, value) = line.split_once('=')?;
    let quoted = |quote: char| value.strip_prefix(quote)?.strip_suffix(quote);
    Some((name, quoted('\'').or(quoted('"')).unwrap_or(value)))
}
