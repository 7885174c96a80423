//! The tool as a separate process against a small fleet.

#[path = "../../daemon/tests/support/mod.rs"]
mod support;

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    process::{Output, Stdio},
    time::{Duration, Instant},
};

use comfreyramp_http::StatusCode;
use comfreyramp_standins::{engine::EngineOptions, platform::FaultChange};
use comfreyramp_store::VmState;
use serde_json::{Value, json};
use support::{FleetPlan, KEY, TOKEN, TestFleet, WAIT_TIMEOUT, chat, default_settings, vm};
use tokio::process::Command;

/// Runs the tool with the addresses of a fleet.
struct Tool {
    operators: String,
    token: &'static str,
}

impl Tool {
    fn new(fleet: &TestFleet) -> Self {
        let listeners = fleet.daemons.iter().map(|it| it.addresses.operators);
        let operators: Vec<String> = listeners.map(|it| format!("http://{it}")).collect();
        Tool {
            operators: operators.join(" "),
            token: TOKEN,
        }
    }

    fn command(&self, arguments: &str) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_comfreyramp"));
        command
            .env_clear()
            .env("COMFREYRAMP_OPERATORS", &self.operators)
            .env("COMFREYRAMP_OPERATORS_TOKEN", self.token)
            .env("USER", "ada")
            .args(arguments.split_whitespace());
        command
    }

    async fn run(&self, arguments: &str) -> Output {
        let output = self.command(arguments).output().await;
        output.expect("the tool runs")
    }

    /// Runs a command, checks its exit code and returns its standard output.
    async fn expect(&self, code: i32, arguments: &str) -> String {
        let output = self.run(arguments).await;
        assert_eq!(output.status.code(), Some(code), "{arguments}: {output:?}");
        String::from_utf8(output.stdout).expect("text")
    }

    async fn json(&self, arguments: &str) -> Value {
        let printed = self.expect(0, &format!("--json {arguments}")).await;
        serde_json::from_str(&printed).expect("JSON on stdout")
    }
}

fn two_daemons() -> FleetPlan {
    FleetPlan {
        daemons: vec!["zone-1", "zone-2"],
        ..FleetPlan::default()
    }
}

/// Issues, uses and withdraws a key. The key must be printed only when it is
/// issued: a key in the output of another command or in the history would leak.
#[tokio::test]
async fn a_key_is_shown_once_and_stops_when_withdrawn() {
    let fleet = TestFleet::start(two_daemons()).await;
    let tool = Tool::new(&fleet);
    let issue = "keys issue press --team studio --name till";
    let key = tool.expect(0, issue).await;
    let key = key.trim();
    assert!(key.starts_with("cfr-") && key.len() == 68, "{key}");
    for daemon in 0..2 {
        let answer = fleet.chat(daemon, key, &chat("a verse", 1, false)).await;
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
    }
    tool.expect(1, issue).await;
    let reads = [
        "keys list",
        "--json keys list",
        "customers list",
        "--json customers list",
        "settings get studio",
        "--json settings get studio",
        "settings history studio",
        "--json settings history studio",
        "status",
        "--json status",
    ];
    for read in reads {
        let printed = tool.expect(0, read).await;
        assert!(!printed.contains(&key[4..]), "{read} shows the key");
        assert!(!printed.contains(TOKEN), "{read} shows the token");
    }
    tool.expect(0, "keys withdraw press till --team studio")
        .await;
    for daemon in 0..2 {
        let answer = fleet.chat(daemon, key, &chat("a verse", 1, false)).await;
        assert_eq!(answer.status, StatusCode::UNAUTHORIZED, "{}", answer.text());
    }
    tool.expect(1, "keys withdraw press till --team studio")
        .await;
}

