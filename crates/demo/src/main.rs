//! The client of the demo script. Each subcommand performs one step as a caller
//! would, checks the response, and fails if it isn't as expected.

mod caller;
mod lot;
mod platform;
mod steps;

use std::process::ExitCode;

use argh::FromArgs;

/// Run one step of the demo.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    step: steps::Step,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match steps::run(arguments.step).await {
        Ok(line) => {
            println!("{line}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}
