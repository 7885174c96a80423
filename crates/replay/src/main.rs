//! `comfreyramp-replay`: one trace through all bulk policies, side by side.

use std::{fs::File, io::BufReader, path::PathBuf, time::Duration};

use argh::FromArgs;
use comfreyramp_load::trace::TraceFile;
use comfreyramp_policy::bulk::BulkLimiterTiming;
use comfreyramp_replay::{BulkPolicy, ReplayResult, ZonePlan, replay, usual_trace};

/// Replay recorded work through the decisions of one zone.
#[derive(FromArgs)]
struct Arguments {
    /// a trace file (default: the usual trace)
    #[argh(option)]
    trace: Option<PathBuf>,
    /// seconds of the usual trace
    #[argh(option, default = "300")]
    seconds: u64,
    /// the gates' reaction time, in milliseconds
    #[argh(
        option,
        default = "BulkLimiterTiming::default().reaction.as_millis() as u64"
    )]
    reaction_ms: u64,
    /// the time between two starts of bulk items on a server, in milliseconds
    #[argh(
        option,
        default = "BulkLimiterTiming::default().start_gap.as_millis() as u64"
    )]
    start_gap_ms: u64,
    /// daemons don't tell a server's home of live requests
    #[argh(switch)]
    silent: bool,
    /// show only policies whose names start with this
    #[argh(option, default = "String::new()")]
    only: String,
    /// seed of the usual trace
    #[argh(option, default = "1")]
    seed: u64,
}

fn main() -> anyhow::Result<()> {
    let arguments: Arguments = argh::from_env();
    let trace = match &arguments.trace {
        Some(path) => TraceFile::read(BufReader::new(File::open(path)?))?,
        None => usual_trace(Duration::from_secs(arguments.seconds), arguments.seed),
    };
    let mut plan = ZonePlan {
        announced: !arguments.silent,
        ..ZonePlan::default()
    };
    plan.gate.reaction = Duration::from_millis(arguments.reaction_ms);
    plan.gate.start_gap = Duration::from_millis(arguments.start_gap_ms);
    println!(
        "{:28} {:>8} {:>8} {:>8} {:>8} {:>9} {:>9} {:>6} {:>5}",
        "policy",
        "ttft p50",
        "ttft p99",
        "gap p50",
        "gap p99",
        "bulk/s",
        "cancelled",
        "ended",
        "late"
    );
    let shown = policies()
        .into_iter()
        .filter(|it| it.0.starts_with(&arguments.only));
    for (name, policy) in shown {
        let result = replay(&plan, policy, &trace);
        print_row(&name, &result);
    }
    Ok(())
}

fn policies() -> Vec<(String, BulkPolicy)> {
    let mut policies = vec![
        ("no lots".to_owned(), BulkPolicy::NoLots),
        ("everything at once".to_owned(), BulkPolicy::Everything),
        ("live first, no cancel".to_owned(), BulkPolicy::LiveFirst),
        ("fixed cap 4".to_owned(), BulkPolicy::FixedCap(4)),
        ("fixed cap 8".to_owned(), BulkPolicy::FixedCap(8)),
        ("gate".to_owned(), BulkPolicy::Gate),
    ];
    for rate in [0.5, 1.0, 2.0, 4.0] {
        policies.push((format!("additive {rate}/s"), BulkPolicy::Additive(rate)));
        policies.push((
            format!("gate + additive {rate}/s"),
            BulkPolicy::GateAdditive(rate),
        ));
    }
    for seconds in [1, 3, 10] {
        let interval = Duration::from_secs(seconds);
        policies.push((
            format!("choke/creep {seconds} s"),
            BulkPolicy::ChokeCreep(interval),
        ));
        let name = format!("gate + choke/creep {seconds} s");
        policies.push((name, BulkPolicy::GateChokeCreep(interval)));
    }
    policies
}

fn print_row(name: &str, result: &ReplayResult) {
    println!(
        "{name:28} {:>8.1} {:>8.1} {:>8.1} {:>8.1} {:>9.0} {:>9} {:>6} {:>5}",
        result.first_token_ms(0.5),
        result.first_token_ms(0.99),
        result.gap_ms(0.5),
        result.gap_ms(0.99),
        result.bulk_rate(),
        result.cancelled,
        result.ended_lots,
        result.late_lots,
    );
}