#[tokio::test]
async fn customers_and_services_are_changed_and_listed() {
    let fleet = TestFleet::start(FleetPlan::default()).await;
    let tool = Tool::new(&fleet);
    let add = "customers add sampling --team studio --rate 2 --burst 4";
    tool.expect(0, add).await;
    tool.expect(1, add).await;
    tool.expect(0, "customers set sampling --team studio --rate 3.5")
        .await;
    tool.expect(3, "customers set sampling --team studio --rate 2000000")
        .await;
    let customers = tool.json("customers list").await;
    let sampling = customers
        .as_array()
        .and_then(|it| it.iter().find(|it| it["customer"]["name"] == "sampling"));
    assert_eq!(
        sampling.map(|it| &it["customer"]["rate"]),
        Some(&json!(3.5)),
        "{customers}"
    );
    assert!(tool.expect(0, "customers list").await.contains("sampling"));
    tool.expect(0, "customers remove sampling --team studio")
        .await;
    tool.expect(1, "customers remove sampling --team studio")
        .await;

    let add = "services add sheets --team studio --group sheets --prefix";
    tool.expect(3, &format!("{add} /v1/sheets")).await;
    tool.expect(0, &format!("{add} /sheets")).await;
    let services = tool.json("services list").await;
    assert!(services.to_string().contains("/sheets"), "{services}");
    assert!(tool.expect(0, "services list").await.contains("sheets"));
    tool.expect(0, "services remove sheets --team studio").await;
    tool.expect(1, "services remove sheets --team studio").await;

    let history = tool.json("settings history studio").await;
    let changes = history["changes"].as_array().expect("changes");
    assert_eq!(changes.len(), 6, "{history}");
    let names: BTreeSet<&str> = changes.iter().filter_map(|it| it["by"].as_str()).collect();
    // The test fleet makes the first change without an author.
    assert_eq!(names, BTreeSet::from(["ada", "unknown"]));
    tool.expect(0, "--by ben customers set press --team studio --rate 7")
        .await;
    let shown = tool.expect(0, "settings history studio").await;
    let newest = shown.lines().nth(1).expect("a row");
    let change = "changed customers[press].rate from 10000.0 to 7.0";
    assert!(newest.contains(" ben "), "{shown}");
    assert!(newest.contains(change), "{shown}");
}

/// Writes a file that is based on an outdated revision. Without the conflict the
/// change in between would be lost.
#[tokio::test]
async fn a_file_made_from_an_old_revision_is_a_conflict() {
    let fleet = TestFleet::start(FleetPlan::default()).await;
    let tool = Tool::new(&fleet);
    let folder = tempfile::TempDir::new().expect("a folder");
    let path = folder.path().join("studio.json");
    let mut settings = default_settings();
    settings.customers[0].rate = 5.0;
    std::fs::write(&path, json!(settings).to_string()).expect("the file can be written");
    let path = path.to_str().expect("a path in UTF-8");
    let base_revision = tool.json("settings get studio").await["revision"].clone();
    let difference = tool.json(&format!("settings diff studio {path}")).await;
    assert_eq!(
        difference[0]["place"], "customers[press].rate",
        "{difference}"
    );
    assert_eq!(difference.as_array().map(Vec::len), Some(1));

    tool.expect(0, "--by ben customers set market --team studio --rate 9")
        .await;
    let set = format!("settings set studio {path}");
    let output = tool.run(&format!("{set} --revision {base_revision}")).await;
    assert_eq!(output.status.code(), Some(4), "{output:?}");
    let printed = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        printed.contains("ben changed customers[market].rate"),
        "{printed}"
    );

    let written = tool.json(&set).await;
    let teams = tool.json("settings teams").await;
    assert_eq!(teams[0]["revision"], written["revision"], "{teams}");
    assert!(tool.expect(0, "settings teams").await.contains("studio"));
    let same = tool
        .expect(0, &format!("settings diff studio {path}"))
        .await;
    assert!(same.contains("the file is what is in force"), "{same}");
    tool.expect(1, "settings get nobody").await;
    tool.expect(1, "settings history nobody").await;
}

/// Makes a change while one of the named daemons is unreachable. The change is
/// accepted, and the error must name the daemon that hasn't confirmed it.
#[tokio::test]
async fn a_change_that_a_daemon_didnt_confirm_has_its_own_exit_code() {
    let fleet = TestFleet::start(FleetPlan::default()).await;
    let mut tool = Tool::new(&fleet);
    tool.operators = format!("http://127.0.0.1:1 {}", tool.operators);
    let output = tool.run("customers set press --team studio --rate 7").await;
    assert_eq!(output.status.code(), Some(6), "{output:?}");
    let printed = String::from_utf8_lossy(&output.stderr).into_owned();
    let unconfirmed = "accepted, but not yet confirmed by http://127.0.0.1:1";
    assert!(printed.contains(unconfirmed), "{printed}");
    let history = tool.json("settings history studio").await;
    assert_eq!(
        history["changes"].as_array().map(Vec::len),
        Some(2),
        "{history}"
    );
    let status = tool.json("status").await;
    assert!(status[0]["status"]["unreachable"].is_string(), "{status}");
    assert_eq!(status[1]["status"]["ready"], true, "{status}");
}

/// Only one of two daemons has received the request that is explained.
#[tokio::test]
async fn a_request_is_explained_by_the_daemon_that_had_it() {
    let fleet = TestFleet::start(two_daemons()).await;
    let mut tool = Tool::new(&fleet);
    let answer = fleet.chat(1, KEY, &chat("a verse", 1, false)).await;
    let id = answer.headers["x-request-id"].to_str().expect("an id");
    let printed = tool.expect(0, &format!("explain {id}")).await;
    assert!(printed.contains("arrived at daemon-2"), "{printed}");
    assert!(
        printed.contains("The key belongs to customer press."),
        "{printed}"
    );
    assert!(printed.contains("It was sent to engine-1"), "{printed}");
    let printed = tool.json(&format!("explain {id}")).await;
    assert_eq!(printed["request"], id);
    tool.expect(1, "explain daemon-2-0-0").await;
    tool.expect(1, "explain ../settings/studio").await;
    tool.operators.push_str(" http://127.0.0.1:1");
    tool.expect(5, "explain daemon-3-0-0").await;
}

