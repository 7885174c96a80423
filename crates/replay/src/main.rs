//! `comfreyramp-replay`: compares all bulk policies on one trace.

use std::{fs::File, io::BufReader, path::PathBuf, time::Duration};

use argh::FromArgs;
use comfreyramp_load::trace::TraceFile;
use comfreyramp_policy::bulk::BulkLimiterTiming;
use comfreyramp_replay::{BulkPolicy, ReplayResult, ZonePlan, reference_trace, replay};

/// Simulate a trace in one zone with each bulk policy.
#[derive(FromArgs)]
struct Arguments {
    /// trace file (default: the generated reference trace)
    #[argh(option)]
    trace: Option<PathBuf>,
    /// length of the reference trace, in seconds (default 300)
    #[argh(option, default = "300")]
    seconds: u64,
    /// reaction time of the bulk limiters, in milliseconds
    #[argh(
        option,
        default = "BulkLimiterTiming::default().reaction.as_millis() as u64"
    )]
    reaction_ms: u64,
    /// minimum time between starts of bulk items on a server, in milliseconds
    #[argh(
        option,
        default = "BulkLimiterTiming::default().start_gap.as_millis() as u64"
    )]
    start_gap_ms: u64,
    /// daemons don't report live requests to the server's home daemon
    #[argh(switch)]
    silent: bool,
    /// show only policies whose names start with this prefix
    #[argh(option, default = "String::new()")]
    only: String,
    /// seed of the reference trace (default 1)
    #[argh(option, default = "1")]
    seed: u64,
}

fn main() -> anyhow::Result<()> {
    let arguments: Arguments = argh::from_env();
    let trace = match &arguments.trace {
        Some(path) => TraceFile::read(BufReader::new(File::open(path)?))?,
        None => reference_trace(Duration::from_secs(arguments.seconds), arguments.seed),
    };
    let mut plan = ZonePlan {
        reports_exchanged: !arguments.silent,
        ..ZonePlan::default()
    };
    plan.limiter_timing.reaction = Duration::from_millis(arguments.reaction_ms);
    plan.limiter_timing.start_gap = Duration::from_millis(arguments.start_gap_ms);
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
        ("everything at once".to_owned(), BulkPolicy::AllAtOnce),
        ("live first, no cancel".to_owned(), BulkPolicy::LiveFirst),
        ("fixed cap 4".to_owned(), BulkPolicy::FixedCap(4)),
        ("fixed cap 8".to_owned(), BulkPolicy::FixedCap(8)),
        ("gate".to_owned(), BulkPolicy::Limiter),
    ];
    for rate in [0.5, 1.0, 2.0, 4.0] {
        policies.push((format!("additive {rate}/s"), BulkPolicy::Additive(rate)));
        policies.push((
            format!("gate + additive {rate}/s"),
            BulkPolicy::LimiterAdditive(rate),
        ));
    }
    for seconds in [1, 3, 10] {
        let interval = Duration::from_secs(seconds);
        policies.push((
            format!("choke/creep {seconds} s"),
            BulkPolicy::ChokeCreep(interval),
        ));
        let name = format!("gate + choke/creep {seconds} s");
        policies.push((name, BulkPolicy::LimiterChokeCreep(interval)));
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
