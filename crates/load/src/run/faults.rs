//! Fault injection.

use comfreyramp_http::Method;
use rustix::process::{Pid, Signal, kill_process};

use crate::{
    outcome::FaultResult,
    trace::{FaultAction, FaultEvent, FaultTarget},
};

use super::{player::RunContext, targets::RunTargets};

/// Injects a fault and returns whether that succeeded.
pub(crate) async fn run_fault(context: &RunContext, fault: &FaultEvent) -> FaultResult {
    let at = context.elapsed();
    let done = match &fault.action {
        FaultAction::Terminate => signal(context, fault.target, Signal::TERM),
        FaultAction::Kill => signal(context, fault.target, Signal::KILL),
        FaultAction::Freeze => signal(context, fault.target, Signal::STOP),
        FaultAction::Resume => signal(context, fault.target, Signal::CONT),
        FaultAction::Switches(switches) => {
            let body = serde_json::Value::Object(switches.clone()).to_string();
            match engine_url(context.sender.targets(), fault.target) {
                Some(engine) => {
                    let path = "/stand-in/faults";
                    let answer = context.sender.call_engine(engine, Method::PUT, path, body);
                    answer.await.map(drop)
                }
                None => Err("fault switches need an engine with a known URL".to_owned()),
            }
        }
    };
    FaultResult {
        at_s: at.as_secs_f64(),
        what: describe(fault),
        error: done.err(),
    }
}

fn signal(context: &RunContext, target: FaultTarget, signal: Signal) -> Result<(), String> {
    let targets = context.sender.targets();
    let pid = match target {
        FaultTarget::Daemon(index) => targets.daemon_pids.get(index),
        FaultTarget::Engine(index) => targets.engine_pids.get(index),
    };
    // Zero and negative ids would signal whole process groups.
    let pid = pid.filter(|it| **it > 1).and_then(|it| Pid::from_raw(*it));
    let pid = pid.ok_or("the process id of the target is unknown")?;
    kill_process(pid, signal).map_err(|it| it.to_string())
}

fn engine_url(targets: &RunTargets, target: FaultTarget) -> Option<&str> {
    match target {
        FaultTarget::Engine(index) => targets.engines.get(index).map(String::as_str),
        FaultTarget::Daemon(_) => None,
    }
}

fn describe(fault: &FaultEvent) -> String {
    let target = match fault.target {
        FaultTarget::Daemon(index) => format!("daemon {index}"),
        FaultTarget::Engine(index) => format!("engine {index}"),
    };
    let action = match &fault.action {
        FaultAction::Terminate => "terminated".to_owned(),
        FaultAction::Kill => "killed".to_owned(),
        FaultAction::Freeze => "frozen".to_owned(),
        FaultAction::Resume => "resumed".to_owned(),
        FaultAction::Switches(switches) => {
            format!(
                "switches set to {}",
                serde_json::Value::Object(switches.clone())
            )
        }
    };
    format!("{target} {action}")
}