/// Counts the daemons that report a server's bulk slots.
fn count_home_daemons(status: &Value, server: &str) -> usize {
    let views = status.as_array().expect("a list").iter();
    let servers = views.flat_map(|it| it["status"]["servers"].as_array().expect("a list"));
    servers
        .filter(|it| it["name"] == server && it["bulk"]["open"] == 0)
        .count()
}

fn address_of(status: &Value, server: &str) -> SocketAddr {
    let servers = status[0]["status"]["servers"].as_array().expect("a list");
    let found = servers.iter().find(|it| it["name"] == server);
    let address = found.and_then(|it| it["address"].as_str());
    let address = address.and_then(|it| it.parse().ok());
    address.expect("the server's address")
}

/// Shows the status of a healthy fleet, then with two servers leaving, one daemon
/// unreachable and the platform down.
#[tokio::test]
async fn status_shows_servers_slots_and_what_is_degraded() {
    let mut fleet = TestFleet::start(two_daemons()).await;
    fleet.add_engine("zone-2", EngineOptions::default()).await;
    fleet.wait_ready(0).await;
    fleet.wait_ready(1).await;
    let mut tool = Tool::new(&fleet);
    let shown = tool.expect(0, "status").await;
    assert!(shown.contains("nothing is degraded"), "{shown}");
    for name in ["daemon-1", "daemon-2", "engine-1", "engine-2", "service-1"] {
        assert!(shown.contains(name), "{shown}");
    }
    // Each engine has one home daemon, which reports bulk slots soon after it
    // discovers the engine.
    let began = Instant::now();
    let status = loop {
        let status = tool.json("status").await;
        if (
            count_home_daemons(&status, "engine-1"),
            count_home_daemons(&status, "engine-2"),
        ) == (1, 1)
        {
            break status;
        }
        assert!(began.elapsed() < WAIT_TIMEOUT, "{status}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    };

    let engine = fleet.engines[1].address;
    let service = address_of(&status, "service-1");
    for mut leaving in [
        vm("engine-2", "zone-2", "engines", engine),
        vm("service-1", "zone-1", "proofs", service),
    ] {
        leaving.state = VmState::Leaving;
        fleet.platform.put_vm(leaving);
    }
    tool.operators.push_str(" http://127.0.0.1:1");
    let degraded = [
        "server engine-2 is leaving and gets no new work",
        "no server of group proofs can take a request for proofs",
        "no answer at this address",
    ];
    let began = Instant::now();
    loop {
        let shown = tool.expect(0, "status").await;
        if degraded.iter().all(|it| shown.contains(it)) {
            break;
        }
        assert!(began.elapsed() < WAIT_TIMEOUT, "{shown}");
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    fleet.platform.change_faults(FaultChange {
        outage: Some(true),
        ..FaultChange::default()
    });
    tokio::time::sleep(Duration::from_secs(7)).await;
    let shown = tool.expect(0, "status").await;
    assert!(
        shown.contains("nobody in reach has the platform"),
        "{shown}"
    );
}

/// The reader of the output exits early. A broken pipe must not abort the command.
#[tokio::test]
async fn a_closed_output_doesnt_abort_a_command() {
    let fleet = TestFleet::start(FleetPlan::default()).await;
    let tool = Tool::new(&fleet);
    let mut child = tool
        .command("--json settings history studio")
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the tool runs");
    drop(child.stdout.take());
    let output = child.wait_with_output().await.expect("the tool ends");
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert!(output.stderr.is_empty(), "{output:?}");
}

/// A wrong token must cause an error, not the output of an empty fleet.
#[tokio::test]
async fn a_wrong_token_is_refused() {
    let fleet = TestFleet::start(FleetPlan::default()).await;
    let mut tool = Tool::new(&fleet);
    tool.token = "not-the-token-at-all";
    let folder = tempfile::TempDir::new().expect("a folder");
    let path = folder.path().join("studio.json");
    std::fs::write(&path, "{}").expect("the file can be written");
    let file = path.to_str().expect("a path in UTF-8");
    for command in [
        "settings teams",
        "status",
        "customers list",
        "settings history studio",
    ] {
        tool.expect(1, command).await;
    }
    tool.expect(1, &format!("settings diff studio {file}"))
        .await;
    tool.expect(1, &format!("settings set studio {file}")).await;
}
