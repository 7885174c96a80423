//! The `lots` commands against a running fleet.

#![allow(clippy::unwrap_used, reason = "helpers of tests are tests too")]

#[path = "../../daemon/tests/lot_calls/mod.rs"]
mod lot_calls;
#[path = "../../daemon/tests/support/mod.rs"]
mod support;

use std::process::Output;

use lot_calls::{LotCaller, input};
use serde_json::Value;
use support::{FleetPlan, TOKEN, TestFleet};
use tokio::process::Command;

async fn run(fleet: &TestFleet, arguments: &str) -> Output {
    let operators = format!("http://{}", fleet.daemons[0].addresses.operators);
    let output = Command::new(env!("CARGO_BIN_EXE_comfreyramp"))
        .env_clear()
        .env("COMFREYRAMP_OPERATORS", operators)
        .env("COMFREYRAMP_OPERATORS_TOKEN", TOKEN)
        .args(arguments.split_whitespace())
        .output();
    output.await.unwrap()
}

async fn read(fleet: &TestFleet, arguments: &str) -> Value {
    let output = run(fleet, &format!("--json {arguments}")).await;
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    serde_json::from_slice(&output.stdout).unwrap()
}

#[tokio::test]
async fn an_operator_sees_open_lots_and_cancels_one() {
    let fleet = TestFleet::start(FleetPlan::default()).await;
    let caller = LotCaller::new(&fleet, 0);
    let file = caller.upload(&input(300, 2000)).await;
    let lot = caller.create(&file).await;
    let id = lot["id"].as_str().unwrap();
    let lots = read(&fleet, "lots list").await;
    assert_eq!(lots.as_array().unwrap().len(), 1);
    let shown = read(&fleet, &format!("lots show {id}")).await;
    assert_eq!(
        (&shown["id"], &shown["customer"]),
        (&lot["id"], &"press".into())
    );
    assert_eq!(
        (&shown["items"], &shown["completed"]),
        (&300.into(), &0.into())
    );
    assert_eq!(shown["outlook"], "on_time");
    assert_eq!(shown["due_at"], lot["expires_at"]);
    let none = read(&fleet, "lots list --customer market").await;
    assert_eq!(none.as_array().unwrap().len(), 0);
    let table = run(&fleet, "lots list").await.stdout;
    let table = String::from_utf8(table).unwrap();
    assert!(table.contains(id) && table.contains("on time"), "{table}");
    let output = run(&fleet, &format!("lots cancel {id}")).await;
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    caller.wait_for(id, "cancelled").await;
    let unknown = run(&fleet, &format!("lots show {id}")).await;
    assert_eq!(unknown.status.code(), Some(1), "{unknown:?}");
}
