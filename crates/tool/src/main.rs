//! `comfreyramp`, the command-line tool for operators. See docs/OPERATIONS.md.
//!
//! [`arguments`] defines the command line, [`client`] sends requests to the
//! daemons, [`commands`] contains one module per kind of object.

mod arguments;
mod client;
mod commands;
mod failure;
mod output;
mod table;
mod wall_time;

use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: arguments::Arguments = argh::from_env();
    match commands::run(arguments).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("comfreyramp: {failure}");
            failure.exit_code()
        }
    }
}
