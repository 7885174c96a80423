//! The command line of the load generator.

mod commands;

use argh::FromArgs;

/// Generate traces of requests, play them against a fleet, and report the
/// results that callers observed.
#[derive(FromArgs)]
struct LoadArgs {
    #[argh(subcommand)]
    command: LoadCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum LoadCommand {
    Generate(commands::GenerateCommand),
    Run(commands::RunCommand),
    Report(commands::ReportCommand),
}

fn main() -> anyhow::Result<()> {
    let args: LoadArgs = argh::from_env();
    match args.command {
        LoadCommand::Generate(command) => command.run(),
        LoadCommand::Run(command) => command.run(),
        LoadCommand::Report(command) => command.run(),
    }
}
